#ifndef MANGODECK_REPLAY_RUNNER_H
#define MANGODECK_REPLAY_RUNNER_H

#include "mangodeck/replay/measures.h"
#include "mangodeck/replay/policy.h"
#include "mangodeck/replay/trace.h"
#include "mangodeck/version/snapshot.h"

#include <string_view>
#include <vector>

namespace mangodeck {

/// Replays \p Recorded with one policy in virtual time. The same arguments give
/// the same result, to the last bit of the signature.
ReplayResult replay(const Trace &Recorded, SnapshotPtr Config,
                    std::string_view PolicyName);

/// Replays with several policies.
std::vector<ReplayResult>
replayAll(const Trace &Recorded, SnapshotPtr Config,
          const std::vector<std::string> &PolicyNames);

} // namespace mangodeck

#endif
