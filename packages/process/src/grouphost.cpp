#include "mangodeck/process/grouphost.h"

#include "mangodeck/common/log.h"
#include "mangodeck/common/overload.h"

#include <algorithm>

namespace mangodeck {

namespace {

std::uint32_t waitingTickets(const GroupSummary &Digest) {
  std::uint32_t Sum = 0;
  for (const auto Count : Digest.WaitingPerTier)
    Sum += Count;
  return Sum;
}

} // namespace

GroupHost::GroupHost(Executor &Loop, const Clock &Time, PeerSender &Router,
                     TargetWatcher &Watcher, DispatchGroupFactory &Factory,
                     ExclusionPublisher &Marks, EventSink &Events)
    : m_Loop(Loop), m_Time(Time), m_Router(Router), m_Watcher(Watcher),
      m_Factory(Factory), m_Marks(Marks), m_Events(Events) {}

void GroupHost::configure(const SnapshotPtr &Config) {
  m_Config = Config;
  for (auto &[Id, Entry] : m_Groups) {
    DispatchGroup::Actions Out;
    Entry.Group->configure(Config, m_Time.now(), Out);
    watchTargets(Id, Entry);
    perform(Id, Out);
  }
}

GroupHost::Hosted &GroupHost::ensure(const GroupId &Id) {
  auto &Entry = m_Groups[Id];
  if (Entry.Group)
    return Entry;
  Entry.Group = m_Factory.make(Id);
  if (m_Config) {
    DispatchGroup::Actions Out;
    Entry.Group->configure(m_Config, m_Time.now(), Out);
    for (const auto &[Target, Started] : m_KnownLeaving)
      Entry.Group->markLeaving(Target, Started, m_Time.now(), Out);
    for (const auto Fingerprint : m_KnownQuarantined)
      Entry.Group->quarantine(Fingerprint, m_Time.now(), Out);
    watchTargets(Id, Entry);
    perform(Id, Out);
  }
  m_Events.record({EventKind::OwnerChanged, {}, toString(Id), "hosted here"});
  return Entry;
}

void GroupHost::watchTargets(const GroupId &Id, Hosted &Entry) {
  std::vector<TargetName> Wanted;
  for (const auto *Item : m_Config->targetsOf(Id)) {
    Wanted.push_back(Item->Name);
    m_GroupByTarget[Item->Name] = Id;
    m_Watcher.watch(Item->Name, Item->Address);
  }
  for (const auto &Old : Entry.Watched)
    if (std::find(Wanted.begin(), Wanted.end(), Old) == Wanted.end()) {
      m_Watcher.unwatch(Old);
      m_GroupByTarget.erase(Old);
    }
  Entry.Watched = std::move(Wanted);
}

void GroupHost::setOwned(std::span<const GroupId> Owned) {
  for (auto &[Id, Entry] : m_Groups)
    Entry.Owned = false;
  for (const auto &Id : Owned)
    ensure(Id).Owned = true;
  dropUnowned();
}

void GroupHost::dropUnowned() {
  for (auto It = m_Groups.begin(); It != m_Groups.end();) {
    const auto &Entry = It->second;
    if (Entry.Owned || waitingTickets(Entry.Group->summary(m_Time.now())) > 0) {
      ++It;
      continue;
    }
    for (const auto &Target : Entry.Watched) {
      m_Watcher.unwatch(Target);
      m_GroupByTarget.erase(Target);
    }
    m_Events.record(
        {EventKind::OwnerChanged, {}, toString(It->first), "dropped here"});
    It = m_Groups.erase(It);
  }
}

void GroupHost::onMessage(const VmName &From, const PeerMessage &Message) {
  const auto Now = m_Time.now();
  DispatchGroup::Actions Out;
  const auto Handle = Overload{
      [&](const SubmitTicket &M) {
        ensure(M.Group).Group->submit(M.Request, Now, Out);
        m_Events.record(
            {EventKind::TicketQueued, M.Request.Id, toString(M.Group), ""});
        perform(M.Group, Out);
      },
      [&](const WithdrawTicket &M) {
        ensure(M.Group).Group->withdraw(M.Request, Now, Out);
        perform(M.Group, Out);
      },
      [&](const ReturnGrant &M) {
        ensure(M.Group).Group->returnGrant(M.Request, M.Reason, Now, Out);
        perform(M.Group, Out);
      },
      [&](const ReportFinish &M) {
        ensure(M.Group).Group->finish(M.Report, Now, Out);
        perform(M.Group, Out);
      },
      [&](const ReportRunning &M) {
        ensure(M.Group).Group->adoptRunning(M.Running, Now, Out);
        perform(M.Group, Out);
      },
      [](const auto &) {}};
  std::visit(Handle, Message);
}

void GroupHost::onMemberGone(const VmName &Entry) {
  for (auto &[Id, Hosted] : m_Groups) {
    DispatchGroup::Actions Out;
    Hosted.Group->releaseEntry(Entry, m_Time.now(), Out);
    perform(Id, Out);
  }
}

void GroupHost::onGroupSummary(const GroupSummary &Digest, Duration LinkDelay) {
  for (auto &[Id, Entry] : m_Groups) {
    if (Id.Service != Digest.Group.Service || Id == Digest.Group)
      continue;
    DispatchGroup::Actions Out;
    Entry.Group->receiveSummary(Digest, LinkDelay, m_Time.now());
    Entry.Group->recordSuspects(Digest.Suspects, m_Time.now(), Out);
    perform(Id, Out);
  }
}

void GroupHost::onMarks(const DispatchExclusions &Marks) {
  for (const auto &[Target, Started] : Marks.Leaving)
    m_KnownLeaving[Target] = Started;
  m_KnownQuarantined.insert(Marks.Quarantined.begin(), Marks.Quarantined.end());
  for (auto &[Id, Entry] : m_Groups) {
    DispatchGroup::Actions Out;
    for (const auto &[Target, Started] : Marks.Leaving)
      Entry.Group->markLeaving(Target, Started, m_Time.now(), Out);
    for (const auto Fingerprint : Marks.Quarantined)
      Entry.Group->quarantine(Fingerprint, m_Time.now(), Out);
    perform(Id, Out);
  }
}

void GroupHost::tick() {
  for (auto &[Id, Entry] : m_Groups) {
    DispatchGroup::Actions Out;
    Entry.Group->tick(m_Time.now(), Out);
    perform(Id, Out);
    for (const auto Fingerprint : Entry.Group->quarantined())
      if (m_KnownQuarantined.insert(Fingerprint).second)
        m_Marks.publishQuarantine(Fingerprint);
  }
  dropUnowned();
}

std::vector<GroupSummary> GroupHost::summaries() const {
  std::vector<GroupSummary> Result;
  for (const auto &[Id, Entry] : m_Groups) {
    Result.push_back(Entry.Group->summary(m_Time.now()));
    Result.back().Suspects = Entry.Group->suspects(m_Time.now());
  }
  return Result;
}

GroupHost::Hosted *GroupHost::groupOf(const TargetName &Target) {
  const auto It = m_GroupByTarget.find(Target);
  if (It == m_GroupByTarget.end())
    return nullptr;
  const auto Group = m_Groups.find(It->second);
  return Group == m_Groups.end() ? nullptr : &Group->second;
}

void GroupHost::onLoad(const LoadReport &Report) {
  m_Loop.post([this, Report] {
    auto *Entry = groupOf(Report.Target);
    if (!Entry)
      return;
    const auto Id = m_GroupByTarget[Report.Target];
    DispatchGroup::Actions Out;
    const auto Known = m_KnownLeaving.find(Report.Target);
    const bool IsNews =
        Known == m_KnownLeaving.end() || Known->second < Report.Started;
    if (Report.Leaving && IsNews) {
      m_KnownLeaving[Report.Target] = Report.Started;
      m_Marks.publishLeaving(Report.Target, Report.Started);
      m_Events.record(
          {EventKind::TargetLeaving, {}, Report.Target.Text, "load report"});
      Entry->Group->markLeaving(Report.Target, Report.Started, m_Time.now(),
                                Out);
    }
    Entry->Group->reportLoad(Report, m_Time.now(), Out);
    perform(Id, Out);
  });
}

void GroupHost::onCache(const CacheEvent &Report) {
  m_Loop.post([this, Report] {
    if (auto *Entry = groupOf(Report.Target))
      Entry->Group->reportCache(Report, m_Time.now());
  });
}

void GroupHost::onUp(const TargetName &Target, Incarnation Started) {
  m_Loop.post([this, Target, Started] {
    m_Events.record({EventKind::TargetUp,
                     {},
                     Target.Text,
                     fmt::format("incarnation {}", Started)});
    logEvent("target_up", "target={} incarnation={}", Target.Text, Started);
  });
}

void GroupHost::onDown(const TargetName &Target) {
  m_Loop.post([this, Target] {
    m_Events.record({EventKind::TargetDown, {}, Target.Text, ""});
    logEvent("target_down", "target={}", Target.Text);
    auto *Entry = groupOf(Target);
    if (!Entry)
      return;
    DispatchGroup::Actions Out;
    Entry->Group->markDown(Target, m_Time.now(), Out);
    perform(m_GroupByTarget[Target], Out);
  });
}

void GroupHost::perform(const GroupId &Id,
                        const DispatchGroup::Actions &Actions) {
  for (const auto &Action : Actions)
    performOne(Id, Action);
}

void GroupHost::performOne(const GroupId &Id, const GroupAction &Action) {
  const auto Handle =
      Overload{[&](const GrantAction &A) {
                 m_Events.record({EventKind::TicketGranted, A.Granted.Request,
                                  A.Granted.Target.Text, toString(Id)});
                 m_Router.send(A.Entry, GrantTicket{A.Granted});
               },
               [&](const RefuseAction &A) {
                 m_Router.send(A.Entry, RefuseTicket{A.Request, A.Details});
               },
               [&](const SpillAction &A) {
                 m_Router.send(A.Request.Entry, MoveTicket{A.Request.Id, A.To});
               }};
  std::visit(Handle, Action);
}

} // namespace mangodeck
