#ifndef MANGODECK_GATEWAY_PEERCATCHUP_H
#define MANGODECK_GATEWAY_PEERCATCHUP_H

#include "mangodeck/common/clock.h"
#include "mangodeck/common/executor.h"
#include "mangodeck/gateway/changerelay.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace mangodeck {

/// What a daemon asks another one.
struct ChangeQuery {
  /// Changes after this revision; of number 0 for all keys.
  StoreRevision After;
  /// Large values may be sent as their difference from the value as of After.
  bool AcceptsDeltas = true;
  /// The daemon that asks, without its address; std::nullopt if it is not to be
  /// sent later changes.
  std::optional<ChangeSubscriber> Subscriber = std::nullopt;
  /// The daemon to ask; any if there is none.
  std::optional<PeerEndpoint> Receiver = std::nullopt;
};

/// Asks other daemons for changes of the store's keys.
class PeerChangeReader {
public:
  template <typename T> using Callback = std::function<void(Expected<T>)>;
  virtual ~PeerChangeReader() = default;
  /// Asks one other daemon. Successive calls ask different daemons and failure
  /// domains. \p Done runs once, on the caller's event loop; with
  /// Errc::NotFound if there is no other daemon, Errc::Unavailable if it has no
  /// listing, Errc::Timeout if there is no answer within \p Timeout, or the
  /// error of the connection.
  virtual void query(const ChangeQuery &Query, Duration Timeout,
                     Callback<RelayedChanges> Done) = 0;
};

/// What became of a daemon's queries while its knowledge was too old.
struct PeerQueryCounts {
  unsigned Sent = 0;
  unsigned Newer = 0;      ///< The answer had later changes.
  unsigned NotNewer = 0;   ///< The other daemon knew of none.
  unsigned Unknown = 0;    ///< The other daemon had no listing.
  unsigned Failed = 0;     ///< No answer in time, or no connection.
  unsigned NoDaemon = 0;   ///< There was no other daemon to ask.
  unsigned Suppressed = 0; ///< Not sent: too many were open.
};

/// Uses what another daemon has told.
class PeerChangeObserver {
public:
  virtual ~PeerChangeObserver() = default;
  /// What to ask: the changes after the revision up to which all are known;
  /// std::nullopt if that is none, so that changes after it would mean nothing.
  virtual std::optional<ChangeQuery> nextQuery() const = 0;
  /// \p Message answers a query that was sent at \p SentAt.
  virtual void onPeerChanges(RelayedChanges Message, TimePoint SentAt) = 0;
  /// The knowledge is current after it was too old since \p Since.
  virtual void onCaughtUp(TimePoint Since, const PeerQueryCounts &Counts) {}
};

/// Age of a daemon's knowledge of the store from which on it asks other
/// daemons, if changes must take effect within \p ChangeDeadline. Above the age
/// that is reached while its own calls, or the relay, succeed.
Duration peerQueryAge(Duration ChangeDeadline);
/// Time between the first rounds of queries.
Duration peerQueryPeriod(Duration ChangeDeadline);

/// Decides when a daemon asks others for the changes of the store's keys: when
/// its knowledge has reached peerQueryAge(), whichever stage of the way from
/// the store fails, or at once when it knows that it lacks a change and the
/// store does not give it. So each daemon learns of a change within
/// ChangeDeadline if one of the daemons that it asks has. Costs no message
/// while the store, or the relay, answers. While no daemon knows more, the
/// rounds become less frequent.
///
/// A query stays open for as long as a change may take, however many rounds
/// follow: on a path whose queue delays answers, giving it up would repeat the
/// same bytes on the same path and never get an answer.
class PeerCatchUp {
public:
  PeerCatchUp(const Clock &Time, Executor &Loop, PeerChangeReader &Peers,
              PeerChangeObserver &Observer, Duration ChangeDeadline);

  /// All changes up to \p Time are known.
  void onConfirmed(TimePoint Time);
  /// Queries within \p Delay unless complete() is called before: the daemon
  /// knows that it lacks a change.
  void requireWithin(Duration Delay);
  /// Asks one daemon now, unless too many queries are open.
  void ask(const PeerEndpoint &Receiver);
  /// The same for all keys: it has started after the last change that is known
  /// here, so it cannot tell the removals since.
  void askForAllKeys(const PeerEndpoint &Receiver);
  /// The daemon no longer lacks a change that it knows of.
  void complete() { m_IsIncomplete = false; }
  /// Whether this daemon depends on others, since the store does not answer it.
  /// It then asks them also while its knowledge is current, so that they send
  /// it what they learn, see ChangeSubscribers.
  void setDependent(bool IsDependent);
  /// Nothing is confirmed any longer, nor by answers that are under way: the
  /// process was suspended.
  void invalidate();

private:
  void restartRounds();
  bool isDue(TimePoint Now) const;
  /// When the next round is due while the knowledge is current.
  TimePoint nextCheck() const;
  void schedule(TimePoint When);
  void check();
  void queryRound(TimePoint Now);
  void sendQuery();
  void sendQuery(ChangeQuery Query);
  void count(const ChangeQuery &Query, const Expected<RelayedChanges> &Answer);

  const Clock &m_Time;
  Executor &m_Loop;
  PeerChangeReader &m_Peers;
  PeerChangeObserver &m_Observer;
  Duration m_QueryAge;
  Duration m_ShortestPeriod;
  Duration m_LongestPeriod;
  Duration m_QueryTimeout;
  Duration m_Period;
  unsigned m_Rounds = 0; ///< Since the knowledge was current.
  TimePoint m_ConfirmedAt{};
  bool m_IsIncomplete = false;
  bool m_IsDependent = false;
  TimePoint m_NextCheckAt = TimePoint::max();
  std::uint64_t m_ScheduledCheck = 0;
  int m_OpenQueries = 0;          ///< Of this generation.
  std::uint64_t m_Generation = 0; ///< Number of invalidations.
  TimePoint m_LastRoundAt{};
  TimePoint m_AskedForAllKeysAt{};
  /// A round was due since the knowledge was last current.
  bool m_IsBehind = false;
  TimePoint m_BehindSince{}; ///< Of the first of these rounds.
  PeerQueryCounts m_Counts;  ///< Since then.
};

} // namespace mangodeck

#endif
