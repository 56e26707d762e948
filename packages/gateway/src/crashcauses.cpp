#include "mangodeck/gateway/crashcauses.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace mangodeck {

namespace {

/// Settled crashes from which on a cause is refused, and distinct requests that
/// must have had it. One crash may be a coincidence, and one request alone does
/// not show which of its parts is the cause.
constexpr std::size_t MinCrashes = 2;
constexpr std::size_t MinRequests = 2;
/// The same for a suspect that targets have answered at an earlier time: it is
/// more likely that it only was beside the cause.
constexpr std::size_t MinCrashesOfKnownSound = 4;
constexpr std::size_t MinRequestsOfKnownSound = 3;
/// Unrefuted crashes from which on a request is not repeated.
constexpr std::size_t MinCrashesToStopRepeats = 2;

/// Time for which a cause is refused after its last crash, by the number of its
/// crashes from MinCrashes on.
constexpr Duration RefusalTimes[] = {10s, 30s, 120s};
/// Time over which the daemons try a cause again, in parts of the refusal time.
constexpr double TrySpread = 0.5;
/// Time between two trials of a daemon: the outcome of the first is known.
constexpr Duration TryPeriod = 3s;
/// Evidence is forgotten after this time. Longer than the longest refusal, so
/// that a single crash renews it.
constexpr Duration EvidenceLifetime = 600s;
/// Time for which a change is reported, so that several messages may be lost.
constexpr Duration ReportedTime = 2s;
/// Period of the reports of all evidence that refusals depend on, for daemons
/// that have started or were cut off.
constexpr Duration RefreshPeriod = 2s;

constexpr std::size_t MaxSuspects = 1024;
constexpr std::size_t MaxRefusals = 16;
/// Possible causes of a request that become suspects, or are remembered as
/// sound.
constexpr std::size_t MaxCausesPerRequest = 32;
constexpr std::size_t MaxRememberedSound = 4096;

/// At most MaxCausesPerRequest of \p Causes, drawn by \p Seed.
std::vector<CauseId> sampleCauses(std::span<const CauseId> Causes,
                                  std::uint64_t Seed) {
  std::vector<CauseId> Sample(Causes.begin(), Causes.end());
  if (Sample.size() <= MaxCausesPerRequest)
    return Sample;
  const auto Rank = [Seed](CauseId Cause) {
    return XXH3_64bits_withSeed(&Cause, sizeof(Cause), Seed);
  };
  std::nth_element(Sample.begin(), Sample.begin() + MaxCausesPerRequest,
                   Sample.end(),
                   [&](CauseId A, CauseId B) { return Rank(A) < Rank(B); });
  Sample.resize(MaxCausesPerRequest);
  return Sample;
}

template <typename Sightings> std::size_t countUnrefuted(const Sightings &All) {
  return static_cast<std::size_t>(std::count_if(
      All.begin(), All.end(), [](const auto &Each) { return !Each.Refuted; }));
}

Duration refusalTime(std::size_t Crashes) {
  const auto Index =
      std::clamp<std::size_t>(Crashes, MinCrashes,
                              MinCrashes + std::size(RefusalTimes) - 1) -
      MinCrashes;
  return RefusalTimes[Index];
}

} // namespace

bool CrashCauses::Refusal::covers(std::span<const CauseId> Of) const {
  return std::includes(Of.begin(), Of.end(), Causes.begin(), Causes.end());
}

CrashCauses::CrashCauses(std::string_view Vm)
    : m_OrderSeed(XXH3_64bits(Vm.data(), Vm.size())) {}

CrashCauses::Suspect &CrashCauses::suspect(CauseId Cause, TimePoint Now) {
  const auto Found = m_Suspects.find(Cause);
  if (Found != m_Suspects.end())
    return Found->second;
  // The entry with the fewest crashes, and of these the oldest, makes room.
  if (m_Suspects.size() >= MaxSuspects)
    m_Suspects.erase(std::min_element(
        m_Suspects.begin(), m_Suspects.end(), [](const auto &A, const auto &B) {
          return std::pair(countUnrefuted(A.second.Sightings),
                           A.second.ChangedAt) <
                 std::pair(countUnrefuted(B.second.Sightings),
                           B.second.ChangedAt);
        }));
  auto &New = m_Suspects[Cause];
  New.KnownSound = m_SoundAt.contains(Cause);
  New.ChangedAt = Now;
  return New;
}

bool CrashCauses::addSighting(Suspect &Entry, const Sighting &Seen) {
  for (auto &Known : Entry.Sightings)
    if (Known.Crash == Seen.Crash) {
      // A report under way only makes a crash look later than it was.
      Known.At = std::min(Known.At, Seen.At);
      const bool Changes =
          Seen.Request < Known.Request || (Seen.Refuted && !Known.Refuted);
      Known.Request = std::min(Known.Request, Seen.Request);
      Known.Refuted = Known.Refuted || Seen.Refuted;
      return Changes;
    }
  if (Entry.Sightings.size() < MaxSightingsPerCause) {
    Entry.Sightings.push_back(Seen);
    return true;
  }
  // A refuted sighting makes room, else the latest one: the first ones have
  // settled.
  const auto Replaced = std::max_element(
      Entry.Sightings.begin(), Entry.Sightings.end(),
      [](const auto &A, const auto &B) {
        return std::pair(A.Refuted, A.At) < std::pair(B.Refuted, B.At);
      });
  if (!Replaced->Refuted && Replaced->At >= Seen.At)
    return false;
  *Replaced = Seen;
  return true;
}

void CrashCauses::recordCrash(std::uint64_t Crash, CauseId Fingerprint,
                              std::span<const CauseId> Causes,
                              TimePoint CrashedAt, TimePoint Now) {
  // Of a long prompt, the parts of earlier crashes go before a random sample.
  std::vector<CauseId> Chosen;
  for (const auto Cause : Causes)
    if (m_Suspects.contains(Cause) && Chosen.size() < MaxCausesPerRequest)
      Chosen.push_back(Cause);
  for (const auto Cause : sampleCauses(Causes, Crash))
    if (Chosen.size() < MaxCausesPerRequest &&
        std::find(Chosen.begin(), Chosen.end(), Cause) == Chosen.end())
      Chosen.push_back(Cause);
  for (const auto Cause : Chosen) {
    auto &Entry = suspect(Cause, Now);
    const auto Sound = m_SoundAt.find(Cause);
    const bool Refuted = Sound != m_SoundAt.end() && Sound->second > CrashedAt;
    const auto Request = Cause == Fingerprint ? Crash : Fingerprint;
    if (addSighting(Entry, {Crash, Request, CrashedAt, Refuted}))
      Entry.ChangedAt = Now;
  }
}

void CrashCauses::recordSoundAnswer(std::span<const CauseId> Causes,
                                    TimePoint Begun, TimePoint Now) {
  if (!m_Suspects.empty())
    for (const auto Cause : Causes) {
      const auto Found = m_Suspects.find(Cause);
      if (Found == m_Suspects.end())
        continue;
      auto &Entry = Found->second;
      bool Changed = !std::exchange(Entry.KnownSound, true);
      for (auto &Each : Entry.Sightings)
        if (!Each.Refuted && Each.At < Begun)
          Changed = Each.Refuted = true;
      if (Changed)
        Entry.ChangedAt = Now;
    }
  rememberSound(Causes, Begun);
}

void CrashCauses::rememberSound(std::span<const CauseId> Causes,
                                TimePoint Begun) {
  for (const auto Cause : sampleCauses(Causes, 0)) {
    auto &At = m_SoundAt[Cause];
    At = std::max(At, Begun);
  }
  if (m_SoundAt.size() <= MaxRememberedSound)
    return;
  // Forget the older half at a time, which takes constant time per answer.
  std::vector<TimePoint> Times;
  Times.reserve(m_SoundAt.size());
  for (const auto &[Cause, At] : m_SoundAt)
    Times.push_back(At);
  const auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  std::erase_if(m_SoundAt, [Oldest = *Middle](const auto &Entry) {
    return Entry.second <= Oldest;
  });
}

void CrashCauses::merge(std::span<const CauseEvidence> Reported,
                        TimePoint Now) {
  for (const auto &Cause : Reported) {
    if (Cause.Sightings.empty() && !m_Suspects.contains(Cause.Cause))
      continue;
    auto &Entry = suspect(Cause.Cause, Now);
    bool Changed = Cause.KnownSound && !std::exchange(Entry.KnownSound, true);
    const auto Sound = m_SoundAt.find(Cause.Cause);
    for (const auto &Each : Cause.Sightings) {
      const auto At = Now - Each.Age;
      const bool Refuted =
          Each.Refuted || (Sound != m_SoundAt.end() && Sound->second > At);
      if (Each.Age < EvidenceLifetime &&
          addSighting(Entry, {Each.Crash, Each.Request, At, Refuted}))
        Changed = true;
    }
    if (Changed)
      Entry.ChangedAt = Now;
  }
}

std::vector<CauseEvidence> CrashCauses::takeReport(TimePoint Now) {
  // Step 1. Choose the entries that changed or that refusals depend on.
  const bool IsRefresh = Now - m_RefreshedAt >= RefreshPeriod;
  if (IsRefresh)
    m_RefreshedAt = Now;
  const auto IsRefusedCause = [&](CauseId Cause) {
    return std::any_of(m_Refusals.begin(), m_Refusals.end(),
                       [&](const Refusal &Each) {
                         return std::binary_search(Each.Causes.begin(),
                                                   Each.Causes.end(), Cause);
                       });
  };
  std::vector<std::pair<CauseId, const Suspect *>> Chosen;
  for (const auto &[Cause, Entry] : m_Suspects)
    if (Now - Entry.ChangedAt < ReportedTime ||
        (IsRefresh && IsRefusedCause(Cause)))
      Chosen.emplace_back(Cause, &Entry);

  // Step 2. If they are too many, those with most crashes go first.
  std::sort(Chosen.begin(), Chosen.end(), [](const auto &A, const auto &B) {
    return std::pair(countUnrefuted(A.second->Sightings), A.second->ChangedAt) >
           std::pair(countUnrefuted(B.second->Sightings), B.second->ChangedAt);
  });
  std::vector<CauseEvidence> Report;
  std::size_t SightingCount = 0;
  for (const auto &[Cause, Entry] : Chosen) {
    SightingCount += Entry->Sightings.size();
    if (Report.size() == MaxReportedCauses ||
        SightingCount > MaxReportedSightings)
      break;
    CauseEvidence Reported{Cause, Entry->KnownSound, {}};
    for (const auto &Each : Entry->Sightings)
      Reported.Sightings.push_back(
          {Each.Crash, Each.Request,
           std::max<Duration>(Duration{0}, Now - Each.At), Each.Refuted});
    Report.push_back(std::move(Reported));
  }
  return Report;
}

void CrashCauses::forgetOld(TimePoint Now) {
  for (auto Next = m_Suspects.begin(); Next != m_Suspects.end();) {
    auto &Sightings = Next->second.Sightings;
    std::erase_if(Sightings, [&](const Sighting &Each) {
      return Now - Each.At > EvidenceLifetime;
    });
    Next = Sightings.empty() ? m_Suspects.erase(Next) : std::next(Next);
  }
}

std::optional<CrashCauses::Candidate>
CrashCauses::makeCandidate(CauseId Cause, const Suspect &Entry,
                           std::span<const std::uint64_t> Explained,
                           TimePoint Now) const {
  if (Entry.Sightings.size() < MinCrashes)
    return std::nullopt;
  Candidate Result;
  Result.Cause = Cause;
  Result.KnownSound = Entry.KnownSound;
  std::vector<std::uint64_t> Requests;
  for (const auto &Each : Entry.Sightings) {
    if (Each.Refuted || std::find(Explained.begin(), Explained.end(),
                                  Each.Crash) != Explained.end())
      continue;
    Result.Crashes.push_back(Each.Crash);
    Requests.push_back(Each.Request);
    // A request that was at two crashed targets is refused at once: its caller
    // may send it again without a pause.
    const bool IsSettled =
        Each.Request == Each.Crash || Now - Each.At >= m_SettleTime;
    Result.SettledCrashes += IsSettled ? 1 : 0;
    Result.LastCrashAt = std::max(Result.LastCrashAt, Each.At);
  }
  std::sort(Result.Crashes.begin(), Result.Crashes.end());
  std::sort(Requests.begin(), Requests.end());
  Result.Requests = static_cast<std::size_t>(
      std::unique(Requests.begin(), Requests.end()) - Requests.begin());
  const bool IsEnough = Result.KnownSound
                            ? Result.SettledCrashes >= MinCrashesOfKnownSound &&
                                  Result.Requests >= MinRequestsOfKnownSound
                            : Result.SettledCrashes >= MinCrashes &&
                                  Result.Requests >= MinRequests;
  return IsEnough ? std::optional(Result) : std::nullopt;
}

CrashCauses::Refusal
CrashCauses::makeRefusal(const Candidate &Best,
                         std::vector<CauseId> Causes) const {
  Refusal Result;
  Result.Causes = std::move(Causes);
  Result.Crashes = Best.Crashes.size();
  Result.LastCrashAt = Best.LastCrashAt;
  const auto Time = refusalTime(Result.Crashes);
  const auto First = Result.Causes.front();
  const auto Place = std::ldexp(static_cast<double>(XXH3_64bits_withSeed(
                                    &First, sizeof(First), m_OrderSeed)),
                                -64);
  Result.TryAfter = Best.LastCrashAt + Time +
                    fromSeconds(TrySpread * Place * toSeconds(Time));
  return Result;
}

bool CrashCauses::update(TimePoint Now) {
  forgetOld(Now);
  std::vector<Refusal> Found;
  std::vector<std::uint64_t> Explained;
  while (Found.size() < MaxRefusals) {
    // Step 1. Find the suspect that explains most crashes. Those that were
    // answered earlier come last: one that many requests share is in the
    // crashes of several causes.
    std::vector<Candidate> Candidates;
    for (const auto &[Cause, Entry] : m_Suspects)
      if (const auto Each = makeCandidate(Cause, Entry, Explained, Now))
        Candidates.push_back(*Each);
    const auto Best =
        std::max_element(Candidates.begin(), Candidates.end(),
                         [](const Candidate &A, const Candidate &B) {
                           return std::pair(!A.KnownSound, A.Crashes.size()) <
                                  std::pair(!B.KnownSound, B.Crashes.size());
                         });
    if (Best == Candidates.end())
      break;

    // Step 2. Causes in exactly the same crashes are refused only together.
    std::vector<CauseId> Causes;
    for (const auto &Each : Candidates)
      if (Each.Crashes == Best->Crashes && Each.KnownSound == Best->KnownSound)
        Causes.push_back(Each.Cause);
    Found.push_back(makeRefusal(*Best, std::move(Causes)));

    // Step 3. The crashes that they explain make no other part a suspect.
    Explained.insert(Explained.end(), Best->Crashes.begin(),
                     Best->Crashes.end());
  }
  const bool Changed = !std::equal(
      Found.begin(), Found.end(), m_Refusals.begin(), m_Refusals.end(),
      [](const auto &A, const auto &B) { return A.Causes == B.Causes; });
  m_Refusals = std::move(Found);
  std::erase_if(m_TriedAt, [&](const auto &Tried) {
    return Now - Tried.second > TryPeriod;
  });
  return Changed;
}

bool CrashCauses::isRefused(std::span<const CauseId> Causes,
                            TimePoint Now) const {
  return std::any_of(m_Refusals.begin(), m_Refusals.end(),
                     [&](const Refusal &Each) {
                       return Now < Each.TryAfter && Each.covers(Causes);
                     });
}

std::optional<Duration> CrashCauses::refuseNew(std::span<const CauseId> Causes,
                                               TimePoint Now) {
  TimePoint AcceptedFrom = Now;
  for (const auto &Each : m_Refusals)
    if (Each.covers(Causes)) {
      const auto Tried = m_TriedAt.find(Each.Causes.front());
      AcceptedFrom = std::max(AcceptedFrom, Each.TryAfter);
      if (Tried != m_TriedAt.end())
        AcceptedFrom = std::max(AcceptedFrom, Tried->second + TryPeriod);
    }
  if (AcceptedFrom > Now)
    return AcceptedFrom - Now;
  for (const auto &Each : m_Refusals)
    if (Each.covers(Causes))
      m_TriedAt[Each.Causes.front()] = Now;
  return std::nullopt;
}

bool CrashCauses::isRepeatRefused(std::span<const CauseId> Causes,
                                  TimePoint Now) const {
  return isRefused(Causes, Now) ||
         std::any_of(Causes.begin(), Causes.end(), [&](CauseId Cause) {
           const auto Found = m_Suspects.find(Cause);
           return Found != m_Suspects.end() && !Found->second.KnownSound &&
                  countUnrefuted(Found->second.Sightings) >=
                      MinCrashesToStopRepeats;
         });
}

} // namespace mangodeck
