#include "mangodeck/http/callerconnection.h"

#include "readbuffer.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <functional>
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
/// Bytes that a caller has to send or take to count as making progress: one
/// that sends a byte now and then holds its memory like one that sends none.
constexpr std::size_t ProgressBytes = 4 << 10;
/// Bodies up to this length have no owner().
constexpr std::size_t MaxOwnerlessBytes = 64 << 10;
/// Memory of a connection that is kept for the next request or answer.
constexpr std::size_t MaxKeptCapacity = 16 << 10;
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
  m_Socket.non_blocking(true, Ignored); // A failed socket fails to be read.
  m_LastActivity = steadyNow();
  read();
}

bool CallerConnection::hold(MemoryUse Use, std::size_t Total) {
  auto &Held = m_Held[static_cast<std::size_t>(Use)];
  if (Total <= Held)
    return true;
  if (!m_Handler.reserveMemory(*this, Use, Total - Held, Total))
    return false;
  Held = Total;
  return true;
}

void CallerConnection::holdInAnyCase(MemoryUse Use, std::size_t Bytes) {
  m_Held[static_cast<std::size_t>(Use)] += Bytes;
  m_Handler.overdrawMemory(Use, Bytes);
}

void CallerConnection::drop(MemoryUse Use, std::size_t Bytes) {
  if (Bytes == 0)
    return;
  m_Held[static_cast<std::size_t>(Use)] -= Bytes;
  m_Handler.releaseMemory(Use, Bytes);
}

void CallerConnection::read() {
  if (m_ReadPending || m_Phase == Phase::Closed || m_PeerClosed)
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
    if (Size < Room)
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
  // The system keeps what the receive buffer takes, about half of its size.
  asio::socket_base::receive_buffer_size Size;
  std::error_code Error;
  m_Socket.get_option(Size, Error);
  if (!Error &&
      hold(MemoryUse::Unread, static_cast<std::size_t>(Size.value()) / 2))
    return true;
  discardRest();
  return false;
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
    reject(503);
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
  while (m_Phase == Phase::Reading && Used < Bytes.size()) {
    if (!m_Parser.hasStarted())
      m_FirstByteTime = steadyNow();
    const auto Count = m_Parser.feed(Bytes.substr(Used));
    Used += Count;
    if (m_Parser.fault() != ParseFault::None && !m_IsRefused) {
      reject(statusOf(m_Parser.fault()));
      break;
    }
    if (!m_Parser.hasHead())
      m_IsRefused |= !hold(MemoryUse::Head, m_Parser.heldBytes());
    if (m_IsRefused) {
      reject(503);
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
    m_Handler.onRequest(*this, std::move(Message), m_FirstByteTime);
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

void CallerConnection::reject(int Status) {
  m_Handler.onRejected(Status, m_Parser.headBytes());
  m_Request = Request();
  m_Parser.reset();
  m_Phase = Phase::Answering;
  m_CloseAfterAnswer = true;
  sendAnswer(Status, m_Handler.rejectionFields(Status), reasonPhraseOf(Status));
}

HeldMemory CallerConnection::heldMemory(MemoryUse Use) const {
  switch (Use) {
  case MemoryUse::Head:
  case MemoryUse::ReadAhead:
    // The head of a request that is being answered is needed.
    if (m_Phase == Phase::Reading && m_Parser.hasStarted())
      return {held(MemoryUse::Head),
              m_Parser.hasHead() ? m_BodyProgressAt : m_FirstByteTime};
    break;
  case MemoryUse::Body:
    if (m_Phase == Phase::Reading)
      return {held(MemoryUse::Body), m_BodyProgressAt};
    break;
  case MemoryUse::Answer:
    return {held(MemoryUse::Answer), m_AnswerProgressAt};
  case MemoryUse::Unread:
    break;
  }
  return {};
}

void CallerConnection::giveUp(MemoryUse Use) {
  if (heldMemory(Use).Bytes == 0)
    return;
  if (Use != MemoryUse::Answer)
    return reject(408);
  if (m_Phase == Phase::Answering)
    m_Handler.onCallerLeft(*this);
  abort();
}

std::optional<TimePoint> CallerConnection::unusedSince() const {
  if (m_Phase == Phase::Lingering)
    return m_LingerSince;
  if (m_Phase != Phase::Reading || m_Parser.hasHead() || m_WritePending)
    return std::nullopt;
  return m_Parser.hasStarted() ? m_FirstByteTime : m_LastActivity;
}

void CallerConnection::closeUnused() {
  if (!unusedSince())
    return;
  if (m_Phase == Phase::Reading && m_Parser.hasStarted())
    reject(408);
  if (m_Phase == Phase::Lingering)
    return close();
  closeIfIdle();
}

std::uint64_t CallerConnection::findOwner() {
  const auto Key = m_Parser.head().Fields.get("authorization");
  if (!Key.empty())
    return std::hash<std::string_view>()(Key);
  std::error_code Error;
  const auto Remote = m_Socket.remote_endpoint(Error);
  return Error ? 0 : std::hash<std::string>()(Remote.address().to_string());
}

void CallerConnection::addConnectionField(HeaderList &Fields) {
  if (m_Handler.isLeaving())
    m_CloseAfterAnswer = true;
  if (m_CloseAfterAnswer)
    Fields.set("Connection", "close");
}

std::string CallerConnection::answerHead(int Status, HeaderList Fields,
                                         std::size_t BodyBytes) {
  addConnectionField(Fields);
  if (Status != 204 && Status != 304)
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
  if (!m_IsHeadRequest)
    Bytes.append(Content);
  write(Bytes);
  finishAnswer();
}

void CallerConnection::sendAnswer(int Status, HeaderList Fields,
                                  Body &&Content) {
  if (Content.size() <= MaxKeptCapacity || m_IsHeadRequest)
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
  if (m_Phase == Phase::Closed)
    return;
  if (m_Queued.empty() || m_Queued.back().Large.size() > 0 ||
      m_Queued.back().Bytes.size() >= MaxWriteBytes)
    m_Queued.emplace_back().Bytes.swap(m_SpareBytes);
  m_Queued.back().Bytes.append(Bytes);
  countPending(Bytes.size(), Bytes.size());
  flush();
}

void CallerConnection::writeBody(std::string_view Head, Body &&Content) {
  if (m_Phase == Phase::Closed)
    return;
  auto &Item = m_Queued.emplace_back();
  Item.Bytes = Head;
  Item.Large = std::move(Content);
  countPending(Item.size(), Item.heldBytes());
  flush();
}

void CallerConnection::countPending(std::size_t Bytes, std::size_t Held) {
  if (m_PendingBytes == 0) {
    m_AnswerProgress = 0;
    m_AnswerProgressAt = steadyNow();
  }
  m_PendingBytes += Bytes;
  holdInAnyCase(MemoryUse::Answer, Held);
}

void CallerConnection::flush() {
  if (m_WritePending || m_Queued.empty() || m_Phase == Phase::Closed)
    return;
  m_WritePending = true;
  m_Writing = std::move(m_Queued.front());
  m_Queued.erase(m_Queued.begin());
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
  const auto Large = m_Writing.Large.view();
  if (Large.empty())
    Write(asio::buffer(m_Writing.Bytes));
  else
    Write(std::array<asio::const_buffer, 2>{
        asio::buffer(m_Writing.Bytes),
        asio::buffer(Large.data(), Large.size())});
}

void CallerConnection::onWritten(std::error_code Error) {
  m_WritePending = false;
  m_PendingBytes -= m_Writing.size();
  if (m_Phase != Phase::Closed)
    drop(MemoryUse::Answer, m_Writing.heldBytes());
  m_Writing.Large.clear();
  if (m_Writing.Bytes.capacity() <= MaxKeptCapacity) {
    m_Writing.Bytes.clear();
    m_SpareBytes.swap(m_Writing.Bytes);
  }
  m_Writing.Bytes = std::string();
  m_WrittenBytes = 0;
  if (m_Phase == Phase::Closed)
    return;
  if (Error) {
    if (m_Phase == Phase::Answering)
      m_Handler.onCallerLeft(*this);
    close();
    return;
  }
  if (!m_Queued.empty())
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
  for (std::size_t Use = 0; Use < MemoryUses; ++Use)
    dropAll(static_cast<MemoryUse>(Use));
  std::error_code Ignored; // close() releases the descriptor also on error.
  m_Socket.close(Ignored);
  m_Handler.onClosed(*this);
}

} // namespace mangodeck::http
