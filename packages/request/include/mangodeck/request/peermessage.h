#ifndef MANGODECK_REQUEST_PEERMESSAGE_H
#define MANGODECK_REQUEST_PEERMESSAGE_H

#include "mangodeck/request/outcome.h"
#include "mangodeck/request/ticket.h"

#include <string>
#include <variant>
#include <vector>

namespace mangodeck {

/// Entry daemon to group owner: a request waits. Sent again after a change
/// of owner or connection; the owner ignores a ticket that it knows.
struct SubmitTicket {
  GroupId Group;
  Ticket Request;
};

/// Entry daemon to group owner: the request waits no longer.
struct WithdrawTicket {
  GroupId Group;
  RequestId Request;
};

/// Group owner to entry daemon.
struct GrantTicket {
  Grant Granted;
};

/// Group owner to entry daemon: the request is given up.
struct RefuseTicket {
  RequestId Request;
  Refusal Reason;
};

/// Group owner to entry daemon: another group takes the waiting ticket.
struct MoveTicket {
  RequestId Request;
  GroupId To;
};

/// Entry daemon to group owner: a grant was not used.
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

/// Entry daemon to a group's new owner: what runs on the group's targets.
struct ReportRunning {
  GroupId Group;
  std::vector<RunningRequest> Running;
};

/// Asks a peer for the configuration revisions after \p After.
struct FetchRevisions {
  std::uint64_t After = 0;
};

/// One revision as it stands in the store's log.
struct RevisionEntry {
  std::uint64_t Number = 0;
  std::string Value;
};

/// Answers FetchRevisions, or hands an accepted revision on.
struct OfferRevisions {
  std::vector<RevisionEntry> Entries;
};

/// Entry daemon to a key's home daemon: who holds the request of this key?
struct JoinKey {
  std::string Key; ///< CUSTOMER/HASH.
  RequestId Request;
};

/// Home daemon to entry daemon: \p Holder runs it as \p HeldRequest; an empty
/// holder means that the asker holds it from now on.
struct KeyHolder {
  RequestId Request;
  VmName Holder;
  RequestId HeldRequest;
};

/// Entry daemon to the holder: pass me the answer of your request.
struct FollowAnswer {
  RequestId Request;     ///< The follower's.
  RequestId HeldRequest; ///< The holder's.
};

/// Holder to follower: a part of the answer. Status is set in the first part.
struct AnswerPart {
  RequestId Request; ///< The follower's.
  std::uint64_t Offset = 0;
  int Status = 0;
  std::string ContentType;
  std::string Bytes;
  bool Last = false;
  Run RunState = Run::Yes;
};

/// Holder to home daemon: the request of this key ended.
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

/// Receives messages of other daemons; called on the transport's thread.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;
  virtual void onMessage(const VmName &Peer, PeerMessage Message) = 0;

  /// The connection to \p Peer is new: tickets that wait there are sent again.
  virtual void onPeerConnected(const VmName &Peer) = 0;
  virtual void onPeerLost(const VmName &Peer) = 0;
};

} // namespace mangodeck

#endif
