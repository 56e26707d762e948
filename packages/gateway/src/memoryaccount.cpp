#include "mangodeck/gateway/memoryaccount.h"

#include <algorithm>
#include <cassert>

namespace mangodeck {

namespace {

/// Part of a pool that long heads or bodies leave for short ones, and long
/// answers for short ones. The latter is small: of six answers of 4.19 MB at a
/// daemon of 110 MB none may be given up.
constexpr std::size_t ShortDivisor = 4;
constexpr std::size_t ShortAnswerDivisor = 16;
constexpr std::size_t MaxShortHeadBytes = 4 << 10;
constexpr std::size_t MaxShortBytes = 64 << 10; ///< Of bodies and answers.
/// Part of the room for long bodies that one owner may take under pressure. It
/// may always have one.
constexpr std::size_t OwnerDivisor = 2;
/// Time after a refusal for which that holds; the bodies of a crowd that has
/// stopped in their middle are given up before.
constexpr Duration OwnerLimitTime = 5s;
/// Smallest room for heads: a connection with the longest head of ordinary
/// fields, and some more.
constexpr std::size_t MinHeadBytes = 256 << 10;

std::size_t shareOf(std::size_t LimitBytes, double Share) {
  return static_cast<std::size_t>(static_cast<double>(LimitBytes) * Share);
}

bool isLong(MemoryPool Pool, std::size_t Total) {
  return Total >
         (Pool == MemoryPool::Heads ? MaxShortHeadBytes : MaxShortBytes);
}

} // namespace

MemoryPool poolOf(http::MemoryUse Use) {
  switch (Use) {
  case http::MemoryUse::Head:
  case http::MemoryUse::ReadAhead:
    return MemoryPool::Heads;
  case http::MemoryUse::Body:
    return MemoryPool::Bodies;
  case http::MemoryUse::Answer:
    return MemoryPool::Answers;
  case http::MemoryUse::Unread:
    break;
  }
  return MemoryPool::Unread;
}

std::string_view nameOf(MemoryPool Pool) {
  switch (Pool) {
  case MemoryPool::Heads:
    return "heads";
  case MemoryPool::Bodies:
    return "bodies";
  case MemoryPool::Answers:
    return "answers";
  case MemoryPool::Unread:
    break;
  }
  return "unread";
}

MemoryAccount::MemoryAccount(std::size_t LimitBytes,
                             const MemoryShares &Shares) {
  entry(MemoryPool::Heads).Limit =
      std::max(MinHeadBytes, shareOf(LimitBytes, Shares.Heads));
  entry(MemoryPool::Bodies).Limit = shareOf(LimitBytes, Shares.Bodies);
  entry(MemoryPool::Answers).Limit = shareOf(LimitBytes, Shares.Answers);
  entry(MemoryPool::Unread).Limit = shareOf(LimitBytes, Shares.Unread);
  for (auto &Each : m_Entries)
    Each.LongLimit = Each.Limit - Each.Limit / ShortDivisor;
  auto &Answers = entry(MemoryPool::Answers);
  Answers.LongLimit = Answers.Limit - Answers.Limit / ShortAnswerDivisor;
  // What the system keeps of a connection does not become longer.
  entry(MemoryPool::Unread).LongLimit = entry(MemoryPool::Unread).Limit;
}

bool MemoryAccount::needsOwner(http::MemoryUse Use, std::size_t Total,
                               TimePoint Now) const {
  return Use == http::MemoryUse::Body && isLong(MemoryPool::Bodies, Total) &&
         m_LongBodyRefusedAt != TimePoint{} &&
         Now - m_LongBodyRefusedAt < OwnerLimitTime;
}

bool MemoryAccount::reserve(const MemoryDemand &Demand, TimePoint Now) {
  const auto Pool = poolOf(Demand.Use);
  auto &Entry = entry(Pool);
  const bool Long = isLong(Pool, Demand.Total);
  const bool HasRoom =
      Entry.Bytes + Demand.Bytes <= (Long ? Entry.LongLimit : Entry.Limit);
  const bool IsOwnersShareTaken =
      needsOwner(Demand.Use, Demand.Total, Now) && Demand.OwnerBytes > 0 &&
      Demand.OwnerBytes + Demand.Total > Entry.LongLimit / OwnerDivisor;
  if (!HasRoom || IsOwnersShareTaken) {
    if (Long && Pool == MemoryPool::Bodies && !HasRoom)
      m_LongBodyRefusedAt = Now;
    return false;
  }
  Entry.Bytes += Demand.Bytes;
  return true;
}

void MemoryAccount::overdraw(MemoryPool Pool, std::size_t Bytes) {
  entry(Pool).Bytes += Bytes;
}

void MemoryAccount::release(MemoryPool Pool, std::size_t Bytes) {
  auto &Entry = entry(Pool);
  assert(Bytes <= Entry.Bytes && "more is released than was reserved");
  Entry.Bytes -= Bytes;
}

std::optional<std::size_t>
chooseToGiveUp(std::span<const http::HeldMemory> Holders, Duration StallTime,
               TimePoint Now) {
  std::optional<std::size_t> Chosen;
  double Largest = 0;
  for (std::size_t Index = 0; Index < Holders.size(); ++Index) {
    const auto &Each = Holders[Index];
    const auto Stalled = Now - Each.StalledSince;
    if (Each.Bytes == 0 || Stalled < StallTime)
      continue;
    const auto Product = static_cast<double>(Each.Bytes) * toSeconds(Stalled);
    if (Product > Largest) {
      Largest = Product;
      Chosen = Index;
    }
  }
  return Chosen;
}

} // namespace mangodeck
