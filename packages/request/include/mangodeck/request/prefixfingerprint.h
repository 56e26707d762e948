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

/// Bytes of text assumed per token, since no tokenizer is used.
constexpr std::size_t BytesPerToken = 4;
constexpr TokenCount TokensPerPrefixBlock = 256;
constexpr std::size_t MaxPrefixBlocks = 16;

/// Estimated number of tokens of \p Text, rounded up.
TokenCount estimateTokens(std::string_view Text);

/// Chained xxHash values of the leading full blocks of \p Prompt, at most
/// MaxPrefixBlocks; a partial block at the end is left out. The chain starts
/// from \p Model, so that equal values mean an equal prefix for the same model.
/// Linear in the hashed bytes.
std::vector<std::uint64_t> hashPrefixBlocks(std::string_view Model,
                                            std::string_view Prompt);

/// Hash of a request's service, method, path and body, without its headers; a
/// repeated request has the same value.
std::uint64_t hashRequest(std::string_view Service, std::string_view Method,
                          std::string_view Path, std::string_view Body);

/// Writes block hashes as 16 hexadecimal digits each, separated by commas.
std::string formatPrefixBlocks(std::span<const std::uint64_t> Blocks);

} // namespace mangodeck

#endif
