#include "mangodeck/process/gossipentry.h"
#include "mangodeck/process/grouphost.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

namespace {

class InlineExecutor : public Executor {
public:
  void post(std::function<void()> Work) override { Work(); }
  void postAfter(Duration, std::function<void()>) override {}
};

class RecordingSender : public PeerSender {
public:
  bool send(const VmName &, PeerMessage Message) override {
    Sent.push_back(std::move(Message));
    return true;
  }
  std::vector<PeerMessage> Sent;
};

class NullWatcher : public TargetWatcher {
public:
  void watch(const TargetName &, const std::string &) override {}
  void unwatch(const TargetName &) override {}
};

class RecordingExclusionPublisher : public ExclusionPublisher {
public:
  void publishLeaving(const TargetName &, Incarnation) override {}
  void publishQuarantine(std::uint64_t Fingerprint) override {
    Quarantined.push_back(Fingerprint);
  }
  std::vector<std::uint64_t> Quarantined;
};

class NullEventSink : public EventSink {
public:
  void record(Event) override {}
};

class DefaultGroupFactory : public DispatchGroupFactory {
public:
  std::unique_ptr<DispatchGroup> make(const GroupId &Id) override {
    return makeDispatchGroup(Id, 1, 1);
  }
};

} // namespace

class GroupHostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupHostTest);
  CPPUNIT_TEST(crashSuspect_crashesInTwoGroups_isQuarantined);
  CPPUNIT_TEST(groupSummary_encodedAndDecoded_keepsDemandAndSuspects);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t PoisonFingerprint = 77;
  InlineExecutor m_Loop;
  ManualClock m_Time;
  RecordingSender m_Sender;
  NullWatcher m_Watcher;
  DefaultGroupFactory m_Factory;
  RecordingExclusionPublisher m_Publisher;
  NullEventSink m_Events;
  GroupHost m_Host{m_Loop,    m_Time,      m_Sender, m_Watcher,
                   m_Factory, m_Publisher, m_Events};

  static GroupId groupIn(std::string_view Domain) {
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
    Request.Fingerprint = PoisonFingerprint;
    return Request;
  }

  /// Submits a poison request to \p Group and reports that its target crashed.
  void submitAndCrash(const GroupId &Group, std::uint64_t Number) {
    m_Host.onMessage(VmName("vm"), SubmitTicket{Group, makeTicket(Number)});
    m_Host.tick();
    FinishReport Report;
    Report.Request = {Number, Number};
    Report.Target = TargetName("t-" + Group.Domain.Text);
    Report.Kind = FinishKind::Crashed;
    m_Host.onMessage(VmName("vm"), ReportFinish{Group, Report});
  }

public:
  void crashSuspect_crashesInTwoGroups_isQuarantined() {
    m_Host.configure(makeConfig());
    const GroupId Groups[] = {groupIn("a"), groupIn("b")};
    m_Host.setOwned(Groups);
    submitAndCrash(groupIn("a"), 1);
    for (const auto &Summary : m_Host.summaries())
      m_Host.onGroupSummary(Summary, 5ms);
    m_Time.advance(1s);
    submitAndCrash(groupIn("b"), 2);
    m_Host.tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Publisher.Quarantined.size());
    CPPUNIT_ASSERT_EQUAL(PoisonFingerprint, m_Publisher.Quarantined[0]);
  }

  void groupSummary_encodedAndDecoded_keepsDemandAndSuspects() {
    GroupSummary Summary;
    Summary.Group = groupIn("a");
    Summary.Demand.push_back({CustomerName("c"), 2.5});
    Summary.Suspects.push_back({PoisonFingerprint, 9});
    const auto Read =
        decodeValue(EntryKind::GroupSummary, encodeValue(Summary));
    CPPUNIT_ASSERT(Read.has_value());
    const auto &Copy = std::get<GroupSummary>(*Read);
    CPPUNIT_ASSERT(Copy.Demand.at(0).Customer == CustomerName("c"));
    CPPUNIT_ASSERT_EQUAL(2.5, Copy.Demand.at(0).RequestsPerSecond);
    CPPUNIT_ASSERT_EQUAL(PoisonFingerprint, Copy.Suspects.at(0).Fingerprint);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Copy.Suspects.at(0).CrashId);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupHostTest);

} // namespace mangodeck
