// Randomized fault soak: real daemons as processes, stand-ins for the store,
// targets and callers, faults from outside.
#include "changeplay.h"
#include "rolloutplay.h"
#include "soakcaller.h"
#include "soakfleet.h"
#include "soakstore.h"
#include "soaktarget.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>

namespace {

using namespace mangodeck::soak;
using std::chrono::milliseconds;

struct Options {
  std::string Front = "build/bin/mangodeck-front";
  std::string Folder = "build/soak";
  std::uint64_t Seed = 1;
  unsigned Seeds = 1;
  unsigned Seconds = 8;
  unsigned Daemons = 6;
  unsigned Targets = 6;
  unsigned Callers = 24;
  bool KeepIds = false; ///< Of targets that change their version.
  bool ClockSteps = false;
  bool Impatient = false;
  unsigned OddPercent = 0; ///< Of the answers; see OddAnswers.
  unsigned Subnet = 1;     ///< Daemons listen at 127.0.SUBNET.1 and on.
};

/// Time without a fault after which promises hold without excuse.
constexpr milliseconds CalmTime{4000};
/// One in this many callers reads slow streams.
constexpr unsigned StreamCallerDivisor = 3;
/// Targets that are given a rate limit at the start.
constexpr unsigned LimitedTargets = 2;
/// Their limit while daemons are stopped in series, in requests a second.
constexpr unsigned StopLimit = 20;
constexpr unsigned KillsInSeries = 2;
constexpr milliseconds ClockStep{2400};
constexpr milliseconds TimeAfterClockSteps{3000};
constexpr unsigned DeskTargets = 2;
/// Daemons that are stopped without waiting for the end of any.
constexpr std::size_t MaxStopsInSeries = 4;

/// One run with one seed.
class Soak {
public:
  Soak(const Options &Chosen, std::uint64_t Seed)
      : m_Options(Chosen), m_Seed(Seed), m_Random(Seed) {
    std::filesystem::create_directories(Chosen.Folder);
    for (unsigned I = 0; I < Chosen.Targets; ++I) {
      m_Targets.push_back(std::make_unique<SoakTarget>(
          fmt::format("t-{}", I), I % 2 ? "a" : "b", m_Ledger, m_Store, m_Calm,
          m_Random(), Chosen.KeepIds));
      m_Targets.back()->setOdd(Chosen.OddPercent);
      m_Targets.back()->announce(false);
    }
    for (unsigned I = 0; I < DeskTargets; ++I) {
      m_DeskTargets.push_back(std::make_unique<SoakTarget>(
          fmt::format("desk-{}", I), I % 2 ? "a" : "b", m_Ledger, m_Store,
          m_Calm, m_Random(), Chosen.KeepIds, DeskService));
      m_DeskTargets.back()->announce(false);
    }
    configure();
    m_Store.saveCopy();
    for (unsigned I = 0; I < Chosen.Daemons; ++I) {
      m_Daemons.push_back(std::make_unique<SoakDaemon>(
          Chosen.Front, Chosen.Folder,
          fmt::format("127.0.{}.{}", Chosen.Subnet, I + 1), I % 2 ? "a" : "b",
          m_StoreLink.port()));
      m_Daemons.back()->start();
    }
  }

  std::vector<std::string> run() {
    std::vector<std::unique_ptr<SoakCaller>> Callers;
    std::vector<std::thread> Threads;
    std::this_thread::sleep_for(milliseconds(600));
    for (unsigned I = 0; I < m_Options.Callers; ++I) {
      Callers.push_back(std::make_unique<SoakCaller>(
          m_Daemons, m_Ledger, m_Generation, m_Calm, m_Random(),
          I % StreamCallerDivisor == 0, m_Options.Impatient));
      Threads.emplace_back(
          [this, Caller = Callers.back().get()] { Caller->run(m_Stopped); });
    }
    // Step 1. Faults and planned work together. The first targets have rate
    // limits from the start.
    for (unsigned I = 0; I < limitedTargets(); ++I)
      m_Targets[I]->limitRate(drawLimit());
    const auto Half = std::chrono::seconds(m_Options.Seconds) / 2;
    for (const auto End = Clock::now() + Half; Clock::now() < End; pause())
      m_Options.ClockSteps ? stepClocksAndServe() : disturb();

    // Step 2. Planned work alone, once the fleet has had time to recover.
    heal();
    if (m_Random() % 2 == 0)
      startCrashing();
    // A limit of about what one daemon of the soak can send to a target shows
    // whether several daemons use all of it.
    const bool StopsInSeries = m_Random() % 2 == 0;
    for (unsigned I = 0; StopsInSeries && I < limitedTargets(); ++I)
      m_Targets[I]->limitRate(StopLimit);
    std::this_thread::sleep_for(CalmTime);
    m_Calm = true;
    if (StopsInSeries)
      stopInSeries();
    else
      killInSeries();
    for (const auto End = Clock::now() + Half; Clock::now() < End; pause())
      doPlannedWork();
    heal();
    m_Stopped = true;
    for (auto &Each : Threads)
      Each.join();
    for (auto &Each : m_Daemons)
      Each->signal(SIGTERM);
    for (auto &Each : m_Daemons)
      if (!Each->join(std::chrono::seconds(7)))
        m_Ledger.noteBroken(
            fmt::format("daemon did not stop at the end of the run: {}, {}",
                        Each->name(), Each->stateAtKill()));
    m_Daemons.clear();
    m_Store.stop();
    fmt::print("seed {}: {} asked, {} answered; {}\n", m_Seed, m_Ledger.asked(),
               m_Ledger.answered(), m_Ledger.streamFigures());
    auto Broken = m_Ledger.verdict();
    // Of the requests that came no sooner than their callers were told to.
    if (m_Ledger.answered() * 2 < m_Ledger.asked())
      Broken.push_back("less than half answered");
    return Broken;
  }

private:
  /// Writes a version with one route more for each generation.
  void configure() {
    nlohmann::json Routes = nlohmann::json::array();
    const auto Add = [&](const std::string &Prefix, const char *Kind,
                         const char *Service = "s") {
      Routes.push_back({{"Name", Prefix},
                        {"Hostname", "h.example"},
                        {"Prefix", Prefix},
                        {"Kind", Kind},
                        {"TimeoutMs", 3000},
                        {"TargetLatencyMs", 500},
                        {"GapTargetMs", 300},
                        {"Priority", 0},
                        {"Service", Service},
                        {"Attempts", 2},
                        {"StreamResume", true}});
    };
    Add("/once/", "non_idempotent");
    Add("/again/", "idempotent");
    Add("/stream/", "streaming");
    Add("/slow/", "streaming");
    Add(std::string(DeskPath), "idempotent", DeskService);
    const unsigned Next = m_Generation + 1;
    for (unsigned I = 1; I <= Next; ++I)
      Add(fmt::format("/gen{}/", I), "idempotent");
    m_Store.put(
        "op/config",
        nlohmann::json{{"Version", Next},
                       {"Routes", Routes},
                       {"Services", {{{"Name", "s"}}, {{"Name", DeskService}}}},
                       {"Tenants", {{{"Name", "c"}, {"ApiKeys", {"k"}}}}}}
            .dump());
    m_Generation = Next;
  }

  /// Waits for a moment between two steps.
  void pause() {
    for (auto &Each : m_Daemons)
      if (const auto How = Each->endedByItself()) {
        m_Ledger.noteBroken(fmt::format("a daemon ended by itself: {}, {}",
                                        Each->name(), *How));
        Each->start();
      }
    std::this_thread::sleep_for(milliseconds(100 + m_Random() % 500));
  }

  unsigned limitedTargets() const {
    return std::min(LimitedTargets, m_Options.Targets);
  }
  SoakDaemon &anyDaemon() { return *m_Daemons[m_Random() % m_Daemons.size()]; }
  SoakTarget &anyTarget() { return *m_Targets[m_Random() % m_Targets.size()]; }
  /// Any target but the last one, which always accepts requests, so that there
  /// is one that can serve them.
  SoakTarget &anyReluctantTarget() {
    return *m_Targets[m_Random() %
                      std::max<std::size_t>(1, m_Targets.size() - 1)];
  }

  /// Draws one fault, or its end. Faults overlap and come in series.
  void disturb() {
    auto &Daemon = anyDaemon();
    switch (m_Random() % 10) {
    case 0:
      Daemon.signal(SIGKILL);
      Daemon.join(milliseconds(500));
      return Daemon.start();
    case 1: {
      const auto Pause = milliseconds(200 + m_Random() % 1500);
      m_Ledger.excuse(Daemon.name(), Clock::now() + Pause + ExcuseTime);
      Daemon.signal(SIGSTOP);
      std::this_thread::sleep_for(Pause);
      return Daemon.signal(SIGCONT);
    }
    case 2:
      return anyTarget().setLinkFault(static_cast<LinkFault>(m_Random() % 4));
    case 3:
      return anyTarget().link().resetAll();
    case 4:
      return anyTarget().setSpoiled(static_cast<unsigned>(m_Random() % 30));
    case 5:
      return m_StoreLink.setFault(static_cast<LinkFault>(m_Random() % 4));
    case 6:
      m_StoreLink.resetAll();
      return m_Store.dropHistory();
    case 7:
      return m_Store.setDown(m_Random() % 2 == 0);
    case 8:
      return stepClocks();
    default:
      return doPlannedWork();
    }
  }

  /// The processes after the steps reach the request numbers of those before.
  void stepClocksAndServe() {
    stepClocks();
    std::this_thread::sleep_for(TimeAfterClockSteps);
  }

  /// The time of day of some daemons of each failure domain steps ahead and
  /// back again. They are killed while it is ahead and just after it has
  /// stepped back.
  void stepClocks() {
    std::vector<SoakDaemon *> Stepped;
    for (std::size_t First = m_Random() % 2, I = 0; I < m_Daemons.size(); ++I)
      if (I / 2 % 2 == First)
        Stepped.push_back(m_Daemons[I].get());
    for (const auto Offset : {ClockStep, milliseconds(0)}) {
      std::this_thread::sleep_for(milliseconds(300 + m_Random() % 700));
      for (auto *Each : Stepped)
        Each->signal(SIGKILL);
      std::this_thread::sleep_for(milliseconds(m_Random() % 600));
      for (auto *Each : Stepped) {
        Each->join(milliseconds(500));
        Each->start(Offset);
      }
    }
  }

  /// Draws a step of planned work, which excuses nothing.
  void doPlannedWork() {
    switch (m_Random() % 11) {
    case 0:
      return m_Random() % 2 == 0 ? restartGracefully(anyDaemon())
                                 : stopInSeries();
    case 1:
      if (auto &Daemon = anyDaemon(); Daemon.isListening())
        Daemon.signal(SIGHUP);
      return;
    case 2:
      return anyReluctantTarget().announce(m_Random() % 2 == 0);
    case 3:
      return anyReluctantTarget().leaveByAnswers();
    case 4:
      return anyReluctantTarget().rejectFor(
          milliseconds(800 + m_Random() % 7200));
    case 5:
      return m_Store.saveCopy();
    case 6:
      return m_Store.restoreCopy(milliseconds(m_Random() % 600));
    case 7:
      return anyReluctantTarget().limitRate(drawLimit());
    case 8:
      return startCrashing();
    case 9:
      return putOddEntry();
    default:
      return configure();
    }
  }

  /// Another writer leaves an entry that names no target. The daemons follow
  /// the rest.
  void putOddEntry() {
    constexpr std::size_t Depth = 400000;
    const std::array<std::string, 5> Values = {
        std::string(Depth, '[') + std::string(Depth, ']'),
        R"({"Service":"s","Address":"127.0.0.1:99999","Zone":"a","Slots":4,)"
        R"("State":"ready"})",
        R"({"Service":"s","Address":"127.0.0.1:1","Zone":"a","Slots":1e308,)"
        R"("State":"ready","born":123456789012345678901234567890})",
        "\xff\xfe", R"({"ip":"127.0.0.1","port":70000,"domain":"a"})"};
    const auto &Value = Values[m_Random() % Values.size()];
    m_Store.put(m_Random() % 2 == 0 ? "servers/odd" : "mangodeck/daemons/odd",
                Value);
  }

  /// From now on a prompt part crashes targets, until heal(). The checks need
  /// time, so a part is not replaced in the calm phase.
  void startCrashing() {
    if (!m_Calm || m_Ledger.crashingPart() == 0)
      m_Ledger.setCrashingPart(0xbad00000 + m_Random() % 0xfffff);
  }

  void restartGracefully(SoakDaemon &Daemon) {
    Daemon.setPlannedStop(true);
    Daemon.signal(SIGTERM);
    if (!Daemon.join(std::chrono::seconds(6)))
      m_Ledger.noteBroken(
          fmt::format("daemon did not stop within its grace: {}, {}",
                      Daemon.name(), Daemon.stateAtKill()));
    Daemon.start();
  }

  /// Stops all daemons of a failure domain one after the other, without waiting
  /// for the end of any.
  void stopInSeries() {
    for (std::size_t I = m_Random() % 2; I < m_Daemons.size(); I += 2) {
      m_Daemons[I]->setPlannedStop(true);
      m_Daemons[I]->signal(SIGTERM);
      std::this_thread::sleep_for(milliseconds(100 + m_Random() % 900));
      if (I >= 2 * MaxStopsInSeries)
        break;
    }
    for (auto &Each : m_Daemons)
      if (Each->isPlannedStop())
        restartGracefully(*Each);
  }

  /// Kills half of the daemons at once, several times.
  void killInSeries() {
    for (unsigned Time = 0; Time < KillsInSeries; ++Time) {
      for (std::size_t I = Time % 2; I < m_Daemons.size(); I += 2)
        m_Daemons[I]->signal(SIGKILL);
      for (std::size_t I = Time % 2; I < m_Daemons.size(); I += 2) {
        m_Daemons[I]->join(milliseconds(500));
        m_Daemons[I]->start();
      }
      std::this_thread::sleep_for(milliseconds(3200 + m_Random() % 600));
    }
  }

  /// Requests a second that a target is to accept; 0 for any number.
  unsigned drawLimit() {
    constexpr std::array<unsigned, 8> Limits = {0, 0, 1, 2, 3, 5, 20, 50};
    return Limits[m_Random() % Limits.size()];
  }

  void heal() {
    m_StoreLink.setFault(LinkFault::None);
    m_Store.setDown(false);
    m_Ledger.setCrashingPart(0);
    for (auto &Each : m_Targets) {
      Each->setLinkFault(LinkFault::None);
      Each->setSpoiled(0);
      Each->setOdd(0);
      Each->announce(false);
    }
  }

  const Options &m_Options;
  std::uint64_t m_Seed;
  std::mt19937_64 m_Random;
  SoakLedger m_Ledger;
  SoakStore m_Store;
  FaultProxy m_StoreLink{"127.0.0.1", "127.0.0.1", m_Store.port()};
  std::vector<std::unique_ptr<SoakTarget>> m_Targets;
  std::vector<std::unique_ptr<SoakTarget>> m_DeskTargets; ///< Without faults.
  std::vector<std::unique_ptr<SoakDaemon>> m_Daemons;
  std::atomic<unsigned> m_Generation{0};
  std::atomic<bool> m_Calm{false};
  std::atomic<bool> m_Stopped{false};
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"Randomized fault soak of mangodeck-front"};
  Options Chosen;
  App.add_option("--front", Chosen.Front, "Program of the daemon");
  App.add_option("--folder", Chosen.Folder, "Folder for settings and logs");
  App.add_option("--seed", Chosen.Seed, "First seed");
  App.add_option("--seeds", Chosen.Seeds, "Number of seeds");
  App.add_option("--seconds", Chosen.Seconds, "Length of a run")
      ->check(CLI::Range(1, 600));
  App.add_option("--daemons", Chosen.Daemons, "Processes")
      ->check(CLI::Range(1, 200));
  App.add_option("--targets", Chosen.Targets, "Stand-in targets")
      ->check(CLI::Range(1, 100));
  App.add_option("--callers", Chosen.Callers, "Callers")
      ->check(CLI::Range(1, 400));
  App.add_option("--subnet", Chosen.Subnet, "Third part of the addresses")
      ->check(CLI::Range(1, 254));
  App.add_flag("--keep-ids", Chosen.KeepIds,
               "Targets keep their id when they change their version");
  App.add_flag("--clock-steps", Chosen.ClockSteps,
               "Steps of the clock with kills are the only faults");
  bool PlaysRollouts = false;
  App.add_flag("--rollouts", PlaysRollouts,
               "Play orders for good and bad versions, with faults in between");
  bool PlaysChanges = false;
  App.add_flag("--changes", PlaysChanges,
               "Play changes of the configuration in series, while the store "
               "does not serve some daemons");
  bool FewServed = false;
  App.add_flag("--few-served", FewServed,
               "With --changes, the store serves two daemons only at times");
  App.add_flag("--impatient", Chosen.Impatient,
               "Callers return at once after a refusal");
  App.add_option("--odd-answers", Chosen.OddPercent,
                 "Answers that break a rule of HTTP, in percent")
      ->check(CLI::Range(0, 100));
  CLI11_PARSE(App, Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  unsigned Failed = 0;
  for (unsigned I = 0; I < Chosen.Seeds; ++I) {
    const auto Seed = Chosen.Seed + I;
    const auto Broken =
        PlaysChanges
            ? playChanges({Chosen.Front, Chosen.Folder, Seed, Chosen.Daemons,
                           Chosen.Seconds, Chosen.Subnet, FewServed})
        : PlaysRollouts ? playRollouts({Chosen.Front, Chosen.Folder, Seed,
                                        Chosen.Daemons, Chosen.Subnet})
                        : Soak(Chosen, Seed).run();
    for (const auto &What : Broken)
      fmt::print("seed {}: broken: {}\n", Seed, What);
    Failed += Broken.empty() ? 0 : 1;
  }
  fmt::print("{} passed, {} failed\n", Chosen.Seeds - Failed, Failed);
  return Failed == 0 ? 0 : 1;
}
