#ifndef MANGODECK_PROCESS_RENDEZVOUS_H
#define MANGODECK_PROCESS_RENDEZVOUS_H

#include "mangodeck/common/ids.h"

#include <span>
#include <string_view>

namespace mangodeck {

/// Selects the candidate with the highest hash of (candidate, key): rendezvous
/// hashing (Thaler and Ravishankar, 1998). When a candidate is removed, only
/// its own keys move; a new one takes an equal share from each of the others.
/// Linear in the number of candidates. Null if there is none.
const VmName *selectByRendezvous(std::span<const VmName> Candidates,
                                 std::string_view Key);

} // namespace mangodeck

#endif
