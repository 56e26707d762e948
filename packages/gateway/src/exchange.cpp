#include "mangodeck/gateway/exchange.h"

#include <algorithm>
#include <asio/error.hpp>
#include <cmath>
#include <fmt/format.h>
#include <utility>
#include <xxhash.h>

namespace mangodeck {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Time limit of a request whose caller sends none.
constexpr Duration DefaultTimeLimit = 60s;
/// A repeatable stream request is sent to another target after a pause of this
/// length if the target has sent nothing on any other connection either.
constexpr Duration TargetSilenceTimeout = 700ms;
/// A repeatable stream request is sent to another target after a pause of this
/// length between events even if the target sends other bytes. Before the first
/// event both timeouts are extended by twice the expected time to it.
constexpr Duration RequestSilenceTimeout = 1600ms;
/// Multiples of the gap target below which a pause between events never counts
/// as silence: of the target, and of the request.
constexpr int TargetSilenceGaps = 2;
constexpr int RequestSilenceGaps = 4;
/// Multiple of the latency target after which an idempotent request without an
/// answer is sent to another target.
constexpr int IdempotentTimeoutFactor = 2;
/// A caller is expected to leave a stream after a pause of MinStreamTimeout,
/// LatencyTimeoutFactor times the latency target or GapTimeoutFactor times the
/// gap target, whichever is longest.
constexpr Duration MinStreamTimeout = 2s;
constexpr int LatencyTimeoutFactor = 4;
constexpr int GapTimeoutFactor = 8;
/// Longest time after its arrival for which a request waits for a slot, as a
/// multiple of the latency target; not applied to a stream that has started. A
/// caller that is refused in time retries; one that waits longer may have left.
constexpr int SlotWaitFactor = 1;
/// Multiple of the nominal time to the first event that latestStart() reserves,
/// since a busy engine reads the prompts of other requests in between.
constexpr int FirstEventFactor = 2;
/// Bytes of an unreadable header field that are logged.
constexpr std::size_t MaxLoggedFieldBytes = 40;

std::string_view nameOf(PermitSource Source) {
  switch (Source) {
  case PermitSource::Daemon:
    return "daemon";
  case PermitSource::Broker:
    return "broker";
  case PermitSource::None:
    break;
  }
  return "none";
}

} // namespace

std::string_view boundedText(std::string_view Text) {
  return Text.substr(0, MaxLoggedFieldBytes);
}

Exchange::Exchange(ExchangeContext Context, TicketNumber Number,
                   std::shared_ptr<http::CallerConnection> Caller,
                   http::Request Message, RequestFacts Facts, RoutePlanPtr Plan,
                   const Route &Matched, const PlannedCustomer *Customer,
                   ServiceName Service, TimePoint Arrival)
    : m_Context(Context), m_Number(Number), m_Caller(std::move(Caller)),
      m_Request(std::move(Message)), m_Facts(std::move(Facts)),
      m_Plan(std::move(Plan)), m_Route(Matched), m_Customer(Customer),
      m_Service(std::move(Service)), m_Work(currentWork()), m_Arrival(Arrival) {
  auto Limit = m_Facts.RemainingTime.value_or(DefaultTimeLimit);
  if (m_Route.Timeout > Duration{0})
    Limit = std::min(Limit, m_Route.Timeout);
  m_Deadline = Arrival + Limit;
  // The first event of a stream that is taken up has to follow this one.
  if (m_Route.Kind == RouteKind::Stream && m_Route.Resumable)
    m_LastEventId = m_Facts.ResumedAfterId;
}

void Exchange::resumeAt(const ServiceName &Service, VersionId Version) {
  m_Service = Service;
  m_Work = currentWork();
  m_Version = Version;
}

RequestWork Exchange::currentWork() const {
  auto Work = expectedWork(m_Facts, m_Plan->findService(m_Service));
  if (Work.IsEngine)
    m_Context.Lengths.expect(m_Route.Name, m_Facts.OutputHint, Work);
  return Work;
}

void Exchange::recordOutput(bool IsWhole) {
  const auto *Planned = m_Plan->findService(m_Service);
  if (m_Work.IsEngine && Planned && m_SendCount == 1 && !m_Facts.isResume())
    m_Context.Lengths.record(m_Route.Name, m_Facts.OutputHint, m_Work,
                             static_cast<TokenCount>(m_EventCount) *
                                 Planned->TokensPerEvent,
                             IsWhole);
}

TargetRequirements Exchange::requirements() const {
  const bool IsResumable =
      m_Route.Kind == RouteKind::Stream && m_Route.Resumable;
  return {m_Service, m_Version == NoVersion ? m_Choice.Only : m_Version,
          IsResumable && m_Version == NoVersion && !m_StreamStarted,
          m_TriedTargets, m_Choice.Avoided};
}

RequestRank Exchange::rank() const {
  const auto Customer =
      m_Customer && m_Customer->Rank ? *m_Customer->Rank : m_Route.Rank;
  return {Customer, m_Route.Rank};
}

TimePoint Exchange::latestStart() const {
  return latencyDeadline() - nominalTimeToFirstEvent(m_Work) * FirstEventFactor;
}

TimePoint Exchange::latencyDeadline() const {
  if (m_StreamStarted)
    return latestUsefulStart();
  if (m_Route.LatencyTarget <= Duration{0})
    return m_Deadline;
  return m_Arrival + m_Route.LatencyTarget;
}

TimePoint Exchange::slotWaitDeadline() const {
  if (m_StreamStarted || m_Route.LatencyTarget <= Duration{0})
    return latestUsefulStart();
  return std::min(latestUsefulStart() - nominalTimeToFirstEvent(m_Work),
                  m_Arrival + m_Route.LatencyTarget * SlotWaitFactor);
}

TimePoint Exchange::latestUsefulStart() const {
  if (m_Route.Kind != RouteKind::Stream)
    return m_Deadline;
  const auto StreamTimeout =
      std::max({MinStreamTimeout, m_Route.LatencyTarget * LatencyTimeoutFactor,
                m_Route.GapTarget * GapTimeoutFactor});
  const auto Since = m_StreamStarted ? m_LastProgressAt : m_Arrival;
  return std::min(m_Deadline, Since + StreamTimeout);
}

void Exchange::dispatch(const ChosenTarget &Chosen, TimePoint Now) {
  m_Phase = Phase::Connecting;
  m_Target = Chosen.Target;
  m_ExpectedTimeToFirstEvent = Chosen.TimeToFirstEvent;
  m_RunningAtSend = m_Target->running();
  m_RateLimitAtSend = m_Target->rateLimit().perSecond();
  m_Permit = Chosen.Permit;
  m_Target->OwnRunning += 1;
  if (m_Target->Allowance > 0)
    m_Target->Allowance -= 1;
  m_SendOutcome = SlotOutcome::Unknown;
  m_PendingPrefillTokens = m_Work.PromptTokens;
  m_Target->OwnPrefillTokens += m_PendingPrefillTokens;
  m_SentAt = Now;
  m_AnswerHead = http::ResponseHead();
  clearAnswer();
  m_IsStream = m_Rejected = m_AnswerInvalid = m_AnswerSound = false;
  m_EventCount = 0;
  m_LowEventGap = Duration{0};
  const auto Epoch = ++m_SendEpoch;
  ++m_SendNumber;
  m_StartUnknown = false;
  m_Context.Pool.acquire(
      m_Target, {!m_Route.mayRepeat(), attemptHash(), needsStart(Now)},
      [Self = shared_from_this(), Epoch, Target = m_Target](
          std::error_code Error, TargetConnectionPool::Connection Ready) {
        if (Self->m_SendEpoch == Epoch && Self->m_Phase == Phase::Connecting)
          Self->onConnected(Error, std::move(Ready));
        else // The send was abandoned while the connection was opened.
          Self->m_Context.Pool.release(Target, std::move(Ready));
      });
}

bool Exchange::needsStart(TimePoint Now) const {
  const bool IsResumable =
      m_Route.Kind == RouteKind::Stream && m_Route.Resumable;
  return IsResumable && m_Target->Entry.Version &&
         (m_Version != NoVersion || !m_Context.Control.isDirectoryFresh(Now));
}

std::optional<std::uint64_t> Exchange::attemptHash() const {
  const auto &Id = m_Facts.AttemptId;
  return Id.empty() ? std::nullopt
                    : std::optional(XXH3_64bits(Id.data(), Id.size()));
}

void Exchange::onConnected(std::error_code Error,
                           TargetConnectionPool::Connection Ready) {
  const auto Now = std::chrono::steady_clock::now();
  if (Error) {
    m_Target->recordUnreachable(Now);
    if (Error == asio::error::connection_refused)
      m_Target->recordProcessEnd(Now);
    m_SendOutcome = SlotOutcome::Unreachable;
    logEvent("connect_failed", Error.message());
    return handleSendFailure(SendFailure::NotSent, "connect failed");
  }
  auto Obstacle = obstacleToSend(*m_Target, requirements(), Now);
  m_StartUnknown = needsStart(Now) && !Ready->isServerConfirmed();
  if (Obstacle.empty() && m_StartUnknown && m_Version != NoVersion) {
    m_TriedTargets.push_back(m_Target);
    Obstacle = "start of the target not known";
  }
  if (!Obstacle.empty()) {
    if (m_Version != NoVersion)
      logEvent("not_sent", Obstacle);
    m_Connection = std::move(Ready);
    releaseTarget(true);
    return handleSendFailure(SendFailure::NotSent, Obstacle);
  }
  m_Phase = Phase::Sent;
  m_Connection = std::move(Ready);
  m_Context.Control.onDispatch(*this);
  m_SentAt = m_LastProgressAt = Now;
  if (m_FirstSentAt == TimePoint{})
    m_FirstSentAt = Now;
  ++m_SendCount;
  ++m_PossibleRuns;
  m_Context.Metrics.countSend(m_Service.view(),
                              m_SendCount == 1 ? "first" : "again");
  if (m_Target->rateLimit().isActive())
    m_Context.Metrics.countLimitedSend(m_Service.view());
  m_Connection->exchange(serializeHeadFor(*m_Target, Now),
                         m_Request.Body.view(), shared_from_this(),
                         m_Request.Head.Method == "HEAD", *this);
}

std::string Exchange::serializeHeadFor(const TrackedTarget &Target,
                                       TimePoint Now) const {
  const auto &Names = m_Context.Names;
  http::RequestHead Head;
  Head.Method = m_Request.Head.Method;
  Head.Target = m_Request.Head.Target;
  Head.Fields = m_Request.Head.Fields;
  auto &Fields = Head.Fields;
  http::removeConnectionFields(Fields);
  for (const auto &Name : Names.Reserved)
    Fields.remove(Name);
  Fields.remove(Names.Authorization);
  const auto Remaining = std::max<std::int64_t>(
      1, duration_cast<milliseconds>(m_Deadline - Now).count());
  Fields.set(Names.RemainingTime, std::to_string(Remaining));
  Fields.set(Names.ExpectedTarget, Target.Entry.Id.Text);
  if (m_Customer)
    Fields.set(Names.Customer, m_Customer->Name.Text);
  if (m_StreamStarted && m_LastEventId)
    Fields.set(Names.LastEventId, std::to_string(*m_LastEventId));
  Fields.remove("Content-Length");
  if (!m_Request.Body.empty() || m_Request.Head.Method == "POST" ||
      m_Request.Head.Method == "PUT")
    Fields.add("Content-Length", std::to_string(m_Request.Body.size()));
  return http::serialize(Head);
}

void Exchange::onExchangeFailed(const http::ExchangeFailure &Failure) {
  const auto Now = std::chrono::steady_clock::now();
  recordTargetFailure(Now);
  const auto BrokenTarget = m_Target;
  const auto Reason =
      Failure.isMalformed()
          ? fmt::format("{}: {}", Failure.Error.message(), Failure.Malformed)
          : Failure.Error.message();
  logEvent("send_failed", Reason);
  if (Failure.NothingSent) {
    --m_SendCount;
    --m_PossibleRuns;
    releaseTarget(false);
    return handleSendFailure(SendFailure::NotSent,
                             "connection closed before the request");
  }
  releaseTarget(false);
  if (Failure.isMalformed() || !m_Context.Control.onIncompleteAnswer(
                                   shared_from_this(), BrokenTarget, Reason))
    handleSendFailure(SendFailure::MayHaveRun, Reason);
}

void Exchange::repeatAfterCrash(std::string_view Reason) {
  handleSendFailure(SendFailure::MayHaveRun, Reason);
}

void Exchange::leaveVersion(std::string_view Reason) {
  if (m_Phase == Phase::Ended)
    return;
  logEvent("version_left", Reason);
  if (m_StreamStarted)
    return terminate();
  const bool WasSent = m_Phase == Phase::Sent;
  releaseTarget(false);
  handleSendFailure(WasSent ? SendFailure::MayHaveRun : SendFailure::NotSent,
                    Reason);
}

void Exchange::stopCrashing() {
  if (m_Phase == Phase::Ended || m_StreamStarted || m_AnswerSound)
    return;
  releaseTarget(false);
  fail(CrashingRequestReason);
}

bool Exchange::mayRetry(SendFailure Failure) const {
  if (Failure == SendFailure::MayHaveRun && !m_Route.mayRepeat())
    return false;
  // A stream is resumed after its last event, so that event needs an id, and at
  // the version that began it.
  return !m_StreamStarted || (m_LastEventId.has_value() && m_IsVersionCertain &&
                              !m_FirstTarget->IsVersionReplaced);
}

void Exchange::handleSendFailure(SendFailure Failure, std::string_view Reason) {
  const auto Now = std::chrono::steady_clock::now();
  if (m_Phase == Phase::Ended)
    return;
  releaseTarget(false);
  if (Failure == SendFailure::Rejected && m_PossibleRuns > 0)
    --m_PossibleRuns;
  if (m_Target && Failure != SendFailure::NotSent)
    m_TriedTargets.push_back(m_Target);
  const bool ReachedTarget = Failure != SendFailure::NotSent;
  const bool AttemptsLeft = !ReachedTarget || m_SendCount < m_Route.Attempts;
  if (!mayRetry(Failure) || !AttemptsLeft || Now >= latestUsefulStart() ||
      (ReachedTarget && !m_Context.Budget.tryTake(m_Service, Now)))
    return fail(Reason);
  logEvent("again", Reason);
  m_Target = nullptr;
  m_Phase = Phase::Waiting;
  m_Context.Control.waitForSlot(shared_from_this());
}

void Exchange::fail(std::string_view Reason) {
  if (m_StreamStarted) {
    m_Caller->abort();
    return end("broken_off", Reason, 0);
  }
  if (m_PossibleRuns == 0)
    return refuse(503, Reason, m_Context.Control.retryAfter(*this));
  answerCaller(502, Reason, std::nullopt);
}

void Exchange::refuse(int Status, std::string_view Reason,
                      std::optional<Duration> RetryAfter) {
  // An earlier send may have run the request.
  if (m_PossibleRuns > 0)
    return answerCaller(502, Reason, std::nullopt);
  answerCaller(Status, Reason, RetryAfter);
}

void Exchange::answerCaller(int Status, std::string_view Reason,
                            std::optional<Duration> RetryAfter) {
  if (m_Phase == Phase::Ended)
    return;
  http::HeaderList Fields;
  if (!m_Facts.AttemptId.empty())
    Fields.add(m_Context.Names.AttemptId, m_Facts.AttemptId);
  if (RetryAfter)
    Fields.add(m_Context.Names.RetryAfter,
               fmt::format("{:.2f}", toSeconds(*RetryAfter)));
  Fields.add("Content-Type", "text/plain");
  m_Caller->sendAnswer(Status, std::move(Fields), Reason);
  end(Status == 429 || Status == 503 ? "refused" : "failed", Reason, Status);
}

void Exchange::cancel() {
  if (m_Phase == Phase::Ended)
    return;
  releaseTarget(false);
  end("caller_left", "", 0);
}

void Exchange::terminate() {
  if (m_Phase == Phase::Ended)
    return;
  releaseTarget(false);
  if (m_StreamStarted) {
    m_Caller->abort();
    return end("broken_off", "cut off", 0);
  }
  fail("cut off");
}

void Exchange::restartSilence(TimePoint Now) {
  m_LastProgressAt = Now;
  if (m_Target)
    m_Target->LastByteAt = Now;
}

bool Exchange::isTargetSilent(TimePoint Now) const {
  const auto RequestPause = Now - m_LastProgressAt;
  if (m_Route.Kind != RouteKind::Stream)
    return m_Route.LatencyTarget > Duration{0} &&
           RequestPause > m_Route.LatencyTarget * IdempotentTimeoutFactor;
  const auto Timeout = std::max<Duration>(
      TargetSilenceTimeout, m_Route.GapTarget * TargetSilenceGaps);
  return RequestPause > firstEventGrace() + Timeout &&
         Now - m_Target->LastByteAt > Timeout;
}

bool Exchange::isRequestSilent(TimePoint Now) const {
  const auto Timeout = std::max<Duration>(
      RequestSilenceTimeout, m_Route.GapTarget * RequestSilenceGaps);
  return m_Route.Kind == RouteKind::Stream &&
         Now - m_LastProgressAt > firstEventGrace() + Timeout;
}

Duration Exchange::firstEventGrace() const {
  return m_EventCount == 0 ? 2 * m_ExpectedTimeToFirstEvent : Duration{0};
}

bool Exchange::isToBeSentAgain(TimePoint Now) const {
  if (m_Phase != Phase::Sent || !m_Route.mayRepeat() ||
      m_SendCount >= m_Route.Attempts ||
      m_Context.Budget.remaining(m_Service, Now) < 1)
    return false;
  // A target that answers others may still complete a slow stream, which is
  // given up only if another one can take it now. A silent target may be dead;
  // then the request also waits for a slot.
  return (isTargetSilent(Now) &&
          m_Context.Control.hasOtherTarget(*this, false)) ||
         (isRequestSilent(Now) &&
          m_Context.Control.hasOtherTarget(*this, true));
}

void Exchange::checkTimeouts(TimePoint Now) {
  if (m_Phase == Phase::Ended || m_Phase == Phase::Waiting)
    return;
  if (Now >= m_Deadline) {
    logEvent("deadline", "time limit passed");
    const bool WasSent = m_Phase == Phase::Sent;
    releaseTarget(false);
    if (m_StreamStarted) {
      recordOutput(false);
      m_Caller->abort();
      return end("broken_off", "time limit passed", 0);
    }
    return answerCaller(WasSent || m_PossibleRuns > 0 ? 504 : 503,
                        "time limit passed", std::nullopt);
  }
  if (m_ReadingPausedAt)
    return checkReadingPause(Now);
  if (isToBeSentAgain(Now)) {
    recordTargetFailure(Now);
    logEvent("silent",
             fmt::format("quiet for {} ms", ageMs(m_LastProgressAt, Now)));
    releaseTarget(false);
    handleSendFailure(SendFailure::MayHaveRun, "target silent");
  }
}

void Exchange::releaseTarget(bool KeepConnection) {
  ++m_SendEpoch;
  if (m_Connection) {
    if (KeepConnection)
      m_Context.Pool.release(m_Target, std::move(m_Connection));
    else
      m_Connection->close();
    m_Connection = nullptr;
  }
  if (!isAtTarget())
    return;
  m_Phase = Phase::Waiting;
  m_Target->OwnRunning -= 1;
  m_Target->Allowance += 1;
  m_Target->OwnPrefillTokens -= m_PendingPrefillTokens;
  m_PendingPrefillTokens = 0;
  if (m_SendOutcome == SlotOutcome::Success)
    m_Target->recordOccupation(std::chrono::steady_clock::now() - m_SentAt);
  SlotUpdate Update;
  Update.Number = m_Number;
  Update.Change = SlotUpdate::Kind::Ended;
  Update.Target = m_Target->Hash;
  Update.Outcome = m_SendOutcome;
  const auto *Planned = m_Plan->findService(m_Service);
  if (m_EventCount >= MinEventsForPace && Planned) {
    Update.MeanEventGap = m_LowEventGap;
    Update.TokensPerEvent = Planned->TokensPerEvent;
  }
  m_Context.Control.onTargetReleased(*this, Update);
}

void Exchange::recordTargetFailure(TimePoint Now) {
  m_Target->recordFailure(Now);
  m_SendOutcome = SlotOutcome::Failure;
}

void Exchange::recordSoundAnswer(TimePoint Begun) {
  if (!std::exchange(m_AnswerSound, true))
    m_Context.Control.onSoundAnswer(*this, Begun);
}

void Exchange::recordTargetSuccess(TimePoint Now) {
  m_Target->recordSuccess(Now);
  m_SendOutcome = SlotOutcome::Success;
}

std::optional<ReportedRequest> Exchange::reportedRequest() const {
  if (!isAtTarget())
    return std::nullopt;
  return ReportedRequest{m_Number, m_Target->Hash, m_PendingPrefillTokens};
}

std::int64_t Exchange::msSinceArrival(TimePoint Time) const {
  return Time == TimePoint{} ? -1 : toMs(Time - m_Arrival);
}

void Exchange::end(std::string_view Outcome, std::string_view Reason,
                   int Status) {
  if (m_Phase == Phase::Ended)
    return;
  const auto Now = std::chrono::steady_clock::now();
  m_Phase = Phase::Ended;
  clearAnswer();
  m_Context.Metrics.countRequest(m_Route.Name, Outcome);
  m_Context.Metrics.observeRequest(m_Route.Name, Now - m_Arrival);
  const bool IsOrdinary = Outcome == "answered" || Outcome == "caller_left";
  m_Context.Log.write(
      "request_end",
      {{"id", m_Facts.AttemptId},
       {"route", m_Route.Name},
       {"outcome", Outcome},
       {"status", Status},
       {"reason", Reason},
       {"rank", rank().Customer},
       {"sends", m_SendCount},
       {"service", m_Service.Text},
       {"target", m_Target ? m_Target->Entry.Id.Text : std::string()},
       {"target_service",
        m_Target ? m_Target->Entry.Service.Text : std::string()},
       {"version",
        m_Target ? m_Target->Entry.Version.value_or("") : std::string()},
       {"first_version", m_FirstVersion.value_or("")},
       {"resumes", boundedText(m_Facts.ResumedAttempt)},
       {"after_event", boundedText(m_Facts.ResumedAfter)},
       {"plan", m_Plan->Version},
       {"wait_ms", msSinceArrival(m_FirstSentAt)},
       {"expected_first_ms", toMs(m_ExpectedTimeToFirstEvent)},
       {"running_at_send", m_RunningAtSend},
       {"target_limit", m_RateLimitAtSend.value_or(-1)},
       {"permit", nameOf(m_Permit)},
       {"first_ms", msSinceArrival(m_FirstEventAt)},
       {"whole_ms", ageMs(m_Arrival, Now)},
       {"prompt", m_Facts.PromptTokens},
       {"output", m_Work.OutputTokens},
       {"output_spread", std::round(m_Work.OutputSpread * 100) / 100},
       {"slowness", m_Target ? std::round(m_Target->Slowdown * 100) / 100 : 0},
       {"pace",
        m_Target ? std::round(m_Target->Pace.expected(Now) * 100) / 100 : 1},
       {"worst_gap_ms", toMs(m_LongestEventGap)},
       {"last_event", m_LastEventId.value_or(-1)},
       {"left_ms", ageMs(Now, m_Deadline)}},
      IsOrdinary ? LogLevel::Ordinary : LogLevel::Important);
  m_Context.Control.onExchangeEnded(*this, m_PossibleRuns > 0);
}

void Exchange::logEvent(std::string_view Event, std::string_view Reason) {
  const auto Now = std::chrono::steady_clock::now();
  nlohmann::ordered_json Fields = {{"id", m_Facts.AttemptId},
                                   {"route", m_Route.Name},
                                   {"reason", Reason},
                                   {"sends", m_SendCount},
                                   {"age_ms", ageMs(m_Arrival, Now)}};
  if (m_Target) {
    Fields["target"] = m_Target->Entry.Id.Text;
    Fields["since_send_ms"] = ageMs(m_SentAt, Now);
    Fields["target_quiet_ms"] = ageMs(m_Target->LastByteAt, Now);
    Fields["running"] = m_Target->running();
    if (m_Target->isPaused(Now))
      Fields["paused_ms"] = ageMs(Now, m_Target->pausedUntil());
    Fields["slowness"] = std::round(m_Target->Slowdown * 100) / 100;
  }
  m_Context.Log.write(Event, std::move(Fields));
}

} // namespace mangodeck
