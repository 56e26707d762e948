#ifndef MANGODECK_GATEWAY_KEYFOLLOWER_H
#define MANGODECK_GATEWAY_KEYFOLLOWER_H

#include "mangodeck/common/clock.h"
#include "mangodeck/common/executor.h"
#include "mangodeck/gateway/changeorigin.h"
#include "mangodeck/gateway/changerelay.h"
#include "mangodeck/gateway/changesubscribers.h"
#include "mangodeck/gateway/eventlog.h"
#include "mangodeck/gateway/keyreplica.h"
#include "mangodeck/gateway/keyvaluestore.h"
#include "mangodeck/gateway/peercatchup.h"
#include "mangodeck/gateway/storeera.h"
#include "mangodeck/gateway/transitdelay.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_set>

namespace mangodeck {

/// Receives the changes of the store's keys.
class KeyObserver {
public:
  virtual ~KeyObserver() = default;
  /// A key was added or its value was written. Returns false if the change
  /// makes no difference to any daemon, as a heartbeat does.
  virtual bool onKeyUpdated(const KeyChange &Change) = 0;
  /// A key was removed. \p AfterOutage: the store is unreachable or became
  /// reachable again within the last seconds, so the key's lease may have
  /// expired although the process that wrote the key is alive.
  virtual void onKeyRemoved(const KeyChange &Change, bool AfterOutage) = 0;
  /// All keys of a listing have been delivered.
  virtual void onListed() = 0;
  /// All changes of the store up to \p Time have been reported.
  virtual void onConfirmed(TimePoint Time) = 0;
  /// The reports that follow were learned by \p Origin.
  virtual void onOrigin(const ChangeOrigin &Origin) {}
};

/// Time for which a watch waits for a change if changes must take effect within
/// \p ChangeDeadline. A connection can go silent while its peer still
/// acknowledges, which only the missing end of the wait shows, so the time-out
/// of the call and a new listing have to fit into the rest.
Duration watchWait(Duration ChangeDeadline);

/// The same for the relay of a failure domain. Shorter, so that the other
/// daemons notice within ChangeDeadline that it tells nothing new.
Duration relayWait(Duration ChangeDeadline);

/// Number of daemons in a failure domain from which on a relay saves calls to
/// the store: it must call more often than a daemon that watches for itself.
std::size_t minDaemonsForRelay(Duration ChangeDeadline);

/// Keeps an observer up to date with the store: lists all keys, then watches
/// for changes after the revision of the listing's first page. Lists again if
/// the store no longer has the history, was restored from an older copy, or a
/// call failed. Does not report an older revision of a key after a newer one,
/// unless the key was removed in between. After a restore, keys may be reported
/// with the older values of the copy.
///
/// In a large failure domain one daemon watches and relays the changes to the
/// others, since with a watch of each daemon the calls to the store would grow
/// with daemons times changes. The relay only saves calls: a daemon that has
/// missed several messages, or gets none for some time, watches by itself from
/// the revision that it has.
///
/// What a daemon learns of another one has an age: the time since the call to
/// the store from which it stems. A daemon whose knowledge becomes too old, or
/// that the store does not give a change that it knows to be missing, asks
/// other daemons (PeerCatchUp), which answer from their KeyReplica and send it
/// what they learn later (ChangeSubscribers). One that starts while the store
/// does not answer it takes all keys from another daemon.
class KeyFollower : public StoreEraObserver, private PeerChangeObserver {
public:
  /// \p ChangeDeadline: time after a write within which the daemons must act on
  /// it.
  KeyFollower(const Clock &Time, Executor &Loop, KeyValueStore &Store,
              PeerChangeReader &Peers, KeyObserver &Observer,
              ChangeRelay &Relay, EventLog &Log, Duration ChangeDeadline);

  void start();
  /// Reconnects and lists all keys again; called after the process was
  /// suspended and may have missed changes.
  void refresh();

  /// Applies what the relay of the failure domain has sent.
  void onRelayedChanges(RelayedChanges Message);
  /// The changes that another daemon asks for; std::nullopt before the first
  /// complete listing. From of the answer is later than asked for if removals
  /// in between are no longer known.
  /// The daemon that asks is sent later changes, too.
  std::optional<RelayedChanges> answer(const ChangeQuery &Query);

  /// Lists all keys again, since the revisions reported so far are void. Keys
  /// that the copy lacks are reported as removed after an outage: the processes
  /// that wrote them write them again.
  void onStoreRestored() override;

  bool isStoreReachable() const { return m_StoreReachable; }

private:
  void list();
  void listFrom(std::string After);
  void onPage(Expected<KeyPage> Page);
  void finishListing();
  void watch();
  /// Wait of the watch that starts now. The next confirmation comes at its end,
  /// so it is shorter the older the knowledge is, as after a change that ended
  /// the watch before late in its wait.
  Duration nextWait(TimePoint Now) const;
  /// \p Start, \p Wait: of the watch.
  void onChanges(Expected<KeyChanges> Answer, TimePoint Start, Duration Wait);
  std::optional<ChangeQuery> nextQuery() const override;
  void onPeerChanges(RelayedChanges Message, TimePoint SentAt) override;
  void onCaughtUp(TimePoint Since, const PeerQueryCounts &Counts) override;
  /// Whether a newer change in the message came without its value.
  bool missesValue(const RelayedChanges &Message) const;
  /// Another process whose messages arrive.
  struct Sender {
    TransitDelay Delay;
    TimePoint AskedAt{};
  };
  Sender &senderOf(const RelayedChanges &Message);
  /// Time for which a message can have waited on its way. Asks its sender,
  /// whose answer bounds it, if it is not known or implausible.
  Duration transitOf(const RelayedChanges &Message, TimePoint Now);
  /// Asks the sender of a message, at most once in \p Interval.
  void askSender(const RelayedChanges &Message, TimePoint Now,
                 Duration Interval);
  /// All keys are known up to m_Revision.
  void finishFirstListing();
  /// The store is now known as of \p Listed, by a list of all keys.
  void recordListed(StoreRevision Listed);
  /// Whether the message does not take the own knowledge to its end.
  bool leavesGap(const RelayedChanges &Message) const;
  /// Whether the message does not tell what became of a key that is known
  /// early: its sender may not know of it, nor of its removal.
  bool leavesKeyOpen(const RelayedChanges &Message) const;
  /// Applies a change that is known before all that precede it are.
  void applyEarly(const KeyChange &Change, bool AfterOutage);
  /// All changes up to \p Revision are known.
  void advance(StoreRevision Revision);
  /// Removes the keys that another daemon, which has told all keys, lacks.
  void removeUnlisted(const RelayedChanges &AllKeys);
  /// Whether \p Change is missing although all changes up to its revision had
  /// been confirmed, which is logged.
  bool wasMissed(const KeyChange &Change);
  /// Applies the changes of a message that are newer than what is known.
  void applyAll(const RelayedChanges &Message);
  IncarnationId ownIncarnation() const;
  /// All changes up to \p Time have been reported.
  void confirm(TimePoint Time);
  /// A change up to \p Revision is known to be missing. The call in progress,
  /// or a new one, is to give it soon; else other daemons are asked.
  void requireRevision(StoreRevision Revision);
  /// Reports the change if it is newer than what was reported of its key.
  void apply(const KeyChange &Change, bool AfterOutage);
  /// Sends the last changes to the subscribers and, if this daemon is the
  /// relay, to its failure domain. Keeps them, so that it can send them again,
  /// or if it becomes the relay.
  void publish();
  /// The same if what another daemon has sent was new enough to be passed on.
  /// Each daemon does so once for each change, so messages do not circulate.
  void publishIfNewer();
  /// Another daemon has told that all changes up to \p ConfirmedAt are known.
  void onTold(TimePoint ConfirmedAt);
  /// Waits until the next watch is due. While the relay is fresh none is.
  void awaitNextWatch();
  bool isRelayFresh(TimePoint Now) const;
  /// Until when the relay's messages replace own calls; at most \p Now if they
  /// do not. They do not for a daemon that others depend on: what it is told
  /// may stem from itself. One that the store does not answer tries again now
  /// and then.
  TimePoint followsRelayUntil(TimePoint Now);
  /// A daemon watches the store by itself if what the relay has told it is
  /// older than this.
  Duration relayTimeout() const;
  /// Repeats a failed call after a delay.
  void retry();
  Duration retryDelay() const;
  /// Follows the relay if it is fresh, else lists all keys again. While the
  /// store turns this daemon away, the relay tells it the changes.
  void recover();
  void runAfter(Duration Delay, void (KeyFollower::*Step)());
  void recordAnswer();
  void recordFailure(std::error_code Error);
  /// Whether the store is unreachable or an outage ended within the last
  /// seconds.
  bool isAfterOutage(TimePoint Now) const;

  const Clock &m_Time;
  Executor &m_Loop;
  KeyValueStore &m_Store;
  KeyObserver &m_Observer;
  ChangeRelay &m_Relay;
  EventLog &m_Log;
  Duration m_ChangeDeadline;
  /// Number of the last delayed step; a later one takes the place of it.
  std::uint64_t m_DelayedStep = 0;
  PeerCatchUp m_CatchUp;
  RelayWindow m_Window;
  ChangeSubscribers m_Subscribers;
  /// Of the last message.
  StoreRevision m_PublishedRevision;
  TimePoint m_PublishedConfirmedAt{};
  /// By VM, process, and number of its suspensions.
  std::map<std::tuple<std::string, IncarnationId, std::uint32_t>, Sender>
      m_Senders;
  std::uint32_t m_Suspensions = 0;
  KeyReplica m_Replica; ///< As last reported to the observer.
  /// Keys on the pages of the current listing.
  std::unordered_set<std::string> m_Listed;
  StoreRevision m_Revision; ///< Watches start after this revision.
  /// Keys that were written after it, as far as they are known.
  std::map<std::string, StoreRevision> m_EarlyKeys;
  /// Revision of the current listing's first page; std::nullopt before it.
  std::optional<StoreRevision> m_ListingRevision;
  /// The store was restored and no listing has been completed since.
  bool m_Restored = false;
  /// Number of refreshes and restores. Answers to calls made before the last
  /// one are ignored.
  std::uint64_t m_Generation = 0;
  bool m_StoreReachable = false;
  bool m_WasEverReachable = false;
  unsigned m_ConsecutiveFailures = 0;
  TimePoint m_ListingStart{}; ///< Of the call for the first page.
  TimePoint m_WatchStart{};
  TimePoint m_LastCallAt{}; ///< To the store.
  /// All changes up to this time are known.
  TimePoint m_ConfirmedAt{};
  /// The latest revision that is known to exist.
  StoreRevision m_RequiredRevision;
  /// The process was suspended and nothing has been confirmed since: messages
  /// that arrived meanwhile may be of any age.
  bool m_IsResuming = false;
  /// A difference did not fit to what is known: whole values are asked for.
  bool m_NeedsWholeValues = false;
  /// A listing has been completed, and none is in progress.
  bool m_IsListed = false;
  /// A listing has been completed since the start, or since the store was
  /// restored.
  bool m_HasListing = false;
  /// No call is in progress or due: the relay tells the changes.
  bool m_FollowsRelay = false;
  bool m_FollowedRelay = false; ///< As last logged.
  /// The same by what other daemons have told.
  TimePoint m_ToldConfirmedAt{};
  TimePoint m_LastAnswerTime{};
  TimePoint m_OutageEnd{};
};

} // namespace mangodeck

#endif
