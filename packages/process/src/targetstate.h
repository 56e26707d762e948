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

/// The work that one granted request puts on a target.
struct GrantedWork {
  TokenCount PrefillTokens = 0; ///< Prompt tokens not expected in the cache.
  /// KV tokens held when the answer is complete, without the common prefix.
  TokenCount KvTokens = 0;
  /// Hash of the last block of the prompt prefix whose KV tokens the running
  /// sequences with the same prefix share; 0 for none.
  std::uint64_t PrefixId = 0;
  TokenCount PrefixKvTokens = 0;
};

/// The work of \p Request on a target that has none of its prompt cached.
GrantedWork workOf(const Ticket &Request);

/// The state of one target as its dispatch group sees it: configuration, load
/// from own grants and from load reports, health and speed.
class TargetState {
public:
  explicit TargetState(const Target &Record);

  void configure(const Target &Record);
  void removeFromConfig() { m_Configured = false; }

  /// Whether the target may be granted work: it is configured, up, not leaving,
  /// not in a backoff and not ejected.
  bool isUsable(TimePoint Now) const;

  /// Whether the target is usable and may run one more sequence.
  bool hasFreeSequence(TimePoint Now) const;

  /// Whether the KV cache has space for \p Work beside the current load; true
  /// if the size of the cache is unknown.
  bool fits(const GrantedWork &Work) const;

  /// Whether \p Work would fit with nothing else running.
  bool fitsWhenEmpty(const GrantedWork &Work) const;

  /// Adds a grant to the load. Returns the delay expected from the prefill of
  /// earlier grants.
  Duration addGrant(const GrantedWork &Work, TimePoint Now);
  void removeGrant(const GrantedWork &Work, TimePoint Now);

  /// Applies a load report. Returns false and changes nothing if the report is
  /// outdated: made before the target went down or, while the target is up,
  /// sent by an earlier incarnation.
  bool applyReport(const LoadReport &Report, TimePoint Now);

  /// Marks incarnation \p Started and all earlier ones as leaving; 0 stands for
  /// the current incarnation or, if none is known yet, the next to report. A
  /// report of a later incarnation ends the state.
  void markLeaving(Incarnation Started);
  void markDown(TimePoint Now);

  /// Makes the target unusable until \p Until, or until the end of an earlier
  /// backoff if that is later.
  void backOff(TimePoint Until);

  /// Starts a new generation after a crash or restart. A grant records the
  /// generation it was made in, so that the failures and measurements of an
  /// earlier generation can be told apart.
  void beginGeneration() { ++m_Generation; }

  /// Remaining time expected for the prefill of the grants made so far.
  Duration pendingPrefillTime(TimePoint Now) const;

  /// Expected time until the first token of a request with \p Prefill tokens to
  /// prefill, including the prefill of earlier grants.
  Duration expectedTimeToFirstToken(TokenCount PrefillTokens,
                                    TimePoint Now) const;

  /// Score to compare targets by load; lower is better. The mean token gap in
  /// seconds, times 1 plus the share of the maximum sequences that would run
  /// after one more grant.
  double loadScore() const;

  std::uint32_t freeSequences() const;
  std::uint32_t runningSequences() const {
    return m_OwnSequences + m_ForeignSequences;
  }
  std::uint32_t ownSequences() const { return m_OwnSequences; }
  TokenCount ownKvTokens() const { return m_OwnKvTokens; }
  TokenCount kvTokenLimit() const;
  const TargetName &name() const { return m_Record.Name; }
  const Target &record() const { return m_Record; }
  Incarnation incarnation() const { return m_Incarnation; }
  std::uint64_t generation() const { return m_Generation; }
  bool isLeaving() const;
  bool isDown() const { return m_Down; }
  bool isConfigured() const { return m_Configured; }

  /// Whether no own grant runs and the last one was made at least IdleTimeout
  /// ago.
  bool isIdle(TimePoint Now) const;

  EngineSpeed Speed;
  TargetLimit Limit;
  TargetHealth Health;

private:
  /// Load from own grants, from \c Since on.
  struct OwnLoad {
    TimePoint Since;
    std::uint32_t Sequences;
    TokenCount KvTokens;
  };

  /// A prefix whose KV tokens several running sequences share.
  struct SharedPrefix {
    std::uint32_t Sequences = 0;
    TokenCount KvTokens = 0;
  };

  void recordOwnLoad(TimePoint Now);
  OwnLoad ownLoadAt(TimePoint Time) const;

  Target m_Record;
  bool m_Configured = true;
  bool m_Down = false;
  TimePoint m_DownSince{};
  TimePoint m_BackOffUntil{};
  Incarnation m_Incarnation = 0;
  bool m_Leaving = false;
  Incarnation m_LastLeavingIncarnation = 0;
  std::uint64_t m_Generation = 1;
  std::uint32_t m_OwnSequences = 0;
  TokenCount m_OwnKvTokens = 0;
  TimePoint m_LastGrant{};
  TimePoint m_PrefillEndsAt{}; ///< Expected end of the prefill granted so far.
  /// Load of other dispatchers: what the last report showed beyond own grants.
  std::uint32_t m_ForeignSequences = 0;
  TokenCount m_ForeignKvTokens = 0;
  TokenCount m_ReportedKvTotal = 0;
  std::deque<OwnLoad> m_OwnLoadHistory;
  std::unordered_map<std::uint64_t, SharedPrefix> m_Prefixes;
};

} // namespace mangodeck

#endif
