#include "localpolicy.h"

#include <algorithm>
#include <cassert>

namespace mangodeck {

namespace {

/// Sequences that all entry daemons together may give a target, in batches.
constexpr std::uint32_t BatchesPerTarget = 2;
constexpr Duration NotDeliveredBackOff = 1s;
constexpr Duration RetryAfter = 1s;

} // namespace

LocalPolicy::LocalPolicy(const PolicyContext &Context)
    : m_Context(Context), m_Random(Context.Seed) {
  for (const auto &Record : Context.Config->Targets) {
    m_ByName[Record.Name] = m_Targets.size();
    m_Targets.push_back({});
    m_Targets.back().Record = &Record;
  }
  const auto Entries = Context.Header.Entries.size();
  for (const auto &Owner : Context.Config->Services) {
    LocalQueue Queue;
    std::vector<FailureDomain> Domains;
    for (std::size_t I = 0; I < m_Targets.size(); ++I) {
      const auto &Record = *m_Targets[I].Record;
      if (!(Record.Service == Owner.Name))
        continue;
      Queue.Targets.push_back(I);
      if (std::find(Domains.begin(), Domains.end(), Record.Domain) ==
          Domains.end())
        Domains.push_back(Record.Domain);
    }
    Queue.Limit = std::max<std::size_t>(1, Owner.QueueLimit * Domains.size() *
                                               Owner.SlicesPerDomain / Entries);
    for (const auto &Vm : Context.Header.Entries)
      m_Queues[{Vm.Name, Owner.Name}] = Queue;
  }
}

LocalPolicy::LocalQueue &LocalPolicy::queueOf(const Ticket &Request) {
  return m_Queues[{Request.Entry, Request.Service}];
}

double LocalPolicy::loadOf(const LocalQueue &Queue, std::size_t Target) const {
  const auto It = Queue.InProgress.find(Target);
  const auto Own = It == Queue.InProgress.end() ? 0 : It->second;
  const auto &View = m_Targets[Target];
  return (View.ReportedLoad + Own) /
         static_cast<double>(View.Record->MaxSequences);
}

bool LocalPolicy::isOpen(const LocalQueue &Queue, std::size_t Target) const {
  const auto &View = m_Targets[Target];
  const bool Leaving =
      View.Started <= View.LeavingThrough && View.LeavingThrough > 0;
  if (View.Down || Leaving || View.Record->Draining)
    return false;
  const auto BackOff = Queue.BackOffUntil.find(Target);
  if (BackOff != Queue.BackOffUntil.end() &&
      m_Context.Loop.now() < BackOff->second)
    return false;
  const auto Entries =
      static_cast<std::uint32_t>(m_Context.Header.Entries.size());
  const auto Most =
      (BatchesPerTarget * View.Record->MaxSequences + Entries - 1) / Entries;
  const auto It = Queue.InProgress.find(Target);
  return It == Queue.InProgress.end() || It->second < Most;
}

void LocalPolicy::submit(const Ticket &Request) {
  auto &Queue = queueOf(Request);
  expire(Queue);
  if (Queue.Waiting.size() >= Queue.Limit) {
    m_Context.Entries.onRefusal(Request.Id,
                                Refusal{NotRunReason::Shed, RetryAfter});
    return;
  }
  Queue.Waiting.push_back(Request);
  dispatch(Queue);
}

void LocalPolicy::dispatch(LocalQueue &Queue) {
  expire(Queue);
  while (!Queue.Waiting.empty()) {
    std::vector<std::size_t> Open;
    for (const auto Target : Queue.Targets)
      if (isOpen(Queue, Target))
        Open.push_back(Target);
    if (Open.empty())
      return;
    const auto Target = choose(Queue, Open);
    const auto &View = m_Targets[Target];
    Ticket Request = std::move(Queue.Waiting.front());
    Queue.Waiting.pop_front();
    ++Queue.InProgress[Target];
    m_Context.Entries.onGrant(
        Grant{Request.Id, GroupId{Request.Service, View.Record->Domain, 0},
              View.Record->Name, View.Started, 0});
  }
}

void LocalPolicy::dispatchAll() {
  for (auto &[Key, Queue] : m_Queues)
    dispatch(Queue);
}

void LocalPolicy::expire(LocalQueue &Queue) {
  const auto Now = m_Context.Loop.now();
  std::vector<RequestId> Expired;
  std::erase_if(Queue.Waiting, [&](const Ticket &Request) {
    if (Now <= Request.Deadline)
      return false;
    Expired.push_back(Request.Id);
    return true;
  });
  for (const auto &Id : Expired)
    m_Context.Entries.onRefusal(Id, Refusal{NotRunReason::Expired, RetryAfter});
}

void LocalPolicy::withdraw(const Ticket &Request) {
  std::erase_if(queueOf(Request).Waiting,
                [&](const Ticket &Item) { return Item.Id == Request.Id; });
}

void LocalPolicy::returnGrant(const Ticket &Request, const Grant &Granted,
                              ReturnReason Reason) {
  auto &Queue = queueOf(Request);
  const auto Target = m_ByName.at(Granted.Target);
  --Queue.InProgress[Target];
  if (Reason == ReturnReason::NotDelivered) {
    Queue.BackOffUntil[Target] = m_Context.Loop.now() + NotDeliveredBackOff;
    Queue.Waiting.push_front(Request);
  }
  m_Context.Loop.after(Duration(0), [this, &Queue] { dispatch(Queue); });
}

void LocalPolicy::finish(const Ticket &Request, const Grant &Granted,
                         const FinishReport &Report) {
  auto &Queue = queueOf(Request);
  const auto Target = m_ByName.at(Granted.Target);
  --Queue.InProgress[Target];
  if (Report.Kind == FinishKind::Crashed)
    Queue.BackOffUntil[Target] = m_Context.Loop.now() + NotDeliveredBackOff;
  dispatch(Queue);
}

void LocalPolicy::reportLoad(const LoadReport &Report) {
  auto &View = m_Targets[m_ByName.at(Report.Target)];
  const auto MadeAt = m_Context.Loop.now() - Report.Age;
  if (View.Down && MadeAt < View.DownSince)
    return;
  View.Down = false;
  View.Started = Report.TargetIncarnation;
  View.ReportedLoad = Report.RunningSequences + Report.WaitingSequences;
  if (Report.Leaving)
    View.LeavingThrough =
        std::max(View.LeavingThrough, Report.TargetIncarnation);
}

void LocalPolicy::markLeaving(const TargetName &Target, Incarnation Started) {
  auto &View = m_Targets[m_ByName.at(Target)];
  View.LeavingThrough = std::max(View.LeavingThrough, Started);
}

void LocalPolicy::markDown(const TargetName &Target) {
  auto &View = m_Targets[m_ByName.at(Target)];
  View.Down = true;
  View.DownSince = m_Context.Loop.now();
}

void LocalPolicy::tick() { dispatchAll(); }

std::size_t RoundRobinPolicy::choose(LocalQueue &Queue,
                                     std::span<const std::size_t> Open) {
  return Open[Queue.Cursor++ % Open.size()];
}

std::size_t LeastLoadPolicy::choose(LocalQueue &Queue,
                                    std::span<const std::size_t> Open) {
  const auto First = m_Random.below(Open.size());
  std::size_t Best = Open[First];
  for (std::size_t I = 1; I < Open.size(); ++I) {
    const auto Target = Open[(First + I) % Open.size()];
    if (loadOf(Queue, Target) < loadOf(Queue, Best))
      Best = Target;
  }
  return Best;
}

std::size_t TwoChoicesPolicy::choose(LocalQueue &Queue,
                                     std::span<const std::size_t> Open) {
  const auto A = Open[m_Random.below(Open.size())];
  const auto B = Open[m_Random.below(Open.size())];
  return loadOf(Queue, B) < loadOf(Queue, A) ? B : A;
}

} // namespace mangodeck
