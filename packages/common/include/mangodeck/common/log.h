#ifndef MANGODECK_COMMON_LOG_H
#define MANGODECK_COMMON_LOG_H

#include <fmt/format.h>

#include <string_view>

namespace mangodeck {

/// Writes one line to standard error: the time, \p Event and \p Fields, which
/// are key=value pairs. Use it for changes of state only; events that recur in
/// normal operation are counted in metrics instead.
void logLine(std::string_view Event, std::string_view Fields);

/// logLine() with formatted fields: logEvent("store_down", "error={}", E).
template <typename... Args>
void logEvent(std::string_view Event, fmt::format_string<Args...> Format,
              Args &&...Values) {
  logLine(Event, fmt::format(Format, std::forward<Args>(Values)...));
}

} // namespace mangodeck

#endif
