#ifndef MANGODECK_HTTP_FIELDSECTION_H
#define MANGODECK_HTTP_FIELDSECTION_H

#include "mangodeck/http/message.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mangodeck::http {

/// Why a message was rejected.
enum class ParseFault : std::uint8_t {
  None,
  Malformed,    ///< Not valid HTTP/1.x, or the length is ambiguous.
  HeadTooLarge, ///< The head or the trailer exceeds the limit in bytes.
  BodyTooLarge, ///< The body exceeds the limit in bytes.
};

/// How much of a line has been read.
enum class LineState : std::uint8_t {
  Partial,
  Whole,
  Malformed, ///< No further bytes can make it valid.
};

/// Moves bytes from the front of \p Bytes to the end of \p Text, up to the CRLF
/// that ends the line, which begins at \p Begin of \p Text. A line that ends
/// with LF alone or holds another control character than HTAB is malformed:
/// some readers take such bytes for the end of a line, others do not.
LineState takeLine(std::string_view &Bytes, std::string &Text,
                   std::size_t Begin);

/// The lines of a message up to the empty line behind its fields: a head, or
/// the trailer of a chunked body. Each line is checked as soon as it is whole.
class FieldSection {
public:
  enum class Kind : std::uint8_t { RequestHead, AnswerHead, Trailer };

  explicit FieldSection(Kind What) : m_Kind(What) {}

  /// Prepares for the next section of at most \p MaxBytes.
  void reset(std::size_t MaxBytes);
  /// Takes bytes up to the end of the section; returns how many.
  std::size_t feed(std::string_view Bytes);

  bool isComplete() const { return m_Complete; }
  /// Bytes of the section have arrived. An empty line before a request line
  /// does not count (RFC 9112, 2.2).
  bool hasStarted() const { return !m_Bytes.empty(); }
  ParseFault fault() const { return m_Fault; }
  /// The rule that the section breaks, for a log.
  std::string_view faultText() const { return m_FaultText; }
  /// The bytes received so far.
  std::string_view bytes() const { return m_Bytes; }
  std::size_t capacity() const { return m_Bytes.capacity(); }
  /// The first line of a complete head, without its CRLF.
  std::string_view startLine() const;
  /// Appends the fields of a complete section to \p Fields.
  void copyFields(HeaderList &Fields) const;

private:
  bool isStartLine() const { return m_Kind != Kind::Trailer && m_Begin == 0; }
  void onLine(std::string_view Line);
  void fail(ParseFault Fault, std::string_view Text);

  Kind m_Kind;
  std::size_t m_MaxBytes = 0;
  std::string m_Bytes;
  std::size_t m_Begin = 0; ///< Of the line that is being read.
  bool m_Complete = false;
  ParseFault m_Fault = ParseFault::None;
  std::string_view m_FaultText;
};

} // namespace mangodeck::http

#endif
