#include "changeplay.h"

#include "faultproxy.h"
#include "httpserver.h"
#include "soakfleet.h"
#include "soakstore.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <poll.h>
#include <random>

namespace mangodeck::soak {

namespace {

using std::chrono::milliseconds;

/// The daemons' bound, with a margin for a loaded machine.
constexpr milliseconds ApplyTime{2000 + 500};
/// Time after a disturbance of a daemon itself within which it owes nothing.
constexpr milliseconds ContactTime{4000};
/// Versions whose routes and keys are valid at the same time.
constexpr int KeptVersions = 6;
/// Makes the configuration larger than what the relay carries.
constexpr int FillerRoutes = 40;
constexpr milliseconds AnswerTimeout{3000};
/// Daemons that the store does not serve at the same time, at most.
constexpr double MaxCutShare = 0.34;
/// Daemons that it serves at the least with ChangePlay::FewServed.
constexpr std::size_t LeastServed = 2;
constexpr unsigned Domains = 3;
/// What is noted of a run; one fault shows in many probes.
constexpr std::size_t MaxNotes = 20;

void serveTarget(Socket &Caller) {
  RequestReader Reader(Caller);
  http::Request Asked;
  while (Reader.next(Asked)) {
    http::ResponseHead Head;
    Head.Status = 200;
    Head.Fields.add("X-Mangodeck-Response-Stamp", "s");
    if (const auto *Id = Asked.Head.Fields.find("X-Mangodeck-Attempt-Id"))
      Head.Fields.add("X-Mangodeck-Attempt-Id", *Id);
    Head.Fields.add("Content-Length", "2");
    if (!writeAll(Caller, http::serialize(Head) + "ok"))
      return;
  }
}

/// Status of the answer to a GET with a key; 0 if none came in time.
int askStatus(const SoakDaemon &Daemon, const std::string &Path,
              const std::string &Key, unsigned Number) {
  asio::io_context Loop;
  Socket Caller(Loop);
  std::error_code Error;
  Caller.connect({asio::ip::make_address(Daemon.ip()), Daemon.callerPort()},
                 Error);
  if (Error)
    return 0;
  const auto Request = fmt::format(
      "GET {} HTTP/1.1\r\nHost: h.example\r\nX-Mangodeck-Attempt-Id: {:x}\r\n"
      "X-Mangodeck-Request-Deadline: 2000\r\nAuthorization: Bearer {}\r\n"
      "Connection: close\r\n\r\n",
      Path, Number, Key);
  if (!writeAll(Caller, Request))
    return 0;
  std::string Answer;
  std::array<char, 1024> Buffer;
  const auto End = Clock::now() + AnswerTimeout;
  while (Answer.size() < 12 && Clock::now() < End) {
    pollfd Ready{Caller.native_handle(), POLLIN, 0};
    if (::poll(&Ready, 1, 100) <= 0)
      continue;
    const auto Size = Caller.read_some(asio::buffer(Buffer), Error);
    if (Error)
      break;
    Answer.append(Buffer.data(), Size);
  }
  return Answer.starts_with("HTTP/1.1 ") ? std::atoi(Answer.c_str() + 9) : 0;
}

class Play {
public:
  explicit Play(const ChangePlay &Played)
      : m_Played(Played), m_Random(Played.Seed), m_WrittenAt(1) {
    std::filesystem::create_directories(Played.Folder);
    m_Store.put("servers/t",
                nlohmann::json{
                    {"Service", "s"},
                    {"Address", fmt::format("127.0.0.1:{}", m_Target.port())},
                    {"Zone", "d0"},
                    {"Slots", 64},
                    {"State", "ready"},
                    {"Sequence", 1},
                    {"born", 1}}
                    .dump());
    writeVersion();
    for (unsigned I = 0; I < Played.Daemons; ++I) {
      m_Links.push_back(std::make_unique<FaultProxy>("127.0.0.1", "127.0.0.1",
                                                     m_Store.port()));
      m_Daemons.push_back(std::make_unique<SoakDaemon>(
          Played.Front, Played.Folder,
          fmt::format("127.0.{}.{}", Played.Subnet, I + 1),
          fmt::format("d{}", I % Domains), m_Links.back()->port()));
      m_Daemons.back()->start();
    }
    m_DisturbedUntil.assign(Played.Daemons, Clock::now() + ContactTime);
    m_CutUntil.assign(Played.Daemons, {});
  }

  std::vector<std::string> run() {
    std::this_thread::sleep_for(ContactTime);
    std::vector<std::thread> Probers;
    for (unsigned I = 0; I < ProberCount; ++I)
      Probers.emplace_back([this, I] { probe(m_Played.Seed * 100 + I); });
    const auto End = Clock::now() + std::chrono::seconds(m_Played.Seconds);
    while (Clock::now() < End) {
      // Changes come in series, with time in between in which all must know.
      for (auto Count = 1 + m_Random() % 3; Count > 0; --Count) {
        writeVersion();
        disturb();
        pauseFor(milliseconds(m_Random() % 700));
      }
      disturb();
      pauseFor(ApplyTime + milliseconds(m_Random() % 1500));
    }
    m_Stopped = true;
    for (auto &Each : Probers)
      Each.join();
    for (auto &Each : m_Links)
      Each->setFault(LinkFault::None);
    for (auto &Each : m_Daemons)
      Each->signal(SIGTERM);
    for (auto &Each : m_Daemons)
      if (!Each->join(std::chrono::seconds(7)))
        note(fmt::format("no stop within the grace: {}, {}", Each->name(),
                         Each->stateAtKill()));
    m_Store.stop();
    fmt::print("seed {}: {} versions, {} probes, {} of daemons without store\n",
               m_Played.Seed, m_WrittenAt.size() - 1, m_Probes.load(),
               m_ProbesWithoutStore.load());
    if (m_Probes == 0)
      note("no probe was decisive");
    return m_Broken;
  }

private:
  static constexpr unsigned ProberCount = 4;

  static std::string pathOf(int Version) {
    return fmt::format("/gen{}/x", Version);
  }
  static std::string keyOf(int Version) { return fmt::format("k{}", Version); }

  void writeVersion() {
    const int Next = newest() + 1;
    nlohmann::json Routes = nlohmann::json::array();
    const auto Add = [&](const std::string &Prefix) {
      Routes.push_back({{"Name", Prefix},
                        {"Hostname", "h.example"},
                        {"Prefix", Prefix},
                        {"Kind", "idempotent"},
                        {"TimeoutMs", 2000},
                        {"TargetLatencyMs", 1000},
                        {"Service", "s"},
                        {"Attempts", 2}});
    };
    std::vector<std::string> Keys;
    for (int I = std::max(1, Next - KeptVersions + 1); I <= Next; ++I) {
      Add(fmt::format("/gen{}/", I));
      Keys.push_back(keyOf(I));
    }
    for (int I = 0; I < FillerRoutes; ++I)
      Add(fmt::format("/filler{}/", I));
    m_Store.put(
        "op/config",
        nlohmann::json{{"Version", Next},
                       {"Routes", Routes},
                       {"Services", {{{"Name", "s"}}}},
                       {"Tenants", {{{"Name", "c"}, {"ApiKeys", Keys}}}}}
            .dump());
    const std::lock_guard Lock(m_Mutex);
    m_WrittenAt.push_back(Clock::now());
  }

  int newest() {
    const std::lock_guard Lock(m_Mutex);
    return static_cast<int>(m_WrittenAt.size()) - 1;
  }

  /// The latest version that was acknowledged ApplyTime ago; 0 if there is
  /// none.
  int versionInForce() {
    const std::lock_guard Lock(m_Mutex);
    int Version = static_cast<int>(m_WrittenAt.size()) - 1;
    while (Version > 0 && Clock::now() - m_WrittenAt[Version] < ApplyTime)
      --Version;
    return Version;
  }

  bool isDisturbed(std::size_t Index) {
    const std::lock_guard Lock(m_Mutex);
    return Clock::now() < m_DisturbedUntil[Index];
  }

  void markDisturbed(std::size_t Index, milliseconds Span) {
    const std::lock_guard Lock(m_Mutex);
    m_DisturbedUntil[Index] = Clock::now() + Span + ContactTime;
  }

  void note(std::string What) {
    const std::lock_guard Lock(m_Mutex);
    if (m_Broken.size() < MaxNotes)
      m_Broken.push_back(std::move(What));
  }

  void pauseFor(milliseconds Span) {
    const auto End = Clock::now() + Span;
    while (Clock::now() < End) {
      restoreLinks();
      for (auto &Each : m_Daemons)
        if (const auto How = Each->endedByItself()) {
          note(fmt::format("a daemon ended by itself: {}, {}", Each->name(),
                           *How));
          Each->start();
        }
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  void restoreLinks() {
    for (std::size_t I = 0; I < m_Links.size(); ++I)
      if (m_CutUntil[I] != Clock::time_point{} &&
          Clock::now() > m_CutUntil[I]) {
        m_CutUntil[I] = {};
        m_Links[I]->setFault(LinkFault::None);
        m_Links[I]->resetAll();
      }
  }

  /// Cuts a share of the daemons off from the store, whichever they are.
  void cutLinks() {
    const auto Limit =
        m_Played.FewServed
            ? m_Links.size() - LeastServed
            : static_cast<std::size_t>(MaxCutShare *
                                       static_cast<double>(m_Links.size()));
    std::size_t Cut = 0;
    for (const auto &Until : m_CutUntil)
      Cut += Until == Clock::time_point{} ? 0 : 1;
    const auto First = m_Random() % m_Links.size();
    const bool IsSilent = m_Random() % 2 == 0;
    const auto Span =
        milliseconds(2000 + m_Random() % 6000) * (m_Played.FewServed ? 3 : 1);
    for (std::size_t I = 0; I < m_Links.size() && Cut < Limit; ++I) {
      const auto Index = (First + I) % m_Links.size();
      if (m_CutUntil[Index] != Clock::time_point{})
        continue;
      ++Cut;
      m_CutUntil[Index] = Clock::now() + Span;
      if (IsSilent) {
        m_Links[Index]->setFault(LinkFault::Silent);
      } else {
        m_Links[Index]->resetAll();
        m_Links[Index]->closeFor(Span);
      }
    }
  }

  /// Whether the store serves only the least number of daemons, and this one.
  bool isNeeded(std::size_t Index) const {
    return m_Played.FewServed && m_CutUntil[Index] == Clock::time_point{} &&
           std::count(m_CutUntil.begin(), m_CutUntil.end(),
                      Clock::time_point{}) <=
               static_cast<std::ptrdiff_t>(LeastServed);
  }

  void disturb() {
    const auto Index = m_Random() % m_Daemons.size();
    if (isNeeded(Index))
      return m_Store.dropHistory();
    auto &Daemon = *m_Daemons[Index];
    switch (m_Random() % 7) {
    case 0:
    case 1:
    case 2:
      return cutLinks();
    case 3:
      markDisturbed(Index, milliseconds(500));
      Daemon.signal(SIGKILL);
      Daemon.join(milliseconds(500));
      markDisturbed(Index, milliseconds(500));
      return Daemon.start();
    case 4: {
      const auto Pause = milliseconds(200 + m_Random() % 1500);
      markDisturbed(Index, Pause);
      Daemon.signal(SIGSTOP);
      std::this_thread::sleep_for(Pause);
      Daemon.signal(SIGCONT);
      return markDisturbed(Index, milliseconds(0));
    }
    case 5:
      markDisturbed(Index, std::chrono::seconds(7));
      Daemon.setPlannedStop(true);
      Daemon.signal(SIGTERM);
      if (!Daemon.join(std::chrono::seconds(6)))
        note(fmt::format("no stop within the grace: {}, {}", Daemon.name(),
                         Daemon.stateAtKill()));
      markDisturbed(Index, milliseconds(500));
      return Daemon.start();
    default:
      return m_Store.dropHistory();
    }
  }

  /// Asks the daemons by turns for what must be in force, and for what must no
  /// longer be.
  void probe(std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    while (!m_Stopped) {
      const auto Index = Random() % m_Daemons.size();
      const auto &Daemon = *m_Daemons[Index];
      const int Version = versionInForce();
      const bool HasStore = m_CutUntil[Index] == Clock::time_point{};
      const auto Name = Daemon.name();
      if (Version == 0 || isDisturbed(Index)) {
        std::this_thread::sleep_for(milliseconds(5));
        continue;
      }
      const bool AsksRemoved = Version > KeptVersions && Random() % 3 == 0;
      const int Removed = Version - KeptVersions;
      const bool IsKey = Random() % 2 == 0;
      const auto Status =
          askStatus(Daemon, pathOf(AsksRemoved && !IsKey ? Removed : Version),
                    keyOf(AsksRemoved && IsKey ? Removed : Version),
                    static_cast<unsigned>(Random()));
      // A later version may have removed what was asked for meanwhile.
      if (Status == 0 || isDisturbed(Index) || Daemon.name() != Name ||
          newest() >= Version + KeptVersions)
        continue;
      ++m_Probes;
      m_ProbesWithoutStore += HasStore ? 0 : 1;
      const bool IsRefused = Status == 404 || Status == 401;
      if (AsksRemoved ? Status == 200 : IsRefused)
        note(fmt::format("{} {} answered {} for {} version {}, {}", Name,
                         HasStore ? "with the store" : "without the store",
                         Status, AsksRemoved ? "what is removed by" : "",
                         Version, IsKey ? "key" : "route"));
    }
  }

  const ChangePlay &m_Played;
  std::mt19937_64 m_Random;
  SoakStore m_Store;
  ThreadedServer m_Target{"127.0.0.1", serveTarget};
  std::vector<std::unique_ptr<FaultProxy>> m_Links;
  std::vector<std::unique_ptr<SoakDaemon>> m_Daemons;
  std::mutex m_Mutex;
  std::vector<Clock::time_point> m_WrittenAt; ///< By version.
  std::vector<Clock::time_point> m_DisturbedUntil;
  std::vector<Clock::time_point> m_CutUntil;
  std::vector<std::string> m_Broken;
  std::atomic<std::uint64_t> m_Probes{0};
  std::atomic<std::uint64_t> m_ProbesWithoutStore{0};
  std::atomic<bool> m_Stopped{false};
};

} // namespace

std::vector<std::string> playChanges(const ChangePlay &Played) {
  return Play(Played).run();
}

} // namespace mangodeck::soak
