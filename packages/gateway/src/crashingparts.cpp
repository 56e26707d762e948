#include "mangodeck/gateway/crashingparts.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace mangodeck {

namespace {

/// Settled crashes from which on a part is refused, and distinct requests that
/// must have had it. One crash may be a coincidence, and one request alone does
/// not show which of its parts is the cause.
constexpr std::size_t MinCrashes = 2;
constexpr std::size_t MinRequests = 2;
/// The same for a part that targets have answered at an earlier time: it is
/// more likely that it only was beside the cause.
constexpr std::size_t MinCrashesOfKnownSound = 4;
constexpr std::size_t MinRequestsOfKnownSound = 3;
/// Unrefuted crashes from which on a request is not repeated.
constexpr std::size_t MinCrashesToStopRepeats = 2;

/// Time for which a part is refused after its last crash, by the number of its
/// crashes from MinCrashes on.
constexpr Duration RefusalTimes[] = {10s, 30s, 120s};
/// Time over which the daemons try a part again, in parts of the refusal time.
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
/// Parts of a request that become suspects, or are remembered as sound.
constexpr std::size_t MaxPartsPerRequest = 32;
constexpr std::size_t MaxRememberedSound = 4096;

/// At most MaxPartsPerRequest of \p Parts, drawn by \p Seed.
std::vector<PromptPartId> sampleParts(std::span<const PromptPartId> Parts,
                                      std::uint64_t Seed) {
  std::vector<PromptPartId> Sample(Parts.begin(), Parts.end());
  if (Sample.size() <= MaxPartsPerRequest)
    return Sample;
  const auto Rank = [Seed](PromptPartId Part) {
    return XXH3_64bits_withSeed(&Part, sizeof(Part), Seed);
  };
  std::nth_element(
      Sample.begin(), Sample.begin() + MaxPartsPerRequest, Sample.end(),
      [&](PromptPartId A, PromptPartId B) { return Rank(A) < Rank(B); });
  Sample.resize(MaxPartsPerRequest);
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

CrashingParts::CrashingParts(std::string_view Vm)
    : m_OrderSeed(XXH3_64bits(Vm.data(), Vm.size())) {}

CrashingParts::Suspect &CrashingParts::suspect(PromptPartId Part,
                                               TimePoint Now) {
  const auto Found = m_Suspects.find(Part);
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
  auto &New = m_Suspects[Part];
  New.KnownSound = m_SoundAt.contains(Part);
  New.ChangedAt = Now;
  return New;
}

bool CrashingParts::addSighting(Suspect &Entry, const Sighting &Seen) {
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
  if (Entry.Sightings.size() < MaxSightingsPerPart) {
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

void CrashingParts::recordCrash(std::uint64_t Crash, std::uint64_t Request,
                                std::span<const PromptPartId> Parts,
                                TimePoint CrashedAt, TimePoint Now) {
  // Of a long prompt, the parts of earlier crashes go before a random sample.
  std::vector<PromptPartId> Chosen;
  for (const auto Part : Parts)
    if (m_Suspects.contains(Part) && Chosen.size() < MaxPartsPerRequest)
      Chosen.push_back(Part);
  for (const auto Part : sampleParts(Parts, Crash))
    if (Chosen.size() < MaxPartsPerRequest &&
        std::find(Chosen.begin(), Chosen.end(), Part) == Chosen.end())
      Chosen.push_back(Part);
  for (const auto Part : Chosen) {
    auto &Entry = suspect(Part, Now);
    const auto Sound = m_SoundAt.find(Part);
    const bool Refuted = Sound != m_SoundAt.end() && Sound->second > CrashedAt;
    if (addSighting(Entry, {Crash, Request, CrashedAt, Refuted}))
      Entry.ChangedAt = Now;
  }
}

void CrashingParts::recordSoundAnswer(std::span<const PromptPartId> Parts,
                                      TimePoint Begun, TimePoint Now) {
  if (!m_Suspects.empty())
    for (const auto Part : Parts) {
      const auto Found = m_Suspects.find(Part);
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
  rememberSound(Parts, Begun);
}

void CrashingParts::rememberSound(std::span<const PromptPartId> Parts,
                                  TimePoint Begun) {
  for (const auto Part : sampleParts(Parts, 0)) {
    auto &At = m_SoundAt[Part];
    At = std::max(At, Begun);
  }
  if (m_SoundAt.size() <= MaxRememberedSound)
    return;
  // Forget the older half at a time, which takes constant time per answer.
  std::vector<TimePoint> Times;
  Times.reserve(m_SoundAt.size());
  for (const auto &[Part, At] : m_SoundAt)
    Times.push_back(At);
  const auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  std::erase_if(m_SoundAt, [Oldest = *Middle](const auto &Entry) {
    return Entry.second <= Oldest;
  });
}

void CrashingParts::merge(std::span<const PartEvidence> Reported,
                          TimePoint Now) {
  for (const auto &Part : Reported) {
    if (Part.Sightings.empty() && !m_Suspects.contains(Part.Part))
      continue;
    auto &Entry = suspect(Part.Part, Now);
    bool Changed = Part.KnownSound && !std::exchange(Entry.KnownSound, true);
    const auto Sound = m_SoundAt.find(Part.Part);
    for (const auto &Each : Part.Sightings) {
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

std::vector<PartEvidence> CrashingParts::takeReport(TimePoint Now) {
  // Step 1. Choose the entries that changed or that refusals depend on.
  const bool IsRefresh = Now - m_RefreshedAt >= RefreshPeriod;
  if (IsRefresh)
    m_RefreshedAt = Now;
  const auto IsRefusedPart = [&](PromptPartId Part) {
    return std::any_of(
        m_Refusals.begin(), m_Refusals.end(), [&](const Refusal &Each) {
          return std::binary_search(Each.Parts.begin(), Each.Parts.end(), Part);
        });
  };
  std::vector<std::pair<PromptPartId, const Suspect *>> Chosen;
  for (const auto &[Part, Entry] : m_Suspects)
    if (Now - Entry.ChangedAt < ReportedTime ||
        (IsRefresh && IsRefusedPart(Part)))
      Chosen.emplace_back(Part, &Entry);

  // Step 2. If they are too many, those with most crashes go first.
  std::sort(Chosen.begin(), Chosen.end(), [](const auto &A, const auto &B) {
    return std::pair(countUnrefuted(A.second->Sightings), A.second->ChangedAt) >
           std::pair(countUnrefuted(B.second->Sightings), B.second->ChangedAt);
  });
  std::vector<PartEvidence> Report;
  std::size_t SightingCount = 0;
  for (const auto &[Part, Entry] : Chosen) {
    SightingCount += Entry->Sightings.size();
    if (Report.size() == MaxReportedParts ||
        SightingCount > MaxReportedSightings)
      break;
    PartEvidence Reported{Part, Entry->KnownSound, {}};
    for (const auto &Each : Entry->Sightings)
      Reported.Sightings.push_back(
          {Each.Crash, Each.Request,
           std::max<Duration>(Duration{0}, Now - Each.At), Each.Refuted});
    Report.push_back(std::move(Reported));
  }
  return Report;
}

void CrashingParts::forgetOld(TimePoint Now) {
  for (auto Next = m_Suspects.begin(); Next != m_Suspects.end();) {
    auto &Sightings = Next->second.Sightings;
    std::erase_if(Sightings, [&](const Sighting &Each) {
      return Now - Each.At > EvidenceLifetime;
    });
    Next = Sightings.empty() ? m_Suspects.erase(Next) : std::next(Next);
  }
}

std::optional<CrashingParts::Candidate>
CrashingParts::makeCandidate(PromptPartId Part, const Suspect &Entry,
                             std::span<const std::uint64_t> Explained,
                             TimePoint Now) const {
  if (Entry.Sightings.size() < MinCrashes)
    return std::nullopt;
  Candidate Result;
  Result.Part = Part;
  Result.KnownSound = Entry.KnownSound;
  std::vector<std::uint64_t> Requests;
  for (const auto &Each : Entry.Sightings) {
    if (Each.Refuted || std::find(Explained.begin(), Explained.end(),
                                  Each.Crash) != Explained.end())
      continue;
    Result.Crashes.push_back(Each.Crash);
    Requests.push_back(Each.Request);
    Result.SettledCrashes += Now - Each.At >= m_SettleTime ? 1 : 0;
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

CrashingParts::Refusal
CrashingParts::makeRefusal(const Candidate &Cause,
                           std::vector<PromptPartId> Parts) const {
  Refusal Result;
  Result.Parts = std::move(Parts);
  Result.Crashes = Cause.Crashes.size();
  Result.LastCrashAt = Cause.LastCrashAt;
  const auto Time = refusalTime(Result.Crashes);
  const auto First = Result.Parts.front();
  const auto Place = std::ldexp(static_cast<double>(XXH3_64bits_withSeed(
                                    &First, sizeof(First), m_OrderSeed)),
                                -64);
  Result.TryAfter = Cause.LastCrashAt + Time +
                    fromSeconds(TrySpread * Place * toSeconds(Time));
  return Result;
}

bool CrashingParts::update(TimePoint Now) {
  forgetOld(Now);
  std::vector<Refusal> Found;
  std::vector<std::uint64_t> Explained;
  while (Found.size() < MaxRefusals) {
    // Step 1. Find the part that explains most crashes. Parts that were
    // answered earlier come last: one that many requests share is in the
    // crashes of several causes.
    std::vector<Candidate> Candidates;
    for (const auto &[Part, Entry] : m_Suspects)
      if (const auto Each = makeCandidate(Part, Entry, Explained, Now))
        Candidates.push_back(*Each);
    const auto Best =
        std::max_element(Candidates.begin(), Candidates.end(),
                         [](const Candidate &A, const Candidate &B) {
                           return std::pair(!A.KnownSound, A.Crashes.size()) <
                                  std::pair(!B.KnownSound, B.Crashes.size());
                         });
    if (Best == Candidates.end())
      break;

    // Step 2. Parts in exactly the same crashes are refused only together.
    std::vector<PromptPartId> Parts;
    for (const auto &Each : Candidates)
      if (Each.Crashes == Best->Crashes && Each.KnownSound == Best->KnownSound)
        Parts.push_back(Each.Part);
    Found.push_back(makeRefusal(*Best, std::move(Parts)));

    // Step 3. The crashes that they explain make no other part a suspect.
    Explained.insert(Explained.end(), Best->Crashes.begin(),
                     Best->Crashes.end());
  }
  const bool Changed = !std::equal(
      Found.begin(), Found.end(), m_Refusals.begin(), m_Refusals.end(),
      [](const auto &A, const auto &B) { return A.Parts == B.Parts; });
  m_Refusals = std::move(Found);
  if (m_Refusals.empty())
    m_TriedAt.clear();
  return Changed;
}

bool CrashingParts::isRefused(std::span<const PromptPartId> Parts,
                              TimePoint Now) const {
  return std::any_of(
      m_Refusals.begin(), m_Refusals.end(), [&](const Refusal &Each) {
        return Now < Each.TryAfter &&
               std::includes(Parts.begin(), Parts.end(), Each.Parts.begin(),
                             Each.Parts.end());
      });
}

bool CrashingParts::refuseNew(std::span<const PromptPartId> Parts,
                              TimePoint Now) {
  if (isRefused(Parts, Now))
    return true;
  for (const auto &Each : m_Refusals) {
    if (!std::includes(Parts.begin(), Parts.end(), Each.Parts.begin(),
                       Each.Parts.end()))
      continue;
    auto &TriedAt = m_TriedAt[Each.Parts.front()];
    if (TriedAt != TimePoint{} && Now - TriedAt < TryPeriod)
      return true;
    TriedAt = Now;
  }
  return false;
}

bool CrashingParts::isRepeatRefused(std::span<const PromptPartId> Parts,
                                    TimePoint Now) const {
  return isRefused(Parts, Now) ||
         std::any_of(Parts.begin(), Parts.end(), [&](PromptPartId Part) {
           const auto Found = m_Suspects.find(Part);
           return Found != m_Suspects.end() && !Found->second.KnownSound &&
                  countUnrefuted(Found->second.Sightings) >=
                      MinCrashesToStopRepeats;
         });
}

} // namespace mangodeck
