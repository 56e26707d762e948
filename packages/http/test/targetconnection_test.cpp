#include "mangodeck/http/targetconnection.h"

#include <asio/io_context.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <optional>
#include <string>

namespace mangodeck::http {

namespace {

/// Larger than what the kernel buffers of both ends hold.
constexpr std::size_t LongBodyBytes = 32 << 20;
/// Fits into the kernel's buffer of the sender, but not of a server with
/// SmallBufferBytes.
constexpr std::size_t BufferedBodyBytes = 100 << 10;
constexpr int SmallBufferBytes = 4 << 10;

struct RecordingHandler : AnswerHandler {
  void onAnswerHead(const ResponseHead &) override {}
  void onAnswerBody(std::string_view Bytes) override { Body.append(Bytes); }
  void onAnswerEnd() override { HasEnded = true; }
  void onExchangeFailed(const ExchangeFailure &) override { HasFailed = true; }

  std::string Body;
  bool HasEnded = false;
  bool HasFailed = false;
};

} // namespace

/// A connection to a server that answers as soon as it has read the head of a
/// request with a long body, with an answer that has no length.
class TargetConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetConnectionTest);
  CPPUNIT_TEST(answerWithoutLength_resetWhileRequestIsSent_isNotComplete);
  CPPUNIT_TEST(answerWithoutLength_endBeforeRequestIsSent_isComplete);
  CPPUNIT_TEST(answerWithoutLength_resetAfterEnd_isNotComplete);
  CPPUNIT_TEST(answerWithoutLength_endBeforeRequestIsRead_isComplete);
  CPPUNIT_TEST(answerWithoutLength_requestNeverRead_isNotComplete);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    m_Handler = RecordingHandler();
  }

  void tearDown() override {
    m_Connection->close();
    m_Connection.reset();
    m_Server.reset();
    m_Loop.reset();
  }

  // Regression: the pending write took the error of the reset, and the next
  // read saw a regular end.
  void answerWithoutLength_resetWhileRequestIsSent_isNotComplete() {
    answerUpload(LongBodyBytes, 0);
    m_Server->close(); // With unread bytes: a reset.
    runUntil([&] { return m_Handler.HasEnded || m_Handler.HasFailed; });
    CPPUNIT_ASSERT(!m_Handler.HasEnded);
    CPPUNIT_ASSERT(m_Handler.HasFailed);
  }

  void answerWithoutLength_endBeforeRequestIsSent_isComplete() {
    answerUpload(LongBodyBytes, 0);
    m_Server->shutdown(asio::ip::tcp::socket::shutdown_send);
    runFor(50ms);
    readRequest();
    CPPUNIT_ASSERT(m_Handler.HasEnded);
    CPPUNIT_ASSERT_EQUAL(std::string("half"), m_Handler.Body);
  }

  // Regression: the end that came before the reset completed the answer, while
  // the rest of the request was in the kernel's buffer.
  void answerWithoutLength_resetAfterEnd_isNotComplete() {
    answerUpload(BufferedBodyBytes, SmallBufferBytes);
    m_Server->shutdown(asio::ip::tcp::socket::shutdown_send);
    runFor(20ms);
    CPPUNIT_ASSERT(!m_Handler.HasEnded);
    m_Server->close(); // With unread bytes: a reset.
    runUntil([&] { return m_Handler.HasEnded || m_Handler.HasFailed; });
    CPPUNIT_ASSERT(!m_Handler.HasEnded);
    CPPUNIT_ASSERT(m_Handler.HasFailed);
  }

  void answerWithoutLength_endBeforeRequestIsRead_isComplete() {
    answerUpload(BufferedBodyBytes, SmallBufferBytes);
    m_Server->shutdown(asio::ip::tcp::socket::shutdown_send);
    runFor(20ms);
    readRequest();
    CPPUNIT_ASSERT(m_Handler.HasEnded);
    CPPUNIT_ASSERT_EQUAL(std::string("half"), m_Handler.Body);
  }

  void answerWithoutLength_requestNeverRead_isNotComplete() {
    answerUpload(BufferedBodyBytes, SmallBufferBytes);
    m_Server->shutdown(asio::ip::tcp::socket::shutdown_send);
    runUntil([&] { return m_Handler.HasEnded || m_Handler.HasFailed; });
    CPPUNIT_ASSERT(!m_Handler.HasEnded);
    CPPUNIT_ASSERT(m_Handler.HasFailed);
  }

private:
  /// Sends a request with a body of \p BodyBytes and answers it before it is
  /// read. With \p BufferBytes the server's receive buffer has that size.
  void answerUpload(std::size_t BodyBytes, int BufferBytes) {
    asio::ip::tcp::acceptor Acceptor(*m_Loop, asio::ip::tcp::v4());
    if (BufferBytes > 0)
      Acceptor.set_option(asio::socket_base::receive_buffer_size(BufferBytes));
    Acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    Acceptor.listen();
    m_Connection = std::make_shared<TargetConnection>(m_Loop->get_executor());
    bool IsConnected = false;
    m_Connection->connect(Acceptor.local_endpoint(), 1s,
                          [&](std::error_code Error) { IsConnected = !Error; });
    m_Server.emplace(Acceptor.accept());
    runUntil([&] { return IsConnected; });
    m_Connection->exchange("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                               std::to_string(BodyBytes) + "\r\n\r\n" +
                               std::string(BodyBytes, 'x'),
                           false, m_Handler);
    runFor(50ms);
    asio::write(*m_Server, asio::buffer(std::string(
                               "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                               "half")));
    runUntil([&] { return m_Handler.Body == "half"; });
  }

  /// Reads the request until the exchange ends.
  void readRequest() {
    m_Server->non_blocking(true);
    std::string Buffer(1 << 20, ' ');
    runUntil([&] {
      std::error_code Ignored; // Nothing to read yet.
      m_Server->read_some(asio::buffer(Buffer), Ignored);
      return m_Handler.HasEnded || m_Handler.HasFailed;
    });
  }

  void runUntil(const std::function<bool()> &Done) {
    const auto End = std::chrono::steady_clock::now() + 5s;
    while (!Done() && std::chrono::steady_clock::now() < End) {
      m_Loop->restart();
      m_Loop->run_for(1ms);
    }
  }

  void runFor(Duration Span) {
    const auto End = std::chrono::steady_clock::now() + Span;
    runUntil([&] { return std::chrono::steady_clock::now() >= End; });
  }

  std::optional<asio::io_context> m_Loop;
  std::optional<asio::ip::tcp::socket> m_Server;
  std::shared_ptr<TargetConnection> m_Connection;
  RecordingHandler m_Handler;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetConnectionTest);

} // namespace mangodeck::http
