#include "mangodeck/gateway/changerelay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

/// Changes that are known before all that precede them are.
class RelayWindowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayWindowTest);
  CPPUNIT_TEST(restart_laterChangeKnown_isInMessageThatCoversIt);
  CPPUNIT_TEST(restart_laterChangeLeftOut_messageStatesGap);
  CPPUNIT_TEST(overflow_laterChangeKnown_isInMessageThatCoversIt);
  CPPUNIT_TEST_SUITE_END();

public:
  // Regression: a daemon that began with the keys of another one, which knew a
  // change of the configuration early, left it out of its messages.
  void restart_laterChangeKnown_isInMessageThatCoversIt() {
    m_Window.record(change("old", 8), false);
    m_Window.record(change("config", 15), false);
    m_Window.restart({0, 10});
    CPPUNIT_ASSERT(m_Window.takeMessage({0, 10}).Changes.empty());
    const auto Message = m_Window.takeMessage({0, 16});
    CPPUNIT_ASSERT(Message.From == (StoreRevision{0, 10}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Message.Changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("config"), Message.Changes[0].Change.Key);
  }

  void restart_laterChangeLeftOut_messageStatesGap() {
    for (std::int64_t I = 1; I <= 9; ++I)
      m_Window.record(change("large", I, 1000), false);
    m_Window.record(change("config", 15), false);
    m_Window.restart({0, 10});
    CPPUNIT_ASSERT(m_Window.takeMessage({0, 16}).From ==
                   (StoreRevision{0, 16}));
  }

  void overflow_laterChangeKnown_isInMessageThatCoversIt() {
    m_Window.restart({0, 1});
    m_Window.record(change("config", 15), false);
    for (std::int64_t I = 2; I <= 10; ++I)
      m_Window.record(change("large", I, 1000), false);
    CPPUNIT_ASSERT(m_Window.takeMessage({0, 10}).From ==
                   (StoreRevision{0, 10}));
    const auto Message = m_Window.takeMessage({0, 16});
    CPPUNIT_ASSERT(Message.From == (StoreRevision{0, 10}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Message.Changes.size());
  }

private:
  static KeyChange change(const std::string &Key, std::int64_t Revision,
                          std::size_t Bytes = 1) {
    return {Key, std::string(Bytes, 'v'), {0, Revision}, false};
  }

  RelayWindow m_Window;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayWindowTest);

} // namespace mangodeck
