#ifndef MANGODECK_PROCESS_PREFIXCACHEESTIMATE_H
#define MANGODECK_PROCESS_PREFIXCACHEESTIMATE_H

#include "mangodeck/request/targetreport.h"
#include "mangodeck/request/ticket.h"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// Position of a target in its dispatch group.
using TargetIndex = std::uint32_t;

/// Which prompt prefixes the targets are believed to hold. Own placements
/// count at once; the targets' cache events correct them. The blocks remembered
/// for a target are bounded by the size of its cache; the least recently used
/// one goes.
class PrefixCacheEstimate {
public:
  /// Targets believed to hold the first block of \p Request, and no others.
  std::span<const TargetIndex> holders(const Ticket &Request) const;

  /// Leading blocks of \p Request that \p Target is believed to hold.
  std::size_t cachedBlocks(TargetIndex Target, const Ticket &Request) const;

  /// Leading prompt tokens that \p Target is believed to hold; always at least
  /// one token less than the prompt.
  TokenCount cachedTokens(TargetIndex Target, const Ticket &Request) const;

  /// Books the placement of \p Request on \p Target.
  void recordPlacement(TargetIndex Target, const Ticket &Request);

  /// Takes a cache event over. A later incarnation starts with nothing. A gap
  /// in the sequence numbers drops nothing: a block that was evicted unseen
  /// costs a prefill that another target would have had to do as well.
  void applyCacheEvent(TargetIndex Target, const CacheEvent &Event);

  /// Drops what is believed of \p Target. Linear in its blocks.
  void clearTarget(TargetIndex Target);

  /// Bounds the blocks remembered for \p Target to a cache of \p Tokens.
  void setCapacity(TargetIndex Target, TokenCount Tokens);

private:
  struct TargetBlocks {
    std::list<std::uint64_t> ByUse; ///< Least recently used first.
    TokenCount Capacity = 0;        ///< In tokens.
    std::uint64_t Sequence = 0;
    std::uint64_t Started = 0;
  };

  TargetBlocks &blocksOf(TargetIndex Target);
  void add(TargetIndex Target, std::uint64_t Block);
  void drop(TargetIndex Target, std::uint64_t Block);

  struct Holders {
    std::vector<TargetIndex> Targets;
    std::vector<std::list<std::uint64_t>::iterator> Positions;
  };

  std::unordered_map<std::uint64_t, Holders> m_Holders;
  std::vector<TargetBlocks> m_Targets;
  TokenCount m_TokensPerBlock = 64; ///< Of the last placed ticket.
};

} // namespace mangodeck

#endif
