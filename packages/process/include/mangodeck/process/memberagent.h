#ifndef MANGODECK_PROCESS_MEMBERAGENT_H
#define MANGODECK_PROCESS_MEMBERAGENT_H

#include "mangodeck/common/clock.h"
#include "mangodeck/common/event.h"
#include "mangodeck/common/executor.h"
#include "mangodeck/common/rcupointer.h"
#include "mangodeck/process/dispatchexclusions.h"
#include "mangodeck/process/membership.h"
#include "mangodeck/process/ownertable.h"
#include "mangodeck/version/snapshot.h"

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace mangodeck {

/// Sends one packet to another daemon; implemented over datagrams.
class PacketSender {
public:
  virtual ~PacketSender() = default;
  virtual void sendPacket(std::string_view Address, const Packet &Message) = 0;
};

/// Hears what the members agent finds out. Called on the agent's executor.
class MemberObserver {
public:
  virtual ~MemberObserver() = default;

  /// The set of live members, or one's leaving mark, has changed; the owner
  /// table was replaced before.
  virtual void onMembersChanged(std::span<const Member> Members) = 0;
  virtual void onMemberGone(const Member &Gone) = 0;
  virtual void onExclusionsChanged(const DispatchExclusions &Marks) = 0;
  virtual void onGroupSummary(const GroupSummary &Digest) = 0;
  virtual void onRevisionReceived(const VmName &Origin,
                                  const ConfigRevision &Revision) = 0;
  /// The platform is about to take this VM away.
  virtual void onLeaveRequested() = 0;
};

/// Drives membership and gossip, and keeps what request threads read of them:
/// the owner table and the target marks. Runs on one executor, except for the
/// mark publisher, which may be called from any thread.
class MemberAgent : public ExclusionPublisher {
public:
  MemberAgent(MembershipOptions Options, Executor &Loop, const Clock &Time,
              RandomSource &Random, PacketSender &Sender,
              RcuPointer<OwnerTable> &Owners,
              RcuPointer<DispatchExclusions> &Marks, MemberObserver &Observer,
              EventSink &Events);

  /// Sets the dispatch groups of the configuration in force.
  void setGroups(std::vector<GroupId> Groups);

  void tick();
  void onPacket(const Packet &Message, std::string_view Source);
  void onPlatformList(std::span<const ListedVm> Listed);

  void publishSummaries(std::span<const GroupSummary> Digests);
  void publishRevision(std::uint64_t Number, const std::string &Digest);
  void publishLeaving(const TargetName &Target, Incarnation Started) override;
  void publishQuarantine(std::uint64_t Fingerprint) override;

  void setLeaving();
  void leave();

  std::vector<Member> members() const { return m_Membership.members(); }
  const MembershipCounts &counts() const { return m_Membership.counts(); }

private:
  void perform(const Membership::Actions &Actions);
  void onChange(const MemberChanged &Change);
  void onEntry(const GossipEntry &Entry);
  void mark(const TargetName &Target, Incarnation Started);
  void quarantine(std::uint64_t Fingerprint);
  void replaceMarks(DispatchExclusions Next);
  void rebuildOwners();
  std::vector<VmName> ownersBeside(const GroupId &Group) const;

  Executor &m_Loop;
  const Clock &m_Time;
  PacketSender &m_Sender;
  RcuPointer<OwnerTable> &m_Owners;
  RcuPointer<DispatchExclusions> &m_Marks;
  MemberObserver &m_Observer;
  EventSink &m_Events;
  VmName m_Vm;
  Membership m_Membership;
  std::vector<GroupId> m_Groups;
  std::uint64_t m_TableVersion = 0;
};

} // namespace mangodeck

#endif
