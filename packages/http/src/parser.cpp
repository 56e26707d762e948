#include "mangodeck/http/parser.h"

#include <algorithm>
#include <http_parser.h>

namespace mangodeck::http {

namespace {

/// Largest size of the heads of an answer, the interim ones included.
constexpr std::size_t MaxAnswerHeadBytes = 64 << 10;

/// Memory for the next head that a parser keeps.
constexpr std::size_t MaxKeptHeadBytes = 2 << 10;

bool isTokenChar(unsigned char C) {
  static constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'z') ||
         (C >= 'A' && C <= 'Z') ||
         Punctuation.find(char(C)) != Punctuation.npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return isTokenChar(static_cast<unsigned char>(C));
  });
}

bool isStrictRequestLine(std::string_view Line) {
  const auto FirstSpace = Line.find(' ');
  const auto LastSpace = Line.rfind(' ');
  if (FirstSpace == Line.npos || FirstSpace == LastSpace)
    return false;
  const auto Target = Line.substr(FirstSpace + 1, LastSpace - FirstSpace - 1);
  return isToken(Line.substr(0, FirstSpace)) && !Target.empty() &&
         std::all_of(Target.begin(), Target.end(),
                     [](char C) { return C > 0x20 && C < 0x7f; }) &&
         (Line.substr(LastSpace + 1) == "HTTP/1.1" ||
          Line.substr(LastSpace + 1) == "HTTP/1.0");
}

bool isStrictField(std::string_view Line) {
  const auto Colon = Line.find(':');
  if (Colon == Line.npos || !isToken(Line.substr(0, Colon)))
    return false;
  const auto Value = Line.substr(Colon + 1);
  return std::all_of(Value.begin(), Value.end(), [](char C) {
    const auto Byte = static_cast<unsigned char>(C);
    return Byte == '\t' || (Byte >= 0x20 && Byte != 0x7f);
  });
}

bool isDigits(std::string_view Text) {
  return !Text.empty() && Text.size() < 18 &&
         std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C >= '0' && C <= '9'; });
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

bool isStrictHead(std::string_view Head) {
  bool IsRequestLine = true;
  std::size_t LengthFields = 0;
  std::size_t CodingFields = 0;
  std::size_t HostFields = 0;
  while (!Head.empty()) {
    // Step 1. Take a line; it ends with CRLF and holds no other CR or LF.
    const auto End = Head.find("\r\n");
    if (End == Head.npos)
      return false;
    const auto Line = Head.substr(0, End);
    Head.remove_prefix(End + 2);
    if (Line.find_first_of("\r\n") != Line.npos)
      return false;
    if (Line.empty())
      return Head.empty() && HostFields == 1 &&
             LengthFields + CodingFields <= 1;

    // Step 2. Check the syntax of the request line or field.
    if (IsRequestLine ? !isStrictRequestLine(Line) : !isStrictField(Line))
      return false;
    if (IsRequestLine) {
      IsRequestLine = false;
      continue;
    }

    // Step 3. Check the fields that delimit the body, and count these and Host.
    const auto Colon = Line.find(':');
    const auto Name = Line.substr(0, Colon);
    auto Value = Line.substr(Colon + 1);
    while (!Value.empty() && (Value.front() == ' ' || Value.front() == '\t'))
      Value.remove_prefix(1);
    while (!Value.empty() && (Value.back() == ' ' || Value.back() == '\t'))
      Value.remove_suffix(1);
    if (equalsIgnoreCase(Name, "content-length")) {
      ++LengthFields;
      if (!isDigits(Value))
        return false;
    } else if (equalsIgnoreCase(Name, "transfer-encoding")) {
      ++CodingFields;
      if (!equalsIgnoreCase(Value, "chunked"))
        return false;
    } else if (equalsIgnoreCase(Name, "host")) {
      ++HostFields;
    }
  }
  return false;
}

struct RequestParser::Impl {
  explicit Impl(RequestParser &Owner)
      : Owner(Owner), Fields(Owner.m_Head.Fields) {
    http_parser_settings_init(&Settings);
    Settings.on_url = [](http_parser *P, const char *At, std::size_t Size) {
      self(P).Owner.m_Head.Target.append(At, Size);
      return 0;
    };
    collectFields<Impl>(Settings);
    Settings.on_headers_complete = [](http_parser *P) {
      auto &Self = self(P);
      Self.Fields.flush();
      auto &Head = Self.Owner.m_Head;
      Head.Method = http_method_str(static_cast<http_method>(P->method));
      Head.KeepAlive = http_should_keep_alive(P) != 0;
      Head.ExpectsContinue =
          equalsIgnoreCase(Head.Fields.get("expect"), "100-continue");
      Self.Owner.m_HasHead = true;
      Self.Owner.m_Sink.onHead();
      return 0;
    };
    Settings.on_body = [](http_parser *P, const char *At, std::size_t Size) {
      auto &Owner = self(P).Owner;
      Owner.m_BodyBytes += Size;
      if (Owner.m_BodyBytes > Owner.m_MaxBodyBytes) {
        Owner.m_Fault = ParseFault::BodyTooLarge;
        return 1;
      }
      Owner.m_Sink.onBody({At, Size});
      return 0;
    };
    Settings.on_message_complete = [](http_parser *P) {
      self(P).Owner.m_Complete = true;
      http_parser_pause(P, 1);
      return 0;
    };
  }

  static Impl &self(http_parser *P) { return *static_cast<Impl *>(P->data); }
  bool hasHead() const { return Owner.m_HasHead; }

  RequestParser &Owner;
  FieldCollector Fields;
  http_parser Parser{};
  http_parser_settings Settings{};
};

RequestParser::RequestParser(MessageSink &Sink, std::size_t MaxHeadBytes,
                             std::size_t MaxBodyBytes)
    : m_Sink(Sink), m_MaxHeadBytes(MaxHeadBytes), m_MaxBodyBytes(MaxBodyBytes),
      m_Impl(std::make_unique<Impl>(*this)) {
  reset();
}

RequestParser::~RequestParser() = default;

void RequestParser::reset() {
  http_parser_init(&m_Impl->Parser, HTTP_REQUEST);
  m_Impl->Parser.data = m_Impl.get();
  m_HeadBytes.clear();
  // An idle connection keeps no memory of a long head.
  if (m_HeadBytes.capacity() > MaxKeptHeadBytes)
    m_HeadBytes = std::string();
  m_Head = RequestHead();
  m_BodyBytes = 0;
  m_Started = m_HasHead = m_Complete = false;
  m_Fault = ParseFault::None;
}

std::size_t RequestParser::feed(std::string_view Bytes) {
  std::size_t Used = 0;
  if (!m_HasHead)
    Used = collectHead(Bytes);
  // http_parser treats empty input as the end of the connection.
  if (m_HasHead && !m_Complete && m_Fault == ParseFault::None &&
      Used < Bytes.size())
    Used += execute(Bytes.substr(Used));
  return Used;
}

std::size_t RequestParser::collectHead(std::string_view Bytes) {
  std::size_t Skipped = 0;
  // A server should ignore empty lines before the request line (RFC 9112, 2.2).
  if (!m_Started)
    while (Skipped + 1 < Bytes.size() && Bytes[Skipped] == '\r' &&
           Bytes[Skipped + 1] == '\n')
      Skipped += 2;
  Bytes.remove_prefix(Skipped);
  if (Bytes.empty())
    return Skipped;
  m_Started = true;
  const auto PreviousSize = m_HeadBytes.size();
  // Step 1. Take the bytes of the head, and one more than it may have.
  const auto Last = PreviousSize == 0 ? Bytes.find("\r\n\r\n") : Bytes.npos;
  m_HeadBytes.append(Bytes.substr(
      0,
      std::min(Last == Bytes.npos ? Bytes.size() : Last + 4,
               m_MaxHeadBytes + 1 - std::min(PreviousSize, m_MaxHeadBytes))));
  const auto End =
      m_HeadBytes.find("\r\n\r\n", PreviousSize < 3 ? 0 : PreviousSize - 3);
  const auto Size = End == m_HeadBytes.npos ? m_HeadBytes.size() : End + 4;

  // Step 2. Wait for the rest, unless no rest can make the head valid.
  if (Size > m_MaxHeadBytes) {
    m_Fault = ParseFault::HeadTooLarge;
    return Skipped + Bytes.size();
  }
  if (End == m_HeadBytes.npos) {
    // No further bytes can make a bare LF valid: reject it without waiting for
    // the end of the head.
    const auto LineFeed = m_HeadBytes.find('\n', PreviousSize);
    if (LineFeed != m_HeadBytes.npos &&
        (LineFeed == 0 || m_HeadBytes[LineFeed - 1] != '\r'))
      m_Fault = ParseFault::Malformed;
    return Skipped + Bytes.size();
  }

  // Step 3. Read the head.
  m_HeadBytes.resize(Size);
  if (!isStrictHead(m_HeadBytes))
    m_Fault = ParseFault::Malformed;
  else
    execute(m_HeadBytes);
  return Skipped + (Size - PreviousSize);
}

std::size_t RequestParser::execute(std::string_view Bytes) {
  const auto Used = http_parser_execute(&m_Impl->Parser, &m_Impl->Settings,
                                        Bytes.data(), Bytes.size());
  const auto Error = HTTP_PARSER_ERRNO(&m_Impl->Parser);
  if (Error != HPE_OK && Error != HPE_PAUSED && m_Fault == ParseFault::None)
    m_Fault = ParseFault::Malformed;
  if (m_Impl->Parser.upgrade && m_Fault == ParseFault::None)
    m_Fault = ParseFault::Malformed;
  return Used;
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
