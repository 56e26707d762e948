#include "mangodeck/gateway/targetregistry.h"

#include "mangodeck/gateway/enginepace.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace mangodeck {

namespace {

/// Time for which a target is avoided after consecutive failures, which doubles
/// with each further failure, and its upper bound. A target that restarts is
/// back within a few seconds.
constexpr Duration MinAvoidance = 250ms;
constexpr Duration MaxAvoidance = 2s;
/// Consecutive failures after which a target is avoided. A single failure may
/// be a lost answer.
constexpr std::uint32_t FailuresToAvoid = 2;
/// Time for which the load stated in an answer is used: about as long as a
/// request of another daemon runs.
constexpr Duration LoadLifetime = 400ms;
/// Weight of a new sample in the moving average of the slowdown.
constexpr double SlowdownWeight = 0.3;
/// Range to which samples of the slowdown are clamped. Engines differ by a
/// factor of five.
constexpr double MinSlowdown = 0.3;
constexpr double MaxSlowdown = 12.0;
/// Weight of a new sample in the moving average of the occupation.
constexpr double OccupationWeight = 0.05;
/// Time after the end of a target's process at which its registration has
/// expired, or was replaced by that of its next start.
constexpr Duration ReregistrationTime = 6s;
/// Departed targets that are remembered; some times the size of a fleet.
constexpr std::size_t MaxDepartures = 4096;

/// Whether \p Entry was registered before \p Other, by the same start of a
/// target.
bool isOlder(const TargetEntry &Entry, const TargetEntry &Other) {
  return Entry.Sequence != 0 && Entry.Sequence < Other.Sequence;
}

} // namespace

TrackedTarget::TrackedTarget(TargetEntry New)
    : Entry(std::move(New)),
      Version(versionIdOf(Entry.Service, Entry.Version)) {
  auto Text = fmt::format("{}@{}", Entry.Id.Text, Entry.StartedUnixMs);
  if (Entry.StartedUnixMs == 0 && Entry.Version)
    Text.append("/").append(*Entry.Version);
  Hash = XXH3_64bits(Text.data(), Text.size());
  m_Statements->LatestStartUnixMs = Entry.StartedUnixMs;
  m_Statements->LatestStart = Hash;
}

void TrackedTarget::adoptStatements(const TrackedTarget &Earlier) {
  m_Statements = Earlier.m_Statements;
  if (Entry.StartedUnixMs < m_Statements->LatestStartUnixMs) {
    m_LaterStart = m_Statements->LatestStart;
    return;
  }
  m_Statements->LatestStartUnixMs = Entry.StartedUnixMs;
  m_Statements->LatestStart = Hash;
}

bool TrackedTarget::markAnnouncedLeaving() {
  if (m_LaterStart != 0)
    m_Statements->LeavingStarts.insert(m_LaterStart);
  return m_Statements->LeavingStarts.insert(Hash).second;
}

std::shared_ptr<TrackedTarget> TrackedTarget::copy() const {
  auto Copy = std::make_shared<TrackedTarget>(*this);
  Copy->m_Statements = std::make_shared<TargetStatements>(*m_Statements);
  return Copy;
}

TargetRegistry TargetRegistry::copyOf(const ServiceName &Service) const {
  TargetRegistry Copies;
  for (const auto &Target : targetsOf(Service)) {
    const auto Copy = Target->copy();
    Copies.m_ById[Copy->Entry.Id.Text] = Copy;
    Copies.m_ByHash[Copy->Hash] = Copy;
    Copies.m_ByService[Service.Text].push_back(Copy);
  }
  return Copies;
}

void TrackedTarget::recordEventGap(Duration Gap, std::uint32_t Tokens) {
  const double Nominal =
      toSeconds(nominalStepTime(running())) * static_cast<double>(Tokens);
  const double Sample =
      std::clamp(toSeconds(Gap) / Nominal, MinSlowdown, MaxSlowdown);
  Slowdown = HasSlowdownSample ? Slowdown + SlowdownWeight * (Sample - Slowdown)
                               : Sample;
  HasSlowdownSample = true;
}

void TrackedTarget::recordOccupation(Duration Occupied) {
  m_MeanOccupation =
      m_MeanOccupation == Duration{0}
          ? Occupied
          : fromSeconds(toSeconds(m_MeanOccupation) +
                        OccupationWeight *
                            toSeconds(Occupied - m_MeanOccupation));
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
  AvoidUntil = Now + std::min(MinAvoidance * (1 << Doublings), MaxAvoidance);
}

void TrackedTarget::recordUnreachable(TimePoint Now) {
  ConsecutiveFailures = std::max(ConsecutiveFailures + 1, FailuresToAvoid) - 1;
  recordFailure(Now);
}

void TrackedTarget::confirmRegistration(TimePoint Time) {
  if (m_ProcessEndedAt && Time - *m_ProcessEndedAt >= ReregistrationTime)
    m_ProcessEndedAt.reset();
}

bool TrackedTarget::isOnTrial() const {
  return ConsecutiveFailures >= FailuresToAvoid;
}

TargetPtr TargetRegistry::update(const TargetEntry &Entry) {
  const auto Known = find(Entry.Id);
  const bool IsSameInstance =
      Known && Known->Entry.StartedUnixMs == Entry.StartedUnixMs &&
      Known->Entry.Ip == Entry.Ip && Known->Entry.Port == Entry.Port &&
      Known->Entry.Service == Entry.Service &&
      Known->Entry.Version == Entry.Version;
  if (IsSameInstance) {
    const bool UndoesDrain = Known->Entry.Draining && !Entry.Draining;
    if (UndoesDrain && isOlder(Entry, Known->Entry))
      return nullptr;
    Known->Entry = Entry;
    Known->MarkedDown = false;
    return Known;
  }
  if (isOfStartBeforeLeaving(Entry))
    return nullptr;
  const auto Added = recallOrCreate(Entry);
  if (!Added)
    return nullptr;
  if (const auto Last = findLast(Entry.Id);
      Last && Last->Version != Added->Version)
    Last->IsVersionReplaced = true;
  if (Known)
    unlink(Known, false);
  m_ById[Entry.Id.Text] = Added;
  m_ByHash[Added->Hash] = Added;
  m_ByService[Entry.Service.Text].push_back(Added);
  return Added;
}

bool TargetRegistry::isOfStartBeforeLeaving(const TargetEntry &Entry) const {
  const auto IsEarlierThan = [&](const TargetEntry &Left) {
    return Left.Id == Entry.Id && Entry.StartedUnixMs != 0 &&
           Entry.StartedUnixMs < Left.StartedUnixMs;
  };
  const auto Known = find(Entry.Id);
  return (Known && Known->isLeaving() && IsEarlierThan(Known->Entry)) ||
         std::any_of(m_Departures.begin(), m_Departures.end(),
                     [&](const auto &Each) {
                       return Each.second.HasLeft &&
                              IsEarlierThan(Each.second.Target->Entry);
                     });
}

TargetPtr TargetRegistry::recallOrCreate(const TargetEntry &Entry) {
  auto New = std::make_shared<TrackedTarget>(Entry);
  if (const auto Last = findLast(Entry.Id))
    New->adoptStatements(*Last);
  const auto Found = m_Departures.find(New->Hash);
  if (Found == m_Departures.end())
    return New;
  const auto &[Departed, HasLeft] = Found->second;
  const auto Sequence = Departed->Entry.Sequence;
  if (HasLeft && (isOlder(Entry, Departed->Entry) ||
                  (Entry.Sequence != 0 && Entry.Sequence == Sequence)))
    return nullptr;
  m_Departures.erase(Found);
  std::erase(m_DepartureOrder, New->Hash);
  return New;
}

TargetPtr TargetRegistry::findLast(const TargetName &Id) const {
  if (auto Known = find(Id))
    return Known;
  const auto Last = std::find_if(
      m_DepartureOrder.rbegin(), m_DepartureOrder.rend(),
      [&](auto Hash) { return m_Departures.at(Hash).Target->Entry.Id == Id; });
  return Last == m_DepartureOrder.rend() ? nullptr
                                         : m_Departures.at(*Last).Target;
}

TargetPtr TargetRegistry::remove(const TargetName &Id, bool HasLeft) {
  const auto Found = m_ById.find(Id.Text);
  if (Found == m_ById.end())
    return nullptr;
  auto Removed = Found->second;
  m_ById.erase(Found);
  unlink(Removed, HasLeft);
  // Waiting requests hold no pointer to the target. A request that is being
  // connected does, and must not be sent any more.
  Removed->Entry.Draining = true;
  return Removed;
}

void TargetRegistry::unlink(const TargetPtr &Target, bool HasLeft) {
  m_ByHash.erase(Target->Hash);
  auto &Targets = m_ByService[Target->Entry.Service.Text];
  std::erase(Targets, Target);
  Target->MarkedDown = true;
  if (m_Departures.insert_or_assign(Target->Hash, Departure{Target, HasLeft})
          .second)
    m_DepartureOrder.push_back(Target->Hash);
  while (m_DepartureOrder.size() > MaxDepartures) {
    m_Departures.erase(m_DepartureOrder.front());
    m_DepartureOrder.pop_front();
  }
}

TargetPtr TargetRegistry::find(const TargetName &Id) const {
  const auto Found = m_ById.find(Id.Text);
  return Found == m_ById.end() ? nullptr : Found->second;
}

TargetPtr TargetRegistry::findByHash(std::uint64_t Hash) const {
  const auto Found = m_ByHash.find(Hash);
  return Found == m_ByHash.end() ? nullptr : Found->second;
}

TargetPtr TargetRegistry::findByHashOrDeparted(std::uint64_t Hash) const {
  if (auto Registered = findByHash(Hash))
    return Registered;
  const auto Found = m_Departures.find(Hash);
  return Found == m_Departures.end() ? nullptr : Found->second.Target;
}

std::size_t TargetRegistry::countRateLimited() const {
  return static_cast<std::size_t>(
      std::count_if(m_ById.begin(), m_ById.end(), [](const auto &Entry) {
        return Entry.second->rateLimit().isActive();
      }));
}

std::span<const TargetPtr>
TargetRegistry::targetsOf(const ServiceName &Service) const {
  const auto Found = m_ByService.find(Service.Text);
  if (Found == m_ByService.end())
    return {};
  return Found->second;
}

} // namespace mangodeck
