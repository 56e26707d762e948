#ifndef MANGODECK_SOAK_CHANGEPLAY_H
#define MANGODECK_SOAK_CHANGEPLAY_H

#include <cstdint>
#include <string>
#include <vector>

namespace mangodeck::soak {

struct ChangePlay {
  std::string Front;
  std::string Folder;
  std::uint64_t Seed = 1;
  unsigned Daemons = 8;
  unsigned Seconds = 14;
  unsigned Subnet = 1;
  /// The store serves two daemons at times, drawn anew, for so long that the
  /// leases of the others expire.
  bool FewServed = false;
};

/// Plays changes of the configuration in series, while up to a third of the
/// daemons, or all but two, cannot use the store and others are killed,
/// suspended or stopped. Each daemon is asked for routes and keys that were
/// added or removed longer ago than the deadline. Returns what the daemons got
/// wrong.
std::vector<std::string> playChanges(const ChangePlay &Played);

} // namespace mangodeck::soak

#endif
