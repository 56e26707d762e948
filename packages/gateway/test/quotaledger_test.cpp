#include "mangodeck/gateway/quotaledger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <random>
#include <vector>

namespace mangodeck {

namespace {

const CustomerName Hot{"hot"};

RoutePlan planWith(double PerSecond, double Burst) {
  RoutePlan Plan;
  PlannedCustomer Customer;
  Customer.Name = Hot;
  Customer.CountsTokens = true;
  Customer.PerSecond = PerSecond;
  Customer.Burst = Burst;
  Plan.Customers.push_back(Customer);
  Plan.index();
  return Plan;
}

/// Daemons that tell each other their use every so often, and what they
/// admitted together.
class Fleet {
public:
  Fleet(std::size_t Count, double PerSecond, int PeriodSteps = 10)
      : m_PeriodSteps(PeriodSteps), m_Plan(planWith(PerSecond, PerSecond)),
        m_Ledgers(Count), m_Incarnation(Count, 1), m_Cut(Count, false),
        m_Stopping(Count, false) {
    for (std::size_t I = 0; I < Count; ++I)
      restart(I);
  }

  void restart(std::size_t I) {
    m_Ledgers[I] = std::make_unique<QuotaLedger>(m_Draws);
    m_Ledgers[I]->setDaemonCount(m_Ledgers.size());
    m_Ledgers[I]->configure(m_Plan, m_Now);
    ++m_Incarnation[I];
    m_Stopping[I] = false;
  }

  /// The daemon tells that it stops, and serves on until it is restarted.
  void stop(std::size_t I) { m_Stopping[I] = true; }

  void cut(std::size_t I, bool Off) { m_Cut[I] = Off; }

  /// Asks for \p PerSecond units in requests of \p Cost for \p Span.
  void play(Duration Span, double PerSecond, double Cost) {
    const auto End = m_Now + Span;
    while (m_Now < End) {
      m_Now += 10ms;
      m_Owed += PerSecond / 100;
      while (m_Owed >= Cost) {
        m_Owed -= Cost;
        const auto I = m_Random() % m_Ledgers.size();
        if (!m_Ledgers[I]->charge(Hot, Cost, m_Now))
          m_Admitted.emplace_back(m_Now, Cost);
      }
      if (++m_Step % m_PeriodSteps == 0)
        exchange();
    }
  }

  /// The most units admitted in any span of \p Window.
  double most(Duration Window) const {
    double Most = 0;
    double Sum = 0;
    std::size_t First = 0;
    for (const auto &[At, Cost] : m_Admitted) {
      Sum += Cost;
      while (m_Admitted[First].first <= At - Window)
        Sum -= m_Admitted[First++].second;
      Most = std::max(Most, Sum);
    }
    return Most;
  }

  double all() const {
    double Sum = 0;
    for (const auto &[At, Cost] : m_Admitted)
      Sum += Cost;
    return Sum;
  }

private:
  void exchange() {
    for (auto &Ledger : m_Ledgers)
      Ledger->startReportPeriod(m_PeriodSteps * 10ms);
    for (std::size_t From = 0; From < m_Ledgers.size(); ++From) {
      const auto Use = m_Ledgers[From]->usage(m_Now);
      for (std::size_t To = 0; To < m_Ledgers.size(); ++To)
        if (To != From && m_Cut[To] == m_Cut[From])
          m_Ledgers[To]->onPeerUsage({"vm" + std::to_string(From),
                                      m_Incarnation[From], 1, false,
                                      m_Stopping[From], Use},
                                     m_Now);
    }
  }

  int m_PeriodSteps; ///< Of 10 ms, between reports.
  RoutePlan m_Plan;
  SeededRandom m_Draws{11};
  std::vector<std::unique_ptr<QuotaLedger>> m_Ledgers;
  std::vector<std::uint64_t> m_Incarnation;
  std::vector<bool> m_Cut;
  std::vector<bool> m_Stopping;
  std::vector<std::pair<TimePoint, double>> m_Admitted;
  TimePoint m_Now{std::chrono::hours(1)};
  double m_Owed = 0;
  int m_Step = 0;
  std::mt19937_64 m_Random{7};
};

constexpr double Rate = 290000;
/// The platform's bound: a tenth over the limit, and some requests more.
constexpr double Allowed = (Rate * 8 + Rate) * 1.1 + 140000;

} // namespace

class QuotaLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaLedgerTest);
  CPPUNIT_TEST(ledger_requestsLargeAgainstBurst_areAdmittedWithinLimit);
  CPPUNIT_TEST(ledger_floodOverAllDaemons_staysWithinBound);
  CPPUNIT_TEST(ledger_floodOverManyDaemonsThatHearLate_staysWithinBound);
  CPPUNIT_TEST(ledger_daemonsRestartInTurn_staysWithinBound);
  CPPUNIT_TEST(ledger_allDaemonsKilledInFlood_staysWithinBound);
  CPPUNIT_TEST(ledger_daemonsStopGracefully_staysWithinBound);
  CPPUNIT_TEST(ledger_cutInHalves_bothServeAndSumStaysWithinBound);
  CPPUNIT_TEST(ledger_daemonsNotHeardYet_areLeftTheirParts);
  CPPUNIT_TEST(ledger_unrunRequest_isGivenBack);
  CPPUNIT_TEST(ledger_lowerLimit_bindsAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void ledger_requestsLargeAgainstBurst_areAdmittedWithinLimit() {
    Fleet Daemons(8, Rate);
    Daemons.play(4s, Rate * 0.05, 12000); // Fills the buckets.
    const auto Before = Daemons.all();
    Daemons.play(20s, Rate * 0.7, 12000);
    CPPUNIT_ASSERT(Daemons.all() - Before > 0.97 * Rate * 0.7 * 20);
  }

  void ledger_floodOverAllDaemons_staysWithinBound() {
    Fleet Daemons(8, Rate);
    Daemons.play(5s, Rate * 0.5, 12000);
    Daemons.play(12s, Rate * 4, 12000);
    CPPUNIT_ASSERT(Daemons.most(8s) < Allowed);
    CPPUNIT_ASSERT(Daemons.most(8s) > Rate * 8 * 0.95);
  }

  void ledger_floodOverManyDaemonsThatHearLate_staysWithinBound() {
    Fleet Daemons(87, Rate, 40);
    Daemons.play(5s, Rate * 0.5, 12000);
    Daemons.play(12s, Rate * 4, 12000);
    CPPUNIT_ASSERT(Daemons.most(8s) < Allowed);
    CPPUNIT_ASSERT(Daemons.most(8s) > Rate * 8 * 0.8);
  }

  void ledger_daemonsRestartInTurn_staysWithinBound() {
    Fleet Daemons(8, Rate);
    Daemons.play(5s, Rate * 0.5, 12000);
    for (std::size_t I = 0; I < 8; ++I) {
      Daemons.restart(I);
      Daemons.play(1s, Rate * 4, 12000);
    }
    Daemons.play(4s, Rate * 4, 12000);
    CPPUNIT_ASSERT(Daemons.most(8s) < Allowed);
  }

  void ledger_allDaemonsKilledInFlood_staysWithinBound() {
    Fleet Daemons(87, Rate, 40);
    Daemons.play(8s, Rate * 3, 12000);
    for (std::size_t I = 0; I < 87; ++I)
      Daemons.restart(I);
    Daemons.play(8s, Rate * 3, 12000);
    CPPUNIT_ASSERT(Daemons.most(8s) < Allowed);
  }

  void ledger_daemonsStopGracefully_staysWithinBound() {
    Fleet Daemons(8, Rate);
    Daemons.play(5s, Rate * 0.5, 12000);
    for (std::size_t I = 0; I < 4; ++I)
      Daemons.stop(I);
    Daemons.play(12s, Rate * 4, 12000);
    CPPUNIT_ASSERT(Daemons.most(8s) < Allowed);
  }

  void ledger_cutInHalves_bothServeAndSumStaysWithinBound() {
    Fleet Daemons(8, Rate);
    Daemons.play(5s, Rate * 2, 12000);
    for (std::size_t I = 0; I < 3; ++I)
      Daemons.cut(I, true);
    Daemons.play(10s, Rate * 2, 12000);
    for (std::size_t I = 0; I < 3; ++I)
      Daemons.cut(I, false);
    Daemons.play(6s, Rate * 2, 12000);
    CPPUNIT_ASSERT(Daemons.most(8s) < Allowed);
    CPPUNIT_ASSERT(Daemons.all() > Rate * 21 * 0.85);
  }

  void ledger_daemonsNotHeardYet_areLeftTheirParts() {
    SeededRandom Draws(3);
    QuotaLedger Ledger(Draws);
    TimePoint Now{std::chrono::hours(1)};
    Ledger.setDaemonCount(50);
    Ledger.configure(planWith(10000, 10000), Now);
    double Admitted = 0;
    for (int I = 0; I < 400; ++I) {
      Now += 10ms;
      Ledger.startReportPeriod(10ms);
      if (!Ledger.charge(Hot, 100, Now))
        Admitted += 100;
    }
    CPPUNIT_ASSERT(Admitted > 0);
    CPPUNIT_ASSERT(Admitted <= (4 * 10000 + 10000) / 50 + 100);
  }

  void ledger_unrunRequest_isGivenBack() {
    SeededRandom Draws(3);
    QuotaLedger Ledger(Draws);
    const TimePoint Now{std::chrono::hours(1)};
    Ledger.configure(planWith(1000, 1000), Now);
    CPPUNIT_ASSERT(!Ledger.charge(Hot, 400, Now));
    CPPUNIT_ASSERT(Ledger.charge(Hot, 400, Now).has_value());
    Ledger.refund(Hot, 400);
    CPPUNIT_ASSERT(!Ledger.charge(Hot, 400, Now));
  }

  void ledger_lowerLimit_bindsAtOnce() {
    SeededRandom Draws(3);
    QuotaLedger Ledger(Draws);
    const TimePoint Now{std::chrono::hours(1)};
    Ledger.configure(planWith(10000, 10000), Now);
    Ledger.configure(planWith(100, 100), Now + 1s);
    CPPUNIT_ASSERT(!Ledger.charge(Hot, 90, Now + 1s));
    const auto Wait = Ledger.charge(Hot, 90, Now + 1s);
    CPPUNIT_ASSERT(Wait.has_value());
    CPPUNIT_ASSERT(*Wait > 500ms && *Wait < 1s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLedgerTest);

} // namespace mangodeck
