#include "messagesupport.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck::http {

namespace {

using Rows = std::vector<std::string>;

const std::string Control(1, '\x01');
const std::string Nul(1, '\0');

std::string requestWith(const std::string &Fields) {
  return "POST /a/b HTTP/1.1\r\nHost: x\r\n" + Fields + "\r\n";
}
std::string chunked(const std::string &Body) {
  return requestWith("Transfer-Encoding: chunked\r\n") + Body;
}

/// Chunked bodies that two readers could take for different ones.
const Rows AmbiguousChunks = {
    // The end of a line.
    "4;x\nab\r\n\r\n0\r\n\r\n",
    "3\nabc\r\n0\r\n\r\n",
    "3\r\nabc\n0\r\n\r\n",
    "3\rXabc\r\n0\r\n\r\n",
    "3\r\nabcXX0\r\n\r\n",
    "3\r\nabc\rX0\r\n\r\n",
    "3\r\nabc0\r\n\r\n",
    "3\r\r\nabc\r\n0\r\n\r\n",
    "0\r\n\rX",
    "0\r\n\n",
    "0\n\r\n",
    "0\r\n\r\r\n\r\n",
    // The size.
    "\r\n0\r\n\r\n",
    ";x\r\nabc\r\n0\r\n\r\n",
    "0x3\r\nabc\r\n0\r\n\r\n",
    "+3\r\nabc\r\n0\r\n\r\n",
    "-3\r\nabc\r\n0\r\n\r\n",
    " 3\r\nabc\r\n0\r\n\r\n",
    "3 \r\nabc\r\n0\r\n\r\n",
    "3\t\r\nabc\r\n0\r\n\r\n",
    "3 x\r\nabc\r\n0\r\n\r\n",
    "3,3\r\nabc\r\n0\r\n\r\n",
    "g\r\nabc\r\n0\r\n\r\n",
    "10000000000000003\r\nabc\r\n0\r\n\r\n",
    "ffffffffffffffff\r\nabc\r\n0\r\n\r\n",
    // Extensions.
    "3;\r\nabc\r\n0\r\n\r\n",
    "3;=b\r\nabc\r\n0\r\n\r\n",
    "3;a=\r\nabc\r\n0\r\n\r\n",
    "3;a b\r\nabc\r\n0\r\n\r\n",
    "3;a=\"b\r\nabc\r\n0\r\n\r\n",
    "3;a=\"b\"c\r\nabc\r\n0\r\n\r\n",
    "3;a" + Control + "\r\nabc\r\n0\r\n\r\n",
    "3;a=" + Nul + "\r\nabc\r\n0\r\n\r\n",
    // Trailer fields.
    "0\r\nT u: v\r\n\r\n",
    "0\r\nT : v\r\n\r\n",
    "0\r\nT\r\n\r\n",
    "0\r\n: v\r\n\r\n",
    "0\r\nT: v\n\r\n",
    "0\r\nT: v\n\n",
    "0\r\n folded\r\n\r\n",
    "0\r\nT: v\r\n folded\r\n\r\n",
    "0\r\nT: v" + Control + "\r\n\r\n",
    "0\r\nT: v\rw\r\n\r\n",
    "0\r\nGET / HTTP/1.1\r\n\r\n",
};

/// Field lines that are invalid in a head of either direction.
const Rows InvalidFields = {
    "X Y: 1\r\n",
    "X\tY: 1\r\n",
    "X : 1\r\n",
    "X\t: 1\r\n",
    " X: 1\r\n",
    ": 1\r\n",
    "X\r\n",
    "X" + Control + ": 1\r\n",
    "X" + Nul + ": 1\r\n",
    "X\x7f: 1\r\n",
    "X\xe9: 1\r\n",
    "X(y): 1\r\n",
    "X: 1" + Control + "\r\n",
    "X: 1" + Nul + "\r\n",
    "X: 1\x7f\r\n",
    "X: 1\n",
    "X: 1\rY: 2\r\n",
    "X: 1\r\n folded\r\n",
    "X: 1\r\n\tfolded\r\n",
    "Content-Length : 4\r\n",
    "Content-Length: \r\n",
    "Content-Length: +4\r\n",
    "Content-Length: -4\r\n",
    "Content-Length: 4 4\r\n",
    "Content-Length: 4, 4\r\n",
    "Content-Length: 0x4\r\n",
    "Content-Length: 4.0\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Content-Length: 4\r\nContent-Length: 4\r\n",
    "Content-Length: 4\r\nContent-Length: 5\r\n",
    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding: chunked;x\r\n",
    "Transfer-Encoding: \r\n",
};

/// Field lines that are valid in a head of either direction.
const Rows ValidFields = {
    "X:1\r\n",        "X: \t 1 \t\r\n",   "X:\r\n",
    "X: \xe9\r\n",    "X: a\tb\r\n",      "!#$%&'*+-.^_`|~09aZ: 1\r\n",
    "X: \"a:b\"\r\n", "X: 1\r\nX: 2\r\n",
};

/// Chunked bodies of "abc" that every reader takes alike.
const Rows ValidChunks = {
    "3\r\nabc\r\n0\r\n\r\n",
    "003\r\nabc\r\n000\r\n\r\n",
    "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
    "3;a\r\nabc\r\n0;b\r\n\r\n",
    "3;a=b;c=\"d;\\\"e\"\r\nabc\r\n0\r\n\r\n",
    "3 ; a = b\r\nabc\r\n0\r\n\r\n",
    "3\r\nabc\r\n0\r\nT: u\r\nV:\r\n\r\n",
};

} // namespace

/// Messages that readers take differently are rejected, however they are split
/// into reads; all others are accepted. The table in docs/HTTP.md refers to the
/// tests by name.
class StrictReadingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StrictReadingTest);
  CPPUNIT_TEST(request_ambiguousChunks_isRejected);
  CPPUNIT_TEST(request_smuggledInChunks_isNotRead);
  CPPUNIT_TEST(request_invalidFields_isRejected);
  CPPUNIT_TEST(request_invalidRequestLine_isRejected);
  CPPUNIT_TEST(request_invalidHost_isRejected);
  CPPUNIT_TEST(request_codingInOlderVersion_isRejected);
  CPPUNIT_TEST(request_valid_isRead);
  CPPUNIT_TEST_SUITE_END();

public:
  // Regression: a request was read from the body of another one.
  void request_ambiguousChunks_isRejected() {
    for (const auto &Body : AmbiguousChunks)
      checkRequest(chunked(Body), Reading::End::Rejected);
  }

  void request_smuggledInChunks_isNotRead() {
    const auto Hidden = requestWith("Content-Length: 0\r\n");
    checkRequest(chunked("4;x\nab\r\n\r\n60\r\n0\r\n\r\n" + Hidden),
                 Reading::End::Rejected);
    checkRequest(chunked("3\r\nabcXX0\r\n\r\n" + Hidden),
                 Reading::End::Rejected);
  }

  void request_invalidFields_isRejected() {
    for (const auto &Fields : InvalidFields)
      checkRequest(requestWith(Fields) + "4444", Reading::End::Rejected);
  }

  void request_invalidRequestLine_isRejected() {
    const Rows Lines = {"GET  /a HTTP/1.1",   "GET /a  HTTP/1.1",
                        " GET /a HTTP/1.1",   "GET /a HTTP/1.1 ",
                        "GET\t/a HTTP/1.1",   "GET /a\tHTTP/1.1",
                        "GET /a b HTTP/1.1",  "GET /a",
                        "GET HTTP/1.1",       "G(T /a HTTP/1.1",
                        "GET /a HTTP/2.0",    "GET /a HTTP/1.2",
                        "GET /a HTTP/1",      "GET /a HTTP/01.1",
                        "GET /a http/1.1",    "GET /a HTTPS/1.1",
                        "GET a HTTP/1.1",     "GET /a#b HTTP/1.1",
                        "GET /\xe9 HTTP/1.1", "GET /" + Control + " HTTP/1.1",
                        "GET * HTTP/1.1",     "CONNECT x:1 HTTP/1.1",
                        "GET /a\rHTTP/1.1",   "PRI * HTTP/2.0"};
    for (const auto &Line : Lines)
      checkRequest(Line + "\r\nHost: x\r\n\r\n", Reading::End::Rejected);
  }

  void request_invalidHost_isRejected() {
    const Rows Fields = {"",
                         "Host: x\r\nHost: x\r\n",
                         "Host: x y\r\n",
                         "Host: x, y\r\n",
                         "Host: x/y\r\n",
                         "Host: u@x\r\n",
                         "Host: x\xe9\r\n"};
    for (const auto &Each : Fields)
      checkRequest("GET / HTTP/1.1\r\n" + Each + "\r\n",
                   Reading::End::Rejected);
  }

  void request_codingInOlderVersion_isRejected() {
    checkRequest("POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked"
                 "\r\n\r\n0\r\n\r\n",
                 Reading::End::Rejected);
  }

  void request_valid_isRead() {
    for (const auto &Fields : ValidFields)
      checkRequest(requestWith(Fields), Reading::End::Complete);
    for (const auto &Body : ValidChunks)
      checkRequest(chunked(Body), Reading::End::Complete, "abc");
    checkRequest("\r\n" + requestWith("Content-Length: 3\r\n") + "abc",
                 Reading::End::Complete, "abc");
    const Rows Lines = {"GET / HTTP/1.1", "GET /a?b=%20&c=[] HTTP/1.0",
                        "OPTIONS * HTTP/1.1", "GET http://x/a HTTP/1.1",
                        "PURGE /a HTTP/1.1"};
    for (const auto &Line : Lines)
      checkRequest(Line + "\r\nHost: x:80\r\n\r\n", Reading::End::Complete);
    checkRequest("GET / HTTP/1.1\r\nHost: [::1]:80\r\nConnection: upgrade\r\n"
                 "Upgrade: h2c\r\n\r\n",
                 Reading::End::Complete);
  }

private:
  void checkRequest(const std::string &Bytes, Reading::End Expected,
                    const std::string &Body = "") {
    for (const auto Size : PieceSizes)
      check(Bytes, readRequest(Bytes, Size), Expected, Body);
  }

  static void check(const std::string &Bytes, const Reading &Got,
                    Reading::End Expected, const std::string &Body) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Bytes, static_cast<int>(Expected),
                                 static_cast<int>(Got.Result));
    if (Expected != Reading::End::Complete)
      return;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Bytes, Body, Got.Body);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Bytes, Bytes.size(), Got.Used);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StrictReadingTest);

} // namespace mangodeck::http
