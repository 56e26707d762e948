#include "soakledger.h"

#include <fmt/format.h>

namespace mangodeck::soak {

namespace {

/// The platform's bound on requests with a prompt part that crashes targets:
/// from ContactTime after the fifth crash on, at most MaxLateArrivals from
/// daemons that have run for ContactTime; with a margin for a loaded machine.
constexpr std::chrono::milliseconds ContactTime{3000 + 1000};
constexpr unsigned CrashesUntilKnown = 5;
constexpr unsigned MaxLateArrivals = 3;
/// Share of the sound requests that may be taken for crashing ones, in percent.
constexpr unsigned MaxSoundRefusedPercent = 5;

/// The platform's bound on streams that are taken up: of MinTakenUp or more, at
/// least half of the share of new streams that begin.
constexpr unsigned MinTakenUp = 12;
constexpr unsigned MinServingTargets = 2;

} // namespace

void SoakLedger::count(std::uint64_t &Counter) {
  const std::lock_guard Lock(m_Mutex);
  ++Counter;
}

void SoakLedger::noteSent(const std::string &Id, const std::string &Daemon) {
  const std::lock_guard Lock(m_Mutex);
  m_DaemonByRequest[Id] = Daemon;
  m_DaemonSeenAt.try_emplace(Daemon, Clock::now());
}

std::string SoakLedger::daemonOf(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_DaemonByRequest.find(Id);
  return Found == m_DaemonByRequest.end() ? std::string() : Found->second;
}

void SoakLedger::noteRun(const std::string &Id, bool MayRepeat) {
  const std::lock_guard Lock(m_Mutex);
  auto &Entry = m_Runs[Id];
  ++Entry.Count;
  Entry.MayRepeat = MayRepeat;
}

bool SoakLedger::hasRun(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  return m_Runs.contains(Id);
}

void SoakLedger::notePromise(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  m_Promised.insert(Id);
}

void SoakLedger::noteBroken(const std::string &What) {
  const std::lock_guard Lock(m_Mutex);
  m_Broken.push_back(What);
}

void SoakLedger::setCrashingPart(std::uint64_t Part) {
  const std::lock_guard Lock(m_Mutex);
  m_CrashingPart = Part;
  m_Crashes = m_LateArrivals = 0;
}

std::uint64_t SoakLedger::crashingPart() {
  const std::lock_guard Lock(m_Mutex);
  return m_CrashingPart;
}

void SoakLedger::noteCrash(const std::set<std::string> &Running) {
  const std::lock_guard Lock(m_Mutex);
  m_BrokenOff.insert(Running.begin(), Running.end());
  if (++m_Crashes == CrashesUntilKnown)
    m_FifthCrashAt = Clock::now();
}

void SoakLedger::noteBrokenOff(const std::set<std::string> &Running) {
  const std::lock_guard Lock(m_Mutex);
  m_BrokenOff.insert(Running.begin(), Running.end());
}

bool SoakLedger::isBrokenOff(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  return m_BrokenOff.contains(Id);
}

void SoakLedger::noteCrashingArrival(const std::string &Id, bool Calm) {
  const std::lock_guard Lock(m_Mutex);
  const auto Now = Clock::now();
  if (!Calm || m_Crashes < CrashesUntilKnown ||
      Now < m_FifthCrashAt + ContactTime ||
      Now < m_DaemonSeenAt[m_DaemonByRequest[Id]] + ContactTime)
    return;
  if (++m_LateArrivals == MaxLateArrivals + 1)
    m_Broken.push_back("crashing part: " + Id + " is request " +
                       std::to_string(m_LateArrivals) + " after the bound");
}

void SoakLedger::noteSoundAnswer(const std::string &Body) {
  const std::lock_guard Lock(m_Mutex);
  ++m_SoundAnswers;
  m_SoundRefused += Body == "request crashes targets" ? 1 : 0;
}

void SoakLedger::noteServing(const std::string &Target,
                             const std::string &Version) {
  const std::lock_guard Lock(m_Mutex);
  m_VersionByTarget[Target] = Version;
}

void SoakLedger::noteNewStream(bool Begun) {
  const std::lock_guard Lock(m_Mutex);
  ++m_NewStreams;
  m_BegunStreams += Begun ? 1 : 0;
}

void SoakLedger::noteTakenUp(const std::string &Version, bool GoneOn) {
  const std::lock_guard Lock(m_Mutex);
  unsigned Serving = 0;
  for (const auto &[Target, Served] : m_VersionByTarget)
    Serving += Served == Version ? 1 : 0;
  if (Serving < MinServingTargets)
    return;
  ++m_TakenUp;
  m_GoneOn += GoneOn ? 1 : 0;
}

std::string SoakLedger::streamFigures() const {
  return fmt::format("{} of {} new streams began, {} of {} taken up went on",
                     m_BegunStreams, m_NewStreams, m_GoneOn, m_TakenUp);
}

void SoakLedger::noteLimitPassedOn(const std::string &Id,
                                   const std::string &Target) {
  const std::lock_guard Lock(m_Mutex);
  m_LimitTold.try_emplace({m_DaemonByRequest[Id], Target}, Clock::now());
}

std::optional<Clock::time_point>
SoakLedger::limitToldAt(const std::string &Id, const std::string &Target) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_LimitTold.find({m_DaemonByRequest[Id], Target});
  return Found == m_LimitTold.end() ? std::nullopt
                                    : std::optional(Found->second);
}

void SoakLedger::excuse(const std::string &Daemon, Clock::time_point Until) {
  const std::lock_guard Lock(m_Mutex);
  m_ExcusedUntil[Daemon] = Until;
}

bool SoakLedger::isExcused(const std::string &Id) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_ExcusedUntil.find(m_DaemonByRequest[Id]);
  return Found != m_ExcusedUntil.end() && Clock::now() < Found->second;
}

std::vector<std::string> SoakLedger::verdict() {
  const std::lock_guard Lock(m_Mutex);
  auto Broken = m_Broken;
  if (100 * m_SoundRefused > MaxSoundRefusedPercent * m_SoundAnswers)
    Broken.push_back(
        "sound requests refused: " + std::to_string(m_SoundRefused) + " of " +
        std::to_string(m_SoundAnswers));
  if (m_TakenUp >= MinTakenUp &&
      2 * m_GoneOn * m_NewStreams < m_TakenUp * m_BegunStreams)
    Broken.push_back("streams lost: " + streamFigures());
  for (const auto &[Id, Entry] : m_Runs) {
    if (Entry.MayRepeat)
      continue;
    if (Entry.Count > 1)
      Broken.push_back("at most once: " + Id + " ran " +
                       std::to_string(Entry.Count) + " times");
    if (m_Promised.contains(Id))
      Broken.push_back("true refusal: " + Id + " ran, though refused");
  }
  return Broken;
}

} // namespace mangodeck::soak
