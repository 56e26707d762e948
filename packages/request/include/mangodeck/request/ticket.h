#ifndef MANGODECK_REQUEST_TICKET_H
#define MANGODECK_REQUEST_TICKET_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <vector>

namespace mangodeck {

/// What a dispatch group needs to know of a waiting request; the body stays at
/// the entry daemon that accepted it.
struct Ticket {
  RequestId Id;
  VmName Entry; ///< Daemon that accepted the request.
  CustomerName Customer;
  ServiceName Service;
  TierRank Tier = 0;
  TimePoint Arrival;
  TimePoint Deadline;
  TokenCount PromptTokens = 0;
  TokenCount OutputTokens = 0; ///< Upper estimate.
  /// Chained hashes of the prompt's leading blocks, first block first. Equal
  /// hashes mean equal prefixes.
  std::vector<std::uint64_t> PrefixBlocks;
  TokenCount TokensPerBlock = 0;
  /// Hash of the whole body and service; a request that is sent again has
  /// the same one.
  std::uint64_t Fingerprint = 0;
  bool Idempotent = true;
  /// Failure domains passed already; a ticket is passed on at most once.
  std::uint8_t Hops = 0;
};

/// Permission to dispatch one request to one target, once.
struct Grant {
  RequestId Request;
  GroupId Group;
  TargetName Target;
  Incarnation TargetIncarnation = 0;
  std::uint64_t Epoch = 0; ///< Of the group's owner.
};

/// Why a granted request was not dispatched.
enum class ReturnReason : std::uint8_t {
  Withdrawn, ///< Caller hung up or request ended otherwise.
  Expired,   ///< Deadline passed before the transition.
  TargetLeaving,
  Quarantined,
  NotDelivered, ///< Target provably never got it.
  ClaimFailed,  ///< Store did not confirm the claim.
  Duplicate,    ///< Another grant was used already.
};

/// How a dispatched request ended at its target.
enum class FinishKind : std::uint8_t {
  Completed,
  Cancelled,
  Failed,  ///< Target answered with an error.
  Crashed, ///< Connection ended and the target is gone.
  Lost,    ///< No end seen.
};

/// Sent by the entry daemon when a dispatched request ended.
struct FinishReport {
  RequestId Request;
  TargetName Target;
  FinishKind Kind = FinishKind::Completed;
  TokenCount PromptTokens = 0;
  TokenCount CachedTokens = 0; ///< As the target reports; 0 if it does not.
  TokenCount OutputTokens = 0;
  Duration TimeToFirstToken{0}; ///< From dispatch to first token.
  Duration DecodeTime{0};       ///< From first token to the last.
};

/// A running request that its entry daemon reports to a group's new owner.
struct RunningRequest {
  Ticket Request;
  TargetName Target;
  Incarnation TargetIncarnation = 0;
  Duration RunningTime{0};
};

} // namespace mangodeck

#endif
