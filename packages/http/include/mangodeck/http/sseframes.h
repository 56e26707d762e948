#ifndef MANGODECK_HTTP_SSEFRAMES_H
#define MANGODECK_HTTP_SSEFRAMES_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// Splits the bytes of a text/event-stream into whole frames. A frame ends
/// with an empty line, which belongs to it.
class SseFrames {
public:
  void append(std::string_view Bytes) { m_Buffer.append(Bytes); }

  /// Takes the next whole frame, byte for byte; std::nullopt if there is none.
  std::optional<std::string> next();

  /// Bytes of an incomplete frame.
  std::size_t pendingBytes() const { return m_Buffer.size() - m_Start; }

  void clear();

private:
  std::string m_Buffer;
  std::size_t m_Start = 0;   ///< Of the frame that next() returns.
  std::size_t m_Scanned = 0; ///< No frame ends before here.
};

/// Value of the first field \p Name ("data", "event") of a frame, without the
/// space after the colon; empty if it is absent.
std::string_view findSseField(std::string_view Frame, std::string_view Name);

} // namespace mangodeck

#endif
