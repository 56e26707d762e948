#include "mangodeck/http/callerconnection.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace mangodeck::http {

namespace {

/// Bytes of following requests kept while one is being answered; more are left
/// to the socket.
constexpr std::size_t MaxReadAheadBytes = 64 << 10;
/// How long unread bytes are discarded after the last answer. A connection
/// that is closed with unread bytes is reset, and the answer may be lost.
constexpr Duration LingerTime = 1s;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

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
  std::error_code Ignored; // A missing option costs latency only.
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_LastActive = steadyNow();
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
  m_LastActive = steadyNow();
  if (m_Phase != Phase::Lingering) {
    m_Unparsed.append(m_Buffer.data(), Size);
    if (m_Phase == Phase::Reading)
      consume();
  }
  read();
}

void CallerConnection::consume() {
  while (m_Phase == Phase::Reading && !m_Unparsed.empty()) {
    if (!m_Parser.hasStarted())
      m_FirstByte = steadyNow();
    const auto Used = m_Parser.feed(m_Unparsed);
    m_Unparsed.erase(0, Used);
    if (m_OverBudget)
      return reject(503);
    if (m_Parser.fault() != ParseFault::None)
      return reject(statusOf(m_Parser.fault()));
    if (!m_Parser.isComplete()) {
      if (Used == 0)
        return;
      continue;
    }
    m_Request.Head = std::move(m_Parser.head());
    m_CloseAfter = !m_Request.Head.KeepAlive;
    m_HeadOnly = m_Request.Head.Method == "HEAD";
    m_Phase = Phase::Answering;
    auto Message = std::move(m_Request);
    m_Request = Request();
    m_Parser.reset();
    m_Handler.onRequest(*this, std::move(Message), m_FirstByte);
  }
}

void CallerConnection::onHead() {
  if (m_Parser.head().ExpectsContinue)
    write("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::onBody(std::string_view Bytes) {
  m_OverBudget = !m_Handler.mayBuffer(m_Request.Body.size() + Bytes.size());
  if (!m_OverBudget)
    m_Request.Body.append(Bytes);
}

void CallerConnection::reject(int Status) {
  m_Handler.onRejected(Status, m_Parser.headBytes());
  m_Phase = Phase::Answering;
  m_CloseAfter = true;
  sendAnswer(Status, HeaderList(), reasonOf(Status));
}

void CallerConnection::frameHead(HeaderList &Fields) {
  if (m_Handler.isLeaving())
    m_CloseAfter = true;
  if (m_CloseAfter)
    Fields.set("Connection", "close");
}

void CallerConnection::sendAnswer(int Status, HeaderList Fields,
                                  std::string_view Body) {
  if (m_Phase != Phase::Answering)
    return;
  frameHead(Fields);
  if (Status != 204 && Status != 304)
    Fields.set("Content-Length", std::to_string(Body.size()));
  ResponseHead Head;
  Head.Status = Status;
  Head.Fields = std::move(Fields);
  auto Bytes = serialize(Head);
  if (!m_HeadOnly)
    Bytes.append(Body);
  write(Bytes);
  finishAnswer();
}

void CallerConnection::startStream(int Status, std::string_view Reason,
                                   HeaderList Fields) {
  if (m_Phase != Phase::Answering)
    return;
  frameHead(Fields);
  Fields.set("Transfer-Encoding", "chunked");
  ResponseHead Head;
  Head.Status = Status;
  Head.Reason = Reason;
  Head.Fields = std::move(Fields);
  write(serialize(Head));
}

void CallerConnection::sendChunk(std::string_view Data) {
  if (m_Phase != Phase::Answering || m_HeadOnly)
    return;
  std::string Bytes;
  Bytes.reserve(Data.size() + 16);
  appendChunk(Bytes, Data);
  write(Bytes);
}

void CallerConnection::endStream() {
  if (m_Phase != Phase::Answering)
    return;
  if (!m_HeadOnly)
    write(LastChunk);
  finishAnswer();
}

void CallerConnection::finishAnswer() {
  if (m_Phase != Phase::Answering)
    return;
  m_LastActive = steadyNow();
  if (m_CloseAfter) {
    m_Phase = Phase::Lingering;
    m_LingerSince = m_LastActive;
    if (!m_WritePending)
      linger();
    read();
    return;
  }
  m_Phase = Phase::Reading;
  if (m_Unparsed.empty()) {
    read();
    return;
  }
  // Parsing the next request may answer it at once; not from within the
  // handler of this one.
  asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
    if (Self->m_Phase != Phase::Reading)
      return;
    Self->consume();
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
  asio::async_write(
      m_Socket, asio::buffer(m_Writing),
      [Self = shared_from_this()](std::error_code Error, std::size_t) {
        Self->m_WritePending = false;
        Self->m_Writing.clear();
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
          Self->linger();
      });
}

void CallerConnection::linger() {
  std::error_code Ignored; // The peer may have closed it already.
  m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
}

void CallerConnection::abort() {
  if (m_Phase == Phase::Closed)
    return;
  std::error_code Ignored; // Closing without linger is enough if it fails.
  m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  close();
}

void CallerConnection::closeIfIdle() {
  if (m_Phase != Phase::Reading || m_Parser.hasStarted() ||
      !m_Unparsed.empty() || m_WritePending)
    return;
  // Nothing is read any longer: a request that crosses the close must not
  // have been read, so that its caller may send it again.
  close();
}

void CallerConnection::checkTimeouts(TimePoint Now) {
  if (m_Phase == Phase::Lingering && Now - m_LingerSince > LingerTime) {
    close();
  } else if (m_Phase == Phase::Reading) {
    if (m_Parser.hasStarted()) {
      const bool HeadLate =
          !m_Parser.hasHead() && Now - m_FirstByte > m_Bounds.HeadTimeout;
      const bool BodyLate =
          m_Parser.hasHead() && Now - m_LastActive > m_Bounds.BodyTimeout;
      if (HeadLate || BodyLate)
        reject(408);
    } else if (Now - m_LastActive > m_Bounds.IdleTimeout) {
      closeIfIdle();
    }
  }
}

void CallerConnection::close() {
  if (m_Phase == Phase::Closed)
    return;
  m_Phase = Phase::Closed;
  std::error_code Ignored; // The descriptor is released in any case.
  m_Socket.close(Ignored);
  m_Handler.onClosed(*this);
}

} // namespace mangodeck::http
