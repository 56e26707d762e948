#ifndef MANGODECK_COMMON_LOG_H
#define MANGODECK_COMMON_LOG_H

#include <fmt/format.h>

#include <string_view>

namespace mangodeck {

/// Writes one line to standard error: time, \p Event, then \p Fields, which
/// are key=value pairs. For changes of state only; repeated events are
/// counted in metrics instead.
void logLine(std::string_view Event, std::string_view Fields);

/// Formats the fields of a log line: logEvent("store_down", "error={}", E).
template <typename... Args>
void logEvent(std::string_view Event, fmt::format_string<Args...> Format,
              Args &&...Values) {
  logLine(Event, fmt::format(Format, std::forward<Args>(Values)...));
}

} // namespace mangodeck

#endif
