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

/// Which events of a time line are asked for.
struct TimelineQuery {
  HybridTime After; ///< Later ones only.
  std::optional<RequestId> Request;
  std::size_t Limit = 5000; ///< The earliest so many.
};

/// The latest events of this process, in a ring of fixed size.
///
/// Writers take the next place with one atomic addition, and then the lock of
/// one of 16 stripes; neighbouring places are in different stripes, so that
/// threads seldom meet.
class Timeline : public EventSink {
public:
  Timeline(std::size_t Capacity, HybridClock &Stamps);

  /// Stamps and keeps \p Entry; cuts its texts to MaxTextBytes each.
  void record(Event Entry) override;

  /// The events that \p Query asks for, by stamp.
  std::vector<TimestampedEvent> select(const TimelineQuery &Query) const;

  /// How many events have been recorded and written over since.
  std::uint64_t overwrittenCount() const;

  static constexpr std::size_t MaxTextBytes = 120;

private:
  static constexpr std::size_t Stripes = 16;

  struct Stripe {
    mutable std::mutex Lock;
    std::vector<TimestampedEvent> Events;
  };

  HybridClock &m_Stamps;
  const std::size_t m_StripeCapacity;
  std::atomic<std::uint64_t> m_Next{0};
  std::array<Stripe, Stripes> m_Stripes;
};

} // namespace mangodeck

#endif
