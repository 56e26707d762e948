// Reports between daemons, and what they tell of targets and daemons.
#include "mangodeck/gateway/gateway.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <utility>

namespace mangodeck {

namespace {

/// Period of the reports to the other daemons of the failure domain while
/// there are at most DaemonsAtFullRate of them. It grows in proportion to
/// their number beyond that, so that the message rate of a daemon does not.
constexpr Duration BaseReportPeriod = 100ms;
constexpr std::size_t DaemonsAtFullRate = 15;
/// Upper bound of the period; several reports fit into the time after which a
/// silent daemon counts as unreachable.
constexpr Duration MaxReportPeriod = 500ms;
/// A daemon relays only after it has been the delegate for this long: at their
/// start all daemons are, until they receive reports.
constexpr Duration RelayStartDelay = 1s;
/// Time for which the reports to other daemons name a target that leaves, was
/// removed or has stated its rate limit.
constexpr Duration StatementReportPeriod = 5s;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

/// Removes the targets from \p Leaving that have been reported for
/// StatementReportPeriod, and returns the others.
template <typename Name>
std::vector<Name> recentlyLeaving(std::map<Name, TimePoint> &Leaving,
                                  TimePoint Now) {
  std::erase_if(Leaving, [&](const auto &Entry) {
    return Now - Entry.second > StatementReportPeriod;
  });
  std::vector<Name> Names;
  for (const auto &[Target, Since] : Leaving)
    Names.push_back(Target);
  return Names;
}

} // namespace

void Gateway::updateDaemonCount(TimePoint Now) {
  const auto Daemons = m_Peers.daemonCount(Now);
  m_RetryBudget.setDaemonCount(Daemons);
  m_Quotas.setDaemonCount(Daemons);
  m_Pool.setDaemonCount(Daemons);
  m_Metrics.setGauge("daemons", static_cast<double>(Daemons));
  if (OnDaemonCount)
    OnDaemonCount(Daemons);
}

void Gateway::onPeerUpdated(const std::string &Vm,
                            const PeerEndpoint &Address) {
  if (Vm == m_Settings.Vm)
    return;
  m_Peers.markListed(Vm, Address);
  m_Origins.addDaemon(Vm, Address.Domain);
  m_UnlistedHolders.erase(Vm);
  updateDaemonCount(steadyNow());
  m_Log.write("peer_listed", {{"peer", Vm}, {"ip", Address.Ip}});
}

void Gateway::onPeerRemoved(const std::string &Vm) {
  if (Vm == m_Settings.Vm)
    return;
  m_Peers.markUnlisted(Vm, steadyNow());
  m_UnlistedHolders.try_emplace(Vm, steadyNow());
  m_Log.write("peer_unlisted", {{"peer", Vm}});
}

void Gateway::receivePeerMessage() {
  m_PeerSocket.async_receive_from(
      asio::buffer(m_PeerBuffer), m_PeerSender,
      [this](std::error_code Error, std::size_t Size) {
        if (Error == asio::error::operation_aborted)
          return;
        const auto Now = steadyNow();
        checkSuspension(Now);
        const std::string_view Bytes(m_PeerBuffer.data(), Error ? 0 : Size);
        m_Metrics.countPeerMessage("received", Bytes.size());
        if (auto Changes = decodeRelayedChanges(Bytes)) {
          Changes->Sender = PeerEndpoint{
              m_PeerSender.address().to_string(), m_PeerSender.port(), {}};
          const bool IsFormer = !Changes->Vm.empty() &&
                                observePeer(Changes->Vm, Changes->Incarnation,
                                            Now) == IncarnationStanding::Former;
          if (IsFormer)
            m_Metrics.countStaleMessage("changes");
          else if (OnRelayedChanges)
            OnRelayedChanges(*Changes);
          return receivePeerMessage();
        }
        if (const auto Evidence = decodeCrashEvidence(Bytes)) {
          m_CrashCauses.merge(*Evidence, Now);
          return receivePeerMessage();
        }
        if (m_Rollouts && m_Rollouts->handle(Bytes, Now))
          return receivePeerMessage();
        if (const auto Message = decodeOriginMessage(Bytes)) {
          m_Origins.handle(*Message, Now);
          return receivePeerMessage();
        }
        if (auto Message = decodeSlotMessage(Bytes))
          handlePeerSlotMessage(std::move(*Message), Now);
        auto Report = decodeReport(Bytes);
        if (Report && Report->Vm != m_Settings.Vm) {
          applyLeavingTargets(*Report);
          applyRateLimits(*Report, Now);
          handleReport(std::move(*Report), Now);
        }
        receivePeerMessage();
      });
}

void Gateway::applyLeavingTargets(const PeerReport &Report) {
  const auto LogDraining = [&](const TrackedTarget &Target) {
    m_Log.write("target_draining",
                {{"target", Target.Entry.Id.Text}, {"told_by", Report.Vm}});
  };
  for (const auto &[Hash, Sequence] : Report.LeavingTargets)
    if (const auto Target = m_Targets.findByHash(Hash);
        Target && !Target->Entry.Draining &&
        Target->Entry.Sequence <= Sequence) {
      LogDraining(*Target);
      Target->Entry.Draining = true;
    }
  for (const auto Hash : Report.AnnouncedLeaving)
    if (const auto Target = m_Targets.findByHash(Hash);
        Target && Target->markAnnouncedLeaving())
      LogDraining(*Target);
}

void Gateway::handleReport(PeerReport Report, TimePoint Now) {
  // The summary of this daemon's own domain is for this daemon alone, and only
  // the delegate's view of the domain counts.
  const bool IsOwnDomain = Report.Domain == m_Settings.Domain;
  if (Report.IsDomainSummary && IsOwnDomain &&
      (!usesOwnSummary() || Report.Vm != m_RemoteBroker->Vm))
    return;
  PeerUsage Usage;
  Usage.Source = Report.IsDomainSummary ? Report.Domain.Text : Report.Vm;
  Usage.Incarnation = Report.Incarnation;
  Usage.DaemonCount = Report.DaemonCount;
  Usage.IsDomainSummary = Report.IsDomainSummary;
  Usage.IsOwnDomain = IsOwnDomain;
  Usage.Stopping = Report.Stopping;
  Usage.Usage = Report.Usage;
  const auto Standing = observePeer(Report.Vm, Report.Incarnation, Now);
  if (!m_Peers.accept(Report, Now)) {
    if (Standing == IncarnationStanding::Former)
      m_Metrics.countStaleMessage("report");
    return;
  }
  if (!Report.IsDomainSummary && IsOwnDomain && !m_RemoteBroker)
    m_LocalBroker.reconcile(Report, Now);
  if (IsOwnDomain ? m_RemoteBroker && Report.Vm == m_RemoteBroker->Vm &&
                        !Report.IsDomainSummary
                  : Report.IsDomainSummary)
    applyOffers(Report.Domain, Report.Offers, Now);
  if (Report.IsDomainSummary || !IsOwnDomain || !usesOwnSummary())
    m_Quotas.onPeerUsage(Usage, Now);
  if (Report.IsDomainSummary && !IsOwnDomain && !Report.Forwarded &&
      m_Peers.isDelegate(Now)) {
    Report.Forwarded = true;
    sendTo(m_Peers.ownDomainEndpoints(), encodeReport(Report));
  }
}

IncarnationStanding Gateway::observePeer(const std::string &Vm,
                                         IncarnationId Incarnation,
                                         TimePoint Now) {
  const auto Previous = m_Peers.incarnationOf(Vm);
  const auto Standing = m_Peers.observe(Vm, Incarnation, Now);
  if (Standing != IncarnationStanding::Started)
    return Standing;
  m_LocalBroker.releaseFormer(Vm, Incarnation);
  if (Previous)
    m_Log.write(
        "peer_restarted",
        {{"peer", Vm}, {"peer_inc", Incarnation}, {"before", *Previous}});
  return Standing;
}

bool Gateway::isRelaying() const {
  return !m_RemoteBroker && steadyNow() - m_BrokerSince >= RelayStartDelay &&
         m_Peers.ownDomainSize() + 1 >=
             minDaemonsForRelay(m_Settings.ChangeDeadline);
}

void Gateway::stamp(RelayedChanges &Message) const {
  Message.Vm = m_Settings.Vm;
  Message.Incarnation = m_Settings.Incarnation;
}

void Gateway::sendToDomain(std::string_view Bytes) {
  sendTo(m_Peers.ownDomainEndpoints(), Bytes);
}

void Gateway::sendChanges(const PeerEndpoint &Receiver,
                          std::string_view Bytes) {
  sendTo(std::span(&Receiver, 1), Bytes);
}

void Gateway::sendTo(std::span<const PeerEndpoint> Peers,
                     std::string_view Bytes) {
  for (const auto &Peer : Peers) {
    std::error_code Error;
    const auto Address = asio::ip::make_address(Peer.Ip, Error);
    // Failures are ignored: the next report holds current data, and slot
    // requests without an answer are resent.
    if (!Error)
      m_PeerSocket.send_to(asio::buffer(Bytes.data(), Bytes.size()),
                           {Address, Peer.Port}, 0, Error);
    m_Metrics.countPeerMessage("sent", Bytes.size());
  }
}

Duration Gateway::reportPeriod() const {
  const auto Peers = m_Peers.ownDomainSize();
  return std::min<Duration>(
      MaxReportPeriod,
      BaseReportPeriod *
          std::max<std::size_t>(1, (Peers + DaemonsAtFullRate - 1) /
                                       DaemonsAtFullRate));
}

void Gateway::sendOwnDomainSummaries(const PeerReport &Summary, TimePoint Now) {
  for (const auto &[Vm, Endpoint] : m_Peers.reportingDaemons(Now)) {
    auto ForPeer = m_Peers.summaryWithout(Vm, Summary);
    ForPeer.Usage = m_Quotas.domainUsageWithout(Vm, Now);
    ForPeer.Offers.clear(); // The delegate's own report holds them.
    sendTo(std::span(&Endpoint, 1), encodeReport(ForPeer));
  }
}

void Gateway::sendReports(TimePoint Now) {
  if (Now - m_LastReportAt < reportPeriod())
    return;
  const auto Peers = m_Peers.reportReceivers(Now);
  m_LastReportAt = Now;
  PeerReport Report;
  Report.Vm = m_Settings.Vm;
  Report.Domain = m_Settings.Domain;
  Report.Incarnation = m_Settings.Incarnation;
  Report.Sequence = ++m_ReportSequence;
  Report.Stopping = m_Stopping;
  m_Peers.updateJoining(Now);
  Report.Joining = m_Peers.isJoining();
  for (const auto &[Number, Each] : m_ExchangeByNumber)
    if (const auto Reported = Each->reportedRequest())
      Report.RunningRequests.push_back(*Reported);
  Report.Loads = sumLoadsByTarget(Report.RunningRequests);
  Report.Usage = m_Quotas.usage(Now);
  Report.LeavingTargets = recentlyLeaving(m_LeavingTargets, Now);
  Report.AnnouncedLeaving = recentlyLeaving(m_AnnouncedLeaving, Now);
  std::erase_if(m_OwnRateLimitStatements, [&](const auto &Entry) {
    return Now - Entry.second.StatedAt > StatementReportPeriod;
  });
  for (const auto &[Key, Statement] : m_OwnRateLimitStatements)
    Report.RateLimits.push_back(
        {Key.Target, Statement.PerSecond, Now - Statement.StatedAt});
  Report.Delegate = m_RemoteBroker ? m_RemoteBroker->Vm : m_Settings.Vm;
  Report.Offers = makeOffers(Now);
  sendTo(Peers, encodeReport(Report));
  if (!m_Peers.isDelegate(Now))
    return;
  auto Summary = m_Peers.summarizeDomain(Report, Now);
  Summary.Usage = m_Quotas.domainUsage(Now);
  // The domain goes on when the daemon that sends its summary stops.
  Summary.Stopping = false;
  sendTo(m_Peers.remoteDomainEndpoints(), encodeReport(Summary));
  if (m_Peers.isDomainLarge())
    sendOwnDomainSummaries(Summary, Now);
}

void Gateway::refreshTargetLoads(TimePoint Now) {
  if (Now - m_LastRefreshAt < reportPeriod())
    return;
  m_LastRefreshAt = Now;
  updateRateLimitShares(Now);
  m_Quotas.startReportPeriod(Now);
  // If this daemon is the broker, the grants of its SlotBroker are more recent
  // than the reports of the daemons of its domain.
  auto Loads =
      m_RemoteBroker ? m_Peers.peerLoads(Now) : m_Peers.remoteDomainLoads(Now);
  if (!m_RemoteBroker)
    m_LocalBroker.addLoads(Loads);
  const auto DaemonsInDomain = m_Peers.countReachableInOwnDomain(Now) + 1;
  const auto AllDaemons = std::max(DaemonsInDomain, m_Peers.daemonCount(Now));
  for (const auto &[Name, Targets] : m_Targets.targetsByService())
    for (const auto &Target : Targets) {
      const auto Found = Loads.find(Target->Hash);
      Target->expireLoad(Now);
      Target->PeerRunning = Found == Loads.end() ? 0 : Found->second.Running;
      const bool InOwnDomain = Target->Entry.Domain == m_Settings.Domain;
      Target->Allowance =
          drawAllowance(*Target, InOwnDomain ? DaemonsInDomain : AllDaemons,
                        m_Random.uniform());
      Target->PeerPrefillTokens =
          Found == Loads.end() ? 0 : Found->second.Prefill;
    }
}

} // namespace mangodeck
