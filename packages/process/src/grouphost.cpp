#include "mangodeck/process/grouphost.h"

#include "mangodeck/common/log.h"
#include "mangodeck/common/overload.h"

#include <algorithm>

namespace mangodeck {

namespace {

std::uint32_t waitingTickets(const GroupSummary &Summary) {
  std::uint32_t Sum = 0;
  for (const auto Count : Summary.WaitingPerTier)
    Sum += Count;
  return Sum;
}

} // namespace

GroupHost::GroupHost(Executor &Loop, const Clock &Time, PeerSender &Sender,
                     TargetWatcher &Watcher, DispatchGroupFactory &Factory,
                     ExclusionPublisher &Publisher, EventSink &Events)
    : m_Loop(Loop), m_Time(Time), m_Sender(Sender), m_Watcher(Watcher),
      m_Factory(Factory), m_Publisher(Publisher), m_Events(Events) {}

void GroupHost::configure(const SnapshotPtr &Config) {
  m_Config = Config;
  for (auto &[Id, Hosted] : m_Groups) {
    DispatchGroup::Actions Out;
    Hosted.Group->configure(Config, m_Time.now(), Out);
    watchTargets(Id, Hosted);
    sendActions(Id, Out);
  }
}

GroupHost::HostedGroup &GroupHost::findOrCreate(const GroupId &Id) {
  auto &Hosted = m_Groups[Id];
  if (Hosted.Group)
    return Hosted;
  Hosted.Group = m_Factory.make(Id);
  if (m_Config) {
    DispatchGroup::Actions Out;
    Hosted.Group->configure(m_Config, m_Time.now(), Out);
    for (const auto &[Target, Started] : m_LeavingTargets)
      Hosted.Group->markLeaving(Target, Started, m_Time.now(), Out);
    for (const auto Fingerprint : m_Quarantined)
      Hosted.Group->quarantine(Fingerprint, m_Time.now(), Out);
    watchTargets(Id, Hosted);
    sendActions(Id, Out);
  }
  m_Events.record({EventKind::OwnerChanged, {}, toString(Id), "hosted here"});
  return Hosted;
}

void GroupHost::watchTargets(const GroupId &Id, HostedGroup &Hosted) {
  std::vector<TargetName> Wanted;
  for (const auto *Item : m_Config->targetsOf(Id)) {
    Wanted.push_back(Item->Name);
    m_GroupByTarget[Item->Name] = Id;
    m_Watcher.watch(Item->Name, Item->Address);
  }
  for (const auto &Old : Hosted.WatchedTargets)
    if (std::find(Wanted.begin(), Wanted.end(), Old) == Wanted.end()) {
      m_Watcher.unwatch(Old);
      m_GroupByTarget.erase(Old);
    }
  Hosted.WatchedTargets = std::move(Wanted);
}

void GroupHost::setOwned(std::span<const GroupId> Owned) {
  for (auto &[Id, Hosted] : m_Groups)
    Hosted.Owned = false;
  for (const auto &Id : Owned)
    findOrCreate(Id).Owned = true;
  removeUnowned();
}

void GroupHost::removeUnowned() {
  for (auto It = m_Groups.begin(); It != m_Groups.end();) {
    const auto &Hosted = It->second;
    if (Hosted.Owned ||
        waitingTickets(Hosted.Group->summary(m_Time.now())) > 0) {
      ++It;
      continue;
    }
    for (const auto &Target : Hosted.WatchedTargets) {
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
        findOrCreate(M.Group).Group->submit(M.Request, Now, Out);
        m_Events.record(
            {EventKind::TicketQueued, M.Request.Id, toString(M.Group), ""});
        sendActions(M.Group, Out);
      },
      [&](const WithdrawTicket &M) {
        findOrCreate(M.Group).Group->withdraw(M.Request, Now, Out);
        sendActions(M.Group, Out);
      },
      [&](const ReturnGrant &M) {
        findOrCreate(M.Group).Group->returnGrant(M.Request, M.Reason, Now, Out);
        sendActions(M.Group, Out);
      },
      [&](const ReportFinish &M) {
        findOrCreate(M.Group).Group->finish(M.Report, Now, Out);
        sendActions(M.Group, Out);
      },
      [&](const ReportRunning &M) {
        findOrCreate(M.Group).Group->adoptRunning(M.Running, Now, Out);
        sendActions(M.Group, Out);
      },
      [](const auto &) {}};
  std::visit(Handle, Message);
}

void GroupHost::onMemberGone(const VmName &Entry) {
  for (auto &[Id, Hosted] : m_Groups) {
    DispatchGroup::Actions Out;
    Hosted.Group->releaseEntry(Entry, m_Time.now(), Out);
    sendActions(Id, Out);
  }
}

void GroupHost::onGroupSummary(const GroupSummary &Summary,
                               Duration LinkDelay) {
  for (auto &[Id, Hosted] : m_Groups) {
    if (Id.Service != Summary.Group.Service || Id == Summary.Group)
      continue;
    DispatchGroup::Actions Out;
    Hosted.Group->receiveSummary(Summary, LinkDelay, m_Time.now());
    Hosted.Group->recordSuspects(Summary.Suspects, m_Time.now(), Out);
    sendActions(Id, Out);
  }
}

void GroupHost::onExclusionsChanged(const DispatchExclusions &Exclusions) {
  for (const auto &[Target, Started] : Exclusions.Leaving)
    m_LeavingTargets[Target] = Started;
  m_Quarantined.insert(Exclusions.Quarantined.begin(),
                       Exclusions.Quarantined.end());
  for (auto &[Id, Hosted] : m_Groups) {
    DispatchGroup::Actions Out;
    for (const auto &[Target, Started] : Exclusions.Leaving)
      Hosted.Group->markLeaving(Target, Started, m_Time.now(), Out);
    for (const auto Fingerprint : Exclusions.Quarantined)
      Hosted.Group->quarantine(Fingerprint, m_Time.now(), Out);
    sendActions(Id, Out);
  }
}

void GroupHost::tick() {
  for (auto &[Id, Hosted] : m_Groups) {
    DispatchGroup::Actions Out;
    Hosted.Group->tick(m_Time.now(), Out);
    sendActions(Id, Out);
    for (const auto Fingerprint : Hosted.Group->quarantined())
      if (m_Quarantined.insert(Fingerprint).second)
        m_Publisher.publishQuarantine(Fingerprint);
  }
  removeUnowned();
}

std::vector<GroupSummary> GroupHost::summaries() const {
  std::vector<GroupSummary> Result;
  for (const auto &[Id, Hosted] : m_Groups) {
    Result.push_back(Hosted.Group->summary(m_Time.now()));
    Result.back().Suspects = Hosted.Group->suspects(m_Time.now());
  }
  return Result;
}

GroupHost::HostedGroup *GroupHost::findByTarget(const TargetName &Target) {
  const auto It = m_GroupByTarget.find(Target);
  if (It == m_GroupByTarget.end())
    return nullptr;
  const auto Group = m_Groups.find(It->second);
  return Group == m_Groups.end() ? nullptr : &Group->second;
}

void GroupHost::onLoad(const LoadReport &Report) {
  m_Loop.post([this, Report] {
    auto *Hosted = findByTarget(Report.Target);
    if (!Hosted)
      return;
    const auto Id = m_GroupByTarget[Report.Target];
    DispatchGroup::Actions Out;
    const auto Known = m_LeavingTargets.find(Report.Target);
    const bool IsNewlyLeaving = Known == m_LeavingTargets.end() ||
                                Known->second < Report.TargetIncarnation;
    if (Report.Leaving && IsNewlyLeaving) {
      m_LeavingTargets[Report.Target] = Report.TargetIncarnation;
      m_Publisher.publishLeaving(Report.Target, Report.TargetIncarnation);
      m_Events.record(
          {EventKind::TargetLeaving, {}, Report.Target.Text, "load report"});
      Hosted->Group->markLeaving(Report.Target, Report.TargetIncarnation,
                                 m_Time.now(), Out);
    }
    Hosted->Group->reportLoad(Report, m_Time.now(), Out);
    sendActions(Id, Out);
  });
}

void GroupHost::onCache(const CacheEvent &Report) {
  m_Loop.post([this, Report] {
    if (auto *Hosted = findByTarget(Report.Target))
      Hosted->Group->reportCache(Report, m_Time.now());
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
    auto *Hosted = findByTarget(Target);
    if (!Hosted)
      return;
    DispatchGroup::Actions Out;
    Hosted->Group->markDown(Target, m_Time.now(), Out);
    sendActions(m_GroupByTarget[Target], Out);
  });
}

void GroupHost::sendActions(const GroupId &Id,
                            const DispatchGroup::Actions &Actions) {
  for (const auto &Action : Actions)
    sendAction(Id, Action);
}

void GroupHost::sendAction(const GroupId &Id, const GroupAction &Action) {
  const auto Handle =
      Overload{[&](const GrantAction &A) {
                 m_Events.record({EventKind::TicketGranted, A.Granted.Request,
                                  A.Granted.Target.Text, toString(Id)});
                 m_Sender.send(A.Entry, GrantTicket{A.Granted});
               },
               [&](const RefuseAction &A) {
                 m_Sender.send(A.Entry, RefuseTicket{A.Request, A.Details});
               },
               [&](const SpillAction &A) {
                 m_Sender.send(A.Request.Entry, MoveTicket{A.Request.Id, A.To});
               }};
  std::visit(Handle, Action);
}

} // namespace mangodeck
