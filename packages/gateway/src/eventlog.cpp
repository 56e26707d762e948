#include "mangodeck/gateway/eventlog.h"

#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace mangodeck {

namespace {

/// Ordinary lines are dropped beyond this part of the buffer; the rest is
/// kept for important ones.
constexpr double OrdinaryPart = 0.5;
/// Bytes after which lines are written without waiting for the next flush.
constexpr std::size_t WriteThreshold = 16 << 10;

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
      m_Incarnation(std::move(Incarnation)), m_Capacity(Capacity) {
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
                     LogLevel Weight) {
  if (Weight < m_Least)
    return;
  const auto Limit = Weight == LogLevel::Important
                         ? m_Capacity
                         : static_cast<std::size_t>(
                               static_cast<double>(m_Capacity) * OrdinaryPart);
  if (m_Buffer.size() >= Limit) {
    ++m_Dropped;
    ++m_DroppedTotal;
    return;
  }
  append(Event, Fields);
  if (m_Buffer.size() >= WriteThreshold)
    flush();
}

void EventLog::flush() {
  while (!m_Buffer.empty()) {
    const auto Count = ::write(m_Descriptor, m_Buffer.data(), m_Buffer.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      return; // The reader is slow or gone; lines wait, then are dropped.
    m_Buffer.erase(0, static_cast<std::size_t>(Count));
  }
  if (m_Dropped > 0) {
    const auto Count = m_Dropped;
    m_Dropped = 0;
    append("log_dropped", {{"lines", Count}});
  }
}

} // namespace mangodeck
