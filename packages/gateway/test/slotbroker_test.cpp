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
  CPPUNIT_TEST(message_encodedAndDecoded_isUnchanged);
  CPPUNIT_TEST(message_invalidBytes_areRejected);
  CPPUNIT_TEST(request_freeSlot_isGranted);
  CPPUNIT_TEST(request_repeated_holdsOneSlot);
  CPPUNIT_TEST(request_noFreeSlot_isQueuedUntilOneIsFree);
  CPPUNIT_TEST(request_dispatchedTooLate_isRefused);
  CPPUNIT_TEST(request_targetInOtherDomain_isNotGranted);
  CPPUNIT_TEST(request_ofVersion_isGrantedAtThatVersionOnly);
  CPPUNIT_TEST(request_ofFullVersion_doesNotHoldUpOthers);
  CPPUNIT_TEST(request_ofSmallVersion_isRefusedByItsOwnCapacity);
  CPPUNIT_TEST(queue_higherRankOfOtherDaemon_isFirst);
  CPPUNIT_TEST(queue_expiredRequest_isDropped);
  CPPUNIT_TEST(grant_withdrawn_freesSlot);
  CPPUNIT_TEST(report_requestsOfPreviousBroker_takeSlots);
  CPPUNIT_TEST(report_withoutRequest_releasesGrantWhoseUpdateWasLost);
  CPPUNIT_TEST(report_olderThanGrant_keepsGrant);
  CPPUNIT_TEST(daemon_silent_slotsAreReleased);
  CPPUNIT_TEST(request_numberOfFormerProcess_getsDecisionOfItsOwn);
  CPPUNIT_TEST(formerProcess_released_slotsAndWaitingRequestsAreFree);
  CPPUNIT_TEST(addLoads_loadsOfOtherDomain_areIncluded);
  CPPUNIT_TEST(failures_ofTwoDaemons_avoidTarget);
  CPPUNIT_TEST(target_onTrial_getsOneRequest);
  CPPUNIT_TEST(eventGap_ofOneDaemon_affectsAllDaemons);
  CPPUNIT_TEST(rateLimit_manyDaemons_grantsFollowItInSum);
  CPPUNIT_TEST(rateLimit_repeatedRequest_takesOnePermit);
  CPPUNIT_TEST(rateLimit_unknownToBroker_grantHasNoPermit);
  CPPUNIT_TEST(permit_forDaemonOfOtherDomain_isGrantedAtOnceOrRefused);
  CPPUNIT_TEST(permit_manyDaemonsRefused_requestsAreSpread);
  CPPUNIT_TEST(permit_targetWithoutLimitOrOfOtherDomain_isRefused);
  CPPUNIT_TEST(longAnswer_onlySlowEngineFree_waitsAndShortOneIsGranted);
  CPPUNIT_TEST(longAnswer_onlySlowEngineFreeAndSlotsPlenty_isGrantedAtOnce);
  CPPUNIT_TEST(lateEverywhere_grantedOnlyWhileNoneInTimeWaits);
  CPPUNIT_TEST(saturation_manyDaemons_fillsSlotsAndServesHighRank);
  CPPUNIT_TEST(saturation_streamsTakenUp_goOnHalfAsOftenAsNewOnesBegin);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Targets = TargetRegistry();
    m_Broker.emplace(FailureDomain("own"), m_Targets, *this);
    m_Decisions.clear();
    m_Now = TimePoint(std::chrono::hours(1));
  }

  void message_encodedAndDecoded_isUnchanged() {
    auto Request = makeRequest("vm", 7);
    Request.Rank = {1, 2};
    Request.ExcludedTargets = {5, 6};
    Request.OnlyTarget = 8;
    Request.Version = 9;
    Request.TimeToLatencyTarget = -3ms;
    const auto ReadRequest = decode<SlotRequest>(Request);
    CPPUNIT_ASSERT_EQUAL(std::string("vm"), ReadRequest.Vm);
    CPPUNIT_ASSERT(ReadRequest.Rank == Request.Rank);
    CPPUNIT_ASSERT(ReadRequest.ExcludedTargets == Request.ExcludedTargets);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), ReadRequest.OnlyTarget);
    CPPUNIT_ASSERT_EQUAL(VersionId(9), ReadRequest.Version);
    CPPUNIT_ASSERT(ReadRequest.TimeToLatencyTarget ==
                   Request.TimeToLatencyTarget);
    CPPUNIT_ASSERT(ReadRequest.TimeToExpiry == Request.TimeToExpiry);
    CPPUNIT_ASSERT(ReadRequest.Work.IsEngine);
    const auto ReadDecision = decode<SlotDecision>(
        SlotDecision{7, SlotDecision::Kind::Refused, 9, 20ms, true});
    CPPUNIT_ASSERT(ReadDecision.HasPermit);
    CPPUNIT_ASSERT(ReadDecision.Result == SlotDecision::Kind::Refused);
    CPPUNIT_ASSERT(ReadDecision.BacklogTime == 20ms);
    SlotUpdate Update = makeUpdate("vm", 7, SlotUpdate::Kind::Ended, 11);
    Update.Outcome = SlotOutcome::Failure;
    Update.MeanEventGap = 30ms;
    const auto ReadUpdate = decode<SlotUpdate>(Update);
    CPPUNIT_ASSERT(ReadUpdate.Change == SlotUpdate::Kind::Ended);
    CPPUNIT_ASSERT(ReadUpdate.Outcome == SlotOutcome::Failure);
    CPPUNIT_ASSERT(ReadUpdate.MeanEventGap == 30ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), ReadUpdate.Target);
  }

  void message_invalidBytes_areRejected() {
    CPPUNIT_ASSERT(!decodeSlotMessage(""));
    CPPUNIT_ASSERT(!decodeSlotMessage("hello"));
    PeerReport Report;
    Report.Vm = "a";
    CPPUNIT_ASSERT(!decodeSlotMessage(encodeReport(Report)));
    CPPUNIT_ASSERT(!decodeReport(encodeSlotMessage(makeRequest("a", 1))));
    auto Bytes = encodeSlotMessage(makeRequest("a", 1));
    Bytes.resize(Bytes.size() / 2);
    CPPUNIT_ASSERT(!decodeSlotMessage(Bytes));
    const std::string UnknownKind{char(0x95), 2, 7, 99, 0, 0};
    CPPUNIT_ASSERT(!decodeSlotMessage(UnknownKind));
  }

  void request_freeSlot_isGranted() {
    const auto A = addTarget("a", 2);
    requestSlot("vm", 1);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
    CPPUNIT_ASSERT_EQUAL(A->Hash, lastDecision().Target);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), A->running());
  }

  void request_repeated_holdsOneSlot() {
    const auto A = addTarget("a", 2);
    requestSlot("vm", 1);
    requestSlot("vm", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Decisions.size());
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), A->running());
  }

  void request_noFreeSlot_isQueuedUntilOneIsFree() {
    const auto A = addTarget("a", 1);
    requestSlot("vm", 1);
    requestSlot("vm", 2); // Waits in the engine's own queue.
    requestSlot("vm", 3);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Queued);
    endRequest("vm", 1, A);
    CPPUNIT_ASSERT_EQUAL(TicketNumber(3), lastDecision().Number);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
  }

  void request_dispatchedTooLate_isRefused() {
    addTarget("a", 1);
    requestSlot("vm", 1);
    requestSlot("vm", 2);
    auto Late = makeRequest("vm", 3);
    Late.RefuseIfLate = true;
    Late.TimeToLatestStart = 1ms;
    m_Broker->requestSlot(Late, m_Now);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Broker->waitingCount());
  }

  void request_ofVersion_isGrantedAtThatVersionOnly() {
    const auto Old = addVersion("a", 1, "v1");
    addVersion("b", 9, "v2");
    auto Request = makeRequest("vm", 1);
    Request.Version = Old->Version;
    m_Broker->requestSlot(Request, m_Now);
    CPPUNIT_ASSERT_EQUAL(Old->Hash, lastDecision().Target);
  }

  void request_ofFullVersion_doesNotHoldUpOthers() {
    const auto Old = addVersion("a", 1, "v1");
    addVersion("b", 9, "v2");
    for (TicketNumber Number = 1; Number <= 3; ++Number) {
      auto Request = makeRequest("vm", Number);
      Request.Version = Old->Version;
      m_Broker->requestSlot(Request, m_Now);
    }
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Queued);
    auto Other = makeRequest("vm", 4);
    Other.RefuseIfLate = true;
    Other.TimeToLatestStart = 1ms;
    m_Broker->requestSlot(Other, m_Now);
    CPPUNIT_ASSERT_EQUAL(TicketNumber(4), lastDecision().Number);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
    endRequest("vm", 1, Old);
    CPPUNIT_ASSERT_EQUAL(TicketNumber(3), lastDecision().Number);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
  }

  void request_ofSmallVersion_isRefusedByItsOwnCapacity() {
    const auto Old = addVersion("a", 1, "v1");
    const auto New = addVersion("b", 39, "v2");
    // The service dispatches 40 requests a second.
    for (TicketNumber Number = 1; Number <= 120; ++Number) {
      requestSlot("vm", Number);
      const auto Used = lastDecision().Target == Old->Hash ? Old : New;
      m_Now += 25ms;
      endRequest("vm", Number, Used);
    }
    auto Request = makeRequest("vm", 200);
    Request.Version = Old->Version;
    m_Broker->requestSlot(Request, m_Now);
    Request.Number = 201;
    m_Broker->requestSlot(Request, m_Now);
    Request.Number = 202;
    Request.RefuseIfLate = true;
    m_Broker->requestSlot(Request, m_Now);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Refused);
  }

  void request_targetInOtherDomain_isNotGranted() {
    addTarget("a", 4, "other");
    requestSlot("vm", 1);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Queued);
  }

  void queue_higherRankOfOtherDaemon_isFirst() {
    const auto A = addTarget("a", 1);
    requestSlot("vm", 1);
    requestSlot("vm", 2);
    requestSlot("vm", 3, {1, 2});
    requestSlot("other", 4, {0, 1});
    endRequest("vm", 1, A);
    CPPUNIT_ASSERT_EQUAL(TicketNumber(4), lastDecision().Number);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
  }

  void queue_expiredRequest_isDropped() {
    const auto A = addTarget("a", 1);
    requestSlot("vm", 1);
    requestSlot("vm", 2);
    requestSlot("vm", 3);
    m_Now += 2s;
    m_Broker->dispatchAllWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Broker->waitingCount());
  }

  void grant_withdrawn_freesSlot() {
    const auto A = addTarget("a", 1);
    requestSlot("vm", 1);
    m_Broker->applyUpdate(makeUpdate("vm", 1, SlotUpdate::Kind::Withdrawn, 0),
                          m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), A->running());
    CPPUNIT_ASSERT(grantedLoads().empty());
  }

  void report_requestsOfPreviousBroker_takeSlots() {
    const auto A = addTarget("a", 1);
    m_Broker->reconcile(makeReport("vm", {{1, A->Hash, 300}}), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), grantedLoads().at(A->Hash).Running);
    CPPUNIT_ASSERT_EQUAL(TokenCount(300), grantedLoads().at(A->Hash).Prefill);
  }

  void report_withoutRequest_releasesGrantWhoseUpdateWasLost() {
    const auto A = addTarget("a", 1);
    requestSlot("vm", 1);
    m_Now += 300ms;
    m_Broker->reconcile(makeReport("vm", {}), m_Now);
    CPPUNIT_ASSERT(grantedLoads().empty());
  }

  void report_olderThanGrant_keepsGrant() {
    const auto A = addTarget("a", 1);
    requestSlot("vm", 1);
    m_Now += 20ms;
    m_Broker->reconcile(makeReport("vm", {}), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), grantedLoads().at(A->Hash).Running);
  }

  void daemon_silent_slotsAreReleased() {
    const auto A = addTarget("a", 1);
    requestSlot("dead", 1);
    requestSlot("alive", 2);
    requestSlot("alive", 3);
    m_Now += 2500ms;
    m_Broker->reconcile(makeReport("alive", {{2, A->Hash, 0}}), m_Now);
    m_Broker->dispatchAllWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), grantedLoads().at(A->Hash).Running);
    requestSlot("alive", 4);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
  }

  // Regression: the grant of a former process was repeated to a request of
  // another service, which had been given the same number.
  void request_numberOfFormerProcess_getsDecisionOfItsOwn() {
    const auto Target = addTarget("t", 4);
    auto Request = makeRequest("vm", 1);
    Request.Incarnation = 9;
    m_Broker->requestSlot(Request, m_Now);
    CPPUNIT_ASSERT_EQUAL(Target->Hash, lastDecision().Target);
    Request.Incarnation = 3;
    Request.Service = ServiceName("other");
    Request.RefuseIfLate = false;
    m_Broker->requestSlot(Request, m_Now);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Queued);
    CPPUNIT_ASSERT_EQUAL(IncarnationId(3), lastDecision().Incarnation);
    auto Update =
        makeUpdate("vm", 1, SlotUpdate::Kind::Withdrawn, Target->Hash);
    Update.Incarnation = 3;
    m_Broker->applyUpdate(Update, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1),
                         grantedLoads().at(Target->Hash).Running);
  }

  void formerProcess_released_slotsAndWaitingRequestsAreFree() {
    addTarget("t", 1);
    for (TicketNumber Number = 1; Number <= 4; ++Number)
      requestSlot("vm", Number);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Broker->waitingCount());
    m_Broker->releaseFormer("other", 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Broker->waitingCount());
    m_Broker->releaseFormer("vm", 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Broker->waitingCount());
    CPPUNIT_ASSERT(grantedLoads().empty());
    requestSlot("other", 1);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
  }

  void addLoads_loadsOfOtherDomain_areIncluded() {
    const auto A = addTarget("a", 4);
    requestSlot("vm", 1);
    TargetLoads Sum;
    Sum[A->Hash] = {A->Hash, 2, 100};
    m_Broker->addLoads(Sum);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), Sum.at(A->Hash).Running);
    CPPUNIT_ASSERT_EQUAL(TokenCount(700), Sum.at(A->Hash).Prefill);
  }

  void failures_ofTwoDaemons_avoidTarget() {
    const auto A = addTarget("a", 4);
    for (const TicketNumber Number : {1, 2}) {
      const auto Vm = "vm" + std::to_string(Number);
      requestSlot(Vm, Number);
      auto Update = makeUpdate(Vm, Number, SlotUpdate::Kind::Ended, A->Hash);
      Update.Outcome = SlotOutcome::Failure;
      m_Broker->applyUpdate(Update, m_Now);
    }
    CPPUNIT_ASSERT(!A->isUsable(m_Now));
    requestSlot("vm3", 3);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Queued);
  }

  void target_onTrial_getsOneRequest() {
    const auto A = addTarget("a", 4);
    A->recordUnreachable(m_Now);
    CPPUNIT_ASSERT(!A->isUsable(m_Now));
    m_Now += 1s;
    requestSlot("vm", 1);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
    requestSlot("vm", 2);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Queued);
    auto Update = makeUpdate("vm", 1, SlotUpdate::Kind::Ended, A->Hash);
    Update.Outcome = SlotOutcome::Success;
    m_Broker->applyUpdate(Update, m_Now);
    m_Broker->dispatchAllWaiting(m_Now);
    requestSlot("vm", 3);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), A->running());
  }

  void eventGap_ofOneDaemon_affectsAllDaemons() {
    const auto Slow = addTarget("slow", 4);
    const auto Fast = addTarget("fast", 4);
    requestSlot("vm", 1);
    auto Update = makeUpdate("vm", 1, SlotUpdate::Kind::Ended, Slow->Hash);
    Update.MeanEventGap = nominalStepTime(1) * 6 * 4;
    Update.TokensPerEvent = 6;
    m_Broker->applyUpdate(Update, m_Now);
    requestSlot("other", 2);
    CPPUNIT_ASSERT_EQUAL(Fast->Hash, lastDecision().Target);
  }

  /// Guards against long answers on engines where they are cut off at their
  /// time limit, and against idle slow engines while short answers wait behind.
  void longAnswer_onlySlowEngineFree_waitsAndShortOneIsGranted() {
    addTarget("slow", 1)->Slowdown = 5;
    const auto Fast = addTarget("fast", 8);
    fillFast(Fast, 9);
    m_Broker->requestSlot(requestFor("vm", 30, 1500), m_Now);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Queued);
    m_Broker->requestSlot(requestFor("vm", 40, 50), m_Now);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
    CPPUNIT_ASSERT(lastDecision().Target != Fast->Hash);
    endRequest("vm", 1, Fast);
    CPPUNIT_ASSERT_EQUAL(TicketNumber(30), lastDecision().Number);
    CPPUNIT_ASSERT_EQUAL(Fast->Hash, lastDecision().Target);
  }

  /// Guards against long answers that wait, and are refused in the end, while
  /// many slots are free.
  void longAnswer_onlySlowEngineFreeAndSlotsPlenty_isGrantedAtOnce() {
    const auto Slow = addTarget("slow", 4);
    Slow->Slowdown = 5;
    const auto Fast = addTarget("fast", 1);
    fillFast(Fast, 2);
    m_Broker->requestSlot(requestFor("vm", 30, 1500), m_Now);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
    CPPUNIT_ASSERT_EQUAL(Slow->Hash, lastDecision().Target);
  }

  /// Guards against requests that earn nothing in time ahead of those that do,
  /// and against leaving them waiting while nobody else wants the slot.
  void lateEverywhere_grantedOnlyWhileNoneInTimeWaits() {
    const auto Slow = addTarget("slow", 1);
    Slow->Slowdown = 5;
    m_Broker->requestSlot(requestFor("vm", 1, 6000), m_Now);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
    requestSlot("vm", 2);
    requestSlot("vm", 3);
    m_Broker->requestSlot(requestFor("vm", 4, 6000), m_Now);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Queued);
    endRequest("vm", 1, Slow);
    CPPUNIT_ASSERT_EQUAL(TicketNumber(3), lastDecision().Number);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
  }

  /// 30 daemons together request 1.5 times the capacity of ten engines of
  /// different speed. A third of the requests have the highest rank.
  /// Half as many requests again as the slots can serve; each tenth one takes
  /// up a stream of a version with the share of the slots that it has.
  void saturation_streamsTakenUp_goOnHalfAsOftenAsNewOnesBegin() {
    constexpr std::uint32_t Slots = 6;
    constexpr Duration StreamTime = 900ms;
    constexpr unsigned Engines = 9;
    SeededRandom Random(5);
    std::vector<VersionId> Versions;
    for (unsigned I = 0; I < Engines; ++I)
      Versions.push_back(
          addVersion("e" + std::to_string(I), Slots, I == 0 ? "v1" : "v2")
              ->Version);
    struct Shares {
      double Requested = 0;
      double Started = 0;
      double share() const { return Started / Requested; }
    };
    std::map<VersionId, Shares> ByVersion; // NoVersion: new streams.
    std::map<TicketNumber, VersionId> Requests;
    std::multimap<TimePoint, std::pair<TicketNumber, TargetPtr>> Running;
    std::size_t Handled = 0;
    const auto End = m_Now + 60s;
    auto NextRequestAt = m_Now;
    for (TicketNumber Number = 1; m_Now < End;) {
      if (!Running.empty() && Running.begin()->first <= NextRequestAt) {
        m_Now = Running.begin()->first;
        const auto [Ended, Target] = Running.extract(Running.begin()).mapped();
        endRequest("vm", Ended, Target);
      } else {
        m_Now = NextRequestAt;
        NextRequestAt +=
            fromSeconds(-std::log(1 - Random.uniform()) *
                        toSeconds(StreamTime) / (1.5 * Engines * Slots));
        auto Request = makeRequest("vm", Number);
        Request.RefuseIfLate = true;
        if (Number % 10 == 0)
          Request.Version = Versions[Random.next() % Engines];
        Requests[Number++] = Request.Version;
        ++ByVersion[Request.Version].Requested;
        m_Broker->requestSlot(Request, m_Now);
      }
      for (; Handled < m_Decisions.size(); ++Handled) {
        const auto &Decision = m_Decisions[Handled];
        if (Decision.Result != SlotDecision::Kind::Granted)
          continue;
        ++ByVersion[Requests.at(Decision.Number)].Started;
        Running.emplace(
            m_Now + StreamTime,
            std::pair(Decision.Number, m_Targets.findByHash(Decision.Target)));
      }
    }
    const auto NewShare = ByVersion[NoVersion].share();
    CPPUNIT_ASSERT(NewShare > 0.5);
    for (const auto &[Version, Counted] : ByVersion)
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Counted.Started) + " of " +
                                 std::to_string(Counted.Requested) +
                                 ", new streams " + std::to_string(NewShare),
                             Counted.share() >= 0.5 * NewShare);
  }

  void saturation_manyDaemons_fillsSlotsAndServesHighRank() {
    constexpr std::uint32_t Slots = 6;
    constexpr Duration NominalDuration = 600ms;
    SeededRandom Random(11);
    std::vector<TargetPtr> Engines;
    double PerSecond = 0;
    for (int I = 0; I < 10; ++I) {
      Engines.push_back(addTarget("e" + std::to_string(I), Slots));
      Engines.back()->Slowdown = 0.5 + 0.25 * I;
      PerSecond +=
          Slots / (toSeconds(NominalDuration) * Engines.back()->Slowdown);
    }
    struct RunningRequest {
      TimePoint At;
      std::string Vm;
      TicketNumber Number;
      TargetPtr Target;
      bool operator<(const RunningRequest &Other) const {
        return At > Other.At;
      }
    };
    std::priority_queue<RunningRequest> Running;
    std::size_t Handled = 0;
    std::map<TierRank, int> Requested, Started;
    std::map<TicketNumber, std::pair<std::string, TierRank>> Requests;
    const auto HandleDecisions = [&] {
      for (; Handled < m_Decisions.size(); ++Handled) {
        const auto &Decision = m_Decisions[Handled];
        if (Decision.Result != SlotDecision::Kind::Granted)
          continue;
        const auto &[Vm, Rank] = Requests.at(Decision.Number);
        ++Started[Rank];
        const auto Target = m_Targets.findByHash(Decision.Target);
        Running.push(
            {m_Now + fromSeconds(toSeconds(NominalDuration) * Target->Slowdown),
             Vm, Decision.Number, Target});
      }
    };
    const auto StartedAt = m_Now;
    TimePoint NextRequestAt = m_Now;
    double IdleSlots = 0;
    int Samples = 0;
    for (TicketNumber Number = 1; m_Now < StartedAt + 20s;) {
      if (!Running.empty() && Running.top().At <= NextRequestAt) {
        const auto Finished = Running.top();
        Running.pop();
        m_Now = Finished.At;
        endRequest(Finished.Vm, Finished.Number, Finished.Target);
      } else {
        m_Now = NextRequestAt;
        NextRequestAt +=
            fromSeconds(-std::log(1 - Random.uniform()) / (1.5 * PerSecond));
        const auto Rank = static_cast<TierRank>(Number % 3 == 0 ? 0 : 1);
        auto Request = makeRequest("vm" + std::to_string(Number % 30), Number);
        Request.Rank = {Rank, Rank};
        Request.RefuseIfLate = true;
        Requests[Number] = {Request.Vm, Rank};
        ++Requested[Rank];
        m_Broker->requestSlot(Request, m_Now);
        ++Number;
      }
      HandleDecisions();
      for (const auto &Engine : Engines)
        CPPUNIT_ASSERT(Engine->running() <= Slots + 1);
      if (m_Now > StartedAt + 2s) {
        ++Samples;
        for (const auto &Engine : Engines)
          IdleSlots +=
              Engine->running() < Slots ? Slots - Engine->running() : 0;
      }
    }
    CPPUNIT_ASSERT(IdleSlots / Samples < 0.05 * Slots * 10);
    CPPUNIT_ASSERT(Started[0] >= 0.98 * Requested[0]);
    CPPUNIT_ASSERT(Started[1] > 0.3 * Requested[1]);
  }

  void rateLimit_manyDaemons_grantsFollowItInSum() {
    for (const int Daemons : {2, 60, 295}) {
      setUp();
      const auto Limited = addLimitedTarget(2.0);
      TicketNumber Number = 1;
      std::size_t Granted = 0;
      // Each request waits for 400 ms, so some daemon always waits.
      for (int Step = 0; Step < 400; ++Step, m_Now += 50ms) {
        m_Decisions.clear();
        requestSlot("vm" + std::to_string(Step % Daemons), Number);
        m_Vms[Number++] = "vm" + std::to_string(Step % Daemons);
        m_Broker->dispatchAllWaiting(m_Now);
        for (const auto &Decision :
             std::vector<SlotDecision>(std::exchange(m_Decisions, {})))
          if (Decision.Result == SlotDecision::Kind::Granted) {
            CPPUNIT_ASSERT(Decision.HasPermit);
            ++Granted;
            endRequest(m_Vms[Decision.Number], Decision.Number, Limited);
          }
      }
      CPPUNIT_ASSERT(Granted >= 38 && Granted <= 42); // 20 s.
    }
  }

  void rateLimit_repeatedRequest_takesOnePermit() {
    const auto Limited = addLimitedTarget(1.0);
    m_Now += 1s;
    requestSlot("vm", 1);
    m_Now += 40ms;
    requestSlot("vm", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Decisions.size());
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
    CPPUNIT_ASSERT(lastDecision().HasPermit);
    CPPUNIT_ASSERT(Limited->rateLimit().hasPermit(m_Now + 960ms));
  }

  void rateLimit_unknownToBroker_grantHasNoPermit() {
    addTarget("a", 2);
    requestSlot("vm", 1);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
    CPPUNIT_ASSERT(!lastDecision().HasPermit);
  }

  void permit_forDaemonOfOtherDomain_isGrantedAtOnceOrRefused() {
    const auto Limited = addLimitedTarget(1.0);
    m_Now += 1s;
    requestPermit("remote", 1, Limited->Hash);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Granted);
    CPPUNIT_ASSERT(lastDecision().HasPermit);
    CPPUNIT_ASSERT_EQUAL(Limited->Hash, lastDecision().Target);
    requestPermit("remote", 2, Limited->Hash);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Refused);
    CPPUNIT_ASSERT(lastDecision().BacklogTime == 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Broker->waitingCount());
  }

  void permit_manyDaemonsRefused_requestsAreSpread() {
    const auto Limited = addLimitedTarget(10.0);
    requestPermit("d1", 1, Limited->Hash);
    CPPUNIT_ASSERT(lastDecision().BacklogTime == 100ms);
    requestPermit("d2", 1, Limited->Hash);
    CPPUNIT_ASSERT(lastDecision().BacklogTime == 200ms);
    for (int I = 0; I < 300; ++I)
      requestPermit("d" + std::to_string(I), 1, Limited->Hash);
    CPPUNIT_ASSERT(lastDecision().BacklogTime == 4s);
  }

  void permit_targetWithoutLimitOrOfOtherDomain_isRefused() {
    requestPermit("remote", 1, addTarget("free", 4)->Hash);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Refused);
    CPPUNIT_ASSERT(lastDecision().BacklogTime == 1s);
    const auto Foreign = addTarget("foreign", 4, "other");
    Foreign->rateLimit().apply({1.0, m_Now});
    Foreign->rateLimit().setShare(1, m_Now);
    m_Now += 1s;
    requestPermit("remote", 2, Foreign->Hash);
    CPPUNIT_ASSERT(lastDecision().Result == SlotDecision::Kind::Refused);
  }

  void onSlotDecision(const std::string &,
                      const SlotDecision &Decision) override {
    m_Decisions.push_back(Decision);
  }

private:
  template <typename Kind> static Kind decode(const SlotMessage &Message) {
    const auto Read = decodeSlotMessage(encodeSlotMessage(Message));
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT(std::holds_alternative<Kind>(*Read));
    return std::get<Kind>(*Read);
  }

  TargetPtr addTarget(const std::string &Id, std::uint32_t Slots,
                      const char *Domain = "own") {
    TargetEntry Entry;
    Entry.Id = TargetName(Id);
    Entry.Service = ServiceName("s");
    Entry.Domain = FailureDomain(Domain);
    Entry.Slots = Slots;
    return m_Targets.update(Entry);
  }

  /// A target that has just stated a rate limit, all of which this broker
  /// grants.
  TargetPtr addLimitedTarget(double PerSecond) {
    const auto Target = addTarget("limited", 4);
    Target->rateLimit().apply({PerSecond, m_Now});
    Target->rateLimit().setShare(1, m_Now);
    return Target;
  }

  TargetPtr addVersion(const std::string &Id, std::uint32_t Slots,
                       const std::string &Version) {
    auto Entry = addTarget(Id, Slots)->Entry;
    Entry.Version = Version;
    return m_Targets.update(Entry);
  }

  static SlotRequest makeRequest(const std::string &Vm, TicketNumber Number) {
    SlotRequest Request;
    Request.Vm = Vm;
    Request.Number = Number;
    Request.Service = ServiceName("s");
    Request.Work = {true, 600, 100};
    Request.TimeToLatencyTarget = 400ms;
    Request.TimeToDeadline = 10s;
    Request.TimeToLatestStart = 300ms;
    Request.TimeToExpiry = 400ms;
    Request.GapTarget = 300ms;
    return Request;
  }

  void requestSlot(const std::string &Vm, TicketNumber Number,
                   RequestRank Rank = {}) {
    auto Request = makeRequest(Vm, Number);
    Request.Rank = Rank;
    m_Broker->requestSlot(Request, m_Now);
  }

  /// Requests 1 to \p Count, all of which get slots of \p Fast.
  void fillFast(const TargetPtr &Fast, TicketNumber Count) {
    for (TicketNumber Number = 1; Number <= Count; ++Number) {
      requestSlot("vm", Number);
      CPPUNIT_ASSERT_EQUAL(Fast->Hash, lastDecision().Target);
    }
  }

  static SlotRequest requestFor(const std::string &Vm, TicketNumber Number,
                                TokenCount Output) {
    auto Request = makeRequest(Vm, Number);
    Request.Work.OutputTokens = Output;
    return Request;
  }

  void requestPermit(const std::string &Vm, TicketNumber Number,
                     std::uint64_t Target) {
    auto Request = makeRequest(Vm, Number);
    Request.OnlyTarget = Target;
    m_Broker->requestSlot(Request, m_Now);
  }

  static SlotUpdate makeUpdate(const std::string &Vm, TicketNumber Number,
                               SlotUpdate::Kind Change, std::uint64_t Target) {
    SlotUpdate Update;
    Update.Vm = Vm;
    Update.Number = Number;
    Update.Change = Change;
    Update.Target = Target;
    return Update;
  }

  void endRequest(const std::string &Vm, TicketNumber Number,
                  const TargetPtr &Target) {
    m_Broker->applyUpdate(
        makeUpdate(Vm, Number, SlotUpdate::Kind::Ended, Target->Hash), m_Now);
    m_Broker->dispatchAllWaiting(m_Now);
  }

  static PeerReport makeReport(const std::string &Vm,
                               std::vector<ReportedRequest> Requests) {
    PeerReport Report;
    Report.Vm = Vm;
    Report.RunningRequests = std::move(Requests);
    return Report;
  }

  TargetLoads grantedLoads() const {
    TargetLoads Sum;
    m_Broker->addLoads(Sum);
    return Sum;
  }

  const SlotDecision &lastDecision() const { return m_Decisions.back(); }

  TargetRegistry m_Targets;
  std::optional<SlotBroker> m_Broker;
  std::vector<SlotDecision> m_Decisions;
  std::map<TicketNumber, std::string> m_Vms; ///< Daemon by request.
  TimePoint m_Now{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotBrokerTest);

} // namespace mangodeck
