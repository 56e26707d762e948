#ifndef MANGODECK_GATEWAY_ORIGINMESSAGES_H
#define MANGODECK_GATEWAY_ORIGINMESSAGES_H

#include "mangodeck/common/units.h"
#include "mangodeck/gateway/dispatchqueue.h"
#include "mangodeck/gateway/softwareversion.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mangodeck {

/// Identifies a stream: a hash of the id of the attempt that began it.
using StreamId = std::uint64_t;

StreamId streamIdOf(std::string_view AttemptId);

/// The version that has begun a stream, or will if the stream begins.
struct StreamOrigin {
  StreamId Stream = 0;
  /// NoVersion: the stream must not go on, since its version is not certain.
  VersionId Version = NoVersion;
  /// Increases with each target to which the attempt is sent before the stream
  /// begins; the greatest counts. 0 for a stream that is taken up.
  std::uint32_t Send = 0;
  Duration TimeToLive{0}; ///< The stream cannot be taken up afterwards.
};

/// Asks another daemon to keep the origins of streams.
struct OriginRecords {
  std::vector<StreamOrigin> Origins;
};

/// Asks another daemon for the origin of a stream.
struct OriginQuery {
  std::string Vm;          ///< Of the daemon that asks.
  TicketNumber Number = 0; ///< Unique within that daemon.
  StreamId Stream = 0;
};

/// The answer to an OriginQuery.
struct OriginAnswer {
  std::string Vm; ///< Of the daemon that answers.
  TicketNumber Number = 0;
  StreamId Stream = 0;
  VersionId Version = NoVersion; ///< NoVersion: not known.
};

using OriginMessage = std::variant<OriginRecords, OriginQuery, OriginAnswer>;

/// Encodes a message as MessagePack.
std::string encodeOriginMessage(const OriginMessage &Message);
/// Decodes a message; std::nullopt if \p Bytes hold no valid one.
std::optional<OriginMessage> decodeOriginMessage(std::string_view Bytes);

} // namespace mangodeck

#endif
