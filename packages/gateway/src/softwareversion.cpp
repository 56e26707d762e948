#include "mangodeck/gateway/softwareversion.h"

#include <algorithm>
#include <xxhash.h>

namespace mangodeck {

VersionId versionIdOf(const ServiceName &Service,
                      const std::optional<std::string> &Version) {
  // The seed of an unstated version differs from that of an empty text.
  VersionId Hash = XXH3_64bits_withSeed(
      Service.Text.data(), Service.Text.size(), Version.has_value() ? 1 : 0);
  if (Version)
    Hash = XXH3_64bits_withSeed(Version->data(), Version->size(), Hash);
  return std::max<VersionId>(Hash, NoVersion + 1);
}

} // namespace mangodeck
