#include "mangodeck/http/callerconnection.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <utility>

namespace mangodeck::http {

namespace {

/// While one request is being answered, reading pauses when this many bytes of
/// following requests are buffered.
constexpr std::size_t MaxReadAheadBytes = 64 << 10;
/// How long incoming bytes are read and discarded after the caller has taken
/// the last byte of the last answer. Closing a socket with unread bytes resets
/// the connection, and the caller may then lose the answer.
constexpr Duration LingerTime = 1s;
/// A connection is closed if its caller takes nothing of the last answer for
/// this long, or has not taken all of it after MaxLingerTime.
constexpr Duration StallTimeout = 2s;
constexpr Duration MaxLingerTime = 30s;

/// Bytes of an answer that are passed to the socket at a time.
constexpr std::size_t MaxWriteBytes = 64 << 10;
/// A connection is closed as idle only after this time, several round trips to
/// a caller.
constexpr Duration MinIdleBeforeClose = 100ms;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

/// The length that the head of a request states for its body; 0 if it states
/// none. The parser has checked the field.
std::size_t bodyLengthOf(const RequestHead &Head) {
  const auto Text = Head.Fields.get("content-length");
  std::size_t Length = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  return Length;
}

int statusOf(ParseFault Fault) {
  switch (Fault) {
  case ParseFault::HeadTooLarge:
    return 431;
  case ParseFault::BodyTooLarge:
    return 413;
  default:
    return 400;
  }
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket Socket,
                                   CallerConnectionHandler &Handler,
                                   const CallerBounds &Bounds)
    : m_Socket(std::move(Socket)), m_Handler(Handler), m_Bounds(Bounds),
      m_Parser(*this, Bounds.MaxHeadBytes, Bounds.MaxBodyBytes) {}

void CallerConnection::start() {
  std::error_code Ignored; // Without the option only latency grows.
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_LastActivity = steadyNow();
  read();
}

void CallerConnection::read() {
  if (m_ReadPending || m_Phase == Phase::Closed || m_PeerClosed)
    return;
  if (m_Phase == Phase::Answering && m_Unparsed.size() >= MaxReadAheadBytes)
    return;
  m_ReadPending = true;
  m_Socket.async_read_some(
      asio::buffer(m_Buffer),
      [Self = shared_from_this()](std::error_code Error, std::size_t Size) {
        Self->onRead(Error, Size);
      });
}

void CallerConnection::onRead(std::error_code Error, std::size_t Size) {
  m_ReadPending = false;
  if (m_Phase == Phase::Closed)
    return;
  if (Error) {
    m_PeerClosed = true;
    if (m_Phase == Phase::Answering)
      m_Handler.onCallerLeft(*this);
    close();
    return;
  }
  m_LastActivity = steadyNow();
  if (m_Phase != Phase::Lingering) {
    m_Unparsed.append(m_Buffer.data(), Size);
    if (m_Phase == Phase::Reading)
      parseBuffered();
  }
  read();
}

void CallerConnection::parseBuffered() {
  while (m_Phase == Phase::Reading && !m_Unparsed.empty()) {
    if (!m_Parser.hasStarted())
      m_FirstByteTime = steadyNow();
    const auto Used = m_Parser.feed(m_Unparsed);
    m_Unparsed.erase(0, Used);
    if (m_IsBodyRefused)
      return reject(503);
    if (m_Parser.fault() != ParseFault::None)
      return reject(statusOf(m_Parser.fault()));
    if (!m_Parser.isComplete()) {
      if (Used == 0)
        return;
      continue;
    }
    m_Request.Head = std::move(m_Parser.head());
    m_CloseAfterAnswer = !m_Request.Head.KeepAlive;
    m_IsHeadRequest = m_Request.Head.Method == "HEAD";
    m_Phase = Phase::Answering;
    auto Message = std::move(m_Request);
    m_Request = Request();
    m_Parser.reset();
    releaseReserved(); // The handler counts what it keeps.
    m_Handler.onRequest(*this, std::move(Message), m_FirstByteTime);
  }
}

void CallerConnection::onHead() {
  const auto Length = bodyLengthOf(m_Parser.head());
  if (Length <= m_Bounds.MaxBodyBytes)
    reserve(Length);
  if (m_Parser.head().ExpectsContinue && !m_IsBodyRefused)
    write("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::reserve(std::size_t Total) {
  // A refusal ends the request, whatever fits after it.
  if (m_IsBodyRefused || Total <= m_ReservedBytes)
    return;
  m_IsBodyRefused = !m_Handler.reserveBody(Total - m_ReservedBytes, Total);
  if (!m_IsBodyRefused)
    m_ReservedBytes = Total;
}

void CallerConnection::releaseReserved() {
  m_Handler.releaseBody(std::exchange(m_ReservedBytes, 0));
}

void CallerConnection::onBody(std::string_view Bytes) {
  const auto Total = m_Request.Body.size() + Bytes.size();
  reserve(Total);
  if (m_IsBodyRefused)
    return;
  // Growing by doubling would take more than was reserved.
  m_Request.Body.reserve(m_ReservedBytes);
  m_Request.Body.append(Bytes);
}

void CallerConnection::reject(int Status) {
  m_Handler.onRejected(Status, m_Parser.headBytes());
  m_Request = Request();
  releaseReserved();
  m_Phase = Phase::Answering;
  m_CloseAfterAnswer = true;
  sendAnswer(Status, m_Handler.rejectionFields(Status), reasonPhraseOf(Status));
}

void CallerConnection::addConnectionField(HeaderList &Fields) {
  if (m_Handler.isLeaving())
    m_CloseAfterAnswer = true;
  if (m_CloseAfterAnswer)
    Fields.set("Connection", "close");
}

void CallerConnection::sendAnswer(int Status, HeaderList Fields,
                                  std::string_view Body) {
  if (m_Phase != Phase::Answering)
    return;
  addConnectionField(Fields);
  if (Status != 204 && Status != 304)
    Fields.set("Content-Length", std::to_string(Body.size()));
  ResponseHead Head;
  Head.Status = Status;
  Head.Fields = std::move(Fields);
  auto Bytes = serialize(Head);
  if (!m_IsHeadRequest)
    Bytes.append(Body);
  write(Bytes);
  finishAnswer();
}

void CallerConnection::startStream(int Status, std::string_view Reason,
                                   HeaderList Fields) {
  if (m_Phase != Phase::Answering)
    return;
  addConnectionField(Fields);
  Fields.set("Transfer-Encoding", "chunked");
  ResponseHead Head;
  Head.Status = Status;
  Head.Reason = Reason;
  Head.Fields = std::move(Fields);
  write(serialize(Head));
}

void CallerConnection::sendChunk(std::string_view Data) {
  if (m_Phase != Phase::Answering || m_IsHeadRequest)
    return;
  std::string Bytes;
  Bytes.reserve(Data.size() + 16);
  appendChunk(Bytes, Data);
  write(Bytes);
}

void CallerConnection::endStream() {
  if (m_Phase != Phase::Answering)
    return;
  if (!m_IsHeadRequest)
    write(LastChunk);
  finishAnswer();
}

void CallerConnection::finishAnswer() {
  if (m_Phase != Phase::Answering)
    return;
  m_LastActivity = steadyNow();
  if (m_CloseAfterAnswer) {
    m_Phase = Phase::Lingering;
    m_LingerSince = m_LingerProgressAt = m_LastActivity;
    m_LingerUnsent = unsentBytes();
    if (!m_WritePending)
      shutdownSend();
    read();
    return;
  }
  m_Phase = Phase::Reading;
  if (m_Unparsed.empty()) {
    read();
    return;
  }
  // Posted, not called: parsing may call the handler with the next request, and
  // the handler may still be inside its call that finished this answer.
  asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
    if (Self->m_Phase != Phase::Reading)
      return;
    Self->parseBuffered();
    Self->read();
  });
}

void CallerConnection::write(std::string_view Bytes) {
  m_Queued.append(Bytes);
  flush();
}

void CallerConnection::flush() {
  if (m_WritePending || m_Queued.empty() || m_Phase == Phase::Closed)
    return;
  m_WritePending = true;
  m_Writing.swap(m_Queued);
  m_WrittenBytes = 0;
  const auto Continue = [Self = shared_from_this()](std::error_code Error,
                                                    std::size_t Written) {
    Self->m_WrittenBytes = Written;
    return Error ? 0 : MaxWriteBytes;
  };
  asio::async_write(
      m_Socket, asio::buffer(m_Writing), Continue,
      [Self = shared_from_this()](std::error_code Error, std::size_t) {
        Self->m_WritePending = false;
        Self->m_Writing.clear();
        Self->m_WrittenBytes = 0;
        if (Self->m_Phase == Phase::Closed)
          return;
        if (Error) {
          if (Self->m_Phase == Phase::Answering)
            Self->m_Handler.onCallerLeft(*Self);
          Self->close();
          return;
        }
        if (!Self->m_Queued.empty())
          Self->flush();
        else if (Self->m_Phase == Phase::Lingering)
          Self->shutdownSend();
      });
}

void CallerConnection::shutdownSend() {
  std::error_code Ignored; // Fails if the caller has closed the connection.
  m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
}

void CallerConnection::abort() {
  if (m_Phase == Phase::Closed)
    return;
  std::error_code Ignored; // Without the option a plain close also suffices.
  m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  close();
}

void CallerConnection::closeIfIdle() {
  if (m_Phase != Phase::Reading || m_Parser.hasStarted() ||
      !m_Unparsed.empty() || m_WritePending)
    return;
  // A request that has arrived and is not read yet is answered, and so is one
  // that the caller sends right after connecting.
  std::error_code Error;
  if (m_Socket.available(Error) > 0 ||
      steadyNow() - m_LastActivity < MinIdleBeforeClose)
    return;
  // The connection is closed without another read: a request that is in transit
  // is then never executed, and its caller can safely send it again.
  close();
}

void CallerConnection::checkTimeouts(TimePoint Now) {
  if (m_Phase == Phase::Lingering) {
    checkLinger(Now);
  } else if (m_Phase == Phase::Reading) {
    if (m_Parser.hasStarted()) {
      const bool IsHeadLate =
          !m_Parser.hasHead() && Now - m_FirstByteTime > m_Bounds.HeadTimeout;
      const bool IsBodyLate =
          m_Parser.hasHead() && Now - m_LastActivity > m_Bounds.BodyTimeout;
      if (IsHeadLate || IsBodyLate)
        reject(408);
    } else if (Now - m_LastActivity > m_Bounds.IdleTimeout) {
      closeIfIdle();
    }
  }
}

std::size_t CallerConnection::unsentBytes() {
  // A system that does not tell counts as having sent all.
  int InKernel = 0;
  if (::ioctl(m_Socket.native_handle(), SIOCOUTQ, &InKernel) != 0)
    InKernel = 0;
  return pendingBytes() - m_WrittenBytes +
         static_cast<std::size_t>(std::max(InKernel, 0));
}

void CallerConnection::checkLinger(TimePoint Now) {
  const auto Unsent = unsentBytes();
  if (Unsent < m_LingerUnsent)
    m_LingerProgressAt = Now;
  m_LingerUnsent = Unsent;
  const auto Timeout = Unsent > 0 ? StallTimeout : LingerTime;
  if (Now - m_LingerProgressAt > Timeout || Now - m_LingerSince > MaxLingerTime)
    close();
}

void CallerConnection::close() {
  if (m_Phase == Phase::Closed)
    return;
  m_Phase = Phase::Closed;
  releaseReserved();
  std::error_code Ignored; // close() releases the descriptor also on error.
  m_Socket.close(Ignored);
  m_Handler.onClosed(*this);
}

} // namespace mangodeck::http
