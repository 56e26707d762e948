#include "mangodeck/process/gossipentry.h"
#include "mangodeck/process/grouphost.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

namespace {

class DirectExecutor : public Executor {
public:
  void post(std::function<void()> Work) override { Work(); }
  void postAfter(Duration, std::function<void()>) override {}
};

class RecordingRouter : public PeerSender {
public:
  bool send(const VmName &, PeerMessage Message) override {
    Sent.push_back(std::move(Message));
    return true;
  }
  std::vector<PeerMessage> Sent;
};

class NoWatcher : public TargetWatcher {
public:
  void watch(const TargetName &, const std::string &) override {}
  void unwatch(const TargetName &) override {}
};

class RecordingMarks : public ExclusionPublisher {
public:
  void publishLeaving(const TargetName &, Incarnation) override {}
  void publishQuarantine(std::uint64_t Fingerprint) override {
    Quarantined.push_back(Fingerprint);
  }
  std::vector<std::uint64_t> Quarantined;
};

class NoEvents : public EventSink {
public:
  void record(Event) override {}
};

class StandardFactory : public DispatchGroupFactory {
public:
  std::unique_ptr<DispatchGroup> make(const GroupId &Id) override {
    return makeDispatchGroup(Id, 1, 1);
  }
};

} // namespace

class GroupHostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupHostTest);
  CPPUNIT_TEST(crashSuspect_ofAnotherGroupCrashesAgain_isQuarantined);
  CPPUNIT_TEST(digest_encodedAndDecoded_keepsDemandAndSuspects);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t Poison = 77;
  DirectExecutor m_Loop;
  ManualClock m_Time;
  RecordingRouter m_Router;
  NoWatcher m_Watcher;
  StandardFactory m_Factory;
  RecordingMarks m_Marks;
  NoEvents m_Events;
  GroupHost m_Host{m_Loop,    m_Time,  m_Router, m_Watcher,
                   m_Factory, m_Marks, m_Events};

  static GroupId group(std::string_view Domain) {
    return {ServiceName("s"), FailureDomain(Domain), 0};
  }

  static SnapshotPtr makeConfig() {
    auto Config = std::make_shared<Snapshot>();
    Config->Revision = 1;
    Config->Tiers.push_back({TierName("t"), 0});
    Customer Caller;
    Caller.Name = CustomerName("c");
    Config->Customers.push_back(Caller);
    Service Model;
    Model.Name = ServiceName("s");
    Config->Services.push_back(Model);
    for (const char *Domain : {"a", "b"}) {
      Target Item;
      Item.Name = TargetName(std::string("t-") + Domain);
      Item.Service = Model.Name;
      Item.Domain = FailureDomain(Domain);
      Config->Targets.push_back(Item);
    }
    Config->index();
    return Config;
  }

  Ticket makeTicket(std::uint64_t Number) {
    Ticket Request;
    Request.Id = {Number, Number};
    Request.Entry = VmName("vm");
    Request.Customer = CustomerName("c");
    Request.Service = ServiceName("s");
    Request.Arrival = m_Time.now();
    Request.Deadline = m_Time.now() + 60s;
    Request.PromptTokens = 10;
    Request.OutputTokens = 10;
    Request.Fingerprint = Poison;
    return Request;
  }

  /// Runs the poison request in \p Group; the target that gets it crashes.
  void crashIn(const GroupId &Group, std::uint64_t Number) {
    m_Host.onMessage(VmName("vm"), SubmitTicket{Group, makeTicket(Number)});
    m_Host.tick();
    FinishReport Report;
    Report.Request = {Number, Number};
    Report.Target = TargetName("t-" + Group.Domain.Text);
    Report.Kind = FinishKind::Crashed;
    m_Host.onMessage(VmName("vm"), ReportFinish{Group, Report});
  }

public:
  void crashSuspect_ofAnotherGroupCrashesAgain_isQuarantined() {
    m_Host.configure(makeConfig());
    const GroupId Groups[] = {group("a"), group("b")};
    m_Host.setOwned(Groups);
    crashIn(group("a"), 1);
    for (const auto &Digest : m_Host.summaries())
      m_Host.onGroupSummary(Digest, 5ms);
    m_Time.advance(1s);
    crashIn(group("b"), 2);
    m_Host.tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Marks.Quarantined.size());
    CPPUNIT_ASSERT_EQUAL(Poison, m_Marks.Quarantined[0]);
  }

  void digest_encodedAndDecoded_keepsDemandAndSuspects() {
    GroupSummary Digest;
    Digest.Group = group("a");
    Digest.Demand.push_back({CustomerName("c"), 2.5});
    Digest.Suspects.push_back({Poison, 9});
    const auto Read = decodeValue(EntryKind::GroupSummary, encodeValue(Digest));
    CPPUNIT_ASSERT(Read.has_value());
    const auto &Copy = std::get<GroupSummary>(*Read);
    CPPUNIT_ASSERT(Copy.Demand.at(0).Customer == CustomerName("c"));
    CPPUNIT_ASSERT_EQUAL(2.5, Copy.Demand.at(0).RequestsPerSecond);
    CPPUNIT_ASSERT_EQUAL(Poison, Copy.Suspects.at(0).Fingerprint);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Copy.Suspects.at(0).CrashId);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupHostTest);

} // namespace mangodeck
