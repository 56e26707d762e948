#ifndef MANGODECK_GATEWAY_CRASHCAUSES_H
#define MANGODECK_GATEWAY_CRASHCAUSES_H

#include "mangodeck/common/units.h"
#include "mangodeck/gateway/crashevidence.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// Finds what crashes every target that begins to answer a request with it: a
/// part of the prompt, whatever else the request holds, or the whole request,
/// which callers send again.
///
/// At a crash, all possible causes of each request that was at the target
/// without an answer are suspects: that covers the cause, but also first parts
/// that many callers share, and requests that only ran beside. What tells them
/// apart is that the cause is never answered. An answer that has begun after a
/// crash, while its target went on, refutes all its possible causes for that
/// crash. Of the suspects that are left, and first of those that were never
/// answered, the one in most crashes explains these, so that no other is
/// suspected for them; those that occur in exactly the same crashes are refused
/// only together, since any of them may be sound.
///
/// Daemons exchange their evidence: sightings and refutations are only ever
/// added, so it does not matter in which order or how often they arrive. The
/// refusals follow from the evidence alone.
///
/// A cause is refused for a time that grows with its crashes. Then the daemons
/// try it one after the other, in an order that their names decide: one further
/// crash renews the refusal everywhere, one answer ends it.
///
/// Memory and messages are bounded by the constants of the source file; the
/// cost does not depend on the number of daemons.
class CrashCauses {
public:
  /// \p Vm decides when this daemon tries a refused cause again.
  explicit CrashCauses(std::string_view Vm);

  /// Time for which a crash has no effect, so that refutations of other daemons
  /// can arrive.
  void setSettleTime(Duration Time) { m_SettleTime = Time; }

  /// A target crashed while it had a request without an established answer.
  /// \p Fingerprint identifies the request and is one of its \p Causes.
  void recordCrash(std::uint64_t Crash, CauseId Fingerprint,
                   std::span<const CauseId> Causes, TimePoint CrashedAt,
                   TimePoint Now);
  /// A target has answered a request with \p Causes and went on. \p Begun is
  /// the time at which the answer began.
  void recordSoundAnswer(std::span<const CauseId> Causes, TimePoint Begun,
                         TimePoint Now);
  /// Adds the evidence of another daemon.
  void merge(std::span<const CauseEvidence> Reported, TimePoint Now);
  /// What has to be reported to other daemons: changes of the last seconds,
  /// and, every RefreshPeriod, all evidence that refusals depend on.
  std::vector<CauseEvidence> takeReport(TimePoint Now);

  /// Causes that are refused when a request has all of them.
  struct Refusal {
    std::vector<CauseId> Causes; ///< Sorted.
    std::size_t Crashes = 0;
    TimePoint LastCrashAt{};
    /// From this time on, this daemon tries requests with them.
    TimePoint TryAfter{};
    /// Whether a request with the causes \p Of, sorted, has all of them.
    bool covers(std::span<const CauseId> Of) const;
  };
  /// Updates the refusals from the evidence; true if the refused causes have
  /// changed. Forgets old evidence.
  bool update(TimePoint Now);
  std::span<const Refusal> refusals() const { return m_Refusals; }
  /// Whether a request with \p Causes, which are sorted, must not be sent.
  bool isRefused(std::span<const CauseId> Causes, TimePoint Now) const;
  /// Time until this daemon may accept a new request with \p Causes;
  /// std::nullopt if it accepts this one, by which it may try refused causes.
  std::optional<Duration> refuseNew(std::span<const CauseId> Causes,
                                    TimePoint Now);
  /// Whether a request with \p Causes that was at a crashed target must not be
  /// sent to another one.
  bool isRepeatRefused(std::span<const CauseId> Causes, TimePoint Now) const;
  /// Number of possible causes with evidence.
  std::size_t suspectCount() const { return m_Suspects.size(); }

private:
  struct Sighting {
    std::uint64_t Crash = 0;
    std::uint64_t Request = 0;
    TimePoint At{};
    bool Refuted = false;
  };
  struct Suspect {
    bool KnownSound = false;
    std::vector<Sighting> Sightings; ///< At most MaxSightingsPerCause.
    TimePoint ChangedAt{};
  };
  /// A suspect with the crashes that no refused cause explains.
  struct Candidate {
    CauseId Cause = 0;
    bool KnownSound = false;
    std::vector<std::uint64_t> Crashes; ///< Sorted.
    std::size_t SettledCrashes = 0;
    std::size_t Requests = 0; ///< Distinct requests in Crashes.
    TimePoint LastCrashAt{};
  };

  /// The entry of \p Cause, made if there is none.
  Suspect &suspect(CauseId Cause, TimePoint Now);
  /// Adds a sighting or merges it with that of the same crash; true if that
  /// changed anything.
  static bool addSighting(Suspect &Entry, const Sighting &Seen);
  void rememberSound(std::span<const CauseId> Causes, TimePoint Begun);
  void forgetOld(TimePoint Now);
  std::optional<Candidate>
  makeCandidate(CauseId Cause, const Suspect &Entry,
                std::span<const std::uint64_t> Explained, TimePoint Now) const;
  Refusal makeRefusal(const Candidate &Best, std::vector<CauseId> Causes) const;

  std::uint64_t m_OrderSeed;
  Duration m_SettleTime{1s};
  std::map<CauseId, Suspect> m_Suspects;
  /// Begin of the last answer to a request with a possible cause.
  std::unordered_map<CauseId, TimePoint> m_SoundAt;
  std::vector<Refusal> m_Refusals;
  /// When this daemon last tried a refused cause.
  std::map<CauseId, TimePoint> m_TriedAt;
  TimePoint m_RefreshedAt{};
};

} // namespace mangodeck

#endif
