#ifndef MANGODECK_CONNECTION_CALLERSERVER_H
#define MANGODECK_CONNECTION_CALLERSERVER_H

#include "mangodeck/common/error.h"
#include "mangodeck/common/units.h"
#include "mangodeck/request/callerexchange.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace mangodeck {

/// Where a CallerServer listens, and what it accepts.
struct CallerServerOptions {
  std::string Address = "127.0.0.1:0"; ///< IP:PORT; port 0 takes a free one.
  std::size_t Threads = 2;
  std::size_t MaxConnections = 10000;
  std::size_t MaxUrlBytes = 4096;
  std::size_t MaxHeaderNameBytes = 256;
  std::size_t MaxHeaderValueBytes = 8192;
  std::size_t MaxHeaderCount = 64;
  std::size_t MaxBodyBytes = std::size_t{4} << 20;
  /// Time in which a whole request must arrive, and the longest time for which
  /// a connection without a request stays open.
  Duration ReadTimeout = 30s;
  /// Longest time for which a caller may take no byte of its answer.
  Duration WriteTimeout = 30s;
};

/// Serves HTTP/1.1 to callers, and to operators on the admin listener, and
/// hands each complete request to a CallerHandler. A connection whose caller
/// closes it, or only its sending half, counts as hung up: its unanswered
/// exchanges get their hang-up callback at once.
class CallerServer {
public:
  /// \p Handler must outlive the server.
  CallerServer(CallerServerOptions Options, CallerHandler &Handler);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// Binds the address and starts the threads. Errors: InvalidInput for an
  /// address that is not IP:PORT, otherwise the system's own.
  std::error_code start();

  /// The port that is bound; 0 before start().
  std::uint16_t port() const;

  /// Refuses new connections. Open ones go on; each answer then closes its
  /// connection.
  void stopAccepting();

  /// Waits for at most \p FlushTime until written answers are sent, closes all
  /// connections and ends the threads. Exchanges stay valid and do nothing.
  void stop(Duration FlushTime = 2s);

  /// Requests that are not answered yet.
  std::size_t openExchanges() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mangodeck

#endif
