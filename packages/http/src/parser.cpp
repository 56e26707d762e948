#include "mangodeck/http/parser.h"

#include "mangodeck/http/syntax.h"

#include <charconv>
#include <http_parser.h>

namespace mangodeck::http {

namespace {

/// Largest size of the heads of an answer, the interim ones included.
constexpr std::size_t MaxAnswerHeadBytes = 64 << 10;

/// What the head of a message states about its body.
struct StatedFraming {
  BodyFraming Body;
  bool HasLength = false;
};

bool isHttp11(std::string_view StartLine, std::size_t VersionAt) {
  return StartLine.substr(VersionAt, 8) == "HTTP/1.1";
}

/// Reads the fields that delimit the body (RFC 9112, 6); false if readers could
/// disagree on its end. Codings other than chunked are not supported.
bool readFraming(const HeaderList &Fields, bool IsHttp11,
                 StatedFraming &Result) {
  const auto Lengths = Fields.count("content-length");
  const auto Codings = Fields.count("transfer-encoding");
  if (Lengths + Codings > 1)
    return false;
  if (Codings > 0) {
    // An HTTP/1.0 recipient on the way has not removed the chunks.
    Result.Body.End = BodyEnd::Chunks;
    return IsHttp11 &&
           equalsIgnoreCase(Fields.get("transfer-encoding"), "chunked");
  }
  if (Lengths == 0)
    return true;
  const auto Text = Fields.get("content-length");
  const auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(),
                                      Result.Body.Length);
  Result.Body.End = BodyEnd::Length;
  Result.HasLength = true;
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

/// Assembles header fields from the pieces of names and values that
/// http_parser passes.
class FieldCollector {
public:
  explicit FieldCollector(HeaderList &Fields) : m_Fields(Fields) {}

  void appendName(std::string_view Bytes) {
    if (m_InValue)
      flush();
    m_Name.append(Bytes);
  }
  void appendValue(std::string_view Bytes) {
    m_InValue = true;
    m_Value.append(Bytes);
  }
  void flush() {
    if (!m_Name.empty())
      m_Fields.add(m_Name, m_Value);
    m_Name.clear();
    m_Value.clear();
    m_InValue = false;
  }

private:
  HeaderList &m_Fields;
  std::string m_Name;
  std::string m_Value;
  bool m_InValue = false;
};

/// Sets the callbacks that collect the fields of a head; those of a trailer are
/// dropped. \p Impl is the type of the object that http_parser::data points to.
template <typename Impl> void collectFields(http_parser_settings &Settings) {
  Settings.on_header_field = [](http_parser *P, const char *At,
                                std::size_t Size) {
    auto &Self = Impl::self(P);
    if (!Self.hasHead())
      Self.Fields.appendName({At, Size});
    return 0;
  };
  Settings.on_header_value = [](http_parser *P, const char *At,
                                std::size_t Size) {
    auto &Self = Impl::self(P);
    if (!Self.hasHead())
      Self.Fields.appendValue({At, Size});
    return 0;
  };
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
  m_Fault = ParseFault::None;
}

std::size_t RequestParser::feed(std::string_view Bytes) {
  std::size_t Used = 0;
  if (!m_HasHead && m_Fault == ParseFault::None) {
    Used = m_Section.feed(Bytes);
    m_Fault = m_Section.fault();
    if (m_Section.isComplete())
      onSection();
  }
  if (m_HasHead && m_Fault == ParseFault::None) {
    Used += m_Body.feed(Bytes.substr(Used), m_Sink);
    m_Fault = m_Body.fault();
  }
  return Used;
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
  StatedFraming Framing;
  if (Fields.count("host") != 1 || !isHost(Fields.get("host")) ||
      !readFraming(Fields, IsHttp11, Framing)) {
    m_Fault = ParseFault::Malformed;
    return;
  }
  m_Body.reset(Framing.Body, m_MaxBodyBytes, m_MaxHeadBytes);
  m_Fault = m_Body.fault();
  if (m_Fault != ParseFault::None)
    return;
  m_HasHead = true;
  m_Sink.onHead();
}

struct ResponseParser::Impl {
  explicit Impl(ResponseParser &Owner)
      : Owner(Owner), Fields(Owner.m_Head.Fields) {
    http_parser_settings_init(&Settings);
    Settings.on_status = [](http_parser *P, const char *At, std::size_t Size) {
      self(P).Owner.m_Head.Reason.append(At, Size);
      return 0;
    };
    collectFields<Impl>(Settings);
    Settings.on_headers_complete = [](http_parser *P) {
      auto &Self = self(P);
      auto &Head = Self.Owner.m_Head;
      Self.Fields.flush();
      if (P->status_code / 100 == 1) {
        Self.Interim = true;
        return 1;
      }
      Head.Status = static_cast<int>(P->status_code);
      const bool HasNoBody = Self.Owner.m_IsHeadRequest || Head.Status == 204 ||
                             Head.Status == 304;
      Head.IsCloseDelimited = !HasNoBody &&
                              !Head.Fields.find("content-length") &&
                              (P->flags & F_CHUNKED) == 0;
      Head.KeepAlive = !Head.IsCloseDelimited && http_should_keep_alive(P) != 0;
      Self.Owner.m_HasHead = true;
      Self.Owner.m_Sink.onHead();
      return Self.Owner.m_IsHeadRequest ? 1 : 0;
    };
    Settings.on_body = [](http_parser *P, const char *At, std::size_t Size) {
      self(P).Owner.m_Sink.onBody({At, Size});
      return 0;
    };
    Settings.on_message_complete = [](http_parser *P) {
      auto &Self = self(P);
      if (Self.Interim) {
        Self.Interim = false;
        Self.Owner.m_Head = ResponseHead();
        return 0;
      }
      Self.Owner.m_Complete = true;
      http_parser_pause(P, 1);
      return 0;
    };
  }

  static Impl &self(http_parser *P) { return *static_cast<Impl *>(P->data); }
  bool hasHead() const { return Owner.m_HasHead; }

  ResponseParser &Owner;
  FieldCollector Fields;
  bool Interim = false;
  http_parser Parser{};
  http_parser_settings Settings{};
};

ResponseParser::ResponseParser(MessageSink &Sink)
    : m_Sink(Sink), m_Impl(std::make_unique<Impl>(*this)) {
  reset(false);
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::reset(bool IsHeadRequest) {
  http_parser_init(&m_Impl->Parser, HTTP_RESPONSE);
  m_Impl->Parser.data = m_Impl.get();
  m_Impl->Interim = false;
  m_Head = ResponseHead();
  m_IsHeadRequest = IsHeadRequest;
  m_HeadBytes = 0;
  m_Started = m_HasHead = m_Complete = m_Malformed = false;
}

std::size_t ResponseParser::feed(std::string_view Bytes) {
  if (m_Complete || m_Malformed || Bytes.empty())
    return 0;
  m_Started = true;
  const auto Used = http_parser_execute(&m_Impl->Parser, &m_Impl->Settings,
                                        Bytes.data(), Bytes.size());
  const auto Error = HTTP_PARSER_ERRNO(&m_Impl->Parser);
  if (Error != HPE_OK && Error != HPE_PAUSED)
    m_Malformed = true;
  if (m_Impl->Parser.upgrade && !m_Complete)
    m_Malformed = true;
  if (!m_HasHead && (m_HeadBytes += Used) > MaxAnswerHeadBytes)
    m_Malformed = true;
  return Used;
}

void ResponseParser::finish() {
  if (m_Complete || m_Malformed || !m_HasHead)
    return;
  http_parser_execute(&m_Impl->Parser, &m_Impl->Settings, nullptr, 0);
}

} // namespace mangodeck::http
