#ifndef MANGODECK_GATEWAY_KEYFOLLOWER_H
#define MANGODECK_GATEWAY_KEYFOLLOWER_H

#include "mangodeck/gateway/eventlog.h"
#include "mangodeck/gateway/keyvaluestore.h"
#include "mangodeck/gateway/storeera.h"

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace mangodeck {

/// Receives the changes of the store's keys.
class KeyObserver {
public:
  virtual ~KeyObserver() = default;
  /// A key was added or its value was written.
  virtual void onKeyUpdated(const KeyChange &Change) = 0;
  /// A key was removed. \p AfterOutage: the store is unreachable or became
  /// reachable again within the last seconds, so the key's lease may have
  /// expired although the process that wrote the key is alive.
  virtual void onKeyRemoved(const KeyChange &Change, bool AfterOutage) = 0;
  /// All keys of a listing have been delivered.
  virtual void onListed() = 0;
};

/// Minimum time between the starts of two watches of one daemon. Each change
/// ends the watches of all daemons, so the number of calls to the store grows
/// with daemons and changes. A longer interval for many daemons delivers more
/// changes per call.
Duration minWatchInterval(std::size_t DaemonCount);

/// Keeps an observer up to date with the store: lists all keys, then watches
/// for changes after the revision of the listing's first page. Lists again if
/// the store no longer has the history, was restored from an older copy, or a
/// call failed. Does not report an older revision of a key after a newer one,
/// unless the key was removed in between. After a restore, keys may be reported
/// with the older values of the copy.
class KeyFollower : public StoreEraObserver {
public:
  KeyFollower(asio::any_io_executor Executor, KeyValueStore &Store,
              KeyObserver &Observer, EventLog &Log);

  void start();
  /// Reconnects and lists all keys again; called after the process was
  /// suspended and may have missed changes.
  void refresh();

  /// Lists all keys again, since the revisions reported so far are void. Keys
  /// that the copy lacks are reported as removed after an outage: the processes
  /// that wrote them write them again.
  void onStoreRestored() override;

  /// Sets the number of daemons that watch the store.
  void setDaemonCount(std::size_t Count) { m_DaemonCount = Count; }

  bool isStoreReachable() const { return m_StoreReachable; }

private:
  void list();
  void listFrom(std::string After);
  void onPage(Expected<KeyPage> Page);
  void finishListing();
  void watch();
  void onChanges(Expected<KeyChanges> Answer);
  void apply(const KeyChange &Change);
  void retry();
  void runAfter(Duration Delay, void (KeyFollower::*Step)());
  void recordAnswer();
  void recordFailure(std::error_code Error);
  /// Whether the store is unreachable or an outage ended within the last
  /// seconds.
  bool isAfterOutage(TimePoint Now) const;

  KeyValueStore &m_Store;
  KeyObserver &m_Observer;
  EventLog &m_Log;
  asio::steady_timer m_Timer;
  /// Revisions by key, as last reported to the observer.
  std::unordered_map<std::string, StoreRevision> m_Revisions;
  /// Keys on the pages of the current listing.
  std::unordered_set<std::string> m_Listed;
  StoreRevision m_Revision; ///< Watches start after this revision.
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
  std::size_t m_DaemonCount = 1;
  TimePoint m_WatchStart{};
  TimePoint m_LastAnswerTime{};
  TimePoint m_OutageEnd{};
};

} // namespace mangodeck

#endif
