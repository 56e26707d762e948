#ifndef MANGODECK_GATEWAY_TRANSITDELAY_H
#define MANGODECK_GATEWAY_TRANSITDELAY_H

#include "mangodeck/common/units.h"

namespace mangodeck {

/// How long datagrams of one sender waited on their way, in links and in the
/// receiver's socket. The steady clocks of two VMs share no origin, so only the
/// delay above the least one so far is known.
class TransitDelay {
public:
  /// A datagram that states \p SentAt of the sender's clock is read at \p Now.
  /// Returns its delay above the least so far; 0 for the first one.
  Duration record(Duration SentAt, TimePoint Now);

private:
  /// Least difference of the clocks at a receipt, and when it was updated.
  Duration m_LeastOffset{0};
  TimePoint m_UpdatedAt{};
};

} // namespace mangodeck

#endif
