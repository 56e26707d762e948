#ifndef MANGODECK_GATEWAY_ROLLOUTORDER_H
#define MANGODECK_GATEWAY_ROLLOUTORDER_H

#include "mangodeck/common/ids.h"
#include "mangodeck/gateway/keyvaluestore.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// An operator's order to move the traffic of a service to targets of another
/// software version. Owner: the operator; identified by the revision of its
/// key.
struct RolloutOrder {
  ServiceName Service;
  std::string To; ///< The version's text.
  Duration TimeLimit{0};
  StoreRevision Revision;
  bool operator==(const RolloutOrder &) const = default;
};

enum class RolloutState : std::uint8_t { Running, Completed, RolledBack };

/// What the fleet states of an order. Final for its order unless Running.
struct RolloutStatus {
  ServiceName Service;
  RolloutState State = RolloutState::Running;
  std::string To;
  StoreRevision Revision;
  bool operator==(const RolloutStatus &) const = default;
};

/// How far the traffic has been moved. A step only increases.
enum class RolloutStep : std::uint8_t {
  Waiting,  ///< No target of the version is ready.
  Trial,    ///< A small share goes to few of its targets.
  Confirm,  ///< A larger share goes to all of its targets.
  Switched, ///< All new requests; the others end what they began.
  Final,    ///< Requests that still run at another version are given up.
};

/// Sums over all processes.
struct RolloutTotals {
  std::uint64_t Requests = 0; ///< That reached the service.
  std::uint64_t Sent = 0;     ///< To the version.
  std::uint64_t Answers = 0;  ///< Of the version.
  std::uint64_t Bad = 0;
  std::uint64_t OtherAnswers = 0; ///< Of the other versions.
  std::uint64_t OtherBad = 0;
  bool operator==(const RolloutTotals &) const = default;
};

/// What must survive the end of all daemons. Written once a step.
struct RolloutRecord {
  ServiceName Service;
  StoreRevision Order; ///< RolloutOrder::Revision.
  std::string To;
  std::chrono::milliseconds StartedAt{0}; ///< Wall clock, since the epoch.
  RolloutStep Step = RolloutStep::Waiting;
  RolloutTotals Totals;
  /// Versions of orders that were replaced before their verdict.
  std::vector<std::string> Superseded;
  StoreRevision Revision;
};

/// How an order that the store lists relates to the one known before.
enum class OrderRelation : std::uint8_t {
  Same,     ///< It is that order.
  Restored, ///< It is that order, in a store that was restored from a copy.
  Repeated, ///< A new order for the same version.
  Changed,  ///< A new order for another version.
  Outdated, ///< An earlier one.
};
OrderRelation relate(const RolloutOrder &Known, const RolloutOrder &Listed);

/// Whether \p Status was written for \p Order: it is newer and names the same
/// version.
bool belongsTo(const RolloutStatus &Status, const RolloutOrder &Order);

std::string_view nameOf(RolloutState State);
std::string_view nameOf(RolloutStep Step);

} // namespace mangodeck

#endif
