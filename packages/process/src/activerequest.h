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
      : Life(Accepted.Request.Deadline, Accepted.Request.Idempotent,
             NeedsClaim),
        Facts(std::move(Accepted.Request)), Group(std::move(Accepted.Group)),
        Key(std::move(Accepted.Key)), Outgoing(std::move(Accepted.Outgoing)) {}

  const RequestId &id() const { return Facts.Id; }
  ClaimKey claimKey() const { return {Facts.Customer, Key}; }
  std::string keyIndex() const { return Facts.Customer.Text + '/' + Key; }
  bool isKeyed() const { return !Key.empty(); }

  RequestLifecycle Life;
  Ticket Facts;
  GroupId Group;
  VmName Owner; ///< Where the ticket waits.
  std::string Key;
  TargetRequest Outgoing;
  std::shared_ptr<CallerExchange> Exchange; ///< Of the first caller.
  std::vector<std::unique_ptr<AnswerSink>> Sinks;
  std::uint64_t BudgetedBytes = 0;

  std::optional<Grant> Granted;
  VmName GrantOwner; ///< Who granted.
  StreamMeter Meter;
  int Status = 0; ///< 0 until the target's head has come.
  std::string ContentType;
  TokenCount CachedTokens = 0;
  std::string Answer;     ///< Whole answer, or what a late follower needs.
  bool Streaming = false; ///< Answer is passed on as it comes.
};

} // namespace mangodeck

#endif
