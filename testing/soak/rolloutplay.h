#ifndef MANGODECK_SOAK_ROLLOUTPLAY_H
#define MANGODECK_SOAK_ROLLOUTPLAY_H

#include <cstdint>
#include <string>
#include <vector>

namespace mangodeck::soak {

struct RolloutPlay {
  std::string Front;
  std::string Folder;
  std::uint64_t Seed = 1;
  unsigned Daemons = 6;
  unsigned Subnet = 1;
};

/// Plays a series of orders with real daemons: a good version, one whose
/// answers fail, one that is slow, one that fails later, and good ones while
/// daemons are killed or the store is away. Returns what the daemons got wrong.
std::vector<std::string> playRollouts(const RolloutPlay &Played);

} // namespace mangodeck::soak

#endif
