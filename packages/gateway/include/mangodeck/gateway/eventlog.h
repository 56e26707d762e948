#ifndef MANGODECK_GATEWAY_EVENTLOG_H
#define MANGODECK_GATEWAY_EVENTLOG_H

#include "mangodeck/common/units.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace mangodeck {

/// Converts to whole milliseconds for log fields.
std::int64_t toMs(Duration Span);

/// Milliseconds from \p Then to \p Now; -1 if \p Then is unset.
std::int64_t ageMs(TimePoint Then, TimePoint Now);

/// Importance of a log line; ordinary lines are dropped first.
enum class LogLevel : std::uint8_t {
  Ordinary,  ///< A request that succeeded.
  Important, ///< A failure, or a change of the daemon's state.
};

/// Writes log lines, one JSON object each, to a descriptor and never blocks.
/// Lines are buffered up to a limit. If the reader is slow and the buffer
/// fills, lines are dropped, ordinary ones first, and a later line reports the
/// number of dropped lines.
class EventLog {
public:
  /// Sets \p Descriptor to non-blocking. \p Capacity is the limit of the buffer
  /// in bytes.
  EventLog(int Descriptor, std::string Daemon, std::string Incarnation,
           std::size_t Capacity);

  /// Queues a line with the fields t (wall clock, ms), up (steady clock, ms),
  /// vm, inc (incarnation), event, and then those of \p Fields.
  void write(std::string_view Event, nlohmann::ordered_json Fields,
             LogLevel Level = LogLevel::Important);
  /// Writes the buffered lines to the descriptor until it would block. Called a
  /// few times a second.
  void flush();
  std::uint64_t droppedLines() const { return m_DroppedTotal; }
  /// Lines below \p Level are not written and not counted as dropped.
  void setMinLevel(LogLevel Level) { m_MinLevel = Level; }

private:
  void append(std::string_view Event, const nlohmann::ordered_json &Fields);

  int m_Descriptor;
  std::string m_Daemon;
  std::string m_Incarnation;
  std::size_t m_CapacityBytes;
  std::string m_Buffer;
  std::uint64_t m_UnreportedDrops = 0; ///< Since the last line about drops.
  std::uint64_t m_DroppedTotal = 0;
  LogLevel m_MinLevel = LogLevel::Ordinary;
};

} // namespace mangodeck

#endif
