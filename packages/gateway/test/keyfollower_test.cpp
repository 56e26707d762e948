#include "mangodeck/gateway/keyfollower.h"

#include <asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <optional>
#include <unistd.h>

namespace mangodeck {

namespace {

/// A store whose answers the test supplies.
struct ScriptedStore : KeyValueStore {
  void list(std::string_view After, Callback<KeyPage> Done) override {
    Lists.push_back(std::string(After));
    ListDone = std::move(Done);
  }
  void watch(StoreRevision After, Duration,
             Callback<KeyChanges> Done) override {
    Watches.push_back(After);
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
  Callback<KeyPage> ListDone;
  Callback<KeyChanges> WatchDone;
  int Reconnects = 0;
};

struct RecordingObserver : KeyObserver {
  void onKeyUpdated(const KeyChange &Change) override {
    Values[Change.Key] = Change.Value;
  }
  void onKeyRemoved(const KeyChange &Change, bool AfterOutage) override {
    Values.erase(Change.Key);
    LastAfterOutage = AfterOutage;
  }
  void onListed() override { ++Listings; }

  std::map<std::string, std::string> Values;
  bool LastAfterOutage = false;
  int Listings = 0;
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
  CPPUNIT_TEST(minWatchInterval_manyDaemons_growsWithinBounds);
  CPPUNIT_TEST_SUITE_END();

public:
  void minWatchInterval_manyDaemons_growsWithinBounds() {
    CPPUNIT_ASSERT(minWatchInterval(1) == 250ms);
    CPPUNIT_ASSERT(minWatchInterval(8) == 250ms);
    CPPUNIT_ASSERT(minWatchInterval(48) == 500ms);
    CPPUNIT_ASSERT(minWatchInterval(360) == 750ms);
  }

  void setUp() override {
    m_Loop.emplace();
    m_Store = ScriptedStore();
    m_Observer = RecordingObserver();
    m_Log.emplace(-1, "vm", "1", 1000);
    m_Follower.emplace(m_Loop->get_executor(), m_Store, m_Observer, *m_Log);
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
    CPPUNIT_ASSERT(m_Store.Watches.back() == (StoreRevision{0, 10}));
  }

  void watch_historyDropped_listsAgainAndRemovesMissingKeys() {
    answerFirstList();
    m_Store.answerWatch(unexpected(make_error_code(Errc::StaleStore)));
    m_Store.answerList(KeyPage{{{"b", "2", {0, 6}, false}}, false, {0, 20}});
    CPPUNIT_ASSERT(!m_Observer.Values.contains("a"));
    CPPUNIT_ASSERT(m_Observer.Values.contains("b"));
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

private:
  void answerFirstList() {
    m_Store.answerList(
        KeyPage{{{"a", "1", {0, 5}, false}, {"b", "2", {0, 6}, false}},
                false,
                {0, 10}});
  }
  /// Runs the loop for a second; all delays of the follower are shorter.
  void runTimers() {
    m_Loop->restart();
    m_Loop->run_for(std::chrono::seconds(1));
  }

  std::optional<asio::io_context> m_Loop;
  ScriptedStore m_Store;
  RecordingObserver m_Observer;
  std::optional<EventLog> m_Log;
  std::optional<KeyFollower> m_Follower;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyFollowerTest);

} // namespace mangodeck
