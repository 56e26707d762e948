#ifndef MANGODECK_PROCESS_BODYBUDGET_H
#define MANGODECK_PROCESS_BODYBUDGET_H

#include "mangodeck/common/ids.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

namespace mangodeck {

/// Memory that waiting requests' bodies take in this process, by tier. Shared
/// by all entry shards without locks.
class BodyBudget {
public:
  static constexpr std::size_t MaxTiers = 16;

  explicit BodyBudget(std::uint64_t LimitBytes) : m_LimitBytes(LimitBytes) {}

  void add(TierRank Tier, std::uint64_t Bytes);
  void remove(TierRank Tier, std::uint64_t Bytes);

  bool isExceeded() const;

  /// Lowest tier that has waiting bodies.
  std::optional<TierRank> lowestWaitingTier() const;

  std::uint64_t bytes() const;

private:
  std::uint64_t m_LimitBytes;
  std::array<std::atomic<std::uint64_t>, MaxTiers> m_Bytes{};
};

} // namespace mangodeck

#endif
