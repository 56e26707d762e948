#include "mangodeck/gateway/keyfollower.h"
#include "mangodeck/gateway/loopexecutor.h"

#include <asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <optional>
#include <thread>
#include <unistd.h>
#include <vector>

namespace mangodeck {

namespace {

constexpr Duration ChangeDeadline = 2400ms;

/// A store whose answers the test supplies.
struct ScriptedStore : KeyValueStore {
  void list(std::string_view After, Callback<KeyPage> Done) override {
    Lists.push_back(std::string(After));
    ListDone = std::move(Done);
  }
  void watch(StoreRevision After, Duration Wait,
             Callback<KeyChanges> Done) override {
    Watches.push_back(After);
    LastWait = Wait;
    LastWatchAt = std::chrono::steady_clock::now();
    WatchDone = std::move(Done);
  }
  void grantLease(Duration, Callback<KeyLease>) override {}
  void keepLease(std::int64_t, Callback<KeyLease>) override {}
  void put(std::string_view, std::string_view, std::int64_t,
           Callback<bool>) override {}
  void reconnect() override { ++Reconnects; }

  void answerList(Expected<KeyPage> Page) {
    auto Done = std::move(ListDone);
    Done(std::move(Page));
  }
  void answerWatch(Expected<KeyChanges> Changes) {
    auto Done = std::move(WatchDone);
    Done(std::move(Changes));
  }

  std::vector<std::string> Lists;
  std::vector<StoreRevision> Watches;
  Duration LastWait{0}; ///< Of the last watch.
  TimePoint LastWatchAt{};
  Callback<KeyPage> ListDone;
  Callback<KeyChanges> WatchDone;
  int Reconnects = 0;
};

/// Other daemons whose answers the test supplies.
struct ScriptedPeers : PeerChangeReader {
  void query(const ChangeQuery &Query, Duration,
             Callback<RelayedChanges> Done) override {
    Queries.push_back(Query.After);
    LastAcceptsDeltas = Query.AcceptsDeltas;
    LastDone = std::move(Done);
  }
  std::vector<StoreRevision> Queries;
  bool LastAcceptsDeltas = false;
  Callback<RelayedChanges> LastDone;
};

struct RecordingObserver : KeyObserver {
  /// Values that begin with "heartbeat" make no difference.
  bool onKeyUpdated(const KeyChange &Change) override {
    Values[Change.Key] = Change.Value;
    return !Change.Value.starts_with("heartbeat");
  }
  void onKeyRemoved(const KeyChange &Change, bool AfterOutage) override {
    Values.erase(Change.Key);
    LastAfterOutage = AfterOutage;
  }
  void onListed() override { ++Listings; }
  void onConfirmed(TimePoint Time) override { ConfirmedAt = Time; }

  std::map<std::string, std::string> Values;
  bool LastAfterOutage = false;
  TimePoint ConfirmedAt{};
  int Listings = 0;
};

struct RecordingRelay : ChangeRelay {
  bool isRelaying() const override { return Relaying; }
  void sendToDomain(std::string_view Bytes) override {
    if (auto Message = decodeRelayedChanges(Bytes))
      Sent.push_back(std::move(*Message));
  }
  void sendChanges(const PeerEndpoint &Receiver,
                   std::string_view Bytes) override {
    if (auto Message = decodeRelayedChanges(Bytes))
      SentTo[Receiver.Ip].push_back(std::move(*Message));
  }
  bool Relaying = false;
  std::vector<RelayedChanges> Sent;
  std::map<std::string, std::vector<RelayedChanges>> SentTo; ///< By address.
};

} // namespace

class KeyFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyFollowerTest);
  CPPUNIT_TEST(list_severalPages_watchStartsAtFirstPageRevision);
  CPPUNIT_TEST(watch_historyDropped_listsAgainAndRemovesMissingKeys);
  CPPUNIT_TEST(watch_olderRevision_isIgnored);
  CPPUNIT_TEST(watch_failure_listsAgain);
  CPPUNIT_TEST(removal_rightAfterOutage_isReportedAsAfterOutage);
  CPPUNIT_TEST(refresh_answerToOlderCall_isIgnored);
  CPPUNIT_TEST(restore_reusedRevision_isReported);
  CPPUNIT_TEST(restore_missingKey_isReportedAsRemovedAfterOutage);
  CPPUNIT_TEST(restore_answerToEarlierWatch_isIgnored);
  CPPUNIT_TEST(relay_fresh_replacesWatch);
  CPPUNIT_TEST(relay_silent_isReplacedByWatch);
  CPPUNIT_TEST(relay_heartbeatsLeftOut_confirmsDirectory);
  CPPUNIT_TEST(relay_outdatedItself_isReplacedByWatch);
  CPPUNIT_TEST(relay_storeTurnsDaemonAway_isFollowed);
  CPPUNIT_TEST(relay_silentAfterRefusedCall_isReplacedByListing);
  CPPUNIT_TEST(relay_gap_isFilledFromStore);
  CPPUNIT_TEST(relay_valueOmitted_isReadFromStore);
  CPPUNIT_TEST(relay_valueOmittedDuringWatch_isReadFromStore);
  CPPUNIT_TEST(relay_largeValueAsDelta_isAppliedWithoutCall);
  CPPUNIT_TEST(peer_deltaOfUnknownBase_asksForWholeValue);
  CPPUNIT_TEST(peer_answerFromBeforeSuspension_confirmsNothing);
  CPPUNIT_TEST(relay_repeatedOrEarlierEra_isIgnored);
  CPPUNIT_TEST(relay_removal_isReportedWithItsOutage);
  CPPUNIT_TEST(relaying_changes_areSentWithoutHeartbeats);
  CPPUNIT_TEST(relaying_removal_tellsLastHeartbeatBefore);
  CPPUNIT_TEST(relaying_manyChanges_leaveGap);
  CPPUNIT_TEST(relaying_changes_areRepeatedInNextFourMessagesOnly);
  CPPUNIT_TEST(relaying_messageOfOtherRelay_isApplied);
  CPPUNIT_TEST(relaying_takesOver_tellsChangesOfBefore);
  CPPUNIT_TEST(relaying_noChanges_confirmsPeriodically);
  CPPUNIT_TEST(relaying_delayedAnswer_statesAgeOfItsCall);
  CPPUNIT_TEST(relaying_secondListing_tellsChangesOfMeanwhile);
  CPPUNIT_TEST(relay_duringListing_isApplied);
  CPPUNIT_TEST(listing_keyToldMeanwhile_isNotRemoved);
  CPPUNIT_TEST(listing_keyRemovedMeanwhile_isNotBroughtBack);
  CPPUNIT_TEST(relay_messageOfBeforeSuspension_confirmsNothing);
  CPPUNIT_TEST(peers_storeReachable_areNotAsked);
  CPPUNIT_TEST(peers_valueOmittedAndStoreRejects_giveValue);
  CPPUNIT_TEST(peers_answerWithGap_givesValuesOnly);
  CPPUNIT_TEST(peers_ownChanges_areTold);
  CPPUNIT_TEST(relay_missedChangeIsRepeated_isApplied);
  CPPUNIT_TEST(relay_forgottenRemoval_oldValueIsNotBroughtBack);
  CPPUNIT_TEST(listing_keysMayHaveComeAndGone_gapIsToldToPeers);
  CPPUNIT_TEST(listing_keysMayHaveComeAndGone_gapIsRelayed);
  CPPUNIT_TEST(peers_keyKnownEarlyIsNotMentioned_revisionIsNotTaken);
  CPPUNIT_TEST(listing_keyRemovedBetweenPages_isToldAtItsRevision);
  CPPUNIT_TEST(peers_keyRemovedInSameAnswer_isNotKept);
  CPPUNIT_TEST(relayMessage_encodedAndDecoded_isUnchanged);
  CPPUNIT_TEST(relayMessage_withSender_tellsProcess);
  CPPUNIT_TEST(relayMessage_withGaps_tellsThem);
  CPPUNIT_TEST(relayMessage_withoutSender_isAccepted);
  CPPUNIT_TEST(relayMessage_invalidBytes_areRejected);
  CPPUNIT_TEST(minDaemonsForRelay_anyDeadline_savesCalls);
  CPPUNIT_TEST(watch_frequentChanges_callsAreBounded);
  CPPUNIT_TEST(watch_withoutChanges_waitsForPartOfDeadline);
  CPPUNIT_TEST_SUITE_END();

public:
  void minDaemonsForRelay_anyDeadline_savesCalls() {
    for (const Duration Deadline : {2s, 3s, 4s}) {
      const auto Daemons = minDaemonsForRelay(Deadline);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), Daemons);
      CPPUNIT_ASSERT(watchWait(Deadline) < relayWait(Deadline) * Daemons);
      // The others watch by themselves after 0.6 of the deadline without news.
      CPPUNIT_ASSERT(relayWait(Deadline) + 100ms <= Deadline * 6 / 10);
      CPPUNIT_ASSERT(relayWait(Deadline) + 900ms + 400ms <= Deadline);
    }
  }

  // Regression: a watch waited for 4 s, so a connection that had gone silent
  // was told from one without changes only after the deadline of a change.
  void watch_withoutChanges_waitsForPartOfDeadline() {
    answerFirstList();
    runTimers();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Store.Watches.size());
    CPPUNIT_ASSERT(m_Store.LastWait == watchWait(ChangeDeadline));
    // The call times out 0.9 s after the wait, and the listing takes some time.
    for (const auto Deadline : {2s, 3s, 4s}) {
      CPPUNIT_ASSERT(watchWait(Deadline) + 900ms + 400ms <= Deadline);
      CPPUNIT_ASSERT(watchWait(Deadline) >= Deadline / 4);
    }
  }

  /// Many changes in a row, as at the start of all daemons.
  void watch_frequentChanges_callsAreBounded() {
    answerFirstList();
    const auto Start = std::chrono::steady_clock::now();
    for (std::int64_t Revision = 11; Revision < 14; ++Revision) {
      runTimers();
      m_Store.answerWatch(
          KeyChanges{{{"a", "v", {0, Revision}, false}}, {0, Revision}});
    }
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Start >=
                   2 * ChangeDeadline / 4 - 10ms);
  }

  void setUp() override {
    m_Loop.emplace();
    m_Store = ScriptedStore();
    m_Peers = ScriptedPeers();
    m_Observer = RecordingObserver();
    m_Relay = RecordingRelay();
    m_Log.emplace(-1, "vm", "1", 1000);
    m_Executor.emplace(m_Loop->get_executor());
    m_Follower.emplace(m_Time, *m_Executor, m_Store, m_Peers, m_Observer,
                       m_Relay, *m_Log, ChangeDeadline);
    m_Follower->start();
  }
  void tearDown() override {
    m_Follower.reset();
    m_Loop.reset();
  }

  void list_severalPages_watchStartsAtFirstPageRevision() {
    m_Store.answerList(KeyPage{{{"a", "1", {0, 5}, false}}, true, {0, 10}});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), m_Store.Lists.back());
    m_Store.answerList(KeyPage{{{"b", "2", {0, 6}, false}}, false, {0, 12}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Observer.Values.size());
    CPPUNIT_ASSERT_EQUAL(1, m_Observer.Listings);
    runTimers();
    CPPUNIT_ASSERT(m_Store.Watches.back() == (StoreRevision{0, 10}));
  }

  void watch_historyDropped_listsAgainAndRemovesMissingKeys() {
    answerFirstList();
    m_Store.answerWatch(unexpected(make_error_code(Errc::StaleStore)));
    m_Store.answerList(KeyPage{{{"b", "2", {0, 6}, false}}, false, {0, 20}});
    CPPUNIT_ASSERT(!m_Observer.Values.contains("a"));
    CPPUNIT_ASSERT(m_Observer.Values.contains("b"));
    runTimers();
    CPPUNIT_ASSERT(m_Store.Watches.back() == (StoreRevision{0, 20}));
  }

  void watch_olderRevision_isIgnored() {
    answerFirstList();
    m_Store.answerWatch(KeyChanges{{{"a", "new", {0, 11}, false}}, {0, 11}});
    runTimers();
    m_Store.answerWatch(KeyChanges{{{"a", "old", {0, 9}, false}}, {0, 12}});
    CPPUNIT_ASSERT_EQUAL(std::string("new"), m_Observer.Values["a"]);
  }

  void watch_failure_listsAgain() {
    answerFirstList();
    const auto ListsBefore = m_Store.Lists.size();
    m_Store.answerWatch(unexpected(make_error_code(Errc::Timeout)));
    CPPUNIT_ASSERT(!m_Follower->isStoreReachable());
    runTimers();
    CPPUNIT_ASSERT_EQUAL(ListsBefore + 1, m_Store.Lists.size());
    m_Store.answerList(KeyPage{{{"a", "1", {0, 5}, false}}, false, {0, 12}});
    CPPUNIT_ASSERT(m_Follower->isStoreReachable());
  }

  void removal_rightAfterOutage_isReportedAsAfterOutage() {
    answerFirstList();
    m_Store.answerWatch(unexpected(make_error_code(Errc::Timeout)));
    runTimers();
    m_Store.answerList(KeyPage{{}, false, {0, 12}});
    CPPUNIT_ASSERT(m_Observer.Values.empty());
    CPPUNIT_ASSERT(m_Observer.LastAfterOutage);
  }

  void refresh_answerToOlderCall_isIgnored() {
    answerFirstList();
    auto Stale = std::move(m_Store.WatchDone);
    m_Follower->refresh();
    CPPUNIT_ASSERT_EQUAL(1, m_Store.Reconnects);
    Stale(KeyChanges{{{"a", "stale", {0, 50}, false}}, {0, 50}});
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_Observer.Values["a"]);
  }

  /// After a restore the store gives revision numbers out again.
  void restore_reusedRevision_isReported() {
    answerFirstList();
    m_Follower->onStoreRestored();
    m_Store.answerList(KeyPage{
        {{"a", "rewritten", {2, 5}, false}, {"b", "older", {2, 4}, false}},
        false,
        {2, 7}});
    CPPUNIT_ASSERT_EQUAL(std::string("rewritten"), m_Observer.Values["a"]);
    CPPUNIT_ASSERT_EQUAL(std::string("older"), m_Observer.Values["b"]);
    runTimers();
    CPPUNIT_ASSERT(m_Store.Watches.back() == (StoreRevision{2, 7}));
  }

  void restore_missingKey_isReportedAsRemovedAfterOutage() {
    answerFirstList();
    m_Follower->onStoreRestored();
    m_Store.answerList(KeyPage{{{"b", "2", {2, 4}, false}}, false, {2, 7}});
    CPPUNIT_ASSERT(!m_Observer.Values.contains("a"));
    CPPUNIT_ASSERT(m_Observer.LastAfterOutage);
  }

  void restore_answerToEarlierWatch_isIgnored() {
    answerFirstList();
    auto Earlier = std::move(m_Store.WatchDone);
    m_Follower->onStoreRestored();
    Earlier(KeyChanges{{{"a", "lost", {1, 50}, false}}, {1, 50}});
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_Observer.Values["a"]);
  }

  void relay_fresh_replacesWatch() {
    followRelay();
    const auto Watches = m_Store.Watches.size();
    for (std::int64_t Revision = 20; Revision < 24; ++Revision) {
      m_Follower->onRelayedChanges(
          {{0, 10}, {0, Revision}, 0ms, {change("a", "v", Revision)}});
      runTimers();
    }
    CPPUNIT_ASSERT_EQUAL(Watches, m_Store.Watches.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v"), m_Observer.Values["a"]);
  }

  void relay_silent_isReplacedByWatch() {
    followRelay();
    const auto Watches = m_Store.Watches.size();
    runTimers();
    CPPUNIT_ASSERT_EQUAL(Watches, m_Store.Watches.size());
    runTimers();
    CPPUNIT_ASSERT_EQUAL(Watches + 1, m_Store.Watches.size());
    CPPUNIT_ASSERT(m_Store.Watches.back() == (StoreRevision{0, 12}));
  }

  void relay_heartbeatsLeftOut_confirmsDirectory() {
    followRelay();
    const auto Before = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(m_Observer.ConfirmedAt < Before);
    m_Follower->onRelayedChanges({{0, 10}, {0, 20}, 0ms, {}});
    CPPUNIT_ASSERT(m_Observer.ConfirmedAt >= Before);
  }

  /// The relay is alive, but the store does not answer it.
  void relay_outdatedItself_isReplacedByWatch() {
    followRelay();
    const auto Watches = m_Store.Watches.size();
    for (int I = 0; I < 2; ++I) {
      m_Follower->onRelayedChanges({{0, 10}, {0, 12}, 2s, {}});
      runTimers();
    }
    CPPUNIT_ASSERT_EQUAL(Watches + 1, m_Store.Watches.size());
  }

  // Regression: a daemon that the store turned away listed again and again, and
  // meanwhile ignored the changes that the relay told it.
  void relay_storeTurnsDaemonAway_isFollowed() {
    beTurnedAway();
    const auto Lists = m_Store.Lists.size();
    m_Follower->onRelayedChanges(
        {{0, 10}, {0, 20}, 0ms, {change("a", "v", 20)}});
    runTimers();
    CPPUNIT_ASSERT_EQUAL(std::string("v"), m_Observer.Values["a"]);
    CPPUNIT_ASSERT_EQUAL(Lists, m_Store.Lists.size());
  }

  void relay_silentAfterRefusedCall_isReplacedByListing() {
    beTurnedAway();
    const auto Lists = m_Store.Lists.size();
    runTimers();
    CPPUNIT_ASSERT_EQUAL(Lists + 1, m_Store.Lists.size());
  }

  void relay_gap_isFilledFromStore() {
    followRelay();
    const auto Watches = m_Store.Watches.size();
    m_Follower->onRelayedChanges(
        {{0, 15}, {0, 18}, 0ms, {change("a", "late", 17)}});
    CPPUNIT_ASSERT_EQUAL(Watches + 1, m_Store.Watches.size());
    CPPUNIT_ASSERT(m_Store.Watches.back() == (StoreRevision{0, 12}));
    CPPUNIT_ASSERT(m_Observer.Values["a"] != "late");
    m_Store.answerWatch(KeyChanges{{{"a", "late", {0, 17}, false}}, {0, 18}});
    CPPUNIT_ASSERT_EQUAL(std::string("late"), m_Observer.Values["a"]);
  }

  void relay_valueOmitted_isReadFromStore() {
    followRelay();
    const auto Watches = m_Store.Watches.size();
    auto Omitted = change("a", "", 17);
    Omitted.ValueOmitted = true;
    m_Follower->onRelayedChanges({{0, 10}, {0, 18}, 0ms, {Omitted}});
    CPPUNIT_ASSERT_EQUAL(Watches + 1, m_Store.Watches.size());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_Observer.Values["a"]);
  }

  void relay_valueOmittedDuringWatch_isReadFromStore() {
    answerFirstList();
    m_Follower->onRelayedChanges({{0, 8}, {0, 12}, 0ms, {}});
    auto Omitted = change("a", "", 17);
    Omitted.ValueOmitted = true;
    m_Follower->onRelayedChanges({{0, 10}, {0, 18}, 0ms, {Omitted}});
    const auto Watches = m_Store.Watches.size();
    m_Store.answerWatch(KeyChanges{{}, {0, 12}});
    runTimers();
    CPPUNIT_ASSERT_EQUAL(Watches + 1, m_Store.Watches.size());
  }

  // Regression: a changed large value was only announced, so that each daemon
  // fetched all of it over a link that may be full.
  void relay_largeValueAsDelta_isAppliedWithoutCall() {
    followRelay();
    const std::string Before(5000, 'x');
    const auto After = Before + "y";
    m_Follower->onRelayedChanges(
        {{0, 10}, {0, 20}, 0ms, {change("a", Before.c_str(), 20)}});
    const auto Calls = m_Store.Watches.size() + m_Store.Lists.size();
    RelayedChange Relayed{{"a", "", {0, 21}, false}, true, false};
    Relayed.Delta = encodeValueDelta(Before, 20, After);
    const auto Sent = decodeRelayedChanges(
        encodeRelayedChanges({{0, 20}, {0, 21}, 0ms, {Relayed}}));
    m_Follower->onRelayedChanges(*Sent);
    CPPUNIT_ASSERT(m_Observer.Values["a"] == After);
    CPPUNIT_ASSERT_EQUAL(Calls, m_Store.Watches.size() + m_Store.Lists.size());
  }

  void peer_answerFromBeforeSuspension_confirmsNothing() {
    followRelay();
    m_Follower->onRelayedChanges({{0, 21}, {0, 21}, 0ms, {}});
    runTimers();
    CPPUNIT_ASSERT(!m_Peers.Queries.empty());
    const auto Earlier = m_Peers.LastDone;
    const auto ConfirmedAt = m_Observer.ConfirmedAt;
    m_Follower->refresh();
    Earlier(RelayedChanges{{0, 10}, {0, 21}, 0ms, {}});
    CPPUNIT_ASSERT(m_Observer.ConfirmedAt == ConfirmedAt);
  }

  void peer_deltaOfUnknownBase_asksForWholeValue() {
    followRelay();
    RelayedChange Relayed{{"a", "", {0, 21}, false}, true, false};
    Relayed.Delta = encodeValueDelta("base", 17, "value");
    m_Follower->onRelayedChanges({{0, 10}, {0, 21}, 0ms, {Relayed}});
    runTimers();
    CPPUNIT_ASSERT(!m_Peers.Queries.empty() && m_Peers.LastAcceptsDeltas);
    m_Peers.LastDone(RelayedChanges{{0, 10}, {0, 21}, 0ms, {Relayed}});
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_Observer.Values["a"]);
    runTimers();
    CPPUNIT_ASSERT(!m_Peers.LastAcceptsDeltas);
    m_Peers.LastDone(
        RelayedChanges{{0, 10}, {0, 21}, 0ms, {change("a", "value", 21)}});
    CPPUNIT_ASSERT_EQUAL(std::string("value"), m_Observer.Values["a"]);
  }

  void relay_repeatedOrEarlierEra_isIgnored() {
    m_Store.answerList(KeyPage{{{"a", "1", {2, 5}, false}}, false, {2, 10}});
    m_Follower->onRelayedChanges(
        {{1, 9}, {1, 50}, 0ms, {{{"a", "lost", {1, 50}, false}}}});
    m_Follower->onRelayedChanges(
        {{2, 3}, {2, 9}, 0ms, {{{"a", "older", {2, 4}, false}}}});
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_Observer.Values["a"]);
  }

  void relay_removal_isReportedWithItsOutage() {
    followRelay();
    RelayedChange Removed{{"a", "", {0, 14}, true}, false, true};
    m_Follower->onRelayedChanges({{0, 10}, {0, 14}, 0ms, {Removed}});
    CPPUNIT_ASSERT(!m_Observer.Values.contains("a"));
    CPPUNIT_ASSERT(m_Observer.LastAfterOutage);
  }

  void relaying_changes_areSentWithoutHeartbeats() {
    m_Relay.Relaying = true;
    answerFirstList();
    m_Store.answerWatch(KeyChanges{
        {{"a", "heartbeat", {0, 11}, false}, {"b", "new", {0, 12}, false}},
        {0, 13}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Relay.Sent.size());
    const auto &Message = m_Relay.Sent.at(0);
    CPPUNIT_ASSERT(Message.From == (StoreRevision{0, 10}));
    CPPUNIT_ASSERT(Message.To == (StoreRevision{0, 13}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Message.Changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Message.Changes[0].Change.Key);
  }

  void relaying_removal_tellsLastHeartbeatBefore() {
    m_Relay.Relaying = true;
    answerFirstList();
    m_Store.answerWatch(KeyChanges{
        {{"a", "heartbeat 7", {0, 11}, false}, {"a", "", {0, 12}, true}},
        {0, 12}});
    const auto &Changes = m_Relay.Sent.at(0).Changes;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("heartbeat 7"), Changes[0].Change.Value);
    CPPUNIT_ASSERT(Changes[1].Change.Removed);
  }

  /// Receivers read the changes from the store instead.
  void relaying_manyChanges_leaveGap() {
    m_Relay.Relaying = true;
    answerFirstList();
    KeyChanges Many;
    for (std::int64_t I = 11; I <= 60; ++I)
      Many.Changes.push_back(
          {"k" + std::to_string(I), std::string(1000, 'v'), {0, I}, false});
    Many.AsOf = {0, 61};
    m_Store.answerWatch(std::move(Many));
    runTimers();
    m_Store.answerWatch(KeyChanges{{{"a", "v", {0, 62}, false}}, {0, 62}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Relay.Sent.size());
    CPPUNIT_ASSERT(m_Relay.Sent[0].From == (StoreRevision{0, 61}));
    CPPUNIT_ASSERT(m_Relay.Sent[0].Changes.empty());
    CPPUNIT_ASSERT(m_Relay.Sent[1].From == (StoreRevision{0, 61}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Relay.Sent[1].Changes.size());
  }

  // Regression: a daemon that had lost the one message with a change needed a
  // call for it, which a full link delays by two round trips.
  void relaying_changes_areRepeatedInNextFourMessagesOnly() {
    m_Relay.Relaying = true;
    answerFirstList();
    m_Store.answerWatch(KeyChanges{{{"a", "v", {0, 11}, false}}, {0, 11}});
    for (std::int64_t I = 12; I <= 16; ++I) {
      runTimers();
      m_Store.answerWatch(KeyChanges{{}, {0, I}});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), m_Relay.Sent.size());
    for (std::size_t I = 0; I < 5; ++I) {
      CPPUNIT_ASSERT(m_Relay.Sent[I].From == (StoreRevision{0, 10}));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Relay.Sent[I].Changes.size());
    }
    CPPUNIT_ASSERT(m_Relay.Sent[5].From == (StoreRevision{0, 11}));
    CPPUNIT_ASSERT(m_Relay.Sent[5].Changes.empty());
  }

  // Regression: a daemon behind a full link that takes itself for the relay
  // ignored what the others told it.
  // Regression: the message of a relay that took over began at what it knew, so
  // that daemons that had missed a change before could not use it.
  void relaying_takesOver_tellsChangesOfBefore() {
    followRelay();
    m_Follower->onRelayedChanges(
        {{0, 12}, {0, 20}, 0ms, {change("a", "v", 20)}});
    m_Relay.Relaying = true;
    for (int I = 0; I < 3; ++I)
      runTimers(); // Until what the relay told is too old.
    m_Store.answerWatch(KeyChanges{{}, {0, 21}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Relay.Sent.size());
    CPPUNIT_ASSERT(m_Relay.Sent[0].From <= (StoreRevision{0, 12}));
    CPPUNIT_ASSERT_EQUAL(std::string("v"),
                         m_Relay.Sent[0].Changes.back().Change.Value);
  }

  void relaying_messageOfOtherRelay_isApplied() {
    m_Relay.Relaying = true;
    answerFirstList();
    m_Follower->onRelayedChanges(
        {{0, 10}, {0, 20}, 0ms, {change("a", "v", 20)}});
    CPPUNIT_ASSERT_EQUAL(std::string("v"), m_Observer.Values["a"]);
  }

  // Regression: a change that a former message had left out was ignored when
  // later ones told it, since its revision was confirmed.
  void relay_missedChangeIsRepeated_isApplied() {
    followRelay();
    m_Follower->onRelayedChanges({{0, 10}, {0, 30}, 0ms, {}});
    m_Follower->onRelayedChanges(
        {{0, 10},
         {0, 31},
         0ms,
         {change("a", "new", 25), change("c", "3", 26)}});
    CPPUNIT_ASSERT_EQUAL(std::string("new"), m_Observer.Values["a"]);
    CPPUNIT_ASSERT_EQUAL(std::string("3"), m_Observer.Values["c"]);
  }

  void relay_forgottenRemoval_oldValueIsNotBroughtBack() {
    followRelay();
    m_Follower->onRelayedChanges(
        {{0, 5}, {0, 31}, 0ms, {change("gone", "1", 7)}});
    CPPUNIT_ASSERT(!m_Observer.Values.contains("gone"));
  }

  // Regression: a target that had registered and left between two listings of
  // this daemon was left registered at those that asked it for changes.
  void listing_keysMayHaveComeAndGone_gapIsToldToPeers() {
    answerFirstList();
    listAgain(20);
    CPPUNIT_ASSERT(m_Follower->answer({0, 15})->From == (StoreRevision{0, 20}));
    CPPUNIT_ASSERT(m_Follower->answer({0, 10})->From == (StoreRevision{0, 10}));
    CPPUNIT_ASSERT(m_Follower->answer({0, 20})->From == (StoreRevision{0, 20}));
  }

  void listing_keysMayHaveComeAndGone_gapIsRelayed() {
    m_Relay.Relaying = true;
    answerFirstList();
    listAgain(20);
    const auto Message = m_Relay.Sent.at(0);
    CPPUNIT_ASSERT(Message.From == (StoreRevision{0, 10}));
    // A receiver between both listings lacks the removals; one at the first
    // listing does not.
    tearDown();
    setUp();
    followRelay(); // Knows revision 12.
    m_Follower->onRelayedChanges(Message);
    CPPUNIT_ASSERT(m_Store.Watches.back() == (StoreRevision{0, 12}));
    CPPUNIT_ASSERT(m_Follower->answer({0, 12})->To == (StoreRevision{0, 12}));
  }

  // Regression: a key learned from an answer with a gap stayed, although its
  // removal was in that gap of the next daemon's listing.
  void peers_keyKnownEarlyIsNotMentioned_revisionIsNotTaken() {
    answerFirstList();
    m_Store.answerWatch(unexpected(make_error_code(Errc::LimitExceeded)));
    awaitQuery();
    m_Peers.LastDone(RelayedChanges{
        {0, 30}, {0, 40}, 0ms, {change("early", "1", 35)}, "x", 1});
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_Observer.Values["early"]);
    awaitQuery();
    m_Peers.LastDone(RelayedChanges{{0, 10}, {0, 40}, 0ms, {}, "y", 1});
    CPPUNIT_ASSERT(m_Follower->answer({0, 10})->To == (StoreRevision{0, 10}));
    awaitQuery();
    m_Peers.LastDone(
        RelayedChanges{{0, 10}, {0, 41}, 0ms, {removal("early", 38)}, "z", 1});
    CPPUNIT_ASSERT(!m_Observer.Values.contains("early"));
    CPPUNIT_ASSERT(m_Follower->answer({0, 10})->To == (StoreRevision{0, 41}));
  }

  // Regression: a key that was removed between two pages of a listing counted
  // as removed before the first one.
  void listing_keyRemovedBetweenPages_isToldAtItsRevision() {
    answerFirstList();
    m_Store.answerWatch(unexpected(make_error_code(Errc::StaleStore)));
    m_Store.answerList(KeyPage{{{"a", "1", {0, 5}, false}}, true, {0, 20}});
    m_Store.answerList(KeyPage{{}, false, {0, 30}});
    runTimers();
    m_Store.answerWatch(KeyChanges{{{"b", "", {0, 25}, true}}, {0, 30}});
    const auto Told = m_Follower->answer({0, 22});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Told->Changes.size());
    CPPUNIT_ASSERT(Told->Changes[0].Change.Revision == (StoreRevision{0, 25}));
  }

  // Regression: of an answer with a gap, the last value of a key was taken and
  // its removal was not; an answer with all keys then took it for listed.
  void peers_keyRemovedInSameAnswer_isNotKept() {
    answerFirstList();
    m_Store.answerWatch(unexpected(make_error_code(Errc::LimitExceeded)));
    awaitQuery();
    m_Peers.LastDone(
        RelayedChanges{{0, 30},
                       {0, 40},
                       0ms,
                       {change("gone", "1", 35), removal("gone", 36),
                        change("early", "1", 37)},
                       "x",
                       1});
    CPPUNIT_ASSERT(!m_Observer.Values.contains("gone"));
    CPPUNIT_ASSERT(m_Observer.Values.contains("early"));
    awaitQuery();
    m_Peers.LastDone(RelayedChanges{
        {0, 0},
        {0, 41},
        0ms,
        {change("early", "0", 3), removal("early", 4), change("a", "1", 5)},
        "y",
        1});
    CPPUNIT_ASSERT(!m_Observer.Values.contains("early"));
    CPPUNIT_ASSERT(!m_Observer.Values.contains("b"));
    CPPUNIT_ASSERT(m_Observer.Values.contains("a"));
  }

  void relaying_noChanges_confirmsPeriodically() {
    m_Relay.Relaying = true;
    answerFirstList();
    for (int I = 0; I < 3; ++I) {
      m_Loop->restart();
      m_Loop->run_until(m_Store.LastWatchAt + m_Store.LastWait);
      m_Store.answerWatch(KeyChanges{{}, {0, 10}});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_Relay.Sent.size());
    CPPUNIT_ASSERT(m_Relay.Sent.back().Age < 500ms);
  }

  // Regression: a relay that was suspended, or whose link was cut, confirmed an
  // old answer as current.
  void relaying_delayedAnswer_statesAgeOfItsCall() {
    m_Relay.Relaying = true;
    answerFirstList();
    const auto CalledAt = m_Store.LastWatchAt;
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    m_Store.answerWatch(KeyChanges{{{"a", "v", {0, 11}, false}}, {0, 11}});
    CPPUNIT_ASSERT(m_Relay.Sent.at(0).Age >= 300ms);
    CPPUNIT_ASSERT(m_Observer.ConfirmedAt <= CalledAt);
  }

  void relaying_secondListing_tellsChangesOfMeanwhile() {
    m_Relay.Relaying = true;
    answerFirstList();
    m_Store.answerWatch(unexpected(make_error_code(Errc::StaleStore)));
    m_Store.answerList(
        KeyPage{{{"a", "new", {0, 15}, false}, {"b", "2", {0, 6}, false}},
                false,
                {0, 20}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Relay.Sent.size());
    CPPUNIT_ASSERT(m_Relay.Sent[0].From == (StoreRevision{0, 10}));
    CPPUNIT_ASSERT(m_Relay.Sent[0].To == (StoreRevision{0, 20}));
    CPPUNIT_ASSERT_EQUAL(std::string("new"),
                         m_Relay.Sent[0].Changes.at(0).Change.Value);
  }

  // Regression: while a listing got no answer, the relay's messages were lost.
  void relay_duringListing_isApplied() {
    answerFirstList();
    m_Store.answerWatch(unexpected(make_error_code(Errc::StaleStore)));
    m_Follower->onRelayedChanges(
        {{0, 10}, {0, 20}, 0ms, {change("a", "told", 20)}});
    CPPUNIT_ASSERT_EQUAL(std::string("told"), m_Observer.Values["a"]);
  }

  void listing_keyToldMeanwhile_isNotRemoved() {
    answerFirstList();
    m_Store.answerWatch(unexpected(make_error_code(Errc::StaleStore)));
    m_Follower->onRelayedChanges(
        {{0, 10}, {0, 20}, 0ms, {change("c", "told", 20)}});
    m_Store.answerList(KeyPage{{{"a", "1", {0, 5}, false}}, false, {0, 15}});
    CPPUNIT_ASSERT_EQUAL(std::string("told"), m_Observer.Values["c"]);
    CPPUNIT_ASSERT(!m_Observer.Values.contains("b"));
  }

  void listing_keyRemovedMeanwhile_isNotBroughtBack() {
    answerFirstList();
    m_Store.answerWatch(unexpected(make_error_code(Errc::StaleStore)));
    RelayedChange Removed{{"a", "", {0, 20}, true}, false, false};
    m_Follower->onRelayedChanges({{0, 10}, {0, 20}, 0ms, {Removed}});
    m_Store.answerList(
        KeyPage{{{"a", "1", {0, 5}, false}, {"b", "2", {0, 6}, false}},
                false,
                {0, 15}});
    CPPUNIT_ASSERT(!m_Observer.Values.contains("a"));
  }

  void relay_messageOfBeforeSuspension_confirmsNothing() {
    followRelay();
    m_Follower->refresh();
    const auto Resumed = std::chrono::steady_clock::now();
    m_Follower->onRelayedChanges({{0, 12}, {0, 12}, 0ms, {}});
    CPPUNIT_ASSERT(m_Observer.ConfirmedAt < Resumed);
  }

  void peers_storeReachable_areNotAsked() {
    followRelay();
    auto Omitted = change("a", "", 17);
    Omitted.ValueOmitted = true;
    m_Follower->onRelayedChanges({{0, 10}, {0, 18}, 0ms, {Omitted}});
    m_Store.answerWatch(KeyChanges{{{"a", "v", {0, 17}, false}}, {0, 18}});
    runTimers();
    CPPUNIT_ASSERT(m_Peers.Queries.empty());
  }

  // Regression: a daemon that the store rejected never got a value that the
  // relay had left out, though every other daemon had it.
  void peers_valueOmittedAndStoreRejects_giveValue() {
    followRelay();
    auto Omitted = change("a", "", 17);
    Omitted.ValueOmitted = true;
    m_Follower->onRelayedChanges({{0, 10}, {0, 18}, 0ms, {Omitted}});
    m_Store.answerWatch(unexpected(make_error_code(Errc::LimitExceeded)));
    m_Loop->restart();
    m_Loop->run_for(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(!m_Peers.Queries.empty());
    CPPUNIT_ASSERT(m_Peers.Queries[0] == (StoreRevision{0, 12}));
    const auto Before = std::chrono::steady_clock::now();
    m_Peers.LastDone(
        RelayedChanges{{0, 12}, {0, 18}, 100ms, {change("a", "v", 17)}});
    CPPUNIT_ASSERT_EQUAL(std::string("v"), m_Observer.Values["a"]);
    CPPUNIT_ASSERT(m_Observer.ConfirmedAt <= Before - 100ms);
  }

  /// Changes are missing, so nothing is confirmed, and later ones are read.
  void peers_answerWithGap_givesValuesOnly() {
    beTurnedAway();
    m_Loop->restart();
    m_Loop->run_for(std::chrono::milliseconds(700));
    CPPUNIT_ASSERT(!m_Peers.Queries.empty());
    const auto Confirmed = m_Observer.ConfirmedAt;
    m_Peers.LastDone(
        RelayedChanges{{0, 15}, {0, 18}, 0ms, {change("a", "v", 17)}});
    CPPUNIT_ASSERT_EQUAL(std::string("v"), m_Observer.Values["a"]);
    CPPUNIT_ASSERT(m_Observer.ConfirmedAt == Confirmed);
    m_Follower->onRelayedChanges(
        {{0, 12}, {0, 16}, 0ms, {change("b", "w", 16)}});
    CPPUNIT_ASSERT_EQUAL(std::string("w"), m_Observer.Values["b"]);
  }

  void peers_ownChanges_areTold() {
    CPPUNIT_ASSERT(!m_Follower->answer({0, 0}));
    answerFirstList();
    m_Store.answerWatch(KeyChanges{{{"a", "heartbeat", {0, 11}, false},
                                    {"b", "new", {0, 12}, false},
                                    {"a", "", {0, 13}, true}},
                                   {0, 14}});
    const auto Told = m_Follower->answer({0, 10});
    CPPUNIT_ASSERT(Told.has_value());
    CPPUNIT_ASSERT(Told->From == (StoreRevision{0, 10}));
    CPPUNIT_ASSERT(Told->To == (StoreRevision{0, 14}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Told->Changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("heartbeat"),
                         Told->Changes[0].Change.Value);
    CPPUNIT_ASSERT(Told->Changes[2].Change.Removed);
    // What was removed before the first listing is not known.
    CPPUNIT_ASSERT(m_Follower->answer({0, 4})->From == (StoreRevision{0, 10}));
  }

  void relayMessage_encodedAndDecoded_isUnchanged() {
    const RelayedChanges Message{
        {3, 10},
        {3, 14},
        250ms,
        {{{"a", std::string("v\0\xff", 3), {3, 11}, false}, false, false},
         {{"b", "", {3, 12}, true}, false, true},
         {{"c", "", {3, 13}, false}, true, false}}};
    auto Bytes = encodeRelayedChanges(Message);
    const auto Decoded = decodeRelayedChanges(Bytes);
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT(Decoded->From == Message.From && Decoded->To == Message.To);
    CPPUNIT_ASSERT(Decoded->Age == Message.Age);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Decoded->Changes.size());
    CPPUNIT_ASSERT_EQUAL(Message.Changes[0].Change.Value,
                         Decoded->Changes[0].Change.Value);
    CPPUNIT_ASSERT(Decoded->Changes[1].AfterOutage);
    CPPUNIT_ASSERT(Decoded->Changes[1].Change.Removed);
    CPPUNIT_ASSERT(Decoded->Changes[2].ValueOmitted);
  }

  void relayMessage_withSender_tellsProcess() {
    RelayedChanges Message{{1, 1}, {1, 2}, 0ms, {change("a", "v", 2)}};
    Message.Vm = "vm-7";
    Message.Incarnation = 41;
    const auto Decoded = decodeRelayedChanges(encodeRelayedChanges(Message));
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("vm-7"), Decoded->Vm);
    CPPUNIT_ASSERT_EQUAL(IncarnationId(41), Decoded->Incarnation);
  }

  void relayMessage_withGaps_tellsThem() {
    RelayedChanges Message{{1, 1}, {1, 9}, 0ms, {change("a", "v", 2)}};
    Message.Gaps = {{{1, 2}, {1, 5}}, {{1, 6}, {1, 9}}};
    const auto Decoded = decodeRelayedChanges(encodeRelayedChanges(Message));
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Decoded->Gaps.size());
    CPPUNIT_ASSERT(Decoded->Gaps[1].From == (StoreRevision{1, 6}));
    CPPUNIT_ASSERT(Decoded->Gaps[1].To == (StoreRevision{1, 9}));
    CPPUNIT_ASSERT(Decoded->Gaps[0].contains({1, 3}));
    CPPUNIT_ASSERT(!Decoded->Gaps[0].contains({1, 2}));
    CPPUNIT_ASSERT(!Decoded->Gaps[0].contains({1, 5}));
  }

  /// Daemons of the version before send messages of six elements.
  void relayMessage_withoutSender_isAccepted() {
    const char Bytes[] = "\x96\x04\x01\x01\x02\x00\x90";
    const auto Decoded =
        decodeRelayedChanges(std::string_view(Bytes, sizeof(Bytes) - 1));
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT(Decoded->To == (StoreRevision{1, 2}));
    CPPUNIT_ASSERT(Decoded->Vm.empty());
  }

  void relayMessage_invalidBytes_areRejected() {
    auto Bytes =
        encodeRelayedChanges({{1, 1}, {1, 2}, 0ms, {change("a", "v", 2)}});
    CPPUNIT_ASSERT(!decodeRelayedChanges(""));
    CPPUNIT_ASSERT(!decodeRelayedChanges("\x96\x04"));
    CPPUNIT_ASSERT(!decodeRelayedChanges(
        std::string_view(Bytes).substr(0, Bytes.size() / 2)));
    Bytes[1] = 1;
    CPPUNIT_ASSERT(!decodeRelayedChanges(Bytes));
  }

private:
  static RelayedChange change(const char *Key, const char *Value,
                              std::int64_t Revision) {
    return {{Key, Value, {0, Revision}, false}, false, false};
  }

  static RelayedChange removal(const char *Key, std::int64_t Revision) {
    return {{Key, "", {0, Revision}, true}, false, false};
  }

  /// The store has dropped its history; nothing has changed up to \p Revision.
  void listAgain(std::int64_t Revision) {
    m_Store.answerWatch(unexpected(make_error_code(Errc::StaleStore)));
    m_Store.answerList(
        KeyPage{{{"a", "1", {0, 5}, false}, {"b", "2", {0, 6}, false}},
                false,
                {0, Revision}});
  }

  /// Runs until another daemon is asked.
  void awaitQuery() {
    const auto Queries = m_Peers.Queries.size();
    for (int I = 0; I < 3 && m_Peers.Queries.size() == Queries; ++I)
      runTimers();
    CPPUNIT_ASSERT(m_Peers.Queries.size() > Queries);
  }

  /// The follower has listed, and a relay has told it the store at revision 12.
  void followRelay() {
    answerFirstList();
    m_Follower->onRelayedChanges({{0, 8}, {0, 12}, 0ms, {}});
    m_Store.answerWatch(KeyChanges{{}, {0, 12}});
  }

  /// The relay is silent, and the store rejects the watch that replaces it.
  void beTurnedAway() {
    followRelay();
    runTimers();
    runTimers();
    m_Store.answerWatch(unexpected(make_error_code(Errc::LimitExceeded)));
  }

  void answerFirstList() {
    m_Store.answerList(
        KeyPage{{{"a", "1", {0, 5}, false}, {"b", "2", {0, 6}, false}},
                false,
                {0, 10}});
    runTimers(); // The first watch starts.
  }
  /// Runs the loop for a second; all delays of the follower are shorter.
  void runTimers() {
    m_Loop->restart();
    m_Loop->run_for(std::chrono::seconds(1));
  }

  std::optional<asio::io_context> m_Loop;
  SystemClock m_Time;
  std::optional<LoopExecutor> m_Executor;
  ScriptedStore m_Store;
  ScriptedPeers m_Peers;
  RecordingObserver m_Observer;
  RecordingRelay m_Relay;
  std::optional<EventLog> m_Log;
  std::optional<KeyFollower> m_Follower;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyFollowerTest);

} // namespace mangodeck
