#include "mangodeck/process/bodybudget.h"

#include <algorithm>

namespace mangodeck {

namespace {

std::size_t indexOf(TierRank Tier) {
  return std::min<std::size_t>(Tier, BodyBudget::MaxTiers - 1);
}

} // namespace

void BodyBudget::add(TierRank Tier, std::uint64_t Bytes) {
  m_Bytes[indexOf(Tier)].fetch_add(Bytes, std::memory_order_relaxed);
}

void BodyBudget::remove(TierRank Tier, std::uint64_t Bytes) {
  m_Bytes[indexOf(Tier)].fetch_sub(Bytes, std::memory_order_relaxed);
}

bool BodyBudget::isExceeded() const { return bytes() > m_LimitBytes; }

std::optional<TierRank> BodyBudget::lowestWaitingTier() const {
  for (std::size_t I = MaxTiers; I-- > 0;)
    if (m_Bytes[I].load(std::memory_order_relaxed) > 0)
      return static_cast<TierRank>(I);
  return std::nullopt;
}

std::uint64_t BodyBudget::bytes() const {
  std::uint64_t Sum = 0;
  for (const auto &Tier : m_Bytes)
    Sum += Tier.load(std::memory_order_relaxed);
  return Sum;
}

} // namespace mangodeck
