#include "mangodeck/http/callerconnection.h"

#include "readbuffer.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <utility>

namespace mangodeck::http {

namespace {

/// While one request is being answered, reading pauses when this many bytes of
/// following requests are buffered.
constexpr std::size_t MaxReadAheadBytes = 64 << 10;

/// Bytes of answers that wait to be written at which the next request is not
/// read: a caller that sends requests faster than it takes their answers would
/// fill the memory.
constexpr std::size_t MaxWaitingAnswerBytes = 64 << 10;
/// Bytes of an answer that are passed to the socket at a time.
constexpr std::size_t MaxWriteBytes = 64 << 10;
/// Bytes that a caller has to send or take to count as making progress: one
/// that sends a byte now and then holds its memory like one that sends none.
constexpr std::size_t ProgressBytes = 4 << 10;
/// Bodies up to this length have no owner().
constexpr std::size_t MaxOwnerlessBytes = 64 << 10;
/// Bodies up to this length are copied behind the head of their answer.
constexpr std::size_t MaxCopiedBytes = 16 << 10;

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
  m_Socket.non_blocking(true, Ignored); // A failed socket fails to be read.
  m_LastActivity = steadyNow();
  read();
}

void CallerConnection::read() {
  if (m_Phase == Phase::Closed || m_PeerClosed)
    return;
  if (mustAwaitWrites())
    return awaitWrites();
  if (m_ReadPending)
    return;
  if (m_Phase == Phase::Answering && isReadAheadFull() && pauseReading())
    return;
  m_ReadPending = true;
  m_Socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [Self = shared_from_this()](std::error_code Error) {
                        Self->onReadable(Error);
                      });
}

void CallerConnection::onReadable(std::error_code Error) {
  m_ReadPending = false;
  if (m_Phase == Phase::Closed)
    return;
  if (mustAwaitWrites())
    return awaitWrites();
  const auto Buffer = readBuffer();
  for (int Count = 0; Count < MaxReadsAtOnce && !Error; ++Count) {
    auto Room = Buffer.size();
    if (m_Phase == Phase::Answering && !m_DiscardsRest) {
      Room = roomToReadAhead(Room);
      if (Room == 0 && pauseReading())
        return; // finishAnswer() reads on.
      Room = std::max<std::size_t>(Room, 1);
    }
    const auto Size =
        m_Socket.read_some(asio::buffer(Buffer.data(), Room), Error);
    if (Error)
      break;
    onBytes({Buffer.data(), Size});
    if (m_Phase == Phase::Closed)
      return;
    if (Size < Room || mustAwaitWrites())
      break;
  }
  if (Error && Error != asio::error::would_block)
    return onReadFailed();
  read();
}

void CallerConnection::onReadFailed() {
  m_PeerClosed = true;
  if (m_Phase == Phase::Answering)
    m_Handler.onCallerLeft(*this);
  close();
}

std::size_t CallerConnection::roomToReadAhead(std::size_t Wanted) {
  std::error_code Ignored; // The read meets the error, too.
  const auto Arrived = m_Socket.available(Ignored);
  // Without bytes, the read tells whether the caller has left.
  if (Arrived == 0)
    return 1;
  if (isReadAheadFull())
    return 0;
  const auto Room =
      std::min({Wanted, Arrived, MaxReadAheadBytes - m_Unparsed.size()});
  // The string may grow by doubling.
  return hold(MemoryUse::ReadAhead, 2 * (m_Unparsed.size() + Room)) ? Room : 0;
}

bool CallerConnection::isReadAheadFull() const {
  return m_Unparsed.size() >= MaxReadAheadBytes && !m_DiscardsRest;
}

bool CallerConnection::pauseReading() {
  if (holdUnread())
    return true;
  discardRest();
  return false;
}

bool CallerConnection::holdUnread() {
  // The system keeps what the receive buffer takes, about half of its size.
  asio::socket_base::receive_buffer_size Size;
  std::error_code Error;
  m_Socket.get_option(Size, Error);
  return !Error &&
         hold(MemoryUse::Unread, static_cast<std::size_t>(Size.value()) / 2);
}

bool CallerConnection::mustAwaitWrites() const {
  return m_Phase == Phase::Reading && !m_Parser.hasStarted() &&
         m_Answers.size() > MaxWaitingAnswerBytes;
}

void CallerConnection::awaitWrites() {
  m_AwaitsWrites = true;
  if (holdUnread())
    return;
  // Without memory for what the system keeps, nothing more is read.
  m_CloseAfterAnswer = true;
  m_Phase = Phase::Answering;
  finishAnswer();
}

void CallerConnection::discardRest() {
  m_DiscardsRest = m_CloseAfterAnswer = true;
  m_Unparsed = std::string();
  dropAll(MemoryUse::ReadAhead);
}

void CallerConnection::keepUnparsed(std::string_view Bytes) {
  if (Bytes.empty() || m_DiscardsRest)
    return;
  if (hold(MemoryUse::ReadAhead, 2 * (m_Unparsed.size() + Bytes.size())))
    m_Unparsed.append(Bytes);
  else if (m_Phase == Phase::Answering)
    discardRest();
  else
    reject(503, "no memory for bytes behind a request");
}

void CallerConnection::onBytes(std::string_view Bytes) {
  m_LastActivity = steadyNow();
  if (m_Phase == Phase::Reading)
    parseBuffered();
  if (m_Phase == Phase::Reading)
    Bytes.remove_prefix(parse(Bytes));
  if (m_Phase == Phase::Reading || m_Phase == Phase::Answering)
    keepUnparsed(Bytes);
}

void CallerConnection::parseBuffered() {
  if (m_Unparsed.empty())
    return;
  // Parsing may call the handler, which may call back.
  const auto Bytes = std::exchange(m_Unparsed, std::string());
  const auto Used = parse(Bytes);
  dropAll(MemoryUse::ReadAhead);
  if (m_Phase == Phase::Reading || m_Phase == Phase::Answering)
    keepUnparsed(std::string_view(Bytes).substr(Used));
}

std::size_t CallerConnection::parse(std::string_view Bytes) {
  std::size_t Used = 0;
  while (m_Phase == Phase::Reading && Used < Bytes.size() &&
         !mustAwaitWrites()) {
    if (!m_Parser.hasStarted())
      m_FirstByteTime = steadyNow();
    const auto Count = m_Parser.feed(Bytes.substr(Used));
    Used += Count;
    if (m_Parser.fault() != ParseFault::None && !m_IsRefused) {
      reject(statusOf(m_Parser.fault()), m_Parser.faultText());
      break;
    }
    if (!m_Parser.hasHead())
      m_IsRefused |= !hold(MemoryUse::Head, m_Parser.heldBytes());
    if (m_IsRefused) {
      reject(503, "no memory for the request");
      break;
    }
    if (!m_Parser.isComplete()) {
      if (Count == 0)
        break;
      continue;
    }
    m_Request.Head = std::move(m_Parser.head());
    m_CloseAfterAnswer |= !m_Request.Head.KeepAlive;
    m_IsHeadRequest = m_Request.Head.Method == "HEAD";
    m_Phase = Phase::Answering;
    auto Message = std::move(m_Request);
    m_Request = Request();
    m_Parser.reset();
    m_HasBytesBehind = Used < Bytes.size();
    m_Handler.onRequest(*this, std::move(Message), m_FirstByteTime);
    m_HasBytesBehind = false;
  }
  return Used;
}

void CallerConnection::onHead() {
  m_IsRefused |= !hold(MemoryUse::Head, m_Parser.heldBytes());
  m_BodyProgress = 0;
  m_BodyProgressAt = steadyNow();
  const auto Length = bodyLengthOf(m_Parser.head());
  if (Length <= m_Bounds.MaxBodyBytes)
    reserveBody(Length);
  if (m_Parser.head().ExpectsContinue && !m_IsRefused)
    write("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::reserveBody(std::size_t Capacity) {
  // A refusal ends the request, whatever fits after it.
  if (m_IsRefused)
    return;
  if (Capacity > MaxOwnerlessBytes && m_Owner == 0)
    m_Owner = findOwner();
  m_IsRefused = !hold(MemoryUse::Body, Capacity);
}

void CallerConnection::onBody(std::string_view Bytes) {
  auto &Content = m_Request.Body;
  const auto Size = Content.size() + Bytes.size();
  // A body with a length has been reserved whole.
  if (Size > held(MemoryUse::Body))
    reserveBody(Content.capacityFor(Size));
  if (m_IsRefused)
    return;
  if (Size > Content.capacity())
    Content.reserve(held(MemoryUse::Body));
  Content.append(Bytes);
  if (Size >= m_BodyProgress + ProgressBytes) {
    m_BodyProgress = Size;
    m_BodyProgressAt = m_LastActivity;
  }
}

void CallerConnection::reject(int Status, std::string_view Reason) {
  m_Handler.onRejected(Status, Reason, m_Parser.headBytes());
  m_Request = Request();
  m_Parser.reset();
  m_Phase = Phase::Answering;
  m_CloseAfterAnswer = true;
  sendAnswer(Status, m_Handler.rejectionFields(Status), reasonPhraseOf(Status));
}

bool CallerConnection::hasFollowingBytes() {
  std::error_code Ignored; // The next read meets the error, too.
  return m_HasBytesBehind || !m_Unparsed.empty() ||
         m_Socket.available(Ignored) > 0;
}

void CallerConnection::addConnectionField(HeaderList &Fields) {
  // A request that has arrived behind this one is answered before the
  // connection is closed.
  if (m_Handler.isLeaving() && !hasFollowingBytes())
    m_CloseAfterAnswer = true;
  if (m_CloseAfterAnswer)
    Fields.set("Connection", "close");
}

bool CallerConnection::mayHaveContent(int Status) const {
  return !m_IsHeadRequest && Status != 204 && Status != 304;
}

std::string CallerConnection::answerHead(int Status, HeaderList Fields,
                                         std::size_t BodyBytes) {
  addConnectionField(Fields);
  if (mayHaveContent(Status))
    Fields.set("Content-Length", std::to_string(BodyBytes));
  ResponseHead Head;
  Head.Status = Status;
  Head.Fields = std::move(Fields);
  return serialize(Head);
}

void CallerConnection::sendAnswer(int Status, HeaderList Fields,
                                  std::string_view Content) {
  if (m_Phase != Phase::Answering)
    return;
  auto Bytes = answerHead(Status, std::move(Fields), Content.size());
  if (mayHaveContent(Status))
    Bytes.append(Content);
  write(Bytes);
  finishAnswer();
}

void CallerConnection::sendAnswer(int Status, HeaderList Fields,
                                  Body &&Content) {
  if (Content.size() <= MaxCopiedBytes || !mayHaveContent(Status))
    return sendAnswer(Status, std::move(Fields), Content.view());
  if (m_Phase != Phase::Answering)
    return;
  writeBody(answerHead(Status, std::move(Fields), Content.size()),
            std::move(Content));
  finishAnswer();
}

void CallerConnection::startStream(int Status, std::string_view Reason,
                                   HeaderList Fields) {
  if (m_Phase != Phase::Answering)
    return;
  addConnectionField(Fields);
  m_StreamHasContent = mayHaveContent(Status);
  if (m_StreamHasContent)
    Fields.set("Transfer-Encoding", "chunked");
  ResponseHead Head;
  Head.Status = Status;
  Head.Reason = Reason;
  Head.Fields = std::move(Fields);
  write(serialize(Head));
}

void CallerConnection::sendChunk(std::string_view Data) {
  if (m_Phase != Phase::Answering || !m_StreamHasContent)
    return;
  std::string Bytes;
  Bytes.reserve(Data.size() + 16);
  appendChunk(Bytes, Data);
  write(Bytes);
}

void CallerConnection::endStream() {
  if (m_Phase != Phase::Answering)
    return;
  if (m_StreamHasContent)
    write(LastChunk);
  finishAnswer();
}

void CallerConnection::finishAnswer() {
  if (m_Phase != Phase::Answering)
    return;
  m_LastActivity = steadyNow();
  for (const auto Use : {MemoryUse::Head, MemoryUse::Body, MemoryUse::Unread})
    dropAll(Use);
  m_Owner = 0;
  if (m_CloseAfterAnswer) {
    m_Phase = Phase::Lingering;
    m_Unparsed = std::string();
    dropAll(MemoryUse::ReadAhead);
    m_LingerSince = m_LingerProgressAt = m_LastActivity;
    m_LingerUnsent = unsentBytes();
    if (!m_WritePending)
      shutdownSend();
    read();
    return;
  }
  m_Phase = Phase::Reading;
  if (m_Unparsed.empty())
    read();
  else
    parseLater();
}

void CallerConnection::parseLater() {
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
  if (m_Phase == Phase::Closed)
    return;
  const bool WasEmpty = m_Answers.size() == 0;
  m_Answers.append(Bytes);
  countPending(WasEmpty, Bytes.size());
  flush();
}

void CallerConnection::writeBody(std::string_view Head, Body &&Content) {
  if (m_Phase == Phase::Closed)
    return;
  const bool WasEmpty = m_Answers.size() == 0;
  const auto HeldBytes = Head.size() + Content.capacity();
  m_Answers.append(Head, std::move(Content));
  countPending(WasEmpty, HeldBytes);
  flush();
}

void CallerConnection::countPending(bool WasEmpty, std::size_t HeldBytes) {
  if (WasEmpty) {
    m_AnswerProgress = 0;
    m_AnswerProgressAt = steadyNow();
  }
  holdInAnyCase(MemoryUse::Answer, HeldBytes);
}

void CallerConnection::flush() {
  if (m_WritePending || m_Phase == Phase::Closed || !m_Answers.startNext())
    return;
  m_WritePending = true;
  m_WrittenBytes = m_AnswerProgress = 0;
  const auto Continue = [Self = shared_from_this()](std::error_code Error,
                                                    std::size_t Written) {
    Self->m_WrittenBytes = Written;
    if (Written >= Self->m_AnswerProgress + ProgressBytes) {
      Self->m_AnswerProgress = Written;
      Self->m_AnswerProgressAt = steadyNow();
    }
    return Error ? 0 : MaxWriteBytes;
  };
  const auto Write = [&](const auto &Buffers) {
    asio::async_write(
        m_Socket, Buffers, Continue,
        [Self = shared_from_this()](std::error_code Error, std::size_t) {
          Self->onWritten(Error);
        });
  };
  const auto Large = m_Answers.current().Large.view();
  Write(std::array<asio::const_buffer, 2>{
      asio::buffer(m_Answers.current().Bytes),
      asio::buffer(Large.data(), Large.size())});
}

void CallerConnection::onWritten(std::error_code Error) {
  m_WritePending = false;
  if (m_Phase != Phase::Closed)
    drop(MemoryUse::Answer, m_Answers.current().heldBytes());
  m_Answers.finishCurrent();
  m_WrittenBytes = 0;
  if (m_Phase == Phase::Closed)
    return;
  if (Error) {
    if (m_Phase == Phase::Answering)
      m_Handler.onCallerLeft(*this);
    close();
    return;
  }
  if (m_AwaitsWrites && !mustAwaitWrites()) {
    m_AwaitsWrites = false;
    dropAll(MemoryUse::Unread);
    parseLater();
  }
  if (m_Answers.size() > 0)
    flush();
  else if (m_Phase == Phase::Lingering)
    shutdownSend();
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

void CallerConnection::close() {
  if (m_Phase == Phase::Closed)
    return;
  m_Phase = Phase::Closed;
  for (std::size_t Use = 0; Use < MemoryUses; ++Use)
    dropAll(static_cast<MemoryUse>(Use));
  std::error_code Ignored; // close() releases the descriptor also on error.
  m_Socket.close(Ignored);
  m_Handler.onClosed(*this);
}

} // namespace mangodeck::http
