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
/// Part of that time for which a watch waits at most, so that the daemon's
/// knowledge does not reach the age at which it asks other daemons.
constexpr double MaxWatchWaitShare = 0.6;
/// Age of the knowledge at the start of a watch, as a share of that time, from
/// which on its wait is shortened; see nextWait().
constexpr double WatchAgeAllowanceShare = 0.1;
/// Shortest wait of a watch, as a share of that time.
constexpr double MinWaitShare = 0.0625;
/// Time for an own call to give a change that is known to be missing, as a
/// share of that time.
constexpr double OwnReadShare = 0.1;
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

Duration share(Duration Whole, double Part) {
  return fromSeconds(toSeconds(Whole) * Part);
}

} // namespace

Duration watchWait(Duration ChangeDeadline) {
  return std::max<Duration>(
      ChangeDeadline / WatchWaitDivisor,
      std::min<Duration>(ChangeDeadline - SilenceAllowance,
                         share(ChangeDeadline, MaxWatchWaitShare)));
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
                         KeyValueStore &Store, PeerChangeReader &Peers,
                         KeyObserver &Observer, ChangeRelay &Relay,
                         EventLog &Log, Duration ChangeDeadline)
    : m_Time(Time), m_Loop(Loop), m_Store(Store), m_Observer(Observer),
      m_Relay(Relay), m_Log(Log), m_ChangeDeadline(ChangeDeadline),
      m_CatchUp(Time, Loop, Peers, *this, ChangeDeadline),
      m_Subscribers(ChangeDeadline) {}

void KeyFollower::start() { list(); }

void KeyFollower::refresh() {
  ++m_Generation;
  ++m_Suspensions;
  m_Senders.clear();
  m_Store.reconnect();
  m_ConsecutiveFailures = 0;
  m_ConfirmedAt = m_ToldConfirmedAt = TimePoint{};
  m_IsResuming = true;
  m_CatchUp.invalidate();
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
  m_Listed.clear();
  m_ListingRevision.reset();
  listFrom(std::string());
}

void KeyFollower::listFrom(std::string After) {
  ++m_DelayedStep; // A step that was due is replaced by this call.
  m_LastCallAt = m_Time.now();
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
    if (m_HasListing)
      wasMissed(Item);
    applyEarly(Item, false);
  }
  if (Page->HasMore && !Page->Items.empty())
    return listFrom(Page->Items.back().Key);
  finishListing();
}

void KeyFollower::finishListing() {
  // The processes whose keys the copy lacks need time to write them again.
  if (std::exchange(m_Restored, false))
    m_OutageEnd = m_Time.now();
  for (const auto &Change :
       m_Replica.findUnlisted(m_Listed, *m_ListingRevision))
    apply(Change, isAfterOutage(m_Time.now()));
  m_Listed.clear();
  recordListed(*m_ListingRevision);
  advance(*m_ListingRevision);
  m_IsListed = true;
  const bool IsFirst = !std::exchange(m_HasListing, true);
  if (IsFirst)
    finishFirstListing();
  m_Observer.onListed();
  // The answer may have been delayed, but is not older than the call.
  confirm(m_ListingStart);
  if (!IsFirst || !m_Subscribers.current(m_Time.now()).empty())
    publish();
  m_WatchStart = TimePoint{}; // The first watch need not wait for its turn.
  awaitNextWatch();
}

void KeyFollower::applyEarly(const KeyChange &Change, bool AfterOutage) {
  if (Change.Revision > m_Revision && m_Replica.isNewer(Change))
    m_EarlyKeys[Change.Key] = Change.Revision;
  apply(Change, AfterOutage);
}

void KeyFollower::advance(StoreRevision Revision) {
  // Other daemons may have told later changes meanwhile.
  m_Revision = std::max(m_Revision, Revision);
  std::erase_if(m_EarlyKeys,
                [&](const auto &Each) { return Each.second <= m_Revision; });
}

void KeyFollower::recordListed(StoreRevision Listed) {
  const RevisionGap Gap{m_Revision, Listed};
  if (!m_HasListing || Gap.From >= Gap.To)
    return;
  m_Replica.recordGap(Gap);
  m_Window.recordGap(Gap);
}

void KeyFollower::finishFirstListing() {
  m_Replica.restart(m_Revision);
  m_Window.restart(m_Revision);
}

Duration KeyFollower::nextWait(TimePoint Now) const {
  const auto Age = Now - m_ConfirmedAt;
  const bool IsRelay = m_Relay.isRelaying();
  const Duration Longest =
      IsRelay ? relayWait(m_ChangeDeadline) : watchWait(m_ChangeDeadline);
  const Duration Allowed =
      share(m_ChangeDeadline, IsRelay ? 0 : WatchAgeAllowanceShare);
  return std::clamp<Duration>(Longest - (Age - Allowed),
                              share(m_ChangeDeadline, MinWaitShare), Longest);
}

void KeyFollower::watch() {
  ++m_DelayedStep; // A step that was due is replaced by this call.
  m_FollowsRelay = false;
  const auto Now = m_Time.now();
  const auto Wait = nextWait(Now);
  m_WatchStart = m_LastCallAt = Now;
  m_Store.watch(m_Revision, Wait,
                [this, Generation = m_Generation, Start = Now,
                 Wait](Expected<KeyChanges> Answer) {
                  if (Generation == m_Generation)
                    onChanges(std::move(Answer), Start, Wait);
                });
}

void KeyFollower::onChanges(Expected<KeyChanges> Answer, TimePoint Start,
                            Duration Wait) {
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
  advance(Answer->AsOf);
  // An answer without changes is sent at the end of the wait; one with changes
  // may have been on its way for any time since the start.
  const bool HasWaited =
      Answer->Changes.empty() && m_Time.now() - Start >= Wait;
  confirm(HasWaited ? Start + Wait : Start);
  publish();
  awaitNextWatch();
}

void KeyFollower::awaitNextWatch() {
  const auto Now = m_Time.now();
  const bool IsRelay = m_Relay.isRelaying();
  const auto FollowsUntil = followsRelayUntil(Now);
  m_FollowsRelay = FollowsUntil > Now;
  if (std::exchange(m_FollowedRelay, m_FollowsRelay) != m_FollowsRelay)
    m_Log.write(m_FollowsRelay ? "relay_followed" : "relay_lost",
                {{"revision", m_Revision.Number},
                 {"relaying", IsRelay},
                 {"confirmed_ms", ageMs(m_ToldConfirmedAt, Now)}});
  if (m_FollowsRelay)
    return runAfter(FollowsUntil - Now, &KeyFollower::awaitNextWatch);
  const auto Elapsed = Now - m_WatchStart;
  const auto Interval = m_ChangeDeadline / WatchIntervalDivisor;
  if (Elapsed >= Interval)
    return watch();
  runAfter(Interval - Elapsed, &KeyFollower::awaitNextWatch);
}

TimePoint KeyFollower::followsRelayUntil(TimePoint Now) {
  if (m_Relay.isRelaying() || !isRelayFresh(Now))
    return Now;
  const TimePoint FreshUntil = m_ToldConfirmedAt + relayTimeout();
  if (!m_StoreReachable)
    return std::min<TimePoint>(FreshUntil, m_LastCallAt + m_ChangeDeadline);
  return m_Subscribers.current(Now).empty() ? FreshUntil : Now;
}

bool KeyFollower::isRelayFresh(TimePoint Now) const {
  return Now - m_ToldConfirmedAt < relayTimeout();
}

Duration KeyFollower::relayTimeout() const {
  return share(m_ChangeDeadline, RelayTimeoutShare);
}

void KeyFollower::confirm(TimePoint Time) {
  m_IsResuming = false;
  if (m_Revision >= m_RequiredRevision)
    m_CatchUp.complete();
  m_ConfirmedAt = std::max(m_ConfirmedAt, Time);
  m_CatchUp.onConfirmed(m_ConfirmedAt);
  m_Observer.onConfirmed(Time);
}

void KeyFollower::requireRevision(StoreRevision Revision) {
  m_RequiredRevision = std::max(m_RequiredRevision, Revision);
  if (m_FollowsRelay)
    watch();
  // A call that fails asks the other daemons by itself, see retry().
  m_CatchUp.requireWithin(
      m_StoreReachable ? share(m_ChangeDeadline, OwnReadShare) : Duration{0});
}

void KeyFollower::runAfter(Duration Delay, void (KeyFollower::*Step)()) {
  const auto Number = ++m_DelayedStep;
  m_Loop.postAfter(Delay, [this, Step, Number, Generation = m_Generation] {
    if (Number == m_DelayedStep && Generation == m_Generation)
      (this->*Step)();
  });
}

void KeyFollower::apply(const KeyChange &Change, bool AfterOutage) {
  if (!m_Replica.isNewer(Change))
    return;
  if (!Change.Removed) {
    const bool IsHeartbeat = !m_Observer.onKeyUpdated(Change);
    auto Delta = IsHeartbeat ? std::nullopt : m_Replica.deltaTo(Change);
    m_Replica.update(Change, IsHeartbeat);
    if (IsHeartbeat)
      m_Window.recordHeartbeat(Change);
    else
      m_Window.record(Change, AfterOutage, std::move(Delta));
  } else if (m_Replica.contains(Change.Key)) {
    m_Replica.remove(Change, AfterOutage);
    m_Observer.onKeyRemoved(Change, AfterOutage);
    m_Window.record(Change, AfterOutage);
  } else if (m_Replica.redateRemoval(Change)) {
    m_Window.record(Change, AfterOutage);
  }
}

void KeyFollower::retry() {
  // Until the call is repeated, the relay's messages are applied to what the
  // last complete listing and the changes since have shown.
  m_IsListed = m_HasListing;
  if (!m_HasListing || m_Revision < m_RequiredRevision)
    m_CatchUp.requireWithin(Duration{0});
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
  m_CatchUp.setDependent(false);
  if (m_WasEverReachable)
    m_OutageEnd = m_LastAnswerTime;
  m_WasEverReachable = true;
  m_Log.write("store_regained",
              {{"era", m_Revision.Era}, {"revision", m_Revision.Number}});
}

void KeyFollower::recordFailure(std::error_code Error) {
  ++m_ConsecutiveFailures;
  m_CatchUp.setDependent(true);
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
