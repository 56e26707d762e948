#ifndef MANGODECK_PROCESS_TIMELINE_H
#define MANGODECK_PROCESS_TIMELINE_H

#include "mangodeck/common/event.h"
#include "mangodeck/common/hybridclock.h"

#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

namespace mangodeck {

/// An event with the time at which it was recorded.
struct TimestampedEvent {
  HybridTime Timestamp;
  Event Recorded;
};

/// Selects events of a timeline.
struct TimelineQuery {
  HybridTime After;                 ///< Only events after this time.
  std::optional<RequestId> Request; ///< If set, only this request's events.
  std::size_t Limit = 5000; ///< Maximum number of events; the earliest ones.
};

/// The latest events of this process, in a ring buffer of fixed capacity.
///
/// A writer reserves the next position with one atomic addition and then locks
/// one of 16 stripes. Consecutive positions are in different stripes, so that
/// concurrent writers rarely contend for a lock.
class Timeline : public EventSink {
public:
  Timeline(std::size_t Capacity, HybridClock &Clock);

  /// Stores \p NewEvent with a timestamp; it overwrites an old event if the
  /// ring is full. Truncates its texts to MaxTextBytes each.
  void record(Event NewEvent) override;

  /// The events that match \p Query, in order of their timestamps.
  std::vector<TimestampedEvent> select(const TimelineQuery &Query) const;

  /// Number of events that have been overwritten by later ones.
  std::uint64_t overwrittenCount() const;

  static constexpr std::size_t MaxTextBytes = 120;

private:
  static constexpr std::size_t StripeCount = 16;

  struct Stripe {
    mutable std::mutex Mutex;
    std::vector<TimestampedEvent> Events;
  };

  HybridClock &m_Clock;
  const std::size_t m_StripeCapacity;
  std::atomic<std::uint64_t> m_NextPosition{0};
  std::array<Stripe, StripeCount> m_Stripes;
};

} // namespace mangodeck

#endif
