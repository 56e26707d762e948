#ifndef MANGODECK_CONNECTION_PEERTRANSPORT_H
#define MANGODECK_CONNECTION_PEERTRANSPORT_H

#include "mangodeck/common/clock.h"
#include "mangodeck/common/hybridclock.h"
#include "mangodeck/common/random.h"
#include "mangodeck/request/peermessage.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <system_error>
#include <vector>

namespace mangodeck {

/// Where another daemon's peer listener is.
struct PeerAddress {
  VmName Vm;
  std::string Address; ///< IP:PORT.
};

struct PeerTransportOptions {
  VmName Vm;                 ///< This daemon.
  std::string ListenAddress; ///< IP:PORT; port 0 takes any free one.
  /// Shared keys; the first one signs, all are accepted. At least one.
  std::vector<std::string> Keys;
  std::size_t QueueMessages = 4096;      ///< Per peer.
  std::size_t QueueBytes = 8 << 20;      ///< Per peer.
  std::size_t MaxMessageBytes = 4 << 20; ///< Encoded.
  bool Deflate = true;            ///< Compress messages if the peer does too.
  Duration PingInterval = 2s;     ///< Of a connection at rest.
  Duration SilenceTimeout = 5s;   ///< Without any byte received.
  Duration ConnectTimeout = 2s;   ///< Until authenticated.
  Duration MinRetryDelay = 100ms; ///< Doubles for each failure.
  Duration MaxRetryDelay = std::chrono::seconds(3);
};

/// What was exchanged with one peer since the transport started.
struct PeerStatistics {
  VmName Peer;
  bool Connected = false;
  std::uint64_t MessagesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesSent = 0;     ///< On its connections, all layers of ours.
  std::uint64_t BytesReceived = 0; ///< Likewise.
  std::uint64_t MessagesDropped = 0;  ///< Because the queue was full.
  std::uint64_t MessagesRejected = 0; ///< Received, but malformed or unknown.
  std::uint64_t Connections = 0;
  std::size_t QueuedMessages = 0;
  std::size_t QueuedBytes = 0;
};

/// Connections to other daemons: one HTTP/2 connection for each pair, with one
/// long-lived stream that carries length-prefixed messages both ways, in order.
/// Runs a thread of its own, on which the handler is called.
///
/// A connection is opened by the first message and kept. When no byte arrives
/// for SilenceTimeout, although PING asks for one, it is closed and opened
/// anew, and the handler is told. Messages that wait in the queue are then sent
/// on the new connection; those that were on their way may be lost, so the
/// handler sends its waiting tickets again.
///
/// Both ends prove by HMAC-SHA256 over both ends' nonces that they know a key.
/// What follows is neither encrypted nor signed.
class PeerTransport : public PeerSender {
public:
  PeerTransport(PeerTransportOptions Options, const Clock &Source,
                HybridClock &Stamps, RandomSource &Jitter);
  ~PeerTransport() override;
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Listens and starts the thread. \p Handler must outlive stop(). \p Jitter
  /// of the constructor is used on the thread only.
  std::error_code start(PeerHandler &Handler);

  /// Closes all connections and joins the thread. Not from the handler.
  void stop();

  /// Waits until all messages for connected peers are handed to the network,
  /// at most \p Limit. Returns whether they are. Not from the handler, and not
  /// while another thread calls stop().
  bool flush(Duration Limit);

  /// Sets the peers that messages may be sent to; connections to peers that
  /// are no longer listed are closed. A peer that connects by itself may be
  /// answered as long as it is connected, listed or not.
  void setPeers(std::span<const PeerAddress> Peers);

  /// Safe from any thread; see PeerSender.
  bool send(const VmName &Peer, PeerMessage Message) override;

  /// The port of the listener.
  std::uint16_t port() const;

  std::vector<PeerStatistics> statistics() const;

  /// Sums over all peers since the start, also those that are gone; Peer is
  /// empty and Connected tells whether any is.
  PeerStatistics totals() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mangodeck

#endif
