#include "mangodeck/gateway/slotbroker.h"

#include "mangodeck/common/random.h"
#include "mangodeck/gateway/enginepace.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <queue>

namespace mangodeck {

class SlotBrokerTest : public CppUnit::TestFixture, public SlotDecisionSink {
  CPPUNIT_TEST_SUITE(SlotBrokerTest);
  CPPUNIT_TEST(message_encodedAndDecoded_isTheSame);
  CPPUNIT_TEST(message_foreignBytes_areNoMessage);
  CPPUNIT_TEST(ask_freeSlot_isGrantedAtOnce);
  CPPUNIT_TEST(ask_repeated_getsSameSlotOnce);
  CPPUNIT_TEST(ask_noSlot_waitsUntilOneIsFree);
  CPPUNIT_TEST(ask_turnTooLate_isRefused);
  CPPUNIT_TEST(ask_targetElsewhere_isNotGranted);
  CPPUNIT_TEST(waiting_higherRankOfOtherDaemon_goesFirst);
  CPPUNIT_TEST(waiting_tooLong_isForgotten);
  CPPUNIT_TEST(grant_withdrawn_freesSlot);
  CPPUNIT_TEST(report_runsOfPredecessor_takeSlots);
  CPPUNIT_TEST(report_withoutRun_endsGrantWhoseNoteWasLost);
  CPPUNIT_TEST(report_olderThanGrant_doesNotEndIt);
  CPPUNIT_TEST(daemon_silent_losesItsSlots);
  CPPUNIT_TEST(loads_ofOtherDomain_areKept);
  CPPUNIT_TEST(failures_ofTwoDaemons_avoidTargetForAll);
  CPPUNIT_TEST(target_onTrial_getsOneRequest);
  CPPUNIT_TEST(pace_ofOneDaemon_isUsedForAll);
  CPPUNIT_TEST(saturation_manyDaemons_slotsAreFilledAndHighRankServed);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Targets = TargetRegistry();
    m_Broker.emplace(FailureDomain("home"), m_Targets, *this);
    m_Verdicts.clear();
    m_Now = TimePoint(std::chrono::hours(1));
  }

  void message_encodedAndDecoded_isTheSame() {
    auto Ask = askOf("vm", 7);
    Ask.Rank = {1, 2};
    Ask.ExcludedTargets = {5, 6};
    Ask.TimeToLatencyTarget = -3ms;
    const auto ReadAsk = decode<SlotRequest>(Ask);
    CPPUNIT_ASSERT_EQUAL(std::string("vm"), ReadAsk.Vm);
    CPPUNIT_ASSERT(ReadAsk.Rank == Ask.Rank);
    CPPUNIT_ASSERT(ReadAsk.ExcludedTargets == Ask.ExcludedTargets);
    CPPUNIT_ASSERT(ReadAsk.TimeToLatencyTarget == Ask.TimeToLatencyTarget);
    CPPUNIT_ASSERT(ReadAsk.TimeToExpiry == Ask.TimeToExpiry);
    CPPUNIT_ASSERT(ReadAsk.Work.IsEngine);
    const auto ReadVerdict = decode<SlotDecision>(
        SlotDecision{7, SlotDecision::Kind::Refused, 9, 20ms});
    CPPUNIT_ASSERT(ReadVerdict.Result == SlotDecision::Kind::Refused);
    CPPUNIT_ASSERT(ReadVerdict.BacklogTime == 20ms);
    SlotUpdate Note = noteOf("vm", 7, SlotUpdate::Kind::Ended, 11);
    Note.Outcome = SlotOutcome::Failure;
    Note.MeanEventGap = 30ms;
    const auto ReadNote = decode<SlotUpdate>(Note);
    CPPUNIT_ASSERT(ReadNote.Change == SlotUpdate::Kind::Ended);
    CPPUNIT_ASSERT(ReadNote.Outcome == SlotOutcome::Failure);
    CPPUNIT_ASSERT(ReadNote.MeanEventGap == 30ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), ReadNote.Target);
  }

  void message_foreignBytes_areNoMessage() {
    CPPUNIT_ASSERT(!decodeSlotMessage(""));
    CPPUNIT_ASSERT(!decodeSlotMessage("hello"));
    PeerReport Report;
    Report.Vm = "a";
    CPPUNIT_ASSERT(!decodeSlotMessage(encodeReport(Report)));
    CPPUNIT_ASSERT(!decodeReport(encodeSlotMessage(askOf("a", 1))));
    auto Bytes = encodeSlotMessage(askOf("a", 1));
    Bytes.resize(Bytes.size() / 2);
    CPPUNIT_ASSERT(!decodeSlotMessage(Bytes));
    const std::string UnknownKind{char(0x95), 2, 7, 99, 0, 0};
    CPPUNIT_ASSERT(!decodeSlotMessage(UnknownKind));
  }

  void ask_freeSlot_isGrantedAtOnce() {
    const auto A = addTarget("a", 2);
    ask("vm", 1);
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Granted);
    CPPUNIT_ASSERT_EQUAL(A->Hash, last().Target);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), A->running());
  }

  void ask_repeated_getsSameSlotOnce() {
    const auto A = addTarget("a", 2);
    ask("vm", 1);
    ask("vm", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Verdicts.size());
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Granted);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), A->running());
  }

  void ask_noSlot_waitsUntilOneIsFree() {
    const auto A = addTarget("a", 1);
    ask("vm", 1);
    ask("vm", 2); // One goes ahead to the engine's own queue.
    ask("vm", 3);
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Queued);
    end("vm", 1, A);
    CPPUNIT_ASSERT_EQUAL(TicketNumber(3), last().Number);
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Granted);
  }

  void ask_turnTooLate_isRefused() {
    addTarget("a", 1);
    ask("vm", 1);
    ask("vm", 2);
    auto Late = askOf("vm", 3);
    Late.RefuseIfLate = true;
    Late.TimeToLatestStart = 1ms;
    m_Broker->requestSlot(Late, m_Now);
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Broker->waitingCount());
  }

  void ask_targetElsewhere_isNotGranted() {
    addTarget("a", 4, "away");
    ask("vm", 1);
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Queued);
  }

  void waiting_higherRankOfOtherDaemon_goesFirst() {
    const auto A = addTarget("a", 1);
    ask("vm", 1);
    ask("vm", 2);
    ask("vm", 3, {1, 2});
    ask("other", 4, {0, 1});
    end("vm", 1, A);
    CPPUNIT_ASSERT_EQUAL(TicketNumber(4), last().Number);
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Granted);
  }

  void waiting_tooLong_isForgotten() {
    const auto A = addTarget("a", 1);
    ask("vm", 1);
    ask("vm", 2);
    ask("vm", 3);
    m_Now += 2s;
    m_Broker->dispatchAllWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Broker->waitingCount());
  }

  void grant_withdrawn_freesSlot() {
    const auto A = addTarget("a", 1);
    ask("vm", 1);
    m_Broker->applyUpdate(noteOf("vm", 1, SlotUpdate::Kind::Withdrawn, 0),
                          m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), A->running());
    CPPUNIT_ASSERT(loads().empty());
  }

  void report_runsOfPredecessor_takeSlots() {
    const auto A = addTarget("a", 1);
    m_Broker->reconcile(reportOf("vm", {{1, A->Hash, 300}}), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), loads().at(A->Hash).Running);
    CPPUNIT_ASSERT_EQUAL(TokenCount(300), loads().at(A->Hash).Prefill);
  }

  void report_withoutRun_endsGrantWhoseNoteWasLost() {
    const auto A = addTarget("a", 1);
    ask("vm", 1);
    m_Now += 300ms;
    m_Broker->reconcile(reportOf("vm", {}), m_Now);
    CPPUNIT_ASSERT(loads().empty());
  }

  void report_olderThanGrant_doesNotEndIt() {
    const auto A = addTarget("a", 1);
    ask("vm", 1);
    m_Now += 20ms;
    m_Broker->reconcile(reportOf("vm", {}), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), loads().at(A->Hash).Running);
  }

  void daemon_silent_losesItsSlots() {
    const auto A = addTarget("a", 1);
    ask("dead", 1);
    ask("alive", 2);
    ask("alive", 3);
    m_Now += 2500ms;
    m_Broker->reconcile(reportOf("alive", {{2, A->Hash, 0}}), m_Now);
    m_Broker->dispatchAllWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), loads().at(A->Hash).Running);
    ask("alive", 4);
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Granted);
  }

  void loads_ofOtherDomain_areKept() {
    const auto A = addTarget("a", 4);
    ask("vm", 1);
    TargetLoads Sum;
    Sum[A->Hash] = {A->Hash, 2, 100};
    m_Broker->addLoads(Sum);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), Sum.at(A->Hash).Running);
    CPPUNIT_ASSERT_EQUAL(TokenCount(700), Sum.at(A->Hash).Prefill);
  }

  void failures_ofTwoDaemons_avoidTargetForAll() {
    const auto A = addTarget("a", 4);
    for (const TicketNumber Number : {1, 2}) {
      const auto Vm = "vm" + std::to_string(Number);
      ask(Vm, Number);
      auto Note = noteOf(Vm, Number, SlotUpdate::Kind::Ended, A->Hash);
      Note.Outcome = SlotOutcome::Failure;
      m_Broker->applyUpdate(Note, m_Now);
    }
    CPPUNIT_ASSERT(!A->isUsable(m_Now));
    ask("vm3", 3);
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Queued);
  }

  void target_onTrial_getsOneRequest() {
    const auto A = addTarget("a", 4);
    A->recordUnreachable(m_Now);
    CPPUNIT_ASSERT(!A->isUsable(m_Now));
    m_Now += 1s;
    ask("vm", 1);
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Granted);
    ask("vm", 2);
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Queued);
    auto Note = noteOf("vm", 1, SlotUpdate::Kind::Ended, A->Hash);
    Note.Outcome = SlotOutcome::Success;
    m_Broker->applyUpdate(Note, m_Now);
    m_Broker->dispatchAllWaiting(m_Now);
    ask("vm", 3);
    CPPUNIT_ASSERT(last().Result == SlotDecision::Kind::Granted);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), A->running());
  }

  void pace_ofOneDaemon_isUsedForAll() {
    const auto Slow = addTarget("slow", 4);
    const auto Fast = addTarget("fast", 4);
    ask("vm", 1);
    auto Note = noteOf("vm", 1, SlotUpdate::Kind::Ended, Slow->Hash);
    Note.MeanEventGap = nominalStepTime(1) * 6 * 4;
    Note.TokensPerEvent = 6;
    m_Broker->applyUpdate(Note, m_Now);
    ask("other", 2);
    CPPUNIT_ASSERT_EQUAL(Fast->Hash, last().Target);
  }

  /// 30 daemons ask for half as much again as ten engines of unlike speed can
  /// do; a third of the requests are of the first rank.
  void saturation_manyDaemons_slotsAreFilledAndHighRankServed() {
    constexpr std::uint32_t Slots = 6;
    constexpr Duration Whole = 600ms;
    SeededRandom Random(11);
    std::vector<TargetPtr> Engines;
    double PerSecond = 0;
    for (int I = 0; I < 10; ++I) {
      Engines.push_back(addTarget("e" + std::to_string(I), Slots));
      Engines.back()->Slowdown = 0.5 + 0.25 * I;
      PerSecond += Slots / (toSeconds(Whole) * Engines.back()->Slowdown);
    }
    struct End {
      TimePoint At;
      std::string Vm;
      TicketNumber Number;
      TargetPtr Target;
      bool operator<(const End &Other) const { return At > Other.At; }
    };
    std::priority_queue<End> Running;
    std::size_t Seen = 0;
    std::map<TierRank, int> Asked, Started;
    std::map<TicketNumber, std::pair<std::string, TierRank>> Asks;
    const auto TakeVerdicts = [&] {
      for (; Seen < m_Verdicts.size(); ++Seen) {
        const auto &Verdict = m_Verdicts[Seen];
        if (Verdict.Result != SlotDecision::Kind::Granted)
          continue;
        const auto &[Vm, Rank] = Asks.at(Verdict.Number);
        ++Started[Rank];
        const auto Target = m_Targets.findByHash(Verdict.Target);
        Running.push({m_Now + fromSeconds(toSeconds(Whole) * Target->Slowdown),
                      Vm, Verdict.Number, Target});
      }
    };
    const auto Begin = m_Now;
    TimePoint NextAsk = m_Now;
    double IdleSlots = 0;
    int Samples = 0;
    for (TicketNumber Number = 1; m_Now < Begin + 20s;) {
      if (!Running.empty() && Running.top().At <= NextAsk) {
        const auto Ended = Running.top();
        Running.pop();
        m_Now = Ended.At;
        end(Ended.Vm, Ended.Number, Ended.Target);
      } else {
        m_Now = NextAsk;
        NextAsk +=
            fromSeconds(-std::log(1 - Random.uniform()) / (1.5 * PerSecond));
        const auto Rank = static_cast<TierRank>(Number % 3 == 0 ? 0 : 1);
        auto Ask = askOf("vm" + std::to_string(Number % 30), Number);
        Ask.Rank = {Rank, Rank};
        Ask.RefuseIfLate = true;
        Asks[Number] = {Ask.Vm, Rank};
        ++Asked[Rank];
        m_Broker->requestSlot(Ask, m_Now);
        ++Number;
      }
      TakeVerdicts();
      for (const auto &Engine : Engines)
        CPPUNIT_ASSERT(Engine->running() <= Slots + 1);
      if (m_Now > Begin + 2s) {
        ++Samples;
        for (const auto &Engine : Engines)
          IdleSlots +=
              Engine->running() < Slots ? Slots - Engine->running() : 0;
      }
    }
    CPPUNIT_ASSERT(IdleSlots / Samples < 0.05 * Slots * 10);
    CPPUNIT_ASSERT(Started[0] >= 0.98 * Asked[0]);
    CPPUNIT_ASSERT(Started[1] > 0.3 * Asked[1]);
  }

  void onSlotDecision(const std::string &,
                      const SlotDecision &Verdict) override {
    m_Verdicts.push_back(Verdict);
  }

private:
  template <typename Kind> static Kind decode(const SlotMessage &Message) {
    const auto Read = decodeSlotMessage(encodeSlotMessage(Message));
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT(std::holds_alternative<Kind>(*Read));
    return std::get<Kind>(*Read);
  }

  TargetPtr addTarget(const std::string &Id, std::uint32_t Slots,
                      const char *Domain = "home") {
    TargetEntry Entry;
    Entry.Id = TargetName(Id);
    Entry.Service = ServiceName("s");
    Entry.Domain = FailureDomain(Domain);
    Entry.Slots = Slots;
    return m_Targets.update(Entry);
  }

  static SlotRequest askOf(const std::string &Vm, TicketNumber Number) {
    SlotRequest Ask;
    Ask.Vm = Vm;
    Ask.Number = Number;
    Ask.Service = ServiceName("s");
    Ask.Work = {true, 600, 100};
    Ask.TimeToLatencyTarget = 400ms;
    Ask.TimeToDeadline = 10s;
    Ask.TimeToLatestStart = 300ms;
    Ask.TimeToExpiry = 400ms;
    Ask.GapTarget = 300ms;
    return Ask;
  }

  void ask(const std::string &Vm, TicketNumber Number, RequestRank Rank = {}) {
    auto Ask = askOf(Vm, Number);
    Ask.Rank = Rank;
    m_Broker->requestSlot(Ask, m_Now);
  }

  static SlotUpdate noteOf(const std::string &Vm, TicketNumber Number,
                           SlotUpdate::Kind What, std::uint64_t Target) {
    SlotUpdate Note;
    Note.Vm = Vm;
    Note.Number = Number;
    Note.Change = What;
    Note.Target = Target;
    return Note;
  }

  void end(const std::string &Vm, TicketNumber Number,
           const TargetPtr &Target) {
    m_Broker->applyUpdate(
        noteOf(Vm, Number, SlotUpdate::Kind::Ended, Target->Hash), m_Now);
    m_Broker->dispatchAllWaiting(m_Now);
  }

  static PeerReport reportOf(const std::string &Vm,
                             std::vector<ReportedRequest> Runs) {
    PeerReport Report;
    Report.Vm = Vm;
    Report.RunningRequests = std::move(Runs);
    return Report;
  }

  TargetLoads loads() const {
    TargetLoads Sum;
    m_Broker->addLoads(Sum);
    return Sum;
  }

  const SlotDecision &last() const { return m_Verdicts.back(); }

  TargetRegistry m_Targets;
  std::optional<SlotBroker> m_Broker;
  std::vector<SlotDecision> m_Verdicts;
  TimePoint m_Now{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotBrokerTest);

} // namespace mangodeck
