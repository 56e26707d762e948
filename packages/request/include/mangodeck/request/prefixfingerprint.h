#ifndef MANGODECK_REQUEST_PREFIXFINGERPRINT_H
#define MANGODECK_REQUEST_PREFIXFINGERPRINT_H

#include "mangodeck/common/units.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// Bytes of text that are counted as one token where no tokenizer is at hand.
constexpr std::size_t BytesPerToken = 4;
constexpr TokenCount TokensPerPrefixBlock = 256;
constexpr std::size_t MaxPrefixBlocks = 16;

/// Number of tokens that \p Text is expected to have, rounded up.
TokenCount estimateTokens(std::string_view Text);

/// Chained xxhash values of the leading whole blocks of \p Prompt, at most
/// MaxPrefixBlocks. The chain starts from \p Model, so that equal values mean
/// an equal prefix for the same model. Linear in the hashed bytes.
std::vector<std::uint64_t> hashPrefixBlocks(std::string_view Model,
                                            std::string_view Prompt);

/// Hash of a whole request; one that is sent again has the same value.
std::uint64_t hashRequest(std::string_view Service, std::string_view Method,
                          std::string_view Path, std::string_view Body);

/// Writes block hashes as 16 hexadecimal digits each, separated by commas.
std::string formatPrefixBlocks(std::span<const std::uint64_t> Blocks);

} // namespace mangodeck

#endif
