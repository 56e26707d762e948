#include "mangodeck/common/random.h"
#include "mangodeck/gateway/rolloutramp.h"
#include "mangodeck/gateway/versioncomparison.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

namespace {

const ServiceName Service("s");

RolloutOrder order(const char *To, std::uint64_t Era, std::int64_t Number) {
  return {Service, To, 12s, {Era, Number}};
}

/// Adds \p Count answers, of which \p Bad are bad, with times around \p
/// Seconds.
void add(EvidenceRows &Rows, EvidenceKey Key, std::uint32_t Count,
         std::uint32_t Bad, double Seconds = 0) {
  EvidenceCounts Counts;
  Counts.Answers = Count;
  Counts.Bad = Bad;
  if (Seconds > 0) {
    const double Log = std::log(Seconds);
    Counts.Timed = Count;
    Counts.SumLog = std::llround(1000 * Log * Count);
    Counts.SumSquares = std::llround(1000 * (Log * Log + 0.04) * Count);
  }
  Rows[Key].add(Counts);
}

ProcessEvidence process(const char *Vm, IncarnationId Id,
                        std::uint64_t Sequence, std::uint32_t Answers) {
  ProcessEvidence Each;
  Each.Vm = Vm;
  Each.Incarnation = Id;
  Each.Sequence = Sequence;
  Each.Sent = Answers;
  Each.Requests = 10 * Answers;
  add(Each.Rows, {1, 2, 3, true}, Answers, 1);
  return Each;
}

} // namespace

class RolloutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutTest);
  CPPUNIT_TEST(relate_revisionsAndEras_identifyOrders);
  CPPUNIT_TEST(belongsTo_olderOrOtherVersion_isNoVerdict);
  CPPUNIT_TEST(merge_twiceLateAndByAnotherWay_countsOnce);
  CPPUNIT_TEST(merge_endedProcess_keepsItsCounts);
  CPPUNIT_TEST(totals_storedByEndedDaemons_countWhereTheyExceed);
  CPPUNIT_TEST(takeMessages_manyRows_areDividedAndReadBack);
  CPPUNIT_TEST(decode_cutOrForeignBytes_returnsNothing);
  CPPUNIT_TEST(judgeVersion_degradedService_isNoEvidence);
  CPPUNIT_TEST(judgeVersion_routesThatFailByNature_areNoEvidence);
  CPPUNIT_TEST(judgeVersion_failuresOnOneRoute_areBad);
  CPPUNIT_TEST(judgeVersion_failuresAfterGoodStart_areBad);
  CPPUNIT_TEST(judgeVersion_machinesOfOtherSpeeds_areNoEvidence);
  CPPUNIT_TEST(judgeVersion_slowerThanAnyMachine_isBad);
  CPPUNIT_TEST(judgeVersion_oneSlowTargetOfSeveral_isNoEvidence);
  CPPUNIT_TEST(shareCounter_manySmallDaemons_keepShareInSum);
  CPPUNIT_TEST(schedule_anyTimeLimit_leavesTimeForEachStep);
  CPPUNIT_TEST(decideRamp_withoutTargetsOrSlots_isRolledBackInTime);
  CPPUNIT_TEST(decideRamp_requestsAtOldVersion_areNotCutOffByCompletion);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against an order that is carried out twice after a restore, and
  /// against one that is not carried out since it was given before.
  void relate_revisionsAndEras_identifyOrders() {
    const auto Known = order("v2", 1, 50);
    CPPUNIT_ASSERT(relate(Known, order("v2", 1, 50)) == OrderRelation::Same);
    CPPUNIT_ASSERT(relate(Known, order("v2", 2, 50)) ==
                   OrderRelation::Restored);
    CPPUNIT_ASSERT(relate(Known, order("v2", 2, 61)) ==
                   OrderRelation::Restored);
    CPPUNIT_ASSERT(relate(Known, order("v2", 1, 60)) ==
                   OrderRelation::Repeated);
    CPPUNIT_ASSERT(relate(Known, order("v3", 1, 60)) == OrderRelation::Changed);
    CPPUNIT_ASSERT(relate(Known, order("v3", 2, 40)) == OrderRelation::Changed);
    CPPUNIT_ASSERT(relate(Known, order("v3", 1, 40)) ==
                   OrderRelation::Outdated);
  }

  /// Guards against the verdict of an earlier order ending a new one.
  void belongsTo_olderOrOtherVersion_isNoVerdict() {
    const auto Given = order("v2", 1, 50);
    RolloutStatus Status{Service, RolloutState::Completed, "v2", {1, 51}};
    CPPUNIT_ASSERT(belongsTo(Status, Given));
    Status.Revision.Number = 49;
    CPPUNIT_ASSERT(!belongsTo(Status, Given));
    Status = {Service, RolloutState::Completed, "v3", {1, 51}};
    CPPUNIT_ASSERT(!belongsTo(Status, Given));
  }

  /// Guards against answers that count twice since their report came by two
  /// ways, or again, or after a later one.
  void merge_twiceLateAndByAnotherWay_countsOnce() {
    RolloutEvidence Evidence;
    const RolloutEvidence::ProcessId Own("own", 1);
    Evidence.merge(process("a", 7, 2, 20), Own);
    Evidence.merge(process("a", 7, 1, 10), Own);
    Evidence.merge(process("a", 7, 2, 20), Own);
    Evidence.merge(process("own", 1, 9, 99), Own);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(20), Evidence.totals().Answers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(200), Evidence.totals().Requests);
    CPPUNIT_ASSERT_EQUAL(20u, Evidence.rows().begin()->second.Answers);
  }

  /// Guards against exposure that is forgotten when a daemon restarts.
  void merge_endedProcess_keepsItsCounts() {
    RolloutEvidence Evidence;
    const RolloutEvidence::ProcessId Own("own", 1);
    Evidence.merge(process("a", 7, 2, 20), Own);
    Evidence.merge(process("a", 8, 1, 5), Own);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(25), Evidence.totals().Sent);
  }

  /// Guards against totals that count twice, or are lost, after all daemons
  /// were killed.
  void totals_storedByEndedDaemons_countWhereTheyExceed() {
    RolloutEvidence Evidence;
    Evidence.setStored({1000, 100, 90, 9, 800, 8});
    Evidence.merge(process("a", 7, 1, 30), {"own", 1});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), Evidence.totals().Sent);
    const EvidenceKey Lacking{0, 0, 0, true};
    CPPUNIT_ASSERT_EQUAL(60u, Evidence.rowsWithStored().at(Lacking).Answers);
    Evidence.merge(process("b", 7, 1, 95), {"own", 1});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(125), Evidence.totals().Sent);
  }

  /// Guards against datagrams beyond the receivers' buffers.
  void takeMessages_manyRows_areDividedAndReadBack() {
    RolloutEvidence Sender;
    auto &Own = Sender.own("a", 3);
    for (std::uint32_t I = 0; I < 600; ++I)
      Sender.record(
          Own,
          {static_cast<std::uint8_t>(I % RolloutSlices), 1, I + 1, I % 2 == 0},
          {1, 0, 1, -2500, 6250});
    Own.Sequence = 1;
    RolloutEvidence Receiver;
    for (const auto &Each :
         Sender.takeMessages({Service, {1, 50}, "z", false, {}})) {
      const auto Bytes = encodeEvidence(Each);
      CPPUNIT_ASSERT(Bytes.size() <= 16384);
      const auto Read = decodeEvidence(Bytes);
      CPPUNIT_ASSERT(Read && Read->Domain == "z");
      for (const auto &Process : Read->Processes)
        Receiver.merge(Process, {"own", 1});
    }
    CPPUNIT_ASSERT(Receiver.rows() == Sender.rows());
  }

  /// Guards against a datagram that ends the process, or is taken for another.
  void decode_cutOrForeignBytes_returnsNothing() {
    PlanMessage Plan;
    Plan.Order = order("v2", 1, 50);
    Plan.Step = RolloutStep::Confirm;
    const auto Bytes = encodePlan(Plan);
    const auto Read = decodePlanMessage(Bytes);
    CPPUNIT_ASSERT(Read && Read->Order == Plan.Order);
    CPPUNIT_ASSERT(Read->Step == RolloutStep::Confirm && !Read->IsCondemned);
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!decodePlanMessage(Bytes.substr(0, Size)));
    CPPUNIT_ASSERT(!decodeEvidence(Bytes));
  }

  /// Guards against a rollback because the whole service has a bad moment.
  void judgeVersion_degradedService_isNoEvidence() {
    EvidenceRows Rows;
    add(Rows, {0, 1, 9, true}, 60, 0);
    add(Rows, {0, 1, 0, false}, 600, 2);
    add(Rows, {1, 1, 9, true}, 60, 24);
    add(Rows, {1, 1, 0, false}, 600, 240);
    CPPUNIT_ASSERT(judgeVersion(Rows, {false, 4}).LogRatio < 2);
  }

  /// Guards against a rollback because the version got more requests of a route
  /// that fails often by nature.
  void judgeVersion_routesThatFailByNature_areNoEvidence() {
    EvidenceRows Rows;
    add(Rows, {0, 1, 9, true}, 10, 0);
    add(Rows, {0, 1, 0, false}, 900, 4);
    add(Rows, {0, 2, 9, true}, 90, 13);
    add(Rows, {0, 2, 0, false}, 100, 14);
    CPPUNIT_ASSERT(judgeVersion(Rows, {false, 4}).LogRatio < 2);
  }

  /// Guards against a fault that is hidden by the other routes.
  void judgeVersion_failuresOnOneRoute_areBad() {
    EvidenceRows Rows;
    add(Rows, {0, 1, 9, true}, 200, 28);
    add(Rows, {0, 1, 0, false}, 2000, 280);
    add(Rows, {0, 2, 9, true}, 40, 8);
    add(Rows, {0, 2, 0, false}, 400, 2);
    const auto Judged = judgeVersion(Rows, {false, 4});
    CPPUNIT_ASSERT(Judged.IsBad);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(2), Judged.Route);
  }

  /// Guards against a fault that is hidden by the good answers before it.
  void judgeVersion_failuresAfterGoodStart_areBad() {
    EvidenceRows Rows;
    for (std::uint8_t Slice = 0; Slice < 6; ++Slice) {
      add(Rows, {Slice, 1, 9, true}, 60, Slice < 5 ? 2 : 14);
      add(Rows, {Slice, 1, 0, false}, 600, 20);
    }
    CPPUNIT_ASSERT(judgeVersion(Rows, {false, 4}).IsBad);
  }

  /// Guards against a rollback because the new targets run on slow machines.
  void judgeVersion_machinesOfOtherSpeeds_areNoEvidence() {
    EvidenceRows Rows;
    const double Speeds[] = {0.55, 1.0, 2.8};
    for (std::uint32_t I = 0; I < 9; ++I)
      add(Rows, {0, 1, 10 + I, false}, 50, 0, Speeds[I % 3]);
    for (std::uint32_t I = 0; I < 4; ++I)
      add(Rows, {0, 1, 50 + I, true}, 20, 0, 2.8);
    CPPUNIT_ASSERT(judgeVersion(Rows, {true, 20}).LogRatio < 2);
  }

  /// Guards against a slow version that hides behind the spread of machines.
  void judgeVersion_slowerThanAnyMachine_isBad() {
    EvidenceRows Rows;
    const double Speeds[] = {0.55, 1.0, 2.8};
    for (std::uint32_t I = 0; I < 9; ++I)
      add(Rows, {0, 1, 10 + I, false}, 50, 0, Speeds[I % 3]);
    for (std::uint32_t I = 0; I < 6; ++I)
      add(Rows, {0, 1, 50 + I, true}, 20, 0, 2 * Speeds[I % 3]);
    const auto Judged = judgeVersion(Rows, {true, 20});
    CPPUNIT_ASSERT(Judged.IsBad && Judged.Kind == "slowness");
  }

  /// Guards against a rollback because one machine of several is in trouble.
  void judgeVersion_oneSlowTargetOfSeveral_isNoEvidence() {
    EvidenceRows Rows;
    for (std::uint32_t I = 0; I < 3; ++I) {
      add(Rows, {0, 1, 10 + I, false}, 500, 0, 0.06);
      add(Rows, {0, 1, 50 + I, true}, 50, 0, I == 0 ? 0.3 : 0.06);
    }
    CPPUNIT_ASSERT(!judgeVersion(Rows, {false, 4}).IsBad);
  }

  /// Guards against an exposure beyond the bound when each of many daemons
  /// rounds its share up.
  void shareCounter_manySmallDaemons_keepShareInSum() {
    SeededRandom Random(5);
    std::uint64_t Taken = 0;
    constexpr int Daemons = 295;
    constexpr int Requests = 24;
    for (int I = 0; I < Daemons; ++I) {
      ShareCounter Counter(Random.uniform());
      for (int N = 0; N < Requests; ++N) {
        Counter.recordRequest(0.09);
        if (Counter.mayTake())
          Counter.take();
      }
      Taken += Counter.taken();
    }
    const double Expected = 0.09 * Daemons * Requests;
    CPPUNIT_ASSERT(std::abs(static_cast<double>(Taken) - Expected) < 25);
  }

  /// Guards against steps that overlap in a short order.
  void schedule_anyTimeLimit_leavesTimeForEachStep() {
    for (const Duration Limit : {7s, 12s, 60s, 600s}) {
      const auto Schedule = RolloutSchedule::of(Limit, true);
      CPPUNIT_ASSERT(Schedule.ConfirmAt >= Duration{0});
      CPPUNIT_ASSERT(Schedule.SwitchAt >=
                     Schedule.ConfirmAt + Schedule.ConfirmTime);
      CPPUNIT_ASSERT(Schedule.FinalAt >= Schedule.SwitchAt + 1s);
      CPPUNIT_ASSERT(Schedule.WriteBy >= Schedule.FinalAt + 1s);
      CPPUNIT_ASSERT(Limit >= Schedule.WriteBy + 1s);
    }
  }

  /// Guards against an order without an outcome, and a switch to targets that
  /// cannot take the traffic.
  void decideRamp_withoutTargetsOrSlots_isRolledBackInTime() {
    const auto Schedule = RolloutSchedule::of(12s, true);
    RampInput Input;
    Input.OtherTargets = 4;
    Input.OtherSlots = 40;
    Input.Elapsed = 5s;
    CPPUNIT_ASSERT(decideRamp(Schedule, Input).Action ==
                   RampDecision::Kind::Keep);
    Input.Elapsed = Schedule.WriteBy;
    CPPUNIT_ASSERT(decideRamp(Schedule, Input).Action ==
                   RampDecision::Kind::RollBack);
    Input.Targets = 1;
    Input.Slots = 10;
    Input.Step = RolloutStep::Confirm;
    Input.SinceStep = 4s;
    CPPUNIT_ASSERT(decideRamp(Schedule, Input).Action ==
                   RampDecision::Kind::RollBack);
    Input.Slots = 30;
    CPPUNIT_ASSERT(decideRamp(Schedule, Input).Step == RolloutStep::Switched);
  }

  /// Guards against `completed` while requests run at the old version, which
  /// the platform stops at once.
  void decideRamp_requestsAtOldVersion_areNotCutOffByCompletion() {
    const auto Schedule = RolloutSchedule::of(12s, true);
    RampInput Input;
    Input.Step = RolloutStep::Final;
    Input.Targets = Input.OtherTargets = 4;
    Input.Elapsed = Input.SinceStep = 11s;
    CPPUNIT_ASSERT(decideRamp(Schedule, Input).Action ==
                   RampDecision::Kind::Keep);
    Input.IsDrained = true;
    CPPUNIT_ASSERT(decideRamp(Schedule, Input).Action ==
                   RampDecision::Kind::Complete);
    Input.IsBad = true;
    CPPUNIT_ASSERT(decideRamp(Schedule, Input).Action ==
                   RampDecision::Kind::RollBack);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

} // namespace mangodeck
