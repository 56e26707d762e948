#ifndef MANGODECK_GATEWAY_SOFTWAREVERSION_H
#define MANGODECK_GATEWAY_SOFTWAREVERSION_H

#include "mangodeck/common/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mangodeck {

/// Identifies a version of the software of a service's targets: a hash of the
/// service's name and of the version's text, which has no order. Targets that
/// state no version have one in common.
using VersionId = std::uint64_t;
/// No version, or one that is not known.
inline constexpr VersionId NoVersion = 0;

VersionId versionIdOf(const ServiceName &Service,
                      const std::optional<std::string> &Version);

} // namespace mangodeck

#endif
