#ifndef MANGODECK_REQUEST_PEERMESSAGE_H
#define MANGODECK_REQUEST_PEERMESSAGE_H

#include "mangodeck/request/outcome.h"
#include "mangodeck/request/ticket.h"

#include <string>
#include <variant>
#include <vector>

namespace mangodeck {

/// Entry daemon to group owner: queues a request. Sent again after the owner
/// or the connection changed; the owner ignores a ticket that it already has.
struct SubmitTicket {
  GroupId Group;
  Ticket Request;
};

/// Entry daemon to group owner: removes a request that no longer waits.
struct WithdrawTicket {
  GroupId Group;
  RequestId Request;
};

/// Group owner to entry daemon: permission to dispatch a request.
struct GrantTicket {
  Grant Granted;
};

/// Group owner to entry daemon: the request is refused.
struct RefuseTicket {
  RequestId Request;
  Refusal Reason;
};

/// Group owner to entry daemon: submit the ticket to another group instead.
struct MoveTicket {
  RequestId Request;
  GroupId To;
};

/// Entry daemon to group owner: a grant was not used, or the target did not
/// receive or did not accept the request.
struct ReturnGrant {
  GroupId Group;
  RequestId Request;
  TargetName Target;
  ReturnReason Reason = ReturnReason::Withdrawn;
};

/// Entry daemon to group owner: a dispatched request ended.
struct ReportFinish {
  GroupId Group;
  FinishReport Report;
};

/// Entry daemon to new group owner: requests running on the group's targets.
struct ReportRunning {
  GroupId Group;
  std::vector<RunningRequest> Running;
};

/// Asks a peer for the configuration revisions after \p After.
struct FetchRevisions {
  std::uint64_t After = 0;
};

/// One configuration revision as recorded in the store's log.
struct RevisionEntry {
  std::uint64_t Number = 0;
  std::string Value;
};

/// Answers FetchRevisions, or forwards a revision that the sender accepted.
struct OfferRevisions {
  std::vector<RevisionEntry> Entries;
};

/// Entry daemon to key owner, the daemon that coordinates the requests with
/// this idempotency key: asks which request holds the key.
struct JoinKey {
  std::string Key; ///< CUSTOMER/HASH.
  RequestId Request;
};

/// Key owner to entry daemon: \p Holder is the daemon that runs the request of
/// the key, with the id \p HeldRequest. If \p Holder is empty, \p Request
/// holds the key from now on.
struct KeyHolder {
  RequestId Request;
  VmName Holder;
  RequestId HeldRequest;
};

/// Follower, an entry daemon with a later request of the same key, to holder:
/// asks for the answer of the holder's request.
struct FollowAnswer {
  RequestId Request;     ///< The follower's.
  RequestId HeldRequest; ///< The holder's.
};

/// Holder to follower: a part of the answer. Status is set in the first part.
struct AnswerPart {
  RequestId Request;        ///< The follower's.
  std::uint64_t Offset = 0; ///< Of Bytes in the answer's body.
  int Status = 0;
  std::string ContentType;
  std::string Bytes;
  bool Last = false;
  Run RunState = Run::Yes;
};

/// Holder to key owner: the request of this key ended.
struct ReleaseKey {
  std::string Key;
  RequestId Request;
};

using PeerMessage =
    std::variant<SubmitTicket, WithdrawTicket, GrantTicket, RefuseTicket,
                 MoveTicket, ReturnGrant, ReportFinish, ReportRunning,
                 FetchRevisions, OfferRevisions, JoinKey, KeyHolder,
                 FollowAnswer, AnswerPart, ReleaseKey>;

/// Sends messages to other daemons. Never blocks.
class PeerSender {
public:
  virtual ~PeerSender() = default;

  /// Queues \p Message for \p Peer. Returns false if the peer is unknown or
  /// its queue is full; the message is then dropped.
  virtual bool send(const VmName &Peer, PeerMessage Message) = 0;
};

/// Receives messages from other daemons; called on the transport's thread.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  virtual void onMessage(const VmName &Peer, PeerMessage Message) = 0;

  /// A new connection to \p Peer is open; tickets that wait at \p Peer must be
  /// sent again.
  virtual void onPeerConnected(const VmName &Peer) = 0;
  virtual void onPeerLost(const VmName &Peer) = 0;
};

} // namespace mangodeck

#endif
