#ifndef MANGODECK_PROCESS_TIERRESERVE_H
#define MANGODECK_PROCESS_TIERRESERVE_H

#include "tierqueue.h"

#include "mangodeck/version/snapshot.h"

#include <map>
#include <optional>
#include <span>

namespace mangodeck {

/// Keeps a share of the dispatched tokens for each tier's waiting requests, so
/// that lower tiers are not starved. Affects dispatch order only.
class TierReserve {
public:
  void configure(std::span<const Tier> Tiers);

  /// The tier whose credit covers its next ticket, if any; the highest first.
  std::optional<TierRank> due(const TierQueue &Queue) const;

  /// Books a dispatch of \p Tokens in \p Served: the tiers that wait below it
  /// earn their share, and a tier served from its credit pays.
  void onDispatched(TierRank Served, TokenCount Tokens, const TierQueue &Queue);

private:
  struct Account {
    double Share = 0;
    double Credit = 0;
  };
  std::map<TierRank, Account> m_Accounts;
};

} // namespace mangodeck

#endif
