#ifndef MANGODECK_PROCESS_KEYOWNER_H
#define MANGODECK_PROCESS_KEYOWNER_H

#include "mangodeck/common/units.h"
#include "mangodeck/process/ownertable.h"
#include "mangodeck/request/peermessage.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// A message for another daemon.
struct PeerAction {
  VmName To;
  PeerMessage Message;
};

using PeerActions = std::vector<PeerAction>;

/// Records which entry daemon holds the request in progress of each idempotency
/// key that this daemon owns according to the OwnerTable. A second request with
/// the same key then follows the answer of the first instead of running again.
/// The records are soft state: when an owner is lost, the holders register with
/// the next one. That a keyed non-idempotent request runs at most once is
/// ensured by its claim in the store, not here.
class KeyOwner {
public:
  /// Registers \p From as the holder of the key, or answers with the current
  /// holder. The current holder may register again with the same request, which
  /// renews its record.
  void join(const VmName &From, const JoinKey &Message, TimePoint Now,
            PeerActions &Out);

  /// Removes the key if \p From still holds it with that request.
  void release(const VmName &From, const ReleaseKey &Message);

  /// Removes the keys held by a daemon that is no longer a member.
  void removeMember(const VmName &Vm);

  /// Removes holders whose last registration is older than HolderLifetime; call
  /// once a second.
  void expire(TimePoint Now);

  std::size_t size() const { return m_Holders.size(); }

private:
  struct Holder {
    VmName Vm;
    RequestId Request;
    TimePoint RegisteredAt; ///< Time of the last registration.
  };

  std::map<std::string, Holder, std::less<>> m_Holders;
};

/// The keyed requests in progress on this entry daemon. For each one the daemon
/// is either the holder, which runs the request, or a follower, which relays
/// the answer of the holder.
class KeyedRequests {
public:
  /// What to do with a keyed request that has arrived.
  enum class ArrivalResult : std::uint8_t {
    OwnerAsked, ///< A JoinKey was sent to the owner; wait for onKeyHolder().
    JoinsLocal, ///< Follow the request in progress here, see localHolder().
    NoOwner,    ///< The key has no live owner; run the request.
  };

  explicit KeyedRequests(VmName Self, FailureDomain Domain);

  /// Adds a request, unless one with the same key is in progress here. \p Key
  /// is the hash of its idempotency key, as in JoinKey.
  ArrivalResult arrive(std::string_view Customer, std::string_view Key,
                       const RequestId &Request, const OwnerTable &Owners,
                       PeerActions &Out);

  /// The request in progress here with the same key, if any.
  std::optional<RequestId> localHolder(std::string_view Customer,
                                       std::string_view Key) const;

  /// Handles the owner's answer to a JoinKey. Returns the holder that the
  /// request follows from now on; std::nullopt if this daemon has to run the
  /// request.
  std::optional<VmName> onKeyHolder(const KeyHolder &Message, PeerActions &Out);

  /// Records that this daemon has dispatched the request, which from now on
  /// follows no other holder.
  void recordDispatch(const RequestId &Request);

  /// Whether this daemon holds the request, so that others may follow its
  /// answer. Owners with different views of the members can make two requests
  /// follow each other; each of the two daemons detects that with this check,
  /// and both run their requests.
  bool isHolder(const RequestId &Request) const;

  /// Makes this daemon the holder of a request whose followed answer is not
  /// available.
  void stopFollowing(const RequestId &Request);

  /// Removes a request that has ended. If this daemon was its holder, the owner
  /// gets a ReleaseKey.
  void finish(const RequestId &Request, const OwnerTable &Owners,
              PeerActions &Out);

  /// Registers each held request whose key has a new owner or, if \p Renew is
  /// set, all of them. Renew at least every minute, as owners remove holders
  /// that do not register again.
  void registerWithOwners(const OwnerTable &Owners, bool Renew,
                          PeerActions &Out);

  /// Handles the loss of \p Vm: each request that followed an answer of it
  /// sends a new JoinKey, and the first to reach the owner becomes the holder.
  /// Returns these requests.
  std::vector<RequestId>
  onMemberGone(const VmName &Vm, const OwnerTable &Owners, PeerActions &Out);

private:
  struct KeyedRequest {
    std::string Customer;
    std::string Key;
    VmName Owner;
    VmName FollowedHolder; ///< Empty while this daemon is the holder.
    bool Dispatched = false;
  };

  const VmName *keyOwnerOf(const KeyedRequest &Entry,
                           const OwnerTable &Owners) const;
  void sendJoin(KeyedRequest &Entry, const RequestId &Request,
                const VmName &Owner, PeerActions &Out) const;

  VmName m_Self;
  FailureDomain m_Domain;
  std::map<RequestId, KeyedRequest> m_Requests;
};

} // namespace mangodeck

#endif
