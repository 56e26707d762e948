#ifndef MANGODECK_REPLAY_TRACE_H
#define MANGODECK_REPLAY_TRACE_H

#include "mangodeck/common/diagnostic.h"
#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// Version of the trace format.
inline constexpr int TraceFormat = 1;

/// An entry VM of the deployment that a trace was made for.
struct TraceVm {
  VmName Name;
  FailureDomain Domain;
};

/// A bound on one measure of a replay, stated by the trace.
struct TraceExpectation {
  std::string Measure; ///< One of expectationMeasures().
  TierRank Tier = 0;   ///< Of measures by tier.
  double AtLeast = 0;
  double AtMost = 0;
  bool HasLeast = false;
  bool HasMost = false;
};

/// Names of the measures that a trace may state bounds for.
const std::vector<std::string> &expectationMeasures();

/// First line of a trace.
struct TraceHeader {
  std::string Name;
  std::string Deployment;
  std::string Generator; ///< How the trace was made, with the seed.
  std::uint64_t Seed = 0;
  Duration Length{0};    ///< Over which goodput is taken.
  Duration LinkDelay{0}; ///< One way between failure domains.
  Duration ReportLag{0}; ///< Of load reports, until a fault changes it.
  std::vector<TraceVm> Entries;
  std::vector<TraceExpectation> Expectations;
};

/// One request of a caller.
struct TraceArrival {
  Duration At{0};
  CustomerName Customer;
  ServiceName Service;
  TierRank Tier = 0;
  TokenCount Prompt = 0;
  std::uint64_t Prefix = 0;    ///< Requests with one prefix id share it.
  TokenCount PrefixTokens = 0; ///< Length of the shared prefix.
  TokenCount Output = 0;       ///< Tokens that the engine will make.
  TokenCount MaxOutput = 0;    ///< Upper estimate that the caller gives.
  Duration Deadline{0};        ///< After the arrival.
  Duration Work{0};            ///< Of a plain service's call.
  Duration HangUp{0};          ///< The caller leaves so long after; 0 never.
  std::uint32_t Resends = 0;   ///< How often it is sent again after a crash.
  bool Keyed = false;          ///< Needs a claim in the store.
  bool Poison = false;         ///< Crashes the target that runs it.
};

enum class FaultKind : std::uint8_t {
  Crash,       ///< Target dies and starts again after For.
  Slow,        ///< Target takes Factor times as long, for For.
  Leave,       ///< Target leaves; it is replaced after For.
  ReportLag,   ///< Load reports are Lag old from now on.
  StoreOutage, ///< The store does not answer for For.
};

std::string_view toString(FaultKind Kind);

/// Something that goes wrong.
struct TraceFault {
  Duration At{0};
  FaultKind Kind = FaultKind::Crash;
  TargetName Target;
  Duration For{0};
  double Factor = 1;
  Duration Lag{0};
};

/// A recorded or generated trace; arrivals and faults are in time order.
struct Trace {
  TraceHeader Header;
  std::vector<TraceArrival> Arrivals;
  std::vector<TraceFault> Faults;
};

/// Reads a trace of JSON lines. Returns every fault found, with file, line,
/// field, what was found and what is allowed.
tl::expected<Trace, Diagnostics> readTrace(std::istream &In,
                                           std::string_view File);
tl::expected<Trace, Diagnostics> loadTrace(std::string_view Path);

/// Writes a trace as JSON lines.
void writeTrace(const Trace &Recorded, std::ostream &Out);

} // namespace mangodeck

#endif
