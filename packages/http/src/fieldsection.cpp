#include "mangodeck/http/fieldsection.h"

#include "mangodeck/http/syntax.h"

#include <algorithm>

namespace mangodeck::http {

namespace {

/// Memory for the next section that is kept.
constexpr std::size_t MaxKeptBytes = 2 << 10;

} // namespace

LineState takeLine(std::string_view &Bytes, std::string &Text,
                   std::size_t Begin) {
  const auto LineFeed = Bytes.find('\n');
  const bool HasEnd = LineFeed != Bytes.npos;
  const auto Piece = Bytes.substr(0, HasEnd ? LineFeed + 1 : LineFeed);
  bool FollowsReturn = Text.size() > Begin && Text.back() == '\r';
  std::size_t ValidBytes = 0;
  for (const char C : Piece) {
    const bool IsReturn = C == '\r';
    const bool IsValid =
        FollowsReturn ? C == '\n'
                      : IsReturn || isTextByte(static_cast<unsigned char>(C));
    if (!IsValid)
      break;
    FollowsReturn = IsReturn;
    ++ValidBytes;
  }
  Text.append(Piece.substr(0, ValidBytes));
  Bytes.remove_prefix(ValidBytes);
  if (ValidBytes < Piece.size())
    return LineState::Malformed;
  return HasEnd ? LineState::Whole : LineState::Partial;
}

void FieldSection::reset(std::size_t MaxBytes) {
  m_MaxBytes = MaxBytes;
  m_Bytes.clear();
  // An idle connection keeps no memory of a long head.
  if (m_Bytes.capacity() > MaxKeptBytes)
    m_Bytes = std::string();
  m_Begin = 0;
  m_Complete = false;
  m_Fault = ParseFault::None;
  m_FaultText = {};
}

std::size_t FieldSection::feed(std::string_view Bytes) {
  const auto Size = Bytes.size();
  while (!m_Complete && m_Fault == ParseFault::None && !Bytes.empty()) {
    const auto Room = m_MaxBytes - std::min(m_MaxBytes, m_Bytes.size());
    auto Usable = Bytes.substr(0, Room);
    if (Usable.empty()) {
      fail(ParseFault::HeadTooLarge, "head or trailer too large");
      break;
    }
    const auto State = takeLine(Usable, m_Bytes, m_Begin);
    Bytes.remove_prefix(std::min(Bytes.size(), Room) - Usable.size());
    const auto Line = std::string_view(m_Bytes).substr(m_Begin);
    if (State == LineState::Malformed)
      fail(ParseFault::Malformed, "control character in a line");
    else if (State == LineState::Whole)
      onLine(Line.substr(0, Line.size() - 2));
    else if (m_Kind == Kind::AnswerHead && isStartLine() &&
             !mayBeStatusLine(Line))
      fail(ParseFault::Malformed, "no status line");
  }
  return Size - Bytes.size();
}

void FieldSection::onLine(std::string_view Line) {
  const bool IsStartLine = isStartLine();
  if (IsStartLine && Line.empty() && m_Kind == Kind::RequestHead)
    return m_Bytes.clear();
  m_Begin = m_Bytes.size();
  FieldLine Field;
  if (!IsStartLine) {
    if (Line.empty())
      m_Complete = true;
    else if (!splitFieldLine(Line, Field))
      fail(ParseFault::Malformed, "invalid field line");
  } else if (m_Kind == Kind::RequestHead) {
    if (!isRequestLine(Line))
      fail(ParseFault::Malformed, "invalid request line");
  } else if (!isStatusLine(Line)) {
    fail(ParseFault::Malformed, "invalid status line");
  }
}

void FieldSection::fail(ParseFault Fault, std::string_view Text) {
  m_Fault = Fault;
  m_FaultText = Text;
}

std::string_view FieldSection::startLine() const {
  return std::string_view(m_Bytes).substr(0, m_Bytes.find("\r\n"));
}

void FieldSection::copyFields(HeaderList &Fields) const {
  auto Rest = std::string_view(m_Bytes);
  if (m_Kind != Kind::Trailer)
    Rest.remove_prefix(startLine().size() + 2);
  while (!Rest.starts_with("\r\n")) {
    const auto End = Rest.find("\r\n");
    FieldLine Field;
    if (splitFieldLine(Rest.substr(0, End), Field))
      Fields.add(Field.Name, Field.Value);
    Rest.remove_prefix(End + 2);
  }
}

} // namespace mangodeck::http
