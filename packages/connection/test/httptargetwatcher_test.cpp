#include "mangodeck/connection/httptargetwatcher.h"

#include "rawcaller.h"
#include "recordinghandler.h"
#include "targetevents.h"

#include "mangodeck/connection/callerserver.h"
#include "mangodeck/testing/childprocess.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <functional>

namespace mangodeck {

using testing::ChildProcess;

namespace {

/// Keeps what a watcher reports, in order, as short texts.
class RecordingReports : public TargetReportHandler {
public:
  void onLoad(const LoadReport &Report) override {
    add(Report.Leaving ? "leaving" : "load");
  }
  void onCache(const CacheEvent &Report) override {
    add(fmt::format("cache {} +{}", Report.Sequence, Report.Stored.size()));
  }
  void onUp(const TargetName &Target, Incarnation Started) override {
    add(fmt::format("up {} {}", Target.Text, Started));
  }
  void onDown(const TargetName &Target) override { add("down " + Target.Text); }

  /// Waits for a report with \p Text after those awaited before.
  bool await(const std::string &Text) {
    std::unique_lock Lock(m_Mutex);
    return m_Changed.wait_for(Lock, TestWaitLimit, [&] {
      while (m_Next < m_Reports.size())
        if (m_Reports[m_Next++] == Text)
          return true;
      return false;
    });
  }

  std::size_t count(const std::string &Text) {
    const std::lock_guard Lock(m_Mutex);
    return static_cast<std::size_t>(
        std::count(m_Reports.begin(), m_Reports.end(), Text));
  }

private:
  void add(std::string Text) {
    const std::lock_guard Lock(m_Mutex);
    m_Reports.push_back(std::move(Text));
    m_Changed.notify_all();
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::vector<std::string> m_Reports;
  std::size_t m_Next = 0;
};

} // namespace

class HttpTargetWatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTargetWatcherTest);
  CPPUNIT_TEST(target_reporting_isUpAndItsLoadArrives);
  CPPUNIT_TEST(target_leaving_isReported);
  CPPUNIT_TEST(target_storingPrefixes_isReported);
  CPPUNIT_TEST(target_killedAndStartedAgain_isDownThenUp);
  CPPUNIT_TEST(target_stopped_isDown);
  CPPUNIT_TEST(link_goesSilent_isReplacedWithoutReport);
  CPPUNIT_TEST(target_withoutEvents_isUp);
  CPPUNIT_TEST(events_malformed_areLeftOut);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    TargetWatcherOptions Options;
    Options.Silence = 400ms;
    Options.ProbePeriod = 50ms;
    Options.ReconnectDelay = 20ms;
    Options.MaxReconnectDelay = 100ms;
    m_Reports = std::make_unique<RecordingReports>();
    m_Watcher = std::make_unique<HttpTargetWatcher>(Options, *m_Reports);
  }

  void tearDown() override {
    m_Watcher.reset();
    m_Relay.reset();
    m_Target.reset();
  }

  void target_reporting_isUpAndItsLoadArrives() {
    startTarget("127.0.0.1:0", 7);
    m_Watcher->watch(m_Name, m_Target->address());
    CPPUNIT_ASSERT(m_Reports->await("up t 7"));
    CPPUNIT_ASSERT(m_Reports->await("load"));
    CPPUNIT_ASSERT(m_Reports->await("load"));
  }

  void target_leaving_isReported() {
    startTarget("127.0.0.1:0", 7);
    m_Watcher->watch(m_Name, m_Target->address());
    CPPUNIT_ASSERT(m_Reports->await("load"));
    callOnce(m_Target->address(), "POST", "/standin/faults",
             R"({"leaving":true})");
    CPPUNIT_ASSERT(m_Reports->await("leaving"));
  }

  void target_storingPrefixes_isReported() {
    startTarget("127.0.0.1:0", 7);
    m_Watcher->watch(m_Name, m_Target->address());
    CPPUNIT_ASSERT(m_Reports->await("load"));
    const RawCaller Caller(portOf(m_Target->address()));
    Caller.send(
        "POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
        "X-Mangodeck-Prefix: 00000000000000aa,00000000000000bb\r\n"
        "Content-Length: 2\r\n\r\n{}");
    CPPUNIT_ASSERT(m_Reports->await("cache 1 +2"));
  }

  void target_killedAndStartedAgain_isDownThenUp() {
    startTarget("127.0.0.1:0", 7);
    const auto Address = m_Target->address();
    m_Watcher->watch(m_Name, Address);
    CPPUNIT_ASSERT(m_Reports->await("up t 7"));
    m_Target->kill(SIGKILL);
    CPPUNIT_ASSERT(m_Reports->await("down t"));
    startTarget(Address, 8);
    CPPUNIT_ASSERT(m_Reports->await("up t 8"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Reports->count("down t"));
  }

  void target_stopped_isDown() {
    startTarget("127.0.0.1:0", 7);
    m_Watcher->watch(m_Name, m_Target->address());
    CPPUNIT_ASSERT(m_Reports->await("load"));
    m_Target->send(SIGSTOP);
    CPPUNIT_ASSERT(m_Reports->await("down t"));
    m_Target->send(SIGCONT);
    CPPUNIT_ASSERT(m_Reports->await("up t 7"));
  }

  void link_goesSilent_isReplacedWithoutReport() {
    startTarget("127.0.0.1:0", 7);
    m_Relay = std::make_unique<ChildProcess>(
        std::vector<std::string>{testing::findProgram("standin-relay"),
                                 "--target", m_Target->address()});
    const auto Control = m_Relay->readValue();
    m_Watcher->watch(m_Name, m_Relay->address());
    CPPUNIT_ASSERT(m_Reports->await("load"));
    callOnce(Control, "POST", "/link", R"({"silent":true})");
    callOnce(m_Target->address(), "POST", "/standin/faults",
             R"({"leaving":true})");
    CPPUNIT_ASSERT(m_Reports->await("leaving"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Reports->count("down t"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Reports->count("up t 7"));
  }

  void target_withoutEvents_isUp() {
    RecordingHandler Handler;
    CallerServer Target({}, Handler);
    CPPUNIT_ASSERT(!Target.start());
    m_Watcher->watch(m_Name, fmt::format("127.0.0.1:{}", Target.port()));
    for (std::size_t I = 0; I < 3; ++I) {
      const auto Exchange = Handler.await(I);
      CPPUNIT_ASSERT(Exchange);
      Exchange->respond(404, {}, "");
    }
    CPPUNIT_ASSERT(m_Reports->await("up t 0"));
    Target.stop(Duration{0});
    CPPUNIT_ASSERT(m_Reports->await("down t"));
  }

  void events_malformed_areLeftOut() {
    CPPUNIT_ASSERT(!parseTargetEvent("load", "{"));
    CPPUNIT_ASSERT(!parseTargetEvent("load", R"({"incarnation":1})"));
    CPPUNIT_ASSERT(!parseTargetEvent(
        "load", R"({"incarnation":1,"age_ms":0,"running":-1,"waiting":0})"));
    CPPUNIT_ASSERT(!parseTargetEvent(
        "cache", R"({"incarnation":1,"sequence":1,"stored":["xyz"]})"));
    CPPUNIT_ASSERT(!parseTargetEvent("state", R"({"state":"other"})"));
    CPPUNIT_ASSERT(!parseTargetEvent("weather", "{}"));
    CPPUNIT_ASSERT(parseTargetEvent(
        "load", R"({"incarnation":1,"age_ms":0,"running":1,"waiting":0})"));
  }

private:
  const TargetName m_Name{"t"};

  void startTarget(const std::string &Address, int Started) {
    m_Target = std::make_unique<ChildProcess>(std::vector<std::string>{
        testing::findProgram("standin-target"), "--address", Address,
        "--incarnation", std::to_string(Started), "--report-period", "50"});
    CPPUNIT_ASSERT(!m_Target->address().empty());
  }

  std::unique_ptr<RecordingReports> m_Reports;
  std::unique_ptr<HttpTargetWatcher> m_Watcher;
  std::unique_ptr<ChildProcess> m_Target;
  std::unique_ptr<ChildProcess> m_Relay;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTargetWatcherTest);

} // namespace mangodeck
