#include "group.h"

#include <cassert>

namespace mangodeck {

namespace {

/// Tickets below the highest tier are not granted a target whose pending
/// prefill takes longer than this.
constexpr Duration LowerTierMaxPendingPrefill = 500ms;

} // namespace

/// Grants targets to waiting tickets until none can be granted. Each round
/// removes one ticket from dispatch order or ends the loop, in time logarithmic
/// in the number of tickets and targets.
void Group::dispatchWaiting(TimePoint Now, Actions &Out) {
  while (grantReserved(Now, Out)) {
  }
  while (dispatchNext(Now, Out) != DispatchResult::Stop) {
  }
}

/// Decides about the next ticket of the group.
Group::DispatchResult Group::dispatchNext(TimePoint Now, Actions &Out) {
  // Step 1. Stop if no target has a free sequence.
  if (!m_Placement.hasFreeSequences())
    return DispatchResult::Stop;

  // Step 2. Choose the tier: the highest whose reserve covers its next ticket,
  // otherwise the highest with a ticket that may be dispatched.
  if (const auto Due = m_TierReserve.dueTier(m_Queue)) {
    const auto Result = dispatchFromTier(*Due, Now, Out);
    if (Result != DispatchResult::Stop)
      return Result;
  }
  const auto Highest = m_Queue.highestReadyTier();
  return Highest ? dispatchFromTier(*Highest, Now, Out) : DispatchResult::Stop;
}

/// Decides about the next ticket of a tier.
Group::DispatchResult Group::dispatchFromTier(TierRank Rank, TimePoint Now,
                                              Actions &Out) {
  // Step 3. Take the ticket with the earliest deadline of the customer that has
  // received the least weighted service.
  const WaitingTicket &Next = *m_Queue.front(Rank);
  const RequestId Id = Next.Request.Id;

  // Step 4. Refuse the ticket if it can no longer be answered by its deadline.
  if (Now > Next.LatestStart) {
    refuseWaiting(Id, NotRunReason::Expired, Now, Out);
    return DispatchResult::Continue;
  }

  // Step 5. Block a crash suspect while another one runs, so that one crash
  // does not quarantine both.
  if (m_RunningSuspect && m_Suspects.isSuspect(Next.Request.Fingerprint)) {
    m_Queue.block(Id);
    return DispatchResult::Continue;
  }

  // Step 6. Choose the target with the lowest cost. Lower tiers wait here
  // rather than queue prefill at the targets, where tickets of the highest tier
  // would wait behind it.
  const std::optional<TargetIndex> Reserved =
      m_TargetReservation ? std::optional(m_TargetReservation->Target)
                          : std::nullopt;
  const auto Chosen =
      m_Placement.choose(Next.Request, Reserved, maxPendingPrefill(Rank), Now);

  // Step 7. If only pending prefill prevents the grant, wait for it. If the
  // ticket fits no target at present, reserve one for it.
  if (!Chosen.Best && Chosen.PrefillLimited)
    return DispatchResult::Stop;
  if (!Chosen.Best)
    return reserveTarget(Next, Now, Out);

  // Step 8. Grant.
  grant(Id, *Chosen.Best, Now, Out);
  return DispatchResult::Granted;
}

/// Longest pending prefill of a target that may be granted a ticket of tier
/// \p Rank.
Duration Group::maxPendingPrefill(TierRank Rank) const {
  const bool Highest = m_Config && !m_Config->Tiers.empty() &&
                       Rank <= m_Config->Tiers.front().Rank;
  return Highest ? Duration::max() : LowerTierMaxPendingPrefill;
}

/// Grants the ticket with a reservation if any target now fits it. Cancels the
/// reservation if the ticket no longer waits or the reserved target is no
/// longer usable. Returns true if the queue changed.
bool Group::grantReserved(TimePoint Now, Actions &Out) {
  if (!m_TargetReservation)
    return false;
  const auto *Entry = m_Queue.find(m_TargetReservation->Request);
  const bool Usable =
      m_Placement.target(m_TargetReservation->Target).isUsable(Now);
  if (!Entry || !Usable) {
    cancelReservation();
    return true;
  }
  if (m_RunningSuspect && m_Suspects.isSuspect(Entry->Request.Fingerprint))
    return false;
  const auto Chosen =
      m_Placement.choose(Entry->Request, std::nullopt, Duration::max(), Now)
          .Best;
  if (!Chosen)
    return false;
  const RequestId Id = m_TargetReservation->Request;
  cancelReservation();
  grant(Id, *Chosen, Now, Out);
  return true;
}

/// Reserves a target for a ticket that fits no target at present, and blocks
/// the ticket. The reserved target takes no other work until the ticket fits;
/// otherwise short requests would fill every gap and a long one would never be
/// granted. Only one reservation exists at a time: a ticket of a higher tier
/// takes it over; any other ticket that fits nowhere delays the tickets behind
/// it.
Group::DispatchResult Group::reserveTarget(const WaitingTicket &Entry,
                                           TimePoint Now, Actions &Out) {
  const RequestId Id = Entry.Request.Id;
  const auto Target = m_Placement.chooseToReserve(workOf(Entry.Request), Now);
  if (!Target) {
    refuseWaiting(Id, NotRunReason::NoTarget, Now, Out);
    return DispatchResult::Continue;
  }
  if (m_TargetReservation) {
    const auto *Other = m_Queue.find(m_TargetReservation->Request);
    if (Other && Other->Request.Tier <= Entry.Request.Tier)
      return DispatchResult::Stop;
    cancelReservation();
  }
  m_Queue.block(Id);
  m_TargetReservation = TargetReservation{Id, *Target};
  return DispatchResult::Continue;
}

void Group::cancelReservation() {
  m_TargetReservation.reset();
  m_Queue.unblockAll();
}

void Group::grant(const RequestId &Id, const RatedTarget &Chosen, TimePoint Now,
                  Actions &Out) {
  auto Taken = m_Queue.dispatch(Id);
  assert(Taken && "granted ticket is not in the queue");
  auto &Target = m_Placement.target(Chosen.Target);
  assert(Target.hasFreeSequence(Now) && "granted target has no free sequence");

  GrantedRequest Item;
  Item.Request = std::move(*Taken);
  Item.Target = Chosen.Target;
  Item.TargetIncarnation = Target.incarnation();
  Item.TargetGeneration = Target.generation();
  Item.Work = workOf(Item.Request);
  Item.Work.PrefillTokens -= Chosen.CachedTokens;
  Item.GrantedAt = Now;
  Item.IsSuspect = m_Suspects.isSuspect(Item.Request.Fingerprint);
  Item.PrefillDelay = Target.addGrant(Item.Work, Now);
  Item.TargetFull = Target.freeSequences() == 0;

  m_Placement.prefixCache().recordPlacement(Chosen.Target, Item.Request);
  m_Placement.refresh(Chosen.Target, Now);
  m_TierReserve.recordDispatch(Item.Request.Tier, costInTokens(Item.Request),
                               m_Queue);
  m_DrainRate.recordStarted(costInTokens(Item.Request));
  if (Item.IsSuspect)
    m_RunningSuspect = Id;
  emitGrant(Item, Out);
  m_Granted.emplace(Id, std::move(Item));
}

void Group::emitGrant(const GrantedRequest &Item, Actions &Out) const {
  const auto &Target = m_Placement.target(Item.Target);
  Out.push_back(GrantAction{Item.Request.Entry,
                            Grant{Item.Request.Id, m_Id, Target.name(),
                                  Item.TargetIncarnation, m_Epoch}});
}

} // namespace mangodeck
