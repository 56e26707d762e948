#ifndef MANGODECK_PROCESS_TIERRESERVE_H
#define MANGODECK_PROCESS_TIERRESERVE_H

#include "tierqueue.h"

#include "mangodeck/version/snapshot.h"

#include <map>
#include <optional>
#include <span>

namespace mangodeck {

/// Reserves a share of the dispatched tokens for each tier with waiting
/// tickets, so that lower tiers are not starved. Affects only the dispatch
/// order.
class TierReserve {
public:
  void configure(std::span<const Tier> Tiers);

  /// The highest tier whose credit covers the cost of its next ticket.
  std::optional<TierRank> dueTier(const TierQueue &Queue) const;

  /// Records a dispatch of \p Tokens in \p DispatchedTier: waiting tiers below
  /// it gain their share as credit, the tier itself pays from its credit, and
  /// tiers with no ticket to dispatch lose theirs.
  void recordDispatch(TierRank DispatchedTier, TokenCount Tokens,
                      const TierQueue &Queue);

private:
  struct Account {
    double Share = 0; ///< Of the tokens dispatched in higher tiers, 0 to 1.
    double CreditTokens = 0;
  };
  std::map<TierRank, Account> m_Accounts;
};

} // namespace mangodeck

#endif
