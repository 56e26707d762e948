#include "mangodeck/http/targetconnection.h"

#include "mangodeck/common/error.h"

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>

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

/// Seconds of silence before a probe, and between probes. With two probes a
/// connection that went silent is noticed after 3 s.
constexpr int ProbeSeconds = 1;
constexpr int ProbeCount = 2;
/// Milliseconds after which unacknowledged bytes break the connection; the
/// same bound as the probes give an idle one.
constexpr int UnacknowledgedMs = 3000;

/// The timeout of a Keep-Alive field, "timeout=5, max=100"; 0 if there is
/// none.
Duration parseKeepAlive(std::string_view Value) {
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
    std::error_code Ignored; // Closing cancels the attempt to connect.
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
          Self->read();
        }
        Done(Error);
      });
}

void TargetConnection::setOptions() {
  std::error_code Ignored; // Options speed up failure detection only.
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  m_Socket.set_option(KeepAliveIdle(ProbeSeconds), Ignored);
  m_Socket.set_option(KeepAliveInterval(ProbeSeconds), Ignored);
  m_Socket.set_option(KeepAliveCount(ProbeCount), Ignored);
  m_Socket.set_option(UserTimeout(UnacknowledgedMs), Ignored);
}

void TargetConnection::exchange(std::string Bytes, bool IsHeadRequest,
                                AnswerHandler &Handler) {
  m_Handler = &Handler;
  m_Parser.reset(IsHeadRequest);
  m_Writing = std::move(Bytes);
  m_Written = 0;
  m_WritePending = true;
  ++m_Exchange;
  asio::async_write(
      m_Socket, asio::buffer(m_Writing),
      [Self = shared_from_this()](std::error_code Error, std::size_t Size) {
        Self->onWritten(Error, Size);
      });
  read();
}

void TargetConnection::onWritten(std::error_code Error, std::size_t Size) {
  m_WritePending = false;
  m_Written = Size;
  if (!m_Open || !m_Handler || !Error)
    return;
  // A server may answer and close before it has read the whole request; the
  // answer may still wait in the socket. Only if nothing was sent is it known
  // that none comes.
  if (Size == 0)
    fail(Error, false);
}

void TargetConnection::read() {
  if (m_ReadPending || !m_Open)
    return;
  m_ReadPending = true;
  m_Socket.async_read_some(
      asio::buffer(m_Buffer),
      [Self = shared_from_this()](std::error_code Error, std::size_t Size) {
        Self->onRead(Error, Size);
      });
}

void TargetConnection::onRead(std::error_code Error, std::size_t Size) {
  m_ReadPending = false;
  if (!m_Open)
    return;
  if (!m_Handler) {
    // Idle: closed by the server, or bytes that belong to no request.
    shut();
    return;
  }
  if (Error) {
    const auto Exchange = m_Exchange;
    if (Error == asio::error::eof)
      m_Parser.finish();
    if (m_Handler && m_Exchange == Exchange && m_Parser.isComplete())
      complete(false);
    else if (m_Handler)
      fail(Error, false);
    return;
  }
  const auto Exchange = m_Exchange;
  const auto Used = m_Parser.feed({m_Buffer.data(), Size});
  if (!m_Handler || m_Exchange != Exchange)
    return; // Ended from a callback.
  if (m_Parser.isMalformed())
    return fail(make_error_code(Errc::WrongAnswer), true);
  if (m_Parser.isComplete())
    return complete(Used < Size);
  read();
}

void TargetConnection::onHead() {
  m_KeptFor = parseKeepAlive(m_Parser.head().Fields.get("keep-alive"));
  if (m_Handler)
    m_Handler->onAnswerHead(m_Parser.head());
}

void TargetConnection::onBody(std::string_view Bytes) {
  if (m_Handler)
    m_Handler->onAnswerBody(Bytes);
}

void TargetConnection::complete(bool Surplus) {
  auto *Handler = m_Handler;
  m_Handler = nullptr;
  m_IdleSince = std::chrono::steady_clock::now();
  // A connection is not used again after surplus bytes, or if the server
  // answered before it was sent the whole request: it would read the next
  // request as the rest of this one.
  if (Surplus || m_WritePending || !m_Parser.head().KeepAlive ||
      m_Written < m_Writing.size())
    shut();
  else
    read();
  m_Writing.clear();
  Handler->onAnswerEnd();
}

void TargetConnection::fail(std::error_code Error, bool Malformed) {
  auto *Handler = m_Handler;
  m_Handler = nullptr;
  ExchangeFailure Failure;
  Failure.Error = Error;
  Failure.Malformed = Malformed;
  Failure.NothingSent = !m_WritePending && m_Written == 0;
  shut();
  Handler->onExchangeFailed(Failure);
}

bool TargetConnection::isReusable(TimePoint Now) const {
  if (!m_Open || m_Handler)
    return false;
  // A server closes an idle connection without notice; half of its announced
  // time leaves room for delays on the way.
  return m_KeptFor == Duration{0} || idleFor(Now) < m_KeptFor / 2;
}

void TargetConnection::shut() {
  m_Open = false;
  std::error_code Ignored; // The descriptor is released in any case.
  m_Timer.cancel();
  m_Socket.close(Ignored);
}

void TargetConnection::close() {
  m_Handler = nullptr;
  shut();
}

} // namespace mangodeck::http
