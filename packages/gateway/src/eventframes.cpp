#include "mangodeck/gateway/eventframes.h"

#include <charconv>

namespace mangodeck {

std::optional<std::string> EventFrames::next() {
  const auto Lf = m_Buffer.find("\n\n");
  const auto Crlf = m_Buffer.find("\r\n\r\n");
  std::size_t End = std::string::npos;
  if (Lf != std::string::npos)
    End = Lf + 2;
  if (Crlf != std::string::npos && (End == std::string::npos || Crlf + 4 < End))
    End = Crlf + 4;
  if (End == std::string::npos)
    return std::nullopt;
  std::string Event = m_Buffer.substr(0, End);
  m_Buffer.erase(0, End);
  return Event;
}

std::optional<std::int64_t> eventId(std::string_view Event) {
  while (!Event.empty()) {
    const auto End = Event.find('\n');
    auto Line = Event.substr(0, End);
    Event = End == Event.npos ? std::string_view() : Event.substr(End + 1);
    if (!Line.starts_with("id:"))
      continue;
    Line.remove_prefix(3);
    while (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    std::int64_t Id = 0;
    const auto Result =
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    if (Result.ec == std::errc())
      return Id;
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace mangodeck
