// Traffic between failure domains: what this daemon offers as the broker, and
// which of its requests leave.
#include "mangodeck/gateway/gateway.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

void Gateway::recordDemand(const SlotMessage &Message, TimePoint Now) {
  if (!m_HasOtherDomains)
    return;
  if (const auto *Request = std::get_if<SlotRequest>(&Message)) {
    if (!Request->Work.IsEngine && Request->OnlyTarget == 0)
      m_Offers.recordRequest(
          Request->Service,
          {Request->Vm, Request->Incarnation, Request->Number}, Now);
  } else if (const auto *Update = std::get_if<SlotUpdate>(&Message)) {
    const DomainOffers::RequestKey Key(Update->Vm, Update->Incarnation,
                                       Update->Number);
    // A request of this daemon withdraws its slot once it is sent; its end is
    // told by recordAnswer().
    const bool IsSent = Update->Vm == m_Settings.Vm && m_Offers.holdsSlot(Key);
    if (Update->Change != SlotUpdate::Kind::PrefillDone && !IsSent)
      m_Offers.recordEnd(Key, Update->Outcome == SlotOutcome::Success, Now);
  }
}

void Gateway::recordDecision(const std::string &Vm,
                             const SlotDecision &Decision) {
  const DomainOffers::RequestKey Key(Vm, Decision.Incarnation, Decision.Number);
  if (Decision.Result == SlotDecision::Kind::Granted)
    m_Offers.recordGrant(Key, steadyNow());
  else if (Decision.Result == SlotDecision::Kind::Refused)
    m_Offers.recordEnd(Key, false, steadyNow());
}

void Gateway::recordAnswer(const Exchange &Released, const SlotUpdate &Update) {
  const auto Now = steadyNow();
  const bool Succeeded = Update.Outcome == SlotOutcome::Success;
  if (!m_RemoteBroker)
    m_Offers.recordEnd(
        {m_Settings.Vm, m_Settings.Incarnation, Released.number()}, Succeeded,
        Now);
  if (m_HasOtherDomains && Succeeded && !Released.work().IsEngine)
    m_Spill.recordAnswer(hashOf(Released.service()), Now - Released.sentAt(),
                         Released.answerBytes());
}

std::vector<ServiceOffer> Gateway::makeOffers(TimePoint Now) {
  m_HasOtherDomains = m_Peers.hasOtherDomains();
  if (!m_HasOtherDomains || !m_Peers.isDelegate(Now))
    return {};
  std::vector<DomainSlots> Slots;
  for (const auto &[Name, Targets] : m_Targets.targetsByService()) {
    DomainSlots Each{ServiceName(Name), 0};
    for (const auto &Target : Targets)
      // What a target with a rate limit can take is decided by permits.
      if (Target->Entry.Domain == m_Settings.Domain && Target->isUsable(Now) &&
          !Target->rateLimit().isActive())
        Each.Slots += Target->isOnTrial() ? 1 : Target->Entry.Slots;
    if (Each.Slots > 0)
      Slots.push_back(std::move(Each));
  }
  auto Offers = m_Offers.offers(Slots, Now);
  double Free = 0;
  double Lacking = 0;
  for (const auto &Each : Offers) {
    Free += Each.FreeSlots;
    Lacking += Each.LackingSlots;
  }
  m_Metrics.setGauge("offered_slots", Free);
  m_Metrics.setGauge("lacking_slots", Lacking);
  for (const auto &Change : m_Offers.takeChanges())
    for (const auto &[Name, Targets] : m_Targets.targetsByService())
      if (hashOf(ServiceName(Name)) == Change.Now.Service)
        m_Log.write("domain_lack", {{"service", Name},
                                    {"lacking", Change.Now.LackingSlots},
                                    {"free", Change.Now.FreeSlots},
                                    {"slots", Change.Slots},
                                    {"per_s", Change.Now.PerSecond},
                                    {"slot_ms", toMs(Change.Now.SlotTime)}});
  applyOffers(m_Settings.Domain, Offers, Now);
  return Offers;
}

void Gateway::applyOffers(const FailureDomain &Domain,
                          std::span<const ServiceOffer> Offers, TimePoint Now) {
  // Step 1. Drop figures on services that are not known here.
  std::map<std::uint64_t, std::string_view> Names;
  if (!Offers.empty())
    for (const auto &[Name, Targets] : m_Targets.targetsByService())
      Names[hashOf(ServiceName(Name))] = Name;
  std::vector<ServiceOffer> Known;
  for (const auto &Each : Offers)
    if (Names.contains(Each.Service))
      Known.push_back(Each);

  // Step 2. Divide the offers, and answer a lack as the broker.
  for (const auto &Each : Known)
    if (Each.LackingSlots > 0 && Domain != m_Settings.Domain)
      m_Offers.recordLacking(Each.Service, Now);
  for (const auto &Change : m_Spill.onOffers(Domain, Known, Now))
    m_Log.write("domain_flow", {{"service", Names[Change.Service]},
                                {"domain", Change.Domain.Text},
                                {"slots", Change.Slots},
                                {"before", Change.Before},
                                {"offered", Change.Offered},
                                {"lacking", Change.Lacking},
                                {"age_ms", toMs(Change.Age)}});
}

std::optional<Departure> Gateway::chooseDeparture(
    const Exchange &Waiting, std::span<const TargetPtr> Targets,
    SpillControl &Control, std::optional<Duration> HomeWait, bool OffersOnly,
    TimePoint Now) const {
  auto Input = choiceInput(Waiting, Now);
  if (!Waiting.work().IsEngine && Waiting.version() == NoVersion)
    return chooseElsewhere(Control,
                           {hashOf(Waiting.service()), HomeWait,
                            Waiting.latencyDeadline() - Now,
                            Waiting.deadline() - Now, Waiting.bodyBytes()},
                           Targets, Input, OffersOnly, Now);
  // Engines are placed by the loads in the summaries: their requests are longer
  // than these are old.
  Input.RemoteDomainsOnly = true;
  auto Chosen = OffersOnly ? std::nullopt : chooseTarget(Targets, Input, Now);
  if (!Chosen || !Chosen->MeetsLatencyTarget)
    return std::nullopt;
  return Departure{std::move(*Chosen), SpillRule::Unknown};
}

bool Gateway::tryLeaveDomain(const ExchangePtr &Waiting,
                             std::optional<Duration> HomeWait, bool OffersOnly,
                             TimePoint Now) {
  auto Leaving =
      chooseDeparture(*Waiting, m_Targets.targetsOf(Waiting->service()),
                      m_Spill, HomeWait, OffersOnly, Now);
  if (!Leaving)
    return false;
  if (!Waiting->work().IsEngine)
    m_Metrics.countDomainExit(Waiting->service().view(),
                              Leaving->Rule == SpillRule::Open ? "offered"
                                                               : "unstated");
  dispatchTo(Waiting, std::move(Leaving->Chosen), Now);
  return true;
}

void Gateway::tryLeaveQueue(TimePoint Now) {
  if (!m_HasOtherDomains)
    return;
  std::vector<std::pair<ExchangePtr, Duration>> Late;
  for (const auto &[Number, Pending] : m_PendingSlotRequests) {
    const auto Found = m_ExchangeByNumber.find(Number);
    if (!Pending.Answered || Found == m_ExchangeByNumber.end() ||
        Found->second->work().IsEngine || !Found->second->isWaiting())
      continue;
    // The estimate has failed if its time is over: take the middle of the
    // queue.
    const auto Left = Pending.ExpectedAt - Now;
    Late.emplace_back(
        Found->second,
        Left > Duration{0}
            ? Left
            : m_Services[Found->second->service().Text].BrokerBacklog / 2);
  }
  for (const auto &[Waiting, Left] : Late) {
    const auto Number = Waiting->number();
    if (!tryLeaveDomain(Waiting, Left, true, Now))
      continue;
    m_Services[Waiting->service().Text].Queue.remove(Number);
    withdrawSlotRequest(Number, Now);
  }
}

} // namespace mangodeck
