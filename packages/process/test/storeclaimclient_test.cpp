#include "mangodeck/process/storeclaimclient.h"

#include "scriptedstore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace mangodeck {

namespace {

/// Runs posted work in run() and delayed work in runLater(), whatever its
/// delay.
class StepExecutor : public Executor {
public:
  void post(std::function<void()> Work) override {
    m_Ready.push_back(std::move(Work));
  }
  void postAfter(Duration, std::function<void()> Work) override {
    m_Later.push_back(std::move(Work));
  }
  void run() {
    while (!m_Ready.empty()) {
      const auto Work = std::move(m_Ready.front());
      m_Ready.pop_front();
      Work();
    }
  }
  bool runLater() {
    const auto Work = std::exchange(m_Later, {});
    for (const auto &Each : Work)
      Each();
    return !Work.empty();
  }

private:
  std::deque<std::function<void()>> m_Ready;
  std::vector<std::function<void()>> m_Later;
};

} // namespace

class StoreClaimClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClaimClientTest);
  CPPUNIT_TEST(client_resendAfterFinish_getsStoredAnswer);
  CPPUNIT_TEST(client_grantedAgain_winsWithoutStoreCall);
  CPPUNIT_TEST(client_storeDownAtFinish_answerIsStoredByRetry);
  CPPUNIT_TEST(client_storeDownAtClaim_isReleasedByRetry);
  CPPUNIT_TEST_SUITE_END();

public:
  void client_resendAfterFinish_getsStoredAnswer() {
    CPPUNIT_ASSERT(claim(1).Result == ClaimResult::Won);
    m_Client.complete(m_Key, {0, 1}, {200, "text/plain", "paid"});
    settle(CallFate::Answered);
    const auto Reply = claim(2);
    CPPUNIT_ASSERT(Reply.Result == ClaimResult::Held && Reply.Answer);
    CPPUNIT_ASSERT_EQUAL(std::string("paid"), Reply.Answer->Body);
  }

  void client_grantedAgain_winsWithoutStoreCall() {
    claim(1);
    CPPUNIT_ASSERT(claim(1, CallFate::NeverSent).Result == ClaimResult::Won);
  }

  void client_storeDownAtFinish_answerIsStoredByRetry() {
    claim(1);
    m_Client.complete(m_Key, {0, 1}, {200, "text/plain", "paid"});
    settle(CallFate::NeverSent);
    CPPUNIT_ASSERT(!claim(2).Answer);
    CPPUNIT_ASSERT(m_Loop.runLater());
    settle(CallFate::Answered);
    CPPUNIT_ASSERT(claim(2).Answer.has_value());
  }

  void client_storeDownAtClaim_isReleasedByRetry() {
    claim(9);
    m_Client.release(m_Key, {0, 9});
    settle(CallFate::Answered);
    CPPUNIT_ASSERT(claim(1, CallFate::Delayed).Result ==
                   ClaimResult::Unreachable);
    CPPUNIT_ASSERT(m_Loop.runLater());
    settle(CallFate::Answered);
    while (m_Connection.delayed() > 0)
      m_Connection.applyDelayed(0);
    CPPUNIT_ASSERT(claim(2).Result == ClaimResult::Won);
  }

private:
  const ClaimKey m_Key{CustomerName("coop"), "key"};

  void settle(CallFate Fate) {
    m_Loop.run();
    while (m_Connection.pending() > 0) {
      m_Connection.settle(0, Fate);
      m_Loop.run();
    }
  }

  ClaimReply claim(std::uint64_t Request, CallFate Fate = CallFate::Answered) {
    ClaimReply Last;
    m_Client.claim(m_Key, 1, {0, Request},
                   [&](ClaimReply Reply) { Last = std::move(Reply); });
    settle(Fate);
    return Last;
  }

  ScriptedStore m_Store;
  ScriptedConnection m_Connection{m_Store};
  SeededRandom m_Random{1};
  ManualClock m_Clock;
  StepExecutor m_Loop;
  StoreClaimClient m_Client{
      {VmName("vm-1"), 1}, m_Connection, m_Random, m_Loop, m_Clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClaimClientTest);

} // namespace mangodeck
