#ifndef MANGODECK_GATEWAY_QUOTALEDGER_H
#define MANGODECK_GATEWAY_QUOTALEDGER_H

#include "mangodeck/common/random.h"
#include "mangodeck/gateway/incarnationtracker.h"
#include "mangodeck/version/routeplan.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// Usage of a customer's limit, as a daemon reports it to the others. Units are
/// tokens or requests, whichever the limit counts.
struct QuotaUsage {
  double AdmittedUnits = 0;   ///< Since the daemon's start.
  double DemandPerSecond = 0; ///< Units requested per second, decaying mean.
  double UnitsLeft = 0;       ///< In the daemon's copy of the token bucket.
};

/// The usage that a daemon reported, or the delegate of a failure domain for
/// all daemons there.
struct PeerUsage {
  std::string Source; ///< Name of the daemon or the failure domain.
  IncarnationId Incarnation = UnknownIncarnation; ///< Of the reporting daemon.
  std::uint32_t DaemonCount = 1; ///< Daemons whose usage is included.
  bool IsDomainSummary = false;
  /// The source holds its share of the limit only while it is reachable,
  /// instead of until PeerExpiry.
  bool Stopping = false;
  std::map<std::string, QuotaUsage> Usage; ///< By customer.
};

/// Enforces the customers' limits in one daemon. Every daemon keeps a copy of
/// the whole token bucket of each customer and charges it with the units that
/// the other daemons report as admitted, some hundred milliseconds late. A
/// bucket per daemon with a share of the burst would not do: requests are large
/// compared to the burst, and a share would not hold one.
///
/// A daemon without recent reports is assumed to use its share of the limit,
/// which follows the demand that it last reported, and its usage is not charged
/// any further. On its side of a network partition it assumes the same of the
/// others, so that the shares sum to the limit.
///
/// While the demand exceeds the limit, many daemons with the same units left
/// would each admit a request on them. So each admits only its share, by
/// demand, of what the bucket holds until the next reports arrive. A request
/// larger than the rest of that share is admitted with a probability equal to
/// the rest divided by its cost.
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
  /// Starts a report period: the reports of the other daemons have been
  /// charged, and the next ones arrive after \p Period.
  void startReportPeriod(Duration Period);

  /// Charges \p Cost units if the limit allows them and returns std::nullopt;
  /// else returns the time after which the limit is expected to allow them.
  std::optional<Duration> charge(const CustomerName &Customer, double Cost,
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
  /// another way, and would be counted twice.
  void forgetPeers();
  /// The share of the limit that this daemon and the reachable ones may use,
  /// from 0 to 1.
  double reachableShare(const CustomerName &Customer, TimePoint Now);

private:
  /// Demand of the other daemons for a customer's units, per second.
  struct PeerDemand {
    double Reachable = 0;
    double ReachableInDomain = 0; ///< The part without domain summaries.
    double Unreachable = 0;       ///< Of daemons that still hold their share.
  };
  struct Account {
    double UnitsPerSecond = 0;
    double BurstUnits = 0;
    double UnitsLeft = 0;
    QuotaUsage OwnUsage;
    /// Units admitted by the daemons of this failure domain.
    double DomainAdmittedUnits = 0;
    /// Units admitted by this daemon in the current report period.
    double PeriodAdmittedUnits = 0;
    PeerDemand OthersDemand;
    TimePoint UpdatedAt{};
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
  /// Whether this daemon's share of the units, or else a random draw, allows a
  /// request that the bucket can hold.
  bool mayAdmit(const Account &State, const ReachableDaemons &Reachable,
                double Cost);

  std::unordered_map<std::string, Account> m_Accounts;
  std::map<std::string, Peer> m_Peers; ///< By PeerUsage::Source.
  RandomSource &m_Random;
  std::size_t m_ReachableDaemons = 0;   ///< Daemons of reachable peers.
  std::size_t m_UnreachableDaemons = 0; ///< Daemons of unreachable peers.
  TimePoint m_NextStandingChange = TimePoint::max();
  std::size_t m_DaemonCount = 1;
  Duration m_ReportPeriod{0};
};

} // namespace mangodeck

#endif
