#include "mangodeck/version/configurationsync.h"

#include "faultystore.h"
#include "records.h"

#include "mangodeck/version/revisionwriter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>

namespace mangodeck {

namespace {

constexpr Duration StepLength = 100ms;
constexpr Duration AllowedDelay = 11s;
/// How often a daemon tells one other daemon what it knows.
constexpr int StepsPerGossip = 10;

/// Runs posted work once it is told to.
class StepExecutor : public Executor {
public:
  void post(std::function<void()> Work) override {
    m_Work.push_back(std::move(Work));
  }
  void postAfter(Duration, std::function<void()> Work) override {
    post(std::move(Work));
  }
  void runAll() {
    while (!m_Work.empty()) {
      const auto Work = std::move(m_Work.front());
      m_Work.pop_front();
      Work();
    }
  }

private:
  std::deque<std::function<void()>> m_Work;
};

/// One daemon of the fleet: follows, answers peers, and checks that the
/// revision in force never falls.
class FakeDaemon : public ConfigurationOutput {
public:
  FakeDaemon(std::string_view Name, Store &Inner, const Clock &Time,
             SchemaNumber MaxSchema)
      : Vm(Name), View(Inner), m_Clock(Time) {
    m_Options.MaxSchema = MaxSchema;
    restart();
  }

  void restart() {
    InForce.reset();
    Sync.reset();
    Fetches.clear();
    Sync = std::make_unique<ConfigurationSync>(View, *this, m_Loop, m_Clock,
                                               m_Options);
    Sync->start();
  }

  void putInForce(SnapshotPtr Config) override {
    CPPUNIT_ASSERT(!InForce || InForce->Revision < Config->Revision);
    InForce = std::move(Config);
  }
  void fetchFromPeer(const VmName &Peer, RevisionNumber After) override {
    Fetches.emplace_back(Peer, After);
  }
  void setAlarm(const SetAlarm &) override {}

  RevisionNumber number() {
    m_Loop.runAll();
    return InForce ? InForce->Revision : 0;
  }
  void tick() {
    m_Loop.runAll();
    Sync->tick();
    m_Loop.runAll();
  }
  bool hasAlarm(ConfigurationAlarm Kind) const {
    return Sync->follower().alarms().contains(Kind);
  }

  VmName Vm;
  FaultyStore View;
  SnapshotPtr InForce;
  std::vector<std::pair<VmName, RevisionNumber>> Fetches;
  std::unique_ptr<ConfigurationSync> Sync;

private:
  StepExecutor m_Loop;
  const Clock &m_Clock;
  FollowerOptions m_Options;
};

} // namespace

class ConfigurationSyncTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationSyncTest);
  CPPUNIT_TEST(revision_accepted_isInForceEverywhereAtOnce);
  CPPUNIT_TEST(outage_rightAfterAcceptanceOneHasSeen_allHaveItIn11s);
  CPPUNIT_TEST(outage_operatorHandsRevisionOver_allHaveItIn11s);
  CPPUNIT_TEST(vm_newInOutage_startsFromPeers);
  CPPUNIT_TEST(store_restoredToOlderCopy_raisesAlarmAndIsNotFollowed);
  CPPUNIT_TEST(store_olderCopyGrownPastOurs_raisesAlarmAndIsNotFollowed);
  CPPUNIT_TEST(vm_newBesideOlderStore_startsFromPeers);
  CPPUNIT_TEST(daemon_schema1Only_keepsLastAndFollowsTheUndoing);
  CPPUNIT_TEST(daemon_schema1Only_followsWhatIsNotAdopted);
  CPPUNIT_TEST(watch_silent_isNoticedAndReopened);
  CPPUNIT_TEST(changes_300WithRestarts_allEndAtTheSame);
  CPPUNIT_TEST(peer_otherContentForSameNumber_raisesAlarm);
  CPPUNIT_TEST(fleet_atRest_readsOnlyTheNewestKey);
  CPPUNIT_TEST_SUITE_END();

public:
  void revision_accepted_isInForceEverywhereAtOnce() {
    makeFleet(8);
    change(1);
    run(AllowedDelay);
    expectAll(1);
    change(2);
    expectAll(2);
  }

  void outage_rightAfterAcceptanceOneHasSeen_allHaveItIn11s() {
    makeFleet(24);
    change(1);
    run(AllowedDelay);
    for (std::size_t I = 1; I < m_Fleet.size(); ++I)
      m_Fleet[I]->View.IsDown = true;
    change(2);
    m_Fleet[0]->View.IsDown = true;
    CPPUNIT_ASSERT_EQUAL(RevisionNumber{1}, m_Fleet[1]->number());
    run(AllowedDelay);
    expectAll(2);
  }

  void outage_operatorHandsRevisionOver_allHaveItIn11s() {
    makeFleet(8);
    change(1);
    run(AllowedDelay);
    setDown(true);
    const auto Result = change(2);
    const std::vector<LogEntry> Entries{Result.Entry};
    m_Fleet[3]->Sync->onPeerEntries(VmName(), Entries);
    run(AllowedDelay);
    expectAll(2);
  }

  void vm_newInOutage_startsFromPeers() {
    makeFleet(4);
    for (int I = 1; I <= 5; ++I)
      change(I);
    run(AllowedDelay);
    setDown(true);
    addDaemon();
    m_Fleet.back()->View.IsDown = true;
    run(AllowedDelay);
    expectAll(5);
    CPPUNIT_ASSERT_EQUAL(m_Fleet.front()->InForce->Digest,
                         m_Fleet.back()->InForce->Digest);
  }

  void store_restoredToOlderCopy_raisesAlarmAndIsNotFollowed() {
    restoreOlderCopy(0);
    expectAll(3);
    expectAlarm(ConfigurationAlarm::StoreOlder);
  }

  void store_olderCopyGrownPastOurs_raisesAlarmAndIsNotFollowed() {
    restoreOlderCopy(4);
    expectAll(3);
    expectAlarm(ConfigurationAlarm::StoreConflict);
  }

  void vm_newBesideOlderStore_startsFromPeers() {
    restoreOlderCopy(4);
    addDaemon();
    run(AllowedDelay);
    expectAll(3);
  }

  void daemon_schema1Only_keepsLastAndFollowsTheUndoing() {
    makeFleet(3);
    addDaemon(1);
    change(1);
    run(AllowedDelay);
    applyRecords(makeRecords(2, fmt::format("{}{}", Newer, Adoption)));
    run(AllowedDelay);
    CPPUNIT_ASSERT_EQUAL(RevisionNumber{2}, m_Fleet[0]->number());
    CPPUNIT_ASSERT_EQUAL(RevisionNumber{1}, m_Fleet[3]->number());
    CPPUNIT_ASSERT(m_Fleet[3]->hasAlarm(ConfigurationAlarm::UnknownSchema));
    applyRecords(makeRecords(3));
    run(AllowedDelay);
    expectAll(3);
    CPPUNIT_ASSERT(m_Fleet[3]->Sync->follower().alarms().empty());
  }

  void daemon_schema1Only_followsWhatIsNotAdopted() {
    makeFleet(1);
    addDaemon(1);
    applyRecords(makeRecords(1, Newer));
    change(2);
    run(AllowedDelay);
    expectAll(2);
  }

  void watch_silent_isNoticedAndReopened() {
    makeFleet(1);
    change(1);
    run(AllowedDelay);
    m_Fleet[0]->View.HasSilentWatches = true;
    change(2);
    run(AllowedDelay);
    expectAll(2);
    CPPUNIT_ASSERT_EQUAL(2, m_Fleet[0]->View.Watches);
    change(3);
    expectAll(3);
  }

  void changes_300WithRestarts_allEndAtTheSame() {
    makeFleet(8);
    SeededRandom Random(11);
    for (int I = 1; I <= 300; ++I) {
      change(I);
      auto &Daemon = *m_Fleet[Random.below(m_Fleet.size())];
      if (Random.below(3) == 0)
        Daemon.restart();
      Daemon.View.IsDown = Random.below(4) == 0;
      run(StepLength * 5);
    }
    setDown(false);
    run(AllowedDelay);
    expectAll(300);
    for (const auto &Daemon : m_Fleet) {
      CPPUNIT_ASSERT_EQUAL(m_Fleet[0]->InForce->Digest,
                           Daemon->InForce->Digest);
      CPPUNIT_ASSERT(Daemon->Sync->follower().alarms().empty());
    }
  }

  void peer_otherContentForSameNumber_raisesAlarm() {
    makeFleet(1);
    change(1);
    run(AllowedDelay);
    m_Fleet[0]->Sync->onGossip(VmName("x"), 1, std::string(64, 'f'));
    CPPUNIT_ASSERT(m_Fleet[0]->hasAlarm(ConfigurationAlarm::PeerConflict));
    m_Fleet[0]->Sync->onGossip(VmName("x"), 1, m_Fleet[0]->InForce->Digest);
    CPPUNIT_ASSERT(!m_Fleet[0]->hasAlarm(ConfigurationAlarm::PeerConflict));
  }

  void fleet_atRest_readsOnlyTheNewestKey() {
    makeFleet(8);
    change(1);
    run(AllowedDelay);
    for (const auto &Daemon : m_Fleet)
      Daemon->View.Reads = 0;
    run(std::chrono::minutes(10));
    for (const auto &Daemon : m_Fleet)
      CPPUNIT_ASSERT_EQUAL(120, Daemon->View.Reads);
  }

private:
  static constexpr std::string_view Newer =
      "---\nkind: tier\nschema: 2\nname: gold\nrank: 0\nreserve: 0.1\n";
  static constexpr std::string_view Adoption =
      "---\nkind: adoption\nschema: 1\nname: tier/gold\nin-force: 2\n";

  /// A daemon that joins is told by its seed what the seed knows.
  void addDaemon(SchemaNumber MaxSchema = LatestSchema) {
    m_Fleet.push_back(
        std::make_unique<FakeDaemon>("vm-" + std::to_string(m_Fleet.size()),
                                     *m_Current, m_Clock, MaxSchema));
    gossip(*m_Fleet.front(), *m_Fleet.back());
  }

  void makeFleet(int Count) {
    for (int I = 0; I < Count; ++I)
      addDaemon();
  }

  void setDown(bool IsDown) {
    for (const auto &Daemon : m_Fleet)
      Daemon->View.IsDown = IsDown;
  }

  AcceptanceResult applyRecords(RecordSet Wanted) {
    RevisionWriter Writer(*m_Current, m_Clock, m_Random, [](Duration) {});
    const auto Base = readConfiguration(*m_Current)->Number;
    auto Result = Writer.accept({std::move(Wanted), "ana", "change", Base});
    CPPUNIT_ASSERT(Result.Outcome == Acceptance::Accepted);
    return Result;
  }

  AcceptanceResult change(int Deadline) {
    return applyRecords(makeRecords(Deadline));
  }

  /// Three revisions are in force; then the store goes on from a copy that
  /// ends after the first, with \p More other revisions written to it.
  void restoreOlderCopy(int More) {
    makeFleet(4);
    const auto First = change(1);
    change(2);
    change(3);
    run(AllowedDelay);
    BlockingStore Copy(m_Restored);
    CPPUNIT_ASSERT(
        Copy.compareAndSwap({logKey(1), First.Entry.Value, 0, 0})->Succeeded);
    m_Current = &m_Restored;
    for (const auto &Daemon : m_Fleet)
      Daemon->View.replace(m_Restored);
    for (int I = 0; I < More; ++I)
      change(100 + I);
    run(AllowedDelay);
  }

  /// Advances virtual time; each daemon gossips once a second to one other.
  void run(Duration Span) {
    for (Duration Done{0}; Done < Span; Done += StepLength) {
      m_Clock.advance(StepLength);
      ++m_Step;
      for (std::size_t I = 0; I < m_Fleet.size(); ++I) {
        m_Fleet[I]->tick();
        if ((m_Step + static_cast<int>(I)) % StepsPerGossip == 0)
          gossip(*m_Fleet[I], *m_Fleet[m_Random.below(m_Fleet.size())]);
        answerFetches(*m_Fleet[I]);
      }
    }
  }

  static void gossip(const FakeDaemon &From, FakeDaemon &To) {
    const auto &Known = From.Sync->follower();
    if (&From != &To && Known.knownNumber() > 0)
      To.Sync->onGossip(From.Vm, Known.knownNumber(), Known.knownDigest());
  }

  void answerFetches(FakeDaemon &Asker) {
    const auto Fetches = std::exchange(Asker.Fetches, {});
    for (const auto &[Peer, After] : Fetches)
      for (const auto &Daemon : m_Fleet)
        if (Daemon->Vm == Peer)
          Asker.Sync->onPeerEntries(
              Peer, Daemon->Sync->follower().entriesAfter(After));
  }

  void expectAll(RevisionNumber Number) {
    for (const auto &Daemon : m_Fleet)
      CPPUNIT_ASSERT_EQUAL(Number, Daemon->number());
  }

  void expectAlarm(ConfigurationAlarm Kind) {
    for (const auto &Daemon : m_Fleet)
      CPPUNIT_ASSERT(Daemon->hasAlarm(Kind));
  }

  ManualClock m_Clock;
  MemoryStore m_Inner{m_Clock};
  MemoryStore m_Restored{m_Clock};
  Store *m_Current = &m_Inner;
  SeededRandom m_Random{7};
  std::vector<std::unique_ptr<FakeDaemon>> m_Fleet;
  int m_Step = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationSyncTest);

} // namespace mangodeck
