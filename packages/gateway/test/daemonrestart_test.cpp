#include "fleetsupport.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <vector>

namespace mangodeck {

/// Two daemons of a failure domain: "a-1", the broker, which goes on, and
/// "a-2", whose process ends without a message and is followed by another one.
/// Service "s" is at route /p/, service "u" at route /q/.
class DaemonRestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonRestartTest);
  CPPUNIT_TEST(restart_earlierClock_requestsRunAtTheirServiceOnly);
  CPPUNIT_TEST(restart_laterClock_requestsRunAtTheirServiceOnly);
  CPPUNIT_TEST(restart_earlierClock_newProcessIsFollowed);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    m_EndedLoop.emplace();
    m_HasEnded = false;
    for (const auto *Service : {"s", "u"}) {
      auto &Target = m_Targets[Service];
      Target = std::make_unique<ScriptedTarget>(*m_Loop);
      Target->Answer = [](const std::string &Request) {
        return plainAnswer(attemptOf(Request));
      };
    }
    m_Broker = startDaemon(*m_Loop, "a-1", 7);
  }

  void tearDown() override {
    m_Callers.clear();
    m_Broker.reset();
    m_Former.reset();
    m_Restarted.reset();
    m_Targets.clear();
    m_Loop.reset();
    m_EndedLoop.reset();
  }

  // Regression: the broker dropped the reports of a process that had started at
  // an earlier time of day, kept the grants of the process before, and repeated
  // them to requests of the same number.
  void restart_earlierClock_requestsRunAtTheirServiceOnly() {
    playRestart(9, 3);
    assertServedByOwnService();
  }

  void restart_laterClock_requestsRunAtTheirServiceOnly() {
    playRestart(3, 9);
    assertServedByOwnService();
  }

  void restart_earlierClock_newProcessIsFollowed() {
    playRestart(9, 3);
    runFor(1500ms);
    // Four slots and one queued request, of which the former process held
    // three.
    m_Targets["s"]->AnswerDelay = 10s;
    const auto Before = m_Targets["s"]->Requests.size();
    for (int Number = 0; Number < 5; ++Number)
      addCaller(*m_Restarted, "/p/x");
    runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(Before + 5, m_Targets["s"]->Requests.size());
  }

private:
  std::unique_ptr<FleetDaemon> startDaemon(asio::io_context &Loop,
                                           const std::string &Vm,
                                           std::uint64_t Incarnation) {
    auto Started =
        std::make_unique<FleetDaemon>(Loop, m_Names, Vm, "a", 1, Incarnation);
    auto Plan = std::make_shared<RoutePlan>(*fleetPlan(10s));
    auto Other = Plan->Routes.front();
    Other.Name = "q";
    Other.Prefix = "/q/";
    Other.Shares = {{ServiceName("u"), 1}};
    Plan->Routes.push_back(Other);
    Plan->index();
    Started->Server->onPlan(Plan);
    for (const auto &[Service, Target] : m_Targets) {
      auto Entry = entry(Service.c_str(), *Target, "a");
      Entry.Service = ServiceName(Service);
      Started->Server->onTargetUpdated(Entry);
    }
    if (m_Broker) {
      introduce(*Started, *m_Broker);
      introduce(*m_Broker, *Started);
    }
    Started->Server->onDirectoryComplete();
    return Started;
  }

  static void introduce(FleetDaemon &To, const FleetDaemon &Other) {
    To.Server->onPeerUpdated(
        Other.Settings.Vm,
        {"127.0.0.1", Other.Settings.PeerPort, Other.Settings.Domain});
  }

  /// Lets three requests of a process run at service "s", ends that process,
  /// starts the next one, and sends it three requests for service "u".
  void playRestart(std::uint64_t FormerIncarnation,
                   std::uint64_t NextIncarnation) {
    m_Former = startDaemon(*m_EndedLoop, "a-2", FormerIncarnation);
    runFor(600ms);
    m_Targets["s"]->AnswerDelay = 10s;
    for (int Number = 0; Number < 3; ++Number)
      addCaller(*m_Former, "/p/x");
    runFor(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_Targets["s"]->Requests.size());
    m_HasEnded = true;
    runFor(300ms);
    m_Restarted = startDaemon(*m_Loop, "a-2", NextIncarnation);
    runFor(700ms);
    for (int Number = 0; Number < 3; ++Number)
      addCaller(*m_Restarted, "/q/x");
    runFor(300ms);
  }

  void assertServedByOwnService() {
    for (const auto &Request : m_Targets["s"]->Requests)
      CPPUNIT_ASSERT(Request.starts_with("GET /p/"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_Targets["u"]->Requests.size());
  }

  /// A caller that sends one request within the time of a test.
  void addCaller(const FleetDaemon &Daemon, const std::string &Path) {
    const auto Name = std::to_string(m_Callers.size());
    m_Callers.push_back(std::make_unique<SteadyCaller>(
        *m_Loop, Daemon.Settings.CallerPort,
        [Path, Name](unsigned Number) {
          return "GET " + Path + " HTTP/1.1\r\nHost: h\r\nX-Attempt: " + Name +
                 "-" + std::to_string(Number) + "\r\nX-Left: 9000\r\n\r\n";
        },
        20s));
  }

  /// Runs both loops for \p Span, that of the process that has ended no more.
  void runFor(Duration Span) {
    const auto End = std::chrono::steady_clock::now() + Span;
    while (std::chrono::steady_clock::now() < End) {
      m_Loop->restart();
      m_Loop->run_for(1ms);
      m_EndedLoop->restart();
      if (!m_HasEnded)
        m_EndedLoop->run_for(1ms);
    }
  }

  const HeaderNames m_Names = testNames();
  std::optional<asio::io_context> m_Loop;
  /// Of the process that ends: what it has not done by then is never done.
  std::optional<asio::io_context> m_EndedLoop;
  bool m_HasEnded = false;
  std::map<std::string, std::unique_ptr<ScriptedTarget>> m_Targets;
  std::unique_ptr<FleetDaemon> m_Broker;
  std::unique_ptr<FleetDaemon> m_Former;
  std::unique_ptr<FleetDaemon> m_Restarted;
  std::vector<std::unique_ptr<SteadyCaller>> m_Callers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonRestartTest);

} // namespace mangodeck
