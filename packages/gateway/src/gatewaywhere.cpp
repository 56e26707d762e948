// Explains where a request would go now, for operators. Nothing is sent and
// nothing reserved: the decisions are made on copies of what they change.
#include "mangodeck/gateway/gateway.h"

#include "mangodeck/gateway/placementreport.h"
#include "mangodeck/gateway/refusal.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace mangodeck {

namespace {

/// Shortest time between two calls: a call copies the broker's queue, some
/// hundred microseconds under load.
constexpr Duration MinTimeBetweenCalls = 200ms;
/// Fields of the call that are not fields of the request.
constexpr std::string_view FieldPrefix = "Where-";

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

/// The request that a call describes: its fields, with method, path, host and
/// size of the body in fields of their own.
http::Request describedRequest(const http::RequestHead &Call,
                               std::size_t MaxBodyBytes) {
  http::Request Message;
  Message.Head.Method = Call.Fields.get("Where-Method");
  Message.Head.Target = Call.Fields.get("Where-Target");
  for (const auto &Field : Call.Fields.fields())
    if (!http::equalsIgnoreCase(Field.Name.substr(0, FieldPrefix.size()),
                                FieldPrefix))
      Message.Head.Fields.add(Field.Name, Field.Value);
  Message.Head.Fields.set("Host", Call.Fields.get("Where-Host"));
  const auto Text = Call.Fields.get("Where-Body-Bytes");
  std::size_t Bytes = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Bytes);
  Message.Body = http::Body(std::string(std::min(Bytes, MaxBodyBytes), '\0'));
  return Message;
}

} // namespace

std::pair<int, std::string>
Gateway::answerPlacementCall(const http::RequestHead &Call) {
  const auto Now = steadyNow();
  if (Now - m_LastPlacementCall < MinTimeBetweenCalls)
    return {429, "{\"error\":\"too many calls\"}"};
  m_LastPlacementCall = Now;
  const auto MaxBodyBytes = m_Plan ? m_Plan->Limits.MaxBodyBytes : 0;
  return {200, toJson(explainPlacement(describedRequest(Call, MaxBodyBytes),
                                       Call.Fields.get("Where-Service"), Now))};
}

PlacementReport Gateway::explainPlacement(http::Request Message,
                                          std::string_view WantedService,
                                          TimePoint Now) {
  PlacementReport Report;
  Report.Daemon = m_Settings.Vm;
  const auto Refuse = [&](RefusalCause Cause, Duration Wait = Duration{0}) {
    RefusalFacts Reasons;
    Reasons.Cause = Cause;
    Reasons.ExpectedWait = Wait;
    const auto Chosen = chooseRefusal(Reasons);
    Report.Outcome = PlacementReport::Result::Refused;
    Report.Status = Chosen.Status;
    Report.Reason = Chosen.Reason;
    Report.RetryAfter = Chosen.RetryAfter;
    return Report;
  };
  // Step 1. What onRequest() refuses before it admits a request.
  const auto Facts = parseRequestFacts(Message, m_Names);
  if (!m_Plan)
    return Refuse(RefusalCause::NoConfiguration);
  const auto *Matched =
      m_Plan->findRoute(Message.Head.Fields.get("Host"), Message.Head.Target);
  if (!Matched)
    return Refuse(planRefusal(RefusalCause::NoRoute, Now));
  Report.Route = Matched->Name;
  Report.Shares = Matched->Shares;
  const PlannedCustomer *Customer = nullptr;
  if (!m_Plan->Customers.empty() && !Matched->OpenToAll) {
    Customer = m_Plan->findCustomerByKey(Facts.ApiKey);
    if (!Customer)
      return Refuse(planRefusal(RefusalCause::UnknownKey, Now));
    Report.Customer = Customer->Name.Text;
  }
  if (m_Stopping)
    return Refuse(RefusalCause::Stopping);
  auto Causes = m_CrashCauses;
  if (const auto Left = Causes.refuseNew(Facts.PossibleCauses, Now))
    return Refuse(RefusalCause::CrashingRequest, *Left);
  if (Customer) {
    auto Quotas = m_Quotas;
    Report.Cost = quotaCost(Facts, *Customer);
    Report.LimitPerSecond = Customer->PerSecond;
    Report.ReachableShare = Quotas.reachableShare(Customer->Name, Now);
    Report.AdmissionChance =
        Quotas.admissionChance(Customer->Name, Report.Cost, Now);
    if (Report.AdmissionChance <= 0)
      return Refuse(
          RefusalCause::OverLimit,
          fromSeconds(Report.Cost / std::max(1.0, Report.LimitPerSecond)));
  }

  // Step 2. The service: the one that is asked for, else that of the largest
  // share. onRequest() draws one.
  const auto Largest = std::max_element(
      Matched->Shares.begin(), Matched->Shares.end(),
      [](const auto &A, const auto &B) { return A.Weight < B.Weight; });
  const auto Wanted = std::find_if(
      Matched->Shares.begin(), Matched->Shares.end(),
      [&](const auto &Each) { return Each.Service.Text == WantedService; });
  if (Wanted == Matched->Shares.end() && !WantedService.empty()) {
    Refuse(RefusalCause::NoRoute);
    Report.Reason = "the route has no such service";
    return Report;
  }
  const auto Service = Wanted != Matched->Shares.end()    ? Wanted->Service
                       : Largest != Matched->Shares.end() ? Largest->Service
                                                          : ServiceName();
  Report.Service = Service.Text;
  const ExchangeContext Context{m_Pool,  m_RetryBudget, m_Log,    m_Metrics,
                                m_Names, *this,         m_Lengths};
  const auto New = std::make_shared<Exchange>(
      Context, m_NextTicketNumber, nullptr, std::move(Message), Facts, m_Plan,
      *Matched, Customer, Service, Now);
  explainAdmission(*New, Report, Now);
  return Report;
}

void Gateway::explainAdmission(const Exchange &New, PlacementReport &Report,
                               TimePoint Now) {
  const auto Refuse = [&](std::string_view Reason) {
    Report.Outcome = PlacementReport::Result::Refused;
    Report.Status = 503;
    Report.Reason = Reason;
    Report.RetryAfter = retryAfter(New);
  };
  const auto Send = [&](const TargetPtr &Target, std::string_view Reason) {
    Report.Outcome = PlacementReport::Result::Sent;
    Report.Target = Target->Entry.Id.Text;
    Report.Reason = Reason;
  };
  const auto Copied = m_Targets.copyOf(New.service());
  const auto Targets = Copied.targetsOf(New.service());
  auto Input = choiceInput(New, Now);
  const bool IsReachable = isBrokerReachable(Now);
  Input.LoadsAreExact = IsReachable && !m_RemoteBroker;
  Report.Candidates =
      describeCandidates(Targets, Input, New.requirements(), Now);
  Report.Domains = explainDomains(New.service(), Targets, Now);
  Report.Broker = m_RemoteBroker ? m_RemoteBroker->Vm : m_Settings.Vm;
  Report.BrokerIsReachable = IsReachable;

  // Step 1. As admit(): what no target accepts in time.
  if (New.route().Kind == RouteKind::Stream && New.route().Resumable &&
      New.facts().isResume())
    Report.Reason = "a stream that is taken up goes to its version; not known "
                    "before other daemons are asked";
  if (const auto Pause = commonPause(Targets, New.version(), Now);
      Pause && Now + *Pause > New.slotWaitDeadline())
    return Refuse("all targets pause");
  if (!hasTargetOfVersion(New))
    return Refuse(VersionGoneReason);

  // Step 2. Without a broker, this daemon decides.
  if (!IsReachable)
    return explainLocalDecision(New, Targets, Report, Now);

  // Step 3. Another daemon is the broker and holds the queue.
  if (m_RemoteBroker) {
    Report.Outcome = PlacementReport::Result::AsksBroker;
    if (Report.Reason.empty())
      Report.Reason = "the broker decides; ask it for its queue and its loads";
    return;
  }

  // Step 4. The decision of a copy of this broker, and what handleDecision()
  // does with it.
  RecordingSink Decided;
  SlotBroker Broker(m_LocalBroker, Copied, Decided);
  const auto Request = slotRequestFor(New, true, Now);
  Report.Waiting = Broker.waitingCount();
  Report.Ahead = Broker.waitingAhead(Request, Now);
  Broker.requestSlot(Request, Now);
  const auto Decision = Decided.Last.value_or(SlotDecision());
  Report.Backlog = Decision.BacklogTime;
  const bool IsRefused = Decision.Result == SlotDecision::Kind::Refused;
  if (Decision.Result == SlotDecision::Kind::Granted) {
    const auto Target = Copied.findByHash(Decision.Target);
    const auto Obstacle = Target
                              ? obstacleToSend(*Target, New.requirements(), Now)
                              : "unknown target";
    if (Obstacle.empty())
      return Send(Target, "slot of its own failure domain");
    Report.Outcome = PlacementReport::Result::Queued;
    Report.Reason = Obstacle;
    return;
  }
  auto Control = m_Spill;
  if (const auto Leaving = chooseDeparture(
          New, Targets, Control,
          IsRefused ? std::nullopt : std::optional(Decision.BacklogTime), false,
          Now))
    return Send(Leaving->Chosen.Target,
                Leaving->Rule == SpillRule::Open
                    ? "offer of another failure domain"
                    : "free slot of another failure domain");
  Input.RemoteDomainsOnly = true;
  Input.NeedsPermit = true;
  if (const auto Limited = chooseTarget(Targets, Input, Now);
      Limited && Limited->MeetsLatencyTarget &&
      m_Peers.remoteDelegate(Limited->Target->Entry.Domain, Now)) {
    Report.Outcome = PlacementReport::Result::AsksBroker;
    Report.Target = Limited->Target->Entry.Id.Text;
    Report.Reason = "asks for a permit of another failure domain";
    return;
  }
  if (IsRefused)
    return Refuse("no slot within the latency target");
  Report.Outcome = PlacementReport::Result::Queued;
  Report.Reason = "no free slot";
}

void Gateway::explainLocalDecision(const Exchange &New,
                                   std::span<const TargetPtr> Targets,
                                   PlacementReport &Report, TimePoint Now) {
  const auto &State = m_Services[New.service().Text];
  Report.Waiting = State.Queue.size();
  Report.Ahead =
      State.Queue.countAhead(New.rank(), New.version() != NoVersion, Now);
  Report.Backlog = State.Rate.timeToDispatch(Report.Ahead + 1, Now);
  const auto Chosen = chooseTarget(Targets, choiceInput(New, Now), Now);
  if (Report.Ahead == 0 && Chosen) {
    Report.Outcome = PlacementReport::Result::Sent;
    Report.Target = Chosen->Target->Entry.Id.Text;
    Report.Reason = "chosen without the broker";
    return;
  }
  const bool IsLate = Report.Backlog > New.latestStart() - Now;
  Report.Outcome = IsLate ? PlacementReport::Result::Refused
                          : PlacementReport::Result::Queued;
  Report.Reason = IsLate ? "no slot within the latency target" : "no free slot";
  if (IsLate) {
    Report.Status = 503;
    Report.RetryAfter = retryAfter(New);
  }
}

std::vector<PlacementDomain>
Gateway::explainDomains(const ServiceName &Service,
                        std::span<const TargetPtr> Targets, TimePoint Now) {
  std::vector<PlacementDomain> Result;
  auto Control = m_Spill;
  for (const auto &Target : Targets) {
    const auto &Domain = Target->Entry.Domain;
    if (Domain == m_Settings.Domain ||
        std::any_of(Result.begin(), Result.end(), [&](const auto &Each) {
          return Each.Domain == Domain.Text;
        }))
      continue;
    Result.push_back({Domain.Text, m_Peers.summaryAge(Domain, Now),
                      Control.ruleFor(hashOf(Service), Domain, Now),
                      Control.flowTo(hashOf(Service), Domain)});
  }
  return Result;
}

} // namespace mangodeck
