#ifndef MANGODECK_PROCESS_ACTIVEREQUEST_H
#define MANGODECK_PROCESS_ACTIVEREQUEST_H

#include "answersink.h"
#include "mangodeck/process/claimclient.h"
#include "mangodeck/process/entryshard.h"
#include "mangodeck/request/lifecycle.h"
#include "streammeter.h"

#include <optional>
#include <vector>

namespace mangodeck {

/// A request in progress at the daemon that accepted it.
struct ActiveRequest {
  ActiveRequest(AcceptedRequest Accepted, bool NeedsClaim)
      : Lifecycle(Accepted.Request.Deadline, Accepted.Request.Idempotent,
                  NeedsClaim),
        Request(std::move(Accepted.Request)), Group(std::move(Accepted.Group)),
        IdempotencyKey(std::move(Accepted.IdempotencyKey)),
        Outgoing(std::move(Accepted.Outgoing)) {}

  const RequestId &id() const { return Request.Id; }
  ClaimKey claimKey() const { return {Request.Customer, IdempotencyKey}; }
  std::string customerScopedKey() const {
    return Request.Customer.Text + '/' + IdempotencyKey;
  }
  bool isKeyed() const { return !IdempotencyKey.empty(); }

  RequestLifecycle Lifecycle;
  Ticket Request;
  GroupId Group;
  VmName GroupOwner; ///< Daemon to which the ticket was last submitted.
  std::string IdempotencyKey;
  TargetRequest Outgoing;
  /// Exchange with the caller that sent the request first.
  std::shared_ptr<CallerExchange> Exchange;
  /// Receivers of the answer: the first caller and those that joined.
  std::vector<std::unique_ptr<AnswerSink>> Sinks;
  std::uint64_t BudgetedBytes = 0; ///< Counted in the BodyBudget.

  std::optional<Grant> CurrentGrant;
  VmName GrantOwner; ///< Group owner that sent CurrentGrant.
  StreamMeter Meter;
  int Status = 0; ///< 0 until the head of the target's answer has arrived.
  std::string ContentType;
  TokenCount CachedTokens = 0;
  /// The answer's body so far, kept when it is not streamed to the caller or
  /// when another caller may still join the keyed request.
  std::string BufferedAnswer;
  bool Streaming = false; ///< Each part of the answer is sent on arrival.
};

} // namespace mangodeck

#endif
