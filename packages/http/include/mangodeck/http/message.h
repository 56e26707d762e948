#ifndef MANGODECK_HTTP_MESSAGE_H
#define MANGODECK_HTTP_MESSAGE_H

#include "mangodeck/http/body.h"

#include <string>
#include <string_view>
#include <vector>

namespace mangodeck::http {

/// Compares header names, which do not depend on case (RFC 9110, 5.1).
bool equalsIgnoreCase(std::string_view A, std::string_view B);

/// One header field of a received message or of one to be sent.
struct HeaderField {
  std::string Name;
  std::string Value;
};

/// The header fields of a message, in the order received.
class HeaderList {
public:
  void add(std::string_view Name, std::string_view Value);
  /// Replaces every field \p Name by one with \p Value.
  void set(std::string_view Name, std::string_view Value);
  void remove(std::string_view Name);
  /// Value of the first field \p Name; null if there is none.
  const std::string *find(std::string_view Name) const;
  /// Value of the first field \p Name; empty if there is none.
  std::string_view get(std::string_view Name) const;
  std::size_t count(std::string_view Name) const;
  const std::vector<HeaderField> &fields() const { return m_Fields; }
  std::vector<HeaderField> &fields() { return m_Fields; }
  void clear() { m_Fields.clear(); }

private:
  std::vector<HeaderField> m_Fields;
};

/// Removes the hop-by-hop fields, including those that a Connection field
/// lists (RFC 9110, 7.6.1).
void removeConnectionFields(HeaderList &Fields);

struct RequestHead {
  std::string Method;
  std::string Target; ///< Path and query, as sent.
  HeaderList Fields;
  bool KeepAlive = true;
  bool ExpectsContinue = false;
};

struct Request {
  RequestHead Head;
  http::Body Body;
};

struct ResponseHead {
  int Status = 0;
  std::string Reason;
  HeaderList Fields;
  bool KeepAlive = false;
  /// The body has no length and is not chunked: it ends when the server closes
  /// the connection.
  bool IsCloseDelimited = false;
};

/// The reason phrase of a status (RFC 9110, 15); "Status" for a status that the
/// function does not list.
std::string_view reasonPhraseOf(int Status);

/// Serializes the head of a request. Its fields must already include
/// Content-Length or Transfer-Encoding if there is a body.
std::string serialize(const RequestHead &Head);
/// Serializes the head of a response. Its fields must already include
/// Content-Length or Transfer-Encoding. An empty Reason is replaced by the
/// reason phrase of the status.
std::string serialize(const ResponseHead &Head);
/// Appends \p Data as one chunk of a chunked body; nothing if it is empty.
void appendChunk(std::string &Out, std::string_view Data);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace mangodeck::http

#endif
