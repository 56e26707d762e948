#include "mangodeck/gateway/changesubscribers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class ChangeSubscribersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeSubscribersTest);
  CPPUNIT_TEST(subscriber_withinTwoDeadlines_isCurrent);
  CPPUNIT_TEST(subscriber_asksAgain_isListedOnce);
  CPPUNIT_TEST(subscriberClock_queryWasDelayed_isNeverAhead);
  CPPUNIT_TEST(subscribers_many_areBounded);
  CPPUNIT_TEST(relayWindow_changeKnownBeforeEarlierOnes_isNotLost);
  CPPUNIT_TEST_SUITE_END();

public:
  void subscriber_withinTwoDeadlines_isCurrent() {
    m_Subscribers.renew(subscriber(1), Start);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         m_Subscribers.current(Start + 5900ms).size());
    CPPUNIT_ASSERT(m_Subscribers.current(Start + 6s).empty());
  }

  void subscriber_asksAgain_isListedOnce() {
    m_Subscribers.renew(subscriber(1), Start);
    auto Restarted = subscriber(1);
    Restarted.Incarnation = 8;
    m_Subscribers.renew(Restarted, Start + 1s);
    const auto Current = m_Subscribers.current(Start + 2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Current.size());
    CPPUNIT_ASSERT_EQUAL(IncarnationId(8), Current[0].Incarnation);
  }

  void subscriberClock_queryWasDelayed_isNeverAhead() {
    // Sent at 50 s of the subscriber's clock, it arrives 2 s later.
    m_Subscribers.renew(subscriber(1), Start + 2s);
    const auto Now = m_Subscribers.current(Start + 5s).at(0).SentAt;
    CPPUNIT_ASSERT(Now == 53s);
  }

  void subscribers_many_areBounded() {
    for (std::uint16_t Port = 1; Port <= 1000; ++Port)
      m_Subscribers.renew(subscriber(Port), Start);
    CPPUNIT_ASSERT_EQUAL(std::size_t(64), m_Subscribers.current(Start).size());
    // Those that are known are renewed all the same.
    m_Subscribers.renew(subscriber(64), Start + 5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         m_Subscribers.current(Start + 7s).size());
  }

  // Regression: a change that was known before those that precede it was told
  // in a message up to an earlier revision, and not in those that covered it.
  void relayWindow_changeKnownBeforeEarlierOnes_isNotLost() {
    RelayWindow Window;
    Window.restart({0, 10});
    Window.record({"a", "v", {0, 15}, false}, false);
    for (int I = 0; I < 6; ++I)
      CPPUNIT_ASSERT(Window.takeMessage({0, 10}).Changes.empty());
    const auto Message = Window.takeMessage({0, 16});
    CPPUNIT_ASSERT(Message.From == (StoreRevision{0, 10}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Message.Changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Message.Changes[0].Change.Key);
  }

private:
  static constexpr TimePoint Start{1000s};

  static ChangeSubscriber subscriber(std::uint16_t Port) {
    return {{"10.0.0.1", Port, {}}, 7, 0, 50s};
  }

  ChangeSubscribers m_Subscribers{3s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeSubscribersTest);

} // namespace mangodeck
