#include "mangodeck/http/sseframes.h"

#include <algorithm>

namespace mangodeck {

/// Scans only bytes that no earlier call has scanned, so that a long frame
/// received in many pieces takes linear time. The bytes of returned frames are
/// erased once the buffer holds no other complete frame.
std::optional<std::string> SseFrames::next() {
  for (std::size_t I = std::max(m_Scanned, m_Start); I < m_Buffer.size(); ++I) {
    if (m_Buffer[I] != '\n')
      continue;
    const bool EndsWithLfLf = I > m_Start && m_Buffer[I - 1] == '\n';
    const bool EndsWithLfCrLf =
        I > m_Start + 2 && m_Buffer.compare(I - 2, 3, "\n\r\n") == 0;
    if (!EndsWithLfLf && !EndsWithLfCrLf)
      continue;
    auto Frame = m_Buffer.substr(m_Start, I + 1 - m_Start);
    m_Start = m_Scanned = I + 1;
    return Frame;
  }
  m_Buffer.erase(0, m_Start);
  m_Start = 0;
  m_Scanned = m_Buffer.size();
  return std::nullopt;
}

void SseFrames::clear() {
  m_Buffer.clear();
  m_Start = m_Scanned = 0;
}

std::string_view findSseField(std::string_view Frame, std::string_view Name) {
  while (!Frame.empty()) {
    const auto End = std::min(Frame.find('\n'), Frame.size());
    auto Line = Frame.substr(0, End);
    Frame.remove_prefix(std::min(End + 1, Frame.size()));
    if (!Line.starts_with(Name) || Line.size() <= Name.size() ||
        Line[Name.size()] != ':')
      continue;
    Line.remove_prefix(Name.size() + 1);
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    return Line;
  }
  return {};
}

} // namespace mangodeck
