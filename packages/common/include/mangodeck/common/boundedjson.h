#ifndef MANGODECK_COMMON_BOUNDEDJSON_H
#define MANGODECK_COMMON_BOUNDEDJSON_H

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace mangodeck {

/// Deepest nesting of arrays and objects that is read. What this project and
/// its platform write is nested less than ten deep.
constexpr std::size_t MaxJsonDepth = 32;

/// Largest magnitude of a number with a fraction or an exponent; others are
/// read as null. Casts of such numbers to 64-bit integers are defined.
constexpr double MaxJsonFloat = 1e15;

/// Reads JSON text of another writer. Returns a discarded value (see
/// nlohmann::json::is_discarded()) if \p Text is not JSON or is nested deeper
/// than MaxJsonDepth. Never throws. Stops at the first fault, so the memory
/// that a deeply nested text takes is bounded by the text itself.
nlohmann::json parseBoundedJson(std::string_view Text);

/// The same for MessagePack. The library reads nested values by recursion, so
/// the bound also limits the stack that a datagram takes.
nlohmann::json parseBoundedMessagePack(std::string_view Bytes);

/// The integer \p Value; std::nullopt if it is no integer within \p Min and
/// \p Max. The library's own conversion truncates.
std::optional<std::int64_t> integerWithin(const nlohmann::json &Value,
                                          std::int64_t Min, std::int64_t Max);

} // namespace mangodeck

#endif
