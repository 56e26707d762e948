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
/// Prompt parts of a request that are logged.
constexpr std::size_t MaxLoggedParts = 8;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

/// The first ids of \p Parts, separated by commas.
std::string formatParts(std::span<const PromptPartId> Parts) {
  const auto Shown = Parts.first(std::min(Parts.size(), MaxLoggedParts));
  return fmt::format("{:x}{}", fmt::join(Shown, ","),
                     Shown.size() < Parts.size() ? ",..." : "");
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
  const bool IsSuspect = !Broken->facts().SharedParts.empty() &&
                         !Broken->isAnswerSound() && !IsPlannedStop;
  const bool Waits = IsSuspect && !Broken->hasStreamStarted();
  // If the target still accepts connections, only this answer was lost.
  // Otherwise it has crashed together with every request that it ran.
  m_Pool.probe(Target, [this, Broken, Target, IsSuspect, Waits,
                        Events = Broken->eventCount(), BrokenAt = steadyNow(),
                        Reason = std::string(Reason)](std::error_code Error) {
    if (Error) {
      const auto Now = steadyNow();
      Target->recordFailure(Now);
      if (IsSuspect && isPortClosed(Error))
        m_CrashingParts.recordCrash(Target->Hash, Broken->facts().Fingerprint,
                                    Broken->facts().SharedParts, BrokenAt, Now);
      recordCrash(*Broken, *Target, Error.message(), Events, BrokenAt);
    }
    if (Waits)
      Broken->repeatAfterCrash(Reason);
  });
  return Waits;
}

void Gateway::recordCrash(const Exchange &Broken, const TrackedTarget &Target,
                          std::string_view ProbeError, std::uint32_t EventCount,
                          TimePoint BrokenAt) {
  const auto Now = steadyNow();
  const auto &Facts = Broken.facts();
  if (m_CrashGuard.record({Facts.Fingerprint, Target.Hash}, Now))
    m_Log.write("crash_mark",
                {{"id", Facts.AttemptId},
                 {"target", Target.Entry.Id.Text},
                 {"probe", ProbeError},
                 {"probe_ms", ageMs(BrokenAt, Now)},
                 {"events", EventCount},
                 {"sound", Broken.isAnswerSound()},
                 {"parts", formatParts(Facts.SharedParts)},
                 {"fingerprint", Facts.Fingerprint},
                 {"refused", m_CrashGuard.isRefused(Facts.Fingerprint, Now)}});
}

void Gateway::onSoundAnswer(const Exchange &Running, TimePoint Begun) {
  m_CrashingParts.recordSoundAnswer(Running.facts().SharedParts, Begun,
                                    steadyNow());
}

std::optional<std::string_view>
Gateway::reasonToRefuseCrashing(const RequestFacts &Facts, TimePoint Now) {
  if (m_CrashGuard.isRefused(Facts.Fingerprint, Now))
    return "crashes targets";
  if (m_CrashingParts.refuseNew(Facts.SharedParts, Now))
    return "prompt part crashes targets";
  return std::nullopt;
}

void Gateway::updateCrashingParts(TimePoint Now) {
  if (m_CrashingParts.suspectCount() == 0)
    return;
  // Step 1. Draw the conclusions from the evidence.
  m_CrashingParts.setSettleTime(MinSettleTime +
                                SettleReportPeriods * reportPeriod());
  if (m_CrashingParts.update(Now)) {
    for (const auto &Each : m_CrashingParts.refusals())
      m_Log.write("parts_refused",
                  {{"parts", formatParts(Each.Parts)},
                   {"crashes", Each.Crashes},
                   {"last_crash_ms", ageMs(Each.LastCrashAt, Now)},
                   {"try_after_ms", ageMs(Now, Each.TryAfter)}});
    if (m_CrashingParts.refusals().empty())
      m_Log.write("parts_accepted", {});
    // Step 2. End the requests that wait, or run without an answer.
    std::vector<ExchangePtr> Crashing;
    for (const auto &[Number, Each] : m_ExchangeByNumber)
      if (m_CrashingParts.isRefused(Each->facts().SharedParts, Now))
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
  const auto Evidence = m_CrashingParts.takeReport(Now);
  if (Evidence.empty())
    return;
  const auto Bytes = encodeCrashEvidence(Evidence);
  sendTo(m_Peers.reportReceivers(Now), Bytes);
  if (m_Peers.isDelegate(Now))
    sendTo(m_Peers.remoteDomainEndpoints(), Bytes);
}

} // namespace mangodeck
