#include "prefixcacheestimate.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class PrefixCacheEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrefixCacheEstimateTest);
  CPPUNIT_TEST(placement_counts_atOnce);
  CPPUNIT_TEST(prompt_whollyCached_leavesOneToken);
  CPPUNIT_TEST(eviction_reported_isDropped);
  CPPUNIT_TEST(gap_inEvents_keepsBelief);
  CPPUNIT_TEST(event_ofLaterIncarnation_startsWithNothing);
  CPPUNIT_TEST(event_older_isIgnored);
  CPPUNIT_TEST(capacity_reached_leastRecentlyUsedGoes);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { m_Belief = PrefixCacheEstimate(); }

  void placement_counts_atOnce() {
    m_Belief.recordPlacement(0, makeTicket(7));
    CPPUNIT_ASSERT_EQUAL(TokenCount(128),
                         m_Belief.cachedTokens(0, makeTicket(7)));
    CPPUNIT_ASSERT_EQUAL(TokenCount(0),
                         m_Belief.cachedTokens(1, makeTicket(7)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         m_Belief.holders(makeTicket(7)).size());
  }

  void prompt_whollyCached_leavesOneToken() {
    auto Request = makeTicket(7);
    Request.PromptTokens = 128;
    m_Belief.recordPlacement(0, Request);
    CPPUNIT_ASSERT_EQUAL(TokenCount(127), m_Belief.cachedTokens(0, Request));
  }

  void eviction_reported_isDropped() {
    m_Belief.recordPlacement(0, makeTicket(7));
    m_Belief.applyCacheEvent(0, makeEvent(1, 1, {71}));
    CPPUNIT_ASSERT_EQUAL(TokenCount(64),
                         m_Belief.cachedTokens(0, makeTicket(7)));
  }

  void gap_inEvents_keepsBelief() {
    m_Belief.applyCacheEvent(0, makeEvent(1, 1, {}));
    m_Belief.recordPlacement(0, makeTicket(7));
    m_Belief.applyCacheEvent(0, makeEvent(1, 5, {}));
    CPPUNIT_ASSERT_EQUAL(TokenCount(128),
                         m_Belief.cachedTokens(0, makeTicket(7)));
  }

  void event_ofLaterIncarnation_startsWithNothing() {
    m_Belief.applyCacheEvent(0, makeEvent(1, 1, {}));
    m_Belief.recordPlacement(0, makeTicket(7));
    m_Belief.applyCacheEvent(0, makeEvent(2, 1, {}));
    CPPUNIT_ASSERT_EQUAL(TokenCount(0),
                         m_Belief.cachedTokens(0, makeTicket(7)));
  }

  void event_older_isIgnored() {
    m_Belief.applyCacheEvent(0, makeEvent(2, 5, {}));
    m_Belief.recordPlacement(0, makeTicket(7));
    m_Belief.applyCacheEvent(0, makeEvent(2, 4, {70}));
    m_Belief.applyCacheEvent(0, makeEvent(1, 9, {70}));
    CPPUNIT_ASSERT_EQUAL(TokenCount(128),
                         m_Belief.cachedTokens(0, makeTicket(7)));
  }

  void capacity_reached_leastRecentlyUsedGoes() {
    m_Belief.setCapacity(0, 4 * 64);
    m_Belief.recordPlacement(0, makeTicket(7));
    m_Belief.recordPlacement(0, makeTicket(8));
    m_Belief.recordPlacement(0, makeTicket(7));
    m_Belief.recordPlacement(0, makeTicket(9));
    CPPUNIT_ASSERT_EQUAL(TokenCount(128),
                         m_Belief.cachedTokens(0, makeTicket(7)));
    CPPUNIT_ASSERT_EQUAL(TokenCount(0),
                         m_Belief.cachedTokens(0, makeTicket(8)));
  }

private:
  static Ticket makeTicket(std::uint64_t Prefix) {
    Ticket Request;
    Request.PromptTokens = 1000;
    Request.TokensPerBlock = 64;
    Request.PrefixBlocks = {Prefix * 10, Prefix * 10 + 1};
    return Request;
  }

  static CacheEvent makeEvent(Incarnation Started, std::uint64_t Sequence,
                              std::vector<std::uint64_t> Evicted) {
    CacheEvent Event;
    Event.Started = Started;
    Event.Sequence = Sequence;
    Event.Evicted = std::move(Evicted);
    return Event;
  }

  PrefixCacheEstimate m_Belief;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixCacheEstimateTest);

} // namespace mangodeck
