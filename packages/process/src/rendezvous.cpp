#include "mangodeck/process/rendezvous.h"

#include <xxhash.h>

namespace mangodeck {

const VmName *selectByRendezvous(std::span<const VmName> Candidates,
                                 std::string_view Key) {
  const auto KeyHash = XXH3_64bits(Key.data(), Key.size());
  const VmName *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const auto &Candidate : Candidates) {
    const auto Score = XXH3_64bits_withSeed(Candidate.Text.data(),
                                            Candidate.Text.size(), KeyHash);
    const bool Better =
        !Best || Score > BestScore || (Score == BestScore && Candidate < *Best);
    if (!Better)
      continue;
    Best = &Candidate;
    BestScore = Score;
  }
  return Best;
}

} // namespace mangodeck
