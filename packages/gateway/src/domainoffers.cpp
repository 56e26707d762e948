#include "mangodeck/gateway/domainoffers.h"

#include <algorithm>
#include <xxhash.h>

namespace mangodeck {

namespace {

/// Time for which a broker observes the demand before it offers anything.
constexpr Duration WarmUpTime = 1s;
/// An offer is acted on up to this time after it was made: the period of
/// reports and the way by the receiving domain's delegate.
constexpr Duration OfferHorizon = 300ms;
/// Share of the slots from which on the domain states that it lacks some. Below
/// 1, since the answer of the other domains takes two reports.
constexpr double LackingShare = 0.85;
/// Time for which figures are still stated after the last lack.
constexpr Duration StatementTime = 3s;
/// Shortest time between two changes of a service that are logged.
constexpr Duration LogPeriod = 1s;
/// Time of a request before any was measured.
constexpr double DefaultSlotSeconds = 0.05;
/// Weight of a measurement in the mean time of a request.
constexpr double SlotTimeWeight = 0.05;
/// A request without a message for this long has ended: its last one is lost.
constexpr Duration OpenTimeout = 5s;

} // namespace

std::uint64_t hashOf(const ServiceName &Service) {
  return XXH3_64bits(Service.Text.data(), Service.Text.size());
}

void DomainOffers::restart(TimePoint Now) {
  m_Since = Now;
  m_Open.clear();
  m_Services.clear();
}

void DomainOffers::recordRequest(const ServiceName &Service,
                                 const RequestKey &Key, TimePoint Now) {
  const auto Hash = hashOf(Service);
  auto [At, New] = m_Open.try_emplace(Key);
  At->second.Service = Hash;
  At->second.Since = Now;
  if (New)
    m_Services[Hash].Demand.record(Now);
}

void DomainOffers::recordGrant(const RequestKey &Key, TimePoint Now) {
  if (const auto Found = m_Open.find(Key); Found != m_Open.end())
    Found->second.GrantedAt = Found->second.Since = Now;
}

bool DomainOffers::holdsSlot(const RequestKey &Key) const {
  const auto Found = m_Open.find(Key);
  return Found != m_Open.end() && Found->second.GrantedAt != TimePoint{};
}

void DomainOffers::recordEnd(const RequestKey &Key, bool Succeeded,
                             TimePoint Now) {
  const auto Ended = m_Open.extract(Key);
  if (Ended.empty() || !Succeeded || Ended.mapped().GrantedAt == TimePoint{})
    return;
  const double Seconds = toSeconds(Now - Ended.mapped().GrantedAt);
  auto &Mean = m_Services[Ended.mapped().Service].SlotSeconds;
  Mean = Mean > 0 ? Mean + SlotTimeWeight * (Seconds - Mean) : Seconds;
}

void DomainOffers::recordLacking(std::uint64_t Service, TimePoint Now) {
  m_Services[Service].LackingElsewhereAt = Now;
}

ServiceOffer DomainOffers::offerOf(std::uint64_t Service, ServiceState &State,
                                   std::uint32_t Slots, TimePoint Now) const {
  const double SlotSeconds =
      State.SlotSeconds > 0 ? State.SlotSeconds : DefaultSlotSeconds;
  const double Needed =
      State.Demand.expectedPerSecond(Now, OfferHorizon) * SlotSeconds;
  ServiceOffer Offer;
  Offer.Service = Service;
  Offer.FreeSlots = std::max(0.0, Slots - Needed);
  Offer.LackingSlots = std::max(0.0, Needed - Slots * LackingShare);
  // A domain that lacks slots, if only a part of one, offers none.
  if (Offer.LackingSlots > 0)
    Offer.FreeSlots = 0;
  Offer.PerSecond = State.Demand.perSecond(Now);
  Offer.SlotTime = fromSeconds(SlotSeconds);
  return Offer;
}

std::vector<ServiceOffer>
DomainOffers::offers(std::span<const DomainSlots> Targets, TimePoint Now) {
  std::erase_if(m_Open, [&](const auto &Entry) {
    return Now - Entry.second.Since > OpenTimeout;
  });
  if (Now - m_Since < WarmUpTime)
    return {};
  std::map<std::uint64_t, std::uint32_t> Slots;
  for (const auto &Each : Targets)
    Slots[hashOf(Each.Service)] = Each.Slots;
  std::vector<ServiceOffer> Result;
  for (auto &[Service, State] : m_Services) {
    const auto Found = Slots.find(Service);
    const auto Own = Found == Slots.end() ? 0 : Found->second;
    const auto Offer = offerOf(Service, State, Own, Now);
    const bool IsLacking = Offer.LackingSlots > 0;
    if (IsLacking)
      State.LackedAt = Now;
    if (IsLacking != State.WasLacking && Now - State.ChangedAt >= LogPeriod) {
      State.WasLacking = IsLacking;
      State.ChangedAt = Now;
      m_Changes.push_back({Offer, Own});
    }
    if (Now - std::max(State.LackedAt, State.LackingElsewhereAt) <
            StatementTime &&
        (Found != Slots.end() || Offer.LackingSlots > 0))
      Result.push_back(Offer);
  }
  return Result;
}

} // namespace mangodeck
