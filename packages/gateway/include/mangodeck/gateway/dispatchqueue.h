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

/// Priority of a request under load. The customer's rank decides first, then
/// the route's rank; 0 is the highest.
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
  /// Time at which the ticket expires: the caller no longer waits, or the time
  /// limit of the request has passed.
  TimePoint ExpiresAt{};
  /// Only the targets of one version can serve the request.
  bool NeedsVersion = false;
};

/// Tickets of one service that wait for a slot, in order of dispatch. Tickets
/// that can still meet their latency target are first, ordered by rank and then
/// by latest start. Tickets that have missed it follow, ordered by rank and
/// then by expiry. Within a rank those that need a version are before the
/// others: fewer slots will do for them, and a part of their answer is done.
class DispatchQueue {
public:
  void push(const QueuedTicket &Ticket);
  void remove(TicketNumber Number);
  bool empty() const { return m_Tickets.empty(); }
  std::size_t size() const { return m_Tickets.size(); }
  bool contains(TicketNumber Number) const {
    return m_Tickets.contains(Number);
  }

  /// Returns the first ticket that is not in \p Skipped; the ticket stays in
  /// the queue.
  std::optional<QueuedTicket> next(TimePoint Now,
                                   const std::set<TicketNumber> &Skipped);
  /// All tickets in order of dispatch.
  std::vector<QueuedTicket> inOrder(TimePoint Now) const;
  /// Removes the expired tickets and returns them.
  std::vector<QueuedTicket> takeExpired(TimePoint Now);
  /// Number of tickets that are dispatched before a new ticket of \p Rank that
  /// can meet its latency target.
  std::size_t countAhead(const RequestRank &Rank, bool NeedsVersion,
                         TimePoint Now) const;

private:
  std::unordered_map<TicketNumber, QueuedTicket> m_Tickets;
};

/// Measures the rate of dispatches, to estimate the waiting time of a new
/// request.
class DispatchRate {
public:
  void recordDispatch(TimePoint Now);
  double perSecond(TimePoint Now) const;
  /// Estimated time until \p Requests requests have been dispatched.
  Duration timeToDispatch(std::size_t Requests, TimePoint Now) const;

private:
  double m_RatePerSecond = 0;
  TimePoint m_LastDispatch{};
};

} // namespace mangodeck

#endif
