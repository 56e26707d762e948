#ifndef MANGODECK_GATEWAY_SLOTMESSAGES_H
#define MANGODECK_GATEWAY_SLOTMESSAGES_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"
#include "mangodeck/gateway/dispatchqueue.h"
#include "mangodeck/gateway/incarnationtracker.h"
#include "mangodeck/gateway/targetregistry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mangodeck {

/// A daemon requests a slot for one of its requests from the broker. Times are
/// relative to the sending, since the clocks of two daemons differ.
struct SlotRequest {
  std::string Vm; ///< Of the daemon that holds the request.
  IncarnationId Incarnation = UnknownIncarnation; ///< Of that daemon.
  TicketNumber Number = 0;                        ///< Unique within those.
  ServiceName Service;
  RequestRank Rank;
  RequestWork Work;
  /// Until the latency target passes; negative if it has passed.
  Duration TimeToLatencyTarget{0};
  Duration TimeToDeadline{0};    ///< Until the request's time limit passes.
  Duration TimeToLatestStart{0}; ///< Until the last start that is likely to
                                 ///< meet the latency target.
  Duration TimeToExpiry{0};      ///< Until the request no longer waits.
  Duration GapTarget{0};         ///< Longest pause between events; 0: no limit.
  bool RefuseIfLate = false; ///< Refuse rather than wait past the latest start.
  std::vector<std::uint64_t>
      ExcludedTargets; ///< TrackedTarget::Hash of targets not to be granted.
  /// If not 0: TrackedTarget::Hash of the only target to be granted. It has a
  /// rate limit and is in another failure domain than the daemon. The broker
  /// grants a permit at once or refuses it.
  std::uint64_t OnlyTarget = 0;
  /// The only version to be granted, of a stream that goes on; NoVersion: any.
  VersionId Version = NoVersion;
  /// A version that must not be granted; NoVersion: none. See VersionChoice.
  VersionId AvoidedVersion = NoVersion;
  /// RequestFacts::Fingerprint; 0 if unknown. A caller that returns after a
  /// refusal sends the same request again.
  std::uint64_t Fingerprint = 0;
  /// Hashes of the customer's and the route's names; 0 if unknown.
  std::uint64_t Customer = 0;
  std::uint64_t Route = 0;
};

/// The broker's decision on a SlotRequest.
struct SlotDecision {
  enum class Kind : std::uint8_t { Granted, Queued, Refused };
  TicketNumber Number = 0; ///< Of the SlotRequest.
  Kind Result = Kind::Queued;
  /// TrackedTarget::Hash, if granted or if the request names one target.
  std::uint64_t Target = 0;
  /// If the request names one target and is refused: time after which to
  /// request a permit for it again. Otherwise the estimated time until every
  /// request in the broker's queue of the service has been dispatched; 0 if
  /// granted.
  Duration BacklogTime{0};
  /// If granted: the grant has taken a permit under the target's rate limit.
  bool HasPermit = false;
  /// Of the SlotRequest. Another process that runs on the VM by now has given
  /// the number to another request.
  IncarnationId Incarnation = UnknownIncarnation;
  /// If refused: time after which a slot is expected to be free for the
  /// request; 0 if the broker does not tell.
  Duration RetryAfter{0};
};

/// How a request ended at its target.
enum class SlotOutcome : std::uint8_t {
  Unknown, ///< Tells nothing about the target.
  Success,
  Failure,
  Unreachable, ///< Nothing listens at the target's address.
};

/// A daemon reports to the broker how a slot is used.
struct SlotUpdate {
  enum class Kind : std::uint8_t {
    Withdrawn,   ///< The slot, or the request for one, is no longer needed.
    PrefillDone, ///< The first event has arrived: the prompt has been read.
    Ended,       ///< The slot is free again.
  };
  std::string Vm; ///< Of the daemon that holds the request.
  IncarnationId Incarnation = UnknownIncarnation; ///< Of that daemon.
  TicketNumber Number = 0;                        ///< Unique within those.
  Kind Change = Kind::Withdrawn;
  std::uint64_t Target = 0; ///< TrackedTarget::Hash; 0 if withdrawn.
  SlotOutcome Outcome = SlotOutcome::Unknown;
  Duration MeanEventGap{0}; ///< Mean pause between events; 0: not measured.
  std::uint32_t TokensPerEvent = 0;
  /// The pace that the target stated in its answer; see TargetLoadStatement.
  std::optional<double> Pace;
};

using SlotMessage = std::variant<SlotRequest, SlotDecision, SlotUpdate>;

/// Encodes a message as MessagePack.
std::string encodeSlotMessage(const SlotMessage &Message);
/// Decodes a message; std::nullopt if \p Bytes hold no valid slot message.
std::optional<SlotMessage> decodeSlotMessage(std::string_view Bytes);

} // namespace mangodeck

#endif
