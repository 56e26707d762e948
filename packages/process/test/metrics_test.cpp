#include "mangodeck/process/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>
#include <sstream>

namespace mangodeck {

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(summary_inTime_countsGoodput);
  CPPUNIT_TEST(summary_lateOrUnknown_countsWastedPrefill);
  CPPUNIT_TEST(summary_notRun_countsReasonAndNoTokens);
  CPPUNIT_TEST(sample_totalsGrow_setsCountersAndGauges);
  CPPUNIT_TEST(page_everyMetric_isListed);
  CPPUNIT_TEST_SUITE_END();

public:
  void summary_inTime_countsGoodput() {
    m_Metrics.onEnded(makeSummary(Run::Yes, true));
    assertLine("mangodeck_goodput_tokens_total{tier=\"1\"} 50");
    assertLine("mangodeck_goodput_requests_total{tier=\"1\"} 1");
    assertLine("mangodeck_requests_total{reason=\"\",run=\"yes\","
               "service=\"assistant\",tier=\"1\"} 1");
    assertLine("mangodeck_first_token_seconds_bucket{tier=\"1\",le=\"0.2\"} 0");
    assertLine("mangodeck_first_token_seconds_bucket{tier=\"1\",le=\"0.3\"} 1");
    CPPUNIT_ASSERT(serialize().find("wasted_prefill_tokens_total{") ==
                   std::string::npos);
  }

  void summary_lateOrUnknown_countsWastedPrefill() {
    m_Metrics.onEnded(makeSummary(Run::Yes, false));
    m_Metrics.onEnded(makeSummary(Run::Unknown, false));
    assertLine("mangodeck_wasted_prefill_tokens_total{cause=\"not-in-time\","
               "tier=\"1\"} 300");
    assertLine("mangodeck_wasted_prefill_tokens_total{cause=\"unknown\","
               "tier=\"1\"} 300");
    CPPUNIT_ASSERT(serialize().find("goodput_tokens_total{") ==
                   std::string::npos);
  }

  void summary_notRun_countsReasonAndNoTokens() {
    auto Summary = makeSummary(Run::No, false);
    Summary.Reason = NotRunReason::Shed;
    m_Metrics.onEnded(Summary);
    assertLine("mangodeck_requests_total{reason=\"shed\",run=\"no\","
               "service=\"assistant\",tier=\"1\"} 1");
    CPPUNIT_ASSERT(serialize().find("prompt_tokens_total{") ==
                   std::string::npos);
  }

  void sample_totalsGrow_setsCountersAndGauges() {
    m_Sample.PeerBytesSent = 100;
    serialize();
    m_Sample.PeerBytesSent = 130;
    m_Sample.WaitingPerTier = {4, 5};
    m_Sample.Members[MemberState::Alive] = 3;
    m_Sample.RevisionInForce = 12;
    assertLine("mangodeck_peer_bytes_total{direction=\"sent\"} 130");
    assertLine("mangodeck_waiting_tickets{tier=\"1\"} 5");
    assertLine("mangodeck_members{state=\"alive\"} 3");
    assertLine("mangodeck_revision_in_force 12");
  }

  /// docs/METRICS.md and the registry must list the same metrics.
  void page_everyMetric_isListed() {
    m_Metrics.onAccepted({});
    m_Metrics.onDispatched({});
    m_Metrics.onGrantReturned(ReturnReason::Expired);
    m_Metrics.countStoreCall("get", "ok");
    m_Metrics.countDatagramDropped("malformed");
    m_Metrics.onEnded(makeSummary(Run::Yes, true));
    m_Metrics.onEnded(makeSummary(Run::Yes, false));
    m_Sample.WaitingPerTier = {1};
    CPPUNIT_ASSERT(namesAfter(serialize(), "# TYPE ") ==
                   namesAfter(readMetricsPage(), "| `"));
  }

private:
  static RequestSummary makeSummary(Run State, bool InTime) {
    RequestSummary Summary;
    Summary.Service = ServiceName("assistant");
    Summary.Tier = 1;
    Summary.RunState = State;
    Summary.InTime = InTime;
    Summary.PromptTokens = 400;
    Summary.CachedTokens = 100;
    Summary.OutputTokens = 50;
    Summary.TimeToFirstToken = 250ms;
    Summary.MeanTokenGap = 40ms;
    return Summary;
  }

  std::string serialize() { return m_Metrics.serialize(m_Sample); }

  void assertLine(const std::string &Line) {
    const auto Text = serialize();
    CPPUNIT_ASSERT_MESSAGE(Line + "\nin\n" + Text,
                           Text.find(Line + '\n') != std::string::npos);
  }

  static std::string readMetricsPage() {
    const char *Source = std::getenv("MANGODECK_SOURCE");
    std::ifstream In(std::string(Source ? Source : ".") + "/docs/METRICS.md");
    std::ostringstream Text;
    Text << In.rdbuf();
    return Text.str();
  }

  static std::set<std::string> namesAfter(const std::string &Text,
                                          const std::string &Prefix) {
    std::set<std::string> Names;
    std::istringstream Lines(Text);
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.starts_with(Prefix + "mangodeck_"))
        Names.insert(
            Line.substr(Prefix.size(), Line.find_first_of(" `", Prefix.size()) -
                                           Prefix.size()));
    return Names;
  }

  Metrics m_Metrics;
  MetricsSample m_Sample;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace mangodeck
