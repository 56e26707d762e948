#include "mangodeck/process/timelineformat.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace mangodeck {

class TimelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimelineTest);
  CPPUNIT_TEST(timeline_moreThanCapacity_keepsLatestEvents);
  CPPUNIT_TEST(timeline_severalThreads_keepsEveryEventInOrder);
  CPPUNIT_TEST(timeline_longText_isTruncated);
  CPPUNIT_TEST(query_pages_returnEachEventOnce);
  CPPUNIT_TEST(query_byRequest_selectsItsEvents);
  CPPUNIT_TEST(query_malformed_isRejected);
  CPPUNIT_TEST(json_writtenAndParsed_isEqual);
  CPPUNIT_TEST(json_unknownKindOrInvalid_isSkippedOrRejected);
  CPPUNIT_TEST(merge_twoDaemons_putsCauseBeforeEffect);
  CPPUNIT_TEST(chromeTrace_oneRequestOverTwoDaemons_matchesGolden);
  CPPUNIT_TEST_SUITE_END();

public:
  void timeline_moreThanCapacity_keepsLatestEvents() {
    Timeline Ring(64, m_Clock);
    for (int I = 0; I < 200; ++I)
      Ring.record({EventKind::TargetUp, {}, std::to_string(I), ""});
    const auto Events = Ring.select({});
    CPPUNIT_ASSERT_EQUAL(std::size_t(64), Events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("136"), Events.front().Recorded.Subject);
    CPPUNIT_ASSERT_EQUAL(std::string("199"), Events.back().Recorded.Subject);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(136), Ring.overwrittenCount());
  }

  void timeline_severalThreads_keepsEveryEventInOrder() {
    Timeline Ring(8000, m_Clock);
    std::vector<std::thread> Writers;
    for (std::uint64_t Writer = 1; Writer <= 4; ++Writer)
      Writers.emplace_back([&, Writer] {
        for (int I = 0; I < 1000; ++I)
          Ring.record({EventKind::TargetUp, {Writer, 0}, "", ""});
      });
    for (auto &Writer : Writers)
      Writer.join();
    const auto Events = Ring.select({});
    CPPUNIT_ASSERT_EQUAL(std::size_t(4000), Events.size());
    for (std::size_t I = 1; I < Events.size(); ++I)
      CPPUNIT_ASSERT(Events[I - 1].Timestamp < Events[I].Timestamp);
  }

  void timeline_longText_isTruncated() {
    Timeline Ring(64, m_Clock);
    Ring.record({EventKind::StoreDown, {}, "", std::string(5000, 'x')});
    CPPUNIT_ASSERT_EQUAL(Timeline::MaxTextBytes,
                         Ring.select({}).at(0).Recorded.Detail.size());
  }

  void query_pages_returnEachEventOnce() {
    Timeline Ring(64, m_Clock);
    for (int I = 0; I < 25; ++I)
      Ring.record({EventKind::TargetUp, {}, std::to_string(I), ""});
    TimelineQuery Query{{}, std::nullopt, 10};
    std::size_t Received = 0;
    for (bool More = true; More;) {
      const auto Page = queryTimeline(VmName("vm-a"), Ring, Query);
      for (const auto &Stamped : Page.Events)
        CPPUNIT_ASSERT_EQUAL(std::to_string(Received++),
                             Stamped.Recorded.Subject);
      Query.After = Page.Events.back().Timestamp;
      More = Page.HasMore;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(25), Received);
  }

  void query_byRequest_selectsItsEvents() {
    Timeline Ring(64, m_Clock);
    Ring.record({EventKind::RequestArrived, {1, 1}, "", ""});
    Ring.record({EventKind::RequestArrived, {1, 2}, "", ""});
    const auto Query =
        parseTimelineQuery("request=" + toString(RequestId{1, 2}));
    CPPUNIT_ASSERT(Query);
    const auto Events = Ring.select(*Query);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Events.size());
    CPPUNIT_ASSERT(Events[0].Recorded.Request == (RequestId{1, 2}));
  }

  void query_malformed_isRejected() {
    CPPUNIT_ASSERT(parseTimelineQuery(""));
    CPPUNIT_ASSERT(parseTimelineQuery("after=12.3&limit=4"));
    for (const auto *Text : {"after=x", "request=12", "limit=0", "limit=-1",
                             "limit=3x", "other=1", "&", "after"})
      CPPUNIT_ASSERT_MESSAGE(Text, !parseTimelineQuery(Text));
  }

  void json_writtenAndParsed_isEqual() {
    const auto Daemons = sampleDaemons();
    const auto Read = parseDaemonEvents(toJson(Daemons[0]));
    CPPUNIT_ASSERT(Read);
    CPPUNIT_ASSERT_EQUAL(toJson(Daemons[0]), toJson(*Read));
  }

  void json_unknownKindOrInvalid_isSkippedOrRejected() {
    const auto Read = parseDaemonEvents(
        R"({"vm":"a","events":[{"kind":"new-kind","stamp":"1.0"},)"
        R"({"kind":"store-up","stamp":"2.0","more-fields":1}]})");
    CPPUNIT_ASSERT(Read);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Read->Events.size());
    for (const auto *Text : {"", "[]", "{}", R"({"vm":1,"events":[]})",
                             R"({"vm":"a","events":[7]})"})
      CPPUNIT_ASSERT_MESSAGE(Text, !parseDaemonEvents(Text));
  }

  void merge_twoDaemons_putsCauseBeforeEffect() {
    const auto Text = toText(mergeEvents(sampleDaemons()));
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "1970-01-01T00:00:01.000000Z.0 vm=vm-a event=request-arrived "
            "request=00000000000000010000000000000002\n"
            "1970-01-01T00:00:01.000000Z.1 vm=vm-b event=ticket-queued "
            "request=00000000000000010000000000000002\n"
            "1970-01-01T00:00:01.000200Z.0 vm=vm-a event=request-dispatched "
            "request=00000000000000010000000000000002 subject=\"runner-1\"\n"
            "1970-01-01T00:00:01.000250Z.0 vm=vm-b event=store-down "
            "detail=\"timed out\"\n"
            "1970-01-01T00:00:01.000900Z.0 vm=vm-a event=request-completed "
            "request=00000000000000010000000000000002\n"),
        Text);
  }

  void chromeTrace_oneRequestOverTwoDaemons_matchesGolden() {
    const auto Trace = toChromeTrace(mergeEvents(sampleDaemons()));
    CPPUNIT_ASSERT(nlohmann::json::accept(Trace));
    CPPUNIT_ASSERT_EQUAL(std::string(GoldenTrace), Trace);
  }

private:
  static HybridTime at(std::uint64_t Microseconds, std::uint64_t Counter = 0) {
    return {(1'000'000 + Microseconds) << 12 | Counter};
  }

  static std::vector<DaemonEvents> sampleDaemons() {
    const RequestId Id{1, 2};
    return {{VmName("vm-a"),
             0,
             false,
             {{at(0), {EventKind::RequestArrived, Id, "", ""}},
              {at(200), {EventKind::RequestDispatched, Id, "runner-1", ""}},
              {at(900), {EventKind::RequestCompleted, Id, "", ""}}}},
            {VmName("vm-b"),
             3,
             false,
             {{at(0, 1), {EventKind::TicketQueued, Id, "", ""}},
              {at(250), {EventKind::StoreDown, {}, "", "timed out"}}}}};
  }

  static constexpr const char *GoldenTrace =
      R"({"displayTimeUnit":"ms","traceEvents":[
{"name":"process_name","ph":"M","pid":1,"args":{"name":"vm-a"}},
{"name":"request-arrived","ph":"X","ts":0.0,"dur":1.0,"pid":1,"tid":1,"args":{"stamp":"1000000.0","request":"00000000000000010000000000000002"}},
{"name":"waiting","cat":"request","ph":"b","ts":0.0,"pid":1,"tid":1,"id":"00000000000000010000000000000002"},
{"name":"process_name","ph":"M","pid":2,"args":{"name":"vm-b"}},
{"name":"ticket-queued","ph":"X","ts":0.000244140625,"dur":1.0,"pid":2,"tid":1,"args":{"stamp":"1000000.1","request":"00000000000000010000000000000002"}},
{"name":"message","cat":"request","ph":"s","ts":0.0,"pid":1,"tid":1,"id":"1"},
{"name":"message","cat":"request","ph":"f","ts":0.000244140625,"pid":2,"tid":1,"id":"1","bp":"e"},
{"name":"request-dispatched","ph":"X","ts":200.0,"dur":1.0,"pid":1,"tid":1,"args":{"stamp":"1000200.0","request":"00000000000000010000000000000002","subject":"runner-1"}},
{"name":"waiting","cat":"request","ph":"e","ts":200.0,"pid":1,"tid":1,"id":"00000000000000010000000000000002"},
{"name":"running","cat":"request","ph":"b","ts":200.0,"pid":1,"tid":1,"id":"00000000000000010000000000000002"},
{"name":"message","cat":"request","ph":"s","ts":0.000244140625,"pid":2,"tid":1,"id":"2"},
{"name":"message","cat":"request","ph":"f","ts":200.0,"pid":1,"tid":1,"id":"2","bp":"e"},
{"name":"store-down","ph":"X","ts":250.0,"dur":1.0,"pid":2,"tid":1,"args":{"stamp":"1000250.0","detail":"timed out"}},
{"name":"request-completed","ph":"X","ts":900.0,"dur":1.0,"pid":1,"tid":1,"args":{"stamp":"1000900.0","request":"00000000000000010000000000000002"}},
{"name":"running","cat":"request","ph":"e","ts":900.0,"pid":1,"tid":1,"id":"00000000000000010000000000000002"}
]}
)";

  ManualClock m_WallClock;
  HybridClock m_Clock{m_WallClock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineTest);

} // namespace mangodeck
