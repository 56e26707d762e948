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

/// Identity of one daemon among the members, and the members that it contacts
/// first.
struct MembershipOptions {
  VmName Vm;
  FailureDomain Domain;
  Incarnation Started = 0;
  std::string PeerAddress; ///< IP:PORT.
  std::vector<Seed> Seeds;
  /// Byte budget of gossip. Probes and acknowledgements are sent even when the
  /// budget is used up.
  std::uint64_t GossipBytesPerSecond = 3000;
};

/// A VM on the platform's list. The list lags behind the state of the VMs.
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

/// A member is new (Before is empty), or its state, incarnation, address or
/// leaving flag has changed. Suspicions and their refutations are reported too.
struct MemberChanged {
  std::optional<Member> Before;
  Member After;
};

/// A gossip entry of another member is new or has changed. Also reports a
/// conflict of configuration revisions: the entry has the number of the stored
/// revision but another digest, and was not stored.
struct EntryChanged {
  GossipEntry Entry;
};

/// The platform's list showed this VM as live before and now shows it as
/// leaving: the daemon should begin its graceful shutdown.
struct LeaveRequested {};

using MembershipAction =
    std::variant<SendPacket, MemberChanged, EntryChanged, LeaveRequested>;

/// Counters since this process started.
struct MembershipCounts {
  std::uint64_t ProbesSent = 0;
  std::uint64_t ProbesFailed = 0;
  /// Suspicions that this daemon's own probes raised; those received as rumors
  /// are not counted.
  std::uint64_t Suspicions = 0;
  /// Rumors about this daemon itself that it refuted.
  std::uint64_t Refutations = 0;
  /// Suspects that this daemon declared dead when its own timer expired.
  std::uint64_t Deaths = 0;
  std::uint64_t PacketsSent = 0;
  std::uint64_t BytesSent = 0; ///< Upper bound, with IP and UDP headers.
  std::uint64_t Pauses = 0;    ///< Gaps between ticks of 2 s or more.
};

class MemberTable;
class GossipEntryTable;
class FailureDetector;
class GossipScheduler;

/// Membership and gossip of one daemon: failure detection after SWIM (Das,
/// Gupta, Motivala, 2002) with suspicion and refutation; rumors and versioned
/// entries piggybacked on datagrams within a byte budget; and periodic
/// anti-entropy synchronization of the tables with a random member. Does no
/// input or output: callers pass in the time and received datagrams, and the
/// methods append the actions to be performed to Out. Not thread-safe.
class Membership {
public:
  using Actions = std::vector<MembershipAction>;

  /// \p Random must outlive this object.
  Membership(MembershipOptions Options, RandomSource &Random);
  ~Membership();

  /// Runs the timers: sends the probes, gossip and table comparisons that are
  /// due and expires suspicions and records. Call about every 100 ms.
  void tick(TimePoint Now, Actions &Out);

  /// Processes an authenticated datagram from \p Source (IP:PORT).
  void onDatagram(const Packet &Message, std::string_view Source, TimePoint Now,
                  Actions &Out);

  /// Replaces the platform's list. The listed VMs are contacted like seeds.
  void updatePlatformList(std::span<const ListedVm> Listed, TimePoint Now,
                          Actions &Out);

  /// Announces to the other members that this daemon is shutting down but
  /// still serves.
  void setLeaving(TimePoint Now, Actions &Out);

  /// Announces to the other members that this daemon ends now.
  void leave(TimePoint Now, Actions &Out);

  /// All known members in order of their names, including this one and those
  /// that are dead or left.
  std::vector<Member> members() const;
  /// Number of live members, this one included.
  std::size_t liveCount() const;
  const Member &self() const;
  const Member *find(const VmName &Vm) const;

  /// Publishes \p Value under (this member, its kind, \p Subject) for \p
  /// TimeToLive, with a higher version than before. The version of a revision
  /// is its number; the revision is published only if no equal or higher one is
  /// stored. An empty \p Audience means all members; otherwise the entry is
  /// sent directly, at most once, to each live member of \p Audience, which
  /// does not pass it on.
  void publish(const GossipValue &Value, std::string_view Subject,
               Duration TimeToLive, TimePoint Now,
               std::span<const VmName> Audience, Actions &Out);

  /// Entries of \p Kind that have not expired, including those that this
  /// daemon published.
  std::vector<GossipEntry> entries(EntryKind Kind, TimePoint Now) const;

  const MembershipCounts &counts() const { return m_Counts; }

private:
  void onTimeElapsed(TimePoint Now);
  void probe(TimePoint Now, Actions &Out);
  void expireSuspicions(TimePoint Now, Actions &Out);
  void contactUnreachable(TimePoint Now, Actions &Out);
  void synchronize(TimePoint Now, Actions &Out);
  void expireRecords(TimePoint Now);
  void gossip(TimePoint Now, Actions &Out);

  void applyRumor(const Member &Rumor, TimePoint Now, Actions &Out);
  void applyEntry(const GossipEntry &Entry, TimePoint Now, Actions &Out);
  void onDuplicateRumor(const Member &Rumor);
  void refute(const Member &Rumor);
  void handleMessage(const Packet &Message, std::string_view Source,
                     TimePoint Now, Actions &Out);
  void answerProbe(const Packet &Message, std::string_view Source,
                   TimePoint Now, Actions &Out);
  void answerSync(const Packet &Message, std::string_view Source, TimePoint Now,
                  Actions &Out);

  void send(std::string_view Address, Packet Message, Actions &Out);
  void sendProbe(const Member &Receiver, std::uint32_t Sequence, TimePoint Now,
                 Actions &Out);
  void sendSync(std::string_view Address, const Member *Receiver, Actions &Out);
  void sendGossip(std::size_t Fanout, TimePoint Now, Actions &Out);
  void sendDirect(const GossipEntry &Entry, std::span<const VmName> Audience,
                  Actions &Out);
  void notifyOfSuspicion(const VmName &Vm, TimePoint Now, Actions &Out);

  MembershipOptions m_Options;
  RandomSource &m_Random;
  std::unique_ptr<MemberTable> m_Members;
  std::unique_ptr<GossipEntryTable> m_Entries;
  std::unique_ptr<FailureDetector> m_Detector;
  std::unique_ptr<GossipScheduler> m_Gossip;
  /// Seeds, and the VMs that the platform lists as not leaving.
  std::vector<Seed> m_Contacts;
  /// Whether the platform has listed this VM as live since this process began.
  bool m_WasListedLive = false;
  std::optional<TimePoint> m_LastTick;
  TimePoint m_NextContact;
  TimePoint m_NextSync;
  TimePoint m_NextGossip;
  TimePoint m_NextExpiry;
  MembershipCounts m_Counts;
};

} // namespace mangodeck

#endif
