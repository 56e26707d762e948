// Detection of requests and prompt parts that crash targets, as far as it needs
// the gateway's connections and messages.
#include "mangodeck/gateway/gateway.h"

#include <algorithm>
#include <asio/error.hpp>
#include <fmt/format.h>

namespace mangodeck {

namespace {

/// Time for which crashes have no effect: answers that refute them need to
/// begin and go on, and SettleReportPeriods for the messages.
constexpr Duration MinSettleTime = 600ms;
constexpr int SettleReportPeriods = 4;
/// Possible causes that are logged in one line.
constexpr std::size_t MaxLoggedCauses = 8;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

/// The first of \p Ids, separated by commas.
std::string formatIds(std::span<const CauseId> Ids) {
  const auto Shown = Ids.first(std::min(Ids.size(), MaxLoggedCauses));
  return fmt::format("{:x}{}", fmt::join(Shown, ","),
                     Shown.size() < Ids.size() ? ",..." : "");
}

/// Whether a connection attempt shows that no process listens at the address.
/// After a time-out the target may be running behind a network partition.
bool isPortClosed(std::error_code ProbeError) {
  return ProbeError == asio::error::connection_refused ||
         ProbeError == asio::error::connection_reset;
}

} // namespace

bool Gateway::onIncompleteAnswer(const ExchangePtr &Broken,
                                 const TargetPtr &Target,
                                 std::string_view Reason) {
  const bool IsPlannedStop = Target->isLeaving() || Target->MarkedDown;
  const bool IsSuspect = !Broken->isAnswerSound() && !IsPlannedStop;
  const bool Waits = IsSuspect && !Broken->facts().SharedParts.empty() &&
                     !Broken->hasStreamStarted();
  // If the target still accepts connections, only this answer was lost.
  // Otherwise it has crashed together with every request that it ran.
  m_Pool.probe(Target, [this, Broken, Target, IsSuspect, Waits,
                        Events = Broken->eventCount(), BrokenAt = steadyNow(),
                        Reason = std::string(Reason)](std::error_code Error) {
    if (Error) {
      const auto Now = steadyNow();
      const auto &Facts = Broken->facts();
      Target->recordFailure(Now);
      if (Error == asio::error::connection_refused)
        Target->recordProcessEnd(Now);
      if (IsSuspect && isPortClosed(Error))
        m_CrashCauses.recordCrash(Target->Hash, Facts.Fingerprint,
                                  Facts.PossibleCauses, BrokenAt, Now);
      m_Log.write("crash_mark", {{"id", Facts.AttemptId},
                                 {"target", Target->Entry.Id.Text},
                                 {"probe", Error.message()},
                                 {"probe_ms", ageMs(BrokenAt, Now)},
                                 {"events", Events},
                                 {"suspect", IsSuspect},
                                 {"parts", formatIds(Facts.SharedParts)},
                                 {"fingerprint", Facts.Fingerprint}});
    }
    if (Waits)
      Broken->repeatAfterCrash(Reason);
  });
  return Waits;
}

void Gateway::onSoundAnswer(const Exchange &Running, TimePoint Begun) {
  m_CrashCauses.recordSoundAnswer(Running.facts().PossibleCauses, Begun,
                                  steadyNow());
}

void Gateway::updateCrashCauses(TimePoint Now) {
  if (m_CrashCauses.suspectCount() == 0)
    return;
  // Step 1. Draw the conclusions from the evidence.
  m_CrashCauses.setSettleTime(MinSettleTime +
                              SettleReportPeriods * reportPeriod());
  if (m_CrashCauses.update(Now)) {
    for (const auto &Each : m_CrashCauses.refusals())
      m_Log.write("cause_refused",
                  {{"causes", formatIds(Each.Causes)},
                   {"crashes", Each.Crashes},
                   {"last_crash_ms", ageMs(Each.LastCrashAt, Now)},
                   {"try_after_ms", ageMs(Now, Each.TryAfter)}});
    if (m_CrashCauses.refusals().empty())
      m_Log.write("causes_accepted",
                  {{"suspects", m_CrashCauses.suspectCount()}});
    // Step 2. End the requests that wait, or run without an answer.
    std::vector<ExchangePtr> Crashing;
    for (const auto &[Number, Each] : m_ExchangeByNumber)
      if (m_CrashCauses.isRefused(Each->facts().PossibleCauses, Now))
        Crashing.push_back(Each);
    for (const auto &Each : Crashing)
      Each->stopCrashing();
  }

  // Step 3. Report to the other daemons.
  sendCrashEvidence(Now);
}

void Gateway::sendCrashEvidence(TimePoint Now) {
  if (Now - m_LastEvidenceAt < reportPeriod())
    return;
  m_LastEvidenceAt = Now;
  const auto Evidence = m_CrashCauses.takeReport(Now);
  if (Evidence.empty())
    return;
  const auto Bytes = encodeCrashEvidence(Evidence);
  sendTo(m_Peers.reportReceivers(Now), Bytes);
  if (m_Peers.isDelegate(Now))
    sendTo(m_Peers.remoteDomainEndpoints(), Bytes);
}

} // namespace mangodeck
