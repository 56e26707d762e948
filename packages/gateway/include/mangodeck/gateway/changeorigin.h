#ifndef MANGODECK_GATEWAY_CHANGEORIGIN_H
#define MANGODECK_GATEWAY_CHANGEORIGIN_H

#include "mangodeck/gateway/incarnationtracker.h"

#include <cstdint>
#include <string>

namespace mangodeck {

/// The way by which a daemon learned of a change of the store's keys, or that
/// there was none.
enum class ChangeSource : std::uint8_t {
  None,    ///< It has learned nothing yet.
  Listing, ///< Its own listing of all keys.
  Watch,   ///< Its own watch.
  Relay,   ///< Message of the daemon that relays in its failure domain.
  Peer,    ///< Answer of another daemon to its own query.
};

struct ChangeOrigin {
  ChangeSource Source = ChangeSource::None;
  /// The process that sent it, of Relay and Peer.
  std::string Vm = {};
  IncarnationId Incarnation = UnknownIncarnation;
};

/// "listing", "watch", "relay VM", "peer VM" or "none".
std::string toString(const ChangeOrigin &Origin);

} // namespace mangodeck

#endif
