#include "fleetsupport.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>

namespace mangodeck {

namespace {

/// The platform's bound on requests with a prompt part that crashes targets:
/// from ContactTime after the fifth crash on, at most MaxLateRequests.
constexpr Duration ContactTime = 3s;
constexpr std::size_t CrashesUntilKnown = 5;
constexpr std::size_t MaxLateRequests = 3;
/// From 2 * ContactTime after the fifth crash on, sound requests begin at least
/// this share as often as before.
constexpr double MinSoundShare = 0.5;

constexpr std::string_view CrashingPart = "badc0de";
constexpr std::string_view SharedPart = "a11";
/// Time for which a crashed target is away.
constexpr Duration RestartTime = 700ms;

} // namespace

/// Daemons of several failure domains on one event loop, whose targets crash
/// when they begin to answer a request with CrashingPart in its prompt.
class CrashingPromptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingPromptTest);
  CPPUNIT_TEST(crashingPart_oneDaemon_fewReachTargetsAndSoundOnesAreServed);
  CPPUNIT_TEST(
      crashingPart_daemonsOfThreeDomains_fewReachTargetsAndSoundOnesAreServed);
  CPPUNIT_TEST(crashingPart_inFirstPlace_fewReachTargetsAndSoundOnesAreServed);
  CPPUNIT_TEST(otherCrashes_identicalSoundRequests_areServed);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    m_CrashTimes.clear();
    m_CrashingArrivals.clear();
    m_CrashingPartFirst = m_RequestsAreIdentical = false;
  }

  void tearDown() override {
    m_Callers.clear();
    m_CrashingCallers.clear();
    m_Daemons.clear();
    m_Targets.clear();
    m_Loop.reset();
  }

  void crashingPart_oneDaemon_fewReachTargetsAndSoundOnesAreServed() {
    startFleet({"a-1"}, 8);
    runAndAssertBounds();
  }

  void
  crashingPart_daemonsOfThreeDomains_fewReachTargetsAndSoundOnesAreServed() {
    startFleet({"a-1", "a-2", "b-1", "b-2", "c-1"}, 15);
    runAndAssertBounds();
  }

  void crashingPart_inFirstPlace_fewReachTargetsAndSoundOnesAreServed() {
    m_CrashingPartFirst = true;
    startFleet({"a-1", "b-1"}, 10);
    runAndAssertBounds();
  }

  void otherCrashes_identicalSoundRequests_areServed() {
    m_RequestsAreIdentical = true;
    startFleet({"a-1", "b-1"}, 8);
    for (auto &Each : m_Targets)
      Each->AnswerDelay = 150ms; // Each target has a request most of the time.
    runLoopFor(500ms);
    for (std::size_t Index = 0; Index < 4; ++Index) {
      crash(Index);
      runLoopFor(100ms);
    }
    const auto Before = servedRequests();
    runLoopFor(1s);
    const auto Failed =
        std::count_if(m_Callers.begin(), m_Callers.end(),
                      [](const auto &Each) { return Each->LastStatus != 200; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), Failed);
    CPPUNIT_ASSERT(servedRequests() - Before > 20);
  }

private:
  static std::string requestText(const std::string &Attempt,
                                 const std::string &Parts) {
    return fmt::format("POST /p/{0} HTTP/1.1\r\nHost: h\r\nX-Attempt: {0}\r\n"
                       "X-Left: 3000\r\nX-Parts: {1},{2:x}:50\r\n"
                       "Content-Length: 0\r\n\r\n",
                       Attempt, Parts, std::hash<std::string>()(Attempt));
  }

  /// Sound requests of a session: a part that all requests share, and one of
  /// the session.
  SteadyCaller::RequestMaker soundRequests(const std::string &Name) const {
    return [Name, IsIdentical = m_RequestsAreIdentical](unsigned Number) {
      if (IsIdentical)
        return fmt::format("GET /p/same HTTP/1.1\r\nHost: h\r\nX-Left: 3000\r\n"
                           "X-Attempt: {}-{}\r\n\r\n",
                           Name, Number);
      return requestText(fmt::format("{}-{}", Name, Number),
                         fmt::format("{}:60,{:x}:200", SharedPart,
                                     std::hash<std::string>()(Name)));
    };
  }

  SteadyCaller::RequestMaker crashingRequests(const std::string &Name) const {
    return [Name, First = m_CrashingPartFirst](unsigned Number) {
      return requestText(fmt::format("bad-{}-{}", Name, Number),
                         fmt::format("{}:400,{}:60,{:x}:80",
                                     First ? CrashingPart : SharedPart,
                                     First ? SharedPart : CrashingPart,
                                     std::hash<std::string>()(Name) + Number));
    };
  }

  /// Starts daemons, whose failure domain is the first letter of their names,
  /// with sound callers at each, and targets in these domains by turns.
  void startFleet(const std::vector<std::string> &Vms,
                  std::size_t TargetCount) {
    for (const auto &Vm : Vms)
      m_Daemons.push_back(std::make_unique<FleetDaemon>(
          *m_Loop, m_Names, Vm, Vm.substr(0, 1), m_Daemons.size()));
    for (std::size_t Index = 0; Index < TargetCount; ++Index) {
      m_Targets.push_back(std::make_unique<ScriptedTarget>(*m_Loop));
      m_Targets.back()->AnswerDelay = 40ms;
      m_Targets.back()->Answer = [this, Index](const std::string &Request) {
        return answer(Index, Request);
      };
    }
    for (auto &Each : m_Daemons) {
      for (const auto &Other : m_Daemons)
        Each->Server->onPeerUpdated(
            Other->Settings.Vm,
            {"127.0.0.1", Other->Settings.PeerPort, Other->Settings.Domain});
      Each->Server->onPlan(fleetPlan(3s));
    }
    for (std::size_t Index = 0; Index < TargetCount; ++Index)
      registerTarget(Index);
    for (auto &Each : m_Daemons)
      Each->Server->onDirectoryComplete();
    runLoopFor(500ms); // The daemons exchange reports.
    for (const auto &Each : m_Daemons)
      for (int Number = 0; Number < 4; ++Number)
        m_Callers.push_back(std::make_unique<SteadyCaller>(
            *m_Loop, Each->Settings.CallerPort,
            soundRequests(fmt::format("{}-{}", Each->Settings.Vm, Number)),
            60ms));
  }

  void registerTarget(std::size_t Index) {
    auto Entry = entry(
        fmt::format("t{}", Index).c_str(), *m_Targets[Index],
        m_Daemons[Index % m_Daemons.size()]->Settings.Domain.Text.c_str());
    Entry.StartedUnixMs = ++m_LastStart;
    for (auto &Each : m_Daemons)
      Each->Server->onTargetUpdated(Entry);
  }

  std::string answer(std::size_t Index, const std::string &Request) {
    const auto Now = std::chrono::steady_clock::now();
    if (Request.find(CrashingPart) == Request.npos)
      return plainAnswer(attemptOf(Request));
    m_CrashingArrivals.push_back(Now);
    m_CrashTimes.push_back(Now);
    crash(Index);
    return "";
  }

  void crash(std::size_t Index) {
    m_Targets[Index]->crash();
    auto Timer = std::make_shared<asio::steady_timer>(*m_Loop, RestartTime);
    Timer->async_wait([this, Index, Timer](std::error_code Error) {
      if (Error)
        return;
      m_Targets[Index]->restart();
      registerTarget(Index);
    });
  }

  void runLoopFor(Duration Span) {
    m_Loop->restart();
    m_Loop->run_for(Span);
  }

  std::size_t servedRequests() const {
    std::size_t Sum = 0;
    for (const auto &Each : m_Callers)
      Sum += Each->Served;
    return Sum;
  }

  void runAndAssertBounds() {
    // Step 1. Sound requests alone.
    constexpr Duration Span = 1500ms;
    runLoopFor(Span);
    const auto ServedBefore = servedRequests();

    // Step 2. Crashing requests at all daemons until the bounds hold.
    for (const auto &Each : m_Daemons)
      m_CrashingCallers.push_back(std::make_unique<SteadyCaller>(
          *m_Loop, Each->Settings.CallerPort,
          crashingRequests(Each->Settings.Vm), 150ms));
    runLoopFor(2 * ContactTime);
    const auto ServedUntilBound = servedRequests();
    runLoopFor(Span);
    const auto ServedAfter = servedRequests() - ServedUntilBound;

    // Step 3. Check the bounds.
    const auto Late = countLateRequests();
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("{} crashing requests after the bound, {} crashes", Late,
                    m_CrashTimes.size()),
        Late <= MaxLateRequests);
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("{} sound requests served before, {} after", ServedBefore,
                    ServedAfter),
        static_cast<double>(ServedAfter) >=
            MinSoundShare * static_cast<double>(ServedBefore));
  }

  std::size_t countLateRequests() const {
    if (m_CrashTimes.size() < CrashesUntilKnown)
      return 0;
    const auto Bound = m_CrashTimes[CrashesUntilKnown - 1] + ContactTime;
    return static_cast<std::size_t>(
        std::count_if(m_CrashingArrivals.begin(), m_CrashingArrivals.end(),
                      [&](TimePoint Arrival) { return Arrival > Bound; }));
  }

  const HeaderNames m_Names = testNames();
  bool m_RequestsAreIdentical = false;
  bool m_CrashingPartFirst = false; ///< Else it is the second of three.
  std::optional<asio::io_context> m_Loop;
  std::vector<std::unique_ptr<ScriptedTarget>> m_Targets;
  std::int64_t m_LastStart = 0;
  std::vector<std::unique_ptr<FleetDaemon>> m_Daemons;
  std::vector<std::unique_ptr<SteadyCaller>> m_Callers; ///< Of sound requests.
  std::vector<std::unique_ptr<SteadyCaller>> m_CrashingCallers;
  std::vector<TimePoint> m_CrashTimes;
  /// Requests with CrashingPart that targets ran.
  std::vector<TimePoint> m_CrashingArrivals;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPromptTest);

} // namespace mangodeck
