#include "mangodeck/gateway/keyfollower.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

/// Time for which a watch waits for a change. TCP keep-alive probes detect a
/// dead connection earlier.
constexpr Duration WatchTimeout = 4s;
/// Bounds of the minimum time between the starts of two watches. They are short
/// compared with the time within which changes must take effect, which is two
/// seconds or more.
constexpr Duration ShortestWatchInterval = 250ms;
constexpr Duration LongestWatchInterval = 750ms;
/// Largest number of daemons for which the shortest interval is used.
constexpr std::size_t DaemonsAtShortestInterval = 24;
/// Delays before a failed call is repeated. The first is short, since a single
/// closed connection does not mean that the store is down. The later ones are
/// longer, since rejected calls count against the store's rate limit.
constexpr Duration FirstRetryDelay = 30ms;
constexpr Duration LaterRetryDelay = 300ms;
/// Time after an outage within which processes write the keys again whose
/// leases expired during the outage.
constexpr Duration LeaseRecoveryTime = 2s;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

Duration minWatchInterval(std::size_t DaemonCount) {
  const Duration Interval =
      ShortestWatchInterval * static_cast<std::int64_t>(DaemonCount) /
      static_cast<std::int64_t>(DaemonsAtShortestInterval);
  return std::clamp(Interval, ShortestWatchInterval, LongestWatchInterval);
}

KeyFollower::KeyFollower(asio::any_io_executor Executor, KeyValueStore &Store,
                         KeyObserver &Observer, EventLog &Log)
    : m_Store(Store), m_Observer(Observer), m_Log(Log), m_Timer(Executor) {}

void KeyFollower::start() { list(); }

void KeyFollower::refresh() {
  ++m_Generation;
  m_Store.reconnect();
  m_ConsecutiveFailures = 0;
  list();
}

void KeyFollower::onStoreRestored() {
  ++m_Generation;
  m_Restored = true;
  list();
}

void KeyFollower::list() {
  m_Listed.clear();
  m_ListingRevision.reset();
  listFrom(std::string());
}

void KeyFollower::listFrom(std::string After) {
  m_Store.list(After,
               [this, Generation = m_Generation](Expected<KeyPage> Page) {
                 if (Generation == m_Generation)
                   onPage(std::move(Page));
               });
}

void KeyFollower::onPage(Expected<KeyPage> Page) {
  if (!Page) {
    recordFailure(Page.error());
    return retry();
  }
  recordAnswer();
  // A page may lack changes made after the first page was read, so the watch
  // starts at the revision of the first page.
  if (!m_ListingRevision)
    m_ListingRevision = Page->AsOf;
  for (const auto &Item : Page->Items) {
    m_Listed.insert(Item.Key);
    apply(Item);
  }
  if (Page->HasMore && !Page->Items.empty())
    return listFrom(Page->Items.back().Key);
  finishListing();
}

void KeyFollower::finishListing() {
  // The processes whose keys the copy lacks need time to write them again.
  if (std::exchange(m_Restored, false))
    m_OutageEnd = steadyNow();
  std::vector<KeyChange> Removed;
  for (const auto &[Key, Revision] : m_Revisions)
    if (!m_Listed.contains(Key))
      Removed.push_back({Key, std::string(), *m_ListingRevision, true});
  for (const auto &Change : Removed)
    apply(Change);
  m_Listed.clear();
  m_Revision = *m_ListingRevision;
  m_Observer.onListed();
  watch();
}

void KeyFollower::watch() {
  m_WatchStart = steadyNow();
  m_Store.watch(m_Revision, WatchTimeout,
                [this, Generation = m_Generation](Expected<KeyChanges> Answer) {
                  if (Generation == m_Generation)
                    onChanges(std::move(Answer));
                });
}

void KeyFollower::onChanges(Expected<KeyChanges> Answer) {
  if (!Answer) {
    const bool IsHistoryDropped =
        Answer.error() == make_error_code(Errc::StaleStore);
    if (IsHistoryDropped)
      recordAnswer();
    else
      recordFailure(Answer.error());
    // A failed watch may have lost changes. A new watch from the same revision
    // would miss those that the store has since dropped from its history, so
    // all keys are listed again.
    return IsHistoryDropped ? list() : retry();
  }
  recordAnswer();
  for (const auto &Change : Answer->Changes)
    apply(Change);
  m_Revision = std::max(m_Revision, Answer->AsOf);
  const auto Elapsed = steadyNow() - m_WatchStart;
  const auto Interval = minWatchInterval(m_DaemonCount);
  if (Elapsed >= Interval)
    return watch();
  runAfter(Interval - Elapsed, &KeyFollower::watch);
}

void KeyFollower::runAfter(Duration Delay, void (KeyFollower::*Step)()) {
  m_Timer.expires_after(Delay);
  m_Timer.async_wait(
      [this, Step, Generation = m_Generation](std::error_code Error) {
        if (!Error && Generation == m_Generation)
          (this->*Step)();
      });
}

void KeyFollower::apply(const KeyChange &Change) {
  const auto Reported = m_Revisions.find(Change.Key);
  if (Reported != m_Revisions.end() && Reported->second >= Change.Revision)
    return;
  if (!Change.Removed) {
    m_Revisions[Change.Key] = Change.Revision;
    m_Observer.onKeyUpdated(Change);
  } else if (Reported != m_Revisions.end()) {
    m_Revisions.erase(Reported);
    m_Observer.onKeyRemoved(Change, isAfterOutage(steadyNow()));
  }
}

void KeyFollower::retry() {
  runAfter(m_ConsecutiveFailures <= 1 ? FirstRetryDelay : LaterRetryDelay,
           &KeyFollower::list);
}

void KeyFollower::recordAnswer() {
  m_LastAnswerTime = steadyNow();
  m_ConsecutiveFailures = 0;
  if (m_StoreReachable)
    return;
  m_StoreReachable = true;
  if (m_WasEverReachable)
    m_OutageEnd = m_LastAnswerTime;
  m_WasEverReachable = true;
  m_Log.write("store_regained",
              {{"era", m_Revision.Era}, {"revision", m_Revision.Number}});
}

void KeyFollower::recordFailure(std::error_code Error) {
  ++m_ConsecutiveFailures;
  if (!m_StoreReachable && m_ConsecutiveFailures > 1)
    return;
  if (m_StoreReachable || m_ConsecutiveFailures == 1)
    m_Log.write("store_lost",
                {{"error", Error.message()},
                 {"last_answer_ms", ageMs(m_LastAnswerTime, steadyNow())}});
  m_StoreReachable = false;
}

bool KeyFollower::isAfterOutage(TimePoint Now) const {
  return !m_StoreReachable || Now - m_OutageEnd < LeaseRecoveryTime;
}

} // namespace mangodeck
