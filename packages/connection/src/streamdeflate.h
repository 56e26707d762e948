#ifndef MANGODECK_CONNECTION_STREAMDEFLATE_H
#define MANGODECK_CONNECTION_STREAMDEFLATE_H

#include "mangodeck/common/error.h"

#include <memory>
#include <string>
#include <string_view>

struct z_stream_s;

namespace mangodeck {

/// Compresses one direction of a connection by raw DEFLATE (RFC 1951) with a
/// 4 KiB window. What was sent before shortens what follows: names of groups,
/// targets and customers come again in every message. Holds about 20 KiB.
class StreamDeflater {
public:
  StreamDeflater();
  ~StreamDeflater();
  StreamDeflater(const StreamDeflater &) = delete;
  StreamDeflater &operator=(const StreamDeflater &) = delete;

  /// Returns the compressed form of \p Bytes, from which the other end can
  /// restore all of them at once.
  std::string compress(std::string_view Bytes);

private:
  std::unique_ptr<z_stream_s> m_Stream;
};

/// Restores what a StreamDeflater compressed. Holds about 12 KiB.
class StreamInflater {
public:
  StreamInflater();
  ~StreamInflater();
  StreamInflater(const StreamInflater &) = delete;
  StreamInflater &operator=(const StreamInflater &) = delete;

  /// Appends what \p Bytes restore to \p Out. Errc::InvalidInput if they are
  /// no DEFLATE stream, Errc::LimitExceeded if they restore to more than
  /// \p MaxBytes; the stream is useless then.
  std::error_code restore(std::string_view Bytes, std::size_t MaxBytes,
                          std::string &Out);

private:
  std::unique_ptr<z_stream_s> m_Stream;
};

} // namespace mangodeck

#endif
