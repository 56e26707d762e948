#ifndef MANGODECK_GATEWAY_VERSIONHISTORY_H
#define MANGODECK_GATEWAY_VERSIONHISTORY_H

#include "mangodeck/common/units.h"
#include "mangodeck/gateway/softwareversion.h"
#include "mangodeck/gateway/targetregistry.h"

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace mangodeck {

/// A version of a service's targets, as the store keeps it for daemons that
/// start later.
struct VersionRecord {
  ServiceName Service;
  std::optional<std::string> Version;
  /// Wall-clock time since the Unix epoch at which the last target of the
  /// version was removed; std::nullopt while there is one.
  std::optional<std::chrono::milliseconds> GoneAt;
  bool operator==(const VersionRecord &) const = default;
};

/// Age of what is known of the store from which on a daemon counts as cut off
/// from it. Targets renew their registrations more often, which ends the wait
/// for changes.
constexpr Duration DirectoryTimeout = 3s;
/// A version that appears beside others begins no streams that can be taken up
/// for this long. Every daemon whose view of the store is not older than
/// DirectoryTimeout knows the version by then.
constexpr Duration VersionSettleTime = DirectoryTimeout + 500ms;

/// The versions of each service that may have begun a stream which can still be
/// taken up: those registered now, and those that were within the horizon, the
/// longest time for which a stream lasts.
///
/// While there is only one, nothing needs to be known of a stream to take it
/// up. A daemon that has just started does not know which versions it missed,
/// so a daemon that sees more than one version of a service writes them to the
/// store. That is a write for each appearance and end of a version, and none
/// while a service has one version.
class VersionHistory {
public:
  void setHorizon(Duration Horizon) { m_Horizon = Horizon; }
  /// A target is registered.
  void recordRegistered(const TargetEntry &Entry, TimePoint Now);
  /// Updates which versions are registered, and drops those that are beyond the
  /// horizon. Linear in the number of targets.
  void
  refresh(const std::map<std::string, std::vector<TargetPtr>> &TargetsByService,
          TimePoint Now);
  /// Applies what the store holds.
  void mergeStored(std::span<const VersionRecord> Records,
                   std::chrono::milliseconds WallClock, TimePoint Now);
  /// What the store should hold, if that differs from what it does hold.
  std::optional<std::vector<VersionRecord>>
  recordsToStore(std::chrono::milliseconds WallClock, TimePoint Now) const;

  /// The only version of all \p Services; std::nullopt if there are several, or
  /// none.
  std::optional<VersionId>
  soleVersion(std::span<const ServiceName> Services) const;
  /// From this time on a version may begin streams that can be taken up.
  TimePoint settledAt(const ServiceName &Service, VersionId Version) const;
  /// All registrations have been listed for the first time: when they were
  /// made is not known, so the version with the most targets of each service
  /// may begin streams now.
  void settleMain(
      const std::map<std::string, std::vector<TargetPtr>> &TargetsByService,
      TimePoint Now);
  /// The service of a known version.
  std::optional<ServiceName> serviceOf(VersionId Version) const;

private:
  struct Sighting {
    std::optional<std::string> Version;
    TimePoint LastSeen{};
    TimePoint SettledAt{};
    bool IsRegistered = false;
    bool IsStored = false;
    bool IsStoredAsGone = false;
  };
  using Sightings = std::map<VersionId, Sighting>;

  /// The sighting of a version; a new one if it has not been seen.
  Sighting &find(const ServiceName &Service,
                 const std::optional<std::string> &Version, TimePoint Now);

  Duration m_Horizon = 60s;
  std::map<std::string, Sightings> m_ByService;
};

} // namespace mangodeck

#endif
