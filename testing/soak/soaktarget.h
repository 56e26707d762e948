#ifndef MANGODECK_SOAK_SOAKTARGET_H
#define MANGODECK_SOAK_SOAKTARGET_H

#include "faultproxy.h"
#include "oddanswers.h"
#include "soakledger.h"
#include "soakstore.h"

#include <deque>
#include <random>

namespace mangodeck::soak {

/// A stand-in target behind a proxy. It runs plain requests and streams, and
/// can lose, garble, double, unframe or reject answers. Some answer with errors
/// as a matter of course, or begin their streams late.
class SoakTarget {
public:
  SoakTarget(std::string Id, std::string Domain, SoakLedger &Ledger,
             SoakStore &Store, const std::atomic<bool> &Calm,
             std::uint64_t Seed, bool KeepsId, std::string Service = "s");

  FaultProxy &link() { return m_Link; }
  /// Sets a fault of the link, which excuses the daemons from the rate limit
  /// until ExcuseTime after its end.
  void setLinkFault(LinkFault Fault);
  /// Share of the answers that are spoiled, in percent.
  void setSpoiled(unsigned Percent) { m_Spoiled = Percent; }
  /// Share of the answers that break a rule of HTTP, in percent.
  void setOdd(unsigned Percent) { m_Odd.setShare(Percent); }
  /// Registers as ready or draining. Ready after a time of leaving is a new
  /// start of the target.
  void announce(bool Draining);
  /// States in all answers that it leaves, until announce(false). The
  /// registration still says ready.
  void leaveByAnswers() {
    m_LeavingByAnswers = true;
    m_Ledger.noteServing(m_Id, "");
  }
  /// Rejects all requests for \p Pause with a Retry-After of that length.
  void rejectFor(std::chrono::milliseconds Pause);
  /// States in all answers that it accepts this many requests a second from all
  /// daemons; 0 ends that.
  void limitRate(unsigned PerSecond);

private:
  /// What one daemon was told by answers, by its address.
  struct Told {
    Clock::time_point LeavingSince{};
    Clock::time_point PauseSince{};
    Clock::time_point PauseUntil{};
    unsigned RequestsInPause = 0;
  };
  void registerAs(const std::string &State);
  /// Ends the process of the target, and starts another one after a moment.
  void restart();
  /// Forgets what an earlier start of the target knew.
  void startAnew();
  /// Names the current start of the target and its current rate limit.
  std::string limitName() const;
  /// Checks that the daemon which sends request \p Id heeds earlier answers.
  void checkTold(const std::string &Id);
  /// Notes what the daemon is told now of the target's leaving and rate limit.
  /// Returns the header fields that say so.
  std::string stateFields(const std::string &Id);
  /// Checks that the daemons that passed on the rate limit keep it in sum, also
  /// during faults.
  void checkRate(const std::string &Id);
  /// Rejects the request if the target rejects all; false if it does not.
  bool reject(Socket &Caller, const std::string &Id);
  void serve(Socket &Caller);
  /// Answers a request; with \p IsKept not the first one of its connection.
  /// False if the connection is to be closed.
  bool answer(Socket &Caller, const http::Request &Asked, bool IsKept);
  /// Ends the target, with all that it runs, if the request has the crashing
  /// part in its prompt; it starts again after a moment.
  bool crashOver(const http::Request &Asked, const std::string &Id);
  /// Sends the events of the stream that attempt \p First began.
  bool stream(Socket &Caller, const std::string &Head, const std::string &First,
              int After, std::chrono::milliseconds Pause);
  std::string version();
  bool isLimited();
  unsigned draw(unsigned Below);

  /// The id under which the current start is registered.
  std::string id() const;

  std::string m_Id; ///< Of the first start; names the target in the ledger.
  bool m_KeepsId;   ///< A start with another version has the same id.
  std::atomic<unsigned> m_IdNumber{0};
  std::string m_Domain;
  std::string m_Service;
  SoakLedger &m_Ledger;
  SoakStore &m_Store;
  const std::atomic<bool> &m_Calm; ///< No fault for a while.
  std::mutex m_Mutex;
  std::mt19937_64 m_Random;
  std::string m_Version; ///< Of the software of the current start.
  std::atomic<unsigned> m_Spoiled{0};
  OddAnswers m_Odd;
  std::atomic<Clock::rep> m_DrainingSince{0};
  std::atomic<Clock::rep> m_RejectUntil{0};
  std::atomic<bool> m_LeavingByAnswers{false};
  std::mutex m_RegisterMutex; ///< Held while the registration changes.
  std::atomic<std::uint64_t> m_Sequence{0};
  std::atomic<std::int64_t> m_Start{1}; ///< Number of the current start.
  std::map<std::string, Told> m_Told;   ///< By the daemon's name.
  std::set<std::string> m_Running;      ///< Requests.
  unsigned m_ErrorPercent;              ///< Of the answers.
  std::chrono::milliseconds m_HeadDelay;
  unsigned m_LimitPerSecond = 0;
  unsigned m_LimitNumber = 0; ///< Counts the changes of the rate limit.
  std::atomic<Clock::rep> m_LinkExcusedUntil{0};
  /// Arrivals within LimitWindow from daemons that passed on the rate limit.
  std::deque<Clock::time_point> m_LimitedArrivals;
  ThreadedServer m_Server;
  FaultProxy m_Link;
};

/// Time after a fault for which it excuses a daemon from a rate limit: requests
/// that it held up arrive together.
inline constexpr std::chrono::seconds ExcuseTime{4};
/// Answer header of a target that has a rate limit: names its start and limit.
inline constexpr std::string_view LimitedTargetField = "X-Limited-Target";
/// The service that serves DeskPath; no other request may run there.
inline constexpr const char *DeskService = "desk";
inline constexpr std::string_view DeskPath = "/desk/";
/// Events of every stream.
inline constexpr int StreamEvents = 12;
/// Body of the answer to a request, which tells whose it is.
std::string bodyOf(const std::string &Id);
/// An event of a stream, which tells whose it is and what wrote it.
std::string eventOf(int Number, const std::string &Stream,
                    const std::string &Version);

} // namespace mangodeck::soak

#endif
