#include "mangodeck/gateway/rolloutcontroller.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

namespace {

const ServiceName Service("s");
constexpr TimePoint Start{std::chrono::hours(1)};

struct RecordingOutlet : RolloutOutlet {
  void sendToDelegate(std::string_view) override {}
  void sendToOwnDomain(std::string_view) override {}
  void sendToDelegates(std::string_view) override {}
  void writeStatus(const RolloutStatus &Next, StoreRevision) override {
    Written.push_back(Next.State);
  }
  void writeRecord(const RolloutRecord &, StoreRevision) override { ++Records; }
  std::uint32_t countElsewhere(const ServiceName &, VersionId) const override {
    return 0;
  }
  void reconsider(const ServiceName &) override { ++Reconsidered; }
  void giveUpElsewhere(const ServiceName &, VersionId) override { ++GivenUp; }

  std::vector<RolloutState> Written;
  int Records = 0;
  int GivenUp = 0;
  int Reconsidered = 0;
};

} // namespace

class RolloutControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutControllerTest);
  CPPUNIT_TEST(choose_trial_keepsShareAndRetriesElsewhere);
  CPPUNIT_TEST(choose_outOfContact_sendsNothingToOrderedVersion);
  CPPUNIT_TEST(choose_rolledBack_neverReturns);
  CPPUNIT_TEST(onOrder_changed_barsTheVersionBefore);
  CPPUNIT_TEST(onOrder_removed_barsTheVersion);
  CPPUNIT_TEST(onOrder_backToRunningVersion_servesAtOnce);
  CPPUNIT_TEST(onOrder_unknownService_hasNoStatus);
  CPPUNIT_TEST(onStatus_completed_barsTheOldVersion);
  CPPUNIT_TEST(markTargets_versionWithoutOrder_isHeldForAWhile);
  CPPUNIT_TEST_SUITE_END();

  std::optional<SeededRandom> m_Random;
  std::optional<EventLog> m_Log;
  RecordingOutlet m_Outlet;
  TargetRegistry m_Targets;
  std::unique_ptr<RolloutController> m_Control;
  std::int64_t m_Revision = 10;

  void add(const char *Id, const char *Version) {
    TargetEntry Entry;
    Entry.Id = TargetName(Id);
    Entry.Service = Service;
    Entry.Domain = FailureDomain("z");
    Entry.Ip = "127.0.0.1";
    Entry.Port = 1;
    Entry.Slots = 100;
    Entry.Version = Version;
    m_Targets.update(Entry);
    m_Control->markTargets(Start);
  }

  bool isBarred(const char *Id) {
    return m_Targets.find(TargetName(Id))->IsBarred;
  }

  void order(const char *To, TimePoint Now) {
    m_Control->onOrder(Service,
                       RolloutOrder{Service, To, 12s, {1, ++m_Revision}}, Now);
  }

  void tick(TimePoint Now, bool HasStore = true) {
    RolloutSurroundings Around;
    Around.IsDelegate = true;
    Around.RemoteDomains = {"y"};
    Around.StoreConfirmedAt = HasStore ? Now : Start;
    Around.WallClock = 1000000ms;
    m_Control->tick(Around, Now);
  }

  void step(const char *To, RolloutStep Step, TimePoint Now) {
    RolloutRecord Record;
    Record.Service = Service;
    Record.Order = {1, m_Revision};
    Record.To = To;
    Record.StartedAt = 1000000ms;
    Record.Step = Step;
    Record.Revision = {1, m_Revision + 100};
    m_Control->onRecord(Service, Record, Now);
    m_Control->markTargets(Now);
  }

  /// Requests of \p Count new ones that go to the ordered version.
  int countSent(int Count, const char *To, TimePoint Now) {
    int Sent = 0;
    for (int I = 0; I < Count; ++I)
      Sent += m_Control->choose(Service, {true, false, false}, Now).Only ==
                      versionIdOf(Service, std::string(To))
                  ? 1
                  : 0;
    return Sent;
  }

public:
  void setUp() override {
    m_Random.emplace(1);
    m_Log.emplace(-1, "a", "1", 10000);
    m_Outlet = RecordingOutlet();
    m_Targets = TargetRegistry();
    m_Control = std::make_unique<RolloutController>(
        RolloutLimits(), RolloutProcess{"a", 1, FailureDomain("z")}, m_Targets,
        m_Outlet, *m_Log, *m_Random);
    m_Control->setServices({{Service.Text, {}}});
    add("o1", "v1");
    m_Control->onDirectoryComplete();
    tick(Start);
    add("n1", "v2");
  }

  /// Guards against an exposure beyond the share, and a failed request that is
  /// sent to the ordered version again.
  void choose_trial_keepsShareAndRetriesElsewhere() {
    order("v2", Start);
    CPPUNIT_ASSERT(isBarred("n1"));
    CPPUNIT_ASSERT_EQUAL(0, countSent(100, "v2", Start));
    step("v2", RolloutStep::Trial, Start);
    CPPUNIT_ASSERT(!isBarred("n1"));
    const int Sent = countSent(1000, "v2", Start);
    CPPUNIT_ASSERT(Sent >= 88 && Sent <= 91);
    const auto Again = m_Control->choose(Service, {false, false, true}, Start);
    CPPUNIT_ASSERT(Again.Avoided == versionIdOf(Service, std::string("v2")));
  }

  /// Guards against a daemon that is cut off and sends on after the verdict.
  void choose_outOfContact_sendsNothingToOrderedVersion() {
    order("v2", Start);
    step("v2", RolloutStep::Trial, Start);
    tick(Start + 3200ms, false);
    CPPUNIT_ASSERT_EQUAL(0, countSent(100, "v2", Start + 3200ms));
    tick(Start + 3200ms, true);
    CPPUNIT_ASSERT(countSent(100, "v2", Start + 3200ms) > 0);
  }

  /// Guards against a late step, a removed status or an older one that brings a
  /// rolled back version back.
  void choose_rolledBack_neverReturns() {
    order("v2", Start);
    m_Control->onStatus(
        Service,
        RolloutStatus{
            Service, RolloutState::RolledBack, "v2", {1, m_Revision + 1}},
        Start);
    step("v2", RolloutStep::Switched, Start);
    m_Control->onStatus(Service, std::nullopt, Start);
    m_Control->markTargets(Start);
    CPPUNIT_ASSERT(isBarred("n1"));
    CPPUNIT_ASSERT_EQUAL(0, countSent(100, "v2", Start));
    tick(Start + 1s);
    CPPUNIT_ASSERT(m_Outlet.Written.back() == RolloutState::RolledBack);
  }

  /// Guards against the version of a replaced order, which was not judged,
  /// being taken for a running one.
  void onOrder_changed_barsTheVersionBefore() {
    order("v2", Start);
    step("v2", RolloutStep::Trial, Start);
    add("m1", "v3");
    order("v3", Start);
    CPPUNIT_ASSERT(isBarred("n1") && isBarred("m1") && !isBarred("o1"));
  }

  /// Guards against a version that gets requests after its order was removed.
  void onOrder_removed_barsTheVersion() {
    order("v2", Start);
    step("v2", RolloutStep::Trial, Start);
    m_Control->onOrder(Service, std::nullopt, Start);
    m_Control->markTargets(Start);
    CPPUNIT_ASSERT(isBarred("n1") && !isBarred("o1"));
    CPPUNIT_ASSERT(m_Control->choose(Service, {true, false, false}, Start) ==
                   VersionChoice());
  }

  /// Guards against an outage when the operator orders the running version
  /// while another one is on trial.
  void onOrder_backToRunningVersion_servesAtOnce() {
    order("v2", Start);
    step("v2", RolloutStep::Trial, Start);
    order("v1", Start);
    CPPUNIT_ASSERT(isBarred("n1") && !isBarred("o1"));
    CPPUNIT_ASSERT(m_Control->choose(Service, {true, false, false}, Start) ==
                   VersionChoice());
    for (int I = 1; I < 8; ++I) {
      tick(Start + I * 1s);
      m_Control->onWritten(Service);
    }
    CPPUNIT_ASSERT(m_Outlet.Written.back() == RolloutState::Completed);
  }

  /// Guards against a status for a service that does not exist.
  void onOrder_unknownService_hasNoStatus() {
    m_Control->setServices({{"other", {}}});
    order("v2", Start);
    for (int I = 1; I < 20; ++I)
      tick(Start + I * 1s);
    CPPUNIT_ASSERT(m_Outlet.Written.empty());
  }

  /// Guards against requests to targets that the platform stops at once.
  void onStatus_completed_barsTheOldVersion() {
    order("v2", Start);
    step("v2", RolloutStep::Switched, Start);
    m_Control->onStatus(
        Service,
        RolloutStatus{
            Service, RolloutState::Completed, "v2", {1, m_Revision + 1}},
        Start);
    CPPUNIT_ASSERT(isBarred("o1") && !isBarred("n1"));
    CPPUNIT_ASSERT_EQUAL(1, m_Outlet.GivenUp);
    CPPUNIT_ASSERT_EQUAL(1, m_Outlet.Reconsidered);
  }

  /// Guards against requests to a version whose order is under way, and against
  /// a version without an order that is never used.
  void markTargets_versionWithoutOrder_isHeldForAWhile() {
    CPPUNIT_ASSERT(isBarred("n1") && !isBarred("o1"));
    m_Control->markTargets(Start + 11s);
    CPPUNIT_ASSERT(!isBarred("n1"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutControllerTest);

} // namespace mangodeck
