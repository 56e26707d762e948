#include "fleetsupport.h"
#include "mangodeck/gateway/placementreport.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

namespace mangodeck {

/// Guards against explanations that differ from what happens, and against
/// explanations that change anything.
class PlacementReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementReportTest);
  CPPUNIT_TEST(report_randomStates_isWhatThenHappens);
  CPPUNIT_TEST(call_onMetricsPort_isAnsweredAndRateLimited);
  CPPUNIT_TEST_SUITE_END();

  /// A connection of a caller that has sent one request.
  class Call {
  public:
    Call(asio::io_context &Loop, std::uint16_t Port, std::string Bytes)
        : m_Socket(Loop), m_Bytes(std::move(Bytes)) {
      m_Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
      asio::write(m_Socket, asio::buffer(m_Bytes));
      read();
    }
    std::string Answer;

  private:
    void read() {
      m_Socket.async_read_some(asio::buffer(m_Buffer),
                               [this](std::error_code Error, std::size_t Size) {
                                 if (Error)
                                   return;
                                 Answer.append(m_Buffer.data(), Size);
                                 read();
                               });
    }
    asio::ip::tcp::socket m_Socket;
    std::string m_Bytes;
    std::array<char, 4096> m_Buffer;
  };

  /// A gateway with targets and requests, drawn at random.
  class State {
  public:
    explicit State(std::uint64_t Seed)
        : m_Random(Seed), m_Names(testNames()),
          m_Daemon(m_Loop, m_Names, "vm-1", "d1", Seed) {
      auto Plan = std::make_shared<RoutePlan>(*fleetPlan(2s));
      auto &Only = Plan->Routes[0];
      Only.LatencyTarget = draw(2) == 0 ? 120ms : 400ms;
      PlannedService Planned;
      Planned.Name = ServiceName("s");
      Planned.IsEngine = draw(3) == 0;
      Plan->Services = {Planned};
      if (draw(3) == 0) {
        PlannedCustomer Customer;
        Customer.Name = CustomerName("c");
        Customer.Keys = {"k"};
        Customer.PerSecond = 4;
        Customer.Burst = 4;
        Plan->Customers = {Customer};
      }
      Plan->index();
      m_Daemon.Server->onPlan(Plan);
      const auto Count = 1 + draw(4);
      for (unsigned I = 0; I < Count; ++I) {
        m_Targets.push_back(std::make_unique<ScriptedTarget>(m_Loop));
        auto Entry = entry(fmt::format("t{}", I).c_str(), *m_Targets.back(),
                           draw(3) == 0 ? "d2" : "d1", draw(8) == 0);
        Entry.Slots = 1 + static_cast<std::uint32_t>(draw(2));
        m_Daemon.Server->onTargetUpdated(Entry);
      }
      m_Daemon.Server->onDirectoryComplete();
      const auto Others = draw(9);
      for (unsigned I = 0; I < Others; ++I) {
        m_Calls.push_back(call(fmt::format("o{}", I)));
        m_Loop.run_for(2ms);
      }
      m_Loop.run_for(fromSeconds(0.04 * m_Random.uniform()));
    }

    /// What is reported, and then what happens.
    std::string report() {
      http::Request Message;
      Message.Head.Method = "GET";
      Message.Head.Target = path();
      Message.Head.Fields.add("Host", "h");
      Message.Head.Fields.add("Authorization", "Bearer k");
      Message.Head.Fields.add("X-Tokens", "300,50");
      const auto Report = m_Daemon.Server->explainPlacement(
          std::move(Message), "", std::chrono::steady_clock::now());
      m_AdmissionChance = Report.AdmissionChance;
      switch (Report.Outcome) {
      case PlacementReport::Result::Sent:
        return "sent to " + Report.Target;
      case PlacementReport::Result::Refused:
        return fmt::format("refused with {}", Report.Status);
      default:
        return "waits";
      }
    }
    std::string observe() {
      const auto Probe = call("probe");
      m_Loop.run_for(8ms);
      for (std::size_t I = 0; I < m_Targets.size(); ++I)
        for (const auto &Request : m_Targets[I]->Requests)
          if (attemptOf(Request) == "probe")
            return fmt::format("sent to t{}", I);
      return Probe->Answer.empty()
                 ? "waits"
                 : "refused with " + Probe->Answer.substr(9, 3);
    }

    /// Whether the last report said that the limit decides by chance.
    bool isByChance() const {
      return m_AdmissionChance > 0 && m_AdmissionChance < 1;
    }

  private:
    std::uint64_t draw(std::uint64_t Bound) { return m_Random.below(Bound); }
    std::string path() const { return "/p/x"; }
    std::unique_ptr<Call> call(const std::string &Attempt) {
      return std::make_unique<Call>(
          m_Loop, m_Daemon.Settings.CallerPort,
          fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                      "k\r\nX-Tokens: 300,50\r\nX-Attempt: {}\r\n\r\n",
                      path(), Attempt));
    }
    SeededRandom m_Random;
    asio::io_context m_Loop{1};
    HeaderNames m_Names;
    std::vector<std::unique_ptr<ScriptedTarget>> m_Targets;
    FleetDaemon m_Daemon;
    std::vector<std::unique_ptr<Call>> m_Calls;
    double m_AdmissionChance = 1;
  };

public:
  /// MANGODECK_PLACEMENT_STATES sets the number of states.
  void report_randomStates_isWhatThenHappens() {
    const auto *Wanted = std::getenv("MANGODECK_PLACEMENT_STATES");
    const auto Count = Wanted ? std::stoul(Wanted) : 60;
    std::map<std::string, unsigned> Seen;
    for (std::uint64_t Seed = 1; Seed <= Count; ++Seed) {
      State Drawn(Seed);
      const auto Reported = Drawn.report();
      const auto Observed = Drawn.observe();
      // Near a limit, requests are admitted by a draw that no report foresees.
      if (!Drawn.isByChance() || Observed != "refused with 429")
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", Seed), Reported,
                                     Observed);
      ++Seen[Reported.substr(0, Reported.find(' '))];
    }
    // The states are to be of all kinds.
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Seen.size());
  }

  void call_onMetricsPort_isAnsweredAndRateLimited() {
    asio::io_context Loop(1);
    const auto Names = testNames();
    FleetDaemon Daemon(Loop, Names, "vm-1", "d1", 1);
    ScriptedTarget Target(Loop);
    Daemon.Server->onPlan(fleetPlan(1s));
    Daemon.Server->onTargetUpdated(entry("t1", Target, "d1"));
    Daemon.Server->onDirectoryComplete();
    const std::string Bytes = "GET /where HTTP/1.1\r\nHost: x\r\nWhere-Host: "
                              "h\r\nWhere-Target: /p/x\r\n\r\n";
    Call First(Loop, Daemon.Settings.ReadyPort, Bytes);
    Loop.run_for(20ms);
    Call Second(Loop, Daemon.Settings.ReadyPort, Bytes);
    Loop.run_for(20ms);
    const auto Body =
        nlohmann::json::parse(First.Answer.substr(First.Answer.find('{')));
    CPPUNIT_ASSERT_EQUAL(std::string("sent"),
                         Body.at("outcome").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                         Body.at("target").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Body.at("candidates").size());
    CPPUNIT_ASSERT_EQUAL(std::string("429"), Second.Answer.substr(9, 3));
    CPPUNIT_ASSERT(Target.Requests.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementReportTest);

} // namespace mangodeck
