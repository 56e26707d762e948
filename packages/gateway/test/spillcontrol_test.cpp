#include "mangodeck/gateway/spillcontrol.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <memory>

namespace mangodeck {

/// Guards against flows beyond what was offered, flows that swing, and daemons
/// that act alike on one figure.
class SpillControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpillControlTest);
  CPPUNIT_TEST(flows_severalDomainsLack_sumToTheOffer);
  CPPUNIT_TEST(flows_allDomainsFull_areZero);
  CPPUNIT_TEST(flows_constantLoadWithNoise_haveBoundedVariance);
  CPPUNIT_TEST(flows_lowerOffer_followAtOnce);
  CPPUNIT_TEST(rule_silentDomain_isClosedThenUnknown);
  CPPUNIT_TEST(rule_successorStatesNoOwnFigures_usesThoseBefore);
  CPPUNIT_TEST(rule_statesNothing_isUnknown);
  CPPUNIT_TEST(tokens_manyDaemons_keepToFlowAndSpread);
  CPPUNIT_TEST(leaving_inTimeAtHome_isNotWorthIt);
  CPPUNIT_TEST(leaving_refusedAtHome_isWorthIt);
  CPPUNIT_TEST(leaving_largeBody_isNotWorthIt);
  CPPUNIT_TEST(leaving_lateEverywhere_isNotWorthIt);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t Service = 7;
  SeededRandom m_Random{1};
  TimePoint m_Now{std::chrono::hours(1)};

  static FailureDomain domain(int Number) {
    return FailureDomain(fmt::format("d{}", Number));
  }
  static ServiceOffer offer(double Free, double Lacking,
                            double PerSecond = 100) {
    return {Service, Free, Lacking, PerSecond, 50ms};
  }
  /// The control of a daemon in domain 0 that has received the offers.
  std::unique_ptr<SpillControl> control(int Own = 0) {
    return std::make_unique<SpillControl>(domain(Own), SpillSettings(),
                                          m_Random);
  }
  void tell(SpillControl &Control, int From, const ServiceOffer &Offer) const {
    Control.onOffers(domain(From), std::span(&Offer, 1), m_Now);
  }
  static LeavingRequest request(std::optional<Duration> HomeWait) {
    return {Service, HomeWait, 150ms, 1s, 1000};
  }

public:
  void flows_severalDomainsLack_sumToTheOffer() {
    double Sum = 0;
    std::vector<double> Parts;
    for (int Own = 0; Own < 3; ++Own) {
      const auto Control = control(Own);
      for (int Report = 0; Report < 20; ++Report) {
        for (int From = 0; From < 3; ++From)
          tell(*Control, From, offer(0, 2.0 * (From + 1)));
        tell(*Control, 3, offer(6, 0));
        m_Now += 100ms;
      }
      Parts.push_back(Control->flowTo(Service, domain(3)));
      Sum += Parts.back();
    }
    CPPUNIT_ASSERT(Sum <= 6);
    CPPUNIT_ASSERT(Sum > 4.5);
    CPPUNIT_ASSERT(Parts[2] > 2 * Parts[0]);
  }

  void flows_allDomainsFull_areZero() {
    const auto Control = control();
    for (int From = 0; From < 3; ++From)
      tell(*Control, From, offer(0, 3));
    Control->recordRequest(Service, m_Now);
    for (int From = 1; From < 3; ++From) {
      CPPUNIT_ASSERT_EQUAL(0.0, Control->flowTo(Service, domain(From)));
      CPPUNIT_ASSERT(SpillRule::Closed ==
                     Control->ruleFor(Service, domain(From), m_Now));
    }
  }

  /// The figures vary by 7%, the error of an estimate at 100 requests/s.
  void flows_constantLoadWithNoise_haveBoundedVariance() {
    const auto Control = control();
    double Sum = 0;
    double Squares = 0;
    constexpr int Reports = 600;
    for (int Report = 0; Report < 20 + Reports; ++Report) {
      const auto Noise = [&] { return 1 + 0.14 * (m_Random.uniform() - 0.5); };
      tell(*Control, 0, offer(0, 3 * Noise()));
      tell(*Control, 1, offer(4 * Noise(), 0));
      tell(*Control, 2, offer(0, 3 * Noise()));
      m_Now += 100ms;
      if (Report < 20)
        continue;
      const double Flow = Control->flowTo(Service, domain(1));
      Sum += Flow;
      Squares += Flow * Flow;
    }
    const double Mean = Sum / Reports;
    const double Deviation = std::sqrt(Squares / Reports - Mean * Mean);
    CPPUNIT_ASSERT(Mean > 1.6);
    CPPUNIT_ASSERT(Deviation < 0.05 * Mean);
  }

  void flows_lowerOffer_followAtOnce() {
    const auto Control = control();
    for (int Report = 0; Report < 10; ++Report) {
      tell(*Control, 0, offer(0, 3));
      tell(*Control, 1, offer(4, 0));
    }
    CPPUNIT_ASSERT(Control->flowTo(Service, domain(1)) > 3);
    tell(*Control, 1, offer(1, 0));
    CPPUNIT_ASSERT(Control->flowTo(Service, domain(1)) <= 1);
  }

  void rule_silentDomain_isClosedThenUnknown() {
    const auto Control = control();
    for (int Report = 0; Report < 20; ++Report) {
      tell(*Control, 0, offer(0, 3));
      tell(*Control, 1, offer(4, 0));
      Control->recordRequest(Service, m_Now);
      m_Now += 100ms;
    }
    CPPUNIT_ASSERT(SpillRule::Open ==
                   Control->ruleFor(Service, domain(1), m_Now));
    m_Now += 2s;
    tell(*Control, 0, offer(0, 3));
    CPPUNIT_ASSERT(SpillRule::Closed ==
                   Control->ruleFor(Service, domain(1), m_Now));
    m_Now += 10s;
    tell(*Control, 0, offer(0, 3));
    CPPUNIT_ASSERT(SpillRule::Unknown ==
                   Control->ruleFor(Service, domain(1), m_Now));
  }

  void rule_successorStatesNoOwnFigures_usesThoseBefore() {
    const auto Control = control();
    for (int Report = 0; Report < 20; ++Report) {
      tell(*Control, 0, offer(0, 3));
      Control->recordRequest(Service, m_Now);
      m_Now += 100ms;
    }
    for (int Report = 0; Report < 20; ++Report) {
      Control->onOffers(domain(0), {}, m_Now);
      tell(*Control, 1, offer(4, 0));
      Control->recordRequest(Service, m_Now);
      m_Now += 100ms;
    }
    CPPUNIT_ASSERT(SpillRule::Open ==
                   Control->ruleFor(Service, domain(1), m_Now));
  }

  void rule_statesNothing_isUnknown() {
    const auto Control = control();
    tell(*Control, 0, offer(0, 3));
    tell(*Control, 1, offer(4, 0));
    Control->onOffers(domain(1), {}, m_Now);
    CPPUNIT_ASSERT(SpillRule::Unknown ==
                   Control->ruleFor(Service, domain(1), m_Now));
    CPPUNIT_ASSERT(SpillRule::Unknown ==
                   Control->ruleFor(Service, domain(2), m_Now));
  }

  /// 20 daemons with unlike demand, of which each wants to send all that it
  /// has: 80 of the 100 requests/s that the domain may send, and not in bursts.
  void tokens_manyDaemons_keepToFlowAndSpread() {
    constexpr int Daemons = 20;
    std::vector<std::unique_ptr<SpillControl>> Controls;
    for (int I = 0; I < Daemons; ++I)
      Controls.push_back(control());
    std::vector<int> SentInStep;
    for (int Step = 0; Step < 3000; ++Step) {
      int Sent = 0;
      for (int I = 0; I < Daemons; ++I) {
        if (Step % 10 == 0) {
          tell(*Controls[I], 0, offer(0, 5, 210));
          tell(*Controls[I], 1, offer(4, 0));
        }
        if (m_Random.uniform() >= 0.01 * (I + 1)) // I + 1 requests/s.
          continue;
        Controls[I]->recordRequest(Service, m_Now);
        if (Controls[I]->ruleFor(Service, domain(1), m_Now) ==
            SpillRule::Open) {
          Controls[I]->take(Service, domain(1));
          ++Sent;
        }
      }
      if (Step >= 500)
        SentInStep.push_back(Sent);
      m_Now += 10ms;
    }
    int All = 0;
    int Most = 0;
    for (const int Sent : SentInStep) {
      All += Sent;
      Most = std::max(Most, Sent);
    }
    const double PerSecond = All / 25.0;
    CPPUNIT_ASSERT(PerSecond < 84);
    CPPUNIT_ASSERT(PerSecond > 60);
    CPPUNIT_ASSERT(Most <= 8);
  }

  void leaving_inTimeAtHome_isNotWorthIt() {
    CPPUNIT_ASSERT(!control()->isWorthLeaving(request(40ms)));
    CPPUNIT_ASSERT(control()->isWorthLeaving(request(100ms)));
  }
  void leaving_refusedAtHome_isWorthIt() {
    CPPUNIT_ASSERT(control()->isWorthLeaving(request(std::nullopt)));
  }
  void leaving_largeBody_isNotWorthIt() {
    auto Large = request(100ms);
    Large.Bytes = 20'000'000;
    CPPUNIT_ASSERT(!control()->isWorthLeaving(Large));
    // The answers count as well as the requests.
    const auto Control = control();
    Control->recordAnswer(Service, 40ms, 20'000'000);
    CPPUNIT_ASSERT(!Control->isWorthLeaving(request(100ms)));
  }
  void leaving_lateEverywhere_isNotWorthIt() {
    auto Late = request(100ms);
    Late.TimeToLatencyTarget = 20ms;
    CPPUNIT_ASSERT(!control()->isWorthLeaving(Late));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpillControlTest);

} // namespace mangodeck
