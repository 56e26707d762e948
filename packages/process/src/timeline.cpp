#include "mangodeck/process/timeline.h"

#include <algorithm>

namespace mangodeck {

namespace {

bool isEarlier(const TimestampedEvent &A, const TimestampedEvent &B) {
  return A.Timestamp < B.Timestamp;
}

void cutText(std::string &Text) {
  if (Text.size() > Timeline::MaxTextBytes)
    Text.resize(Timeline::MaxTextBytes);
}

} // namespace

Timeline::Timeline(std::size_t Capacity, HybridClock &Stamps)
    : m_Stamps(Stamps),
      m_StripeCapacity(std::max<std::size_t>(1, Capacity / Stripes)) {}

/// A stripe's list grows to its capacity and is then written over in turn. The
/// stamp is taken under the stripe's lock, so stamps ascend in each stripe.
void Timeline::record(Event Entry) {
  cutText(Entry.Subject);
  cutText(Entry.Detail);
  const auto Position = m_Next.fetch_add(1, std::memory_order_relaxed);
  auto &Part = m_Stripes[Position % Stripes];
  const std::lock_guard Guard(Part.Lock);
  TimestampedEvent Stamped{m_Stamps.tick(), std::move(Entry)};
  if (Part.Events.size() < m_StripeCapacity)
    Part.Events.push_back(std::move(Stamped));
  else
    Part.Events[Position / Stripes % m_StripeCapacity] = std::move(Stamped);
}

/// Copies what matches out of each stripe under its lock, then sorts. Costs
/// one pass over the ring; writers of one stripe wait meanwhile.
std::vector<TimestampedEvent>
Timeline::select(const TimelineQuery &Query) const {
  std::vector<TimestampedEvent> Result;
  for (const auto &Part : m_Stripes) {
    const std::lock_guard Guard(Part.Lock);
    for (const auto &Stamped : Part.Events)
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
  const auto Recorded = m_Next.load(std::memory_order_relaxed);
  const auto Kept = m_StripeCapacity * Stripes;
  return Recorded > Kept ? Recorded - Kept : 0;
}

} // namespace mangodeck
