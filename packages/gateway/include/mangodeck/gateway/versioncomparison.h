#ifndef MANGODECK_GATEWAY_VERSIONCOMPARISON_H
#define MANGODECK_GATEWAY_VERSIONCOMPARISON_H

#include "mangodeck/gateway/rolloutevidence.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace mangodeck {

/// What the evidence says about a version.
struct VersionJudgement {
  /// Logarithm of the likelihood ratio of a bad version against a good one, the
  /// largest over the tests that are made.
  double LogRatio = 0;
  std::string_view Kind;    ///< Of that test: "failures" or "slowness".
  std::uint16_t Route = 0;  ///< Of that test; 0: all routes together.
  double CandidateRate = 0; ///< Bad answers, or the factor of slowness.
  double OtherRate = 0;
  std::uint32_t CandidateAnswers = 0;
  bool IsBad = false; ///< LogRatio is at least BadLogRatio.
};

/// Logarithm of the likelihood ratio from which on a version is bad. By a
/// single test a good version exceeds it at any time in one of 1,800 rollouts
/// at most; the tests (by route, and from each slice on) depend on each other,
/// and rolloutfleet_test.cpp measures how often one of them does.
inline constexpr double BadLogRatio = 7.5;

/// What is known of the targets beside their answers.
struct ComparedTargets {
  /// The service runs on engines, whose speeds differ. Times are relative to
  /// the nominal engine, and the targets that serve most requests need not show
  /// the speeds that the new targets have.
  bool SpeedsVary = false;
  /// Registered targets of the ordered version.
  std::size_t Candidates = 0;
  /// Slice in which all requests were switched to the version: from it on there
  /// are no answers of the others at the same time.
  std::uint8_t AloneFrom = RolloutSlices;
};

/// Judges the ordered version by the answers of all processes. The load for
/// which this is made: an order of 12 s at 300 to 600 requests a second, of
/// which the version gets some hundred.
///
/// Failures: of the bad answers of a stratum (slice, route), those of the
/// version are at most as many as its share of the answers explains, whatever
/// the rate is. A rate that differs by route, or that rises for the whole
/// service, is no evidence.
///
/// Slowness: the mean logarithm of the times at each target of the version is
/// compared with those of the other targets on the same route, since the speed
/// of a new target is not known beforehand.
///
/// Linear in the rows and in the product of the targets that are compared.
VersionJudgement judgeVersion(const EvidenceRows &Rows,
                              const ComparedTargets &Targets);

} // namespace mangodeck

#endif
