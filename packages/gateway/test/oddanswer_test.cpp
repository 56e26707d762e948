#include "fleetsupport.h"
#include "gatewaysupport.h"

#include "mangodeck/gateway/gateway.h"
#include "mangodeck/http/message.h"

#include <array>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <fmt/format.h>

namespace mangodeck {

namespace {

/// An answer that breaks one rule, and what the daemon says of it.
struct OddAnswer {
  std::string Bytes;
  std::string Fault;
};

std::string answer(const std::string &StatusLine, const std::string &Fields,
                   const std::string &Rest) {
  return StatusLine + "\r\nX-Stamp: s\r\nX-Attempt: 1\r\n" + Fields + "\r\n" +
         Rest;
}

const std::string Sound =
    answer("HTTP/1.1 200 OK", "Content-Length: 4\r\n", "paid");

std::vector<OddAnswer> oddAnswers() {
  const std::string Ok = "HTTP/1.1 200 OK";
  const std::string Length = "Content-Length: 4\r\n";
  const std::string Chunks = "Transfer-Encoding: chunked\r\n";
  return {
      {answer("HTTP/1.1 000 OK", Length, "paid"), "invalid status line"},
      {answer("HTTP/1.1 099 OK", Length, "paid"), "invalid status line"},
      {answer("HTTP/1.1 20 OK", Length, "paid"), "invalid status line"},
      {answer("HTTP/1.1 600 OK", Length, "paid"), "invalid status line"},
      {answer(Ok, "X Y: 1\r\n" + Length, "paid"), "invalid field line"},
      {answer(Ok, "X\x01Y: 1\r\n" + Length, "paid"), "control character"},
      {answer(Ok, "X: \x01\r\n" + Length, "paid"), "control character"},
      {answer(Ok, "Content-Length : 4\r\n", "paidpaid"), "invalid field line"},
      {answer(Ok, Length + Length, "paid"), "ambiguous length"},
      {answer(Ok, Length + Chunks, "0\r\n\r\n"), "ambiguous length"},
      {answer(Ok, Chunks, "4\rXpaid\r\n0\r\n\r\n"), "control character"},
      {answer(Ok, Chunks, "4\r\npaidXX0\r\n\r\n"), "no CRLF"},
      {answer(Ok, Chunks, "4 \r\npaid\r\n0\r\n\r\n"), "chunk extension"},
      {answer(Ok, Chunks, "4\r\npaid\r\n0\r\nX Y: 1\r\n\r\n"),
       "invalid field line"},
      {answer("HTTP/1.1 204 No Content", Length, "paid"),
       "status without content"},
      {"HTTP/1.1 200 OK\rX" + Sound.substr(17), "control character"},
  };
}

} // namespace

/// A daemon before one target that answers in ways which readers of HTTP take
/// differently, or breaks its answer off.
class OddAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddAnswerTest);
  CPPUNIT_TEST(answer_oddOnNewConnection_callerGetsFailure);
  CPPUNIT_TEST(answer_oddOnKeptConnection_callerGetsFailure);
  CPPUNIT_TEST(answer_oddToRepeatableRequest_secondTargetAnswers);
  CPPUNIT_TEST(stream_oddAnswer_callerGetsFailure);
  CPPUNIT_TEST(stream_oddAnswerOnResumption_isNotComplete);
  CPPUNIT_TEST(answer_behindBrokenOffCopy_callerGetsFailure);
  CPPUNIT_TEST(answer_behindBrokenOffRefusal_isNotSentAgain);
  CPPUNIT_TEST(answer_behindBrokenOffCopyOnNewConnection_callerGetsFailure);
  CPPUNIT_TEST(answer_headStops_callerGetsFailure);
  CPPUNIT_TEST(answer_headStopsOnKeptConnection_callerGetsFailure);
  CPPUNIT_TEST(stream_headStops_callerGetsFailure);
  CPPUNIT_TEST(stream_headStopsOnResumption_isNotComplete);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    for (auto &Target : m_Targets)
      Target.emplace(*m_Loop);
    m_Daemon.emplace(*m_Loop, m_Names, "vm-1", "a", 1);
  }
  void tearDown() override {
    m_Callers.clear();
    m_Daemon.reset();
    for (auto &Target : m_Targets)
      Target.reset();
    m_Loop.reset();
  }

  // Regression: an answer with the status 000 or an invalid field was passed
  // on.
  void answer_oddOnNewConnection_callerGetsFailure() {
    for (const auto &Odd : oddAnswers())
      checkFailure(RouteKind::NonIdempotent, "", {Odd.Bytes}, Odd.Fault);
  }

  void answer_oddOnKeptConnection_callerGetsFailure() {
    for (const auto &Odd : oddAnswers())
      checkFailure(RouteKind::NonIdempotent, Sound, {Odd.Bytes}, Odd.Fault);
  }

  void answer_oddToRepeatableRequest_secondTargetAnswers() {
    for (const auto &Odd : oddAnswers()) {
      restart(RouteKind::Idempotent, 2);
      int Asked = 0;
      for (auto &Target : m_Targets)
        Target->ScriptFor = [&](const std::string &) {
          return ScriptedTarget::Script{++Asked == 1 ? Odd.Bytes : Sound};
        };
      const auto Got = ask();
      CPPUNIT_ASSERT_MESSAGE(Got, Got.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT_EQUAL(2, Asked);
    }
  }

  void stream_oddAnswer_callerGetsFailure() {
    const std::string Head = "Content-Type: text/event-stream\r\n";
    const std::string Chunks = Head + "Transfer-Encoding: chunked\r\n";
    for (const auto &Odd :
         {OddAnswer{answer("HTTP/1.1 000 OK", Head, event(1)),
                    "invalid status line"},
          {answer("HTTP/1.1 200 OK", Head + "X Y: 1\r\n", event(1)),
           "invalid field line"},
          {answer("HTTP/1.1 200 OK", Chunks, "1c \r\n" + event(1) + "\r\n"),
           "chunk extension"}})
      checkFailure(RouteKind::Stream, "", {Odd.Bytes, true}, Odd.Fault);
  }

  void stream_oddAnswerOnResumption_isNotComplete() {
    const std::string Head = "Content-Type: text/event-stream\r\n";
    const std::string Chunks = Head + "Transfer-Encoding: chunked\r\n";
    const ScriptedTarget::Script First{
        answer("HTTP/1.1 200 OK", Chunks, chunk(event(1))), true};
    for (const auto &Second :
         {answer("HTTP/1.1 000 OK", Chunks, chunk(event(2)) + "0\r\n\r\n"),
          answer("HTTP/1.1 200 OK", Chunks + "X Y: 1\r\n",
                 chunk(event(2)) + "0\r\n\r\n"),
          answer("HTTP/1.1 200 OK", Chunks, "10 \r\n" + event(2) + "\r\n0\r\n"),
          answer("HTTP/1.1 200 OK", Chunks, "0\r\nX Y: 1\r\n\r\n")}) {
      restart(RouteKind::Stream, 2);
      int Asked = 0;
      for (auto &Target : m_Targets)
        Target->ScriptFor = [&](const std::string &) {
          return ++Asked == 1 ? First : ScriptedTarget::Script{Second};
        };
      const auto Got = ask();
      CPPUNIT_ASSERT_EQUAL(2, Asked);
      CPPUNIT_ASSERT_MESSAGE(Got, Got.find("piece-1") != Got.npos);
      CPPUNIT_ASSERT_MESSAGE(Got, Got.find("piece-2") == Got.npos);
      CPPUNIT_ASSERT_MESSAGE(Got, !Got.ends_with(http::LastChunk));
    }
  }

  // Regression: the status of a late copy that was broken off was passed on
  // with the fields and the body of the next answer.
  void answer_behindBrokenOffCopy_callerGetsFailure() {
    const auto Failed =
        answer("HTTP/1.1 500 Failed", "Content-Length: 4\r\n", "paid");
    for (const auto &[Copy, Next] :
         {std::pair(Failed, Sound), std::pair(Sound, Failed)})
      for (std::size_t Size = 1; Size < Copy.find("paid"); ++Size)
        checkFailure(RouteKind::NonIdempotent, Sound,
                     {Copy.substr(0, Size) + Next}, "malformed answer");
  }

  void answer_behindBrokenOffRefusal_isNotSentAgain() {
    const std::string Refusal =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n";
    for (const std::size_t Size : {Refusal.size() - 2, Refusal.size() - 3}) {
      restart(RouteKind::NonIdempotent, 2);
      int Asked = 0;
      for (auto &Target : m_Targets)
        Target->ScriptFor = [&](const std::string &) {
          return ScriptedTarget::Script{
              ++Asked > 2 ? Refusal.substr(0, Size) + Sound : Sound};
        };
      // The targets take turns, so that both connections are kept.
      CPPUNIT_ASSERT(ask().starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT(ask().starts_with("HTTP/1.1 200"));
      const auto Got = ask();
      CPPUNIT_ASSERT_MESSAGE(Got, Got.starts_with("HTTP/1.1 502"));
      CPPUNIT_ASSERT_EQUAL(3, Asked);
    }
  }

  void answer_behindBrokenOffCopyOnNewConnection_callerGetsFailure() {
    const std::string Refusal =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1";
    for (std::size_t Size = 1; Size <= Refusal.size(); ++Size)
      checkFailure(RouteKind::NonIdempotent, "",
                   {Refusal.substr(0, Size) + Sound}, "malformed answer");
  }

  // A head that stops at any byte, by whatever the body would have ended.
  void answer_headStops_callerGetsFailure() {
    for (const auto &Each : brokenHeads(""))
      checkFailure(RouteKind::NonIdempotent, "", Each, "End of file");
  }

  void answer_headStopsOnKeptConnection_callerGetsFailure() {
    for (const auto &Each : brokenHeads(""))
      checkFailure(RouteKind::NonIdempotent, Sound, Each, "End of file");
  }

  void stream_headStops_callerGetsFailure() {
    for (const auto &Each : brokenHeads("Content-Type: text/event-stream\r\n"))
      checkFailure(RouteKind::Stream, "", Each, "End of file");
  }

  void stream_headStopsOnResumption_isNotComplete() {
    const std::string Type = "Content-Type: text/event-stream\r\n";
    const ScriptedTarget::Script First{
        answer("HTTP/1.1 200 OK", Type + "Transfer-Encoding: chunked\r\n",
               chunk(event(1))),
        true};
    for (const auto &Second : brokenHeads(Type)) {
      restart(RouteKind::Stream, 2);
      int Asked = 0;
      for (auto &Target : m_Targets)
        Target->ScriptFor = [&](const std::string &) {
          return ++Asked == 1 ? First : Second;
        };
      const auto Got = ask();
      CPPUNIT_ASSERT_EQUAL(2, Asked);
      CPPUNIT_ASSERT_MESSAGE(Got, Got.find("piece-1") != Got.npos);
      CPPUNIT_ASSERT_MESSAGE(Got, !Got.ends_with(http::LastChunk));
    }
  }

private:
  static std::string event(int Id) {
    return fmt::format("id: {}\ndata: piece-{}\n\n", Id, Id);
  }
  static std::string chunk(const std::string &Data) {
    std::string Bytes;
    http::appendChunk(Bytes, Data);
    return Bytes;
  }

  static std::vector<ScriptedTarget::Script>
  brokenHeads(const std::string &Type) {
    std::vector<ScriptedTarget::Script> Result;
    for (const std::string Length :
         {"", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n"}) {
      const auto Head = answer("HTTP/1.1 200 OK", Type + Length, "");
      for (std::size_t Size = 1; Size < Head.size(); ++Size)
        Result.push_back({Head.substr(0, Size), true});
    }
    Result.push_back({"HTTP/1.1 100 Continue\r\n\r\n", true});
    return Result;
  }

  /// The caller of a request that is not repeated is told that it may have run,
  /// and why, and gets nothing of the answer. With \p Before, that answer keeps
  /// the connection.
  void checkFailure(RouteKind Kind, const std::string &Before,
                    const ScriptedTarget::Script &Odd,
                    const std::string &Fault) {
    restart(Kind, 1);
    if (!Before.empty()) {
      m_Targets[0]->Scripts.push_back({Before});
      CPPUNIT_ASSERT(ask().starts_with("HTTP/1.1 200"));
    }
    m_Targets[0]->Scripts.push_back(Odd);
    const auto Got = ask();
    const auto Seen = Odd.Bytes + "\n-> " + Got;
    CPPUNIT_ASSERT_MESSAGE(Seen, Got.starts_with("HTTP/1.1 502"));
    CPPUNIT_ASSERT_MESSAGE(Seen, Got.find("X-Stamp") == Got.npos);
    CPPUNIT_ASSERT_MESSAGE(Seen, Got.find(Fault) != Got.npos);
  }

  void restart(RouteKind Kind, unsigned Targets) {
    tearDown();
    setUp();
    auto Plan = std::make_shared<RoutePlan>();
    Plan->Version = 1;
    Route Each;
    Each.Name = "r";
    Each.Host = "h";
    Each.Prefix = "/p/";
    Each.Kind = Kind;
    Each.Timeout = 10s;
    Each.LatencyTarget = 3s;
    Each.GapTarget = 300ms;
    Each.Attempts = Targets;
    Each.Resumable = Kind == RouteKind::Stream;
    Each.Shares = {{ServiceName("s"), 1}};
    Plan->Routes = {Each};
    Plan->index();
    m_Daemon->Server->onPlan(Plan);
    for (unsigned I = 0; I < Targets; ++I) {
      auto Entry = entry(fmt::format("t{}", I).c_str(), *m_Targets[I], "a");
      Entry.Slots = 64;
      m_Daemon->Server->onTargetUpdated(Entry);
    }
    m_Daemon->Server->onDirectoryComplete();
  }

  /// Sends a request and returns what its caller gets within a second, up to
  /// the end of the answer.
  std::string ask() {
    auto &Caller = m_Callers.emplace_back(*m_Loop);
    Caller.connect(
        {asio::ip::make_address("127.0.0.1"), m_Daemon->Settings.CallerPort});
    asio::write(Caller, asio::buffer(std::string(
                            "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt: 1\r\n"
                            "Connection: close\r\n\r\n")));
    Caller.non_blocking(true);
    std::string Got;
    std::array<char, 16384> Buffer;
    const auto End = std::chrono::steady_clock::now() + 1s;
    while (std::chrono::steady_clock::now() < End) {
      m_Loop->restart();
      m_Loop->run_for(1ms);
      std::error_code Error;
      Got.append(Buffer.data(), Caller.read_some(asio::buffer(Buffer), Error));
      if (Error && Error != asio::error::would_block)
        break;
    }
    return Got;
  }

  const HeaderNames m_Names = testNames();
  std::optional<asio::io_context> m_Loop;
  std::array<std::optional<ScriptedTarget>, 2> m_Targets;
  std::optional<FleetDaemon> m_Daemon;
  std::deque<asio::ip::tcp::socket> m_Callers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddAnswerTest);

} // namespace mangodeck
