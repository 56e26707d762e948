#ifndef MANGODECK_CONNECTION_TARGETEVENTS_H
#define MANGODECK_CONNECTION_TARGETEVENTS_H

#include "mangodeck/request/targetreport.h"

#include <optional>
#include <string_view>
#include <variant>

namespace mangodeck {

/// A target's announcement that it is leaving, or no longer.
struct StateChange {
  bool Leaving = false;
};

using TargetEvent = std::variant<LoadReport, CacheEvent, StateChange>;

/// Reads one event of a target; std::nullopt if it is malformed or of a kind
/// that is not known. Names of targets are left empty.
std::optional<TargetEvent> parseTargetEvent(std::string_view Kind,
                                            std::string_view Data);

} // namespace mangodeck

#endif
