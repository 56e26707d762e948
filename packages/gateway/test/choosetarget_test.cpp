#include "mangodeck/gateway/choosetarget.h"

#include "mangodeck/common/random.h"
#include "mangodeck/gateway/enginepace.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class ChooseTargetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChooseTargetTest);
  CPPUNIT_TEST(choose_sameSpeed_prefersHome);
  CPPUNIT_TEST(choose_homeTooSlowForObjective_goesAway);
  CPPUNIT_TEST(choose_drainingLostOrTried_areLeftOut);
  CPPUNIT_TEST(choose_allSlotsTaken_findsNone);
  CPPUNIT_TEST(choose_longAnswer_avoidsEngineThatCannotEndInTime);
  CPPUNIT_TEST(choose_longPrompt_avoidsStallingOthers);
  CPPUNIT_TEST(choose_noAllowance_findsNone);
  CPPUNIT_TEST(choose_elsewhereOnly_leavesHomeAndKeepsToAllowance);
  CPPUNIT_TEST(choose_exactLoads_needNoAllowance);
  CPPUNIT_TEST(allowance_manyDaemonsSeeSameSlots_fillThemOnceOverAll);
  CPPUNIT_TEST(book_startedAnew_forgetsWhatWasLearned);
  CPPUNIT_TEST(book_gone_isNotFoundAgain);
  CPPUNIT_TEST(target_failuresInRow_areAvoidedForLonger);
  CPPUNIT_TEST(target_pace_isLearned);
  CPPUNIT_TEST_SUITE_END();

  static TargetPtr target(const char *Id, const char *Domain,
                          double Slowdown = 1) {
    TargetEntry Entry;
    Entry.Id = TargetName(Id);
    Entry.Service = ServiceName("s");
    Entry.Domain = FailureDomain(Domain);
    Entry.Slots = 10;
    auto State = std::make_shared<TrackedTarget>(Entry);
    State->Slowdown = Slowdown;
    State->Allowance = 10;
    return State;
  }

  static TargetChoiceInput input(TokenCount Prompt = 500,
                                 TokenCount Output = 100) {
    TargetChoiceInput Input;
    Input.Work = {true, Prompt, Output};
    Input.OwnDomain = FailureDomain("home");
    Input.TimeToLatencyTarget = 400ms;
    Input.TimeToDeadline = 10s;
    Input.GapTarget = 300ms;
    return Input;
  }

  const TimePoint m_Now{std::chrono::hours(1)};

  std::string chosen(const std::vector<TargetPtr> &Targets,
                     const TargetChoiceInput &Input) const {
    const auto Best = chooseTarget(Targets, Input, m_Now);
    return Best ? Best->Target->Entry.Id.Text : "";
  }

public:
  void choose_sameSpeed_prefersHome() {
    const std::vector<TargetPtr> All = {target("a", "away"),
                                        target("h", "home")};
    CPPUNIT_ASSERT_EQUAL(std::string("h"), chosen(All, input()));
  }

  void choose_homeTooSlowForObjective_goesAway() {
    const std::vector<TargetPtr> All = {target("a", "away"),
                                        target("h", "home", 12)};
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(All, input()));
  }

  void choose_drainingLostOrTried_areLeftOut() {
    const std::vector<TargetPtr> All = {
        target("d", "home"), target("l", "home"), target("t", "home"),
        target("o", "away")};
    All[0]->Entry.Draining = true;
    All[1]->MarkedDown = true;
    auto Input = input();
    const std::vector<TargetPtr> Tried = {All[2]};
    Input.Excluded = Tried;
    CPPUNIT_ASSERT_EQUAL(std::string("o"), chosen(All, Input));
  }

  void choose_allSlotsTaken_findsNone() {
    const std::vector<TargetPtr> All = {target("h", "home")};
    All[0]->OwnRunning = 5;
    All[0]->PeerRunning = 20;
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(All, input()));
  }

  void choose_longAnswer_avoidsEngineThatCannotEndInTime() {
    const std::vector<TargetPtr> All = {target("s", "home", 3),
                                        target("f", "away", 0.6)};
    CPPUNIT_ASSERT_EQUAL(std::string("f"), chosen(All, input(500, 2000)));
  }

  void choose_longPrompt_avoidsStallingOthers() {
    const std::vector<TargetPtr> All = {target("b", "home"),
                                        target("i", "away")};
    All[0]->PeerRunning = 3;
    All[0]->PeerPrefillTokens = 9000;
    auto Input = input(9000);
    Input.TimeToLatencyTarget = 800ms;
    CPPUNIT_ASSERT_EQUAL(std::string("i"), chosen(All, Input));
  }

  void choose_noAllowance_findsNone() {
    const std::vector<TargetPtr> All = {target("h", "home")};
    All[0]->Allowance = 0;
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(All, input()));
  }

  /// A burst reaches 18 daemons that all see the same four free slots. Without
  /// their parts they would send up to 18 x 5 requests into them.
  void choose_elsewhereOnly_leavesHomeAndKeepsToAllowance() {
    const std::vector<TargetPtr> All = {target("h", "home"),
                                        target("a", "away")};
    auto Input = input();
    Input.RemoteDomainsOnly = true;
    CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(All, Input));
    All[1]->Allowance = 0;
    CPPUNIT_ASSERT_EQUAL(std::string(), chosen(All, Input));
  }

  void choose_exactLoads_needNoAllowance() {
    const std::vector<TargetPtr> All = {target("h", "home")};
    All[0]->Allowance = 0;
    auto Input = input();
    Input.LoadsAreExact = true;
    CPPUNIT_ASSERT_EQUAL(std::string("h"), chosen(All, Input));
  }

  void allowance_manyDaemonsSeeSameSlots_fillThemOnceOverAll() {
    SeededRandom Random(5);
    std::uint32_t Sent = 0;
    constexpr int Rounds = 1000;
    for (int I = 0; I < Rounds; ++I)
      for (int Daemon = 0; Daemon < 18; ++Daemon) {
        const auto Seen = target("h", "home");
        Seen->PeerRunning = 7; // Of 11 places.
        Sent += drawAllowance(*Seen, 18, Random.uniform());
      }
    const double Each = static_cast<double>(Sent) / Rounds;
    CPPUNIT_ASSERT(Each > 3.7 && Each < 4.3);
  }

  void book_startedAnew_forgetsWhatWasLearned() {
    TargetRegistry Book;
    auto Entry = target("h", "home")->Entry;
    Entry.StartedUnixMs = 1;
    const auto First = Book.update(Entry);
    First->Slowdown = 3;
    CPPUNIT_ASSERT(Book.update(Entry) == First);
    Entry.StartedUnixMs = 2;
    const auto Second = Book.update(Entry);
    CPPUNIT_ASSERT(Second != First);
    CPPUNIT_ASSERT_EQUAL(1.0, Second->Slowdown);
    CPPUNIT_ASSERT(!First->isUsable(m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Book.targetsOf(ServiceName("s")).size());
  }

  void book_gone_isNotFoundAgain() {
    TargetRegistry Book;
    const auto State = Book.update(target("h", "home")->Entry);
    Book.remove(TargetName("h"));
    CPPUNIT_ASSERT(!State->isUsable(m_Now));
    CPPUNIT_ASSERT(Book.targetsOf(ServiceName("s")).empty());
    CPPUNIT_ASSERT(!Book.findByHash(State->Hash));
  }

  void target_failuresInRow_areAvoidedForLonger() {
    const auto State = target("h", "home");
    State->recordFailure(m_Now);
    CPPUNIT_ASSERT(State->isUsable(m_Now));
    State->recordFailure(m_Now);
    CPPUNIT_ASSERT(!State->isUsable(m_Now));
    const auto First = State->AvoidUntil;
    State->recordFailure(m_Now);
    CPPUNIT_ASSERT(State->AvoidUntil > First);
    State->recordSuccess(m_Now);
    CPPUNIT_ASSERT(State->isUsable(m_Now));
  }

  void target_pace_isLearned() {
    const auto State = target("h", "home");
    for (int I = 0; I < 20; ++I)
      State->recordEventGap(nominalStepTime(0) * 6 * 3, 6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, State->Slowdown, 0.1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChooseTargetTest);

} // namespace mangodeck
