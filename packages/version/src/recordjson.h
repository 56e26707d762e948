#ifndef MANGODECK_VERSION_SRC_RECORDJSON_H
#define MANGODECK_VERSION_SRC_RECORDJSON_H

#include "recorddecoder.h"

#include <nlohmann/json.hpp>

namespace mangodeck {

/// Parses a value of the store: an object of bounded depth, or std::nullopt.
std::optional<nlohmann::json> parseStoreJson(std::string_view Text);

/// Writes without exceptions; invalid UTF-8 is replaced.
std::string dumpJson(const nlohmann::json &Value);

/// A member of type string, or empty when it is missing or of another type.
std::string stringMember(const nlohmann::json &Object, const char *Name);

/// A member that is an unsigned integer, or 0.
std::uint64_t numberMember(const nlohmann::json &Object, const char *Name);

/// The canonical form: every field of the record's schema, with its default
/// where none was written, keys in order.
nlohmann::json toJson(const Record &Entry);

RawRecord toRawRecord(const nlohmann::json &Object, std::string_view Place);

} // namespace mangodeck

#endif
