#ifndef MANGODECK_GATEWAY_EVENTFRAMES_H
#define MANGODECK_GATEWAY_EVENTFRAMES_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// Splits the bytes of a text/event-stream into whole events. An event ends
/// with an empty line, which belongs to it.
class EventFrames {
public:
  void append(std::string_view Bytes) { m_Buffer.append(Bytes); }
  /// Takes the next whole event; std::nullopt if there is none.
  std::optional<std::string> next();
  /// Bytes of an incomplete event.
  std::size_t pendingBytes() const { return m_Buffer.size(); }
  void clear() { m_Buffer.clear(); }

private:
  std::string m_Buffer;
};

/// The numeric id of an event; std::nullopt if it has none.
std::optional<std::int64_t> eventId(std::string_view Event);

} // namespace mangodeck

#endif
