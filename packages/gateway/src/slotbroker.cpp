#include "mangodeck/gateway/slotbroker.h"

#include <algorithm>
#include <set>

namespace mangodeck {

namespace {

/// A report may have been on its way while a slot was granted; grants that
/// are younger are not ended by it.
constexpr Duration ReportLag = 250ms;
/// A daemon that neither reported nor asked for this long holds no slots: it
/// crashed or is cut off. Twice the longest period of reports.
constexpr Duration SilenceOfDaemon = 2s;

} // namespace

SlotBroker::SlotBroker(FailureDomain Home, const TargetRegistry &Targets,
                       SlotDecisionSink &Sink)
    : m_Home(std::move(Home)), m_Targets(Targets), m_Sink(Sink) {}

std::vector<TargetPtr>
SlotBroker::homeTargets(const ServiceName &Service) const {
  std::vector<TargetPtr> Home;
  for (const auto &Target : m_Targets.targetsOf(Service))
    if (Target->Entry.Domain == m_Home)
      Home.push_back(Target);
  return Home;
}

Duration SlotBroker::backlog(const ServiceState &State, TimePoint Now) const {
  return State.Rate.timeToDispatch(State.Queue.size(), Now);
}

void SlotBroker::requestSlot(const SlotRequest &Ask, TimePoint Now) {
  const Key Which(Ask.Vm, Ask.Number);
  m_Heard[Ask.Vm] = Now;
  // Step 1. Repeat the verdict on an ask that is known.
  if (const auto Known = m_Granted.find(Which); Known != m_Granted.end()) {
    if (std::find(Ask.ExcludedTargets.begin(), Ask.ExcludedTargets.end(),
                  Known->second.Target) == Ask.ExcludedTargets.end())
      return m_Sink.onSlotDecision(Ask.Vm,
                                   {Ask.Number, SlotDecision::Kind::Granted,
                                    Known->second.Target, Duration{0}});
    release(Which);
  }
  auto &State = m_Services[Ask.Service.Text];
  if (m_Waiting.contains(Which))
    return m_Sink.onSlotDecision(
        Ask.Vm,
        {Ask.Number, SlotDecision::Kind::Queued, 0, backlog(State, Now)});

  // Step 2. Grant a slot at once if nothing waits that goes before it.
  const auto Ahead = State.Queue.countAhead(Ask.Rank, Now);
  const Waiting Asked{Ask, m_NextTicket++, Now};
  if (Ahead == 0 && tryGrant(Asked, homeTargets(Ask.Service), Now))
    return;

  // Step 3. Refuse it if its turn would come too late.
  if (Ask.RefuseIfLate &&
      State.Rate.timeToDispatch(Ahead + 1, Now) > Ask.TimeToLatestStart)
    return m_Sink.onSlotDecision(
        Ask.Vm,
        {Ask.Number, SlotDecision::Kind::Refused, 0, backlog(State, Now)});

  // Step 4. Queue it.
  QueuedTicket Ticket;
  Ticket.Number = Asked.Ticket;
  Ticket.Rank = Ask.Rank;
  Ticket.LatestStart = Now + Ask.TimeToLatestStart;
  Ticket.ExpiresAt = Now + Ask.TimeToExpiry;
  State.Queue.push(Ticket);
  m_ByTicket[Asked.Ticket] = Which;
  m_Waiting[Which] = Asked;
  m_Sink.onSlotDecision(
      Ask.Vm, {Ask.Number, SlotDecision::Kind::Queued, 0, backlog(State, Now)});
}

bool SlotBroker::tryGrant(const Waiting &Asked, std::span<const TargetPtr> Home,
                          TimePoint Now) {
  const auto &Ask = Asked.Ask;
  const auto Waited = Now - Asked.AskedAt;
  std::vector<TargetPtr> Excluded;
  for (const auto Hash : Ask.ExcludedTargets)
    if (auto Target = m_Targets.findByHash(Hash))
      Excluded.push_back(std::move(Target));
  TargetChoiceInput Input;
  Input.Work = Ask.Work;
  Input.OwnDomain = m_Home;
  Input.TimeToLatencyTarget = Ask.TimeToLatencyTarget - Waited;
  Input.TimeToDeadline = Ask.TimeToDeadline - Waited;
  Input.GapTarget = Ask.GapTarget;
  Input.Excluded = Excluded;
  Input.LoadsAreExact = true;
  const auto Chosen = chooseTarget(Home, Input, Now);
  if (!Chosen)
    return false;
  m_Services[Ask.Service.Text].Rate.recordDispatch(Now);
  m_Granted[Key(Ask.Vm, Ask.Number)] = {Chosen->Target->Hash,
                                        Ask.Work.PromptTokens, Now};
  Chosen->Target->PeerRunning += 1;
  Chosen->Target->PeerPrefillTokens += Ask.Work.PromptTokens;
  m_Sink.onSlotDecision(Ask.Vm, {Ask.Number, SlotDecision::Kind::Granted,
                                 Chosen->Target->Hash, Duration{0}});
  return true;
}

void SlotBroker::applyUpdate(const SlotUpdate &Note, TimePoint Now) {
  // Step 1. Free what the request held or waited for.
  const Key Which(Note.Vm, Note.Number);
  const auto Target = m_Targets.findByHash(Note.Target);
  const auto Known = m_Granted.find(Which);
  const bool Holds =
      Known != m_Granted.end() && (Known->second.Target == Note.Target ||
                                   Note.Change == SlotUpdate::Kind::Withdrawn);
  if (Note.Change == SlotUpdate::Kind::PrefillDone) {
    if (Holds && Target)
      Target->PeerPrefillTokens -=
          std::min(Target->PeerPrefillTokens, Known->second.Prefill);
    if (Holds)
      Known->second.Prefill = 0;
    return;
  }
  forget(Which);
  if (Holds)
    release(Which);
  // Step 2. What one daemon learned serves all.
  if (!Target)
    return;
  if (Note.MeanEventGap > Duration{0} && Note.TokensPerEvent > 0)
    Target->recordEventGap(Note.MeanEventGap, Note.TokensPerEvent);
  if (Note.Outcome == SlotOutcome::Success)
    Target->recordSuccess(Now);
  else if (Note.Outcome == SlotOutcome::Failure)
    Target->recordFailure(Now);
  else if (Note.Outcome == SlotOutcome::Unreachable)
    Target->recordUnreachable(Now);
}

void SlotBroker::release(const Key &Which) {
  const auto Found = m_Granted.find(Which);
  if (Found == m_Granted.end())
    return;
  if (const auto Target = m_Targets.findByHash(Found->second.Target)) {
    Target->PeerRunning -= std::min<std::uint32_t>(Target->PeerRunning, 1);
    Target->PeerPrefillTokens -=
        std::min(Target->PeerPrefillTokens, Found->second.Prefill);
  }
  m_Granted.erase(Found);
}

void SlotBroker::forget(const Key &Which) {
  const auto Found = m_Waiting.find(Which);
  if (Found == m_Waiting.end())
    return;
  m_Services[Found->second.Ask.Service.Text].Queue.remove(Found->second.Ticket);
  m_ByTicket.erase(Found->second.Ticket);
  m_Waiting.erase(Found);
}

void SlotBroker::reconcile(const PeerReport &Report, TimePoint Now) {
  m_Heard[Report.Vm] = Now;
  std::set<TicketNumber> Told;
  for (const auto &Run : Report.RunningRequests) {
    Told.insert(Run.Number);
    auto [At, New] = m_Granted.try_emplace(Key(Report.Vm, Run.Number));
    auto &State = At->second;
    if (New)
      State.Since = Now;
    else if (State.Target != Run.Target && Now - State.Since < ReportLag)
      continue; // The grant is newer than the report.
    State.Target = Run.Target;
    State.Prefill = Run.Prefill;
  }
  for (auto At = m_Granted.lower_bound(Key(Report.Vm, 0));
       At != m_Granted.end() && At->first.first == Report.Vm;) {
    const bool Over =
        !Told.contains(At->first.second) && Now - At->second.Since > ReportLag;
    At = Over ? m_Granted.erase(At) : std::next(At);
  }
}

void SlotBroker::addLoads(TargetLoads &Sums) const {
  for (const auto &[Which, Held] : m_Granted)
    addLoad(Sums, {Held.Target, 1, Held.Prefill});
}

void SlotBroker::dispatchWaiting(const ServiceName &Service, TimePoint Now) {
  auto &State = m_Services[Service.Text];
  if (State.Queue.empty())
    return;
  // Step 1. Forget what has waited too long; its daemon refuses it.
  for (const auto &Ticket : State.Queue.takeExpired(Now))
    if (const auto Found = m_ByTicket.find(Ticket.Number);
        Found != m_ByTicket.end()) {
      m_Waiting.erase(Found->second);
      m_ByTicket.erase(Found);
    }

  // Step 2. Start what can start, in order; one that fits nowhere does not
  // hold up the others.
  const auto Home = homeTargets(Service);
  std::set<TicketNumber> Skipped;
  while (capacityOf(Home, Now).FreeSlots > 0) {
    const auto Next = State.Queue.next(Now, Skipped);
    if (!Next)
      return;
    const auto Which = m_ByTicket.at(Next->Number);
    const auto Asked = m_Waiting.at(Which);
    if (tryGrant(Asked, Home, Now))
      forget(Which);
    else
      Skipped.insert(Next->Number);
  }
}

void SlotBroker::forgetSilent(TimePoint Now) {
  std::erase_if(m_Heard, [&](const auto &Entry) {
    return Now - Entry.second > SilenceOfDaemon;
  });
  std::vector<Key> Silent;
  for (const auto &[Which, Held] : m_Granted)
    if (!m_Heard.contains(Which.first))
      Silent.push_back(Which);
  for (const auto &Which : Silent)
    release(Which);
}

void SlotBroker::dispatchAllWaiting(TimePoint Now) {
  forgetSilent(Now);
  for (const auto &[Name, State] : m_Services)
    dispatchWaiting(ServiceName(Name), Now);
}

void SlotBroker::clear() {
  m_Waiting.clear();
  m_ByTicket.clear();
  m_Granted.clear();
  m_Heard.clear();
  m_Services.clear();
}

} // namespace mangodeck
