#include "watchedprocess.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace mangodeck::crowd {

namespace {

/// Period of the measurements. At 400 MB/s, 4 MB are received meanwhile.
constexpr std::chrono::milliseconds SamplePeriod{10};

std::size_t residentBytes(pid_t Process) {
  std::ifstream File(fmt::format("/proc/{}/statm", Process));
  std::size_t Size = 0;
  std::size_t Resident = 0;
  File >> Size >> Resident;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t countDescriptors(pid_t Process) {
  std::error_code Error;
  std::size_t Count = 0;
  for (std::filesystem::directory_iterator
           At(fmt::format("/proc/{}/fd", Process), Error),
       End;
       !Error && At != End; At.increment(Error))
    ++Count;
  return Count;
}

/// Bytes that connections with the local address \p Ip have received and whose
/// process has not read.
std::size_t unreadBytes(const std::string &Ip) {
  const auto Local = fmt::format("{:08X}:", ::inet_addr(Ip.c_str()));
  std::FILE *File = std::fopen("/proc/net/tcp", "r");
  if (!File)
    return 0;
  std::size_t Sum = 0;
  std::array<char, 512> Line{};
  while (std::fgets(Line.data(), Line.size(), File)) {
    // Number, local and remote address, state, tx_queue:rx_queue. The queue of
    // a listener (state 0A) counts connections.
    std::array<char, 32> Address{};
    unsigned State = 0;
    unsigned long Unread = 0;
    if (std::sscanf(Line.data(), " %*d: %31s %*s %x %*x:%lx", Address.data(),
                    &State, &Unread) == 3 &&
        State != 0x0A && std::strncmp(Address.data(), Local.c_str(), 9) == 0)
      Sum += Unread;
  }
  std::fclose(File);
  return Sum;
}

} // namespace

WatchedProcess::WatchedProcess(std::vector<std::string> Words,
                               const std::string &LogPath, std::string Ip,
                               std::size_t LimitBytes,
                               std::size_t MaxDescriptors)
    : m_Ip(std::move(Ip)), m_LimitBytes(LimitBytes) {
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  for (const int Descriptor : {1, 2})
    posix_spawn_file_actions_addopen(&Actions, Descriptor, LogPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
  std::vector<char *> Arguments;
  for (auto &Word : Words)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  // The limit is inherited, so that it holds from the first statement on.
  rlimit Before{};
  ::getrlimit(RLIMIT_NOFILE, &Before);
  const rlimit Lowered{MaxDescriptors, Before.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &Lowered);
  if (posix_spawn(&m_Process, Words.front().c_str(), &Actions, nullptr,
                  Arguments.data(), environ) != 0)
    m_Process = 0;
  ::setrlimit(RLIMIT_NOFILE, &Before);
  posix_spawn_file_actions_destroy(&Actions);
  m_Watcher = std::thread([this] { watch(); });
}

WatchedProcess::~WatchedProcess() {
  m_Stopped = true;
  m_Watcher.join();
  signal(SIGKILL);
  join(std::chrono::seconds(5));
}

void WatchedProcess::watch() {
  for (; !m_Stopped; std::this_thread::sleep_for(SamplePeriod)) {
    const auto Resident = residentBytes(m_Process);
    const auto Used = Resident + unreadBytes(m_Ip);
    m_PeakResidentBytes = std::max(m_PeakResidentBytes.load(), Resident);
    m_PeakBytes = std::max(m_PeakBytes.load(), Used);
    m_PeakDescriptors =
        std::max(m_PeakDescriptors.load(), countDescriptors(m_Process));
    if (Used > m_LimitBytes && !m_IsKilled.exchange(true))
      signal(SIGKILL);
  }
}

void WatchedProcess::signal(int Number) const {
  if (m_Process > 0)
    ::kill(m_Process, Number);
}

bool WatchedProcess::isRunning() {
  if (m_Process > 0 && ::waitpid(m_Process, nullptr, WNOHANG) == m_Process)
    m_Process = 0;
  return m_Process > 0;
}

bool WatchedProcess::join(std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (isRunning()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(SamplePeriod);
  }
  return true;
}

ProcessUsage WatchedProcess::usage() const {
  return {m_PeakBytes, m_PeakResidentBytes, m_PeakDescriptors, m_IsKilled};
}

} // namespace mangodeck::crowd
