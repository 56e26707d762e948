#include "group.h"

#include <cassert>

namespace mangodeck {

namespace {

/// Prefill that lower tiers may queue up at a target.
constexpr Duration MostPrefillAhead = 500ms;

} // namespace

/// Grants waiting tickets targets until nothing may go. Each round takes one
/// ticket out of dispatch order or ends the loop, and costs the logarithm of
/// tickets and targets.
void Group::decide(TimePoint Now, Actions &Out) {
  while (grantHeld(Now, Out)) {
  }
  while (decideNext(Now, Out) != Step::Stop) {
  }
}

/// The dispatch decision for one ticket.
Group::Step Group::decideNext(TimePoint Now, Actions &Out) {
  // Step 1. Stop when no target has room.
  if (!m_Placement.hasRoom())
    return Step::Stop;

  // Step 2. Choose the tier: one whose reserve is due, else the highest.
  if (const auto Due = m_Reserve.due(m_Queue)) {
    const auto Result = decideTier(*Due, Now, Out);
    if (Result != Step::Stop)
      return Result;
  }
  const auto Highest = m_Queue.highestReady();
  return Highest ? decideTier(*Highest, Now, Out) : Step::Stop;
}

/// The decision for the next ticket of a tier.
Group::Step Group::decideTier(TierRank Rank, TimePoint Now, Actions &Out) {
  // Step 3. Take the customer with the least service, its earliest deadline.
  const WaitingTicket &Next = *m_Queue.front(Rank);
  const RequestId Id = Next.Request.Id;

  // Step 4. Give up what could not be answered in time.
  if (Now > Next.LatestStart) {
    giveUp(Id, NotRunReason::Expired, Now, Out);
    return Step::Continue;
  }

  // Step 5. Let a crash suspect wait while another one runs.
  if (m_RunningSuspect && m_Suspects.isSuspect(Next.Request.Fingerprint)) {
    m_Queue.park(Id);
    return Step::Continue;
  }

  // Step 6. Choose the target with the least expected time to first token.
  // Lower tiers wait here rather than queue up prefill at the targets, where
  // the highest tier would wait behind it.
  const std::optional<TargetIndex> Held =
      m_Hold ? std::optional(m_Hold->Target) : std::nullopt;
  const auto Chosen =
      m_Placement.choose(Next.Request, Held, mostAhead(Rank), Now);

  // Step 7. Wait for the targets' prefill, or keep a target free for a ticket
  // that fits nowhere at present.
  if (!Chosen.Best && Chosen.Deferred)
    return Step::Stop;
  if (!Chosen.Best)
    return hold(Next, Now, Out);

  // Step 8. Grant.
  grant(Id, *Chosen.Best, Now, Out);
  return Step::Granted;
}

/// Prefill that a target may have to do when it is granted more.
Duration Group::mostAhead(TierRank Rank) const {
  const bool Highest = m_Config && !m_Config->Tiers.empty() &&
                       Rank <= m_Config->Tiers.front().Rank;
  return Highest ? Duration::max() : MostPrefillAhead;
}

/// Grants the ticket that a target is kept for, once it fits somewhere. Returns
/// true if the queue changed.
bool Group::grantHeld(TimePoint Now, Actions &Out) {
  if (!m_Hold)
    return false;
  const auto *Entry = m_Queue.find(m_Hold->Request);
  const bool Usable = m_Placement.target(m_Hold->Target).isUsable(Now);
  if (!Entry || !Usable) {
    releaseHold();
    return true;
  }
  if (m_RunningSuspect && m_Suspects.isSuspect(Entry->Request.Fingerprint))
    return false;
  const auto Chosen =
      m_Placement.choose(Entry->Request, std::nullopt, Duration::max(), Now)
          .Best;
  if (!Chosen)
    return false;
  const RequestId Id = m_Hold->Request;
  releaseHold();
  grant(Id, *Chosen, Now, Out);
  return true;
}

/// A ticket fits nowhere at present: it is taken out of dispatch order and gets
/// a target that takes no other work until it fits; without this a long request
/// would never find room beside short ones. While a target is kept already, the
/// next such ticket blocks the ones behind it, unless it ranks higher and takes
/// the place over.
Group::Step Group::hold(const WaitingTicket &Entry, TimePoint Now,
                        Actions &Out) {
  const RequestId Id = Entry.Request.Id;
  const auto Target = m_Placement.chooseToHold(workOf(Entry.Request), Now);
  if (!Target) {
    giveUp(Id, NotRunReason::NoTarget, Now, Out);
    return Step::Continue;
  }
  if (m_Hold) {
    const auto *Other = m_Queue.find(m_Hold->Request);
    if (Other && Other->Request.Tier <= Entry.Request.Tier)
      return Step::Stop;
    releaseHold();
  }
  m_Queue.park(Id);
  m_Hold = Hold{Id, *Target};
  return Step::Continue;
}

void Group::releaseHold() {
  m_Hold.reset();
  m_Queue.unpark();
}

void Group::grant(const RequestId &Id, const Choice &Chosen, TimePoint Now,
                  Actions &Out) {
  auto Taken = m_Queue.dispatch(Id);
  assert(Taken && "granted ticket does not wait");
  auto &Target = m_Placement.target(Chosen.Target);
  assert(Target.hasFreeSequence(Now) && "granted target has no room");

  GrantedRequest Item;
  Item.Request = std::move(*Taken);
  Item.Target = Chosen.Target;
  Item.TargetIncarnation = Target.incarnation();
  Item.TargetLife = Target.generation();
  Item.Work = workOf(Item.Request);
  Item.Work.PrefillTokens -= Chosen.Cached;
  Item.GrantedAt = Now;
  Item.Suspect = m_Suspects.isSuspect(Item.Request.Fingerprint);
  Item.Ahead = Target.addGrant(Item.Work, Now);
  Item.Full = Target.freeSequences() == 0;

  m_Placement.belief().recordPlacement(Chosen.Target, Item.Request);
  m_Placement.refresh(Chosen.Target, Now);
  m_Reserve.onDispatched(Item.Request.Tier, costOf(Item.Request), m_Queue);
  m_Drain.add(costOf(Item.Request));
  if (Item.Suspect)
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
