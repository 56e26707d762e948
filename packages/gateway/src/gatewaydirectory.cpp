// What the store and the targets' answers tell of the configuration and the
// targets.
#include "mangodeck/gateway/gateway.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace mangodeck {

namespace {

/// A target whose registration expired during an outage of the store is removed
/// only after this time, so that it can register again. Stays within the time
/// allowed for noticing that a target has left.
constexpr Duration ExpiredTargetRetention = 1700ms;

/// Longest time for which a request is held until the configuration is
/// confirmed, and the same as a share of the time that its caller has left.
constexpr Duration MaxConfirmationWait = 500ms;
constexpr double MaxConfirmationShare = 0.25;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

void Gateway::onTargetLeaving(const TargetPtr &Target) {
  if (!Target->markAnnouncedLeaving())
    return;
  m_Log.write("target_draining",
              {{"target", Target->Entry.Id.Text}, {"told_by", "its answer"}});
  m_AnnouncedLeaving[Target->Hash] = steadyNow();
}

void Gateway::onOtherTargetLeaving(const TargetPtr &Expected) {
  for (const auto &[Name, Targets] : m_Targets.targetsByService())
    for (const auto &Target : Targets)
      if (Target != Expected && Target->Entry.Ip == Expected->Entry.Ip &&
          Target->Entry.Port == Expected->Entry.Port)
        onTargetLeaving(Target);
}

void Gateway::onTargetPaused(const TargetPtr &Target) {
  scheduleDispatch(Target->Entry.Service);
}

void Gateway::onPlan(RoutePlanPtr Plan) {
  if (m_Plan && Plan->Version <= m_Plan->Version)
    return;
  m_Log.write("plan_in_force",
              {{"version", Plan->Version},
               {"before", m_Plan ? m_Plan->Version : 0},
               {"told_by", toString(m_View.origin())},
               {"confirmed_ms", ageMs(m_View.confirmedAt(), steadyNow())},
               {"routes", Plan->Routes.size()},
               {"customers", Plan->Customers.size()}});
  m_Plan = std::move(Plan);
  m_Metrics.setGauge("plan_version", static_cast<double>(m_Plan->Version));
  m_Metrics.setGauge("plan_taken_unix_seconds",
                     static_cast<double>(wallClock().count()) / 1000);
  recordStreamServices(steadyNow());
  m_Quotas.configure(*m_Plan, steadyNow());
  m_Pool.configure(*m_Plan);
  if (m_Rollouts) {
    std::map<std::string, RolloutService> Services;
    for (const auto &Each : m_Plan->Services)
      Services[Each.Name.Text].IsEngine = Each.IsEngine;
    for (const auto &Each : m_Plan->Routes)
      for (const auto &Share : Each.Shares)
        if (const auto Known = Services.find(Share.Service.Text);
            Known != Services.end() && Each.Kind == RouteKind::Stream)
          Known->second.HasStreams = true;
    m_Rollouts->setServices(std::move(Services));
  }
}

void Gateway::onTargetUpdated(const TargetEntry &Entry) {
  const auto Previous = m_Targets.find(Entry.Id);
  const bool WasDraining = Previous && Previous->Entry.Draining;
  const auto Current = m_Targets.update(Entry);
  if (!Current) {
    m_Log.write("target_entry_outdated",
                {{"target", Entry.Id.Text}, {"sequence", Entry.Sequence}});
    return;
  }
  m_VersionHistory.recordRegistered(Current->Entry, steadyNow());
  Current->NewStreamsFrom =
      m_VersionHistory.settledAt(Current->Entry.Service, Current->Version);
  std::erase_if(m_ExpiredTargets,
                [&](const auto &Expired) { return Expired.Id == Entry.Id; });
  // What still runs at the target may have begun at the start that is known
  // only now.
  if (Current != Previous)
    for (const auto &[Number, Each] : m_ExchangeByNumber)
      if (Each->reportedRequest() && Each->target()->Entry.Id == Entry.Id &&
          Each->target()->IsVersionReplaced)
        onDispatch(*Each);
  if (Current == Previous && WasDraining == Entry.Draining)
    return;
  if (m_Rollouts)
    m_Rollouts->markTargets(steadyNow());
  m_Log.write(Entry.Draining ? "target_draining" : "target_ready",
              {{"target", Entry.Id.Text},
               {"service", Entry.Service.Text},
               {"domain", Entry.Domain.Text},
               {"version", Entry.Version.value_or("")},
               {"started_unix_ms", Entry.StartedUnixMs},
               {"slots", Entry.Slots}});
  if (Entry.Draining)
    m_LeavingTargets[{Current->Hash, Entry.Sequence}] = steadyNow();
  else
    onSlotFreed(Entry.Service);
}

void Gateway::onTargetRemoved(const TargetName &Id, bool AfterOutage) {
  const auto Known = m_Targets.find(Id);
  if (!Known)
    return;
  m_Log.write("target_gone",
              {{"target", Id.Text}, {"after_outage", AfterOutage}});
  if (AfterOutage && !Known->Entry.Draining) {
    m_ExpiredTargets.push_back({Id, steadyNow() + ExpiredTargetRetention});
    return;
  }
  m_LeavingTargets[{Known->Hash, Known->Entry.Sequence}] = steadyNow();
  m_Targets.remove(Id, true);
}

void Gateway::onDirectoryComplete() {
  if (!std::exchange(m_DirectoryComplete, true)) {
    m_Log.write("directory_complete", {{"targets", m_Targets.size()}});
    m_VersionHistory.settleMain(m_Targets.targetsByService(), steadyNow());
    if (m_Rollouts)
      m_Rollouts->onDirectoryComplete();
    updateSettled();
  }
}

void Gateway::onDirectoryConfirmed(TimePoint Time) {
  if (const auto Outdated =
          m_View.confirm(Time, m_Settings.ChangeDeadline, steadyNow())) {
    m_Metrics.observeOutdated(*Outdated);
    m_Log.write("directory_current",
                {{"outdated_ms", toMs(*Outdated)},
                 {"told_by", toString(m_View.confirmedBy())}});
  }
  if (m_Unconfirmed.size() > 0 &&
      !m_View.isOutdated(m_Settings.ChangeDeadline, steadyNow()))
    asio::post(m_Loop, [this] { releaseUnconfirmed(); });
}

RefusalCause Gateway::planRefusal(RefusalCause Cause, TimePoint Now) const {
  return m_View.isOutdated(m_Settings.ChangeDeadline, Now)
             ? RefusalCause::Unconfirmed
             : Cause;
}

void Gateway::refuseByPlan(http::CallerConnection &Connection,
                           http::Request &&Message, TimePoint FirstByte,
                           const RequestFacts &Facts, RefusalCause Cause) {
  const auto Now = steadyNow();
  const auto Stated = planRefusal(Cause, Now);
  // While stopping, another daemon can decide at once.
  if (Stated != RefusalCause::Unconfirmed || m_Stopping ||
      m_Unconfirmed.isFull())
    return refuseNew(Connection, Message.Head, Facts, Stated, Duration{0});
  auto Hold = MaxConfirmationWait;
  if (Facts.RemainingTime)
    Hold =
        std::min<Duration>(Hold, fromSeconds(MaxConfirmationShare *
                                             toSeconds(*Facts.RemainingTime)));
  m_Unconfirmed.push({&Connection, std::move(Message), FirstByte, Now + Hold});
  hastenTick(Now);
}

void Gateway::releaseUnconfirmed() {
  // Those that are held again are behind the others.
  for (auto Count = m_Unconfirmed.size(); Count > 0; --Count)
    if (auto Held = m_Unconfirmed.pop())
      onRequest(*Held->Connection, std::move(Held->Message), Held->FirstByte);
}

void Gateway::onDirectoryOrigin(const ChangeOrigin &Origin) {
  m_View.setOrigin(Origin);
}

} // namespace mangodeck
