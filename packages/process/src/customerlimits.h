#ifndef MANGODECK_PROCESS_CUSTOMERLIMITS_H
#define MANGODECK_PROCESS_CUSTOMERLIMITS_H

#include "mangodeck/request/ticket.h"
#include "mangodeck/version/snapshot.h"

#include <optional>
#include <unordered_map>

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

  /// Sets this group's share of the customer's allowance, above 0 to 1.
  void setShare(const CustomerName &Name, double Share);

  std::uint32_t concurrency(const CustomerName &Name) const;

private:
  struct Usage {
    double Requests = 0; ///< Allowance left, in requests.
    double Tokens = 0;   ///< Allowance left, in tokens.
    double Share = 1.0;
    TimePoint Updated{};
    std::uint32_t InProgress = 0;
    bool Started = false;
  };

  std::unordered_map<std::string, Usage> m_Usage;
};

} // namespace mangodeck

#endif
