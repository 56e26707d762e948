#ifndef MANGODECK_GATEWAY_PEERREGISTRY_H
#define MANGODECK_GATEWAY_PEERREGISTRY_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"
#include "mangodeck/gateway/crashguard.h"
#include "mangodeck/gateway/quotaledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// Work of one daemon on one target.
struct TargetLoad {
  std::uint64_t Target = 0; ///< KnownTarget::Hash.
  std::uint32_t Running = 0;
  TokenCount Prefill = 0;
};

/// Work of several daemons, by target.
using TargetLoads = std::map<std::uint64_t, TargetLoad>;
void addLoad(TargetLoads &Sums, const TargetLoad &Load);

/// A request of one daemon at a target.
struct ReportedRequest {
  std::uint64_t Number = 0; ///< Of the request at its daemon.
  std::uint64_t Target = 0; ///< KnownTarget::Hash.
  TokenCount Prefill = 0;   ///< 0 once the first event came.
};

/// What a daemon tells the others of its failure domain several times a
/// second. A digest is the same of all daemons of a failure domain together,
/// made by one of them for the other domains: so the messages of a daemon grow
/// with the size of its own domain only, and few cross between domains.
struct PeerReport {
  std::string Vm; ///< Of the daemon, or the one that made the digest.
  FailureDomain Domain;
  std::uint32_t DaemonCount = 1; ///< Daemons that it speaks of.
  bool IsDomainSummary = false;
  bool Forwarded = false; ///< A digest, passed on within the domain.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  bool Stopping = false;
  std::vector<ReportedRequest>
      RunningRequests;                   ///< Of a daemon; a digest has none.
  std::vector<TargetLoad> Loads;         ///< Sums of the runs.
  std::map<std::string, QuotaUse> Usage; ///< By customer.
  std::vector<CrashMark> CrashMarks;
  std::vector<std::uint64_t>
      LeavingTargets; ///< Targets that leave or are gone.
};

/// Sums the runs of a daemon by target.
std::vector<TargetLoad> sumLoadsByTarget(std::span<const ReportedRequest> Runs);

/// Encodes a report as MessagePack.
std::string encodeReport(const PeerReport &Report);
/// std::nullopt for bytes that are no report.
std::optional<PeerReport> decodeReport(std::string_view Bytes);

/// Where a daemon receives reports.
struct PeerEndpoint {
  std::string Ip;
  std::uint16_t Port = 0;
  FailureDomain Domain;
  bool operator==(const PeerEndpoint &) const = default;
};

/// The other daemons: where they are, and what they told last.
class PeerRegistry {
public:
  PeerRegistry(std::string OwnVm, FailureDomain Home);

  /// The store lists a daemon.
  void markListed(const std::string &Vm, const PeerEndpoint &Address);
  /// The store lists it no longer. It counts for a while, since it may live
  /// on behind a cut.
  void markUnlisted(const std::string &Vm, TimePoint Now);
  /// Takes a report over; false if it is older than what is known.
  bool accept(PeerReport Report, TimePoint Now);

  /// Daemons of the own failure domain, to send reports to.
  std::vector<PeerEndpoint> ownDomainEndpoints() const;
  /// Some daemons of each other failure domain, to send digests to.
  std::vector<PeerEndpoint> remoteDomainEndpoints() const;
  /// Whether this daemon makes the digests of its failure domain: the first by
  /// name of those that are heard.
  bool isDelegate(TimePoint Now) const;
  /// The daemon that makes the digests and hands out the slots of this failure
  /// domain; std::nullopt if that is this one.
  struct Delegate {
    std::string Vm;
    std::uint64_t Incarnation = 0;
    std::optional<PeerEndpoint> Endpoint; ///< Unless it was never listed.
    bool operator==(const Delegate &) const = default;
  };
  std::optional<Delegate> delegate(TimePoint Now) const;
  /// Where a daemon of the own failure domain listens, if it is listed.
  std::optional<PeerEndpoint> endpointOf(const std::string &Vm) const;
  /// All daemons of the own failure domain in one report; \p Own is this
  /// daemon's.
  PeerReport summarizeDomain(const PeerReport &Own, TimePoint Now) const;
  /// Daemons that may be serving, this one included.
  std::size_t daemonCount(TimePoint Now) const;
  /// Work of the daemons heard lately, by target.
  TargetLoads peerLoads(TimePoint Now) const;
  /// The same of the other failure domains' daemons only.
  TargetLoads remoteDomainLoads(TimePoint Now) const;
  /// Daemons of the own failure domain that were heard lately.
  std::size_t countReachableInOwnDomain(TimePoint Now) const;

private:
  struct Peer {
    std::optional<PeerEndpoint> Address;
    std::optional<TimePoint> Removed;
    PeerReport Last;
    TimePoint Heard{};
    bool Stopped = false;
  };
  static void addLoads(const std::map<std::string, Peer> &Table, TimePoint Now,
                       TargetLoads &Sums);

  std::string m_OwnVm;
  FailureDomain m_Home;
  std::map<std::string, Peer> m_Peers;   ///< By name.
  std::map<std::string, Peer> m_Domains; ///< Digests by failure domain.
};

} // namespace mangodeck

#endif
