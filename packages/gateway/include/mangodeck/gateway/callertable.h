#ifndef MANGODECK_GATEWAY_CALLERTABLE_H
#define MANGODECK_GATEWAY_CALLERTABLE_H

#include "mangodeck/gateway/eventlog.h"
#include "mangodeck/gateway/gatewaymetrics.h"
#include "mangodeck/gateway/memoryaccount.h"

#include <array>
#include <memory>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// The connections of callers, and the account of what they hold. Makes room
/// for a new demand by giving up what callers hold without progress, and for a
/// new connection by closing those without use.
///
/// Owned by the gateway of one process, on whose event loop all calls are made.
class CallerTable {
public:
  using CallerPtr = std::shared_ptr<http::CallerConnection>;

  /// \p MaxDescriptors: of the process.
  CallerTable(std::size_t MemoryLimitBytes, const MemoryShares &Shares,
              std::size_t MaxDescriptors, EventLog &Log,
              GatewayMetrics &Metrics);

  /// Makes room for one more connection; false if none can be closed.
  bool makeRoom(TimePoint Now);
  void add(const CallerPtr &Caller);
  /// Null if the connection is not in the table.
  CallerPtr find(const http::CallerConnection &Caller) const;
  CallerPtr remove(const http::CallerConnection &Caller);
  std::size_t size() const { return m_Callers.size(); }
  std::size_t maxConnections() const { return m_MaxConnections; }

  /// Size of the receive buffer of a new connection; std::nullopt for that of
  /// the system. With many connections it is small, since the system keeps
  /// what has arrived on all of them while this process is busy.
  std::optional<int> receiveBufferBytes() const;

  /// Reserves memory for \p Connection, if necessary after giving up what
  /// others hold without progress. Gives up nothing of \p Connection, whose
  /// functions or whose exchange's are on the call stack.
  bool reserve(const http::CallerConnection &Connection, http::MemoryUse Use,
               std::size_t Bytes, std::size_t Total);
  void overdraw(http::MemoryUse Use, std::size_t Bytes) {
    m_Account.overdraw(poolOf(Use), Bytes);
  }
  void release(http::MemoryUse Use, std::size_t Bytes) {
    m_Account.release(poolOf(Use), Bytes);
  }
  /// Whether callers hold more of answers than their share, also after giving
  /// up those without progress other than \p Connection.
  bool isAnswerMemoryShort(const http::CallerConnection &Connection);
  const MemoryAccount &account() const { return m_Account; }

  /// Applies the time limits of all connections, and writes what was refused
  /// and given up to the log, at most once a second.
  void update(TimePoint Now);
  void closeIdle();

private:
  struct Tally {
    std::size_t GivenUp = 0;
    std::size_t GivenUpBytes = 0;
    std::size_t Refused = 0;
  };

  /// Gives up one holder of \p Use; false if none has stalled.
  bool giveUpOne(const http::CallerConnection &Except, http::MemoryUse Use,
                 TimePoint Now);
  std::size_t ownerBytes(const http::CallerConnection &Connection) const;
  std::vector<CallerPtr> all() const;
  void logTallies(TimePoint Now);

  EventLog &m_Log;
  GatewayMetrics &m_Metrics;
  Duration m_StallTime;
  std::size_t m_MaxConnections;
  /// From this number of connections on receive buffers are small.
  std::size_t m_CrowdConnections;
  MemoryAccount m_Account;
  std::unordered_map<const http::CallerConnection *, CallerPtr> m_Callers;
  std::array<Tally, MemoryPools> m_Tallies;
  std::size_t m_ClosedUnused = 0;
  std::size_t m_NotAccepted = 0;
  TimePoint m_LastLogAt{};
  /// Before these times no holder of a pool can be given up.
  std::array<TimePoint, MemoryPools> m_NextSearchAt{};
};

} // namespace mangodeck

#endif
