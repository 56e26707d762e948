#include "mangodeck/gateway/keyfollower.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

/// Part of the time within which changes must take effect for which a watch
/// waits at least.
constexpr int WatchWaitDivisor = 4;
/// Part of that time for which a watch of the relay waits at most: the other
/// daemons rely on the relay only while the store answers it this often.
constexpr int RelayWaitDivisor = 2;
/// Rest of that time after the wait of a watch: for the time-out of its call
/// and a new listing.
constexpr Duration SilenceAllowance = 1300ms;
/// Minimum time between the starts of two watches, as a part of the time within
/// which changes must take effect. Each change ends a watch, so the interval
/// bounds the calls while many keys change, as at the start of all daemons.
constexpr int WatchIntervalDivisor = 4;
/// Largest age of what the relay has told, as a share of the time within which
/// changes must take effect. Covers the wait, a lost message and the delays;
/// the rest is left for a call to a slow store.
constexpr double RelayTimeoutShare = 0.6;
/// Delays before a failed call is repeated. The first is short, since a single
/// closed connection does not mean that the store is down. The later ones
/// double up to a part of the time within which changes must take effect, since
/// rejected calls are paid for and count against the store's rate limit.
constexpr Duration FirstRetryDelay = 30ms;
constexpr Duration SecondRetryDelay = 300ms;
constexpr int MaxRetryDelayDivisor = 4;
/// Time after an outage within which processes write the keys again whose
/// leases expired during the outage.
constexpr Duration LeaseRecoveryTime = 2s;

} // namespace

Duration watchWait(Duration ChangeDeadline) {
  return std::max<Duration>(ChangeDeadline / WatchWaitDivisor,
                            ChangeDeadline - SilenceAllowance);
}

Duration relayWait(Duration ChangeDeadline) {
  return std::min<Duration>(ChangeDeadline / RelayWaitDivisor,
                            watchWait(ChangeDeadline));
}

std::size_t minDaemonsForRelay(Duration ChangeDeadline) {
  return static_cast<std::size_t>(watchWait(ChangeDeadline) /
                                  relayWait(ChangeDeadline)) +
         1;
}

KeyFollower::KeyFollower(const Clock &Time, Executor &Loop,
                         KeyValueStore &Store, KeyObserver &Observer,
                         ChangeRelay &Relay, EventLog &Log,
                         Duration ChangeDeadline)
    : m_Time(Time), m_Loop(Loop), m_Store(Store), m_Observer(Observer),
      m_Relay(Relay), m_Log(Log), m_ChangeDeadline(ChangeDeadline) {}

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
  m_HasListing = false;
  list();
}

void KeyFollower::list() {
  m_ListingStart = m_Time.now();
  m_IsListed = false;
  m_FollowsRelay = false;
  m_RelayConfirmedAt = TimePoint{};
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
  m_Observer.onOrigin({ChangeSource::Listing, {}});
  for (const auto &Item : Page->Items) {
    m_Listed.insert(Item.Key);
    apply(Item, false);
  }
  if (Page->HasMore && !Page->Items.empty())
    return listFrom(Page->Items.back().Key);
  finishListing();
}

void KeyFollower::finishListing() {
  // The processes whose keys the copy lacks need time to write them again.
  if (std::exchange(m_Restored, false))
    m_OutageEnd = m_Time.now();
  std::vector<KeyChange> Removed;
  for (const auto &[Key, Revision] : m_Revisions)
    if (!m_Listed.contains(Key))
      Removed.push_back({Key, std::string(), *m_ListingRevision, true});
  for (const auto &Change : Removed)
    apply(Change, isAfterOutage(m_Time.now()));
  m_Listed.clear();
  m_Revision = *m_ListingRevision;
  m_IsListed = m_HasListing = true;
  m_Window.restart(m_Revision);
  m_Observer.onListed();
  m_WatchStart = m_Time.now();
  // The answer may have been delayed, but is not older than the call.
  m_Observer.onConfirmed(m_ListingStart);
  awaitNextWatch();
}

void KeyFollower::watch() {
  m_FollowsRelay = false;
  m_WatchStart = m_Time.now();
  m_Store.watch(m_Revision,
                m_Relay.isRelaying() ? relayWait(m_ChangeDeadline)
                                     : watchWait(m_ChangeDeadline),
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
  m_Observer.onOrigin({ChangeSource::Watch, {}});
  for (const auto &Change : Answer->Changes)
    if (Change.Revision > m_Revision) // Else the relay has told it.
      apply(Change, isAfterOutage(m_Time.now()));
  m_Revision = std::max(m_Revision, Answer->AsOf);
  m_Observer.onConfirmed(m_WatchStart);
  publish();
  awaitNextWatch();
}

void KeyFollower::awaitNextWatch() {
  const auto Now = m_Time.now();
  const bool IsRelay = m_Relay.isRelaying();
  m_FollowsRelay = !IsRelay && isRelayFresh(Now);
  if (std::exchange(m_FollowedRelay, m_FollowsRelay) != m_FollowsRelay)
    m_Log.write(m_FollowsRelay ? "relay_followed" : "relay_lost",
                {{"revision", m_Revision.Number},
                 {"relaying", IsRelay},
                 {"confirmed_ms", ageMs(m_RelayConfirmedAt, Now)}});
  if (m_FollowsRelay)
    return runAfter(m_RelayConfirmedAt + relayTimeout() - Now,
                    &KeyFollower::awaitNextWatch);
  const auto Elapsed = Now - m_WatchStart;
  const auto Interval = m_ChangeDeadline / WatchIntervalDivisor;
  if (Elapsed >= Interval)
    return watch();
  runAfter(Interval - Elapsed, &KeyFollower::awaitNextWatch);
}

bool KeyFollower::isRelayFresh(TimePoint Now) const {
  return Now - m_RelayConfirmedAt < relayTimeout();
}

Duration KeyFollower::relayTimeout() const {
  return fromSeconds(RelayTimeoutShare * toSeconds(m_ChangeDeadline));
}

void KeyFollower::publish() {
  if (!m_Relay.isRelaying())
    return m_Window.restart(m_Revision);
  auto Message = m_Window.takeMessage(m_Revision);
  m_Relay.stamp(Message);
  m_Relay.sendToDomain(encodeRelayedChanges(Message));
}

void KeyFollower::onRelayedChanges(const RelayedChanges &Message) {
  const auto Now = m_Time.now();
  // Step 1. Ignore the message if it is of an earlier era, or if this daemon
  // relays itself or is listing all keys.
  if (!m_IsListed || m_Relay.isRelaying() || Message.To.Era < m_Revision.Era)
    return;

  // Step 2. After a gap, or if a value was left out, read the changes from the
  // store. A later era is noticed by that call, too.
  const bool MissesValue = std::any_of(
      Message.Changes.begin(), Message.Changes.end(), [&](const auto &Relayed) {
        return Relayed.ValueOmitted && Relayed.Change.Revision > m_Revision;
      });
  m_Observer.onOrigin({ChangeSource::Relay, Message.Vm, Message.Incarnation});
  if (Message.From > m_Revision || MissesValue) {
    m_Log.write("relay_incomplete", {{"revision", m_Revision.Number},
                                     {"from", Message.From.Number},
                                     {"to", Message.To.Number},
                                     {"value_omitted", MissesValue},
                                     {"relay", Message.Vm},
                                     {"store_reachable", m_StoreReachable}});
    m_RelayConfirmedAt = TimePoint{};
    if (m_FollowsRelay)
      watch();
    return;
  }

  // Step 3. Apply the changes. A watch in progress may report them again.
  for (const auto &Relayed : Message.Changes)
    if (Relayed.Change.Revision > m_Revision)
      apply(Relayed.Change, Relayed.AfterOutage);
  m_Revision = std::max(m_Revision, Message.To);
  m_Window.restart(m_Revision);
  if (Message.To == m_Revision)
    m_RelayConfirmedAt = std::max(m_RelayConfirmedAt, Now - Message.Age);
  m_Observer.onConfirmed(m_RelayConfirmedAt);
}

void KeyFollower::runAfter(Duration Delay, void (KeyFollower::*Step)()) {
  const auto Number = ++m_DelayedStep;
  m_Loop.postAfter(Delay, [this, Step, Number, Generation = m_Generation] {
    if (Number == m_DelayedStep && Generation == m_Generation)
      (this->*Step)();
  });
}

void KeyFollower::apply(const KeyChange &Change, bool AfterOutage) {
  const auto Reported = m_Revisions.find(Change.Key);
  if (Reported != m_Revisions.end() && Reported->second >= Change.Revision)
    return;
  if (!Change.Removed) {
    m_Revisions[Change.Key] = Change.Revision;
    if (m_Observer.onKeyUpdated(Change))
      m_Window.record(Change, AfterOutage);
    else
      m_Window.recordHeartbeat(Change);
  } else if (Reported != m_Revisions.end()) {
    m_Revisions.erase(Reported);
    m_Observer.onKeyRemoved(Change, AfterOutage);
    m_Window.record(Change, AfterOutage);
  }
}

void KeyFollower::retry() {
  // Until the call is repeated, the relay's messages are applied to what the
  // last complete listing and the changes since have shown.
  m_IsListed = m_HasListing;
  runAfter(retryDelay(), &KeyFollower::recover);
}

Duration KeyFollower::retryDelay() const {
  if (m_ConsecutiveFailures <= 1)
    return FirstRetryDelay;
  const Duration Longest = std::max<Duration>(
      SecondRetryDelay, m_ChangeDeadline / MaxRetryDelayDivisor);
  const auto Doublings = std::min(m_ConsecutiveFailures - 2, 8u);
  return std::min<Duration>(SecondRetryDelay * (1 << Doublings), Longest);
}

void KeyFollower::recover() {
  if (m_IsListed && !m_Relay.isRelaying() && isRelayFresh(m_Time.now()))
    awaitNextWatch();
  else
    list();
}

void KeyFollower::recordAnswer() {
  m_LastAnswerTime = m_Time.now();
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
                 {"last_answer_ms", ageMs(m_LastAnswerTime, m_Time.now())}});
  m_StoreReachable = false;
}

bool KeyFollower::isAfterOutage(TimePoint Now) const {
  return !m_StoreReachable || Now - m_OutageEnd < LeaseRecoveryTime;
}

} // namespace mangodeck
