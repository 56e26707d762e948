#ifndef MANGODECK_GATEWAY_QUOTALEDGER_H
#define MANGODECK_GATEWAY_QUOTALEDGER_H

#include "mangodeck/version/routeplan.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// What a daemon tells the others about a customer's requests.
struct CustomerUse {
  double Admitted = 0; ///< Units admitted since the daemon's start.
  double Demand = 0;   ///< Units asked for per second, decaying mean.
  double Level = 0;    ///< Units left in its copy of the bucket.
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
class QuotaLedger {
public:
  /// Takes over the limits of a plan.
  void configure(const RoutePlan &Plan, TimePoint Now);
  /// What another daemon told. \p Incarnation tells its starts apart; a
  /// daemon that is \p Stopping no longer counts once it is silent.
  void onPeerUse(const std::string &Peer, std::uint64_t Incarnation,
                 bool Stopping, const std::map<std::string, CustomerUse> &Use,
                 TimePoint Now);
  /// Daemons that may be serving, this one included.
  void setDaemons(std::size_t Count);

  /// Books \p Cost units. std::nullopt if they are within the limit, else the
  /// time until they would be.
  std::optional<Duration> take(const CustomerName &Customer, double Cost,
                               TimePoint Now);
  /// Returns what was booked for a request that never ran.
  void giveBack(const CustomerName &Customer, double Cost);
  /// Own use by customer, for the other daemons.
  std::map<std::string, CustomerUse> use(TimePoint Now);
  /// The part of the limit that this daemon and those heard may use, 0 to 1.
  double reach(const CustomerName &Customer, TimePoint Now) const;

private:
  struct Account {
    double PerSecond = 0;
    double Burst = 0;
    double Level = 0;
    CustomerUse Own;
    TimePoint Updated{};
  };
  struct Peer {
    std::uint64_t Incarnation = 0;
    bool Stopping = false;
    std::map<std::string, CustomerUse> Use;
    TimePoint Heard{};
  };
  void advance(const std::string &Name, Account &State, TimePoint Now);
  double reachOf(const std::string &Name, double OwnDemand,
                 TimePoint Now) const;

  std::unordered_map<std::string, Account> m_Accounts;
  std::map<std::string, Peer> m_Peers;
  std::size_t m_Daemons = 1;
  TimePoint m_Started{};
};

} // namespace mangodeck

#endif
