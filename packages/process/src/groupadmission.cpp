#include "group.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Time without any usable target after which waiting and arriving tickets are
/// spilled or, if they cannot be, refused.
constexpr Duration NoTargetGrace = 3s;
constexpr Duration NoTargetRetryAfter = 3s;
/// A ticket with a prefix of at least this length may be spilled to the group
/// that the prefix selects.
constexpr TokenCount MinSharedPrefixTokens = 2048;

} // namespace

/// Queues, refuses or spills an arriving ticket, then dispatches waiting
/// tickets.
void Group::submit(Ticket Request, TimePoint Now, Actions &Out) {
  // Step 1. Ignore a repeated ticket that waits; repeat the grant of a granted
  // one.
  if (m_Queue.contains(Request.Id))
    return;
  if (const auto It = m_Granted.find(Request.Id); It != m_Granted.end()) {
    emitGrant(It->second, Out);
    return;
  }

  // Step 2. Refuse a request that was running in two crashes.
  if (m_Suspects.isQuarantined(Request.Fingerprint)) {
    refuse(Request, NotRunReason::Quarantined, Duration(0), Out);
    return;
  }

  // Step 3. Refuse a ticket that can no longer be answered by its deadline.
  if (Now > latestStart(Request)) {
    refuse(Request, NotRunReason::Expired, retryAfter(Request.Tier), Out);
    return;
  }

  // Step 4. Spill or refuse the ticket if no target has been usable for
  // NoTargetGrace.
  if (m_NoUsableTargetSince && Now - *m_NoUsableTargetSince >= NoTargetGrace) {
    const auto To = m_Spill.nearestWithFreeSequences(Now);
    if (To && Request.Hops == 0)
      spill(std::move(Request), *To, Out);
    else
      refuse(Request, NotRunReason::NoTarget, NoTargetRetryAfter, Out);
    return;
  }

  // Step 5. Apply the customer's limits.
  const auto Wait = m_Limits.admit(Request, customerOf(Request), Now);
  if (Wait) {
    refuse(Request, NotRunReason::RateLimited, *Wait, Out);
    return;
  }

  // Step 6. If the queue is full, evict a ticket of a lower tier; if there is
  // none, spill or refuse this one.
  if (m_Queue.size() >= queueLimit() && !makeQueueSpace(Request, Now, Out)) {
    m_Limits.release(Request.Customer);
    return;
  }

  // Step 7. Spill a request with a long prefix to the group that the prefix
  // selects, if that is another group with free sequences.
  if (const auto Other = groupForPrefix(Request, Now)) {
    m_Limits.release(Request.Customer);
    spill(std::move(Request), *Other, Out);
    return;
  }

  // Step 8. Queue the ticket and dispatch; spill it if it still waits while
  // another group has free sequences.
  const RequestId Id = Request.Id;
  const bool MaySpill = Request.Hops == 0;
  enqueue(std::move(Request), Now);
  dispatchWaiting(Now, Out);
  if (MaySpill && m_Queue.contains(Id))
    if (const auto To = m_Spill.nearestWithFreeSequences(Now))
      spillQueued(Id, *To, Out);
}

/// The other group that should run requests with the prefix of \p Request.
/// std::nullopt if that is this group, if that group has no free sequences, if
/// the ticket was spilled before, or if the prefix is so short that a second
/// prefill costs less than the link to another group.
std::optional<GroupId> Group::groupForPrefix(const Ticket &Request,
                                             TimePoint Now) const {
  const auto Tokens = static_cast<TokenCount>(Request.PrefixBlocks.size()) *
                      Request.TokensPerBlock;
  if (Request.Hops > 0 || Tokens < MinSharedPrefixTokens)
    return std::nullopt;
  return m_Spill.groupForPrefix(Request.PrefixBlocks.back(), m_Id, Now);
}

/// Makes space for \p Arriving in a full queue by removing the newest ticket of
/// the lowest tier. If that ticket's tier is not lower than the tier of
/// \p Arriving, removes \p Arriving instead and returns false. The removed
/// ticket is spilled if another group admits its tier, otherwise refused.
bool Group::makeQueueSpace(const Ticket &Arriving, TimePoint Now,
                           Actions &Out) {
  const auto *Lowest = m_Queue.newestOfLowestTier();
  const bool EvictWaiting = Lowest && Lowest->Request.Tier > Arriving.Tier;
  const Ticket &Victim = EvictWaiting ? Lowest->Request : Arriving;
  const auto To = Victim.Hops == 0 ? m_Spill.groupAdmitting(Victim.Tier, Now)
                                   : std::optional<GroupId>();
  if (!EvictWaiting) {
    if (To)
      spill(Arriving, *To, Out);
    else
      refuse(Arriving, NotRunReason::Shed, retryAfter(Arriving.Tier), Out);
    return false;
  }
  const RequestId Id = Victim.Id;
  if (!To || !spillQueued(Id, *To, Out))
    refuseWaiting(Id, NotRunReason::Shed, Now, Out);
  return true;
}

void Group::enqueue(Ticket Request, TimePoint Now) {
  const auto Latest = latestStart(Request);
  const double Weight = std::max(0.001, customerOf(Request).Weight);
  m_Queue.push(std::move(Request), Latest, Weight);
}

void Group::refuse(const Ticket &Request, NotRunReason Reason,
                   Duration RetryAfter, Actions &Out) const {
  Out.push_back(
      RefuseAction{Request.Entry, Request.Id, Refusal{Reason, RetryAfter}});
}

/// Removes a waiting ticket from the queue and refuses it.
void Group::refuseWaiting(const RequestId &Id, NotRunReason Reason,
                          TimePoint Now, Actions &Out) {
  const auto Taken = m_Queue.remove(Id);
  if (!Taken)
    return;
  m_Limits.release(Taken->Customer);
  const bool Retryable = Reason != NotRunReason::Quarantined;
  const Duration Wait = Reason == NotRunReason::NoTarget ? NoTargetRetryAfter
                        : Retryable ? retryAfter(Taken->Tier)
                                    : Duration(0);
  refuse(*Taken, Reason, Wait, Out);
}

void Group::spill(Ticket Request, const GroupId &To, Actions &Out) {
  ++Request.Hops;
  m_Spill.recordSpill(To);
  Out.push_back(SpillAction{To, std::move(Request)});
}

bool Group::spillQueued(const RequestId &Id, const GroupId &To, Actions &Out) {
  auto Taken = m_Queue.remove(Id);
  if (!Taken)
    return false;
  m_Limits.release(Taken->Customer);
  spill(std::move(*Taken), To, Out);
  return true;
}

Duration Group::retryAfter(TierRank Tier) {
  return m_DrainRate.retryAfter(m_Queue.tokensAtOrAbove(Tier),
                                m_Random.uniform());
}

TimePoint Group::latestStart(const Ticket &Request) const {
  return Request.Deadline - m_AnswerTime.minTimeFor(Request);
}

void Group::refuseExpired(TimePoint Now, Actions &Out) {
  for (const auto *First = m_Queue.firstToExpire();
       First && First->LatestStart < Now; First = m_Queue.firstToExpire())
    refuseWaiting(First->Request.Id, NotRunReason::Expired, Now, Out);
}

/// Spills or refuses all waiting tickets if no target has been usable for
/// NoTargetGrace.
void Group::refuseWithoutTargets(TimePoint Now, Actions &Out) {
  if (m_Placement.hasUsableTarget()) {
    m_NoUsableTargetSince.reset();
    return;
  }
  if (!m_NoUsableTargetSince)
    m_NoUsableTargetSince = Now;
  if (Now - *m_NoUsableTargetSince < NoTargetGrace)
    return;
  while (const auto *Entry = m_Queue.newestOfLowestTier()) {
    const RequestId Id = Entry->Request.Id;
    const auto To = Entry->Request.Hops == 0
                        ? m_Spill.nearestWithFreeSequences(Now)
                        : std::optional<GroupId>();
    if (!To || !spillQueued(Id, *To, Out))
      refuseWaiting(Id, NotRunReason::NoTarget, Now, Out);
  }
}

/// Spills the next tickets in dispatch order while this group has no free
/// sequences and another group has. Stops at a ticket that was spilled before.
void Group::spillReadyTickets(TimePoint Now, Actions &Out) {
  if (m_Placement.hasFreeSequences())
    return;
  while (const auto Rank = m_Queue.highestReadyTier()) {
    const auto &Next = *m_Queue.front(*Rank);
    const auto To = m_Spill.nearestWithFreeSequences(Now);
    if (!To || Next.Request.Hops > 0)
      return;
    spillQueued(Next.Request.Id, *To, Out);
  }
}

} // namespace mangodeck
