#include "mangodeck/gateway/targetregistry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

/// What a store that was restored from an older copy shows must not bring back
/// targets that have left.
class TargetRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetRegistryTest);
  CPPUNIT_TEST(update_olderReadyEntry_draining_staysDraining);
  CPPUNIT_TEST(update_newerReadyEntry_draining_isReady);
  CPPUNIT_TEST(update_entryOfRemovedTarget_staysRemoved);
  CPPUNIT_TEST(update_newerEntryOfRemovedTarget_isAdded);
  CPPUNIT_TEST(update_sameEntryOfExpiredTarget_isAdded);
  CPPUNIT_TEST(update_restartOfRemovedTarget_losesLeavingMarkAndKeepsPause);
  CPPUNIT_TEST(update_returningTarget_keepsLeavingMarkAndPause);
  CPPUNIT_TEST(update_knownStartAfterStaleEntry_isLeavingAsStated);
  CPPUNIT_TEST(update_heartbeat_keepsLeavingMarkAndPause);
  CPPUNIT_TEST(update_readyEntryOfEarlierStart_draining_staysDraining);
  CPPUNIT_TEST(update_readyEntryOfEarlierStart_removed_staysRemoved);
  CPPUNIT_TEST(update_entryOfEarlierStart_ready_isReplaced);
  CPPUNIT_TEST(statements_toEarlierRegistration_holdForTheNextOne);
  CPPUNIT_TEST(statements_targetMoves_hold);
  CPPUNIT_TEST(statements_beforeRegistrationOfRestart_hold);
  CPPUNIT_TEST_SUITE_END();

  static TargetEntry entry(std::uint64_t Sequence, bool Draining = false,
                           std::int64_t Started = 1) {
    TargetEntry Entry;
    Entry.Id = TargetName("t");
    Entry.Service = ServiceName("s");
    Entry.Ip = "127.0.0.1";
    Entry.Port = 1;
    Entry.Sequence = Sequence;
    Entry.Draining = Draining;
    Entry.StartedUnixMs = Started;
    return Entry;
  }

  const TimePoint m_Now{std::chrono::hours(1)};
  TargetRegistry m_Registry;

public:
  void setUp() override { m_Registry = TargetRegistry(); }

  void update_olderReadyEntry_draining_staysDraining() {
    const auto Target = m_Registry.update(entry(4));
    m_Registry.update(entry(5, true));
    CPPUNIT_ASSERT(!m_Registry.update(entry(4)));
    CPPUNIT_ASSERT(Target->isLeaving());
  }

  void update_readyEntryOfEarlierStart_draining_staysDraining() {
    m_Registry.update(entry(9, false, 1));
    const auto Target = m_Registry.update(entry(1, true, 2));
    CPPUNIT_ASSERT(!m_Registry.update(entry(9, false, 1)));
    CPPUNIT_ASSERT(m_Registry.find(TargetName("t")) == Target);
    CPPUNIT_ASSERT(Target->isLeaving());
  }

  void update_readyEntryOfEarlierStart_removed_staysRemoved() {
    m_Registry.update(entry(9, false, 1));
    m_Registry.update(entry(1, false, 2));
    m_Registry.remove(TargetName("t"), true);
    CPPUNIT_ASSERT(!m_Registry.update(entry(9, false, 1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Registry.size());
    CPPUNIT_ASSERT(m_Registry.update(entry(1, false, 3)));
  }

  /// The clock of a VM may step back between two starts of its target.
  void update_entryOfEarlierStart_ready_isReplaced() {
    m_Registry.update(entry(9, false, 2));
    CPPUNIT_ASSERT(m_Registry.update(entry(1, false, 1))->isUsable(m_Now));
  }

  void update_newerReadyEntry_draining_isReady() {
    m_Registry.update(entry(5, true));
    CPPUNIT_ASSERT(m_Registry.update(entry(6))->isUsable(m_Now));
  }

  void update_entryOfRemovedTarget_staysRemoved() {
    m_Registry.update(entry(5));
    m_Registry.remove(TargetName("t"), true);
    CPPUNIT_ASSERT(!m_Registry.update(entry(4)));
    CPPUNIT_ASSERT(!m_Registry.update(entry(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Registry.size());
    CPPUNIT_ASSERT(m_Registry.targetsOf(ServiceName("s")).empty());
  }

  void update_newerEntryOfRemovedTarget_isAdded() {
    m_Registry.update(entry(5));
    m_Registry.remove(TargetName("t"), true);
    CPPUNIT_ASSERT(m_Registry.update(entry(6))->isUsable(m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Registry.size());
  }

  /// A registration that expired while the store was away may be written again
  /// as it was.
  void update_sameEntryOfExpiredTarget_isAdded() {
    m_Registry.update(entry(5));
    m_Registry.remove(TargetName("t"), false);
    CPPUNIT_ASSERT(m_Registry.update(entry(5))->isUsable(m_Now));
  }

  void update_restartOfRemovedTarget_losesLeavingMarkAndKeepsPause() {
    const auto Before = m_Registry.update(entry(5));
    Before->markAnnouncedLeaving();
    Before->pauseFor(10s, m_Now);
    m_Registry.remove(TargetName("t"), true);
    const auto After = m_Registry.update(entry(1, false, 2));
    CPPUNIT_ASSERT(!After->isLeaving());
    CPPUNIT_ASSERT(!After->isUsable(m_Now + 9s));
    CPPUNIT_ASSERT(After->isUsable(m_Now + 10s));
  }

  /// A target that has restarted answers before its new registration is known.
  void statements_beforeRegistrationOfRestart_hold() {
    const auto Before = m_Registry.update(entry(5));
    Before->pauseFor(10s, m_Now);
    Before->rateLimit().apply({1.0, m_Now});
    const auto After = m_Registry.update(entry(1, false, 2));
    CPPUNIT_ASSERT(After->isPaused(m_Now + 9s));
    CPPUNIT_ASSERT(After->rateLimit().isActive());
    After->markAnnouncedLeaving();
    CPPUNIT_ASSERT(Before->markAnnouncedLeaving());
    CPPUNIT_ASSERT(After->isLeaving());
    CPPUNIT_ASSERT(m_Registry.findByHashOrDeparted(Before->Hash) == Before);
  }

  void update_returningTarget_keepsLeavingMarkAndPause() {
    const auto Before = m_Registry.update(entry(5));
    Before->markAnnouncedLeaving();
    Before->pauseFor(10s, m_Now);
    m_Registry.remove(TargetName("t"), true);
    const auto After = m_Registry.update(entry(6));
    CPPUNIT_ASSERT(After->isLeaving());
    CPPUNIT_ASSERT(After->isPaused(m_Now + 9s));
    CPPUNIT_ASSERT(!After->isPaused(m_Now + 10s));
  }

  // The store was restored from a copy that shows an earlier start; the target
  // said meanwhile that it leaves, and registered again.
  void update_knownStartAfterStaleEntry_isLeavingAsStated() {
    m_Registry.update(entry(5, false, 2));
    const auto Stale = m_Registry.update(entry(9, false, 1));
    Stale->markAnnouncedLeaving();
    CPPUNIT_ASSERT(m_Registry.update(entry(6, false, 2))->isLeaving());
    CPPUNIT_ASSERT(!m_Registry.update(entry(1, false, 3))->isLeaving());
  }

  /// An exchange keeps the target with which its request was sent.
  void statements_toEarlierRegistration_holdForTheNextOne() {
    for (const bool HasLeft : {false, true}) {
      setUp();
      const auto Before = m_Registry.update(entry(5));
      m_Registry.remove(TargetName("t"), HasLeft);
      const auto After = m_Registry.update(entry(6));
      Before->pauseFor(10s, m_Now);
      Before->rateLimit().apply({1.0, m_Now});
      CPPUNIT_ASSERT(After->isPaused(m_Now + 9s));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Registry.countRateLimited());
      Before->markAnnouncedLeaving();
      CPPUNIT_ASSERT(After->isLeaving());
    }
  }

  void statements_targetMoves_hold() {
    const auto Before = m_Registry.update(entry(5));
    Before->rateLimit().apply({1.0, m_Now});
    auto Moved = entry(6);
    Moved.Port = 2;
    CPPUNIT_ASSERT(m_Registry.update(Moved)->rateLimit().isActive());
  }

  void update_heartbeat_keepsLeavingMarkAndPause() {
    const auto Target = m_Registry.update(entry(5));
    Target->markAnnouncedLeaving();
    Target->pauseFor(10s, m_Now);
    Target->recordSuccess(m_Now);
    Target->pauseFor(1s, m_Now);
    m_Registry.update(entry(6));
    CPPUNIT_ASSERT(Target->isLeaving());
    CPPUNIT_ASSERT(Target->isPaused(m_Now + 9s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetRegistryTest);

} // namespace mangodeck
