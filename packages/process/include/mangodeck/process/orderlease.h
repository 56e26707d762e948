#ifndef MANGODECK_PROCESS_ORDERLEASE_H
#define MANGODECK_PROCESS_ORDERLEASE_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/random.h"
#include "mangodeck/common/units.h"
#include "mangodeck/version/store.h"

#include <cstdint>
#include <memory>
#include <string>

namespace mangodeck {

struct OrderLeaseOptions {
  VmName Vm;
  Incarnation Started = 0;
  FailureDomain Domain;
  Duration TimeToLive = 15s;
  /// The holder stops sending orders this long before its lease can end in the
  /// store.
  Duration ExpiryMargin = 2s;
  /// Maximum age of an order; its sender abandons an older one.
  Duration OrderValidity = 10s;
};

/// The right to send orders to the targets of one failure domain: a key in the
/// store, order/DOMAIN, bound to a store lease. The revision that created the
/// key is the fencing number of each order. Used from one thread, on which the
/// store's callbacks must run too.
class OrderLease {
public:
  /// \p Platform and \p Random must outlive this object.
  OrderLease(OrderLeaseOptions Options, Store &Platform, RandomSource &Random);
  ~OrderLease();

  /// Renews the lease or, if \p IsCandidate, tries to acquire it; call about
  /// once a second. To limit the load on the store, only one member of the
  /// failure domain should be the candidate, e.g. the one selected by
  /// rendezvous hash.
  void tick(TimePoint Now, bool IsCandidate);

  /// Whether this daemon holds the lease: the store has confirmed it and it
  /// cannot have ended since.
  bool holds(TimePoint Now) const;

  /// Whether an order may be sent now; call right before sending each one.
  /// After a take-over, a target that does not check fencing numbers gets no
  /// order until those of the former holder can no longer take effect.
  bool maySendOrder(TimePoint Now, bool TargetChecksFencing) const;

  /// Fencing number of the lease; 0 if it is not held.
  std::uint64_t fencing() const;

  /// Releases the lease; no order may be in flight.
  void release();

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace mangodeck

#endif
