#ifndef MANGODECK_GATEWAY_DIRECTORYOBSERVER_H
#define MANGODECK_GATEWAY_DIRECTORYOBSERVER_H

#include "mangodeck/gateway/changeorigin.h"
#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/rolloutorder.h"
#include "mangodeck/gateway/targetregistry.h"
#include "mangodeck/gateway/versionhistory.h"
#include "mangodeck/version/routeplan.h"

#include <optional>
#include <span>
#include <string>

namespace mangodeck {

/// Receives the configuration, and the targets and daemons that the store
/// lists.
class DirectoryObserver {
public:
  virtual ~DirectoryObserver() = default;
  virtual void onPlan(RoutePlanPtr Plan) = 0;
  virtual void onTargetUpdated(const TargetEntry &Entry) = 0;
  /// The registration of a target is gone. \p AfterOutage: the store is
  /// unavailable or was so until just before, so that the registration may have
  /// expired only because the target could not renew it.
  virtual void onTargetRemoved(const TargetName &Id, bool AfterOutage) = 0;
  virtual void onPeerUpdated(const std::string &Vm,
                             const PeerEndpoint &Address) = 0;
  virtual void onPeerRemoved(const std::string &Vm) = 0;
  /// The store holds \p Records of the targets' software versions.
  virtual void onVersionRecords(std::span<const VersionRecord> Records) = 0;
  /// The store's keys on rollouts; std::nullopt: the key does not exist, or
  /// holds no order.
  virtual void onRolloutOrder(const ServiceName &Service,
                              std::optional<RolloutOrder> Order) {}
  virtual void onRolloutStatus(const ServiceName &Service,
                               std::optional<RolloutStatus> Status) {}
  virtual void onRolloutRecord(const ServiceName &Service,
                               std::optional<RolloutRecord> Record) {}
  /// Every target and daemon that the store lists has been reported once.
  virtual void onDirectoryComplete() = 0;
  /// All changes of the store up to \p Time have been reported. That is the
  /// time of the call, not of its answer, which may have been delayed.
  virtual void onDirectoryConfirmed(TimePoint Time) = 0;
  /// The reports that follow were learned by \p Origin.
  virtual void onDirectoryOrigin(const ChangeOrigin &Origin) {}
};

} // namespace mangodeck

#endif
