#include "mangodeck/connection/etcdstore.h"

#include "curlloop.h"
#include "etcdmessages.h"

#include "mangodeck/testing/childprocess.h"
#include "mangodeck/version/blockingstore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <future>
#include <mutex>

namespace mangodeck {

namespace {

constexpr auto Patience = std::chrono::seconds(20);

/// Waits for the status of one HTTP call.
class StatusWaiter : public HttpCallHandler {
public:
  void onHead(int, std::vector<Header>) override {}
  void onBytes(std::string_view Bytes) override { m_Body += Bytes; }
  void onDone(const HttpCallEnd &) override { m_Promise.set_value(m_Body); }
  std::string wait() { return m_Promise.get_future().get(); }

private:
  std::string m_Body;
  std::promise<std::string> m_Promise;
};

/// Collects what a watch delivers.
class WatchLog {
public:
  std::function<void(Expected<std::vector<StoreEntry>>)> handler() {
    return [this](Expected<std::vector<StoreEntry>> Entries) {
      const std::lock_guard Lock(m_Mutex);
      if (Entries)
        for (auto &Entry : *Entries)
          m_Keys.push_back(Entry.Key);
      else
        ++m_Errors;
      m_Changed.notify_all();
    };
  }
  bool waitForKey(const std::string &Key) {
    std::unique_lock Lock(m_Mutex);
    return m_Changed.wait_for(Lock, Patience, [&] {
      return std::find(m_Keys.begin(), m_Keys.end(), Key) != m_Keys.end();
    });
  }
  bool waitForError() {
    std::unique_lock Lock(m_Mutex);
    return m_Changed.wait_for(Lock, Patience, [&] { return m_Errors > 0; });
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::vector<std::string> m_Keys;
  int m_Errors = 0;
};

} // namespace

class EtcdStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EtcdStoreTest);
  CPPUNIT_TEST(base64_anyBytes_readBack);
  CPPUNIT_TEST(answers_malformed_areRefused);
  CPPUNIT_TEST(key_writtenAndRead_isEqual);
  CPPUNIT_TEST(write_otherVersion_returnsCurrent);
  CPPUNIT_TEST(ranges_limitedAndReversed_areInOrder);
  CPPUNIT_TEST(write_answerLost_failsAndTookEffect);
  CPPUNIT_TEST(lease_revoked_isLostAndTakesItsKeys);
  CPPUNIT_TEST(watch_dropped_opensAgain);
  CPPUNIT_TEST(store_down_backsOffAndRecovers);
  CPPUNIT_TEST(store_slow_callTimesOut);
  CPPUNIT_TEST(store_rateLimited_reportsLimitExceeded);
  CPPUNIT_TEST(calls_aboveLimit_waitOrAreNeverSent);
  CPPUNIT_TEST_SUITE_END();

public:
  void base64_anyBytes_readBack() {
    std::string Bytes;
    for (int I = 0; I < 256; ++I) {
      CPPUNIT_ASSERT(decodeBase64(encodeBase64(Bytes)) == Bytes);
      Bytes += static_cast<char>(I);
    }
    for (const char *Bad : {"abc", "a===", "ab=c", "ab c", "abcd\n", "===="})
      CPPUNIT_ASSERT(!decodeBase64(Bad));
  }

  void answers_malformed_areRefused() {
    for (const char *Bad : {"", "[]", "{\"kvs\":3}", "{\"kvs\":[{}]}",
                            "{\"kvs\":[{\"key\":\"YQ==\",\"value\":7}]}"})
      CPPUNIT_ASSERT(!etcd::parseRange(Bad));
    CPPUNIT_ASSERT(!etcd::parseWrite("{\"succeeded\":true}"));
    CPPUNIT_ASSERT(!etcd::parseWrite("{\"header\":{},\"responses\":[]}"));
    CPPUNIT_ASSERT(!etcd::parseWatch("{\"error\":{}}"));
    CPPUNIT_ASSERT(
        etcd::parseKeepAlive("{\"result\":{\"ID\":\"7\"}}").error() ==
        Errc::LeaseLost);
  }

  void key_writtenAndRead_isEqual() {
    start();
    const std::string Value("a\0b\xff", 4);
    const auto Written = m_Calls->compareAndSwap({"k/1", Value, 0, 0});
    CPPUNIT_ASSERT(Written && Written->Succeeded);
    const auto Read = m_Calls->get("k/1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Read->size());
    CPPUNIT_ASSERT(Read->front().Value == Value);
    CPPUNIT_ASSERT_EQUAL(Written->ModRevision, Read->front().ModRevision);
    CPPUNIT_ASSERT(m_Calls->get("k/2")->empty());
    CPPUNIT_ASSERT(*m_Calls->remove("k/1"));
    CPPUNIT_ASSERT(!*m_Calls->remove("k/1"));
  }

  void write_otherVersion_returnsCurrent() {
    start();
    m_Calls->compareAndSwap({"k", "first", 0, 0});
    const auto Written = m_Calls->compareAndSwap({"k", "second", 0, 0});
    CPPUNIT_ASSERT(Written && !Written->Succeeded);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), Written->Current.at(0).Value);
  }

  void ranges_limitedAndReversed_areInOrder() {
    start();
    for (const char *Key : {"k/1", "k/2", "k/3", "l/4"})
      m_Calls->compareAndSwap({Key, Key, 0, 0});
    const auto Range = m_Calls->range("k/", "k/2", 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Range->size());
    CPPUNIT_ASSERT_EQUAL(std::string("k/2"), Range->front().Key);
    const auto Last = m_Calls->last("k/", 1);
    CPPUNIT_ASSERT_EQUAL(std::string("k/3"), Last->at(0).Key);
  }

  void write_answerLost_failsAndTookEffect() {
    start();
    administer("faults", R"({"lose_writes":1})");
    CPPUNIT_ASSERT(!m_Calls->compareAndSwap({"k", "v", 0, 0}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Calls->get("k")->size());
  }

  void lease_revoked_isLostAndTakesItsKeys() {
    start();
    std::promise<Expected<StoreLease>> Granted;
    m_Store->grantLease(60s, [&](auto Lease) { Granted.set_value(Lease); });
    const auto Lease = Granted.get_future().get();
    CPPUNIT_ASSERT(Lease && Lease->TimeToLive == Duration(60s));
    m_Calls->compareAndSwap({"k", "v", 0, Lease->Id});
    std::promise<bool> Revoked;
    m_Store->revokeLease(Lease->Id,
                         [&](auto Done) { Revoked.set_value(Done && *Done); });
    CPPUNIT_ASSERT(Revoked.get_future().get());
    CPPUNIT_ASSERT(m_Calls->get("k")->empty());
    std::promise<Expected<StoreLease>> Kept;
    m_Store->keepLeaseAlive(Lease->Id,
                            [&](auto Result) { Kept.set_value(Result); });
    CPPUNIT_ASSERT(Kept.get_future().get().error() == Errc::LeaseLost);
  }

  void watch_dropped_opensAgain() {
    start();
    WatchLog Log;
    const auto Watch = m_Store->watch("w/", Log.handler());
    waitForWatches("1");
    m_Calls->compareAndSwap({"w/1", "v", 0, 0});
    CPPUNIT_ASSERT(Log.waitForKey("w/1"));
    administer("drop-watches", "");
    CPPUNIT_ASSERT(Log.waitForError());
    waitForWatches("1");
    m_Calls->compareAndSwap({"w/2", "v", 0, 0});
    CPPUNIT_ASSERT(Log.waitForKey("w/2"));
    CPPUNIT_ASSERT(countOf(StoreCallKind::Watch) >= 2);
  }

  void store_down_backsOffAndRecovers() {
    start();
    administer("faults", R"({"down":true})");
    bool WasLimited = false;
    for (int I = 0; I < 20 && !WasLimited; ++I)
      WasLimited = m_Calls->get("k").error() == Errc::LimitExceeded;
    CPPUNIT_ASSERT(WasLimited);
    CPPUNIT_ASSERT(!m_Store->counts().IsReachable);
    administer("faults", R"({"down":false})");
    const auto Deadline = std::chrono::steady_clock::now() + Patience;
    while (!m_Calls->get("k") && std::chrono::steady_clock::now() < Deadline)
      std::this_thread::sleep_for(10ms);
    CPPUNIT_ASSERT(m_Store->counts().IsReachable);
  }

  void store_slow_callTimesOut() {
    m_Options.CallTimeout = 200ms;
    start();
    administer("faults", R"({"delay_ms":5000})");
    CPPUNIT_ASSERT(m_Calls->get("k").error() == Errc::Timeout);
  }

  void store_rateLimited_reportsLimitExceeded() {
    start();
    administer("faults", R"({"calls_per_second":0.5})");
    CPPUNIT_ASSERT(m_Calls->get("k").error() == Errc::LimitExceeded);
  }

  void calls_aboveLimit_waitOrAreNeverSent() {
    m_Options.CallsPerSecond = 0.001;
    m_Options.CallBurst = 2;
    m_Options.CallTimeout = 300ms;
    start();
    CPPUNIT_ASSERT(m_Calls->get("k"));
    CPPUNIT_ASSERT(m_Calls->get("k"));
    CPPUNIT_ASSERT(m_Calls->get("k").error() == Errc::LimitExceeded);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, countOf(StoreCallKind::Range));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_Store->counts().Limited);
  }

private:
  void start() {
    m_Process = std::make_unique<testing::ChildProcess>(
        std::vector<std::string>{testing::findProgram("standin-store")});
    CPPUNIT_ASSERT(!m_Process->address().empty());
    m_Options.Endpoints = {"http://" + m_Process->address()};
    m_Store = std::make_unique<EtcdStore>(m_Options, m_Random);
    m_Calls = std::make_unique<BlockingStore>(*m_Store);
  }

  std::string administer(const std::string &Action, const std::string &Body) {
    auto Waiter = std::make_shared<StatusWaiter>();
    HttpCall Call;
    Call.Method = "POST";
    Call.Url = "http://" + m_Process->address() + "/admin/" + Action;
    Call.Body = Body;
    Call.TotalTimeout = Patience;
    m_Loop.post([&] { m_Loop.start(std::move(Call), Waiter); });
    return Waiter->wait();
  }

  void waitForWatches(const std::string &Count) {
    const auto Deadline = std::chrono::steady_clock::now() + Patience;
    std::string Counts;
    while (std::chrono::steady_clock::now() < Deadline) {
      Counts = administer("counts", "");
      if (Counts.find("\"open_watches\":" + Count) != Counts.npos)
        return;
      std::this_thread::sleep_for(10ms);
    }
    CPPUNIT_FAIL("watches: " + Counts);
  }

  std::uint64_t countOf(StoreCallKind Kind) const {
    return m_Store->counts().Sent[static_cast<std::size_t>(Kind)];
  }

  CurlLoop m_Loop;
  SeededRandom m_Random{3};
  EtcdStoreOptions m_Options;
  std::unique_ptr<testing::ChildProcess> m_Process;
  std::unique_ptr<EtcdStore> m_Store;
  std::unique_ptr<BlockingStore> m_Calls;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdStoreTest);

} // namespace mangodeck
