#ifndef MANGODECK_REQUEST_TICKET_H
#define MANGODECK_REQUEST_TICKET_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <vector>

namespace mangodeck {

/// Description of a waiting request by which its dispatch group schedules it.
/// The body stays at the entry daemon that accepted the request.
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
  /// Hash of service, method, path and body; a repeated request has the same
  /// value.
  std::uint64_t Fingerprint = 0;
  bool Idempotent = true;
  /// Number of moves to another dispatch group; a ticket is moved at most once.
  std::uint8_t Hops = 0;
};

/// Permission to dispatch one request to one target, once.
struct Grant {
  RequestId Request;
  GroupId Group;
  TargetName Target;
  Incarnation TargetIncarnation = 0;
  std::uint64_t Epoch = 0; ///< Of the group's owner that made the grant.
};

/// Why a granted request was not dispatched.
enum class ReturnReason : std::uint8_t {
  Withdrawn, ///< Caller hung up or request ended otherwise.
  Expired,   ///< Deadline passed before the dispatch.
  TargetLeaving,
  Quarantined,
  NotDelivered, ///< The transport proved that the target never got it.
  ClaimFailed,  ///< Claim failed, or the grant became unusable meanwhile.
  Duplicate,    ///< Another grant was used already.
};

/// How a dispatched request ended at its target.
enum class FinishKind : std::uint8_t {
  Completed,
  Cancelled,
  Failed,  ///< Target answered with an error.
  Crashed, ///< Connection ended and the target's process is gone.
  Lost,    ///< Neither an end nor a crash of the target was observed.
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
  Duration RunningTime{0}; ///< Upper bound: counted from the arrival.
};

} // namespace mangodeck

#endif
