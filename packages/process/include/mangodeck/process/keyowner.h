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

/// Remembers which entry daemon holds the request in progress of each key
/// whose home this daemon is. Soft state: it saves doubled work, and is built
/// anew by the holders when a home is lost. What makes a keyed
/// non-idempotent request run at most once is its claim in the store.
class KeyOwner {
public:
  /// Registers the asker as holder, or names the present one. A holder that
  /// registers again, after a change of homes, is confirmed.
  void join(const VmName &From, const JoinKey &Message, TimePoint Now,
            PeerActions &Out);

  /// Forgets the key, if \p From still holds it with that request.
  void release(const VmName &From, const ReleaseKey &Message);

  /// Forgets the keys that a daemon held which is gone.
  void forgetMember(const VmName &Vm);

  /// Drops holders that have not registered again for long; call each second.
  void expire(TimePoint Now);

  std::size_t size() const { return m_Holders.size(); }

private:
  struct Holder {
    VmName Vm;
    RequestId Request;
    TimePoint Registered;
  };

  std::map<std::string, Holder, std::less<>> m_Holders;
};

/// The keyed requests that this entry daemon has in progress, as holder or as
/// follower of another daemon's answer.
class KeyedRequests {
public:
  /// What becomes of a keyed request that arrived here. \p Key is the hash of
  /// its idempotency key, as in JoinKey.
  enum class Course : std::uint8_t {
    Asked,  ///< The home was asked; wait for onHolder().
    Local,  ///< Joins the request in progress here, see localHolder().
    Direct, ///< No home is live: go on alone.
  };

  explicit KeyedRequests(VmName Self, FailureDomain Domain);

  Course arrive(std::string_view Customer, std::string_view Key,
                const RequestId &Request, const OwnerTable &Owners,
                PeerActions &Out);

  /// The request in progress here with the same key, if any.
  std::optional<RequestId> localHolder(std::string_view Customer,
                                       std::string_view Key) const;

  /// Takes a home's answer. Returns the holder that is followed from now on;
  /// std::nullopt if the request is this daemon's own to run.
  std::optional<VmName> onHolder(const KeyHolder &Message, PeerActions &Out);

  /// The request is dispatched by this daemon: it follows nobody any more.
  void noteDispatched(const RequestId &Request);

  /// Whether the request is this daemon's own to run, so that others may
  /// follow its answer. Two requests that were told to follow each other, by
  /// homes with different views, find out by this and both go on alone.
  bool isHeld(const RequestId &Request) const;

  /// The answer that was followed is not to be had: the request is this
  /// daemon's own from now on.
  void goAlone(const RequestId &Request);

  /// The request ended here: the home forgets its key.
  void finish(const RequestId &Request, const OwnerTable &Owners,
              PeerActions &Out);

  /// Registers the requests in progress with the homes that changed, or with
  /// all of them if \p Renew is set; do so at least every minute.
  void rehome(const OwnerTable &Owners, bool Renew, PeerActions &Out);

  /// Requests that followed an answer of \p Vm, which is gone. They are asked
  /// for anew: the first becomes the holder. Returns them.
  std::vector<RequestId>
  onMemberGone(const VmName &Vm, const OwnerTable &Owners, PeerActions &Out);

private:
  struct Keyed {
    std::string Customer;
    std::string Key;
    VmName Home;
    VmName Followed; ///< Empty while it is this daemon's own.
    bool Dispatched = false;
  };

  const VmName *keyOwnerOf(const Keyed &Entry, const OwnerTable &Owners) const;
  void ask(Keyed &Entry, const RequestId &Request, const VmName &Home,
           PeerActions &Out) const;

  VmName m_Self;
  FailureDomain m_Domain;
  std::map<RequestId, Keyed> m_Requests;
};

} // namespace mangodeck

#endif
