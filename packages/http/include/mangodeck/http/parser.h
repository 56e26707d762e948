#ifndef MANGODECK_HTTP_PARSER_H
#define MANGODECK_HTTP_PARSER_H

#include "mangodeck/http/bodyreader.h"
#include "mangodeck/http/message.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangodeck::http {

/// Parses HTTP/1.1 requests from a stream of bytes, one at a time. A message
/// that another reader could take for a different one is rejected: the bytes
/// behind it could be taken for another request (docs/HTTP.md).
class RequestParser {
public:
  RequestParser(MessageSink &Sink, std::size_t MaxHeadBytes,
                std::size_t MaxBodyBytes);

  /// Parses bytes up to the end of the current request. Returns how many were
  /// consumed; the rest belongs to the next request.
  std::size_t feed(std::string_view Bytes);
  /// Prepares the parser for the next request.
  void reset();

  bool isComplete() const { return m_HasHead && m_Body.isComplete(); }
  bool hasStarted() const { return m_Section.hasStarted(); }
  bool hasHead() const { return m_HasHead; }
  ParseFault fault() const { return m_Fault; }
  /// The rule that the request breaks, for a log.
  std::string_view faultText() const { return m_FaultText; }
  RequestHead &head() { return m_Head; }
  /// The bytes of the head received so far.
  std::string_view headBytes() const { return m_Section.bytes(); }
  /// Memory that the head takes. The strings of a field take many times the
  /// bytes of a short one.
  std::size_t heldBytes() const {
    return m_Section.capacity() + (m_HasHead ? m_Section.bytes().size() : 0) +
           m_Head.Fields.fields().capacity() * sizeof(HeaderField);
  }

private:
  void onSection();
  void setFault(ParseFault Fault, std::string_view Text);

  MessageSink &m_Sink;
  std::size_t m_MaxHeadBytes;
  std::size_t m_MaxBodyBytes;
  FieldSection m_Section{FieldSection::Kind::RequestHead};
  RequestHead m_Head;
  BodyReader m_Body;
  bool m_HasHead = false;
  ParseFault m_Fault = ParseFault::None;
  std::string_view m_FaultText;
};

/// Parses the answer to one request; interim answers (1xx) are skipped. It is
/// as strict as RequestParser.
class ResponseParser {
public:
  explicit ResponseParser(MessageSink &Sink);

  /// Parses bytes up to the end of the answer; returns how many were consumed.
  std::size_t feed(std::string_view Bytes);
  /// Call this when the server has closed the connection cleanly: it completes
  /// an answer whose body ends with the connection.
  void finish();
  /// Prepares the parser for the next answer. With \p IsHeadRequest it answers
  /// a HEAD request and has no body.
  void reset(bool IsHeadRequest);

  bool isComplete() const { return m_HasHead && m_Body.isComplete(); }
  bool hasStarted() const { return m_Started; }
  bool hasHead() const { return m_HasHead; }
  bool isMalformed() const { return m_Malformed; }
  /// The rule that a malformed answer breaks, for a log.
  std::string_view faultText() const { return m_FaultText; }
  ResponseHead &head() { return m_Head; }

private:
  void onSection();
  void fail(std::string_view Text);

  MessageSink &m_Sink;
  FieldSection m_Section{FieldSection::Kind::AnswerHead};
  ResponseHead m_Head;
  BodyReader m_Body;
  std::size_t m_InterimBytes = 0; ///< Of the interim answers.
  bool m_IsHeadRequest = false;
  bool m_Started = false;
  bool m_HasHead = false;
  bool m_Malformed = false;
  std::string_view m_FaultText;
};

} // namespace mangodeck::http

#endif
