#include "mangodeck/process/orderreconciler.h"

#include "scriptedstore.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

namespace {

const TargetName First("runner-1");
const TargetName Second("runner-2");
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
  CPPUNIT_TEST(reconciler_loads_staySlowerThanTheWeightStore);
  CPPUNIT_TEST(reconciler_uncheckingTarget_waitsAfterTakeOver);
  CPPUNIT_TEST(reconciler_leaseLapsed_ordersNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { renew(); }

  void reconciler_difference_isOrderedOnceUntilItEnds() {
    want({{First, true, "", {Small}}});
    report(First, {}, "");
    CPPUNIT_ASSERT(tick().front().Kind == OrderKind::Load);
    report(First, {}, "");
    CPPUNIT_ASSERT(tick().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Reconciler.inFlight());
  }

  void reconciler_staleReport_givesNoSecondOrder() {
    want({{First, true, "", {Small}}});
    report(First, {}, "");
    const auto Order = tick().front();
    pass(2s);
    m_Reconciler.onEnd(First, Order.Id, OrderEnd::Done, m_Now);
    pass(1s);
    report(First, {}, "", 2s);
    CPPUNIT_ASSERT(tick().empty());
    report(First, {Small}, "");
    CPPUNIT_ASSERT(tick().empty());
  }

  void reconciler_unloadAndRole_goBeforeLoad() {
    want({{First, true, "decode", {Small}}});
    report(First, {Large}, "prefill");
    CPPUNIT_ASSERT(finish(tick()) == OrderKind::Unload);
    report(First, {}, "prefill");
    CPPUNIT_ASSERT(finish(tick()) == OrderKind::ChangeRole);
    report(First, {}, "decode");
    CPPUNIT_ASSERT(finish(tick()) == OrderKind::Load);
  }

  void reconciler_noAnswer_waitsForExpiry() {
    want({{First, true, "", {Small}}});
    report(First, {}, "");
    const auto Order = tick().front();
    pass(3s);
    m_Reconciler.onEnd(First, Order.Id, OrderEnd::Unknown, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Reconciler.inFlight());
    pass(8s);
    tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Reconciler.inFlight());
  }

  void reconciler_refused_backsOff() {
    want({{First, true, "", {Small}}});
    report(First, {}, "");
    const auto Order = tick().front();
    pass(1s);
    m_Reconciler.onEnd(First, Order.Id, OrderEnd::Refused, m_Now);
    pass(4s);
    report(First, {}, "");
    CPPUNIT_ASSERT(tick().empty());
    pass(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tick().size());
  }

  void reconciler_loads_staySlowerThanTheWeightStore() {
    want({{First, true, "", {Large}}, {Second, true, "", {Large}}});
    report(First, {}, "");
    report(Second, {}, "");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tick().size());
    pass(9s);
    CPPUNIT_ASSERT(tick().empty());
    pass(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tick().size());
  }

  void reconciler_uncheckingTarget_waitsAfterTakeOver() {
    want({{First, false, "", {Small}}});
    report(First, {}, "");
    CPPUNIT_ASSERT(tick().empty());
    pass(13s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tick().size());
  }

  void reconciler_leaseLapsed_ordersNothing() {
    want({{First, true, "", {Small}}});
    report(First, {}, "");
    m_Now += 14s;
    CPPUNIT_ASSERT(tick().empty());
  }

private:
  void renew() {
    m_Lease.tick(m_Now, true);
    while (m_Connection.pending() > 0)
      m_Connection.settle(0, CallFate::Answered);
  }

  /// Lets time go by second by second, the lease being renewed.
  void pass(Duration Span) {
    for (Duration Left = Span; Left > 0s; Left -= 1s) {
      m_Now += 1s;
      renew();
    }
  }

  void want(std::vector<DesiredTarget> Wanted) {
    m_Reconciler.configure(Wanted);
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

  OrderKind finish(const std::vector<TargetOrder> &Orders) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Orders.size());
    m_Reconciler.onEnd(Orders.front().Target, Orders.front().Id, OrderEnd::Done,
                       m_Now);
    pass(1s);
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
