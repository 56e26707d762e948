#ifndef MANGODECK_SOAK_HTTPSERVER_H
#define MANGODECK_SOAK_HTTPSERVER_H

#include "mangodeck/http/parser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace mangodeck::soak {

using Socket = asio::ip::tcp::socket;

/// Accepts connections on a loopback address and serves each on a thread of
/// its own, with blocking calls.
class ThreadedServer {
public:
  using Serve = std::function<void(Socket &)>;
  ThreadedServer(const std::string &Ip, Serve Handler);
  ~ThreadedServer();

  std::uint16_t port() const { return m_Port; }
  const std::string &ip() const { return m_Ip; }
  /// Closes the listener and all connections.
  void stop();
  /// Resets all open connections.
  void resetAll();
  /// Closes the listener and all connections, as the end of a process does, and
  /// listens again after \p Pause. No effect while the listener is closed.
  void closeFor(std::chrono::milliseconds Pause);

private:
  void run();
  /// Wakes the thread that accepts.
  void wake();
  /// Closes the listener until m_ClosedUntil.
  void waitClosed();

  std::string m_Ip;
  Serve m_Handler;
  asio::io_context m_Loop;
  asio::ip::tcp::acceptor m_Acceptor;
  std::uint16_t m_Port = 0;
  std::atomic<bool> m_Stopped{false};
  std::atomic<std::chrono::steady_clock::rep> m_ClosedUntil{0};
  std::atomic<bool> m_ListenerClosed{false};
  std::mutex m_Mutex;
  std::list<std::shared_ptr<Socket>> m_Open;
  std::list<std::thread> m_Threads;
  std::thread m_Thread;
};

/// Reads whole requests off a blocking socket.
class RequestReader : private http::MessageSink {
public:
  explicit RequestReader(Socket &From);
  /// False when the connection ended or the bytes are no request.
  bool next(http::Request &Out);

private:
  void onHead() override {}
  void onBody(std::string_view Bytes) override { m_Body.append(Bytes); }

  Socket &m_From;
  http::RequestParser m_Parser;
  std::string m_Bytes;
  http::Body m_Body;
};

/// Writes all bytes; false when the other side is gone.
bool writeAll(Socket &To, std::string_view Bytes);

/// Closes with a reset.
void reset(Socket &Victim);

} // namespace mangodeck::soak

#endif
