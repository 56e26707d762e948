#ifndef MANGODECK_COMMON_BASE64_H
#define MANGODECK_COMMON_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// Standard base64 with padding (RFC 4648, section 4).
std::string encodeBase64(std::string_view Bytes);
/// Returns std::nullopt if \p Text is not such base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace mangodeck

#endif
