#include "mangodeck/http/callerconnection.h"

#include <algorithm>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <optional>
#include <set>
#include <thread>

namespace mangodeck::http {

namespace {

/// Records every request and, if Answers is set, answers it with its path.
struct EchoHandler : CallerConnectionHandler {
  void onRequest(CallerConnection &Connection, Request &&Message,
                 TimePoint) override {
    Paths.push_back(Message.Head.Target);
    Bodies.emplace_back(Message.Body.view());
    if (Answers)
      Connection.sendAnswer(200, HeaderList(), Message.Head.Target);
  }
  void onCallerLeft(CallerConnection &) override { ++CallersLeft; }
  void onRejected(int Status, std::string_view Reason,
                  std::string_view) override {
    RejectedStatus = Status;
    RejectionReason = Reason;
  }
  void onClosed(CallerConnection &) override { ++ConnectionsClosed; }
  bool isLeaving() const override { return Leaving; }
  bool reserveMemory(const CallerConnection &, MemoryUse Use, std::size_t Bytes,
                     std::size_t Total) override {
    if (Use == MemoryUse::Body ? Total > MaxBodyBytes : Refused.contains(Use))
      return false;
    Held[Use] += Bytes;
    return true;
  }
  void overdrawMemory(MemoryUse Use, std::size_t Bytes) override {
    Held[Use] += Bytes;
  }
  void releaseMemory(MemoryUse Use, std::size_t Bytes) override {
    Held[Use] -= Bytes;
  }
  HeaderList rejectionFields(int) override { return {}; }

  std::vector<std::string> Paths;
  std::vector<std::string> Bodies;
  std::size_t MaxBodyBytes = 1 << 20;
  std::map<MemoryUse, std::size_t> Held;
  std::set<MemoryUse> Refused;
  bool Answers = true;
  bool Leaving = false;
  int CallersLeft = 0;
  int ConnectionsClosed = 0;
  int RejectedStatus = 0;
  std::string RejectionReason;
};

} // namespace

/// Tests a connection over loopback; client and server share one event loop.
/// receiveUntil() gives up after a fixed number of attempts to read.
class CallerConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerConnectionTest);
  CPPUNIT_TEST(caller_twoRequestsInOneWrite_areAnsweredInOrder);
  CPPUNIT_TEST(caller_malformedHead_gets400AndClose);
  CPPUNIT_TEST(caller_headInPieces_isRead);
  CPPUNIT_TEST(caller_expectsContinue_isToldUnlessBodyIsTooLong);
  CPPUNIT_TEST(caller_chunkRefusedForMemory_requestIsNotRead);
  CPPUNIT_TEST(caller_bodyStopsAndIsGivenUp_gets408AndMemoryIsReleased);
  CPPUNIT_TEST(caller_doesNotReadAndIsGivenUp_memoryIsReleased);
  CPPUNIT_TEST(caller_readsSlowerThanItSends_answersDoNotPileUp);
  CPPUNIT_TEST(caller_readsNoAnswers_isClosed);
  CPPUNIT_TEST(caller_bytesBehindRequestWithoutMemory_areDiscarded);
  CPPUNIT_TEST(caller_headRefusedForMemory_gets503);
  CPPUNIT_TEST(caller_longAnswer_isCountedUntilItIsTaken);
  CPPUNIT_TEST(caller_halfAHead_canBeClosedForOthers);
  CPPUNIT_TEST(caller_answerWithoutContent_nextAnswerIsItsOwn);
  CPPUNIT_TEST(caller_closesWhileWaiting_handlerIsNotified);
  CPPUNIT_TEST(caller_streamAborted_doesNotLookComplete);
  CPPUNIT_TEST(caller_closedWhileIdle_laterRequestIsNotRead);
  CPPUNIT_TEST(caller_justConnected_isNotClosedAsIdle);
  CPPUNIT_TEST(caller_requestNotReadYet_isNotClosedAsIdle);
  CPPUNIT_TEST(caller_daemonLeaving_answerHasConnectionClose);
  CPPUNIT_TEST(caller_requestsBehindAnotherWhileDaemonLeaves_areAnswered);
  CPPUNIT_TEST(caller_requestsAnsweredAtOnceWhileDaemonLeaves_areAnswered);
  CPPUNIT_TEST(caller_readsSlowlyWhileDaemonLeaves_getsWholeAnswer);
  CPPUNIT_TEST(caller_readsNothingWhileDaemonLeaves_isClosed);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    m_Handler = EchoHandler();
    m_Requests.clear();
    asio::ip::tcp::acceptor Acceptor(*m_Loop,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    m_Client.emplace(*m_Loop);
    m_Client->connect(Acceptor.local_endpoint());
    m_Server = std::make_shared<CallerConnection>(Acceptor.accept(), m_Handler,
                                                  CallerBounds());
    m_Server->start();
  }

  void tearDown() override {
    m_Server.reset();
    m_Client.reset();
    m_Loop.reset();
  }

  void caller_twoRequestsInOneWrite_areAnsweredInOrder() {
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\nGET /2/ HTTP/1.1\r\nHost: x\r\n"
         "\r\n");
    const auto Answer = receiveUntil("/2/");
    CPPUNIT_ASSERT(Answer.find("/1/") < Answer.find("/2/"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Handler.Paths.size());
  }

  void caller_malformedHead_gets400AndClose() {
    send("GET /1/ HTTP/1.1\r\nHost : x\r\n\r\n");
    const auto Answer = receiveUntil("");
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 400 "));
    CPPUNIT_ASSERT(Answer.find("Connection: close") != Answer.npos);
    CPPUNIT_ASSERT_EQUAL(400, m_Handler.RejectedStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("invalid field line"),
                         m_Handler.RejectionReason);
    CPPUNIT_ASSERT(m_Handler.Paths.empty());
  }

  void caller_headInPieces_isRead() {
    for (const std::string_view Piece :
         {"POST /1/ HTTP/1.1\r\nHost: x\r\nContent-Le", "ngth: 2\r\n\r\n", "o",
          "k"}) {
      send(Piece);
      runUntilIdle();
    }
    receiveUntil("/1/");
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), m_Handler.Bodies.at(0));
  }

  // Regression: a body over the limit was asked for before it was rejected.
  void caller_expectsContinue_isToldUnlessBodyIsTooLong() {
    const std::string Head =
        "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
        "Content-Length: ";
    send(Head + "2\r\n\r\n");
    const auto Interim = receiveUntil("\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 100 Continue\r\n\r\n"), Interim);
    send("ok");
    CPPUNIT_ASSERT(receiveUntil("/").starts_with("HTTP/1.1 200"));
    runUntilIdle();
    receiveUntil("/");
    send(Head + "999999999\r\n\r\n");
    const auto Answer = receiveUntil("");
    CPPUNIT_ASSERT_MESSAGE(Answer, Answer.starts_with("HTTP/1.1 413"));
  }

  // Regression: the refusal of a chunk was forgotten with the next one, and the
  // request went on without the refused bytes.
  void caller_chunkRefusedForMemory_requestIsNotRead() {
    m_Handler.MaxBodyBytes = Body::MinBytes;
    std::string Body;
    for (const std::size_t Size : {40, 5000, 31})
      appendChunk(Body, std::string(Size, 'x'));
    send("POST /1/ HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
         Body + std::string(LastChunk));
    CPPUNIT_ASSERT(receiveUntil("").starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(m_Handler.Paths.empty());
    CPPUNIT_ASSERT_EQUAL(503, m_Handler.RejectedStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Handler.Held[MemoryUse::Body]);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Handler.Held[MemoryUse::Head]);
  }

  // Guards against bodies that stop just before their end and keep their
  // memory.
  void caller_bodyStopsAndIsGivenUp_gets408AndMemoryIsReleased() {
    send("POST /1/ HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" +
         std::string(99999, 'x'));
    runUntilIdle();
    const auto Held = m_Server->heldMemory(MemoryUse::Body);
    CPPUNIT_ASSERT_EQUAL(std::size_t(100000), Held.Bytes);
    CPPUNIT_ASSERT(Held.StalledSince <= std::chrono::steady_clock::now());
    m_Server->giveUp(MemoryUse::Body);
    CPPUNIT_ASSERT(receiveUntil("").starts_with("HTTP/1.1 408"));
    CPPUNIT_ASSERT(m_Handler.Paths.empty());
    assertNothingHeld();
  }

  // Guards against answers that stay for callers which do not read them.
  void caller_doesNotReadAndIsGivenUp_memoryIsReleased() {
    m_Handler.Answers = false;
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntilIdle();
    m_Server->sendAnswer(200, HeaderList(), Body(std::string(16 << 20, 'x')));
    runUntilIdle();
    CPPUNIT_ASSERT(m_Server->heldMemory(MemoryUse::Answer).Bytes >= 16 << 20);
    m_Server->giveUp(MemoryUse::Answer);
    runUntilIdle();
    CPPUNIT_ASSERT_EQUAL(1, m_Handler.ConnectionsClosed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Server->pendingBytes());
    assertNothingHeld();
  }

  // Guards against a request that is lost, or one behind it that is run half,
  // when there is no memory for what a caller sends ahead.
  // Regression: answers piled up for a caller that sent requests faster than it
  // read, until the process was over its memory.
  void caller_readsSlowerThanItSends_answersDoNotPileUp() {
    sendWithoutReading(ManyRequests);
    const auto Held = m_Handler.Held[MemoryUse::Answer];
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Held), Held < 256 << 10);
    CPPUNIT_ASSERT_EQUAL(ManyRequests, countAnswers(ManyRequests));
    assertNothingHeld();
  }

  void caller_readsNoAnswers_isClosed() {
    sendWithoutReading(ManyRequests);
    m_Server->checkTimeouts(std::chrono::steady_clock::now() + 10s);
    CPPUNIT_ASSERT_EQUAL(0, m_Handler.ConnectionsClosed);
    m_Server->checkTimeouts(std::chrono::steady_clock::now() + 20s);
    CPPUNIT_ASSERT_EQUAL(1, m_Handler.ConnectionsClosed);
    assertNothingHeld();
  }

  void caller_bytesBehindRequestWithoutMemory_areDiscarded() {
    m_Handler.Answers = false;
    m_Handler.Refused = {MemoryUse::ReadAhead, MemoryUse::Unread};
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntilIdle();
    send("GET /2/ HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntilIdle();
    m_Server->sendAnswer(200, HeaderList(), "first");
    const auto Answer = receiveUntil("");
    CPPUNIT_ASSERT(Answer.ends_with("first"));
    CPPUNIT_ASSERT(Answer.find("Connection: close") != Answer.npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Handler.Paths.size());
    assertNothingHeld();
  }

  void caller_headRefusedForMemory_gets503() {
    m_Handler.Refused = {MemoryUse::Head};
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\n");
    CPPUNIT_ASSERT(receiveUntil("").starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(m_Handler.Paths.empty());
    assertNothingHeld();
  }

  // Guards against a count that forgets or keeps an answer.
  void caller_longAnswer_isCountedUntilItIsTaken() {
    m_Handler.Answers = false;
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntilIdle();
    const auto Content = std::string(300000, 'x') + "end";
    m_Server->sendAnswer(200, HeaderList(), Body(Content));
    const auto Answer = receiveUntil("end");
    CPPUNIT_ASSERT(Answer.ends_with(Content));
    CPPUNIT_ASSERT(Answer.find("Content-Length: 300003") != Answer.npos);
    assertNothingHeld();
  }

  // Guards against unfinished heads that keep other callers from connecting.
  void caller_halfAHead_canBeClosedForOthers() {
    send("GET /1/ HTTP/1.1\r\n");
    runUntilIdle();
    CPPUNIT_ASSERT(m_Server->unusedSince());
    m_Server->closeUnused();
    CPPUNIT_ASSERT_EQUAL(1, m_Handler.ConnectionsClosed);
    assertNothingHeld();
  }

  // Regression: the body that was passed with a 204 or 304 was sent behind it.
  void caller_answerWithoutContent_nextAnswerIsItsOwn() {
    m_Handler.Answers = false;
    const auto Ask = [&](const std::string &Method) {
      send(Method + " / HTTP/1.1\r\nHost: x\r\n\r\n");
      runUntilIdle();
    };
    for (const int Status : {204, 304}) {
      Ask("GET");
      m_Server->sendAnswer(Status, HeaderList(), "body");
      Ask("GET");
      m_Server->startStream(Status, "", HeaderList());
      m_Server->sendChunk("body");
      m_Server->endStream();
    }
    Ask("HEAD");
    m_Server->sendAnswer(200, HeaderList(), "body");
    Ask("GET");
    m_Server->sendAnswer(200, HeaderList(), "last");
    const auto Answers = receiveUntil("last");
    CPPUNIT_ASSERT_MESSAGE(Answers, Answers.find("body") == Answers.npos);
    CPPUNIT_ASSERT_MESSAGE(Answers, Answers.find("chunked") == Answers.npos);
    CPPUNIT_ASSERT_MESSAGE(Answers, Answers.find("0\r\n\r\n") == Answers.npos);
  }

  void caller_closesWhileWaiting_handlerIsNotified() {
    m_Handler.Answers = false;
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntilIdle();
    CPPUNIT_ASSERT(m_Server->isAnswering());
    m_Client->close();
    runUntilIdle();
    CPPUNIT_ASSERT_EQUAL(1, m_Handler.CallersLeft);
    CPPUNIT_ASSERT_EQUAL(1, m_Handler.ConnectionsClosed);
  }

  void caller_streamAborted_doesNotLookComplete() {
    m_Handler.Answers = false;
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntilIdle();
    m_Server->startStream(200, "OK", HeaderList());
    m_Server->sendChunk("data: 1\n\n");
    runUntilIdle();
    m_Server->abort();
    const auto Answer = receiveUntil("");
    CPPUNIT_ASSERT(Answer.find(LastChunk) == Answer.npos);
    CPPUNIT_ASSERT(m_ReadError == asio::error::connection_reset);
  }

  void caller_closedWhileIdle_laterRequestIsNotRead() {
    runUntilIdle();
    std::this_thread::sleep_for(150ms);
    m_Server->closeIfIdle();
    std::error_code Ignored; // The server may have reset the connection.
    asio::write(*m_Client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")),
                Ignored);
    runUntilIdle();
    CPPUNIT_ASSERT_EQUAL(1, m_Handler.ConnectionsClosed);
    CPPUNIT_ASSERT(m_Handler.Paths.empty());
  }

  void caller_justConnected_isNotClosedAsIdle() {
    runUntilIdle();
    m_Server->closeIfIdle();
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\n");
    CPPUNIT_ASSERT(receiveUntil("/1/").starts_with("HTTP/1.1 200"));
  }

  void caller_requestNotReadYet_isNotClosedAsIdle() {
    runUntilIdle();
    std::this_thread::sleep_for(150ms);
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\n");
    std::this_thread::sleep_for(20ms); // The bytes reach the socket.
    m_Server->closeIfIdle();
    CPPUNIT_ASSERT(receiveUntil("/1/").starts_with("HTTP/1.1 200"));
  }

  void caller_daemonLeaving_answerHasConnectionClose() {
    m_Handler.Leaving = true;
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto Answer = receiveUntil("/1/");
    CPPUNIT_ASSERT(Answer.find("Connection: close") != Answer.npos);
  }

  // Regression: requests that were read behind another one were dropped when
  // the daemon was leaving.
  void caller_requestsBehindAnotherWhileDaemonLeaves_areAnswered() {
    m_Handler.Answers = false;
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\nGET /2/ HTTP/1.1\r\nHost: x\r\n"
         "\r\n");
    runUntilIdle();
    m_Handler.Leaving = true;
    send("GET /3/ HTTP/1.1\r\nHost: x\r\n\r\n");
    for (std::size_t Count = 1; Count <= 3; ++Count) {
      runUntilIdle();
      CPPUNIT_ASSERT_EQUAL(Count, m_Handler.Paths.size());
      m_Server->sendAnswer(200, HeaderList(), m_Handler.Paths.back());
    }
    assertLastOfThreeCloses();
  }

  void caller_requestsAnsweredAtOnceWhileDaemonLeaves_areAnswered() {
    m_Handler.Leaving = true;
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\nGET /2/ HTTP/1.1\r\nHost: x\r\n"
         "\r\nGET /3/ HTTP/1.1\r\nHost: x\r\n\r\n");
    assertLastOfThreeCloses();
  }

  // Regression: the connection was closed one second after the answer had been
  // queued, whatever was still to be sent.
  void caller_readsSlowlyWhileDaemonLeaves_getsWholeAnswer() {
    const auto Received = readWhileLeaving(24 << 20, 512 << 10, 3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(24 << 20), Received);
  }

  void caller_readsNothingWhileDaemonLeaves_isClosed() {
    readWhileLeaving(24 << 20, 0, 4s);
    CPPUNIT_ASSERT_EQUAL(1, m_Handler.ConnectionsClosed);
  }

private:
  /// The daemon leaves and answers with \p Bytes, of which the caller reads
  /// \p Rate every 50 ms. Returns the bytes of the body that it got within
  /// \p Span.
  std::size_t readWhileLeaving(std::size_t Bytes, std::size_t Rate,
                               Duration Span) {
    m_Handler.Answers = false;
    m_Handler.Leaving = true;
    send("GET /1/ HTTP/1.1\r\nHost: x\r\n\r\n");
    runUntilIdle();
    m_Server->sendAnswer(200, HeaderList(), std::string(Bytes, 'x'));
    m_Client->non_blocking(true);
    std::size_t Received = 0;
    std::string Buffer(std::max<std::size_t>(Rate, 1), ' ');
    const auto End = std::chrono::steady_clock::now() + Span;
    while (std::chrono::steady_clock::now() < End) {
      m_Loop->restart();
      m_Loop->run_for(std::chrono::milliseconds(50));
      m_Server->checkTimeouts(std::chrono::steady_clock::now());
      std::error_code Error;
      if (Rate > 0) {
        const auto Size = m_Client->read_some(asio::buffer(Buffer), Error);
        Received += static_cast<std::size_t>(std::count(
            Buffer.begin(), Buffer.begin() + static_cast<std::ptrdiff_t>(Size),
            'x'));
      }
    }
    return Received;
  }

  /// Sends requests, as far as the connection takes them, and reads nothing.
  void sendWithoutReading(std::size_t Count) {
    m_Client->set_option(asio::socket_base::receive_buffer_size(64 << 10));
    for (std::size_t I = 0; I < Count; ++I)
      m_Requests += "GET /@ HTTP/1.1\r\nHost: x\r\n\r\n";
    asio::async_write(*m_Client, asio::buffer(m_Requests),
                      [](std::error_code, std::size_t) {});
    runUntilIdle();
  }

  /// Reads until \p Count answers have come; returns how many came.
  std::size_t countAnswers(std::size_t Count) {
    std::size_t Found = 0;
    std::string Buffer(1 << 20, ' ');
    m_Client->non_blocking(true);
    for (int Idle = 0; Idle < 100 && Found < Count;) {
      std::error_code Error;
      const auto Size = m_Client->read_some(asio::buffer(Buffer), Error);
      Idle = Size == 0 ? Idle + 1 : 0;
      Found += static_cast<std::size_t>(
          std::count(Buffer.begin(),
                     Buffer.begin() + static_cast<std::ptrdiff_t>(Size), '@'));
      m_Loop->restart();
      m_Loop->run_for(std::chrono::milliseconds(2));
    }
    return Found;
  }

  /// The answers to /1/, /2/ and /3/ arrive, and the last one alone announces
  /// the end of the connection.
  void assertLastOfThreeCloses() {
    const auto Answers = receiveUntil("");
    CPPUNIT_ASSERT(m_ReadError == asio::error::eof);
    CPPUNIT_ASSERT(Answers.find("/1/") != Answers.npos);
    const auto Second = Answers.find("/2/");
    CPPUNIT_ASSERT(Second != Answers.npos);
    CPPUNIT_ASSERT(Answers.find("Connection: close") > Second);
    CPPUNIT_ASSERT(Answers.ends_with("/3/"));
  }

  void assertNothingHeld() {
    for (const auto &[Use, Bytes] : m_Handler.Held)
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bytes);
  }

  void send(std::string_view Bytes) {
    asio::write(*m_Client, asio::buffer(Bytes.data(), Bytes.size()));
  }

  /// Runs the loop until no handler has been ready for 20 ms.
  void runUntilIdle() {
    m_Loop->restart();
    while (m_Loop->run_one_for(std::chrono::milliseconds(20)) > 0)
      ;
  }

  /// Reads until \p End was received or, if it is empty, until the connection
  /// ends.
  std::string receiveUntil(std::string_view End) {
    std::string Bytes;
    m_Client->non_blocking(true);
    for (int Attempt = 0; Attempt < 200; ++Attempt) {
      runUntilIdle();
      std::array<char, 4096> Buffer;
      m_ReadError.clear();
      const auto Size = m_Client->read_some(asio::buffer(Buffer), m_ReadError);
      Bytes.append(Buffer.data(), Size);
      if (m_ReadError && m_ReadError != asio::error::would_block)
        return Bytes;
      if (!End.empty() && Bytes.find(End) != Bytes.npos)
        return Bytes;
    }
    return Bytes;
  }

  /// Their answers exceed what the kernel's buffers hold.
  static constexpr std::size_t ManyRequests = 200000;

  std::optional<asio::io_context> m_Loop;
  std::optional<asio::ip::tcp::socket> m_Client;
  std::string m_Requests; ///< Being sent by sendWithoutReading().
  EchoHandler m_Handler;
  std::shared_ptr<CallerConnection> m_Server;
  std::error_code m_ReadError;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerConnectionTest);

} // namespace mangodeck::http
