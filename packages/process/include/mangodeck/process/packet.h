#ifndef MANGODECK_PROCESS_PACKET_H
#define MANGODECK_PROCESS_PACKET_H

#include "mangodeck/process/gossipentry.h"
#include "mangodeck/process/member.h"

#include <cstddef>
#include <vector>

namespace mangodeck {

/// Largest datagram that is sent or accepted; passes every link unfragmented.
constexpr std::size_t MaxPacketBytes = 1400;

/// Bytes of the IPv4 and UDP headers, counted against the byte budget.
constexpr std::size_t UdpOverheadBytes = 28;

enum class PacketKind : std::uint8_t {
  Probe = 1,
  ProbeRequest, ///< Asks the receiver to probe Target.
  ProbeAck,     ///< Target names the member that was probed.
  Gossip,
  Sync,       ///< Buckets of the sender's tables; asks for what differs.
  SyncAnswer, ///< Contents of the buckets that differ.
};

/// One datagram between daemons, before it is encoded.
struct Packet {
  PacketKind Kind = PacketKind::Gossip;
  std::uint32_t Sequence = 0;
  Member Sender;
  VmName Target;
  std::vector<Member> Members;
  std::vector<GossipEntry> Entries;
  std::vector<std::uint32_t> Buckets;
};

/// Upper bounds of the encoded size, for filling datagrams.
std::size_t encodedBound(const Member &Rumor);
std::size_t encodedBound(const GossipEntry &Entry);
std::size_t encodedBound(const Packet &Message);

} // namespace mangodeck

#endif
