#include "mangodeck/gateway/targetregistry.h"

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

TrackedTarget::TrackedTarget(TargetEntry Entry) : Entry(std::move(Entry)) {
  const auto Text =
      fmt::format("{}@{}", this->Entry.Id.Text, this->Entry.StartedUnixMs);
  Hash = XXH3_64bits(Text.data(), Text.size());
}

void TrackedTarget::recordEventGap(Duration Gap, std::uint32_t Tokens) {
  const double Nominal =
      toSeconds(nominalStepTime(running())) * static_cast<double>(Tokens);
  const double Sample =
      std::clamp(toSeconds(Gap) / Nominal, LeastSlowness, MostSlowness);
  Slowdown =
      HasSlowdownSample ? Slowdown + PaceWeight * (Sample - Slowdown) : Sample;
  HasSlowdownSample = true;
}

void TrackedTarget::recordLoad(std::uint32_t Total, TimePoint Now) {
  ForeignRunning = Total > OwnRunning ? Total - OwnRunning : 0;
  ForeignRunningAt = Now;
}

void TrackedTarget::expireLoad(TimePoint Now) {
  if (Now - ForeignRunningAt > LoadLifetime)
    ForeignRunning = 0;
}

void TrackedTarget::recordSuccess(TimePoint Now) {
  ConsecutiveFailures = 0;
  AvoidUntil = TimePoint{};
  MarkedDown = false;
  LastByteAt = Now;
}

void TrackedTarget::recordFailure(TimePoint Now) {
  ++ConsecutiveFailures;
  if (ConsecutiveFailures < FailuresToAvoid)
    return;
  const auto Doublings =
      std::min<std::uint32_t>(ConsecutiveFailures - FailuresToAvoid, 8);
  AvoidUntil =
      Now + std::min(FirstAvoidance * (1 << Doublings), LongestAvoidance);
}

void TrackedTarget::recordUnreachable(TimePoint Now) {
  ConsecutiveFailures = std::max(ConsecutiveFailures + 1, FailuresToAvoid) - 1;
  recordFailure(Now);
}

bool TrackedTarget::isOnTrial() const {
  return ConsecutiveFailures >= FailuresToAvoid;
}

TargetPtr TargetRegistry::update(const TargetEntry &Entry) {
  auto &Known = m_ById[Entry.Id.Text];
  const bool Same =
      Known && Known->Entry.StartedUnixMs == Entry.StartedUnixMs &&
      Known->Entry.Ip == Entry.Ip && Known->Entry.Port == Entry.Port &&
      Known->Entry.Service == Entry.Service;
  if (Same) {
    Known->Entry = Entry;
    Known->MarkedDown = false;
    return Known;
  }
  if (Known)
    unlink(Known);
  Known = std::make_shared<TrackedTarget>(Entry);
  m_ByHash[Known->Hash] = Known;
  m_ByService[Entry.Service.Text].push_back(Known);
  return Known;
}

TargetPtr TargetRegistry::remove(const TargetName &Id) {
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

void TargetRegistry::unlink(const TargetPtr &State) {
  m_ByHash.erase(State->Hash);
  auto &Targets = m_ByService[State->Entry.Service.Text];
  std::erase(Targets, State);
  State->MarkedDown = true;
}

TargetPtr TargetRegistry::find(const TargetName &Id) const {
  const auto Found = m_ById.find(Id.Text);
  return Found == m_ById.end() ? nullptr : Found->second;
}

TargetPtr TargetRegistry::findByHash(std::uint64_t Hash) const {
  const auto Found = m_ByHash.find(Hash);
  return Found == m_ByHash.end() ? nullptr : Found->second;
}

std::span<const TargetPtr>
TargetRegistry::targetsOf(const ServiceName &Service) const {
  const auto Found = m_ByService.find(Service.Text);
  if (Found == m_ByService.end())
    return {};
  return Found->second;
}

} // namespace mangodeck
