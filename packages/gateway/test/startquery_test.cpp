#include "mangodeck/gateway/startquery.h"

#include "gatewaysupport.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace mangodeck {

/// A query over a connection to a scripted target. A target must not be able to
/// hold a request up, or to pass for the expected one, by what it answers.
class StartQueryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartQueryTest);
  CPPUNIT_TEST(parse_topLevelInteger_isStart);
  CPPUNIT_TEST(parse_otherTypeOrLevel_isNone);
  CPPUNIT_TEST(query_report_tellsStartAndKeepsConnection);
  CPPUNIT_TEST(query_errorAnswer_tellsNothing);
  CPPUNIT_TEST(query_noAnswer_endsInTime);
  CPPUNIT_TEST(query_stream_isGivenUpAtHead);
  CPPUNIT_TEST(query_bodyWithoutEnd_isGivenUp);
  CPPUNIT_TEST(query_connectionClosed_fails);
  CPPUNIT_TEST_SUITE_END();

public:
  void parse_topLevelInteger_isStart() {
    const auto Start =
        parseReportedStart(R"({"Queued":1,"born":1796543298177})", "born");
    CPPUNIT_ASSERT(Start == std::int64_t(1796543298177));
  }

  void parse_otherTypeOrLevel_isNone() {
    for (const auto *Report :
         {"", "{", "[1]", "7", R"({"born":"7"})", R"({"born":7.5})",
          R"({"Models":{"born":7}})", R"({"Born":7})"})
      CPPUNIT_ASSERT(!parseReportedStart(Report, "born"));
  }

  void query_report_tellsStartAndKeepsConnection() {
    ask({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":7}"});
    CPPUNIT_ASSERT(!m_Error);
    CPPUNIT_ASSERT(m_Start == std::int64_t(7));
    CPPUNIT_ASSERT(m_Connection->isOpen());
    CPPUNIT_ASSERT(m_Target->Requests.at(0).starts_with("GET /report "));
  }

  void query_errorAnswer_tellsNothing() {
    ask({"HTTP/1.1 404 N\r\nContent-Length: 10\r\n\r\n{\"born\":7}"});
    CPPUNIT_ASSERT(!m_Error);
    CPPUNIT_ASSERT(!m_Start);
  }

  void query_noAnswer_endsInTime() {
    ask({""});
    CPPUNIT_ASSERT(m_Error == asio::error::timed_out);
    CPPUNIT_ASSERT(!m_Connection->isOpen());
  }

  void query_stream_isGivenUpAtHead() {
    ask({streamHead("1")});
    CPPUNIT_ASSERT(m_Error);
    CPPUNIT_ASSERT(!m_Connection->isOpen());
  }

  void query_bodyWithoutEnd_isGivenUp() {
    ask({"HTTP/1.1 200 OK\r\n\r\n", false, false, {}, std::string(4096, 'x')});
    CPPUNIT_ASSERT(m_Error);
    CPPUNIT_ASSERT(m_Error != asio::error::timed_out);
    CPPUNIT_ASSERT(!m_Connection->isOpen());
  }

  void query_connectionClosed_fails() {
    ask({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"bo", true});
    CPPUNIT_ASSERT(m_Error);
    CPPUNIT_ASSERT(!m_Start);
  }

private:
  static constexpr Duration Timeout = 300ms;

  /// Connects, sends a query and waits for its result, which must come exactly
  /// once.
  void ask(ScriptedTarget::Script Answer) {
    m_Connection.reset();
    m_Target.reset();
    m_Loop.emplace();
    m_Target.emplace(*m_Loop);
    m_Target->Scripts = {std::move(Answer)};
    m_Connection =
        std::make_shared<http::TargetConnection>(m_Loop->get_executor());
    int Results = 0;
    m_Connection->connect(
        {asio::ip::make_address("127.0.0.1"), m_Target->port()}, Timeout,
        [&](std::error_code Failure) {
          CPPUNIT_ASSERT(!Failure);
          std::make_shared<StartQuery>(m_Connection, m_Loop->get_executor(),
                                       "/report", "born")
              ->start(Timeout, [&](std::error_code Error, auto Start) {
                ++Results;
                m_Error = Error;
                m_Start = Start;
              });
        });
    m_Loop->run_for(2 * Timeout);
    CPPUNIT_ASSERT_EQUAL(1, Results);
  }

  std::optional<asio::io_context> m_Loop;
  std::optional<ScriptedTarget> m_Target;
  std::shared_ptr<http::TargetConnection> m_Connection;
  std::error_code m_Error;
  std::optional<std::int64_t> m_Start;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartQueryTest);

} // namespace mangodeck
