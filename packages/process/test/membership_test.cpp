#include "virtualnetwork.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace mangodeck {

namespace {

Member rumorOf(std::string_view Vm, MemberState State, Incarnation Started,
               std::uint32_t RefutationNumber) {
  Member Rumor;
  Rumor.Vm = VmName(Vm);
  Rumor.Address = "10.0.0.9:7300";
  Rumor.Domain = FailureDomain("a");
  Rumor.State = State;
  Rumor.Started = Started;
  Rumor.RefutationNumber = RefutationNumber;
  return Rumor;
}

} // namespace

/// Tests one member with single datagrams, and gossip entries in a small
/// virtual network.
class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(rumor_olderThanKnown_isIgnored);
  CPPUNIT_TEST(rumor_leaving_staysUntilNextIncarnation);
  CPPUNIT_TEST(rumor_left_isFinalForItsIncarnation);
  CPPUNIT_TEST(rumor_deathOfUnknownMember_isIgnored);
  CPPUNIT_TEST(self_suspectedOrDead_refutes);
  CPPUNIT_TEST(self_earlierProcessWithClockAhead_takesLaterIncarnation);
  CPPUNIT_TEST(probe_ofOtherMember_isNotAnswered);
  CPPUNIT_TEST(platformList_leavingAfterLive_requestsLeave);
  CPPUNIT_TEST(platformList_newVm_isContacted);
  CPPUNIT_TEST(entry_laterIncarnationOrVersion_replacesEarlier);
  CPPUNIT_TEST(entry_revision_highestNumberOfAllOriginsIsKept);
  CPPUNIT_TEST(entry_revisionWithOtherDigest_isReportedAndNotStored);
  CPPUNIT_TEST(entry_expired_isNeitherListedNorAccepted);
  CPPUNIT_TEST(entry_direct_reachesItsAudienceOnly);
  CPPUNIT_TEST(entry_directAndScarceBudget_starvesNoReceiver);
  CPPUNIT_TEST(entry_ofDeadOrigin_reachesNewMember);
  CPPUNIT_TEST(gossip_scarceBudget_sendsUrgentFirst);
  CPPUNIT_TEST_SUITE_END();

public:
  void rumor_olderThanKnown_isIgnored() {
    receiveRumor(rumorOf("vm-2", MemberState::Alive, 5, 3));
    receiveRumor(rumorOf("vm-2", MemberState::Suspect, 5, 2));
    receiveRumor(rumorOf("vm-2", MemberState::Dead, 4, 9));
    CPPUNIT_ASSERT(stateOf("vm-2") == MemberState::Alive);
    receiveRumor(rumorOf("vm-2", MemberState::Suspect, 5, 3));
    CPPUNIT_ASSERT(stateOf("vm-2") == MemberState::Suspect);
    receiveRumor(rumorOf("vm-2", MemberState::Alive, 5, 4));
    CPPUNIT_ASSERT(stateOf("vm-2") == MemberState::Alive);
  }

  void rumor_leaving_staysUntilNextIncarnation() {
    auto Leaving = rumorOf("vm-2", MemberState::Alive, 5, 0);
    Leaving.Leaving = true;
    receiveRumor(Leaving);
    receiveRumor(rumorOf("vm-2", MemberState::Alive, 5, 1));
    CPPUNIT_ASSERT(m_Members.find(VmName("vm-2"))->Leaving);
    receiveRumor(rumorOf("vm-2", MemberState::Alive, 6, 0));
    CPPUNIT_ASSERT(!m_Members.find(VmName("vm-2"))->Leaving);
  }

  void rumor_left_isFinalForItsIncarnation() {
    receiveRumor(rumorOf("vm-2", MemberState::Alive, 5, 0));
    receiveRumor(rumorOf("vm-2", MemberState::Left, 5, 0));
    receiveRumor(rumorOf("vm-2", MemberState::Alive, 5, 7));
    CPPUNIT_ASSERT(stateOf("vm-2") == MemberState::Left);
    receiveRumor(rumorOf("vm-2", MemberState::Alive, 6, 0));
    CPPUNIT_ASSERT(stateOf("vm-2") == MemberState::Alive);
  }

  void rumor_deathOfUnknownMember_isIgnored() {
    receiveRumor(rumorOf("vm-9", MemberState::Dead, 5, 0));
    CPPUNIT_ASSERT(!m_Members.find(VmName("vm-9")));
  }

  void self_suspectedOrDead_refutes() {
    receiveRumor(rumorOf("vm-1", MemberState::Suspect, 100, 0));
    CPPUNIT_ASSERT_EQUAL(1U, m_Members.self().RefutationNumber);
    receiveRumor(rumorOf("vm-1", MemberState::Dead, 100, 4));
    CPPUNIT_ASSERT_EQUAL(5U, m_Members.self().RefutationNumber);
    receiveRumor(rumorOf("vm-1", MemberState::Dead, 100, 4));
    CPPUNIT_ASSERT_EQUAL(5U, m_Members.self().RefutationNumber);
  }

  void self_earlierProcessWithClockAhead_takesLaterIncarnation() {
    receiveRumor(rumorOf("vm-1", MemberState::Alive, 900, 0));
    CPPUNIT_ASSERT_EQUAL(Incarnation{901}, m_Members.self().Started);
    receiveRumor(rumorOf("vm-1", MemberState::Left, 901, 0));
    CPPUNIT_ASSERT_EQUAL(Incarnation{902}, m_Members.self().Started);
  }

  void probe_ofOtherMember_isNotAnswered() {
    Packet Probe;
    Probe.Kind = PacketKind::Probe;
    Probe.Sender = rumorOf("vm-2", MemberState::Alive, 5, 0);
    Probe.ProbedVm = VmName("vm-7");
    CPPUNIT_ASSERT(sent(deliver(Probe)).empty());
    Probe.ProbedVm = VmName("vm-1");
    const auto Answers = sent(deliver(Probe));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Answers.size());
    CPPUNIT_ASSERT(Answers.front().Message.Kind == PacketKind::ProbeAck);
  }

  void platformList_leavingAfterLive_requestsLeave() {
    const ListedVm Live{VmName("vm-1"), "", FailureDomain("a"), false};
    const ListedVm Leaving{VmName("vm-1"), "", FailureDomain("a"), true};
    CPPUNIT_ASSERT(!requestsLeave(Leaving));
    CPPUNIT_ASSERT(!requestsLeave(Live));
    CPPUNIT_ASSERT(requestsLeave(Leaving));
  }

  void platformList_newVm_isContacted() {
    const std::vector<ListedVm> Listed{
        {VmName("vm-5"), "10.0.0.5:7300", FailureDomain("a"), false}};
    Membership::Actions Out;
    m_Members.updatePlatformList(Listed, m_Now, Out);
    for (int I = 0; I < 30; ++I)
      m_Members.tick(m_Now += 100ms, Out);
    const auto Packets = sent(Out);
    CPPUNIT_ASSERT(!Packets.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.5:7300"), Packets.front().Address);
  }

  void entry_laterIncarnationOrVersion_replacesEarlier() {
    CPPUNIT_ASSERT(receiveEntry(5, 2, 60s));
    CPPUNIT_ASSERT(!receiveEntry(5, 2, 60s));
    CPPUNIT_ASSERT(!receiveEntry(5, 1, 60s));
    CPPUNIT_ASSERT(!receiveEntry(4, 9, 60s));
    CPPUNIT_ASSERT(receiveEntry(6, 1, 60s));
  }

  void entry_revision_highestNumberOfAllOriginsIsKept() {
    VirtualNetwork Network(smallNetwork());
    Network.runUntilAgreed(10s);
    publish(Network, 0, ConfigRevision{5, "five"}, "", {});
    publish(Network, 1, ConfigRevision{7, "seven"}, "", {});
    publish(Network, 2, ConfigRevision{6, "six"}, "", {});
    Network.runFor(5s);
    for (std::size_t I = 0; I < Network.size(); ++I) {
      const auto Found =
          Network.at(I).entries(EntryKind::Revision, Network.now());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Found.size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, Found.front().Version);
    }
  }

  void entry_revisionWithOtherDigest_isReportedAndNotStored() {
    CPPUNIT_ASSERT(receiveRevision("vm-2", "one"));
    CPPUNIT_ASSERT(!receiveRevision("vm-3", "one"));
    CPPUNIT_ASSERT(receiveRevision("vm-3", "two"));
    const auto Stored = m_Members.entries(EntryKind::Revision, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("vm-2"), Stored.front().Origin.Text);
  }

  void entry_expired_isNeitherListedNorAccepted() {
    receiveEntry(5, 1, 3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(m_Now + 2s));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count(m_Now + 4s));
    CPPUNIT_ASSERT(!receiveEntry(5, 2, 0s));
  }

  void entry_direct_reachesItsAudienceOnly() {
    VirtualNetwork Network(smallNetwork());
    Network.runUntilAgreed(10s);
    const std::vector<VmName> Audience{Network.nameOf(1)};
    publish(Network, 0, CustomerUsage{1, 2, 3}, "coop", Audience);
    Network.runFor(15s);
    for (std::size_t I = 1; I < Network.size(); ++I) {
      const auto Found =
          Network.at(I).entries(EntryKind::CustomerUsage, Network.now());
      CPPUNIT_ASSERT_EQUAL(std::size_t{I == 1 ? 1U : 0U}, Found.size());
    }
  }

  void entry_directAndScarceBudget_starvesNoReceiver() {
    auto Options = smallNetwork();
    Options.GossipBytesPerSecond = 600;
    VirtualNetwork Network(Options);
    Network.runUntilAgreed(30s);
    Network.runFor(30s);
    std::vector<VmName> Audience;
    for (std::size_t I = 1; I < Network.size(); ++I)
      Audience.push_back(Network.nameOf(I));
    for (int I = 0; I < 60; ++I) {
      publish(Network, 0, CustomerUsage{1, 2, 3}, "coop", Audience);
      Network.runFor(500ms);
    }
    for (std::size_t I = 1; I < Network.size(); ++I) {
      const auto Found =
          Network.at(I).entries(EntryKind::CustomerUsage, Network.now());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Found.size());
      CPPUNIT_ASSERT(Found.front().Version > 20);
    }
  }

  void entry_ofDeadOrigin_reachesNewMember() {
    VirtualNetwork Network(smallNetwork());
    Network.runUntilAgreed(10s);
    publish(Network, 3, Quarantine{42}, "42", {});
    Network.runFor(2s);
    Network.kill(3);
    Network.runUntilAgreed(30s);
    Network.restart(4);
    Network.runFor(10s);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        Network.at(4).entries(EntryKind::Quarantine, Network.now()).size());
  }

  void gossip_scarceBudget_sendsUrgentFirst() {
    MembershipOptions Options = options();
    Options.GossipBytesPerSecond = 200;
    SeededRandom Random(1);
    Membership Limited(Options, Random);
    Membership::Actions Out;
    Packet Hello;
    Hello.Sender = rumorOf("vm-2", MemberState::Alive, 5, 0);
    Limited.tick(m_Now, Out);
    Limited.onDatagram(Hello, "10.0.0.9:7300", m_Now, Out);
    for (int I = 0; I < 20; ++I)
      Limited.publish(CustomerUsage{1, 1, 1}, std::to_string(I), 60s, m_Now, {},
                      Out);
    Limited.publish(LeavingTarget{1}, "runner", 60s, m_Now, {}, Out);
    Out.clear();
    while (std::all_of(Out.begin(), Out.end(), [](const auto &Action) {
      const auto *Send = std::get_if<SendPacket>(&Action);
      return !Send || Send->Message.Entries.empty();
    }))
      Limited.tick(m_Now += 100ms, Out);
    for (const auto &Sent : sent(Out)) {
      if (!Sent.Message.Entries.empty())
        CPPUNIT_ASSERT(Sent.Message.Entries.front().Kind ==
                       EntryKind::LeavingTarget);
    }
  }

private:
  static MembershipOptions options() {
    MembershipOptions Options;
    Options.Vm = VmName("vm-1");
    Options.Domain = FailureDomain("a");
    Options.Started = 100;
    Options.PeerAddress = "10.0.0.1:7300";
    return Options;
  }

  static NetworkOptions smallNetwork() {
    NetworkOptions Options;
    Options.Members = 8;
    return Options;
  }

  static void publish(VirtualNetwork &Network, std::size_t Index,
                      const GossipValue &Value, std::string_view Subject,
                      const std::vector<VmName> &Audience) {
    Membership::Actions Out;
    Network.at(Index).publish(Value, Subject, 600s, Network.now(), Audience,
                              Out);
    Network.perform(Index, Out);
  }

  Membership::Actions deliver(Packet Message) {
    Membership::Actions Out;
    m_Members.onDatagram(Message, "10.0.0.9:7300", m_Now, Out);
    return Out;
  }

  void receiveRumor(const Member &Rumor) {
    Packet Message;
    Message.Sender = rumorOf("vm-sender", MemberState::Alive, 1, 0);
    Message.Members = {Rumor};
    deliver(Message);
  }

  bool receiveEntry(Incarnation Started, std::uint64_t Version,
                    Duration Remaining) {
    GossipEntry Entry;
    Entry.Kind = EntryKind::Quarantine;
    Entry.Origin = VmName("vm-2");
    Entry.Subject = "1";
    Entry.Started = Started;
    Entry.Version = Version;
    Entry.Remaining = Remaining;
    Entry.Value = encodeValue(Quarantine{1});
    return reportsChange(Entry);
  }

  bool receiveRevision(std::string_view Origin, std::string_view Digest) {
    GossipEntry Entry;
    Entry.Kind = EntryKind::Revision;
    Entry.Origin = VmName(Origin);
    Entry.Started = 1;
    Entry.Version = 4;
    Entry.Remaining = 60s;
    Entry.Value = encodeValue(ConfigRevision{4, std::string(Digest)});
    return reportsChange(Entry);
  }

  /// Whether the member reports EntryChanged on receiving \p Entry.
  bool reportsChange(const GossipEntry &Entry) {
    Packet Message;
    Message.Sender =
        rumorOf(Entry.Origin.view(), MemberState::Alive, Entry.Started, 0);
    Message.Entries = {Entry};
    const auto Out = deliver(Message);
    return std::any_of(Out.begin(), Out.end(), [](const auto &Action) {
      return std::holds_alternative<EntryChanged>(Action);
    });
  }

  static std::vector<SendPacket> sent(const Membership::Actions &Actions) {
    std::vector<SendPacket> Result;
    for (const auto &Action : Actions) {
      if (const auto *Send = std::get_if<SendPacket>(&Action))
        Result.push_back(*Send);
    }
    return Result;
  }

  bool requestsLeave(const ListedVm &Listed) {
    Membership::Actions Out;
    m_Members.updatePlatformList({&Listed, 1}, m_Now, Out);
    return !Out.empty();
  }

  MemberState stateOf(std::string_view Vm) const {
    return m_Members.find(VmName(Vm))->State;
  }

  std::size_t count(TimePoint At) const {
    return m_Members.entries(EntryKind::Quarantine, At).size();
  }

  TimePoint m_Now{std::chrono::hours(1)};
  SeededRandom m_Random{1};
  Membership m_Members{options(), m_Random};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace mangodeck
