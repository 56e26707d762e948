#include "soakfleet.h"

#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>

extern char **environ;

namespace mangodeck::soak {

namespace {

constexpr std::uint16_t CallerPort = 18221;
constexpr std::uint16_t ReadyPort = 18224;
constexpr std::uint16_t PeerPort = 18600;
/// Time from SIGTERM that a daemon is given, in seconds.
constexpr int GraceSeconds = 5;

} // namespace

SoakDaemon::SoakDaemon(std::string Program, std::string Folder, std::string Ip,
                       std::string Domain, std::uint16_t StorePort,
                       bool HasRollouts)
    : m_Program(std::move(Program)), m_Folder(Folder + "/" + Ip),
      m_Ip(std::move(Ip)), m_CallerPort(CallerPort) {
  std::ofstream(m_Folder + ".toml") << fmt::format(
      "NodeName = \"{0}\"\nIp = \"{0}\"\nZone = \"{1}\"\n{8}"
      "PortRange = [{2}, {3}]\n[Listen]\nFront = \"{0}:{4}\"\n"
      "Ready = \"{0}:{5}\"\n[Limits]\nMemoryMb = 128\n[Bounds]\nGraceS = {6}\n"
      "ConfigApplyMs = 2000\nDrainMs = 2000\n"
      "RetryBudgetRatio = 0.2\nBudgetSlack = 56\nBudgetWindowS = 10\n"
      "ExposureShare = 0.1\nExposureSlack = 50\nRollbackMs = 5000\n"
      "ContactMs = 4000\nOuterBoundMs = 6000\n"
      "[Platform]\nAddress = \"127.0.0.1:{7}\"\n",
      m_Ip, Domain, PeerPort, PeerPort + 15, CallerPort, ReadyPort,
      GraceSeconds, StorePort,
      HasRollouts ? "Contracts = [\"rollout\"]\n" : "");
}

SoakDaemon::~SoakDaemon() {
  signal(SIGCONT);
  signal(SIGKILL);
  join(std::chrono::seconds(2));
}

void SoakDaemon::start(std::chrono::milliseconds ClockOffset) {
  const auto Settings = m_Folder + ".toml";
  const auto Log = m_Folder + ".log";
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 1, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_addopen(&Actions, 2, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  // An inherited socket would stay open after this program has closed it.
  posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
  std::vector<std::string> Words = {m_Program, "--settings", Settings,
                                    "--wall-clock-offset-ms",
                                    std::to_string(ClockOffset.count())};
  std::vector<char *> Arguments;
  for (auto &Word : Words)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  if (posix_spawn(&m_Process, m_Program.c_str(), &Actions, nullptr,
                  Arguments.data(), environ) != 0)
    m_Process = 0;
  posix_spawn_file_actions_destroy(&Actions);
  m_PlannedStop = false;
  m_StartedAt = std::chrono::steady_clock::now().time_since_epoch().count();
  ++m_Incarnation;
}

void SoakDaemon::signal(int Number) {
  if (m_Process > 0)
    ::kill(m_Process, Number);
}

bool SoakDaemon::isListening() const {
  asio::io_context Loop;
  Socket Probe(Loop);
  std::error_code Error;
  Probe.connect({asio::ip::make_address(m_Ip), ReadyPort}, Error);
  return !Error;
}

std::optional<std::string> SoakDaemon::endedByItself() {
  int Status = 0;
  if (m_Process <= 0 || ::waitpid(m_Process, &Status, WNOHANG) != m_Process)
    return std::nullopt;
  m_Process = 0;
  return WIFSIGNALED(Status) ? fmt::format("signal {}", WTERMSIG(Status))
                             : fmt::format("exit {}", WEXITSTATUS(Status));
}

std::string SoakDaemon::readState() const {
  std::string Found;
  std::ifstream Status(fmt::format("/proc/{}/status", m_Process));
  for (std::string Line; std::getline(Status, Line);)
    for (const auto *Name : {"State:", "Threads:", "SigPnd:", "ShdPnd:",
                             "SigBlk:", "SigIgn:", "SigCgt:"})
      if (Line.starts_with(Name))
        Found += Line + "; ";
  std::ifstream Stat(fmt::format("/proc/{}/stat", m_Process));
  std::ifstream Channel(fmt::format("/proc/{}/wchan", m_Process));
  std::string Times, Waits;
  std::getline(Stat, Times);
  std::getline(Channel, Waits);
  return fmt::format("{}{}; waits in {}", Found, Times, Waits);
}

bool SoakDaemon::join(std::chrono::milliseconds Limit) {
  const auto End = Clock::now() + Limit;
  while (m_Process > 0 && Clock::now() < End) {
    if (::waitpid(m_Process, nullptr, WNOHANG) == m_Process) {
      m_Process = 0;
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  if (m_Process <= 0)
    return true;
  m_StateAtKill = readState();
  signal(SIGKILL);
  ::waitpid(m_Process, nullptr, 0);
  m_Process = 0;
  return false;
}

} // namespace mangodeck::soak
