#ifndef MANGODECK_REPLAY_MEASURES_H
#define MANGODECK_REPLAY_MEASURES_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// How one request of a replay ended.
enum class ReplayOutcome : std::uint8_t {
  InTime, ///< Whole answer before the deadline.
  Late,   ///< Whole answer after the deadline.
  Shed,
  Expired,
  NotRun,  ///< Not run for another reason.
  Unknown, ///< Dispatched, and the target crashed.
  Left,    ///< The caller hung up.
};

inline constexpr std::size_t ReplayOutcomes = 7;
std::string_view toString(ReplayOutcome Outcome);

/// Why prefilled tokens were of no use.
enum class WasteCause : std::uint8_t {
  Cancelled, ///< The caller hung up.
  Crashed,
  Expired,   ///< Answered after the deadline.
  Evicted,   ///< A prefix that had been cached there and was evicted.
  Duplicate, ///< A prefix that another target had computed.
};

inline constexpr std::size_t WasteCauses = 5;
std::string_view toString(WasteCause Cause);

/// Spread of a measured time, in seconds.
struct Percentiles {
  double P50 = 0;
  double P95 = 0;
  double P99 = 0;
};

/// Percentiles by the nearest rank; zeros without samples.
Percentiles percentilesOf(std::vector<double> Samples);

/// What was measured for the requests of one tier.
struct TierMeasures {
  std::uint64_t Arrived = 0;
  std::array<std::uint64_t, ReplayOutcomes> Outcomes{};
  TokenCount InTimeTokens = 0;
  std::vector<double> FirstTokenSeconds;
  std::vector<double> TokenGapSeconds;

  std::uint64_t count(ReplayOutcome Outcome) const {
    return Outcomes[static_cast<std::size_t>(Outcome)];
  }
  std::uint64_t completed() const {
    return count(ReplayOutcome::InTime) + count(ReplayOutcome::Late);
  }
};

/// What was measured of prefill work.
struct PrefillMeasures {
  TokenCount Prefilled = 0;
  TokenCount Cached = 0;
  std::array<TokenCount, WasteCauses> Wasted{};

  TokenCount wasted() const;
};

/// The measures of one policy on one trace.
struct ReplayResult {
  std::string PolicyName;
  Duration Length{0};
  std::map<TierRank, TierMeasures> Tiers;
  PrefillMeasures Prefill;
  std::uint64_t Signature = 0; ///< Of all outcomes in their order.
  std::uint32_t CrashesByOneRequest = 0;
  std::vector<std::string> Violations;

  /// Answers in time per second, of \p Tier or of the tiers up to it.
  double goodput(TierRank Tier) const;
  double goodputThrough(TierRank Tier) const;
  double inTimeShare(TierRank Tier) const;
};

} // namespace mangodeck

#endif
