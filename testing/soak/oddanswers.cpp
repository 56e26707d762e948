#include "oddanswers.h"

#include <fmt/format.h>
#include <vector>

namespace mangodeck::soak {

namespace {

/// The beginning of earlier answers, broken off within their second line.
constexpr std::string_view Refusal =
    "HTTP/1.1 503 Service Unavailable\r\nX-Mangodeck-Not-Executed: 1";
constexpr std::string_view Failure =
    "HTTP/1.1 500 Internal Server Error\r\nX-Other: 1";

std::vector<std::string> spoiledForms(std::string_view Fields,
                                      std::string_view Body) {
  const auto Size = Body.size();
  const auto Length = fmt::format("Content-Length: {}\r\n", Size);
  const auto Chunk = fmt::format("{:x}\r\n{}", Size, Body);
  const auto With = [&](std::string_view Line, std::string_view Framing,
                        std::string_view Rest) {
    return fmt::format("{}\r\n{}{}\r\n{}", Line, Fields, Framing, Rest);
  };
  constexpr std::string_view Ok = "HTTP/1.1 200 OK";
  constexpr std::string_view Chunked = "Transfer-Encoding: chunked\r\n";
  return {
      With("HTTP/1.1 000 OK", Length, Body),
      With("HTTP/1.1 20 OK", Length, Body),
      With(Ok, "X Y: 1\r\n" + Length, Body),
      With(Ok, "X\x01Y: 1\r\n" + Length, Body),
      With(Ok, fmt::format("Content-Length : {}\r\n", Size / 2), Body),
      With(Ok, Length + fmt::format("Content-Length: {}\r\n", Size / 2), Body),
      With(Ok, Chunked, Chunk + "XX0\r\n\r\n"),
      With(Ok, Chunked, Chunk + "\r\n0\r\nX Y: 1\r\n\r\n"),
      With("HTTP/1.1 204 No Content", Length, Body),
      fmt::format("HTTP/1.1 200 OK\r\n{}Content-Le", Fields),
  };
}

} // namespace

std::optional<std::string>
OddAnswers::draw(std::string_view Fields, std::string_view Body, bool IsKept) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Percent == 0 || m_Random() % 100 >= m_Percent)
    return std::nullopt;
  if (IsKept && m_Random() % 2 == 0) {
    // Broken off before the end of its last line, or at any byte.
    auto Copy = m_Random() % 2 == 0 ? Refusal : Failure;
    if (m_Random() % 2 == 0)
      Copy = Copy.substr(0, 1 + m_Random() % Copy.size());
    return fmt::format("{}HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
                       Copy, Fields, Body.size(), Body);
  }
  const auto Forms = spoiledForms(Fields, Body);
  return Forms[m_Random() % Forms.size()];
}

} // namespace mangodeck::soak
