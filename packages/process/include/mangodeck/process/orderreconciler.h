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

/// What the records want of a target.
struct DesiredTarget {
  TargetName Target;
  bool ChecksFencing = false;
  std::string Role; ///< Empty: any.
  std::set<Weights> Loaded;
};

/// What a target last reported.
struct ReportedTarget {
  TargetName Target;
  Incarnation Started = 0;
  Duration Age{0}; ///< Of the report when it arrived.
  std::string Role;
  std::set<Weights> Loaded;
};

enum class OrderKind : std::uint8_t { Unload, ChangeRole, Load };

/// An order for a target; valid for ValidFor from the moment it is made.
struct TargetOrder {
  std::uint64_t Id = 0;
  TargetName Target;
  OrderKind Kind = OrderKind::Load;
  Weights What;     ///< Of Load and Unload.
  std::string Role; ///< Of ChangeRole.
  std::uint64_t Fencing = 0;
  Duration ValidFor{0};
};

/// How an order ended, as far as its sender saw.
enum class OrderEnd : std::uint8_t {
  Done,
  Refused, ///< Target answered that it did not do it.
  Unknown, ///< No answer within the order's validity.
};

struct ReconcilerOptions {
  Duration LongestOrder = 10s;
  /// Rate of the weight store, shared by all loads.
  double WeightBytesPerSecond = 1e9;
  std::uint32_t MaxConcurrentLoads = 2;
  /// Pause after an order that was refused, doubled up to MaxBackoff.
  Duration MinBackoff = 5s;
  Duration MaxBackoff = 300s;
};

/// Brings the targets of a failure domain to what the records want, one order
/// per target at a time. An order is given only on a report that is younger
/// than the end of the order before, so that none is given twice on stale
/// reports. Does no input or output; runs at the holder of the order lease.
class OrderReconciler {
public:
  /// \p Lease must outlive this object.
  OrderReconciler(ReconcilerOptions Options, const OrderLease &Lease);

  void configure(std::span<const DesiredTarget> Wanted);
  void report(const ReportedTarget &Report, TimePoint Now);
  void onEnd(const TargetName &Target, std::uint64_t Order, OrderEnd End,
             TimePoint Now);

  /// Appends the orders that are due; call about once a second. Each is to be
  /// sent at once, after asking OrderLease::mayOrder() again.
  void tick(TimePoint Now, std::vector<TargetOrder> &Out);

  /// Number of orders without an end.
  std::size_t inFlight() const;

private:
  struct Progress {
    DesiredTarget Wanted;
    std::optional<ReportedTarget> Reported;
    TimePoint ReportTaken;
    std::optional<TargetOrder> Order;
    TimePoint OrderExpiry;
    TimePoint LastEnd;
    TimePoint NotBefore;
    Duration Backoff{0};
  };

  std::optional<TargetOrder> nextOrder(const Progress &Target) const;
  bool isDue(const Progress &Target, TimePoint Now) const;
  bool takeLoad(const TargetOrder &Order, TimePoint Now);
  std::uint32_t loadsInFlight() const;

  ReconcilerOptions m_Options;
  const OrderLease &m_Lease;
  std::map<TargetName, Progress> m_Targets;
  std::uint64_t m_LastOrder = 0;
  /// When the weight store has served the loads ordered so far.
  TimePoint m_WeightsFree;
};

} // namespace mangodeck

#endif
