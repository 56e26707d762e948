#include "mangodeck/request/prefixfingerprint.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace mangodeck {

namespace {

constexpr std::size_t BlockBytes =
    static_cast<std::size_t>(TokensPerPrefixBlock) * BytesPerToken;

std::uint64_t hashFrom(std::uint64_t Seed, std::string_view Text) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace

TokenCount estimateTokens(std::string_view Text) {
  return static_cast<TokenCount>((Text.size() + BytesPerToken - 1) /
                                 BytesPerToken);
}

std::vector<std::uint64_t> hashPrefixBlocks(std::string_view Model,
                                            std::string_view Prompt) {
  const auto Count = std::min(Prompt.size() / BlockBytes, MaxPrefixBlocks);
  std::vector<std::uint64_t> Blocks;
  Blocks.reserve(Count);
  std::uint64_t Chain = hashFrom(0, Model);
  for (std::size_t I = 0; I < Count; ++I) {
    Chain = hashFrom(Chain, Prompt.substr(I * BlockBytes, BlockBytes));
    Blocks.push_back(Chain);
  }
  return Blocks;
}

/// The length of each part is hashed too, so that moving a byte from one part
/// to the next changes the value.
std::uint64_t hashRequest(std::string_view Service, std::string_view Method,
                          std::string_view Path, std::string_view Body) {
  std::uint64_t Chain = 0;
  for (const auto Part : {Service, Method, Path, Body})
    Chain = hashFrom(Chain + Part.size(), Part);
  return Chain;
}

std::string formatPrefixBlocks(std::span<const std::uint64_t> Blocks) {
  std::string Text;
  for (const auto Block : Blocks)
    Text += fmt::format("{}{:016x}", Text.empty() ? "" : ",", Block);
  return Text;
}

} // namespace mangodeck
