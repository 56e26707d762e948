#include "mangodeck/http/syntax.h"

#include <algorithm>

namespace mangodeck::http {

namespace {

constexpr std::string_view VersionPrefix = "HTTP/1.";

bool isDigit(char C) { return C >= '0' && C <= '9'; }

bool isAlphaNumeric(char C) {
  return isDigit(C) || (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z');
}

bool isTokenChar(char C) {
  static constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  return isAlphaNumeric(C) || Punctuation.find(C) != Punctuation.npos;
}

bool isBlank(char C) { return C == ' ' || C == '\t'; }

bool isVersion(std::string_view Text) {
  return Text == "HTTP/1.1" || Text == "HTTP/1.0";
}

/// Whether \p Target, of visible characters, is in a form that \p Method allows
/// (RFC 9112, 3.2). A gateway has no use for the authority form.
bool isRequestTarget(std::string_view Method, std::string_view Target) {
  if (Target == "*")
    return Method == "OPTIONS";
  const auto Scheme = Target.substr(0, Target.find("://"));
  const bool IsAbsolute =
      !Scheme.empty() && Scheme.size() < Target.size() &&
      std::all_of(Scheme.begin(), Scheme.end(), isAlphaNumeric);
  return Method != "CONNECT" && (Target.starts_with('/') || IsAbsolute);
}

void skipBlanks(std::string_view &Text) {
  while (!Text.empty() && isBlank(Text.front()))
    Text.remove_prefix(1);
}

bool skipToken(std::string_view &Text) {
  const auto End = std::find_if_not(Text.begin(), Text.end(), isTokenChar);
  const auto Size = static_cast<std::size_t>(End - Text.begin());
  Text.remove_prefix(Size);
  return Size > 0;
}

bool skipQuotedString(std::string_view &Text) {
  for (std::size_t At = 1; At < Text.size(); ++At) {
    if (Text[At] == '\\') {
      ++At;
    } else if (Text[At] == '"') {
      Text.remove_prefix(At + 1);
      return true;
    }
  }
  return false;
}

} // namespace

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenChar);
}

bool isTextByte(unsigned char Byte) {
  return Byte == '\t' || (Byte >= 0x20 && Byte != 0x7f);
}

bool isDigits(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isDigit);
}

std::string_view trimBlanks(std::string_view Text) {
  skipBlanks(Text);
  while (!Text.empty() && isBlank(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

std::string_view takeListElement(std::string_view &List) {
  const auto Comma = List.find(',');
  const auto Element = trimBlanks(List.substr(0, Comma));
  List = Comma == List.npos ? std::string_view() : List.substr(Comma + 1);
  return Element;
}

bool splitFieldLine(std::string_view Line, FieldLine &Field) {
  const auto Colon = Line.find(':');
  if (Colon == Line.npos || !isToken(Line.substr(0, Colon)))
    return false;
  Field = {Line.substr(0, Colon), trimBlanks(Line.substr(Colon + 1))};
  return true;
}

bool isRequestLine(std::string_view Line) {
  const auto FirstSpace = Line.find(' ');
  const auto LastSpace = Line.rfind(' ');
  if (FirstSpace == Line.npos || FirstSpace == LastSpace)
    return false;
  const auto Method = Line.substr(0, FirstSpace);
  const auto Target = Line.substr(FirstSpace + 1, LastSpace - FirstSpace - 1);
  const auto IsTargetChar = [](char C) {
    return C > 0x20 && C < 0x7f && C != '#';
  };
  return isToken(Method) && isVersion(Line.substr(LastSpace + 1)) &&
         std::all_of(Target.begin(), Target.end(), IsTargetChar) &&
         isRequestTarget(Method, Target);
}

bool isStatusLine(std::string_view Line) {
  constexpr std::size_t StatusAt = 9;
  constexpr std::size_t ReasonAt = 13;
  return Line.size() >= ReasonAt && isVersion(Line.substr(0, 8)) &&
         Line[8] == ' ' && isDigits(Line.substr(StatusAt, 3)) &&
         Line[StatusAt] >= '1' && Line[StatusAt] <= '5' &&
         Line[ReasonAt - 1] == ' ';
}

bool mayBeStatusLine(std::string_view Prefix) {
  return VersionPrefix.starts_with(Prefix.substr(0, VersionPrefix.size()));
}

bool containsStatusLine(std::string_view Text) {
  for (auto At = Text.find(VersionPrefix); At != Text.npos;
       At = Text.find(VersionPrefix, At + 1))
    if (isStatusLine(Text.substr(At)))
      return true;
  return false;
}

bool isHost(std::string_view Text) {
  static constexpr std::string_view Punctuation = "-._~%!$&'()*+;=:[]";
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return isAlphaNumeric(C) || Punctuation.find(C) != Punctuation.npos;
  });
}

bool isChunkExtensions(std::string_view Text) {
  while (!Text.empty()) {
    skipBlanks(Text);
    if (!Text.starts_with(';'))
      return false;
    Text.remove_prefix(1);
    skipBlanks(Text);
    if (!skipToken(Text))
      return false;
    auto Rest = Text;
    skipBlanks(Rest);
    if (!Rest.starts_with('='))
      continue;
    Text = Rest.substr(1);
    skipBlanks(Text);
    if (Text.starts_with('"') ? !skipQuotedString(Text) : !skipToken(Text))
      return false;
  }
  return true;
}

} // namespace mangodeck::http
