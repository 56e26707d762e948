#ifndef MANGODECK_PROCESS_PACKET_H
#define MANGODECK_PROCESS_PACKET_H

#include "mangodeck/process/gossipentry.h"
#include "mangodeck/process/member.h"

#include <cstddef>
#include <vector>

namespace mangodeck {

/// Maximum size of datagrams that are sent or accepted. Small enough to pass
/// every link without fragmentation.
constexpr std::size_t MaxPacketBytes = 1400;

/// Bytes of the IPv4 and UDP headers, counted against the byte budget.
constexpr std::size_t UdpOverheadBytes = 28;

enum class PacketKind : std::uint8_t {
  Probe = 1,
  ProbeRequest, ///< Asks the receiver to probe ProbedVm.
  ProbeAck,     ///< Acknowledges a probe; ProbedVm is the probed member.
  Gossip,
  Sync, ///< Bucket hashes of the sender's tables; asks for the contents of the
        ///< buckets that differ.
  SyncAnswer, ///< Contents of the buckets that differ.
};

/// One datagram between daemons, before it is encoded.
struct Packet {
  PacketKind Kind = PacketKind::Gossip;
  std::uint32_t Sequence = 0;
  Member Sender;
  VmName ProbedVm; ///< Set in Probe, ProbeRequest and ProbeAck.
  std::vector<Member> Members;
  std::vector<GossipEntry> Entries;
  std::vector<std::uint32_t> Buckets; ///< One hash per bucket.
};

/// Upper bounds of the encoded size in bytes, for filling datagrams.
std::size_t maxEncodedBytes(const Member &Rumor);
std::size_t maxEncodedBytes(const GossipEntry &Entry);
std::size_t maxEncodedBytes(const Packet &Message);

} // namespace mangodeck

#endif
