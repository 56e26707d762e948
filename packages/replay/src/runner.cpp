#include "mangodeck/replay/runner.h"

#include "replayrun.h"

namespace mangodeck {

ReplayResult replay(const Trace &Recorded, SnapshotPtr Config,
                    std::string_view PolicyName) {
  ReplayRun Run(Recorded, std::move(Config), PolicyName);
  return Run.run();
}

std::vector<ReplayResult>
replayAll(const Trace &Recorded, SnapshotPtr Config,
          const std::vector<std::string> &PolicyNames) {
  std::vector<ReplayResult> Results;
  for (const auto &Name : PolicyNames)
    Results.push_back(replay(Recorded, Config, Name));
  return Results;
}

} // namespace mangodeck
