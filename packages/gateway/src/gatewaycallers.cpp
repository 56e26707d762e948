// The gateway's connections: callers, readiness checks and metrics, and the
// graceful stop.
#include "mangodeck/gateway/gateway.h"

#include "mangodeck/gateway/refusal.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <tuple>
#include <utility>

namespace mangodeck {

namespace {

/// After SIGTERM connections are still accepted for this long: the load
/// balancer needs two failed readiness checks, one second apart, before it
/// uses other daemons.
constexpr Duration LoadBalancerDelay = 2500ms;
/// Bytes of a rejected request's first line that are logged. The header fields
/// are not logged, since they may hold API keys.
constexpr std::size_t MaxLoggedLineBytes = 120;
/// Path of the readiness port at which rollouts are described.
constexpr std::string_view RolloutsPath = "/rollouts";
/// Time without accepting when the process has no descriptors left.
constexpr Duration AcceptPause = 20ms;
/// Connections that the kernel queues until they are accepted.
constexpr int ListenBacklog = 512;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

bool Gateway::listen(asio::ip::tcp::acceptor &Acceptor, std::uint16_t Port,
                     std::error_code &Error) {
  const auto Address = asio::ip::make_address(m_Settings.Ip, Error);
  if (!Error)
    Acceptor.open(asio::ip::tcp::v4(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind({Address, Port}, Error);
  if (!Error)
    Acceptor.listen(ListenBacklog, Error);
  if (Error)
    m_Log.write("listen_failed", {{"port", Port}, {"error", Error.message()}});
  return !Error;
}

std::error_code Gateway::start() {
  std::error_code Error;
  if (!listen(m_Acceptor, m_Settings.CallerPort, Error) ||
      !listen(m_ReadyAcceptor, m_Settings.ReadyPort, Error))
    return Error;
  if (m_Settings.MetricsPort != 0 &&
      listen(m_MetricsAcceptor, m_Settings.MetricsPort, Error))
    acceptReadiness(m_MetricsAcceptor);
  const auto Address = asio::ip::make_address(m_Settings.Ip, Error);
  m_PeerSocket.open(asio::ip::udp::v4(), Error);
  if (!Error)
    m_PeerSocket.bind({Address, m_Settings.PeerPort}, Error);
  if (Error)
    return Error;
  m_PeerSocket.non_blocking(true, Error);
  m_BrokerSince = steadyNow();
  acceptCallers();
  acceptReadiness(m_ReadyAcceptor);
  receivePeerMessage();
  tick();
  m_Log.write("start", {{"domain", m_Settings.Domain.Text},
                        {"callers", m_Settings.CallerPort},
                        {"peers", m_Settings.PeerPort},
                        {"grace_ms", toMs(m_Settings.ShutdownGrace)}});
  return {};
}

void Gateway::acceptCallers() {
  m_Acceptor.async_accept(
      [this](std::error_code Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error && m_Callers.makeRoom(steadyNow()))
          startCaller(std::move(Socket));
        // Without descriptors each further attempt would fail at once.
        if (Error == asio::error::no_descriptors) {
          m_AcceptTimer.expires_after(AcceptPause);
          m_AcceptTimer.async_wait([this](std::error_code Cancelled) {
            if (!Cancelled)
              acceptCallers();
          });
          return;
        }
        acceptCallers();
      });
}

void Gateway::startCaller(asio::ip::tcp::socket Socket) {
  http::CallerBounds Bounds;
  if (m_Plan) {
    const auto &Limits = m_Plan->Limits;
    Bounds.MaxHeadBytes = Limits.MaxHeadBytes;
    Bounds.MaxBodyBytes = Limits.MaxBodyBytes;
    Bounds.HeadTimeout = Limits.HeadTimeout;
    Bounds.IdleTimeout = Limits.IdleTimeout;
  }
  std::error_code Ignored; // Without the option more memory is used.
  if (const auto Size = m_Callers.receiveBufferBytes())
    Socket.set_option(asio::socket_base::receive_buffer_size(*Size), Ignored);
  auto New = std::make_shared<http::CallerConnection>(
      std::move(Socket), static_cast<http::CallerConnectionHandler &>(*this),
      Bounds);
  m_Callers.add(New);
  New->start();
}

void Gateway::acceptPending() {
  std::error_code Error;
  m_Acceptor.non_blocking(true, Error);
  while (!Error) {
    asio::ip::tcp::socket Socket(m_Loop);
    m_Acceptor.accept(Socket, Error);
    if (!Error && m_Callers.makeRoom(steadyNow()))
      startCaller(std::move(Socket));
  }
}

void Gateway::acceptReadiness(asio::ip::tcp::acceptor &Acceptor) {
  Acceptor.async_accept(
      [this, &Acceptor](std::error_code Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error)
          serveReadiness(
              std::make_shared<asio::ip::tcp::socket>(std::move(Socket)));
        acceptReadiness(Acceptor);
      });
}

void Gateway::serveReadiness(std::shared_ptr<asio::ip::tcp::socket> Socket) {
  struct DiscardingSink : http::MessageSink {
    void onHead() override {}
    void onBody(std::string_view) override {}
  };
  struct Session {
    DiscardingSink Sink;
    http::RequestParser Parser{Sink, 8192, 0};
    std::array<char, 2048> Buffer;
    std::string Reply;
  };
  auto Client = std::make_shared<Session>();
  // Each pending read or write keeps this function alive; the function itself
  // holds only a weak reference, so that the session ends with its connection.
  auto Read = std::make_shared<std::function<void()>>();
  *Read = [this, Socket, Client, Weak = std::weak_ptr(Read)] {
    const auto Self = Weak.lock();
    Socket->async_read_some(
        asio::buffer(Client->Buffer),
        [this, Socket, Client, Self](std::error_code Error, std::size_t Size) {
          if (Error)
            return;
          Client->Parser.feed({Client->Buffer.data(), Size});
          if (Client->Parser.fault() != http::ParseFault::None)
            return;
          if (!Client->Parser.isComplete())
            return (*Self)();
          const auto &Target = Client->Parser.head().Target;
          const bool IsMetrics = Target == m_Settings.MetricsPath;
          // The readiness port is reached by others than operators.
          std::error_code Ignored;
          const bool IsMetricsPort =
              Socket->local_endpoint(Ignored).port() ==
              (m_Settings.MetricsPort ? m_Settings.MetricsPort
                                      : m_Settings.ReadyPort);
          const bool IsPlacement = IsMetricsPort && Target == PlacementPath;
          const bool IsRollouts =
              IsMetricsPort && m_Rollouts && Target == RolloutsPath;
          const bool IsKnownPath =
              IsMetrics || IsRollouts || Target == m_Settings.ReadyPath;
          auto Body = IsMetrics    ? m_Metrics.serialize()
                      : IsRollouts ? m_Rollouts->describe(steadyNow())
                                   : std::string();
          http::ResponseHead Answer;
          if (IsPlacement)
            std::tie(Answer.Status, Body) =
                answerPlacementCall(Client->Parser.head());
          else
            Answer.Status = !IsKnownPath                           ? 404
                            : IsMetrics || IsRollouts || isReady() ? 200
                                                                   : 503;
          if (IsMetrics)
            Answer.Fields.add("Content-Type", "text/plain; version=0.0.4");
          Answer.Fields.add("Content-Length", std::to_string(Body.size()));
          Client->Reply = http::serialize(Answer) + Body;
          Client->Parser.reset();
          asio::async_write(
              *Socket, asio::buffer(Client->Reply),
              [Socket, Client, Self](std::error_code Failure, std::size_t) {
                if (!Failure)
                  (*Self)();
              });
        });
  };
  (*Read)();
}

void Gateway::refuseNew(http::CallerConnection &Connection,
                        const http::RequestHead &Head,
                        const RequestFacts &Facts, RefusalCause Cause,
                        Duration ExpectedWait) {
  const auto Chosen = chooseRefusal({Cause, ExpectedWait, Duration{0},
                                     Facts.RemainingTime, m_Random.uniform()});
  m_Log.write("refused",
              {{"id", Facts.AttemptId},
               {"status", Chosen.Status},
               {"reason", Chosen.Reason},
               {"path", Head.Target},
               {"plan", m_Plan ? m_Plan->Version : 0},
               {"confirmed_ms", ageMs(m_View.confirmedAt(), steadyNow())},
               {"confirmed_by", toString(m_View.confirmedBy())}});
  answerCaller(Connection, Chosen.Status, Chosen.Reason, Chosen.RetryAfter);
}

void Gateway::onCallerLeft(http::CallerConnection &Connection) {
  m_Unconfirmed.remove(Connection);
  const auto Found = m_ExchangeByCaller.find(&Connection);
  if (Found == m_ExchangeByCaller.end())
    return;
  const auto Cancelled = Found->second;
  Cancelled->cancel();
}

void Gateway::onRejected(int Status, std::string_view Reason,
                         std::string_view Start) {
  m_Log.write(
      "caller_rejected",
      {{"status", Status},
       {"reason", Reason},
       {"line", std::string(Start.substr(
                    0, std::min(Start.find('\r'), MaxLoggedLineBytes)))}});
  m_Metrics.countRequest("none", std::to_string(Status));
}

void Gateway::onClosed(http::CallerConnection &Connection) {
  m_Unconfirmed.remove(Connection);
  // The connection's functions on the call stack have to return first.
  asio::post(m_Loop, [Kept = m_Callers.remove(Connection)] {});
}

http::HeaderList Gateway::rejectionFields(int Status) {
  http::HeaderList Fields;
  if (Status == 503) // There is no memory for the body.
    Fields.add(
        m_Names.RetryAfter,
        fmt::format("{:.2f}", toSeconds(*chooseRefusal({RefusalCause::NoMemory,
                                                        {},
                                                        {},
                                                        std::nullopt,
                                                        m_Random.uniform()})
                                             .RetryAfter)));
  return Fields;
}

void Gateway::stop() {
  if (m_Stopping)
    return;
  m_Stopping = true;
  m_StopStartedAt = steadyNow();
  m_StopDeadline = StopTiming::graceEnd(
      m_StopStartedAt, m_Settings.ShutdownGrace, m_LoopDelay.worst());
  m_Peers.markStopping();
  m_LastReportAt = TimePoint{};
  m_Log.write("stop", {{"running", m_ExchangeByNumber.size()},
                       {"connections", m_Callers.size()},
                       {"loop_delay_ms", toMs(m_LoopDelay.worst())}});
  m_Log.flush();
}

void Gateway::continueStop(TimePoint Now) {
  const auto Elapsed = Now - m_StopStartedAt;
  // Step 1. Serve as before until the load balancer uses other daemons.
  if (Elapsed < LoadBalancerDelay)
    return;

  // Step 2. Accept no new connections, and close those without a request.
  if (!m_ListenerClosed) {
    m_ListenerClosed = true;
    acceptPending();
    std::error_code Ignored; // The process ends in any case.
    m_Acceptor.close(Ignored);
  }
  m_Callers.closeIdle();

  // Step 3. At the end of the shutdown grace, terminate the requests that
  // still run.
  const bool IsTerminating =
      Now > m_StopDeadline - StopTiming::terminationMargin(
                                 m_Settings.ShutdownGrace, m_LoopDelay.worst());
  if (IsTerminating) {
    std::vector<ExchangePtr> Running;
    for (const auto &[Number, Each] : m_ExchangeByNumber)
      Running.push_back(Each);
    for (const auto &Each : Running)
      Each->terminate();
  }

  // Step 4. Stop the loop when no request is left, and no connection is left
  // or the shutdown grace is over.
  if (m_ExchangeByNumber.empty() && (m_Callers.size() == 0 || IsTerminating)) {
    m_Log.write("stopped", {{"after_ms", ageMs(m_StopStartedAt, Now)},
                            {"loop_delay_ms", toMs(m_LoopDelay.worst())}});
    m_Log.flush();
    m_Loop.stop();
  }
}

} // namespace mangodeck
