#include "mangodeck/gateway/directoryview.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class DirectoryViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryViewTest);
  CPPUNIT_TEST(view_confirmedTwice_keepsLaterWithItsOrigin);
  CPPUNIT_TEST(view_confirmationOfBeforeSuspension_isIgnored);
  CPPUNIT_TEST(view_neverConfirmed_isNotFresh);
  CPPUNIT_TEST(view_suspendedBeforeFirstConfirmation_isOutdated);
  CPPUNIT_TEST(view_confirmedAfterOutdated_tellsSpan);
  CPPUNIT_TEST_SUITE_END();

public:
  void view_confirmedTwice_keepsLaterWithItsOrigin() {
    DirectoryView View;
    View.setOrigin({ChangeSource::Relay, "vm-2", 7});
    View.confirm(m_Start + 2s);
    View.setOrigin({ChangeSource::Listing, {}});
    View.confirm(m_Start + 1s);
    CPPUNIT_ASSERT(View.confirmedAt() == m_Start + 2s);
    CPPUNIT_ASSERT_EQUAL(std::string("relay vm-2"),
                         toString(View.confirmedBy()));
    CPPUNIT_ASSERT(View.isConfirmedWithin(1s, m_Start + 3s));
    CPPUNIT_ASSERT(!View.isConfirmedWithin(1s, m_Start + 3001ms));
  }

  void view_confirmationOfBeforeSuspension_isIgnored() {
    DirectoryView View;
    View.setOrigin({ChangeSource::Watch, {}});
    View.confirm(m_Start + 1s);
    View.invalidate(m_Start + 5s);
    View.confirm(m_Start + 4s);
    CPPUNIT_ASSERT(!View.isConfirmedWithin(10s, m_Start + 5s));
    View.confirm(m_Start + 6s);
    CPPUNIT_ASSERT(View.isConfirmedWithin(1s, m_Start + 6s));
  }

  void view_neverConfirmed_isNotFresh() {
    CPPUNIT_ASSERT(!DirectoryView().isConfirmedWithin(3600s, m_Start));
    CPPUNIT_ASSERT_EQUAL(std::string("none"),
                         toString(DirectoryView().confirmedBy()));
  }

  void view_suspendedBeforeFirstConfirmation_isOutdated() {
    DirectoryView View;
    CPPUNIT_ASSERT(!View.isOutdated(1s, m_Start));
    View.invalidate(m_Start);
    CPPUNIT_ASSERT(View.isOutdated(1s, m_Start));
    View.confirm(m_Start + 1s);
    CPPUNIT_ASSERT(!View.isOutdated(1s, m_Start + 2s));
    CPPUNIT_ASSERT(View.isOutdated(1s, m_Start + 3s));
  }

  void view_confirmedAfterOutdated_tellsSpan() {
    DirectoryView View;
    const TimePoint Start{100s};
    CPPUNIT_ASSERT(!View.confirm(Start, 3s, Start + 1s));
    CPPUNIT_ASSERT(!View.confirm(Start + 1s, 3s, Start + 3s));
    // Still too old, then current again.
    CPPUNIT_ASSERT(!View.confirm(Start + 2s, 3s, Start + 9s));
    CPPUNIT_ASSERT(View.confirm(Start + 9s, 3s, Start + 10s) ==
                   std::optional<Duration>(5s));
  }

private:
  const TimePoint m_Start{3600s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryViewTest);

} // namespace mangodeck
