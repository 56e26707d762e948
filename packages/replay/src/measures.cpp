#include "mangodeck/replay/measures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mangodeck {

namespace {

double atRank(const std::vector<double> &Sorted, double Share) {
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  return Sorted[std::max<std::size_t>(Rank, 1) - 1];
}

} // namespace

std::string_view toString(ReplayOutcome Outcome) {
  switch (Outcome) {
  case ReplayOutcome::InTime:
    return "in-time";
  case ReplayOutcome::Late:
    return "late";
  case ReplayOutcome::Shed:
    return "shed";
  case ReplayOutcome::Expired:
    return "expired";
  case ReplayOutcome::NotRun:
    return "not-run";
  case ReplayOutcome::Unknown:
    return "unknown";
  case ReplayOutcome::Left:
    return "left";
  }
  return "left";
}

std::string_view toString(WasteCause Cause) {
  switch (Cause) {
  case WasteCause::Cancelled:
    return "cancelled";
  case WasteCause::Crashed:
    return "crashed";
  case WasteCause::Expired:
    return "expired";
  case WasteCause::Evicted:
    return "evicted";
  case WasteCause::Duplicate:
    return "duplicate";
  }
  return "duplicate";
}

Percentiles percentilesOf(std::vector<double> Samples) {
  if (Samples.empty())
    return {};
  std::sort(Samples.begin(), Samples.end());
  return {atRank(Samples, 0.50), atRank(Samples, 0.95), atRank(Samples, 0.99)};
}

TokenCount PrefillMeasures::wasted() const {
  return std::accumulate(Wasted.begin(), Wasted.end(), TokenCount(0));
}

double ReplayResult::goodput(TierRank Tier) const {
  const auto It = Tiers.find(Tier);
  if (It == Tiers.end())
    return 0;
  return static_cast<double>(It->second.count(ReplayOutcome::InTime)) /
         toSeconds(Length);
}

double ReplayResult::goodputThrough(TierRank Tier) const {
  double Sum = 0;
  for (const auto &[Rank, Measures] : Tiers)
    if (Rank <= Tier)
      Sum += goodput(Rank);
  return Sum;
}

double ReplayResult::inTimeShare(TierRank Tier) const {
  const auto It = Tiers.find(Tier);
  if (It == Tiers.end() || It->second.Arrived == 0)
    return 1;
  return static_cast<double>(It->second.count(ReplayOutcome::InTime)) /
         static_cast<double>(It->second.Arrived);
}

} // namespace mangodeck
