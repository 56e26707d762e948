#include "httpserver.h"

#include <asio/write.hpp>

namespace mangodeck::soak {

ThreadedServer::ThreadedServer(const std::string &Ip, Serve Handler)
    : m_Ip(Ip), m_Handler(std::move(Handler)),
      m_Acceptor(m_Loop, {asio::ip::make_address(Ip), 0}),
      m_Port(m_Acceptor.local_endpoint().port()), m_Thread([this] { run(); }) {}

ThreadedServer::~ThreadedServer() { stop(); }

void ThreadedServer::run() {
  while (!m_Stopped) {
    std::error_code Error;
    auto Accepted = std::make_shared<Socket>(m_Loop);
    m_Acceptor.accept(*Accepted, Error);
    if (m_ClosedUntil != 0) {
      Accepted.reset();
      waitClosed();
      continue;
    }
    if (Error || m_Stopped)
      continue;
    Accepted->set_option(asio::ip::tcp::no_delay(true), Error);
    const std::lock_guard Lock(m_Mutex);
    m_Open.push_back(Accepted);
    m_Threads.emplace_back([this, Accepted] {
      m_Handler(*Accepted);
      const std::lock_guard Inner(m_Mutex);
      std::error_code Ignored;
      Accepted->close(Ignored);
      m_Open.remove(Accepted);
    });
  }
}

void ThreadedServer::resetAll() {
  const std::lock_guard Lock(m_Mutex);
  for (const auto &Each : m_Open) {
    std::error_code Ignored;
    Each->set_option(asio::socket_base::linger(true, 0), Ignored);
    Each->shutdown(Socket::shutdown_both, Ignored);
  }
}

void ThreadedServer::wake() {
  std::error_code Ignored;
  Socket Waker(m_Loop);
  Waker.connect({asio::ip::make_address(m_Ip), m_Port}, Ignored);
}

void ThreadedServer::closeFor(std::chrono::milliseconds Pause) {
  decltype(m_ClosedUntil)::value_type Open = 0;
  const auto Until = std::chrono::steady_clock::now() + Pause;
  if (!m_ClosedUntil.compare_exchange_strong(Open,
                                             Until.time_since_epoch().count()))
    return;
  wake();
  while (!m_ListenerClosed && !m_Stopped)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  resetAll();
}

void ThreadedServer::waitClosed() {
  // A port that is bound but not listened at refuses connections, and no other
  // socket can take it.
  const asio::ip::tcp::endpoint Local(asio::ip::make_address(m_Ip), m_Port);
  std::error_code Error;
  do {
    m_Acceptor.close(Error);
    m_Acceptor.open(Local.protocol(), Error);
    m_Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
    m_Acceptor.bind(Local, Error);
  } while (Error && !m_Stopped);
  m_ListenerClosed = true;
  std::this_thread::sleep_until(std::chrono::steady_clock::time_point(
      std::chrono::steady_clock::duration(m_ClosedUntil.load())));
  m_Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  m_ListenerClosed = false;
  m_ClosedUntil = 0;
}

void ThreadedServer::stop() {
  if (m_Stopped.exchange(true))
    return;
  std::error_code Ignored;
  wake();
  m_Thread.join();
  m_Acceptor.close(Ignored);
  resetAll();
  for (auto &Each : m_Threads)
    Each.join();
}

RequestReader::RequestReader(Socket &From)
    : m_From(From), m_Parser(*this, 65536, 8 << 20) {}

bool RequestReader::next(http::Request &Out) {
  m_Parser.reset();
  m_Body.clear();
  while (true) {
    const auto Used = m_Parser.feed(m_Bytes);
    m_Bytes.erase(0, Used);
    if (m_Parser.fault() != http::ParseFault::None)
      return false;
    if (m_Parser.isComplete()) {
      Out.Head = std::move(m_Parser.head());
      Out.Body = std::move(m_Body);
      m_Body = http::Body();
      return true;
    }
    std::array<char, 8192> Buffer;
    std::error_code Error;
    const auto Size = m_From.read_some(asio::buffer(Buffer), Error);
    if (Error)
      return false;
    m_Bytes.append(Buffer.data(), Size);
  }
}

bool writeAll(Socket &To, std::string_view Bytes) {
  std::error_code Error;
  asio::write(To, asio::buffer(Bytes.data(), Bytes.size()), Error);
  return !Error;
}

void reset(Socket &Victim) {
  std::error_code Ignored;
  Victim.set_option(asio::socket_base::linger(true, 0), Ignored);
  Victim.close(Ignored);
}

} // namespace mangodeck::soak
