#ifndef MANGODECK_SOAK_SOAKCALLER_H
#define MANGODECK_SOAK_SOAKCALLER_H

#include "httpserver.h"
#include "soakfleet.h"
#include "soakledger.h"

#include <functional>
#include <random>
#include <span>

namespace mangodeck::soak {

/// A caller on a thread of its own: sends requests to daemons, keeps using an
/// open connection until it is closed, and checks every answer.
class SoakCaller {
public:
  SoakCaller(std::span<const std::unique_ptr<SoakDaemon>> Daemons,
             SoakLedger &Ledger, const std::atomic<unsigned> &Generation,
             const std::atomic<bool> &Calm, std::uint64_t Seed,
             bool TakesStreams, bool IsImpatient);

  /// Sends requests until \p Stopped.
  void run(const std::atomic<bool> &Stopped);

private:
  struct Reading;
  bool connect();
  void ask();
  /// Reads one stream; takes it up at other daemons if it breaks.
  void readStream();
  /// Sends a request with the header lines \p Fields.
  bool send(const std::string &Id, const std::string &Path,
            std::uint64_t CrashingPart, const std::string &Fields);
  void read(Reading &Answer);
  /// Notes when the caller is told to return. A daemon owes no answer to a
  /// request that comes before.
  void noteRefusal(const Reading &Answer);
  /// Checks that \p Events are the first ones of a stream, written by one
  /// version; adds those that wrote them to \p Versions.
  void checkEvents(const std::string &Stream, const std::string &Events,
                   std::set<std::string> &Versions);
  void check(const std::string &Id, const std::string &Path,
             const Reading &Answer);
  /// Prompt parts: one that all requests share, one of a session, the crashing
  /// one if it is not 0, and one of its own.
  std::string drawPrompt(std::uint64_t CrashingPart);
  void checkGeneration(unsigned Asked, bool Known);

  std::span<const std::unique_ptr<SoakDaemon>> m_Daemons;
  SoakLedger &m_Ledger;
  const std::atomic<unsigned> &m_Generation; ///< Newest version written.
  const std::atomic<bool> &m_Calm;           ///< No fault for a while.
  std::mt19937_64 m_Random;
  bool m_IsImpatient; ///< Returns before it is told to.
  Clock::time_point m_ReturnAt{};
  bool m_CameAsTold = true;    ///< The last request; see noteRefusal().
  bool m_TakesStreams;         ///< Reads slow streams, and nothing else.
  bool m_Moves;                ///< Opens a new connection from time to time.
  std::string m_FirstOfStream; ///< Attempt that brought the first event.
  asio::io_context m_Loop;
  std::unique_ptr<Socket> m_Socket;
  SoakDaemon *m_Daemon = nullptr;
  unsigned m_Incarnation = 0;
  unsigned m_SeenGeneration = 0; ///< By this connection's incarnation.
};

} // namespace mangodeck::soak

#endif
