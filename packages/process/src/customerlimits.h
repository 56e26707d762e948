#ifndef MANGODECK_PROCESS_CUSTOMERLIMITS_H
#define MANGODECK_PROCESS_CUSTOMERLIMITS_H

#include "mangodeck/process/dispatchgroup.h"
#include "mangodeck/request/ticket.h"
#include "mangodeck/version/snapshot.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// Enforces the customers' limits on requests per second, tokens per second and
/// concurrency in one group. Each group of a service enforces its share of a
/// customer's allowance.
class CustomerLimits {
public:
  /// Admits an arriving ticket and counts it against the limits. Returns
  /// std::nullopt, or the time after which the customer may retry if the ticket
  /// exceeds a limit; such a ticket counts only as demand.
  std::optional<Duration> admit(const Ticket &Request, const Customer &Record,
                                TimePoint Now);

  /// Counts a request as in progress that passed the limits before, here or at
  /// the group's previous owner.
  void addInProgress(const CustomerName &Name);

  /// Ends the count of a request that no longer waits or runs here.
  void release(const CustomerName &Name);

  /// Measures the demand since the last call and sets this group's share of
  /// each allowance to its part of the total demand. \p Others is the demand on
  /// the other groups in requests per second. Also removes idle customers.
  /// Call about once a second.
  void updateShares(TimePoint Now, const std::map<std::string, double> &Others);

  /// Demand of customers with limits on this group.
  std::vector<CustomerDemand> demand() const;

  /// This group's share of the customer's allowance, in (0, 1].
  double share(const CustomerName &Name) const;

  /// Requests of the customer that wait or run here.
  std::uint32_t inProgress(const CustomerName &Name) const;

private:
  struct CustomerUsage {
    double RequestsLeft = 0; ///< Allowance left, in requests.
    /// Allowance left, in tokens of the request cost; negative after a request
    /// that cost more than the bucket held.
    double TokensLeft = 0;
    double Share = 1.0; ///< Of the allowance, in (0, 1].
    TimePoint LastArrival{};
    std::uint32_t InProgress = 0;
    bool HasArrival = false;
    bool HasLimits = false;
    std::uint32_t Arrivals = 0; ///< Since m_LastUpdate, refused ones too.
    double DemandPerSecond = 0; ///< Smoothed, in requests.
  };

  std::unordered_map<std::string, CustomerUsage> m_Usage;
  TimePoint m_LastUpdate{};
};

} // namespace mangodeck

#endif
