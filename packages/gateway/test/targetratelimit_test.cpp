#include "mangodeck/gateway/targetratelimit.h"

#include "mangodeck/common/random.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace mangodeck {

namespace {

/// The platform's bound on the requests in LimitWindow.
constexpr Duration LimitWindow = 4s;
constexpr double LimitFactor = 1.5;
constexpr double LimitSlack = 5;

constexpr Duration Step = 25ms;

} // namespace

/// The permits of many daemons under one limit, in simulated time. Every daemon
/// always has a request to send.
class TargetRateLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetRateLimitTest);
  CPPUNIT_TEST(statement_older_isIgnored);
  CPPUNIT_TEST(statement_lifted_needsNoPermit);
  CPPUNIT_TEST(permits_wholeShare_followLimit);
  CPPUNIT_TEST(permits_afterIdleTime_areBoundedByBurst);
  CPPUNIT_TEST(permits_largerShare_startWithoutBurst);
  CPPUNIT_TEST(permits_smallShareUnused_expire);
  CPPUNIT_TEST(permits_limitOfZero_stillProbe);
  CPPUNIT_TEST(fleet_everyDaemonCutOff_keepsLimit);
  CPPUNIT_TEST(fleet_domainSplit_keepsLimit);
  CPPUNIT_TEST(fleet_twoBrokersDuringHandover_keepLimit);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { m_Daemons.clear(); }

  void statement_older_isIgnored() {
    TargetRateLimit Limit;
    CPPUNIT_ASSERT(Limit.apply({2.0, m_Start}));
    CPPUNIT_ASSERT(!Limit.apply({2.0, m_Start + 1s}));
    CPPUNIT_ASSERT(!Limit.apply({std::nullopt, m_Start + 500ms}));
    CPPUNIT_ASSERT(Limit.isActive());
  }

  void statement_lifted_needsNoPermit() {
    TargetRateLimit Limit;
    Limit.apply({1.0, m_Start});
    CPPUNIT_ASSERT(!Limit.hasPermit(m_Start));
    CPPUNIT_ASSERT(Limit.apply({std::nullopt, m_Start + 1s}));
    CPPUNIT_ASSERT(Limit.hasPermit(m_Start + 1s));
  }

  void permits_wholeShare_followLimit() {
    for (const double PerSecond : {0.5, 1.0, 7.3, 50.0}) {
      setUp();
      addDaemon(1, PerSecond);
      play(60s);
      assertKept(PerSecond);
      CPPUNIT_ASSERT(static_cast<double>(m_Sends.size()) >=
                     0.95 * PerSecond * 60);
    }
  }

  void permits_afterIdleTime_areBoundedByBurst() {
    TargetRateLimit Limit;
    Limit.apply({1.0, m_Start});
    Limit.setShare(1, m_Start);
    const auto Later = m_Start + 3600s;
    int Taken = 0;
    for (; Limit.hasPermit(Later); ++Taken)
      Limit.takePermit(Later);
    CPPUNIT_ASSERT_EQUAL(2, Taken);
  }

  void permits_largerShare_startWithoutBurst() {
    TargetRateLimit Limit;
    Limit.apply({1.0, m_Start});
    Limit.setShare(0.5, m_Start);
    Limit.setShare(1, m_Start + 3600s);
    CPPUNIT_ASSERT(!Limit.hasPermit(m_Start + 3600s));
  }

  void permits_smallShareUnused_expire() {
    TargetRateLimit Limit;
    Limit.apply({1.0, m_Start});
    Limit.setShare(0.01, m_Start);
    Limit.drawPermit(0, m_Start + 1s);
    CPPUNIT_ASSERT(Limit.hasPermit(m_Start + 2s));
    CPPUNIT_ASSERT(!Limit.hasPermit(m_Start + 2s + Step));
  }

  void permits_limitOfZero_stillProbe() {
    addDaemon(1, 0);
    play(20s);
    assertKept(0);
    CPPUNIT_ASSERT(m_Sends.size() >= 4);
  }

  void fleet_everyDaemonCutOff_keepsLimit() {
    for (const std::size_t Daemons : {2, 8, 60, 295})
      for (const double PerSecond : {0.25, 1.0, 4.0, 50.0}) {
        setUp();
        // One daemon in five is in the target's failure domain, where it is
        // its own broker.
        const auto InDomain = std::max<std::size_t>(1, Daemons / 5);
        for (std::size_t I = 0; I < Daemons; ++I)
          addDaemon(I >= InDomain ? soloShare(Daemons)
                                  : brokerShare(1, InDomain, InDomain == 1),
                    PerSecond);
        play(120s);
        assertKept(PerSecond);
      }
  }

  void fleet_domainSplit_keepsLimit() {
    for (const std::size_t Daemons : {2, 8, 60, 295})
      for (const double PerSecond : {0.25, 1.0, 4.0, 50.0}) {
        setUp();
        const auto Majority = Daemons / 2 + 1;
        addDaemon(brokerShare(Majority, Daemons, true), PerSecond);
        addDaemon(brokerShare(Daemons - Majority, Daemons, false), PerSecond);
        for (std::size_t I = 2; I < Daemons; ++I)
          addDaemon(soloShare(Daemons), PerSecond);
        play(120s);
        assertKept(PerSecond);
        setUp();
        addDaemon(brokerShare(Majority, Daemons, true), PerSecond);
        for (std::size_t I = Majority; I < Daemons; ++I)
          addDaemon(brokerShare(1, Daemons, false), PerSecond);
        play(120s);
        assertKept(PerSecond);
        CPPUNIT_ASSERT(static_cast<double>(m_Sends.size()) >=
                       0.95 * PerSecond * 120);
      }
  }

  void fleet_twoBrokersDuringHandover_keepLimit() {
    for (const double PerSecond : {0.25, 1.0, 4.0, 50.0}) {
      setUp();
      addDaemon(1, PerSecond);
      addDaemon(0, PerSecond);
      play(10s);
      m_Daemons[1].setShare(1, m_Now); // The successor begins.
      play(1s, false);
      m_Daemons[0].setShare(0, m_Now); // The predecessor learns of it.
      play(10s, false);
      assertKept(PerSecond);
    }
  }

private:
  void addDaemon(double Share, double PerSecond) {
    m_Daemons.emplace_back();
    m_Daemons.back().apply({PerSecond, m_Start});
    m_Daemons.back().setShare(Share, m_Start);
  }

  void play(Duration Span, bool FromStart = true) {
    if (FromStart) {
      m_Sends.clear();
      m_Now = m_Start;
    }
    for (const auto End = m_Now + Span; m_Now < End; m_Now += Step)
      for (auto &Daemon : m_Daemons) {
        Daemon.drawPermit(m_Random.uniform(), m_Now);
        while (Daemon.hasPermit(m_Now)) {
          Daemon.takePermit(m_Now);
          m_Sends.push_back(m_Now);
        }
      }
  }

  void assertKept(double PerSecond) const {
    const double Allowed =
        LimitFactor * PerSecond * toSeconds(LimitWindow) + LimitSlack;
    for (auto First = m_Sends.begin(); First != m_Sends.end(); ++First) {
      const auto End =
          std::lower_bound(First, m_Sends.end(), *First + LimitWindow);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(End - First) + " of " +
                                 std::to_string(m_Daemons.size()) +
                                 " daemons at " + std::to_string(PerSecond),
                             static_cast<double>(End - First) <= Allowed);
    }
  }

  const TimePoint m_Start = TimePoint(std::chrono::hours(1));
  TimePoint m_Now = m_Start;
  SeededRandom m_Random{7};
  std::vector<TargetRateLimit> m_Daemons;
  std::vector<TimePoint> m_Sends;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetRateLimitTest);

} // namespace mangodeck
