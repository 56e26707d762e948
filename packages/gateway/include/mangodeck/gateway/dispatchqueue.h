#ifndef MANGODECK_GATEWAY_DISPATCHQUEUE_H
#define MANGODECK_GATEWAY_DISPATCHQUEUE_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace mangodeck {

using TicketNumber = std::uint64_t;

/// The order in which requests are served under load: by the customer's rank,
/// and among equal ones by the route's; 0 is the highest.
struct RequestRank {
  TierRank Customer = 0;
  TierRank Route = 0;
  bool operator==(const RequestRank &) const = default;
  bool operator<(const RequestRank &Other) const {
    return std::tie(Customer, Route) < std::tie(Other.Customer, Other.Route);
  }
};

/// A request that waits for a slot.
struct QueuedTicket {
  TicketNumber Number = 0;
  RequestRank Rank;
  /// Latest start that still meets the latency target.
  TimePoint LatestStart{};
  /// Latest start that is worth anything: the caller leaves, or its time
  /// limit passes.
  TimePoint ExpiresAt{};
};

/// Requests of one service that wait in this daemon. Those that can still
/// meet their latency target go first, by rank, then by the time that they
/// have left; those that cannot follow in the same order and take only what
/// the others leave.
class DispatchQueue {
public:
  void push(const QueuedTicket &Ticket);
  void remove(TicketNumber Number);
  bool empty() const { return m_Tickets.empty(); }
  std::size_t size() const { return m_Tickets.size(); }
  bool contains(TicketNumber Number) const {
    return m_Tickets.contains(Number);
  }

  /// The next ticket in order, without taking it; \p Skipped are passed over.
  std::optional<QueuedTicket> next(TimePoint Now,
                                   const std::set<TicketNumber> &Skipped);
  /// Takes out the tickets whose last useful start has passed.
  std::vector<QueuedTicket> takeExpired(TimePoint Now);
  /// Tickets that go before a new one of \p Rank that can meet its target.
  std::size_t countAhead(const RequestRank &Rank, TimePoint Now) const;

private:
  std::unordered_map<TicketNumber, QueuedTicket> m_Tickets;
};

/// Measures how many requests a second leave the queue, for estimates of the
/// time that a new one would wait.
class DispatchRate {
public:
  void recordDispatch(TimePoint Now);
  double perSecond(TimePoint Now) const;
  /// Time until \p Requests have left the queue.
  Duration timeToDispatch(std::size_t Requests, TimePoint Now) const;

private:
  double m_Rate = 0;
  TimePoint m_Last{};
};

} // namespace mangodeck

#endif
