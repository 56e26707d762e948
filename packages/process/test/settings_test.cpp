#include "mangodeck/process/settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

static const std::string Valid = R"(vm: sa-a-1
failure_domain: luzon-south-a
region: luzon-south
listen: {callers: "127.0.0.1:7801", admin: "127.0.0.1:7811", peers: "127.0.0.1:7821"}
seeds:
  - {vm: sa-a-2, address: "127.0.0.1:7822", failure_domain: luzon-south-a}
store: {endpoints: ["http://127.0.0.1:7879"], calls_per_second: 12.5}
peer_keys: [sixteen-bytes-key-1]
limits: {body_bytes: 2048, caller_idle: 5s, timeline_events: 128}
entry_threads: 3
drain: {balancer_lag: 250ms}
)";

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(settings_allFields_areRead);
  CPPUNIT_TEST(settings_severalErrors_areAllReported);
  CPPUNIT_TEST(settings_unknownAndRepeatedFields_areRejected);
  CPPUNIT_TEST(settings_shortPeerKey_isRejectedAndNotShown);
  CPPUNIT_TEST(settings_malformedYaml_reportsTheLine);
  CPPUNIT_TEST(settings_missingFile_isRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void settings_allFields_areRead() {
    const auto Result = parseSettings(Valid, "s.yaml");
    CPPUNIT_ASSERT_EQUAL(std::string(), toString(Result.Errors));
    const auto &Values = Result.Values;
    CPPUNIT_ASSERT_EQUAL(std::string("sa-a-1"), Values.Vm.Text);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7821"), Values.PeerAddress);
    CPPUNIT_ASSERT_EQUAL(std::string("sa-a-2"), Values.Seeds.at(0).Vm.Text);
    CPPUNIT_ASSERT_EQUAL(12.5, Values.StoreCallsPerSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2048), Values.MaxBodyBytes);
    CPPUNIT_ASSERT(Values.CallerIdleTimeout == 5s);
    CPPUNIT_ASSERT(Values.BalancerLag == 250ms);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), Values.EntryThreads);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(128), Values.TimelineEvents);
  }

  void settings_severalErrors_areAllReported() {
    const auto Result = parseSettings(R"(vm: Sa A
failure_domain: a
listen: {callers: "localhost:80", admin: "127.0.0.1:0", peers: [1]}
store: {endpoints: [ftp://x], calls_per_second: many}
peer_keys: []
entry_threads: 0
drain: {balancer_lag: 10}
)",
                                      "s.yaml");
    const std::string Expected =
        "s.yaml:1: vm: found 'Sa A'; allowed: 1 to 64 of a-z, 0-9, '-', '.', "
        "'_'\n"
        "s.yaml:1: region: found nothing; allowed: a value; it is required\n"
        "s.yaml:3: listen.callers: found 'localhost:80'; allowed: IP:PORT "
        "with a port from 1 to 65535\n"
        "s.yaml:3: listen.admin: found '127.0.0.1:0'; allowed: IP:PORT with a "
        "port from 1 to 65535\n"
        "s.yaml:3: listen.peers: found a list; allowed: IP:PORT with a port "
        "from 1 to 65535\n"
        "s.yaml:4: store.calls_per_second: found 'many'; allowed: a number "
        "from 0.1 to 1000\n"
        "s.yaml:4: store.endpoints[0]: found 'ftp://x'; allowed: "
        "http://IP:PORT[/PATH]\n"
        "s.yaml:5: peer_keys: found an empty list; allowed: at least one "
        "key\n"
        "s.yaml:6: entry_threads: found '0'; allowed: a number from 1 to 64\n"
        "s.yaml:7: drain.balancer_lag: found '10'; allowed: a number with ms, "
        "s or m, from 0s to 600s\n";
    CPPUNIT_ASSERT_EQUAL(Expected, toString(Result.Errors));
  }

  void settings_unknownAndRepeatedFields_areRejected() {
    const auto Result =
        parseSettings(Valid + "zone: a\nentry_threads: 4\n", "s.yaml");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Result.Errors.size());
    CPPUNIT_ASSERT_EQUAL(std::string("zone"), Result.Errors[0].Field);
    CPPUNIT_ASSERT_EQUAL(12, Result.Errors[0].Place.Line);
    CPPUNIT_ASSERT_EQUAL(std::string("the field a second time"),
                         Result.Errors[1].Found);
  }

  void settings_shortPeerKey_isRejectedAndNotShown() {
    auto Text = Valid;
    Text.replace(Text.find("sixteen-bytes-key-1"), 19, "secret");
    const auto Result = parseSettings(Text, "s.yaml");
    CPPUNIT_ASSERT_EQUAL(
        std::string("s.yaml:8: peer_keys[0]: found 6 bytes; allowed: a text of "
                    "at least 16 bytes\n"),
        toString(Result.Errors));
  }

  void settings_malformedYaml_reportsTheLine() {
    const auto Result = parseSettings("vm: a\nlisten: {callers: [", "s.yaml");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Result.Errors.size());
    CPPUNIT_ASSERT(Result.Errors[0].Place.Line >= 2);
  }

  void settings_missingFile_isRejected() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         loadSettings("no/such/file").Errors.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace mangodeck
