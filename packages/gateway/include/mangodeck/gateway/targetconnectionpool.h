#ifndef MANGODECK_GATEWAY_TARGETCONNECTIONPOOL_H
#define MANGODECK_GATEWAY_TARGETCONNECTIONPOOL_H

#include "mangodeck/gateway/headernames.h"
#include "mangodeck/gateway/targetregistry.h"
#include "mangodeck/http/targetconnection.h"
#include "mangodeck/version/routeplan.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// Number of idle connections that one of \p DaemonCount daemons may keep to a
/// target. The target accepts \p MaxConnections from all daemons together; 0 if
/// the limit is unknown.
std::size_t maxIdleConnections(std::uint32_t MaxConnections,
                               std::size_t DaemonCount);

/// Keeps idle connections to targets for reuse. A connection serves one request
/// at a time. The most recently used connection is taken first, so connections
/// that the load does not need reach the idle limit and are closed.
class TargetConnectionPool {
public:
  using Connection = std::shared_ptr<http::TargetConnection>;
  using AcquireCallback = std::function<void(std::error_code, Connection)>;

  TargetConnectionPool(asio::any_io_executor Executor,
                       const HeaderNames &Names);

  /// Takes the services' connection limits from \p Plan.
  void configure(const RoutePlan &Plan);
  /// Sets the number of daemons that connect to the same targets.
  void setDaemonCount(std::size_t Count) { m_DaemonCount = Count; }

  /// A request for which a connection is acquired.
  struct Use {
    /// Excludes connections that the target may be about to close, for requests
    /// that cannot be sent again if the connection fails.
    bool RecentlyUsedOnly = false;
    /// Hash of the attempt id. Excludes connections on which the target has
    /// refused that attempt. Without an id no answer on a used connection is
    /// certainly its own, so a new one is opened.
    std::optional<std::uint64_t> Attempt;
    /// Ask the target for its start unless that was done on this connection.
    bool ConfirmStart = false;
  };
  /// Whether the start of \p Target can be asked for and compared.
  bool canConfirmStart(const TrackedTarget &Target) const;
  /// Calls \p Done with an idle connection before acquire() returns, or with a
  /// new connection once it is connected. With Use::ConfirmStart the target is
  /// asked first: TargetConnection::isServerConfirmed() tells whether the
  /// registered start of the target has answered; if another one has,
  /// TrackedTarget::recordProcessEnd() is called. That is at most one query a
  /// connection.
  void acquire(const TargetPtr &Target, const Use &Request,
               AcquireCallback Done);
  /// Returns a connection after an exchange. Closes the connection if it cannot
  /// be used again, if the target is draining, or if the target has its maximum
  /// of idle connections.
  void release(const TargetPtr &Target, Connection Used);
  /// Calls \p Done without an error if the target accepts a connection. The
  /// pool keeps the connection.
  void probe(const TargetPtr &Target,
             std::function<void(std::error_code)> Done);
  /// Closes connections that reached the idle limit or cannot be used again,
  /// and all connections to targets that are draining or were removed.
  void prune(TimePoint Now);
  /// Closes all idle connections, e.g. after the process was suspended.
  void closeIdle();
  /// Number of attempts to open a connection.
  std::uint64_t opened() const { return m_OpenedCount; }
  /// Number of times that an idle connection was handed out.
  std::uint64_t reused() const { return m_ReusedCount; }
  /// Number of times that a target was asked for its start.
  std::uint64_t startQueries() const { return m_StartQueryCount; }

private:
  struct IdleConnections {
    std::weak_ptr<TrackedTarget> Target;
    std::vector<Connection> Connections; ///< Most recently used last.
  };
  void connect(const TargetPtr &Target, AcquireCallback Done);
  /// Asks for the start of \p Target, then calls \p Done.
  void confirmStart(const TargetPtr &Target, Connection Ready,
                    AcquireCallback Done);
  std::size_t maxIdleFor(const TrackedTarget &Target) const;

  asio::any_io_executor m_Executor;
  const HeaderNames &m_Names;
  std::unordered_map<const TrackedTarget *, IdleConnections> m_Idle;
  /// Connection limit by service.
  std::unordered_map<std::string, std::uint32_t> m_MaxConnections;
  std::size_t m_DaemonCount = 1;
  std::uint64_t m_OpenedCount = 0;
  std::uint64_t m_ReusedCount = 0;
  std::uint64_t m_StartQueryCount = 0;
};

} // namespace mangodeck

#endif
