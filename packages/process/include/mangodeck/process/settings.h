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

/// Another daemon to contact first: its name and peer address.
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
  std::string CallerAddress; ///< IP:PORT for callers.
  std::string AdminAddress;  ///< IP:PORT for operators and metrics.
  std::string PeerAddress;   ///< IP:PORT for other daemons, TCP and UDP.
  std::vector<Seed> Seeds;
  /// Base URLs of the platform's store; empty with an in-process store.
  std::vector<std::string> StoreEndpoints;
  double StoreCallsPerSecond = 20;
  /// URL of the platform's list of VMs and targets; may be empty.
  std::string PlatformListUrl;
  /// Keys that authenticate datagrams and peer streams; the first one signs,
  /// all are accepted. Each at least 16 bytes.
  std::vector<std::string> PeerKeys;
  std::uint32_t EntryThreads = 2;
  std::uint64_t MaxBodyBytes = 4 << 20;
  std::uint64_t MaxHeaderBytes = 32 << 10;
  std::uint64_t MaxWaitingBytes = 64 << 20;
  Duration CallerIdleTimeout = 30s;
  /// How long a leaving daemon goes on accepting while the balancer notices.
  Duration BalancerLag = 10s;
  std::uint64_t GossipBytesPerSecond = 3000;
  std::uint32_t TimelineEvents = 65536;
};

/// Settings as far as they could be read, and every error that was found.
struct SettingsResult {
  Settings Values; ///< Not to be used unless Errors is empty.
  std::vector<Diagnostic> Errors;
};

/// Reads the YAML settings in \p Text; \p File names them in errors. Unknown
/// fields are errors.
SettingsResult parseSettings(std::string_view Text, std::string_view File);

/// Reads the YAML file at \p Path, see parseSettings().
SettingsResult loadSettings(const std::string &Path);

} // namespace mangodeck

#endif
