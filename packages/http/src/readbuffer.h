#ifndef MANGODECK_HTTP_READBUFFER_H
#define MANGODECK_HTTP_READBUFFER_H

#include <array>
#include <cstddef>
#include <span>

namespace mangodeck::http {

/// The buffer into which all connections of a thread read. A connection waits
/// until its socket is readable and handles what it reads before it returns to
/// the event loop, so none needs a buffer of its own: 8 KB each were 23 MB at
/// the limit of descriptors of the smallest VM.
inline std::span<char> readBuffer() {
  thread_local std::array<char, 16384> Buffer;
  return Buffer;
}

/// Reads in one call of the event loop. More would delay other connections.
inline constexpr int MaxReadsAtOnce = 4;

} // namespace mangodeck::http

#endif
