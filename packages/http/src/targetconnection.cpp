#include "mangodeck/http/targetconnection.h"

#include "mangodeck/common/error.h"
#include "readbuffer.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace mangodeck::http {

namespace {

using KeepAliveIdle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Seconds without traffic before the first TCP keep-alive probe, and between
/// probes. With two probes an unreachable server is detected after 3 s.
constexpr int ProbeSeconds = 1;
constexpr int ProbeCount = 2;
/// Refusals on a connection after which it is no longer used, since all refused
/// requests have to be remembered.
constexpr std::size_t MaxRefusals = 32;
/// Milliseconds after which unacknowledged bytes abort the connection; the same
/// limit that the keep-alive probes set for an idle one.
constexpr int UserTimeoutMs = 3000;

/// Pauses between looks at whether a server that has ended its side has
/// acknowledged the request. UserTimeoutMs bounds how long that takes.
constexpr Duration MinStreamEndPause = 1ms;
constexpr Duration MaxStreamEndPause = 50ms;

/// The error that the socket has met and not reported yet.
std::error_code takeSocketError(asio::ip::tcp::socket &Socket) {
  int Error = 0;
  socklen_t Size = sizeof(Error);
  if (::getsockopt(Socket.native_handle(), SOL_SOCKET, SO_ERROR, &Error,
                   &Size) != 0)
    Error = errno;
  return {Error, asio::error::get_system_category()};
}

/// Bytes that were written and that the other end has not acknowledged; 0 if
/// the system does not tell.
int unacknowledgedBytes(asio::ip::tcp::socket &Socket) {
  int Bytes = 0;
  return ::ioctl(Socket.native_handle(), SIOCOUTQ, &Bytes) == 0 ? Bytes : 0;
}

/// Returns the time-out in the value of a Keep-Alive field, such as "timeout=5,
/// max=100"; 0 if it has none.
Duration parseKeepAliveTimeout(std::string_view Value) {
  const auto At = Value.find("timeout=");
  if (At == Value.npos)
    return Duration{0};
  const auto Text = Value.substr(At + 8);
  int Seconds = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  return std::chrono::seconds(Seconds);
}

} // namespace

TargetConnection::TargetConnection(asio::any_io_executor Executor)
    : m_Socket(Executor), m_Timer(Executor), m_Parser(*this) {}

void TargetConnection::connect(const asio::ip::tcp::endpoint &Remote,
                               Duration Timeout,
                               std::function<void(std::error_code)> Done) {
  m_Timer.expires_after(Timeout);
  m_Timer.async_wait([Self = shared_from_this()](std::error_code Error) {
    std::error_code Ignored; // Closing the socket cancels async_connect.
    if (!Error && !Self->m_Open)
      Self->m_Socket.close(Ignored);
  });
  m_Socket.async_connect(
      Remote, [Self = shared_from_this(),
               Done = std::move(Done)](std::error_code Error) {
        Self->m_Timer.cancel();
        if (!Error && !Self->m_Socket.is_open())
          Error = asio::error::timed_out;
        if (!Error) {
          Self->m_Open = true;
          Self->m_IdleSince = std::chrono::steady_clock::now();
          Self->setOptions();
          std::error_code Ignored; // A failed socket fails to be read.
          Self->m_Socket.non_blocking(true, Ignored);
          Self->read();
        }
        Done(Error);
      });
}

void TargetConnection::setOptions() {
  std::error_code Ignored; // Without an option failures are detected later.
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  m_Socket.set_option(KeepAliveIdle(ProbeSeconds), Ignored);
  m_Socket.set_option(KeepAliveInterval(ProbeSeconds), Ignored);
  m_Socket.set_option(KeepAliveCount(ProbeCount), Ignored);
  m_Socket.set_option(UserTimeout(UserTimeoutMs), Ignored);
}

void TargetConnection::exchange(std::string Head, std::string_view Content,
                                std::shared_ptr<const void> Owner,
                                bool IsHeadRequest, AnswerHandler &Handler) {
  m_Handler = &Handler;
  m_Parser.reset(IsHeadRequest);
  m_RequestHead = std::move(Head);
  m_RequestBytes = m_RequestHead.size() + Content.size();
  m_WrittenBytes = 0;
  m_WritePending = true;
  m_ReadingPaused = false;
  m_WriteError.clear();
  m_StreamEnded = false;
  m_StreamEndPause = Duration{0};
  ++m_ExchangeNumber;
  const auto Write = [&](const auto &Buffers) {
    asio::async_write(m_Socket, Buffers,
                      [Self = shared_from_this(), Owner = std::move(Owner)](
                          std::error_code Error, std::size_t Size) {
                        Self->onWritten(Error, Size);
                      });
  };
  if (Content.empty())
    Write(asio::buffer(m_RequestHead));
  else
    Write(std::array<asio::const_buffer, 2>{
        asio::buffer(m_RequestHead),
        asio::buffer(Content.data(), Content.size())});
  read();
}

void TargetConnection::onWritten(std::error_code Error, std::size_t Size) {
  m_WritePending = false;
  m_WrittenBytes = Size;
  m_WriteError = Error;
  if (!m_Open || !m_Handler)
    return;
  // A server may answer and close before it has read the whole request, so
  // after a partial write the answer may still be in the socket's receive
  // buffer. Only if nothing was written can no answer arrive.
  if ((Error && Size == 0) || m_StreamEnded)
    endStream();
}

void TargetConnection::endStream() {
  // The socket reports an error once. If the write took it, the end that the
  // next read sees may be that of a reset.
  m_StreamEnded = true;
  if (m_WritePending)
    return; // Its result tells.
  if (m_WriteError)
    return fail(m_WriteError);
  if (m_Parser.hasHead() && m_Parser.head().IsCloseDelimited) {
    // A reset that came after the end shows here only.
    if (const auto Error = takeSocketError(m_Socket))
      return fail(Error);
    if (unacknowledgedBytes(m_Socket) > 0)
      return checkStreamEndLater();
  }
  const auto ExchangeNumber = m_ExchangeNumber;
  m_Parser.finish();
  if (!m_Handler || m_ExchangeNumber != ExchangeNumber)
    return; // A callback ended this exchange.
  if (m_Parser.isComplete())
    complete(false);
  else
    fail(make_error_code(asio::error::eof));
}

void TargetConnection::checkStreamEndLater() {
  m_StreamEndPause =
      std::clamp(2 * m_StreamEndPause, MinStreamEndPause, MaxStreamEndPause);
  m_Timer.expires_after(m_StreamEndPause);
  m_Timer.async_wait([Self = shared_from_this(),
                      ExchangeNumber =
                          m_ExchangeNumber](std::error_code Error) {
    if (!Error && Self->m_Handler && Self->m_ExchangeNumber == ExchangeNumber)
      Self->endStream();
  });
}

void TargetConnection::read() {
  if (m_ReadPending || !m_Open || m_ReadingPaused)
    return;
  m_ReadPending = true;
  m_Socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [Self = shared_from_this()](std::error_code Error) {
                        Self->onReadable(Error);
                      });
}

void TargetConnection::resumeReading() {
  m_ReadingPaused = false;
  read();
}

void TargetConnection::onReadable(std::error_code Error) {
  m_ReadPending = false;
  if (!m_Open)
    return;
  const auto Buffer = readBuffer();
  if (!m_Handler) {
    // The server closed the idle connection, or sent bytes that answer no
    // request.
    m_Socket.read_some(asio::buffer(Buffer.data(), Buffer.size()), Error);
    return Error == asio::error::would_block ? read() : closeSocket();
  }
  for (int Count = 0; Count < MaxReadsAtOnce && !Error && !m_ReadingPaused;
       ++Count) {
    const auto Size =
        m_Socket.read_some(asio::buffer(Buffer.data(), Buffer.size()), Error);
    if (Error)
      break;
    if (!onRead({Buffer.data(), Size}))
      return;
    if (Size < Buffer.size())
      break;
  }
  if (Error == asio::error::eof)
    endStream();
  else if (Error && Error != asio::error::would_block)
    fail(Error);
  else
    read();
}

bool TargetConnection::onRead(std::string_view Bytes) {
  const auto ExchangeNumber = m_ExchangeNumber;
  const auto Used = m_Parser.feed(Bytes);
  if (!m_Handler || m_ExchangeNumber != ExchangeNumber)
    return false; // A callback ended this exchange.
  if (m_Parser.isMalformed()) {
    fail(make_error_code(Errc::MalformedAnswer), m_Parser.faultText());
    return false;
  }
  if (m_Parser.isComplete()) {
    complete(Used < Bytes.size());
    return false;
  }
  return true;
}

void TargetConnection::onHead() {
  m_ServerIdleTimeout =
      parseKeepAliveTimeout(m_Parser.head().Fields.get("keep-alive"));
  if (m_Handler)
    m_Handler->onAnswerHead(m_Parser.head());
}

void TargetConnection::onBody(std::string_view Bytes) {
  if (m_Handler)
    m_Handler->onAnswerBody(Bytes);
}

void TargetConnection::complete(bool HasSurplusBytes) {
  auto *Handler = m_Handler;
  m_Handler = nullptr;
  m_IdleSince = std::chrono::steady_clock::now();
  m_ReadingPaused = false; // The end of the connection is to be noticed.
  // A connection is not reused after surplus bytes, nor if the server answered
  // before the whole request was sent: the server would read the next request
  // as the rest of this one.
  if (HasSurplusBytes || m_WritePending || !m_Parser.head().KeepAlive ||
      m_WrittenBytes < m_RequestBytes)
    closeSocket();
  else
    read();
  m_RequestHead.clear();
  Handler->onAnswerEnd();
}

void TargetConnection::fail(std::error_code Error, std::string_view Malformed) {
  auto *Handler = m_Handler;
  m_Handler = nullptr;
  ExchangeFailure Failure;
  Failure.Error = Error;
  Failure.Malformed = Malformed;
  Failure.NothingSent = !m_WritePending && m_WrittenBytes == 0;
  closeSocket();
  Handler->onExchangeFailed(Failure);
}

bool TargetConnection::hasRefused(std::uint64_t Request) const {
  return std::find(m_Refused.begin(), m_Refused.end(), Request) !=
         m_Refused.end();
}

bool TargetConnection::isReusable(TimePoint Now) const {
  if (!m_Open || m_Handler || m_Refused.size() >= MaxRefusals)
    return false;
  // A server closes an idle connection without notice. Using it for only half
  // of the announced time-out allows for network delays.
  return m_ServerIdleTimeout == Duration{0} ||
         idleFor(Now) < m_ServerIdleTimeout / 2;
}

void TargetConnection::closeSocket() {
  m_Open = false;
  std::error_code Ignored; // close() releases the descriptor also on error.
  m_Timer.cancel();
  m_Socket.close(Ignored);
}

void TargetConnection::close() {
  m_Handler = nullptr;
  closeSocket();
}

} // namespace mangodeck::http
