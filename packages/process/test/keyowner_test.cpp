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
  CPPUNIT_TEST(keyOwner_secondJoin_returnsHolder);
  CPPUNIT_TEST(keyOwner_holderGone_nextJoinBecomesHolder);
  CPPUNIT_TEST(keyOwner_releaseOfOtherRequest_isIgnored);
  CPPUNIT_TEST(keyOwner_holderNotRenewed_isRemoved);
  CPPUNIT_TEST(keyedRequests_ownerGone_holderRegistersWithNewOwner);
  CPPUNIT_TEST(keyedRequests_holderGone_followerJoinsAgain);
  CPPUNIT_TEST(keyedRequests_ownerAndHolderGone_followerBecomesHolder);
  CPPUNIT_TEST(keyedRequests_dispatched_followsNoHolder);
  CPPUNIT_TEST(keyedRequests_mutualFollowers_detectItAndRun);
  CPPUNIT_TEST(keyedRequests_sameKeyInProgress_isJoinedLocally);
  CPPUNIT_TEST(answerRelay_lateFollower_getsTheWholeAnswer);
  CPPUNIT_TEST(answerRelay_tooLongOrUnknown_isRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void keyOwner_secondJoin_returnsHolder() {
    join(A, FirstRequest);
    const auto Answer = join(B, SecondRequest);
    CPPUNIT_ASSERT(Answer.Holder == A && Answer.HeldRequest == FirstRequest);
    CPPUNIT_ASSERT(join(A, FirstRequest).Holder.empty());
  }

  void keyOwner_holderGone_nextJoinBecomesHolder() {
    join(A, FirstRequest);
    m_Owner.removeMember(A);
    CPPUNIT_ASSERT(join(B, SecondRequest).Holder.empty());
  }

  void keyOwner_releaseOfOtherRequest_isIgnored() {
    join(A, FirstRequest);
    m_Owner.release(A, {"coop/k", SecondRequest});
    m_Owner.release(B, {"coop/k", FirstRequest});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Owner.size());
    m_Owner.release(A, {"coop/k", FirstRequest});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Owner.size());
  }

  void keyOwner_holderNotRenewed_isRemoved() {
    join(A, FirstRequest);
    m_Owner.expire(m_Now + std::chrono::minutes(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Owner.size());
    m_Owner.expire(m_Now + std::chrono::minutes(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Owner.size());
  }

  void keyedRequests_ownerGone_holderRegistersWithNewOwner() {
    const auto Before = tableOf({A, B, C});
    KeyedRequests Requests(A, FailureDomain("a"));
    PeerActions Out;
    Requests.arrive("coop", "k", FirstRequest, Before, Out);
    const auto OldOwner = Out.front().To;
    Out.clear();
    Requests.registerWithOwners(Before, false, Out);
    CPPUNIT_ASSERT(Out.empty());
    const auto NewOwner = OldOwner == A ? B : A;
    Requests.registerWithOwners(tableOf({NewOwner}), false, Out);
    CPPUNIT_ASSERT(only<JoinKey>(Out).Request == FirstRequest);
    CPPUNIT_ASSERT(Out.front().To == NewOwner);
  }

  void keyedRequests_holderGone_followerJoinsAgain() {
    const auto Owners = tableOf({C});
    KeyedRequests Requests(B, FailureDomain("a"));
    PeerActions Out;
    Requests.arrive("coop", "k", SecondRequest, Owners, Out);
    Requests.onKeyHolder({SecondRequest, A, FirstRequest}, Out);
    CPPUNIT_ASSERT(!Requests.isHolder(SecondRequest));
    Out.clear();
    const auto LostFollowers = Requests.onMemberGone(A, Owners, Out);
    CPPUNIT_ASSERT(LostFollowers == std::vector<RequestId>{SecondRequest});
    CPPUNIT_ASSERT(only<JoinKey>(Out).Key == "coop/k");
  }

  void keyedRequests_ownerAndHolderGone_followerBecomesHolder() {
    KeyedRequests Requests(B, FailureDomain("a"));
    PeerActions Out;
    Requests.arrive("coop", "k", SecondRequest, tableOf({A}), Out);
    Requests.onKeyHolder({SecondRequest, A, FirstRequest}, Out);
    Out.clear();
    Requests.onMemberGone(A, tableOf({B}), Out);
    KeyOwner NewOwner;
    PeerActions Answers;
    NewOwner.join(B, only<JoinKey>(Out), m_Now, Answers);
    CPPUNIT_ASSERT(only<KeyHolder>(Answers).Holder.empty());
    CPPUNIT_ASSERT(Requests.isHolder(SecondRequest));
  }

  void keyedRequests_dispatched_followsNoHolder() {
    KeyedRequests Requests(B, FailureDomain("a"));
    PeerActions Out;
    Requests.arrive("coop", "k", SecondRequest, tableOf({A}), Out);
    Requests.recordDispatch(SecondRequest);
    CPPUNIT_ASSERT(
        !Requests.onKeyHolder({SecondRequest, A, FirstRequest}, Out));
    CPPUNIT_ASSERT(Requests.isHolder(SecondRequest));
  }

  void keyedRequests_mutualFollowers_detectItAndRun() {
    KeyedRequests Requests(B, FailureDomain("a"));
    PeerActions Out;
    Requests.arrive("coop", "k", SecondRequest, tableOf({A}), Out);
    Requests.onKeyHolder({SecondRequest, A, FirstRequest}, Out);
    CPPUNIT_ASSERT(!Requests.isHolder(SecondRequest));
    Requests.stopFollowing(SecondRequest);
    CPPUNIT_ASSERT(Requests.isHolder(SecondRequest));
  }

  void keyedRequests_sameKeyInProgress_isJoinedLocally() {
    KeyedRequests Requests(B, FailureDomain("a"));
    PeerActions Out;
    const auto Owners = tableOf({A});
    Requests.arrive("coop", "k", FirstRequest, Owners, Out);
    const auto Result =
        Requests.arrive("coop", "k", SecondRequest, Owners, Out);
    CPPUNIT_ASSERT(Result == KeyedRequests::ArrivalResult::JoinsLocal);
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
    m_Owner.join(From, {"coop/k", Request}, m_Now, Out);
    CPPUNIT_ASSERT(Out.front().To == From);
    return only<KeyHolder>(Out);
  }

  KeyOwner m_Owner;
  TimePoint m_Now{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyOwnerTest);

} // namespace mangodeck
