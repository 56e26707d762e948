#ifndef MANGODECK_SOAK_SOAKFLEET_H
#define MANGODECK_SOAK_SOAKFLEET_H

#include "httpserver.h"
#include "soakledger.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mangodeck::soak {

/// One daemon as a process of its own, at a loopback address of its own.
class SoakDaemon {
public:
  SoakDaemon(std::string Program, std::string Folder, std::string Ip,
             std::string Domain, std::uint16_t StorePort,
             bool HasRollouts = false);
  ~SoakDaemon();

  /// \p ClockOffset: how far its time of day is ahead of the others'.
  void start(std::chrono::milliseconds ClockOffset = {});
  /// Sends \p Number to the process that this object started.
  void signal(int Number);
  /// Waits until it ended, for \p Limit at most; kills it then. False if it
  /// had to be killed.
  bool join(std::chrono::milliseconds Limit);
  /// Scheduling state, pending, blocked and handled signals, processor time and
  /// kernel function of the process when join() had to kill it.
  const std::string &stateAtKill() const { return m_StateAtKill; }

  /// Whether the process listens for readiness checks. Before its first
  /// statement a program cannot handle signals.
  bool isListening() const;
  /// How the process ended though nobody stopped it; std::nullopt if it runs.
  std::optional<std::string> endedByItself();

  const std::string &ip() const { return m_Ip; }
  std::uint16_t callerPort() const { return m_CallerPort; }
  /// Counts the starts; answers of different starts are not compared.
  unsigned incarnation() const { return m_Incarnation; }
  /// Name of the current start.
  std::string name() const {
    return m_Ip + "#" + std::to_string(m_Incarnation);
  }
  /// Whether the current start is at least this old.
  bool hasRunFor(std::chrono::milliseconds Span) const {
    return std::chrono::steady_clock::now().time_since_epoch().count() -
               m_StartedAt >=
           std::chrono::steady_clock::duration(Span).count();
  }
  bool isPlannedStop() const { return m_PlannedStop; }
  void setPlannedStop(bool Planned) { m_PlannedStop = Planned; }

private:
  std::string readState() const;
  std::string m_StateAtKill;
  std::string m_Program;
  std::string m_Folder;
  std::string m_Ip;
  std::uint16_t m_CallerPort;
  pid_t m_Process = 0;
  std::atomic<unsigned> m_Incarnation{0};
  std::atomic<std::chrono::steady_clock::rep> m_StartedAt{0};
  std::atomic<bool> m_PlannedStop{false};
};

} // namespace mangodeck::soak

#endif
