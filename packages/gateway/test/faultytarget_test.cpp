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

constexpr const char *ErrorText = "error-text-of-the-second-target";
/// What a target may have written before its connection is closed: the bytes
/// that the daemon reads of it, and the socket buffers of both ends.
constexpr std::size_t MaxBytesOfHead = 9 << 20;
constexpr std::size_t MaxBytesOfBody = 13 << 20;

std::string resumableHead() {
  return "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Attempt: 1\r\n"
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string pieceChunk(int Id) {
  std::string Bytes;
  http::appendChunk(Bytes, fmt::format("id: {}\ndata: piece-{}\n\n", Id, Id));
  return Bytes;
}

std::string answer(int Status, const std::string &Fields,
                   const std::string &Body) {
  return fmt::format("HTTP/1.1 {} X\r\nX-Attempt: 1\r\n{}"
                     "Content-Length: {}\r\n\r\n{}",
                     Status, Fields, Body.size(), Body);
}

} // namespace

/// Targets that send bytes without end, and streams whose second target answers
/// with an error; a daemon that stops while requests keep arriving.
class FaultyTargetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultyTargetTest);
  CPPUNIT_TEST(answer_statusLineWithoutEnd_isGivenUp);
  CPPUNIT_TEST(answer_fieldsWithoutEnd_isGivenUp);
  CPPUNIT_TEST(answer_noHttpWithoutEnd_isGivenUp);
  CPPUNIT_TEST(answer_chunkSizeWithoutEnd_isGivenUp);
  CPPUNIT_TEST(answer_chunkExtensionWithoutEnd_isGivenUp);
  CPPUNIT_TEST(answer_trailersWithoutEnd_isGivenUp);
  CPPUNIT_TEST(answer_chunksWithoutEnd_isGivenUp);
  CPPUNIT_TEST(answers_withoutEndToManyCallers_leaveOthersServed);
  CPPUNIT_TEST(stream_secondTargetAnswersWithError_callerGetsOnlyEvents);
  CPPUNIT_TEST(stream_secondTargetsErrorInPieces_callerGetsOnlyEvents);
  CPPUNIT_TEST(stream_secondTargetAnswersWithoutEvents_isNotComplete);
  CPPUNIT_TEST(stream_thirdTargetGoesOnAfterError_isWhole);
  CPPUNIT_TEST(stop_requestsThroughWholeGrace_noneIsCut);
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

  void answer_statusLineWithoutEnd_isGivenUp() {
    checkGivenUp("HTTP/1.1 200 ", std::string(1024, 'x'), MaxBytesOfHead);
  }
  void answer_fieldsWithoutEnd_isGivenUp() {
    checkGivenUp("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", MaxBytesOfHead);
  }
  void answer_noHttpWithoutEnd_isGivenUp() {
    checkGivenUp("", std::string("\0\xff\r\n no answer", 14), MaxBytesOfHead);
  }
  void answer_chunkSizeWithoutEnd_isGivenUp() {
    checkGivenUp(chunkedHead(), std::string(1024, '0'), MaxBytesOfBody);
  }
  void answer_chunkExtensionWithoutEnd_isGivenUp() {
    checkGivenUp(chunkedHead() + "5;", std::string(1024, 'x'), MaxBytesOfBody);
  }
  void answer_trailersWithoutEnd_isGivenUp() {
    checkGivenUp(chunkedHead() + "0\r\n", "X-Trailer: value\r\n",
                 MaxBytesOfBody);
  }
  void answer_chunksWithoutEnd_isGivenUp() {
    checkGivenUp(chunkedHead(), "400\r\n" + std::string(1024, 'x') + "\r\n",
                 MaxBytesOfBody);
  }

  void answers_withoutEndToManyCallers_leaveOthersServed() {
    configure(RouteKind::Idempotent, 1);
    addTarget(0);
    m_Targets[0]->ScriptFor = [&](const std::string &) {
      ScriptedTarget::Script Next{chunkedHead()};
      Next.Endless = "400\r\n" + std::string(1024, 'x') + "\r\n";
      return Next;
    };
    for (int I = 0; I < 30; ++I)
      send("1");
    run(1500ms);
    m_Targets[1]->Answer = [](const std::string &) {
      return answer(200, "X-Stamp: s\r\n", "ok");
    };
    addTarget(1);
    auto &Other = send("1");
    run(1s);
    const auto Got = received(Other);
    CPPUNIT_ASSERT_MESSAGE(Got, Got.starts_with("HTTP/1.1 200"));
  }

  void stream_secondTargetAnswersWithError_callerGetsOnlyEvents() {
    for (const auto &Second :
         {answer(500, "X-Stamp: t\r\nContent-Type: text/plain\r\n", ErrorText),
          answer(500, "Content-Type: text/event-stream\r\n",
                 fmt::format("id: 3\ndata: {}\n\n", ErrorText)),
          answer(404, "", ErrorText), answer(502, "", ErrorText),
          answer(503, "X-Not-Executed: 1\r\n", ErrorText),
          answer(421, "X-Not-Executed: 1\r\n", ErrorText),
          fmt::format("HTTP/1.1 500 X\r\nX-Attempt: 1\r\n\r\n{}", ErrorText),
          fmt::format("HTTP/1.0 500 X\r\n\r\n{}", ErrorText),
          fmt::format("{}\r\n\r\n", ErrorText)})
      checkStream({resumableHead() + pieceChunk(1) + pieceChunk(2), true},
                  {Second, true});
  }

  void stream_secondTargetsErrorInPieces_callerGetsOnlyEvents() {
    ScriptedTarget::Script Second{"HTTP/1.1 500 X\r\nX-Att"};
    Second.Drips = {"empt: 1\r\nContent-Length: 31\r\n", "\r\nerror-text-of",
                    "-the-second-target"};
    checkStream({resumableHead() + pieceChunk(1) + pieceChunk(2), true},
                Second);
  }

  void stream_secondTargetAnswersWithoutEvents_isNotComplete() {
    for (const auto &Second :
         {answer(200, "X-Stamp: t\r\nContent-Type: text/plain\r\n", ErrorText),
          answer(204, "X-Stamp: t\r\n", "")})
      checkStream({resumableHead() + pieceChunk(1) + pieceChunk(2), true},
                  {Second, true});
  }

  void stream_thirdTargetGoesOnAfterError_isWhole() {
    configure(RouteKind::Stream, 3);
    for (std::size_t I = 0; I < m_Targets.size(); ++I)
      addTarget(I);
    // The targets are used in an order that is not known.
    int Asked = 0;
    for (auto &Target : m_Targets)
      Target->ScriptFor = [&](const std::string &) -> ScriptedTarget::Script {
        ++Asked;
        if (Asked == 1) // Breaks off in the middle of an event.
          return {resumableHead() + pieceChunk(1) + "5\r\nid: 2", true};
        if (Asked == 2)
          return {answer(500, "X-Stamp: t\r\n", ErrorText), true};
        return {resumableHead() + pieceChunk(2) + "0\r\n\r\n"};
      };
    auto &Caller = send("1");
    run(1500ms);
    const auto Got = received(Caller);
    CPPUNIT_ASSERT_MESSAGE(Got, Got.find(ErrorText) == Got.npos);
    CPPUNIT_ASSERT_MESSAGE(Got, Got.find("piece-1") != Got.npos);
    CPPUNIT_ASSERT(count(Got, "piece-2") <= 1);
    CPPUNIT_ASSERT(count(Got, "HTTP/1.") == 1);
    if (Got.ends_with(http::LastChunk))
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(Got, "piece-2"));
  }

  // Requests that come late in the grace would be cut at its end.
  void stop_requestsThroughWholeGrace_noneIsCut() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget(0);
    m_Targets[0]->AnswerDelay = 1500ms;
    m_Targets[0]->Answer = [](const std::string &) {
      return answer(200, "X-Stamp: s\r\n", "ok");
    };
    // A connection that was used before the stop stays open.
    auto &Kept = send("1");
    run(1700ms);
    CPPUNIT_ASSERT(received(Kept).starts_with("HTTP/1.1 200"));
    m_Daemon->Server->stop();
    const auto Stopped = std::chrono::steady_clock::now();
    std::size_t Passed = 0;
    std::vector<asio::ip::tcp::socket *> Asked;
    // At the start of the grace on new connections, then for its rest.
    while (std::chrono::steady_clock::now() - Stopped < 6500ms) {
      Asked.push_back(trySend("1"));
      run(250ms);
      if (std::chrono::steady_clock::now() - Stopped > 3s && Passed == 0)
        Passed = m_Targets[0]->Requests.size();
    }
    run(2s);
    std::size_t Served = 0;
    for (auto *Caller : Asked) {
      if (!Caller)
        continue; // Not accepted, so nothing was read.
      const auto Got = received(*Caller);
      Served += Got.starts_with("HTTP/1.1 200") ? 1 : 0;
      CPPUNIT_ASSERT_MESSAGE("'" + Got + "'",
                             Got.starts_with("HTTP/1.1 200") ||
                                 Got.starts_with("HTTP/1.1 503"));
    }
    CPPUNIT_ASSERT(Served > 5);
    // None was passed on after the time in which the balancer notices the stop.
    CPPUNIT_ASSERT_EQUAL(Passed, m_Targets[0]->Requests.size());
  }

private:
  static std::string chunkedHead() {
    return "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Attempt: 1\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }

  static std::size_t count(const std::string &Text, const std::string &Part) {
    std::size_t Count = 0;
    for (auto At = Text.find(Part); At != Text.npos;
         At = Text.find(Part, At + 1))
      ++Count;
    return Count;
  }

  void configure(RouteKind Kind, unsigned Attempts) {
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
    Each.Attempts = Attempts;
    Each.Resumable = Kind == RouteKind::Stream;
    Each.Shares = {{ServiceName("s"), 1}};
    Plan->Routes = {Each};
    Plan->index();
    m_Daemon->Server->onPlan(Plan);
  }

  void addTarget(std::size_t Index) {
    TargetEntry Entry;
    Entry.Id = TargetName("t" + std::to_string(Index));
    Entry.Service = ServiceName("s");
    Entry.Domain = FailureDomain("a");
    Entry.Ip = "127.0.0.1";
    Entry.Port = m_Targets[Index]->port();
    Entry.Slots = 64;
    m_Daemon->Server->onTargetUpdated(Entry);
    m_Daemon->Server->onDirectoryComplete();
  }

  void checkGivenUp(const std::string &Start, const std::string &Endless,
                    std::size_t MaxBytes) {
    configure(RouteKind::NonIdempotent, 1);
    addTarget(0);
    m_Targets[0]->Scripts = {{Start}};
    m_Targets[0]->Scripts.back().Endless = Endless;
    auto &Caller = send("1");
    run(1500ms);
    CPPUNIT_ASSERT(received(Caller).starts_with("HTTP/1.1 502"));
    const auto Sent = m_Targets[0]->EndlessBytes;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Sent), Sent < MaxBytes);
    run(200ms);
    CPPUNIT_ASSERT_EQUAL(Sent, m_Targets[0]->EndlessBytes);
  }

  /// A stream whose first target breaks off after two events, and whose second
  /// one sends \p Second.
  void checkStream(const ScriptedTarget::Script &First,
                   const ScriptedTarget::Script &Second) {
    tearDown();
    setUp();
    configure(RouteKind::Stream, 2);
    addTarget(0);
    addTarget(1);
    // Each target may be the first or the second one.
    int Asked = 0;
    for (int I = 0; I < 2; ++I)
      m_Targets[I]->ScriptFor = [&](const std::string &) {
        return ++Asked == 1 ? First : Second;
      };
    auto &Caller = send("1");
    run(900ms);
    const auto Got = received(Caller);
    CPPUNIT_ASSERT(Asked >= 2);
    CPPUNIT_ASSERT_MESSAGE(Got, Got.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_MESSAGE(Got, count(Got, "HTTP/1.") == 1);
    CPPUNIT_ASSERT_MESSAGE(Got, Got.find("error-text") == Got.npos);
    CPPUNIT_ASSERT_MESSAGE(Got, count(Got, "piece-1") == 1);
    CPPUNIT_ASSERT_MESSAGE(Got, count(Got, "piece-2") == 1);
    CPPUNIT_ASSERT_MESSAGE(Got, !Got.ends_with(http::LastChunk));
  }

  asio::ip::tcp::socket *trySend(const std::string &Attempt) {
    auto &Caller = m_Callers.emplace_back(*m_Loop);
    std::error_code Error;
    Caller.connect(
        {asio::ip::make_address("127.0.0.1"), m_Daemon->Settings.CallerPort},
        Error);
    if (Error)
      return nullptr;
    asio::write(Caller,
                asio::buffer("GET /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt: " +
                             Attempt + "\r\n\r\n"),
                Error);
    Caller.non_blocking(true);
    return Error ? nullptr : &Caller;
  }

  asio::ip::tcp::socket &send(const std::string &Attempt) {
    auto *Caller = trySend(Attempt);
    CPPUNIT_ASSERT(Caller);
    return *Caller;
  }

  std::string received(asio::ip::tcp::socket &Caller) {
    std::string Got;
    std::array<char, 16384> Buffer;
    std::error_code Error;
    while (!Error)
      Got.append(Buffer.data(), Caller.read_some(asio::buffer(Buffer), Error));
    return Got;
  }

  void run(Duration Span) {
    m_Loop->restart();
    m_Loop->run_for(Span);
  }

  const HeaderNames m_Names = testNames();
  std::optional<asio::io_context> m_Loop;
  std::array<std::optional<ScriptedTarget>, 3> m_Targets;
  std::optional<FleetDaemon> m_Daemon;
  std::deque<asio::ip::tcp::socket> m_Callers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultyTargetTest);

} // namespace mangodeck
