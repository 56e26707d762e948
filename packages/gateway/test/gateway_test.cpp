#include "mangodeck/gateway/gateway.h"

#include "gatewaysupport.h"
#include "mangodeck/common/random.h"

#include <asio/connect.hpp>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <optional>
#include <thread>

namespace mangodeck {

/// A complete gateway between a caller and two scripted targets, on one event
/// loop over loopback. Waits are bounded and end when their condition holds.
class GatewayTest : public CppUnit::TestFixture {
  static constexpr Duration ShutdownGrace = 4s;
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(request_plain_isForwardedWithOwnFieldsOnly);
  CPPUNIT_TEST(request_beforeConfiguration_gets503);
  CPPUNIT_TEST(request_unknownRouteOrKey_gets404Or401);
  CPPUNIT_TEST(nonIdempotent_answerLost_gets502AndIsNotSentAgain);
  CPPUNIT_TEST(nonIdempotent_targetDidNotExecute_gets503WithRetryAfter);
  CPPUNIT_TEST(nonIdempotent_target503WithoutNotExecuted_gets502);
  CPPUNIT_TEST(nonIdempotent_connectionRefused_isSentToOtherTarget);
  CPPUNIT_TEST(idempotent_answerLost_isSentAgain);
  CPPUNIT_TEST(idempotent_mayHaveRunAndNoSlotInTime_getsNoPromise);
  CPPUNIT_TEST(idempotent_answerOfOtherRequest_isNotDelivered);
  CPPUNIT_TEST(answer_withoutResponseStamp_isNotDelivered);
  CPPUNIT_TEST(answer_surplusBytes_connectionIsNotReused);
  CPPUNIT_TEST(refusal_secondCopyAfterSameAttempt_isNotItsAnswer);
  CPPUNIT_TEST(refusal_secondCopyWithoutIds_isNotTheNextAnswer);
  CPPUNIT_TEST(refusal_copyOfEarlierAttempt_saysNothingOfTarget);
  CPPUNIT_TEST(answer_withoutLengthThenReset_isNotDelivered);
  CPPUNIT_TEST(answer_withoutLengthThenClose_isDelivered);
  CPPUNIT_TEST(stream_withoutLengthThenClose_isCompleted);
  CPPUNIT_TEST(stream_withoutLengthEndsInsideEvent_isBrokenOff);
  CPPUNIT_TEST(stream_withoutLengthEndsInsideEvent_isResumed);
  CPPUNIT_TEST(stream_withoutLengthThenReset_isBrokenOff);
  CPPUNIT_TEST(stream_withoutLengthEndsBeforeFirstEvent_gets502);
  CPPUNIT_TEST(answer_headWithoutEnd_costsOneConnection);
  CPPUNIT_TEST(answer_interimHeadsWithoutEnd_costOneConnection);
  CPPUNIT_TEST(answer_bodyWithoutEnd_costsOneConnection);
  CPPUNIT_TEST(answer_notOursWithoutEnd_costsOneConnection);
  CPPUNIT_TEST(stream_eventWithoutEnd_costsOneConnection);
  CPPUNIT_TEST(stream_commentsWithoutEnd_costOneConnection);
  CPPUNIT_TEST(crashEvidence_ofPeer_refusesPartUntilItIsRefuted);
  CPPUNIT_TEST(crash_requestWithoutAnswer_isEvidence);
  CPPUNIT_TEST(crash_ofLeavingTarget_isNoEvidence);
  CPPUNIT_TEST(crash_streamThatWentOn_isNoEvidence);
  CPPUNIT_TEST(connectionBroken_targetStillListens_isNoEvidence);
  CPPUNIT_TEST(stream_events_areRelayedInOrder);
  CPPUNIT_TEST(stream_interrupted_isResumedAfterLastEvent);
  CPPUNIT_TEST(stream_takenUpAndTargetRepeatsEvents_isResumedAtOther);
  CPPUNIT_TEST(stream_interruptedAndNotResumable_getsNoLastChunk);
  CPPUNIT_TEST(stream_eventMissing_laterEventIsNotRelayed);
  CPPUNIT_TEST(stream_bytesWithoutEvents_isResumedAtOtherTarget);
  CPPUNIT_TEST(stream_slowWithoutOtherTarget_isCompleted);
  CPPUNIT_TEST(stream_silentAfterLatencyTarget_isResumedInOtherDomain);
  CPPUNIT_TEST(stream_processSuspended_isNotSentAgain);
  CPPUNIT_TEST(nonIdempotent_answerWithoutIdOnReusedConnection_getsNoPromise);
  CPPUNIT_TEST(stop_requestInListenBacklog_isAnswered);
  CPPUNIT_TEST(stop_requestNotReadYet_isAnswered);
  CPPUNIT_TEST(stop_lateLoopAndRunningRequest_endsWithinGrace);
  CPPUNIT_TEST(broker_repeatsGrantOfTriedTarget_targetIsNotUsed);
  CPPUNIT_TEST(target_draining_getsNoRequests);
  CPPUNIT_TEST(target_announcesLeaving_getsNoFurtherRequests);
  CPPUNIT_TEST(target_announcesLeavingInSpoiledAnswer_getsNoFurtherRequests);
  CPPUNIT_TEST(target_announcesLeaving_isReportedToPeers);
  CPPUNIT_TEST(target_peerReportsLeaving_getsNoRequestsAfterHeartbeat);
  CPPUNIT_TEST(target_misdirectedAnswerLeaving_marksTargetAtThatAddress);
  CPPUNIT_TEST(target_asksForPause_getsNothingUntilItsEnd);
  CPPUNIT_TEST(target_asksForPause_repeatableRequestGoesToOther);
  CPPUNIT_TEST(target_unreadableRetryAfter_pausesForDefault);
  CPPUNIT_TEST(allTargets_pause_callerIsRefusedWithTimeOfPause);
  CPPUNIT_TEST(retryAfter_ofTarget_isParsedWithinBounds);
  CPPUNIT_TEST(rateLimit_ofTarget_isParsed);
  CPPUNIT_TEST(target_statesRateLimit_isShownUntilItIsLifted);
  CPPUNIT_TEST(customer_overLimit_gets429WithRetryAfter);
  CPPUNIT_TEST(caller_disconnects_targetConnectionIsClosed);
  CPPUNIT_TEST(plan_older_isIgnored);
  CPPUNIT_TEST(body_overMemoryShare_isRefusedAndNextRequestIsServed);
  CPPUNIT_TEST(bodies_beingReadOnManyConnections_areCountedTogether);
  CPPUNIT_TEST(metrics_onOwnPort_areServed);
  CPPUNIT_TEST(broker_grants_requestIsSentToGrantedTarget);
  CPPUNIT_TEST(broker_grantsDrainingTarget_targetIsNotUsed);
  CPPUNIT_TEST(broker_grantsTargetOfOtherService_targetIsNotUsed);
  CPPUNIT_TEST(permit_forTargetOfOtherService_targetIsNotUsed);
  CPPUNIT_TEST(broker_silent_requestIsServedWithoutBroker);
  CPPUNIT_TEST(broker_refuses_callerGetsRetryAfter);
  CPPUNIT_TEST(tick_nothingWaits_isRare);
  CPPUNIT_TEST(relaying_delegateWithPeers_relaysUntilReplaced);
  CPPUNIT_TEST(localBroker_otherDaemonRequests_freeSlotsAreGranted);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    m_TargetA.emplace(*m_Loop);
    m_TargetB.emplace(*m_Loop);
    m_Log.emplace(-1, "vm", "1", 10000);
    m_Metrics.emplace();
    GatewaySettings Settings;
    Settings.Vm = "vm";
    Settings.MemoryLimitBytes = 1 << 20;
    Settings.Domain = FailureDomain("own-domain");
    Settings.Ip = "127.0.0.1";
    Settings.CallerPort = freePort();
    Settings.ReadyPort = freePort();
    Settings.MetricsPort = m_MetricsPort = freePort();
    Settings.PeerPort = freePort();
    Settings.ReadyPath = "/ready";
    Settings.ShutdownGrace = ShutdownGrace;
    m_CallerPort = Settings.CallerPort;
    m_PeerPort = Settings.PeerPort;
    m_Gateway.emplace(*m_Loop, Settings, m_Names, *m_Log, *m_Metrics, m_Random);
    CPPUNIT_ASSERT(!m_Gateway->start());
    m_Client.emplace(*m_Loop);
    m_Client->connect({asio::ip::make_address("127.0.0.1"), m_CallerPort});
  }

  void tearDown() override {
    m_Client.reset();
    m_Gateway.reset();
    m_TargetA.reset();
    m_TargetB.reset();
    m_Loop.reset();
  }

  void request_plain_isForwardedWithOwnFieldsOnly() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{plainAnswer("1")}};
    const auto Answer = sendRequest(
        "GET /p/x?q=1 HTTP/1.1\r\nHost: h\r\nX-Attempt: 1\r\n"
        "X-Left: 5000\r\nX-Customer: forged\r\nConnection: X-Own\r\n"
        "X-Own: 1\r\nAuthorization: Bearer k\r\n\r\n");
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Answer.find("X-Stamp: r") != Answer.npos);
    const auto &Sent = m_TargetA->Requests.at(0);
    CPPUNIT_ASSERT(Sent.starts_with("GET /p/x?q=1 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(Sent.find("X-Expect: a\r\n") != Sent.npos);
    CPPUNIT_ASSERT(Sent.find("X-Customer: c\r\n") != Sent.npos);
    CPPUNIT_ASSERT(Sent.find("forged") == Sent.npos);
    CPPUNIT_ASSERT(Sent.find("X-Own") == Sent.npos);
    CPPUNIT_ASSERT(Sent.find("Bearer") == Sent.npos);
  }

  void request_beforeConfiguration_gets503() {
    const auto Answer = sendRequest(requestText("1"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Answer.find("Retry-After: ") != Answer.npos);
  }

  void request_unknownRouteOrKey_gets404Or401() {
    configure(RouteKind::Idempotent);
    CPPUNIT_ASSERT(sendRequest("GET /z/ HTTP/1.1\r\nHost: h\r\n\r\n")
                       .starts_with("HTTP/1.1 404"));
    CPPUNIT_ASSERT(sendRequest("GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n")
                       .starts_with("HTTP/1.1 401"));
  }

  void nonIdempotent_answerLost_gets502AndIsNotSentAgain() {
    configure(RouteKind::NonIdempotent, 3);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB);
    m_TargetA->Scripts = m_TargetB->Scripts = {{"", true}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 502"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetA->Requests.size() +
                                             m_TargetB->Requests.size());
  }

  void nonIdempotent_targetDidNotExecute_gets503WithRetryAfter() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{plainAnswer("1", 503, "X-Not-Executed: 1\r\n")}};
    const auto Answer = sendRequest(requestText("1"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Answer.find("Retry-After: ") != Answer.npos);
  }

  void nonIdempotent_target503WithoutNotExecuted_gets502() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{plainAnswer("1", 503)}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 502"));
  }

  void nonIdempotent_connectionRefused_isSentToOtherTarget() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->close();
    m_TargetB->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
  }

  void idempotent_answerLost_isSentAgain() {
    configure(RouteKind::Idempotent, 2);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {{"", false, true}};
    m_TargetB->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
  }

  void idempotent_mayHaveRunAndNoSlotInTime_getsNoPromise() {
    configure(RouteKind::Idempotent, 2);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{"", false, true}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 502"));
  }

  void idempotent_answerOfOtherRequest_isNotDelivered() {
    configure(RouteKind::Idempotent, 2);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {{plainAnswer("other")}};
    m_TargetB->Scripts = {{plainAnswer("1")}};
    const auto Answer = sendRequest(requestText("1"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Answer.find("other") == Answer.npos);
  }

  void answer_withoutResponseStamp_isNotDelivered() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{plainAnswer("1", 200, "")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 502"));
  }

  void answer_surplusBytes_connectionIsNotReused() {
    configure(RouteKind::Idempotent, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{plainAnswer("1") + plainAnswer("1")},
                          {plainAnswer("2")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    const auto Second = sendRequest(requestText("2"));
    CPPUNIT_ASSERT(Second.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Second.find("X-Attempt: 2") != Second.npos);
  }

  // Regression: a caller repeats an attempt that was refused; the second copy
  // of the refusal came on the kept connection and told the caller that the
  // request had not run, while the target was running it.
  void refusal_secondCopyAfterSameAttempt_isNotItsAnswer() {
    const auto Refusal = plainAnswer("1", 503, "X-Not-Executed: 1\r\n");
    playSecondCopy(Refusal, plainAnswer("1"), requestText("1"));
  }

  void refusal_secondCopyWithoutIds_isNotTheNextAnswer() {
    const std::string Refusal =
        "HTTP/1.1 503 S\r\nX-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno";
    const std::string Answer =
        "HTTP/1.1 200 S\r\nX-Stamp: r\r\nContent-Length: 2\r\n\r\nok";
    playSecondCopy(Refusal, Answer,
                   "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Left: 5000\r\n"
                   "Authorization: Bearer k\r\n\r\n");
  }

  void refusal_copyOfEarlierAttempt_saysNothingOfTarget() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{plainAnswer("1")},
                          {plainAnswer("1", 503,
                                       "X-Not-Executed: 1\r\nRetry-After: 3\r\n"
                                       "X-Leaving: 1\r\n")},
                          {plainAnswer("3")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(sendRequest(requestText("2")).starts_with("HTTP/1.1 502"));
    CPPUNIT_ASSERT(sendRequest(requestText("3")).starts_with("HTTP/1.1 200"));
  }

  void answer_withoutLengthThenReset_isNotDelivered() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {
        {"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Stamp: r\r\n\r\nha", false,
         true}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 502"));
  }

  void answer_withoutLengthThenClose_isDelivered() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{unframedHead("text/plain") + "whole", true}};
    const auto Answer = sendRequest(requestText("1"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Answer.ends_with("whole"));
  }

  void stream_withoutLengthThenClose_isCompleted() {
    configure(RouteKind::Stream, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {
        {unframedHead("text/event-stream") + eventText(1) + eventText(2),
         true}};
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Answer.find("id: 2") != Answer.npos);
    CPPUNIT_ASSERT(Answer.ends_with(http::LastChunk));
  }

  void stream_withoutLengthEndsInsideEvent_isBrokenOff() {
    configure(RouteKind::Stream, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {
        {unframedHead("text/event-stream") + eventText(1) + "id: 2\ndata: x\n",
         true}};
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.find("id: 1") != Answer.npos);
    CPPUNIT_ASSERT(Answer.find("id: 2") == Answer.npos);
    CPPUNIT_ASSERT(!Answer.ends_with(http::LastChunk));
  }

  void stream_withoutLengthEndsInsideEvent_isResumed() {
    configure(RouteKind::Stream, 2, true);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {
        {unframedHead("text/event-stream") + eventText(1) + "id: 2", true}};
    m_TargetB->Scripts = {
        {unframedHead("text/event-stream") + eventText(2), true}};
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.find("id: 2") != Answer.npos);
    CPPUNIT_ASSERT(Answer.ends_with(http::LastChunk));
    CPPUNIT_ASSERT(m_TargetB->Requests.at(0).find("Last-Event-Id: 1\r\n") !=
                   std::string::npos);
  }

  void stream_withoutLengthThenReset_isBrokenOff() {
    configure(RouteKind::Stream, 1);
    addTarget("a", *m_TargetA);
    // A reset discards what is not read yet, so it comes after a pause.
    m_TargetA->Scripts = {{unframedHead("text/event-stream") + eventText(1),
                           false,
                           false,
                           {eventText(2)}}};
    m_TargetA->ResetAfterDrips = true;
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.find("id: 1") != Answer.npos);
    CPPUNIT_ASSERT(!Answer.ends_with(http::LastChunk));
  }

  void stream_withoutLengthEndsBeforeFirstEvent_gets502() {
    configure(RouteKind::Stream, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{unframedHead("text/event-stream"), true}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 502"));
  }

  void answer_headWithoutEnd_costsOneConnection() {
    assertEndlessIsGivenUp(RouteKind::Idempotent, "HTTP/1.1 200 OK\r\nX-Fill: ",
                           std::string(1024, 'x'));
  }

  void answer_interimHeadsWithoutEnd_costOneConnection() {
    assertEndlessIsGivenUp(RouteKind::Idempotent, "",
                           "HTTP/1.1 100 Continue\r\n\r\n");
  }

  void answer_bodyWithoutEnd_costsOneConnection() {
    assertEndlessIsGivenUp(RouteKind::Idempotent, unframedHead("text/plain"),
                           std::string(1024, 'x'));
  }

  void answer_notOursWithoutEnd_costsOneConnection() {
    assertEndlessIsGivenUp(RouteKind::Idempotent,
                           "HTTP/1.1 200 OK\r\nX-Attempt: other\r\n\r\n",
                           std::string(1024, 'x'), 64 << 10);
  }

  void stream_eventWithoutEnd_costsOneConnection() {
    assertEndlessIsGivenUp(
        RouteKind::Stream,
        unframedHead("text/event-stream") + "data: ", std::string(1024, 'x'));
  }

  void stream_commentsWithoutEnd_costOneConnection() {
    configure(RouteKind::Stream, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{unframedHead("text/event-stream") + eventText(1)}};
    m_TargetA->Scripts.back().Endless = ": " + std::string(1024, 'x') + "\n\n";
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT(!Answer.ends_with(http::LastChunk));
    CPPUNIT_ASSERT(Answer.size() < MaxEndlessBytes);
  }

  void crashEvidence_ofPeer_refusesPartUntilItIsRefuted() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    m_TargetA->Answer = [](const std::string &) { return plainAnswer("1"); };
    PeerStub Peer(*m_Loop, *m_Gateway, m_PeerPort, "z-last");
    const auto Report = [&](bool Refuted) {
      CauseEvidence Evidence{0xbad, false, {}};
      for (std::uint64_t Number = 1; Number <= 4; ++Number)
        Evidence.Sightings.push_back({Number, 100 + Number, 4s, Refuted});
      Peer.sendBytes(encodeCrashEvidence(std::span(&Evidence, 1)));
      runLoopFor(200ms);
    };
    const auto Request = [](const std::string &Parts) {
      auto Text = requestText("1");
      return Text.insert(Text.size() - 2, "X-Parts: " + Parts + "\r\n");
    };
    Report(false);
    const auto Refused = sendRequest(Request("bad:9,2:1"));
    CPPUNIT_ASSERT(Refused.starts_with("HTTP/1.1 503"));
    const auto At = Refused.find("Retry-After: ");
    CPPUNIT_ASSERT(At != Refused.npos);
    // Four crashes; some seconds of the refusal are over.
    CPPUNIT_ASSERT(std::stod(Refused.substr(At + 13)) > 100);
    CPPUNIT_ASSERT(
        sendRequest(Request("2:1,bad:9")).starts_with("HTTP/1.1 200"));
    Report(true);
    CPPUNIT_ASSERT(
        sendRequest(Request("bad:9,2:1")).starts_with("HTTP/1.1 200"));
  }

  void crash_requestWithoutAnswer_isEvidence() {
    crashDuringRequest([this] { m_TargetA->crash(); });
    CPPUNIT_ASSERT(gauge("crash_suspects") > 0);
  }

  void crash_ofLeavingTarget_isNoEvidence() {
    crashDuringRequest([this] {
      m_Gateway->onTargetUpdated(entry("a", *m_TargetA, "own-domain", true));
      m_TargetA->crash();
    });
    CPPUNIT_ASSERT_EQUAL(0.0, gauge("crash_suspects"));
  }

  void crash_streamThatWentOn_isNoEvidence() {
    m_TargetA->Scripts = {{streamHead("1") + eventChunk(1),
                           false,
                           false,
                           {eventChunk(2), eventChunk(3), eventChunk(4)}}};
    m_TargetA->DripPause = 160ms;
    crashDuringRequest([this] { m_TargetA->crash(); }, 600ms);
    CPPUNIT_ASSERT_EQUAL(0.0, gauge("crash_suspects"));
  }

  void connectionBroken_targetStillListens_isNoEvidence() {
    m_TargetA->Scripts = {{"", true}};
    crashDuringRequest([] {});
    CPPUNIT_ASSERT_EQUAL(0.0, gauge("crash_suspects"));
  }

  void stream_events_areRelayedInOrder() {
    configure(RouteKind::Stream);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {
        {streamHead("1") + eventChunk(1) + eventChunk(2) + "0\r\n\r\n"}};
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.find("id: 1\n") < Answer.find("id: 2\n"));
    CPPUNIT_ASSERT(Answer.ends_with(http::LastChunk));
  }

  void stream_interrupted_isResumedAfterLastEvent() {
    configure(RouteKind::Stream, 2, true);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {
        {streamHead("1") + eventChunk(1) + eventChunk(2) + "20\r\nid: 3\nda",
         true}};
    m_TargetB->Scripts = {{streamHead("1") + eventChunk(3) + "0\r\n\r\n"}};
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.ends_with(http::LastChunk));
    CPPUNIT_ASSERT_EQUAL(Answer.find("id: 3"), Answer.rfind("id: 3"));
    CPPUNIT_ASSERT(m_TargetB->Requests.at(0).find("Last-Event-Id: 2\r\n") !=
                   std::string::npos);
  }

  void stream_takenUpAndTargetRepeatsEvents_isResumedAtOther() {
    configure(RouteKind::Stream, 2, true);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {
        {streamHead("1") + eventChunk(1) + eventChunk(2) + "0\r\n\r\n"}};
    m_TargetB->Scripts = {{streamHead("1") + eventChunk(6) + "0\r\n\r\n"}};
    auto Text = requestText("1");
    Text.insert(Text.size() - 2, "Last-Event-Id: 5\r\nX-Resumes: 0\r\n");
    const auto Answer = sendRequest(Text, http::LastChunk);
    CPPUNIT_ASSERT(Answer.find("id: 1") == Answer.npos);
    CPPUNIT_ASSERT(Answer.find("id: 6") != Answer.npos);
    CPPUNIT_ASSERT(m_TargetB->Requests.at(0).find("Last-Event-Id: 5\r\n") !=
                   std::string::npos);
  }

  void stream_interruptedAndNotResumable_getsNoLastChunk() {
    configure(RouteKind::Stream, 2, false);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {{streamHead("1") + eventChunk(1), true}};
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.find("id: 1\n") != Answer.npos);
    CPPUNIT_ASSERT(Answer.find(http::LastChunk) == Answer.npos);
    CPPUNIT_ASSERT(m_TargetB->Requests.empty());
  }

  void stream_eventMissing_laterEventIsNotRelayed() {
    configure(RouteKind::Stream, 1, true);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {
        {streamHead("1") + eventChunk(1) + eventChunk(3) + "0\r\n\r\n"}};
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.find("id: 3\n") == Answer.npos);
    CPPUNIT_ASSERT(Answer.find(http::LastChunk) == Answer.npos);
  }

  void stream_bytesWithoutEvents_isResumedAtOtherTarget() {
    configure(RouteKind::Stream, 2, true);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB);
    m_TargetA->Scripts = {{streamHead("1") + eventChunk(1)}};
    for (int I = 0; I < 60; ++I) { // Comments, then the parts of an event.
      std::string Chunk;
      http::appendChunk(Chunk, I < 10 ? ": alive\n\n" : "x");
      m_TargetA->Scripts[0].Drips.push_back(Chunk);
    }
    m_TargetB->Scripts = {{streamHead("1") + eventChunk(2) + "0\r\n\r\n"}};
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetB->Requests.size());
    CPPUNIT_ASSERT(m_TargetB->Requests[0].find("Last-Event-Id: 1") !=
                   std::string::npos);
    CPPUNIT_ASSERT(Answer.find("id: 2\n") != Answer.npos);
    CPPUNIT_ASSERT(Answer.ends_with(http::LastChunk));
  }

  void stream_slowWithoutOtherTarget_isCompleted() {
    configure(RouteKind::Stream, 2, true);
    addTarget("a", *m_TargetA);
    m_TargetA->DripPause = 1900ms;
    m_TargetA->Scripts = {{streamHead("1") + eventChunk(1)}};
    m_TargetA->Scripts[0].Drips = {eventChunk(2) + "0\r\n\r\n"};
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.find("id: 2\n") != Answer.npos);
    CPPUNIT_ASSERT(Answer.ends_with(http::LastChunk));
  }

  void stream_silentAfterLatencyTarget_isResumedInOtherDomain() {
    configure(RouteKind::Stream, 2, true);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {{streamHead("1") + eventChunk(1)}};
    std::string Comment;
    http::appendChunk(Comment, ": alive\n\n");
    m_TargetA->Scripts[0].Drips.assign(60, Comment);
    m_TargetB->Scripts = {{streamHead("1") + eventChunk(2) + "0\r\n\r\n"}};
    const auto Answer = sendRequest(requestText("1"), http::LastChunk);
    CPPUNIT_ASSERT(Answer.ends_with(http::LastChunk));
  }

  void stream_processSuspended_isNotSentAgain() {
    configure(RouteKind::Stream, 2, true);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB);
    m_TargetA->DripPause = 300ms;
    m_TargetA->Scripts = {{streamHead("1") + eventChunk(1)}};
    m_TargetA->Scripts[0].Drips = {eventChunk(2), eventChunk(3) + "0\r\n\r\n"};
    sendBytes(requestText("1"));
    waitFor([&] { return m_TargetA->Requests.size() == 1; });
    runLoopFor(100ms);
    std::this_thread::sleep_for(2s); // The whole process stands still.
    const auto Answer = sendRequest("", http::LastChunk);
    CPPUNIT_ASSERT(Answer.ends_with(http::LastChunk));
    CPPUNIT_ASSERT(m_TargetB->Requests.empty());
  }

  void nonIdempotent_answerWithoutIdOnReusedConnection_getsNoPromise() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{plainAnswer("1")},
                          {"HTTP/1.1 503 S\r\nX-Not-Executed: 1\r\n"
                           "Content-Length: 2\r\n\r\nno"}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(sendRequest(requestText("2")).starts_with("HTTP/1.1 502"));
  }

  void stop_requestInListenBacklog_isAnswered() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    m_Gateway->stop();
    runLoopFor(2300ms);
    std::vector<asio::ip::tcp::socket> Others;
    for (int I = 0; I < 20; ++I) {
      Others.emplace_back(*m_Loop);
      Others.back().connect(
          {asio::ip::make_address("127.0.0.1"), m_CallerPort});
      asio::write(Others.back(), asio::buffer(requestText("o")));
    }
    std::this_thread::sleep_for(500ms); // The next tick closes the listener.
    runLoopFor(500ms);
    for (auto &Other : Others) {
      std::array<char, 512> Buffer;
      std::error_code Error;
      const auto Size = Other.read_some(asio::buffer(Buffer), Error);
      CPPUNIT_ASSERT(
          std::string_view(Buffer.data(), Size).starts_with("HTTP/1.1 503"));
    }
  }

  void stop_requestNotReadYet_isAnswered() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{plainAnswer("1")}};
    sendRequest(requestText("1"));
    m_Gateway->stop();
    runLoopFor(2300ms);
    std::this_thread::sleep_for(500ms);
    const auto Answer = sendRequest(requestText("2"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Answer.find("Connection: close") != Answer.npos);
  }

  // On a VM without processor time to spare the signal and the ticks are
  // handled late, and the process was still there at the end of the grace.
  void stop_lateLoopAndRunningRequest_endsWithinGrace() {
    constexpr Duration LoopPause = 600ms;
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    asio::ip::tcp::socket Caller(*m_Loop);
    Caller.connect({asio::ip::make_address("127.0.0.1"), m_CallerPort});
    asio::write(Caller, asio::buffer(requestText("1")));
    runLoopFor(100ms);
    std::this_thread::sleep_for(LoopPause);
    runLoopFor(1ms);
    const auto Signal = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(LoopPause);
    m_Gateway->stop();
    m_Loop->restart();
    while (!m_Loop->stopped() &&
           std::chrono::steady_clock::now() < Signal + 2 * ShutdownGrace) {
      m_Loop->poll();
      if (!m_Loop->stopped())
        std::this_thread::sleep_for(LoopPause);
    }
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() < Signal + ShutdownGrace);
  }

  void broker_repeatsGrantOfTriedTarget_targetIsNotUsed() {
    configure(RouteKind::NonIdempotent, 3);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB);
    PeerStub Broker(*m_Loop, *m_Gateway, m_PeerPort, "a-first");
    Broker.Decide = [&](const SlotRequest &Request) {
      return SlotDecision{Request.Number, SlotDecision::Kind::Granted,
                          targetHash("a"), Duration{0}};
    };
    waitFor([&] { return Broker.hasExchangedReports(); });
    m_TargetA->Scripts.assign(3,
                              {plainAnswer("1", 503, "X-Not-Executed: 1\r\n")});
    m_TargetB->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetA->Requests.size());
  }

  void target_draining_getsNoRequests() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_Gateway->onTargetUpdated(entry("a", *m_TargetA, "own-domain", true));
    m_TargetB->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(m_TargetA->Requests.empty());
  }

  void target_announcesLeaving_getsNoFurtherRequests() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {
        {plainAnswer("1", 200, "X-Stamp: r\r\nX-Leaving: 1\r\n")}};
    m_TargetB->Scripts = {{plainAnswer("2")}, {plainAnswer("3")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(sendRequest(requestText("2")).starts_with("HTTP/1.1 200"));
    addTarget("a", *m_TargetA); // A heartbeat that still says ready.
    CPPUNIT_ASSERT(sendRequest(requestText("3")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetA->Requests.size());
  }

  // Regression (soak seed 3058): the state of a target was ignored in an answer
  // that is not passed on, though its id shows that it is the request's own.
  void target_announcesLeavingInSpoiledAnswer_getsNoFurtherRequests() {
    configure(RouteKind::Idempotent, 2);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {{plainAnswer("1", 200, "X-Leaving: 1\r\n")},
                          {plainAnswer("2")}};
    m_TargetB->Scripts = {{plainAnswer("1")}, {plainAnswer("2")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(sendRequest(requestText("2")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetA->Requests.size());
  }

  void target_announcesLeaving_isReportedToPeers() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {
        {plainAnswer("1", 200, "X-Stamp: r\r\nX-Leaving: 1\r\n")}};
    PeerStub Other(*m_Loop, *m_Gateway, m_PeerPort, "z-last");
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    waitFor([&] { return !Other.LastReport.AnnouncedLeaving.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Other.LastReport.AnnouncedLeaving.size());
    CPPUNIT_ASSERT_EQUAL(targetHash("a"),
                         Other.LastReport.AnnouncedLeaving.at(0));
  }

  void target_peerReportsLeaving_getsNoRequestsAfterHeartbeat() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    PeerStub Other(*m_Loop, *m_Gateway, m_PeerPort, "z-last");
    Other.AnnouncedLeaving = {targetHash("a")};
    waitFor([&] { return Other.hasExchangedReports(); });
    addTarget("a", *m_TargetA);
    m_TargetB->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(m_TargetA->Requests.empty());
  }

  /// The address of a target is used by another one, which answers 421.
  void target_misdirectedAnswerLeaving_marksTargetAtThatAddress() {
    configure(RouteKind::Idempotent, 2);
    addTarget("a", *m_TargetA);
    addTarget("same-address", *m_TargetA, "other-domain");
    addTarget("b", *m_TargetB, "third-domain");
    m_TargetA->Scripts = {{plainAnswer("1", 421, "X-Leaving: 1\r\n")}};
    m_TargetB->Scripts = {{plainAnswer("1")}, {plainAnswer("2")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(sendRequest(requestText("2")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetA->Requests.size());
  }

  void target_asksForPause_getsNothingUntilItsEnd() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {
        {plainAnswer("1", 503, "X-Not-Executed: 1\r\nRetry-After: 0.8\r\n")},
        {plainAnswer("3")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(sendRequest(requestText("2")).starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetA->Requests.size());
    runLoopFor(900ms);
    CPPUNIT_ASSERT(sendRequest(requestText("3")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_TargetA->Requests.size());
  }

  void target_asksForPause_repeatableRequestGoesToOther() {
    configure(RouteKind::Idempotent, 2);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {
        {plainAnswer("1", 503, "X-Not-Executed: 1\r\nRetry-After: 30\r\n")}};
    m_TargetB->Scripts = {{plainAnswer("1")}, {plainAnswer("2")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    addTarget("a", *m_TargetA); // A heartbeat does not end the pause.
    CPPUNIT_ASSERT(sendRequest(requestText("2")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetA->Requests.size());
  }

  void target_unreadableRetryAfter_pausesForDefault() {
    configure(RouteKind::Idempotent, 2);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {{plainAnswer(
        "1", 503,
        "X-Not-Executed: 1\r\nRetry-After: Fri, 31 Dec 1999 23:59:59 "
        "GMT\r\n")}};
    m_TargetB->Scripts = {{plainAnswer("1")}, {plainAnswer("2")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(sendRequest(requestText("2")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetA->Requests.size());
  }

  void allTargets_pause_callerIsRefusedWithTimeOfPause() {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {
        {plainAnswer("1", 503, "X-Not-Executed: 1\r\nRetry-After: 7\r\n")}};
    sendRequest(requestText("1"));
    const auto Start = std::chrono::steady_clock::now();
    const auto Answer = sendRequest(requestText("2"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Start < 500ms);
    const auto At = Answer.find("Retry-After: ");
    CPPUNIT_ASSERT(At != Answer.npos);
    const auto Seconds = std::stod(Answer.substr(At + 13));
    CPPUNIT_ASSERT(Seconds > 6 && Seconds < 8);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetA->Requests.size());
  }

  void retryAfter_ofTarget_isParsedWithinBounds() {
    CPPUNIT_ASSERT(parseTargetPause("2") == Duration(2s));
    CPPUNIT_ASSERT(parseTargetPause("0.25") == Duration(250ms));
    CPPUNIT_ASSERT(parseTargetPause("1e12") == std::nullopt);
    CPPUNIT_ASSERT(parseTargetPause("999999999999") == MaxTargetPause);
    for (const auto *Invalid :
         {"", "-1", "nan", "inf", "2s", "Fri, 31 Dec 1999 23:59:59 GMT"})
      CPPUNIT_ASSERT_MESSAGE(Invalid, !parseTargetPause(Invalid));
  }

  void rateLimit_ofTarget_isParsed() {
    CPPUNIT_ASSERT_EQUAL(2.5, parseTargetRateLimit("2.5").value());
    CPPUNIT_ASSERT_EQUAL(0.0, parseTargetRateLimit("0").value());
    for (const char *Unreadable : {"", "-1", "1e3", "nan", "inf", "soon", "1 "})
      CPPUNIT_ASSERT(!parseTargetRateLimit(Unreadable));
  }

  void target_statesRateLimit_isShownUntilItIsLifted() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    const auto WithLimit = [](const char *Id, const std::string &Limit) {
      return plainAnswer(Id, 200, "X-Stamp: r\r\nX-Limit: " + Limit + "\r\n");
    };
    m_TargetA->Scripts = {{WithLimit("1", "50")},
                          {WithLimit("2", "unreadable")},
                          {plainAnswer("3")},
                          {plainAnswer("4", 404)},
                          {plainAnswer("5")}};
    for (const char *Id : {"1", "2", "3"}) {
      sendRequest(requestText(Id));
      runLoopFor(300ms);
      CPPUNIT_ASSERT_EQUAL(1.0, gauge("rate_limited_targets"));
    }
    runLoopFor(2s);
    sendRequest(requestText("4"));
    runLoopFor(300ms);
    CPPUNIT_ASSERT_EQUAL(1.0, gauge("rate_limited_targets"));
    sendRequest(requestText("5"));
    runLoopFor(300ms);
    CPPUNIT_ASSERT_EQUAL(0.0, gauge("rate_limited_targets"));
  }

  void customer_overLimit_gets429WithRetryAfter() {
    configure(RouteKind::Idempotent, 1, false, 2);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{plainAnswer("1")}, {plainAnswer("2")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    const auto Answer = sendRequest(requestText("2"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 429"));
    CPPUNIT_ASSERT(Answer.find("Retry-After: ") != Answer.npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetA->Requests.size());
  }

  void caller_disconnects_targetConnectionIsClosed() {
    configure(RouteKind::Stream);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{streamHead("1") + eventChunk(1)}};
    sendBytes(requestText("1"));
    waitFor([&] { return m_TargetA->Requests.size() == 1; });
    m_Client->close();
    m_Client.emplace(*m_Loop);
    m_Client->connect({asio::ip::make_address("127.0.0.1"), m_CallerPort});
    m_TargetA->Scripts.push_back(
        {streamHead("2") + eventChunk(1) + "0\r\n\r\n"});
    CPPUNIT_ASSERT(sendRequest(requestText("2"), http::LastChunk)
                       .ends_with(http::LastChunk));
  }

  void plan_older_isIgnored() {
    configure(RouteKind::Idempotent);
    auto Older = std::make_shared<RoutePlan>();
    Older->Version = 1;
    Older->index();
    m_Gateway->onPlan(Older);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
  }

  void body_overMemoryShare_isRefusedAndNextRequestIsServed() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{plainAnswer("2")}};
    const auto Answer = sendRequest(
        "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt: 1\r\n"
        "Authorization: Bearer k\r\nContent-Length: 400000\r\n\r\n" +
        std::string(400000, 'x'));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    m_Client.emplace(*m_Loop);
    m_Client->connect({asio::ip::make_address("127.0.0.1"), m_CallerPort});
    CPPUNIT_ASSERT(sendRequest(requestText("2")).starts_with("HTTP/1.1 200"));
  }

  // Regression: only bodies that had been read whole counted against the
  // memory, so long ones that came together took the process over its limit.
  void bodies_beingReadOnManyConnections_areCountedTogether() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    m_TargetA->Answer = [](const std::string &) { return plainAnswer("1"); };
    const auto Head = [](std::size_t Length) {
      return "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt: 1\r\nX-Left: 5000\r\n"
             "Authorization: Bearer k\r\nExpect: 100-continue\r\n"
             "Content-Length: " +
             std::to_string(Length) + "\r\n\r\n";
    };
    std::vector<asio::ip::tcp::socket> Uploads;
    std::size_t Continued = 0, Refused = 0;
    for (int Number = 0; Number < 6; ++Number) {
      Uploads.emplace_back(*m_Loop);
      Uploads.back().connect(
          {asio::ip::make_address("127.0.0.1"), m_CallerPort});
      asio::write(Uploads.back(), asio::buffer(Head(120000)));
      runLoopFor(50ms);
      Uploads.back().non_blocking(true);
      std::string Answer(4096, ' ');
      std::error_code Ignored; // No answer.
      Answer.resize(Uploads.back().read_some(asio::buffer(Answer), Ignored));
      Continued += Answer.starts_with("HTTP/1.1 100") ? 1 : 0;
      Refused += Answer.starts_with("HTTP/1.1 503") &&
                         Answer.find("Retry-After: ") != Answer.npos
                     ? 1
                     : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Continued);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Refused);
    // A short request is served meanwhile, and a long one once there is room.
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    Uploads.clear();
    runLoopFor(50ms);
    CPPUNIT_ASSERT(sendRequest(Head(120000) + std::string(120000, 'x'), "ok")
                       .find("HTTP/1.1 200") != std::string::npos);
  }

  void metrics_onOwnPort_areServed() {
    configure(RouteKind::Idempotent);
    m_Client.emplace(*m_Loop);
    m_Client->connect({asio::ip::make_address("127.0.0.1"), m_MetricsPort});
    const auto Answer = sendRequest("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Answer.find("mangodeck_") != Answer.npos);
  }

  void broker_grants_requestIsSentToGrantedTarget() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB);
    PeerStub Broker(*m_Loop, *m_Gateway, m_PeerPort, "a-first");
    Broker.Decide = [&](const SlotRequest &Request) {
      return SlotDecision{Request.Number, SlotDecision::Kind::Granted,
                          targetHash("b"), Duration{0}};
    };
    waitFor([&] { return Broker.hasExchangedReports(); });
    m_TargetB->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetB->Requests.size());
    waitFor([&] { return Broker.Updates.size() == 1; });
    CPPUNIT_ASSERT(Broker.Updates.at(0).Change == SlotUpdate::Kind::Ended);
    CPPUNIT_ASSERT(Broker.Updates.at(0).Outcome == SlotOutcome::Success);
    CPPUNIT_ASSERT_EQUAL(targetHash("b"), Broker.Updates.at(0).Target);
  }

  void broker_grantsDrainingTarget_targetIsNotUsed() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB);
    m_Gateway->onTargetUpdated(entry("a", *m_TargetA, "own-domain", true));
    PeerStub Broker(*m_Loop, *m_Gateway, m_PeerPort, "a-first");
    Broker.Decide = [&](const SlotRequest &Request) {
      return SlotDecision{Request.Number, SlotDecision::Kind::Granted,
                          targetHash("a"), Duration{0}};
    };
    waitFor([&] { return Broker.hasExchangedReports(); });
    m_TargetB->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(m_TargetA->Requests.empty());
  }

  // Regression: a broker with an older view granted a target of another service
  // and the request ran there.
  void broker_grantsTargetOfOtherService_targetIsNotUsed() {
    configure(RouteKind::NonIdempotent);
    addTarget("a", *m_TargetA);
    addTargetOfService("u", "b", *m_TargetB, "own-domain");
    PeerStub Broker(*m_Loop, *m_Gateway, m_PeerPort, "a-first");
    Broker.Decide = [&](const SlotRequest &Request) {
      return SlotDecision{Request.Number, SlotDecision::Kind::Granted,
                          targetHash("b"), Duration{0}};
    };
    waitFor([&] { return Broker.hasExchangedReports(); });
    m_TargetA->Scripts = m_TargetB->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(m_TargetB->Requests.empty());
  }

  // The same for a permit of another failure domain's broker: the target that
  // the daemon named may have become one of another service meanwhile.
  void permit_forTargetOfOtherService_targetIsNotUsed() {
    configure(RouteKind::NonIdempotent);
    addTarget("b", *m_TargetB, "other-domain");
    PeerStub Remote(*m_Loop, *m_Gateway, m_PeerPort, "r-first", "other-domain");
    Remote.Limits = {{targetHash("b"), 5.0, Duration{0}}};
    waitFor([&] { return gauge("rate_limited_targets") > 0; });
    Remote.Decide = [&](const SlotRequest &Request) {
      addTargetOfService("u", "b", *m_TargetB, "other-domain");
      return SlotDecision{Request.Number, SlotDecision::Kind::Granted,
                          targetHash("b"), Duration{0}, true};
    };
    m_TargetB->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Remote.SlotRequests.size());
    CPPUNIT_ASSERT(m_TargetB->Requests.empty());
  }

  void broker_silent_requestIsServedWithoutBroker() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    PeerStub Broker(*m_Loop, *m_Gateway, m_PeerPort, "a-first");
    waitFor([&] { return Broker.hasExchangedReports(); });
    m_TargetA->Scripts = {{plainAnswer("1")}};
    CPPUNIT_ASSERT(sendRequest(requestText("1")).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(!Broker.SlotRequests.empty());
  }

  void broker_refuses_callerGetsRetryAfter() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    PeerStub Broker(*m_Loop, *m_Gateway, m_PeerPort, "a-first");
    Broker.Decide = [](const SlotRequest &Request) {
      return SlotDecision{Request.Number, SlotDecision::Kind::Refused, 0, 50ms};
    };
    waitFor([&] { return Broker.hasExchangedReports(); });
    const auto Answer = sendRequest(requestText("1"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Answer.find("Retry-After: ") != Answer.npos);
    CPPUNIT_ASSERT(m_TargetA->Requests.empty());
  }

  void tick_nothingWaits_isRare() {
    for (int Number = 0; Number < 60; ++Number)
      m_Gateway->onPeerUpdated("w-" + std::to_string(Number),
                               {"127.0.0.1", 9, FailureDomain("own-domain")});
    runLoopFor(300ms);
    const auto Before = gauge("ticks");
    runLoopFor(1s);
    CPPUNIT_ASSERT(gauge("ticks") - Before <= 14);
  }

  void relaying_delegateWithPeers_relaysUntilReplaced() {
    const auto AddPeer = [&](int Number) {
      m_Gateway->onPeerUpdated("w-" + std::to_string(Number),
                               {"127.0.0.1", 9, FailureDomain("own-domain")});
    };
    // A daemon that is alone in its failure domain has nobody to relay to.
    runLoopFor(1200ms);
    CPPUNIT_ASSERT(!m_Gateway->isRelaying());
    AddPeer(0);
    CPPUNIT_ASSERT(m_Gateway->isRelaying());
    PeerStub Broker(*m_Loop, *m_Gateway, m_PeerPort, "a-first");
    waitFor([&] { return Broker.hasExchangedReports(); });
    CPPUNIT_ASSERT(!m_Gateway->isRelaying());
  }

  void localBroker_otherDaemonRequests_freeSlotsAreGranted() {
    configure(RouteKind::Idempotent);
    addTarget("a", *m_TargetA);
    PeerStub Other(*m_Loop, *m_Gateway, m_PeerPort, "z-last");
    SlotRequest Request;
    Request.Vm = "z-last";
    Request.Service = ServiceName("s");
    Request.TimeToLatencyTarget = Request.TimeToLatestStart =
        Request.TimeToExpiry = Request.TimeToDeadline = 5s;
    Request.RefuseIfLate = true;
    for (Request.Number = 1; Request.Number <= 6; ++Request.Number)
      Other.sendBytes(encodeSlotMessage(Request));
    waitFor([&] { return Other.Decisions.size() == 6; });
    CPPUNIT_ASSERT_EQUAL(
        std::ptrdiff_t(5), // Four slots, and one request queued at the target.
        std::count_if(Other.Decisions.begin(), Other.Decisions.end(),
                      [](const auto &Decision) {
                        return Decision.Result == SlotDecision::Kind::Granted;
                      }));
  }

private:
  /// Another daemon of the failure domain. Answers each report of the gateway
  /// with a report, and slot requests as \p Decide says.
  class PeerStub {
  public:
    PeerStub(asio::io_context &Loop, Gateway &Server, std::uint16_t PeerPort,
             std::string Vm, const char *Domain = "own-domain")
        : m_Socket(Loop, {asio::ip::make_address("127.0.0.1"), 0}),
          m_GatewayEndpoint(asio::ip::make_address("127.0.0.1"), PeerPort),
          m_Vm(std::move(Vm)), m_Domain(Domain),
          m_IsDelegate(Domain != std::string_view("own-domain")) {
      Server.onPeerUpdated(
          m_Vm, {"127.0.0.1", m_Socket.local_endpoint().port(), m_Domain});
      report();
      receive();
    }

    void sendBytes(const std::string &Bytes) {
      m_Socket.send_to(asio::buffer(Bytes), m_GatewayEndpoint);
    }
    /// The gateway has accepted a report of this daemon and has sent one of its
    /// own afterwards.
    bool hasExchangedReports() const { return m_ReportsReceived >= 3; }

    std::function<std::optional<SlotDecision>(const SlotRequest &)> Decide;
    /// Named in the reports of this daemon.
    std::vector<std::uint64_t> AnnouncedLeaving;
    std::vector<ReportedRateLimit> Limits; ///< The same.
    PeerReport LastReport;                 ///< Of the gateway.
    std::vector<SlotRequest> SlotRequests;
    std::vector<SlotDecision> Decisions;
    std::vector<SlotUpdate> Updates;

  private:
    void report() {
      PeerReport Report;
      Report.Vm = m_Vm;
      Report.Domain = m_Domain;
      Report.IsDomainSummary = m_IsDelegate;
      Report.RateLimits = Limits;
      Report.Incarnation = 1;
      Report.Sequence = ++m_Sequence;
      Report.AnnouncedLeaving = AnnouncedLeaving;
      sendBytes(encodeReport(Report));
    }

    void receive() {
      m_Socket.async_receive(
          asio::buffer(m_Buffer), [this](std::error_code Error, auto Size) {
            if (Error)
              return;
            const std::string_view Bytes(m_Buffer.data(), Size);
            if (auto Report = decodeReport(Bytes)) {
              LastReport = std::move(*Report);
              ++m_ReportsReceived;
              report();
            }
            const auto Message = decodeSlotMessage(Bytes);
            if (Message)
              std::visit([this](const auto &Each) { this->handle(Each); },
                         *Message);
            receive();
          });
    }
    void handle(const SlotRequest &Request) {
      SlotRequests.push_back(Request);
      if (const auto Decision = Decide ? Decide(Request) : std::nullopt)
        sendBytes(encodeSlotMessage(*Decision));
    }
    void handle(const SlotDecision &Decision) { Decisions.push_back(Decision); }
    void handle(const SlotUpdate &Update) { Updates.push_back(Update); }

    asio::ip::udp::socket m_Socket;
    asio::ip::udp::endpoint m_GatewayEndpoint;
    std::string m_Vm;
    FailureDomain m_Domain;
    bool m_IsDelegate; ///< Of another domain, of which it sends the summary.
    std::array<char, 16384> m_Buffer;
    std::uint64_t m_Sequence = 0;
    int m_ReportsReceived = 0;
  };

  /// The value of a gauge in the metrics.
  double gauge(const std::string &Name) const {
    const auto Text = m_Metrics->serialize();
    const auto Label = "{name=\"" + Name + "\"} ";
    const auto At = Text.find(Label);
    return At == Text.npos ? 0 : std::stod(Text.substr(At + Label.size()));
  }

  static std::uint64_t targetHash(const char *Id) {
    TargetEntry Entry;
    Entry.Id = TargetName(Id);
    return TrackedTarget(Entry).Hash;
  }

  /// The target refuses \p Request, sends the refusal once more 100 ms later,
  /// and answers the same request, sent in between, with \p Answer after that.
  void playSecondCopy(const std::string &Refusal, const std::string &Answer,
                      const std::string &Request) {
    configure(RouteKind::NonIdempotent, 1);
    addTarget("a", *m_TargetA);
    m_TargetA->Scripts = {{Refusal, false, false, {Refusal}},
                          {"", false, false, {Answer}}};
    CPPUNIT_ASSERT(sendRequest(Request).starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(sendRequest(Request).starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_TargetA->Requests.size());
  }

  /// Bytes that a target without end may have written: those that the daemon
  /// reads before it closes the connection, and the socket buffers.
  static constexpr std::size_t MaxEndlessBytes = 8 << 20;

  /// A target that sends \p Endless without end after \p Start loses its
  /// connection after a bounded number of bytes, and the request is served by
  /// the other target.
  void assertEndlessIsGivenUp(RouteKind Kind, const std::string &Start,
                              const std::string &Endless,
                              std::size_t MaxReadBytes = 2 << 20) {
    configure(Kind, 2, true);
    addTarget("a", *m_TargetA);
    addTarget("b", *m_TargetB, "other-domain");
    m_TargetA->Scripts = {{Start}};
    m_TargetA->Scripts.back().Endless = Endless;
    m_TargetB->Scripts = {
        {Kind == RouteKind::Stream
             ? unframedHead("text/event-stream") + eventText(1)
             : plainAnswer("1"),
         Kind == RouteKind::Stream}};
    const auto Began = std::chrono::steady_clock::now();
    const auto Answer = sendRequest(
        requestText("1"), Kind == RouteKind::Stream ? http::LastChunk : "");
    const auto Took = std::chrono::steady_clock::now() - Began;
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetB->Requests.size());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(m_TargetA->EndlessBytes) + " bytes",
                           m_TargetA->EndlessBytes <
                               MaxReadBytes + MaxEndlessBytes);
    CPPUNIT_ASSERT(Took < 1s);
  }

  /// Sends a request with prompt parts to the only target, runs \p Crash after
  /// \p Span, and waits until the evidence shows in the metrics.
  void crashDuringRequest(const std::function<void()> &Crash,
                          Duration Span = 100ms) {
    configure(RouteKind::Stream, 1);
    addTarget("a", *m_TargetA);
    auto Text = requestText("1");
    sendBytes(Text.insert(Text.size() - 2, "X-Parts: a:1,b:2,c:3\r\n"));
    runLoopFor(Span);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_TargetA->Requests.size());
    Crash();
    runLoopFor(800ms);
  }

  /// Head of an answer to request 1 with neither a length nor chunks.
  static std::string unframedHead(const std::string &Type) {
    return "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nX-Stamp: r\r\nContent-Type: " +
           Type + "\r\n\r\n";
  }

  static std::string eventText(int Id) {
    return "id: " + std::to_string(Id) + "\ndata: x\n\n";
  }

  static std::string requestText(const std::string &Id) {
    return "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Attempt: " + Id +
           "\r\nX-Left: 5000\r\nAuthorization: Bearer k\r\n\r\n";
  }

  void configure(RouteKind Kind, std::uint32_t Attempts = 1,
                 bool Resumable = false, double PerSecond = 0) {
    auto Plan = std::make_shared<RoutePlan>();
    Plan->Version = 5;
    Route TestRoute;
    TestRoute.Name = "r";
    TestRoute.Host = "h";
    TestRoute.Prefix = "/p/";
    TestRoute.Kind = Kind;
    TestRoute.Timeout = 5s;
    TestRoute.LatencyTarget = 1s;
    TestRoute.GapTarget = 300ms;
    TestRoute.Attempts = Attempts;
    TestRoute.Resumable = Resumable;
    TestRoute.Shares = {{ServiceName("s"), 1}};
    Plan->Routes = {TestRoute};
    PlannedCustomer Customer;
    Customer.Name = CustomerName("c");
    Customer.Keys = {"k"};
    Customer.PerSecond = PerSecond;
    Customer.Burst = PerSecond;
    Plan->Customers = {Customer};
    Plan->index();
    m_Gateway->onPlan(Plan);
    m_Gateway->onDirectoryComplete();
    m_Gateway->onDirectoryConfirmed(std::chrono::steady_clock::now());
  }

  void addTarget(const char *Id, const ScriptedTarget &Target,
                 const char *Domain = "own-domain") {
    m_Gateway->onTargetUpdated(entry(Id, Target, Domain, false));
  }

  void addTargetOfService(const char *Service, const char *Id,
                          const ScriptedTarget &Target, const char *Domain) {
    auto Entry = entry(Id, Target, Domain);
    Entry.Service = ServiceName(Service);
    m_Gateway->onTargetUpdated(Entry);
  }

  void sendBytes(const std::string &Bytes) {
    asio::write(*m_Client, asio::buffer(Bytes));
  }

  /// Runs the loop for \p Span.
  void runLoopFor(Duration Span) {
    const auto End = std::chrono::steady_clock::now() + Span;
    waitFor([&] { return std::chrono::steady_clock::now() >= End; });
  }

  /// Runs the loop until \p Done holds, for at most 5 s.
  void waitFor(const std::function<bool()> &Done) {
    for (int I = 0; I < 500 && !Done(); ++I) {
      m_Loop->restart();
      m_Loop->run_for(std::chrono::milliseconds(10));
    }
  }

  /// Sends a request and reads the answer until it ends with \p End, or, if
  /// that is empty, until a part of its body has arrived. Stops early when the
  /// connection is closed.
  std::string sendRequest(const std::string &Bytes, std::string_view End = "") {
    sendBytes(Bytes);
    m_Client->non_blocking(true);
    std::string Read;
    bool Closed = false;
    waitFor([&] {
      std::array<char, 4096> Buffer;
      std::error_code Error;
      const auto Size = m_Client->read_some(asio::buffer(Buffer), Error);
      Read.append(Buffer.data(), Size);
      Closed = Error && Error != asio::error::would_block;
      const auto Head = Read.find("\r\n\r\n");
      const bool Body = Head != Read.npos && Read.size() > Head + 4;
      return Closed || (End.empty() ? Body : Read.ends_with(End));
    });
    return Read;
  }

  const HeaderNames m_Names = testNames();
  SeededRandom m_Random{5};
  std::optional<asio::io_context> m_Loop;
  std::optional<ScriptedTarget> m_TargetA;
  std::optional<ScriptedTarget> m_TargetB;
  std::optional<EventLog> m_Log;
  std::optional<GatewayMetrics> m_Metrics;
  std::optional<Gateway> m_Gateway;
  std::optional<asio::ip::tcp::socket> m_Client;
  std::uint16_t m_CallerPort = 0;
  std::uint16_t m_PeerPort = 0;
  std::uint16_t m_MetricsPort = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace mangodeck
