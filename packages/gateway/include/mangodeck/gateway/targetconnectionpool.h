#ifndef MANGODECK_GATEWAY_TARGETCONNECTIONPOOL_H
#define MANGODECK_GATEWAY_TARGETCONNECTIONPOOL_H

#include "mangodeck/gateway/targetbook.h"
#include "mangodeck/http/targetconnection.h"
#include "mangodeck/version/routeplan.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// Idle connections that a daemon keeps to a target that takes
/// \p MaxConnections from all \p Daemons together; 0: no limit is known.
std::size_t maxIdleConnections(std::uint32_t MaxConnections,
                               std::size_t Daemons);

/// Kept connections to targets. A connection serves one request at a time;
/// the one that was idle for the shortest time is used first, so that those
/// not needed grow old and are closed.
class TargetConnectionPool {
public:
  using Connection = std::shared_ptr<http::TargetConnection>;
  using Ready = std::function<void(std::error_code, Connection)>;

  explicit TargetConnectionPool(asio::any_io_executor Executor);

  /// Takes over the services' limits on connections.
  void configure(const RoutePlan &Plan);
  /// Daemons that connect to the same targets.
  void setDaemonCount(std::size_t Count) { m_Daemons = Count; }

  /// Hands out an idle connection at once, or a new one when it is connected.
  /// \p Fresh: an idle connection only if it was used within the last moment,
  /// since a request that may not be repeated is lost with its connection.
  void acquire(const TargetPtr &Target, bool Fresh, Ready Done);
  /// Keeps a connection whose exchange is over, if it can be used again.
  void release(const TargetPtr &Target, Connection Used);
  /// Connects once to learn whether the target still listens; a connection
  /// that succeeds is kept.
  void probe(const TargetPtr &Target, std::function<void(bool)> Done);
  /// Closes what was idle for long, or belongs to targets that are gone.
  void prune(TimePoint Now);
  /// Closes all idle connections, e.g. after the process stood still.
  void closeIdle();
  std::uint64_t opened() const { return m_Opened; }
  std::uint64_t reused() const { return m_Reused; }

private:
  struct Idle {
    std::weak_ptr<KnownTarget> Target;
    std::vector<Connection> Connections;
  };
  void connect(const TargetPtr &Target, Ready Done);
  std::size_t boundOf(const KnownTarget &Target) const;

  asio::any_io_executor m_Executor;
  std::unordered_map<const KnownTarget *, Idle> m_Idle;
  std::unordered_map<std::string, std::uint32_t> m_MaxConnections;
  std::size_t m_Daemons = 1;
  std::uint64_t m_Opened = 0;
  std::uint64_t m_Reused = 0;
};

} // namespace mangodeck

#endif
