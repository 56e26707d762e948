#include "mangodeck/connection/callerserver.h"

#include "callersocket.h"
#include "exchangeregistry.h"
#include "httpexchange.h"

#include <restinio/all.hpp>

#include <charconv>
#include <future>
#include <thread>

namespace mangodeck {

namespace {

/// RESTinio's own limit on the time until an answer; deadlines are the
/// handler's, so it is out of the way.
constexpr auto HandlerTimeLimit = std::chrono::hours(24 * 365);

/// Requests of one connection that may be in progress. More than one, because
/// RESTinio reads, and so notices a hang-up, only while there is room for one.
constexpr std::size_t PipelinedRequests = 8;

constexpr auto FlushPollPeriod = std::chrono::milliseconds(5);

/// Counts connections, and tells exchanges that theirs closed.
class ConnectionListener {
public:
  explicit ConnectionListener(ExchangeRegistryPtr Registry)
      : m_Registry(std::move(Registry)) {}

  // NOLINTNEXTLINE(readability-identifier-naming): named by RESTinio.
  void state_changed(const restinio::connection_state::notice_t &Notice) {
    using namespace restinio::connection_state;
    if (restinio::holds_alternative<accepted_t>(Notice.cause()))
      m_Registry->open(Notice.connection_id());
    if (!restinio::holds_alternative<closed_t>(Notice.cause()))
      return;
    for (const auto &Entry : m_Registry->close(Notice.connection_id()))
      Entry->hangUp();
  }

private:
  ExchangeRegistryPtr m_Registry;
};

/// Refuses connections over the limit. RESTinio's own limiter is not used: its
/// connections refer to the server, which an exchange may outlive.
class ConnectionLimit {
public:
  ConnectionLimit(ExchangeRegistryPtr Registry, std::size_t Limit)
      : m_Registry(std::move(Registry)), m_Limit(Limit) {}

  restinio::ip_blocker::inspection_result_t
  inspect(const restinio::ip_blocker::incoming_info_t &) const noexcept {
    return m_Registry->openCount() < m_Limit
               ? restinio::ip_blocker::inspection_result_t::allow
               : restinio::ip_blocker::inspection_result_t::deny;
  }

private:
  ExchangeRegistryPtr m_Registry;
  const std::size_t m_Limit;
};

struct ServerTraits : public restinio::traits_t<
                          restinio::asio_timer_manager_t, ParserErrorLogger,
                          std::function<restinio::request_handling_status_t(
                              restinio::request_handle_t)>,
                          restinio::default_strand_t, CallerSocket> {
  // NOLINTBEGIN(readability-identifier-naming): named by RESTinio.
  using connection_state_listener_t = ConnectionListener;
  using ip_blocker_t = ConnectionLimit;
  // NOLINTEND(readability-identifier-naming)
};

using HttpServer = restinio::http_server_t<ServerTraits>;

struct Endpoint {
  std::string Ip;
  std::uint16_t Port = 0;
};

Expected<Endpoint> parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return unexpected(Errc::InvalidInput);
  Endpoint Result;
  Result.Ip = Text.substr(0, Colon);
  const auto Digits = Text.substr(Colon + 1);
  const auto *End = Digits.data() + Digits.size();
  const auto Parsed = std::from_chars(Digits.data(), End, Result.Port);
  if (Digits.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    return unexpected(Errc::InvalidInput);
  return Result;
}

} // namespace

class CallerServer::Impl {
public:
  Impl(CallerServerOptions Options, CallerHandler &Handler)
      : m_Options(std::move(Options)), m_Handler(Handler),
        m_Loop(std::make_shared<asio::io_context>()),
        m_State(std::make_shared<ServerState>()),
        m_Registry(std::make_shared<ExchangeRegistry>()) {}

  ~Impl() { stop(Duration{0}); }

  std::error_code start() {
    const auto Address = parseEndpoint(m_Options.Address);
    if (!Address)
      return Address.error();
    try {
      openServer(*Address);
    } catch (const std::system_error &Error) {
      m_Server.reset();
      return {Error.code().value(), std::system_category()};
    } catch (const std::exception &) {
      m_Server.reset();
      return Errc::InvalidInput;
    }
    for (std::size_t I = 0; I < m_Options.Threads; ++I)
      m_Threads.emplace_back([this] { m_Loop->run(); });
    return {};
  }

  std::uint16_t port() const { return m_Port; }

  std::size_t openExchanges() const { return m_State->OpenExchanges; }

  void stopAccepting() {
    m_State->Closing = true;
    if (!m_Server || m_Threads.empty() || m_AcceptorClosed)
      return;
    m_AcceptorClosed = true;
    std::promise<void> Closed;
    m_Server->close_async([&Closed] { Closed.set_value(); },
                          [&Closed](const auto &) { Closed.set_value(); });
    Closed.get_future().wait();
  }

  void stop(Duration FlushTime) {
    stopAccepting();
    const auto End = std::chrono::steady_clock::now() + FlushTime;
    while (m_State->PendingBytes > 0 && std::chrono::steady_clock::now() < End)
      std::this_thread::sleep_for(FlushPollPeriod);
    m_Loop->stop();
    for (auto &Worker : m_Threads)
      Worker.join();
    m_Threads.clear();
    m_Server.reset();
  }

private:
  void openServer(const Endpoint &Address) {
    using Settings = restinio::server_settings_t<ServerTraits>;
    m_Server = std::make_unique<HttpServer>(
        restinio::external_io_context(*m_Loop),
        [this, &Address](Settings &S) { configure(S, Address); });
    m_Server->open_sync();
  }

  void configure(restinio::server_settings_t<ServerTraits> &Settings,
                 const Endpoint &Address) {
    Settings.address(asio::ip::make_address(Address.Ip))
        .port(Address.Port)
        .ip_blocker(std::make_shared<ConnectionLimit>(m_Registry,
                                                      m_Options.MaxConnections))
        .max_pipelined_requests(PipelinedRequests)
        .read_next_http_message_timelimit(m_Options.ReadTimeout)
        .write_http_response_timelimit(m_Options.WriteTimeout)
        .handle_request_timeout(HandlerTimeLimit)
        .separate_accept_and_create_connect(true)
        .socket_options_setter([](auto &Options) {
          Options.set_option(asio::ip::tcp::no_delay(true));
        })
        .acceptor_post_bind_hook(
            [this](auto &Bound) { m_Port = Bound.local_endpoint().port(); })
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t()
                .max_url_size(m_Options.MaxUrlBytes)
                .max_field_name_size(m_Options.MaxHeaderNameBytes)
                .max_field_value_size(m_Options.MaxHeaderValueBytes)
                .max_field_count(m_Options.MaxHeaderCount)
                .max_body_size(m_Options.MaxBodyBytes))
        .connection_state_listener(
            std::make_shared<ConnectionListener>(m_Registry))
        .request_handler([this](restinio::request_handle_t Incoming) {
          return handle(*Incoming);
        });
  }

  restinio::request_handling_status_t handle(restinio::request_t &Incoming) {
    CallerSocket::noteRequest();
    const auto Entry =
        std::make_shared<HttpExchange>(m_Loop, m_State, m_Registry, Incoming);
    m_Registry->add(Incoming.connection_id(), Entry);
    if (asksForUpgrade(Incoming.header()))
      watchUpgradeRequest(Entry, Incoming);
    m_Handler.handle(Entry);
    return restinio::request_accepted();
  }

  static void watchUpgradeRequest(const std::shared_ptr<HttpExchange> &Entry,
                                  restinio::request_t &Incoming) {
    const std::weak_ptr<HttpExchange> Watched = Entry;
    CallerSocket::watchHangUp(restinio::impl::access_req_connection(Incoming),
                              [Watched] {
                                if (const auto Live = Watched.lock())
                                  Live->hangUpAndClose();
                              });
  }

  const CallerServerOptions m_Options;
  CallerHandler &m_Handler;
  LoopPtr m_Loop;
  ServerStatePtr m_State;
  ExchangeRegistryPtr m_Registry;
  std::unique_ptr<HttpServer> m_Server;
  std::vector<std::thread> m_Threads;
  std::uint16_t m_Port = 0;
  bool m_AcceptorClosed = false;
};

CallerServer::CallerServer(CallerServerOptions Options, CallerHandler &Handler)
    : m_Impl(std::make_unique<Impl>(std::move(Options), Handler)) {}

CallerServer::~CallerServer() = default;

std::error_code CallerServer::start() { return m_Impl->start(); }

std::uint16_t CallerServer::port() const { return m_Impl->port(); }

void CallerServer::stopAccepting() { m_Impl->stopAccepting(); }

void CallerServer::stop(Duration FlushTime) { m_Impl->stop(FlushTime); }

std::size_t CallerServer::openExchanges() const {
  return m_Impl->openExchanges();
}

} // namespace mangodeck
