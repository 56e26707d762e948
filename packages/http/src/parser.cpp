#include "mangodeck/http/parser.h"

#include "mangodeck/http/syntax.h"

#include <charconv>
#include <limits>

namespace mangodeck::http {

namespace {

/// Largest size of the heads of an answer, the interim ones included.
constexpr std::size_t MaxAnswerHeadBytes = 64 << 10;
constexpr std::size_t MaxAnswerTrailerBytes = 64 << 10;
/// Readers with signed lengths take a longer body for another one.
constexpr std::uint64_t MaxAnswerBodyBytes =
    std::numeric_limits<std::int64_t>::max();

/// Positions in a status line, whose form has been checked.
constexpr std::size_t StatusAt = 9;
constexpr std::size_t ReasonAt = 13;

bool isHttp11(std::string_view StartLine, std::size_t VersionAt) {
  return StartLine.substr(VersionAt, 8) == "HTTP/1.1";
}

/// Reads the fields that delimit the body (RFC 9112, 6); false if readers could
/// disagree on its end. Codings other than chunked are not supported.
bool readFraming(const HeaderList &Fields, bool IsHttp11, BodyFraming &Result) {
  const auto Lengths = Fields.count("content-length");
  const auto Codings = Fields.count("transfer-encoding");
  if (Lengths + Codings > 1)
    return false;
  if (Codings > 0) {
    // An HTTP/1.0 recipient on the way has not removed the chunks.
    Result.End = BodyEnd::Chunks;
    return IsHttp11 &&
           equalsIgnoreCase(Fields.get("transfer-encoding"), "chunked");
  }
  if (Lengths == 0)
    return true;
  const auto Text = Fields.get("content-length");
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Result.Length);
  Result.End = BodyEnd::Length;
  return isDigits(Text) && Parsed.ec == std::errc();
}

/// Whether the connection stays open behind a message (RFC 9112, 9.3).
bool staysOpen(const HeaderList &Fields, bool IsHttp11) {
  bool KeepAlive = IsHttp11;
  for (const auto &Field : Fields.fields()) {
    if (!equalsIgnoreCase(Field.Name, "connection"))
      continue;
    for (std::string_view Rest = Field.Value; !Rest.empty();) {
      const auto Option = takeListElement(Rest);
      if (equalsIgnoreCase(Option, "close"))
        return false;
      KeepAlive |= equalsIgnoreCase(Option, "keep-alive");
    }
  }
  return KeepAlive;
}

} // namespace

RequestParser::RequestParser(MessageSink &Sink, std::size_t MaxHeadBytes,
                             std::size_t MaxBodyBytes)
    : m_Sink(Sink), m_MaxHeadBytes(MaxHeadBytes), m_MaxBodyBytes(MaxBodyBytes) {
  reset();
}

void RequestParser::reset() {
  m_Section.reset(m_MaxHeadBytes);
  m_Head = RequestHead();
  m_HasHead = false;
  setFault(ParseFault::None, {});
}

std::size_t RequestParser::feed(std::string_view Bytes) {
  std::size_t Used = 0;
  if (!m_HasHead && m_Fault == ParseFault::None) {
    Used = m_Section.feed(Bytes);
    setFault(m_Section.fault(), m_Section.faultText());
    if (m_Section.isComplete())
      onSection();
  }
  if (m_HasHead && m_Fault == ParseFault::None) {
    Used += m_Body.feed(Bytes.substr(Used), m_Sink);
    setFault(m_Body.fault(), m_Body.faultText());
  }
  return Used;
}

void RequestParser::setFault(ParseFault Fault, std::string_view Text) {
  m_Fault = Fault;
  m_FaultText = Text;
}

void RequestParser::onSection() {
  // Step 1. Take the request line and the fields.
  const auto Line = m_Section.startLine();
  const auto FirstSpace = Line.find(' ');
  const auto LastSpace = Line.rfind(' ');
  const bool IsHttp11 = isHttp11(Line, LastSpace + 1);
  m_Head.Method = Line.substr(0, FirstSpace);
  m_Head.Target = Line.substr(FirstSpace + 1, LastSpace - FirstSpace - 1);
  m_Section.copyFields(m_Head.Fields);
  const auto &Fields = m_Head.Fields;
  m_Head.KeepAlive = staysOpen(Fields, IsHttp11);
  m_Head.ExpectsContinue =
      equalsIgnoreCase(Fields.get("expect"), "100-continue");

  // Step 2. Check what tells the host and the body.
  if (Fields.count("host") != 1 || !isHost(Fields.get("host")))
    return setFault(ParseFault::Malformed,
                    "no Host, several, or an invalid one");
  BodyFraming Framing;
  if (!readFraming(Fields, IsHttp11, Framing))
    return setFault(ParseFault::Malformed, "ambiguous length");
  m_Body.reset(Framing, m_MaxBodyBytes, m_MaxHeadBytes);
  if (m_Body.fault() != ParseFault::None)
    return setFault(m_Body.fault(), m_Body.faultText());
  m_HasHead = true;
  m_Sink.onHead();
}

ResponseParser::ResponseParser(MessageSink &Sink) : m_Sink(Sink) {
  reset(false);
}

void ResponseParser::reset(bool IsHeadRequest) {
  m_Section.reset(MaxAnswerHeadBytes);
  m_Head = ResponseHead();
  m_InterimBytes = 0;
  m_IsHeadRequest = IsHeadRequest;
  m_Started = m_HasHead = m_Malformed = false;
  m_FaultText = {};
}

std::size_t ResponseParser::feed(std::string_view Bytes) {
  std::size_t Used = 0;
  m_Started |= !Bytes.empty();
  while (!m_HasHead && !m_Malformed && Used < Bytes.size()) {
    Used += m_Section.feed(Bytes.substr(Used));
    if (m_Section.fault() != ParseFault::None)
      fail(m_Section.faultText());
    else if (m_Section.isComplete())
      onSection();
  }
  if (m_HasHead && !m_Malformed) {
    Used += m_Body.feed(Bytes.substr(Used), m_Sink);
    if (m_Body.fault() != ParseFault::None)
      fail(m_Body.faultText());
  }
  return Used;
}

void ResponseParser::onSection() {
  // Step 1. Take the status line and the fields.
  const auto Line = m_Section.startLine();
  const bool IsHttp11 = isHttp11(Line, 0);
  std::from_chars(Line.data() + StatusAt, Line.data() + ReasonAt - 1,
                  m_Head.Status);
  m_Head.Reason = Line.substr(ReasonAt);
  m_Section.copyFields(m_Head.Fields);

  // A part of another answer precedes this one: the status is not its own.
  if (containsStatusLine(m_Section.bytes().substr(1)))
    return fail("second status line in a head");

  // Step 2. Find the end of the body.
  BodyFraming Body;
  if (!readFraming(m_Head.Fields, IsHttp11, Body))
    return fail("ambiguous length");
  const bool IsInterim = m_Head.Status / 100 == 1;
  const bool HasNoContent = IsInterim || m_Head.Status == 204;
  if (HasNoContent && (Body.End == BodyEnd::Chunks || Body.Length > 0))
    return fail("body announced by a status without content");
  if (m_Head.Status == 101)
    return fail("change of protocol that was not requested");
  if (HasNoContent || m_Head.Status == 304 || m_IsHeadRequest)
    Body.End = BodyEnd::None;
  else if (Body.End == BodyEnd::None)
    Body.End = BodyEnd::Connection;

  // Step 3. Skip an interim answer.
  if (IsInterim) {
    m_InterimBytes += m_Section.bytes().size();
    m_Head = ResponseHead();
    return m_Section.reset(MaxAnswerHeadBytes - m_InterimBytes);
  }
  m_Head.IsCloseDelimited = Body.End == BodyEnd::Connection;
  m_Head.KeepAlive =
      !m_Head.IsCloseDelimited && staysOpen(m_Head.Fields, IsHttp11);
  m_Body.reset(Body, MaxAnswerBodyBytes, MaxAnswerTrailerBytes);
  if (m_Body.fault() != ParseFault::None)
    return fail(m_Body.faultText());
  m_Section.reset(MaxAnswerHeadBytes);
  m_HasHead = true;
  m_Sink.onHead();
}

void ResponseParser::finish() {
  if (m_HasHead && !m_Malformed)
    m_Body.finish();
}

void ResponseParser::fail(std::string_view Text) {
  m_Malformed = true;
  m_FaultText = Text;
}

} // namespace mangodeck::http
