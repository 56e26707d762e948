#include "mangodeck/process/memberagent.h"

#include "mangodeck/common/log.h"
#include "mangodeck/common/overload.h"

#include <set>

namespace mangodeck {

namespace {

/// Time for which a leaving target or a quarantined request stays published to
/// all members.
constexpr Duration ExclusionTimeToLive = std::chrono::hours(24);
constexpr Duration SummaryTimeToLive = 10s;
constexpr Duration RevisionTimeToLive = std::chrono::hours(24);

EventKind eventOf(const Member &Changed) {
  switch (Changed.State) {
  case MemberState::Alive:
    return EventKind::MemberAlive;
  case MemberState::Suspect:
    return EventKind::MemberSuspect;
  case MemberState::Dead:
  case MemberState::Left:
    return EventKind::MemberDead;
  }
  return EventKind::MemberDead;
}

/// Whether the change may affect the owners of groups or the addresses of
/// peers. Suspicions and refutations, the most frequent changes on a lossy
/// link, affect neither.
bool changesOwners(const Member &Before, const Member &After) {
  return Before.isLive() != After.isLive() || Before.Leaving != After.Leaving ||
         Before.Address != After.Address || !(Before.Domain == After.Domain);
}

} // namespace

MemberAgent::MemberAgent(MembershipOptions Options, Executor &Loop,
                         const Clock &Time, RandomSource &Random,
                         PacketSender &Sender, RcuPointer<OwnerTable> &Owners,
                         RcuPointer<DispatchExclusions> &Exclusions,
                         MemberObserver &Observer, EventSink &Events)
    : m_Loop(Loop), m_Time(Time), m_Sender(Sender), m_Owners(Owners),
      m_Exclusions(Exclusions), m_Observer(Observer), m_Events(Events),
      m_Vm(Options.Vm), m_Membership(std::move(Options), Random) {}

void MemberAgent::setGroups(std::vector<GroupId> Groups) {
  m_Groups = std::move(Groups);
  rebuildOwnerTable();
}

void MemberAgent::tick() {
  Membership::Actions Out;
  m_Membership.tick(m_Time.now(), Out);
  performActions(Out);
}

void MemberAgent::onPacket(const Packet &Message, std::string_view Source) {
  Membership::Actions Out;
  m_Membership.onDatagram(Message, Source, m_Time.now(), Out);
  performActions(Out);
}

void MemberAgent::onPlatformList(std::span<const ListedVm> Listed) {
  Membership::Actions Out;
  m_Membership.updatePlatformList(Listed, m_Time.now(), Out);
  performActions(Out);
}

void MemberAgent::performActions(const Membership::Actions &Actions) {
  const auto Handle = Overload{
      [this](const SendPacket &A) {
        m_Sender.sendPacket(A.Address, A.Message);
      },
      [this](const MemberChanged &A) { onMemberChanged(A); },
      [this](const EntryChanged &A) { onEntryChanged(A.Entry); },
      [this](const LeaveRequested &) { m_Observer.onLeaveRequested(); }};
  for (const auto &Action : Actions)
    std::visit(Handle, Action);
}

void MemberAgent::onMemberChanged(const MemberChanged &Change) {
  const auto &After = Change.After;
  m_Events.record({eventOf(After),
                   {},
                   After.Vm.Text,
                   fmt::format("start {}", After.Started)});
  const bool IsSameState = Change.Before &&
                           Change.Before->State == After.State &&
                           Change.Before->Leaving == After.Leaving;
  if (!IsSameState)
    logEvent("member_changed", "vm={} state={} leaving={}", After.Vm.Text,
             toString(After.State), After.Leaving);
  if (!Change.Before || changesOwners(*Change.Before, After))
    rebuildOwnerTable();
  if (!After.isLive())
    m_Observer.onMemberGone(After);
}

/// Replaces the owner table that request threads read. Computes one hash for
/// each pair of group and member, and waits for readers of the old table.
void MemberAgent::rebuildOwnerTable() {
  const auto Members = m_Membership.members();
  m_Owners.replace(
      std::make_shared<const OwnerTable>(Members, m_Groups, ++m_TableVersion));
  m_Observer.onMembersChanged(Members);
}

void MemberAgent::onEntryChanged(const GossipEntry &Entry) {
  const auto Value = decodeValue(Entry.Kind, Entry.Value);
  if (!Value)
    return;
  const auto Handle =
      Overload{[&](const LeavingTarget &V) {
                 excludeLeavingTarget(TargetName(Entry.Subject), V.Started);
               },
               [&](const Quarantine &V) { excludeRequest(V.Fingerprint); },
               [&](const ConfigRevision &V) {
                 m_Observer.onRevisionReceived(Entry.Origin, V);
               },
               [&](const GroupSummary &V) { m_Observer.onGroupSummary(V); },
               [](const CustomerUsage &) {}};
  std::visit(Handle, *Value);
}

void MemberAgent::excludeLeavingTarget(const TargetName &Target,
                                       Incarnation Started) {
  auto Next = *m_Exclusions.share();
  auto &LeavingIncarnation = Next.Leaving[Target];
  if (LeavingIncarnation >= Started && LeavingIncarnation != 0)
    return;
  LeavingIncarnation = Started;
  replaceExclusions(std::move(Next));
}

void MemberAgent::excludeRequest(std::uint64_t Fingerprint) {
  auto Next = *m_Exclusions.share();
  if (Next.Quarantined.insert(Fingerprint).second)
    replaceExclusions(std::move(Next));
}

void MemberAgent::replaceExclusions(DispatchExclusions Next) {
  m_Exclusions.replace(
      std::make_shared<const DispatchExclusions>(std::move(Next)));
  m_Observer.onExclusionsChanged(*m_Exclusions.share());
}

/// Other members that own further dispatch groups of \p Group's service.
std::vector<VmName>
MemberAgent::ownersOfSiblingGroups(const GroupId &Group) const {
  std::set<VmName> Owners;
  const auto Table = m_Owners.share();
  for (const auto &Other : m_Groups) {
    if (Other.Service != Group.Service || Other == Group)
      continue;
    const auto *Owner = Table->ownerOf(Other);
    if (Owner && !(*Owner == m_Vm))
      Owners.insert(*Owner);
  }
  return {Owners.begin(), Owners.end()};
}

/// Sends each group summary directly to the members that use it, the owners of
/// the service's other groups. With hundreds of members, gossip to all would
/// use up the byte budget and delay the summaries.
void MemberAgent::publishSummaries(std::span<const GroupSummary> Summaries) {
  Membership::Actions Out;
  for (const auto &Summary : Summaries) {
    m_Observer.onGroupSummary(Summary);
    const auto Audience = ownersOfSiblingGroups(Summary.Group);
    if (!Audience.empty())
      m_Membership.publish(Summary, toString(Summary.Group), SummaryTimeToLive,
                           m_Time.now(), Audience, Out);
  }
  performActions(Out);
}

void MemberAgent::publishRevision(std::uint64_t Number,
                                  const std::string &Digest) {
  Membership::Actions Out;
  m_Membership.publish(ConfigRevision{Number, Digest}, "", RevisionTimeToLive,
                       m_Time.now(), {}, Out);
  performActions(Out);
}

void MemberAgent::publishLeaving(const TargetName &Target,
                                 Incarnation Started) {
  m_Loop.post([this, Target, Started] {
    excludeLeavingTarget(Target, Started);
    Membership::Actions Out;
    m_Membership.publish(LeavingTarget{Started}, Target.Text,
                         ExclusionTimeToLive, m_Time.now(), {}, Out);
    performActions(Out);
  });
}

void MemberAgent::publishQuarantine(std::uint64_t Fingerprint) {
  m_Loop.post([this, Fingerprint] {
    excludeRequest(Fingerprint);
    Membership::Actions Out;
    m_Membership.publish(Quarantine{Fingerprint},
                         fmt::format("{:016x}", Fingerprint),
                         ExclusionTimeToLive, m_Time.now(), {}, Out);
    performActions(Out);
  });
}

void MemberAgent::setLeaving() {
  Membership::Actions Out;
  m_Membership.setLeaving(m_Time.now(), Out);
  performActions(Out);
  rebuildOwnerTable();
}

void MemberAgent::leave() {
  Membership::Actions Out;
  m_Membership.leave(m_Time.now(), Out);
  performActions(Out);
}

} // namespace mangodeck
