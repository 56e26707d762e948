#include "mangodeck/process/entry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

namespace {

class ImmediateExecutor : public Executor {
public:
  void post(std::function<void()> Work) override { Work(); }
  void postAfter(Duration, std::function<void()>) override {}
};

class AcceptingPeerSender : public PeerSender {
public:
  bool send(const VmName &, PeerMessage) override { return true; }
};

class NullTargetClient : public TargetClient {
public:
  void dispatch(TargetRequest, std::shared_ptr<TargetAnswer>) override {}
  void cancel(const RequestId &) override {}
};

class NullClaimClient : public ClaimClient {
public:
  void claim(const ClaimKey &, std::uint64_t, const RequestId &,
             std::function<void(ClaimReply)>) override {}
  void complete(const ClaimKey &, const RequestId &, StoredAnswer) override {}
  void release(const ClaimKey &, const RequestId &) override {}
};

class NullObserver : public EntryObserver, public EventSink {
public:
  void onAccepted(const Ticket &) override {}
  void onDispatched(const Ticket &) override {}
  void onGrantReturned(ReturnReason) override {}
  void onStreamResumed() override {}
  void onCallerHungUp() override {}
  void onEnded(const RequestSummary &) override {}
  void record(Event) override {}
};

/// Records the status of the answer; 0 until there is one.
class RecordingExchange : public CallerExchange {
public:
  explicit RecordingExchange(CallerRequest Request)
      : m_Request(std::move(Request)) {}
  const CallerRequest &request() const override { return m_Request; }
  void respond(int Code, std::span<const Header>, std::string) override {
    Status = Code;
  }
  void begin(int, std::span<const Header>) override {}
  void write(std::string) override {}
  void finish() override {}
  void abort() override {}
  std::size_t pendingBytes() const override { return 0; }
  void onHangUp(std::function<void()>) override {}

  int Status = 0;

private:
  CallerRequest m_Request;
};

} // namespace

class EntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryTest);
  CPPUNIT_TEST(memory_fullInAnotherShard_evictsLowerTier);
  CPPUNIT_TEST(memory_fullOfSameTier_refusesNewRequest);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t BodyBytes = 1000;

  ImmediateExecutor m_Loop;
  ManualClock m_Time;
  SeededRandom m_Random{1};
  RcuPointer<Snapshot> m_Config{makeConfig()};
  RcuPointer<OwnerTable> m_Owners{std::make_shared<const OwnerTable>()};
  RcuPointer<DispatchExclusions> m_Exclusions{
      std::make_shared<const DispatchExclusions>()};
  AcceptingPeerSender m_Router;
  NullTargetClient m_Targets;
  NullClaimClient m_Claims;
  NullObserver m_Observer;
  BodyBudget m_Bodies{BodyBytes / 2};
  std::vector<std::unique_ptr<EntryShard>> m_Shards;
  std::unique_ptr<Entry> m_Entry;

  static SnapshotPtr makeConfig() {
    auto Config = std::make_shared<Snapshot>();
    Config->Revision = 1;
    Config->Tiers = {{TierName("high"), 0}, {TierName("low"), 1}};
    Customer Caller;
    Caller.Name = CustomerName("c");
    Caller.KeyHashes = {hashBearerKey("key")};
    Config->Customers.push_back(Caller);
    Service Plain;
    Plain.Name = ServiceName("s");
    Plain.Kind = ServiceKind::Plain;
    Config->Services.push_back(Plain);
    Config->index();
    return Config;
  }

  std::shared_ptr<RecordingExchange> send(const std::string &Tier) {
    CallerRequest Request{"POST",
                          "/services/s/x",
                          {{"Authorization", "Bearer key"},
                           {"Content-Type", "application/json"},
                           {"X-Mangodeck-Tier", Tier}},
                          std::string(BodyBytes, ' ')};
    auto Exchange = std::make_shared<RecordingExchange>(std::move(Request));
    m_Entry->handle(Exchange);
    return Exchange;
  }

public:
  void setUp() override {
    for (int I = 0; I < 2; ++I)
      m_Shards.push_back(std::make_unique<EntryShard>(EntryShardDependencies{
          VmName("vm"), m_Loop, m_Time, m_Random, m_Config, m_Owners,
          m_Exclusions, m_Router, m_Targets, m_Claims, m_Bodies, m_Observer,
          m_Observer}));
    m_Entry = std::make_unique<Entry>(VmName("vm"), FailureDomain("d"), m_Time,
                                      m_Config, m_Bodies, m_Shards);
  }

  /// Request ids are random and select the shard, so each round may put the two
  /// requests into the same shard or into different ones. The eviction must not
  /// depend on that.
  void memory_fullInAnotherShard_evictsLowerTier() {
    for (int I = 0; I < 20; ++I) {
      resetState();
      const auto Lower = send("low");
      CPPUNIT_ASSERT_EQUAL(0, Lower->Status);
      const auto Higher = send("high");
      CPPUNIT_ASSERT_EQUAL(0, Higher->Status);
      CPPUNIT_ASSERT_EQUAL(503, Lower->Status);
    }
  }

  void memory_fullOfSameTier_refusesNewRequest() {
    const auto First = send("high");
    const auto Second = send("high");
    CPPUNIT_ASSERT_EQUAL(0, First->Status);
    CPPUNIT_ASSERT_EQUAL(503, Second->Status);
  }

private:
  /// Recreates the shards and empties the budget.
  void resetState() {
    m_Entry.reset();
    m_Shards.clear();
    m_Bodies.remove(0, m_Bodies.bytes());
    setUp();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryTest);

} // namespace mangodeck
