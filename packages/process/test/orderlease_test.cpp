#include "mangodeck/process/orderlease.h"

#include "explorer.h"
#include "scriptedstore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <array>

namespace mangodeck {

namespace {

constexpr Duration LongestOrder = 3s;

struct Guards {
  bool WaitAtTakeOver = true;
  bool CheckBeforeSending = true; ///< Else an order is checked before a pause.
};

/// Two daemons that want to give orders to one target which does not check
/// them, in steps of a second. The explorer decides on the fate of calls, on
/// pauses, crashes and the time that orders take.
class LeaseScenario {
public:
  LeaseScenario(Explorer &Choices, Guards Kept)
      : m_Choices(Choices), m_Kept(Kept) {
    for (std::size_t I = 0; I < m_Daemons.size(); ++I)
      start(I);
  }

  void run() {
    constexpr int Steps = 18;
    for (int Step = 0; Step < Steps; ++Step) {
      for (std::size_t I = 0; I < m_Daemons.size(); ++I)
        act(I);
      arrive();
      m_Now += 1s;
      m_Store.advance(1s);
    }
  }

  bool foundOldOrder() const { return m_OldOrders > 0; }
  bool sawTakeOver() const { return m_Holders > 1; }

private:
  enum class Course { Normal, Lost, NeverSent, Late, Pause3, Pause8, Crash };
  static constexpr std::size_t Courses = 7;
  static constexpr int FaultBudget = 2;

  struct Daemon {
    std::unique_ptr<ScriptedConnection> Connection;
    std::unique_ptr<OrderLease> Lease;
    TimePoint PausedUntil;
    bool Gone = false;
    bool Checked = false; ///< An order passed the check before a pause.
    std::uint64_t CheckedFencing = 0;
  };

  struct Order {
    TimePoint Arrival;
    std::uint64_t Fencing = 0;
  };

  void start(std::size_t Index) {
    auto &Each = m_Daemons[Index];
    Each.Connection = std::make_unique<ScriptedConnection>(m_Store);
    OrderLeaseOptions Options;
    Options.Vm = VmName(fmt::format("vm-{}", Index));
    Options.Started = 1;
    Options.Domain = FailureDomain("a");
    Options.TimeToLive = 3s;
    Options.Margin = m_Kept.WaitAtTakeOver ? 1s : 0s;
    Options.LongestOrder = m_Kept.WaitAtTakeOver ? LongestOrder : Duration(0);
    Each.Lease =
        std::make_unique<OrderLease>(Options, *Each.Connection, m_Random);
  }

  Course chooseCourse() {
    if (m_FaultsUsed == FaultBudget)
      return Course::Normal;
    const auto Chosen = static_cast<Course>(m_Choices.choose(Courses));
    m_FaultsUsed += Chosen == Course::Normal ? 0 : 1;
    return Chosen;
  }

  void act(std::size_t Index) {
    auto &Each = m_Daemons[Index];
    if (Each.Gone || m_Now < Each.PausedUntil)
      return;
    const auto Chosen = chooseCourse();
    if (Chosen == Course::Crash) {
      Each.Gone = true;
      Each.Lease.reset();
      Each.Connection->abandon();
      return;
    }
    if (Chosen == Course::Pause3 || Chosen == Course::Pause8) {
      Each.Checked = Each.Lease->mayOrder(m_Now, false);
      Each.CheckedFencing = Each.Lease->fencing();
      Each.PausedUntil = m_Now + (Chosen == Course::Pause3 ? 3s : 8s);
      return;
    }
    if (!m_Kept.CheckBeforeSending && std::exchange(Each.Checked, false))
      send(Each.CheckedFencing);
    Each.Connection->deliverLate();
    Each.Lease->tick(m_Now, true);
    settle(*Each.Connection, Chosen);
    if (Each.Lease->mayOrder(m_Now, false))
      send(Each.Lease->fencing());
  }

  static void settle(ScriptedConnection &Connection, Course Chosen) {
    const auto Fate = Chosen == Course::Lost        ? CallFate::AnswerLost
                      : Chosen == Course::NeverSent ? CallFate::NeverSent
                      : Chosen == Course::Late      ? CallFate::AnswerLate
                                                    : CallFate::Answered;
    while (Connection.pending() > 0)
      Connection.settle(0, Fate);
  }

  /// Every order is sent twice: one arrives at once, one as late as it is
  /// valid.
  void send(std::uint64_t Fencing) {
    m_Orders.push_back({m_Now, Fencing});
    m_Orders.push_back({m_Now + LongestOrder, Fencing});
  }

  void arrive() {
    for (const auto &Each : m_Orders) {
      if (Each.Arrival != m_Now)
        continue;
      m_OldOrders += Each.Fencing < m_HighestFencing ? 1 : 0;
      m_Holders += Each.Fencing > m_HighestFencing ? 1 : 0;
      m_HighestFencing = std::max(m_HighestFencing, Each.Fencing);
    }
  }

  Explorer &m_Choices;
  Guards m_Kept;
  ScriptedStore m_Store;
  SeededRandom m_Random{1};
  std::array<Daemon, 2> m_Daemons;
  std::vector<Order> m_Orders;
  TimePoint m_Now{std::chrono::hours(1)};
  std::uint64_t m_HighestFencing = 0;
  int m_FaultsUsed = 0;
  int m_OldOrders = 0;
  int m_Holders = 0;
};

struct Findings {
  std::size_t Runs = 0;
  std::size_t OldOrders = 0;
  std::size_t TakeOvers = 0;
};

Findings explore(Guards Kept, std::size_t MaxRuns, bool StopAtFault) {
  Findings Result;
  Explorer Choices;
  do {
    LeaseScenario Scenario(Choices, Kept);
    Scenario.run();
    Result.OldOrders += Scenario.foundOldOrder() ? 1 : 0;
    Result.TakeOvers += Scenario.sawTakeOver() ? 1 : 0;
    if (StopAtFault && Result.OldOrders > 0)
      break;
  } while (Choices.advance() && Choices.runs() < MaxRuns);
  Result.Runs = Choices.runs();
  return Result;
}

constexpr std::size_t AllRuns = 20'000'000;

} // namespace

class OrderLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderLeaseTest);
  CPPUNIT_TEST(lease_allPausesAndFaults_noOrderOfOldHolder);
  CPPUNIT_TEST(lease_guardsTakenOut_explorerFindsOldOrder);
  CPPUNIT_TEST(lease_heldByOther_isNotTaken);
  CPPUNIT_TEST(lease_released_fencingGrows);
  CPPUNIT_TEST(lease_storeDown_endsBeforeItsTimeToLive);
  CPPUNIT_TEST_SUITE_END();

public:
  void lease_allPausesAndFaults_noOrderOfOldHolder() {
    const auto Found = explore({}, AllRuns, false);
    fmt::print("order lease: {} runs explored, {} with a take-over\n",
               Found.Runs, Found.TakeOvers);
    CPPUNIT_ASSERT(Found.Runs < AllRuns);
    CPPUNIT_ASSERT(Found.TakeOvers > 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Found.OldOrders);
  }

  void lease_guardsTakenOut_explorerFindsOldOrder() {
    CPPUNIT_ASSERT(explore({false, true}, AllRuns, true).OldOrders > 0);
    CPPUNIT_ASSERT(explore({true, false}, AllRuns, true).OldOrders > 0);
  }

  void lease_heldByOther_isNotTaken() {
    tick(m_First, m_FirstConnection, 0s);
    tick(m_Second, m_SecondConnection, 0s);
    CPPUNIT_ASSERT(m_First.holds(at(0s)) && !m_Second.holds(at(0s)));
    CPPUNIT_ASSERT(m_First.mayOrder(at(0s), true));
    CPPUNIT_ASSERT(!m_First.mayOrder(at(0s), false));
  }

  void lease_released_fencingGrows() {
    tick(m_First, m_FirstConnection, 0s);
    const auto Earlier = m_First.fencing();
    m_First.release();
    m_FirstConnection.settle(0, CallFate::Answered);
    tick(m_Second, m_SecondConnection, 1s);
    CPPUNIT_ASSERT(m_Second.fencing() > Earlier && Earlier > 0);
    CPPUNIT_ASSERT(!m_First.holds(at(1s)));
  }

  void lease_storeDown_endsBeforeItsTimeToLive() {
    tick(m_First, m_FirstConnection, 0s);
    CPPUNIT_ASSERT(m_First.holds(at(12s)));
    CPPUNIT_ASSERT(!m_First.holds(at(13s)));
  }

private:
  static TimePoint at(Duration Span) {
    return TimePoint(std::chrono::hours(1)) + Span;
  }

  static void tick(OrderLease &Lease, ScriptedConnection &Connection,
                   Duration Span) {
    Lease.tick(at(Span), true);
    while (Connection.pending() > 0)
      Connection.settle(0, CallFate::Answered);
  }

  static OrderLeaseOptions optionsOf(std::string_view Vm) {
    OrderLeaseOptions Options;
    Options.Vm = VmName(Vm);
    Options.Domain = FailureDomain("a");
    return Options;
  }

  ScriptedStore m_Store;
  ScriptedConnection m_FirstConnection{m_Store};
  ScriptedConnection m_SecondConnection{m_Store};
  SeededRandom m_Random{1};
  OrderLease m_First{optionsOf("vm-1"), m_FirstConnection, m_Random};
  OrderLease m_Second{optionsOf("vm-2"), m_SecondConnection, m_Random};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderLeaseTest);

} // namespace mangodeck
