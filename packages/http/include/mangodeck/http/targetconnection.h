#ifndef MANGODECK_HTTP_TARGETCONNECTION_H
#define MANGODECK_HTTP_TARGETCONNECTION_H

#include "mangodeck/common/units.h"
#include "mangodeck/http/parser.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mangodeck::http {

/// How an exchange on a connection ended without a whole answer.
struct ExchangeFailure {
  std::error_code Error;
  /// No byte of the request was handed to the socket: the other side cannot
  /// have seen it.
  bool NothingSent = false;
  /// The bytes that came back are no HTTP answer.
  bool Malformed = false;
};

/// Receives the answer to one request.
class AnswerHandler {
public:
  virtual ~AnswerHandler() = default;
  virtual void onAnswerHead(const ResponseHead &Head) = 0;
  virtual void onAnswerBody(std::string_view Bytes) = 0;
  /// The answer is whole.
  virtual void onAnswerEnd() = 0;
  /// The exchange is over without a whole answer.
  virtual void onExchangeFailed(const ExchangeFailure &Failure) = 0;
};

/// A connection to a server, for one request at a time. Runs on one loop. The
/// handler may end the exchange or the connection from its callbacks.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>,
                         private MessageSink {
public:
  explicit TargetConnection(asio::any_io_executor Executor);

  /// Connects; \p Done runs once.
  void connect(const asio::ip::tcp::endpoint &Remote, Duration Timeout,
               std::function<void(std::error_code)> Done);
  /// Sends \p Bytes, a serialized request, and reads its answer.
  void exchange(std::string Bytes, bool IsHeadRequest, AnswerHandler &Handler);
  /// Ends the exchange, if any, without calling its handler, and closes.
  void close();

  bool isOpen() const { return m_Open; }
  bool isBusy() const { return m_Handler != nullptr; }
  /// Open, idle, and the last answer left it in a state to be used again.
  bool isReusable(TimePoint Now) const;
  /// How long the connection has been idle.
  Duration idleFor(TimePoint Now) const { return Now - m_IdleSince; }
  /// How long the server says it keeps an idle connection; 0 if unknown.
  Duration keptFor() const { return m_KeptFor; }

private:
  void onHead() override;
  void onBody(std::string_view Bytes) override;
  void read();
  void onRead(std::error_code Error, std::size_t Size);
  void onWritten(std::error_code Error, std::size_t Size);
  void fail(std::error_code Error, bool Malformed);
  void complete(bool Surplus);
  void shut();
  void setOptions();

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  ResponseParser m_Parser;
  AnswerHandler *m_Handler = nullptr;
  std::string m_Writing;
  std::size_t m_Written = 0;
  std::array<char, 8192> m_Buffer;
  std::uint64_t m_Exchange = 0;
  bool m_Open = false;
  bool m_ReadPending = false;
  bool m_WritePending = false;
  Duration m_KeptFor{0};
  TimePoint m_IdleSince{};
};

} // namespace mangodeck::http

#endif
