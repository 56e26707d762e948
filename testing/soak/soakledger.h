#ifndef MANGODECK_SOAK_SOAKLEDGER_H
#define MANGODECK_SOAK_SOAKLEDGER_H

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
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

  /// Requests with prompt part \p Part crash the targets that run them from now
  /// on; 0 ends that.
  void setCrashingPart(std::uint64_t Part);
  std::uint64_t crashingPart();
  /// A target that ran \p Running ended because of the part.
  void noteCrash(const std::set<std::string> &Running);
  /// A target that ran \p Running ended.
  void noteBrokenOff(const std::set<std::string> &Running);
  /// Whether the target that ran a request has ended.
  bool isBrokenOff(const std::string &Id);
  /// Request \p Id with the part reaches a target. \p Calm: no fault excuses
  /// that.
  void noteCrashingArrival(const std::string &Id, bool Calm);
  /// A caller of a sound request got \p Body.
  void noteSoundAnswer(const std::string &Body);

  /// A target serves any number of requests at \p Version from now on; empty:
  /// it does not.
  void noteServing(const std::string &Target, const std::string &Version);
  /// A new stream began, or did not.
  void noteNewStream(bool Begun);
  /// A stream that holds events of \p Version was taken up at a daemon that has
  /// run for long, and went on or did not. Not counted unless two targets of
  /// the version serve.
  void noteTakenUp(const std::string &Version, bool GoneOn);

  /// The caller of request \p Id got an answer that states the rate limit of
  /// \p Target, which names one start of a target and one limit.
  void noteLimitPassedOn(const std::string &Id, const std::string &Target);
  /// When the daemon of request \p Id first passed on such an answer;
  /// std::nullopt if it has not.
  std::optional<Clock::time_point> limitToldAt(const std::string &Id,
                                               const std::string &Target);
  /// A daemon is excused from rate limits until \p Until: it was suspended.
  void excuse(const std::string &Daemon, Clock::time_point Until);
  /// Whether the daemon of request \p Id is excused now.
  bool isExcused(const std::string &Id);

  /// Compares promises with runs; call when nothing runs any longer.
  std::vector<std::string> verdict();
  /// Streams that were taken up, and those that went on, in words.
  std::string streamFigures() const;
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
  std::map<std::string, Clock::time_point> m_DaemonSeenAt; ///< First request.
  /// By daemon and target.
  std::map<std::pair<std::string, std::string>, Clock::time_point> m_LimitTold;
  std::map<std::string, Clock::time_point> m_ExcusedUntil; ///< By daemon.
  std::set<std::string> m_BrokenOff;
  std::uint64_t m_CrashingPart = 0;
  unsigned m_Crashes = 0; ///< Because of m_CrashingPart.
  Clock::time_point m_FifthCrashAt{};
  unsigned m_LateArrivals = 0;
  unsigned m_SoundAnswers = 0;
  unsigned m_SoundRefused = 0; ///< As if they had the part.
  std::map<std::string, std::string> m_VersionByTarget; ///< That serve.
  unsigned m_NewStreams = 0;
  unsigned m_BegunStreams = 0;
  unsigned m_TakenUp = 0;
  unsigned m_GoneOn = 0;
  std::vector<std::string> m_Broken;
  std::uint64_t m_Asked = 0;
  std::uint64_t m_Answered = 0;
};

} // namespace mangodeck::soak

#endif
