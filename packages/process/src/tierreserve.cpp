#include "tierreserve.h"

#include <algorithm>

namespace mangodeck {

void TierReserve::configure(std::span<const Tier> Tiers) {
  std::map<TierRank, Account> Accounts;
  for (const auto &Entry : Tiers) {
    const auto It = m_Accounts.find(Entry.Rank);
    const double CreditTokens =
        It == m_Accounts.end() ? 0 : It->second.CreditTokens;
    Accounts[Entry.Rank] = {std::clamp(Entry.Reserve, 0.0, 1.0), CreditTokens};
  }
  m_Accounts = std::move(Accounts);
}

std::optional<TierRank> TierReserve::dueTier(const TierQueue &Queue) const {
  for (const auto &[Rank, Account] : m_Accounts) {
    if (Account.CreditTokens <= 0)
      continue;
    const auto *Next = Queue.front(Rank);
    if (Next && Account.CreditTokens >=
                    static_cast<double>(costInTokens(Next->Request)))
      return Rank;
  }
  return std::nullopt;
}

void TierReserve::recordDispatch(TierRank DispatchedTier, TokenCount Tokens,
                                 const TierQueue &Queue) {
  for (auto &[Rank, Account] : m_Accounts) {
    const auto Cost = static_cast<double>(Tokens);
    if (Rank == DispatchedTier)
      Account.CreditTokens = std::max(0.0, Account.CreditTokens - Cost);
    else if (!Queue.front(Rank))
      Account.CreditTokens = 0;
    else if (Rank > DispatchedTier)
      Account.CreditTokens += Account.Share * Cost;
  }
}

} // namespace mangodeck
