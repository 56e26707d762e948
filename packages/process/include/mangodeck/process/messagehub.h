#ifndef MANGODECK_PROCESS_MESSAGEHUB_H
#define MANGODECK_PROCESS_MESSAGEHUB_H

#include "mangodeck/common/executor.h"
#include "mangodeck/process/entry.h"
#include "mangodeck/process/grouphost.h"
#include "mangodeck/request/peermessage.h"

namespace mangodeck {

/// Handles the messages about configuration revisions.
class RevisionHandler {
public:
  virtual ~RevisionHandler() = default;
  virtual void onFetch(const VmName &Peer, const FetchRevisions &Message) = 0;
  virtual void onOffer(const VmName &Peer, const OfferRevisions &Message) = 0;
};

/// Passes each message from a peer to its handler: the entry shard of the
/// request, the revision handler or the group host. Safe from any thread.
class MessageHub : public PeerHandler {
public:
  MessageHub(Executor &HostLoop, GroupHost &Host, Entry &RequestEntry,
             std::span<const std::unique_ptr<EntryShard>> Shards,
             RevisionHandler &Revisions);

  void onMessage(const VmName &Peer, PeerMessage Message) override;
  void onPeerConnected(const VmName &Peer) override;
  void onPeerLost(const VmName &Peer) override;

private:
  void postToGroupHost(const VmName &Peer, PeerMessage Message);

  Executor &m_HostLoop;
  GroupHost &m_Host;
  Entry &m_Entry;
  std::span<const std::unique_ptr<EntryShard>> m_Shards;
  RevisionHandler &m_Revisions;
};

/// Delivers messages for this daemon itself directly to its handler, and sends
/// all others through the peer transport.
class LocalRouter : public PeerSender {
public:
  LocalRouter(VmName Self, PeerSender &Remote)
      : m_Self(std::move(Self)), m_Remote(Remote) {}

  /// Must be called once before the first send().
  void attach(PeerHandler &Local) { m_Local = &Local; }

  bool send(const VmName &Peer, PeerMessage Message) override;

private:
  VmName m_Self;
  PeerSender &m_Remote;
  PeerHandler *m_Local = nullptr;
};

} // namespace mangodeck

#endif
