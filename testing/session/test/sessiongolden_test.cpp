#include "fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

namespace mangodeck::testing {

/// A whole session against a golden file, and sessions with the store down.
class SessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTest);
  CPPUNIT_TEST(session_streamPaymentAndErrors_matchGoldenFile);
  CPPUNIT_TEST(payment_sentAgainThroughAnotherDaemon_runsOnce);
  CPPUNIT_TEST(payment_storeDown_isNotRunAndOthersGoOn);
  CPPUNIT_TEST(payment_daemonKilledWhileRunning_resendIsUnknown);
  CPPUNIT_TEST(revision_storeDownAfterAcceptance_isInForceEverywhere);
  CPPUNIT_TEST_SUITE_END();

  /// Writes a reply with ids replaced, so that two sessions are equal.
  static std::string describe(const std::string &Title,
                              const HttpReply &Reply) {
    static const std::regex Id("[0-9a-f]{32}");
    auto Text = fmt::format(
        "== {}\nstatus: {}\ncontent-type: {}\nrun: {}\nretry-after: {}\n{}\n",
        Title, Reply.Status, Reply.header("Content-Type"),
        Reply.header("X-Mangodeck-Run"),
        Reply.header("Retry-After").empty() ? "absent" : "present", Reply.Body);
    return std::regex_replace(Text, Id, "ID");
  }

  static std::string readGolden() {
    const char *Source = std::getenv("MANGODECK_SOURCE");
    std::ifstream In(std::string(Source ? Source : ".") +
                     "/testing/session/golden/session.txt");
    std::ostringstream Text;
    Text << In.rdbuf();
    return Text.str();
  }

  static void stopStore(Fleet &Cluster) {
    Cluster.store().kill(SIGKILL);
    CPPUNIT_ASSERT(waitUntil(
        [&] { return Cluster.metric(0, "mangodeck_store_up") == "0"; }));
  }

public:
  void session_streamPaymentAndErrors_matchGoldenFile() {
    Fleet Cluster({.Daemons = 2, .Models = 1, .Plains = 1, .HasStore = true});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    std::string Session;
    Session += describe("stream", Cluster.complete(0, "golden", 4));
    Session += describe("whole", Cluster.complete(1, "golden", 4, false));
    Session += describe("payment", Cluster.pay(0, "key-1"));
    Session += describe("payment sent again", Cluster.pay(1, "key-1"));
    Session += describe("key with another body",
                        Cluster.pay(1, "key-1", R"({"permit":18})"));
    const auto Url = "http://" + Cluster.daemon(0).address();
    Session += describe("no bearer key", call(Url + "/v1/models"));
    Session += describe(
        "models", call(Url + "/v1/models", {"Authorization: Bearer desk-key"}));
    Session +=
        describe("malformed body", call(Url + "/v1/completions",
                                        {"Authorization: Bearer desk-key",
                                         "Content-Type: application/json"},
                                        "{"));
    const auto Golden = readGolden();
    if (Session != Golden)
      fmt::print("session was:\n{}", Session);
    CPPUNIT_ASSERT(Session == Golden);
  }

  void payment_sentAgainThroughAnotherDaemon_runsOnce() {
    Fleet Cluster({.Daemons = 2, .Plains = 1, .HasStore = true});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    const auto First = Cluster.pay(0, "key-1");
    const auto Second = Cluster.pay(1, "key-1");
    CPPUNIT_ASSERT_EQUAL(200, First.Status);
    CPPUNIT_ASSERT_EQUAL(First.Body, Second.Body);
    CPPUNIT_ASSERT_EQUAL(1, Cluster.dispatches(1).value("total", 0));
  }

  void payment_storeDown_isNotRunAndOthersGoOn() {
    Fleet Cluster({.Daemons = 1, .Plains = 1, .HasStore = true});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    stopStore(Cluster);
    const auto Keyed = Cluster.pay(0, "key-1");
    CPPUNIT_ASSERT_EQUAL(503, Keyed.Status);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), Keyed.header("X-Mangodeck-Run"));
    CPPUNIT_ASSERT(!Keyed.header("Retry-After").empty());
    CPPUNIT_ASSERT_EQUAL(0, Cluster.dispatches(1).value("total", 0));
    CPPUNIT_ASSERT_EQUAL(200, Cluster.pay(0, "").Status);
    CPPUNIT_ASSERT_EQUAL(200, Cluster.complete(0, "one", 4).Status);
  }

  void payment_daemonKilledWhileRunning_resendIsUnknown() {
    Fleet Cluster({.Daemons = 2, .Plains = 1, .HasStore = true});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    Cluster.setFaults(1, R"({"late_ms":60000})");
    auto Lost =
        std::async(std::launch::async, [&] { return Cluster.pay(0, "key-1"); });
    CPPUNIT_ASSERT(waitUntil(
        [&] { return Cluster.dispatches(1).value("total", 0) == 1; }));
    Cluster.daemon(0).kill(SIGKILL);
    CPPUNIT_ASSERT_EQUAL(0, Lost.get().Status);
    Cluster.setFaults(1, "{}");
    const auto Resent = Cluster.pay(1, "key-1");
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         Resent.header("X-Mangodeck-Run"));
    CPPUNIT_ASSERT_EQUAL(1, Cluster.dispatches(1).value("total", 0));
  }

  void revision_storeDownAfterAcceptance_isInForceEverywhere() {
    Fleet Cluster({.Daemons = 3, .HasStore = true});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    std::ofstream(Cluster.folder() + "/records/more.yaml")
        << "kind: tier\nschema: 1\nname: slow\nrank: 2\n";
    ChildProcess Apply({findProgram("mangodeck"), "apply",
                        Cluster.folder() + "/records", "--store",
                        Cluster.storeUrl(), "--author", "test", "--message",
                        "one more tier"});
    CPPUNIT_ASSERT_EQUAL(0, Apply.wait());
    CPPUNIT_ASSERT(waitUntil([&] {
      for (std::size_t I = 0; I < 3; ++I)
        if (Cluster.metric(I, "mangodeck_revision_in_force") == "2")
          return true;
      return false;
    }));
    Cluster.store().kill(SIGKILL);
    for (std::size_t I = 0; I < 3; ++I)
      CPPUNIT_ASSERT(waitUntil([&] {
        return Cluster.metric(I, "mangodeck_revision_in_force") == "2";
      }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTest);

} // namespace mangodeck::testing
