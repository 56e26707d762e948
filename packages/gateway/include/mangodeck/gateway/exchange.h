#ifndef MANGODECK_GATEWAY_EXCHANGE_H
#define MANGODECK_GATEWAY_EXCHANGE_H

#include "mangodeck/gateway/choosetarget.h"
#include "mangodeck/gateway/dispatchqueue.h"
#include "mangodeck/gateway/eventlog.h"
#include "mangodeck/gateway/gatewaymetrics.h"
#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/requestfacts.h"
#include "mangodeck/gateway/retrybudget.h"
#include "mangodeck/gateway/slotmessages.h"
#include "mangodeck/gateway/targetconnectionpool.h"
#include "mangodeck/http/callerconnection.h"
#include "mangodeck/http/sseframes.h"
#include "mangodeck/http/targetconnection.h"
#include "mangodeck/version/routeplan.h"

#include <memory>
#include <string>
#include <vector>

namespace mangodeck {

class Exchange;
using ExchangePtr = std::shared_ptr<Exchange>;

/// What an exchange asks of the process.
class ExchangeControl {
public:
  virtual ~ExchangeControl() = default;
  /// Queues the exchange until a slot is free.
  virtual void waitForSlot(const ExchangePtr &Waiting) = 0;
  /// The first event of the request came.
  virtual void onFirstEvent(const Exchange &Running) = 0;
  /// A request left the target that it ran at; \p Use tells how it fared.
  virtual void onTargetReleased(const Exchange &Left, const SlotNote &Use) = 0;
  /// The exchange is over. \p Ran is false if no target began to work on it.
  virtual void onExchangeEnded(Exchange &Ended, bool MayHaveRun) = 0;
  /// A request broke off at \p Target without a whole answer.
  virtual void onIncompleteAnswer(const TargetPtr &Target,
                                  std::uint64_t Fingerprint) = 0;
  /// When a refused caller should come back.
  virtual Duration retryAfter(const Exchange &Refused) = 0;
};

/// Parts of the process that exchanges share.
struct ExchangeContext {
  TargetConnectionPool &Pool;
  RetryBudget &Budget;
  EventLog &Log;
  GatewayMetrics &Metrics;
  const HeaderNames &Names;
  ExchangeControl &Control;
};

/// One attempt of a caller, from its request to the end of its answer: sends
/// it to a target, relays the answer, and decides what follows a failure. A
/// request that may have run is sent again only if its route allows it.
class Exchange : public std::enable_shared_from_this<Exchange>,
                 private http::AnswerHandler {
public:
  Exchange(ExchangeContext Context, TicketNumber Number,
           std::shared_ptr<http::CallerConnection> Caller,
           http::Request Message, RequestFacts Facts, RoutePlanPtr Plan,
           const Route &Matched, const PlannedCustomer *Customer,
           ServiceName Service, TimePoint Arrival);

  /// Sends the request to the target that was chosen for it.
  void dispatch(const ChosenTarget &Chosen, TimePoint Now);
  /// Answers a request that has not run and never will. \p Status is 429 or
  /// 503.
  void refuse(int Status, std::string_view Reason, Duration RetryAfter);
  /// The caller is gone: stops the work on its request.
  void cancel();
  /// Enforces time limits; called some times a second.
  void checkTimeouts(TimePoint Now);
  /// The daemon stops: ends what still runs.
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
  std::size_t bodyBytes() const { return m_Request.Body.size(); }
  TimePoint arrival() const { return m_Arrival; }
  TimePoint deadline() const { return m_Deadline; }
  /// Latest time of the first event or answer that meets the objective.
  TimePoint latencyDeadline() const;
  /// Latest start that is likely to meet the objective.
  TimePoint latestStart() const;
  /// When a request that waits for a slot is refused.
  TimePoint slotWaitDeadline() const;
  /// Latest useful start.
  TimePoint latestUsefulStart() const;
  /// Events of this request reached the caller already.
  bool hasStreamed() const { return m_StreamStarted; }
  bool isWaiting() const { return m_Phase == Phase::Waiting; }
  void setWaiting() { m_Phase = Phase::Waiting; }
  bool hasEnded() const { return m_Phase == Phase::Ended; }
  const TargetPtr &target() const { return m_Target; }
  /// The request at its target; std::nullopt while it is at none.
  std::optional<ReportedRequest> run() const;

private:
  enum class Phase : std::uint8_t { Waiting, Connecting, Sent, Ended };
  /// What is known about a failed send.
  enum class SendFailure : std::uint8_t {
    NotSent,  ///< No byte reached the target.
    Rejected, ///< The target says that it ran nothing.
    MayHaveRun,
  };

  void onAnswerHead(const http::ResponseHead &Head) override;
  void onAnswerBody(std::string_view Bytes) override;
  void onAnswerEnd() override;
  void onExchangeFailed(const http::ExchangeFailure &Failure) override;

  void onConnected(std::error_code Error,
                   TargetConnectionPool::Connection Ready);
  std::string serializeFor(const KnownTarget &Target, TimePoint Now) const;
  void relayEvents();
  bool relayEvent(std::string_view Event, TimePoint Now);
  void sendHead();
  void deliver();
  void handleSendFailure(SendFailure Kind, std::string_view Reason);
  bool mayRetry(SendFailure Kind) const;
  void fail(std::string_view Reason);
  void releaseTarget(bool KeepConnection);
  void recordTargetFailure(TimePoint Now);
  void recordTargetSuccess(TimePoint Now);
  bool isAtTarget() const {
    return m_Target && (m_Phase == Phase::Connecting || m_Phase == Phase::Sent);
  }
  void answerCaller(int Status, std::string_view Reason,
                    std::optional<Duration> RetryAfter);
  void end(std::string_view Outcome, std::string_view Reason, int Status);
  void logEvent(std::string_view Event, std::string_view Reason);
  bool isTargetSilent(TimePoint Now) const;
  /// Milliseconds from the arrival to \p Then; -1 if that is unset.
  std::int64_t msSinceArrival(TimePoint Time) const;

  ExchangeContext m_Context;
  TicketNumber m_Number;
  std::shared_ptr<http::CallerConnection> m_Caller;
  http::Request m_Request;
  RequestFacts m_Facts;
  RoutePlanPtr m_Plan; ///< Keeps the route and customer alive.
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
  std::uint32_t m_PossibleRuns = 0; ///< Sends that may have run.
  TokenCount m_PendingPrefill = 0;
  SlotOutcome m_SendOutcome = SlotOutcome::Unknown; ///< Of the present send.
  std::uint64_t m_SendEpoch = 0; ///< Of the send; late callbacks are ignored.

  http::ResponseHead m_AnswerHead;
  std::string m_AnswerBody;
  bool m_IsStream = false;
  bool m_Rejected = false;
  bool m_AnswerInvalid = false;
  bool m_StreamStarted = false;
  SseFrames m_Frames;
  std::optional<std::int64_t> m_LastEventId;
  std::uint32_t m_EventCount = 0; ///< Of the present send.
  Duration m_LowEventGap{0};
  TimePoint m_SentAt{};
  TimePoint m_LastByteAt{};
  TimePoint m_LastEventAt{};
  TimePoint m_FirstSentAt{};
  TimePoint m_FirstEventAt{};
  Duration m_ExpectedFirstEvent{0};
  std::uint32_t m_RunningAtSend = 0;
  Duration m_LongestEventGap{0};
};

} // namespace mangodeck

#endif
