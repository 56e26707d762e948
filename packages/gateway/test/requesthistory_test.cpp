#include "mangodeck/gateway/requesthistory.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

namespace mangodeck {

class RequestHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestHistoryTest);
  CPPUNIT_TEST(toText_wallClockJumps_ordersBySteadyClock);
  CPPUNIT_TEST(toText_stateChanges_areIncludedAndOtherRequestsExcluded);
  CPPUNIT_TEST(read_unknownIdAndInvalidLines_areReported);
  CPPUNIT_TEST_SUITE_END();

  static std::string line(std::int64_t WallMs, std::int64_t SteadyMs,
                          const std::string &Event, const std::string &Id) {
    nlohmann::ordered_json Fields = {{"t", WallMs},    {"up", SteadyMs},
                                     {"vm", "a"},      {"inc", "1"},
                                     {"event", Event}, {"id", Id}};
    return "12.5 prefix " + Fields.dump() + "\n";
  }

public:
  void toText_wallClockJumps_ordersBySteadyClock() {
    RequestHistory History("x");
    std::istringstream Log(line(9000, 100, "send_failed", "x") +
                           line(4000, 200, "again", "x") +
                           line(4100, 300, "request_end", "x"));
    History.read(Log);
    const auto Text = History.toText();
    CPPUNIT_ASSERT(Text.find("send_failed") < Text.find("again"));
    CPPUNIT_ASSERT(Text.find("again") < Text.find("request_end"));
  }

  void toText_stateChanges_areIncludedAndOtherRequestsExcluded() {
    RequestHistory History("x");
    std::istringstream Log(
        line(1, 1000, "target_gone", "") + line(1, 9000, "store_lost", "") +
        line(1, 9500, "request_end", "y") + line(1, 10000, "refused", "x") +
        line(1, 10500, "store_regained", ""));
    History.read(Log);
    const auto Text = History.toText();
    CPPUNIT_ASSERT(Text.find("store_lost") != Text.npos);
    CPPUNIT_ASSERT(Text.find("target_gone") == Text.npos);
    CPPUNIT_ASSERT(Text.find("request_end") == Text.npos);
    CPPUNIT_ASSERT(Text.find("store_regained") == Text.npos);
  }

  void read_unknownIdAndInvalidLines_areReported() {
    RequestHistory History("z");
    std::istringstream Log("free text\n{\"a\":1}\n{\"t\":1,\"up\n" +
                           line(1, 10, "refused", "x"));
    History.read(Log);
    CPPUNIT_ASSERT(!History.containsRequest());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), History.unreadableLines());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestHistoryTest);

} // namespace mangodeck
