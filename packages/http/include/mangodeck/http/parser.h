#ifndef MANGODECK_HTTP_PARSER_H
#define MANGODECK_HTTP_PARSER_H

#include "mangodeck/http/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace mangodeck::http {

/// Why a message was rejected.
enum class ParseFault : std::uint8_t {
  None,
  Malformed,    ///< Not HTTP/1.1, or framed in two ways.
  HeadTooLarge, ///< More bytes of header than allowed.
  BodyTooLarge, ///< More bytes of body than allowed.
};

/// Receives the parts of a message.
class MessageSink {
public:
  virtual ~MessageSink() = default;
  virtual void onHead() = 0;
  virtual void onBody(std::string_view Bytes) = 0;
};

/// Checks the bytes of a request's head against RFC 9112 where http_parser is
/// lenient: bare CR or LF, folded fields, space before a colon, names that are
/// no tokens, several lengths. Such a head can be read as other requests by
/// the next hop.
bool isStrictHead(std::string_view Head);

/// Reads HTTP/1.1 requests from a stream of bytes, one at a time.
class RequestParser {
public:
  RequestParser(MessageSink &Sink, std::size_t MaxHeadBytes,
                std::size_t MaxBodyBytes);
  ~RequestParser();

  /// Reads bytes up to the end of the present request. Returns how many were
  /// used; the rest belongs to the next request.
  std::size_t feed(std::string_view Bytes);
  /// Starts with the next request.
  void reset();

  bool isComplete() const { return m_Complete; }
  bool hasStarted() const { return m_Started; }
  bool hasHead() const { return m_HasHead; }
  ParseFault fault() const { return m_Fault; }
  RequestHead &head() { return m_Head; }
  /// The bytes of the head that were read.
  std::string_view headBytes() const { return m_HeadBytes; }

private:
  struct Impl;
  std::size_t collectHead(std::string_view Bytes);
  std::size_t execute(std::string_view Bytes);

  MessageSink &m_Sink;
  std::size_t m_MaxHeadBytes;
  std::size_t m_MaxBodyBytes;
  std::unique_ptr<Impl> m_Impl;
  std::string m_HeadBytes;
  RequestHead m_Head;
  std::size_t m_BodyBytes = 0;
  bool m_Started = false;
  bool m_HasHead = false;
  bool m_Complete = false;
  ParseFault m_Fault = ParseFault::None;
};

/// Reads the answer to one request; interim answers (1xx) are skipped.
class ResponseParser {
public:
  explicit ResponseParser(MessageSink &Sink);
  ~ResponseParser();

  /// Reads bytes up to the end of the answer; returns how many were used.
  std::size_t feed(std::string_view Bytes);
  /// The connection was closed cleanly: completes an answer that has no
  /// other end.
  void finish();
  /// Starts with the next answer. \p ToHead: it answers a HEAD request.
  void reset(bool ToHead);

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
  bool m_ToHead = false;
  bool m_Started = false;
  bool m_HasHead = false;
  bool m_Complete = false;
  bool m_Malformed = false;
};

} // namespace mangodeck::http

#endif
