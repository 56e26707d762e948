#ifndef MANGODECK_GATEWAY_TRANSITDELAY_H
#define MANGODECK_GATEWAY_TRANSITDELAY_H

#include "mangodeck/common/units.h"

#include <optional>

namespace mangodeck {

/// How long datagrams of one sender can have waited on their way, in links and
/// in the receiver's socket. The steady clocks of two VMs share no origin. An
/// answer of the sender bounds their difference: it was sent after the query.
/// Datagrams alone would not do, since all that arrive may have waited as long.
class TransitDelay {
public:
  /// The sender stated \p SentAt, by its clock, in the answer to a query that
  /// was sent to it at \p RequestedAt.
  void recordRoundTrip(Duration SentAt, TimePoint RequestedAt);
  /// Upper bound of the delay of a datagram that states \p SentAt and is read
  /// at \p Now; it exceeds the delay by at most that of the query. std::nullopt
  /// before the first answer.
  std::optional<Duration> longest(Duration SentAt, TimePoint Now) const;

private:
  /// Lower bound of the difference of the clocks as of m_MeasuredAt.
  Duration leastOffset(TimePoint Now) const;

  Duration m_LeastOffset{0};
  TimePoint m_MeasuredAt{};
};

} // namespace mangodeck

#endif
