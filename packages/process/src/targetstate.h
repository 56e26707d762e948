#ifndef MANGODECK_PROCESS_TARGETSTATE_H
#define MANGODECK_PROCESS_TARGETSTATE_H

#include "enginespeed.h"
#include "targethealth.h"
#include "targetlimit.h"

#include "mangodeck/request/targetreport.h"
#include "mangodeck/request/ticket.h"
#include "mangodeck/version/snapshot.h"

#include <deque>
#include <unordered_map>

namespace mangodeck {

/// Work that a grant puts on a target.
struct GrantedWork {
  TokenCount PrefillTokens = 0; ///< Prompt tokens that are not believed cached.
  /// KV tokens when the answer is complete, without the common prefix.
  TokenCount KvTokens = 0;
  /// The common prefix, which running sequences share; 0 for none.
  std::uint64_t PrefixId = 0;
  TokenCount PrefixKvTokens = 0;
};

/// The KV tokens of a request, all of its prompt still to be filled.
GrantedWork workOf(const Ticket &Request);

/// What a dispatch group knows of one target.
class TargetState {
public:
  explicit TargetState(const Target &Record);

  void configure(const Target &Record);
  void removeFromConfig() { m_Configured = false; }

  /// A target may be granted work: configured, up, not leaving.
  bool isUsable(TimePoint Now) const;

  /// A usable target that has room for one more sequence.
  bool hasFreeSequence(TimePoint Now) const;
  bool fits(const GrantedWork &Work) const;

  /// Whether \p Work would ever fit, with nothing else running.
  bool fitsWhenEmpty(const GrantedWork &Work) const;

  /// Books a grant. Returns the delay that the prefill of earlier grants is
  /// expected to cause.
  Duration addGrant(const GrantedWork &Work, TimePoint Now);
  void removeGrant(const GrantedWork &Work, TimePoint Now);

  /// Takes a report over. Returns false if it is older than what is known.
  bool applyReport(const LoadReport &Report, TimePoint Now);

  /// The target leaves with incarnation \p Started (0: the present one); it
  /// stays leaving until a later incarnation is seen.
  void markLeaving(Incarnation Started);
  void markDown(TimePoint Now);

  /// Does not use the target until \p Until.
  void backOff(TimePoint Until);

  /// Ends the present life of the target; grants belong to a life.
  void beginGeneration() { ++m_Life; }

  /// Time that the prefill granted before is expected to take still.
  Duration pendingPrefillTime(TimePoint Now) const;

  /// Time until the first token of a request with \p Prefill tokens to fill.
  Duration expectedTimeToFirstToken(TokenCount PrefillTokens,
                                    TimePoint Now) const;

  /// Expected time between two output tokens with one more sequence, relative
  /// to an idle target; less is better.
  double loadScore() const;

  std::uint32_t freeSequences() const;
  std::uint32_t runningSequences() const { return m_Sequences + m_Foreign; }
  std::uint32_t ownSequences() const { return m_Sequences; }
  TokenCount ownKvTokens() const { return m_Kv; }
  TokenCount kvTokenLimit() const;
  const TargetName &name() const { return m_Record.Name; }
  const Target &record() const { return m_Record; }
  Incarnation incarnation() const { return m_Incarnation; }
  std::uint64_t generation() const { return m_Life; }
  bool isLeaving() const;
  bool isDown() const { return m_Down; }
  bool isConfigured() const { return m_Configured; }

  /// Nothing was granted for a while and nothing runs.
  bool isIdle(TimePoint Now) const;

  EngineSpeed Speed;
  TargetLimit Limit;
  TargetHealth Health;

private:
  struct Change {
    TimePoint At;
    std::uint32_t Sequences;
    TokenCount KvTokens;
  };

  struct SharedPrefix {
    std::uint32_t Users = 0;
    TokenCount KvTokens = 0;
  };

  void noteChange(TimePoint Now);
  Change ownAt(TimePoint Time) const;

  Target m_Record;
  bool m_Configured = true;
  bool m_Down = false;
  TimePoint m_DownSince{};
  TimePoint m_BackOffUntil{};
  Incarnation m_Incarnation = 0;
  bool m_Leaving = false;
  Incarnation m_LeavingThrough = 0;
  std::uint64_t m_Life = 1;
  std::uint32_t m_Sequences = 0;
  TokenCount m_Kv = 0;
  TimePoint m_LastGrant{};
  TimePoint m_PrefillUntil{}; ///< When granted prefill is expected to end.
  std::uint32_t m_Foreign = 0;
  TokenCount m_ForeignKv = 0;
  TokenCount m_ReportedKvTotal = 0;
  std::deque<Change> m_Changes;
  std::unordered_map<std::uint64_t, SharedPrefix> m_Prefixes;
};

} // namespace mangodeck

#endif
