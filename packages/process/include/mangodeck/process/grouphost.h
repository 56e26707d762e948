#ifndef MANGODECK_PROCESS_GROUPHOST_H
#define MANGODECK_PROCESS_GROUPHOST_H

#include "mangodeck/common/clock.h"
#include "mangodeck/common/event.h"
#include "mangodeck/common/executor.h"
#include "mangodeck/process/dispatchexclusions.h"
#include "mangodeck/process/dispatchgroup.h"
#include "mangodeck/request/peermessage.h"

#include <map>
#include <memory>
#include <set>

namespace mangodeck {

/// Creates dispatch groups, so that tests can substitute other policies.
class DispatchGroupFactory {
public:
  virtual ~DispatchGroupFactory() = default;
  virtual std::unique_ptr<DispatchGroup> make(const GroupId &Id) = 0;
};

/// Runs the dispatch groups that this daemon owns: passes messages, target
/// reports and ticks to them and sends their decisions to the entry daemons.
/// All methods except the report handlers run on the executor.
class GroupHost : public TargetReportHandler {
public:
  GroupHost(Executor &Loop, const Clock &Time, PeerSender &Sender,
            TargetWatcher &Watcher, DispatchGroupFactory &Factory,
            ExclusionPublisher &Publisher, EventSink &Events);

  /// Applies a configuration revision to all groups.
  void configure(const SnapshotPtr &Config);

  /// Sets the groups that this daemon owns in its view of the membership. A
  /// group that it no longer owns is removed once no ticket waits in it; until
  /// then the entry daemons move their tickets to the new owner.
  void setOwned(std::span<const GroupId> Owned);

  /// Handles a message to a group and ignores messages of other kinds.
  void onMessage(const VmName &From, const PeerMessage &Message);

  /// Releases the waiting and running requests of a dead entry daemon.
  void onMemberGone(const VmName &Entry);

  void onGroupSummary(const GroupSummary &Summary, Duration LinkDelay);
  void onExclusionsChanged(const DispatchExclusions &Exclusions);

  /// Ticks all groups, publishes new quarantined fingerprints and removes
  /// groups that are no longer owned. Call every 100 ms.
  void tick();

  /// Summaries of all groups that run here, for gossip and status.
  std::vector<GroupSummary> summaries() const;

  void onLoad(const LoadReport &Report) override;
  void onCache(const CacheEvent &Report) override;
  void onUp(const TargetName &Target, Incarnation Started) override;
  void onDown(const TargetName &Target) override;

private:
  struct HostedGroup {
    std::unique_ptr<DispatchGroup> Group;
    std::vector<TargetName> WatchedTargets;
    bool Owned = false;
  };

  HostedGroup &findOrCreate(const GroupId &Id);
  void watchTargets(const GroupId &Id, HostedGroup &Hosted);
  void removeUnowned();
  HostedGroup *findByTarget(const TargetName &Target);
  void sendActions(const GroupId &Id, const DispatchGroup::Actions &Actions);
  void sendAction(const GroupId &Id, const GroupAction &Action);

  Executor &m_Loop;
  const Clock &m_Time;
  PeerSender &m_Sender;
  TargetWatcher &m_Watcher;
  DispatchGroupFactory &m_Factory;
  ExclusionPublisher &m_Publisher;
  EventSink &m_Events;
  SnapshotPtr m_Config;
  std::map<GroupId, HostedGroup> m_Groups;
  std::map<TargetName, GroupId> m_GroupByTarget;
  std::set<std::uint64_t> m_Quarantined;
  std::map<TargetName, Incarnation> m_LeavingTargets;
};

} // namespace mangodeck

#endif
