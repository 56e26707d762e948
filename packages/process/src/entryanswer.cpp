#include "activerequest.h"

#include <cassert>

namespace mangodeck {

namespace {

FinishKind finishKindOf(TargetEnd End, bool Gone) {
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
    return Gone ? FinishKind::Crashed : FinishKind::Lost;
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
  m_Ports.Events.record(
      {EventKind::FirstByte, Id, Active->Granted->Target.Text, ""});
  if (Active->Streaming)
    for (auto &Sink : Active->Sinks)
      Sink->begin(Active->Status, Active->ContentType);
}

void EntryShard::onBody(const RequestId &Id, std::string Bytes) {
  auto *Active = find(Id);
  if (!Active)
    return;
  Active->Meter.onBytes(Bytes, m_Ports.Time.now());
  if (Active->Streaming)
    for (auto &Sink : Active->Sinks)
      Sink->write(Bytes);
  if (!Active->Streaming || Active->isKeyed())
    Active->Answer += Bytes;
}

void EntryShard::onEnd(const RequestId &Id, TargetEnd End, bool Gone) {
  auto *Active = find(Id);
  if (!Active)
    return;
  switch (End) {
  case TargetEnd::Completed:
    return complete(*Active);
  case TargetEnd::NotDelivered:
    return placeAgain(*Active);
  case TargetEnd::Rejected:
    returnGrant(Active->GrantOwner, *Active->Granted,
                ReturnReason::NotDelivered);
    Active->Life.onEnd();
    return refuse(*Active, {NotRunReason::NoTarget, retryDelay()});
  case TargetEnd::Cancelled:
    reportFinish(*Active, FinishKind::Cancelled);
    Active->Life.onEnd();
    return erase(*Active);
  case TargetEnd::Broken:
  case TargetEnd::WrongAnswer:
    reportFinish(*Active, finishKindOf(End, Gone));
    Active->Life.onEnd();
    return failUnknown(*Active, End == TargetEnd::Broken
                                    ? "the target's answer broke off"
                                    : "the target answered another request");
  }
}

void EntryShard::complete(ActiveRequest &Active) {
  Active.Life.onEnd();
  reportFinish(Active, Active.Status < 500 ? FinishKind::Completed
                                           : FinishKind::Failed);
  for (auto &Sink : Active.Sinks) {
    if (Active.Streaming)
      Sink->finish();
    else
      Sink->respond(Active.Status, Active.ContentType, Active.Answer);
  }
  if (Active.Life.holdsClaim())
    m_Ports.Claims.complete(
        Active.claimKey(), Active.id(),
        {Active.Status, Active.ContentType, std::move(Active.Answer)});
  m_Ports.Events.record({EventKind::RequestCompleted, Active.id(),
                         Active.Granted->Target.Text, ""});
  const auto Now = m_Ports.Time.now();
  m_Ports.Observer.onEnded(
      {Active.Facts.Service, Active.Facts.Tier, Run::Yes, std::nullopt,
       Now <= Active.Facts.Deadline, Active.Facts.PromptTokens,
       Active.CachedTokens, Active.Meter.tokens(),
       Now - Active.Facts.Arrival - Active.Meter.decodeTime(),
       Active.Meter.meanTokenGap()});
  erase(Active);
}

/// The target provably never got the request: it waits again, or is given up
/// if its time is over.
void EntryShard::placeAgain(ActiveRequest &Active) {
  returnGrant(Active.GrantOwner, *Active.Granted, ReturnReason::NotDelivered);
  Active.Granted.reset();
  Active.Life.onNotDelivered();
  Active.BudgetedBytes = Active.Outgoing.Body.size();
  m_Ports.Bodies.add(Active.Facts.Tier, Active.BudgetedBytes);
  if (Active.Life.onExpiry(m_Ports.Time.now()))
    return refuse(Active, {NotRunReason::Expired, retryDelay()});
  submit(Active);
}

/// Answers that the request was not run; its state has ended before.
void EntryShard::refuse(ActiveRequest &Active, const Refusal &Reason) {
  assert(Active.Life.state() == RequestState::Ended);
  const auto Error = describeRefusal(Reason);
  for (auto &Sink : Active.Sinks)
    Sink->fail(Error);
  if (Active.Life.holdsClaim())
    m_Ports.Claims.release(Active.claimKey(), Active.id());
  m_Ports.Events.record({EventKind::RequestRefused, Active.id(),
                         std::string(toString(Reason.Reason)), ""});
  m_Ports.Observer.onEnded({Active.Facts.Service, Active.Facts.Tier, Run::No,
                            Reason.Reason, false, Active.Facts.PromptTokens});
  erase(Active);
}

void EntryShard::failUnknown(ActiveRequest &Active, std::string_view Detail) {
  const auto Error = describeUnknownEnd(Detail);
  for (auto &Sink : Active.Sinks)
    Sink->fail(Error);
  m_Ports.Events.record({EventKind::RequestUnknown, Active.id(),
                         Active.Granted ? Active.Granted->Target.Text : "",
                         std::string(Detail)});
  m_Ports.Observer.onEnded({Active.Facts.Service, Active.Facts.Tier,
                            Run::Unknown, std::nullopt, false,
                            Active.Facts.PromptTokens, Active.CachedTokens,
                            Active.Meter.tokens()});
  erase(Active);
}

void EntryShard::reportFinish(ActiveRequest &Active, FinishKind Kind) {
  FinishReport Report;
  Report.Request = Active.id();
  Report.Target = Active.Granted->Target;
  Report.Kind = Kind;
  Report.PromptTokens = Active.Facts.PromptTokens;
  Report.CachedTokens = Active.CachedTokens;
  Report.OutputTokens = Active.Meter.tokens();
  Report.FirstToken = Active.Meter.timeToFirstToken();
  Report.Decode = Active.Meter.decodeTime();
  const auto &Group = Active.Granted->Group;
  m_Ports.Router.send(ownerOf(Group), ReportFinish{Group, Report});
}

} // namespace mangodeck
