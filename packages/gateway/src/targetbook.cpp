#include "mangodeck/gateway/targetbook.h"

#include "mangodeck/gateway/enginepace.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace mangodeck {

namespace {

/// First time for which a target is avoided after failures in a row, and its
/// bound. A target that restarts is back after some seconds.
constexpr Duration FirstAvoidance = 250ms;
constexpr Duration LongestAvoidance = 2s;
/// Failures in a row before a target is avoided: single answers get lost.
constexpr std::uint32_t FailuresToAvoid = 2;
/// How long the load that an answer told counts: about as long as a request
/// of others runs.
constexpr Duration LoadLifetime = 400ms;
/// Weight of a new sample of the pace.
constexpr double PaceWeight = 0.3;
/// Range of believable slowness; engines differ by five times.
constexpr double LeastSlowness = 0.3;
constexpr double MostSlowness = 12.0;

} // namespace

KnownTarget::KnownTarget(TargetEntry Entry) : Entry(std::move(Entry)) {
  const auto Text =
      fmt::format("{}@{}", this->Entry.Id.Text, this->Entry.Started);
  Hash = XXH3_64bits(Text.data(), Text.size());
}

void KnownTarget::learnPace(Duration Gap, std::uint32_t Tokens) {
  const double Nominal =
      toSeconds(stepTime(running())) * static_cast<double>(Tokens);
  const double Sample =
      std::clamp(toSeconds(Gap) / Nominal, LeastSlowness, MostSlowness);
  Slowness =
      SlownessKnown ? Slowness + PaceWeight * (Sample - Slowness) : Sample;
  SlownessKnown = true;
}

void KnownTarget::noteLoad(std::uint32_t Total, TimePoint Now) {
  ForeignSeen = Total > OwnRunning ? Total - OwnRunning : 0;
  ForeignSeenAt = Now;
}

void KnownTarget::ageLoad(TimePoint Now) {
  if (Now - ForeignSeenAt > LoadLifetime)
    ForeignSeen = 0;
}

void KnownTarget::noteSuccess(TimePoint Now) {
  FailuresInRow = 0;
  AvoidUntil = TimePoint{};
  Lost = false;
  LastByte = Now;
}

void KnownTarget::noteFailure(TimePoint Now) {
  ++FailuresInRow;
  if (FailuresInRow < FailuresToAvoid)
    return;
  const auto Doublings =
      std::min<std::uint32_t>(FailuresInRow - FailuresToAvoid, 8);
  AvoidUntil =
      Now + std::min(FirstAvoidance * (1 << Doublings), LongestAvoidance);
}

void KnownTarget::noteUnreachable(TimePoint Now) {
  FailuresInRow = std::max(FailuresInRow + 1, FailuresToAvoid) - 1;
  noteFailure(Now);
}

bool KnownTarget::isOnTrial() const { return FailuresInRow >= FailuresToAvoid; }

TargetPtr TargetBook::update(const TargetEntry &Entry) {
  auto &Known = m_ById[Entry.Id.Text];
  const bool Same = Known && Known->Entry.Started == Entry.Started &&
                    Known->Entry.Ip == Entry.Ip &&
                    Known->Entry.Port == Entry.Port &&
                    Known->Entry.Service == Entry.Service;
  if (Same) {
    Known->Entry = Entry;
    Known->Lost = false;
    return Known;
  }
  if (Known)
    unlink(Known);
  Known = std::make_shared<KnownTarget>(Entry);
  m_ByHash[Known->Hash] = Known;
  m_ByService[Entry.Service.Text].push_back(Known);
  return Known;
}

TargetPtr TargetBook::remove(const TargetName &Id) {
  const auto Found = m_ById.find(Id.Text);
  if (Found == m_ById.end())
    return nullptr;
  auto State = Found->second;
  m_ById.erase(Found);
  unlink(State);
  // Requests that wait hold no pointer, those that run must not go on to it.
  State->Entry.Draining = true;
  return State;
}

void TargetBook::unlink(const TargetPtr &State) {
  m_ByHash.erase(State->Hash);
  auto &Targets = m_ByService[State->Entry.Service.Text];
  std::erase(Targets, State);
  State->Lost = true;
}

TargetPtr TargetBook::find(const TargetName &Id) const {
  const auto Found = m_ById.find(Id.Text);
  return Found == m_ById.end() ? nullptr : Found->second;
}

TargetPtr TargetBook::findByHash(std::uint64_t Hash) const {
  const auto Found = m_ByHash.find(Hash);
  return Found == m_ByHash.end() ? nullptr : Found->second;
}

std::span<const TargetPtr> TargetBook::of(const ServiceName &Service) const {
  const auto Found = m_ByService.find(Service.Text);
  if (Found == m_ByService.end())
    return {};
  return Found->second;
}

} // namespace mangodeck
