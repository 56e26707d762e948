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

/// The waiting tickets of a dispatch group, ordered by tier. Every operation on
/// one ticket takes time logarithmic in the number of tickets.
class TierQueue {
public:
  bool contains(const RequestId &Id) const { return m_Waiting.contains(Id); }
  const WaitingTicket *find(const RequestId &Id) const;
  std::size_t size() const { return m_Waiting.size(); }
  bool empty() const { return m_Waiting.empty(); }

  /// Appends \p Request, which must not be in the queue yet.
  void push(Ticket Request, TimePoint LatestStart, double CustomerWeight);

  /// Removes a ticket; std::nullopt if it does not wait here.
  std::optional<Ticket> remove(const RequestId &Id);

  /// Removes a ticket that is dispatched. Charges its customer unless the
  /// ticket is blocked.
  std::optional<Ticket> dispatch(const RequestId &Id);

  /// The next ticket of \p Tier in dispatch order; null if all are blocked or
  /// none waits.
  const WaitingTicket *front(TierRank Tier) const;

  /// The highest tier with a ticket that is not blocked.
  std::optional<TierRank> highestReadyTier() const;

  /// The lowest tier with a waiting ticket, blocked or not.
  std::optional<TierRank> lowestWaitingTier() const;

  /// The newest ticket of the lowest waiting tier; null if the queue is empty.
  const WaitingTicket *newestOfLowestTier() const;

  /// The ticket whose latest start passes first; null if the queue is empty.
  const WaitingTicket *firstToExpire() const;

  /// Excludes a ticket from dispatch order; it stays in the queue.
  void block(const RequestId &Id);

  /// Puts all blocked tickets back into dispatch order.
  void unblockAll();

  /// Number of tickets waiting in \p Tier.
  std::size_t waitingCount(TierRank Tier) const;

  /// Cost in tokens of the tickets waiting in \p Tier and the tiers above it.
  TokenCount tokensAtOrAbove(TierRank Tier) const;

  /// All waiting tickets of an entry daemon. Linear in the queue length.
  std::vector<RequestId> ticketsFromEntry(const VmName &Entry) const;

  /// All waiting tickets with a fingerprint. Linear in the queue length.
  std::vector<RequestId>
  ticketsWithFingerprint(std::uint64_t Fingerprint) const;

  /// Tiers that have had a ticket, highest first, including empty ones.
  std::vector<TierRank> tiers() const;

  /// Removes the records of idle customers.
  void prune();

private:
  struct TierState {
    FairShare DispatchOrder;
    std::map<std::uint64_t, const WaitingTicket *> ByArrival;
    TokenCount WaitingTokens = 0;
  };

  struct ByLatestStart {
    bool operator()(const WaitingTicket *A, const WaitingTicket *B) const;
  };

  std::unordered_map<RequestId, WaitingTicket> m_Waiting;
  std::map<TierRank, TierState> m_Tiers;
  std::set<const WaitingTicket *, ByLatestStart> m_ByLatestStart;
  std::vector<RequestId> m_Blocked;
  std::uint64_t m_NextArrivalNumber = 0;
};

} // namespace mangodeck

#endif
