#ifndef MANGODECK_PROCESS_RENDEZVOUS_H
#define MANGODECK_PROCESS_RENDEZVOUS_H

#include "mangodeck/common/ids.h"

#include <span>
#include <string_view>

namespace mangodeck {

/// Chooses the candidate with the highest hash of (candidate, key): rendezvous
/// hashing (Thaler and Ravishankar, 1998). When a candidate goes, only its own
/// keys move; when one comes, it takes an equal share from each. Linear in the
/// number of candidates. Null if there is none.
const VmName *selectByRendezvous(std::span<const VmName> Candidates,
                                 std::string_view Key);

} // namespace mangodeck

#endif
