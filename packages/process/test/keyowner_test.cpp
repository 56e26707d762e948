#include "mangodeck/process/answerrelay.h"
#include "mangodeck/process/keyowner.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

namespace {

constexpr RequestId FirstRequest{0, 1};
constexpr RequestId SecondRequest{0, 2};
const VmName A("vm-a");
const VmName B("vm-b");
const VmName C("vm-c");

OwnerTable tableOf(std::initializer_list<VmName> Live) {
  std::vector<Member> Members;
  for (const auto &Vm : Live) {
    Member Entry;
    Entry.Vm = Vm;
    Entry.Domain = FailureDomain("a");
    Members.push_back(Entry);
  }
  return OwnerTable(Members, {}, 1);
}

template <typename T> const T &only(const PeerActions &Actions) {
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Actions.size());
  const auto *Found = std::get_if<T>(&Actions.front().Message);
  CPPUNIT_ASSERT(Found);
  return *Found;
}

} // namespace

class KeyOwnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyOwnerTest);
  CPPUNIT_TEST(keyHome_secondAsker_isToldTheHolder);
  CPPUNIT_TEST(keyHome_holderGone_nextAskerHolds);
  CPPUNIT_TEST(keyHome_releaseOfOtherRequest_isIgnored);
  CPPUNIT_TEST(keyHome_holderSilent_isForgotten);
  CPPUNIT_TEST(keyedRequests_homeGone_holderRegistersAnew);
  CPPUNIT_TEST(keyedRequests_holderGone_followerAsksAgain);
  CPPUNIT_TEST(keyedRequests_homeAndHolderGone_followerHolds);
  CPPUNIT_TEST(keyedRequests_dispatched_followsNobody);
  CPPUNIT_TEST(keyedRequests_mutualFollowers_findOutAndGoAlone);
  CPPUNIT_TEST(keyedRequests_sameKeyHere_isJoinedLocally);
  CPPUNIT_TEST(answerRelay_lateFollower_getsTheWholeAnswer);
  CPPUNIT_TEST(answerRelay_tooLongOrUnknown_isRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void keyHome_secondAsker_isToldTheHolder() {
    join(A, FirstRequest);
    const auto Answer = join(B, SecondRequest);
    CPPUNIT_ASSERT(Answer.Holder == A && Answer.HeldRequest == FirstRequest);
    CPPUNIT_ASSERT(join(A, FirstRequest).Holder.empty());
  }

  void keyHome_holderGone_nextAskerHolds() {
    join(A, FirstRequest);
    m_Home.forgetMember(A);
    CPPUNIT_ASSERT(join(B, SecondRequest).Holder.empty());
  }

  void keyHome_releaseOfOtherRequest_isIgnored() {
    join(A, FirstRequest);
    m_Home.release(A, {"coop/k", SecondRequest});
    m_Home.release(B, {"coop/k", FirstRequest});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Home.size());
    m_Home.release(A, {"coop/k", FirstRequest});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Home.size());
  }

  void keyHome_holderSilent_isForgotten() {
    join(A, FirstRequest);
    m_Home.expire(m_Now + std::chrono::minutes(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Home.size());
    m_Home.expire(m_Now + std::chrono::minutes(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Home.size());
  }

  void keyedRequests_homeGone_holderRegistersAnew() {
    const auto Before = tableOf({A, B, C});
    KeyedRequests Requests(A, FailureDomain("a"));
    PeerActions Out;
    Requests.arrive("coop", "k", FirstRequest, Before, Out);
    const auto OldHome = Out.front().To;
    Out.clear();
    Requests.rehome(Before, false, Out);
    CPPUNIT_ASSERT(Out.empty());
    const auto NewHome = OldHome == A ? B : A;
    Requests.rehome(tableOf({NewHome}), false, Out);
    CPPUNIT_ASSERT(only<JoinKey>(Out).Request == FirstRequest);
    CPPUNIT_ASSERT(Out.front().To == NewHome);
  }

  void keyedRequests_holderGone_followerAsksAgain() {
    const auto Owners = tableOf({C});
    KeyedRequests Requests(B, FailureDomain("a"));
    PeerActions Out;
    Requests.arrive("coop", "k", SecondRequest, Owners, Out);
    Requests.onHolder({SecondRequest, A, FirstRequest}, Out);
    CPPUNIT_ASSERT(!Requests.isHeld(SecondRequest));
    Out.clear();
    const auto Orphans = Requests.onMemberGone(A, Owners, Out);
    CPPUNIT_ASSERT(Orphans == std::vector<RequestId>{SecondRequest});
    CPPUNIT_ASSERT(only<JoinKey>(Out).Key == "coop/k");
  }

  void keyedRequests_homeAndHolderGone_followerHolds() {
    KeyedRequests Requests(B, FailureDomain("a"));
    PeerActions Out;
    Requests.arrive("coop", "k", SecondRequest, tableOf({A}), Out);
    Requests.onHolder({SecondRequest, A, FirstRequest}, Out);
    Out.clear();
    Requests.onMemberGone(A, tableOf({B}), Out);
    KeyOwner Own;
    PeerActions Answers;
    Own.join(B, only<JoinKey>(Out), m_Now, Answers);
    CPPUNIT_ASSERT(only<KeyHolder>(Answers).Holder.empty());
    CPPUNIT_ASSERT(Requests.isHeld(SecondRequest));
  }

  void keyedRequests_dispatched_followsNobody() {
    KeyedRequests Requests(B, FailureDomain("a"));
    PeerActions Out;
    Requests.arrive("coop", "k", SecondRequest, tableOf({A}), Out);
    Requests.noteDispatched(SecondRequest);
    CPPUNIT_ASSERT(!Requests.onHolder({SecondRequest, A, FirstRequest}, Out));
    CPPUNIT_ASSERT(Requests.isHeld(SecondRequest));
  }

  void keyedRequests_mutualFollowers_findOutAndGoAlone() {
    KeyedRequests Requests(B, FailureDomain("a"));
    PeerActions Out;
    Requests.arrive("coop", "k", SecondRequest, tableOf({A}), Out);
    Requests.onHolder({SecondRequest, A, FirstRequest}, Out);
    CPPUNIT_ASSERT(!Requests.isHeld(SecondRequest));
    Requests.goAlone(SecondRequest);
    CPPUNIT_ASSERT(Requests.isHeld(SecondRequest));
  }

  void keyedRequests_sameKeyHere_isJoinedLocally() {
    KeyedRequests Requests(B, FailureDomain("a"));
    PeerActions Out;
    const auto Owners = tableOf({A});
    Requests.arrive("coop", "k", FirstRequest, Owners, Out);
    const auto Course =
        Requests.arrive("coop", "k", SecondRequest, Owners, Out);
    CPPUNIT_ASSERT(Course == KeyedRequests::Course::Local);
    CPPUNIT_ASSERT(Requests.localHolder("coop", "k") == FirstRequest);
    Requests.finish(FirstRequest, Owners, Out);
    CPPUNIT_ASSERT(!Requests.localHolder("coop", "k"));
  }

  void answerRelay_lateFollower_getsTheWholeAnswer() {
    AnswerRelay Relay;
    PeerActions Out;
    Relay.open(FirstRequest);
    Relay.begin(FirstRequest, 200, "text/plain", Out);
    Relay.append(FirstRequest, "one ", Out);
    Relay.follow(B, {SecondRequest, FirstRequest}, Out);
    Relay.append(FirstRequest, "two", Out);
    Relay.end(FirstRequest, Run::Yes, Out);
    std::string Whole;
    for (const auto &Action : Out) {
      const auto &Part = std::get<AnswerPart>(Action.Message);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{Whole.size()}, Part.Offset);
      CPPUNIT_ASSERT(Part.Request == SecondRequest && Action.To == B);
      Whole += Part.Bytes;
    }
    CPPUNIT_ASSERT_EQUAL(std::string("one two"), Whole);
    CPPUNIT_ASSERT(std::get<AnswerPart>(Out.back().Message).Last);
  }

  void answerRelay_tooLongOrUnknown_isRefused() {
    AnswerRelay Relay(4);
    PeerActions Out;
    Relay.open(FirstRequest);
    Relay.begin(FirstRequest, 200, "text/plain", Out);
    Relay.append(FirstRequest, "12345", Out);
    for (const auto &Held : {FirstRequest, RequestId{9, 9}}) {
      Out.clear();
      Relay.follow(B, {SecondRequest, Held}, Out);
      const auto &Part = only<AnswerPart>(Out);
      CPPUNIT_ASSERT(Part.Last && Part.Status == 0);
    }
  }

private:
  KeyHolder join(const VmName &From, const RequestId &Request) {
    PeerActions Out;
    m_Home.join(From, {"coop/k", Request}, m_Now, Out);
    CPPUNIT_ASSERT(Out.front().To == From);
    return only<KeyHolder>(Out);
  }

  KeyOwner m_Home;
  TimePoint m_Now{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyOwnerTest);

} // namespace mangodeck
