#include "mangodeck/request/callerinput.h"

#include "mangodeck/request/prefixfingerprint.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace mangodeck {

class CallerInputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerInputTest);
  CPPUNIT_TEST(completion_valid_fillsTheTicket);
  CPPUNIT_TEST(chat_valid_readsMessagesAndStream);
  CPPUNIT_TEST(request_withoutOrWithUnknownKey_is401);
  CPPUNIT_TEST(request_beforeAnyConfiguration_is503);
  CPPUNIT_TEST(request_toUnknownPathModelOrService_is404);
  CPPUNIT_TEST(request_withWrongMethod_is405);
  CPPUNIT_TEST(request_withOtherMediaType_is415);
  CPPUNIT_TEST(service_notOfTheCustomer_is403);
  CPPUNIT_TEST(tier_lowered_isUsed_raised_is403);
  CPPUNIT_TEST(deadline_givenOrNot_isSet);
  CPPUNIT_TEST(headers_malformed_are400);
  CPPUNIT_TEST(request_markedByHeaderOrService_isNonIdempotent);
  CPPUNIT_TEST(body_malformed_is400or422);
  CPPUNIT_TEST(body_nestedOrLarge_isRefusedBeforeParsing);
  CPPUNIT_TEST(plainRequest_valid_keepsPathQueryAndHeaders);
  CPPUNIT_TEST(plainRequest_toTargetInterface_isRefusedInAnySpelling);
  CPPUNIT_TEST(models_listed_areThoseOfTheCustomer);
  CPPUNIT_TEST(prompts_withEqualPrefix_shareBlocks);
  CPPUNIT_TEST(problem_carriesRunAndRetryAfter);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Tier Desk;
    Desk.Name = TierName("desk");
    Desk.DefaultDeadline = 20s;
    Tier Batch;
    Batch.Name = TierName("batch");
    Batch.Rank = 2;
    Batch.DefaultDeadline = 600s;
    Tier Line;
    Line.Name = TierName("line");
    Line.Rank = 1;
    m_Config.Tiers = {Desk, Line, Batch};
    Customer Office;
    Office.Name = CustomerName("office");
    Office.KeyHashes = {hashBearerKey("sesame")};
    Office.HighestTier = 1;
    Office.Services = {ServiceName("scribe"), ServiceName("permits")};
    m_Config.Customers = {Office};
    Service Scribe;
    Scribe.Name = ServiceName("scribe");
    Scribe.Model = "scribe-7b";
    Service Other;
    Other.Name = ServiceName("other");
    Other.Model = "other-7b";
    Service Permits;
    Permits.Name = ServiceName("permits");
    Permits.Kind = ServiceKind::Plain;
    Permits.Idempotent = false;
    m_Config.Services = {Scribe, Other, Permits};
    m_Config.index();
    m_Request.Method = "POST";
    m_Request.Path = "/v1/completions";
    m_Request.Headers = {{"Authorization", "Bearer sesame"},
                         {"Content-Type", "application/json; charset=utf-8"}};
    m_Request.Body = R"({"model":"scribe-7b","prompt":"12345","max_tokens":9})";
  }

  void completion_valid_fillsTheTicket() {
    const auto Checked = readChecked();
    CPPUNIT_ASSERT_EQUAL(std::string("office"), Checked.Draft.Customer.Text);
    CPPUNIT_ASSERT_EQUAL(std::string("scribe"), Checked.Draft.Service.Text);
    CPPUNIT_ASSERT_EQUAL(1, static_cast<int>(Checked.Draft.Tier));
    CPPUNIT_ASSERT_EQUAL(TokenCount{2}, Checked.Draft.PromptTokens);
    CPPUNIT_ASSERT_EQUAL(TokenCount{9}, Checked.Draft.OutputTokens);
    CPPUNIT_ASSERT(Checked.Draft.Idempotent);
    CPPUNIT_ASSERT(!Checked.Streaming);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/completions"), Checked.TargetPath);
    CPPUNIT_ASSERT(!findHeader(Checked.TargetHeaders, "Authorization"));
  }

  void chat_valid_readsMessagesAndStream() {
    m_Request.Path = "/v1/chat/completions";
    m_Request.Body =
        R"({"model":"scribe-7b","stream":true,"max_completion_tokens":5,"n":2,
            "messages":[{"role":"user","content":[{"type":"text","text":"ab"}]},
                        {"role":"tool","content":null}]})";
    const auto Checked = readChecked();
    CPPUNIT_ASSERT(Checked.Streaming);
    CPPUNIT_ASSERT_EQUAL(TokenCount{10}, Checked.Draft.OutputTokens);
    CPPUNIT_ASSERT_EQUAL(TokenCount{4}, Checked.Draft.PromptTokens);
  }

  void request_withoutOrWithUnknownKey_is401() {
    m_Request.Headers[0].Value = "Bearer other";
    CPPUNIT_ASSERT_EQUAL(401, readStatus());
    m_Request.Headers[0].Value = "Basic sesame";
    CPPUNIT_ASSERT_EQUAL(401, readStatus());
    m_Request.Headers.erase(m_Request.Headers.begin());
    CPPUNIT_ASSERT_EQUAL(401, readStatus());
  }

  void request_beforeAnyConfiguration_is503() {
    m_Config = Snapshot();
    CPPUNIT_ASSERT_EQUAL(503, readStatus());
    const auto Answer = std::get<CallerAnswer>(read());
    CPPUNIT_ASSERT(findHeader(Answer.Headers, "Retry-After"));
  }

  void request_toUnknownPathModelOrService_is404() {
    m_Request.Body = R"({"model":"none","prompt":"a"})";
    CPPUNIT_ASSERT_EQUAL(404, readStatus());
    for (const auto *Path : {"/", "/v2", "/services/none/x", "/services/",
                             "/services/scribe/x", "/mangodeck/orders"}) {
      m_Request.Path = Path;
      CPPUNIT_ASSERT_EQUAL(404, readStatus());
    }
  }

  void request_withWrongMethod_is405() {
    m_Request.Method = "GET";
    CPPUNIT_ASSERT_EQUAL(405, readStatus());
    m_Request.Path = "/services/permits/x";
    m_Request.Method = "CONNECT";
    CPPUNIT_ASSERT_EQUAL(405, readStatus());
  }

  void request_withOtherMediaType_is415() {
    m_Request.Headers[1].Value = "text/plain";
    CPPUNIT_ASSERT_EQUAL(415, readStatus());
  }

  void service_notOfTheCustomer_is403() {
    m_Request.Body = R"({"model":"other-7b","prompt":"a"})";
    CPPUNIT_ASSERT_EQUAL(403, readStatus());
  }

  void tier_lowered_isUsed_raised_is403() {
    m_Request.Headers.push_back({"X-Mangodeck-Tier", "batch"});
    const auto Checked = readChecked();
    CPPUNIT_ASSERT_EQUAL(2, static_cast<int>(Checked.Draft.Tier));
    CPPUNIT_ASSERT(Checked.DeadlineAfter == 600s);
    m_Request.Headers.back().Value = "desk";
    CPPUNIT_ASSERT_EQUAL(403, readStatus());
  }

  void deadline_givenOrNot_isSet() {
    CPPUNIT_ASSERT(readChecked().DeadlineAfter == 60s);
    m_Request.Headers.push_back({"X-Mangodeck-Deadline-Ms", "250"});
    CPPUNIT_ASSERT(readChecked().DeadlineAfter == 250ms);
  }

  void headers_malformed_are400() {
    const std::vector<Header> Malformed{
        {"X-Mangodeck-Deadline-Ms", "0"},
        {"X-Mangodeck-Deadline-Ms", "soon"},
        {"X-Mangodeck-Deadline-Ms", "99999999999"},
        {"X-Mangodeck-Tier", "none"},
        {"X-Mangodeck-Non-Idempotent", "perhaps"},
        {"Idempotency-Key", ""},
        {"Idempotency-Key", "a b"},
        {"Idempotency-Key", std::string(256, 'a')}};
    for (const auto &Field : Malformed) {
      m_Request.Headers.push_back(Field);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Field.Name + ": " + Field.Value, 400,
                                   readStatus());
      m_Request.Headers.pop_back();
    }
  }

  void request_markedByHeaderOrService_isNonIdempotent() {
    m_Request.Headers.push_back({"X-Mangodeck-Non-Idempotent", "true"});
    m_Request.Headers.push_back({"Idempotency-Key", "k-1"});
    CPPUNIT_ASSERT(!readChecked().Draft.Idempotent);
    CPPUNIT_ASSERT_EQUAL(std::string("k-1"), readChecked().IdempotencyKey);
    m_Request.Path = "/services/permits/pay";
    m_Request.Headers[2].Value = "false";
    CPPUNIT_ASSERT(!readChecked().Draft.Idempotent);
  }

  void body_malformed_is400or422() {
    for (const auto *Body : {"", "{", "[]", "\"a\"", "{\"model\":"}) {
      m_Request.Body = Body;
      CPPUNIT_ASSERT_EQUAL(400, readStatus());
    }
    for (const auto *Body :
         {R"({"prompt":"a"})", R"({"model":1,"prompt":"a"})",
          R"({"model":"scribe-7b"})", R"({"model":"scribe-7b","prompt":{}})",
          R"({"model":"scribe-7b","prompt":["a",{}]})",
          R"({"model":"scribe-7b","prompt":[[1,-2]]})",
          R"({"model":"scribe-7b","prompt":"a","max_tokens":0})",
          R"({"model":"scribe-7b","prompt":"a","max_tokens":1e9})",
          R"({"model":"scribe-7b","prompt":"a","stream":"yes"})"}) {
      m_Request.Body = Body;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Body, 422, readStatus());
    }
  }

  void body_nestedOrLarge_isRefusedBeforeParsing() {
    m_Request.Body = std::string(1 << 20, '[');
    CPPUNIT_ASSERT_EQUAL(422, readStatus());
    m_Request.Body = "[" + std::string(400'000, ',') + "]";
    CPPUNIT_ASSERT_EQUAL(422, readStatus());
    m_Request.Body = R"({"model":"scribe-7b","prompt":")" +
                     std::string(400'000, ',') + "\\\"[[\"}";
    readChecked();
  }

  void plainRequest_valid_keepsPathQueryAndHeaders() {
    m_Request.Method = "PUT";
    m_Request.Path = "/services/permits/stalls/7?x=1";
    m_Request.Headers.push_back({"X-Stall", "7"});
    m_Request.Headers.push_back({"Transfer-Encoding", "chunked"});
    m_Request.Headers.push_back({"X-Request-Id", "forged"});
    m_Request.Headers.push_back({"Accept-Encoding", "gzip"});
    m_Request.Headers.push_back({"Range", "bytes=0-1"});
    const auto Checked = readChecked();
    CPPUNIT_ASSERT_EQUAL(std::string("PUT"), Checked.TargetMethod);
    CPPUNIT_ASSERT_EQUAL(std::string("/stalls/7?x=1"), Checked.TargetPath);
    CPPUNIT_ASSERT(findHeader(Checked.TargetHeaders, "x-stall"));
    for (const auto *Name : {"authorization", "transfer-encoding",
                             "x-request-id", "accept-encoding", "range"})
      CPPUNIT_ASSERT(!findHeader(Checked.TargetHeaders, Name));
    m_Request.Path = "/services/permits?x=1";
    CPPUNIT_ASSERT_EQUAL(std::string("/?x=1"), readChecked().TargetPath);
  }

  void plainRequest_toTargetInterface_isRefusedInAnySpelling() {
    for (const auto *Path :
         {"/mangodeck/orders", "//mangodeck/orders", "/MangoDeck/orders",
          "/%6dangodeck/orders", "/%2fmangodeck", "/mangodeck?x",
          "/a/../mangodeck/orders", "/./mangodeck", "/%2e/mangodeck",
          "\\mangodeck", "/%00mangodeck", "/%zz", "/%4"}) {
      m_Request.Path = std::string("/services/permits") + Path;
      const auto Status = readStatus();
      CPPUNIT_ASSERT_MESSAGE(Path, Status == 404 || Status == 400);
    }
  }

  void models_listed_areThoseOfTheCustomer() {
    m_Request.Method = "GET";
    m_Request.Path = "/v1/models";
    const auto Answer = std::get<CallerAnswer>(read());
    CPPUNIT_ASSERT_EQUAL(200, Answer.Status);
    const auto Root = nlohmann::json::parse(Answer.Body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Root["data"].size());
    CPPUNIT_ASSERT(Root["data"][0]["id"] == "scribe-7b");
  }

  void prompts_withEqualPrefix_shareBlocks() {
    const std::string Start(2048, 'a');
    const auto A = hashPrefixBlocks("m", Start + std::string(1024, 'b'));
    const auto B = hashPrefixBlocks("m", Start + std::string(1025, 'c'));
    const auto Other = hashPrefixBlocks("n", Start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, A.size());
    CPPUNIT_ASSERT_EQUAL(A[1], B[1]);
    CPPUNIT_ASSERT(A[2] != B[2]);
    CPPUNIT_ASSERT(A[0] != Other[0]);
    CPPUNIT_ASSERT(hashPrefixBlocks("m", "short").empty());
  }

  void problem_carriesRunAndRetryAfter() {
    const auto Answer =
        makeAnswer(describeRefusal({NotRunReason::Shed, 1200ms}));
    CPPUNIT_ASSERT_EQUAL(503, Answer.Status);
    CPPUNIT_ASSERT_EQUAL(std::string("no"),
                         *findHeader(Answer.Headers, "X-Mangodeck-Run"));
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         *findHeader(Answer.Headers, "Retry-After"));
    const auto Body = nlohmann::json::parse(Answer.Body);
    CPPUNIT_ASSERT(Body["type"] == "urn:mangodeck:problem:shed");
    CPPUNIT_ASSERT(Body["status"] == 503);
  }

private:
  CallerInput read() const { return readCallerInput(m_Request, m_Config); }

  CheckedRequest readChecked() const {
    auto Input = read();
    const auto *Answer = std::get_if<CallerAnswer>(&Input);
    CPPUNIT_ASSERT_MESSAGE(Answer ? Answer->Body : "", !Answer);
    return std::get<CheckedRequest>(std::move(Input));
  }

  /// Returns the status of the problem, or 0 if there is none. Every problem
  /// must report that the request was not run.
  int readStatus() const {
    const auto Input = read();
    const auto *Answer = std::get_if<CallerAnswer>(&Input);
    if (!Answer)
      return 0;
    CPPUNIT_ASSERT_EQUAL(std::string("no"),
                         *findHeader(Answer->Headers, "X-Mangodeck-Run"));
    return Answer->Status;
  }

  Snapshot m_Config;
  CallerRequest m_Request;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerInputTest);

} // namespace mangodeck
