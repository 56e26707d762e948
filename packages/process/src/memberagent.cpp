#include "mangodeck/process/memberagent.h"

#include "mangodeck/common/log.h"
#include "mangodeck/common/overload.h"

#include <set>

namespace mangodeck {

namespace {

constexpr Duration MarkTimeToLive = std::chrono::hours(24);
constexpr Duration DigestTimeToLive = 10s;
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

/// Whether owners or peers' addresses may differ. A suspicion or its refutation
/// changes neither, and is the most frequent change on a lossy link.
bool changesOwners(const Member &Before, const Member &After) {
  return Before.isLive() != After.isLive() || Before.Leaving != After.Leaving ||
         Before.Address != After.Address || !(Before.Domain == After.Domain);
}

} // namespace

MemberAgent::MemberAgent(MembershipOptions Options, Executor &Loop,
                         const Clock &Time, RandomSource &Random,
                         PacketSender &Sender, RcuPointer<OwnerTable> &Owners,
                         RcuPointer<DispatchExclusions> &Marks,
                         MemberObserver &Observer, EventSink &Events)
    : m_Loop(Loop), m_Time(Time), m_Sender(Sender), m_Owners(Owners),
      m_Marks(Marks), m_Observer(Observer), m_Events(Events), m_Vm(Options.Vm),
      m_Membership(std::move(Options), Random) {}

void MemberAgent::setGroups(std::vector<GroupId> Groups) {
  m_Groups = std::move(Groups);
  rebuildOwners();
}

void MemberAgent::tick() {
  Membership::Actions Out;
  m_Membership.tick(m_Time.now(), Out);
  perform(Out);
}

void MemberAgent::onPacket(const Packet &Message, std::string_view Source) {
  Membership::Actions Out;
  m_Membership.onDatagram(Message, Source, m_Time.now(), Out);
  perform(Out);
}

void MemberAgent::onPlatformList(std::span<const ListedVm> Listed) {
  Membership::Actions Out;
  m_Membership.updatePlatformList(Listed, m_Time.now(), Out);
  perform(Out);
}

void MemberAgent::perform(const Membership::Actions &Actions) {
  const auto Handle = Overload{
      [this](const SendPacket &A) {
        m_Sender.sendPacket(A.Address, A.Message);
      },
      [this](const MemberChanged &A) { onChange(A); },
      [this](const EntryChanged &A) { onEntry(A.Entry); },
      [this](const LeaveRequested &) { m_Observer.onLeaveRequested(); }};
  for (const auto &Action : Actions)
    std::visit(Handle, Action);
}

void MemberAgent::onChange(const MemberChanged &Change) {
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
    rebuildOwners();
  if (!After.isLive())
    m_Observer.onMemberGone(After);
}

/// Replaces the owner table that request threads read. Costs one hash for each
/// group and member, and waits for readers of the old table.
void MemberAgent::rebuildOwners() {
  const auto Members = m_Membership.members();
  m_Owners.replace(
      std::make_shared<const OwnerTable>(Members, m_Groups, ++m_TableVersion));
  m_Observer.onMembersChanged(Members);
}

void MemberAgent::onEntry(const GossipEntry &Entry) {
  const auto Value = decodeValue(Entry.Kind, Entry.Value);
  if (!Value)
    return;
  const auto Handle =
      Overload{[&](const LeavingTarget &V) {
                 mark(TargetName(Entry.Subject), V.Started);
               },
               [&](const Quarantine &V) { quarantine(V.Fingerprint); },
               [&](const ConfigRevision &V) {
                 m_Observer.onRevisionReceived(Entry.Origin, V);
               },
               [&](const GroupSummary &V) { m_Observer.onGroupSummary(V); },
               [](const CustomerUsage &) {}};
  std::visit(Handle, *Value);
}

void MemberAgent::mark(const TargetName &Target, Incarnation Started) {
  auto Next = *m_Marks.share();
  auto &Known = Next.Leaving[Target];
  if (Known >= Started && Known != 0)
    return;
  Known = Started;
  replaceMarks(std::move(Next));
}

void MemberAgent::quarantine(std::uint64_t Fingerprint) {
  auto Next = *m_Marks.share();
  if (Next.Quarantined.insert(Fingerprint).second)
    replaceMarks(std::move(Next));
}

void MemberAgent::replaceMarks(DispatchExclusions Next) {
  m_Marks.replace(std::make_shared<const DispatchExclusions>(std::move(Next)));
  m_Observer.onExclusionsChanged(*m_Marks.share());
}

/// Members that own the other groups of \p Group's service.
std::vector<VmName> MemberAgent::ownersBeside(const GroupId &Group) const {
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

/// Sends digests to those who use them only: at hundreds of members, gossip to
/// all would take the whole byte budget and come late.
void MemberAgent::publishSummaries(std::span<const GroupSummary> Digests) {
  Membership::Actions Out;
  for (const auto &Digest : Digests) {
    m_Observer.onGroupSummary(Digest);
    const auto Audience = ownersBeside(Digest.Group);
    if (!Audience.empty())
      m_Membership.publish(Digest, toString(Digest.Group), DigestTimeToLive,
                           m_Time.now(), Audience, Out);
  }
  perform(Out);
}

void MemberAgent::publishRevision(std::uint64_t Number,
                                  const std::string &Digest) {
  Membership::Actions Out;
  m_Membership.publish(ConfigRevision{Number, Digest}, "", RevisionTimeToLive,
                       m_Time.now(), {}, Out);
  perform(Out);
}

void MemberAgent::publishLeaving(const TargetName &Target,
                                 Incarnation Started) {
  m_Loop.post([this, Target, Started] {
    mark(Target, Started);
    Membership::Actions Out;
    m_Membership.publish(LeavingTarget{Started}, Target.Text, MarkTimeToLive,
                         m_Time.now(), {}, Out);
    perform(Out);
  });
}

void MemberAgent::publishQuarantine(std::uint64_t Fingerprint) {
  m_Loop.post([this, Fingerprint] {
    quarantine(Fingerprint);
    Membership::Actions Out;
    m_Membership.publish(Quarantine{Fingerprint},
                         fmt::format("{:016x}", Fingerprint), MarkTimeToLive,
                         m_Time.now(), {}, Out);
    perform(Out);
  });
}

void MemberAgent::setLeaving() {
  Membership::Actions Out;
  m_Membership.setLeaving(m_Time.now(), Out);
  perform(Out);
  rebuildOwners();
}

void MemberAgent::leave() {
  Membership::Actions Out;
  m_Membership.leave(m_Time.now(), Out);
  perform(Out);
}

} // namespace mangodeck
