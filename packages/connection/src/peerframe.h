#ifndef MANGODECK_CONNECTION_PEERFRAME_H
#define MANGODECK_CONNECTION_PEERFRAME_H

#include "mangodeck/common/error.h"

#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// Appends a frame: the body's length as a base-128 varint, then the body,
/// which is \p Body followed by \p Trailer.
void appendFrame(std::string &Out, std::string_view Body,
                 std::string_view Trailer = {});

/// Splits a stream of bytes into frames.
class FrameReader {
public:
  void append(std::string_view Bytes);

  /// The next whole frame's body, valid until the next call of append(), or
  /// std::nullopt if more bytes are needed. Errc::LimitExceeded if the frame
  /// is longer than \p MaxBytes.
  Expected<std::optional<std::string_view>> next(std::size_t MaxBytes);

  /// Takes the bytes after the last frame that was read.
  std::string takeRest();

private:
  std::string m_Buffer;
  std::size_t m_Offset = 0;
};

} // namespace mangodeck

#endif
