#ifndef MANGODECK_GATEWAY_GATEWAY_H
#define MANGODECK_GATEWAY_GATEWAY_H

#include "mangodeck/common/random.h"
#include "mangodeck/gateway/callertable.h"
#include "mangodeck/gateway/changerelay.h"
#include "mangodeck/gateway/confirmationqueue.h"
#include "mangodeck/gateway/crashcauses.h"
#include "mangodeck/gateway/directoryobserver.h"
#include "mangodeck/gateway/directoryview.h"
#include "mangodeck/gateway/domainoffers.h"
#include "mangodeck/gateway/exchange.h"
#include "mangodeck/gateway/keyfollower.h"
#include "mangodeck/gateway/loopdelay.h"
#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/placementreport.h"
#include "mangodeck/gateway/quotaledger.h"
#include "mangodeck/gateway/refusal.h"
#include "mangodeck/gateway/requestfacts.h"
#include "mangodeck/gateway/rolloutcontroller.h"
#include "mangodeck/gateway/rolloutramp.h"
#include "mangodeck/gateway/slotbroker.h"
#include "mangodeck/gateway/spillcontrol.h"
#include "mangodeck/gateway/streamorigins.h"
#include "mangodeck/gateway/suspensiondetector.h"
#include "mangodeck/gateway/versionhistory.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// Path of the call that explains a placement, beside the metrics.
inline constexpr std::string_view PlacementPath = "/where";

/// Addresses, time limits and memory limits of one gateway process.
struct GatewaySettings {
  std::string Vm;
  /// Of this process; drawn at random at its start.
  IncarnationId Incarnation = UnknownIncarnation;
  FailureDomain Domain;
  std::string Ip;
  std::uint16_t CallerPort = 0;
  std::uint16_t ReadyPort = 0;   ///< Readiness check and metrics.
  std::uint16_t MetricsPort = 0; ///< 0: served on the readiness port only.
  std::uint16_t PeerPort = 0;    ///< UDP; messages of other daemons.
  std::string ReadyPath;
  std::string MetricsPath = "/metrics";
  Duration ShutdownGrace = 8s; ///< From SIGTERM until the process is killed.
  /// Time after a write to the store within which the daemons must act on it.
  Duration ChangeDeadline = 2s;
  /// Added to the time of day that this process reads. Tests of clock steps set
  /// it.
  std::chrono::milliseconds WallClockOffset{0};
  RetryBudgetLimits RetryLimits;
  std::size_t MemoryLimitBytes = std::size_t(128) << 20;
  MemoryShares Memory;
  /// Descriptors that the process may open.
  std::size_t MaxDescriptors = 1024;
  /// Set where operators order roll-outs of new versions.
  std::optional<RolloutLimits> Rollouts;
  /// Targets end if the requests that they hold exceed their memory, and
  /// callers and targets may read slowly.
  bool IsMemoryScarce = false;
  SpillSettings Spill;
};

/// Accepts connections of callers and routes their requests to targets.
/// Everything runs on one event loop: a request needs only a few microseconds
/// of decisions between reads and writes, and handing it between threads would
/// cost more than that saves.
class Gateway : public DirectoryObserver,
                public ChangeRelay,
                private http::CallerConnectionHandler,
                private ExchangeControl,
                private SlotDecisionSink,
                private OriginSink,
                private RolloutOutlet {
public:
  Gateway(asio::io_context &Loop, GatewaySettings Settings,
          const HeaderNames &Names, EventLog &Log, GatewayMetrics &Metrics,
          RandomSource &Random);
  ~Gateway() override;

  /// Opens the listeners and the peer socket.
  std::error_code start();
  /// Begins a graceful stop: the readiness check fails, new connections are no
  /// longer accepted once the load balancer has noticed, and running requests
  /// are completed. Stops the loop when no request and no connection is left,
  /// or at the end of the shutdown grace.
  void stop();
  /// Called after the process was suspended or stalled and runs again.
  std::function<void()> OnResumed;
  /// Called periodically with the number of daemons that may be serving.
  std::function<void(std::size_t)> OnDaemonCount;
  /// Called with changes of the store's keys that another daemon has relayed.
  std::function<void(const RelayedChanges &)> OnRelayedChanges;
  /// Called with the records of software versions that the store should hold.
  std::function<void(std::span<const VersionRecord>)> OnVersionRecords;
  /// Called to write the status or the record of a rollout under the condition
  /// that its key is at a revision. onRolloutWritten() is to be called then.
  std::function<void(const RolloutStatus &, StoreRevision)> OnRolloutStatus;
  std::function<void(const RolloutRecord &, StoreRevision)> OnRolloutRecord;

  void onPlan(RoutePlanPtr Plan) override;
  void onTargetUpdated(const TargetEntry &Entry) override;
  void onTargetRemoved(const TargetName &Id, bool AfterOutage) override;
  void onPeerUpdated(const std::string &Vm,
                     const PeerEndpoint &Address) override;
  void onPeerRemoved(const std::string &Vm) override;
  void onVersionRecords(std::span<const VersionRecord> Records) override;
  void onRolloutOrder(const ServiceName &Service,
                      std::optional<RolloutOrder> Order) override;
  void onRolloutStatus(const ServiceName &Service,
                       std::optional<RolloutStatus> Status) override;
  void onRolloutRecord(const ServiceName &Service,
                       std::optional<RolloutRecord> Record) override;
  void onDirectoryComplete() override;
  void onDirectoryConfirmed(TimePoint Time) override;
  void onDirectoryOrigin(const ChangeOrigin &Origin) override;
  /// A write of OnRolloutStatus or OnRolloutRecord has ended.
  void onRolloutWritten(const ServiceName &Service);

  /// The delegate of a large failure domain relays.
  bool isRelaying() const override;
  void stamp(RelayedChanges &Message) const override;
  void sendToDomain(std::string_view Bytes) override;
  void sendChanges(const PeerEndpoint &Receiver,
                   std::string_view Bytes) override;

  bool isReady() const;
  /// The other daemons whose addresses are known.
  std::vector<PeerEndpoint> peers() const { return m_Peers.endpoints(); }
  /// To be called before an answer of the store is used, since it may have
  /// arrived before a suspension that no tick has noticed yet.
  void checkSuspension() { checkSuspension(std::chrono::steady_clock::now()); }

  /// Where a request would go now, and why. Sends and reserves nothing; draws a
  /// random number for the Retry-After. \p WantedService: of a route with
  /// several; empty: that of the largest share. Copies the queue and the grants
  /// of the broker.
  PlacementReport explainPlacement(http::Request Message,
                                   std::string_view WantedService,
                                   TimePoint Now);

private:
  struct ServiceState {
    DispatchQueue Queue;
    DispatchRate Rate;
    Duration BrokerBacklog{0}; ///< Last backlog that the broker reported.
  };
  /// A request for which this daemon has requested a slot from the broker.
  struct PendingSlotRequest {
    TimePoint FirstSent{};
    TimePoint LastSent{};
    bool RefuseIfLate = false; ///< See requestSlot().
    bool Answered = false;     ///< The broker has replied at least once.
    /// Time of a slot by the broker's first estimate, once it has queued the
    /// request.
    TimePoint ExpectedAt{};
  };
  /// A request for which this daemon has requested a permit under the rate
  /// limit of a target in another failure domain.
  struct PendingPermit {
    std::uint64_t Target = 0; ///< TrackedTarget::Hash.
    TimePoint SentAt{};
    /// The broker of the own failure domain has refused the request.
    bool RefuseIfDenied = false;
  };
  /// A target whose registration expired during an outage of the store. It is
  /// removed at \p Until unless it registers again before.
  struct ExpiredTarget {
    TargetName Id;
    TimePoint Until;
  };

  // Connections of callers.
  void onRequest(http::CallerConnection &Connection, http::Request &&Message,
                 TimePoint FirstByte) override;
  void onCallerLeft(http::CallerConnection &Connection) override;
  void onRejected(int Status, std::string_view Reason,
                  std::string_view Start) override;
  void onClosed(http::CallerConnection &Connection) override;
  bool isLeaving() const override { return m_Stopping; }
  bool reserveMemory(const http::CallerConnection &Connection,
                     http::MemoryUse Use, std::size_t Bytes,
                     std::size_t Total) override {
    return m_Callers.reserve(Connection, Use, Bytes, Total);
  }
  void overdrawMemory(http::MemoryUse Use, std::size_t Bytes) override {
    m_Callers.overdraw(Use, Bytes);
  }
  void releaseMemory(http::MemoryUse Use, std::size_t Bytes) override {
    m_Callers.release(Use, Bytes);
  }
  http::HeaderList rejectionFields(int Status) override;

  // Exchanges.
  bool hasOtherTarget(const Exchange &Running, bool IsFree) const override;
  bool isDirectoryFresh(TimePoint Now) const override;
  void waitForSlot(const ExchangePtr &Waiting) override;
  void onDispatch(const Exchange &Running) override;
  void onFirstEvent(const Exchange &Running) override;
  void onTargetReleased(const Exchange &Released,
                        const SlotUpdate &Update) override;
  void onExchangeEnded(Exchange &Ended, bool MayHaveRun) override;
  bool onIncompleteAnswer(const ExchangePtr &Broken, const TargetPtr &Target,
                          std::string_view Reason) override;
  void onSoundAnswer(const Exchange &Running, TimePoint Begun) override;
  void onAnswer(const Exchange &Answered, bool IsBad) override;
  void onTargetLeaving(const TargetPtr &Target) override;
  void onOtherTargetLeaving(const TargetPtr &Expected) override;
  void onTargetPaused(const TargetPtr &Target) override;
  void onTargetRateLimit(const TargetPtr &Target, int Status,
                         const RateLimitStatement &Statement) override;
  bool bufferAnswer(const http::CallerConnection &Caller, std::size_t Bytes,
                    std::size_t Total) override {
    return m_Callers.reserve(Caller, http::MemoryUse::Answer, Bytes, Total);
  }
  void overdrawBuffer(std::size_t Bytes) override {
    m_Callers.overdraw(http::MemoryUse::Answer, Bytes);
  }
  void releaseBuffer(std::size_t Bytes) override {
    m_Callers.release(http::MemoryUse::Answer, Bytes);
  }
  std::size_t maxAnswerBytes() const override {
    return m_Callers.account().longLimit(MemoryPool::Answers);
  }
  bool isAnswerMemoryShort(const http::CallerConnection &Caller) override {
    return m_Callers.isAnswerMemoryShort(Caller);
  }
  std::optional<Duration> retryAfter(const Exchange &Refused) override;

  // Messages to and from the slot broker of this failure domain.
  void onSlotDecision(const std::string &Vm,
                      const SlotDecision &Decision) override;
  /// Handles a decision on a slot request of this daemon.
  void handleDecision(const SlotDecision &Decision);
  /// Determines which daemon is the broker, and announces this daemon's
  /// requests to a new one.
  void updateBroker(TimePoint Now);
  bool isBrokerReachable(TimePoint Now) const {
    return m_DecideLocallyUntil <= Now;
  }
  /// Sends a slot request to the broker, for the first time or again.
  /// \p RefuseIfLate: the broker is to refuse the request instead of queueing
  /// it if the request would start too late for the latency target. The value
  /// of the first time holds for all.
  void requestSlot(const ExchangePtr &Waiting, bool RefuseIfLate,
                   TimePoint Now);
  /// The same for requestSlot(), with the targets that this daemon excludes.
  SlotRequest slotRequestFor(const Exchange &Waiting, bool RefuseIfLate,
                             TimePoint Now) const;
  /// The request as its broker needs it, apart from what slotRequestFor() adds.
  SlotRequest describe(const Exchange &Waiting, TimePoint Now) const;
  /// Requests a permit for a target of another failure domain that is expected
  /// to meet the latency target; false if there is none. \p RefuseIfDenied:
  /// refuse the request without a permit, else it waits on.
  bool requestPermit(const ExchangePtr &Waiting, bool RefuseIfDenied,
                     TimePoint Now);
  /// Handles the decision on a permit. A permit that is no longer needed is
  /// lost.
  void handlePermit(const SlotDecision &Decision, const TargetPtr &Target);
  /// Gives up permits that were requested BrokerTimeout ago.
  void checkPermits(TimePoint Now);
  /// The request gets no permit: refuses it, or lets it wait on.
  void denyPermit(TicketNumber Number);
  void logUnusedGrant(const Exchange &Waiting, const SlotDecision &Decision,
                      std::string_view Reason);
  /// Sends a request to the target that a broker has granted.
  void dispatchGranted(const ExchangePtr &Granted, const TargetPtr &Target,
                       PermitSource Permit, TimePoint Now);
  void sendToBroker(const SlotMessage &Message, TimePoint Now);
  /// Handles a message of another daemon, unless it is of a process that no
  /// longer runs, or for one.
  void handlePeerSlotMessage(SlotMessage Message, TimePoint Now);
  void handleSlotMessage(const SlotMessage &Message, TimePoint Now);
  /// Resends slot requests whose answer may be lost. If the broker has not
  /// answered one within BrokerTimeout, this daemon chooses targets itself for
  /// LocalDecisionPeriod.
  void checkSlotRequests(TimePoint Now);
  /// Tells the broker that a slot request, or the slot granted on it, is not
  /// needed.
  void withdrawSlotRequest(TicketNumber Number, TimePoint Now);

  // Traffic between failure domains.
  /// Records at the broker what \p Message tells of the domain's own demand.
  void recordDemand(const SlotMessage &Message, TimePoint Now);
  /// The same of a decision of this broker.
  void recordDecision(const std::string &Vm, const SlotDecision &Decision);
  /// Records that a target has released a request of this daemon.
  void recordAnswer(const Exchange &Released, const SlotUpdate &Update);
  /// What this daemon, as the broker, offers to the other domains; applies it
  /// here as well.
  std::vector<ServiceOffer> makeOffers(TimePoint Now);
  void applyOffers(const FailureDomain &Domain,
                   std::span<const ServiceOffer> Offers, TimePoint Now);
  /// Sends a request that has no slot in this domain to a target of another one
  /// if that is worth it; see SpillControl. \p HomeWait: expected wait here;
  /// std::nullopt if the broker has refused it. \p OffersOnly: considers no
  /// domains that state no offers.
  bool tryLeaveDomain(const ExchangePtr &Waiting,
                      std::optional<Duration> HomeWait, bool OffersOnly,
                      TimePoint Now);
  /// The target of another failure domain for tryLeaveDomain(), with
  /// \p Control.
  std::optional<Departure>
  chooseDeparture(const Exchange &Waiting, std::span<const TargetPtr> Targets,
                  SpillControl &Control, std::optional<Duration> HomeWait,
                  bool OffersOnly, TimePoint Now) const;
  /// Tries the same for the requests that the broker has queued.
  void tryLeaveQueue(TimePoint Now);

  // Explanations for operators.
  /// Status and body of the answer to a call that describes a request.
  std::pair<int, std::string>
  answerPlacementCall(const http::RequestHead &Call);
  /// What admit() would do.
  void explainAdmission(const Exchange &New, PlacementReport &Report,
                        TimePoint Now);
  void explainLocalDecision(const Exchange &New,
                            std::span<const TargetPtr> Targets,
                            PlacementReport &Report, TimePoint Now);
  std::vector<PlacementDomain>
  explainDomains(const ServiceName &Service, std::span<const TargetPtr> Targets,
                 TimePoint Now);

  // Streams that callers take up.
  void sendOrigin(const std::string &Vm, const OriginMessage &Message) override;
  void onOriginResult(TicketNumber Number, const OriginResult &Result) override;
  /// Finds out which version began the stream of \p Resuming, then admits or
  /// refuses the request.
  void resumeStream(const ExchangePtr &Resuming, TimePoint Now);
  /// Admits a request whose stream began at \p Version. \p Source and \p Result
  /// tell how the version is known.
  void admitResumed(const ExchangePtr &Resuming, VersionId Version,
                    std::string_view Source, const OriginResult &Result,
                    TimePoint Now);
  void refuseResumed(const ExchangePtr &Resuming, std::string_view Source,
                     const OriginResult &Result, std::string_view Reason);
  void logResumed(const Exchange &Resuming, std::string_view Source,
                  const OriginResult &Result);
  /// The only version that can have begun a stream that may still be taken up;
  /// std::nullopt if there are several, or if this daemon cannot tell.
  std::optional<VersionId> soleVersion(TimePoint Now) const;
  /// The same by what this daemon knows, though it may be cut off from the
  /// store.
  std::optional<VersionId> soleKnownVersion() const;
  /// Records which services serve streams, updates the versions of the targets,
  /// and writes them to the store where that is due.
  void updateVersions(TimePoint Now);
  /// Tells all targets from when on their versions may begin streams.
  void updateSettled();
  void storeVersions(TimePoint Now);
  /// The time of day since the Unix epoch; it may step.
  std::chrono::milliseconds wallClock() const;
  /// Whether the origins of streams are sent to other daemons, since more than
  /// one version is possible. Sends those of before when that begins.
  bool updateOriginSharing(TimePoint Now);
  void recordStreamServices(TimePoint Now);
  /// Whether a target of the version at which the stream of \p Waiting has to
  /// go on is registered and does not leave.
  bool hasTargetOfVersion(const Exchange &Waiting) const;

  // Requests that crash targets.
  /// Updates the refused causes, ends the requests that have them, and
  /// exchanges evidence with the other daemons.
  void updateCrashCauses(TimePoint Now);
  void sendCrashEvidence(TimePoint Now);

  // Rollouts.
  void sendToDelegate(std::string_view Bytes) override;
  void sendToOwnDomain(std::string_view Bytes) override;
  void sendToDelegates(std::string_view Bytes) override;
  void writeStatus(const RolloutStatus &Next, StoreRevision Expected) override;
  void writeRecord(const RolloutRecord &Next, StoreRevision Expected) override;
  std::uint32_t countElsewhere(const ServiceName &Service,
                               VersionId To) const override;
  void reconsider(const ServiceName &Service) override;
  void giveUpElsewhere(const ServiceName &Service, VersionId To) override;
  /// Chooses the versions at which a request may run.
  void chooseVersion(const ExchangePtr &Waiting, bool IsNew, TimePoint Now);
  /// Lets a request run at other versions that was to run at an ordered one and
  /// found no slot; false if it was not.
  bool reassignVersion(const ExchangePtr &Waiting);
  void updateRollouts(TimePoint Now);

  void onSlotFreed(const ServiceName &Service);
  void acceptCallers();
  void startCaller(asio::ip::tcp::socket Socket);
  /// Accepts the connections that the kernel has queued. Closing the listener
  /// would reset them.
  void acceptPending();
  void acceptReadiness(asio::ip::tcp::acceptor &Acceptor);
  /// Answers readiness checks and requests for the metrics.
  void serveReadiness(std::shared_ptr<asio::ip::tcp::socket> Socket);
  /// Receives reports and slot messages of other daemons.
  void receivePeerMessage();
  /// Applies what another daemon reports of targets that leave.
  void applyLeavingTargets(const PeerReport &Report);
  /// Applies what another daemon reports of targets' rate limits.
  void applyRateLimits(const PeerReport &Report, TimePoint Now);
  /// Applies a statement on a target's rate limit, and logs a change.
  /// \p Source names the daemon that reported it, or the target's answer, whose
  /// \p Status is 0 if it is not known.
  void applyRateLimit(TrackedTarget &Target,
                      const RateLimitStatement &Statement,
                      std::string_view Source, int Status);
  void handleReport(PeerReport Report, TimePoint Now);
  /// Records a message of a process on \p Vm. Once a process has taken the
  /// place of another one, the slots and the waiting requests of that one are
  /// dropped.
  IncarnationStanding observePeer(const std::string &Vm,
                                  IncarnationId Incarnation, TimePoint Now);
  void sendTo(std::span<const PeerEndpoint> Peers, std::string_view Bytes);
  void updateDaemonCount(TimePoint Now);
  Duration reportPeriod() const;
  /// Sends a report to the daemons of this failure domain once per
  /// reportPeriod(). The delegate also sends the domain summary to the other
  /// failure domains, and in a large domain to the daemons there.
  void sendReports(TimePoint Now);
  /// Sends each daemon of this failure domain the summary without that daemon.
  void sendOwnDomainSummaries(const PeerReport &Summary, TimePoint Now);
  /// Whether this daemon knows the usage of the others of its failure domain by
  /// the delegate's summary, instead of by a report of each.
  bool usesOwnSummary() const {
    return m_RemoteBroker.has_value() && m_Peers.isDomainLarge();
  }
  /// Logs a change of the share of rate limits from which this daemon grants as
  /// the broker, while there are any.
  void logBrokerShare(const PeerRegistry::DelegateSupport &Support,
                      double Share);
  /// Updates this daemon's shares of the targets' rate limits, and draws
  /// permits for those that cannot hold a whole token.
  void updateRateLimitShares(TimePoint Now);
  /// Updates, once per reportPeriod(), the load that other daemons cause at
  /// each target and the requests that this daemon may send there.
  void refreshTargetLoads(TimePoint Now);
  /// Refuses a request for which the plan has no route or no customer. While
  /// the plan may be outdated, the request is held until it is confirmed, and
  /// is refused for the time being if that takes too long.
  void refuseByPlan(http::CallerConnection &Connection, http::Request &&Message,
                    TimePoint FirstByte, const RequestFacts &Facts,
                    RefusalCause Cause);
  /// The cause to state for a refusal by the plan.
  RefusalCause planRefusal(RefusalCause Cause, TimePoint Now) const;
  /// Decides on the held requests again.
  void releaseUnconfirmed();
  /// Logs and answers a request that is refused before its admission.
  void refuseNew(http::CallerConnection &Connection,
                 const http::RequestHead &Head, const RequestFacts &Facts,
                 RefusalCause Cause, Duration ExpectedWait);
  void answerCaller(http::CallerConnection &Connection, int Status,
                    std::string_view Reason,
                    std::optional<Duration> RetryAfter);
  /// Requests a slot for a new request. While the broker is unreachable,
  /// dispatches, queues or refuses the request instead.
  void admit(const ExchangePtr &New, TimePoint Now);
  /// Refuses a request that cannot start in time because all targets of its
  /// service have asked for a pause; false if it may wait.
  bool refuseIfPaused(const ExchangePtr &Waiting, TimePoint Now);
  /// Refuses waiting requests whose time to wait is over, or ends before the
  /// pause for which all targets of the service have asked.
  void refuseExpired(const ServiceName &Service, TimePoint Now);
  /// Puts a request into the queue of its service.
  void enqueue(const ExchangePtr &Waiting);
  /// Calls dispatchWaiting() for the service after the running handler has
  /// returned.
  void scheduleDispatch(const ServiceName &Service);
  /// Dispatches the waiting requests of a service, and refuses those that have
  /// waited too long.
  void dispatchWaiting(const ServiceName &Service);
  TargetChoiceInput choiceInput(const Exchange &Waiting, TimePoint Now) const;
  /// Sends the request to a target that this daemon chooses; false if none is
  /// suitable. \p RemoteDomainsOnly: considers only targets of other failure
  /// domains, and only if they are expected to meet the latency target.
  bool tryDispatch(const ExchangePtr &Waiting, bool RemoteDomainsOnly,
                   TimePoint Now);
  /// Sends the request to a chosen target.
  void dispatchTo(const ExchangePtr &Waiting, ChosenTarget Chosen,
                  TimePoint Now);
  /// Draws a service of the route by the weights of its shares.
  ServiceName pickService(const Route &Matched);
  /// Handles the resumption after the process was suspended or has stalled:
  /// what is known of the store, of peers and of connections may be out of
  /// date. Called before anything that has arrived meanwhile is handled.
  void checkSuspension(TimePoint Now);
  void tick();
  /// Time until the next tick.
  Duration tickPeriod() const;
  void scheduleTick(TimePoint When);
  /// Lets the next tick come within TickPeriod, since a request waits now.
  void hastenTick(TimePoint Now);
  /// Takes the steps of a graceful stop that are due.
  void continueStop(TimePoint Now);
  bool listen(asio::ip::tcp::acceptor &Acceptor, std::uint16_t Port,
              std::error_code &Error);

  asio::io_context &m_Loop;
  GatewaySettings m_Settings;
  const HeaderNames &m_Names;
  EventLog &m_Log;
  GatewayMetrics &m_Metrics;
  RandomSource &m_Random;
  asio::ip::tcp::acceptor m_Acceptor;
  asio::ip::tcp::acceptor m_ReadyAcceptor;
  asio::ip::tcp::acceptor m_MetricsAcceptor;
  asio::ip::udp::socket m_PeerSocket;
  asio::steady_timer m_TickTimer;
  asio::steady_timer m_AcceptTimer;
  std::array<char, 16384> m_PeerBuffer;
  asio::ip::udp::endpoint m_PeerSender;

  RoutePlanPtr m_Plan;
  TargetRegistry m_Targets;
  TargetConnectionPool m_Pool;
  RetryBudget m_RetryBudget;
  OutputLength m_Lengths;
  QuotaLedger m_Quotas;
  CrashCauses m_CrashCauses;
  TimePoint m_LastEvidenceAt{};
  StreamOrigins m_Origins;
  /// Daemons that were unlisted, and since when; they still count among those
  /// that keep origins for some time.
  std::map<std::string, TimePoint> m_UnlistedHolders;
  VersionHistory m_VersionHistory;
  /// Services of routes whose streams may be taken up, and when such a route
  /// was last in force.
  std::map<std::string, TimePoint> m_StreamServices;
  bool m_SharesOrigins = false; ///< Several versions were possible.
  DirectoryView m_View;
  ConfirmationQueue m_Unconfirmed;
  TimePoint m_OriginsSharedAt{};
  /// Since when the store lacks records of versions.
  std::optional<TimePoint> m_RecordsDueSince;
  TimePoint m_LastVersionWriteAt{};
  PeerRegistry m_Peers;
  /// Null where operators order no rollouts.
  std::unique_ptr<RolloutController> m_Rollouts;
  SuspensionDetector m_SuspensionDetector;
  SlotBroker m_LocalBroker;
  DomainOffers m_Offers;
  SpillControl m_Spill;
  TimePoint m_LastPlacementCall{};
  /// Daemons of other failure domains are listed.
  bool m_HasOtherDomains = false;
  /// The delegate of this failure domain, which is also its slot broker;
  /// std::nullopt if that is this daemon.
  std::optional<PeerRegistry::Delegate> m_RemoteBroker;
  TimePoint m_BrokerSince{}; ///< Time of the last change of the broker.
  double m_LoggedBrokerShare = 0;
  bool m_UsedOwnSummary = false; ///< usesOwnSummary() at the last tick.
  /// Until this time the broker counts as unreachable.
  TimePoint m_DecideLocallyUntil{};
  std::unordered_map<TicketNumber, PendingSlotRequest> m_PendingSlotRequests;
  std::unordered_map<TicketNumber, PendingPermit> m_PendingPermits;
  std::map<std::string, ServiceState> m_Services;
  /// Targets that leave or were removed, and since when; named in the reports
  /// to other daemons.
  std::map<LeavingTarget, TimePoint> m_LeavingTargets;
  /// Targets that stated in an answer that they leave, by TrackedTarget::Hash,
  /// and since when; named in the reports to other daemons.
  std::map<std::uint64_t, TimePoint> m_AnnouncedLeaving;
  /// The last statement of a rate limit, and of none, in an answer of a target
  /// to this daemon; included in the reports to other daemons. What others
  /// reported is not, since each hop adds its delay to the time.
  std::map<RateLimitKey, RateLimitStatement> m_OwnRateLimitStatements;
  std::vector<ExpiredTarget> m_ExpiredTargets;
  CallerTable m_Callers;
  std::unordered_map<const http::CallerConnection *, ExchangePtr>
      m_ExchangeByCaller;
  std::unordered_map<TicketNumber, ExchangePtr> m_ExchangeByNumber;
  std::vector<ServiceName> m_ServicesToDispatch;
  TicketNumber m_NextTicketNumber = 1;
  std::uint64_t m_ReportSequence = 0;
  bool m_DirectoryComplete = false;
  bool m_Stopping = false;
  bool m_ListenerClosed = false;
  TimePoint m_StopStartedAt{};
  TimePoint m_StopDeadline{}; ///< End of the shutdown grace.
  LoopDelay m_LoopDelay;
  TimePoint m_NextTickAt{};
  std::uint64_t m_TickCount = 0;
  TimePoint m_LastReportAt{};
  TimePoint m_LastRefreshAt{};
  TimePoint m_LastSlowTickAt{};
};

} // namespace mangodeck

#endif
