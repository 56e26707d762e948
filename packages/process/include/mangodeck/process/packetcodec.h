#ifndef MANGODECK_PROCESS_PACKETCODEC_H
#define MANGODECK_PROCESS_PACKETCODEC_H

#include "mangodeck/common/error.h"
#include "mangodeck/process/packet.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// Datagrams that were dropped, by reason.
struct PacketDrops {
  std::uint64_t TooLong = 0;
  std::uint64_t NotAuthentic = 0;
  std::uint64_t Malformed = 0;
};

/// Encodes and authenticates datagrams. A datagram consists of a version byte,
/// 16 bytes of HMAC-SHA-256 (RFC 2104, truncated) over the message that
/// follows, and that message in protobuf encoding.
class PacketCodec {
public:
  /// Signs with the first of \p Keys and accepts all of them, as described at
  /// Settings::PeerKeys.
  explicit PacketCodec(std::vector<std::string> Keys);

  /// Errc::LimitExceeded if the datagram would exceed MaxPacketBytes.
  Expected<std::string> encode(const Packet &Message) const;

  /// Errc::LimitExceeded if \p Bytes exceeds MaxPacketBytes, Errc::InvalidInput
  /// if it is malformed or not authentic. Each error is counted in drops().
  Expected<Packet> decode(std::string_view Bytes);

  const PacketDrops &drops() const { return m_Drops; }

private:
  bool isAuthentic(std::string_view Mac, std::string_view Body) const;

  std::vector<std::string> m_Keys;
  PacketDrops m_Drops;
};

} // namespace mangodeck

#endif
