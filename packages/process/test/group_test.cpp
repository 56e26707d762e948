#include "groupfixture.h"

namespace mangodeck {

class GroupTest : public GroupFixture {
  CPPUNIT_TEST_SUITE(GroupTest);
  CPPUNIT_TEST(ticket_targetFree_isGrantedOnSubmit);
  CPPUNIT_TEST(ticket_targetFull_waitsForFinish);
  CPPUNIT_TEST(tickets_targetFrees_areGrantedByTierThenDeadline);
  CPPUNIT_TEST(customers_oneFloods_shareTokensEqually);
  CPPUNIT_TEST(queue_fullOfLowerTier_evictsNewestOfLowestTier);
  CPPUNIT_TEST(queue_fullOfSameTier_shedsArrivalWithRetryAfter);
  CPPUNIT_TEST(ticket_deadlinePassed_isExpiredAtNextTick);
  CPPUNIT_TEST(ticket_submittedAgain_isGrantedOnce);
  CPPUNIT_TEST(grantedTicket_submittedAgain_repeatsSameGrant);
  CPPUNIT_TEST(withdrawnTicket_targetFrees_isNotGranted);
  CPPUNIT_TEST(returnedGrant_notDelivered_isGrantedOtherTarget);
  CPPUNIT_TEST(returnedGrant_duplicate_keepsItsSequence);
  CPPUNIT_TEST(leavingTarget_laterReportNotLeaving_staysLeaving);
  CPPUNIT_TEST(leavingTarget_laterIncarnation_isUsedAgain);
  CPPUNIT_TEST(leavingTarget_markedBeforeFirstReport_staysLeaving);
  CPPUNIT_TEST(downTarget_nextReport_isUsedAgain);
  CPPUNIT_TEST(noUsableTarget_afterGrace_refusesWaitingAndNew);
  CPPUNIT_TEST(poisonRequest_secondCrash_isQuarantined);
  CPPUNIT_TEST(suspects_waitingTogether_runOneAtATime);
  CPPUNIT_TEST(suspect_completed_isCleared);
  CPPUNIT_TEST(largeSuspect_otherSuspectRuns_waitsForIt);
  CPPUNIT_TEST(customer_overConcurrency_isRateLimited);
  CPPUNIT_TEST(customer_overRequestRate_isRefusedWithRetryAfter);
  CPPUNIT_TEST(customer_demandInOtherGroup_reducesShareHere);
  CPPUNIT_TEST(newOwner_adoptedRequests_countAgainstLimit);
  CPPUNIT_TEST(lostEntry_itsRequests_areReleased);
  CPPUNIT_TEST(largeTicket_amongSmallOnes_isGrantedEventually);
  CPPUNIT_TEST(smallTicket_targetReservedForLarge_usesOtherTarget);
  CPPUNIT_TEST(fullGroup_otherHasOneFreeSequence_spillsOneTicket);
  CPPUNIT_TEST(fullGroup_spilledTicket_isNotSpilledAgain);
  CPPUNIT_TEST(staleReport_grantsSinceReport_areAdded);
  CPPUNIT_TEST(lowTier_withReserve_isNotStarved);
  CPPUNIT_TEST(suspect_receivedFromOtherGroup_secondCrashQuarantines);
  CPPUNIT_TEST(failingTarget_threeFailures_isEjectedThenProbed);
  CPPUNIT_TEST(longPrefix_otherGroupOwnsPrefix_isSpilledThere);
  CPPUNIT_TEST(commonPrefix_runningTwice_usesKvCacheOnce);
  CPPUNIT_TEST(ticket_answerCannotComeInTime_isRefusedOnSubmit);
  CPPUNIT_TEST_SUITE_END();

public:
  void ticket_targetFree_isGrantedOnSubmit() {
    configure(makeConfig(1, 1));
    const auto Id = submit(makeTicket(0));
    CPPUNIT_ASSERT(findGrant(Id));
    CPPUNIT_ASSERT_EQUAL(std::string("t0"), findGrant(Id)->Target.Text);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), findGrant(Id)->Epoch);
  }

  void ticket_targetFull_waitsForFinish() {
    configure(makeConfig(1, 1));
    const auto First = submit(makeTicket(0));
    const auto Second = submit(makeTicket(0));
    CPPUNIT_ASSERT(!findGrant(Second));
    finish(First);
    CPPUNIT_ASSERT(findGrant(Second));
  }

  void tickets_targetFrees_areGrantedByTierThenDeadline() {
    configure(makeConfig(1, 1));
    const auto First = submit(makeTicket(0));
    const auto Low = submit(makeTicket(2));
    const auto Late = submit(makeTicket(1));
    auto Urgent = makeTicket(1);
    Urgent.Deadline -= 10s;
    const auto Early = submit(Urgent);
    finish(First);
    CPPUNIT_ASSERT(findGrant(Early) && !findGrant(Late) && !findGrant(Low));
    finish(Early);
    CPPUNIT_ASSERT(findGrant(Late) && !findGrant(Low));
  }

  void customers_oneFloods_shareTokensEqually() {
    configure(makeConfig(1, 1));
    auto Running = submit(makeTicket(1, "flood"));
    for (int I = 0; I < 20; ++I)
      submit(makeTicket(1, "flood"));
    std::vector<RequestId> Small;
    for (int I = 0; I < 4; ++I)
      Small.push_back(submit(makeTicket(1, "small")));
    for (int I = 0; I < 9; ++I) {
      finish(Running);
      Running = std::get<GrantAction>(m_Out.back()).Granted.Request;
    }
    for (const auto &Id : Small)
      CPPUNIT_ASSERT(findGrant(Id));
  }

  void queue_fullOfLowerTier_evictsNewestOfLowestTier() {
    configure(makeConfig(1, 1, 3));
    submit(makeTicket(0));
    const auto A = submit(makeTicket(1));
    const auto B = submit(makeTicket(2));
    const auto C = submit(makeTicket(2));
    const auto High = submit(makeTicket(0));
    CPPUNIT_ASSERT(findRefusal(C));
    CPPUNIT_ASSERT(findRefusal(C)->Reason == NotRunReason::Shed);
    CPPUNIT_ASSERT(!findRefusal(A) && !findRefusal(B) && !findRefusal(High));
  }

  void queue_fullOfSameTier_shedsArrivalWithRetryAfter() {
    configure(makeConfig(1, 1, 2));
    submit(makeTicket(1));
    submit(makeTicket(1));
    submit(makeTicket(1));
    const auto Id = submit(makeTicket(1));
    CPPUNIT_ASSERT(findRefusal(Id));
    CPPUNIT_ASSERT(findRefusal(Id)->Reason == NotRunReason::Shed);
    CPPUNIT_ASSERT(findRefusal(Id)->RetryAfter > Duration(0));
  }

  void ticket_deadlinePassed_isExpiredAtNextTick() {
    configure(makeConfig(1, 1));
    submit(makeTicket(0));
    auto Short = makeTicket(0);
    Short.Deadline = now() + 1s;
    const auto Id = submit(Short);
    advanceAndTick(1100ms);
    CPPUNIT_ASSERT(findRefusal(Id));
    CPPUNIT_ASSERT(findRefusal(Id)->Reason == NotRunReason::Expired);
  }

  void ticket_submittedAgain_isGrantedOnce() {
    configure(makeConfig(1, 1));
    const auto First = submit(makeTicket(0));
    const auto Waiting = makeTicket(0);
    submit(Waiting);
    submit(Waiting);
    finish(First);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), countGrants(Waiting.Id));
  }

  void grantedTicket_submittedAgain_repeatsSameGrant() {
    configure(makeConfig(2, 4));
    const auto Request = makeTicket(0);
    submit(Request);
    const auto Target = findGrant(Request.Id)->Target;
    submit(Request);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), countGrants(Request.Id));
    CPPUNIT_ASSERT(findGrant(Request.Id)->Target == Target);
  }

  void withdrawnTicket_targetFrees_isNotGranted() {
    configure(makeConfig(1, 1));
    const auto First = submit(makeTicket(0));
    const auto Gone = submit(makeTicket(0));
    m_Group->withdraw(Gone, now(), m_Out);
    finish(First);
    CPPUNIT_ASSERT(!findGrant(Gone));
  }

  void returnedGrant_notDelivered_isGrantedOtherTarget() {
    configure(makeConfig(2, 1));
    const auto Id = submit(makeTicket(0));
    const auto First = findGrant(Id)->Target;
    m_Group->returnGrant(Id, ReturnReason::NotDelivered, now(), m_Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), countGrants(Id));
    CPPUNIT_ASSERT(!(findGrant(Id)->Target == First));
  }

  void returnedGrant_duplicate_keepsItsSequence() {
    configure(makeConfig(1, 1));
    const auto Id = submit(makeTicket(0));
    m_Group->returnGrant(Id, ReturnReason::Duplicate, now(), m_Out);
    CPPUNIT_ASSERT(!findGrant(submit(makeTicket(0))));
  }

  void leavingTarget_laterReportNotLeaving_staysLeaving() {
    configure(makeConfig(1, 1));
    sendLoadReport("t0", 5);
    m_Group->markLeaving(TargetName("t0"), 5, now(), m_Out);
    sendLoadReport("t0", 5, false);
    CPPUNIT_ASSERT(!findGrant(submit(makeTicket(0))));
  }

  void leavingTarget_laterIncarnation_isUsedAgain() {
    configure(makeConfig(1, 1));
    sendLoadReport("t0", 5, true);
    const auto Id = submit(makeTicket(0));
    CPPUNIT_ASSERT(!findGrant(Id));
    sendLoadReport("t0", 6);
    CPPUNIT_ASSERT(findGrant(Id));
  }

  void leavingTarget_markedBeforeFirstReport_staysLeaving() {
    configure(makeConfig(1, 1));
    m_Group->markLeaving(TargetName("t0"), 0, now(), m_Out);
    sendLoadReport("t0", 5);
    CPPUNIT_ASSERT(!findGrant(submit(makeTicket(0))));
  }

  void downTarget_nextReport_isUsedAgain() {
    configure(makeConfig(1, 1));
    sendLoadReport("t0", 5);
    m_Group->markDown(TargetName("t0"), now(), m_Out);
    const auto Id = submit(makeTicket(0));
    CPPUNIT_ASSERT(!findGrant(Id));
    sendLoadReport("t0", 3);
    CPPUNIT_ASSERT(findGrant(Id));
  }

  void noUsableTarget_afterGrace_refusesWaitingAndNew() {
    configure(makeConfig(1, 1));
    m_Group->markDown(TargetName("t0"), now(), m_Out);
    const auto Waiting = submit(makeTicket(0));
    advanceAndTick(100ms);
    CPPUNIT_ASSERT(!findRefusal(Waiting));
    advanceAndTick(3s);
    CPPUNIT_ASSERT(findRefusal(Waiting));
    CPPUNIT_ASSERT(findRefusal(Waiting)->Reason == NotRunReason::NoTarget);
    const auto Late = submit(makeTicket(0));
    CPPUNIT_ASSERT(findRefusal(Late));
    CPPUNIT_ASSERT(findRefusal(Late)->RetryAfter > Duration(0));
  }

  void poisonRequest_secondCrash_isQuarantined() {
    configure(makeConfig(3, 2));
    auto Poison = makeTicket(0);
    for (int Crash = 0; Crash < 2; ++Crash) {
      Poison.Id = makeTicket(0).Id;
      submit(Poison);
      finish(Poison.Id, FinishKind::Crashed);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Group->quarantined().size());
    Poison.Id = makeTicket(0).Id;
    submit(Poison);
    CPPUNIT_ASSERT(!findGrant(Poison.Id));
    CPPUNIT_ASSERT(findRefusal(Poison.Id)->Reason == NotRunReason::Quarantined);
  }

  void suspects_waitingTogether_runOneAtATime() {
    configure(makeConfig(3, 4));
    std::vector<Ticket> Requests;
    std::vector<RequestId> OnCrashed;
    for (int I = 0; I < 12; ++I) {
      Requests.push_back(makeTicket(0));
      submit(Requests.back());
    }
    const auto Crashed = findGrant(Requests[0].Id)->Target;
    std::vector<Ticket> Again;
    for (auto &Request : Requests)
      if (findGrant(Request.Id)->Target == Crashed)
        Again.push_back(Request);
    CPPUNIT_ASSERT(Again.size() >= 2);
    finish(Again[0].Id, FinishKind::Crashed);
    for (const auto &Request : Requests)
      if (!(findGrant(Request.Id)->Target == Crashed))
        finish(Request.Id);
    Again[0].Id = makeTicket(0).Id;
    Again[1].Id = makeTicket(0).Id;
    submit(Again[0]);
    submit(Again[1]);
    CPPUNIT_ASSERT(findGrant(Again[0].Id) && !findGrant(Again[1].Id));
    CPPUNIT_ASSERT(findGrant(submit(makeTicket(0))));
    finish(Again[0].Id);
    CPPUNIT_ASSERT(findGrant(Again[1].Id));
  }

  void suspect_completed_isCleared() {
    configure(makeConfig(3, 4));
    auto Request = makeTicket(0);
    submit(Request);
    finish(Request.Id, FinishKind::Crashed);
    Request.Id = makeTicket(0).Id;
    submit(Request);
    finish(Request.Id);
    Request.Id = makeTicket(0).Id;
    submit(Request);
    finish(Request.Id, FinishKind::Crashed);
    CPPUNIT_ASSERT(m_Group->quarantined().empty());
  }

  void largeSuspect_otherSuspectRuns_waitsForIt() {
    auto Config = makeConfig(2, 8);
    Config.Targets[0].KvTokens = Config.Targets[1].KvTokens = 1000;
    configure(Config);
    std::vector<RequestId> Filling;
    for (int I = 0; I < 12; ++I)
      Filling.push_back(submit(makeTicket(0)));
    auto Large = makeTicket(0);
    Large.PromptTokens = 800;
    const auto Small = makeTicket(0);
    const CrashSuspect Received[] = {{Large.Fingerprint, 1},
                                     {Small.Fingerprint, 2}};
    m_Group->recordSuspects(Received, now(), m_Out);
    submit(Large);
    submit(Small);
    for (const auto &Id : Filling)
      finish(Id);
    CPPUNIT_ASSERT(findGrant(Small.Id) && !findGrant(Large.Id));
    finish(Small.Id);
    CPPUNIT_ASSERT(findGrant(Large.Id));
  }

  void customer_overConcurrency_isRateLimited() {
    auto Config = makeConfig(1, 4);
    Customer Record;
    Record.Name = CustomerName("c");
    Record.Concurrency = 2;
    Config.Customers.push_back(Record);
    configure(Config);
    const auto First = submit(makeTicket(0));
    submit(makeTicket(0));
    const auto Over = submit(makeTicket(0));
    CPPUNIT_ASSERT(findRefusal(Over));
    CPPUNIT_ASSERT(findRefusal(Over)->Reason == NotRunReason::RateLimited);
    finish(First);
    CPPUNIT_ASSERT(findGrant(submit(makeTicket(0))));
  }

  void customer_overRequestRate_isRefusedWithRetryAfter() {
    auto Config = makeConfig(1, 16);
    Customer Record;
    Record.Name = CustomerName("c");
    Record.RequestsPerSecond = 0.5;
    Config.Customers.push_back(Record);
    configure(Config);
    CPPUNIT_ASSERT(findGrant(submit(makeTicket(0))));
    const auto Over = submit(makeTicket(0));
    CPPUNIT_ASSERT(findRefusal(Over));
    CPPUNIT_ASSERT(findRefusal(Over)->RetryAfter == Duration(2s));
    advanceAndTick(2s);
    CPPUNIT_ASSERT(findGrant(submit(makeTicket(0))));
  }

  void customer_demandInOtherGroup_reducesShareHere() {
    auto Config = makeConfig(1, 16);
    Customer Record;
    Record.Name = CustomerName("c");
    Record.Concurrency = 8;
    Config.Customers.push_back(Record);
    configure(Config);
    advanceAndTick(1s);
    finish(submit(makeTicket(0)));
    finish(submit(makeTicket(0)));
    advanceAndTick(1s);
    const auto Own = m_Group->summary(now()).Demand;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Own.size());
    GroupSummary Other;
    Other.Group = GroupId{m_Id.Service, FailureDomain("b"), 0};
    Other.Demand = {{Record.Name, 3 * Own[0].RequestsPerSecond}};
    m_Group->receiveSummary(Other, 3ms, now());
    // This group's smoothed demand falls, so its share is below a quarter.
    advanceAndTick(1s);
    int Granted = 0;
    for (int I = 0; I < 8; ++I)
      Granted += findGrant(submit(makeTicket(0))) != nullptr;
    CPPUNIT_ASSERT_EQUAL(1, Granted);
    // The other group's summary expires.
    advanceAndTick(4s);
    CPPUNIT_ASSERT(findGrant(submit(makeTicket(0))));
  }

  void newOwner_adoptedRequests_countAgainstLimit() {
    configure(makeConfig(1, 1));
    RunningRequest Running;
    Running.Request = makeTicket(1);
    Running.Target = TargetName("t0");
    m_Group->adoptRunning(std::span(&Running, 1), now(), m_Out);
    const auto Id = submit(makeTicket(0));
    CPPUNIT_ASSERT(!findGrant(Id));
    FinishReport Report;
    Report.Request = Running.Request.Id;
    Report.Target = Running.Target;
    m_Group->finish(Report, now(), m_Out);
    CPPUNIT_ASSERT(findGrant(Id));
  }

  void lostEntry_itsRequests_areReleased() {
    configure(makeConfig(1, 1));
    submit(makeTicket(0));
    auto Other = makeTicket(0);
    Other.Entry = VmName("vm2");
    submit(Other);
    m_Group->releaseEntry(VmName("vm1"), now(), m_Out);
    CPPUNIT_ASSERT(findGrant(Other.Id));
  }

  void largeTicket_amongSmallOnes_isGrantedEventually() {
    auto Config = makeConfig(1, 8);
    Config.Targets[0].KvTokens = 1000;
    configure(Config);
    std::vector<RequestId> Small;
    for (int I = 0; I < 6; ++I)
      Small.push_back(submit(makeTicket(0)));
    auto Large = makeTicket(0);
    Large.PromptTokens = 800;
    submit(Large);
    const auto After = submit(makeTicket(0));
    finish(Small[0]);
    CPPUNIT_ASSERT(!findGrant(After) && !findGrant(Large.Id));
    for (std::size_t I = 1; I < Small.size(); ++I)
      finish(Small[I]);
    CPPUNIT_ASSERT(findGrant(Large.Id));
  }

  void smallTicket_targetReservedForLarge_usesOtherTarget() {
    auto Config = makeConfig(2, 8);
    Config.Targets[0].KvTokens = Config.Targets[1].KvTokens = 1000;
    configure(Config);
    std::vector<RequestId> Filling;
    for (int I = 0; I < 12; ++I)
      Filling.push_back(submit(makeTicket(0)));
    auto Large = makeTicket(0);
    Large.PromptTokens = 800;
    submit(Large);
    const auto Small = submit(makeTicket(0));
    CPPUNIT_ASSERT(!findGrant(Small));
    finish(Filling[0]);
    finish(Filling[1]);
    CPPUNIT_ASSERT(findGrant(Small) && !findGrant(Large.Id));
  }

  void fullGroup_otherHasOneFreeSequence_spillsOneTicket() {
    configure(makeConfig(1, 1));
    GroupSummary Other;
    Other.Group = GroupId{m_Id.Service, FailureDomain("b"), 0};
    Other.FreeSequences = 1;
    m_Group->receiveSummary(Other, 3ms, now());
    submit(makeTicket(0));
    const auto Spilled = submit(makeTicket(0));
    CPPUNIT_ASSERT(findSpill(Spilled));
    CPPUNIT_ASSERT(findSpill(Spilled)->To == Other.Group);
    CPPUNIT_ASSERT(findSpill(Spilled)->Request.Hops == 1);
    CPPUNIT_ASSERT(!findSpill(submit(makeTicket(0))));
  }

  void fullGroup_spilledTicket_isNotSpilledAgain() {
    configure(makeConfig(1, 1));
    GroupSummary Other;
    Other.Group = GroupId{m_Id.Service, FailureDomain("b"), 0};
    Other.FreeSequences = 5;
    m_Group->receiveSummary(Other, 3ms, now());
    submit(makeTicket(0));
    auto Request = makeTicket(0);
    Request.Hops = 1;
    submit(Request);
    advanceAndTick(100ms);
    CPPUNIT_ASSERT(!findSpill(Request.Id));
  }

  void staleReport_grantsSinceReport_areAdded() {
    configure(makeConfig(1, 4));
    advanceAndTick(10s);
    submit(makeTicket(0));
    submit(makeTicket(0));
    LoadReport Report;
    Report.Target = TargetName("t0");
    Report.TargetIncarnation = 1;
    Report.Age = 5s;
    // Granted by another owner, before both grants.
    Report.RunningSequences = 1;
    m_Group->reportLoad(Report, now(), m_Out);
    CPPUNIT_ASSERT(findGrant(submit(makeTicket(0))));
    CPPUNIT_ASSERT(!findGrant(submit(makeTicket(0))));
  }

  void lowTier_withReserve_isNotStarved() {
    auto Config = makeConfig(1, 1);
    Config.Tiers[2].Reserve = 0.1;
    configure(Config);
    auto Running = submit(makeTicket(0));
    const auto Low = submit(makeTicket(2));
    for (int I = 0; I < 40; ++I)
      submit(makeTicket(0));
    int Rounds = 0;
    while (!findGrant(Low) && ++Rounds < 15) {
      finish(Running);
      Running = std::get<GrantAction>(m_Out.back()).Granted.Request;
    }
    CPPUNIT_ASSERT(findGrant(Low));
    CPPUNIT_ASSERT(Rounds >= 9);
  }

  void suspect_receivedFromOtherGroup_secondCrashQuarantines() {
    configure(makeConfig(2, 2));
    auto Poison = makeTicket(0);
    const CrashSuspect Received{Poison.Fingerprint, 99};
    m_Group->recordSuspects(std::span(&Received, 1), now(), m_Out);
    CPPUNIT_ASSERT(m_Group->suspects(now()).empty());
    submit(Poison);
    finish(Poison.Id, FinishKind::Crashed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Group->quarantined().size());
  }

  void failingTarget_threeFailures_isEjectedThenProbed() {
    configure(makeConfig(3, 1));
    std::vector<RequestId> Running;
    for (int I = 0; I < 3; ++I)
      Running.push_back(submit(makeTicket(0)));
    const auto Failing = findGrant(Running[0])->Target;
    for (int I = 0; I < 3; ++I) {
      finish(Running[0], FinishKind::Lost);
      Running[0] = submit(makeTicket(0));
      CPPUNIT_ASSERT_EQUAL(I < 2, findGrant(Running[0]) != nullptr);
    }
    advanceAndTick(6s);
    CPPUNIT_ASSERT(findGrant(Running[0]));
    CPPUNIT_ASSERT(findGrant(Running[0])->Target == Failing);
  }

  void longPrefix_otherGroupOwnsPrefix_isSpilledThere() {
    configure(makeConfig(2, 16));
    GroupSummary Other;
    Other.Group = GroupId{m_Id.Service, FailureDomain("b"), 0};
    Other.FreeSequences = 100;
    m_Group->receiveSummary(Other, 3ms, now());
    int Spilled = 0;
    for (std::uint64_t Prefix = 1; Prefix <= 20; ++Prefix) {
      auto Request = makeTicketWithPrefix(Prefix);
      Spilled += findSpill(submit(Request)) != nullptr;
      Request.Id = makeTicket(0).Id;
      Request.Hops = 1;
      CPPUNIT_ASSERT(!findSpill(submit(Request)));
    }
    CPPUNIT_ASSERT(Spilled >= 4 && Spilled <= 16);
  }

  void commonPrefix_runningTwice_usesKvCacheOnce() {
    auto Config = makeConfig(1, 8);
    Config.Targets[0].KvTokens = 7000;
    configure(Config);
    CPPUNIT_ASSERT(findGrant(submit(makeTicketWithPrefix(1))));
    CPPUNIT_ASSERT(findGrant(submit(makeTicketWithPrefix(1))));
    CPPUNIT_ASSERT(!findGrant(submit(makeTicketWithPrefix(2))));
  }

  void ticket_answerCannotComeInTime_isRefusedOnSubmit() {
    configure(makeConfig(1, 1));
    finish(submit(makeTicket(0)));
    auto Late = makeTicket(0);
    Late.Deadline = now() + 500ms;
    const auto Id = submit(Late);
    CPPUNIT_ASSERT(findRefusal(Id));
    CPPUNIT_ASSERT(findRefusal(Id)->Reason == NotRunReason::Expired);
  }

private:
  Ticket makeTicketWithPrefix(std::uint64_t Prefix) {
    auto Request = makeTicket(0);
    Request.PromptTokens = 4196;
    Request.TokensPerBlock = 1024;
    for (std::uint64_t I = 0; I < 4; ++I)
      Request.PrefixBlocks.push_back(Prefix * 10 + I);
    return Request;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupTest);

} // namespace mangodeck
