#ifndef MANGODECK_REPLAY_ENGINEMODEL_H
#define MANGODECK_REPLAY_ENGINEMODEL_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/random.h"
#include "mangodeck/common/units.h"
#include "mangodeck/request/targetreport.h"
#include "mangodeck/version/snapshot.h"

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mangodeck {

/// Speed of a hardware generation.
struct EngineProfile {
  double PrefillTokensPerSecond = 5000;
  Duration StepBase{0};         ///< Of one decode step.
  Duration StepPerSequence{0};  ///< Added for each sequence in the batch.
  TokenCount ChunkTokens = 256; ///< Prefill tokens in one step, at most.

  Duration stepTime(std::size_t Decoding, TokenCount Prefill) const;
};

/// The profile of \p Generation; that of "gen-2" for an unknown one.
EngineProfile profileOf(std::string_view Generation);

/// A request as the engine sees it.
struct EngineRequest {
  RequestId Id;
  TokenCount Prompt = 0;
  TokenCount Output = 0;
  std::vector<std::uint64_t> PrefixBlocks;
  TokenCount TokensPerBlock = 0;
  Duration Work{0}; ///< Of a plain service's call.
  bool Poison = false;
};

/// Prefill work that one request caused.
struct PrefillUse {
  TokenCount Prefilled = 0;
  TokenCount Cached = 0;
  TokenCount Evicted = 0;   ///< Of Prefilled: was cached here before.
  TokenCount Duplicate = 0; ///< Of Prefilled: was computed by another target.
};

/// What happened in one step of an engine.
struct EngineEvent {
  enum class Kind : std::uint8_t { FirstToken, Completed, Crashed };
  Kind What = Kind::Completed;
  RequestId Request;
};

/// Prefix blocks that any target of a service has computed.
using ComputedBlocks = std::unordered_set<std::uint64_t>;

/// A model of one target: continuous batching with chunked prefill, requests
/// admitted as they come, prefix blocks that running sequences share and that
/// stay cached in the KV memory which they leave free. A plain service runs
/// calls side by side. Virtual time is driven by the caller, who calls step()
/// at the time that begin() gave.
class EngineModel {
public:
  EngineModel(const Target &Record, ServiceKind Kind, ComputedBlocks &Computed);

  void admit(EngineRequest Request);

  /// Ends a request. Returns what it had used; std::nullopt if it is unknown.
  std::optional<PrefillUse> cancel(const RequestId &Id);

  /// Starts the next step, unless one is going on or nothing is to be done.
  /// Returns how long it takes.
  std::optional<Duration> begin();

  /// Ends the step that was begun.
  std::vector<EngineEvent> step();

  /// Loses all requests and the cache; returns the requests with their use.
  std::vector<std::pair<RequestId, PrefillUse>> crash();

  void setSlowness(double Factor) { m_Slowness = Factor; }
  PrefillUse useOf(const RequestId &Id) const;
  LoadReport load() const;

  /// Takes the changes of the cache since the last call.
  CacheEvent takeCacheChanges();

  Incarnation incarnation() const { return m_Incarnation; }
  std::size_t inProgress() const { return m_Running.size() + m_Queue.size(); }

private:
  struct Sequence {
    EngineRequest Request;
    PrefillUse Use;
    TokenCount PrefillLeft = 0;
    TokenCount Produced = 0;
    TokenCount PrivateKv = 0; ///< Not shared with other sequences.
    std::vector<std::uint64_t> Pinned;
  };

  /// A block in the KV memory. Blocks that running sequences use are pinned
  /// and are no part of the order of eviction.
  struct CacheEntry {
    std::list<std::uint64_t>::iterator Position;
    TokenCount Tokens = 0;
    std::uint32_t Pins = 0;
  };

  void admitWaiting();
  void startSequence(EngineRequest Request);
  void usePrefix(Sequence &Item);
  void storePrefix(Sequence &Item);
  void storeTail(const Sequence &Item);
  void store(std::uint64_t Block, TokenCount Tokens);
  void pin(std::uint64_t Block, Sequence &Item);
  void unpin(std::uint64_t Block);
  void evict();
  TokenCount newKvOf(const EngineRequest &Request) const;

  Target m_Record;
  ServiceKind m_Kind;
  ComputedBlocks &m_Computed;
  EngineProfile m_Profile;
  double m_Slowness = 1;
  Incarnation m_Incarnation = 1;
  bool m_Stepping = false;
  Duration m_StepTime{0};
  TokenCount m_PrivateKv = 0;
  TokenCount m_PinnedKv = 0;
  std::deque<EngineRequest> m_Queue;
  std::vector<Sequence> m_Running;
  std::unordered_map<std::uint64_t, CacheEntry> m_Cache;
  std::list<std::uint64_t> m_CacheByUse; ///< Least recently used first.
  std::list<std::uint64_t> m_Pinned;
  TokenCount m_CacheTokens = 0;
  std::unordered_set<std::uint64_t> m_OwnComputed;
  std::vector<std::uint64_t> m_Stored;
  std::vector<std::uint64_t> m_Evicted;
  std::uint64_t m_CacheSequence = 0;
};

} // namespace mangodeck

#endif
