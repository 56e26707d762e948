#ifndef MANGODECK_HTTP_SYNTAX_H
#define MANGODECK_HTTP_SYNTAX_H

#include <string_view>

namespace mangodeck::http {

/// Whether \p Text is a token (RFC 9110, 5.6.2).
bool isToken(std::string_view Text);
/// Whether \p Byte may stand in a line of a head, besides the CRLF at its end:
/// no control character other than HTAB.
bool isTextByte(unsigned char Byte);
/// Whether \p Text is one or more decimal digits.
bool isDigits(std::string_view Text);
/// Removes spaces and tabs at both ends.
std::string_view trimBlanks(std::string_view Text);
/// Removes the first element from \p List, which commas separate, and returns
/// it without blanks around it.
std::string_view takeListElement(std::string_view &List);

/// A field line without its CRLF (RFC 9112, 5).
struct FieldLine {
  std::string_view Name;
  std::string_view Value; ///< Without blanks around it.
};
/// Splits \p Line, whose bytes have been checked with isTextByte(); false if it
/// has no name that is a token and ends at the colon. A folded line has none.
bool splitFieldLine(std::string_view Line, FieldLine &Field);

/// Whether \p Line, without its CRLF, is a request line with a version that
/// mangodeck speaks (RFC 9112, 3).
bool isRequestLine(std::string_view Line);
/// Whether \p Line, without its CRLF, is a status line with a version that
/// mangodeck speaks and a status that exists (RFC 9112, 4; RFC 9110, 15).
bool isStatusLine(std::string_view Line);
/// Whether the beginning of a line may become a status line.
bool mayBeStatusLine(std::string_view Prefix);
/// Whether a status line begins within \p Text, as in the head of an answer
/// that continues one that was broken off.
bool containsStatusLine(std::string_view Text);
/// Whether \p Text consists of characters of a host and port.
bool isHost(std::string_view Text);
/// Whether \p Text is empty or consists of chunk extensions (RFC 9112, 7.1.1).
bool isChunkExtensions(std::string_view Text);

} // namespace mangodeck::http

#endif
