#ifndef MANGODECK_PROCESS_TIERQUEUE_H
#define MANGODECK_PROCESS_TIERQUEUE_H

#include "fairshare.h"
#include "waitingticket.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// The waiting tickets of a dispatch group, by tier. Every operation on one
/// ticket is logarithmic in the number of tickets.
class TierQueue {
public:
  bool contains(const RequestId &Id) const { return m_Waiting.contains(Id); }
  const WaitingTicket *find(const RequestId &Id) const;
  std::size_t size() const { return m_Waiting.size(); }
  bool empty() const { return m_Waiting.empty(); }

  /// Appends \p Request, which must not be in the queue yet.
  void push(Ticket Request, TimePoint LatestStart, double Weight);

  /// Takes a ticket out; std::nullopt if it does not wait here.
  std::optional<Ticket> remove(const RequestId &Id);

  /// Takes a ticket out to dispatch it and charges its customer.
  std::optional<Ticket> dispatch(const RequestId &Id);

  /// Next ticket of \p Tier in dispatch order; null if none may go.
  const WaitingTicket *front(TierRank Tier) const;

  /// Highest tier with a ticket that may go.
  std::optional<TierRank> highestReady() const;

  /// Lowest tier with a waiting ticket.
  std::optional<TierRank> lowestWaiting() const;

  /// The newest ticket of the lowest tier; null if the queue is empty.
  const WaitingTicket *newestOfLowest() const;

  /// The ticket whose latest start passes first; null if the queue is empty.
  const WaitingTicket *firstToExpire() const;

  /// Takes a ticket out of dispatch order; it stays in the queue.
  void park(const RequestId &Id);

  /// Puts all parked tickets back into dispatch order.
  void unpark();

  /// Tickets waiting in \p Tier.
  std::size_t countOf(TierRank Tier) const;

  /// Tokens waiting in \p Tier and the tiers above it.
  TokenCount tokensThrough(TierRank Tier) const;

  /// All waiting tickets of an entry daemon. Linear in the queue.
  std::vector<RequestId> ticketsOf(const VmName &Entry) const;

  /// All waiting tickets with a fingerprint. Linear in the queue.
  std::vector<RequestId> ticketsWith(std::uint64_t Fingerprint) const;

  /// Tiers in the queue, highest first, also those with no ticket left.
  std::vector<TierRank> tiers() const;

  /// Forgets idle customers.
  void prune();

private:
  struct TierState {
    FairShare Order;
    std::map<std::uint64_t, const WaitingTicket *> BySequence;
    TokenCount Tokens = 0;
  };

  struct ByLatestStart {
    bool operator()(const WaitingTicket *A, const WaitingTicket *B) const;
  };

  std::unordered_map<RequestId, WaitingTicket> m_Waiting;
  std::map<TierRank, TierState> m_Tiers;
  std::set<const WaitingTicket *, ByLatestStart> m_Expiry;
  std::vector<RequestId> m_Parked;
  std::uint64_t m_NextSequence = 0;
};

} // namespace mangodeck

#endif
