#ifndef MANGODECK_PROCESS_BODYBUDGET_H
#define MANGODECK_PROCESS_BODYBUDGET_H

#include "mangodeck/common/ids.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

namespace mangodeck {

/// Counts the bytes of waiting requests' bodies in this process by tier,
/// against one limit for all. Shared by all entry shards without locks.
class BodyBudget {
public:
  /// Lower tiers are counted together with the last one.
  static constexpr std::size_t MaxTiers = 16;

  explicit BodyBudget(std::uint64_t LimitBytes) : m_LimitBytes(LimitBytes) {}

  void add(TierRank Tier, std::uint64_t Bytes);
  void remove(TierRank Tier, std::uint64_t Bytes);

  bool isExceeded() const;

  /// Lowest tier (highest rank) that has waiting bodies; std::nullopt if none
  /// has.
  std::optional<TierRank> lowestWaitingTier() const;

  /// Sum over all tiers.
  std::uint64_t bytes() const;

private:
  std::uint64_t m_LimitBytes;
  std::array<std::atomic<std::uint64_t>, MaxTiers> m_Bytes{};
};

} // namespace mangodeck

#endif
