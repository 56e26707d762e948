#include "peerframe.h"

#include <cstdint>

namespace mangodeck {

namespace {

constexpr std::size_t MaxPrefixBytes = 5;

} // namespace

void appendFrame(std::string &Out, std::string_view Body,
                 std::string_view Trailer) {
  auto Size = Body.size() + Trailer.size();
  while (Size >= 0x80) {
    Out += static_cast<char>(0x80 | (Size & 0x7f));
    Size >>= 7;
  }
  Out += static_cast<char>(Size);
  Out += Body;
  Out += Trailer;
}

/// Drops what was read before; the rest is a part of one frame at most, so
/// little is moved.
void FrameReader::append(std::string_view Bytes) {
  m_Buffer.erase(0, m_Offset);
  m_Offset = 0;
  m_Buffer += Bytes;
}

Expected<std::optional<std::string_view>>
FrameReader::next(std::size_t MaxBytes) {
  const auto Rest = std::string_view(m_Buffer).substr(m_Offset);
  std::uint64_t Size = 0;
  std::size_t Prefix = 0;
  do {
    if (Prefix == MaxPrefixBytes)
      return unexpected(Errc::InvalidInput);
    if (Prefix == Rest.size())
      return std::nullopt;
    Size |= (static_cast<std::uint64_t>(Rest[Prefix]) & 0x7f) << (7 * Prefix);
  } while (static_cast<unsigned char>(Rest[Prefix++]) & 0x80);
  if (Size > MaxBytes)
    return unexpected(Errc::LimitExceeded);
  if (Rest.size() - Prefix < Size)
    return std::nullopt;
  m_Offset += Prefix + Size;
  return Rest.substr(Prefix, Size);
}

std::string FrameReader::takeRest() {
  auto Rest = m_Buffer.substr(m_Offset);
  m_Buffer.clear();
  m_Offset = 0;
  return Rest;
}

} // namespace mangodeck
