#ifndef MANGODECK_PROCESS_MEMBERSHIP_H
#define MANGODECK_PROCESS_MEMBERSHIP_H

#include "mangodeck/common/random.h"
#include "mangodeck/common/units.h"
#include "mangodeck/process/gossipentry.h"
#include "mangodeck/process/member.h"
#include "mangodeck/process/packet.h"
#include "mangodeck/process/settings.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace mangodeck {

/// What one daemon is to the others, and whom it contacts first.
struct MembershipOptions {
  VmName Vm;
  FailureDomain Domain;
  Incarnation Started = 0;
  std::string PeerAddress; ///< IP:PORT.
  std::vector<Seed> Seeds;
  /// Budget for gossip; probes and their answers come on top.
  std::uint64_t GossipBytesPerSecond = 3000;
};

/// A VM on the platform's list, which lags behind.
struct ListedVm {
  VmName Vm;
  std::string Address; ///< IP:PORT of its peer listener.
  FailureDomain Domain;
  bool Leaving = false;
};

/// Send \p Message to \p Address.
struct SendPacket {
  std::string Address;
  Packet Message;
};

/// A member is new (no Before), or its state, start, address or leaving mark
/// has changed. Suspicion and its refutation are reported too.
struct MemberChanged {
  std::optional<Member> Before;
  Member After;
};

/// An entry of another member is new or has changed; or, for a revision, it
/// names another digest for the number that is held, and was not taken over.
struct EntryChanged {
  GossipEntry Entry;
};

/// The platform's list, which showed this VM as live before, now shows it as
/// leaving: the daemon should begin its graceful shutdown.
struct LeaveRequested {};

using MembershipAction =
    std::variant<SendPacket, MemberChanged, EntryChanged, LeaveRequested>;

/// Counters since the start.
struct MembershipCounts {
  std::uint64_t ProbesSent = 0;
  std::uint64_t ProbesFailed = 0;
  std::uint64_t Suspicions = 0;  ///< Begun here, not heard of.
  std::uint64_t Refutations = 0; ///< Of suspicions of this member.
  std::uint64_t Deaths = 0;      ///< Suspicions that ran out here.
  std::uint64_t PacketsSent = 0;
  std::uint64_t BytesSent = 0; ///< Upper bound, with IP and UDP headers.
  std::uint64_t Pauses = 0;    ///< Times this process stood still.
};

class MemberTable;
class EntryTable;
class FailureDetector;
class GossipScheduler;

/// Membership and gossip of one daemon: failure detection after SWIM (Das,
/// Gupta, Motivala, 2002) with suspicion and refutation, rumors and versioned
/// entries piggybacked within a byte budget, and periodic reconciliation of
/// the tables with a random member. Does no input or output: the time and
/// received datagrams go in, actions are appended to Out. Not thread-safe.
class Membership {
public:
  using Actions = std::vector<MembershipAction>;

  /// \p Random must outlive this object.
  Membership(MembershipOptions Options, RandomSource &Random);
  ~Membership();

  /// Probes, spreads and expires; call about every 100 ms.
  void tick(TimePoint Now, Actions &Out);

  /// Takes in an authenticated datagram from \p Source (IP:PORT).
  void onDatagram(const Packet &Message, std::string_view Source, TimePoint Now,
                  Actions &Out);

  /// Takes over the platform's list: its VMs are contacted like seeds.
  void updatePlatformList(std::span<const ListedVm> Listed, TimePoint Now,
                          Actions &Out);

  /// Tells the others that this daemon is shutting down but still serves.
  void setLeaving(TimePoint Now, Actions &Out);

  /// Tells the others that this daemon ends now.
  void leave(TimePoint Now, Actions &Out);

  /// All members known, this one included, dead ones too, by name.
  std::vector<Member> members() const;
  /// Number of live members, this one included.
  std::size_t liveCount() const;
  const Member &self() const;
  const Member *find(const VmName &Vm) const;

  /// Publishes a value under (this member, its kind, \p Subject) for \p
  /// TimeToLive; the version is raised. An empty \p Audience means all
  /// members; otherwise the entry goes once, directly, to each one named.
  void publish(const GossipValue &Value, std::string_view Subject,
               Duration TimeToLive, TimePoint Now,
               std::span<const VmName> Audience, Actions &Out);

  /// Entries of \p Kind that have not expired, own ones included.
  std::vector<GossipEntry> entries(EntryKind Kind, TimePoint Now) const;

  const MembershipCounts &counts() const { return m_Counts; }

private:
  void noteTime(TimePoint Now);
  void probe(TimePoint Now, Actions &Out);
  void expireSuspicions(TimePoint Now, Actions &Out);
  void contactUnreachable(TimePoint Now, Actions &Out);
  void synchronize(TimePoint Now, Actions &Out);
  void expireRecords(TimePoint Now);
  void gossip(TimePoint Now, Actions &Out);

  void takeRumor(const Member &Rumor, TimePoint Now, Actions &Out);
  void takeEntry(const GossipEntry &Entry, TimePoint Now, Actions &Out);
  void noteDuplicate(const Member &Rumor);
  void refute(const Member &Rumor);
  void answer(const Packet &Message, std::string_view Source, TimePoint Now,
              Actions &Out);
  void answerProbe(const Packet &Message, std::string_view Source,
                   TimePoint Now, Actions &Out);
  void answerSync(const Packet &Message, std::string_view Source, TimePoint Now,
                  Actions &Out);

  void send(std::string_view Address, Packet Message, Actions &Out);
  void sendProbe(const Member &Target, std::uint32_t Sequence, TimePoint Now,
                 Actions &Out);
  void sendSync(std::string_view Address, const Member *Receiver, Actions &Out);
  void sendGossip(std::size_t Fanout, TimePoint Now, Actions &Out);
  void sendDirect(const GossipEntry &Entry, std::span<const VmName> Audience,
                  Actions &Out);
  void remind(const VmName &Vm, TimePoint Now, Actions &Out);

  MembershipOptions m_Options;
  RandomSource &m_Random;
  std::unique_ptr<MemberTable> m_Members;
  std::unique_ptr<EntryTable> m_Entries;
  std::unique_ptr<FailureDetector> m_Detector;
  std::unique_ptr<GossipScheduler> m_Gossip;
  std::vector<Seed> m_Contacts;
  bool m_ListedLive = false;
  std::optional<TimePoint> m_LastTick;
  TimePoint m_NextContact;
  TimePoint m_NextSync;
  TimePoint m_NextGossip;
  TimePoint m_NextExpiry;
  MembershipCounts m_Counts;
};

} // namespace mangodeck

#endif
