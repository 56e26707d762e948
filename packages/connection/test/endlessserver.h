#ifndef MANGODECK_CONNECTION_TEST_ENDLESSSERVER_H
#define MANGODECK_CONNECTION_TEST_ENDLESSSERVER_H

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace mangodeck {

/// A faulty server: it answers each connection with a start, and then with the
/// same bytes again and again until the client closes the connection. Without
/// such bytes it ends the connection in order.
class EndlessServer {
public:
  EndlessServer(std::string Start, std::string Endless)
      : m_Start(std::move(Start)), m_Endless(std::move(Endless)),
        m_Acceptor(m_Loop, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
    m_Thread = std::thread([this] { m_Loop.run(); });
  }
  ~EndlessServer() {
    m_Loop.stop();
    m_Thread.join();
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
  }
  /// Bytes that were sent on the connection that took most.
  std::size_t longestBytes() const { return m_Longest; }

private:
  /// Above what a client may take; the connection then ends.
  static constexpr std::size_t MaxBytes = 256 << 20;
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;

  void accept() {
    m_Acceptor.async_accept(
        [this](std::error_code Error, asio::ip::tcp::socket New) {
          if (Error)
            return;
          const auto Client =
              std::make_shared<asio::ip::tcp::socket>(std::move(New));
          Client->async_wait(asio::socket_base::wait_read,
                             [this, Client](std::error_code Failure) {
                               if (!Failure)
                                 send(Client, m_Start + m_Endless, 0);
                             });
          accept();
        });
  }

  void send(const Socket &Client, const std::string &Bytes, std::size_t Sent) {
    const auto Kept = std::make_shared<std::string>(Bytes);
    asio::async_write(
        *Client, asio::buffer(*Kept),
        [this, Client, Kept, Sent](std::error_code Error, std::size_t Size) {
          const auto Total = Sent + Size;
          m_Longest = std::max(m_Longest.load(), Total);
          if (!Error && m_Endless.empty())
            return end(*Client);
          if (!Error && Total < MaxBytes)
            send(Client, m_Endless, Total);
        });
  }

  /// Reads the request first: closing with unread bytes would be a reset.
  static void end(asio::ip::tcp::socket &Client) {
    std::error_code Ignored; // The client may have closed the connection.
    std::array<char, 65536> Request;
    Client.read_some(asio::buffer(Request), Ignored);
    Client.close(Ignored);
  }

  const std::string m_Start;
  const std::string m_Endless;
  asio::io_context m_Loop;
  asio::ip::tcp::acceptor m_Acceptor;
  std::atomic<std::size_t> m_Longest{0};
  std::thread m_Thread;
};

} // namespace mangodeck

#endif
