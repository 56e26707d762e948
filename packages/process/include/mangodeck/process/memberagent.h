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

/// Receives the member agent's events. Called on the agent's executor.
class MemberObserver {
public:
  virtual ~MemberObserver() = default;

  /// The set of live members changed, or the address, failure domain or leaving
  /// flag of a member. Called after the owner table was replaced.
  virtual void onMembersChanged(std::span<const Member> Members) = 0;
  /// \p Gone is dead or has left.
  virtual void onMemberGone(const Member &Gone) = 0;
  virtual void onExclusionsChanged(const DispatchExclusions &Exclusions) = 0;
  virtual void onGroupSummary(const GroupSummary &Summary) = 0;
  virtual void onRevisionReceived(const VmName &Origin,
                                  const ConfigRevision &Revision) = 0;
  /// The platform lists this VM as leaving and will remove it.
  virtual void onLeaveRequested() = 0;
};

/// Runs membership and gossip, and maintains the data that request threads
/// read from them: the owner table and the dispatch exclusions. Runs on one
/// executor; only the methods of ExclusionPublisher may be called from any
/// thread.
class MemberAgent : public ExclusionPublisher {
public:
  MemberAgent(MembershipOptions Options, Executor &Loop, const Clock &Time,
              RandomSource &Random, PacketSender &Sender,
              RcuPointer<OwnerTable> &Owners,
              RcuPointer<DispatchExclusions> &Exclusions,
              MemberObserver &Observer, EventSink &Events);

  /// Sets the dispatch groups of the configuration in force.
  void setGroups(std::vector<GroupId> Groups);

  void tick();
  void onPacket(const Packet &Message, std::string_view Source);
  void onPlatformList(std::span<const ListedVm> Listed);

  void publishSummaries(std::span<const GroupSummary> Summaries);
  void publishRevision(std::uint64_t Number, const std::string &Digest);
  void publishLeaving(const TargetName &Target, Incarnation Started) override;
  void publishQuarantine(std::uint64_t Fingerprint) override;

  void setLeaving();
  void leave();

  std::vector<Member> members() const { return m_Membership.members(); }
  const MembershipCounts &counts() const { return m_Membership.counts(); }

private:
  void performActions(const Membership::Actions &Actions);
  void onMemberChanged(const MemberChanged &Change);
  void onEntryChanged(const GossipEntry &Entry);
  void excludeLeavingTarget(const TargetName &Target, Incarnation Started);
  void excludeRequest(std::uint64_t Fingerprint);
  void replaceExclusions(DispatchExclusions Next);
  void rebuildOwnerTable();
  std::vector<VmName> ownersOfSiblingGroups(const GroupId &Group) const;

  Executor &m_Loop;
  const Clock &m_Time;
  PacketSender &m_Sender;
  RcuPointer<OwnerTable> &m_Owners;
  RcuPointer<DispatchExclusions> &m_Exclusions;
  MemberObserver &m_Observer;
  EventSink &m_Events;
  VmName m_Vm;
  Membership m_Membership;
  std::vector<GroupId> m_Groups;
  std::uint64_t m_TableVersion = 0;
};

} // namespace mangodeck

#endif
