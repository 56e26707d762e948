#ifndef MANGODECK_APPS_MANGODECKD_DAEMON_H
#define MANGODECK_APPS_MANGODECKD_DAEMON_H

#include "mangodeck/process/settings.h"
#include "mangodeck/version/record.h"

#include <memory>
#include <optional>

namespace mangodeck {

/// One daemon: all its parts, wired by their constructors.
class Daemon {
public:
  /// With \p Records the daemon keeps its store in its own memory.
  Daemon(Settings Options, std::optional<RecordSet> Records);
  ~Daemon();

  /// Opens the listeners and starts the threads.
  std::error_code start();

  /// Serves until a graceful shutdown, begun by SIGTERM or SIGINT, is done.
  void runUntilDrained();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mangodeck

#endif
