#ifndef MANGODECK_GATEWAY_EVENTLOG_H
#define MANGODECK_GATEWAY_EVENTLOG_H

#include "mangodeck/common/units.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace mangodeck {

/// A span in whole milliseconds, as it is logged.
std::int64_t toMs(Duration Span);

/// Milliseconds from \p Then to \p Now; -1 if \p Then is unset.
std::int64_t ageMs(TimePoint Then, TimePoint Now);

/// How much a lost line would matter.
enum class LogLevel : std::uint8_t {
  Ordinary,  ///< A request that ended well.
  Important, ///< A failure, or a change of what the daemon believes.
};

/// Writes one JSON object a line to a descriptor, without ever blocking.
/// Lines wait in a bounded buffer; when the reader is slow, ordinary lines are
/// dropped first, and a line with their number follows.
class EventLog {
public:
  /// \p Descriptor is set to non-blocking. \p Capacity bounds waiting bytes.
  EventLog(int Descriptor, std::string Daemon, std::string Incarnation,
           std::size_t Capacity);

  /// Queues a line. Fields: t (wall clock, ms), up (steady clock, ms), event,
  /// then those of \p Fields.
  void write(std::string_view Event, nlohmann::ordered_json Fields,
             LogLevel Weight = LogLevel::Important);
  /// Hands waiting lines to the descriptor; called a few times a second.
  void flush();
  std::uint64_t droppedLines() const { return m_DroppedTotal; }
  /// Least weight that is written at all.
  void setMinLevel(LogLevel Least) { m_Least = Least; }

private:
  void append(std::string_view Event, const nlohmann::ordered_json &Fields);

  int m_Descriptor;
  std::string m_Daemon;
  std::string m_Incarnation;
  std::size_t m_Capacity;
  std::string m_Buffer;
  std::uint64_t m_Dropped = 0;
  std::uint64_t m_DroppedTotal = 0;
  LogLevel m_Least = LogLevel::Ordinary;
};

} // namespace mangodeck

#endif
