#include "fleetsupport.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <memory>
#include <vector>

namespace mangodeck {

/// Two gateways in two failure domains on loopback.
class SpillFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpillFleetTest);
  CPPUNIT_TEST(offers_firstDomainFull_useSlotsOfTheSecond);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against figures that do not reach the daemons: the reports, their
  /// codec, and the calls in the gateway.
  void offers_firstDomainFull_useSlotsOfTheSecond() {
    asio::io_context Loop(1);
    const auto Names = testNames();
    FleetDaemon First(Loop, Names, "vm-1", "d1", 1);
    FleetDaemon Second(Loop, Names, "vm-2", "d2", 2);
    const auto Connect = [](FleetDaemon &To, const FleetDaemon &Other) {
      To.Server->onPeerUpdated(
          Other.Settings.Vm,
          {Other.Settings.Ip, Other.Settings.PeerPort, Other.Settings.Domain});
    };
    Connect(First, Second);
    Connect(Second, First);
    ScriptedTarget Near(Loop);
    ScriptedTarget Far(Loop);
    std::vector<ScriptedTarget *> All = {&Near, &Far};
    for (auto *Each : All) {
      Each->AnswerDelay = 60ms;
      Each->Answer = [](const std::string &Request) {
        return "HTTP/1.1 200 OK\r\nX-Stamp: " + attemptOf(Request) +
               "\r\nContent-Length: 2\r\n\r\nok";
      };
    }
    for (auto *Daemon : {&First, &Second}) {
      auto Plan = std::make_shared<RoutePlan>(*fleetPlan(1s));
      Plan->Routes[0].LatencyTarget = 150ms;
      Plan->index();
      Daemon->Server->onPlan(Plan);
      for (std::size_t I = 0; I < All.size(); ++I) {
        TargetEntry Entry;
        Entry.Id = TargetName(fmt::format("t{}", I + 1));
        Entry.Service = ServiceName("s");
        Entry.Domain = FailureDomain(fmt::format("d{}", I + 1));
        Entry.Ip = "127.0.0.1";
        Entry.Port = All[I]->port();
        Entry.Slots = I == 0 ? 2 : 6;
        Daemon->Server->onTargetUpdated(Entry);
      }
      Daemon->Server->onDirectoryComplete();
    }
    std::vector<std::unique_ptr<SteadyCaller>> Callers;
    for (int I = 0; I < 6; ++I)
      Callers.push_back(std::make_unique<SteadyCaller>(
          Loop, First.Settings.CallerPort,
          [I](unsigned Number) {
            return fmt::format("GET /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt: "
                               "a-{}-{}\r\n\r\n",
                               I, Number);
          },
          5ms));
    Loop.run_for(4s);
    const auto Text = First.Metrics.serialize();
    CPPUNIT_ASSERT_MESSAGE(
        Text, Text.find("mangodeck_domain_exits_total{rule=\"offered\"") !=
                  Text.npos);
    CPPUNIT_ASSERT(Far.Requests.size() > 30);
    for (const auto &Caller : Callers)
      CPPUNIT_ASSERT(Caller->Served > 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpillFleetTest);

} // namespace mangodeck
