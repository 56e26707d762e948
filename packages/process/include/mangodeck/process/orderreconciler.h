#ifndef MANGODECK_PROCESS_ORDERRECONCILER_H
#define MANGODECK_PROCESS_ORDERRECONCILER_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"
#include "mangodeck/process/orderlease.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace mangodeck {

/// A model or adapter of one version.
struct Weights {
  std::string Name;
  std::string Version;
  std::uint64_t Bytes = 0; ///< Size in the weight store; 0 if unknown.

  bool operator==(const Weights &Other) const {
    return Name == Other.Name && Version == Other.Version;
  }
  bool operator<(const Weights &Other) const {
    return std::tie(Name, Version) < std::tie(Other.Name, Other.Version);
  }
};

/// Desired state of a target according to the configuration records.
struct DesiredTarget {
  TargetName Target;
  bool ChecksFencing = false;
  std::string Role; ///< Empty for any role.
  std::set<Weights> Loaded;
};

/// State of a target in its last report.
struct ReportedTarget {
  TargetName Target;
  Incarnation Started = 0;
  Duration Age{0}; ///< Of the report when it arrived.
  std::string Role;
  std::set<Weights> Loaded;
};

enum class OrderKind : std::uint8_t { Unload, ChangeRole, Load };

/// An order to a target; valid for ValidFor from its creation.
struct TargetOrder {
  std::uint64_t Id = 0;
  TargetName Target;
  OrderKind Kind = OrderKind::Load;
  Weights ModelWeights; ///< To load or unload; unused with ChangeRole.
  std::string Role;     ///< To change to; only with ChangeRole.
  std::uint64_t Fencing = 0;
  Duration ValidFor{0};
};

/// How an order ended, as seen by its sender.
enum class OrderEnd : std::uint8_t {
  Done,
  Refused, ///< The target answered that it did not carry out the order.
  Unknown, ///< No answer within the order's validity.
};

struct ReconcilerOptions {
  Duration OrderValidity = 10s;
  /// Throughput of the weight store, shared by all loads.
  double WeightBytesPerSecond = 1e9;
  std::uint32_t MaxConcurrentLoads = 2;
  /// Delay before the next order after one that was not done; doubles up to
  /// MaxBackoff.
  Duration MinBackoff = 5s;
  Duration MaxBackoff = 300s;
};

/// Brings the targets of a failure domain to their desired state, with one
/// order per target at a time. A target gets its next order only after a report
/// made after the end of the previous order; otherwise a stale report would
/// cause the same order again. Does no input or output; runs on the daemon that
/// holds the order lease.
class OrderReconciler {
public:
  /// \p Lease must outlive this object.
  OrderReconciler(ReconcilerOptions Options, const OrderLease &Lease);

  void configure(std::span<const DesiredTarget> Desired);
  void report(const ReportedTarget &Report, TimePoint Now);
  void onOrderEnd(const TargetName &Target, std::uint64_t Order, OrderEnd End,
                  TimePoint Now);

  /// Appends the orders that are due; call about once a second. Send each one
  /// without delay, and only if OrderLease::maySendOrder() still allows it.
  void tick(TimePoint Now, std::vector<TargetOrder> &Out);

  /// Number of orders that have not ended.
  std::size_t ordersInFlight() const;

private:
  struct TargetProgress {
    DesiredTarget Desired;
    std::optional<ReportedTarget> LastReport;
    TimePoint ReportMadeAt;
    std::optional<TargetOrder> Order;
    TimePoint OrderExpiry;
    TimePoint LastOrderEnd;
    TimePoint NextOrderAt;
    Duration Backoff{0};
  };

  std::optional<TargetOrder> nextOrder(const TargetProgress &Target) const;
  bool isDue(const TargetProgress &Target, TimePoint Now) const;
  bool reserveLoad(const TargetOrder &Order, TimePoint Now);
  std::uint32_t loadsInFlight() const;

  ReconcilerOptions m_Options;
  const OrderLease &m_Lease;
  std::map<TargetName, TargetProgress> m_Targets;
  std::uint64_t m_LastOrderId = 0;
  /// When the weight store will have served the loads ordered so far.
  TimePoint m_WeightStoreFreeAt;
};

} // namespace mangodeck

#endif
