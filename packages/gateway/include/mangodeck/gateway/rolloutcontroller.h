#ifndef MANGODECK_GATEWAY_ROLLOUTCONTROLLER_H
#define MANGODECK_GATEWAY_ROLLOUTCONTROLLER_H

#include "mangodeck/common/random.h"
#include "mangodeck/gateway/eventlog.h"
#include "mangodeck/gateway/rolloutevidence.h"
#include "mangodeck/gateway/rolloutramp.h"
#include "mangodeck/gateway/targetregistry.h"
#include "mangodeck/gateway/versioncomparison.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// The versions at which a request may run, by the rollout of its service.
struct VersionChoice {
  VersionId Only = NoVersion;    ///< NoVersion: any but Avoided.
  VersionId Avoided = NoVersion; ///< NoVersion: none.
  bool allows(VersionId Version) const {
    return (Only == NoVersion || Version == Only) &&
           (Avoided == NoVersion || Version != Avoided);
  }
  bool operator==(const VersionChoice &) const = default;
};

/// A request for which a version is chosen.
struct RolloutRequest {
  bool IsNew = false;        ///< Chosen for the first time.
  bool BeginsStream = false; ///< See TargetRequirements.
  /// It was sent to the ordered version and failed, or found no slot there.
  bool HasTried = false;
};

/// An answer that was seen whole.
struct RolloutAnswer {
  const TrackedTarget &Target;
  std::string_view Route;
  bool IsBad = false;
  /// Time of the answer, comparable on one route; 0 if it was not measured.
  double Seconds = 0;
};

/// Sends and writes for the controller.
class RolloutOutlet {
public:
  virtual ~RolloutOutlet() = default;
  /// To the delegate of the own failure domain, which is another daemon.
  virtual void sendToDelegate(std::string_view Bytes) = 0;
  /// To all other daemons of the own failure domain.
  virtual void sendToOwnDomain(std::string_view Bytes) = 0;
  /// To the delegates of the other failure domains.
  virtual void sendToDelegates(std::string_view Bytes) = 0;
  /// Writes a key under the condition that it is at revision \p Expected; 0:
  /// it does not exist. Calls back RolloutController::onWritten().
  virtual void writeStatus(const RolloutStatus &Next,
                           StoreRevision Expected) = 0;
  virtual void writeRecord(const RolloutRecord &Next,
                           StoreRevision Expected) = 0;
  /// Requests of this daemon that run at, or may only run at, other versions of
  /// the service than \p To.
  virtual std::uint32_t countElsewhere(const ServiceName &Service,
                                       VersionId To) const = 0;
  /// Other versions of the service are barred than before: the waiting requests
  /// need another choice().
  virtual void reconsider(const ServiceName &Service) = 0;
  /// From now on no request of the service may run at another version than
  /// \p To.
  virtual void giveUpElsewhere(const ServiceName &Service, VersionId To) = 0;
};

/// What the daemon knows of the fleet.
struct RolloutSurroundings {
  bool IsDelegate = false;
  std::size_t ReachablePeers = 0; ///< In the own failure domain.
  std::vector<std::string> RemoteDomains;
  /// All changes of the store up to this time are known.
  TimePoint StoreConfirmedAt{};
  std::chrono::milliseconds WallClock{0};
  Duration Period{100ms}; ///< Of messages.
};

/// The identity of a daemon's process.
struct RolloutProcess {
  std::string Vm;
  IncarnationId Incarnation = UnknownIncarnation;
  FailureDomain Domain;
};

/// What the configuration tells of a service.
struct RolloutService {
  bool IsEngine = false;
  bool HasStreams = false;
};

/// Carries out the orders for rollouts as one daemon of the fleet: chooses the
/// version of each request, counts answers, exchanges evidence, and as a
/// delegate judges the versions, makes the steps and writes the verdicts. No
/// I/O; time is an argument.
///
/// State, its owners and ages: docs/design/rollouts.md. In short: an order and
/// a status are the store's; start and step are in a record of the store;
/// counts are owned by the process that saw the answers; a condemned version is
/// latched until its order ends. A daemon without word of the fleet for
/// ContactLimit sends nothing to an ordered version that it could send
/// elsewhere.
class RolloutController {
public:
  RolloutController(RolloutLimits Limits, RolloutProcess Own,
                    const TargetRegistry &Targets, RolloutOutlet &Outlet,
                    EventLog &Log, RandomSource &Random);

  /// What the store lists. std::nullopt: the key does not exist.
  void onOrder(const ServiceName &Service, std::optional<RolloutOrder> Order,
               TimePoint Now);
  void onStatus(const ServiceName &Service, std::optional<RolloutStatus> Status,
                TimePoint Now);
  void onRecord(const ServiceName &Service, std::optional<RolloutRecord> Record,
                TimePoint Now);
  /// A write of the status or the record has ended, whether it took effect or
  /// not; what the store holds is told before.
  void onWritten(const ServiceName &Service);
  /// The store's keys have been listed: from now on a version that appears is
  /// new.
  void onDirectoryComplete() { m_IsListed = true; }
  /// The services that the configuration names. An order for another one waits.
  void setServices(std::map<std::string, RolloutService> Services);

  /// Handles a message of another daemon; false if it is of another kind.
  bool handle(std::string_view Bytes, TimePoint Now);
  /// Judges, makes steps, and sends messages where they are due.
  void tick(const RolloutSurroundings &Around, TimePoint Now);
  /// Bars the targets that get no requests, and no others.
  void markTargets(TimePoint Now);

  /// Whether any service has an order that is not ended.
  bool isActive() const;
  VersionChoice choose(const ServiceName &Service,
                       const RolloutRequest &Request, TimePoint Now);
  /// A request that was to run at the ordered version only finds no slot there:
  /// it may run elsewhere. False if it must stay.
  bool reassign(const ServiceName &Service, VersionId Only);
  /// A request is sent to \p Target.
  void recordSend(const TrackedTarget &Target);
  void recordAnswer(const RolloutAnswer &Answer, TimePoint Now);

  /// Orders, steps, evidence and verdicts as text, a line for each order.
  std::string describe(TimePoint Now) const;

private:
  /// What a delegate of another failure domain stated last.
  struct RemoteView {
    std::string Vm;
    TimePoint HeardAt{};
    RolloutStep Step = RolloutStep::Waiting;
    bool IsDrained = false;
  };
  /// What a daemon of the own failure domain stated last.
  struct DomainReport {
    TimePoint HeardAt{};
    RolloutStep Step = RolloutStep::Waiting;
    std::uint32_t OtherRunning = 0;
  };
  struct Plan {
    Plan(RolloutOrder Given, double Phase, TimePoint Now);
    RolloutOrder Order;
    VersionId To;
    TimePoint StartedAt;
    RolloutSchedule Schedule;
    RolloutStep Step = RolloutStep::Waiting;
    TimePoint SteppedAt;
    std::uint8_t SwitchSlice = 0;        ///< Of the step to Switched.
    std::optional<RolloutState> Verdict; ///< Final, from the store.
    bool IsCondemned = false;
    std::string Reason; ///< Of the condemnation or the verdict.
    ShareCounter Share;
    std::uint64_t Sent = 0; ///< By this process, to the version.
    RolloutEvidence Evidence;
    VersionJudgement Judged;
    std::map<std::string, RemoteView> Remote; ///< By failure domain.
    std::map<RolloutEvidence::ProcessId, DomainReport> Reports;
    TimePoint ContactAt;
    bool IsOutOfContact = false; ///< As last logged.
    bool IsDrained = false;      ///< The own domain, by its reports.
    bool IsGivenUp = false;      ///< giveUpElsewhere() was called.
    std::set<VersionId> Others;  ///< Other versions before the verdict.
    std::optional<RampDecision::Kind> DueAction;
    TimePoint DueSince{};
    TimePoint LastMessageAt{};
    TimePoint LastJudgedAt{};
    bool IsAnnounced = false; ///< The last change was sent.
    bool IsRemoved = false;   ///< The store no longer lists the order.
    TimePoint VerdictAt{};
  };
  struct Service {
    std::optional<Plan> Current;
    std::optional<RolloutStatus> Status;
    std::optional<RolloutRecord> Record;
    /// Versions of orders that ended without a verdict of their own.
    std::map<VersionId, std::string> Superseded;
    /// When each version was first seen; the epoch if it was there at the
    /// start.
    std::map<VersionId, TimePoint> FirstSeen;
    bool IsWriting = false;
    TimePoint LastWriteAt{};
  };

  /// Updates the schedule, which depends on the configuration.
  void updateSchedule(Plan &Current) const;
  void begin(Service &At, const RolloutOrder &Order, TimePoint Now);
  void applyStore(Service &At, TimePoint Now);
  void applyStep(Plan &Current, RolloutStep Step, std::string_view Reason,
                 TimePoint Now);
  void condemn(Plan &Current, std::string Reason, TimePoint Now);
  void handleEvidence(const EvidenceMessage &Message, TimePoint Now);
  void handlePlan(const PlanMessage &Message, TimePoint Now);
  void updateContact(Plan &Current, const RolloutSurroundings &Around,
                     TimePoint Now);
  bool isInContact(const Plan &Current, TimePoint Now) const;
  /// Whether nothing runs at other versions in this daemon's domain.
  bool isDomainDrained(const Plan &Current, const RolloutSurroundings &Around,
                       TimePoint Now) const;
  bool isFleetDrained(const Plan &Current, const RolloutSurroundings &Around,
                      TimePoint Now) const;
  /// Takes the step or writes the verdict that is due.
  void act(Service &At, const RolloutSurroundings &Around, TimePoint Now);
  void writeVerdict(Service &At, RolloutState State, TimePoint Now);
  void writeStep(Service &At, const RolloutSurroundings &Around,
                 RolloutStep Step, TimePoint Now);
  bool isLeader(const Plan &Current, TimePoint Now) const;
  void sendMessages(Plan &Current, const RolloutSurroundings &Around,
                    TimePoint Now);
  RampInput rampInput(const Plan &Current, TimePoint Now) const;
  double shareNow(const Plan &Current, TimePoint Now) const;
  bool mayTakeNow(const Plan &Current, TimePoint Now) const;
  std::uint8_t sliceOf(const Plan &Current, TimePoint Now) const;
  bool barsVersion(const Service &At, VersionId Version, TimePoint Now) const;
  Plan *planOf(const ServiceName &Name);
  RolloutEvidence::ProcessId ownId() const {
    return {m_Own.Vm, m_Own.Incarnation};
  }

  RolloutLimits m_Limits;
  RolloutProcess m_Own;
  const TargetRegistry &m_Targets;
  RolloutOutlet &m_Outlet;
  EventLog &m_Log;
  RandomSource &m_Random;
  std::map<std::string, Service> m_Services;
  std::map<std::string, RolloutService> m_Known; ///< Of the configuration.
  bool m_HasConfiguration = false;
  bool m_IsListed = false;
  std::chrono::milliseconds m_WallClock{0};
  TimePoint m_MarkedAt{};
};

} // namespace mangodeck

#endif
