#ifndef MANGODECK_PROCESS_SETTINGS_H
#define MANGODECK_PROCESS_SETTINGS_H

#include "mangodeck/common/diagnostic.h"
#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// A daemon that this one contacts at its start to join the others.
struct Seed {
  VmName Vm;
  std::string Address; ///< IP:PORT of its peer listener.
  FailureDomain Domain;
};

/// The settings of one daemon, read once at its start.
struct Settings {
  VmName Vm;
  FailureDomain Domain;
  std::string Region;
  std::string CallerAddress; ///< IP:PORT that callers connect to.
  std::string AdminAddress;  ///< IP:PORT that serves operators and metrics.
  std::string PeerAddress;   ///< IP:PORT for other daemons, TCP and UDP.
  std::vector<Seed> Seeds;
  /// Base URLs of the platform's store. If empty, the daemon uses a store in
  /// its own memory.
  std::vector<std::string> StoreEndpoints;
  double StoreCallsPerSecond = 20;
  /// URL of the platform's list of VMs and targets; empty if there is none.
  std::string PlatformListUrl;
  /// Keys of at least 16 bytes that authenticate datagrams and peer streams.
  /// The first key signs; signatures of any of the keys are accepted.
  std::vector<std::string> PeerKeys;
  std::uint32_t EntryThreads = 2;
  std::uint64_t MaxBodyBytes = 4 << 20;
  std::uint64_t MaxHeaderBytes = 32 << 10;
  std::uint64_t MaxWaitingBytes = 64 << 20; ///< Of waiting requests' bodies.
  Duration CallerIdleTimeout = 30s;
  /// How long a daemon that shuts down still accepts requests, because the
  /// balancer has not yet noticed that it is not ready.
  Duration BalancerLag = 10s;
  std::uint64_t GossipBytesPerSecond = 3000;
  std::uint32_t TimelineEvents = 65536; ///< Capacity of the timeline.
};

/// The settings that could be read, and every error that was found.
struct SettingsResult {
  Settings Values; ///< Valid only if Errors is empty.
  std::vector<Diagnostic> Errors;
};

/// Reads the YAML settings in \p Text; \p File names them in errors. Unknown
/// fields are errors.
SettingsResult parseSettings(std::string_view Text, std::string_view File);

/// Reads the YAML file at \p Path as parseSettings() does. A file that cannot
/// be read is an error in the result.
SettingsResult loadSettings(const std::string &Path);

} // namespace mangodeck

#endif
