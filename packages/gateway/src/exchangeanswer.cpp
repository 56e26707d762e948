// What an exchange does with the answer of its target.
#include "mangodeck/gateway/exchange.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace mangodeck {

namespace {

using std::chrono::duration_cast;

/// Largest answer, other than a stream, that is buffered until it is complete.
constexpr std::size_t MaxBufferedAnswerBytes = 4 << 20;
/// Bytes of a stream without a whole event after which the stream is given up.
constexpr std::size_t MaxBytesBetweenEvents = 1 << 20;
/// Unread bytes of a caller at which the stream to it is no longer read from
/// the target, and from which on it is read again.
constexpr std::size_t MaxUnreadStreamBytes = 1 << 20;
constexpr std::size_t ResumeUnreadStreamBytes = 512 << 10;
/// The former while memory for answers is short: what a caller that reads has
/// under way to it.
constexpr std::size_t MaxUnreadBytesUnderPressure = 64 << 10;
/// Longest pause in reading an answer. Targets cut off an answer that stays
/// unread for some seconds, and its slot is taken meanwhile.
constexpr Duration MaxReadingPause = 1s;
/// Bytes of a stream without a whole event from which on they are counted as
/// memory for answers.
constexpr std::size_t MinCountedFrameBytes = 64 << 10;
/// Time after its first event from which on a stream counts as sound. A target
/// that crashes over a request does so as it begins to answer.
constexpr Duration SoundStreamTime = 300ms;

/// The length that the head of an answer states for its body, as far as it is
/// buffered; 0 if it states none.
std::size_t statedLength(const http::ResponseHead &Head) {
  const auto Text = Head.Fields.get("Content-Length");
  std::size_t Length = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  return Length <= MaxBufferedAnswerBytes ? Length : 0;
}

/// Whether \p Status tells the caller that its request has not been run.
bool promisesNotExecuted(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

void Exchange::clearAnswer() {
  m_Context.Control.releaseBuffer(std::exchange(m_BufferedBytes, 0));
  m_AnswerBody.clear();
  m_ReadingPausedAt = std::nullopt;
  m_Frames.clear();
  m_BytesSinceEvent = 0;
}

void Exchange::onAnswerHead(const http::ResponseHead &Head) {
  const auto Now = std::chrono::steady_clock::now();
  m_LastProgressAt = m_Target->LastByteAt = m_AnswerBegunAt = Now;
  m_AnswerHead = Head;
  const auto &Names = m_Context.Names;
  const auto *ReturnedId = Head.Fields.find(Names.AttemptId);
  // Targets return the attempt id. A different one shows that the answer
  // belongs to another request, e.g. an earlier one on this connection.
  // Without an id, only the first answer on a connection is certainly its own:
  // a later one may be a second copy of the answer before it.
  if (!m_Facts.AttemptId.empty() &&
      (ReturnedId ? *ReturnedId != m_Facts.AttemptId
                  : m_Connection->isReused()))
    m_AnswerInvalid = true;
  else // An answer that is spoiled otherwise still tells the target's state.
    recordTargetState(Head, Now);
  const bool Success = Head.Status / 100 == 2;
  if (Head.Fields.find("Content-Encoding") ||
      (Success && !Head.Fields.find(Names.ResponseStamp)))
    m_AnswerInvalid = true;
  // Nothing of such an answer is used, and its body may have no end.
  if (m_AnswerInvalid)
    return giveUpAnswer("answer not ours");
  if (Head.Status != 421)
    recordTargetRateLimit(Head, Now);
  m_Rejected = Head.Status == 421 || Head.Fields.find(Names.NotExecuted);
  m_IsStream = Success && !m_AnswerInvalid &&
               Head.Fields.get("Content-Type").starts_with("text/event-stream");
}

void Exchange::recordTargetState(const http::ResponseHead &Head,
                                 TimePoint Now) {
  const auto &Names = m_Context.Names;
  const bool IsLeaving =
      parseTargetLeaving(Head.Fields.get(Names.TargetLeaving));
  if (Head.Status == 421) { // Another target answers at this address.
    if (IsLeaving)
      m_Context.Control.onOtherTargetLeaving(m_Target);
    return;
  }
  if (const auto Load = parseTargetLoad(Head.Fields.get(Names.TargetLoad))) {
    recordTargetLoad(*Load, Now);
    m_StatedPace = Load->Pace;
  }
  if (IsLeaving)
    m_Context.Control.onTargetLeaving(m_Target);
  const auto *RetryAfter = Head.Fields.find(Names.RetryAfter);
  if (Head.Status != 503 || !RetryAfter)
    return;
  const auto Pause = parseTargetPause(*RetryAfter);
  m_Target->pauseFor(Pause.value_or(DefaultTargetPause), Now);
  logEvent("target_paused",
           Pause ? std::string_view() : "unreadable Retry-After");
  m_Context.Control.onTargetPaused(m_Target);
}

void Exchange::recordTargetLoad(const TargetLoadStatement &Load,
                                TimePoint Now) {
  m_Target->recordLoad(Load.Requests, Now);
  if (Load.Pace)
    m_Target->Pace.record(*Load.Pace, Now);
}

void Exchange::recordTargetRateLimit(const http::ResponseHead &Head,
                                     TimePoint Now) {
  const auto *Field = Head.Fields.find(m_Context.Names.TargetRateLimit);
  const auto &Limit = m_Target->rateLimit();
  if (!Field) {
    // Errors and rejections may be made before the target's state is known, or
    // by something in front of it.
    const bool IsSuccess = Head.Status / 100 == 2;
    if (Limit.isActive() && IsSuccess && m_SentAt > Limit.confirmedAt())
      m_Context.Control.onTargetRateLimit(m_Target, Head.Status,
                                          {std::nullopt, Now});
    return;
  }
  const auto PerSecond = parseTargetRateLimit(*Field);
  if (!PerSecond)
    return logEvent("target_limit_unreadable", boundedText(*Field));
  m_Context.Control.onTargetRateLimit(m_Target, Head.Status, {PerSecond, Now});
}

void Exchange::onAnswerBody(std::string_view Bytes) {
  m_Target->LastByteAt = std::chrono::steady_clock::now();
  if (m_IsStream) {
    m_BytesSinceEvent += Bytes.size();
    if (m_BytesSinceEvent > MaxBytesBetweenEvents) {
      recordTargetFailure(m_Target->LastByteAt);
      return giveUpAnswer("too many bytes without an event");
    }
    const auto Size = m_Frames.pendingBytes() + Bytes.size();
    if (Size > MinCountedFrameBytes && !bufferUpTo(Size))
      return giveUpAnswer("no memory for the event");
    m_Frames.append(Bytes);
    return relayEvents();
  }
  m_LastProgressAt = m_Target->LastByteAt;
  const auto Size = m_AnswerBody.size() + Bytes.size();
  const auto Grown = m_AnswerBody.capacityFor(Size);
  if (Size > MaxBufferedAnswerBytes ||
      Grown > m_Context.Control.maxAnswerBytes()) {
    recordTargetFailure(m_Target->LastByteAt);
    return giveUpAnswer("answer too large");
  }
  // Step 1. Count what the body takes: with a length all of it at once.
  const auto Wanted = std::max(Size > m_BufferedBytes ? Grown : m_BufferedBytes,
                               m_AnswerBody.empty() ? statedLength(m_AnswerHead)
                                                    : std::size_t(0));
  if (!bufferUpTo(Wanted)) {
    // Step 2. Without memory, read no more until there is. These bytes have
    // been read and are kept.
    if (Grown > m_BufferedBytes)
      m_Context.Control.overdrawBuffer(Grown -
                                       std::exchange(m_BufferedBytes, Grown));
    m_WantedBytes = std::max(Wanted, statedLength(m_AnswerHead));
    m_ReadingPausedAt = m_LastProgressAt;
    m_Connection->pauseReading();
  }
  m_AnswerBody.reserve(m_BufferedBytes);
  m_AnswerBody.append(Bytes);
}

bool Exchange::bufferUpTo(std::size_t Bytes) {
  if (Bytes > m_BufferedBytes && !m_Context.Control.bufferAnswer(
                                     *m_Caller, Bytes - m_BufferedBytes, Bytes))
    return false;
  m_BufferedBytes = std::max(m_BufferedBytes, Bytes);
  return true;
}

bool Exchange::isCallerBehind(std::size_t MaxUnreadBytes) {
  const auto Unread = m_Caller->pendingBytes();
  return Unread > MaxUnreadBytes ||
         (Unread > MaxUnreadBytesUnderPressure &&
          m_Context.Control.isAnswerMemoryShort(*m_Caller));
}

void Exchange::checkReadingPause(TimePoint Now) {
  // Step 1. Read on if the caller has taken enough, or there is memory.
  if (m_IsStream ? !isCallerBehind(ResumeUnreadStreamBytes)
                 : bufferUpTo(m_WantedBytes)) {
    m_ReadingPausedAt = std::nullopt;
    m_LastProgressAt = Now;
    if (!m_IsStream)
      m_AnswerBody.reserve(m_BufferedBytes);
    return m_Connection->resumeReading();
  }
  if (Now - *m_ReadingPausedAt < MaxReadingPause)
    return;

  // Step 2. End the pause, to free the slot.
  if (m_IsStream) {
    logEvent("caller_slow", "unread bytes");
    return terminate();
  }
  // The target is not at fault, and another one's answer would meet the same.
  logEvent("answer_given_up", "no memory for the answer");
  releaseTarget(false);
  fail("no memory for the answer");
}

void Exchange::giveUpAnswer(std::string_view Reason) {
  logEvent("answer_given_up", Reason);
  releaseTarget(false);
  handleSendFailure(SendFailure::MayHaveRun, Reason);
}

void Exchange::relayEvents() {
  const auto Now = std::chrono::steady_clock::now();
  const auto Epoch = m_SendEpoch;
  while (m_Phase == Phase::Sent && m_SendEpoch == Epoch) {
    const auto Event = m_Frames.next();
    if (!Event)
      return;
    if (!relayEvent(*Event, Now)) {
      releaseTarget(false);
      return handleSendFailure(SendFailure::MayHaveRun, "event out of order");
    }
  }
}

bool Exchange::relayEvent(std::string_view Event, TimePoint Now) {
  // Step 1. Check the id. Ids increase by one within a stream, also when
  // another target resumes it.
  const auto Id = parseEventId(Event);
  if (Id && m_LastEventId && *Id != *m_LastEventId + 1)
    return false;
  if (Id)
    m_LastEventId = Id;

  // A comment or a part of an event keeps the connection alive, but the
  // request has made no progress.
  if (Id || !findSseField(Event, "data").empty())
    m_LastProgressAt = Now, m_BytesSinceEvent = 0;

  // Step 2. The first event of a send ends the prefill, and the first event of
  // the request starts the stream to the caller.
  if (m_PendingPrefillTokens > 0) {
    m_Target->OwnPrefillTokens -= m_PendingPrefillTokens;
    m_PendingPrefillTokens = 0;
    m_Context.Control.onFirstEvent(*this);
  }
  if (!m_StreamStarted)
    sendHead();

  // Step 3. Measure the target's pace, mainly by the shorter pauses: in the
  // longer ones the engine also reads prompts of other requests.
  const auto Gap = Now - m_LastEventAt;
  if (m_EventCount > 0) {
    m_LongestEventGap = std::max<Duration>(m_LongestEventGap, Gap);
    const auto Weight = Gap < m_LowEventGap ? 0.25 : 0.05;
    m_LowEventGap = m_EventCount == 1
                        ? Duration(Gap)
                        : m_LowEventGap + duration_cast<Duration>(
                                              Weight * (Gap - m_LowEventGap));
  }
  m_LastEventAt = Now;
  if (++m_EventCount == 1)
    m_AnswerBegunAt = Now;
  else if (Now - m_AnswerBegunAt >= SoundStreamTime)
    recordSoundAnswer(m_AnswerBegunAt);

  // Step 4. Send the event to the caller. Read no more for a caller that reads
  // too slowly.
  m_Caller->sendChunk(Event);
  if (!m_ReadingPausedAt && isCallerBehind(MaxUnreadStreamBytes)) {
    m_ReadingPausedAt = Now;
    m_Connection->pauseReading();
  }
  return true;
}

void Exchange::sendHead() {
  m_StreamStarted = true;
  const auto Now = std::chrono::steady_clock::now();
  m_FirstEventAt = Now;
  m_FirstVersion = m_Target->Entry.Version;
  m_FirstTarget = m_Target;
  m_Version = m_Target->Version;
  m_IsVersionCertain = versionAtTarget() != NoVersion;
  m_Context.Metrics.observeFirstEvent(m_Route.Name, Now - m_Arrival);
  auto Fields = m_AnswerHead.Fields;
  http::removeConnectionFields(Fields);
  Fields.remove("Content-Length");
  m_Caller->startStream(m_AnswerHead.Status, m_AnswerHead.Reason,
                        std::move(Fields));
}

void Exchange::onAnswerEnd() {
  const auto Now = std::chrono::steady_clock::now();
  // The end of the connection ends a stream without length only after a whole
  // event: a target that crashes before the first closes it, too.
  const bool IsStreamWhole =
      m_Frames.pendingBytes() == 0 &&
      (m_EventCount > 0 || !m_AnswerHead.IsCloseDelimited);
  if (m_IsStream && IsStreamWhole) {
    recordTargetSuccess(Now);
    recordSoundAnswer(m_AnswerBegunAt);
    recordOutput(true);
    if (m_EventCount >= MinEventsForPace)
      if (const auto *Planned = m_Plan->findService(m_Service))
        m_Target->recordEventGap(m_LowEventGap, Planned->TokensPerEvent);
    m_Context.Control.onAnswer(*this, false);
    if (!m_StreamStarted)
      sendHead();
    releaseTarget(true);
    m_Caller->endStream();
    return end("answered", "", m_AnswerHead.Status);
  }
  if (m_IsStream || m_AnswerInvalid) {
    const auto BrokenTarget = m_Target;
    const bool MayHaveCrashed = m_IsStream && m_AnswerHead.IsCloseDelimited;
    releaseTarget(false);
    constexpr std::string_view Reason = "answer not whole or not ours";
    if (!MayHaveCrashed || !m_Context.Control.onIncompleteAnswer(
                               shared_from_this(), BrokenTarget, Reason))
      handleSendFailure(SendFailure::MayHaveRun, Reason);
    return;
  }
  if (m_Rejected) {
    const bool Misdirected = m_AnswerHead.Status == 421;
    if (Misdirected)
      m_Target->MarkedDown = true;
    else if (!m_Target->isPaused(Now)) // A pause is no failure.
      recordTargetFailure(Now);
    logEvent("rejected", fmt::format("status {}", m_AnswerHead.Status));
    if (const auto Attempt = attemptHash())
      m_Connection->recordRefusal(*Attempt);
    releaseTarget(true);
    return handleSendFailure(SendFailure::Rejected, "rejected by the target");
  }
  if (m_AnswerHead.Status < 500 && !promisesNotExecuted(m_AnswerHead.Status))
    recordTargetSuccess(Now);
  if (m_AnswerHead.Status / 100 == 2)
    recordSoundAnswer(m_AnswerBegunAt);
  if (!promisesNotExecuted(m_AnswerHead.Status))
    m_Context.Control.onAnswer(*this, m_AnswerHead.Status >= 500);
  releaseTarget(true);
  deliver();
}

void Exchange::deliver() {
  const auto Now = std::chrono::steady_clock::now();
  const int Status = m_AnswerHead.Status;
  // A status of 500 or more may be a fault of this target: try another one.
  if (Status >= 500 && mayRetry(SendFailure::MayHaveRun) &&
      m_SendCount < m_Route.Attempts)
    return handleSendFailure(SendFailure::MayHaveRun,
                             fmt::format("status {}", Status));
  if (m_StreamStarted) { // The target did not resume the stream.
    releaseTarget(false);
    m_Caller->abort();
    return end("broken_off", fmt::format("status {} on resume", Status),
               Status);
  }
  // These statuses promise that the request has not run, but it may have.
  if (promisesNotExecuted(Status))
    return answerCaller(502, "target failed", std::nullopt);
  auto Fields = m_AnswerHead.Fields;
  http::removeConnectionFields(Fields);
  Fields.remove("Content-Length");
  m_Context.Metrics.observeFirstEvent(m_Route.Name, Now - m_Arrival);
  // The connection counts the body from here on.
  m_Context.Control.releaseBuffer(std::exchange(m_BufferedBytes, 0));
  m_Caller->sendAnswer(Status, std::move(Fields), std::move(m_AnswerBody));
  end(Status < 400 ? "answered" : "target_error", "", Status);
}

} // namespace mangodeck
