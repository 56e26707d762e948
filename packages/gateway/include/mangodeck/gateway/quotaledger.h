#ifndef MANGODECK_GATEWAY_QUOTALEDGER_H
#define MANGODECK_GATEWAY_QUOTALEDGER_H

#include "mangodeck/common/random.h"
#include "mangodeck/version/routeplan.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// What a daemon tells the others about a customer's requests.
struct QuotaUsage {
  double AdmittedUnits = 0;   ///< Units admitted since the daemon's start.
  double DemandPerSecond = 0; ///< Units asked for per second, decaying mean.
  double UnitsLeft = 0;       ///< Units left in its copy of the bucket.
};

/// The use that a daemon, or the daemons of a failure domain, told.
struct PeerUsage {
  std::string Source;            ///< Names the daemon or failure domain.
  std::uint64_t Incarnation = 0; ///< Tells starts of the teller apart.
  std::uint32_t DaemonCount = 1; ///< That it speaks of.
  bool IsDomainSummary = false;  ///< Of a failure domain.
  bool Stopping = false;         ///< No longer counts once it is silent.
  std::map<std::string, QuotaUsage> Usage; ///< By customer.
};

/// The customers' limits, as one daemon enforces them. Answers the load of
/// requests that are large against a limit's burst: a daemon's part of the
/// burst would not hold one. So every daemon keeps a copy of the whole token
/// bucket and charges it with what the others tell that they admitted, some
/// hundred milliseconds late.
///
/// A daemon that is not heard is taken to use its part of the limit, which
/// follows the demand last told, and is not charged any further; it does the
/// same on its side of the cut, so that the parts sum to the limit.
///
/// While more is asked than the limit allows, many daemons that see the same
/// level would each admit a request on it. So each admits its part, by
/// demand, of what the bucket holds until the next reports come, and a request
/// larger than what is left of that part by chance.
class QuotaLedger {
public:
  explicit QuotaLedger(RandomSource &Random) : m_Random(Random) {}

  /// Takes over the limits of a plan.
  void configure(const RoutePlan &Plan, TimePoint Now);
  /// What another daemon told, or the daemons of another failure domain
  /// together.
  void onPeerUsage(const PeerUsage &Told, TimePoint Now);
  /// Daemons that may be serving, this one included.
  void setDaemonCount(std::size_t Count);
  /// The other daemons' reports are in; the next come after \p Period.
  void startReportPeriod(Duration Period);

  /// Books \p Cost units. std::nullopt if they are within the limit, else the
  /// time until they would be.
  std::optional<Duration> charge(const CustomerName &Customer, double Cost,
                                 TimePoint Now);
  /// Returns what was booked for a request that never ran.
  void refund(const CustomerName &Customer, double Cost);
  /// Own use by customer, for the daemons of this failure domain.
  std::map<std::string, QuotaUsage> usage(TimePoint Now);
  /// Use of this failure domain by customer, for the others.
  std::map<std::string, QuotaUsage> domainUsage(TimePoint Now);
  /// The part of the limit that this daemon and those heard may use, 0 to 1.
  double reachableShare(const CustomerName &Customer, TimePoint Now) const;

private:
  struct Account {
    double PerSecond = 0;
    double Burst = 0;
    double Level = 0;
    QuotaUsage Own;
    double DomainAdmitted = 0; ///< By daemons of this failure domain.
    double PeriodAdmitted = 0; ///< By this daemon since the last reports.
    TimePoint Updated{};
  };
  struct Peer {
    PeerUsage Last;
    TimePoint Heard{};
  };
  void advance(const std::string &Name, Account &State, TimePoint Now);
  struct Contact {
    double Reach = 1;     ///< Part of the limit that those in contact may use.
    double AllDemand = 0; ///< Of those in contact, units per second.
  };
  Contact contactOf(const std::string &Name, double OwnDemand,
                    TimePoint Now) const;
  bool mayAdmit(const Account &State, const Contact &Told, double Cost);

  std::unordered_map<std::string, Account> m_Accounts;
  std::map<std::string, Peer> m_Peers;
  RandomSource &m_Random;
  std::size_t m_Daemons = 1;
  Duration m_Period{0};
};

} // namespace mangodeck

#endif
