#include "fleetsupport.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

namespace {

/// The platform's bound on the requests to a target that has stated a limit:
/// in any LimitWindow at most LimitFactor times what the limit allows and
/// LimitSlack requests, of the daemons that were told LearningTime before.
constexpr Duration LimitWindow = 4s;
constexpr double LimitFactor = 1.5;
constexpr double LimitSlack = 5;
constexpr Duration LearningTime = 500ms;

/// The largest number of \p Arrivals, which are in order, in one LimitWindow.
std::size_t mostInWindow(const std::vector<TimePoint> &Arrivals) {
  std::size_t Most = 0;
  for (auto First = Arrivals.begin(); First != Arrivals.end(); ++First) {
    const auto End =
        std::lower_bound(First, Arrivals.end(), *First + LimitWindow);
    Most = std::max(Most, static_cast<std::size_t>(End - First));
  }
  return Most;
}

std::size_t maxInWindow(double PerSecond) {
  return static_cast<std::size_t>(
      LimitFactor * PerSecond * toSeconds(LimitWindow) + LimitSlack);
}

} // namespace

/// Daemons of two failure domains on one event loop. Target "limited" states a
/// rate limit in all answers; "near", in the same domain, and "far" do not.
class RateLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RateLimitTest);
  CPPUNIT_TEST(limit_oneDaemon_isKept);
  CPPUNIT_TEST(limit_daemonsOfTwoDomains_isKeptInSum);
  CPPUNIT_TEST(limit_demandInOtherDomainOnly_isKeptAndUsed);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    m_OnlyLimited = false;
    for (auto *Target : {&m_Limited, &m_Near, &m_Far}) {
      Target->emplace(*m_Loop);
      (*Target)->Answer = [](const std::string &Request) {
        return plainAnswer(attemptOf(Request));
      };
    }
  }

  void tearDown() override {
    m_Callers.clear();
    m_Daemons.clear();
    m_Limited.reset();
    m_Near.reset();
    m_Far.reset();
    m_Loop.reset();
  }

  void limit_oneDaemon_isKept() {
    const double PerSecond = 1;
    startFleet({"a-1"}, PerSecond);
    runLoopFor(LimitWindow + 2s);
    assertKept(PerSecond);
    assertUsed(PerSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), failedRequests());
  }

  void limit_daemonsOfTwoDomains_isKeptInSum() {
    const double PerSecond = 4;
    startFleet({"a-1", "a-2", "a-3", "b-1", "b-2", "b-3"}, PerSecond);
    runLoopFor(LimitWindow + 2s);
    assertKept(PerSecond);
    assertUsed(PerSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), failedRequests());
  }

  void limit_demandInOtherDomainOnly_isKeptAndUsed() {
    const double PerSecond = 4;
    m_OnlyLimited = true;
    startFleet({"a-1", "a-2", "b-1", "b-2", "b-3"}, PerSecond, "b");
    runLoopFor(LimitWindow + 2s);
    assertKept(PerSecond);
    assertUsed(PerSecond);
  }

private:
  /// Starts daemons, whose failure domain is the first letter of their names,
  /// with two callers each, or only in \p CallersIn.
  void startFleet(const std::vector<std::string> &Vms, double PerSecond,
                  std::string_view CallersIn = "") {
    for (const auto &Vm : Vms)
      m_Daemons.push_back(std::make_unique<FleetDaemon>(
          *m_Loop, m_Names, Vm, Vm.substr(0, 1), m_Daemons.size()));
    m_Limited->Answer = [this, PerSecond](const std::string &Request) {
      const auto Attempt = attemptOf(Request);
      const auto Now = std::chrono::steady_clock::now();
      const auto Vm = Attempt.substr(0, 3);
      const auto Told = m_ToldAt.try_emplace(Vm, Now).first->second;
      if (Now - Told >= LearningTime)
        m_ArrivalsOfTold.push_back(Now);
      return plainAnswer(Attempt, 200,
                         "X-Stamp: r\r\nX-Limit: " + std::to_string(PerSecond) +
                             "\r\n");
    };
    for (auto &Each : m_Daemons) {
      for (const auto &Other : m_Daemons)
        Each->Server->onPeerUpdated(
            Other->Settings.Vm,
            {"127.0.0.1", Other->Settings.PeerPort, Other->Settings.Domain});
      Each->Server->onPlan(fleetPlan(2s));
      for (const auto &[Id, Target, Domain] :
           {std::tuple("limited", &m_Limited, "a"),
            std::tuple("near", &m_Near, "a"), std::tuple("far", &m_Far, "b")})
        if (!m_OnlyLimited || Target == &m_Limited)
          Each->Server->onTargetUpdated(entry(Id, **Target, Domain));
      Each->Server->onDirectoryComplete();
    }
    runLoopFor(500ms); // The daemons exchange reports.
    for (const auto &Each : m_Daemons)
      for (int Number = 0;
           Number < 2 && Each->Settings.Vm.starts_with(CallersIn); ++Number)
        m_Callers.push_back(std::make_unique<SteadyCaller>(
            *m_Loop, Each->Settings.CallerPort,
            requestsOf(Each->Settings.Vm + "-" + std::to_string(Number)),
            25ms));
  }

  static SteadyCaller::RequestMaker requestsOf(const std::string &Name) {
    return [Name](unsigned Number) {
      return "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt: " + Name + "-" +
             std::to_string(Number) + "\r\nX-Left: 2000\r\n\r\n";
    };
  }

  void runLoopFor(Duration Span) {
    m_Loop->restart();
    m_Loop->run_for(Span);
  }

  void assertKept(double PerSecond) const {
    const auto Most = mostInWindow(m_ArrivalsOfTold);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Most) + " requests in one window, " +
                               std::to_string(maxInWindow(PerSecond)) +
                               " allowed",
                           Most <= maxInWindow(PerSecond));
  }

  /// The callers always ask for more than the limit, so nearly all of it is to
  /// be used.
  void assertUsed(double PerSecond) const {
    const auto Seconds =
        toSeconds(std::chrono::steady_clock::now() - m_ArrivalsOfTold.front());
    const auto Allowed = static_cast<std::size_t>(PerSecond * Seconds);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(m_ArrivalsOfTold.size()) +
                               " requests, " + std::to_string(Allowed) +
                               " allowed by the limit",
                           10 * m_ArrivalsOfTold.size() >= 9 * Allowed);
  }

  std::size_t failedRequests() const {
    std::size_t Sum = 0;
    for (const auto &Each : m_Callers)
      Sum += Each->Failed;
    return Sum;
  }

  const HeaderNames m_Names = testNames();
  bool m_OnlyLimited = false; ///< There is no other target.
  std::optional<asio::io_context> m_Loop;
  std::optional<ScriptedTarget> m_Limited;
  std::optional<ScriptedTarget> m_Near;
  std::optional<ScriptedTarget> m_Far;
  std::vector<std::unique_ptr<FleetDaemon>> m_Daemons;
  std::vector<std::unique_ptr<SteadyCaller>> m_Callers;
  /// Arrival of the first request of each daemon at the limited target.
  std::map<std::string, TimePoint> m_ToldAt;
  /// Arrivals at the limited target from daemons told LearningTime before.
  std::vector<TimePoint> m_ArrivalsOfTold;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTest);

} // namespace mangodeck
