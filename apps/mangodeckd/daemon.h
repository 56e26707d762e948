#ifndef MANGODECK_APPS_MANGODECKD_DAEMON_H
#define MANGODECK_APPS_MANGODECKD_DAEMON_H

#include "mangodeck/process/settings.h"
#include "mangodeck/version/record.h"

#include <memory>
#include <optional>

namespace mangodeck {

/// One daemon: creates, connects and runs all its parts.
class Daemon {
public:
  /// With \p Records, or without store endpoints in \p Options, the daemon uses
  /// an in-memory store, which start() fills with \p Records.
  Daemon(Settings Options, std::optional<RecordSet> Records);
  ~Daemon();

  /// Opens the listeners and starts the threads.
  std::error_code start();

  /// Serves until a graceful shutdown has finished. SIGTERM, SIGINT or a
  /// request to leave from the platform list starts the shutdown.
  void runUntilDrained();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mangodeck

#endif
