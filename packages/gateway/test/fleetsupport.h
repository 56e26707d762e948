#ifndef MANGODECK_GATEWAY_TEST_FLEETSUPPORT_H
#define MANGODECK_GATEWAY_TEST_FLEETSUPPORT_H

#include "gatewaysupport.h"
#include "mangodeck/common/random.h"
#include "mangodeck/gateway/gateway.h"
#include "mangodeck/http/parser.h"

#include <cppunit/TestAssert.h>
#include <functional>
#include <optional>
#include <string>

namespace mangodeck {

/// The attempt id of a serialized request.
inline std::string attemptOf(const std::string &Request) {
  const auto At = Request.find("X-Attempt: ") + 11;
  return Request.substr(At, Request.find('\r', At) - At);
}

/// A configuration of one idempotent route to service "s", which may send a
/// request to two targets.
inline RoutePlanPtr fleetPlan(Duration Timeout) {
  auto Plan = std::make_shared<RoutePlan>();
  Plan->Version = 1;
  Route Only;
  Only.Name = "r";
  Only.Host = "h";
  Only.Prefix = "/p/";
  Only.Kind = RouteKind::Idempotent;
  Only.Timeout = Timeout;
  Only.LatencyTarget = 1s;
  Only.Attempts = 2;
  Only.Shares = {{ServiceName("s"), 1}};
  Plan->Routes = {Only};
  Plan->index();
  return Plan;
}

/// A gateway with its own addresses.
struct FleetDaemon {
  FleetDaemon(asio::io_context &Loop, const HeaderNames &Names,
              const std::string &Vm, const std::string &Domain,
              std::uint64_t Seed, std::uint64_t Incarnation = 1)
      : Random(Seed), Log(-1, Vm, "1", 10000) {
    Settings.Vm = Vm;
    Settings.Incarnation = Incarnation;
    Settings.Domain = FailureDomain(Domain);
    Settings.Ip = "127.0.0.1";
    Settings.CallerPort = freePort();
    Settings.ReadyPort = freePort();
    Settings.PeerPort = freePort();
    Settings.ReadyPath = "/ready";
    Server.emplace(Loop, Settings, Names, Log, Metrics, Random);
    CPPUNIT_ASSERT(!Server->start());
  }

  SeededRandom Random;
  EventLog Log;
  GatewayMetrics Metrics;
  GatewaySettings Settings;
  std::optional<Gateway> Server;
};

/// A caller that sends one request after another to one daemon. If the daemon
/// closes its connection, it opens another one while the daemon accepts it.
class SteadyCaller : private http::MessageSink {
public:
  /// Makes the request with a given number; they are counted from 1.
  using RequestMaker = std::function<std::string(unsigned Number)>;

  SteadyCaller(asio::io_context &Loop, std::uint16_t Port,
               RequestMaker MakeRequest, Duration Pause)
      : m_Daemon(asio::ip::make_address("127.0.0.1"), Port), m_Socket(Loop),
        m_Timer(Loop), m_Parser(*this), m_MakeRequest(std::move(MakeRequest)),
        m_Pause(Pause) {
    m_Socket.connect(m_Daemon);
    send();
  }

  std::size_t Served = 0;
  std::size_t Failed = 0;
  int LastStatus = 0;

private:
  void onHead() override {}
  void onBody(std::string_view) override {}

  void send() {
    m_Parser.reset(false);
    m_Request = m_MakeRequest(++m_Sent);
    std::error_code Ignored; // The next read fails, too.
    asio::write(m_Socket, asio::buffer(m_Request), Ignored);
    read();
  }

  void reconnect() {
    std::error_code Error;
    m_Socket.close(Error);
    m_Socket.connect(m_Daemon, Error);
    if (!Error)
      send();
  }

  void read() {
    m_Socket.async_read_some(
        asio::buffer(m_Buffer),
        [this](std::error_code Error, std::size_t Size) {
          if (Error)
            return reconnect();
          m_Parser.feed({m_Buffer.data(), Size});
          if (!m_Parser.isComplete())
            return read();
          ++(m_Parser.head().Status == 200 ? Served : Failed);
          LastStatus = m_Parser.head().Status;
          m_Timer.expires_after(m_Pause);
          m_Timer.async_wait([this](std::error_code Cancelled) {
            if (!Cancelled)
              send();
          });
        });
  }

  asio::ip::tcp::endpoint m_Daemon;
  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  http::ResponseParser m_Parser;
  RequestMaker m_MakeRequest;
  Duration m_Pause;
  std::string m_Request;
  std::array<char, 4096> m_Buffer;
  unsigned m_Sent = 0;
};

} // namespace mangodeck

#endif
