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
  /// The holder stops this long before the lease can end in the store.
  Duration Margin = 2s;
  /// An order that is older is no longer carried out by its sender.
  Duration LongestOrder = 10s;
};

/// The right to give orders to the targets of one failure domain: a key of the
/// store, order/DOMAIN, bound to a store lease. Its creation revision is the
/// fencing number of each order. Used from one thread, on which the store's
/// callbacks must run too.
class OrderLease {
public:
  /// \p Platform and \p Random must outlive this object.
  OrderLease(OrderLeaseOptions Options, Store &Platform, RandomSource &Random);
  ~OrderLease();

  /// Renews the lease or, if \p IsCandidate, tries to get it; call about once
  /// a second. To spare the store only one member of the failure domain
  /// should be candidate, e.g. the one chosen by rendezvous.
  void tick(TimePoint Now, bool IsCandidate);

  /// Whether this daemon holds the lease for certain.
  bool holds(TimePoint Now) const;

  /// Whether an order may be sent now. Ask right before each one is sent. For
  /// a target that does not check fencing numbers, orders of the former
  /// holder are waited out after a take-over.
  bool mayOrder(TimePoint Now, bool TargetChecksFencing) const;

  /// Fencing number of the lease; 0 if it is not held.
  std::uint64_t fencing() const;

  /// Gives the lease up; no order may be in flight.
  void release();

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace mangodeck

#endif
