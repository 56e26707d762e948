#ifndef MANGODECK_CONNECTION_PEERCODEC_H
#define MANGODECK_CONNECTION_PEERCODEC_H

#include "mangodeck/common/error.h"
#include "mangodeck/common/hybridclock.h"
#include "mangodeck/request/peermessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// One received message with what its envelope says.
struct PeerEnvelope {
  /// Empty if the message is of a kind that this daemon does not know.
  std::optional<PeerMessage> Message;
  std::optional<HybridTime> Clock;
};

/// Writes \p Message; points in time become durations counted from \p Now.
std::string encodePeerMessage(const PeerMessage &Message, TimePoint Now);

/// Bytes to append to an encoded message when it is sent: the sender's clock,
/// and how long the message was queued, by which the receiver corrects its
/// durations.
std::string encodeTrailer(std::optional<HybridTime> Clock, Duration Queued);

/// Reads a message that arrived at \p Now. Unknown fields are ignored; unknown
/// reasons become the cautious one of their kind. Returns Errc::InvalidInput
/// for bytes that are no message or hold values out of range.
Expected<PeerEnvelope> decodePeerMessage(std::string_view Bytes, TimePoint Now);

} // namespace mangodeck

#endif
