// Streams that callers take up: at which version they go on.
#include "mangodeck/gateway/gateway.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

/// A version counts as possible for at least this long after its last target,
/// and for HorizonFactor times the longest time limit of a stream: clocks of
/// daemons differ by some seconds.
constexpr Duration MinStreamHorizon = 60s;
constexpr int HorizonFactor = 2;
/// Time limit of a request whose caller sends none.
constexpr Duration DefaultTimeLimit = 60s;
/// Time after a request's time limit for which the origin of its stream is
/// kept.
constexpr Duration OriginGracePeriod = 1s;
/// Time for which a daemon still counts among those that keep origins after it
/// was unlisted: its registration may only have expired, or be missing after a
/// restore of the store.
constexpr Duration UnlistedHolderTime = 15s;
/// Period at which the origins of running streams are sent again: the daemons
/// that keep them may have been replaced.
constexpr Duration OriginRefreshPeriod = 3s;
/// Time for which the delegates alone write records of versions. If the store
/// still lacks them then, every daemon does.
constexpr Duration DelegateWriteTime = 2s;
constexpr Duration VersionWritePeriod = 1s;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

bool servesResumableStreams(const Route &Each) {
  return Each.Kind == RouteKind::Stream && Each.Resumable;
}

} // namespace

bool Gateway::isDirectoryFresh(TimePoint Now) const {
  return m_DirectoryComplete && m_View.isConfirmedWithin(DirectoryTimeout, Now);
}

std::optional<VersionId> Gateway::soleVersion(TimePoint Now) const {
  return isDirectoryFresh(Now) ? soleKnownVersion() : std::nullopt;
}

std::optional<VersionId> Gateway::soleKnownVersion() const {
  std::vector<ServiceName> Services;
  for (const auto &[Name, LastInForce] : m_StreamServices)
    Services.emplace_back(Name);
  return m_VersionHistory.soleVersion(Services);
}

std::chrono::milliseconds Gateway::wallClock() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch()) +
         m_Settings.WallClockOffset;
}

void Gateway::updateSettled() {
  for (const auto &[Name, Targets] : m_Targets.targetsByService())
    for (const auto &Target : Targets)
      Target->NewStreamsFrom =
          m_VersionHistory.settledAt(Target->Entry.Service, Target->Version);
}

void Gateway::recordStreamServices(TimePoint Now) {
  auto Horizon = MinStreamHorizon;
  for (const auto &Each : m_Plan->Routes) {
    if (!servesResumableStreams(Each))
      continue;
    Horizon = std::max<Duration>(Horizon, HorizonFactor * Each.Timeout);
    for (const auto &Share : Each.Shares)
      m_StreamServices[Share.Service.Text] = Now;
  }
  m_VersionHistory.setHorizon(Horizon);
  std::erase_if(m_StreamServices, [&](const auto &Entry) {
    return Now - Entry.second > Horizon;
  });
}

void Gateway::updateVersions(TimePoint Now) {
  if (!m_Plan)
    return;
  recordStreamServices(Now);
  m_VersionHistory.refresh(m_Targets.targetsByService(), Now);
  for (const auto &[Name, Targets] : m_Targets.targetsByService())
    for (const auto &Target : Targets)
      Target->confirmRegistration(m_View.confirmedAt());
  storeVersions(Now);
  std::erase_if(m_UnlistedHolders, [&](const auto &Entry) {
    const bool IsOver = Now - Entry.second >= UnlistedHolderTime;
    if (IsOver)
      m_Origins.removeDaemon(Entry.first);
    return IsOver;
  });
  if (!updateOriginSharing(Now) ||
      Now - m_OriginsSharedAt < OriginRefreshPeriod)
    return;
  std::vector<StreamId> Running;
  for (const auto &[Number, Each] : m_ExchangeByNumber)
    if (servesResumableStreams(Each->route()) && Each->target())
      Running.push_back(streamIdOf(Each->facts().AttemptId));
  m_OriginsSharedAt = Now;
  m_Origins.share(Running, Now);
}

bool Gateway::updateOriginSharing(TimePoint Now) {
  const bool IsShared = !soleVersion(Now);
  if (IsShared && !m_SharesOrigins) {
    m_OriginsSharedAt = Now;
    m_Origins.shareAll(Now);
  }
  return m_SharesOrigins = IsShared;
}

void Gateway::storeVersions(TimePoint Now) {
  const auto Records = isDirectoryFresh(Now)
                           ? m_VersionHistory.recordsToStore(wallClock(), Now)
                           : std::nullopt;
  if (!Records) {
    m_RecordsDueSince.reset();
    return;
  }
  if (!m_RecordsDueSince)
    m_RecordsDueSince = Now;
  const bool IsDue =
      !m_RemoteBroker || Now - *m_RecordsDueSince >= DelegateWriteTime;
  if (!IsDue || Now - m_LastVersionWriteAt < VersionWritePeriod)
    return;
  m_LastVersionWriteAt = Now;
  m_Log.write("versions_stored", {{"versions", Records->size()}});
  if (OnVersionRecords)
    OnVersionRecords(*Records);
}

void Gateway::onVersionRecords(std::span<const VersionRecord> Records) {
  m_VersionHistory.mergeStored(Records, wallClock(), steadyNow());
}

void Gateway::onDispatch(const Exchange &Running) {
  if (m_Rollouts)
    m_Rollouts->recordSend(*Running.target());
  const auto &Facts = Running.facts();
  if (!servesResumableStreams(Running.route()) || Facts.AttemptId.empty())
    return;
  const auto Now = steadyNow();
  StreamOrigin Origin;
  Origin.Stream = streamIdOf(Facts.AttemptId);
  Origin.Version = Running.versionAtTarget();
  Origin.Send = Running.sendNumber();
  Origin.TimeToLive = Running.arrival() +
                      Facts.RemainingTime.value_or(DefaultTimeLimit) +
                      OriginGracePeriod - Now;
  const bool IsShared = updateOriginSharing(Now);
  m_Origins.record(Origin, IsShared, Now);
  if (Facts.ResumedAttempt.empty() || Running.version() == NoVersion)
    return;
  Origin.Stream = streamIdOf(Facts.ResumedAttempt);
  Origin.Send = 0;
  m_Origins.record(Origin, IsShared, Now);
}

void Gateway::resumeStream(const ExchangePtr &Resuming, TimePoint Now) {
  Resuming->setWaiting();
  // Step 1. If only one version can have begun the stream, it did.
  if (const auto Sole = soleVersion(Now))
    return admitResumed(Resuming, *Sole, "only version", {}, Now);

  // Step 2. Without the stream's attempt, nothing can be found out. Callers of
  // a service with several versions name it, so one without has one.
  const auto &Attempt = Resuming->facts().ResumedAttempt;
  if (Attempt.empty()) {
    if (const auto Known = soleKnownVersion())
      return admitResumed(Resuming, *Known, "only known version", {}, Now);
    return refuseResumed(Resuming, "not named", {}, UnknownVersionReason);
  }

  // Step 3. Look the origin up, here and at other daemons.
  hastenTick(Now);
  m_Origins.find(Resuming->number(), streamIdOf(Attempt), Now);
}

void Gateway::onOriginResult(TicketNumber Number, const OriginResult &Result) {
  const auto Found = m_ExchangeByNumber.find(Number);
  if (Found == m_ExchangeByNumber.end())
    return;
  const auto Resuming = Found->second;
  if (Result.Version == NoVersion)
    return refuseResumed(Resuming, "unknown", Result, UnknownVersionReason);
  admitResumed(Resuming, Result.Version,
               Result.Asked == 0 ? "own record" : "other daemon", Result,
               steadyNow());
}

void Gateway::admitResumed(const ExchangePtr &Resuming, VersionId Version,
                           std::string_view Source, const OriginResult &Result,
                           TimePoint Now) {
  const auto Service = m_VersionHistory.serviceOf(Version);
  const auto &Shares = Resuming->route().Shares;
  const bool IsAllowed =
      Service && std::any_of(Shares.begin(), Shares.end(), [&](const auto &S) {
        return S.Service == *Service && S.Weight > 0;
      });
  if (!IsAllowed)
    return refuseResumed(Resuming, Source, Result, VersionGoneReason);
  Resuming->resumeAt(*Service, Version);
  logResumed(*Resuming, Source, Result);
  admit(Resuming, Now);
}

void Gateway::refuseResumed(const ExchangePtr &Resuming,
                            std::string_view Source, const OriginResult &Result,
                            std::string_view Reason) {
  logResumed(*Resuming, Source, Result);
  // Without a Retry-After: the caller has to begin the stream again.
  Resuming->refuse(503, Reason, std::nullopt);
}

void Gateway::logResumed(const Exchange &Resuming, std::string_view Source,
                         const OriginResult &Result) {
  m_Metrics.countResume(Source);
  m_Log.write("stream_resumed", {{"id", Resuming.facts().AttemptId},
                                 {"known_by", Source},
                                 {"asked", Result.Asked},
                                 {"answered", Result.Answered},
                                 {"lookup_ms", toMs(Result.Waited)}});
}

bool Gateway::hasTargetOfVersion(const Exchange &Waiting) const {
  if (Waiting.version() == NoVersion)
    return true;
  const auto Targets = m_Targets.targetsOf(Waiting.service());
  return std::any_of(Targets.begin(), Targets.end(), [&](const auto &Target) {
    return Target->Version == Waiting.version() && !Target->isLeaving() &&
           !Target->IsBarred;
  });
}

void Gateway::sendOrigin(const std::string &Vm, const OriginMessage &Message) {
  if (const auto Endpoint = m_Peers.endpointOf(Vm))
    sendTo(std::span(&*Endpoint, 1), encodeOriginMessage(Message));
}

} // namespace mangodeck
