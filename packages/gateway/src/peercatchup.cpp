#include "mangodeck/gateway/peercatchup.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

/// Shares of the time within which changes must take effect. Own calls and the
/// relay confirm the daemon's knowledge before QueryAgeShare; after it, three
/// rounds fit into the rest.
constexpr double QueryAgeShare = 0.75;
constexpr double QueryPeriodShare = 0.08;
constexpr double LongestPeriodShare = 0.5;
/// Rounds before the time between them is doubled.
constexpr unsigned RoundsAtFullRate = 3;
/// Daemons that are asked in a round, in different failure domains if there are
/// several.
constexpr int QueriesPerRound = 2;
/// Queries without an answer so far, of all rounds. Bounds what the answers can
/// fill a slow link with, and the answers that arrive once it is fast again.
constexpr int MaxOpenQueries = 6;

Duration share(Duration Whole, double Part) {
  return fromSeconds(toSeconds(Whole) * Part);
}

} // namespace

Duration peerQueryAge(Duration ChangeDeadline) {
  return share(ChangeDeadline, QueryAgeShare);
}

Duration peerQueryPeriod(Duration ChangeDeadline) {
  return share(ChangeDeadline, QueryPeriodShare);
}

PeerCatchUp::PeerCatchUp(const Clock &Time, Executor &Loop,
                         PeerChangeReader &Peers, PeerChangeObserver &Observer,
                         Duration ChangeDeadline)
    : m_Time(Time), m_Loop(Loop), m_Peers(Peers), m_Observer(Observer),
      m_QueryAge(peerQueryAge(ChangeDeadline)),
      m_ShortestPeriod(peerQueryPeriod(ChangeDeadline)),
      m_LongestPeriod(share(ChangeDeadline, LongestPeriodShare)),
      m_QueryTimeout(ChangeDeadline), m_Period(m_ShortestPeriod) {}

void PeerCatchUp::onConfirmed(TimePoint Time) {
  if (Time <= m_ConfirmedAt)
    return;
  m_ConfirmedAt = Time;
  // While a round is due, its time is set already.
  if (!isDue(m_Time.now())) {
    if (std::exchange(m_IsBehind, false))
      m_Observer.onCaughtUp(m_BehindSince, m_Counts);
    restartRounds();
  } else if (m_NextCheckAt != TimePoint::max())
    return;
  schedule(nextCheck());
}

void PeerCatchUp::setDependent(bool IsDependent) {
  if (std::exchange(m_IsDependent, IsDependent) != IsDependent && IsDependent)
    schedule(nextCheck());
}

TimePoint PeerCatchUp::nextCheck() const {
  const TimePoint Outdated = m_ConfirmedAt + m_QueryAge;
  return m_IsDependent
             ? std::min<TimePoint>(Outdated, m_LastRoundAt + m_LongestPeriod)
             : Outdated;
}

void PeerCatchUp::requireWithin(Duration Delay) {
  const auto Now = m_Time.now();
  m_IsIncomplete = true;
  restartRounds();
  schedule(std::max(Now + Delay, m_LastRoundAt + m_ShortestPeriod));
}

void PeerCatchUp::invalidate() {
  ++m_Generation;
  m_OpenQueries = 0;
  m_ConfirmedAt = TimePoint{};
  restartRounds();
  schedule(m_Time.now());
}

void PeerCatchUp::restartRounds() {
  m_Rounds = 0;
  m_Period = m_ShortestPeriod;
}

bool PeerCatchUp::isDue(TimePoint Now) const {
  return m_IsIncomplete || Now - m_ConfirmedAt >= m_QueryAge;
}

void PeerCatchUp::schedule(TimePoint When) {
  if (When >= m_NextCheckAt)
    return;
  m_NextCheckAt = When;
  const auto Number = ++m_ScheduledCheck;
  m_Loop.postAfter(std::max<Duration>(When - m_Time.now(), Duration{0}),
                   [this, Number] {
                     if (Number == m_ScheduledCheck)
                       check();
                   });
}

void PeerCatchUp::check() {
  const auto Now = m_Time.now();
  m_NextCheckAt = TimePoint::max();
  if (!isDue(Now)) {
    if (m_IsDependent && Now >= m_LastRoundAt + m_LongestPeriod)
      queryRound(Now);
    return schedule(nextCheck());
  }
  if (!std::exchange(m_IsBehind, true)) {
    m_BehindSince = Now;
    m_Counts = {};
  }
  queryRound(Now);
  schedule(Now + m_Period);
  if (++m_Rounds >= RoundsAtFullRate)
    m_Period = std::min(2 * m_Period, m_LongestPeriod);
}

void PeerCatchUp::queryRound(TimePoint Now) {
  m_LastRoundAt = Now;
  for (int I = 0; I < QueriesPerRound; ++I)
    if (m_OpenQueries < MaxOpenQueries)
      sendQuery();
    else
      ++m_Counts.Suppressed;
}

void PeerCatchUp::count(const ChangeQuery &Query,
                        const Expected<RelayedChanges> &Answer) {
  if (Answer)
    ++(Answer->To > Query.After ? m_Counts.Newer : m_Counts.NotNewer);
  else if (Answer.error() == make_error_code(Errc::NotFound))
    ++m_Counts.NoDaemon;
  else if (Answer.error() == make_error_code(Errc::Unavailable))
    ++m_Counts.Unknown;
  else
    ++m_Counts.Failed;
}

void PeerCatchUp::ask(const PeerEndpoint &Receiver) {
  auto Query = m_Observer.nextQuery();
  if (!Query || m_OpenQueries >= MaxOpenQueries)
    return;
  Query->Receiver = Receiver;
  sendQuery(std::move(*Query));
}

void PeerCatchUp::askForAllKeys(const PeerEndpoint &Receiver) {
  const auto Now = m_Time.now();
  auto Query = m_Observer.nextQuery();
  if (!Query || m_OpenQueries >= MaxOpenQueries ||
      Now - m_AskedForAllKeysAt < m_ShortestPeriod)
    return;
  m_AskedForAllKeysAt = Now;
  Query->Receiver = Receiver;
  Query->After = StoreRevision{};
  Query->AcceptsDeltas = false;
  sendQuery(std::move(*Query));
}

void PeerCatchUp::sendQuery() {
  if (auto Query = m_Observer.nextQuery())
    sendQuery(std::move(*Query));
}

void PeerCatchUp::sendQuery(ChangeQuery Query) {
  ++m_OpenQueries;
  ++m_Counts.Sent;
  m_Peers.query(Query, m_QueryTimeout,
                [this, Query, SentAt = m_Time.now(),
                 Generation = m_Generation](Expected<RelayedChanges> Answer) {
                  // The clock did not count a suspension in between.
                  if (Generation != m_Generation)
                    return;
                  --m_OpenQueries;
                  count(Query, Answer);
                  if (Answer)
                    m_Observer.onPeerChanges(std::move(*Answer), SentAt);
                });
}

} // namespace mangodeck
