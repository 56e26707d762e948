#include "mangodeck/process/messagehub.h"

#include "mangodeck/common/overload.h"

namespace mangodeck {

MessageHub::MessageHub(Executor &HostLoop, GroupHost &Host, Entry &RequestEntry,
                       std::span<const std::unique_ptr<EntryShard>> Shards,
                       RevisionHandler &Revisions)
    : m_HostLoop(HostLoop), m_Host(Host), m_Entry(RequestEntry),
      m_Shards(Shards), m_Revisions(Revisions) {}

void MessageHub::onMessage(const VmName &Peer, PeerMessage Message) {
  const auto ToShard = [&](const RequestId &Id) {
    m_Entry.shardOf(Id).onMessage(Peer, std::move(Message));
  };
  const auto Handle =
      Overload{[&](GrantTicket &M) { ToShard(M.Granted.Request); },
               [&](RefuseTicket &M) { ToShard(M.Request); },
               [&](MoveTicket &M) { ToShard(M.Request); },
               [&](KeyHolder &M) { ToShard(M.Request); },
               [&](FollowAnswer &M) { ToShard(M.HeldRequest); },
               [&](AnswerPart &M) { ToShard(M.Request); },
               [&](FetchRevisions &M) { m_Revisions.onFetch(Peer, M); },
               [&](OfferRevisions &M) { m_Revisions.onOffer(Peer, M); },
               [&](auto &) { postToGroupHost(Peer, std::move(Message)); }};
  std::visit(Handle, Message);
}

void MessageHub::postToGroupHost(const VmName &Peer, PeerMessage Message) {
  m_HostLoop.post([this, Peer, Moved = std::move(Message)] {
    m_Host.onMessage(Peer, Moved);
  });
}

/// Releases what the dispatch groups here hold for \p Peer, as messages may
/// have been lost with an earlier connection. The peer sends its waiting
/// tickets again and reports its running requests.
void MessageHub::onPeerConnected(const VmName &Peer) {
  m_HostLoop.post([this, Peer] { m_Host.onMemberGone(Peer); });
  for (const auto &Shard : m_Shards)
    Shard->onPeerConnected(Peer);
}

void MessageHub::onPeerLost(const VmName &Peer) {}

bool LocalRouter::send(const VmName &Peer, PeerMessage Message) {
  if (!(Peer == m_Self))
    return m_Remote.send(Peer, std::move(Message));
  m_Local->onMessage(m_Self, std::move(Message));
  return true;
}

} // namespace mangodeck
