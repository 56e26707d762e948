#ifndef MANGODECK_GATEWAY_SLOTMESSAGES_H
#define MANGODECK_GATEWAY_SLOTMESSAGES_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"
#include "mangodeck/gateway/dispatchqueue.h"
#include "mangodeck/gateway/targetregistry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mangodeck {

/// A daemon asks for a slot for one request. Times are spans from now, since
/// the clocks of two daemons differ.
struct SlotRequest {
  std::string Vm;          ///< Of the daemon that holds the request.
  TicketNumber Number = 0; ///< The request's number at that daemon.
  ServiceName Service;
  RequestRank Rank;
  RequestWork Work;
  Duration TimeToLatencyTarget{
      0};                     ///< Until the latency target passes; may be < 0.
  Duration TimeToDeadline{0}; ///< Until the request's time limit.
  Duration TimeToLatestStart{
      0};                   ///< Until the last start within the latency target.
  Duration TimeToExpiry{0}; ///< Until the last useful start.
  Duration GapTarget{0};
  bool RefuseIfLate =
      false; ///< Refuse rather than wait past TimeToLatestStart.
  std::vector<std::uint64_t> ExcludedTargets; ///< Targets not to be granted.
};

/// What the broker says to an ask.
struct SlotDecision {
  enum class Kind : std::uint8_t { Granted, Queued, Refused };
  TicketNumber Number = 0;
  Kind Result = Kind::Queued;
  std::uint64_t Target = 0; ///< TrackedTarget::Hash, if granted.
  Duration BacklogTime{0};  ///< Time until all that waits would be started.
};

/// How a request fared at its target.
enum class SlotOutcome : std::uint8_t {
  Unknown,
  Success,
  Failure,
  Unreachable, ///< Nobody listens at its address.
};

/// A daemon tells the broker how a granted slot is used.
struct SlotUpdate {
  enum class Kind : std::uint8_t {
    Withdrawn,   ///< The ask, or a grant on it, is not needed.
    PrefillDone, ///< The first event came: its prompt has been read.
    Ended,       ///< The slot is free again.
  };
  std::string Vm;
  TicketNumber Number = 0;
  Kind Change = Kind::Withdrawn;
  std::uint64_t Target = 0;
  SlotOutcome Outcome = SlotOutcome::Unknown;
  Duration MeanEventGap{0}; ///< Mean pause between events; 0: not measured.
  std::uint32_t TokensPerEvent = 0;
};

using SlotMessage = std::variant<SlotRequest, SlotDecision, SlotUpdate>;

/// Encodes a message as MessagePack.
std::string encodeSlotMessage(const SlotMessage &Message);
/// std::nullopt for bytes that are no such message.
std::optional<SlotMessage> decodeSlotMessage(std::string_view Bytes);

} // namespace mangodeck

#endif
