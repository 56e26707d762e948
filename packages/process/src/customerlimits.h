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

/// The customers' limits on requests, tokens and concurrency, as far as one
/// group enforces them: each group has a share of a customer's allowance.
class CustomerLimits {
public:
  /// Books an arriving ticket. std::nullopt if it is within the limits, else
  /// the time after which the customer may try again; nothing is booked then.
  std::optional<Duration> admit(const Ticket &Request, const Customer &Record,
                                TimePoint Now);

  /// Books a request of another owner or group as in progress.
  void adopt(const CustomerName &Name);

  /// A request of the customer is no longer waiting or running here.
  void release(const CustomerName &Name);

  /// Measures the demand since the last call and divides the allowances by it:
  /// this group's share is its part of all demand, \p Others being that of the
  /// other groups. Forgets customers that are gone. Call every second or so.
  void update(TimePoint Now, const std::map<std::string, double> &Others);

  /// Demand on this group of customers with limits.
  std::vector<CustomerDemand> demand() const;

  /// This group's share of the customer's allowance, above 0 to 1.
  double share(const CustomerName &Name) const;

  std::uint32_t concurrency(const CustomerName &Name) const;

private:
  struct Usage {
    double Requests = 0; ///< Allowance left, in requests.
    double Tokens = 0;   ///< Allowance left, in tokens.
    double Share = 1.0;
    TimePoint Updated{};
    std::uint32_t InProgress = 0;
    bool Started = false;
    bool Limited = false;
    std::uint32_t Arrivals = 0; ///< Since the last update, refused ones too.
    double Demand = 0;          ///< Requests per second.
  };

  std::unordered_map<std::string, Usage> m_Usage;
  TimePoint m_Measured{};
};

} // namespace mangodeck

#endif
