#include "mangodeck/gateway/versioncomparison.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <set>
#include <vector>

namespace mangodeck {

namespace {

/// Factors of the odds of a bad answer, against which a version is tested.
constexpr std::array<double, 6> OddsFactors = {1.5, 2, 4, 8, 16, 64};
/// A version is not bad if its share of bad answers is larger by less than
/// this: versions differ a little, and the goal is 0.05.
constexpr double MinRateDifference = 0.02;
/// Odds factor and difference from which on a version is bad without answers of
/// the others at the same time. The whole service may degrade meanwhile.
constexpr double MinFactorAlone = 6;
constexpr double MinDifferenceAlone = 0.25;
constexpr double MinAnswersAlone = 100;
/// Factors of the time against which a version is tested, and those that count
/// as good: targets and their load differ.
constexpr std::array<double, 5> SlowFactors = {1.8, 2.2, 3, 4.5, 8};
constexpr std::array<double, 5> SoundFactors = {0.6, 0.8, 1, 1.15, 1.3};
/// Deviation of a target's mean logarithm that is not due to the number of its
/// answers: load and, for engines, the batch.
constexpr double TargetDeviation = 0.12;
/// Probability that a target is slow or fast for a reason of its own, over the
/// range of OtherRange. Limits what one target can prove.
constexpr double OddTargetShare = 0.01;
constexpr double OtherRange = 4;
/// Speeds of engines, as logarithms of the time relative to the nominal one,
/// and the share of the targets of which no more is assumed.
constexpr double MinLogSpeed = -0.8;
constexpr double MaxLogSpeed = 1.25;
constexpr double AnySpeedShare = 0.25;
/// Answers of a target below which its time is not compared.
constexpr std::uint32_t MinTimedAnswers = 4;
constexpr double LogUnits = 1000;
constexpr double NormalDensity = 0.3989422804;

struct Counts {
  double Answers = 0;
  double Bad = 0;
  void add(const EvidenceCounts &Each) {
    Answers += Each.Answers;
    Bad += Each.Bad;
  }
  void add(const Counts &Each) {
    Answers += Each.Answers;
    Bad += Each.Bad;
  }
  double rate() const { return Answers > 0 ? Bad / Answers : 0; }
};

/// Both versions in one slice on one route.
struct Stratum {
  Counts Candidate;
  Counts Other;
};
using StrataByRoute =
    std::map<std::uint16_t, std::array<Stratum, RolloutSlices>>;

double logMeanOfExp(std::span<const double> Logs) {
  const double Max = *std::max_element(Logs.begin(), Logs.end());
  double Sum = 0;
  for (const double Each : Logs)
    Sum += std::exp(Each - Max);
  return Max + std::log(Sum / static_cast<double>(Logs.size()));
}

/// The logarithm of the likelihood ratio of odds that are \p Factor times
/// larger at the candidate.
double logRatioOfFailures(const Stratum &Each, double Factor) {
  const double All = Each.Candidate.Answers + Each.Other.Answers;
  if (All <= 0 || Each.Candidate.Answers <= 0)
    return 0;
  const double Share = Each.Candidate.Answers / All;
  return Each.Candidate.Bad * std::log(Factor) -
         (Each.Candidate.Bad + Each.Other.Bad) *
             std::log1p(Share * (Factor - 1));
}

/// Strata of a route as they are tested: the answers of the candidate in slices
/// without another version are compared with those of the other versions
/// before, and only for a large difference.
struct RouteSums {
  std::array<double, OddsFactors.size()> Logs{};
  Counts Candidate;
  Counts Other;
};

/// The slice in which the version is switched to holds answers of the others of
/// its beginning only, which are no comparison for those of its end.
bool isAlone(const Stratum &Each) {
  return Each.Other.Answers < 1.2 * Each.Candidate.Answers;
}

/// Whether the candidate alone is so much worse, on all routes together, than
/// the others were before, that a degradation of the whole service does not
/// explain it.
bool isWorseAlone(const Stratum &Each, const Counts &Before) {
  return Each.Candidate.Answers >= MinAnswersAlone && Before.Answers > 0 &&
         Each.Candidate.rate() > MinFactorAlone * Before.rate() &&
         Each.Candidate.rate() > Before.rate() + MinDifferenceAlone;
}

void addStratum(RouteSums &Sums, const Stratum &Each, const Counts &Before,
                bool IsAlone, bool IsWorseAlone) {
  auto Tested = Each;
  if (IsAlone || isAlone(Each)) {
    if (!IsWorseAlone || Before.Answers <= 0)
      return;
    Tested.Other = Before;
  }
  for (std::size_t I = 0; I < OddsFactors.size(); ++I)
    Sums.Logs[I] += logRatioOfFailures(Tested, OddsFactors[I]);
  Sums.Candidate.add(Tested.Candidate);
  Sums.Other.add(Tested.Other);
}

void applyFailures(VersionJudgement &Best, const RouteSums &Sums,
                   std::uint16_t Route) {
  const double LogRatio = logMeanOfExp(Sums.Logs);
  if (LogRatio <= Best.LogRatio ||
      Sums.Candidate.rate() - Sums.Other.rate() < MinRateDifference)
    return;
  Best.LogRatio = LogRatio;
  Best.Kind = "failures";
  Best.Route = Route;
  Best.CandidateRate = Sums.Candidate.rate();
  Best.OtherRate = Sums.Other.rate();
  Best.CandidateAnswers = static_cast<std::uint32_t>(Sums.Candidate.Answers);
}

void judgeFailures(VersionJudgement &Best, const StrataByRoute &Strata,
                   std::uint8_t AloneFrom) {
  // Which slices show a version that is worse though it is alone.
  std::array<bool, RolloutSlices> IsWorse{};
  Counts AllBefore;
  for (std::size_t Slice = 0; Slice < RolloutSlices; ++Slice) {
    Stratum All;
    for (const auto &[Route, Slices] : Strata) {
      All.Candidate.add(Slices[Slice].Candidate);
      All.Other.add(Slices[Slice].Other);
    }
    IsWorse[Slice] = isWorseAlone(All, AllBefore);
    AllBefore.add(All.Other);
  }
  for (int First = RolloutSlices - 1; First >= 0; --First) {
    RouteSums All;
    for (const auto &[Route, Slices] : Strata) {
      RouteSums Sums;
      Counts Before;
      for (int Slice = 0; Slice < RolloutSlices; ++Slice) {
        const auto &Each = Slices[static_cast<std::size_t>(Slice)];
        if (Slice >= First) {
          const bool Worse = IsWorse[static_cast<std::size_t>(Slice)];
          const bool IsAlone = Slice >= AloneFrom;
          addStratum(Sums, Each, Before, IsAlone, Worse);
          addStratum(All, Each, Before, IsAlone, Worse);
        }
        Before.add(Each.Other);
      }
      applyFailures(Best, Sums, Route);
    }
    applyFailures(Best, All, 0);
  }
}

/// Mean logarithm of the times at one target, and its variance.
struct TargetTime {
  double Mean = 0;
  double Variance = 0;
  std::uint32_t Timed = 0;
};

std::vector<TargetTime>
timesOf(const std::map<std::uint32_t, EvidenceCounts> &Sums) {
  std::vector<TargetTime> Times;
  for (const auto &[Target, Each] : Sums) {
    if (Each.Timed < MinTimedAnswers)
      continue;
    const double Mean =
        static_cast<double>(Each.SumLog) / LogUnits / Each.Timed;
    const double MeanSquare =
        static_cast<double>(Each.SumSquares) / LogUnits / Each.Timed;
    const double Spread = std::max(0.0, MeanSquare - Mean * Mean);
    Times.push_back({Mean, Spread / Each.Timed, Each.Timed});
  }
  return Times;
}

/// What is assumed of the speeds of targets, beside those of the others.
struct SpeedPrior {
  double OddShare = OddTargetShare; ///< Any speed over OtherRange.
  double AnyShare = 0;              ///< Any speed of an engine.
};

/// Density of a new target's mean if it is as fast as one of \p Others, or as
/// \p Prior allows, by \p Shift slower.
double density(const TargetTime &Target, std::span<const TargetTime> Others,
               double Shift, const SpeedPrior &Prior) {
  double Sum = 0;
  for (const auto &Other : Others) {
    const double Variance =
        TargetDeviation * TargetDeviation + Target.Variance + Other.Variance;
    const double Distance = Target.Mean - Shift - Other.Mean;
    Sum += NormalDensity / std::sqrt(Variance) *
           std::exp(-Distance * Distance / (2 * Variance));
  }
  const double Speed = Target.Mean - Shift;
  const bool IsPossible = Speed >= MinLogSpeed && Speed <= MaxLogSpeed;
  return (1 - Prior.OddShare - Prior.AnyShare) * Sum /
             static_cast<double>(Others.size()) +
         (IsPossible ? Prior.AnyShare / (MaxLogSpeed - MinLogSpeed) : 0) +
         Prior.OddShare / OtherRange;
}

double logLikelihood(std::span<const TargetTime> Candidates,
                     std::span<const TargetTime> Others, double Factor,
                     const SpeedPrior &Prior) {
  double Sum = 0;
  for (const auto &Each : Candidates)
    Sum += std::log(density(Each, Others, std::log(Factor), Prior));
  return Sum;
}

void judgeSlowness(VersionJudgement &Best, std::uint16_t Route,
                   std::span<const TargetTime> Candidates,
                   std::span<const TargetTime> Others,
                   const SpeedPrior &Prior) {
  if (Candidates.empty() || Others.empty())
    return;
  std::array<double, SlowFactors.size()> Slow{};
  double Sound = -std::numeric_limits<double>::infinity();
  std::size_t MostLikely = 0;
  for (std::size_t I = 0; I < SlowFactors.size(); ++I) {
    Slow[I] = logLikelihood(Candidates, Others, SlowFactors[I], Prior);
    if (Slow[I] > Slow[MostLikely])
      MostLikely = I;
  }
  for (const double Factor : SoundFactors)
    Sound = std::max(Sound, logLikelihood(Candidates, Others, Factor, Prior));
  const double LogRatio = logMeanOfExp(Slow) - Sound;
  if (LogRatio <= Best.LogRatio)
    return;
  Best.LogRatio = LogRatio;
  Best.Kind = "slowness";
  Best.Route = Route;
  Best.CandidateRate = SlowFactors[MostLikely];
  Best.OtherRate = 1;
  Best.CandidateAnswers = 0;
  for (const auto &Each : Candidates)
    Best.CandidateAnswers += Each.Timed;
}

void judgeSlowness(VersionJudgement &Best, const EvidenceRows &Rows,
                   const std::set<std::uint16_t> &Routes,
                   const SpeedPrior &Prior) {
  using Sums = std::map<std::uint32_t, EvidenceCounts>;
  for (const auto Route : Routes)
    for (const unsigned First :
         {0u, RolloutSlices / 3u, 2 * RolloutSlices / 3u}) {
      Sums Candidates;
      Sums Others;
      // The others are compared for the slices in which the version answered.
      std::set<std::uint8_t> Slices;
      for (const auto &[Key, Each] : Rows)
        if (Key.Route == Route && Key.IsCandidate && Key.Slice >= First &&
            Each.Timed > 0)
          Slices.insert(Key.Slice);
      bool HasOthers = false;
      for (const auto &[Key, Each] : Rows)
        HasOthers |= !Key.IsCandidate && Key.Route == Route &&
                     Slices.contains(Key.Slice) && Each.Timed > 0;
      if (!HasOthers)
        continue;
      for (const auto &[Key, Each] : Rows)
        if (Key.Route == Route && Slices.contains(Key.Slice) && Key.Target != 0)
          (Key.IsCandidate ? Candidates : Others)[Key.Target].add(Each);
      judgeSlowness(Best, Route, timesOf(Candidates), timesOf(Others), Prior);
    }
}

} // namespace

VersionJudgement judgeVersion(const EvidenceRows &Rows,
                              const ComparedTargets &Targets) {
  VersionJudgement Best;
  StrataByRoute Strata;
  EvidenceRows Together; // Of the slices with answers of both.
  std::set<std::uint16_t> Routes;
  for (const auto &[Key, Each] : Rows) {
    if (Key.Slice < Targets.AloneFrom)
      Together[Key] = Each;
    auto &Stratum = Strata[Key.Route][Key.Slice];
    (Key.IsCandidate ? Stratum.Candidate : Stratum.Other).add(Each);
    Routes.insert(Key.Route);
  }
  judgeFailures(Best, Strata, Targets.AloneFrom);
  SpeedPrior Prior;
  if (Targets.Candidates == 1)
    Prior.OddShare = std::exp(-BadLogRatio) / 4;
  if (Targets.SpeedsVary)
    Prior.AnyShare = AnySpeedShare;
  judgeSlowness(Best, Together, Routes, Prior);
  Best.IsBad = Best.LogRatio >= BadLogRatio;
  return Best;
}

} // namespace mangodeck
