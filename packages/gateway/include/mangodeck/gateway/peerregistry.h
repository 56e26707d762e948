#ifndef MANGODECK_GATEWAY_PEERREGISTRY_H
#define MANGODECK_GATEWAY_PEERREGISTRY_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"
#include "mangodeck/gateway/incarnationtracker.h"
#include "mangodeck/gateway/quotaledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace mangodeck {

/// Requests that one or several daemons have at a target.
struct TargetLoad {
  std::uint64_t Target = 0;  ///< TrackedTarget::Hash.
  std::uint32_t Running = 0; ///< Number of requests.
  TokenCount Prefill = 0;    ///< Prompt tokens whose prefill is not finished.
};

/// Loads of several daemons, summed by target.
using TargetLoads = std::map<std::uint64_t, TargetLoad>;
void addLoad(TargetLoads &Sums, const TargetLoad &Load);

/// A request that a daemon has at a target.
struct ReportedRequest {
  std::uint64_t Number = 0; ///< Unique within the daemon.
  std::uint64_t Target = 0; ///< TrackedTarget::Hash.
  TokenCount Prefill = 0;   ///< Prompt tokens; 0 after the first event.
  /// Prompt and expected output tokens, which the request holds in the memory
  /// of an engine at its end; 0 if not known.
  TokenCount MemoryTokens = 0;
};

/// The pace of a target, see TargetLoadStatement.
struct ReportedPace {
  std::uint64_t Target = 0; ///< TrackedTarget::Hash.
  double Pace = 1;
  Duration Age{0}; ///< Since the statement; the clocks of two daemons differ.
};

/// What the broker of a failure domain lets the other domains use of a service.
/// Of a domain summary and of the reports of the delegate, and made when these
/// are sent. See DomainOffers.
struct ServiceOffer {
  std::uint64_t Service = 0; ///< hashOf().
  /// Slots that are free beyond what the domain expects to need itself; in
  /// messages in hundredths.
  double FreeSlots = 0;
  /// Slots that the domain's own expected demand lacks; in messages in
  /// hundredths.
  double LackingSlots = 0;
  double PerSecond = 0; ///< Requests of the domain's own daemons.
  Duration SlotTime{0}; ///< Mean time for which a request holds a slot.
};

/// A target that is draining or was removed.
struct LeavingTarget {
  std::uint64_t Target = 0; ///< TrackedTarget::Hash.
  /// TargetEntry::Sequence of the registration with which it left. A later
  /// registration brings it back.
  std::uint64_t Sequence = 0;
  bool operator==(const LeavingTarget &) const = default;
  bool operator<(const LeavingTarget &Other) const {
    return Target != Other.Target ? Target < Other.Target
                                  : Sequence < Other.Sequence;
  }
};

/// Identifies statements of which a report holds only the last one. Those of a
/// limit precede those of none, so that a limit that was just confirmed is not
/// raised.
struct RateLimitKey {
  std::uint64_t Target = 0; ///< TrackedTarget::Hash.
  bool IsUnlimited = false;
  bool operator<(const RateLimitKey &Other) const {
    return Target != Other.Target ? Target < Other.Target
                                  : IsUnlimited < Other.IsUnlimited;
  }
};

/// A statement of a target on its rate limit.
struct ReportedRateLimit {
  std::uint64_t Target = 0; ///< TrackedTarget::Hash.
  std::optional<double> PerSecond;
  Duration Age{0}; ///< Since the statement; the clocks of two daemons differ.
};

/// The state of a daemon, which the daemon sends to the others of its failure
/// domain once per Gateway::reportPeriod(). A domain summary holds the sums of
/// all daemons of a failure domain; the delegate of the domain makes it and
/// sends it to some daemons of each other domain. So the message rate of a
/// daemon does not grow with the size of the other domains, and few messages
/// cross between domains.
///
/// In a large failure domain, only the first daemons by name exchange reports
/// with all others, see PeerRegistry::reportReceivers(). Each of the others
/// gets a summary of its own domain, without itself, from the delegate.
struct PeerReport {
  std::string Vm; ///< The sender; of a domain summary, the delegate.
  FailureDomain Domain;
  std::uint32_t DaemonCount = 1; ///< Daemons whose state is included.
  bool IsDomainSummary = false;
  /// A domain summary that was relayed within the receiving domain. It is not
  /// relayed again.
  bool Forwarded = false;
  IncarnationId Incarnation = UnknownIncarnation; ///< Of the sender.
  std::uint64_t Sequence = 0; ///< Increases with each report of a process.
  bool Stopping = false;
  /// The sender does not receive the reports of most of its large failure
  /// domain yet, so it must not become the delegate while another daemon can
  /// be.
  bool Joining = false;
  /// Empty in a domain summary.
  std::vector<ReportedRequest> RunningRequests;
  std::vector<TargetLoad> Loads;           ///< One per target.
  std::map<std::string, QuotaUsage> Usage; ///< By customer.
  std::vector<LeavingTarget> LeavingTargets;
  /// TrackedTarget::Hash of targets that stated in an answer that they leave.
  std::vector<std::uint64_t> AnnouncedLeaving;
  /// The last statements in answers to the sender, in the order of their keys.
  std::vector<ReportedRateLimit> RateLimits;
  /// The daemon that the sender takes for the delegate of its failure domain.
  std::string Delegate;
  std::vector<ReportedPace> Paces; ///< Last statements, by target.
  std::vector<ServiceOffer> Offers;
};

/// Sums the requests of a daemon by target.
std::vector<TargetLoad>
sumLoadsByTarget(std::span<const ReportedRequest> Requests);

/// Encodes a report as MessagePack.
std::string encodeReport(const PeerReport &Report);
/// std::nullopt if \p Bytes is not an encoded report.
std::optional<PeerReport> decodeReport(std::string_view Bytes);

/// Address at which a daemon receives reports.
struct PeerEndpoint {
  std::string Ip;
  std::uint16_t Port = 0;
  FailureDomain Domain;
  bool operator==(const PeerEndpoint &) const = default;
};

/// The other daemons with their addresses and last reports.
class PeerRegistry {
public:
  PeerRegistry(std::string OwnVm, FailureDomain OwnDomain);

  /// Records that the store lists a daemon at \p Endpoint.
  void markListed(const std::string &Vm, const PeerEndpoint &Endpoint);
  /// Records that the store no longer lists a daemon. The daemon still counts
  /// in daemonCount() for a grace period, since it may be serving while a
  /// network partition separates it from the store.
  void markUnlisted(const std::string &Vm, TimePoint Now);
  /// Records a message of a process on \p Vm. If that process takes the place
  /// of another one, what the other one reported is dropped.
  IncarnationStanding observe(const std::string &Vm, IncarnationId Incarnation,
                              TimePoint Now);
  /// The process that runs on \p Vm; std::nullopt if no message of it arrived.
  std::optional<IncarnationId> incarnationOf(const std::string &Vm) const {
    return m_Incarnations.current(Vm);
  }
  /// Stores a report. Returns false and drops the report if it is not newer
  /// than the stored one, if its sender is not the process that runs on its VM,
  /// or if it is a domain summary of a second delegate while the first still
  /// sends.
  bool accept(PeerReport Report, TimePoint Now);

  /// Endpoints of all other daemons, also of those that the store no longer
  /// lists: their registrations may have expired in an outage of the store.
  std::vector<PeerEndpoint> endpoints() const;
  /// Endpoints of all other daemons of the own failure domain.
  std::vector<PeerEndpoint> ownDomainEndpoints() const;
  /// Number of other daemons of the own failure domain with an endpoint.
  std::size_t ownDomainSize() const { return m_OwnDomainSize; }
  /// Whether the own failure domain is so large that its daemons do not all
  /// report to each other.
  bool isDomainLarge() const;
  /// Endpoints of the daemons that receive this daemon's reports. In a large
  /// failure domain these are the first ones by name, passing over those that
  /// stop or have not answered for some time, and all whose reports arrive. So
  /// the first ones, of which one is the delegate, exchange reports with all,
  /// and the others send and receive few messages.
  std::vector<PeerEndpoint> reportReceivers(TimePoint Now);
  /// The own daemons' names and endpoints to which the delegate of a large
  /// domain sends a summary: those whose reports arrive.
  std::vector<std::pair<std::string, PeerEndpoint>>
  reportingDaemons(TimePoint Now) const;
  /// Endpoints of some daemons of each remote failure domain, which receive
  /// the domain summaries.
  std::vector<PeerEndpoint> remoteDomainEndpoints() const;
  /// Whether the store lists daemons of other failure domains.
  bool hasOtherDomains() const;
  /// The other failure domains in which the store lists daemons.
  std::vector<std::string> remoteDomains() const;
  /// Records that this daemon stops. It remains the delegate only of daemons
  /// that all stop.
  void markStopping() { m_Stopping = true; }
  /// Ends the joining of this daemon once it receives the reports of most of
  /// its failure domain.
  void updateJoining(TimePoint Now);
  /// See PeerReport::Joining.
  bool isJoining() const { return m_Joining && isDomainLarge(); }
  /// Whether this daemon is the delegate of its failure domain.
  bool isDelegate(TimePoint Now) const;
  /// The daemon that makes the domain summaries and hands out the slots of its
  /// failure domain: the first by name of the reachable daemons that are
  /// neither stopping nor joining, else of those that are not stopping, else of
  /// all. A daemon that has just started is known to few others at first; as
  /// the delegate of those few it would hand out slots that another one hands
  /// out, too.
  struct Delegate {
    std::string Vm;
    IncarnationId Incarnation = UnknownIncarnation;
    /// std::nullopt if the store never listed the daemon.
    std::optional<PeerEndpoint> Endpoint;
    bool operator==(const Delegate &) const = default;
  };
  /// The delegate of the own failure domain; std::nullopt if it is this daemon.
  std::optional<Delegate> delegate(TimePoint Now) const;
  /// How many of the daemons of the own failure domain that may be serving,
  /// this one and those that are stopping included, take this daemon for the
  /// delegate.
  struct DelegateSupport {
    std::size_t Supporters = 1;
    std::size_t Daemons = 1;
    /// More than half of the daemons, or half of them with the first by name,
    /// which does not stop. Each daemon supports one other at a time, so this
    /// can hold for two only while reports are under way.
    bool IsMajority = false;
  };
  DelegateSupport delegateSupport(TimePoint Now) const;
  /// Endpoint of the delegate of a remote failure domain, from whose recent
  /// summary it is known.
  std::optional<PeerEndpoint> remoteDelegate(const FailureDomain &Domain,
                                             TimePoint Now) const;
  /// Age of the last summary of a remote failure domain; std::nullopt if its
  /// loads no longer count.
  std::optional<Duration> summaryAge(const FailureDomain &Domain,
                                     TimePoint Now) const;
  /// The last listed endpoint of a daemon; std::nullopt if the store never
  /// listed it.
  std::optional<PeerEndpoint> endpointOf(const std::string &Vm) const;
  /// The summary of the own failure domain; \p Own is this daemon's report.
  /// Usage and Stopping are copied from \p Own; the caller sets them for the
  /// domain.
  PeerReport summarizeDomain(const PeerReport &Own, TimePoint Now) const;
  /// \p Summary of the own failure domain without the daemon \p Vm, to which it
  /// is to be sent. Usage is that of \p Summary.
  PeerReport summaryWithout(const std::string &Vm,
                            const PeerReport &Summary) const;
  /// Number of daemons that may be serving, this one included. Customers'
  /// limits and targets' connections are shared among them.
  std::size_t daemonCount(TimePoint Now) const;
  /// Loads of the other daemons of all failure domains, from recent reports.
  TargetLoads peerLoads(TimePoint Now) const;
  /// Loads of the daemons of remote failure domains, from recent summaries.
  TargetLoads remoteDomainLoads(TimePoint Now) const;
  /// Number of other daemons of the own failure domain with a recent report, or
  /// in a recent summary.
  std::size_t countReachableInOwnDomain(TimePoint Now) const;

private:
  struct Peer {
    std::optional<PeerEndpoint> Endpoint;
    std::optional<TimePoint> UnlistedAt;
    PeerReport LastReport;
    TimePoint LastReportTime{};
    bool Stopping = false;
    /// Since when this daemon sends its reports there as to one of the first by
    /// name; not set if it does not.
    TimePoint ExpectedSince{};
  };
  bool isInOwnDomain(const Peer &Other) const;
  /// Whether the daemon may be serving. One that is unlisted or silent still
  /// counts for a grace period.
  static bool mayBeServing(const Peer &Other, TimePoint Now);
  /// Position of a daemon of the own failure domain among the candidates for
  /// the delegate; the smallest one is the delegate.
  using DelegateRank = std::tuple<bool, bool, std::string_view>;
  DelegateRank ownDelegateRank() const {
    return {m_Stopping, isJoining(), m_OwnVm};
  }
  /// The summary of the own domain that the delegate has sent recently; null if
  /// there is none.
  const Peer *recentOwnSummary(TimePoint Now) const;
  /// Adds the loads of the peers in \p Table with a recent report to \p Sums.
  static void addRecentLoads(const std::map<std::string, Peer> &Table,
                             TimePoint Now, TargetLoads &Sums);

  std::string m_OwnVm;
  FailureDomain m_OwnDomain;
  IncarnationTracker m_Incarnations;
  std::map<std::string, Peer> m_Peers; ///< Daemons by VM name.
  std::size_t m_OwnDomainSize = 0;     ///< Of m_Peers.
  bool m_Joining = true;
  bool m_Stopping = false;
  /// Sender and last summary by failure domain.
  std::map<std::string, Peer> m_DomainSummaries;
};

} // namespace mangodeck

#endif
