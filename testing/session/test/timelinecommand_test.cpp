#include "mangodeck/connection/callerserver.h"
#include "mangodeck/process/timelineformat.h"
#include "mangodeck/testing/childprocess.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace mangodeck {

/// Serves /timeline of one ring, three events at a time.
class TimelineServer : public CallerHandler {
public:
  explicit TimelineServer(std::string_view Vm) : m_Vm(Vm) {
    CPPUNIT_ASSERT(!m_Server.start());
  }

  void handle(std::shared_ptr<CallerExchange> Exchange) override {
    const auto &Path = Exchange->request().Path;
    auto Query = parseTimelineQuery(Path.substr(Path.find('?') + 1));
    if (!Query)
      return Exchange->respond(400, {}, "");
    Query->Limit = 3;
    Exchange->respond(200, {}, toJson(queryTimeline(m_Vm, Ring, *Query)));
  }

  std::string address() const {
    return fmt::format("127.0.0.1:{}", m_Server.port());
  }

private:
  VmName m_Vm;
  SystemClock m_Source;
  HybridClock m_Stamps{m_Source};
  CallerServer m_Server{{}, *this};

public:
  Timeline Ring{1000, m_Stamps};
};

class TimelineCommandTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimelineCommandTest);
  CPPUNIT_TEST(timeline_twoDaemons_followsOneRequest);
  CPPUNIT_TEST(timeline_severalPages_areAllPrinted);
  CPPUNIT_TEST(timeline_daemonUnreachable_printsTheOthersAndFails);
  CPPUNIT_TEST(timeline_wrongArgument_exitsInvalid);
  CPPUNIT_TEST_SUITE_END();

public:
  void timeline_twoDaemons_followsOneRequest() {
    m_A.Ring.record({EventKind::RequestArrived, {1, 2}, "", ""});
    m_B.Ring.record({EventKind::TicketQueued, {1, 2}, "", ""});
    m_B.Ring.record({EventKind::TicketQueued, {7, 7}, "", ""});
    const auto Result =
        run("--request " + toString(RequestId{1, 2}) + " --json");
    CPPUNIT_ASSERT_EQUAL(0, Result.Code);
    const auto Events = nlohmann::json::parse(Result.Output).at("events");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Events.size());
    CPPUNIT_ASSERT(Events[0].at("vm") == "vm-a");
    CPPUNIT_ASSERT(Events[1].at("kind") == "ticket-queued");
  }

  void timeline_severalPages_areAllPrinted() {
    for (int I = 0; I < 10; ++I)
      m_A.Ring.record({EventKind::TargetUp, {}, std::to_string(I), ""});
    const auto Result = run("--format chrome");
    CPPUNIT_ASSERT_EQUAL(0, Result.Code);
    const auto Trace = nlohmann::json::parse(Result.Output);
    CPPUNIT_ASSERT_EQUAL(std::size_t(11), Trace.at("traceEvents").size());
  }

  void timeline_daemonUnreachable_printsTheOthersAndFails() {
    m_A.Ring.record({EventKind::StoreUp, {}, "", ""});
    const auto Result = run("--daemon 127.0.0.1:1 2>/dev/null");
    CPPUNIT_ASSERT_EQUAL(1, Result.Code);
    CPPUNIT_ASSERT(Result.Output.find("event=store-up") != std::string::npos);
  }

  void timeline_wrongArgument_exitsInvalid() {
    CPPUNIT_ASSERT_EQUAL(2, run("--request 12 2>/dev/null").Code);
    CPPUNIT_ASSERT_EQUAL(2, run("--format svg 2>/dev/null").Code);
  }

private:
  struct Outcome {
    int Code = -1;
    std::string Output;
  };

  Outcome run(const std::string &Arguments) {
    const auto Line = fmt::format("{} timeline --daemon {} --daemon {} {}",
                                  testing::findProgram("mangodeck"),
                                  m_A.address(), m_B.address(), Arguments);
    Outcome Result;
    FILE *Pipe = ::popen(Line.c_str(), "r");
    CPPUNIT_ASSERT(Pipe);
    std::array<char, 4096> Buffer;
    while (const auto Size = std::fread(Buffer.data(), 1, Buffer.size(), Pipe))
      Result.Output.append(Buffer.data(), Size);
    const int Status = ::pclose(Pipe);
    Result.Code = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
    return Result;
  }

  TimelineServer m_A{"vm-a"};
  TimelineServer m_B{"vm-b"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineCommandTest);

} // namespace mangodeck
