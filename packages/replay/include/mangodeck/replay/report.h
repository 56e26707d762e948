#ifndef MANGODECK_REPLAY_REPORT_H
#define MANGODECK_REPLAY_REPORT_H

#include "mangodeck/replay/measures.h"
#include "mangodeck/replay/trace.h"

#include <span>
#include <string>
#include <vector>

namespace mangodeck {

/// The results of several policies on one trace, with one set of records.
struct ReplayReport {
  std::string Trace;                 ///< Name of the trace.
  std::string Records;               ///< Where the records were read from.
  std::vector<ReplayResult> Results; ///< The product's policy first.
};

/// An expectation of a trace with the value that was measured.
struct CheckedExpectation {
  TraceExpectation Expected;
  double Measured = 0;
  bool Known = true; ///< False if the replay did not measure it.
  bool Met = false;
};

/// Compares the first result with the trace's expectations; ratios are over
/// the best of the other results.
std::vector<CheckedExpectation>
checkExpectations(const Trace &Recorded, std::span<const ReplayResult> Results);

/// A table for each policy: outcomes and times by tier, prefill work.
std::string textReport(const ReplayReport &Report);

/// One line for each expectation, "met" or "NOT met".
std::string textExpectations(std::span<const CheckedExpectation> Checked);

/// The same as one JSON document.
std::string jsonReport(std::span<const ReplayReport> Reports);

/// A self-contained page with a table and plots, one column for each report;
/// two reports of one trace compare two sets of records.
std::string htmlReport(std::span<const ReplayReport> Reports);

/// Differences between two sets of records on one trace, for the product's
/// policy.
std::string textComparison(const ReplayReport &Before,
                           const ReplayReport &After);

} // namespace mangodeck

#endif
