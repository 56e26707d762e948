#include "mangodeck/gateway/spillcontrol.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Age up to which another domain's offer counts, as its loads do.
constexpr Duration OfferLifetime = 1500ms;
/// Age up to which the own domain's figures count: a broker's successor is
/// found after 1 s and observes the demand for another.
constexpr Duration OwnOfferLifetime = 5s;
/// Time after its last offer for which a domain that has gone silent is not
/// used: its targets may be full without this domain hearing of it.
constexpr Duration SilenceTime = 10s;
/// Weight of a domain beyond the slots that it lacks. Short bursts exceed the
/// capacity of a domain that lacks none in the mean.
constexpr double BaseWeight = 0.5;
/// A flow is raised only if its part has grown by more than this share and
/// number of slots.
constexpr double RaiseShare = 0.05;
constexpr double RaiseSlots = 0.1;
/// Part of the difference by which a flow is raised at a time.
constexpr double RaiseStep = 0.5;
/// Tokens that a daemon can save: one, and those of this time.
constexpr double SavedSeconds = 0.3;
/// Time of an answer before any was measured.
constexpr double DefaultAnswerSeconds = 0.05;
constexpr double MeanWeight = 0.05;
/// Factors by which estimates are raised: answers vary, and a queue moves in
/// jumps.
constexpr double AnswerTimeMargin = 1.2;
constexpr double WaitMargin = 1.25;
/// Time there and back between two failure domains.
constexpr double RoundTripSeconds = 0.011;
/// Shortest time between two log lines on one flow.
constexpr Duration LogPeriod = 1s;

double seconds(const Duration Span) { return toSeconds(Span); }

} // namespace

void SpillControl::recordRequest(std::uint64_t Service, TimePoint Now) {
  m_Services[Service].OwnDemand.record(Now);
}

void SpillControl::recordAnswer(std::uint64_t Service, Duration Time,
                                std::size_t Bytes) {
  auto &State = m_Services[Service];
  const bool IsFirst = State.AnswerSeconds == 0;
  const double Weight = IsFirst ? 1 : MeanWeight;
  State.AnswerSeconds += Weight * (seconds(Time) - State.AnswerSeconds);
  State.AnswerBytes +=
      Weight * (static_cast<double>(Bytes) - State.AnswerBytes);
}

std::vector<FlowChange>
SpillControl::onOffers(const FailureDomain &Domain,
                       std::span<const ServiceOffer> Offers, TimePoint Now) {
  std::vector<FlowChange> Changes;
  // Step 1. What the domain no longer states is not known any more. The own
  // domain's last figures stay: a new broker states none at first.
  if (Domain != m_OwnDomain)
    for (auto &Entry : m_Services)
      if (std::none_of(Offers.begin(), Offers.end(), [&](const auto &Each) {
            return Each.Service == Entry.first;
          }))
        Entry.second.Offers.erase(Domain.Text);

  // Step 2. Store the offers and divide them anew.
  for (const auto &Each : Offers) {
    auto &State = m_Services[Each.Service];
    State.Offers[Domain.Text] = {Each, Now};
    updateFlows(Each.Service, State, Now, Changes);
  }
  return Changes;
}

const SpillControl::StatedOffer *
SpillControl::ownOffer(const ServiceState &State, TimePoint Now) const {
  const auto Found = State.Offers.find(m_OwnDomain.Text);
  return Found != State.Offers.end() &&
                 Now - Found->second.ReceivedAt <= OwnOfferLifetime
             ? &Found->second
             : nullptr;
}

double SpillControl::partOf(const ServiceState &State,
                            const std::string &Domain, TimePoint Now) const {
  const auto Offered = State.Offers.find(Domain);
  const auto *Own = ownOffer(State, Now);
  if (!Own || Offered == State.Offers.end() ||
      Now - Offered->second.ReceivedAt > OfferLifetime)
    return 0;
  // A domain whose figures are late still uses its part, so it counts longer.
  double Sum = 0;
  for (const auto &[Name, Stated] : State.Offers)
    if (Name != Domain && Now - Stated.ReceivedAt <= OwnOfferLifetime)
      Sum += Stated.Offer.LackingSlots + BaseWeight;
  return Offered->second.Offer.FreeSlots *
         (Own->Offer.LackingSlots + BaseWeight) / Sum;
}

void SpillControl::updateFlows(std::uint64_t Service, ServiceState &State,
                               TimePoint Now,
                               std::vector<FlowChange> &Changes) {
  for (const auto &[Domain, Stated] : State.Offers) {
    if (Domain == m_OwnDomain.Text)
      continue;
    refill(State, Domain, Now);
    auto &Current = State.Flows[Domain];
    const double Part = partOf(State, Domain, Now);
    if (Part < Current.Slots)
      Current.Slots = Part;
    else if (Part > Current.Slots * (1 + RaiseShare) + RaiseSlots)
      Current.Slots += RaiseStep * (Part - Current.Slots);
    const bool HasChanged = (Current.Slots > 0) != (Current.LoggedSlots > 0) ||
                            Current.Slots > 2 * Current.LoggedSlots ||
                            2 * Current.Slots < Current.LoggedSlots;
    if (!HasChanged || Now - Current.LoggedAt < LogPeriod)
      continue;
    const auto *Own = ownOffer(State, Now);
    Changes.push_back({Service, FailureDomain(Domain), Current.Slots,
                       Current.LoggedSlots, Stated.Offer.FreeSlots,
                       Own ? Own->Offer.LackingSlots : 0,
                       Own ? Now - Own->ReceivedAt : Duration{0}});
    Current.LoggedSlots = Current.Slots;
    Current.LoggedAt = Now;
  }
}

void SpillControl::refill(ServiceState &State, const std::string &Domain,
                          TimePoint Now) {
  auto &Current = State.Flows[Domain];
  if (Current.RefilledAt == TimePoint{})
    Current.Tokens = m_Random.uniform();
  const double Passed = Current.RefilledAt == TimePoint{}
                            ? 0
                            : std::max(0.0, seconds(Now - Current.RefilledAt));
  Current.RefilledAt = Now;
  const auto Offered = State.Offers.find(Domain);
  const auto *Own = ownOffer(State, Now);
  if (!Own || Offered == State.Offers.end())
    return;
  const double OwnRate = State.OwnDemand.perSecond(Now);
  const double Share =
      OwnRate > 0 ? OwnRate / std::max(OwnRate, Own->Offer.PerSecond) : 0;
  const double PerSecond =
      Share * Current.Slots /
      std::max(0.001, seconds(Offered->second.Offer.SlotTime));
  Current.Tokens = std::min(Current.Tokens + Passed * PerSecond,
                            1 + PerSecond * SavedSeconds);
}

bool SpillControl::isWorthLeaving(const LeavingRequest &Request) const {
  const auto Found = m_Services.find(Request.Service);
  const bool IsMeasured =
      Found != m_Services.end() && Found->second.AnswerSeconds > 0;
  const double AnswerSeconds =
      AnswerTimeMargin *
      (IsMeasured ? Found->second.AnswerSeconds : DefaultAnswerSeconds);
  const auto ValueAfter = [&](double Seconds) {
    return Seconds <= seconds(Request.TimeToLatencyTarget)
               ? m_Settings.ValueInTime
           : Seconds <= seconds(Request.TimeToDeadline) ? m_Settings.ValueLate
                                                        : 0;
  };
  const double AtHome =
      Request.HomeWait
          ? ValueAfter(WaitMargin * seconds(*Request.HomeWait) + AnswerSeconds)
          : 0;
  const double Elsewhere = ValueAfter(RoundTripSeconds + AnswerSeconds);
  const double Bytes = static_cast<double>(Request.Bytes) +
                       (IsMeasured ? Found->second.AnswerBytes : 0);
  return Elsewhere - AtHome > m_Settings.PricePerMegabyte * Bytes / 1e6;
}

SpillRule SpillControl::ruleFor(std::uint64_t Service,
                                const FailureDomain &Domain, TimePoint Now) {
  const auto Found = m_Services.find(Service);
  if (Found == m_Services.end())
    return SpillRule::Unknown;
  auto &State = Found->second;
  const auto Stated = State.Offers.find(Domain.Text);
  // Without figures of the own domain its part is not known.
  if (Stated == State.Offers.end() || !ownOffer(State, Now) ||
      Now - Stated->second.ReceivedAt > SilenceTime)
    return SpillRule::Unknown;
  if (Now - Stated->second.ReceivedAt > OfferLifetime)
    return SpillRule::Closed;
  refill(State, Domain.Text, Now);
  const auto &Current = State.Flows[Domain.Text];
  return Current.Slots > 0 && Current.Tokens >= 1 ? SpillRule::Open
                                                  : SpillRule::Closed;
}

void SpillControl::take(std::uint64_t Service, const FailureDomain &Domain) {
  m_Services[Service].Flows[Domain.Text].Tokens -= 1;
}

std::optional<Departure> chooseElsewhere(SpillControl &Control,
                                         const LeavingRequest &Request,
                                         std::span<const TargetPtr> Targets,
                                         const TargetChoiceInput &Input,
                                         bool OffersOnly, TimePoint Now) {
  // Step 1. The caller must gain more than the bytes cost.
  if (!Control.isWorthLeaving(Request))
    return std::nullopt;

  // Step 2. Use what another domain offers. A target whose slots are all in use
  // by the last report would make the request wait there.
  std::vector<TargetPtr> Open;
  std::vector<TargetPtr> Unstated;
  std::map<std::string_view, SpillRule> Rules;
  for (const auto &Target : Targets) {
    const auto &Domain = Target->Entry.Domain;
    if (Domain == Input.OwnDomain)
      continue;
    auto Known = Rules.find(Domain.Text);
    if (Known == Rules.end())
      Known = Rules
                  .emplace(Domain.Text,
                           Control.ruleFor(Request.Service, Domain, Now))
                  .first;
    const auto Rule = Known->second;
    if (Rule == SpillRule::Open && Target->running() < Target->Entry.Slots)
      Open.push_back(Target);
    else if (Rule == SpillRule::Unknown && !OffersOnly)
      Unstated.push_back(Target);
  }
  if (auto Chosen = chooseTarget(Open, Input, Now)) {
    Control.take(Request.Service, Chosen->Target->Entry.Domain);
    return Departure{std::move(*Chosen), SpillRule::Open};
  }

  // Step 3. Of the domains that state nothing, use targets with a free slot.
  auto Chosen = chooseTarget(Unstated, Input, Now);
  if (!Chosen || !Chosen->MeetsLatencyTarget)
    return std::nullopt;
  return Departure{std::move(*Chosen), SpillRule::Unknown};
}

double SpillControl::flowTo(std::uint64_t Service,
                            const FailureDomain &Domain) const {
  const auto Found = m_Services.find(Service);
  if (Found == m_Services.end())
    return 0;
  const auto Current = Found->second.Flows.find(Domain.Text);
  return Current == Found->second.Flows.end() ? 0 : Current->second.Slots;
}

} // namespace mangodeck
