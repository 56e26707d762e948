#include "mangodeck/gateway/domainoffers.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <numbers>

namespace mangodeck {

/// Guards against offers of capacity that the domain needs itself, and of
/// capacity that nobody asked for.
class DomainOffersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainOffersTest);
  CPPUNIT_TEST(offers_nobodyLacks_stateNothing);
  CPPUNIT_TEST(offers_lackElsewhere_stateCapacityBeyondOwnDemand);
  CPPUNIT_TEST(offers_demandAboveCapacity_lackTheRest);
  CPPUNIT_TEST(offers_repeatedRequests_countOnce);
  CPPUNIT_TEST(offers_afterRestart_waitForDemandToBeKnown);
  CPPUNIT_TEST(offers_waveOfDemand_areAheadOfIt);
  CPPUNIT_TEST(offers_withoutTargets_stateLackOnly);
  CPPUNIT_TEST_SUITE_END();

  const ServiceName m_Service{"s"};
  DomainOffers m_Offers;
  TimePoint m_Now{std::chrono::hours(1)};
  TicketNumber m_Number = 0;

  /// Requests at \p PerSecond, of which each holds a slot for 60 ms.
  void play(Duration Time, double PerSecond) {
    const auto End = m_Now + Time;
    while (m_Now < End) {
      const DomainOffers::RequestKey Key("vm", 1, ++m_Number);
      m_Offers.recordRequest(m_Service, Key, m_Now);
      m_Offers.recordGrant(Key, m_Now);
      m_Offers.recordEnd(Key, true, m_Now + 60ms);
      m_Now += fromSeconds(1 / PerSecond);
    }
  }
  std::vector<ServiceOffer> offers(std::uint32_t Slots) {
    const DomainSlots Own{m_Service, Slots};
    return m_Offers.offers(std::span(&Own, Slots > 0 ? 1 : 0), m_Now);
  }

public:
  void setUp() override { m_Offers.restart(m_Now); }

  void offers_nobodyLacks_stateNothing() {
    play(5s, 50);
    CPPUNIT_ASSERT(offers(6).empty());
  }

  void offers_lackElsewhere_stateCapacityBeyondOwnDemand() {
    play(5s, 50); // 3 slots of 6.
    m_Offers.recordLacking(hashOf(m_Service), m_Now);
    const auto Stated = offers(6);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Stated.size());
    CPPUNIT_ASSERT(Stated[0].Service == hashOf(m_Service));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, Stated[0].FreeSlots, 0.3);
    CPPUNIT_ASSERT_EQUAL(0.0, Stated[0].LackingSlots);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, Stated[0].PerSecond, 5);
    CPPUNIT_ASSERT(Stated[0].SlotTime == Duration(60ms));
    m_Now += 4s;
    CPPUNIT_ASSERT(offers(6).empty());
  }

  void offers_demandAboveCapacity_lackTheRest() {
    play(5s, 150); // 9 slots of 6.
    const auto Stated = offers(6);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Stated.size());
    CPPUNIT_ASSERT_EQUAL(0.0, Stated[0].FreeSlots);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(9 - 5.1, Stated[0].LackingSlots, 0.6);
    // One change to log, until the lack ends.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Offers.takeChanges().size());
    offers(6);
    CPPUNIT_ASSERT(m_Offers.takeChanges().empty());
    play(5s, 20);
    offers(6);
    CPPUNIT_ASSERT_EQUAL(0.0, m_Offers.takeChanges().at(0).Now.LackingSlots);
  }

  void offers_repeatedRequests_countOnce() {
    for (int I = 0; I < 400; ++I) {
      const DomainOffers::RequestKey Key("vm", 1, I);
      for (int Repeat = 0; Repeat < 5; ++Repeat)
        m_Offers.recordRequest(m_Service, Key, m_Now);
      m_Now += 10ms;
    }
    m_Offers.recordLacking(hashOf(m_Service), m_Now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, offers(20).at(0).PerSecond, 5);
  }

  void offers_afterRestart_waitForDemandToBeKnown() {
    play(5s, 50);
    m_Offers.restart(m_Now);
    m_Offers.recordLacking(hashOf(m_Service), m_Now);
    play(800ms, 50);
    CPPUNIT_ASSERT(offers(6).empty());
    play(1s, 50);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, offers(6).at(0).FreeSlots, 0.6);
  }

  /// An offer that lags behind a wave of 13 s would be of slots that the domain
  /// uses itself by the time it is acted on.
  void offers_waveOfDemand_areAheadOfIt() {
    double MostOverstated = 0;
    for (int Step = 0; Step < 260; ++Step) {
      const auto RateAt = [](double Seconds) {
        return 65 * (1 + 0.55 * std::sin(2 * std::numbers::pi * Seconds / 13));
      };
      play(100ms, RateAt(Step * 0.1));
      m_Offers.recordLacking(hashOf(m_Service), m_Now);
      if (Step < 30)
        continue;
      const auto Offer = offers(6).at(0);
      MostOverstated = std::max(
          MostOverstated, Offer.FreeSlots + RateAt(Step * 0.1 + 0.4) * 0.06);
    }
    CPPUNIT_ASSERT(MostOverstated < 6.5);
  }

  void offers_withoutTargets_stateLackOnly() {
    play(3s, 50);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), offers(0).size());
    CPPUNIT_ASSERT_EQUAL(0.0, offers(0)[0].FreeSlots);
    CPPUNIT_ASSERT(offers(0)[0].LackingSlots > 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainOffersTest);

} // namespace mangodeck
