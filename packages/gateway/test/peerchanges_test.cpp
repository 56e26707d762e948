#include "mangodeck/gateway/calllog.h"
#include "mangodeck/gateway/loopexecutor.h"
#include "mangodeck/gateway/peerchanges.h"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace mangodeck {

namespace {

constexpr std::uint16_t Port = 24871;

/// A store with one large value.
struct LargeStore : KeyValueStore {
  void list(std::string_view, Callback<KeyPage> Done) override {
    Done(KeyPage{{{"config", std::string(700'000, 'x'), {3, 5}, false}},
                 false,
                 {3, 10}});
  }
  void watch(StoreRevision, Duration, Callback<KeyChanges>) override {}
  void grantLease(Duration, Callback<KeyLease>) override {}
  void keepLease(std::int64_t, Callback<KeyLease>) override {}
  void put(std::string_view, std::string_view, std::int64_t,
           Callback<bool>) override {}
  void reconnect() override {}
};

struct NoPeers : PeerChangeReader {
  void query(const ChangeQuery &, Duration, Callback<RelayedChanges>) override {
  }
};

struct IgnoringObserver : KeyObserver {
  bool onKeyUpdated(const KeyChange &) override { return true; }
  void onKeyRemoved(const KeyChange &, bool) override {}
  void onListed() override {}
  void onConfirmed(TimePoint) override {}
};

struct NoRelay : ChangeRelay {
  bool isRelaying() const override { return false; }
  void stamp(RelayedChanges &Message) const override { Message.Vm = "vm-9"; }
  void sendToDomain(std::string_view) override {}
  void sendChanges(const PeerEndpoint &, std::string_view) override {}
};

} // namespace

/// Daemons ask each other for changes of the store over real connections.
class PeerChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerChangesTest);
  CPPUNIT_TEST(query_largeValue_isAnswered);
  CPPUNIT_TEST(query_peerWithoutListing_fails);
  CPPUNIT_TEST(query_silentPeer_timesOut);
  CPPUNIT_TEST(query_noOtherDaemon_fails);
  CPPUNIT_TEST(query_severalDomains_alternates);
  CPPUNIT_TEST(server_unfinishedCalls_areBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Follower.emplace(m_Time, m_Executor, m_Store, m_NoPeers, m_Observer,
                       m_Relay, m_Log, 3s);
    m_Server.emplace(m_Loop.get_executor(), *m_Follower, m_Metrics);
    CPPUNIT_ASSERT(!m_Server->listen("127.0.0.1", Port));
    m_Peers = {{"127.0.0.1", Port, FailureDomain("b")}};
    m_Client.emplace(
        m_Loop.get_executor(),
        PeerEndpoint{"127.0.0.1", Port + 2, FailureDomain("a")},
        [this] { return m_Peers; }, m_Metrics, m_Calls, m_Random);
  }
  void tearDown() override {
    m_Client.reset();
    m_Server.reset();
    m_Follower.reset();
  }

  void query_largeValue_isAnswered() {
    m_Follower->start();
    const auto Answer = query({3, 4});
    CPPUNIT_ASSERT(Answer.has_value());
    CPPUNIT_ASSERT(Answer->To == (StoreRevision{3, 10}));
    CPPUNIT_ASSERT_EQUAL(std::string("vm-9"), Answer->Vm);
    CPPUNIT_ASSERT_EQUAL(std::size_t(700'000),
                         Answer->Changes.at(0).Change.Value.size());
  }

  void query_peerWithoutListing_fails() {
    CPPUNIT_ASSERT(!query({3, 4}).has_value());
  }

  /// The port is bound, and nothing accepts connections.
  void query_silentPeer_timesOut() {
    asio::ip::tcp::acceptor Silent(m_Loop,
                                   {asio::ip::make_address("127.0.0.1"), 0});
    m_Peers = {
        {"127.0.0.1", Silent.local_endpoint().port(), FailureDomain("b")}};
    const auto Start = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(query({3, 4}).error() == make_error_code(Errc::Timeout));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Start >= 200ms);
  }

  void query_noOtherDaemon_fails() {
    m_Peers.clear();
    CPPUNIT_ASSERT(!query({3, 4}).has_value());
  }

  void query_severalDomains_alternates() {
    // Nothing listens at the address of the daemon of the own domain.
    m_Peers.push_back({"127.0.0.1", Port + 1, FailureDomain("a")});
    m_Follower->start();
    CPPUNIT_ASSERT(!query({3, 4}).has_value());
    CPPUNIT_ASSERT(query({3, 4}).has_value());
    CPPUNIT_ASSERT(!query({3, 4}).has_value());
  }

  /// Other connections are refused at once instead of taking memory.
  void server_unfinishedCalls_areBounded() {
    m_Follower->start();
    std::vector<asio::ip::tcp::socket> Open;
    for (int I = 0; I < 40; ++I) {
      Open.emplace_back(m_Loop);
      Open.back().connect({asio::ip::make_address("127.0.0.1"), Port});
    }
    run(100ms);
    CPPUNIT_ASSERT(!query({3, 4}).has_value());
    // A connection that sends nothing is closed after 2 s.
    run(2200ms);
    CPPUNIT_ASSERT(query({3, 4}).has_value());
  }

private:
  Expected<RelayedChanges> query(StoreRevision After) {
    std::optional<Expected<RelayedChanges>> Result;
    m_Client->query({After}, 250ms, [&](Expected<RelayedChanges> Answer) {
      Result = std::move(Answer);
    });
    for (int I = 0; I < 100 && !Result; ++I)
      run(20ms);
    CPPUNIT_ASSERT(Result.has_value());
    return *Result;
  }

  void run(Duration Span) {
    m_Loop.restart();
    m_Loop.run_for(Span);
  }

  asio::io_context m_Loop;
  LoopExecutor m_Executor{m_Loop.get_executor()};
  SystemClock m_Time;
  LargeStore m_Store;
  NoPeers m_NoPeers;
  IgnoringObserver m_Observer;
  NoRelay m_Relay;
  EventLog m_Log{-1, "vm", "1", 1000};
  GatewayMetrics m_Metrics;
  CallLog m_Calls{m_Log, m_Metrics, "peer"};
  SeededRandom m_Random{1};
  std::vector<PeerEndpoint> m_Peers;
  std::optional<KeyFollower> m_Follower;
  std::optional<PeerChangeServer> m_Server;
  std::optional<PeerChangeClient> m_Client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerChangesTest);

} // namespace mangodeck
