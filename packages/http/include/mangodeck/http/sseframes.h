#ifndef MANGODECK_HTTP_SSEFRAMES_H
#define MANGODECK_HTTP_SSEFRAMES_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// Splits the bytes of a text/event-stream into complete frames. A frame
/// includes the empty line that ends it.
class SseFrames {
public:
  void append(std::string_view Bytes) { m_Buffer.append(Bytes); }

  /// Removes and returns the next complete frame, with its bytes unchanged;
  /// std::nullopt if there is none.
  std::optional<std::string> next();

  /// Bytes received that next() has not returned.
  std::size_t pendingBytes() const { return m_Buffer.size() - m_Start; }

  void clear();

private:
  std::string m_Buffer;
  std::size_t m_Start = 0;   ///< Start of the next frame in m_Buffer.
  std::size_t m_Scanned = 0; ///< next() looks for the end of a frame from here.
};

/// Value of the first field \p Name ("data", "event") of a frame, without the
/// line end and one space after the colon; empty if the frame has no such
/// field.
std::string_view findSseField(std::string_view Frame, std::string_view Name);

} // namespace mangodeck

#endif
