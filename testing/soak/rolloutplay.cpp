#include "rolloutplay.h"

#include "httpserver.h"
#include "soakfleet.h"
#include "soakledger.h"
#include "soakstore.h"

#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <poll.h>
#include <random>

namespace mangodeck::soak {

namespace {

using std::chrono::milliseconds;

constexpr unsigned TargetsPerVersion = 4;
constexpr unsigned Callers = 10;
constexpr milliseconds Work{8};
constexpr milliseconds CallerPause{18};
constexpr std::chrono::seconds TimeLimit{12};
/// The platform's bounds, with margins for a loaded machine.
constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;
constexpr unsigned BadAnswers = 50;
constexpr milliseconds RollbackTime{5000 + 500};
constexpr milliseconds AfterVerdict{1500};
/// Time beyond the limit for which a verdict is awaited.
constexpr std::chrono::seconds LateTime{8};
/// Share of the answers that must not be errors, during a rollout without a
/// fault.
constexpr double MinAnswered = 0.97;

/// What the ordered version does.
enum class Fault { None, Failures, Slow, FailuresLater };
/// What happens meanwhile.
enum class Trouble { None, KillOne, KillAll, StoreDown, LostAnswers };

struct Order {
  Fault Bad = Fault::None;
  Trouble Happens = Trouble::None;
};

/// What the requests of the series saw.
struct Counters {
  std::atomic<std::uint64_t> Requests{0}; ///< First attempts that arrived.
  std::atomic<std::uint64_t> Exposed{0};
  std::atomic<std::uint64_t> Bad{0};
  std::atomic<std::uint64_t> Answered{0};
  std::atomic<std::uint64_t> Refused{0};
  std::atomic<Clock::rep> FiftiethBadAt{0};
  std::atomic<std::uint64_t> LateSends{0};
  std::atomic<Clock::rep> VerdictAt{0};
  std::atomic<std::uint64_t> AfterVerdict{0};
};

/// A target of one version.
class VersionTarget {
public:
  VersionTarget(std::string Id, std::string Version, std::string Domain,
                SoakStore &Store, Fault Bad, Counters &Seen)
      : m_Id(std::move(Id)), m_Version(std::move(Version)),
        m_Domain(std::move(Domain)), m_Store(Store), m_Fault(Bad), m_Seen(Seen),
        m_Server("127.0.0.1", [this](Socket &Caller) { serve(Caller); }) {}

  void announce(const char *State) {
    m_Store.put("servers/" + m_Id,
                nlohmann::json{
                    {"Service", "s"},
                    {"Address", fmt::format("127.0.0.1:{}", m_Server.port())},
                    {"Zone", m_Domain},
                    {"Version", m_Version},
                    {"Slots", 8},
                    {"State", State},
                    {"Sequence", ++m_Sequence},
                    {"born", 1}}
                    .dump());
  }
  /// Begins to count as the ordered version.
  void setOrdered(bool Ordered) {
    m_Since = Clock::now().time_since_epoch().count();
    m_Ordered = Ordered;
  }
  /// Ends at once, without draining. Returns the requests that ran.
  unsigned stop() {
    const unsigned Running = m_Running;
    m_Server.stop();
    m_Store.remove("servers/" + m_Id);
    return Running;
  }

private:
  void serve(Socket &Caller) {
    RequestReader Reader(Caller);
    http::Request Asked;
    while (Reader.next(Asked))
      if (!answer(Caller, Asked))
        return;
  }

  bool answer(Socket &Caller, const http::Request &Asked) {
    const std::string Id(Asked.Head.Fields.get("X-Mangodeck-Attempt-Id"));
    if (Asked.Head.Fields.get("X-Mangodeck-Expect-Instance") != m_Id)
      return writeAll(Caller, "HTTP/1.1 421 M\r\nContent-Length: 0\r\n\r\n");
    const auto Now = Clock::now();
    const auto Age = Now - Clock::time_point(Clock::duration(m_Since.load()));
    const bool Ordered = m_Ordered;
    if (Ordered)
      note(Now);
    ++m_Running;
    const bool Fails =
        Ordered &&
        (m_Fault == Fault::Failures ||
         (m_Fault == Fault::FailuresLater && Age > std::chrono::seconds(4)));
    std::this_thread::sleep_for(Ordered && m_Fault == Fault::Slow ? 4 * Work
                                                                  : Work);
    --m_Running;
    const bool IsBad = Fails ? ++m_Count % 3 == 0 : ++m_Count % 100 == 0;
    if (Ordered && IsBad && ++m_Seen.Bad == BadAnswers)
      m_Seen.FiftiethBadAt = Clock::now().time_since_epoch().count();
    return writeAll(Caller, fmt::format("HTTP/1.1 {} A\r\n"
                                        "X-Mangodeck-Attempt-Id: {}\r\n"
                                        "X-Mangodeck-Response-Stamp: {}\r\n"
                                        "Content-Length: 2\r\n\r\nok",
                                        IsBad ? 500 : 200, Id, Id));
  }

  void note(Clock::time_point Now) {
    ++m_Seen.Exposed;
    const auto IsAfter = [&](Clock::rep Since, milliseconds Bound) {
      return Since != 0 &&
             Now > Clock::time_point(Clock::duration(Since)) + Bound;
    };
    if (IsAfter(m_Seen.FiftiethBadAt, RollbackTime))
      ++m_Seen.LateSends;
    if (IsAfter(m_Seen.VerdictAt, AfterVerdict))
      ++m_Seen.AfterVerdict;
  }

  std::string m_Id;
  std::string m_Version;
  std::string m_Domain;
  SoakStore &m_Store;
  Fault m_Fault;
  Counters &m_Seen;
  std::atomic<bool> m_Ordered{false};
  std::atomic<Clock::rep> m_Since{0};
  std::atomic<unsigned> m_Running{0};
  std::atomic<unsigned> m_Count{0};
  std::uint64_t m_Sequence = 0;
  ThreadedServer m_Server;
};

/// The series of one seed.
class Series {
public:
  explicit Series(const RolloutPlay &Played)
      : m_Played(Played), m_Random(Played.Seed) {
    std::filesystem::create_directories(Played.Folder);
    m_Store.put("op/config",
                R"({"Version":1,"Routes":[{"Name":"r","Hostname":"h.example",)"
                R"("Prefix":"/","Kind":"idempotent","TimeoutMs":3000,)"
                R"("TargetLatencyMs":500,"Priority":0,"Service":"s",)"
                R"("Attempts":2}],"Services":[{"Name":"s"}]})");
    m_Current = makeTargets("v1", Fault::None);
    for (unsigned I = 0; I < Played.Daemons; ++I) {
      m_Daemons.push_back(std::make_unique<SoakDaemon>(
          Played.Front, Played.Folder,
          fmt::format("127.0.{}.{}", Played.Subnet, I + 1), I % 2 ? "a" : "b",
          m_Store.port(), true));
      m_Daemons.back()->start();
    }
  }

  std::vector<std::string> run() {
    std::this_thread::sleep_for(milliseconds(2500));
    std::vector<std::thread> Threads;
    for (unsigned I = 0; I < Callers; ++I)
      Threads.emplace_back([this, Seed = m_Random()] { call(Seed); });
    const std::vector<Order> All = {{Fault::None, Trouble::None},
                                    {Fault::Failures, Trouble::None},
                                    {Fault::Slow, Trouble::KillOne},
                                    {Fault::None, Trouble::StoreDown},
                                    {Fault::None, Trouble::KillAll},
                                    {Fault::FailuresLater, Trouble::None},
                                    {Fault::None, Trouble::LostAnswers}};
    for (const auto &Each : All)
      play(Each);
    m_Stopped = true;
    for (auto &Each : Threads)
      Each.join();
    for (auto &Each : m_Daemons)
      Each->signal(SIGTERM);
    for (auto &Each : m_Daemons)
      Each->join(std::chrono::seconds(7));
    m_Daemons.clear();
    m_Store.stop();
    return m_Broken;
  }

private:
  using Targets = std::vector<std::unique_ptr<VersionTarget>>;

  Targets makeTargets(const std::string &Version, Fault Bad) {
    Targets Made;
    for (unsigned I = 0; I < TargetsPerVersion; ++I) {
      Made.push_back(std::make_unique<VersionTarget>(
          fmt::format("{}-{}", Version, I), Version, I % 2 ? "a" : "b", m_Store,
          Bad, m_Seen));
      Made.back()->announce("ready");
    }
    return Made;
  }

  std::string stateOf(const std::string &Version) {
    const auto Text = m_Store.get("status/rollout/s");
    const auto Body = nlohmann::json::parse(Text, nullptr, false);
    if (!Body.is_object() || Body.value("To", "") != Version)
      return "";
    return Body.value("State", "");
  }

  void reset() {
    m_Seen.Requests = m_Seen.Exposed = m_Seen.Bad = m_Seen.LateSends = 0;
    m_Seen.Answered = m_Seen.Refused = m_Seen.AfterVerdict = 0;
    m_Seen.FiftiethBadAt = m_Seen.VerdictAt = 0;
  }

  void happen(Trouble What) {
    switch (What) {
    case Trouble::None:
      return;
    case Trouble::KillOne:
      return restart(0, 1);
    case Trouble::KillAll:
      return restart(0, m_Daemons.size());
    case Trouble::StoreDown:
      m_Store.setDown(true);
      std::this_thread::sleep_for(milliseconds(1500));
      return m_Store.setDown(false);
    case Trouble::LostAnswers:
      return m_Store.setLostAnswers(40);
    }
  }

  void restart(std::size_t First, std::size_t End) {
    for (std::size_t I = First; I < End; ++I)
      m_Daemons[I]->signal(SIGKILL);
    for (std::size_t I = First; I < End; ++I) {
      m_Daemons[I]->join(milliseconds(500));
      m_Daemons[I]->start();
    }
  }

  /// Gives one order and checks how it is carried out.
  void play(const Order &Given) {
    const auto Version = fmt::format("v{}", ++m_Version);
    reset();
    const auto Start = Clock::now();
    m_Store.put("op/rollout/s", nlohmann::json{{"Service", "s"},
                                               {"To", Version},
                                               {"DurationS", TimeLimit.count()}}
                                    .dump());
    auto New = makeTargets(Version, Given.Bad);
    for (auto &Each : New)
      Each->setOrdered(true);
    const bool HasTrouble = Given.Happens != Trouble::None;
    std::this_thread::sleep_for(std::chrono::seconds(2));
    happen(Given.Happens);
    std::string State;
    while (State != "completed" && State != "rolled_back" &&
           Clock::now() < Start + TimeLimit + LateTime) {
      std::this_thread::sleep_for(milliseconds(10));
      State = stateOf(Version);
    }
    m_Seen.VerdictAt =
        State == "rolled_back" ? Clock::now().time_since_epoch().count() : 0;
    m_Store.setLostAnswers(0);
    const auto Took =
        std::chrono::duration_cast<milliseconds>(Clock::now() - Start);
    const bool IsCompleted = State == "completed";
    unsigned Running = 0;
    // The platform stops the old targets at once, and drains the new ones.
    if (IsCompleted) {
      for (auto &Each : m_Current)
        Running += Each->stop();
      for (auto &Each : New)
        Each->setOrdered(false);
    }
    std::this_thread::sleep_for(std::max<milliseconds>(
        milliseconds(2500), std::chrono::duration_cast<milliseconds>(
                                Start + TimeLimit - Clock::now())));
    const auto Text = fmt::format(
        "order {} ({}, {}): {} after {} ms, {} of {} exposed, {} bad, {} late, "
        "{} after the verdict, {} running at the old version, {} refused",
        Version, static_cast<int>(Given.Bad), static_cast<int>(Given.Happens),
        State.empty() ? "no verdict" : State, Took.count(),
        m_Seen.Exposed.load(), m_Seen.Requests.load(), m_Seen.Bad.load(),
        m_Seen.LateSends.load(), m_Seen.AfterVerdict.load(), Running,
        m_Seen.Refused.load());
    fmt::print("{}\n", Text);
    const auto Check = [&](bool Holds, const char *What) {
      if (!Holds)
        m_Broken.push_back(fmt::format("{}: {}", What, Text));
    };
    const bool IsGood = Given.Bad == Fault::None;
    Check(State == (IsGood ? "completed" : "rolled_back"), "verdict");
    Check(Took <= TimeLimit || HasTrouble, "time limit");
    if (IsGood) {
      Check(Running == 0, "running at the completion");
      Check(HasTrouble ||
                static_cast<double>(m_Seen.Answered) >=
                    MinAnswered * static_cast<double>(m_Seen.Requests),
            "requests lost");
    } else {
      Check(static_cast<double>(m_Seen.Exposed) <=
                ExposureShare * static_cast<double>(m_Seen.Requests) +
                    ExposureSlack,
            "exposure");
      Check(m_Seen.LateSends == 0, "sent long after the 50th bad answer");
      Check(m_Seen.AfterVerdict == 0, "sent after the verdict");
    }
    if (!IsCompleted)
      for (auto &Each : New)
        Each->stop();
    m_Retired.push_back(std::move(IsCompleted ? m_Current : New));
    if (IsCompleted)
      m_Current = std::move(New);
  }

  /// Sends requests, each to the daemon of an open connection.
  void call(std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    asio::io_context Loop;
    std::unique_ptr<Socket> Open;
    struct Sink : http::MessageSink {
      void onHead() override {}
      void onBody(std::string_view) override {}
    } Discarded;
    while (!m_Stopped) {
      std::this_thread::sleep_for(CallerPause);
      std::error_code Error;
      if (!Open) {
        Open = std::make_unique<Socket>(Loop);
        const auto &Daemon = *m_Daemons[Random() % m_Daemons.size()];
        Open->connect(
            {asio::ip::make_address(Daemon.ip()), Daemon.callerPort()}, Error);
        if (Error) {
          Open.reset();
          continue;
        }
        Open->set_option(asio::ip::tcp::no_delay(true), Error);
      }
      ++m_Seen.Requests;
      const auto Sent =
          writeAll(*Open, fmt::format("POST /x HTTP/1.1\r\nHost: h.example\r\n"
                                      "X-Mangodeck-Attempt-Id: {:016x}\r\n"
                                      "X-Mangodeck-Request-Deadline: 3000\r\n"
                                      "Content-Length: 2\r\n\r\nhi",
                                      Random()));
      http::ResponseParser Parser(Discarded);
      while (Sent && !Parser.isComplete() && !Parser.isMalformed()) {
        pollfd Ready{Open->native_handle(), POLLIN, 0};
        std::array<char, 4096> Buffer;
        if (::poll(&Ready, 1, 4000) <= 0)
          break;
        const auto Size = Open->read_some(asio::buffer(Buffer), Error);
        if (Error)
          break;
        Parser.feed({Buffer.data(), Size});
      }
      if (!Parser.isComplete() || !Parser.head().KeepAlive ||
          Random() % 50 == 0)
        Open.reset();
      if (Parser.isComplete())
        ++(Parser.head().Status == 200 ? m_Seen.Answered : m_Seen.Refused);
    }
  }

  RolloutPlay m_Played;
  std::mt19937_64 m_Random;
  Counters m_Seen;
  SoakStore m_Store;
  Targets m_Current;
  std::vector<Targets> m_Retired;
  std::vector<std::unique_ptr<SoakDaemon>> m_Daemons;
  std::vector<std::string> m_Broken;
  unsigned m_Version = 1;
  std::atomic<bool> m_Stopped{false};
};

} // namespace

std::vector<std::string> playRollouts(const RolloutPlay &Played) {
  return Series(Played).run();
}

} // namespace mangodeck::soak
