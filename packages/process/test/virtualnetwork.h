#ifndef MANGODECK_PROCESS_TEST_VIRTUALNETWORK_H
#define MANGODECK_PROCESS_TEST_VIRTUALNETWORK_H

#include "mangodeck/process/membership.h"
#include "mangodeck/process/packetcodec.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace mangodeck {

struct NetworkOptions {
  std::size_t Members = 8;
  std::size_t Domains = 3;
  std::uint64_t Seed = 1;
  double Loss = 0; ///< Probability that a datagram is lost.
  Duration LocalDelay = std::chrono::microseconds(200);
  Duration DomainDelay = 4ms;
  Duration DelayJitter = 2ms;
  std::uint64_t GossipBytesPerSecond = 3000;
  /// Whether all members know each other from the start.
  bool PrefilledTables = false;
};

/// Traffic of all members since the last reset, including IP and UDP headers.
struct Traffic {
  std::uint64_t Packets = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t LargestSender = 0; ///< Bytes sent by the largest sender.
  /// Bytes received by the largest receiver.
  std::uint64_t LargestReceiver = 0;
};

/// Simulates members in virtual time and the links between them, with delay,
/// loss, partitions between failure domains, pauses and restarts of members.
/// Datagrams are encoded and decoded by PacketCodec.
class VirtualNetwork {
public:
  explicit VirtualNetwork(NetworkOptions Options);
  ~VirtualNetwork();

  std::size_t size() const { return m_Nodes.size(); }
  TimePoint now() const { return m_Now; }
  Membership &at(std::size_t Index) { return *m_Nodes[Index].Members; }
  std::size_t domainOf(std::size_t Index) const {
    return Index % m_Options.Domains;
  }
  const VmName &nameOf(std::size_t Index) const { return m_Names[Index]; }

  void runFor(Duration Period);

  /// Runs until \p Condition holds, checking it every 100 ms. Returns the
  /// elapsed time, which is at least \p Limit if the condition never held.
  Duration runUntil(const std::function<bool()> &Condition, Duration Limit);

  void kill(std::size_t Index);
  void restart(std::size_t Index);
  void pause(std::size_t Index);
  void resume(std::size_t Index);
  void cutDomain(std::size_t Domain) { m_CutDomain = Domain; }
  void heal() { m_CutDomain = NoDomain; }
  void setLoss(double Loss) { m_Options.Loss = Loss; }

  /// Whether each of \p Viewers has exactly \p ExpectedLive as live members.
  bool agree(const std::vector<std::size_t> &Viewers,
             const std::vector<std::size_t> &ExpectedLive);
  /// Whether all running members have exactly the running ones as live.
  bool agree();
  /// Runs until agree() holds; returns as runUntil().
  Duration runUntilAgreed(Duration Limit) {
    return runUntil([this] { return agree(); }, Limit);
  }

  /// Number of running members other than \p Subject that have it in \p State.
  std::size_t countSeeing(std::size_t Subject, MemberState State);

  /// Sums of the members' counters.
  MembershipCounts counts() const;
  Traffic traffic() const;
  void resetTraffic();

  /// Processor time spent in membership and codec since the last reset.
  double processorSeconds() const { return m_ProcessorSeconds; }

  /// Performs actions that a test got by calling at(Index) itself.
  void perform(std::size_t Index, const Membership::Actions &Actions);

  /// Called for each action of any member.
  std::function<void(std::size_t, const MembershipAction &)> OnAction;

private:
  static constexpr std::size_t NoDomain = ~std::size_t{0};

  struct Node {
    std::unique_ptr<RandomSource> Random;
    std::unique_ptr<Membership> Members;
    bool Running = false;
    bool Paused = false;
    /// Incremented at each start and kill; ticks of earlier runs are ignored.
    std::uint64_t RunNumber = 0;
    std::uint64_t SentBytes = 0;
    std::uint64_t ReceivedBytes = 0;
    /// Bytes and source of the datagrams that arrived during a pause.
    std::vector<std::pair<std::string, std::string>> HeldDatagrams;
  };

  /// The arrival of a datagram at To, or a tick of To if Bytes is empty.
  struct ScheduledEvent {
    TimePoint Time;
    std::uint64_t Order = 0;
    std::size_t To = 0;
    std::uint64_t RunNumber = 0;
    std::string Source;
    std::string Bytes;

    bool operator>(const ScheduledEvent &Other) const {
      return std::tie(Time, Order) > std::tie(Other.Time, Other.Order);
    }
  };

  void start(std::size_t Index);
  void prefillTables();
  void scheduleTick(std::size_t Index, Duration Delay);
  void handleEvent(const ScheduledEvent &Due);
  void deliver(std::size_t Index, std::string_view Bytes,
               std::string_view Source);
  void transmit(std::size_t From, const SendPacket &Action);
  VmName makeName(std::size_t Index) const;
  std::string addressOf(std::size_t Index) const;
  bool isCut(std::size_t A, std::size_t B) const;

  NetworkOptions m_Options;
  SeededRandom m_Random;
  PacketCodec m_Codec;
  TimePoint m_Now{std::chrono::hours(1)};
  std::uint64_t m_LastOrder = 0;
  std::vector<VmName> m_Names;
  std::vector<Node> m_Nodes;
  std::map<std::string, std::size_t, std::less<>> m_ByAddress;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>,
                      std::greater<>>
      m_Queue;
  std::size_t m_CutDomain = NoDomain;
  std::uint64_t m_Packets = 0;
  double m_ProcessorSeconds = 0;
};

} // namespace mangodeck

#endif
