#include "prefixcacheestimate.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Assumed size of a target's cache while the real one is unknown.
constexpr TokenCount DefaultCapacityTokens = 262144;

} // namespace

std::span<const TargetIndex>
PrefixCacheEstimate::holders(const Ticket &Request) const {
  if (Request.PrefixBlocks.empty())
    return {};
  const auto It = m_Holders.find(Request.PrefixBlocks.front());
  if (It == m_Holders.end())
    return {};
  return It->second.Targets;
}

std::size_t PrefixCacheEstimate::cachedBlocks(TargetIndex Target,
                                              const Ticket &Request) const {
  std::size_t Count = 0;
  for (const auto Block : Request.PrefixBlocks) {
    const auto It = m_Holders.find(Block);
    if (It == m_Holders.end())
      break;
    const auto &Targets = It->second.Targets;
    if (std::find(Targets.begin(), Targets.end(), Target) == Targets.end())
      break;
    ++Count;
  }
  return Count;
}

TokenCount PrefixCacheEstimate::cachedTokens(TargetIndex Target,
                                             const Ticket &Request) const {
  const auto Blocks = static_cast<TokenCount>(cachedBlocks(Target, Request));
  const TokenCount Tokens = Blocks * Request.TokensPerBlock;
  return std::clamp<TokenCount>(
      Tokens, 0, std::max<TokenCount>(0, Request.PromptTokens - 1));
}

PrefixCacheEstimate::TargetBlocks &
PrefixCacheEstimate::blocksOf(TargetIndex Target) {
  if (Target >= m_Targets.size())
    m_Targets.resize(Target + 1);
  auto &Blocks = m_Targets[Target];
  if (Blocks.CapacityTokens == 0)
    Blocks.CapacityTokens = DefaultCapacityTokens;
  return Blocks;
}

void PrefixCacheEstimate::setCapacity(TargetIndex Target, TokenCount Tokens) {
  blocksOf(Target).CapacityTokens = std::max<TokenCount>(1, Tokens);
}

/// Adds a block, or makes it the most recently used one. Linear in the targets
/// that hold the block, which are few.
void PrefixCacheEstimate::addBlock(TargetIndex Target, std::uint64_t Block) {
  auto &Blocks = blocksOf(Target);
  auto &Item = m_Holders[Block];
  const auto It = std::find(Item.Targets.begin(), Item.Targets.end(), Target);
  if (It != Item.Targets.end()) {
    const auto Position =
        Item.Positions[static_cast<std::size_t>(It - Item.Targets.begin())];
    Blocks.ByUse.splice(Blocks.ByUse.end(), Blocks.ByUse, Position);
    return;
  }
  Blocks.ByUse.push_back(Block);
  Item.Targets.push_back(Target);
  Item.Positions.push_back(std::prev(Blocks.ByUse.end()));
  const auto BlockCount = static_cast<TokenCount>(Blocks.ByUse.size());
  if (BlockCount > 1 && BlockCount * m_TokensPerBlock > Blocks.CapacityTokens)
    removeBlock(Target, Blocks.ByUse.front());
}

void PrefixCacheEstimate::removeBlock(TargetIndex Target, std::uint64_t Block) {
  const auto Item = m_Holders.find(Block);
  if (Item == m_Holders.end())
    return;
  auto &[Targets, Positions] = Item->second;
  const auto It = std::find(Targets.begin(), Targets.end(), Target);
  if (It == Targets.end())
    return;
  const auto Index = It - Targets.begin();
  m_Targets[Target].ByUse.erase(Positions[static_cast<std::size_t>(Index)]);
  Targets.erase(It);
  Positions.erase(Positions.begin() + Index);
  if (Targets.empty())
    m_Holders.erase(Item);
}

/// Adds the blocks from last to first, so that the leading ones, which more
/// prompts share, become the most recently used and are evicted last.
void PrefixCacheEstimate::recordPlacement(TargetIndex Target,
                                          const Ticket &Request) {
  const auto &Blocks = Request.PrefixBlocks;
  if (Request.TokensPerBlock > 0)
    m_TokensPerBlock = Request.TokensPerBlock;
  for (auto It = Blocks.rbegin(); It != Blocks.rend(); ++It)
    addBlock(Target, *It);
}

void PrefixCacheEstimate::applyCacheEvent(TargetIndex Target,
                                          const CacheEvent &Event) {
  const auto &Current = blocksOf(Target);
  const bool Restarted = Event.TargetIncarnation != Current.Started;
  if (Event.TargetIncarnation < Current.Started ||
      (!Restarted && Event.Sequence <= Current.Sequence))
    return;
  if (Restarted && Current.Started != 0)
    clearTarget(Target);
  auto &Blocks = m_Targets[Target];
  Blocks.Started = Event.TargetIncarnation;
  Blocks.Sequence = Event.Sequence;
  for (const auto Block : Event.Evicted)
    removeBlock(Target, Block);
  for (const auto Block : Event.Stored)
    addBlock(Target, Block);
}

void PrefixCacheEstimate::clearTarget(TargetIndex Target) {
  auto &Blocks = blocksOf(Target);
  while (!Blocks.ByUse.empty())
    removeBlock(Target, Blocks.ByUse.front());
}

} // namespace mangodeck
