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

/// Makes dispatch groups; a seam for tests and other policies.
class DispatchGroupFactory {
public:
  virtual ~DispatchGroupFactory() = default;
  virtual std::unique_ptr<DispatchGroup> make(const GroupId &Id) = 0;
};

/// Runs the dispatch groups that this daemon owns: feeds them messages,
/// reports and time, and sends their decisions to the entry daemons. All
/// methods but the report handlers run on the executor.
class GroupHost : public TargetReportHandler {
public:
  GroupHost(Executor &Loop, const Clock &Time, PeerSender &Router,
            TargetWatcher &Watcher, DispatchGroupFactory &Factory,
            ExclusionPublisher &Marks, EventSink &Events);

  /// Takes a configuration revision over.
  void configure(const SnapshotPtr &Config);

  /// Sets the groups that this daemon owns by its view of the members. A group
  /// that it owns no more is dropped once no ticket waits in it, since entry
  /// daemons move their tickets to the new owner.
  void setOwned(std::span<const GroupId> Owned);

  /// Handles a message to a group; a message of another kind is ignored.
  void onMessage(const VmName &From, const PeerMessage &Message);

  /// Forgets what a dead entry daemon had waiting and running.
  void onMemberGone(const VmName &Entry);

  void onGroupSummary(const GroupSummary &Digest, Duration LinkDelay);
  void onMarks(const DispatchExclusions &Marks);

  /// Expires, adapts and drops; call every 100 ms.
  void tick();

  /// Digests of all groups run here, for gossip and status.
  std::vector<GroupSummary> summaries() const;

  void onLoad(const LoadReport &Report) override;
  void onCache(const CacheEvent &Report) override;
  void onUp(const TargetName &Target, Incarnation Started) override;
  void onDown(const TargetName &Target) override;

private:
  struct Hosted {
    std::unique_ptr<DispatchGroup> Group;
    std::vector<TargetName> Watched;
    bool Owned = false;
  };

  Hosted &ensure(const GroupId &Id);
  void watchTargets(const GroupId &Id, Hosted &Entry);
  void dropUnowned();
  Hosted *groupOf(const TargetName &Target);
  void perform(const GroupId &Id, const DispatchGroup::Actions &Actions);
  void performOne(const GroupId &Id, const GroupAction &Action);

  Executor &m_Loop;
  const Clock &m_Time;
  PeerSender &m_Router;
  TargetWatcher &m_Watcher;
  DispatchGroupFactory &m_Factory;
  ExclusionPublisher &m_Marks;
  EventSink &m_Events;
  SnapshotPtr m_Config;
  std::map<GroupId, Hosted> m_Groups;
  std::map<TargetName, GroupId> m_GroupByTarget;
  std::set<std::uint64_t> m_KnownQuarantined;
  std::map<TargetName, Incarnation> m_KnownLeaving;
};

} // namespace mangodeck

#endif
