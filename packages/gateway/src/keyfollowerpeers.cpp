// What a daemon tells others of the store, and what it learns of them.
#include "mangodeck/gateway/keyfollower.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

/// Time for which a relayed message may be on its way; part of the age that it
/// states. Otherwise two daemons that tell each other the same confirmation
/// would make it younger each time.
constexpr Duration RelayTransitTime = 50ms;
/// Processes whose clocks are compared with the own one.
constexpr std::size_t MaxSenders = 512;
/// Shares of the time within which changes must take effect. Delay of a message
/// above which the comparison of the clocks is repeated: the query that gave it
/// may have been delayed.
constexpr double PlausibleDelayShare = 0.1;
/// Time between two queries to a daemon that has told of a missing change.
constexpr double RepeatedQueryShare = 0.25;
/// Least time by which a confirmation of another daemon must advance the own
/// knowledge to be passed on without a change.
constexpr double ForwardedAdvanceShare = 0.1;
/// Delay of a message that states a time of another clock: it confirms nothing.
constexpr Duration UnknownDelay = 3600s;

Duration share(Duration Whole, double Part) {
  return fromSeconds(toSeconds(Whole) * Part);
}

/// The keys that the message tells of and that exist at its end. The last value
/// of a removed key precedes its removal.
std::unordered_set<std::string> existingKeys(const RelayedChanges &Message) {
  std::unordered_set<std::string> Keys;
  for (const auto &Relayed : Message.Changes)
    if (Relayed.Change.Removed)
      Keys.erase(Relayed.Change.Key);
    else
      Keys.insert(Relayed.Change.Key);
  return Keys;
}

} // namespace

void KeyFollower::publish() {
  const auto Now = m_Time.now();
  auto Message = m_Window.takeMessage(m_Revision);
  m_PublishedRevision = m_Revision;
  m_PublishedConfirmedAt = m_ConfirmedAt;
  const auto Subscribers = m_Subscribers.current(Now);
  const bool IsRelaying = m_Relay.isRelaying();
  if (!IsRelaying && Subscribers.empty())
    return;
  Message.Age = Now - m_ConfirmedAt + RelayTransitTime;
  Message.SentAt = Now.time_since_epoch();
  Message.Suspensions = m_Suspensions;
  m_Relay.stamp(Message);
  if (IsRelaying)
    m_Relay.sendToDomain(encodeRelayedChanges(Message));
  for (const auto &Each : Subscribers) {
    Message.Receiver = Each.Incarnation;
    Message.Suspensions = Each.Suspensions;
    Message.SentAt = Each.SentAt;
    m_Relay.sendChanges(Each.Address, encodeRelayedChanges(Message));
  }
}

IncarnationId KeyFollower::ownIncarnation() const {
  RelayedChanges Own;
  m_Relay.stamp(Own);
  return Own.Incarnation;
}

void KeyFollower::publishIfNewer() {
  if (m_Revision > m_PublishedRevision ||
      m_ConfirmedAt - m_PublishedConfirmedAt >=
          share(m_ChangeDeadline, ForwardedAdvanceShare))
    publish();
}

bool KeyFollower::missesValue(const RelayedChanges &Message) const {
  return std::any_of(
      Message.Changes.begin(), Message.Changes.end(), [&](const auto &Relayed) {
        return Relayed.ValueOmitted && Relayed.Change.Revision > m_Revision &&
               m_Replica.isNewer(Relayed.Change);
      });
}

Duration KeyFollower::transitOf(const RelayedChanges &Message, TimePoint Now) {
  if (Message.SentAt == Duration{0})
    return Duration{0};
  if (Message.Receiver != UnknownIncarnation)
    return Message.Receiver == ownIncarnation() &&
                   Message.Suspensions == m_Suspensions
               ? Now.time_since_epoch() - Message.SentAt
               : UnknownDelay;
  const auto Delay = senderOf(Message).Delay.longest(Message.SentAt, Now);
  if (!Delay || *Delay > share(m_ChangeDeadline, PlausibleDelayShare))
    askSender(Message, Now, m_ChangeDeadline);
  return Delay.value_or(UnknownDelay);
}

KeyFollower::Sender &KeyFollower::senderOf(const RelayedChanges &Message) {
  if (m_Senders.size() >= MaxSenders)
    m_Senders.clear();
  return m_Senders[{Message.Vm, Message.Incarnation, Message.Suspensions}];
}

void KeyFollower::askSender(const RelayedChanges &Message, TimePoint Now,
                            Duration Interval) {
  auto &Known = senderOf(Message);
  if (!Message.Sender ||
      (Known.AskedAt != TimePoint{} && Now - Known.AskedAt < Interval))
    return;
  Known.AskedAt = Now;
  m_CatchUp.ask(*Message.Sender);
}

void KeyFollower::onRelayedChanges(RelayedChanges Message) {
  const auto Now = m_Time.now();
  Message.Age += transitOf(Message, Now);
  // Step 1. Ignore the message if it is of an earlier era, or if this daemon
  // has nothing that changes could be added to.
  if (!m_HasListing) {
    if (m_ConsecutiveFailures > 0)
      askSender(Message, Now, share(m_ChangeDeadline, RepeatedQueryShare));
    return;
  }
  if (Message.To.Era < m_Revision.Era)
    return;

  // Step 2. After a gap, or if a value was left out, read the changes from the
  // store. A later era is noticed by that call, too.
  m_Replica.resolveDeltas(Message.Changes);
  const bool MissesValue = missesValue(Message);
  m_Observer.onOrigin({ChangeSource::Relay, Message.Vm, Message.Incarnation});
  if (leavesGap(Message) || MissesValue) {
    // The store usually gives an omitted value at once.
    m_Log.write("relay_incomplete",
                {{"revision", m_Revision.Number},
                 {"from", Message.From.Number},
                 {"to", Message.To.Number},
                 {"value_omitted", MissesValue},
                 {"relay", Message.Vm},
                 {"store_reachable", m_StoreReachable}},
                MissesValue && m_StoreReachable ? LogLevel::Ordinary
                                                : LogLevel::Important);
    m_ToldConfirmedAt = TimePoint{};
    requireRevision(Message.To);
    if (!m_StoreReachable)
      askSender(Message, Now, share(m_ChangeDeadline, RepeatedQueryShare));
    return;
  }

  // Step 3. Apply the changes. A watch in progress may report them again.
  applyAll(Message);
  if (Message.To == m_Revision && !m_IsResuming)
    onTold(Now - Message.Age);
  publishIfNewer();
}

std::optional<RelayedChanges> KeyFollower::answer(const ChangeQuery &Query) {
  if (Query.Subscriber)
    m_Subscribers.renew(*Query.Subscriber, m_Time.now());
  if (Query.Subscriber && m_FollowsRelay && m_StoreReachable)
    awaitNextWatch();
  if (!m_HasListing || m_ConfirmedAt == TimePoint{})
    return std::nullopt;
  const auto After = Query.After;
  RelayedChanges Message;
  Message.From = m_Replica.completeFrom(After);
  if (After.Number == 0) // All keys.
    Message.From = {m_Revision.Era, 0};
  // Revisions of an earlier era tell nothing of this one.
  else if (After.Era != m_Revision.Era)
    Message.From = m_Revision;
  Message.To = m_Revision;
  Message.Age = m_Time.now() - m_ConfirmedAt;
  Message.SentAt = m_Time.now().time_since_epoch();
  Message.Suspensions = m_Suspensions;
  Message.Changes = m_Replica.changesAfter(After, Query.AcceptsDeltas);
  if (After.Number != 0)
    Message.Gaps = m_Replica.gapsAfter(Message.From);
  m_Relay.stamp(Message);
  return Message;
}

std::optional<ChangeQuery> KeyFollower::nextQuery() const {
  ChangeSubscriber Own;
  Own.Incarnation = ownIncarnation();
  Own.Suspensions = m_Suspensions;
  Own.SentAt = m_Time.now().time_since_epoch();
  if (!m_HasListing)
    return ChangeQuery{StoreRevision{}, false, std::move(Own)};
  return ChangeQuery{m_Revision, !m_NeedsWholeValues, std::move(Own)};
}

void KeyFollower::onPeerChanges(RelayedChanges Message, TimePoint SentAt) {
  if (Message.SentAt != Duration{0})
    senderOf(Message).Delay.recordRoundTrip(Message.SentAt, SentAt);
  const bool IsFirst = !m_HasListing;
  if (IsFirst ? Message.From.Number != 0 : Message.To < m_Revision)
    return;
  m_Observer.onOrigin({ChangeSource::Peer, Message.Vm, Message.Incarnation});
  m_Replica.resolveDeltas(Message.Changes);
  m_NeedsWholeValues = missesValue(Message);
  // After a gap, the changes of each key are right, but those of others may be
  // missing.
  const bool LeavesGap = !IsFirst && leavesGap(Message);
  if (LeavesGap || m_NeedsWholeValues) {
    const auto Existing = existingKeys(Message);
    for (const auto &Relayed : Message.Changes)
      if (Existing.contains(Relayed.Change.Key) && !Relayed.ValueOmitted &&
          (Relayed.Change.Revision > m_Revision || wasMissed(Relayed.Change)))
        applyEarly(Relayed.Change, Relayed.AfterOutage);
    if (LeavesGap && !m_StoreReachable && Message.Sender)
      m_CatchUp.askForAllKeys(*Message.Sender);
    return;
  }
  if (Message.From.Number == 0 && !IsFirst)
    removeUnlisted(Message);
  applyAll(Message);
  if (IsFirst) {
    m_HasListing = m_IsListed = true;
    finishFirstListing();
    m_Observer.onListed();
  }
  onTold(SentAt - Message.Age);
  publishIfNewer();
}

void KeyFollower::onCaughtUp(TimePoint Since, const PeerQueryCounts &Counts) {
  m_Log.write("caught_up", {{"after_ms", ageMs(Since, m_Time.now())},
                            {"revision", m_Revision.Number},
                            {"store_reachable", m_StoreReachable},
                            {"relaying", m_Relay.isRelaying()},
                            {"asked", Counts.Sent},
                            {"newer", Counts.Newer},
                            {"not_newer", Counts.NotNewer},
                            {"without_listing", Counts.Unknown},
                            {"failed", Counts.Failed},
                            {"no_daemon", Counts.NoDaemon},
                            {"suppressed", Counts.Suppressed}});
}

void KeyFollower::removeUnlisted(const RelayedChanges &AllKeys) {
  const auto Existing = existingKeys(AllKeys);
  for (const auto &Change : m_Replica.findUnlisted(Existing, AllKeys.To))
    apply(Change, isAfterOutage(m_Time.now()));
  recordListed(AllKeys.To);
}

bool KeyFollower::leavesGap(const RelayedChanges &Message) const {
  return Message.From > m_Revision ||
         std::any_of(
             Message.Gaps.begin(), Message.Gaps.end(),
             [&](const auto &Gap) { return Gap.contains(m_Revision); }) ||
         (Message.From.Number != 0 && leavesKeyOpen(Message));
}

bool KeyFollower::leavesKeyOpen(const RelayedChanges &Message) const {
  const auto Tells = [&](const std::string &Key, StoreRevision Revision) {
    return std::any_of(Message.Changes.begin(), Message.Changes.end(),
                       [&](const RelayedChange &Each) {
                         return Each.Change.Key == Key &&
                                Each.Change.Revision >= Revision;
                       });
  };
  return std::any_of(
      m_EarlyKeys.begin(), m_EarlyKeys.end(), [&](const auto &Early) {
        return Early.second <= Message.To && !Tells(Early.first, Early.second);
      });
}

bool KeyFollower::wasMissed(const KeyChange &Change) {
  if (Change.Revision > m_Revision || !m_Replica.isMissing(Change))
    return false;
  m_Log.write("change_missed",
              {{"key", Change.Key},
               {"removed", Change.Removed},
               {"change_revision", Change.Revision.Number},
               {"revision", m_Revision.Number},
               {"confirmed_ms", ageMs(m_ConfirmedAt, m_Time.now())}});
  return true;
}

void KeyFollower::applyAll(const RelayedChanges &Message) {
  for (const auto &Relayed : Message.Changes) {
    const bool IsLater = Relayed.Change.Revision > m_Revision;
    if ((IsLater || wasMissed(Relayed.Change)) && !Relayed.ValueOmitted) {
      if (!Relayed.Change.Removed && Relayed.Change.Revision > Message.To)
        m_EarlyKeys[Relayed.Change.Key] = Relayed.Change.Revision;
      apply(Relayed.Change, Relayed.AfterOutage);
    }
  }
  for (const auto &Gap : Message.Gaps)
    if (Gap.From >= m_Revision) {
      m_Replica.recordGap(Gap);
      m_Window.recordGap(Gap);
    }
  advance(Message.To);
}

void KeyFollower::onTold(TimePoint ConfirmedAt) {
  m_ToldConfirmedAt = std::max(m_ToldConfirmedAt, ConfirmedAt);
  confirm(ConfirmedAt);
}

} // namespace mangodeck
