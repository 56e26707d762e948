#ifndef MANGODECK_CROWD_WATCHEDPROCESS_H
#define MANGODECK_CROWD_WATCHEDPROCESS_H

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace mangodeck::crowd {

/// What a process has used at most, and how it ended.
struct ProcessUsage {
  std::size_t PeakBytes = 0; ///< Resident and received but not read.
  std::size_t PeakResidentBytes = 0;
  std::size_t PeakDescriptors = 0;
  bool IsKilled = false; ///< For its memory.
};

/// A daemon as a process of its own. It is killed, as on the platform, when its
/// resident memory and the bytes that its sockets have received and it has not
/// read exceed its limit together.
class WatchedProcess {
public:
  /// \p Ip is an address that no other process of this machine listens at.
  WatchedProcess(std::vector<std::string> Words, const std::string &LogPath,
                 std::string Ip, std::size_t LimitBytes,
                 std::size_t MaxDescriptors);
  ~WatchedProcess();
  WatchedProcess(const WatchedProcess &) = delete;
  WatchedProcess &operator=(const WatchedProcess &) = delete;

  void signal(int Number) const;
  /// Waits for the end of the process; false if it still runs after \p Limit.
  bool join(std::chrono::milliseconds Limit);
  bool isRunning();
  ProcessUsage usage() const;

private:
  void watch();

  std::string m_Ip;
  std::size_t m_LimitBytes;
  pid_t m_Process = 0;
  std::atomic<std::size_t> m_PeakBytes{0};
  std::atomic<std::size_t> m_PeakResidentBytes{0};
  std::atomic<std::size_t> m_PeakDescriptors{0};
  std::atomic<bool> m_IsKilled{false};
  std::atomic<bool> m_Stopped{false};
  std::thread m_Watcher;
};

} // namespace mangodeck::crowd

#endif
