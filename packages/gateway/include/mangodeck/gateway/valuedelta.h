#ifndef MANGODECK_GATEWAY_VALUEDELTA_H
#define MANGODECK_GATEWAY_VALUEDELTA_H

#include "mangodeck/common/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// A value as the difference from an earlier one of the same key: the bytes of
/// a raw DEFLATE stream (RFC 1951) whose preset dictionary is the end of the
/// earlier value, without what both values begin with. A change of one route
/// takes some hundred bytes of a configuration of many kilobytes.
struct ValueDelta {
  std::int64_t BaseRevision = 0; ///< Of the earlier value.
  std::uint64_t ValueHash = 0;   ///< XXH3 of the value.
  std::uint32_t PrefixBytes = 0; ///< That both values begin with.
  std::uint32_t ValueBytes = 0;
  std::string Bytes;
};

/// The difference of \p Value from \p Base, whose revision is \p BaseRevision.
/// Takes time in proportion to both.
ValueDelta encodeValueDelta(std::string_view Base, std::int64_t BaseRevision,
                            std::string_view Value);

/// The value. Errc::WrongAnswer if \p Delta is invalid, is of another base, or
/// states more than the largest value of the store.
Expected<std::string> decodeValueDelta(std::string_view Base,
                                       const ValueDelta &Delta);

} // namespace mangodeck

#endif
