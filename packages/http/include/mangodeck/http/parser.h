#ifndef MANGODECK_HTTP_PARSER_H
#define MANGODECK_HTTP_PARSER_H

#include "mangodeck/http/bodyreader.h"
#include "mangodeck/http/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
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

  MessageSink &m_Sink;
  std::size_t m_MaxHeadBytes;
  std::size_t m_MaxBodyBytes;
  FieldSection m_Section{FieldSection::Kind::RequestHead};
  RequestHead m_Head;
  BodyReader m_Body;
  bool m_HasHead = false;
  ParseFault m_Fault = ParseFault::None;
};

/// Parses the answer to one request; interim answers (1xx) are skipped.
class ResponseParser {
public:
  explicit ResponseParser(MessageSink &Sink);
  ~ResponseParser();

  /// Parses bytes up to the end of the answer; returns how many were consumed.
  std::size_t feed(std::string_view Bytes);
  /// Call this when the server has closed the connection cleanly: it completes
  /// an answer whose body ends with the connection.
  void finish();
  /// Prepares the parser for the next answer. With \p IsHeadRequest it answers
  /// a HEAD request and has no body.
  void reset(bool IsHeadRequest);

  bool isComplete() const { return m_Complete; }
  bool hasStarted() const { return m_Started; }
  bool hasHead() const { return m_HasHead; }
  bool isMalformed() const { return m_Malformed; }
  ResponseHead &head() { return m_Head; }

private:
  struct Impl;
  MessageSink &m_Sink;
  std::unique_ptr<Impl> m_Impl;
  ResponseHead m_Head;
  std::size_t m_HeadBytes = 0; ///< Received before the end of the head.
  bool m_IsHeadRequest = false;
  bool m_Started = false;
  bool m_HasHead = false;
  bool m_Complete = false;
  bool m_Malformed = false;
};

} // namespace mangodeck::http

#endif
