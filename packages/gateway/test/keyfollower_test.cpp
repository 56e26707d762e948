#include "mangodeck/gateway/keyfollower.h"

#include <asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <optional>
#include <unistd.h>

namespace mangodeck {

namespace {

/// A store whose answers the test gives.
struct ScriptedFeed : KeyValueStore {
  void list(std::string_view After, Callback<KeyPage> Done) override {
    Lists.push_back(std::string(After));
    ListDone = std::move(Done);
  }
  void watch(std::int64_t Revision, Duration,
             Callback<KeyChanges> Done) override {
    Watches.push_back(Revision);
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
  std::vector<std::int64_t> Watches;
  Callback<KeyPage> ListDone;
  Callback<KeyChanges> WatchDone;
  int Reconnects = 0;
};

struct RecordingObserver : KeyObserver {
  void onKey(const KeyChange &Change) override {
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
  CPPUNIT_TEST(follower_pages_areReadToTheEndThenWatchedFromTheFirst);
  CPPUNIT_TEST(follower_historyGone_listsAgainAndDropsWhatIsMissing);
  CPPUNIT_TEST(follower_olderRevision_isIgnored);
  CPPUNIT_TEST(follower_watchFails_listsAgain);
  CPPUNIT_TEST(follower_removedRightAfterOutage_isToldSo);
  CPPUNIT_TEST(follower_refresh_ignoresAnswersToOlderCalls);
  CPPUNIT_TEST(watchPause_manyDaemons_isLongerWithinBounds);
  CPPUNIT_TEST_SUITE_END();

public:
  void watchPause_manyDaemons_isLongerWithinBounds() {
    CPPUNIT_ASSERT(minWatchInterval(1) == 250ms);
    CPPUNIT_ASSERT(minWatchInterval(8) == 250ms);
    CPPUNIT_ASSERT(minWatchInterval(48) == 500ms);
    CPPUNIT_ASSERT(minWatchInterval(360) == 750ms);
  }

  void setUp() override {
    m_Loop.emplace();
    m_Feed = ScriptedFeed();
    m_Seen = RecordingObserver();
    m_Log.emplace(-1, "vm", "1", 1000);
    m_Follower.emplace(m_Loop->get_executor(), m_Feed, m_Seen, *m_Log);
    m_Follower->start();
  }
  void tearDown() override {
    m_Follower.reset();
    m_Loop.reset();
  }

  void follower_pages_areReadToTheEndThenWatchedFromTheFirst() {
    m_Feed.answerList(KeyPage{{{"a", "1", 5, false}}, true, 10});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), m_Feed.Lists.back());
    m_Feed.answerList(KeyPage{{{"b", "2", 6, false}}, false, 12});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Seen.Values.size());
    CPPUNIT_ASSERT_EQUAL(1, m_Seen.Listings);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(10), m_Feed.Watches.back());
  }

  void follower_historyGone_listsAgainAndDropsWhatIsMissing() {
    listed();
    m_Feed.answerWatch(unexpected(make_error_code(Errc::StaleStore)));
    m_Feed.answerList(KeyPage{{{"b", "2", 6, false}}, false, 20});
    CPPUNIT_ASSERT(!m_Seen.Values.contains("a"));
    CPPUNIT_ASSERT(m_Seen.Values.contains("b"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(20), m_Feed.Watches.back());
  }

  void follower_olderRevision_isIgnored() {
    listed();
    m_Feed.answerWatch(KeyChanges{{{"a", "new", 11, false}}, 11});
    turn();
    m_Feed.answerWatch(KeyChanges{{{"a", "old", 9, false}}, 12});
    CPPUNIT_ASSERT_EQUAL(std::string("new"), m_Seen.Values["a"]);
  }

  void follower_watchFails_listsAgain() {
    listed();
    const auto Before = m_Feed.Lists.size();
    m_Feed.answerWatch(unexpected(make_error_code(Errc::Timeout)));
    CPPUNIT_ASSERT(!m_Follower->isStoreReachable());
    turn();
    CPPUNIT_ASSERT_EQUAL(Before + 1, m_Feed.Lists.size());
    m_Feed.answerList(KeyPage{{{"a", "1", 5, false}}, false, 12});
    CPPUNIT_ASSERT(m_Follower->isStoreReachable());
  }

  void follower_removedRightAfterOutage_isToldSo() {
    listed();
    m_Feed.answerWatch(unexpected(make_error_code(Errc::Timeout)));
    turn();
    m_Feed.answerList(KeyPage{{}, false, 12});
    CPPUNIT_ASSERT(m_Seen.Values.empty());
    CPPUNIT_ASSERT(m_Seen.LastAfterOutage);
  }

  void follower_refresh_ignoresAnswersToOlderCalls() {
    listed();
    auto Stale = std::move(m_Feed.WatchDone);
    m_Follower->refresh();
    CPPUNIT_ASSERT_EQUAL(1, m_Feed.Reconnects);
    Stale(KeyChanges{{{"a", "stale", 50, false}}, 50});
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_Seen.Values["a"]);
  }

private:
  void listed() {
    m_Feed.answerList(
        KeyPage{{{"a", "1", 5, false}, {"b", "2", 6, false}}, false, 10});
  }
  /// Runs timers; the follower's delays are below a second.
  void turn() {
    m_Loop->restart();
    m_Loop->run_for(std::chrono::seconds(1));
  }

  std::optional<asio::io_context> m_Loop;
  ScriptedFeed m_Feed;
  RecordingObserver m_Seen;
  std::optional<EventLog> m_Log;
  std::optional<KeyFollower> m_Follower;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyFollowerTest);

} // namespace mangodeck
