#include "mangodeck/process/timeline.h"

#include <algorithm>

namespace mangodeck {

namespace {

bool isEarlier(const TimestampedEvent &A, const TimestampedEvent &B) {
  return A.Timestamp < B.Timestamp;
}

void truncateText(std::string &Text) {
  if (Text.size() > Timeline::MaxTextBytes)
    Text.resize(Timeline::MaxTextBytes);
}

} // namespace

Timeline::Timeline(std::size_t Capacity, HybridClock &Clock)
    : m_Clock(Clock),
      m_StripeCapacity(std::max<std::size_t>(1, Capacity / StripeCount)) {}

/// Each stripe is a ring buffer. The timestamp is taken under the stripe's
/// lock, so that timestamps ascend in the order of writing within each stripe.
void Timeline::record(Event NewEvent) {
  truncateText(NewEvent.Subject);
  truncateText(NewEvent.Detail);
  const auto Position = m_NextPosition.fetch_add(1, std::memory_order_relaxed);
  auto &Ring = m_Stripes[Position % StripeCount];
  const std::lock_guard Guard(Ring.Mutex);
  TimestampedEvent Stamped{m_Clock.tick(), std::move(NewEvent)};
  if (Ring.Events.size() < m_StripeCapacity)
    Ring.Events.push_back(std::move(Stamped));
  else
    Ring.Events[Position / StripeCount % m_StripeCapacity] = std::move(Stamped);
}

/// Copies the matching events of each stripe under its lock, then sorts all.
/// Takes one pass over the ring; writers wait while their stripe is copied.
std::vector<TimestampedEvent>
Timeline::select(const TimelineQuery &Query) const {
  std::vector<TimestampedEvent> Result;
  for (const auto &Ring : m_Stripes) {
    const std::lock_guard Guard(Ring.Mutex);
    for (const auto &Stamped : Ring.Events)
      if (Query.After < Stamped.Timestamp &&
          (!Query.Request || Stamped.Recorded.Request == *Query.Request))
        Result.push_back(Stamped);
  }
  std::sort(Result.begin(), Result.end(), isEarlier);
  if (Result.size() > Query.Limit)
    Result.resize(Query.Limit);
  return Result;
}

std::uint64_t Timeline::overwrittenCount() const {
  const auto Recorded = m_NextPosition.load(std::memory_order_relaxed);
  const auto Kept = m_StripeCapacity * StripeCount;
  return Recorded > Kept ? Recorded - Kept : 0;
}

} // namespace mangodeck
