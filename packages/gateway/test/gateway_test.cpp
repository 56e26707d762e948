#include "mangodeck/gateway/gateway.h"

#include "mangodeck/common/random.h"

#include <asio/connect.hpp>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <optional>

namespace mangodeck {

namespace {

HeaderNames testNames() {
  HeaderNames Names;
  Names.AttemptId = "X-Attempt";
  Names.RemainingTime = "X-Left";
  Names.TokenCounts = "X-Tokens";
  Names.OutputHint = "X-Hint";
  Names.LastEventId = "Last-Event-Id";
  Names.Authorization = "Authorization";
  Names.AuthScheme = "Bearer";
  Names.Customer = "X-Customer";
  Names.ExpectedTarget = "X-Expect";
  Names.NotExecuted = "X-Not-Executed";
  Names.ResponseStamp = "X-Receipt";
  Names.TargetLoad = "X-Load";
  Names.RetryAfter = "Retry-After";
  Names.Reserved = {"X-Customer", "X-Expect"};
  return Names;
}

/// A target that answers each request with the next of its scripts: bytes, and
/// whether it closes afterwards.
class ScriptedTarget {
public:
  struct Script {
    std::string Bytes;
    bool Close = false;
    bool Reset = false;
  };

  explicit ScriptedTarget(asio::io_context &Loop)
      : m_Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }
  void close() { m_Acceptor.close(); }

  std::vector<Script> Scripts;
  std::vector<std::string> Requests;

private:
  struct Session {
    explicit Session(asio::ip::tcp::socket S) : Socket(std::move(S)) {}
    asio::ip::tcp::socket Socket;
    std::array<char, 4096> Buffer;
    std::string Read;
  };

  void accept() {
    m_Acceptor.async_accept(
        [this](std::error_code Error, asio::ip::tcp::socket Socket) {
          if (Error)
            return;
          read(std::make_shared<Session>(std::move(Socket)));
          accept();
        });
  }

  void read(std::shared_ptr<Session> Open) {
    Open->Socket.async_read_some(
        asio::buffer(Open->Buffer),
        [this, Open](std::error_code Error, std::size_t Size) {
          if (Error)
            return;
          Open->Read.append(Open->Buffer.data(), Size);
          if (Open->Read.find("\r\n\r\n") != std::string::npos)
            answer(Open);
          else
            read(Open);
        });
  }

  void answer(const std::shared_ptr<Session> &Open) {
    const auto Index = Requests.size();
    Requests.push_back(Open->Read);
    Open->Read.clear();
    if (Index >= Scripts.size())
      return read(Open); // Silent.
    const auto &Next = Scripts[Index];
    std::error_code Ignored;
    asio::write(Open->Socket, asio::buffer(Next.Bytes), Ignored);
    if (Next.Reset)
      Open->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    if (Next.Close || Next.Reset)
      Open->Socket.close(Ignored);
    else
      read(Open);
  }

  asio::ip::tcp::acceptor m_Acceptor;
};

std::string plainAnswer(const std::string &Id, int Status = 200,
                        const std::string &More = "X-Receipt: r\r\n") {
  return "HTTP/1.1 " + std::to_string(Status) + " S\r\nX-Attempt: " + Id +
         "\r\n" + More + "Content-Length: 2\r\n\r\nok";
}

std::string streamHead(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\nX-Attempt: " + Id +
         "\r\nX-Receipt: r\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string event(int Id) {
  const auto Text = "id: " + std::to_string(Id) + "\ndata: x\n\n";
  std::string Out;
  http::appendChunk(Out, Text);
  return Out;
}

} // namespace

/// A whole gateway between a caller and two scripted targets, on one loop over
/// loopback. Waits are bounded and end as soon as the answer is there.
class GatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(request_plain_isForwardedWithOwnFieldsOnly);
  CPPUNIT_TEST(request_beforeConfiguration_gets503);
  CPPUNIT_TEST(request_unknownRouteOrKey_gets404Or401);
  CPPUNIT_TEST(nonIdempotent_answerLost_gets502AndIsNotSentAgain);
  CPPUNIT_TEST(nonIdempotent_rejectedByTarget_getsTruePromise);
  CPPUNIT_TEST(nonIdempotent_targetSays503WithoutPromise_gets502);
  CPPUNIT_TEST(nonIdempotent_nobodyListens_goesToOtherTarget);
  CPPUNIT_TEST(idempotent_answerLost_isSentAgain);
  CPPUNIT_TEST(idempotent_answerOfOtherRequest_isNotDelivered);
  CPPUNIT_TEST(answer_withoutReceipt_isNotDelivered);
  CPPUNIT_TEST(answer_surplusBytes_connectionIsNotUsedAgain);
  CPPUNIT_TEST(answer_unframedThenReset_isNotDelivered);
  CPPUNIT_TEST(stream_events_areRelayedInOrder);
  CPPUNIT_TEST(stream_brokenOff_isResumedBehindLastEvent);
  CPPUNIT_TEST(stream_brokenOffAndNotResumable_doesNotLookComplete);
  CPPUNIT_TEST(stream_pieceMissing_isNotPassedOn);
  CPPUNIT_TEST(target_draining_getsNothingMore);
  CPPUNIT_TEST(customer_overLimit_gets429WithTimeToComeBack);
  CPPUNIT_TEST(caller_leaves_targetConnectionIsClosed);
  CPPUNIT_TEST(plan_older_isNotTaken);
  CPPUNIT_TEST(body_beyondMemory_isRefusedAndOthersServed);
  CPPUNIT_TEST(metrics_ownPort_areServed);
  CPPUNIT_TEST(broker_grants_requestGoesToGrantedTarget);
  CPPUNIT_TEST(broker_grantsDrainingTarget_isNotUsed);
  CPPUNIT_TEST(broker_silent_requestIsServedAllTheSame);
  CPPUNIT_TEST(broker_refuses_callerIsToldWhenToComeBack);
  CPPUNIT_TEST(ownBroker_otherDaemonAsks_isGrantedFreeSlots);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    m_A.emplace(*m_Loop);
    m_B.emplace(*m_Loop);
    m_Log.emplace(-1, "vm", "1", 10000);
    m_Metrics.emplace();
    GatewaySettings Settings;
    Settings.Vm = "vm";
    Settings.MemoryLimitBytes = 1 << 20;
    Settings.Domain = FailureDomain("home");
    Settings.Ip = "127.0.0.1";
    Settings.CallerPort = freePort();
    Settings.ReadyPort = freePort();
    Settings.MetricsPort = m_MetricsPort = freePort();
    Settings.PeerPort = freePort();
    Settings.ReadyPath = "/ready";
    m_Port = Settings.CallerPort;
    m_PeerPort = Settings.PeerPort;
    m_Gateway.emplace(*m_Loop, Settings, m_Names, *m_Log, *m_Metrics, m_Random);
    CPPUNIT_ASSERT(!m_Gateway->start());
    m_Client.emplace(*m_Loop);
    m_Client->connect({asio::ip::make_address("127.0.0.1"), m_Port});
  }

  void tearDown() override {
    m_Client.reset();
    m_Gateway.reset();
    m_A.reset();
    m_B.reset();
    m_Loop.reset();
  }

  void request_plain_isForwardedWithOwnFieldsOnly() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_A);
    m_A->Scripts = {{plainAnswer("1")}};
    const auto Answer =
        ask("GET /p/x?q=1 HTTP/1.1\r\nHost: h\r\nX-Attempt: 1\r\n"
            "X-Left: 5000\r\nX-Customer: forged\r\nConnection: X-Own\r\n"
            "X-Own: 1\r\nAuthorization: Bearer k\r\n\r\n");
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Answer.find("X-Receipt: r") != Answer.npos);
    const auto &Sent = m_A->Requests.at(0);
    CPPUNIT_ASSERT(Sent.starts_with("GET /p/x?q=1 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(Sent.find("X-Expect: a\r\n") != Sent.npos);
    CPPUNIT_ASSERT(Sent.find("X-Customer: c\r\n") != Sent.npos);
    CPPUNIT_ASSERT(Sent.find("forged") == Sent.npos);
    CPPUNIT_ASSERT(Sent.find("X-Own") == Sent.npos);
    CPPUNIT_ASSERT(Sent.find("Bearer") == Sent.npos);
  }

  void request_beforeConfiguration_gets503() {
    const auto Answer = ask(request("1"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Answer.find("Retry-After: ") != Answer.npos);
  }

  void request_unknownRouteOrKey_gets404Or401() {
    configure(RouteKind::Idempotent);
    CPPUNIT_ASSERT(
        ask("GET /z/ HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 404"));
    CPPUNIT_ASSERT(
        ask("GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 401"));
  }

  void nonIdempotent_answerLost_gets502AndIsNotSentAgain() {
    configure(RouteKind::NonIdempotent, 3);
    addTarget("a", *m_A);
    addTarget("b", *m_B);
    m_A->Scripts = m_B->Scripts = {{"", true}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 502"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         m_A->Requests.size() + m_B->Requests.size());
  }

  void nonIdempotent_rejectedByTarget_getsTruePromise() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_A);
    m_A->Scripts = {{plainAnswer("1", 503, "X-Not-Executed: 1\r\n")}};
    const auto Answer = ask(request("1"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Answer.find("Retry-After: ") != Answer.npos);
  }

  void nonIdempotent_targetSays503WithoutPromise_gets502() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_A);
    m_A->Scripts = {{plainAnswer("1", 503)}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 502"));
  }

  void nonIdempotent_nobodyListens_goesToOtherTarget() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_A);
    addTarget("b", *m_B, "away");
    m_A->close();
    m_B->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 200"));
  }

  void idempotent_answerLost_isSentAgain() {
    configure(RouteKind::Idempotent, 2);
    addTarget("a", *m_A);
    addTarget("b", *m_B, "away");
    m_A->Scripts = {{"", false, true}};
    m_B->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 200"));
  }

  void idempotent_answerOfOtherRequest_isNotDelivered() {
    configure(RouteKind::Idempotent, 2);
    addTarget("a", *m_A);
    addTarget("b", *m_B, "away");
    m_A->Scripts = {{plainAnswer("other")}};
    m_B->Scripts = {{plainAnswer("1")}};
    const auto Answer = ask(request("1"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Answer.find("other") == Answer.npos);
  }

  void answer_withoutReceipt_isNotDelivered() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_A);
    m_A->Scripts = {{plainAnswer("1", 200, "")}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 502"));
  }

  void answer_surplusBytes_connectionIsNotUsedAgain() {
    configure(RouteKind::Idempotent, 1);
    addTarget("a", *m_A);
    m_A->Scripts = {{plainAnswer("1") + plainAnswer("1")}, {plainAnswer("2")}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 200"));
    const auto Second = ask(request("2"));
    CPPUNIT_ASSERT(Second.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Second.find("X-Attempt: 2") != Second.npos);
  }

  void answer_unframedThenReset_isNotDelivered() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_A);
    m_A->Scripts = {
        {"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Receipt: r\r\n\r\nha", false,
         true}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 502"));
  }

  void stream_events_areRelayedInOrder() {
    configure(RouteKind::Stream);
    addTarget("a", *m_A);
    m_A->Scripts = {{streamHead("1") + event(1) + event(2) + "0\r\n\r\n"}};
    const auto Answer = ask(request("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.find("id: 1\n") < Answer.find("id: 2\n"));
    CPPUNIT_ASSERT(Answer.ends_with(http::LastChunk));
  }

  void stream_brokenOff_isResumedBehindLastEvent() {
    configure(RouteKind::Stream, 2, true);
    addTarget("a", *m_A);
    addTarget("b", *m_B, "away");
    m_A->Scripts = {
        {streamHead("1") + event(1) + event(2) + "20\r\nid: 3\nda", true}};
    m_B->Scripts = {{streamHead("1") + event(3) + "0\r\n\r\n"}};
    const auto Answer = ask(request("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.ends_with(http::LastChunk));
    CPPUNIT_ASSERT_EQUAL(Answer.find("id: 3"), Answer.rfind("id: 3"));
    CPPUNIT_ASSERT(m_B->Requests.at(0).find("Last-Event-Id: 2\r\n") !=
                   std::string::npos);
  }

  void stream_brokenOffAndNotResumable_doesNotLookComplete() {
    configure(RouteKind::Stream, 2, false);
    addTarget("a", *m_A);
    addTarget("b", *m_B, "away");
    m_A->Scripts = {{streamHead("1") + event(1), true}};
    const auto Answer = ask(request("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.find("id: 1\n") != Answer.npos);
    CPPUNIT_ASSERT(Answer.find(http::LastChunk) == Answer.npos);
    CPPUNIT_ASSERT(m_B->Requests.empty());
  }

  void stream_pieceMissing_isNotPassedOn() {
    configure(RouteKind::Stream, 1, true);
    addTarget("a", *m_A);
    m_A->Scripts = {{streamHead("1") + event(1) + event(3) + "0\r\n\r\n"}};
    const auto Answer = ask(request("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.find("id: 3\n") == Answer.npos);
    CPPUNIT_ASSERT(Answer.find(http::LastChunk) == Answer.npos);
  }

  void target_draining_getsNothingMore() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_A);
    addTarget("b", *m_B, "away");
    m_Gateway->onTargetUpdated(entry("a", *m_A, "home", true));
    m_B->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(m_A->Requests.empty());
  }

  void customer_overLimit_gets429WithTimeToComeBack() {
    configure(RouteKind::Idempotent, 1, false, 2);
    addTarget("a", *m_A);
    m_A->Scripts = {{plainAnswer("1")}, {plainAnswer("2")}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 200"));
    const auto Answer = ask(request("2"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 429"));
    CPPUNIT_ASSERT(Answer.find("Retry-After: ") != Answer.npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_A->Requests.size());
  }

  void caller_leaves_targetConnectionIsClosed() {
    configure(RouteKind::Stream);
    addTarget("a", *m_A);
    m_A->Scripts = {{streamHead("1") + event(1)}};
    send(request("1"));
    waitFor([&] { return m_A->Requests.size() == 1; });
    m_Client->close();
    m_Client.emplace(*m_Loop);
    m_Client->connect({asio::ip::make_address("127.0.0.1"), m_Port});
    m_A->Scripts.push_back({streamHead("2") + event(1) + "0\r\n\r\n"});
    CPPUNIT_ASSERT(
        ask(request("2"), http::LastChunk).ends_with(http::LastChunk));
  }

  void plan_older_isNotTaken() {
    configure(RouteKind::Idempotent);
    auto Older = std::make_shared<RoutePlan>();
    Older->Version = 1;
    Older->index();
    m_Gateway->onPlan(Older);
    addTarget("a", *m_A);
    m_A->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 200"));
  }

  void body_beyondMemory_isRefusedAndOthersServed() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_A);
    m_A->Scripts = {{plainAnswer("2")}};
    const auto Answer =
        ask("POST /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt: 1\r\n"
            "Authorization: Bearer k\r\nContent-Length: 400000\r\n\r\n" +
            std::string(400000, 'x'));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    m_Client.emplace(*m_Loop);
    m_Client->connect({asio::ip::make_address("127.0.0.1"), m_Port});
    CPPUNIT_ASSERT(ask(request("2")).starts_with("HTTP/1.1 200"));
  }

  void metrics_ownPort_areServed() {
    configure(RouteKind::Idempotent);
    m_Client.emplace(*m_Loop);
    m_Client->connect({asio::ip::make_address("127.0.0.1"), m_MetricsPort});
    const auto Answer = ask("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Answer.find("mangodeck_") != Answer.npos);
  }

  void broker_grants_requestGoesToGrantedTarget() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_A);
    addTarget("b", *m_B);
    PeerStub Broker(*m_Loop, *m_Gateway, m_PeerPort, "a-first");
    Broker.Answer = [&](const SlotAsk &Ask) {
      return SlotVerdict{Ask.Number, SlotVerdict::Kind::Granted, hashOf("b"),
                         Duration{0}};
    };
    waitFor([&] { return Broker.isFollowed(); });
    m_B->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_B->Requests.size());
    waitFor([&] { return Broker.Notes.size() == 1; });
    CPPUNIT_ASSERT(Broker.Notes.at(0).What == SlotNote::Kind::Ended);
    CPPUNIT_ASSERT(Broker.Notes.at(0).Outcome == SlotOutcome::Success);
    CPPUNIT_ASSERT_EQUAL(hashOf("b"), Broker.Notes.at(0).Target);
  }

  void broker_grantsDrainingTarget_isNotUsed() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_A);
    addTarget("b", *m_B);
    m_Gateway->onTargetUpdated(entry("a", *m_A, "home", true));
    PeerStub Broker(*m_Loop, *m_Gateway, m_PeerPort, "a-first");
    Broker.Answer = [&](const SlotAsk &Ask) {
      return SlotVerdict{Ask.Number, SlotVerdict::Kind::Granted, hashOf("a"),
                         Duration{0}};
    };
    waitFor([&] { return Broker.isFollowed(); });
    m_B->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(m_A->Requests.empty());
  }

  void broker_silent_requestIsServedAllTheSame() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_A);
    PeerStub Broker(*m_Loop, *m_Gateway, m_PeerPort, "a-first");
    waitFor([&] { return Broker.isFollowed(); });
    m_A->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(ask(request("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(!Broker.Asks.empty());
  }

  void broker_refuses_callerIsToldWhenToComeBack() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_A);
    PeerStub Broker(*m_Loop, *m_Gateway, m_PeerPort, "a-first");
    Broker.Answer = [](const SlotAsk &Ask) {
      return SlotVerdict{Ask.Number, SlotVerdict::Kind::Refused, 0, 50ms};
    };
    waitFor([&] { return Broker.isFollowed(); });
    const auto Answer = ask(request("1"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Answer.find("Retry-After: ") != Answer.npos);
    CPPUNIT_ASSERT(m_A->Requests.empty());
  }

  void ownBroker_otherDaemonAsks_isGrantedFreeSlots() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_A);
    PeerStub Other(*m_Loop, *m_Gateway, m_PeerPort, "z-last");
    SlotAsk Ask;
    Ask.Vm = "z-last";
    Ask.Service = ServiceName("s");
    Ask.ToTarget = Ask.ToStart = Ask.ToGiveUp = Ask.ToEnd = 5s;
    Ask.MayRefuse = true;
    for (Ask.Number = 1; Ask.Number <= 6; ++Ask.Number)
      Other.send(encodeSlotMessage(Ask));
    waitFor([&] { return Other.Verdicts.size() == 6; });
    CPPUNIT_ASSERT_EQUAL(
        std::ptrdiff_t(5), // Four slots and one ahead.
        std::count_if(Other.Verdicts.begin(), Other.Verdicts.end(),
                      [](const auto &Verdict) {
                        return Verdict.Answer == SlotVerdict::Kind::Granted;
                      }));
  }

private:
  /// Another daemon of the failure domain: reports, and answers asks.
  class PeerStub {
  public:
    PeerStub(asio::io_context &Loop, Gateway &Under, std::uint16_t PeerPort,
             std::string Vm)
        : m_Socket(Loop, {asio::ip::make_address("127.0.0.1"), 0}),
          m_To(asio::ip::make_address("127.0.0.1"), PeerPort),
          m_Vm(std::move(Vm)) {
      Under.onPeerUpdated(m_Vm, {"127.0.0.1", m_Socket.local_endpoint().port(),
                                 FailureDomain("home")});
      report();
      receive();
    }

    void send(const std::string &Bytes) {
      m_Socket.send_to(asio::buffer(Bytes), m_To);
    }
    /// The gateway has taken a report and sent one of its own afterwards.
    bool isFollowed() const { return m_Reports >= 3; }

    std::function<std::optional<SlotVerdict>(const SlotAsk &)> Answer;
    std::vector<SlotAsk> Asks;
    std::vector<SlotVerdict> Verdicts;
    std::vector<SlotNote> Notes;

  private:
    void report() {
      PeerReport Report;
      Report.Vm = m_Vm;
      Report.Domain = FailureDomain("home");
      Report.Incarnation = 1;
      Report.Sequence = ++m_Sequence;
      send(encodeReport(Report));
    }

    void receive() {
      m_Socket.async_receive(
          asio::buffer(m_Buffer), [this](std::error_code Error, auto Size) {
            if (Error)
              return;
            const std::string_view Bytes(m_Buffer.data(), Size);
            if (decodeReport(Bytes)) {
              ++m_Reports;
              report();
            }
            const auto Message = decodeSlotMessage(Bytes);
            if (Message)
              std::visit([this](const auto &Each) { this->take(Each); },
                         *Message);
            receive();
          });
    }
    void take(const SlotAsk &Ask) {
      Asks.push_back(Ask);
      if (const auto Verdict = Answer ? Answer(Ask) : std::nullopt)
        send(encodeSlotMessage(*Verdict));
    }
    void take(const SlotVerdict &Verdict) { Verdicts.push_back(Verdict); }
    void take(const SlotNote &Note) { Notes.push_back(Note); }

    asio::ip::udp::socket m_Socket;
    asio::ip::udp::endpoint m_To;
    std::string m_Vm;
    std::array<char, 16384> m_Buffer;
    std::uint64_t m_Sequence = 0;
    int m_Reports = 0;
  };

  static std::uint64_t hashOf(const char *Id) {
    TargetEntry Entry;
    Entry.Id = TargetName(Id);
    return KnownTarget(Entry).Hash;
  }

  static std::uint16_t freePort() {
    asio::io_context Loop;
    asio::ip::tcp::acceptor Any(Loop, {asio::ip::make_address("127.0.0.1"), 0});
    return Any.local_endpoint().port();
  }

  static std::string request(const std::string &Id) {
    return "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt: " + Id +
           "\r\nX-Left: 5000\r\nAuthorization: Bearer k\r\n\r\n";
  }

  void configure(RouteKind Kind, std::uint32_t Attempts = 1,
                 bool Resumable = false, double PerSecond = 0) {
    auto Plan = std::make_shared<RoutePlan>();
    Plan->Version = 5;
    Route Only;
    Only.Name = "r";
    Only.Host = "h";
    Only.Prefix = "/p/";
    Only.Kind = Kind;
    Only.Timeout = 5s;
    Only.LatencyTarget = 1s;
    Only.GapTarget = 300ms;
    Only.Attempts = Attempts;
    Only.Resumable = Resumable;
    Only.Shares = {{ServiceName("s"), 1}};
    Plan->Routes = {Only};
    PlannedCustomer Customer;
    Customer.Name = CustomerName("c");
    Customer.Keys = {"k"};
    Customer.PerSecond = PerSecond;
    Customer.Burst = PerSecond;
    Plan->Customers = {Customer};
    Plan->index();
    m_Gateway->onPlan(Plan);
    m_Gateway->onDirectoryComplete();
  }

  static TargetEntry entry(const char *Id, const ScriptedTarget &At,
                           const char *Domain, bool Draining) {
    TargetEntry Entry;
    Entry.Id = TargetName(Id);
    Entry.Service = ServiceName("s");
    Entry.Domain = FailureDomain(Domain);
    Entry.Ip = "127.0.0.1";
    Entry.Port = At.port();
    Entry.Slots = 4;
    Entry.Draining = Draining;
    return Entry;
  }

  void addTarget(const char *Id, const ScriptedTarget &At,
                 const char *Domain = "home") {
    m_Gateway->onTargetUpdated(entry(Id, At, Domain, false));
  }

  void send(const std::string &Bytes) {
    asio::write(*m_Client, asio::buffer(Bytes));
  }

  /// Runs the loop until \p Done, for some seconds at most.
  void waitFor(const std::function<bool()> &Done) {
    for (int I = 0; I < 500 && !Done(); ++I) {
      m_Loop->restart();
      m_Loop->run_for(std::chrono::milliseconds(10));
    }
  }

  /// Sends a request and reads until \p End, or a body of two bytes, or the
  /// end of the connection.
  std::string ask(const std::string &Bytes, std::string_view End = "") {
    send(Bytes);
    m_Client->non_blocking(true);
    std::string Read;
    bool Over = false;
    waitFor([&] {
      std::array<char, 4096> Buffer;
      std::error_code Error;
      const auto Size = m_Client->read_some(asio::buffer(Buffer), Error);
      Read.append(Buffer.data(), Size);
      Over = Error && Error != asio::error::would_block;
      const auto Head = Read.find("\r\n\r\n");
      const bool Body = Head != Read.npos && Read.size() > Head + 4;
      return Over || (End.empty() ? Body : Read.ends_with(End));
    });
    return Read;
  }

  const HeaderNames m_Names = testNames();
  SeededRandom m_Random{5};
  std::optional<asio::io_context> m_Loop;
  std::optional<ScriptedTarget> m_A;
  std::optional<ScriptedTarget> m_B;
  std::optional<EventLog> m_Log;
  std::optional<GatewayMetrics> m_Metrics;
  std::optional<Gateway> m_Gateway;
  std::optional<asio::ip::tcp::socket> m_Client;
  std::uint16_t m_Port = 0;
  std::uint16_t m_PeerPort = 0;
  std::uint16_t m_MetricsPort = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace mangodeck
