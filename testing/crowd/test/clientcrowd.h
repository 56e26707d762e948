#ifndef MANGODECK_CROWD_CLIENTCROWD_H
#define MANGODECK_CROWD_CLIENTCROWD_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace mangodeck::crowd {

/// What one client of a crowd does.
struct ClientPlan {
  std::string Start; ///< Sent first.
  std::string Piece; ///< Sent then, Repeats times.
  std::size_t Repeats = 0;
  /// Pause before each piece.
  std::chrono::milliseconds PiecePause{0};
  bool Reads = true;
  /// Connects again when its connection was closed.
  bool Reconnects = false;
  /// Time after the start of the crowd at which the client connects.
  std::chrono::milliseconds Delay{0};
};

/// Clients that connect to one address and carry out their plans until the
/// crowd is destroyed, on one thread. Their bytes are bounded by their plans.
class ClientCrowd {
public:
  ClientCrowd(std::string Ip, std::uint16_t Port,
              std::vector<ClientPlan> Plans);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd &) = delete;
  ClientCrowd &operator=(const ClientCrowd &) = delete;

  std::size_t connections() const { return m_Connections; }

private:
  struct Client {
    ClientPlan Plan;
    int Socket = -1;
    std::size_t Sent = 0; ///< Of Start and the pieces.
    std::chrono::steady_clock::time_point NextPieceAt{};
    bool IsOver = false;
  };

  void run();
  void connect(Client &Each) const;
  void send(Client &Each, std::chrono::steady_clock::time_point Now) const;
  void receive(Client &Each) const;
  static void close(Client &Each);

  std::string m_Ip;
  std::uint16_t m_Port;
  std::vector<Client> m_Clients;
  mutable std::atomic<std::size_t> m_Connections{0};
  std::atomic<bool> m_Stopped{false};
  std::thread m_Thread;
};

/// Sends \p Request on a connection of its own, and returns the status and the
/// body of the answer: "200 body". Empty without an answer within 3 s.
std::string callOnce(const std::string &Ip, std::uint16_t Port,
                     const std::string &Request);

} // namespace mangodeck::crowd

#endif
