#ifndef MANGODECK_CONNECTION_TEST_PEERSUPPORT_H
#define MANGODECK_CONNECTION_TEST_PEERSUPPORT_H

#include "mangodeck/connection/peertransport.h"
#include "peerconnection.h"

#include <asio.hpp>
#include <fmt/format.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

namespace mangodeck {

/// Keeps what a transport tells; waits are bounded and on conditions.
class PeerRecorder : public PeerHandler {
public:
  void onMessage(const VmName &Peer, PeerMessage Message) override {
    std::unique_lock Guard(m_Lock);
    m_Changed.wait(Guard, [this] { return !m_Blocked; });
    Messages.push_back(std::move(Message));
    m_Changed.notify_all();
  }
  void onPeerConnected(const VmName &Peer) override {
    {
      const std::lock_guard Guard(m_Lock);
      ++Connected;
    }
    m_Changed.notify_all();
    if (OnConnected)
      OnConnected(Peer);
  }
  void onPeerLost(const VmName &Peer) override {
    const std::lock_guard Guard(m_Lock);
    ++Lost;
    m_Changed.notify_all();
  }

  template <typename Condition> bool waitFor(Condition Holds) {
    std::unique_lock Guard(m_Lock);
    return m_Changed.wait_for(Guard, std::chrono::seconds(20), Holds);
  }
  bool waitForMessages(std::size_t Count) {
    return waitFor([&] { return Messages.size() >= Count; });
  }
  void block(bool Blocked) {
    const std::lock_guard Guard(m_Lock);
    m_Blocked = Blocked;
    m_Changed.notify_all();
  }

  std::vector<PeerMessage> Messages;
  std::atomic<int> Connected{0};
  std::atomic<int> Lost{0};
  std::function<void(const VmName &)> OnConnected;

private:
  std::mutex m_Lock;
  std::condition_variable m_Changed;
  bool m_Blocked = false;
};

/// A transport with all it needs; short timeouts.
struct PeerDaemon {
  explicit PeerDaemon(std::string_view Vm,
                      std::vector<std::string> Keys = {"a-key-of-16-bytes"},
                      std::size_t QueueBytes = 1 << 20, bool Deflate = true)
      : Transport(makeOptions(Vm, std::move(Keys), QueueBytes, Deflate), Source,
                  Stamps, Jitter) {}
  ~PeerDaemon() { Transport.stop(); }

  static PeerTransportOptions makeOptions(std::string_view Vm,
                                          std::vector<std::string> Keys,
                                          std::size_t QueueBytes,
                                          bool Deflate) {
    PeerTransportOptions Options;
    Options.Vm = VmName(Vm);
    Options.ListenAddress = "127.0.0.1:0";
    Options.Keys = std::move(Keys);
    Options.Deflate = Deflate;
    Options.QueueMessages = 1000;
    Options.QueueBytes = QueueBytes;
    Options.MaxMessageBytes = 64 << 10;
    Options.PingInterval = 100ms;
    Options.SilenceTimeout = 400ms;
    Options.MinRetryDelay = 20ms;
    Options.MaxRetryDelay = 100ms;
    return Options;
  }

  std::string address() const { return addressOf(Transport.port()); }
  static std::string addressOf(std::uint16_t Port) {
    return fmt::format("127.0.0.1:{}", Port);
  }
  void listPeer(std::string_view Vm, std::string_view Address) {
    const PeerAddress Entry{VmName(Vm), std::string(Address)};
    Transport.setPeers({&Entry, 1});
  }

  SystemClock Source;
  HybridClock Stamps{Source};
  SeededRandom Jitter{7};
  PeerRecorder Handler;
  PeerTransport Transport;
};

/// Forwards connections to one port. freeze() makes those that exist go silent
/// for good, without closing them; new ones work.
class SilentRelay {
public:
  explicit SilentRelay(std::uint16_t Port)
      : m_Target(asio::ip::address_v4::loopback(), Port),
        m_Acceptor(m_Context, {asio::ip::address_v4::loopback(), 0}) {
    accept();
    m_Thread = std::thread([this] { m_Context.run(); });
  }
  ~SilentRelay() {
    m_Context.stop();
    m_Thread.join();
  }

  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }

  void freeze() {
    std::promise<void> Done;
    asio::post(m_Context, [&] {
      ++m_Generation;
      Done.set_value();
    });
    Done.get_future().wait();
  }

private:
  struct Link {
    explicit Link(asio::io_context &Context)
        : Ends{asio::ip::tcp::socket(Context), asio::ip::tcp::socket(Context)} {
    }
    asio::ip::tcp::socket Ends[2];
    char Buffers[2][4096];
    int Generation = 0;
  };

  void accept() {
    auto Next = std::make_shared<Link>(m_Context);
    m_Acceptor.async_accept(Next->Ends[0], [this, Next](std::error_code Error) {
      if (Error)
        return;
      Next->Generation = m_Generation;
      m_Links.push_back(Next);
      Next->Ends[1].connect(m_Target, Error);
      forward(Next, 0);
      forward(Next, 1);
      accept();
    });
  }

  void forward(std::shared_ptr<Link> Between, int From) {
    Between->Ends[From].async_read_some(
        asio::buffer(Between->Buffers[From]),
        [this, Between, From](std::error_code Error, std::size_t Size) {
          if (Between->Generation != m_Generation)
            return;
          if (!Error)
            asio::write(Between->Ends[1 - From],
                        asio::buffer(Between->Buffers[From], Size), Error);
          if (!Error)
            return forward(Between, From);
          Between->Ends[0].close(Error);
          Between->Ends[1].close(Error);
        });
  }

  asio::io_context m_Context{1};
  asio::ip::tcp::endpoint m_Target;
  asio::ip::tcp::acceptor m_Acceptor;
  std::vector<std::shared_ptr<Link>> m_Links;
  int m_Generation = 0;
  std::thread m_Thread;
};

/// Dials a transport, authenticates itself and sends given bytes; run() ends
/// with the connection or when \p Done holds.
class RawPeer : public PeerConnectionOwner {
public:
  RawPeer(std::string_view Vm, std::string Key, std::string Bytes)
      : m_Vm(Vm), m_Key(std::move(Key)), m_Bytes(std::move(Bytes)) {}

  void run(std::string_view To, std::uint16_t Port,
           const std::function<bool()> &Done) {
    auto Connection = std::make_shared<PeerConnection>(
        asio::ip::tcp::socket(m_Context),
        PeerHandshake(m_Vm, {m_Key}, PeerRole::Dialer, VmName(To),
                      std::string(HandshakeNonceBytes, 'n'), true),
        1 << 20, m_Buffer, m_Clock, static_cast<PeerConnectionOwner &>(*this));
    Connection->dial({asio::ip::address_v4::loopback(), Port});
    for (int I = 0; I < 2000 && !Closed && !Done(); ++I)
      m_Context.run_for(std::chrono::milliseconds(10));
    Connection->close(Errc::Cancelled);
  }

  bool mayAccept(const VmName &) override { return true; }
  bool onAuthenticated(PeerConnection &) override {
    return Authenticated = true;
  }
  void takeFrames(PeerConnection &, std::string &Out) override {
    Out = std::exchange(m_Bytes, "");
  }
  void onFrame(PeerConnection &, std::string_view) override {}
  void onBytes(PeerConnection &, std::size_t, std::size_t) override {}
  void onClosed(PeerConnection &, std::error_code) override { Closed = true; }

  bool Authenticated = false;
  bool Closed = false;

private:
  VmName m_Vm;
  std::string m_Key;
  std::string m_Bytes;
  SystemClock m_Clock;
  asio::io_context m_Context{1};
  std::array<char, 4096> m_Buffer;
};

} // namespace mangodeck

#endif
