#include "mangodeck/process/orderlease.h"

#include "explorer.h"
#include "scriptedstore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <array>

namespace mangodeck {

namespace {

constexpr Duration OrderValidity = 3s;

/// Guards of the protocol, which a test can disable.
struct Guards {
  bool WaitAtTakeOver = true;
  bool CheckBeforeSending = true; ///< If not, a pause may follow the check.
};

/// Two daemons that send orders to one target, which does not check fencing
/// numbers, in steps of a second. The explorer chooses the fates of store calls
/// and when a daemon pauses or crashes. The run fails if an order of a former
/// holder arrives after one of the new holder.
class LeaseScenario {
public:
  LeaseScenario(Explorer &Choices, Guards Enabled)
      : m_Choices(Choices), m_Enabled(Enabled) {
    for (std::size_t I = 0; I < m_Daemons.size(); ++I)
      start(I);
  }

  void run() {
    constexpr int Steps = 18;
    for (int Step = 0; Step < Steps; ++Step) {
      for (std::size_t I = 0; I < m_Daemons.size(); ++I)
        step(I);
      deliverOrders();
      m_Now += 1s;
      m_Store.advance(1s);
    }
  }

  bool sawOldOrder() const { return m_OldOrders > 0; }
  bool sawTakeOver() const { return m_HolderChanges > 1; }

private:
  enum class Fault { None, Lost, NeverSent, Late, Pause3, Pause8, Crash };
  static constexpr std::size_t FaultCount = 7;
  static constexpr int FaultBudget = 2;

  struct Daemon {
    std::unique_ptr<ScriptedConnection> Connection;
    std::unique_ptr<OrderLease> Lease;
    TimePoint PausedUntil;
    bool Crashed = false;
    /// maySendOrder() allowed an order before the pause.
    bool OrderAllowed = false;
    std::uint64_t AllowedFencing = 0;
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
    Options.ExpiryMargin = m_Enabled.WaitAtTakeOver ? 1s : 0s;
    Options.OrderValidity =
        m_Enabled.WaitAtTakeOver ? OrderValidity : Duration(0);
    Each.Lease =
        std::make_unique<OrderLease>(Options, *Each.Connection, m_Random);
  }

  Fault chooseFault() {
    if (m_FaultsUsed == FaultBudget)
      return Fault::None;
    const auto Chosen = static_cast<Fault>(m_Choices.choose(FaultCount));
    m_FaultsUsed += Chosen == Fault::None ? 0 : 1;
    return Chosen;
  }

  void step(std::size_t Index) {
    auto &Each = m_Daemons[Index];
    if (Each.Crashed || m_Now < Each.PausedUntil)
      return;
    const auto Chosen = chooseFault();
    if (Chosen == Fault::Crash) {
      Each.Crashed = true;
      Each.Lease.reset();
      Each.Connection->abandon();
      return;
    }
    if (Chosen == Fault::Pause3 || Chosen == Fault::Pause8) {
      Each.OrderAllowed = Each.Lease->maySendOrder(m_Now, false);
      Each.AllowedFencing = Each.Lease->fencing();
      Each.PausedUntil = m_Now + (Chosen == Fault::Pause3 ? 3s : 8s);
      return;
    }
    if (!m_Enabled.CheckBeforeSending &&
        std::exchange(Each.OrderAllowed, false))
      send(Each.AllowedFencing);
    Each.Connection->deliverLate();
    Each.Lease->tick(m_Now, true);
    settle(*Each.Connection, Chosen);
    if (Each.Lease->maySendOrder(m_Now, false))
      send(Each.Lease->fencing());
  }

  static void settle(ScriptedConnection &Connection, Fault Chosen) {
    const auto Fate = Chosen == Fault::Lost        ? CallFate::AnswerLost
                      : Chosen == Fault::NeverSent ? CallFate::NeverSent
                      : Chosen == Fault::Late      ? CallFate::AnswerLate
                                                   : CallFate::Answered;
    while (Connection.pending() > 0)
      Connection.settle(0, Fate);
  }

  /// Sends every order twice: one arrives without delay, the other as late as
  /// an order is valid.
  void send(std::uint64_t Fencing) {
    m_Orders.push_back({m_Now, Fencing});
    m_Orders.push_back({m_Now + OrderValidity, Fencing});
  }

  void deliverOrders() {
    for (const auto &Each : m_Orders) {
      if (Each.Arrival != m_Now)
        continue;
      m_OldOrders += Each.Fencing < m_HighestFencing ? 1 : 0;
      m_HolderChanges += Each.Fencing > m_HighestFencing ? 1 : 0;
      m_HighestFencing = std::max(m_HighestFencing, Each.Fencing);
    }
  }

  Explorer &m_Choices;
  Guards m_Enabled;
  ScriptedStore m_Store;
  SeededRandom m_Random{1};
  std::array<Daemon, 2> m_Daemons;
  std::vector<Order> m_Orders;
  TimePoint m_Now{std::chrono::hours(1)};
  std::uint64_t m_HighestFencing = 0;
  int m_FaultsUsed = 0;
  int m_OldOrders = 0;
  int m_HolderChanges = 0;
};

struct Findings {
  std::size_t Runs = 0;
  std::size_t OldOrders = 0;
  std::size_t TakeOvers = 0;
};

Findings explore(Guards Enabled, std::size_t MaxRuns, bool StopAtOldOrder) {
  Findings Result;
  Explorer Choices;
  do {
    LeaseScenario Scenario(Choices, Enabled);
    Scenario.run();
    Result.OldOrders += Scenario.sawOldOrder() ? 1 : 0;
    Result.TakeOvers += Scenario.sawTakeOver() ? 1 : 0;
    if (StopAtOldOrder && Result.OldOrders > 0)
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
  CPPUNIT_TEST(lease_guardDisabled_explorerFindsOldOrder);
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

  void lease_guardDisabled_explorerFindsOldOrder() {
    CPPUNIT_ASSERT(explore({false, true}, AllRuns, true).OldOrders > 0);
    CPPUNIT_ASSERT(explore({true, false}, AllRuns, true).OldOrders > 0);
  }

  void lease_heldByOther_isNotTaken() {
    tick(m_First, m_FirstConnection, 0s);
    tick(m_Second, m_SecondConnection, 0s);
    CPPUNIT_ASSERT(m_First.holds(at(0s)) && !m_Second.holds(at(0s)));
    CPPUNIT_ASSERT(m_First.maySendOrder(at(0s), true));
    CPPUNIT_ASSERT(!m_First.maySendOrder(at(0s), false));
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
