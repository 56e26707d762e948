#include "prefixcacheestimate.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class PrefixCacheEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrefixCacheEstimateTest);
  CPPUNIT_TEST(placement_recorded_isCachedAtOnce);
  CPPUNIT_TEST(prompt_whollyCached_leavesOneToken);
  CPPUNIT_TEST(eviction_reported_isDropped);
  CPPUNIT_TEST(gap_inEvents_keepsBlocks);
  CPPUNIT_TEST(event_ofLaterIncarnation_clearsTarget);
  CPPUNIT_TEST(event_older_isIgnored);
  CPPUNIT_TEST(capacity_reached_leastRecentlyUsedIsEvicted);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { m_Estimate = PrefixCacheEstimate(); }

  void placement_recorded_isCachedAtOnce() {
    m_Estimate.recordPlacement(0, makeTicket(7));
    CPPUNIT_ASSERT_EQUAL(TokenCount(128),
                         m_Estimate.cachedTokens(0, makeTicket(7)));
    CPPUNIT_ASSERT_EQUAL(TokenCount(0),
                         m_Estimate.cachedTokens(1, makeTicket(7)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         m_Estimate.holders(makeTicket(7)).size());
  }

  void prompt_whollyCached_leavesOneToken() {
    auto Request = makeTicket(7);
    Request.PromptTokens = 128;
    m_Estimate.recordPlacement(0, Request);
    CPPUNIT_ASSERT_EQUAL(TokenCount(127), m_Estimate.cachedTokens(0, Request));
  }

  void eviction_reported_isDropped() {
    m_Estimate.recordPlacement(0, makeTicket(7));
    m_Estimate.applyCacheEvent(0, makeEvent(1, 1, {71}));
    CPPUNIT_ASSERT_EQUAL(TokenCount(64),
                         m_Estimate.cachedTokens(0, makeTicket(7)));
  }

  void gap_inEvents_keepsBlocks() {
    m_Estimate.applyCacheEvent(0, makeEvent(1, 1, {}));
    m_Estimate.recordPlacement(0, makeTicket(7));
    m_Estimate.applyCacheEvent(0, makeEvent(1, 5, {}));
    CPPUNIT_ASSERT_EQUAL(TokenCount(128),
                         m_Estimate.cachedTokens(0, makeTicket(7)));
  }

  void event_ofLaterIncarnation_clearsTarget() {
    m_Estimate.applyCacheEvent(0, makeEvent(1, 1, {}));
    m_Estimate.recordPlacement(0, makeTicket(7));
    m_Estimate.applyCacheEvent(0, makeEvent(2, 1, {}));
    CPPUNIT_ASSERT_EQUAL(TokenCount(0),
                         m_Estimate.cachedTokens(0, makeTicket(7)));
  }

  void event_older_isIgnored() {
    m_Estimate.applyCacheEvent(0, makeEvent(2, 5, {}));
    m_Estimate.recordPlacement(0, makeTicket(7));
    m_Estimate.applyCacheEvent(0, makeEvent(2, 4, {70}));
    m_Estimate.applyCacheEvent(0, makeEvent(1, 9, {70}));
    CPPUNIT_ASSERT_EQUAL(TokenCount(128),
                         m_Estimate.cachedTokens(0, makeTicket(7)));
  }

  void capacity_reached_leastRecentlyUsedIsEvicted() {
    m_Estimate.setCapacity(0, 4 * 64);
    m_Estimate.recordPlacement(0, makeTicket(7));
    m_Estimate.recordPlacement(0, makeTicket(8));
    m_Estimate.recordPlacement(0, makeTicket(7));
    m_Estimate.recordPlacement(0, makeTicket(9));
    CPPUNIT_ASSERT_EQUAL(TokenCount(128),
                         m_Estimate.cachedTokens(0, makeTicket(7)));
    CPPUNIT_ASSERT_EQUAL(TokenCount(0),
                         m_Estimate.cachedTokens(0, makeTicket(8)));
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
    Event.TargetIncarnation = Started;
    Event.Sequence = Sequence;
    Event.Evicted = std::move(Evicted);
    return Event;
  }

  PrefixCacheEstimate m_Estimate;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixCacheEstimateTest);

} // namespace mangodeck
