#include "mangodeck/gateway/eventlog.h"

#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace mangodeck {

namespace {

/// Share of the buffer that ordinary lines may fill. The rest is reserved for
/// important lines.
constexpr double OrdinaryShare = 0.5;
/// Number of buffered bytes from which write() flushes the buffer.
constexpr std::size_t FlushThresholdBytes = 16 << 10;

} // namespace

std::int64_t toMs(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

std::int64_t ageMs(TimePoint Then, TimePoint Now) {
  return Then == TimePoint{} ? -1 : toMs(Now - Then);
}

EventLog::EventLog(int Descriptor, std::string Daemon, std::string Incarnation,
                   std::size_t Capacity)
    : m_Descriptor(Descriptor), m_Daemon(std::move(Daemon)),
      m_Incarnation(std::move(Incarnation)), m_CapacityBytes(Capacity) {
  const int Flags = ::fcntl(m_Descriptor, F_GETFL, 0);
  if (Flags >= 0)
    ::fcntl(m_Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

void EventLog::append(std::string_view Event,
                      const nlohmann::ordered_json &Fields) {
  using namespace std::chrono;
  nlohmann::ordered_json Line;
  Line["t"] =
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count();
  Line["up"] =
      duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
          .count();
  Line["vm"] = m_Daemon;
  Line["inc"] = m_Incarnation;
  Line["event"] = Event;
  Line.update(Fields);
  m_Buffer.append(
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  m_Buffer.push_back('\n');
}

void EventLog::write(std::string_view Event, nlohmann::ordered_json Fields,
                     LogLevel Level) {
  if (Level < m_MinLevel)
    return;
  const auto LimitBytes =
      Level == LogLevel::Important
          ? m_CapacityBytes
          : static_cast<std::size_t>(static_cast<double>(m_CapacityBytes) *
                                     OrdinaryShare);
  if (m_Buffer.size() >= LimitBytes) {
    ++m_UnreportedDrops;
    ++m_DroppedTotal;
    return;
  }
  append(Event, Fields);
  if (m_Buffer.size() >= FlushThresholdBytes)
    flush();
}

void EventLog::flush() {
  while (!m_Buffer.empty()) {
    const auto Count = ::write(m_Descriptor, m_Buffer.data(), m_Buffer.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return; // The reader is slow or closed the descriptor: keep the lines.
    m_Buffer.erase(0, static_cast<std::size_t>(Count));
  }
  if (m_UnreportedDrops > 0) {
    const auto Count = m_UnreportedDrops;
    m_UnreportedDrops = 0;
    append("log_dropped", {{"lines", Count}});
  }
}

} // namespace mangodeck
