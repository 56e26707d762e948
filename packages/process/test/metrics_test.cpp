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
  CPPUNIT_TEST(summary_notRun_tellsTheReasonAndNoTokens);
  CPPUNIT_TEST(sample_totalsGrow_countersFollow);
  CPPUNIT_TEST(page_everyMetric_isListed);
  CPPUNIT_TEST_SUITE_END();

public:
  void summary_inTime_countsGoodput() {
    m_Metrics.onEnded(makeSummary(Run::Yes, true));
    expectLine("mangodeck_goodput_tokens_total{tier=\"1\"} 50");
    expectLine("mangodeck_goodput_requests_total{tier=\"1\"} 1");
    expectLine("mangodeck_requests_total{reason=\"\",run=\"yes\","
               "service=\"assistant\",tier=\"1\"} 1");
    expectLine("mangodeck_first_token_seconds_bucket{tier=\"1\",le=\"0.2\"} 0");
    expectLine("mangodeck_first_token_seconds_bucket{tier=\"1\",le=\"0.3\"} 1");
    CPPUNIT_ASSERT(read().find("wasted_prefill_tokens_total{") ==
                   std::string::npos);
  }

  void summary_lateOrUnknown_countsWastedPrefill() {
    m_Metrics.onEnded(makeSummary(Run::Yes, false));
    m_Metrics.onEnded(makeSummary(Run::Unknown, false));
    expectLine("mangodeck_wasted_prefill_tokens_total{cause=\"not-in-time\","
               "tier=\"1\"} 300");
    expectLine("mangodeck_wasted_prefill_tokens_total{cause=\"unknown\","
               "tier=\"1\"} 300");
    CPPUNIT_ASSERT(read().find("goodput_tokens_total{") == std::string::npos);
  }

  void summary_notRun_tellsTheReasonAndNoTokens() {
    auto Summary = makeSummary(Run::No, false);
    Summary.Reason = NotRunReason::Shed;
    m_Metrics.onEnded(Summary);
    expectLine("mangodeck_requests_total{reason=\"shed\",run=\"no\","
               "service=\"assistant\",tier=\"1\"} 1");
    CPPUNIT_ASSERT(read().find("prompt_tokens_total{") == std::string::npos);
  }

  void sample_totalsGrow_countersFollow() {
    m_Sample.PeerBytesSent = 100;
    read();
    m_Sample.PeerBytesSent = 130;
    m_Sample.WaitingPerTier = {4, 5};
    m_Sample.Members[MemberState::Alive] = 3;
    m_Sample.RevisionInForce = 12;
    expectLine("mangodeck_peer_bytes_total{direction=\"sent\"} 130");
    expectLine("mangodeck_waiting_tickets{tier=\"1\"} 5");
    expectLine("mangodeck_members{state=\"alive\"} 3");
    expectLine("mangodeck_revision_in_force 12");
  }

  /// docs/METRICS.md and the registry name the same metrics.
  void page_everyMetric_isListed() {
    m_Metrics.onAccepted({});
    m_Metrics.onDispatched({});
    m_Metrics.onGrantReturned(ReturnReason::Expired);
    m_Metrics.countStoreCall("get", "ok");
    m_Metrics.countDatagramDropped("malformed");
    m_Metrics.onEnded(makeSummary(Run::Yes, true));
    m_Metrics.onEnded(makeSummary(Run::Yes, false));
    m_Sample.WaitingPerTier = {1};
    CPPUNIT_ASSERT(namesAfter(read(), "# TYPE ") ==
                   namesAfter(readPage(), "| `"));
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

  std::string read() { return m_Metrics.serialize(m_Sample); }

  void expectLine(const std::string &Line) {
    const auto Text = read();
    CPPUNIT_ASSERT_MESSAGE(Line + "\nin\n" + Text,
                           Text.find(Line + '\n') != std::string::npos);
  }

  static std::string readPage() {
    const char *Source = std::getenv("MANGODECK_SOURCE");
    std::ifstream In(std::string(Source ? Source : ".") + "/docs/METRICS.md");
    std::ostringstream Text;
    Text << In.rdbuf();
    return Text.str();
  }

  static std::set<std::string> namesAfter(const std::string &Text,
                                          const std::string &Mark) {
    std::set<std::string> Names;
    std::istringstream Lines(Text);
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.starts_with(Mark + "mangodeck_"))
        Names.insert(Line.substr(
            Mark.size(), Line.find_first_of(" `", Mark.size()) - Mark.size()));
    return Names;
  }

  Metrics m_Metrics;
  MetricsSample m_Sample;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace mangodeck
