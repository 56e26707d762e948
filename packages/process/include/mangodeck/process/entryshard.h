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

/// A caller's request that passed all checks at this daemon.
struct AcceptedRequest {
  Ticket Request;
  GroupId Group;
  std::string Key;        ///< Idempotency key; empty when there is none.
  TargetRequest Outgoing; ///< Without Target and Address.
  std::shared_ptr<CallerExchange> Exchange;
};

/// What an entry shard works with. All referenced objects outlive it.
struct EntryShardDependencies {
  VmName Vm;
  Executor &Loop;
  const Clock &Time;
  RandomSource &Random; ///< Used on the executor only.
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

/// Carries requests from their acceptance to their answer. A daemon has
/// several shards, each on its own executor; a request stays in one. The
/// shard alone takes a request's dispatch transition.
class EntryShard {
public:
  explicit EntryShard(EntryShardDependencies Ports);
  ~EntryShard();

  /// Takes a request in; safe from any thread.
  void accept(AcceptedRequest Accepted);

  /// Handles a message of a group owner or a key's home or holder; safe from
  /// any thread.
  void onMessage(const VmName &From, PeerMessage Message);

  /// Sends tickets again that wait at \p Peer, and reports what runs on its
  /// groups; safe from any thread.
  void onPeerConnected(const VmName &Peer);

  /// Moves tickets whose group has a new owner; safe from any thread.
  void onOwnersChanged();

  /// Gives up the newest waiting request of \p Tier, to free memory; safe from
  /// any thread.
  void evictNewest(TierRank Tier);

  /// Requests not answered yet; safe from any thread.
  std::size_t openRequests() const {
    return m_Open.load(std::memory_order_relaxed);
  }

private:
  class Relay;

  void start(AcceptedRequest Accepted);
  bool joinKeyed(AcceptedRequest &Accepted);
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
  void onEnd(const RequestId &Id, TargetEnd End, bool Gone);
  void dispatch(ActiveRequest &Active);
  void complete(ActiveRequest &Active);
  void placeAgain(ActiveRequest &Active);
  void refuse(ActiveRequest &Active, const Refusal &Reason);
  void failUnknown(ActiveRequest &Active, std::string_view Detail);
  void returnGrant(const VmName &Owner, const Grant &Offered,
                   ReturnReason Reason);
  void reportFinish(ActiveRequest &Active, FinishKind Kind);
  void reportRunning(const VmName &Owner);
  void erase(ActiveRequest &Active);
  DispatchCondition conditionOf(const ActiveRequest &Active,
                                const Grant &Offered) const;
  VmName ownerOf(const GroupId &Group) const;
  ActiveRequest *find(const RequestId &Id);
  Duration retryDelay();

  EntryShardDependencies m_Ports;
  std::unordered_map<RequestId, std::unique_ptr<ActiveRequest>> m_Requests;
  /// Keyed requests in progress, by CUSTOMER/KEY.
  std::unordered_map<std::string, RequestId> m_ByKey;
  std::atomic<std::size_t> m_Open = 0;
};

} // namespace mangodeck

#endif
