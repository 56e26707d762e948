#ifndef MANGODECK_GATEWAY_KEYFOLLOWER_H
#define MANGODECK_GATEWAY_KEYFOLLOWER_H

#include "mangodeck/gateway/eventlog.h"
#include "mangodeck/gateway/keyvaluestore.h"

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// Receives the state of the store's keys.
class KeyObserver {
public:
  virtual ~KeyObserver() = default;
  virtual void onKey(const KeyChange &Change) = 0;
  /// \p Change names a key that is gone. \p AfterOutage: the store was out of
  /// reach within the last seconds, so that its lease may have lapsed while
  /// its writer lives.
  virtual void onKeyRemoved(const KeyChange &Change, bool AfterOutage) = 0;
  /// A whole listing has been delivered.
  virtual void onListed() = 0;
};

/// Least time from one watch of a daemon to its next. Each change wakes the
/// watches of all daemons, so that their calls grow with the daemons and with
/// the changes: many daemons take more changes together.
Duration minWatchInterval(std::size_t Daemons);

/// Keeps an observer up to date with the store: lists all keys, then waits for
/// changes from the listing's revision on, and lists again when the history
/// is gone or an answer was lost. A key's state never goes back to an older
/// revision within one listing.
class KeyFollower {
public:
  KeyFollower(asio::any_io_executor Executor, KeyValueStore &Feed,
              KeyObserver &Observer, EventLog &Log);

  void start();
  /// The process stood still: what is known may be old. Lists again.
  void refresh();

  /// Daemons that follow the store.
  void setDaemonCount(std::size_t Count) { m_Daemons = Count; }

  bool isStoreReachable() const { return m_InTouch; }

private:
  void list();
  void listFrom(std::string After);
  void onPage(Expected<KeyPage> Page);
  void finishListing();
  void watch();
  void onChanges(Expected<KeyChanges> Answer);
  void apply(const KeyChange &Change);
  void retry();
  void later(Duration Delay, void (KeyFollower::*Step)());
  void noteAnswer();
  void noteFailure(std::error_code Error);
  bool isAfterOutage(TimePoint Now) const;

  KeyValueStore &m_Feed;
  KeyObserver &m_Observer;
  EventLog &m_Log;
  asio::steady_timer m_Timer;
  std::unordered_map<std::string, std::int64_t> m_Known; ///< By key: revision.
  std::unordered_map<std::string, std::int64_t> m_Listed;
  std::int64_t m_Revision = 0;
  std::int64_t m_ListingRevision = 0;
  std::uint64_t m_Generation = 0; ///< Answers to older calls are ignored.
  bool m_InTouch = false;
  bool m_EverInTouch = false;
  unsigned m_Failures = 0;
  std::size_t m_Daemons = 1;
  TimePoint m_WatchSince{};
  TimePoint m_LastAnswer{};
  TimePoint m_OutageEnded{};
};

} // namespace mangodeck

#endif
