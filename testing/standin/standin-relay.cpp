/// A relay for TCP and UDP with switchable faults of the link. Control by HTTP:
///   POST /link {"silent":true}   open connections carry nothing and stay open
///                                for good, new ones work
///   POST /link {"blocked":true}  nothing gets through, new connections hang
///   POST /link {"cut":true}      open connections are reset once
///   POST /link {"delay_ms":N}    each piece of data is N ms late
///   POST /link {"loss":0.1}      share of datagrams that are dropped
///   GET /link                    counters
/// Each POST replaces the state of blocked, delay_ms and loss; silent and cut
/// act once, on the connections that are open.

#include "mangodeck/common/random.h"
#include "mangodeck/common/units.h"
#include "mangodeck/connection/callerserver.h"

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>

namespace {

using namespace mangodeck;
using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t BufferBytes = 65536;

/// The state of the link, as set by the control interface.
struct Link {
  bool Blocked = false;
  Duration Delay{0};
  double Loss = 0;
  std::uint64_t Connections = 0;
  std::uint64_t Silenced = 0;
  std::uint64_t Datagrams = 0;
  SeededRandom Random{1};
};

/// One direction of a TCP connection: reads, keeps for the delay, writes.
class Pipe : public std::enable_shared_from_this<Pipe> {
public:
  Pipe(Link &State, std::shared_ptr<tcp::socket> From,
       std::shared_ptr<tcp::socket> To)
      : m_Link(State), m_From(std::move(From)), m_To(std::move(To)),
        m_Timer(m_From->get_executor()) {}

  void start() { read(); }

  /// Stops for good without closing: neither end hears anything more.
  void silence() { m_Silent = true; }

  bool isOver() const { return m_Over; }

private:
  struct Piece {
    TimePoint Due;
    std::string Bytes; ///< Empty for the end of the stream.
  };

  void read() {
    m_From->async_read_some(
        asio::buffer(m_Buffer),
        [Self = shared_from_this()](const auto &Error, std::size_t Count) {
          Self->onRead(Error, Count);
        });
  }

  void onRead(const asio::error_code &Error, std::size_t Count) {
    if (m_Silent || m_Link.Blocked) {
      m_Silent = true;
      return;
    }
    const auto Due = std::chrono::steady_clock::now() + m_Link.Delay;
    m_Pieces.push_back({Due, std::string(m_Buffer.data(), Error ? 0 : Count)});
    if (!m_Writing)
      writeNext();
    if (!Error)
      read();
  }

  void writeNext() {
    m_Writing = !m_Pieces.empty();
    if (!m_Writing)
      return;
    m_Timer.expires_at(m_Pieces.front().Due);
    m_Timer.async_wait(
        [Self = shared_from_this()](const auto &) { Self->writeFront(); });
  }

  void writeFront() {
    if (m_Silent)
      return;
    if (m_Pieces.front().Bytes.empty()) {
      asio::error_code Ignored;
      m_To->shutdown(tcp::socket::shutdown_send, Ignored);
      m_Over = true;
      return;
    }
    asio::async_write(*m_To, asio::buffer(m_Pieces.front().Bytes),
                      [Self = shared_from_this()](const auto &Error, auto) {
                        Self->onWritten(Error);
                      });
  }

  void onWritten(const asio::error_code &Error) {
    m_Pieces.pop_front();
    if (!Error)
      return writeNext();
    asio::error_code Ignored;
    m_From->close(Ignored);
    m_To->close(Ignored);
    m_Over = true;
  }

  Link &m_Link;
  std::shared_ptr<tcp::socket> m_From;
  std::shared_ptr<tcp::socket> m_To;
  asio::steady_timer m_Timer;
  std::array<char, BufferBytes> m_Buffer;
  std::deque<Piece> m_Pieces;
  bool m_Writing = false;
  bool m_Silent = false;
  bool m_Over = false; ///< Nothing more will be written.
};

/// A TCP connection through the relay.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(Link &State, tcp::socket Near)
      : m_Link(State), m_Near(std::make_shared<tcp::socket>(std::move(Near))),
        m_Far(std::make_shared<tcp::socket>(m_Near->get_executor())) {}

  void open(const tcp::endpoint &Target) {
    m_Far->async_connect(
        Target, [Self = shared_from_this()](const asio::error_code &Error) {
          if (Error)
            return Self->reset();
          Self->startPipes();
        });
  }

  void silence() {
    m_Silent = true;
    for (const auto &Half : m_Pipes)
      Half->silence();
  }

  bool isOver() const {
    return !m_Pipes.empty() &&
           std::all_of(m_Pipes.begin(), m_Pipes.end(),
                       [](const auto &Half) { return Half->isOver(); });
  }

  void reset() {
    asio::error_code Ignored;
    for (const auto &Socket : {m_Near, m_Far}) {
      Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
  }

private:
  void startPipes() {
    if (m_Silent)
      return;
    m_Pipes = {std::make_shared<Pipe>(m_Link, m_Near, m_Far),
               std::make_shared<Pipe>(m_Link, m_Far, m_Near)};
    for (const auto &Half : m_Pipes)
      Half->start();
  }

  Link &m_Link;
  std::shared_ptr<tcp::socket> m_Near;
  std::shared_ptr<tcp::socket> m_Far;
  std::vector<std::shared_ptr<Pipe>> m_Pipes;
  bool m_Silent = false;
};

/// Forwards datagrams; each sender gets a socket of its own towards the
/// target, so that answers find their way back.
class DatagramRelay {
public:
  DatagramRelay(asio::io_context &Loop, Link &State,
                const udp::endpoint &Listen, udp::endpoint Target)
      : m_Loop(Loop), m_Link(State), m_Target(std::move(Target)),
        m_Socket(Loop, Listen) {
    receive();
  }

private:
  struct Flow {
    explicit Flow(asio::io_context &Loop)
        : Socket(Loop, udp::endpoint(udp::v4(), 0)) {}
    udp::socket Socket;
    udp::endpoint Sender;
    std::array<char, BufferBytes> Buffer;
  };

  void receive() {
    m_Socket.async_receive_from(
        asio::buffer(m_Buffer), m_Sender,
        [this](const asio::error_code &Error, std::size_t Count) {
          if (!Error)
            forward(std::string(m_Buffer.data(), Count));
          receive();
        });
  }

  void forward(std::string Bytes) {
    auto &Entry = m_Flows[m_Sender];
    if (!Entry) {
      Entry = std::make_shared<Flow>(m_Loop);
      Entry->Sender = m_Sender;
      receiveAnswer(Entry);
    }
    sendLate(Entry->Socket, m_Target, std::move(Bytes), Entry);
  }

  void receiveAnswer(const std::shared_ptr<Flow> &Entry) {
    Entry->Socket.async_receive(
        asio::buffer(Entry->Buffer),
        [this, Entry](const asio::error_code &Error, std::size_t Count) {
          if (!Error)
            sendLate(m_Socket, Entry->Sender,
                     std::string(Entry->Buffer.data(), Count), Entry);
          receiveAnswer(Entry);
        });
  }

  void sendLate(udp::socket &Socket, const udp::endpoint &To, std::string Bytes,
                std::shared_ptr<Flow> Keep) {
    if (m_Link.Blocked || m_Link.Random.uniform() < m_Link.Loss)
      return;
    ++m_Link.Datagrams;
    auto Timer = std::make_shared<asio::steady_timer>(m_Loop, m_Link.Delay);
    Timer->async_wait([&Socket, To, Timer, Bytes = std::move(Bytes),
                       Keep = std::move(Keep)](const auto &) {
      asio::error_code Ignored;
      Socket.send_to(asio::buffer(Bytes), To, 0, Ignored);
    });
  }

  asio::io_context &m_Loop;
  Link &m_Link;
  const udp::endpoint m_Target;
  udp::socket m_Socket;
  udp::endpoint m_Sender;
  std::array<char, BufferBytes> m_Buffer;
  std::map<udp::endpoint, std::shared_ptr<Flow>> m_Flows;
};

/// The relay and its control interface.
class Relay : public CallerHandler {
public:
  Relay(asio::io_context &Loop, const tcp::endpoint &Listen,
        tcp::endpoint Target)
      : m_Loop(Loop), m_Target(std::move(Target)), m_Acceptor(Loop, Listen) {
    const udp::endpoint DatagramListen(m_Acceptor.local_endpoint().address(),
                                       m_Acceptor.local_endpoint().port());
    m_Datagrams = std::make_unique<DatagramRelay>(
        Loop, m_Link, DatagramListen,
        udp::endpoint(m_Target.address(), m_Target.port()));
    accept();
  }

  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }

  void handle(std::shared_ptr<CallerExchange> Exchange) override {
    asio::post(m_Loop, [this, Exchange] { control(*Exchange); });
  }

private:
  void accept() {
    m_Acceptor.async_accept([this](const auto &Error, tcp::socket Socket) {
      if (!Error)
        addConnection(std::move(Socket));
      accept();
    });
  }

  void addConnection(tcp::socket Socket) {
    ++m_Link.Connections;
    std::erase_if(m_Connections,
                  [](const auto &Entry) { return Entry->isOver(); });
    auto Entry = std::make_shared<Connection>(m_Link, std::move(Socket));
    m_Connections.insert(Entry);
    if (!m_Link.Blocked)
      Entry->open(m_Target);
  }

  void control(CallerExchange &Exchange) {
    const auto &Request = Exchange.request();
    if (Request.Method == "POST") {
      const auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
      if (!Body.is_object())
        return Exchange.respond(400, {}, "the body must be a JSON object\n");
      apply(Body);
    }
    const nlohmann::json Counters = {{"connections", m_Link.Connections},
                                     {"silenced", m_Link.Silenced},
                                     {"datagrams", m_Link.Datagrams}};
    Exchange.respond(200, {}, Counters.dump() + "\n");
  }

  void apply(const nlohmann::json &Body) {
    m_Link.Blocked = Body.value("blocked", false);
    m_Link.Delay = fromSeconds(Body.value("delay_ms", 0.0) / 1000.0);
    m_Link.Loss = Body.value("loss", 0.0);
    if (Body.value("cut", false)) {
      for (const auto &Entry : m_Connections)
        Entry->reset();
      m_Connections.clear();
    }
    if (Body.value("silent", false) || m_Link.Blocked) {
      for (const auto &Entry : m_Connections)
        Entry->silence();
      m_Link.Silenced += m_Connections.size();
      m_Kept.insert(m_Connections.begin(), m_Connections.end());
      m_Connections.clear();
    }
  }

  asio::io_context &m_Loop;
  Link m_Link;
  const tcp::endpoint m_Target;
  tcp::acceptor m_Acceptor;
  std::unique_ptr<DatagramRelay> m_Datagrams;
  std::set<std::shared_ptr<Connection>> m_Connections;
  /// Silenced connections, kept open until the process ends.
  std::set<std::shared_ptr<Connection>> m_Kept;
};

tcp::endpoint parseEndpoint(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  return {asio::ip::make_address(Text.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoul(Text.substr(Colon + 1)))};
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Stand-in for a link that fails.");
  std::string Listen = "127.0.0.1:0";
  std::string Target;
  CallerServerOptions Control;
  Control.Threads = 1;
  App.add_option("--address", Listen, "IP:PORT, TCP and UDP; port 0 takes any");
  App.add_option("--target", Target, "IP:PORT to forward to")->required();
  App.add_option("--control", Control.Address,
                 "IP:PORT of the control interface");
  CLI11_PARSE(App, Argc, Argv);
  try {
    asio::io_context Loop;
    Relay Forwarder(Loop, parseEndpoint(Listen), parseEndpoint(Target));
    CallerServer Server(Control, Forwarder);
    if (const auto Error = Server.start()) {
      fmt::print(stderr, "standin-relay: {}\n", Error.message());
      return 1;
    }
    fmt::print("listening={}:{}\ncontrol=127.0.0.1:{}\n",
               Listen.substr(0, Listen.rfind(':')), Forwarder.port(),
               Server.port());
    std::fflush(stdout);
    Loop.run();
  } catch (const std::exception &Error) {
    fmt::print(stderr, "standin-relay: {}\n", Error.what());
    return 1;
  }
  return 0;
}
