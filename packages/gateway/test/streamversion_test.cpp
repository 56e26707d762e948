#include "fleetsupport.h"
#include "streamcaller.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <thread>

namespace mangodeck {

namespace {

constexpr int EventsBeforeBreak = 2;
constexpr int EventsInStream = 5;
/// Least share of the broken streams that goes on, relative to the share of new
/// streams that begin.
constexpr double MinShareThatGoesOn = 0.5;
/// Time after which a stream without a target ends: LatencyTimeoutFactor times
/// the latency target of the plan, and a margin for a loaded machine.
constexpr Duration BreakOffTime = 7s;

} // namespace

/// Daemons, each on an event loop of its own so that it can be killed alone,
/// and targets of several software versions. A target stops after the first
/// events of a new stream, and completes a resumed one.
class StreamVersionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamVersionTest);
  CPPUNIT_TEST(streamTakenUp_daemonKilled_goesOnAtItsVersion);
  CPPUNIT_TEST(streamTakenUp_mostDaemonsKilled_goesOnAtItsVersion);
  CPPUNIT_TEST(streamTakenUp_allDaemonsKilled_isRefusedWithoutRetryAfter);
  CPPUNIT_TEST(streamTakenUp_oneVersionAndAllDaemonsKilled_goesOn);
  CPPUNIT_TEST(streamTakenUp_attemptNotNamed_isRefused);
  CPPUNIT_TEST(streamTakenUp_versionWithoutTarget_isRefused);
  CPPUNIT_TEST(streamTakenUp_daemonsUnlistedAfterRestore_goesOn);
  CPPUNIT_TEST(streamTakenUp_storeAway_goesOnAtItsVersion);
  CPPUNIT_TEST(streamTakenUp_storeAwayAndVersionsUnused_goesOn);
  CPPUNIT_TEST(streamTakenUp_daemonMissedNewVersion_isNotMixed);
  CPPUNIT_TEST(streamTakenUp_daemonLongOutOfStep_goesOnAtItsVersion);
  CPPUNIT_TEST(streamTakenUp_daemonStoodStill_goesOnAtItsVersion);
  CPPUNIT_TEST(version_appearsAlone_beginsStreamsAtOnce);
  CPPUNIT_TEST(streamResumedByDaemon_targetCrashed_goesOnAtItsVersion);
  CPPUNIT_TEST(streamResumedByDaemon_sameIdWithOtherVersion_isBrokenOff);
  CPPUNIT_TEST(streamResumedByDaemon_otherTargetRestartedUnread_isNotMixed);
  CPPUNIT_TEST(streamResumedByDaemon_targetWithoutReport_isBrokenOff);
  CPPUNIT_TEST(streamBegun_targetRestartedWhileStoreAway_isNotMixed);
  CPPUNIT_TEST(streamBegun_registrationReadAfterwards_isNotMixed);
  CPPUNIT_TEST(streamTakenUp_otherTargetRestartedUnread_isNotMixed);
  CPPUNIT_TEST(streams_storeReadable_causeNoStartQuery);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    m_Versions.clear();
    m_Starts.clear();
    m_IsStoreAway = false;
    m_HasReport = true;
    m_StartQueries = 0;
  }

  void tearDown() override {
    m_Callers.clear();
    m_Daemons.clear();
    m_Targets.clear();
    m_Loop.reset();
  }

  void streamTakenUp_daemonKilled_goesOnAtItsVersion() {
    startTargets({"v1", "v2"}, 4);
    startDaemons({"a-1", "a-2", "a-3"});
    beginStreams(24, {0});
    kill({0});
    takeUpAt({1, 2});
    assertOneVersionAndMostGoOn();
  }

  void streamTakenUp_mostDaemonsKilled_goesOnAtItsVersion() {
    startTargets({"v1", "v2", "v2"}, 6);
    startDaemons({"a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2"});
    beginStreams(40, {0, 1, 3, 5, 6});
    kill({0, 1, 3, 5, 6});
    takeUpAt({2, 4, 7});
    assertOneVersionAndMostGoOn();
  }

  void streamTakenUp_allDaemonsKilled_isRefusedWithoutRetryAfter() {
    startTargets({"v1", "v2"}, 4);
    startDaemons({"a-1", "a-2"});
    beginStreams(12, {0, 1});
    kill({0, 1});
    startDaemons({"a-3", "a-4"});
    takeUpAt({2, 3});
    assertOneVersion();
    for (const auto &Each : m_Callers) {
      CPPUNIT_ASSERT_EQUAL(503, Each->Status);
      CPPUNIT_ASSERT(!Each->HasRetryAfter);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), requestsAtTargets());
  }

  void streamTakenUp_oneVersionAndAllDaemonsKilled_goesOn() {
    startTargets({"v1"}, 4);
    startDaemons({"a-1", "a-2"});
    beginStreams(12, {0, 1});
    kill({0, 1});
    startDaemons({"a-3", "a-4"});
    takeUpAt({2, 3});
    assertOneVersionAndMostGoOn();
  }

  void streamTakenUp_attemptNotNamed_isRefused() {
    startTargets({"v1", "v2"}, 4);
    startDaemons({"a-1", "a-2"});
    beginStreams(12, {0});
    kill({0});
    for (std::size_t Index = 0; Index < m_Callers.size(); ++Index) {
      m_Callers[Index]->NamesNoAttempt = Index % 3 == 0;
      m_Callers[Index]->ResumedAttempt =
          Index % 3 == 1 ? "unknown" : std::string(2000, 'x');
    }
    takeUpAt({1});
    assertOneVersion();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countGoneOn());
  }

  void streamTakenUp_versionWithoutTarget_isRefused() {
    startTargets({"v1", "v2"}, 2);
    startDaemons({"a-1", "a-2"});
    beginStreams(8, {0});
    for (auto &Each : m_Daemons)
      Each->Front->Server->onTargetRemoved(TargetName("t0"), false);
    kill({0});
    takeUpAt({1});
    assertOneVersion();
    for (const auto &Each : m_Callers) {
      const bool IsOfRemoved = Each->Versions.contains("v1");
      CPPUNIT_ASSERT_EQUAL(IsOfRemoved ? 503 : 200, Each->Status);
      CPPUNIT_ASSERT(!Each->HasRetryAfter);
    }
  }

  void streamTakenUp_daemonsUnlistedAfterRestore_goesOn() {
    startTargets({"v1", "v2"}, 4);
    startDaemons({"a-1", "a-2", "a-3"});
    for (auto &Each : m_Daemons)
      for (const auto *Vm : {"a-1", "a-2", "a-3"})
        Each->Front->Server->onPeerRemoved(Vm);
    beginStreams(12, {0});
    kill({0});
    takeUpAt({1, 2});
    assertOneVersionAndMostGoOn();
  }

  void streamTakenUp_storeAway_goesOnAtItsVersion() {
    startTargets({"v1", "v2"}, 4);
    startDaemons({"a-1", "a-2", "a-3"});
    m_IsStoreAway = true;
    runFor(3100ms);
    beginStreams(12, {0});
    kill({0});
    takeUpAt({1, 2});
    assertOneVersionAndMostGoOn();
  }

  void streamTakenUp_storeAwayAndVersionsUnused_goesOn() {
    startTargets({"v1"}, 4);
    startDaemons({"a-1", "a-2"});
    m_IsStoreAway = true;
    runFor(3100ms);
    beginStreams(12, {0});
    kill({0});
    for (auto &Each : m_Callers)
      Each->NamesNoAttempt = true;
    takeUpAt({1});
    assertOneVersionAndMostGoOn();
  }

  // Regression: a daemon that had not read the registration of a new version
  // yet took the old one for the only one that can have begun a stream.
  void streamTakenUp_daemonMissedNewVersion_isNotMixed() {
    startWithDaemonOutOfStep();
    beginStreams(18, {0, 2});
    kill({0, 2});
    takeUpAt({1});
    assertOneVersionAndMostGoOn();
  }

  void streamTakenUp_daemonLongOutOfStep_goesOnAtItsVersion() {
    startWithDaemonOutOfStep();
    runFor(4s);
    beginStreams(18, {0});
    const auto OfNew =
        std::count_if(m_Callers.begin(), m_Callers.end(), [](const auto &Each) {
          return Each->Versions.contains("v2");
        });
    CPPUNIT_ASSERT(OfNew > 0);
    kill({0});
    takeUpAt({1});
    assertOneVersionAndMostGoOn();
  }

  // The daemon takes streams up before it has handled anything else.
  void streamTakenUp_daemonStoodStill_goesOnAtItsVersion() {
    startTargets({"v1"}, 2);
    startDaemons({"a-1", "a-2", "a-3"});
    m_Daemons[1]->StandsStill = true;
    addVersion("v2", {0, 2});
    runFor(4s);
    beginStreams(18, {0});
    kill({0});
    for (const auto &Each : m_Callers)
      Each->send(m_Daemons[1]->Front->Settings.CallerPort);
    m_Daemons[1]->StandsStill = false;
    m_Daemons[1]->Loop->run_for(50ms);
    runUntil([&] { return countRunning() == 0; }, 4s);
    assertOneVersion();
  }

  void version_appearsAlone_beginsStreamsAtOnce() {
    startTargets({"v2"}, 1);
    startDaemons({"a-1"});
    beginStreams(3, {0});
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), requestsAtTargets());
  }

  void streamResumedByDaemon_targetCrashed_goesOnAtItsVersion() {
    startTargets({"v1", "v2"}, 6);
    startDaemons({"a-1", "a-2"});
    beginStreams(16, {0, 1});
    m_Targets[0]->crash();
    m_Targets[1]->crash();
    runUntil([&] { return countRunning() < m_Callers.size(); }, 3s);
    runFor(500ms);
    std::size_t Resumed = 0;
    for (const auto &Each : m_Callers)
      Resumed += Each->LastEvent == EventsInStream ? 1 : 0;
    CPPUNIT_ASSERT(Resumed > 0);
    assertOneVersion();
  }

  void streamResumedByDaemon_sameIdWithOtherVersion_isBrokenOff() {
    startTargets({"v1"}, 1);
    startDaemons({"a-1"});
    beginStreams(3, {0});
    m_Versions[0] = "v2";
    registerTarget(*m_Daemons[0], 0, ++m_Starts[0]);
    m_Targets[0]->crash();
    m_Targets[0]->restart();
    runUntil([&] { return countRunning() == 0; }, 4s);
    assertOneVersion();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), requestsAtTargets());
  }

  // Regression (review case 4): the daemon trusted the registration of a target
  // that had restarted with another version while the store was down.
  void streamResumedByDaemon_otherTargetRestartedUnread_isNotMixed() {
    startTargets({"v1"}, 2);
    startDaemons({"a-1"});
    beginStreams(3, {0});
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_Targets[0]->Requests.size());
    m_IsStoreAway = true;
    restartUnread(1, "v2");
    m_Targets[0]->crash();
    runUntil([&] { return countRunning() == 0; }, BreakOffTime);
    assertOneVersion();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countRunning());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countGoneOn());
  }

  // A stream goes on only where the start is known: one that is not stated is
  // not that of the registration.
  void streamResumedByDaemon_targetWithoutReport_isBrokenOff() {
    startTargets({"v1"}, 2);
    m_HasReport = false;
    startDaemons({"a-1"});
    beginStreams(3, {0});
    m_Targets[0]->crash();
    runUntil([&] { return countRunning() == 0; }, BreakOffTime);
    assertOneVersion();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countRunning());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countGoneOn());
  }

  // A new stream whose target restarted while the store was away was taken for
  // one of the registered version, by the daemon and by those that it told.
  void streamBegun_targetRestartedWhileStoreAway_isNotMixed() {
    startTargets({"v1"}, 2);
    startDaemons({"a-1", "a-2"});
    m_IsStoreAway = true;
    runFor(3100ms);
    restartUnread(0, "v2");
    beginStreams(8, {0});
    CPPUNIT_ASSERT(m_Callers[0]->Versions.contains("v2"));
    m_Targets[0]->crash();
    runUntil([&] { return countRunning() == 0; }, BreakOffTime);
    takeUpAt({1});
    assertOneVersion();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countRunning());
  }

  // Regression (soak seed 11004): the request came between the start of the
  // target and the daemon's read of its registration.
  void streamBegun_registrationReadAfterwards_isNotMixed() {
    startTargets({"v1"}, 2);
    startDaemons({"a-1", "a-2"});
    restartUnread(0, "v2");
    beginStreams(8, {0});
    CPPUNIT_ASSERT(m_Callers[0]->Versions.contains("v2"));
    for (auto &Each : m_Daemons)
      registerTarget(*Each, 0, m_Starts[0]);
    runFor(50ms);
    m_Targets[0]->crash();
    runUntil([&] { return countRunning() == 0; }, BreakOffTime);
    takeUpAt({1});
    assertOneVersion();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countRunning());
  }

  void streamTakenUp_otherTargetRestartedUnread_isNotMixed() {
    startTargets({"v1"}, 2);
    startDaemons({"a-1", "b-1"});
    beginStreams(8, {0});
    restartUnread(1, "v2");
    kill({0});
    takeUpAt({1});
    assertOneVersion();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countRunning());
  }

  // Start queries are priced: new streams cause none, and one that goes on
  // causes at most one.
  void streams_storeReadable_causeNoStartQuery() {
    startTargets({"v1", "v2"}, 4);
    startDaemons({"a-1", "a-2"});
    beginStreams(12, {0, 1});
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), requestsAtTargets());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_StartQueries);
    kill({0});
    takeUpAt({1});
    CPPUNIT_ASSERT(m_StartQueries > 0);
    CPPUNIT_ASSERT(m_StartQueries <= m_Callers.size());
  }

private:
  struct Daemon {
    std::unique_ptr<asio::io_context> Loop =
        std::make_unique<asio::io_context>();
    std::unique_ptr<FleetDaemon> Front;
    bool IsOutOfStep = false; ///< Reads nothing from the store.
    bool StandsStill = false;
  };

  /// Three daemons and two targets of version v1. Targets of v2 register, which
  /// the second daemon does not read.
  void startWithDaemonOutOfStep() {
    startTargets({"v1"}, 2);
    startDaemons({"a-1", "a-2", "a-3"});
    m_Daemons[1]->IsOutOfStep = true;
    addVersion("v2", {0, 2});
    runFor(100ms);
  }

  /// Starts two targets of \p Version, of which the daemons \p ReadBy read.
  void addVersion(const char *Version, const std::vector<std::size_t> &ReadBy) {
    for (int Number = 0; Number < 2; ++Number) {
      startTargets({Version}, 1);
      for (const auto Index : ReadBy)
        registerTarget(*m_Daemons[Index], m_Targets.size() - 1, 1);
    }
  }

  /// Starts \p Count targets in domains a, b and c by turns, and with each of
  /// \p Versions by turns.
  void startTargets(const std::vector<std::string> &Versions,
                    std::size_t Count) {
    for (std::size_t Number = 0; Number < Count; ++Number) {
      const auto Index = m_Targets.size();
      m_Versions.push_back(Versions[Number % Versions.size()]);
      m_Starts.push_back(1);
      m_Targets.push_back(std::make_unique<ScriptedTarget>(*m_Loop));
      m_Targets.back()->AnswerDelay = 30ms;
      m_Targets.back()->Answer = [this, Index](const std::string &Request) {
        return answer(Index, Request);
      };
    }
  }

  /// Another process, of \p Version, takes the place of a target's; no daemon
  /// reads its registration.
  void restartUnread(std::size_t Index, const char *Version) {
    m_Versions[Index] = Version;
    ++m_Starts[Index];
    m_Targets[Index]->crash();
    m_Targets[Index]->restart();
  }

  std::string answer(std::size_t Index, const std::string &Request) {
    if (Request.starts_with("GET /report ")) {
      ++m_StartQueries;
      const auto Report =
          fmt::format(R"({{"Queued":0,"born":{}}})", m_Starts[Index]);
      return m_HasReport
                 ? fmt::format(
                       "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                       Report.size(), Report)
                 : "HTTP/1.1 404 N\r\nContent-Length: 0\r\n\r\n";
    }
    const auto At = Request.find("Last-Event-Id: ");
    const bool IsNew = At == std::string::npos;
    const int First = IsNew ? 1 : std::stoi(Request.substr(At + 15)) + 1;
    const int Last = IsNew ? EventsBeforeBreak : EventsInStream;
    std::string Bytes = streamHead(attemptOf(Request));
    for (int Id = First; Id <= Last; ++Id)
      http::appendChunk(
          Bytes, fmt::format("id: {}\ndata: {}\n\n", Id, m_Versions[Index]));
    return IsNew ? Bytes : Bytes + "0\r\n\r\n";
  }

  /// Starts daemons, whose failure domain is the first letter of their names,
  /// and introduces all living ones to each other.
  void startDaemons(const std::vector<std::string> &Vms) {
    for (const auto &Vm : Vms) {
      auto New = std::make_unique<Daemon>();
      New->Front = std::make_unique<FleetDaemon>(
          *New->Loop, m_Names, Vm, Vm.substr(0, 1), m_Daemons.size());
      m_Daemons.push_back(std::move(New));
    }
    for (auto &Each : m_Daemons) {
      if (!Each->Front)
        continue;
      auto &Server = *Each->Front->Server;
      for (const auto &Other : m_Daemons)
        if (Other->Front)
          Server.onPeerUpdated(Other->Front->Settings.Vm,
                               {"127.0.0.1", Other->Front->Settings.PeerPort,
                                Other->Front->Settings.Domain});
      Server.onPlan(plan());
      for (std::size_t Index = 0; Index < m_Targets.size(); ++Index)
        registerTarget(*Each, Index, 1);
      Server.onDirectoryComplete();
    }
    runFor(400ms); // The daemons exchange reports.
  }

  void registerTarget(Daemon &At, std::size_t Index, std::int64_t Start) {
    const char *Domains[] = {"a", "b", "c"};
    auto Entry = entry(fmt::format("t{}", Index).c_str(), *m_Targets[Index],
                       Domains[Index % 3]);
    Entry.Slots = 30;
    Entry.StartedUnixMs = Start;
    Entry.Version = m_Versions[Index];
    At.Front->Server->onTargetUpdated(Entry);
  }

  static RoutePlanPtr plan() {
    auto Plan = std::make_shared<RoutePlan>(*fleetPlan(8s));
    Plan->Routes[0].Kind = RouteKind::Stream;
    Plan->Routes[0].Resumable = true;
    Plan->index();
    return Plan;
  }

  /// Begins streams at the daemons \p At by turns, and waits for their first
  /// events.
  void beginStreams(std::size_t Count, const std::vector<std::size_t> &At) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      m_Callers.push_back(std::make_unique<StreamCaller>(
          *m_Loop, fmt::format("s{}", ++m_CallerNumber)));
      m_Callers.back()->send(
          m_Daemons[At[Index % At.size()]]->Front->Settings.CallerPort);
    }
    runUntil(
        [&] {
          return std::all_of(m_Callers.begin(), m_Callers.end(),
                             [](const auto &Each) {
                               return Each->LastEvent == EventsBeforeBreak;
                             });
        },
        2s);
    for (const auto &Each : m_Callers)
      CPPUNIT_ASSERT(Each->hasBegun());
  }

  void kill(const std::vector<std::size_t> &Indices) {
    for (const auto Index : Indices) {
      m_Daemons[Index]->Front.reset();
      m_Daemons[Index]->Loop = std::make_unique<asio::io_context>();
    }
    runUntil([&] { return countRunning() == 0; }, 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countRunning());
  }

  /// The callers take their streams up at the daemons \p At by turns.
  void takeUpAt(const std::vector<std::size_t> &At) {
    for (std::size_t Index = 0; Index < m_Callers.size(); ++Index)
      m_Callers[Index]->send(
          m_Daemons[At[Index % At.size()]]->Front->Settings.CallerPort);
    runUntil([&] { return countRunning() == 0; }, 4s);
  }

  void assertOneVersion() const {
    std::size_t Mixed = 0;
    for (const auto &Each : m_Callers) {
      Mixed += Each->Versions.size() > 1 ? 1 : 0;
      CPPUNIT_ASSERT(!Each->IsOutOfOrder);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        fmt::format("{} of {} streams hold events of two versions", Mixed,
                    m_Callers.size()),
        std::size_t(0), Mixed);
  }

  /// All streams have begun, so the share of new streams is 1.
  void assertOneVersionAndMostGoOn() const {
    assertOneVersion();
    const auto GoneOn = countGoneOn();
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("{} of {} streams went on", GoneOn, m_Callers.size()),
        static_cast<double>(GoneOn) >=
            MinShareThatGoesOn * static_cast<double>(m_Callers.size()));
  }

  std::size_t countGoneOn() const {
    return static_cast<std::size_t>(
        std::count_if(m_Callers.begin(), m_Callers.end(), [](const auto &Each) {
          return Each->HasEnded && Each->LastEvent == EventsInStream;
        }));
  }

  std::size_t countRunning() const {
    return static_cast<std::size_t>(
        std::count_if(m_Callers.begin(), m_Callers.end(),
                      [](const auto &Each) { return Each->isRunning(); }));
  }

  std::size_t requestsAtTargets() const {
    std::size_t Sum = 0;
    for (const auto &Each : m_Targets)
      Sum += Each->Requests.size();
    return Sum;
  }

  template <typename Condition>
  void runUntil(Condition HasCome, Duration Limit) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (!HasCome() && std::chrono::steady_clock::now() < End) {
      m_Loop->restart();
      m_Loop->poll();
      for (auto &Each : m_Daemons) {
        if (Each->StandsStill)
          continue;
        Each->Loop->restart();
        Each->Loop->poll();
        if (Each->Front && !m_IsStoreAway && !Each->IsOutOfStep)
          Each->Front->Server->onDirectoryConfirmed(
              std::chrono::steady_clock::now());
      }
      std::this_thread::sleep_for(0.2ms);
    }
  }

  void runFor(Duration Span) {
    runUntil([] { return false; }, Span);
  }

  const HeaderNames m_Names = testNames();
  std::optional<asio::io_context> m_Loop; ///< Of targets and callers.
  std::vector<std::unique_ptr<ScriptedTarget>> m_Targets;
  std::vector<std::string> m_Versions; ///< Of m_Targets.
  std::vector<std::int64_t> m_Starts;  ///< Of the processes of m_Targets.
  bool m_HasReport = true;             ///< The targets state their start.
  std::size_t m_StartQueries = 0;
  std::vector<std::unique_ptr<Daemon>> m_Daemons;
  std::vector<std::unique_ptr<StreamCaller>> m_Callers;
  unsigned m_CallerNumber = 0;
  bool m_IsStoreAway = false; ///< The daemons are cut off from the store.
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamVersionTest);

} // namespace mangodeck
