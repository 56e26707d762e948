#ifndef MANGODECK_GATEWAY_EXCHANGE_H
#define MANGODECK_GATEWAY_EXCHANGE_H

#include "mangodeck/gateway/choosetarget.h"
#include "mangodeck/gateway/dispatchqueue.h"
#include "mangodeck/gateway/eventlog.h"
#include "mangodeck/gateway/gatewaymetrics.h"
#include "mangodeck/gateway/outputlength.h"
#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/requestfacts.h"
#include "mangodeck/gateway/retrybudget.h"
#include "mangodeck/gateway/rolloutcontroller.h"
#include "mangodeck/gateway/slotmessages.h"
#include "mangodeck/gateway/targetconnectionpool.h"
#include "mangodeck/http/callerconnection.h"
#include "mangodeck/http/sseframes.h"
#include "mangodeck/http/targetconnection.h"
#include "mangodeck/version/routeplan.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangodeck {

/// Reason in the answer to a request that is known to crash targets.
inline constexpr std::string_view CrashingRequestReason =
    "request crashes targets";

/// Reasons in the answer to a request that takes up a stream which cannot go
/// on.
inline constexpr std::string_view VersionGoneReason =
    "no target of the stream's version; begin again";
inline constexpr std::string_view UnknownVersionReason =
    "version of the stream not known; begin again";

/// Events that a send needs for a measurement of the target's pace.
inline constexpr std::uint32_t MinEventsForPace = 4;

/// The start of a text from a caller, for a log line.
std::string_view boundedText(std::string_view Text);

class Exchange;
using ExchangePtr = std::shared_ptr<Exchange>;

/// Callbacks of an exchange into the gateway that it belongs to.
class ExchangeControl {
public:
  virtual ~ExchangeControl() = default;
  /// Whether there is a usable target that \p Running has not tried, and, if
  /// \p IsFree, one that could take it now.
  virtual bool hasOtherTarget(const Exchange &Running, bool IsFree) const = 0;
  /// Whether all changes of the store are known but for the last moments.
  virtual bool isDirectoryFresh(TimePoint Now) const = 0;
  /// Queues the exchange until a slot is free.
  virtual void waitForSlot(const ExchangePtr &Waiting) = 0;
  /// The request is about to be sent to Running.target(), or the version of the
  /// target that it runs at has become uncertain.
  virtual void onDispatch(const Exchange &Running) = 0;
  /// The first event of the answer has arrived.
  virtual void onFirstEvent(const Exchange &Running) = 0;
  /// A request no longer occupies its target. \p Update holds the outcome and,
  /// if it was measured, the pause between events.
  virtual void onTargetReleased(const Exchange &Released,
                                const SlotUpdate &Update) = 0;
  /// The exchange has ended. \p MayHaveRun is false if certainly no target has
  /// run the request.
  virtual void onExchangeEnded(Exchange &Ended, bool MayHaveRun) = 0;
  /// The connection of \p Broken to \p Target broke before the answer was
  /// complete. Calls Broken->repeatAfterCrash(), with \p Reason, later if that
  /// is to wait until it is known whether the target has crashed; else returns
  /// false.
  virtual bool onIncompleteAnswer(const ExchangePtr &Broken,
                                  const TargetPtr &Target,
                                  std::string_view Reason) = 0;
  /// A target has answered the request and went on. \p Begun is the time at
  /// which the answer began.
  virtual void onSoundAnswer(const Exchange &Running, TimePoint Begun) = 0;
  /// The target of \p Answered has answered whole. \p IsBad: with a failure of
  /// its own.
  virtual void onAnswer(const Exchange &Answered, bool IsBad) = 0;
  /// An answer of \p Target states that the target leaves.
  virtual void onTargetLeaving(const TargetPtr &Target) = 0;
  /// An answer states that the target at the address of \p Expected leaves,
  /// which is another target than the expected one.
  virtual void onOtherTargetLeaving(const TargetPtr &Expected) = 0;
  /// \p Target has rejected a request and wants no other for some time.
  virtual void onTargetPaused(const TargetPtr &Target) = 0;
  /// An answer of \p Target with \p Status states its rate limit, or that there
  /// is none any longer.
  virtual void onTargetRateLimit(const TargetPtr &Target, int Status,
                                 const RateLimitStatement &Statement) = 0;
  /// Counts \p Bytes of an answer, of which \p Total are buffered then, against
  /// the memory for answers; false if there is none. releaseBuffer() takes them
  /// off again. May end exchanges of other callers than \p Caller.
  virtual bool bufferAnswer(const http::CallerConnection &Caller,
                            std::size_t Bytes, std::size_t Total) = 0;
  /// Counts \p Bytes that have been received in any case.
  virtual void overdrawBuffer(std::size_t Bytes) = 0;
  virtual void releaseBuffer(std::size_t Bytes) = 0;
  /// The longest answer that is buffered.
  virtual std::size_t maxAnswerBytes() const = 0;
  /// Whether callers leave more of their answers than there is memory for. May
  /// end exchanges of other callers than \p Caller.
  virtual bool isAnswerMemoryShort(const http::CallerConnection &Caller) = 0;
  /// Time after which the caller of a refused request should retry;
  /// std::nullopt if a retry would be refused, too.
  virtual std::optional<Duration> retryAfter(const Exchange &Refused) = 0;
};

/// Objects of the gateway that its exchanges share.
struct ExchangeContext {
  TargetConnectionPool &Pool;
  RetryBudget &Budget;
  EventLog &Log;
  GatewayMetrics &Metrics;
  const HeaderNames &Names;
  ExchangeControl &Control;
  OutputLength &Lengths;
};

/// One attempt of a caller, from its request to the end of its answer. Sends
/// the request to a target, relays the answer, and on a failure sends the
/// request again or answers the caller with an error. A request that a target
/// may have run is sent again only if its route allows repeated execution.
class Exchange : public std::enable_shared_from_this<Exchange>,
                 private http::AnswerHandler {
public:
  Exchange(ExchangeContext Context, TicketNumber Number,
           std::shared_ptr<http::CallerConnection> Caller,
           http::Request Message, RequestFacts Facts, RoutePlanPtr Plan,
           const Route &Matched, const PlannedCustomer *Customer,
           ServiceName Service, TimePoint Arrival);

  /// Sends the request to \p Chosen.
  void dispatch(const ChosenTarget &Chosen, TimePoint Now);
  /// The request takes up a stream that began at \p Version of \p Service: only
  /// targets of that version are used.
  void resumeAt(const ServiceName &Service, VersionId Version);
  /// Answers a request that no target will run from now on. \p Status is 429 or
  /// 503, which promise that none has; if one may have, the answer is 502.
  void refuse(int Status, std::string_view Reason,
              std::optional<Duration> RetryAfter);
  /// The versions at which the request may run until the next choice.
  void setVersionChoice(const VersionChoice &Choice) { m_Choice = Choice; }
  const VersionChoice &versionChoice() const { return m_Choice; }
  /// Gives the target up, since its version is replaced: sends the request
  /// again if possible, else ends it.
  void leaveVersion(std::string_view Reason);
  /// Continues after onIncompleteAnswer(): sends the request again if possible,
  /// else ends it.
  void repeatAfterCrash(std::string_view Reason);
  /// Ends a request that is known to crash targets, unless its answer has
  /// begun.
  void stopCrashing();
  /// The caller has disconnected: releases the target and ends the exchange.
  void cancel();
  /// Enforces the time limits of a request that is at a target; called on every
  /// tick of the gateway.
  void checkTimeouts(TimePoint Now);
  /// Counts the silence of the target from \p Now on: this process was
  /// suspended, and what the target sent meanwhile is not read yet.
  void restartSilence(TimePoint Now);
  /// Ends the exchange with an error: the daemon stops, or the caller no longer
  /// reads or waits for the stream.
  void terminate();

  TicketNumber number() const { return m_Number; }
  const Route &route() const { return m_Route; }
  const RoutePlanPtr &plan() const { return m_Plan; }
  const ServiceName &service() const { return m_Service; }
  const RequestFacts &facts() const { return m_Facts; }
  const PlannedCustomer *customer() const { return m_Customer; }
  const RequestWork &work() const { return m_Work; }
  std::span<const TargetPtr> triedTargets() const { return m_TriedTargets; }
  RequestRank rank() const;
  /// What a target must meet to be sent this request. Refers to the exchange.
  TargetRequirements requirements() const;
  std::size_t bodyBytes() const { return m_Request.Body.size(); }
  /// Of the answer, as far as it is buffered.
  std::size_t answerBytes() const { return m_AnswerBody.size(); }
  /// Time of the current or last send.
  TimePoint sentAt() const { return m_SentAt; }
  TimePoint arrival() const { return m_Arrival; }
  TimePoint deadline() const { return m_Deadline; }
  /// Latest time of the first event, or of the answer, that meets the latency
  /// target; of a stream that goes on, latestUsefulStart().
  TimePoint latencyDeadline() const;
  /// Latest start that is likely to meet the latency target.
  TimePoint latestStart() const;
  /// Time at which a request that waits for a slot is refused.
  TimePoint slotWaitDeadline() const;
  /// Time after which the caller is not expected to wait any longer, so that
  /// starting the request is useless.
  TimePoint latestUsefulStart() const;
  /// The caller has been sent the head of a stream.
  bool hasStreamStarted() const { return m_StreamStarted; }
  /// The version that began the stream, at which alone it may go on; NoVersion
  /// before it has begun.
  VersionId version() const { return m_Version; }
  /// Version of the target of the current send; NoVersion if another start of
  /// the target, with another version, may be the one that answers.
  VersionId versionAtTarget() const {
    return m_Target->isVersionCertain() && !m_Target->IsVersionReplaced &&
                   !m_StartUnknown
               ? m_Target->Version
               : NoVersion;
  }
  /// Number of the current or last send, which increases with each.
  std::uint32_t sendNumber() const { return m_SendNumber; }
  /// Requests that the target had before the current or last send.
  std::uint32_t runningAtSend() const { return m_RunningAtSend; }
  /// See TargetLoadStatement::Pace; of the last answer.
  std::optional<double> statedPace() const { return m_StatedPace; }
  /// Mean pause between events of the current or last send.
  Duration lowEventGap() const { return m_LowEventGap; }
  /// Events received from the current or last target.
  std::uint32_t eventCount() const { return m_EventCount; }
  /// The current or last target has answered and went on, so the request is not
  /// one that crashes targets.
  bool isAnswerSound() const { return m_AnswerSound; }
  bool mayHaveRun() const { return m_PossibleRuns > 0; }
  bool isWaiting() const { return m_Phase == Phase::Waiting; }
  void setWaiting() { m_Phase = Phase::Waiting; }
  bool hasEnded() const { return m_Phase == Phase::Ended; }
  const TargetPtr &target() const { return m_Target; }
  /// The entry of this request in reports to other daemons; std::nullopt while
  /// it is at no target.
  std::optional<ReportedRequest> reportedRequest() const;

private:
  enum class Phase : std::uint8_t { Waiting, Connecting, Sent, Ended };
  /// What a failed send says about the execution of the request.
  enum class SendFailure : std::uint8_t {
    NotSent,    ///< No byte of the request was sent to the target.
    Rejected,   ///< The target declares that it has not run the request.
    MayHaveRun, ///< The target may have run the request.
  };

  void onAnswerHead(const http::ResponseHead &Head) override;
  void onAnswerBody(std::string_view Bytes) override;
  void onAnswerEnd() override;
  void onExchangeFailed(const http::ExchangeFailure &Failure) override;

  void onConnected(std::error_code Error,
                   TargetConnectionPool::Connection Ready);
  /// Whether the start of the target has to be known before it is sent this
  /// request, since its registration may be of an earlier start with another
  /// version: for a stream that goes on always; for a new one, whose version is
  /// recorded, while the registrations cannot be read. Targets without a stated
  /// version have all the same.
  bool needsStart(TimePoint Now) const;
  /// The head of the request, as it is sent to \p Target.
  std::string serializeHeadFor(const TrackedTarget &Target,
                               TimePoint Now) const;
  /// Acts on what the head of an answer states about the target itself.
  void recordTargetState(const http::ResponseHead &Head, TimePoint Now);
  void recordTargetLoad(const TargetLoadStatement &Load, TimePoint Now);
  /// Records the rate limit that the head of an answer to this request states.
  /// An answer without one lifts the limit if the request was sent after the
  /// limit was last stated: answers on different connections can arrive in
  /// another order than they were made.
  void recordTargetRateLimit(const http::ResponseHead &Head, TimePoint Now);
  /// Closes the connection of an answer that is not used, and treats the send
  /// as failed.
  void giveUpAnswer(std::string_view Reason);
  /// Releases what is buffered of the answer.
  void clearAnswer();
  /// Counts \p Bytes for the answer, if there is memory.
  bool bufferUpTo(std::size_t Bytes);
  /// Whether the caller has left more than \p MaxUnreadBytes of its stream, or
  /// less than that while memory for answers is short.
  bool isCallerBehind(std::size_t MaxUnreadBytes);
  /// Goes on reading an answer once there is memory for it, or its caller has
  /// taken enough of a stream; gives it up after MaxReadingPause.
  void checkReadingPause(TimePoint Now);
  /// Hash of the attempt id; std::nullopt if the caller sent none.
  std::optional<std::uint64_t> attemptHash() const;
  /// Relays the events of the stream that are complete.
  void relayEvents();
  /// Relays one event; false if its id does not follow the id before it.
  bool relayEvent(std::string_view Event, TimePoint Now);
  /// Sends the head of the stream to the caller.
  void sendHead();
  /// Passes a complete answer that is not a stream to the caller, or treats its
  /// status as a failed send.
  void deliver();
  /// Queues the request for another target if it may be sent again, else ends
  /// the exchange.
  void handleSendFailure(SendFailure Failure, std::string_view Reason);
  bool mayRetry(SendFailure Failure) const;
  /// Ends the exchange with an error answer, or closes the connection to the
  /// caller if its stream has begun.
  void fail(std::string_view Reason);
  /// Gives up the slot at the target. \p KeepConnection: the connection can be
  /// used for other requests.
  void releaseTarget(bool KeepConnection);
  void recordTargetFailure(TimePoint Now);
  /// The work that the request is expected to cause at its service.
  RequestWork currentWork() const;
  /// Records the length of a stream that one target made from its beginning.
  void recordOutput(bool IsWhole);
  /// Reports, once per send, that the answer that began at \p Begun is sound.
  void recordSoundAnswer(TimePoint Begun);
  void recordTargetSuccess(TimePoint Now);
  /// The request occupies a slot of its target.
  bool isAtTarget() const {
    return m_Target && (m_Phase == Phase::Connecting || m_Phase == Phase::Sent);
  }
  /// Sends an answer of the daemon's own to the caller.
  void answerCaller(int Status, std::string_view Reason,
                    std::optional<Duration> RetryAfter);
  void end(std::string_view Outcome, std::string_view Reason, int Status);
  void logEvent(std::string_view Event, std::string_view Reason);
  /// The target has sent nothing on any connection for some time. For a request
  /// that is no stream: it has not answered in time.
  bool isTargetSilent(TimePoint Now) const;
  /// The stream has had no event for some time.
  bool isRequestSilent(TimePoint Now) const;
  /// Time by which silence before the first event is accepted longer.
  Duration firstEventGrace() const;
  /// The target is silent, and the request can and may be sent to another one.
  bool isToBeSentAgain(TimePoint Now) const;
  /// Milliseconds from the arrival to \p Time; -1 if \p Time is not set.
  std::int64_t msSinceArrival(TimePoint Time) const;

  ExchangeContext m_Context;
  TicketNumber m_Number;
  std::shared_ptr<http::CallerConnection> m_Caller;
  http::Request m_Request;
  RequestFacts m_Facts;
  RoutePlanPtr m_Plan; ///< Owns the route and the customer.
  const Route &m_Route;
  const PlannedCustomer *m_Customer;
  ServiceName m_Service;
  RequestWork m_Work;
  TimePoint m_Arrival;
  TimePoint m_Deadline;
  Phase m_Phase = Phase::Waiting;

  TargetPtr m_Target;
  TargetConnectionPool::Connection m_Connection;
  std::vector<TargetPtr> m_TriedTargets;
  std::uint32_t m_SendCount = 0;
  std::uint32_t m_PossibleRuns = 0; ///< Sends that a target may have run.
  /// Prompt tokens counted in the target's OwnPrefillTokens; 0 after the first
  /// event.
  TokenCount m_PendingPrefillTokens = 0;
  SlotOutcome m_SendOutcome = SlotOutcome::Unknown; ///< Of the current send.
  /// Changes with each send and release, so that callbacks of earlier sends are
  /// recognized and ignored.
  std::uint64_t m_SendEpoch = 0;

  http::ResponseHead m_AnswerHead;
  http::Body m_AnswerBody;
  std::size_t m_BufferedBytes = 0; ///< Counted for m_AnswerBody.
  std::size_t m_WantedBytes = 0;   ///< To be counted before reading goes on.
  /// Since when the answer is not read; see checkReadingPause().
  std::optional<TimePoint> m_ReadingPausedAt;
  bool m_IsStream = false;
  bool m_Rejected = false;
  /// The answer belongs to another request, lacks the response stamp, is
  /// encoded, or is too large.
  bool m_AnswerInvalid = false;
  bool m_AnswerSound = false;      ///< See isAnswerSound().
  bool m_StreamStarted = false;    ///< Towards the caller.
  VersionId m_Version = NoVersion; ///< See version().
  VersionChoice m_Choice;
  std::optional<double> m_StatedPace;
  /// The version that began the stream is certain.
  bool m_IsVersionCertain = true;
  /// The start of the target was needed, and is not known; see needsStart().
  bool m_StartUnknown = false;
  TargetPtr m_FirstTarget; ///< Brought the first event.
  std::uint32_t m_SendNumber = 0;
  SseFrames m_Frames;
  std::size_t m_BytesSinceEvent = 0; ///< Of the stream, since the last event.
  std::optional<std::int64_t> m_LastEventId;
  std::uint32_t m_EventCount = 0; ///< Of the current send.
  /// Decaying mean of the pauses between events, weighted towards the shorter
  /// ones.
  Duration m_LowEventGap{0};
  TimePoint m_SentAt{};
  /// Last event of a stream, or bytes of another answer; the send at first.
  TimePoint m_LastProgressAt{};
  TimePoint m_LastEventAt{};
  TimePoint m_AnswerBegunAt{}; ///< Head of the answer, or its first event.
  TimePoint m_FirstSentAt{};
  TimePoint m_FirstEventAt{};
  /// Software version of the target that brought the first event.
  std::optional<std::string> m_FirstVersion;
  Duration m_ExpectedTimeToFirstEvent{0}; ///< After m_SentAt.
  std::uint32_t m_RunningAtSend = 0;      ///< Requests already at the target.
  /// The target's rate limit in force when the request was sent.
  std::optional<double> m_RateLimitAtSend;
  PermitSource m_Permit = PermitSource::None; ///< Of the last send.
  Duration m_LongestEventGap{0};
};

} // namespace mangodeck

#endif
