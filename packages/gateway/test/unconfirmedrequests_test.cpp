#include "fleetsupport.h"
#include "gatewaysupport.h"

#include "mangodeck/gateway/gateway.h"

#include <array>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace mangodeck {

/// Requests that an outdated configuration would refuse for good.
class UnconfirmedRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnconfirmedRequestsTest);
  CPPUNIT_TEST(unknownRoute_confirmed_isRefusedAtOnce);
  CPPUNIT_TEST(unknownRoute_outdatedThenAdded_isServed);
  CPPUNIT_TEST(unknownRoute_outdatedThenConfirmed_isRefused);
  CPPUNIT_TEST(unknownRoute_neverConfirmed_isToldToComeBack);
  CPPUNIT_TEST(unknownKey_afterSuspension_isDecidedAfterConfirmation);
  CPPUNIT_TEST(unknownRoute_callerLeaves_isDropped);
  CPPUNIT_TEST(unknownRoutes_many_areBounded);
  CPPUNIT_TEST(knownRoute_outdated_isServed);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    m_Target.emplace(*m_Loop);
    m_Target->Answer = [](const std::string &) {
      return "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
    };
    m_Daemon.emplace(*m_Loop, m_Names, "vm-1", "a", 1);
    m_Daemon->Server->onPlan(plan(1, {"/p/"}, {"k"}));
    TargetEntry Entry;
    Entry.Id = TargetName("t");
    Entry.Service = ServiceName("s");
    Entry.Domain = FailureDomain("a");
    Entry.Ip = "127.0.0.1";
    Entry.Port = m_Target->port();
    Entry.Slots = 8;
    m_Daemon->Server->onTargetUpdated(Entry);
    m_Daemon->Server->onDirectoryComplete();
  }
  void tearDown() override {
    m_Callers.clear();
    m_Daemon.reset();
    m_Target.reset();
    m_Loop.reset();
  }

  void unknownRoute_confirmed_isRefusedAtOnce() {
    confirm(0ms);
    CPPUNIT_ASSERT(ask("/q/x").starts_with("HTTP/1.1 404"));
  }

  void unknownRoute_outdatedThenAdded_isServed() {
    confirm(3s);
    auto &Caller = send("/q/x", "k");
    run(100ms);
    CPPUNIT_ASSERT_EQUAL(std::string(), received(Caller));
    m_Daemon->Server->onPlan(plan(2, {"/p/", "/q/"}, {"k"}));
    confirm(0ms);
    run(200ms);
    CPPUNIT_ASSERT(received(Caller).starts_with("HTTP/1.1 200"));
  }

  void unknownRoute_outdatedThenConfirmed_isRefused() {
    confirm(3s);
    auto &Caller = send("/q/x", "k");
    run(100ms);
    confirm(0ms);
    run(100ms);
    CPPUNIT_ASSERT(received(Caller).starts_with("HTTP/1.1 404"));
  }

  /// 404 would be final, though a later version may have the route.
  void unknownRoute_neverConfirmed_isToldToComeBack() {
    confirm(3s);
    const auto Answer = ask("/q/x");
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Answer.find("Retry-After:") != std::string::npos);
  }

  void unknownKey_afterSuspension_isDecidedAfterConfirmation() {
    m_Daemon->Server->onPlan(plan(2, {"/p/"}, {"k"}));
    confirm(3s);
    auto &Caller = send("/p/x", "new");
    run(100ms);
    CPPUNIT_ASSERT_EQUAL(std::string(), received(Caller));
    m_Daemon->Server->onPlan(plan(3, {"/p/"}, {"k", "new"}));
    confirm(0ms);
    run(200ms);
    CPPUNIT_ASSERT(received(Caller).starts_with("HTTP/1.1 200"));
  }

  void unknownRoute_callerLeaves_isDropped() {
    confirm(3s);
    send("/q/x", "k");
    run(100ms);
    m_Callers.clear();
    run(100ms);
    confirm(0ms);
    run(100ms);
    CPPUNIT_ASSERT(ask("/p/x").starts_with("HTTP/1.1 200"));
  }

  void unknownRoutes_many_areBounded() {
    confirm(3s);
    std::size_t Answered = 0;
    for (int I = 0; I < 300; ++I)
      send("/q/x", "k");
    run(200ms);
    for (auto &Caller : m_Callers)
      Answered += received(Caller).starts_with("HTTP/1.1 503") ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t(300 - 256), Answered);
  }

  void knownRoute_outdated_isServed() {
    confirm(3s);
    CPPUNIT_ASSERT(ask("/p/x").starts_with("HTTP/1.1 200"));
  }

private:
  static RoutePlanPtr plan(std::uint64_t Version,
                           const std::vector<std::string> &Prefixes,
                           const std::vector<std::string> &Keys) {
    auto Plan = std::make_shared<RoutePlan>();
    Plan->Version = Version;
    for (const auto &Prefix : Prefixes) {
      Route Each;
      Each.Name = Prefix;
      Each.Host = "h";
      Each.Prefix = Prefix;
      Each.Kind = RouteKind::Idempotent;
      Each.Timeout = 5s;
      Each.LatencyTarget = 1s;
      Each.Attempts = 1;
      Each.Shares = {{ServiceName("s"), 1}};
      Plan->Routes.push_back(Each);
    }
    PlannedCustomer Customer;
    Customer.Name = CustomerName("c");
    Customer.Keys = Keys;
    Plan->Customers = {Customer};
    Plan->index();
    return Plan;
  }

  /// The view of the store is current as of \p Age ago.
  void confirm(Duration Age) {
    m_Daemon->Server->onDirectoryConfirmed(std::chrono::steady_clock::now() -
                                           Age);
  }

  asio::ip::tcp::socket &send(const std::string &Path, const std::string &Key) {
    auto &Caller = m_Callers.emplace_back(*m_Loop);
    Caller.connect(
        {asio::ip::make_address("127.0.0.1"), m_Daemon->Settings.CallerPort});
    asio::write(Caller, asio::buffer("GET " + Path +
                                     " HTTP/1.1\r\nHost: h\r\nX-Attempt: 1\r\n"
                                     "Authorization: Bearer " +
                                     Key + "\r\n\r\n"));
    Caller.non_blocking(true);
    return Caller;
  }

  std::string received(asio::ip::tcp::socket &Caller) {
    std::array<char, 4096> Buffer;
    std::error_code Error;
    const auto Size = Caller.read_some(asio::buffer(Buffer), Error);
    return std::string(Buffer.data(), Size);
  }

  std::string ask(const std::string &Path) {
    auto &Caller = send(Path, "k");
    run(900ms);
    return received(Caller);
  }

  void run(Duration Span) {
    m_Loop->restart();
    m_Loop->run_for(Span);
  }

  const HeaderNames m_Names = testNames();
  std::optional<asio::io_context> m_Loop;
  std::optional<ScriptedTarget> m_Target;
  std::optional<FleetDaemon> m_Daemon;
  std::deque<asio::ip::tcp::socket> m_Callers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnconfirmedRequestsTest);

} // namespace mangodeck
