#include "group.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// How long tickets wait for a usable target before they are refused.
constexpr Duration NoTargetGrace = 3s;
constexpr Duration NoTargetRetry = 3s;
/// Requests with a common prefix of this length are gathered in one group.
constexpr TokenCount GatheredPrefixTokens = 2048;

} // namespace

/// Takes a ticket into the queue or gives it up at once; then decides.
void Group::submit(Ticket Request, TimePoint Now, Actions &Out) {
  // Step 1. A ticket that was sent again is known.
  if (m_Queue.contains(Request.Id))
    return;
  if (const auto It = m_Granted.find(Request.Id); It != m_Granted.end()) {
    emitGrant(It->second, Out);
    return;
  }

  // Step 2. Refuse what crashed two targets.
  if (m_Suspects.isQuarantined(Request.Fingerprint)) {
    refuse(Request, NotRunReason::Quarantined, Duration(0), Out);
    return;
  }

  // Step 3. Refuse what is past its time.
  if (Now > latestStart(Request)) {
    refuse(Request, NotRunReason::Expired, retryAfter(Request.Tier), Out);
    return;
  }

  // Step 4. Pass the ticket on when no target has been usable for long.
  if (m_UnusableSince && Now - *m_UnusableSince >= NoTargetGrace) {
    const auto To = m_Spill.withRoom(Now);
    if (To && Request.Hops == 0)
      passOn(std::move(Request), *To, Out);
    else
      refuse(Request, NotRunReason::NoTarget, NoTargetRetry, Out);
    return;
  }

  // Step 5. Apply the customer's limits.
  const auto Wait = m_Limits.admit(Request, customerOf(Request), Now);
  if (Wait) {
    refuse(Request, NotRunReason::RateLimited, *Wait, Out);
    return;
  }

  // Step 6. Make room in a full queue, or give the ticket up.
  if (m_Queue.size() >= queueLimit() && !makeRoom(Request, Now, Out)) {
    m_Limits.release(Request.Customer);
    return;
  }

  // Step 7. Gather requests with a long common prefix in one group.
  if (const auto Home = prefixHome(Request, Now)) {
    m_Limits.release(Request.Customer);
    passOn(std::move(Request), *Home, Out);
    return;
  }

  // Step 8. Queue and decide; pass the ticket on if only others have room.
  const RequestId Id = Request.Id;
  const bool MayPass = Request.Hops == 0;
  enqueue(std::move(Request), Now);
  decide(Now, Out);
  if (MayPass && m_Queue.contains(Id))
    if (const auto To = m_Spill.withRoom(Now))
      passOnWaiting(Id, *To, Out);
}

/// The other group that is to run requests with this one's prefix, if the
/// prefix is so long that computing it twice costs more than the link.
std::optional<GroupId> Group::prefixHome(const Ticket &Request,
                                         TimePoint Now) const {
  const auto Tokens = static_cast<TokenCount>(Request.PrefixBlocks.size()) *
                      Request.TokensPerBlock;
  if (Request.Hops > 0 || Tokens < GatheredPrefixTokens)
    return std::nullopt;
  return m_Spill.homeOf(Request.PrefixBlocks.back(), m_Id, Now);
}

/// Makes room for \p Arriving in a full queue: the newest ticket of the lowest
/// tier goes, to another group if one admits it. If \p Arriving ranks no higher
/// than that, it goes itself. Returns whether there is room.
bool Group::makeRoom(const Ticket &Arriving, TimePoint Now, Actions &Out) {
  const auto *Lowest = m_Queue.newestOfLowest();
  const bool Evict = Lowest && Lowest->Request.Tier > Arriving.Tier;
  const Ticket &Victim = Evict ? Lowest->Request : Arriving;
  const auto To = Victim.Hops == 0 ? m_Spill.admitting(Victim.Tier, Now)
                                   : std::optional<GroupId>();
  if (!Evict) {
    if (To)
      passOn(Arriving, *To, Out);
    else
      refuse(Arriving, NotRunReason::Shed, retryAfter(Arriving.Tier), Out);
    return false;
  }
  const RequestId Id = Victim.Id;
  if (!To || !passOnWaiting(Id, *To, Out))
    giveUp(Id, NotRunReason::Shed, Now, Out);
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

/// Takes a waiting ticket out of the queue and answers it.
void Group::giveUp(const RequestId &Id, NotRunReason Reason, TimePoint Now,
                   Actions &Out) {
  const auto Taken = m_Queue.remove(Id);
  if (!Taken)
    return;
  m_Limits.release(Taken->Customer);
  const bool Retryable = Reason != NotRunReason::Quarantined;
  const Duration Wait = Reason == NotRunReason::NoTarget ? NoTargetRetry
                        : Retryable ? retryAfter(Taken->Tier)
                                    : Duration(0);
  refuse(*Taken, Reason, Wait, Out);
}

void Group::passOn(Ticket Request, const GroupId &To, Actions &Out) {
  ++Request.Hops;
  m_Spill.onPassed(To);
  Out.push_back(SpillAction{To, std::move(Request)});
}

bool Group::passOnWaiting(const RequestId &Id, const GroupId &To,
                          Actions &Out) {
  auto Taken = m_Queue.remove(Id);
  if (!Taken)
    return false;
  m_Limits.release(Taken->Customer);
  passOn(std::move(*Taken), To, Out);
  return true;
}

Duration Group::retryAfter(TierRank Tier) {
  return m_Drain.retryAfter(m_Queue.tokensThrough(Tier), m_Random.uniform());
}

TimePoint Group::latestStart(const Ticket &Request) const {
  return Request.Deadline - m_AnswerTime.minTimeFor(Request);
}

void Group::expire(TimePoint Now, Actions &Out) {
  for (const auto *First = m_Queue.firstToExpire();
       First && First->LatestStart < Now; First = m_Queue.firstToExpire())
    giveUp(First->Request.Id, NotRunReason::Expired, Now, Out);
}

/// Answers all waiting tickets once no target has been usable for long.
void Group::refuseWithoutTargets(TimePoint Now, Actions &Out) {
  if (m_Placement.hasUsable()) {
    m_UnusableSince.reset();
    return;
  }
  if (!m_UnusableSince)
    m_UnusableSince = Now;
  if (Now - *m_UnusableSince < NoTargetGrace)
    return;
  while (const auto *Entry = m_Queue.newestOfLowest()) {
    const RequestId Id = Entry->Request.Id;
    const auto To = Entry->Request.Hops == 0 ? m_Spill.withRoom(Now)
                                             : std::optional<GroupId>();
    if (!To || !passOnWaiting(Id, *To, Out))
      giveUp(Id, NotRunReason::NoTarget, Now, Out);
  }
}

/// Passes the tickets that are next, while other groups have room and this one
/// has none.
void Group::spillWaiting(TimePoint Now, Actions &Out) {
  if (m_Placement.hasRoom())
    return;
  while (const auto Rank = m_Queue.highestReady()) {
    const auto &Next = *m_Queue.front(*Rank);
    const auto To = m_Spill.withRoom(Now);
    if (!To || Next.Request.Hops > 0)
      return;
    passOnWaiting(Next.Request.Id, *To, Out);
  }
}

} // namespace mangodeck
