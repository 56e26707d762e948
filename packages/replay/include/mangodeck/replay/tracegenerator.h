#ifndef MANGODECK_REPLAY_TRACEGENERATOR_H
#define MANGODECK_REPLAY_TRACEGENERATOR_H

#include "mangodeck/replay/deployment.h"
#include "mangodeck/replay/trace.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace mangodeck {

/// Names of the scenarios that can be generated.
std::span<const std::string_view> scenarioNames();

/// Makes the trace of \p Scenario for \p Site. Equal seeds give equal traces.
Trace generateTrace(const Deployment &Site, std::string_view Scenario,
                    std::uint64_t Seed);

} // namespace mangodeck

#endif
