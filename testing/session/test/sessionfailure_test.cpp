#include "fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace mangodeck::testing {

namespace {

/// Requests that wait or run when an owner fails.
constexpr std::size_t WaitingRequests = 12;

/// One target that runs two requests at a time.
const FleetOptions TwoDaemonsOneTarget{.Daemons = 2,
                                       .Models = 1,
                                       .MaxSequences = 2,
                                       .TargetFlags = {"--token-delay", "20"}};

} // namespace

/// Whole sessions under failure, with real processes.
class SessionFailureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionFailureTest);
  CPPUNIT_TEST(target_killedMidStream_callerSeesUnknownAndNoSecondDispatch);
  CPPUNIT_TEST(target_answersForeignId_callerNeverGetsIt);
  CPPUNIT_TEST(owner_killedWithTicketsWaiting_allAreServedOnce);
  CPPUNIT_TEST(owner_stoppedAndContinued_allAreServedOnce);
  CPPUNIT_TEST(daemon_sigtermWithFiftyStreams_cutsNone);
  CPPUNIT_TEST(daemon_requestsUntilItsStopEnds_noneIsCut);
  CPPUNIT_TEST(daemon_killed_losesOnlyItsOwnRequests);
  CPPUNIT_TEST(poison_sentAgain_crashesAtMostTwoTargets);
  CPPUNIT_TEST(caller_hangsUpWhileWaiting_ticketIsWithdrawn);
  CPPUNIT_TEST(leavingTarget_getsNoNewWork);
  CPPUNIT_TEST(memory_fullOfLowerTier_higherTierIsAdmitted);
  CPPUNIT_TEST_SUITE_END();

  /// Checks that no target of the fleet saw a request twice.
  static void assertDispatchedOnce(Fleet &Cluster, std::size_t Targets) {
    for (std::size_t I = 0; I < Targets; ++I) {
      const auto Counts = Cluster.dispatches(I);
      if (Counts.is_object())
        CPPUNIT_ASSERT(Counts.value("most", 0) <= 1);
    }
  }

  static bool isWholeStream(const HttpReply &Reply) {
    return Reply.IsWhole && Reply.Status == 200 &&
           Reply.Body.ends_with("data: [DONE]\n\n");
  }

  /// Checks that all requests of owner tests were answered whole, after one
  /// dispatch each.
  static void
  assertAllServedOnce(Fleet &Cluster,
                      std::vector<std::future<HttpReply>> &Replies) {
    for (auto &Reply : Replies)
      CPPUNIT_ASSERT(isWholeStream(Reply.get()));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(WaitingRequests),
                         Cluster.dispatches(0).value("total", 0));
    assertDispatchedOnce(Cluster, 1);
  }

  /// Sends completions through \p Daemon and waits until some of them run and
  /// the others wait.
  static std::vector<std::future<HttpReply>>
  fill(Fleet &Cluster, std::size_t Daemon, std::size_t Count, unsigned Tokens) {
    std::vector<std::future<HttpReply>> Replies;
    for (std::size_t I = 0; I < Count; ++I)
      Replies.push_back(
          Cluster.completeAsync(Daemon, fmt::format("prompt {}", I), Tokens));
    const auto Expected = std::to_string(Count);
    CPPUNIT_ASSERT(waitUntil([&] {
      return Cluster.metric(Daemon, "mangodeck_open_requests") == Expected;
    }));
    return Replies;
  }

public:
  void target_killedMidStream_callerSeesUnknownAndNoSecondDispatch() {
    Fleet Cluster({.Models = 2, .TargetFlags = {"--token-delay", "5"}});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    Cluster.setFaults(0, R"({"die_after_frames":5})");
    Cluster.setFaults(1, R"({"die_after_frames":5})");
    const auto Reply = Cluster.complete(0, "one", 100);
    CPPUNIT_ASSERT(!isWholeStream(Reply));
    CPPUNIT_ASSERT(!Reply.IsWhole);
    CPPUNIT_ASSERT(Reply.Body.find("\"unknown\"") != std::string::npos ||
                   Reply.Body.find("unknown") != std::string::npos);
    int Alive = 0;
    for (std::size_t I = 0; I < 2; ++I)
      Alive += Cluster.dispatches(I).is_object() ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(1, Alive);
  }

  void target_answersForeignId_callerNeverGetsIt() {
    Fleet Cluster({.Models = 1});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    Cluster.setFaults(0, R"({"foreign_head":true})");
    const auto Reply = Cluster.complete(0, "one", 4, false);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         Reply.header("X-Mangodeck-Run"));
    CPPUNIT_ASSERT(Reply.Body.find("choices") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(1, Cluster.dispatches(0).value("most", 0));
  }

  void owner_killedWithTicketsWaiting_allAreServedOnce() {
    Fleet Cluster(TwoDaemonsOneTarget);
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    const auto Owner = Cluster.ownerOf("assistant");
    const auto Other = 1 - Owner;
    auto Replies = fill(Cluster, Other, WaitingRequests, 20);
    Cluster.daemon(Owner).kill(SIGKILL);
    assertAllServedOnce(Cluster, Replies);
  }

  void owner_stoppedAndContinued_allAreServedOnce() {
    Fleet Cluster(TwoDaemonsOneTarget);
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    const auto Owner = Cluster.ownerOf("assistant");
    const auto Other = 1 - Owner;
    auto Replies = fill(Cluster, Other, WaitingRequests, 20);
    Cluster.daemon(Owner).send(SIGSTOP);
    CPPUNIT_ASSERT(waitUntil([&] { return Cluster.owns(Other, "assistant"); }));
    Cluster.daemon(Owner).send(SIGCONT);
    assertAllServedOnce(Cluster, Replies);
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    assertDispatchedOnce(Cluster, 1);
  }

  void daemon_sigtermWithFiftyStreams_cutsNone() {
    Fleet Cluster({.Models = 2,
                   .MaxSequences = 32,
                   .TargetFlags = {"--token-delay", "30"}});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    auto Replies = fill(Cluster, 0, 50, 60);
    Cluster.daemon(0).send(SIGTERM);
    int Whole = 0;
    for (auto &Reply : Replies)
      Whole += isWholeStream(Reply.get()) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(50, Whole);
    CPPUNIT_ASSERT_EQUAL(0, Cluster.daemon(0).wait());
    assertDispatchedOnce(Cluster, 2);
  }

  // Requests that come late in a planned stop are served whole or refused.
  void daemon_requestsUntilItsStopEnds_noneIsCut() {
    Fleet Cluster({.Models = 2,
                   .MaxSequences = 32,
                   .TargetFlags = {"--token-delay", "30"}});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    auto Replies = fill(Cluster, 0, 4, 100);
    Cluster.daemon(0).send(SIGTERM);
    for (int I = 0; I < 40; ++I) {
      Replies.push_back(
          Cluster.completeAsync(0, fmt::format("late {}", I), 10));
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    int Served = 0;
    for (auto &Reply : Replies) {
      const auto Got = Reply.get();
      Served += isWholeStream(Got) ? 1 : 0;
      CPPUNIT_ASSERT_MESSAGE(fmt::format("status {}: {}", Got.Status, Got.Body),
                             isWholeStream(Got) || !Got.IsConnected ||
                                 (Got.IsWhole && Got.Status == 503 &&
                                  Got.header("X-Mangodeck-Run") == "no"));
    }
    CPPUNIT_ASSERT(Served >= 4);
    CPPUNIT_ASSERT_EQUAL(0, Cluster.daemon(0).wait());
    assertDispatchedOnce(Cluster, 2);
  }

  void daemon_killed_losesOnlyItsOwnRequests() {
    Fleet Cluster({.Daemons = 2,
                   .Models = 2,
                   .MaxSequences = 8,
                   .TargetFlags = {"--token-delay", "30"}});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    auto Lost = fill(Cluster, 0, 4, 60);
    auto Kept = fill(Cluster, 1, 4, 60);
    Cluster.daemon(0).kill(SIGKILL);
    for (auto &Reply : Kept)
      CPPUNIT_ASSERT(isWholeStream(Reply.get()));
    for (auto &Reply : Lost)
      CPPUNIT_ASSERT(!Reply.get().IsWhole);
    assertDispatchedOnce(Cluster, 2);
  }

  void poison_sentAgain_crashesAtMostTwoTargets() {
    Fleet Cluster({.Models = 4});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    for (std::size_t I = 0; I < 4; ++I)
      Cluster.setFaults(I, R"({"crash_on":"poison"})");
    std::string LastRun;
    for (int Try = 0; Try < 6; ++Try)
      LastRun = Cluster.complete(0, "poison", 4).header("X-Mangodeck-Run");
    int Alive = 0;
    for (std::size_t I = 0; I < 4; ++I)
      Alive += Cluster.dispatches(I).is_object() ? 1 : 0;
    CPPUNIT_ASSERT(Alive >= 2);
    CPPUNIT_ASSERT_EQUAL(std::string("no"), LastRun);
    CPPUNIT_ASSERT(isWholeStream(Cluster.complete(0, "good", 4)));
  }

  void caller_hangsUpWhileWaiting_ticketIsWithdrawn() {
    Fleet Cluster({.Models = 1,
                   .MaxSequences = 1,
                   .TargetFlags = {"--token-delay", "40"}});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    auto Running = fill(Cluster, 0, 1, 60);
    CPPUNIT_ASSERT(waitUntil(
        [&] { return Cluster.dispatches(0).value("total", 0) == 1; }));
    call("http://" + Cluster.daemon(0).address() + "/v1/completions",
         {"Authorization: Bearer desk-key", "Content-Type: application/json"},
         R"({"model":"small","prompt":"gone","max_tokens":4})", 1);
    CPPUNIT_ASSERT(waitUntil([&] {
      return Cluster.metric(0, "mangodeck_caller_hang_ups_total") == "1";
    }));
    CPPUNIT_ASSERT(isWholeStream(Running[0].get()));
    CPPUNIT_ASSERT(isWholeStream(Cluster.complete(0, "next", 4)));
    CPPUNIT_ASSERT_EQUAL(2, Cluster.dispatches(0).value("total", 0));
  }

  void leavingTarget_getsNoNewWork() {
    Fleet Cluster({.Daemons = 2, .Models = 2});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    Cluster.setFaults(0, R"({"leaving":true})");
    const auto HasMark = [&](std::size_t Daemon) {
      return call(Cluster.adminUrl(Daemon) + "/timeline")
                 .Body.find("target-leaving") != std::string::npos;
    };
    CPPUNIT_ASSERT(waitUntil([&] { return HasMark(0) || HasMark(1); }));
    const int Before = Cluster.dispatches(0).value("total", 0);
    Cluster.setFaults(0, R"({"leaving":false})");
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT(isWholeStream(
          Cluster.complete(I % 2, fmt::format("prompt {}", I), 2)));
    CPPUNIT_ASSERT_EQUAL(Before, Cluster.dispatches(0).value("total", 0));
  }

  /// Both shards hold bodies of the lower tier, or one of them all: the higher
  /// tier is admitted either way.
  void memory_fullOfLowerTier_higherTierIsAdmitted() {
    Fleet Cluster({.Models = 1,
                   .MaxSequences = 1,
                   .TargetFlags = {"--token-delay", "20"},
                   .WaitingBytes = 65536});
    CPPUNIT_ASSERT(Cluster.waitUntilReady());
    const std::string Large(30000, 'x');
    std::vector<std::future<HttpReply>> Lower;
    for (int I = 0; I < 5; ++I)
      Lower.push_back(Cluster.completeAsync(0, Large + std::to_string(I), 40,
                                            {"X-Mangodeck-Tier: normal"}));
    CPPUNIT_ASSERT(waitUntil([&] {
      const auto Bytes = Cluster.metric(0, "mangodeck_waiting_body_bytes");
      return !Bytes.empty() && std::stod(Bytes) > 65536;
    }));
    CPPUNIT_ASSERT(isWholeStream(Cluster.complete(0, Large, 2)));
    int Refused = 0;
    for (auto &Reply : Lower) {
      const auto Seen = Reply.get();
      if (isWholeStream(Seen))
        continue;
      ++Refused;
      CPPUNIT_ASSERT_EQUAL(503, Seen.Status);
      CPPUNIT_ASSERT_EQUAL(std::string("no"), Seen.header("X-Mangodeck-Run"));
      CPPUNIT_ASSERT(!Seen.header("Retry-After").empty());
    }
    CPPUNIT_ASSERT(Refused >= 1);
    CPPUNIT_ASSERT_EQUAL(6 - Refused, Cluster.dispatches(0).value("total", 0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionFailureTest);

} // namespace mangodeck::testing
