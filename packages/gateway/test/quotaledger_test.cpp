#include "mangodeck/gateway/quotaledger.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <random>
#include <vector>

namespace mangodeck {

namespace {

const CustomerName LimitedCustomer{"hot"};

RoutePlan planWith(double PerSecond, double Burst) {
  RoutePlan Plan;
  PlannedCustomer Customer;
  Customer.Name = LimitedCustomer;
  Customer.CountsTokens = true;
  Customer.PerSecond = PerSecond;
  Customer.Burst = Burst;
  Plan.Customers.push_back(Customer);
  Plan.index();
  return Plan;
}

/// Daemons that report their usage to each other once per period, and the units
/// that they admitted together.
class Cluster {
public:
  Cluster(std::size_t Count, double PerSecond, int PeriodSteps = 10)
      : m_PeriodSteps(PeriodSteps), m_Plan(planWith(PerSecond, PerSecond)),
        m_Ledgers(Count), m_Incarnation(Count, 1), m_Partitioned(Count, false),
        m_Stopping(Count, false) {
    for (std::size_t I = 0; I < Count; ++I)
      restart(I);
  }

  void restart(std::size_t I) {
    m_Ledgers[I] = std::make_unique<QuotaLedger>(m_LedgerRandom);
    m_Ledgers[I]->setDaemonCount(m_Ledgers.size());
    m_Ledgers[I]->configure(m_Plan, m_Now);
    ++m_Incarnation[I];
    m_Stopping[I] = false;
  }

  /// The daemon reports that it is stopping, and goes on serving.
  void stop(std::size_t I) { m_Stopping[I] = true; }

  void setPartitioned(std::size_t I, bool Partitioned) {
    m_Partitioned[I] = Partitioned;
  }

  /// From now on the daemons report to the daemon \p I alone, which sends each
  /// a summary of the others.
  void setDelegate(std::size_t I) {
    m_Delegate = I;
    for (auto &Ledger : m_Ledgers)
      Ledger->forgetPeers(m_Now);
  }

  /// Sends requests of \p Cost units, \p PerSecond units per second, to random
  /// daemons for \p Span.
  void sendRequests(Duration Span, double PerSecond, double Cost) {
    const auto End = m_Now + Span;
    while (m_Now < End) {
      m_Now += 10ms;
      m_PendingUnits += PerSecond / 100;
      while (m_PendingUnits >= Cost) {
        m_PendingUnits -= Cost;
        const auto I = m_Random() % m_Ledgers.size();
        if (!m_Ledgers[I]->charge(LimitedCustomer, Cost, m_Now))
          m_Admitted.emplace_back(m_Now, Cost);
      }
      if (++m_StepCount % m_PeriodSteps == 0)
        exchangeReports();
    }
  }

  /// Largest number of units admitted in any window of length \p Window.
  double maxAdmittedWithin(Duration Window) const {
    double Max = 0;
    double Sum = 0;
    std::size_t First = 0;
    for (const auto &[At, Cost] : m_Admitted) {
      Sum += Cost;
      while (m_Admitted[First].first <= At - Window)
        Sum -= m_Admitted[First++].second;
      Max = std::max(Max, Sum);
    }
    return Max;
  }

  double totalAdmitted() const {
    double Sum = 0;
    for (const auto &[At, Cost] : m_Admitted)
      Sum += Cost;
    return Sum;
  }

private:
  void exchangeReports() {
    for (auto &Ledger : m_Ledgers)
      Ledger->startReportPeriod(m_Now);
    if (m_Delegate)
      return exchangeByDelegate();
    for (std::size_t From = 0; From < m_Ledgers.size(); ++From) {
      const auto Usage = m_Ledgers[From]->usage(m_Now);
      for (std::size_t To = 0; To < m_Ledgers.size(); ++To)
        if (To != From && m_Partitioned[To] == m_Partitioned[From])
          m_Ledgers[To]->onPeerUsage({"vm" + std::to_string(From),
                                      m_Incarnation[From], 1, false, false,
                                      m_Stopping[From], Usage},
                                     m_Now);
    }
  }

  void exchangeByDelegate() {
    auto &Delegate = *m_Ledgers[*m_Delegate];
    for (std::size_t I = 0; I < m_Ledgers.size(); ++I)
      if (I != *m_Delegate)
        Delegate.onPeerUsage({"vm" + std::to_string(I), m_Incarnation[I], 1,
                              false, false, false, m_Ledgers[I]->usage(m_Now)},
                             m_Now);
    const auto Others = static_cast<std::uint32_t>(m_Ledgers.size() - 1);
    for (std::size_t I = 0; I < m_Ledgers.size(); ++I)
      if (I != *m_Delegate)
        m_Ledgers[I]->onPeerUsage(
            {"domain", m_Incarnation[*m_Delegate] + *m_Delegate, Others, true,
             false, false,
             Delegate.domainUsageWithout("vm" + std::to_string(I), m_Now)},
            m_Now);
  }

  std::optional<std::size_t> m_Delegate;
  int m_PeriodSteps; ///< Steps of 10 ms between reports.
  RoutePlan m_Plan;
  SeededRandom m_LedgerRandom{11};
  std::vector<std::unique_ptr<QuotaLedger>> m_Ledgers;
  std::vector<std::uint64_t> m_Incarnation;
  std::vector<bool> m_Partitioned;
  std::vector<bool> m_Stopping;
  std::vector<std::pair<TimePoint, double>> m_Admitted;
  TimePoint m_Now{std::chrono::hours(1)};
  double m_PendingUnits = 0;
  int m_StepCount = 0;
  std::mt19937_64 m_Random{7};
};

constexpr double UnitsPerSecond = 290000;
/// The platform's bound on the units admitted in 8 s: 10 % above rate and
/// burst, and some requests more.
constexpr double MaxAdmittedUnits =
    (UnitsPerSecond * 8 + UnitsPerSecond) * 1.1 + 140000;

} // namespace

class QuotaLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaLedgerTest);
  CPPUNIT_TEST(charge_requestsLargeComparedToBurst_areAdmittedWithinLimit);
  CPPUNIT_TEST(charge_overloadOfAllDaemons_staysWithinBound);
  CPPUNIT_TEST(charge_overloadOfManyDaemonsWithRareReports_staysWithinBound);
  CPPUNIT_TEST(charge_overloadReportedByDelegate_staysWithinBound);
  CPPUNIT_TEST(charge_delegateChanges_staysWithinBound);
  CPPUNIT_TEST(charge_daemonsRestartInTurn_staysWithinBound);
  CPPUNIT_TEST(charge_allDaemonsRestartUnderOverload_staysWithinBound);
  CPPUNIT_TEST(charge_daemonsStopGracefully_staysWithinBound);
  CPPUNIT_TEST(charge_networkPartition_bothSidesServeWithinBound);
  CPPUNIT_TEST(charge_daemonsWithoutReport_keepTheirShares);
  CPPUNIT_TEST(reachableShare_peersComeAndGo_followsTheirReports);
  CPPUNIT_TEST(reachableShare_customerAddedLater_countsEarlierReports);
  CPPUNIT_TEST(report_largeFleet_costsAsInSmallOne);
  CPPUNIT_TEST(refund_requestNotRun_returnsUnits);
  CPPUNIT_TEST(configure_lowerLimit_appliesToNextCharge);
  CPPUNIT_TEST(charge_refused_statesWhatDecided);
  CPPUNIT_TEST_SUITE_END();

public:
  void charge_requestsLargeComparedToBurst_areAdmittedWithinLimit() {
    Cluster Daemons(8, UnitsPerSecond);
    // With so little demand the buckets are filled.
    Daemons.sendRequests(4s, UnitsPerSecond * 0.05, 12000);
    const auto Before = Daemons.totalAdmitted();
    Daemons.sendRequests(20s, UnitsPerSecond * 0.7, 12000);
    CPPUNIT_ASSERT(Daemons.totalAdmitted() - Before >
                   0.97 * UnitsPerSecond * 0.7 * 20);
  }

  void charge_overloadOfAllDaemons_staysWithinBound() {
    Cluster Daemons(8, UnitsPerSecond);
    Daemons.sendRequests(5s, UnitsPerSecond * 0.5, 12000);
    Daemons.sendRequests(12s, UnitsPerSecond * 4, 12000);
    CPPUNIT_ASSERT(Daemons.maxAdmittedWithin(8s) < MaxAdmittedUnits);
    CPPUNIT_ASSERT(Daemons.maxAdmittedWithin(8s) > UnitsPerSecond * 8 * 0.95);
  }

  void charge_overloadOfManyDaemonsWithRareReports_staysWithinBound() {
    Cluster Daemons(87, UnitsPerSecond, 40);
    Daemons.sendRequests(5s, UnitsPerSecond * 0.5, 12000);
    Daemons.sendRequests(12s, UnitsPerSecond * 4, 12000);
    CPPUNIT_ASSERT(Daemons.maxAdmittedWithin(8s) < MaxAdmittedUnits);
    CPPUNIT_ASSERT(Daemons.maxAdmittedWithin(8s) > UnitsPerSecond * 8 * 0.8);
  }

  void charge_overloadReportedByDelegate_staysWithinBound() {
    Cluster Daemons(60, UnitsPerSecond, 40);
    Daemons.setDelegate(0);
    Daemons.sendRequests(5s, UnitsPerSecond * 0.5, 12000);
    Daemons.sendRequests(12s, UnitsPerSecond * 4, 12000);
    CPPUNIT_ASSERT(Daemons.maxAdmittedWithin(8s) < MaxAdmittedUnits);
    CPPUNIT_ASSERT(Daemons.maxAdmittedWithin(8s) > UnitsPerSecond * 8 * 0.8);
  }

  void charge_delegateChanges_staysWithinBound() {
    Cluster Daemons(60, UnitsPerSecond, 40);
    Daemons.setDelegate(0);
    Daemons.sendRequests(5s, UnitsPerSecond * 3, 12000);
    Daemons.setDelegate(1);
    Daemons.sendRequests(10s, UnitsPerSecond * 3, 12000);
    CPPUNIT_ASSERT(Daemons.maxAdmittedWithin(8s) < MaxAdmittedUnits);
    CPPUNIT_ASSERT(Daemons.totalAdmitted() > UnitsPerSecond * 15 * 0.8);
  }

  void charge_daemonsRestartInTurn_staysWithinBound() {
    Cluster Daemons(8, UnitsPerSecond);
    Daemons.sendRequests(5s, UnitsPerSecond * 0.5, 12000);
    for (std::size_t I = 0; I < 8; ++I) {
      Daemons.restart(I);
      Daemons.sendRequests(1s, UnitsPerSecond * 4, 12000);
    }
    Daemons.sendRequests(4s, UnitsPerSecond * 4, 12000);
    CPPUNIT_ASSERT(Daemons.maxAdmittedWithin(8s) < MaxAdmittedUnits);
  }

  void charge_allDaemonsRestartUnderOverload_staysWithinBound() {
    Cluster Daemons(87, UnitsPerSecond, 40);
    Daemons.sendRequests(8s, UnitsPerSecond * 3, 12000);
    for (std::size_t I = 0; I < 87; ++I)
      Daemons.restart(I);
    Daemons.sendRequests(8s, UnitsPerSecond * 3, 12000);
    CPPUNIT_ASSERT(Daemons.maxAdmittedWithin(8s) < MaxAdmittedUnits);
  }

  void charge_daemonsStopGracefully_staysWithinBound() {
    Cluster Daemons(8, UnitsPerSecond);
    Daemons.sendRequests(5s, UnitsPerSecond * 0.5, 12000);
    for (std::size_t I = 0; I < 4; ++I)
      Daemons.stop(I);
    Daemons.sendRequests(12s, UnitsPerSecond * 4, 12000);
    CPPUNIT_ASSERT(Daemons.maxAdmittedWithin(8s) < MaxAdmittedUnits);
  }

  void charge_networkPartition_bothSidesServeWithinBound() {
    Cluster Daemons(8, UnitsPerSecond);
    Daemons.sendRequests(5s, UnitsPerSecond * 2, 12000);
    for (std::size_t I = 0; I < 3; ++I)
      Daemons.setPartitioned(I, true);
    Daemons.sendRequests(10s, UnitsPerSecond * 2, 12000);
    for (std::size_t I = 0; I < 3; ++I)
      Daemons.setPartitioned(I, false);
    Daemons.sendRequests(6s, UnitsPerSecond * 2, 12000);
    CPPUNIT_ASSERT(Daemons.maxAdmittedWithin(8s) < MaxAdmittedUnits);
    CPPUNIT_ASSERT(Daemons.totalAdmitted() > UnitsPerSecond * 21 * 0.85);
  }

  void charge_daemonsWithoutReport_keepTheirShares() {
    SeededRandom Random(3);
    QuotaLedger Ledger(Random);
    TimePoint Now{std::chrono::hours(1)};
    Ledger.setDaemonCount(50);
    Ledger.configure(planWith(10000, 10000), Now);
    double AdmittedUnits = 0;
    for (int I = 0; I < 400; ++I) {
      Now += 10ms;
      Ledger.startReportPeriod(Now);
      if (!Ledger.charge(LimitedCustomer, 100, Now))
        AdmittedUnits += 100;
    }
    CPPUNIT_ASSERT(AdmittedUnits > 0);
    CPPUNIT_ASSERT(AdmittedUnits <= (4 * 10000 + 10000) / 50 + 100);
  }

  /// Three daemons of equal demand: the share of the limit follows the ages of
  /// their last reports.
  void reachableShare_peersComeAndGo_followsTheirReports() {
    SeededRandom Random(3);
    QuotaLedger Ledger(Random);
    const TimePoint Start{std::chrono::hours(1)};
    Ledger.configure(planWith(1000, 1000), Start);
    Ledger.setDaemonCount(3);
    const auto Share = [&](Duration After) {
      return Ledger.reachableShare(LimitedCustomer, Start + After);
    };
    report(Ledger, "b", 100, Start);
    report(Ledger, "c", 300, Start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Share(1s), 1e-9);
    report(Ledger, "b", 100, Start + 1s);
    // Reachable: this daemon without demand, and b with 100 of 400 units.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3 * 2 / 3 + 0.7 * 100 / 400, Share(2s),
                                 1e-9);
    report(Ledger, "c", 200, Start + 2s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Share(2400ms), 1e-9);
    // No daemon is reachable; then no report counts any longer.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3 / 3, Share(10s), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, Share(30s), 1e-9);
  }

  void reachableShare_customerAddedLater_countsEarlierReports() {
    SeededRandom Random(3);
    QuotaLedger Ledger(Random);
    const TimePoint Start{std::chrono::hours(1)};
    Ledger.setDaemonCount(3);
    report(Ledger, "b", 100, Start);
    report(Ledger, "c", 300, Start - 1s);
    Ledger.configure(planWith(1000, 1000), Start + 1s);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.3 * 2 / 3 + 0.7 * 100 / 400,
        Ledger.reachableShare(LimitedCustomer, Start + 1s), 1e-9);
  }

  void report_largeFleet_costsAsInSmallOne() {
    constexpr double MaxCostRatio = 4;
    CPPUNIT_ASSERT(reportCost(300) < MaxCostRatio * reportCost(10));
  }

  void refund_requestNotRun_returnsUnits() {
    SeededRandom Random(3);
    QuotaLedger Ledger(Random);
    const TimePoint Now{std::chrono::hours(1)};
    Ledger.configure(planWith(1000, 1000), Now);
    CPPUNIT_ASSERT(!Ledger.charge(LimitedCustomer, 400, Now));
    CPPUNIT_ASSERT(Ledger.charge(LimitedCustomer, 400, Now).has_value());
    Ledger.refund(LimitedCustomer, 400);
    CPPUNIT_ASSERT(!Ledger.charge(LimitedCustomer, 400, Now));
  }

  void configure_lowerLimit_appliesToNextCharge() {
    SeededRandom Random(3);
    QuotaLedger Ledger(Random);
    const TimePoint Now{std::chrono::hours(1)};
    Ledger.configure(planWith(10000, 10000), Now);
    Ledger.configure(planWith(100, 100), Now + 1s);
    CPPUNIT_ASSERT(!Ledger.charge(LimitedCustomer, 90, Now + 1s));
    const auto Wait = Ledger.charge(LimitedCustomer, 90, Now + 1s);
    CPPUNIT_ASSERT(Wait.has_value());
    CPPUNIT_ASSERT(Wait->WaitTime > 500ms && Wait->WaitTime < 1s);
  }

  /// Guards against refusals that the log does not explain.
  void charge_refused_statesWhatDecided() {
    SeededRandom Random(3);
    QuotaLedger Ledger(Random);
    const TimePoint Now{std::chrono::hours(1)};
    Ledger.configure(planWith(1000, 1000), Now);
    CPPUNIT_ASSERT(!Ledger.charge(LimitedCustomer, 400, Now));
    const auto ByUnits = Ledger.charge(LimitedCustomer, 400, Now);
    CPPUNIT_ASSERT(ByUnits.has_value());
    CPPUNIT_ASSERT(ByUnits->DecidedBy == QuotaRefusal::Cause::Units);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, ByUnits->UnitsLeft, 1e-9);
    report(Ledger, "b", 1e9, Now + 600ms);
    const auto ByDemand = Ledger.charge(LimitedCustomer, 400, Now + 600ms);
    CPPUNIT_ASSERT(ByDemand.has_value());
    CPPUNIT_ASSERT(ByDemand->DecidedBy == QuotaRefusal::Cause::Demand);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1e9, ByDemand->OthersDemand, 1e-9);
    CPPUNIT_ASSERT(ByDemand->AdmittedShare < 0.001);
  }

private:
  static void report(QuotaLedger &Ledger, const std::string &Vm, double Demand,
                     TimePoint Now) {
    PeerUsage Usage;
    Usage.Source = Vm;
    Usage.Incarnation = 1;
    Usage.Usage[LimitedCustomer.Text] = {0, Demand, 1000};
    Ledger.onPeerUsage(Usage, Now);
  }

  /// Seconds that a report on 40 customers takes in a fleet of \p Daemons; the
  /// shortest of several measurements.
  static double reportCost(std::size_t Daemons) {
    constexpr int Customers = 40;
    constexpr int Repeats = 15;
    SeededRandom Random(3);
    QuotaLedger Ledger(Random);
    RoutePlan Plan;
    PeerUsage Usage;
    Usage.Incarnation = 1;
    for (int I = 0; I < Customers; ++I) {
      PlannedCustomer Customer;
      Customer.Name = CustomerName("customer-" + std::to_string(I));
      Customer.PerSecond = Customer.Burst = 1000;
      Usage.Usage[Customer.Name.Text] = {0, 10, 1000};
      Plan.Customers.push_back(Customer);
    }
    TimePoint Now{std::chrono::hours(1)};
    Ledger.configure(Plan, Now);
    Ledger.setDaemonCount(Daemons);
    double Shortest = 1;
    for (int Repeat = 0; Repeat < Repeats; ++Repeat) {
      const auto Start = std::chrono::steady_clock::now();
      for (std::size_t I = 0; I < Daemons; ++I) {
        Usage.Source = "vm" + std::to_string(I);
        Now += std::chrono::microseconds(100);
        Ledger.onPeerUsage(Usage, Now);
      }
      Shortest = std::min(Shortest,
                          toSeconds(std::chrono::steady_clock::now() - Start) /
                              static_cast<double>(Daemons));
    }
    return Shortest;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLedgerTest);

} // namespace mangodeck
