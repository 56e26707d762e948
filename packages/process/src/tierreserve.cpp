#include "tierreserve.h"

#include <algorithm>

namespace mangodeck {

void TierReserve::configure(std::span<const Tier> Tiers) {
  std::map<TierRank, Account> Accounts;
  for (const auto &Entry : Tiers) {
    const auto It = m_Accounts.find(Entry.Rank);
    const double Credit = It == m_Accounts.end() ? 0 : It->second.Credit;
    Accounts[Entry.Rank] = {std::clamp(Entry.Reserve, 0.0, 1.0), Credit};
  }
  m_Accounts = std::move(Accounts);
}

std::optional<TierRank> TierReserve::due(const TierQueue &Queue) const {
  for (const auto &[Rank, Account] : m_Accounts) {
    if (Account.Credit <= 0)
      continue;
    const auto *Next = Queue.front(Rank);
    if (Next && Account.Credit >= static_cast<double>(costOf(Next->Request)))
      return Rank;
  }
  return std::nullopt;
}

void TierReserve::onDispatched(TierRank Served, TokenCount Tokens,
                               const TierQueue &Queue) {
  for (auto &[Rank, Account] : m_Accounts) {
    const auto Cost = static_cast<double>(Tokens);
    if (Rank == Served)
      Account.Credit = std::max(0.0, Account.Credit - Cost);
    else if (!Queue.front(Rank))
      Account.Credit = 0;
    else if (Rank > Served)
      Account.Credit += Account.Share * Cost;
  }
}

} // namespace mangodeck
