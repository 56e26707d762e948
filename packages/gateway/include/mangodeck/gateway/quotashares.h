#ifndef MANGODECK_GATEWAY_QUOTASHARES_H
#define MANGODECK_GATEWAY_QUOTASHARES_H

#include "mangodeck/version/routeplan.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// This daemon's part of each customer's limit. A part of the limit is divided
/// evenly among the daemons; the rest follows the demand that the daemons tell
/// each other. A daemon out of contact counts with its last demand for a
/// while, so that the parts on both sides of a cut still sum to the limit.
class QuotaShares {
public:
  /// Takes over the limits of a plan.
  void configure(const RoutePlan &Plan, TimePoint Now);
  /// Demand of another daemon, by customer, in units per second.
  void setPeerDemand(const std::string &Peer,
                     std::map<std::string, double> Demand, TimePoint Now);
  /// The peer is known to be gone for good.
  void forgetPeer(const std::string &Peer);
  void setDaemons(std::size_t Count);

  /// Books \p Cost units. std::nullopt if they are within this daemon's part,
  /// else the time until they would be.
  std::optional<Duration> take(const CustomerName &Customer, double Cost,
                               TimePoint Now);
  /// Returns what was booked for a request that never ran.
  void giveBack(const CustomerName &Customer, double Cost);
  /// Own demand by customer, in units per second, for the other daemons.
  std::map<std::string, double> demand(TimePoint Now);
  /// This daemon's part of the limit, 0 to 1.
  double share(const CustomerName &Customer, TimePoint Now) const;

private:
  struct Account {
    double PerSecond = 0;
    double Burst = 0;
    double Level = 0;
    double Demand = 0; ///< Units per second, decaying mean.
    TimePoint Updated{};
  };
  struct Peer {
    std::map<std::string, double> Demand;
    TimePoint Heard{};
  };
  void advance(const std::string &Name, Account &State, TimePoint Now);
  double shareOf(const std::string &Name, double Own, TimePoint Now) const;

  std::unordered_map<std::string, Account> m_Accounts;
  std::map<std::string, Peer> m_Peers;
  std::size_t m_Daemons = 1;
};

} // namespace mangodeck

#endif
