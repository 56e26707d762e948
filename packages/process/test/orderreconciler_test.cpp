#include "mangodeck/process/orderreconciler.h"

#include "scriptedstore.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

namespace {

const TargetName FirstTarget("runner-1");
const TargetName SecondTarget("runner-2");
const Weights Small{"small", "1", 1'000'000'000};
const Weights Large{"large", "2", 10'000'000'000};

} // namespace

class OrderReconcilerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderReconcilerTest);
  CPPUNIT_TEST(reconciler_difference_isOrderedOnceUntilItEnds);
  CPPUNIT_TEST(reconciler_staleReport_givesNoSecondOrder);
  CPPUNIT_TEST(reconciler_unloadAndRole_goBeforeLoad);
  CPPUNIT_TEST(reconciler_noAnswer_waitsForExpiry);
  CPPUNIT_TEST(reconciler_refused_backsOff);
  CPPUNIT_TEST(reconciler_loads_areSpacedByWeightStoreThroughput);
  CPPUNIT_TEST(reconciler_targetWithoutFencingCheck_waitsAfterTakeOver);
  CPPUNIT_TEST(reconciler_leaseExpired_sendsNoOrder);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { renewLease(); }

  void reconciler_difference_isOrderedOnceUntilItEnds() {
    setDesired({{FirstTarget, true, "", {Small}}});
    report(FirstTarget, {}, "");
    CPPUNIT_ASSERT(tick().front().Kind == OrderKind::Load);
    report(FirstTarget, {}, "");
    CPPUNIT_ASSERT(tick().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Reconciler.ordersInFlight());
  }

  void reconciler_staleReport_givesNoSecondOrder() {
    setDesired({{FirstTarget, true, "", {Small}}});
    report(FirstTarget, {}, "");
    const auto Order = tick().front();
    advance(2s);
    m_Reconciler.onOrderEnd(FirstTarget, Order.Id, OrderEnd::Done, m_Now);
    advance(1s);
    report(FirstTarget, {}, "", 2s);
    CPPUNIT_ASSERT(tick().empty());
    report(FirstTarget, {Small}, "");
    CPPUNIT_ASSERT(tick().empty());
  }

  void reconciler_unloadAndRole_goBeforeLoad() {
    setDesired({{FirstTarget, true, "decode", {Small}}});
    report(FirstTarget, {Large}, "prefill");
    CPPUNIT_ASSERT(finishOrder(tick()) == OrderKind::Unload);
    report(FirstTarget, {}, "prefill");
    CPPUNIT_ASSERT(finishOrder(tick()) == OrderKind::ChangeRole);
    report(FirstTarget, {}, "decode");
    CPPUNIT_ASSERT(finishOrder(tick()) == OrderKind::Load);
  }

  void reconciler_noAnswer_waitsForExpiry() {
    setDesired({{FirstTarget, true, "", {Small}}});
    report(FirstTarget, {}, "");
    const auto Order = tick().front();
    advance(3s);
    m_Reconciler.onOrderEnd(FirstTarget, Order.Id, OrderEnd::Unknown, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Reconciler.ordersInFlight());
    advance(8s);
    tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Reconciler.ordersInFlight());
  }

  void reconciler_refused_backsOff() {
    setDesired({{FirstTarget, true, "", {Small}}});
    report(FirstTarget, {}, "");
    const auto Order = tick().front();
    advance(1s);
    m_Reconciler.onOrderEnd(FirstTarget, Order.Id, OrderEnd::Refused, m_Now);
    advance(4s);
    report(FirstTarget, {}, "");
    CPPUNIT_ASSERT(tick().empty());
    advance(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tick().size());
  }

  void reconciler_loads_areSpacedByWeightStoreThroughput() {
    setDesired(
        {{FirstTarget, true, "", {Large}}, {SecondTarget, true, "", {Large}}});
    report(FirstTarget, {}, "");
    report(SecondTarget, {}, "");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tick().size());
    advance(9s);
    CPPUNIT_ASSERT(tick().empty());
    advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tick().size());
  }

  void reconciler_targetWithoutFencingCheck_waitsAfterTakeOver() {
    setDesired({{FirstTarget, false, "", {Small}}});
    report(FirstTarget, {}, "");
    CPPUNIT_ASSERT(tick().empty());
    advance(13s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tick().size());
  }

  void reconciler_leaseExpired_sendsNoOrder() {
    setDesired({{FirstTarget, true, "", {Small}}});
    report(FirstTarget, {}, "");
    m_Now += 14s;
    CPPUNIT_ASSERT(tick().empty());
  }

private:
  void renewLease() {
    m_Lease.tick(m_Now, true);
    while (m_Connection.pending() > 0)
      m_Connection.settle(0, CallFate::Answered);
  }

  /// Advances the time second by second and renews the lease each time.
  void advance(Duration Span) {
    for (Duration Left = Span; Left > 0s; Left -= 1s) {
      m_Now += 1s;
      renewLease();
    }
  }

  void setDesired(std::vector<DesiredTarget> Desired) {
    m_Reconciler.configure(Desired);
  }

  void report(const TargetName &Target, std::set<Weights> Loaded,
              std::string Role, Duration Age = 0s) {
    m_Reconciler.report({Target, 1, Age, std::move(Role), std::move(Loaded)},
                        m_Now);
  }

  std::vector<TargetOrder> tick() {
    std::vector<TargetOrder> Out;
    m_Reconciler.tick(m_Now, Out);
    return Out;
  }

  OrderKind finishOrder(const std::vector<TargetOrder> &Orders) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Orders.size());
    m_Reconciler.onOrderEnd(Orders.front().Target, Orders.front().Id,
                            OrderEnd::Done, m_Now);
    advance(1s);
    return Orders.front().Kind;
  }

  static OrderLeaseOptions options() {
    OrderLeaseOptions Options;
    Options.Vm = VmName("vm-1");
    Options.Domain = FailureDomain("a");
    return Options;
  }

  TimePoint m_Now{std::chrono::hours(1)};
  ScriptedStore m_Store;
  ScriptedConnection m_Connection{m_Store};
  SeededRandom m_Random{1};
  OrderLease m_Lease{options(), m_Connection, m_Random};
  OrderReconciler m_Reconciler{{}, m_Lease};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderReconcilerTest);

} // namespace mangodeck
