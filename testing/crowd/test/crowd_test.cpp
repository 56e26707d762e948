#include "clientcrowd.h"
#include "soakstore.h"
#include "watchedprocess.h"

#include "mangodeck/http/message.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace mangodeck::crowd {

namespace {

using soak::Socket;
using std::chrono::milliseconds;

/// The smallest VM that is deployed, and the default limits of a request.
constexpr std::size_t MemoryMb = 112;
constexpr std::size_t MaxDescriptors = 2870;
constexpr std::size_t MaxBodyBytes = 4194304;
constexpr std::size_t MaxHeadBytes = 16384;
/// The process must stay under this share of its memory; the rest is for what
/// is used between two measurements.
constexpr double MaxMemoryShare = 0.95;
/// Descriptors that stay free for the store, peers and targets.
constexpr std::size_t SpareDescriptors = 32;
constexpr int GraceSeconds = 5;
constexpr milliseconds LoadTime{4000};
/// Within this time one of the attempts of an ordinary caller, which comes
/// again after a refusal, is answered. Longer than all time-outs of callers.
constexpr milliseconds OrdinaryTime{20000};
constexpr std::size_t BigAnswerBytes = 4000000;
/// More than this machine's kernel takes of a stream that is not read.
constexpr int StreamEvents = 220;
constexpr std::size_t EventBytes = 16000;
/// Between the arrivals of callers that do not read. If all came at once, most
/// would be refused a slot.
constexpr milliseconds ArrivalPause{10};
constexpr std::uint16_t CallerPort = 18321;
constexpr std::uint16_t ReadyPort = 18324;
constexpr std::uint16_t PeerPort = 18700;
constexpr std::size_t TargetCount = 4;
constexpr std::size_t KeyCount = 8;

/// An address of the loopback network that depends on this process, so that
/// test programs that run side by side do not meet.
std::string ownAddress() {
  const auto Id = static_cast<unsigned>(::getpid());
  return fmt::format("127.{}.{}.{}", 64 + (Id >> 14) % 64, (Id >> 7) % 128,
                     1 + Id % 128);
}

std::string head(std::string_view Method, std::string_view Path,
                 std::string_view MoreFields) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: crowd.example\r\n"
                     "X-Mangodeck-Request-Deadline: 15000\r\n{}\r\n",
                     Method, Path, MoreFields);
}

std::string upload(std::size_t Key) {
  return head("POST", "/upload/",
              fmt::format("Authorization: Bearer key-{}\r\n"
                          "Content-Length: {}\r\n",
                          Key, MaxBodyBytes));
}

/// A chunk of 32 KiB.
std::string chunk() { return "8000\r\n" + std::string(0x8000, 'c') + "\r\n"; }

/// Answers with a stream of events.
bool sendStream(Socket &Caller, http::ResponseHead Head) {
  Head.Fields.add("Content-Type", "text/event-stream");
  Head.Fields.add("Transfer-Encoding", "chunked");
  if (!soak::writeAll(Caller, http::serialize(Head)))
    return false;
  for (int I = 1; I <= StreamEvents; ++I) {
    std::string Bytes;
    http::appendChunk(Bytes, fmt::format("id: {}\ndata: {}\n\n", I,
                                         std::string(EventBytes, 'e')));
    if (!soak::writeAll(Caller, Bytes))
      return false;
  }
  return soak::writeAll(Caller, http::LastChunk);
}

/// One server behind the daemon. Its work takes a moment, so that bodies are
/// kept until the answer.
void serveTarget(Socket &Caller) {
  soak::RequestReader Reader(Caller);
  http::Request Asked;
  while (Reader.next(Asked)) {
    const auto &Path = Asked.Head.Target;
    std::this_thread::sleep_for(milliseconds(Path == "/slow/"     ? 3000
                                             : Path == "/upload/" ? 200
                                                                  : 5));
    const auto Body = Path == "/big/" ? std::string(BigAnswerBytes, 'a')
                                      : std::to_string(Asked.Body.size());
    http::ResponseHead Head;
    Head.Status = 200;
    Head.Fields.add("X-Mangodeck-Response-Stamp", "s");
    if (const auto *Id = Asked.Head.Fields.find("X-Mangodeck-Attempt-Id"))
      Head.Fields.add("X-Mangodeck-Attempt-Id", *Id);
    if (Path == "/stream/") {
      if (!sendStream(Caller, Head))
        return;
      continue;
    }
    Head.Fields.add("Content-Length", std::to_string(Body.size()));
    if (!soak::writeAll(Caller, http::serialize(Head)) ||
        !soak::writeAll(Caller, Body))
      return;
  }
}

} // namespace

/// Crowds of clients that send large or unfinished requests, or do not read
/// their answers, against one process of mangodeck-front with the memory and
/// the descriptors of the smallest VM. Asserts that the process survives and
/// stays within both, and that an ordinary request is answered during the load
/// and after it. What was measured is printed.
class CrowdTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrowdTest);
  CPPUNIT_TEST(single_largestBodyAndAnswer_areServed);
  CPPUNIT_TEST(bodies_wholeAtOnce_areBounded);
  CPPUNIT_TEST(bodies_inPieces_areBounded);
  CPPUNIT_TEST(bodies_allButLastByte_areBounded);
  CPPUNIT_TEST(bodies_chunkedWithoutEnd_areBounded);
  CPPUNIT_TEST(bodies_sentAgainAfterEachRefusalFromOneKey_areBounded);
  CPPUNIT_TEST(bodies_sentAgainAfterEachRefusalFromManyKeys_areBounded);
  CPPUNIT_TEST(bodies_sentBehindUnansweredRequest_areBounded);
  CPPUNIT_TEST(heads_withoutEnd_areBounded);
  CPPUNIT_TEST(heads_ofManySmallFields_areBounded);
  CPPUNIT_TEST(answers_neverRead_areBounded);
  CPPUNIT_TEST(streams_neverRead_areBounded);
  CPPUNIT_TEST(connections_beyondDescriptors_othersAreServed);
  CPPUNIT_TEST(mixed_whileTargetLeavesAndDaemonStops_graceIsKept);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    const char *Build = std::getenv("MANGODECK_BUILD");
    m_Folder = std::filesystem::temp_directory_path() /
               fmt::format("mangodeck-crowd-{}", ::getpid());
    std::filesystem::create_directories(m_Folder);
    m_Ip = ownAddress();
    m_Store = std::make_unique<soak::SoakStore>();
    configure();
    for (std::size_t I = 0; I < TargetCount; ++I) {
      m_Targets.push_back(
          std::make_unique<soak::ThreadedServer>("127.0.0.1", serveTarget));
      registerTarget(I, "ready");
    }
    std::ofstream(m_Folder / "settings.toml") << fmt::format(
        "NodeName = \"front\"\nIp = \"{0}\"\nZone = \"zone-a\"\n"
        "PortRange = [{1}, {2}]\n[Listen]\nFront = \"{0}:{3}\"\n"
        "Ready = \"{0}:{4}\"\n[Limits]\nMemoryMb = {5}\n"
        "[Bounds]\nGraceS = {6}\nConfigApplyMs = 2000\nDrainMs = 2000\n"
        "RetryBudgetRatio = 0.2\nBudgetSlack = 56\nBudgetWindowS = 10\n"
        "[Platform]\nAddress = \"127.0.0.1:{7}\"\n",
        m_Ip, PeerPort, PeerPort + 15, CallerPort, ReadyPort, MemoryMb,
        GraceSeconds, m_Store->port());
    m_Daemon = std::make_unique<WatchedProcess>(
        std::vector<std::string>{std::string(Build ? Build : "build") +
                                     "/bin/mangodeck-front",
                                 "--settings", m_Folder / "settings.toml"},
        m_Folder / "log", m_Ip, MemoryMb << 20, MaxDescriptors);
    for (int I = 0; I < 200 && !isReady(); ++I)
      std::this_thread::sleep_for(milliseconds(50));
    CPPUNIT_ASSERT_MESSAGE("the daemon is not ready", isReady());
  }

  void tearDown() override {
    m_Daemon.reset();
    for (auto &Each : m_Targets)
      Each->stop();
    m_Targets.clear();
    m_Store->stop();
    m_Store.reset();
    if (!std::getenv("MANGODECK_KEEP_LOGS"))
      std::filesystem::remove_all(m_Folder);
  }

  // Guards against bounds that a request within the configured limits reaches.
  void single_largestBodyAndAnswer_areServed() {
    auto Request = head("POST", "/upload/",
                        fmt::format("Authorization: Bearer key-0\r\n"
                                    "Connection: close\r\n"
                                    "Content-Length: {}\r\n",
                                    MaxBodyBytes));
    Request.append(MaxBodyBytes, 'b');
    CPPUNIT_ASSERT_EQUAL("200 " + std::to_string(MaxBodyBytes),
                         callOnce(m_Ip, CallerPort, Request));
    const auto Answer = callOnce(m_Ip, CallerPort,
                                 head("GET", "/big/", "Connection: close\r\n"));
    CPPUNIT_ASSERT_EQUAL(BigAnswerBytes + 4, Answer.size());
    checkUsage("single");
  }

  // Guards against bodies that are counted only once they are whole.
  void bodies_wholeAtOnce_areBounded() {
    loadWith("whole bodies", 60, [](std::size_t I) {
      return ClientPlan{upload(I % KeyCount), std::string(65536, 'b'),
                        MaxBodyBytes / 65536};
    });
  }

  // Guards against the same when all bodies arrive side by side.
  void bodies_inPieces_areBounded() {
    loadWith("bodies in pieces", 120, [](std::size_t I) {
      return ClientPlan{upload(I % KeyCount), std::string(32768, 'b'),
                        MaxBodyBytes / 32768, milliseconds(20)};
    });
  }

  // Guards against bodies that are kept without end, since one byte is missing.
  void bodies_allButLastByte_areBounded() {
    loadWith("all but the last byte", 400, [](std::size_t I) {
      return ClientPlan{upload(I % KeyCount) +
                            std::string(MaxBodyBytes % 65535, 'b'),
                        std::string(65535, 'b'), MaxBodyBytes / 65535 - 1};
    });
  }

  // Guards against the growth of bodies without a length: it killed a daemon at
  // 111 of 110 MB.
  void bodies_chunkedWithoutEnd_areBounded() {
    loadWith("chunked without end", 120, [](std::size_t I) {
      return ClientPlan{head("POST", "/upload/",
                             fmt::format("Authorization: Bearer key-{}\r\n"
                                         "Transfer-Encoding: chunked\r\n",
                                         I % KeyCount)),
                        chunk(), MaxBodyBytes / 0x8000 - 1};
    });
  }

  // Guards against what refused bodies take that are read and discarded, and
  // against one key that takes all room.
  void bodies_sentAgainAfterEachRefusalFromOneKey_areBounded() {
    loadWith("again after refusal, one key", 120,
             [](std::size_t) { return insistentClient(0); });
  }

  void bodies_sentAgainAfterEachRefusalFromManyKeys_areBounded() {
    loadWith("again after refusal, many keys", 120,
             [](std::size_t I) { return insistentClient(I % KeyCount); });
  }

  // Guards against bytes behind a request that is still being answered, which
  // stay in the daemon or in the kernel.
  void bodies_sentBehindUnansweredRequest_areBounded() {
    loadWith("behind an unanswered request", 900, [](std::size_t) {
      return ClientPlan{head("GET", "/slow/", "") + upload(0),
                        std::string(65536, 'b'), MaxBodyBytes / 65536 - 1};
    });
  }

  // Guards against heads that are kept while they do not end.
  void heads_withoutEnd_areBounded() {
    loadWith("heads without end", 2600, [](std::size_t I) {
      auto Start = head("GET", "/plain/", "X-Long: ");
      Start.resize(Start.size() - 4); // Without the end of the head.
      // Half of them send most of the head at once, the others slowly.
      Start.append(I % 2 == 0 ? MaxHeadBytes - Start.size() - 300 : 100, 'h');
      return ClientPlan{Start, "h", 200, milliseconds(20), true, true};
    });
  }

  // Guards against heads that take many times their length once they are
  // parsed: a field of five bytes takes two strings.
  void heads_ofManySmallFields_areBounded() {
    loadWith("heads of small fields", 600, [](std::size_t) {
      std::string Fields = "Content-Length: 10\r\n";
      while (Fields.size() < MaxHeadBytes - 200)
        Fields += "a:\r\n";
      return ClientPlan{head("POST", "/plain/", Fields), "", 0, {}, true, true};
    });
  }

  // Guards against answers that wait for callers which do not read: they killed
  // a daemon at 114 of 110 MB.
  void answers_neverRead_areBounded() {
    loadWith("answers never read", 300, [](std::size_t I) {
      return ClientPlan{head("GET", "/big/", ""), "", 0, {}, false, false,
                        ArrivalPause * I};
    });
  }

  // Guards against the sum of what many streams have sent and nobody has read.
  // A stream is cut off at 1 MB.
  void streams_neverRead_areBounded() {
    loadWith("streams never read", 300, [](std::size_t I) {
      return ClientPlan{head("GET", "/stream/", ""),
                        "",
                        0,
                        {},
                        false,
                        false,
                        ArrivalPause * I};
    });
  }

  // Guards against an accept loop that ends or spins at the limit of
  // descriptors, and against connections that keep others out.
  void connections_beyondDescriptors_othersAreServed() {
    loadWith("connections beyond descriptors", MaxDescriptors + 200,
             [](std::size_t) { return ClientPlan{"", "", 0, {}, true, true}; });
  }

  // Guards against a stop that a crowd holds up.
  void mixed_whileTargetLeavesAndDaemonStops_graceIsKept() {
    const auto Plans = [](std::size_t I) {
      switch (I % 4) {
      case 0:
        return insistentClient(I % KeyCount);
      case 1:
        return ClientPlan{head("GET", "/big/", ""), "", 0, {}, false, true};
      case 2:
        return ClientPlan{head("POST", "/upload/",
                               "Authorization: Bearer key-0\r\n"
                               "Transfer-Encoding: chunked\r\n"),
                          chunk(), MaxBodyBytes / 0x8000 - 1};
      default:
        return ClientPlan{"GET /plain/ HTTP/1.1\r\n", "h",  100,
                          milliseconds(20),           true, true};
      }
    };
    std::vector<ClientPlan> All;
    for (std::size_t I = 0; I < 200; ++I)
      All.push_back(Plans(I));
    const ClientCrowd Crowd(m_Ip, CallerPort, std::move(All));
    std::this_thread::sleep_for(milliseconds(1000));
    registerTarget(0, "draining");
    const bool IsServed = serveOrdinary();
    m_Store->remove("servers/t0");
    std::this_thread::sleep_for(milliseconds(1000));
    m_Daemon->signal(SIGTERM);
    const bool HasStopped =
        m_Daemon->join(std::chrono::seconds(GraceSeconds) + milliseconds(1000));
    checkUsage("mixed, then a stop");
    CPPUNIT_ASSERT_MESSAGE("no ordinary request during the load", IsServed);
    CPPUNIT_ASSERT_MESSAGE("no stop within the grace", HasStopped);
  }

private:
  static ClientPlan insistentClient(std::size_t Key) {
    return {upload(Key),
            std::string(65536, 'b'),
            MaxBodyBytes / 65536 - 1,
            {},
            true,
            true};
  }

  void configure() {
    nlohmann::json Routes = nlohmann::json::array();
    for (const std::string Name : {"plain", "upload", "big", "slow", "stream"})
      Routes.push_back({{"Name", Name},
                        {"Hostname", "crowd.example"},
                        {"Prefix", "/" + Name + "/"},
                        {"Kind", Name == "stream" ? "streaming" : "idempotent"},
                        {"TimeoutMs", 15000},
                        {"TargetLatencyMs", 5000},
                        {"Priority", Name == "plain" ? 0 : 2},
                        {"Service", "s"},
                        {"Attempts", 2},
                        {"AuthExempt", Name != "upload"}});
    nlohmann::json Customers = nlohmann::json::array();
    for (std::size_t I = 0; I < KeyCount; ++I)
      Customers.push_back({{"Name", fmt::format("c{}", I)},
                           {"ApiKeys", {fmt::format("key-{}", I)}},
                           {"Priority", 2}});
    m_Store->put("op/config", nlohmann::json{{"Version", 1},
                                             {"Routes", Routes},
                                             {"Services", {{{"Name", "s"}}}},
                                             {"Tenants", Customers},
                                             {"Limits",
                                              {{"MaxHeaderBytes", MaxHeadBytes},
                                               {"MaxBodyBytes", MaxBodyBytes},
                                               {"HeaderTimeoutMs", 3000},
                                               {"IdleTimeoutMs", 15000}}}}
                                  .dump());
  }

  void registerTarget(std::size_t Index, const std::string &State) {
    m_Store->put(
        fmt::format("servers/t{}", Index),
        nlohmann::json{
            {"Service", "s"},
            {"Address", fmt::format("127.0.0.1:{}", m_Targets[Index]->port())},
            {"Zone", "zone-a"},
            {"Slots", 8},
            {"State", State},
            {"Sequence", ++m_Sequence},
            {"born", 1}}
            .dump());
  }

  bool isReady() const {
    return callOnce(m_Ip, ReadyPort,
                    "GET /ready HTTP/1.1\r\nHost: x\r\n"
                    "Connection: close\r\n\r\n")
        .starts_with("200");
  }

  /// Sends an ordinary request until it is answered.
  bool serveOrdinary() {
    const auto End = std::chrono::steady_clock::now() + OrdinaryTime;
    while (std::chrono::steady_clock::now() < End && m_Daemon->isRunning()) {
      ++m_OrdinaryAttempts;
      if (callOnce(m_Ip, CallerPort,
                   head("GET", "/plain/", "Connection: close\r\n"))
              .starts_with("200 "))
        return true;
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  void loadWith(std::string_view Name, std::size_t Count,
                ClientPlan (*Plan)(std::size_t)) {
    std::vector<ClientPlan> Plans;
    for (std::size_t I = 0; I < Count; ++I)
      Plans.push_back(Plan(I));
    bool IsServedDuring = false;
    {
      const ClientCrowd Crowd(m_Ip, CallerPort, std::move(Plans));
      std::this_thread::sleep_for(LoadTime / 2);
      IsServedDuring = serveOrdinary();
      std::this_thread::sleep_for(LoadTime / 2);
    }
    const bool IsServedAfter = serveOrdinary();
    checkUsage(Name);
    CPPUNIT_ASSERT_MESSAGE("no ordinary request during the load",
                           IsServedDuring);
    CPPUNIT_ASSERT_MESSAGE("no ordinary request after the load", IsServedAfter);
  }

  void checkUsage(std::string_view Name) {
    const auto Usage = m_Daemon->usage();
    fmt::print("crowd: {}: {:.1f} MB at most of {}, {:.1f} resident, {} "
               "descriptors of {}{}, {} ordinary attempts\n",
               Name, static_cast<double>(Usage.PeakBytes) / (1 << 20), MemoryMb,
               static_cast<double>(Usage.PeakResidentBytes) / (1 << 20),
               Usage.PeakDescriptors, MaxDescriptors,
               Usage.IsKilled ? ", killed" : "", m_OrdinaryAttempts);
    CPPUNIT_ASSERT_MESSAGE("killed for its memory", !Usage.IsKilled);
    CPPUNIT_ASSERT(static_cast<double>(Usage.PeakBytes) <
                   MaxMemoryShare * (MemoryMb << 20));
    CPPUNIT_ASSERT(Usage.PeakDescriptors <= MaxDescriptors - SpareDescriptors);
  }

  std::filesystem::path m_Folder;
  std::string m_Ip;
  std::unique_ptr<soak::SoakStore> m_Store;
  std::vector<std::unique_ptr<soak::ThreadedServer>> m_Targets;
  std::unique_ptr<WatchedProcess> m_Daemon;
  std::int64_t m_Sequence = 0;
  int m_OrdinaryAttempts = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrowdTest);

} // namespace mangodeck::crowd
