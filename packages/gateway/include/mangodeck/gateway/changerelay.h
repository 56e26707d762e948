#ifndef MANGODECK_GATEWAY_CHANGERELAY_H
#define MANGODECK_GATEWAY_CHANGERELAY_H

#include "mangodeck/gateway/keyvaluestore.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// A change of a key that one daemon passes on to others.
struct RelayedChange {
  KeyChange Change;
  /// The value is too large to be relayed; it must be read from the store.
  bool ValueOmitted = false;
  /// See KeyObserver::onKeyRemoved().
  bool AfterOutage = false;
};

/// All changes of the store after From and up to To that make a difference to a
/// daemon. A receiver that knows the store at From or later knows it at To
/// after it has applied them.
struct RelayedChanges {
  StoreRevision From;
  StoreRevision To;
  /// Time since the store confirmed To.
  Duration Age{0};
  std::vector<RelayedChange> Changes;
};

/// Encodes the changes as a MessagePack array.
std::string encodeRelayedChanges(const RelayedChanges &Message);
/// std::nullopt if \p Bytes is not an encoded message of this kind.
std::optional<RelayedChanges> decodeRelayedChanges(std::string_view Bytes);

/// Sends datagrams to the other daemons of the failure domain.
class ChangeRelay {
public:
  virtual ~ChangeRelay() = default;
  /// Whether this daemon relays changes to the others at present.
  virtual bool isRelaying() const = 0;
  /// Sends \p Bytes to each of the others; may lose it.
  virtual void sendToDomain(std::string_view Bytes) = 0;
};

/// The changes of the last second, as a relay sends them. Each message repeats
/// them, so that a receiver misses a change only if several datagrams in a row
/// are lost, and then notices by From.
///
/// Heartbeats, which make no difference to the daemons, are left out.
class RelayWindow {
public:
  /// Forgets all changes. The next message starts at \p Known.
  void restart(StoreRevision Known);
  /// Records a change that makes a difference. If it removes a key, the last
  /// heartbeat of that key is recorded before it, so that receivers know the
  /// last registration of a target that has left.
  void record(const KeyChange &Change, bool AfterOutage, TimePoint Now);
  /// Records an update that makes no difference.
  void recordHeartbeat(const KeyChange &Change);
  /// The store has confirmed that there is no other change up to \p Known.
  void advance(StoreRevision Known, TimePoint Now);
  /// The messages for the changes in the window, in order. Each fits into a
  /// datagram.
  std::vector<RelayedChanges> messages(TimePoint Now) const;

private:
  struct Entry {
    RelayedChange Relayed;
    TimePoint RecordedAt{};
  };
  /// The store's revision at the time of an answer.
  struct Confirmation {
    StoreRevision Known;
    TimePoint At{};
  };
  std::deque<Entry> m_Changes; ///< In the order of their revisions.
  std::unordered_map<std::string, KeyChange> m_LastHeartbeats; ///< By key.
  /// Of the last second, and the last one before it.
  std::deque<Confirmation> m_Confirmations;
};

} // namespace mangodeck

#endif
