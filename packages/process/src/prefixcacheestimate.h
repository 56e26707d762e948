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

/// Estimates which prompt blocks each target holds in its prefix cache. A
/// request placed by this group counts as cached from the placement on; the
/// cache events of the targets correct the estimate. The blocks kept for a
/// target are bounded by the size of its cache; the least recently used block
/// is evicted.
class PrefixCacheEstimate {
public:
  /// The targets expected to hold the first block of \p Request.
  std::span<const TargetIndex> holders(const Ticket &Request) const;

  /// Number of leading blocks of \p Request that \p Target is expected to hold.
  std::size_t cachedBlocks(TargetIndex Target, const Ticket &Request) const;

  /// Number of leading prompt tokens that \p Target is expected to hold; always
  /// at least one less than the prompt has.
  TokenCount cachedTokens(TargetIndex Target, const Ticket &Request) const;

  /// Adds the prefix blocks of \p Request, which was placed on \p Target.
  void recordPlacement(TargetIndex Target, const Ticket &Request);

  /// Applies a cache event; one that is older than the last is ignored. An
  /// event of a later incarnation clears the target first. A gap in the
  /// sequence numbers clears nothing: if the eviction of a block was missed,
  /// the request costs a prefill that another target would have had to do as
  /// well.
  void applyCacheEvent(TargetIndex Target, const CacheEvent &Event);

  /// Removes all blocks of \p Target. Linear in their number.
  void clearTarget(TargetIndex Target);

  /// Bounds the blocks kept for \p Target to a cache of \p Tokens.
  void setCapacity(TargetIndex Target, TokenCount Tokens);

private:
  struct TargetBlocks {
    std::list<std::uint64_t> ByUse; ///< Least recently used first.
    TokenCount CapacityTokens = 0;  ///< In tokens.
    std::uint64_t Sequence = 0;     ///< Of the last event applied.
    std::uint64_t Started = 0;      ///< Incarnation of that event.
  };

  TargetBlocks &blocksOf(TargetIndex Target);
  void addBlock(TargetIndex Target, std::uint64_t Block);
  void removeBlock(TargetIndex Target, std::uint64_t Block);

  /// The targets that hold one block, with its position in each one's ByUse.
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
