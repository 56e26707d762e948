#include "mangodeck/connection/callerserver.h"

#include "callersocket.h"

#include "mangodeck/request/problem.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace mangodeck {

namespace {

/// RESTinio's own limit on the time until an answer; deadlines are the
/// handler's, so it is out of the way.
constexpr auto HandlerTimeLimit = std::chrono::hours(24 * 365);

/// Requests of one connection that may be in progress. More than one, because
/// RESTinio reads, and so notices a hang-up, only while there is room for one.
constexpr std::size_t PipelinedRequests = 8;

constexpr std::size_t RegistryShards = 16;
constexpr auto FlushPollPeriod = std::chrono::milliseconds(5);

/// What a server shares with its exchanges and their writes.
struct ServerState {
  std::atomic<bool> Closing{false};
  std::atomic<std::size_t> OpenExchanges{0};
  std::atomic<std::size_t> PendingBytes{0};
};

using ServerStatePtr = std::shared_ptr<ServerState>;
using LoopPtr = std::shared_ptr<asio::io_context>;
using ByteCounter = std::shared_ptr<std::atomic<std::size_t>>;

/// Counts bytes as pending for as long as it lives; it belongs to one write,
/// which destroys it when the bytes were sent or dropped.
class PendingWrite {
public:
  PendingWrite(ServerStatePtr State, ByteCounter Counter, std::size_t Bytes)
      : m_State(std::move(State)), m_Counter(std::move(Counter)),
        m_Bytes(Bytes) {
    m_State->PendingBytes += m_Bytes;
    *m_Counter += m_Bytes;
  }
  ~PendingWrite() {
    m_State->PendingBytes -= m_Bytes;
    *m_Counter -= m_Bytes;
  }
  PendingWrite(const PendingWrite &) = delete;
  PendingWrite &operator=(const PendingWrite &) = delete;

private:
  ServerStatePtr m_State;
  ByteCounter m_Counter;
  std::size_t m_Bytes;
};

class Exchange;

/// Knows the open connections and the unanswered exchanges of each.
class ExchangeRegistry {
public:
  void add(restinio::connection_id_t Connection,
           const std::shared_ptr<Exchange> &Entry) {
    auto &Part = shardOf(Connection);
    const std::lock_guard Lock(Part.Mutex);
    Part.ByConnection[Connection].push_back({Entry.get(), Entry});
  }

  /// Compares addresses only: taking a reference here could make it the last
  /// one, whose end calls remove() again.
  void remove(restinio::connection_id_t Connection, const Exchange *Entry) {
    auto &Part = shardOf(Connection);
    const std::lock_guard Lock(Part.Mutex);
    const auto It = Part.ByConnection.find(Connection);
    if (It == Part.ByConnection.end())
      return;
    std::erase_if(It->second, [Entry](const Item &Candidate) {
      return Candidate.Key == Entry;
    });
    if (It->second.empty())
      Part.ByConnection.erase(It);
  }

  /// Notes an accepted connection.
  void open(restinio::connection_id_t Connection) {
    auto &Part = shardOf(Connection);
    const std::lock_guard Lock(Part.Mutex);
    Part.Open.insert(Connection);
    ++m_OpenCount;
  }

  std::size_t openCount() const { return m_OpenCount; }

  /// Forgets a connection and returns its unanswered exchanges. RESTinio may
  /// report more than once that a connection closed.
  std::vector<std::shared_ptr<Exchange>>
  close(restinio::connection_id_t Connection) {
    auto &Part = shardOf(Connection);
    std::vector<std::shared_ptr<Exchange>> Result;
    const std::lock_guard Lock(Part.Mutex);
    m_OpenCount -= Part.Open.erase(Connection);
    const auto It = Part.ByConnection.find(Connection);
    if (It == Part.ByConnection.end())
      return Result;
    for (const auto &Entry : It->second)
      if (auto Live = Entry.Live.lock())
        Result.push_back(std::move(Live));
    Part.ByConnection.erase(It);
    return Result;
  }

private:
  struct Item {
    const Exchange *Key;
    std::weak_ptr<Exchange> Live;
  };

  struct Shard {
    std::mutex Mutex;
    std::unordered_map<restinio::connection_id_t, std::vector<Item>>
        ByConnection;
    std::unordered_set<restinio::connection_id_t> Open;
  };

  Shard &shardOf(restinio::connection_id_t Connection) {
    return m_Shards[Connection % RegistryShards];
  }

  std::array<Shard, RegistryShards> m_Shards;
  std::atomic<std::size_t> m_OpenCount{0};
};

using ExchangeRegistryPtr = std::shared_ptr<ExchangeRegistry>;

/// True for headers that this server sets itself.
bool isConnectionHeader(std::string_view Name) {
  constexpr std::array<std::string_view, 4> Names{
      "connection", "content-length", "keep-alive", "transfer-encoding"};
  const Header Field{std::string(Name), {}};
  return std::any_of(Names.begin(), Names.end(), [&Field](auto Entry) {
    return findHeader(std::span(&Field, 1), Entry) != nullptr;
  });
}

restinio::http_response_header_t
makeHead(int Status, std::span<const Header> Headers, bool KeepAlive) {
  restinio::http_response_header_t Head(restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<std::uint16_t>(Status)),
      std::string(reasonPhrase(Status))));
  for (const auto &Field : Headers)
    if (!isConnectionHeader(Field.Name))
      Head.add_field(Field.Name, Field.Value);
  Head.should_keep_alive(KeepAlive);
  return Head;
}

/// One request of one connection.
class Exchange : public CallerExchange,
                 public std::enable_shared_from_this<Exchange> {
public:
  Exchange(LoopPtr Loop, ServerStatePtr State, ExchangeRegistryPtr Registry,
           restinio::request_t &Incoming)
      : m_Loop(std::move(Loop)), m_State(std::move(State)),
        m_Registry(std::move(Registry)),
        m_Connection(restinio::impl::access_req_connection(Incoming)),
        m_ConnectionId(Incoming.connection_id()),
        m_RequestId(Incoming.request_id()),
        m_CallerKeepsAlive(Incoming.header().should_keep_alive()),
        m_Pending(std::make_shared<std::atomic<std::size_t>>(0)) {
    const auto &Head = Incoming.header();
    m_Request.Method = Head.method().c_str();
    m_Request.Path = Head.request_target();
    Head.for_each_field([this](const auto &Field) {
      m_Request.Headers.push_back({Field.name(), Field.value()});
    });
    m_Request.Body = Incoming.body();
    ++m_State->OpenExchanges;
  }

  ~Exchange() override { abort(); }

  const CallerRequest &request() const override { return m_Request; }

  void respond(int Status, std::span<const Header> Headers,
               std::string Body) override {
    std::unique_lock Lock(m_Mutex);
    if (m_Phase != Phase::Waiting)
      return;
    const bool KeepAlive = keepsAlive();
    auto Head = makeHead(Status, Headers, KeepAlive);
    Head.content_length(Body.size());
    auto Bytes = restinio::impl::create_header_string(Head);
    if (m_Request.Method != "HEAD")
      Bytes += Body;
    markDone();
    send(std::move(Bytes), true, KeepAlive);
    release(Lock);
  }

  void begin(int Status, std::span<const Header> Headers) override {
    const std::lock_guard Lock(m_Mutex);
    if (m_Phase != Phase::Waiting)
      return;
    m_Phase = Phase::Streaming;
    m_StreamKeepsAlive = keepsAlive();
    auto Head = makeHead(Status, Headers, m_StreamKeepsAlive);
    Head.set_field(restinio::http_field::transfer_encoding, "chunked");
    send(restinio::impl::create_header_string(
             Head, restinio::impl::content_length_field_presence_t::
                       skip_content_length),
         false, true);
  }

  void write(std::string Chunk) override {
    const std::lock_guard Lock(m_Mutex);
    if (m_Phase != Phase::Streaming || Chunk.empty())
      return;
    send(fmt::format("{:x}\r\n{}\r\n", Chunk.size(), Chunk), false, true);
  }

  void finish() override {
    std::unique_lock Lock(m_Mutex);
    if (m_Phase != Phase::Streaming)
      return;
    markDone();
    send("0\r\n\r\n", true, m_StreamKeepsAlive);
    release(Lock);
  }

  void abort() override {
    std::unique_lock Lock(m_Mutex);
    if (m_Phase == Phase::Done)
      return;
    markDone();
    send({}, true, false);
    release(Lock);
  }

  std::size_t pendingBytes() const override { return *m_Pending; }

  void onHangUp(std::function<void()> Callback) override {
    {
      const std::lock_guard Lock(m_Mutex);
      if (m_Phase != Phase::Done) {
        m_HangUp = std::move(Callback);
        return;
      }
      if (!m_HungUp)
        return;
    }
    Callback();
  }

  /// The connection closed; called on its strand.
  void hangUp() {
    std::function<void()> Callback;
    {
      std::unique_lock Lock(m_Mutex);
      if (m_Phase == Phase::Done)
        return;
      m_HungUp = true;
      Callback = std::move(m_HangUp);
      markDone();
      release(Lock);
    }
    if (Callback)
      Callback();
  }

private:
  enum class Phase : std::uint8_t { Waiting, Streaming, Done };

  bool keepsAlive() const { return m_CallerKeepsAlive && !m_State->Closing; }

  /// Hands bytes to the connection, which sends them in order on its strand.
  void send(std::string Bytes, bool Last, bool KeepAlive) {
    using namespace restinio;
    const response_output_flags_t Flags(
        Last ? response_parts_attr_t::final_parts
             : response_parts_attr_t::not_final_parts,
        KeepAlive ? response_connection_attr_t::connection_keepalive
                  : response_connection_attr_t::connection_close);
    writable_items_container_t Items;
    if (!Bytes.empty()) {
      auto Pending =
          std::make_shared<PendingWrite>(m_State, m_Pending, Bytes.size());
      Items.emplace_back(std::move(Bytes));
      write_group_t Group(std::move(Items));
      Group.after_write_notificator([Pending](const auto &) {});
      m_Connection->write_response_parts(m_RequestId, Flags, std::move(Group));
      return;
    }
    m_Connection->write_response_parts(m_RequestId, Flags,
                                       write_group_t(std::move(Items)));
  }

  /// Nothing is sent or reported for the exchange by later calls.
  void markDone() {
    m_Phase = Phase::Done;
    --m_State->OpenExchanges;
  }

  /// Drops the hang-up callback, and with it what it refers to, and leaves the
  /// registry. Both happen outside the lock.
  void release(std::unique_lock<std::mutex> &Lock) {
    const auto Dropped = std::move(m_HangUp);
    m_HangUp = nullptr;
    Lock.unlock();
    m_Registry->remove(m_ConnectionId, this);
  }

  LoopPtr m_Loop; ///< Outlives the connection, which belongs to it.
  ServerStatePtr m_State;
  ExchangeRegistryPtr m_Registry;
  restinio::impl::connection_handle_t m_Connection;
  const restinio::connection_id_t m_ConnectionId;
  const restinio::request_id_t m_RequestId;
  const bool m_CallerKeepsAlive;
  ByteCounter m_Pending;
  CallerRequest m_Request;

  std::mutex m_Mutex;
  Phase m_Phase = Phase::Waiting;
  bool m_HungUp = false;
  bool m_StreamKeepsAlive = true;
  std::function<void()> m_HangUp;
};

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
        std::make_shared<Exchange>(m_Loop, m_State, m_Registry, Incoming);
    m_Registry->add(Incoming.connection_id(), Entry);
    m_Handler.handle(Entry);
    return restinio::request_accepted();
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
