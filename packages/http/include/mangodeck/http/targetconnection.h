#ifndef MANGODECK_HTTP_TARGETCONNECTION_H
#define MANGODECK_HTTP_TARGETCONNECTION_H

#include "mangodeck/common/units.h"
#include "mangodeck/http/parser.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck::http {

/// Why an exchange ended without a complete answer.
struct ExchangeFailure {
  std::error_code Error;
  /// No byte of the request was written to the socket, so the server cannot
  /// have received any of it.
  bool NothingSent = false;
  /// The rule that the bytes received break, if they are no valid HTTP answer;
  /// else empty.
  std::string_view Malformed;
  bool isMalformed() const { return !Malformed.empty(); }
};

/// Receives the answer to one request.
class AnswerHandler {
public:
  virtual ~AnswerHandler() = default;
  virtual void onAnswerHead(const ResponseHead &Head) = 0;
  virtual void onAnswerBody(std::string_view Bytes) = 0;
  /// The answer is complete.
  virtual void onAnswerEnd() = 0;
  /// The exchange failed before the answer was complete. Not called for an
  /// exchange that TargetConnection::close() ends.
  virtual void onExchangeFailed(const ExchangeFailure &Failure) = 0;
};

/// A connection to a server that carries one request at a time. All calls must
/// come from the thread of its executor. The handler may end the exchange or
/// close the connection from its callbacks.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>,
                         private MessageSink {
public:
  explicit TargetConnection(asio::any_io_executor Executor);

  /// Connects; calls \p Done exactly once, with an error if \p Timeout passes
  /// first.
  void connect(const asio::ip::tcp::endpoint &Remote, Duration Timeout,
               std::function<void(std::error_code)> Done);
  /// Sends a request and reads its answer. \p Head is serialized. \p Content is
  /// its body, which is not copied: \p Owner keeps it while it is sent.
  void exchange(std::string Head, std::string_view Content,
                std::shared_ptr<const void> Owner, bool IsHeadRequest,
                AnswerHandler &Handler);
  /// The same for a request whose body is part of \p Bytes.
  void exchange(std::string Bytes, bool IsHeadRequest, AnswerHandler &Handler) {
    exchange(std::move(Bytes), {}, nullptr, IsHeadRequest, Handler);
  }
  /// Reads no more of the answer until resumeReading(). The server may take a
  /// long pause for a failure.
  void pauseReading() { m_ReadingPaused = true; }
  void resumeReading();
  /// Closes the connection. An exchange in progress ends without a call of its
  /// handler.
  void close();

  bool isOpen() const { return m_Open; }
  /// Whether the connection has carried a request before the current one.
  bool isReused() const { return m_ExchangeNumber > 1; }
  bool isBusy() const { return m_Handler != nullptr; }
  /// Whether the connection is open and idle, for less than half of the
  /// server's idle time-out if that is known.
  bool isReusable(TimePoint Now) const;
  /// Records that the server has refused \p Request, the hash of a name that a
  /// repetition of it bears as well. A second copy of the refusal, which may
  /// still arrive, would pass for the answer to the repetition.
  void recordRefusal(std::uint64_t Request) { m_Refused.push_back(Request); }
  /// Whether the server has refused \p Request on this connection.
  bool hasRefused(std::uint64_t Request) const;
  /// Records that the process at the other end is the expected one, which holds
  /// for as long as the connection.
  void confirmServer() { m_ServerConfirmed = true; }
  bool isServerConfirmed() const { return m_ServerConfirmed; }
  /// How long the connection has been idle.
  Duration idleFor(TimePoint Now) const { return Now - m_IdleSince; }
  /// Time after which the server says it closes an idle connection; 0 if
  /// unknown.
  Duration serverIdleTimeout() const { return m_ServerIdleTimeout; }

private:
  void onHead() override;
  void onBody(std::string_view Bytes) override;
  void read();
  void onReadable(std::error_code Error);
  /// Whether reading goes on after these bytes.
  bool onRead(std::string_view Bytes);
  void onWritten(std::error_code Error, std::size_t Size);
  /// The server has ended its side of the connection. That completes an answer
  /// without length, unless the request did not reach the server.
  void endStream();
  /// Calls endStream() again after a pause: the server has not acknowledged the
  /// whole request. If it has closed the connection, the rest of the request
  /// makes it send a reset.
  void checkStreamEndLater();
  void fail(std::error_code Error, std::string_view Malformed = {});
  void complete(bool HasSurplusBytes);
  void closeSocket();
  void setOptions();

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  ResponseParser m_Parser;
  AnswerHandler *m_Handler = nullptr;
  std::string m_RequestHead;
  std::size_t m_RequestBytes = 0; ///< Of the head and the body.
  std::size_t m_WrittenBytes = 0;
  /// Counts exchanges, so that onRead() notices when a callback has started
  /// another one.
  std::uint64_t m_ExchangeNumber = 0;
  bool m_Open = false;
  bool m_ServerConfirmed = false; ///< See confirmServer().
  bool m_ReadPending = false;
  bool m_WritePending = false;
  bool m_ReadingPaused = false;
  std::error_code m_WriteError; ///< Of the last write.
  bool m_StreamEnded = false;   ///< By the server.
  Duration m_StreamEndPause{0}; ///< See checkStreamEndLater().
  Duration m_ServerIdleTimeout{0};
  std::vector<std::uint64_t> m_Refused; ///< At most MaxRefusals; see there.
  TimePoint m_IdleSince{};
};

} // namespace mangodeck::http

#endif
