#ifndef MANGODECK_GATEWAY_QUOTALEDGER_H
#define MANGODECK_GATEWAY_QUOTALEDGER_H

#include "mangodeck/common/random.h"
#include "mangodeck/gateway/incarnationtracker.h"
#include "mangodeck/version/routeplan.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mangodeck {

/// Usage of a customer's limit, as a daemon reports it to the others. Units are
/// tokens or requests, whichever the limit counts.
struct QuotaUsage {
  double AdmittedUnits = 0;   ///< Since the daemon's start.
  double DemandPerSecond = 0; ///< Units requested per second, decaying mean.
  /// In the daemon's copy of the token bucket; of the whole limit, if the
  /// daemon uses a share of it.
  double UnitsLeft = 0;
  /// The daemon started so recently that all of AdmittedUnits is to be charged
  /// by those that have no earlier report.
  bool IsSinceStart = false;
};

/// The usage that a daemon reported, or the delegate of a failure domain for
/// all daemons there.
struct PeerUsage {
  std::string Source; ///< Name of the daemon or the failure domain.
  IncarnationId Incarnation = UnknownIncarnation; ///< Of the reporting daemon.
  std::uint32_t DaemonCount = 1; ///< Daemons whose usage is included.
  bool IsDomainSummary = false;
  bool IsOwnDomain = false; ///< A domain summary of the receiver's domain.
  /// The source holds its share of the limit only while it is reachable,
  /// instead of until PeerExpiry.
  bool Stopping = false;
  std::map<std::string, QuotaUsage> Usage; ///< By customer.
};

/// Why a request was refused, for the log.
struct QuotaRefusal {
  enum class Cause : std::uint8_t {
    Units,    ///< The bucket holds too little.
    OwnShare, ///< The share of a daemon that awaits the others' reports.
    Demand,   ///< The random draw by the units left and the demand.
  };
  Cause DecidedBy = Cause::Units;
  Duration WaitTime{0}; ///< After which the limit is expected to allow it.
  double UnitsLeft = 0;
  double RequiredUnits = 0;
  double OwnDemand = 0;     ///< Units per second, this request included.
  double OthersDemand = 0;  ///< Of the daemons in contact.
  double LimitShare = 1;    ///< See QuotaLedger::reachableShare().
  double AdmittedShare = 1; ///< Probability of admission.
};
std::string_view toString(QuotaRefusal::Cause DecidedBy);

/// Enforces the customers' limits in one daemon, for up to 360 daemons that
/// each see a few requests a second. Every daemon keeps a copy of the whole
/// token bucket of each customer and charges it with the units that the other
/// daemons report as admitted, some hundred milliseconds late. A bucket per
/// daemon with a share of the burst would not do: requests are large compared
/// to the burst, and a share would not hold one.
///
/// While the demand exceeds the limit, many daemons with the same units left
/// would each admit requests on them. So each admits a request with a
/// probability that follows from the units left and the demand at all daemons:
/// together they admit the limit's rate when the bucket holds EquilibriumShare
/// of its capacity, more above and less below. Cheaper requests are preferred
/// within bounds; the daemon's share of the demand does not matter. Below the
/// limit the bucket is nearly full, and the probability is 1.
///
/// A daemon without recent reports is assumed to use its share of the limit,
/// which follows the demand that it last reported. A failure domain that is cut
/// off from another one uses its own share only, by the demand before the cut,
/// and no longer charges the others: two domains that are cut off from each
/// other but not from a third would both use what the third leaves.
///
/// State               | Owner       | A successor learns it        | Oldest
/// used
/// --------------------|-------------|------------------------------|------------
/// units admitted      | each daemon | nobody; a new process counts | 1.5 s,
/// then
///                     |             | from 0 with half a burst     | estimated
/// copy of the bucket  | each daemon | minimum of its own and the   | 1.5 s
///                     |             | copies in first reports      |
/// demand              | each daemon | reports                      | 1.5 s
/// demand before a cut | each daemon | nobody; even shares then     | 15 s
///
/// The sums over all daemons are kept up to date by each report, so that a
/// request and a report cost the same in a fleet of any size.
class QuotaLedger {
public:
  explicit QuotaLedger(RandomSource &Random) : m_Random(Random) {}

  /// Takes the customers and their limits from \p Plan.
  void configure(const RoutePlan &Plan, TimePoint Now);
  /// Charges the usage that another daemon or failure domain reported.
  void onPeerUsage(const PeerUsage &Reported, TimePoint Now);
  /// Sets the number of daemons that may be serving, this one included.
  void setDaemonCount(std::size_t Count);
  /// To be called once per report period: charges an estimate for the daemons
  /// whose reports are overdue.
  void startReportPeriod(TimePoint Now);

  /// Charges \p Cost units if the limit allows them and returns std::nullopt;
  /// else returns what decided.
  std::optional<QuotaRefusal> charge(const CustomerName &Customer, double Cost,
                                     TimePoint Now);
  /// Probability with which charge() would admit \p Cost units now; 1 without
  /// a limit. Records the demand like charge(), so explanations ask a copy.
  double admissionChance(const CustomerName &Customer, double Cost,
                         TimePoint Now);
  /// Returns the units charged for a request that was not run.
  void refund(const CustomerName &Customer, double Cost);
  /// Usage of this daemon by customer, for its reports.
  std::map<std::string, QuotaUsage> usage(TimePoint Now);
  /// Usage of this failure domain by customer, for the domain summary.
  std::map<std::string, QuotaUsage> domainUsage(TimePoint Now);
  /// The same without the daemon \p Source, to be sent to that daemon.
  std::map<std::string, QuotaUsage>
  domainUsageWithout(const std::string &Source, TimePoint Now);
  /// Forgets the reports of all other daemons: from now on they arrive by
  /// another way, and would be counted twice. Until they have arrived, the
  /// units left are kept.
  void forgetPeers(TimePoint Now);
  /// The share of the limit that this daemon and the reachable ones may use,
  /// from 0 to 1.
  double reachableShare(const CustomerName &Customer, TimePoint Now);

private:
  /// Demand of the other daemons for a customer's units, per second.
  struct PeerDemand {
    double Reachable = 0;
    double ReachableInDomain = 0; ///< The part of the own failure domain.
    double Unreachable = 0;       ///< Of daemons that still hold their share.
  };
  /// Demand per second of the daemons in contact.
  struct DemandRecord {
    double InDomain = 0;
    double Total = 0;
  };
  struct Account {
    double UnitsPerSecond = 0;
    double BurstUnits = 0;
    double UnitsLeft = 0;
    QuotaUsage OwnUsage;
    /// Units admitted by the daemons of this failure domain.
    double DomainAdmittedUnits = 0;
    double LimitShare = 1; ///< The share to which UnitsLeft belongs.
    /// Until then the first reports of the others are awaited, see
    /// startGathering(); TimePoint{} if they are not.
    TimePoint GatheringUntil{};
    /// Units left in this daemon's own share while it awaits the reports.
    double GatheredUnits = 0;
    /// Two records of the demand while all daemons were in contact. The older
    /// one is used, which no daemon made after the start of a partition.
    DemandRecord UsedRecord;
    DemandRecord NextRecord;
    TimePoint RecordedAt{};
    PeerDemand OthersDemand;
    /// Decaying mean of the own demand. It is too low in the first seconds,
    /// which OwnUsage::DemandPerSecond corrects.
    double RawDemand = 0;
    double MeanCost = 0; ///< Of this daemon's requests; 0: none so far.
    TimePoint CreatedAt{};
    TimePoint UpdatedAt{};
    bool isGathering() const { return GatheringUntil != TimePoint{}; }
  };
  /// How a daemon or failure domain counts by the age of its last report.
  enum class Standing : std::uint8_t {
    Reachable,
    Unreachable, ///< Holds its share, which the others must not use.
    Expired,     ///< No longer counts.
  };
  struct Peer {
    PeerUsage LastUsage;
    TimePoint LastReportTime{};
    /// Units charged for the time since the last report, by customer.
    std::unordered_map<std::string, double> EstimatedUnits;
    TimePoint EstimatedUntil{}; ///< End of the time that they stand for.
    bool IsCharged = false;     ///< Its last report was, see isCharged().
    Standing Counted = Standing::Expired; ///< As what the sums include it.
    /// Units of this daemon in Account::DomainAdmittedUnits, by customer.
    std::unordered_map<std::string, double> DomainUnits;
  };
  static Standing standingOf(const Peer &Other, TimePoint Now);
  /// Time at which the standing of \p Other changes unless it reports again.
  static TimePoint standingEnd(const Peer &Other);
  /// Adds the peer to the sums, or removes it if \p Sign is -1.
  void addToSums(const Peer &Other, int Sign);
  /// The demand for a customer's units by the last reports.
  PeerDemand reportedDemand(const std::string &Name) const;
  /// Charges an estimate of the units that a reachable peer has admitted since
  /// its last report or the last estimate: as much of its demand as this daemon
  /// would admit.
  static void chargeSilence(Account &State, const std::string &Name,
                            Peer &Silent, TimePoint Now);
  /// Updates the sums if the standing of a daemon has changed by \p Now.
  void refreshStandings(TimePoint Now);
  /// Decays the demand and refills the token bucket up to \p Now.
  void advance(Account &State, TimePoint Now);
  /// This daemon and the reachable ones together.
  struct ReachableDaemons {
    double LimitShare = 1; ///< Share of the limit that they may use.
    double DemandPerSecond = 0;
  };
  /// The standings must be those at the time of the call.
  ReachableDaemons reachableDaemons(const Account &State) const;
  /// The same for this failure domain alone, while it is cut off from another.
  ReachableDaemons domainShare(const Account &State) const;
  /// Whether a remote failure domain, or a tenth of the daemons, is out of
  /// contact.
  bool isCutOff() const;
  static bool isInDomain(const PeerUsage &Reported) {
    return !Reported.IsDomainSummary || Reported.IsOwnDomain;
  }
  /// Whether the units that \p Reported states are charged: not those of other
  /// failure domains while this one uses its own share only.
  bool isCharged(const PeerUsage &Reported, TimePoint Now) const;
  /// The probability with which a request is admitted if \p DemandPerSecond is
  /// requested in all.
  static double admittedShare(const Account &State, double DemandPerSecond);
  /// What decides on a request under a limit.
  struct Assessment {
    Account &State;
    double RequiredUnits = 0;
    double Share = 1; ///< Probability of admission, if there are units.
    bool HasOwnUnits = true;
    bool hasUnits() const {
      return HasOwnUnits && State.UnitsLeft >= RequiredUnits;
    }
  };
  /// Records the demand of a request; std::nullopt without a limit.
  std::optional<Assessment> assess(const CustomerName &Customer, double Cost,
                                   TimePoint Now);
  static void updateDemand(Account &State, TimePoint Now);
  /// Begins the time in which the reports of all others arrive for the first
  /// time. Until then this daemon admits as much as its own share of the limit
  /// holds, and the request with which it exceeds that share.
  void startGathering(Account &State, TimePoint Now);

  std::unordered_map<std::string, Account> m_Accounts;
  std::map<std::string, Peer> m_Peers; ///< By PeerUsage::Source.
  RandomSource &m_Random;
  std::size_t m_ReachableDaemons = 0;   ///< Daemons of reachable peers.
  std::size_t m_ReachableInDomain = 0;  ///< Of these, in the own domain.
  std::size_t m_UnreachableDaemons = 0; ///< Daemons of unreachable peers.
  std::size_t m_RemoteDomains = 0;      ///< With a summary so far.
  std::size_t m_UnreachableDomains = 0; ///< Of these, unreachable.
  TimePoint m_GatheringUntil{};         ///< The latest of all accounts.
  TimePoint m_NextStandingChange = TimePoint::max();
  std::size_t m_DaemonCount = 1;
};

} // namespace mangodeck

#endif
