#ifndef MANGODECK_CONNECTION_TEST_RAWCALLER_H
#define MANGODECK_CONNECTION_TEST_RAWCALLER_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace mangodeck {

/// A caller that writes and reads bytes as a test wants them. Each read waits
/// for at most ten seconds.
class RawCaller {
public:
  explicit RawCaller(std::uint16_t Port)
      : m_Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    const timeval Limit{10, 0};
    ::setsockopt(m_Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_Connected = ::connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
                            sizeof(Address)) == 0;
  }
  ~RawCaller() { close(); }
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

  bool isConnected() const { return m_Connected; }

  bool send(std::string_view Bytes) const {
    while (!Bytes.empty()) {
      const auto Count =
          ::send(m_Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Count));
    }
    return true;
  }

  /// Reads until \p Mark was read or the connection ends; all that was read.
  std::string readUntil(std::string_view Mark) const {
    std::string Text;
    char C = 0;
    while (Text.find(Mark) == std::string::npos &&
           ::recv(m_Socket, &C, 1, 0) == 1)
      Text += C;
    return Text;
  }

  /// Reads until the connection ends.
  std::string readAll() const {
    std::string Text;
    char Buffer[4096];
    for (;;) {
      const auto Count = ::recv(m_Socket, Buffer, sizeof(Buffer), 0);
      if (Count <= 0)
        return Text;
      Text.append(Buffer, static_cast<std::size_t>(Count));
    }
  }

  void closeSending() const { ::shutdown(m_Socket, SHUT_WR); }

  void close() {
    if (m_Socket >= 0)
      ::close(m_Socket);
    m_Socket = -1;
  }

private:
  int m_Socket;
  bool m_Connected = false;
};

/// The port of an address IP:PORT.
inline std::uint16_t portOf(const std::string &Address) {
  return static_cast<std::uint16_t>(
      std::stoul(Address.substr(Address.rfind(':') + 1)));
}

/// Sends one request and returns the body of its answer.
inline std::string callOnce(const std::string &Address,
                            const std::string &Method, const std::string &Path,
                            const std::string &Body = {}) {
  const RawCaller Caller(portOf(Address));
  Caller.send(Method + " " + Path + " HTTP/1.1\r\nHost: h\r\nConnection: " +
              "close\r\nContent-Length: " + std::to_string(Body.size()) +
              "\r\n\r\n" + Body);
  const auto Answer = Caller.readAll();
  const auto End = Answer.find("\r\n\r\n");
  return End == std::string::npos ? "" : Answer.substr(End + 4);
}

} // namespace mangodeck

#endif
