#ifndef MANGODECK_HTTP_BODYREADER_H
#define MANGODECK_HTTP_BODYREADER_H

#include "mangodeck/http/fieldsection.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mangodeck::http {

/// Receives the parts of a message from a parser.
class MessageSink {
public:
  virtual ~MessageSink() = default;
  /// The head is complete; the parser's head() returns it.
  virtual void onHead() = 0;
  virtual void onBody(std::string_view Bytes) = 0;
};

/// What ends a body (RFC 9112, 6.3).
enum class BodyEnd : std::uint8_t { None, Length, Chunks, Connection };

/// How the head of a message delimits its body.
struct BodyFraming {
  BodyEnd End = BodyEnd::None;
  std::uint64_t Length = 0; ///< With BodyEnd::Length.
};

/// Reads the body of a message. Chunks are decoded; their extensions and the
/// trailer are checked and dropped.
class BodyReader {
public:
  /// Prepares for a body of at most \p MaxBytes, with a trailer of at most
  /// \p MaxTrailerBytes.
  void reset(const BodyFraming &Framing, std::uint64_t MaxBytes,
             std::size_t MaxTrailerBytes);
  /// Takes bytes up to the end of the body and passes the content to \p Sink;
  /// returns how many.
  std::size_t feed(std::string_view Bytes, MessageSink &Sink);
  /// The connection has ended, in order.
  void finish();

  bool isComplete() const { return m_State == State::Complete; }
  ParseFault fault() const { return m_Fault; }
  /// The rule that the body breaks, for a log.
  std::string_view faultText() const { return m_FaultText; }

private:
  enum class State : std::uint8_t {
    Data, ///< Of a body with a length, or of a chunk.
    ToEndOfConnection,
    ChunkLine, ///< Size and extensions.
    ChunkEnd,  ///< The CRLF behind the data of a chunk.
    Trailer,
    Complete
  };

  void startData(std::uint64_t Size);
  void takeChunkLine(std::string_view &Bytes);
  void onChunkLine(std::string_view Line);
  void takeChunkEnd(std::string_view &Bytes);
  void takeTrailer(std::string_view &Bytes);
  void fail(ParseFault Fault, std::string_view Text);

  State m_State = State::Complete;
  bool m_IsChunked = false;
  std::uint64_t m_Missing = 0;   ///< Bytes of the length, or of the chunk.
  std::uint64_t m_BodyBytes = 0; ///< That the framing has announced.
  std::uint64_t m_MaxBytes = 0;
  std::size_t m_MaxTrailerBytes = 0;
  std::string m_Line; ///< A line of the chunks that is not whole.
  FieldSection m_Trailer{FieldSection::Kind::Trailer};
  ParseFault m_Fault = ParseFault::None;
  std::string_view m_FaultText;
};

} // namespace mangodeck::http

#endif
