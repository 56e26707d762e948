#ifndef MANGODECK_CONNECTION_PEERTABLE_H
#define MANGODECK_CONNECTION_PEERTABLE_H

#include "mangodeck/connection/peertransport.h"
#include "peerconnection.h"
#include "peerqueue.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <set>
#include <shared_mutex>
#include <unordered_map>

namespace mangodeck {

/// One other daemon. Queue and counters may be used from any thread, the rest
/// on the transport's thread only.
struct Peer {
  Peer(VmName Vm, std::size_t MaxMessages, std::size_t MaxBytes)
      : Vm(std::move(Vm)), Queue(MaxMessages, MaxBytes) {}

  const VmName Vm;
  PeerQueue Queue;
  std::atomic<bool> Connected{false};
  std::atomic<std::uint64_t> MessagesSent{0};
  std::atomic<std::uint64_t> MessagesReceived{0};
  std::atomic<std::uint64_t> BytesSent{0};
  std::atomic<std::uint64_t> BytesReceived{0};
  std::atomic<std::uint64_t> MessagesDropped{0};
  std::atomic<std::uint64_t> MessagesRejected{0};
  std::atomic<std::uint64_t> Connections{0};

  std::string Address; ///< Empty unless listed.
  bool Wanted = false; ///< A connection is to be kept.
  std::shared_ptr<PeerConnection> Established;
  std::shared_ptr<PeerConnection> Dialing;
  TimePoint EstablishedAt;
  TimePoint NextDial;
  unsigned FailedDials = 0;
};

using PeerPtr = std::shared_ptr<Peer>;

/// The peers and their connections: opens, accepts, replaces and closes them.
///
/// When both ends dial at once, the connection that the lower name dialed is
/// kept. Otherwise a newer authenticated connection replaces the older one:
/// its dialer has found the older one dead, or is a new process.
class PeerTable : private PeerConnectionOwner {
public:
  PeerTable(asio::io_context &Context, PeerTransportOptions Options,
            const Clock &Source, HybridClock &Stamps, RandomSource &Jitter);

  // From any thread.
  bool send(const VmName &To, const PeerMessage &Message);
  void setPeers(std::span<const PeerAddress> Peers);
  std::vector<PeerStatistics> statistics() const;
  PeerStatistics totals() const;
  std::uint16_t port() const { return m_Port; }

  // Before the thread starts.
  std::error_code listen(PeerHandler &Handler);

  // On the thread.
  void close();
  bool isFlushed() const;

private:
  using ConnectionPtr = std::shared_ptr<PeerConnection>;

  bool mayAccept(const VmName &Name) override;
  bool onAuthenticated(PeerConnection &Connection) override;
  void takeFrames(PeerConnection &Connection, std::string &Out) override;
  void onFrame(PeerConnection &Connection, std::string_view Frame) override;
  void onBytes(PeerConnection &Connection, std::size_t Sent,
               std::size_t Received) override;
  void onClosed(PeerConnection &Connection, std::error_code Why) override;

  PeerPtr find(const VmName &Name) const;
  PeerPtr findOrAdd(const VmName &Name);
  void applyPeers(const std::vector<PeerAddress> &Peers);
  void dropPeer(Peer &Entry);
  void erase(const VmName &Name);
  void wake(const PeerPtr &Entry);
  void accept();
  void dial(Peer &Entry);
  void delayDial(Peer &Entry);
  bool keepsOwnConnection(const Peer &Entry) const;
  ConnectionPtr makeConnection(asio::ip::tcp::socket Socket, PeerRole Role,
                               const VmName &Expected);
  void scheduleTick();
  void tick();
  void checkLiveness(PeerConnection &Connection, TimePoint Now);
  void logRefusal(const VmName &Name, std::error_code Why);

  asio::io_context &m_Context;
  const PeerTransportOptions m_Options;
  const Clock &m_Clock;
  HybridClock &m_Stamps;
  RandomSource &m_Jitter;
  PeerHandler *m_Handler = nullptr;
  asio::ip::tcp::acceptor m_Acceptor;
  asio::steady_timer m_Timer;
  std::uint16_t m_Port = 0;
  bool m_Closing = false;
  bool m_AcceptFailed = false;
  TimePoint m_LastTick;
  TimePoint m_NextRefusalLog;
  std::array<char, 64 << 10> m_ReadBuffer;
  std::set<ConnectionPtr> m_Connections;

  mutable std::shared_mutex m_Lock; ///< Guards these two, not the peers.
  PeerStatistics m_Gone;            ///< Of peers that were erased.
  std::unordered_map<VmName, PeerPtr> m_Peers;
};

} // namespace mangodeck

#endif
