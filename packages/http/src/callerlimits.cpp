// The limits of a caller's connection: what memory it holds, and when it is
// closed or made to give something up.
#include "mangodeck/http/callerconnection.h"

#include <algorithm>
#include <functional>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace mangodeck::http {

namespace {

/// How long incoming bytes are read and discarded after the caller has taken
/// the last byte of the last answer. Closing a socket with unread bytes resets
/// the connection, and the caller may then lose the answer.
constexpr Duration LingerTime = 1s;
/// A connection is closed if its caller takes nothing of the last answer for
/// this long, or has not taken all of it after MaxLingerTime.
constexpr Duration StallTimeout = 2s;
constexpr Duration MaxLingerTime = 30s;
/// A connection is closed as idle only after this time, several round trips to
/// a caller.
constexpr Duration MinIdleBeforeClose = 100ms;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

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
    return reject(408, "memory needed for others");
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
    reject(408, "connection needed for others");
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
        reject(408, IsHeadLate ? "head too late" : "body too late");
    } else if (m_AwaitsWrites) {
      if (Now - m_AnswerProgressAt > m_Bounds.IdleTimeout)
        abort(); // The caller takes no answers.
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

} // namespace mangodeck::http
