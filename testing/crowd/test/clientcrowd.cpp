#include "clientcrowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mangodeck::crowd {

namespace {

using Clock = std::chrono::steady_clock;

/// Receive buffer of a client that does not read: small, so that what is not
/// read stays with the daemon and not in this machine's kernel.
constexpr int UnreadBufferBytes = 4096;
/// Time between two connections of a client that connects again at once, which
/// bounds the crowd's use of this machine.
constexpr std::chrono::milliseconds ReconnectPause{20};
constexpr std::chrono::seconds CallTimeout{3};

/// Whether \p Answer has all bytes that its head states.
bool isWhole(const std::string &Answer) {
  const auto HeadEnd = Answer.find("\r\n\r\n");
  const auto At = Answer.find("Content-Length: ");
  return HeadEnd != Answer.npos && At < HeadEnd &&
         Answer.size() >=
             HeadEnd + 4 + std::strtoul(&Answer[At + 16], nullptr, 10);
}

sockaddr_in addressOf(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = ::inet_addr(Ip.c_str());
  return Address;
}

} // namespace

ClientCrowd::ClientCrowd(std::string Ip, std::uint16_t Port,
                         std::vector<ClientPlan> Plans)
    : m_Ip(std::move(Ip)), m_Port(Port) {
  for (auto &Plan : Plans)
    m_Clients.emplace_back().Plan = std::move(Plan);
  m_Thread = std::thread([this] { run(); });
}

ClientCrowd::~ClientCrowd() {
  m_Stopped = true;
  m_Thread.join();
  for (auto &Each : m_Clients)
    close(Each);
}

void ClientCrowd::close(Client &Each) {
  if (Each.Socket >= 0)
    ::close(Each.Socket);
  Each.Socket = -1;
}

void ClientCrowd::connect(Client &Each) const {
  Each.Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (!Each.Plan.Reads)
    ::setsockopt(Each.Socket, SOL_SOCKET, SO_RCVBUF, &UnreadBufferBytes,
                 sizeof(UnreadBufferBytes));
  const auto Address = addressOf(m_Ip, m_Port);
  ::connect(Each.Socket, reinterpret_cast<const sockaddr *>(&Address),
            sizeof(Address));
  Each.Sent = 0;
  Each.NextPieceAt = Clock::now() + Each.Plan.PiecePause;
  ++m_Connections;
}

void ClientCrowd::send(Client &Each, Clock::time_point Now) const {
  const auto &Plan = Each.Plan;
  const auto Whole = Plan.Start.size() + Plan.Piece.size() * Plan.Repeats;
  while (Each.Sent < Whole) {
    std::string_view Bytes = Plan.Start;
    auto At = Each.Sent;
    if (At >= Plan.Start.size()) {
      if (Now < Each.NextPieceAt)
        return;
      Bytes = Plan.Piece;
      At = (At - Plan.Start.size()) % Plan.Piece.size();
    }
    Bytes.remove_prefix(At);
    const auto Count =
        ::send(Each.Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count < 0 && errno == EAGAIN)
      return;
    if (Count < 0) {
      Each.IsOver = true;
      return;
    }
    Each.Sent += static_cast<std::size_t>(Count);
    if (static_cast<std::size_t>(Count) == Bytes.size())
      Each.NextPieceAt = Now + Plan.PiecePause;
  }
}

void ClientCrowd::receive(Client &Each) const {
  std::array<char, 16384> Buffer;
  const auto Count = ::recv(Each.Socket, Buffer.data(), Buffer.size(), 0);
  if (Count == 0 || (Count < 0 && errno != EAGAIN))
    Each.IsOver = true;
}

void ClientCrowd::run() {
  std::vector<pollfd> Polled;
  for (auto &Each : m_Clients)
    Each.NextPieceAt = Clock::now() + Each.Plan.Delay;
  while (!m_Stopped) {
    // Step 1. Wait until a client can go on.
    const auto Now = Clock::now();
    Polled.clear();
    for (auto &Each : m_Clients) {
      const auto Whole =
          Each.Plan.Start.size() + Each.Plan.Piece.size() * Each.Plan.Repeats;
      const bool Sends = Each.Sent < Each.Plan.Start.size() ||
                         (Each.Sent < Whole && Now >= Each.NextPieceAt);
      Polled.push_back({Each.Socket,
                        static_cast<short>((Sends ? POLLOUT : 0) |
                                           (Each.Plan.Reads ? POLLIN : 0)),
                        0});
    }
    ::poll(Polled.data(), Polled.size(), 5);

    // Step 2. Let those send and receive that can.
    for (std::size_t I = 0; I < m_Clients.size(); ++I) {
      auto &Each = m_Clients[I];
      if (Each.Socket >= 0 && (Polled[I].revents & POLLOUT) != 0)
        send(Each, Clock::now());
      if (Each.Socket >= 0 && Each.Plan.Reads &&
          (Polled[I].revents & (POLLIN | POLLHUP | POLLERR)) != 0)
        receive(Each);
      if (Each.Socket >= 0 && !Each.Plan.Reads &&
          (Polled[I].revents & (POLLHUP | POLLERR)) != 0)
        Each.IsOver = true;

      // Step 3. Close connections that are over, and open those that are due.
      if (Each.IsOver && Each.Socket >= 0) {
        close(Each);
        Each.NextPieceAt = Clock::now() + ReconnectPause;
      }
      if (Each.Socket < 0 && (Each.Plan.Reconnects || !Each.IsOver) &&
          Clock::now() >= Each.NextPieceAt) {
        Each.IsOver = false;
        connect(Each);
      }
    }
  }
}

std::string callOnce(const std::string &Ip, std::uint16_t Port,
                     const std::string &Request) {
  const auto End = Clock::now() + CallTimeout;
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval Timeout{3, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof(Timeout));
  const auto Address = addressOf(Ip, Port);
  std::string Answer;
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0 &&
      ::send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Request.size())) {
    std::array<char, 16384> Buffer;
    while (Clock::now() < End && !isWhole(Answer)) {
      const auto Count = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
      if (Count <= 0)
        break;
      Answer.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
  }
  ::close(Socket);
  const auto HeadEnd = Answer.find("\r\n\r\n");
  if (!Answer.starts_with("HTTP/1.1 ") || HeadEnd == Answer.npos)
    return "";
  return Answer.substr(9, 3) + " " + Answer.substr(HeadEnd + 4);
}

} // namespace mangodeck::crowd
