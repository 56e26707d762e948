#include "mangodeck/gateway/keyfollower.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// How long one watch waits. Keep-alive probes notice a silent connection
/// sooner.
constexpr Duration WatchWait = 4s;
/// Bounds of the least time from one watch to the next. Short against the
/// bounds for changes to be in force, which are two seconds and more.
constexpr Duration LeastWatchPause = 250ms;
constexpr Duration MostWatchPause = 750ms;
/// Daemons up to which the pause is the least.
constexpr std::size_t DaemonsAtLeastPause = 24;
/// Delay before a failed call is made again: short for the first failure, as
/// one cut connection says nothing about the store, then longer, as refused
/// calls count against the store's rate.
constexpr Duration FirstRetry = 30ms;
constexpr Duration LaterRetry = 300ms;
/// Entries whose leases lapsed during an outage are back within 2 s.
constexpr Duration LapseGrace = 2s;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

Duration minWatchInterval(std::size_t Daemons) {
  const Duration Pause = LeastWatchPause * static_cast<std::int64_t>(Daemons) /
                         static_cast<std::int64_t>(DaemonsAtLeastPause);
  return std::clamp(Pause, LeastWatchPause, MostWatchPause);
}

KeyFollower::KeyFollower(asio::any_io_executor Executor, KeyValueStore &Feed,
                         KeyObserver &Observer, EventLog &Log)
    : m_Feed(Feed), m_Observer(Observer), m_Log(Log), m_Timer(Executor) {}

void KeyFollower::start() { list(); }

void KeyFollower::refresh() {
  ++m_Generation;
  m_Feed.reconnect();
  m_Failures = 0;
  list();
}

void KeyFollower::list() {
  m_Listed.clear();
  m_ListingRevision = 0;
  listFrom(std::string());
}

void KeyFollower::listFrom(std::string After) {
  m_Feed.list(After, [this, Generation = m_Generation](Expected<KeyPage> Page) {
    if (Generation == m_Generation)
      onPage(std::move(Page));
  });
}

void KeyFollower::onPage(Expected<KeyPage> Page) {
  if (!Page) {
    noteFailure(Page.error());
    return retry();
  }
  noteAnswer();
  // Changes after the first page was read may be missing from any page, so
  // the watch goes on from the first page's revision.
  if (m_ListingRevision == 0)
    m_ListingRevision = Page->StoreRevision;
  for (const auto &Item : Page->Items) {
    m_Listed[Item.Key] = Item.Revision;
    apply(Item);
  }
  if (Page->HasMore && !Page->Items.empty())
    return listFrom(Page->Items.back().Key);
  finishListing();
}

void KeyFollower::finishListing() {
  std::vector<KeyChange> Removed;
  for (const auto &[Key, Revision] : m_Known)
    if (!m_Listed.contains(Key))
      Removed.push_back({Key, std::string(), m_ListingRevision, true});
  for (const auto &Change : Removed)
    apply(Change);
  m_Listed.clear();
  m_Revision = m_ListingRevision;
  m_Observer.onListed();
  watch();
}

void KeyFollower::watch() {
  m_WatchSince = steadyNow();
  m_Feed.watch(m_Revision, WatchWait,
               [this, Generation = m_Generation](Expected<KeyChanges> Answer) {
                 if (Generation == m_Generation)
                   onChanges(std::move(Answer));
               });
}

void KeyFollower::onChanges(Expected<KeyChanges> Answer) {
  if (!Answer) {
    const bool HistoryGone =
        Answer.error() == make_error_code(Errc::StaleStore);
    if (HistoryGone)
      noteAnswer();
    else
      noteFailure(Answer.error());
    // A cut watch may have missed what it was about to say; the watch from the
    // same revision says it, but a store that drops history may say nothing.
    return HistoryGone ? list() : retry();
  }
  noteAnswer();
  for (const auto &Change : Answer->Changes)
    apply(Change);
  m_Revision = std::max(m_Revision, Answer->StoreRevision);
  const auto Passed = steadyNow() - m_WatchSince;
  const auto Pause = minWatchInterval(m_Daemons);
  if (Passed >= Pause)
    return watch();
  later(Pause - Passed, &KeyFollower::watch);
}

void KeyFollower::later(Duration Delay, void (KeyFollower::*Step)()) {
  m_Timer.expires_after(Delay);
  m_Timer.async_wait(
      [this, Step, Generation = m_Generation](std::error_code Error) {
        if (!Error && Generation == m_Generation)
          (this->*Step)();
      });
}

void KeyFollower::apply(const KeyChange &Change) {
  const auto Known = m_Known.find(Change.Key);
  if (Known != m_Known.end() && Known->second >= Change.Revision)
    return;
  if (!Change.Removed) {
    m_Known[Change.Key] = Change.Revision;
    m_Observer.onKey(Change);
  } else if (Known != m_Known.end()) {
    m_Known.erase(Known);
    m_Observer.onKeyRemoved(Change, isAfterOutage(steadyNow()));
  }
}

void KeyFollower::retry() {
  later(m_Failures <= 1 ? FirstRetry : LaterRetry, &KeyFollower::list);
}

void KeyFollower::noteAnswer() {
  m_LastAnswer = steadyNow();
  m_Failures = 0;
  if (m_InTouch)
    return;
  m_InTouch = true;
  if (m_EverInTouch)
    m_OutageEnded = m_LastAnswer;
  m_EverInTouch = true;
  m_Log.write("store_regained", {{"revision", m_Revision}});
}

void KeyFollower::noteFailure(std::error_code Error) {
  ++m_Failures;
  if (!m_InTouch && m_Failures > 1)
    return;
  if (m_InTouch || m_Failures == 1)
    m_Log.write("store_lost",
                {{"error", Error.message()},
                 {"last_answer_ms", ageMs(m_LastAnswer, steadyNow())}});
  m_InTouch = false;
}

bool KeyFollower::isAfterOutage(TimePoint Now) const {
  return !m_InTouch || Now - m_OutageEnded < LapseGrace;
}

} // namespace mangodeck
