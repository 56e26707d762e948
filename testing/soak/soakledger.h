#ifndef MANGODECK_SOAK_SOAKLEDGER_H
#define MANGODECK_SOAK_SOAKLEDGER_H

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace mangodeck::soak {

using Clock = std::chrono::steady_clock;

/// What callers and targets saw, and which promises it breaks.
class SoakLedger {
public:
  /// A caller sends a request to a daemon. \p Daemon differs between the
  /// starts of a daemon.
  void noteSent(const std::string &Id, const std::string &Daemon);
  /// The daemon that a request was sent to; empty if unknown.
  std::string daemonOf(const std::string &Id);
  /// A target began to run a request.
  void noteRun(const std::string &Id, bool MayRepeat);
  /// Whether a target has begun to run a request.
  bool hasRun(const std::string &Id);
  /// A caller was told that its request has not run.
  void notePromise(const std::string &Id);
  void noteAnswer() { count(m_Answered); }
  void noteAsked() { count(m_Asked); }
  void noteBroken(const std::string &What);

  /// Compares promises with runs; call when nothing runs any longer.
  std::vector<std::string> verdict();
  std::uint64_t asked() const { return m_Asked; }
  std::uint64_t answered() const { return m_Answered; }

private:
  void count(std::uint64_t &Counter);
  struct Run {
    unsigned Count = 0;
    bool MayRepeat = false;
  };
  std::mutex m_Mutex;
  std::map<std::string, Run> m_Runs;
  std::set<std::string> m_Promised;
  std::map<std::string, std::string> m_DaemonByRequest;
  std::vector<std::string> m_Broken;
  std::uint64_t m_Asked = 0;
  std::uint64_t m_Answered = 0;
};

} // namespace mangodeck::soak

#endif
