// Rollouts, as far as they need the gateway's requests, connections and
// messages.
#include "mangodeck/gateway/enginepace.h"
#include "mangodeck/gateway/gateway.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mangodeck {

namespace {

/// Bounds of the period of messages on rollouts. The counts of a bad version
/// must be known to all delegates within a second or two, also in a large
/// failure domain, whose delegate gets a message of each daemon in a period.
constexpr Duration MinRolloutPeriod = 100ms;
constexpr Duration MaxRolloutPeriod = 250ms;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

/// The time of an answer, comparable between targets on one route; 0 if it
/// tells nothing. Of an engine, relative to the nominal one and to the pace
/// that its machine has at the moment, which has nothing to do with the
/// version.
double comparableSeconds(const Exchange &Answered, TimePoint Now) {
  const auto *Planned = Answered.plan()->findService(Answered.service());
  if (Answered.sendNumber() > 1 && Answered.route().Kind == RouteKind::Stream)
    return 0; // The target ran a part of the stream.
  const auto Total = toSeconds(Now - Answered.sentAt());
  const double Pace = Answered.statedPace().value_or(1);
  if (!Planned || !Planned->IsEngine)
    return Total / Pace;
  const auto StepSeconds =
      toSeconds(nominalStepTime(Answered.runningAtSend() + 1));
  if (Answered.eventCount() >= MinEventsForPace)
    return toSeconds(Answered.lowEventGap()) /
           (StepSeconds * Planned->TokensPerEvent) / Pace;
  const auto &Work = Answered.work();
  const auto Nominal = toSeconds(nominalTimeToFirstEvent(Work)) +
                       StepSeconds * static_cast<double>(Work.OutputTokens);
  return Total / Nominal / Pace;
}

} // namespace

void Gateway::chooseVersion(const ExchangePtr &Waiting, bool IsNew,
                            TimePoint Now) {
  if (!m_Rollouts)
    return;
  const RolloutRequest Request{IsNew, Waiting->requirements().BeginsStream,
                               !Waiting->triedTargets().empty()};
  const auto Choice = m_Rollouts->choose(Waiting->service(), Request, Now);
  // A stream that has begun goes on at its version, unless that is barred.
  if (Waiting->version() == NoVersion)
    return Waiting->setVersionChoice(Choice);
  m_Rollouts->reassign(Waiting->service(), Choice.Only);
  Waiting->setVersionChoice({});
}

bool Gateway::reassignVersion(const ExchangePtr &Waiting) {
  const auto Only = Waiting->versionChoice().Only;
  if (!m_Rollouts || Waiting->version() != NoVersion ||
      !m_Rollouts->reassign(Waiting->service(), Only))
    return false;
  Waiting->setVersionChoice({NoVersion, Only});
  return true;
}

void Gateway::onAnswer(const Exchange &Answered, bool IsBad) {
  if (!m_Rollouts || !Answered.target())
    return;
  const auto Now = steadyNow();
  m_Rollouts->recordAnswer({*Answered.target(), Answered.route().Name, IsBad,
                            comparableSeconds(Answered, Now)},
                           Now);
}

void Gateway::updateRollouts(TimePoint Now) {
  if (!m_Rollouts)
    return;
  RolloutSurroundings Around;
  Around.IsDelegate = !m_RemoteBroker;
  Around.ReachablePeers = m_Peers.countReachableInOwnDomain(Now);
  Around.RemoteDomains = m_Peers.remoteDomains();
  Around.StoreConfirmedAt = m_View.confirmedAt();
  Around.WallClock = wallClock();
  Around.Period = std::clamp<Duration>(reportPeriod() / 2, MinRolloutPeriod,
                                       MaxRolloutPeriod);
  m_Rollouts->tick(Around, Now);
  m_Metrics.setGauge("rollouts_active", m_Rollouts->isActive() ? 1 : 0);
}

void Gateway::sendToDelegate(std::string_view Bytes) {
  if (m_RemoteBroker && m_RemoteBroker->Endpoint)
    sendTo(std::span(&*m_RemoteBroker->Endpoint, 1), Bytes);
}

void Gateway::sendToOwnDomain(std::string_view Bytes) { sendToDomain(Bytes); }

void Gateway::sendToDelegates(std::string_view Bytes) {
  const auto Now = steadyNow();
  std::vector<PeerEndpoint> Receivers;
  for (const auto &Domain : m_Peers.remoteDomains())
    if (auto Endpoint = m_Peers.remoteDelegate(FailureDomain(Domain), Now))
      Receivers.push_back(std::move(*Endpoint));
  sendTo(Receivers, Bytes);
}

void Gateway::writeStatus(const RolloutStatus &Next, StoreRevision Expected) {
  if (OnRolloutStatus)
    OnRolloutStatus(Next, Expected);
}

void Gateway::writeRecord(const RolloutRecord &Next, StoreRevision Expected) {
  if (OnRolloutRecord)
    OnRolloutRecord(Next, Expected);
}

std::uint32_t Gateway::countElsewhere(const ServiceName &Service,
                                      VersionId To) const {
  std::uint32_t Count = 0;
  for (const auto &[Number, Each] : m_ExchangeByNumber) {
    if (Each->service() != Service || Each->hasEnded())
      continue;
    const bool IsBound = Each->version() != NoVersion && Each->version() != To;
    const auto &Target = Each->target();
    const bool IsThere = !Each->isWaiting() && Target && Target->Version != To;
    Count += IsBound || IsThere ? 1 : 0;
  }
  return Count;
}

void Gateway::reconsider(const ServiceName &Service) {
  const auto Now = steadyNow();
  std::vector<ExchangePtr> Waiting;
  for (const auto &[Number, Each] : m_ExchangeByNumber)
    if (Each->service() == Service && Each->isWaiting() &&
        Each->version() == NoVersion)
      Waiting.push_back(Each);
  for (const auto &Each : Waiting) {
    const auto Before = Each->versionChoice();
    chooseVersion(Each, false, Now);
    if (Each->versionChoice() == Before ||
        !m_PendingSlotRequests.contains(Each->number()))
      continue;
    // The broker knows the request with the choice of before.
    withdrawSlotRequest(Each->number(), Now);
    requestSlot(Each, false, Now);
  }
  if (!Waiting.empty())
    scheduleDispatch(Service);
}

void Gateway::giveUpElsewhere(const ServiceName &Service, VersionId To) {
  std::vector<ExchangePtr> Given;
  for (const auto &[Number, Each] : m_ExchangeByNumber) {
    const bool IsBound = Each->version() != NoVersion && Each->version() != To;
    const bool IsThere =
        !Each->isWaiting() && Each->target() && Each->target()->Version != To;
    if (Each->service() == Service && (IsBound || IsThere))
      Given.push_back(Each);
  }
  if (!Given.empty())
    m_Log.write("rollout_given_up",
                {{"service", Service.Text}, {"requests", Given.size()}});
  m_Rollouts->markTargets(steadyNow());
  for (const auto &Each : Given)
    Each->leaveVersion("version replaced");
}

void Gateway::onRolloutOrder(const ServiceName &Service,
                             std::optional<RolloutOrder> Order) {
  if (m_Rollouts)
    m_Rollouts->onOrder(Service, std::move(Order), steadyNow());
  hastenTick(steadyNow());
}

void Gateway::onRolloutStatus(const ServiceName &Service,
                              std::optional<RolloutStatus> Status) {
  if (m_Rollouts)
    m_Rollouts->onStatus(Service, std::move(Status), steadyNow());
}

void Gateway::onRolloutRecord(const ServiceName &Service,
                              std::optional<RolloutRecord> Record) {
  if (m_Rollouts)
    m_Rollouts->onRecord(Service, std::move(Record), steadyNow());
}

void Gateway::onRolloutWritten(const ServiceName &Service) {
  if (m_Rollouts)
    m_Rollouts->onWritten(Service);
}

} // namespace mangodeck
