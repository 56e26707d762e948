#include "mangodeck/gateway/exchange.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace mangodeck {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Bytes of an answer that are kept until it is whole.
constexpr std::size_t MaxBufferedAnswer = 4 << 20;
/// Bytes that a caller may leave unread before its stream is broken off.
constexpr std::size_t MaxUnreadStream = 1 << 20;
/// Longest wait for the end of a request whose caller names no limit.
constexpr Duration DefaultDeadline = 60s;
/// Silence of a target after which a request that may be repeated goes on
/// elsewhere, if nothing else came from the target either.
constexpr Duration SilenceOfTarget = 700ms;
/// Silence after which it goes on elsewhere though the target answers others.
constexpr Duration SilenceOfRequest = 1600ms;
/// Multiple of its latency target that an idempotent request waits for an
/// answer before it is sent to another target.
constexpr int IdempotentPatience = 2;
/// A caller leaves a stream after a gap of two seconds, four times the
/// latency target or eight times the gap target, whichever is longest.
constexpr Duration LeastStreamPatience = 2s;
constexpr int LatencyPatience = 4;
constexpr int GapPatience = 8;
/// Multiple of its latency target that a request waits for a slot. Longer
/// waits end with a caller that has left; one that is refused comes back.
constexpr int WaitPatience = 1;
/// Multiple of the nominal time to the first event that is left for it: on a
/// busy engine other prompts are read in between.
constexpr int FirstEventMargin = 2;
/// Events that a stream needs to tell a target's pace.
constexpr std::uint32_t EventsForPace = 4;

bool isPromise(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

Exchange::Exchange(ExchangeParts Parts, TicketNumber Number,
                   std::shared_ptr<http::CallerConnection> Caller,
                   http::Request Message, RequestFacts Facts, RoutePlanPtr Plan,
                   const Route &Matched, const PlannedCustomer *Customer,
                   ServiceName Service, TimePoint Arrival)
    : m_Parts(Parts), m_Number(Number), m_Caller(std::move(Caller)),
      m_Message(std::move(Message)), m_Facts(std::move(Facts)),
      m_Plan(std::move(Plan)), m_Route(Matched), m_Customer(Customer),
      m_Service(std::move(Service)),
      m_Work(workOf(m_Facts, m_Plan->findService(m_Service))),
      m_Arrival(Arrival) {
  auto Limit = m_Facts.RemainingTime.value_or(DefaultDeadline);
  if (m_Route.Timeout > Duration{0})
    Limit = std::min(Limit, m_Route.Timeout);
  m_Deadline = Arrival + Limit;
}

RequestRank Exchange::rank() const {
  const auto Customer =
      m_Customer && m_Customer->Rank ? *m_Customer->Rank : m_Route.Rank;
  return {Customer, m_Route.Rank};
}

TimePoint Exchange::latestStart() const {
  return latencyDeadline() - nominalFirstEvent(m_Work) * FirstEventMargin;
}

TimePoint Exchange::latencyDeadline() const {
  if (m_Route.LatencyTarget <= Duration{0})
    return m_Deadline;
  return m_Arrival + m_Route.LatencyTarget;
}

TimePoint Exchange::latestWait() const {
  if (m_HeadSent || m_Route.LatencyTarget <= Duration{0})
    return giveUpTime();
  return std::min(giveUpTime() - nominalFirstEvent(m_Work),
                  m_Arrival + m_Route.LatencyTarget * WaitPatience);
}

TimePoint Exchange::giveUpTime() const {
  if (m_Route.Kind != RouteKind::Stream)
    return m_Deadline;
  const auto Patience =
      std::max({LeastStreamPatience, m_Route.LatencyTarget * LatencyPatience,
                m_Route.GapTarget * GapPatience});
  const auto Since = m_HeadSent ? m_LastByte : m_Arrival;
  return std::min(m_Deadline, Since + Patience);
}

void Exchange::dispatch(const ChosenTarget &Chosen, TimePoint Now) {
  m_Phase = Phase::Connecting;
  m_Target = Chosen.Target;
  m_ExpectedFirst = Chosen.FirstEvent;
  m_RunningAtSend = m_Target->running();
  m_Target->OwnRunning += 1;
  if (m_Target->Allowance > 0)
    m_Target->Allowance -= 1;
  m_Outcome = SlotOutcome::Unknown;
  m_PrefillBooked = m_Work.Prompt;
  m_Target->OwnPrefill += m_PrefillBooked;
  m_SentAt = Now;
  m_Answer = http::ResponseHead();
  m_Body.clear();
  m_Frames.clear();
  m_IsStream = m_Rejected = m_BadAnswer = false;
  m_EventsHere = 0;
  m_LowGap = Duration{0};
  const auto Epoch = ++m_Epoch;
  m_Parts.Pool.acquire(
      m_Target, !m_Route.mayRepeat(),
      [Self = shared_from_this(), Epoch, Target = m_Target](
          std::error_code Error, TargetConnectionPool::Connection Ready) {
        if (Self->m_Epoch == Epoch && Self->m_Phase == Phase::Connecting)
          Self->onConnected(Error, std::move(Ready));
        else // The request ended while it was being connected.
          Self->m_Parts.Pool.release(Target, std::move(Ready));
      });
}

void Exchange::onConnected(std::error_code Error,
                           TargetConnectionPool::Connection Ready) {
  const auto Now = std::chrono::steady_clock::now();
  if (Error) {
    m_Target->noteUnreachable(Now);
    m_Outcome = SlotOutcome::Unreachable;
    logStep("connect_failed", Error.message());
    return sendFailed(Doubt::NotSent, "connect failed");
  }
  if (!m_Target->isUsable(Now)) {
    m_Connection = std::move(Ready);
    releaseTarget(true);
    return sendFailed(Doubt::NotSent, "target left");
  }
  m_Phase = Phase::Sent;
  m_Connection = std::move(Ready);
  m_SentAt = m_LastByte = Now;
  if (m_FirstSentAt == TimePoint{})
    m_FirstSentAt = Now;
  ++m_Sends;
  ++m_RunsPossible;
  m_Parts.Metrics.countSend(m_Service.view(), m_Sends == 1 ? "first" : "again");
  m_Connection->exchange(serializeFor(*m_Target, Now),
                         m_Message.Head.Method == "HEAD", *this);
}

std::string Exchange::serializeFor(const KnownTarget &Target,
                                   TimePoint Now) const {
  const auto &Names = m_Parts.Names;
  http::RequestHead Head;
  Head.Method = m_Message.Head.Method;
  Head.Target = m_Message.Head.Target;
  Head.Fields = m_Message.Head.Fields;
  auto &Fields = Head.Fields;
  http::removeConnectionFields(Fields);
  for (const auto &Name : Names.Reserved)
    Fields.remove(Name);
  Fields.remove(Names.Authorization);
  const auto Left = std::max<std::int64_t>(
      1, duration_cast<milliseconds>(m_Deadline - Now).count());
  Fields.set(Names.RemainingTime, std::to_string(Left));
  Fields.set(Names.ExpectedTarget, Target.Entry.Id.Text);
  if (m_Customer)
    Fields.set(Names.Customer, m_Customer->Name.Text);
  if (m_HeadSent && m_LastEvent)
    Fields.set(Names.LastEventId, std::to_string(*m_LastEvent));
  Fields.remove("Content-Length");
  if (!m_Message.Body.empty() || m_Message.Head.Method == "POST" ||
      m_Message.Head.Method == "PUT")
    Fields.add("Content-Length", std::to_string(m_Message.Body.size()));
  return http::serialize(Head).append(m_Message.Body);
}

void Exchange::onAnswerHead(const http::ResponseHead &Head) {
  const auto Now = std::chrono::steady_clock::now();
  m_LastByte = m_Target->LastByte = Now;
  m_Answer = Head;
  const auto &Names = m_Parts.Names;
  if (const auto Load = parseLoad(Head.Fields.get(Names.TargetLoad)))
    m_Target->noteLoad(*Load, Now);
  const auto *Echo = Head.Fields.find(Names.AttemptId);
  // Answers to other requests, also such as come late on this connection, are
  // told by the id that they repeat.
  if (Echo && !m_Facts.AttemptId.empty() && *Echo != m_Facts.AttemptId)
    m_BadAnswer = true;
  const bool Success = Head.Status / 100 == 2;
  if (Head.Fields.find("Content-Encoding") ||
      (Success && !Head.Fields.find(Names.ResponseStamp)))
    m_BadAnswer = true;
  m_Rejected = Head.Status == 421 || Head.Fields.find(Names.NotExecuted);
  m_IsStream = Success && !m_BadAnswer &&
               Head.Fields.get("Content-Type").starts_with("text/event-stream");
}

void Exchange::onAnswerBody(std::string_view Bytes) {
  m_LastByte = m_Target->LastByte = std::chrono::steady_clock::now();
  if (m_IsStream) {
    m_Frames.append(Bytes);
    relayEvents();
  } else if (m_Body.size() + Bytes.size() > MaxBufferedAnswer) {
    m_BadAnswer = true;
  } else {
    m_Body.append(Bytes);
  }
}

void Exchange::relayEvents() {
  const auto Now = std::chrono::steady_clock::now();
  const auto Epoch = m_Epoch;
  while (m_Phase == Phase::Sent && m_Epoch == Epoch) {
    const auto Event = m_Frames.next();
    if (!Event)
      return;
    if (!relayEvent(*Event, Now)) {
      releaseTarget(false);
      return sendFailed(Doubt::MayHaveRun, "event out of order");
    }
  }
}

bool Exchange::relayEvent(std::string_view Event, TimePoint Now) {
  // Step 1. The ids grow by one within a stream, whichever target goes on
  // with it.
  const auto Id = parseEventId(Event);
  if (Id && m_LastEvent && *Id != *m_LastEvent + 1)
    return false;
  if (Id)
    m_LastEvent = Id;

  // Step 2. The first event ends the prefill and starts the answer.
  if (m_PrefillBooked > 0) {
    m_Target->OwnPrefill -= m_PrefillBooked;
    m_PrefillBooked = 0;
    m_Parts.Control.onFirstEvent(*this);
  }
  if (!m_HeadSent)
    sendHead();

  // Step 3. Measure the target's pace by the shorter gaps, which hold no
  // prefill of others.
  const auto Gap = Now - m_LastEventAt;
  if (m_EventsHere > 0) {
    m_WorstGap = std::max<Duration>(m_WorstGap, Gap);
    const auto Weight = Gap < m_LowGap ? 0.25 : 0.05;
    m_LowGap =
        m_EventsHere == 1
            ? Duration(Gap)
            : m_LowGap + duration_cast<Duration>(Weight * (Gap - m_LowGap));
  }
  m_LastEventAt = Now;
  ++m_EventsHere;

  // Step 4. Pass it on.
  m_Caller->sendChunk(Event);
  if (m_Caller->pendingBytes() > MaxUnreadStream) {
    logStep("caller_slow", "unread bytes");
    cutOff();
  }
  return true;
}

void Exchange::sendHead() {
  m_HeadSent = true;
  const auto Now = std::chrono::steady_clock::now();
  m_FirstByteAt = Now;
  m_Parts.Metrics.observeFirst(m_Route.Name, Now - m_Arrival);
  auto Fields = m_Answer.Fields;
  http::removeConnectionFields(Fields);
  Fields.remove("Content-Length");
  m_Caller->startStream(m_Answer.Status, m_Answer.Reason, std::move(Fields));
}

void Exchange::onAnswerEnd() {
  const auto Now = std::chrono::steady_clock::now();
  if (m_IsStream && m_Frames.pendingBytes() == 0) {
    noteTargetSuccess(Now);
    if (m_EventsHere >= EventsForPace)
      if (const auto *Planned = m_Plan->findService(m_Service))
        m_Target->learnPace(m_LowGap, Planned->TokensPerEvent);
    if (!m_HeadSent)
      sendHead();
    releaseTarget(true);
    m_Caller->endStream();
    return end("answered", "", m_Answer.Status);
  }
  if (m_IsStream || m_BadAnswer) {
    releaseTarget(false);
    return sendFailed(Doubt::MayHaveRun, "answer not whole or not ours");
  }
  if (m_Rejected) {
    const bool Misdirected = m_Answer.Status == 421;
    if (Misdirected)
      m_Target->Lost = true;
    else
      noteTargetFailure(Now);
    logStep("rejected", fmt::format("status {}", m_Answer.Status));
    releaseTarget(true);
    return sendFailed(Doubt::Rejected, "rejected by the target");
  }
  if (m_Answer.Status < 500 && !isPromise(m_Answer.Status))
    noteTargetSuccess(Now);
  releaseTarget(true);
  deliver();
}

void Exchange::deliver() {
  const auto Now = std::chrono::steady_clock::now();
  const int Status = m_Answer.Status;
  // A failure of the target's own may be its fault; another may do better.
  if (Status >= 500 && mayGoOn(Doubt::MayHaveRun) && m_Sends < m_Route.Attempts)
    return sendFailed(Doubt::MayHaveRun, fmt::format("status {}", Status));
  if (m_HeadSent) { // A resumed stream was answered with a failure.
    releaseTarget(false);
    m_Caller->abort();
    return end("broken_off", fmt::format("status {} on resume", Status),
               Status);
  }
  // These statuses promise that the request has not run; this one has.
  if (isPromise(Status))
    return answerOwn(502, "target failed", std::nullopt);
  auto Fields = m_Answer.Fields;
  http::removeConnectionFields(Fields);
  Fields.remove("Content-Length");
  m_Parts.Metrics.observeFirst(m_Route.Name, Now - m_Arrival);
  m_Caller->sendAnswer(Status, std::move(Fields), m_Body);
  end(Status < 400 ? "answered" : "target_error", "", Status);
}

void Exchange::onExchangeFailed(const http::ExchangeFailure &Failure) {
  const auto Now = std::chrono::steady_clock::now();
  noteTargetFailure(Now);
  const auto Broken = m_Target;
  logStep("send_failed", Failure.Error.message());
  if (Failure.NothingSent) {
    --m_Sends;
    --m_RunsPossible;
    releaseTarget(false);
    return sendFailed(Doubt::NotSent, "connection closed before the request");
  }
  releaseTarget(false);
  if (!Failure.Malformed)
    m_Parts.Control.onBrokenOff(Broken, m_Facts.Fingerprint);
  sendFailed(Doubt::MayHaveRun, Failure.Error.message());
}

bool Exchange::mayGoOn(Doubt Kind) const {
  if (Kind == Doubt::MayHaveRun && !m_Route.mayRepeat())
    return false;
  // A stream goes on behind its last event, so that event needs an id.
  return !m_HeadSent || m_LastEvent.has_value();
}

void Exchange::sendFailed(Doubt Kind, std::string_view Reason) {
  const auto Now = std::chrono::steady_clock::now();
  if (m_Phase == Phase::Over)
    return;
  releaseTarget(false);
  if (Kind == Doubt::Rejected && m_RunsPossible > 0)
    --m_RunsPossible;
  if (m_Target && Kind != Doubt::NotSent)
    m_Tried.push_back(m_Target);
  const bool Counts = Kind != Doubt::NotSent;
  const bool AttemptsLeft = !Counts || m_Sends < m_Route.Attempts;
  if (!mayGoOn(Kind) || !AttemptsLeft || Now >= giveUpTime() ||
      (Counts && !m_Parts.Budget.take(m_Service, Now)))
    return giveUp(Reason);
  logStep("again", Reason);
  m_Target = nullptr;
  m_Phase = Phase::Waiting;
  m_Parts.Control.waitForSlot(shared_from_this());
}

void Exchange::giveUp(std::string_view Reason) {
  if (m_HeadSent) {
    m_Caller->abort();
    return end("broken_off", Reason, 0);
  }
  if (m_RunsPossible == 0)
    return refuse(503, Reason, m_Parts.Control.comeBackAfter(*this));
  answerOwn(502, Reason, std::nullopt);
}

void Exchange::refuse(int Status, std::string_view Reason, Duration ComeBack) {
  answerOwn(Status, Reason, ComeBack);
}

void Exchange::answerOwn(int Status, std::string_view Reason,
                         std::optional<Duration> ComeBack) {
  if (m_Phase == Phase::Over)
    return;
  http::HeaderList Fields;
  if (!m_Facts.AttemptId.empty())
    Fields.add(m_Parts.Names.AttemptId, m_Facts.AttemptId);
  if (ComeBack)
    Fields.add(m_Parts.Names.RetryAfter,
               fmt::format("{:.2f}", toSeconds(*ComeBack)));
  Fields.add("Content-Type", "text/plain");
  m_Caller->sendAnswer(Status, std::move(Fields), Reason);
  end(Status == 429 || Status == 503 ? "refused" : "failed", Reason, Status);
}

void Exchange::callerLeft() {
  if (m_Phase == Phase::Over)
    return;
  releaseTarget(false);
  end("caller_left", "", 0);
}

void Exchange::cutOff() {
  if (m_Phase == Phase::Over)
    return;
  releaseTarget(false);
  if (m_HeadSent) {
    m_Caller->abort();
    return end("broken_off", "cut off", 0);
  }
  giveUp("cut off");
}

bool Exchange::isSilent(TimePoint Now) const {
  const auto Quiet = Now - m_LastByte;
  const auto TargetQuiet = Now - m_Target->LastByte;
  if (m_Route.Kind != RouteKind::Stream)
    return m_Route.LatencyTarget > Duration{0} &&
           Quiet > m_Route.LatencyTarget * IdempotentPatience;
  const auto Grace = m_EventsHere == 0 ? 2 * m_ExpectedFirst : Duration{0};
  return (Quiet > Grace + SilenceOfTarget && TargetQuiet > SilenceOfTarget) ||
         Quiet > Grace + SilenceOfRequest;
}

void Exchange::check(TimePoint Now) {
  if (m_Phase == Phase::Over || m_Phase == Phase::Waiting)
    return;
  if (Now >= m_Deadline) {
    logStep("deadline", "time limit passed");
    const bool Sent = m_Phase == Phase::Sent;
    releaseTarget(false);
    if (m_HeadSent) {
      m_Caller->abort();
      return end("broken_off", "time limit passed", 0);
    }
    return answerOwn(Sent || m_RunsPossible > 0 ? 504 : 503,
                     "time limit passed", std::nullopt);
  }
  if (m_Phase == Phase::Sent && m_Route.mayRepeat() &&
      m_Sends < m_Route.Attempts && isSilent(Now) &&
      m_Parts.Budget.left(m_Service, Now) >= 1) {
    noteTargetFailure(Now);
    logStep("silent", fmt::format("quiet for {} ms", ageMs(m_LastByte, Now)));
    releaseTarget(false);
    sendFailed(Doubt::MayHaveRun, "target silent");
  }
}

void Exchange::releaseTarget(bool Reuse) {
  ++m_Epoch;
  if (m_Connection) {
    if (Reuse)
      m_Parts.Pool.release(m_Target, std::move(m_Connection));
    else
      m_Connection->close();
    m_Connection = nullptr;
  }
  if (!isAtTarget())
    return;
  m_Phase = Phase::Waiting;
  m_Target->OwnRunning -= 1;
  m_Target->Allowance += 1;
  m_Target->OwnPrefill -= m_PrefillBooked;
  m_PrefillBooked = 0;
  SlotNote Use;
  Use.Number = m_Number;
  Use.What = SlotNote::Kind::Ended;
  Use.Target = m_Target->Hash;
  Use.Outcome = m_Outcome;
  const auto *Planned = m_Plan->findService(m_Service);
  if (m_EventsHere >= EventsForPace && Planned) {
    Use.Gap = m_LowGap;
    Use.TokensPerEvent = Planned->TokensPerEvent;
  }
  m_Parts.Control.onTargetReleased(*this, Use);
}

void Exchange::noteTargetFailure(TimePoint Now) {
  m_Target->noteFailure(Now);
  m_Outcome = SlotOutcome::Failure;
}

void Exchange::noteTargetSuccess(TimePoint Now) {
  m_Target->noteSuccess(Now);
  m_Outcome = SlotOutcome::Success;
}

std::optional<ReportedRequest> Exchange::run() const {
  if (!isAtTarget())
    return std::nullopt;
  return ReportedRequest{m_Number, m_Target->Hash, m_PrefillBooked};
}

std::int64_t Exchange::sinceArrival(TimePoint Then) const {
  return Then == TimePoint{} ? -1 : toMs(Then - m_Arrival);
}

void Exchange::end(std::string_view Outcome, std::string_view Reason,
                   int Status) {
  if (m_Phase == Phase::Over)
    return;
  const auto Now = std::chrono::steady_clock::now();
  m_Phase = Phase::Over;
  m_Parts.Metrics.countRequest(m_Route.Name, Outcome);
  m_Parts.Metrics.observeWhole(m_Route.Name, Now - m_Arrival);
  const bool Good = Outcome == "answered" || Outcome == "caller_left";
  m_Parts.Log.write(
      "request_end",
      {{"id", m_Facts.AttemptId},
       {"route", m_Route.Name},
       {"outcome", Outcome},
       {"status", Status},
       {"reason", Reason},
       {"rank", rank().Customer},
       {"sends", m_Sends},
       {"target", m_Target ? m_Target->Entry.Id.Text : std::string()},
       {"plan", m_Plan->Version},
       {"wait_ms", sinceArrival(m_FirstSentAt)},
       {"expected_first_ms", toMs(m_ExpectedFirst)},
       {"running_at_send", m_RunningAtSend},
       {"first_ms", sinceArrival(m_FirstByteAt)},
       {"whole_ms", ageMs(m_Arrival, Now)},
       {"prompt", m_Facts.Prompt},
       {"output", m_Work.Output},
       {"slowness", m_Target ? std::round(m_Target->Slowness * 100) / 100 : 0},
       {"worst_gap_ms", toMs(m_WorstGap)},
       {"last_event", m_LastEvent.value_or(-1)},
       {"left_ms", ageMs(Now, m_Deadline)}},
      Good ? LogLevel::Ordinary : LogLevel::Important);
  m_Parts.Control.onExchangeOver(*this, m_RunsPossible > 0);
}

void Exchange::logStep(std::string_view Event, std::string_view Reason) {
  const auto Now = std::chrono::steady_clock::now();
  nlohmann::ordered_json Fields = {{"id", m_Facts.AttemptId},
                                   {"route", m_Route.Name},
                                   {"reason", Reason},
                                   {"sends", m_Sends},
                                   {"age_ms", ageMs(m_Arrival, Now)}};
  if (m_Target) {
    Fields["target"] = m_Target->Entry.Id.Text;
    Fields["since_send_ms"] = ageMs(m_SentAt, Now);
    Fields["target_quiet_ms"] = ageMs(m_Target->LastByte, Now);
    Fields["running"] = m_Target->running();
    Fields["slowness"] = std::round(m_Target->Slowness * 100) / 100;
  }
  m_Parts.Log.write(Event, std::move(Fields));
}

} // namespace mangodeck
