#ifndef MANGODECK_GATEWAY_CHANGERELAY_H
#define MANGODECK_GATEWAY_CHANGERELAY_H

#include "mangodeck/gateway/incarnationtracker.h"
#include "mangodeck/gateway/keyvaluestore.h"
#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/valuedelta.h"

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
  /// The value is too large to be sent; it follows from Delta, or must be
  /// fetched by a call.
  bool ValueOmitted = false;
  /// See KeyObserver::onKeyRemoved().
  bool AfterOutage = false;
  /// The value as the difference from an earlier one, if it is omitted.
  std::optional<ValueDelta> Delta = std::nullopt;
};

/// A daemon that has asked another one for changes, as it states itself in the
/// query.
struct ChangeSubscriber {
  /// Where it receives messages; its failure domain is not stated.
  PeerEndpoint Address;
  IncarnationId Incarnation = UnknownIncarnation;
  /// Number of suspensions of the process, which its clock did not count.
  std::uint32_t Suspensions = 0;
  Duration SentAt{0}; ///< Of the query, by its steady clock.
};

/// Revisions between which keys may have been added and removed again
/// unnoticed: listings at both show neither.
struct RevisionGap {
  StoreRevision From;
  StoreRevision To;
  /// Whether a daemon at \p Revision may know keys whose removal is not known.
  bool contains(StoreRevision Revision) const {
    return From < Revision && Revision < To;
  }
};

/// All changes of the store after From and up to To that make a difference to a
/// daemon. A receiver that knows the store at From or later, and at no revision
/// in one of Gaps, knows it at To after it has applied them.
struct RelayedChanges {
  StoreRevision From;
  StoreRevision To;
  /// Time since the store confirmed To.
  Duration Age{0};
  std::vector<RelayedChange> Changes;
  /// The process that sends the message; empty and UnknownIncarnation if it
  /// does not state them.
  std::string Vm = {};
  IncarnationId Incarnation = UnknownIncarnation;
  /// Time of the sender's steady clock; 0 if it is not stated.
  Duration SentAt{0};
  /// Number of the sender's suspensions, which its steady clock did not count.
  std::uint32_t Suspensions = 0;
  /// The subscriber that the message is for: SentAt is then a time of that
  /// process's clock, at or before the message was sent, and Suspensions are
  /// its own. Unknown if the message is for a whole failure domain.
  IncarnationId Receiver = UnknownIncarnation;
  /// Where the receiver can ask the sender; not part of the encoded message.
  std::optional<PeerEndpoint> Sender = std::nullopt;
  std::vector<RevisionGap> Gaps = {};
};

/// Values above this size are sent as their difference from the value before.
inline constexpr std::size_t MaxRelayedValueBytes = 2048;

/// Encodes the changes as a MessagePack array. Processes that know nothing of
/// differences take such a value for omitted.
std::string encodeRelayedChanges(const RelayedChanges &Message);
/// std::nullopt if \p Bytes is not an encoded message of this kind.
std::optional<RelayedChanges> decodeRelayedChanges(std::string_view Bytes);

/// Sends datagrams to the other daemons of the failure domain.
class ChangeRelay {
public:
  virtual ~ChangeRelay() = default;
  /// Whether this daemon relays changes to the others at present.
  virtual bool isRelaying() const = 0;
  /// States this process as the sender.
  virtual void stamp(RelayedChanges &Message) const {}
  /// Sends \p Bytes to each of the others; may lose it.
  virtual void sendToDomain(std::string_view Bytes) = 0;
  /// Sends \p Bytes to one daemon; may lose it.
  virtual void sendChanges(const PeerEndpoint &Receiver,
                           std::string_view Bytes) = 0;
};

/// The latest changes, as a relay tells them. Each change is in several
/// messages in a row, so that a receiver that has lost one needs no call, which
/// takes two round trips on a link that may be full. A receiver that has lost
/// more notices by From of the next message. Many changes, as when all targets
/// register, are not repeated. New ones that do not fit into a datagram are
/// left out, and the receivers read them from the store: relayed to each, they
/// would take more of the relay's link than it has.
///
/// Heartbeats, which make no difference to the daemons, are left out, too.
class RelayWindow {
public:
  /// Forgets the changes up to \p Known, at which the next message starts.
  /// Later ones stay: they can be known before all that precede them are.
  void restart(StoreRevision Known);
  /// Records a change that makes a difference. If it removes a key, the last
  /// heartbeat of that key is recorded before it, so that receivers know the
  /// last registration of a target that has left. \p Delta is sent in place of
  /// a large value.
  void record(const KeyChange &Change, bool AfterOutage,
              std::optional<ValueDelta> Delta = std::nullopt);
  /// Records that removals are not known; see RevisionGap.
  void recordGap(const RevisionGap &Gap) { m_Gaps.push_back(Gap); }
  /// Records an update that makes no difference.
  void recordHeartbeat(const KeyChange &Change);
  /// The next message, also of a daemon that does not send it; the store has
  /// confirmed that there is no other change up to \p Known.
  RelayedChanges takeMessage(StoreRevision Known);

private:
  /// The changes of one message that were new in it.
  struct Batch {
    StoreRevision From;
    std::vector<RelayedChange> Changes;
    std::vector<RevisionGap> Gaps;
    std::size_t Bytes = 0;
  };

  void append(RelayedChange Relayed);
  void forgetUntil(StoreRevision Known);
  /// Takes the changes up to \p Known out of m_Changes.
  Batch takeBatch(StoreRevision Known);

  std::deque<Batch> m_Sent; ///< To be repeated, the latest last.
  StoreRevision m_From;     ///< The changes of m_Changes follow it.
  std::vector<RelayedChange> m_Changes;
  std::vector<RevisionGap> m_Gaps; ///< After m_From.
  std::size_t m_Bytes = 0;         ///< Of m_Changes, and of those left out.
  /// The latest of those left out.
  StoreRevision m_LatestOmitted;
  std::unordered_map<std::string, KeyChange> m_LastHeartbeats; ///< By key.
};

} // namespace mangodeck

#endif
