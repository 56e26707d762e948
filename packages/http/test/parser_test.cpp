#include "messagesupport.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace mangodeck::http {

namespace {

std::string head(std::string_view Line, std::string_view Fields) {
  return std::string(Line) + "\r\n" + std::string(Fields) + "\r\n";
}

} // namespace

class ParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ParserTest);
  CPPUNIT_TEST(requestParser_headAloneThenBody_isComplete);
  CPPUNIT_TEST(requestParser_anySplit_givesSameRequest);
  CPPUNIT_TEST(requestParser_secondRequest_isNotConsumed);
  CPPUNIT_TEST(requestParser_smugglingHeads_areMalformed);
  CPPUNIT_TEST(requestParser_bareLineFeed_isMalformedBeforeHeadEnds);
  CPPUNIT_TEST(requestParser_overLimit_reportsWhichLimit);
  CPPUNIT_TEST(requestParser_chunkedBody_isDecoded);
  CPPUNIT_TEST(responseParser_noLength_isCloseDelimited);
  CPPUNIT_TEST(responseParser_cutInChunk_isNotComplete);
  CPPUNIT_TEST(responseParser_surplusBytes_areNotConsumed);
  CPPUNIT_TEST(responseParser_interimAnswer_isSkipped);
  CPPUNIT_TEST(responseParser_garbage_isMalformed);
  CPPUNIT_TEST(connectionFields_namedByConnection_areRemoved);
  CPPUNIT_TEST_SUITE_END();

public:
  static constexpr std::string_view PostLine = "POST /a/b HTTP/1.1";

  void requestParser_headAloneThenBody_isComplete() {
    BodySink Sink;
    RequestParser Parser(Sink, 1000, 1000);
    const auto Head = head(PostLine, "Host: x\r\nContent-Length: 3\r\n");
    CPPUNIT_ASSERT_EQUAL(Head.size(), Parser.feed(Head));
    CPPUNIT_ASSERT(Parser.fault() == ParseFault::None);
    Parser.feed("abc");
    CPPUNIT_ASSERT(Parser.isComplete());
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), Sink.Body);
  }

  void requestParser_anySplit_givesSameRequest() {
    const auto Bytes =
        head(PostLine, "Host: x\r\nContent-Length: 5\r\n") + "hello";
    for (std::size_t At = 1; At < Bytes.size(); ++At) {
      BodySink Sink;
      RequestParser Parser(Sink, 1000, 1000);
      Parser.feed(Bytes.substr(0, At));
      Parser.feed(Bytes.substr(At));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(At), Parser.isComplete());
      CPPUNIT_ASSERT_EQUAL(std::string("hello"), Sink.Body);
    }
  }

  void requestParser_secondRequest_isNotConsumed() {
    BodySink Sink;
    RequestParser Parser(Sink, 1000, 1000);
    const auto First = head("GET /a/ HTTP/1.1", "Host: x\r\n");
    CPPUNIT_ASSERT_EQUAL(First.size(), Parser.feed(First + First));
    CPPUNIT_ASSERT(Parser.isComplete());
    Parser.reset();
    Parser.feed(First);
    CPPUNIT_ASSERT(Parser.isComplete());
  }

  void requestParser_smugglingHeads_areMalformed() {
    const std::vector<std::string> MalformedFields = {
        "Host: x\r\nContent-Length : 3\r\n",
        "Host: x\r\nA: b\r\n c\r\n",
        "Host: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n",
        "Host: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Host: x\r\nTransfer-Encoding: identity, chunked\r\n",
        "Host: x\r\nTransfer-Encoding: xchunked\r\n",
        "Host: x\r\nContent-Length: +3\r\n",
        "Host: x\r\nContent-Length: 3, 3\r\n",
        "Host: x\r\nHost: y\r\n",
        "Host: x\r\nA: b\rc\r\n",
        "Host: x\r\n: b\r\n",
        "A: b\r\n"};
    for (const auto &Fields : MalformedFields) {
      BodySink Sink;
      RequestParser Parser(Sink, 1000, 1000);
      Parser.feed(head(PostLine, Fields));
      CPPUNIT_ASSERT_MESSAGE(Fields, Parser.fault() == ParseFault::Malformed);
      CPPUNIT_ASSERT_EQUAL(0, Sink.Heads);
    }
  }

  void requestParser_bareLineFeed_isMalformedBeforeHeadEnds() {
    BodySink Sink;
    RequestParser Parser(Sink, 1000, 1000);
    Parser.feed("GET / HTTP/1.1\nHost: x\n\n");
    CPPUNIT_ASSERT(Parser.fault() == ParseFault::Malformed);
  }

  void requestParser_overLimit_reportsWhichLimit() {
    BodySink Sink;
    RequestParser SmallHeadLimit(Sink, 30, 1000);
    SmallHeadLimit.feed(head(PostLine, "Host: a-long-host-name.example\r\n"));
    CPPUNIT_ASSERT(SmallHeadLimit.fault() == ParseFault::HeadTooLarge);
    RequestParser SmallBodyLimit(Sink, 1000, 2);
    SmallBodyLimit.feed(head(PostLine, "Host: x\r\nContent-Length: 3\r\n") +
                        "abc");
    CPPUNIT_ASSERT(SmallBodyLimit.fault() == ParseFault::BodyTooLarge);
  }

  void requestParser_chunkedBody_isDecoded() {
    BodySink Sink;
    RequestParser Parser(Sink, 1000, 1000);
    Parser.feed(head(PostLine, "Host: x\r\nTransfer-Encoding: chunked\r\n") +
                "3\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n");
    CPPUNIT_ASSERT(Parser.isComplete());
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), Sink.Body);
    CPPUNIT_ASSERT(!Parser.head().Fields.find("T"));
  }

  void responseParser_noLength_isCloseDelimited() {
    BodySink Sink;
    ResponseParser Parser(Sink);
    Parser.feed("HTTP/1.1 200 OK\r\nA: b\r\n\r\nabc");
    CPPUNIT_ASSERT(Parser.head().IsCloseDelimited);
    CPPUNIT_ASSERT(!Parser.isComplete());
    Parser.finish();
    CPPUNIT_ASSERT(Parser.isComplete());
    CPPUNIT_ASSERT(!Parser.head().KeepAlive);
  }

  void responseParser_cutInChunk_isNotComplete() {
    BodySink Sink;
    ResponseParser Parser(Sink);
    Parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab");
    Parser.finish();
    CPPUNIT_ASSERT(!Parser.isComplete());
  }

  void responseParser_surplusBytes_areNotConsumed() {
    BodySink Sink;
    ResponseParser Parser(Sink);
    const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    CPPUNIT_ASSERT_EQUAL(Answer.size(), Parser.feed(Answer + Answer));
    CPPUNIT_ASSERT(Parser.isComplete());
  }

  void responseParser_interimAnswer_isSkipped() {
    BodySink Sink;
    ResponseParser Parser(Sink);
    Parser.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                "Content-Length: 2\r\n\r\nok");
    CPPUNIT_ASSERT(Parser.isComplete());
    CPPUNIT_ASSERT_EQUAL(200, Parser.head().Status);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Sink.Body);
  }

  void responseParser_garbage_isMalformed() {
    BodySink Sink;
    ResponseParser Parser(Sink);
    Parser.feed("\x01\x02 not an answer\r\n\r\n");
    CPPUNIT_ASSERT(Parser.isMalformed());
  }

  void connectionFields_namedByConnection_areRemoved() {
    HeaderList Fields;
    Fields.add("Connection", "close, X-Own");
    Fields.add("X-Own", "1");
    Fields.add("Keep-Alive", "timeout=5");
    Fields.add("X-Other", "2");
    removeConnectionFields(Fields);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Fields.fields().size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), *Fields.find("x-other"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParserTest);

} // namespace mangodeck::http
