#include "mangodeck/replay/checkedgroup.h"

#include <fmt/format.h>

#include <algorithm>

namespace mangodeck {

CheckedGroup::CheckedGroup(GroupId Id, std::unique_ptr<DispatchGroup> Checked)
    : m_Id(std::move(Id)), m_Checked(std::move(Checked)) {}

void CheckedGroup::violate(std::string_view What, const RequestId &Id) {
  m_Violations.push_back(
      fmt::format("{}: {}: {}", toString(m_Id), toString(Id), What));
}

void CheckedGroup::configure(SnapshotPtr Config, TimePoint Now, Actions &Out) {
  const auto From = Out.size();
  m_Config = Config;
  m_Checked->configure(std::move(Config), Now, Out);
  check(From, Out);
}

void CheckedGroup::submit(Ticket Request, TimePoint Now, Actions &Out) {
  const auto From = Out.size();
  if (!m_Running.contains(Request.Id) &&
      m_Waiting.emplace(Request.Id, Request).second)
    ++m_WaitingByTier[Request.Tier];
  m_Checked->submit(std::move(Request), Now, Out);
  check(From, Out);
}

void CheckedGroup::withdraw(const RequestId &Request, TimePoint Now,
                            Actions &Out) {
  const auto From = Out.size();
  if (m_Waiting.contains(Request))
    removeWaiting(Request, "withdrawn");
  m_Checked->withdraw(Request, Now, Out);
  check(From, Out);
}

void CheckedGroup::returnGrant(const RequestId &Request, ReturnReason Reason,
                               TimePoint Now, Actions &Out) {
  const auto From = Out.size();
  const auto It = m_Running.find(Request);
  if (Reason == ReturnReason::TargetLeaving && It != m_Running.end()) {
    auto &Use = m_Targets[It->second.Target];
    const auto Started = It->second.TargetIncarnation;
    Use.Leaving = true;
    Use.LeavingThrough =
        std::max(Use.LeavingThrough, Started == 0 ? Use.Known : Started);
  }
  if (Reason != ReturnReason::Duplicate)
    release(Request, Reason == ReturnReason::TargetLeaving ||
                         Reason == ReturnReason::NotDelivered);
  m_Checked->returnGrant(Request, Reason, Now, Out);
  check(From, Out);
}

void CheckedGroup::finish(const FinishReport &Report, TimePoint Now,
                          Actions &Out) {
  const auto From = Out.size();
  release(Report.Request, false);
  m_Checked->finish(Report, Now, Out);
  check(From, Out);
}

void CheckedGroup::adoptRunning(std::span<const RunningRequest> Running,
                                TimePoint Now, Actions &Out) {
  const auto From = Out.size();
  for (const auto &Item : Running) {
    if (m_Running.contains(Item.Request.Id))
      continue;
    if (m_Waiting.contains(Item.Request.Id))
      removeWaiting(Item.Request.Id, "adopted");
    auto &Use = m_Targets[Item.Target];
    addUse(Use, Item.Request);
    m_Running.emplace(Item.Request.Id, RunningTicket{Item.Request, Item.Target,
                                                     Item.TargetIncarnation});
  }
  m_Checked->adoptRunning(Running, Now, Out);
  check(From, Out);
}

void CheckedGroup::reportLoad(const LoadReport &Report, TimePoint Now,
                              Actions &Out) {
  const auto From = Out.size();
  auto &Use = m_Targets[Report.Target];
  if (Use.Leaving && Use.LeavingThrough == 0)
    Use.LeavingThrough = Report.TargetIncarnation;
  Use.Known = std::max(Use.Known, Report.TargetIncarnation);
  if (Report.Leaving) {
    Use.Leaving = true;
    Use.LeavingThrough = std::max(Use.LeavingThrough, Report.TargetIncarnation);
  }
  m_Checked->reportLoad(Report, Now, Out);
  check(From, Out);
}

void CheckedGroup::reportCache(const CacheEvent &Report, TimePoint Now) {
  m_Checked->reportCache(Report, Now);
}

void CheckedGroup::markLeaving(const TargetName &Target, Incarnation Started,
                               TimePoint Now, Actions &Out) {
  const auto From = Out.size();
  auto &Use = m_Targets[Target];
  Use.Leaving = true;
  Use.LeavingThrough =
      std::max(Use.LeavingThrough, Started == 0 ? Use.Known : Started);
  m_Checked->markLeaving(Target, Started, Now, Out);
  check(From, Out);
}

void CheckedGroup::markDown(const TargetName &Target, TimePoint Now,
                            Actions &Out) {
  const auto From = Out.size();
  m_Checked->markDown(Target, Now, Out);
  check(From, Out);
}

void CheckedGroup::quarantine(std::uint64_t Fingerprint, TimePoint Now,
                              Actions &Out) {
  const auto From = Out.size();
  m_Checked->quarantine(Fingerprint, Now, Out);
  check(From, Out);
}

std::vector<std::uint64_t> CheckedGroup::quarantined() const {
  return m_Checked->quarantined();
}

std::vector<CrashSuspect> CheckedGroup::suspects(TimePoint Now) const {
  return m_Checked->suspects(Now);
}

void CheckedGroup::recordSuspects(std::span<const CrashSuspect> Suspects,
                                  TimePoint Now, Actions &Out) {
  const auto From = Out.size();
  m_Checked->recordSuspects(Suspects, Now, Out);
  check(From, Out);
}

void CheckedGroup::releaseEntry(const VmName &Entry, TimePoint Now,
                                Actions &Out) {
  const auto From = Out.size();
  std::vector<RequestId> Gone;
  for (const auto &[Id, Request] : m_Waiting)
    if (Request.Entry == Entry)
      Gone.push_back(Id);
  for (const auto &Id : Gone)
    removeWaiting(Id, "forgotten");
  Gone.clear();
  for (const auto &[Id, Item] : m_Running)
    if (Item.Request.Entry == Entry)
      Gone.push_back(Id);
  for (const auto &Id : Gone)
    release(Id, false);
  m_Checked->releaseEntry(Entry, Now, Out);
  check(From, Out);
}

void CheckedGroup::receiveSummary(const GroupSummary &Other, Duration LinkDelay,
                                  TimePoint Now) {
  m_Checked->receiveSummary(Other, LinkDelay, Now);
}

GroupSummary CheckedGroup::summary(TimePoint Now) const {
  return m_Checked->summary(Now);
}

void CheckedGroup::tick(TimePoint Now, Actions &Out) {
  const auto From = Out.size();
  m_Checked->tick(Now, Out);
  check(From, Out);
}

void CheckedGroup::check(std::size_t From, const Actions &Out) {
  for (std::size_t I = From; I < Out.size(); ++I) {
    if (const auto *Granted = std::get_if<GrantAction>(&Out[I]))
      checkGrant(Granted->Granted);
    else if (const auto *Refused = std::get_if<RefuseAction>(&Out[I]))
      checkRefusal(*Refused);
    else
      removeWaiting(std::get<SpillAction>(Out[I]).Request.Id, "passed on");
  }
}

TokenCount CheckedGroup::commonTokens(const Ticket &Request) {
  const auto Tokens = static_cast<TokenCount>(Request.PrefixBlocks.size()) *
                      Request.TokensPerBlock;
  return Tokens <= Request.PromptTokens ? Tokens : 0;
}

void CheckedGroup::addUse(TargetUse &Use, const Ticket &Request) {
  ++Use.Sequences;
  Use.Kv += Request.PromptTokens + Request.OutputTokens;
  if (Use.PrefixUsers[Request.PrefixBlocks]++ > 0)
    Use.Kv -= commonTokens(Request);
}

void CheckedGroup::removeUse(TargetUse &Use, const Ticket &Request) {
  --Use.Sequences;
  Use.Kv -= Request.PromptTokens + Request.OutputTokens;
  if (--Use.PrefixUsers[Request.PrefixBlocks] > 0)
    Use.Kv += commonTokens(Request);
}

void CheckedGroup::checkGrant(const Grant &Granted) {
  const auto Running = m_Running.find(Granted.Request);
  if (Running != m_Running.end()) {
    if (!(Running->second.Target == Granted.Target))
      violate("granted a second target", Granted.Request);
    return;
  }
  const auto Waiting = m_Waiting.find(Granted.Request);
  if (Waiting == m_Waiting.end())
    return violate("granted without waiting", Granted.Request);
  const Ticket Request = Waiting->second;
  removeWaiting(Granted.Request, "granted");

  auto &Use = m_Targets[Granted.Target];
  addUse(Use, Request);
  const auto *Record = m_Config->findTarget(Granted.Target);
  if (!Record || Record->Draining)
    violate("granted a target that is not in use", Granted.Request);
  else if (Use.Sequences > Record->MaxSequences)
    violate("granted above the target's sequences", Granted.Request);
  else if (Record->KvTokens > 0 && Use.Kv > Record->KvTokens)
    violate("granted above the target's KV tokens", Granted.Request);
  if (Use.Leaving && Use.Known <= Use.LeavingThrough)
    violate("granted a leaving target", Granted.Request);
  m_Running.emplace(Granted.Request, RunningTicket{Request, Granted.Target,
                                                   Granted.TargetIncarnation});
}

void CheckedGroup::checkRefusal(const RefuseAction &Refused) {
  const auto It = m_Waiting.find(Refused.Request);
  if (It == m_Waiting.end())
    return violate("refused without waiting", Refused.Request);
  const TierRank Tier = It->second.Tier;
  removeWaiting(Refused.Request, "refused");
  const bool Lower =
      std::any_of(m_WaitingByTier.upper_bound(Tier), m_WaitingByTier.end(),
                  [](const auto &Item) { return Item.second > 0; });
  if (Refused.Details.Reason == NotRunReason::Shed && Lower)
    violate("shed while a lower tier waits", Refused.Request);
  if (Refused.Details.Reason != NotRunReason::Quarantined &&
      Refused.Details.RetryAfter <= Duration(0))
    violate("refused without a time to retry", Refused.Request);
}

void CheckedGroup::release(const RequestId &Id, bool WaitsAgain) {
  const auto It = m_Running.find(Id);
  if (It == m_Running.end())
    return;
  auto &Use = m_Targets[It->second.Target];
  const auto Request = std::move(It->second.Request);
  removeUse(Use, Request);
  m_Running.erase(It);
  if (!WaitsAgain)
    return;
  ++m_WaitingByTier[Request.Tier];
  m_Waiting.emplace(Id, Request);
}

void CheckedGroup::removeWaiting(const RequestId &Id, std::string_view Action) {
  const auto It = m_Waiting.find(Id);
  if (It == m_Waiting.end())
    return violate(fmt::format("{} without waiting", Action), Id);
  --m_WaitingByTier[It->second.Tier];
  m_Waiting.erase(It);
}

} // namespace mangodeck
