#ifndef MANGODECK_PROCESS_ENTRYSHARD_H
#define MANGODECK_PROCESS_ENTRYSHARD_H

#include "mangodeck/common/clock.h"
#include "mangodeck/common/event.h"
#include "mangodeck/common/executor.h"
#include "mangodeck/common/random.h"
#include "mangodeck/common/rcupointer.h"
#include "mangodeck/process/bodybudget.h"
#include "mangodeck/process/claimclient.h"
#include "mangodeck/process/dispatchexclusions.h"
#include "mangodeck/process/entryobserver.h"
#include "mangodeck/process/ownertable.h"
#include "mangodeck/request/callerexchange.h"
#include "mangodeck/request/peermessage.h"
#include "mangodeck/request/targetclient.h"
#include "mangodeck/version/snapshot.h"

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// A caller's request that passed validation at this daemon.
struct AcceptedRequest {
  Ticket Request;
  GroupId Group;
  std::string IdempotencyKey; ///< Empty when the caller sent none.
  TargetRequest Outgoing;     ///< Target and Address are set at dispatch.
  std::shared_ptr<CallerExchange> Exchange;
};

/// Objects that an entry shard uses. All referenced objects outlive the shard.
struct EntryShardDependencies {
  VmName Vm;
  Executor &Loop;
  const Clock &Time;
  RandomSource &Random; ///< Used on Loop only.
  const RcuPointer<Snapshot> &Config;
  const RcuPointer<OwnerTable> &Owners;
  const RcuPointer<DispatchExclusions> &Exclusions;
  PeerSender &Router;
  TargetClient &Targets;
  ClaimClient &Claims;
  BodyBudget &Bodies;
  EntryObserver &Observer;
  EventSink &Events;
};

struct ActiveRequest;

/// Processes requests from their acceptance to their answer. A daemon has
/// several shards, each on its own executor; a request stays in one shard. Only
/// that shard moves the request to RequestState::Dispatched, so that no request
/// is dispatched twice.
class EntryShard {
public:
  explicit EntryShard(EntryShardDependencies Dependencies);
  ~EntryShard();

  /// Starts processing a request; safe from any thread.
  void accept(AcceptedRequest Accepted);

  /// Handles a group owner's grant, refusal or move of a ticket. Ignores all
  /// other messages. Safe from any thread.
  void onMessage(const VmName &From, PeerMessage Message);

  /// Resubmits the tickets that wait in groups owned by \p Peer and reports the
  /// running requests of its groups, as \p Peer may have missed messages while
  /// it was not connected; safe from any thread.
  void onPeerConnected(const VmName &Peer);

  /// Resubmits the waiting tickets of each group whose owner has changed to the
  /// new owner; safe from any thread.
  void onOwnersChanged();

  /// Refuses the newest waiting request of \p Tier, to free the memory of its
  /// body; safe from any thread.
  void evictNewest(TierRank Tier);

  /// Number of requests not answered yet; safe from any thread.
  std::size_t openRequests() const {
    return m_OpenRequests.load(std::memory_order_relaxed);
  }

private:
  class AnswerForwarder;

  void start(AcceptedRequest Accepted);
  bool joinRequestWithSameKey(AcceptedRequest &Accepted);
  void submit(ActiveRequest &Active);
  void withdraw(ActiveRequest &Active);
  void scheduleExpiry(const ActiveRequest &Active);
  void onExpiry(const RequestId &Id);
  void onHangUp(const RequestId &Id);
  void onGrant(const VmName &Owner, const Grant &Offered);
  void onRefusal(const RequestId &Id, const Refusal &Reason);
  void onMove(const RequestId &Id, const GroupId &To);
  void onClaim(const RequestId &Id, const ClaimKey &Key,
               const ClaimReply &Reply);
  void onHead(const RequestId &Id, int Status, std::string ContentType,
              std::int64_t CachedTokens);
  void onBody(const RequestId &Id, std::string Bytes);
  void onEnd(const RequestId &Id, TargetEnd End, bool TargetGone);
  void dispatch(ActiveRequest &Active);
  void complete(ActiveRequest &Active);
  void requeueUndelivered(ActiveRequest &Active);
  void refuse(ActiveRequest &Active, const Refusal &Reason);
  void failWithUnknownOutcome(ActiveRequest &Active, std::string_view Detail);
  void returnGrant(const VmName &Owner, const Grant &Offered,
                   ReturnReason Reason);
  void reportFinish(ActiveRequest &Active, FinishKind Kind);
  void reportRunning(const VmName &Owner);
  void erase(ActiveRequest &Active);
  DispatchCondition dispatchConditionOf(const ActiveRequest &Active,
                                        const Grant &Offered) const;
  VmName ownerOf(const GroupId &Group) const;
  ActiveRequest *find(const RequestId &Id);
  Duration randomRetryDelay();

  EntryShardDependencies m_Dependencies;
  std::unordered_map<RequestId, std::unique_ptr<ActiveRequest>> m_Requests;
  /// Requests in progress that have an idempotency key, by CUSTOMER/KEY.
  std::unordered_map<std::string, RequestId> m_RequestsByKey;
  std::atomic<std::size_t> m_OpenRequests = 0;
};

} // namespace mangodeck

#endif
