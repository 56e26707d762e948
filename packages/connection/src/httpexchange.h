#ifndef MANGODECK_CONNECTION_HTTPEXCHANGE_H
#define MANGODECK_CONNECTION_HTTPEXCHANGE_H

#include "exchangeregistry.h"

#include "mangodeck/request/callerexchange.h"
#include "mangodeck/request/problem.h"

#include <fmt/format.h>
#include <restinio/all.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>

namespace mangodeck {

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

/// True for headers that this server sets itself.
inline bool isConnectionHeader(std::string_view Name) {
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

/// True for a request that RESTinio treats as an upgrade of the protocol.
/// After its answer RESTinio would hand the request over again, so that its
/// connection must be closed.
inline bool asksForUpgrade(const restinio::http_request_header_t &Head) {
  return Head.has_field(restinio::http_field::upgrade) ||
         Head.method() == restinio::http_method_connect();
}

/// One request of one connection. RESTinio's builders of answers cannot end an
/// answer early, so that the connection is written to directly.
class HttpExchange : public CallerExchange,
                     public std::enable_shared_from_this<HttpExchange> {
public:
  HttpExchange(LoopPtr Loop, ServerStatePtr State, ExchangeRegistryPtr Registry,
               restinio::request_t &Incoming)
      : m_Loop(std::move(Loop)), m_State(std::move(State)),
        m_Registry(std::move(Registry)),
        m_Connection(restinio::impl::access_req_connection(Incoming)),
        m_ConnectionId(Incoming.connection_id()),
        m_RequestId(Incoming.request_id()),
        m_CallerKeepsAlive(Incoming.header().should_keep_alive() &&
                           !asksForUpgrade(Incoming.header())),
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

  ~HttpExchange() override { abort(); }

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

  /// The caller closed the connection, and RESTinio does not know yet.
  void hangUpAndClose() {
    hangUp();
    send({}, true, false);
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

} // namespace mangodeck

#endif
