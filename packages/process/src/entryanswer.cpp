#include "activerequest.h"

#include <cassert>

namespace mangodeck {

namespace {

FinishKind finishKindOf(TargetEnd End, bool TargetGone) {
  switch (End) {
  case TargetEnd::Completed:
    return FinishKind::Completed;
  case TargetEnd::Cancelled:
    return FinishKind::Cancelled;
  case TargetEnd::WrongAnswer:
  case TargetEnd::Rejected:
  case TargetEnd::NotDelivered:
    return FinishKind::Failed;
  case TargetEnd::Broken:
    return TargetGone ? FinishKind::Crashed : FinishKind::Lost;
  }
  return FinishKind::Lost;
}

} // namespace

void EntryShard::onHead(const RequestId &Id, int Status,
                        std::string ContentType, std::int64_t CachedTokens) {
  auto *Active = find(Id);
  if (!Active)
    return;
  Active->Status = Status;
  Active->ContentType = std::move(ContentType);
  Active->CachedTokens = CachedTokens;
  Active->Streaming = Active->Outgoing.Streaming && Status < 300;
  m_Dependencies.Events.record(
      {EventKind::FirstByte, Id, Active->CurrentGrant->Target.Text, ""});
  if (Active->Streaming)
    for (auto &Sink : Active->Sinks)
      Sink->begin(Active->Status, Active->ContentType);
}

void EntryShard::onBody(const RequestId &Id, std::string Bytes) {
  auto *Active = find(Id);
  if (!Active)
    return;
  Active->Meter.onBytes(Bytes, m_Dependencies.Time.now());
  if (Active->Streaming)
    for (auto &Sink : Active->Sinks)
      Sink->write(Bytes);
  if (!Active->Streaming || Active->isKeyed())
    Active->BufferedAnswer += Bytes;
}

void EntryShard::onEnd(const RequestId &Id, TargetEnd End, bool TargetGone) {
  auto *Active = find(Id);
  if (!Active)
    return;
  switch (End) {
  case TargetEnd::Completed:
    return complete(*Active);
  case TargetEnd::NotDelivered:
    return requeueUndelivered(*Active);
  case TargetEnd::Rejected:
    returnGrant(Active->GrantOwner, *Active->CurrentGrant,
                ReturnReason::NotDelivered);
    Active->Lifecycle.onEnd();
    return refuse(*Active, {NotRunReason::NoTarget, randomRetryDelay()});
  case TargetEnd::Cancelled:
    reportFinish(*Active, FinishKind::Cancelled);
    Active->Lifecycle.onEnd();
    return erase(*Active);
  case TargetEnd::Broken:
  case TargetEnd::WrongAnswer:
    reportFinish(*Active, finishKindOf(End, TargetGone));
    Active->Lifecycle.onEnd();
    return failWithUnknownOutcome(*Active,
                                  End == TargetEnd::Broken
                                      ? "the target's answer broke off"
                                      : "the target answered another request");
  }
}

void EntryShard::complete(ActiveRequest &Active) {
  Active.Lifecycle.onEnd();
  reportFinish(Active, Active.Status < 500 ? FinishKind::Completed
                                           : FinishKind::Failed);
  for (auto &Sink : Active.Sinks) {
    if (Active.Streaming)
      Sink->finish();
    else
      Sink->respond(Active.Status, Active.ContentType, Active.BufferedAnswer);
  }
  if (Active.Lifecycle.holdsClaim())
    m_Dependencies.Claims.complete(
        Active.claimKey(), Active.id(),
        {Active.Status, Active.ContentType, std::move(Active.BufferedAnswer)});
  m_Dependencies.Events.record({EventKind::RequestCompleted, Active.id(),
                                Active.CurrentGrant->Target.Text, ""});
  const auto Now = m_Dependencies.Time.now();
  m_Dependencies.Observer.onEnded(
      {Active.Request.Service, Active.Request.Tier, Run::Yes, std::nullopt,
       Now <= Active.Request.Deadline, Active.Request.PromptTokens,
       Active.CachedTokens, Active.Meter.tokens(),
       Now - Active.Request.Arrival - Active.Meter.decodeTime(),
       Active.Meter.meanTokenGap()});
  erase(Active);
}

/// Handles a dispatch whose request provably never reached the target: the
/// request waits for another grant, or is refused if its deadline has passed.
void EntryShard::requeueUndelivered(ActiveRequest &Active) {
  returnGrant(Active.GrantOwner, *Active.CurrentGrant,
              ReturnReason::NotDelivered);
  Active.CurrentGrant.reset();
  Active.Lifecycle.onNotDelivered();
  Active.BudgetedBytes = Active.Outgoing.Body.size();
  m_Dependencies.Bodies.add(Active.Request.Tier, Active.BudgetedBytes);
  if (Active.Lifecycle.onExpiry(m_Dependencies.Time.now()))
    return refuse(Active, {NotRunReason::Expired, randomRetryDelay()});
  submit(Active);
}

/// Answers that the request was not run. Its state must be
/// RequestState::Ended already.
void EntryShard::refuse(ActiveRequest &Active, const Refusal &Reason) {
  assert(Active.Lifecycle.state() == RequestState::Ended);
  const auto Error = describeRefusal(Reason);
  for (auto &Sink : Active.Sinks)
    Sink->fail(Error);
  if (Active.Lifecycle.holdsClaim())
    m_Dependencies.Claims.release(Active.claimKey(), Active.id());
  m_Dependencies.Events.record({EventKind::RequestRefused, Active.id(),
                                std::string(toString(Reason.Reason)), ""});
  m_Dependencies.Observer.onEnded({Active.Request.Service, Active.Request.Tier,
                                   Run::No, Reason.Reason, false,
                                   Active.Request.PromptTokens});
  erase(Active);
}

/// Answers that the request may have run but that its outcome is unknown.
void EntryShard::failWithUnknownOutcome(ActiveRequest &Active,
                                        std::string_view Detail) {
  const auto Error = describeUnknownEnd(Detail);
  for (auto &Sink : Active.Sinks)
    Sink->fail(Error);
  m_Dependencies.Events.record(
      {EventKind::RequestUnknown, Active.id(),
       Active.CurrentGrant ? Active.CurrentGrant->Target.Text : "",
       std::string(Detail)});
  m_Dependencies.Observer.onEnded({Active.Request.Service, Active.Request.Tier,
                                   Run::Unknown, std::nullopt, false,
                                   Active.Request.PromptTokens,
                                   Active.CachedTokens, Active.Meter.tokens()});
  erase(Active);
}

void EntryShard::reportFinish(ActiveRequest &Active, FinishKind Kind) {
  FinishReport Report;
  Report.Request = Active.id();
  Report.Target = Active.CurrentGrant->Target;
  Report.Kind = Kind;
  Report.PromptTokens = Active.Request.PromptTokens;
  Report.CachedTokens = Active.CachedTokens;
  Report.OutputTokens = Active.Meter.tokens();
  Report.TimeToFirstToken = Active.Meter.timeToFirstToken();
  Report.DecodeTime = Active.Meter.decodeTime();
  const auto &Group = Active.CurrentGrant->Group;
  m_Dependencies.Router.send(ownerOf(Group), ReportFinish{Group, Report});
}

} // namespace mangodeck
