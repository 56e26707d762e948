#include "mangodeck/replay/enginemodel.h"

#include <algorithm>
#include <cassert>

namespace mangodeck {

namespace {

constexpr TokenCount DefaultKvTokens = 65536;
constexpr Duration PlainStep = 10ms;

} // namespace

Duration EngineProfile::stepTime(std::size_t Decoding,
                                 TokenCount Prefill) const {
  return StepBase + StepPerSequence * static_cast<std::int64_t>(Decoding) +
         fromSeconds(static_cast<double>(Prefill) / PrefillTokensPerSecond);
}

EngineProfile profileOf(std::string_view Generation) {
  using std::chrono::microseconds;
  if (Generation == "gen-1")
    return {2500, 28ms, microseconds(1200), 256};
  if (Generation == "gen-3")
    return {10000, 11ms, microseconds(500), 256};
  return {5000, 18ms, microseconds(800), 256};
}

EngineModel::EngineModel(const Target &Record, ServiceKind Kind,
                         ComputedBlocks &Computed)
    : m_Record(Record), m_Kind(Kind), m_Computed(Computed),
      m_Profile(profileOf(Record.HardwareGeneration)) {
  if (m_Record.KvTokens == 0)
    m_Record.KvTokens = DefaultKvTokens;
}

/// KV tokens that a request needs beyond the blocks that are there.
TokenCount EngineModel::newKvOf(const EngineRequest &Request) const {
  TokenCount Shared = 0;
  for (const auto Block : Request.PrefixBlocks) {
    if (!m_Cache.contains(Block))
      break;
    Shared += Request.TokensPerBlock;
  }
  return Request.Prompt + Request.Output - Shared;
}

void EngineModel::admit(EngineRequest Request) {
  m_Queue.push_back(std::move(Request));
  if (!m_Stepping)
    admitWaiting();
}

/// Admits in order of arrival while the batch and the KV memory have room.
void EngineModel::admitWaiting() {
  while (!m_Queue.empty() && m_Running.size() < m_Record.MaxSequences) {
    const TokenCount Kv = newKvOf(m_Queue.front());
    if (!m_Running.empty() && m_PrivateKv + m_PinnedKv + Kv > m_Record.KvTokens)
      return;
    auto Request = std::move(m_Queue.front());
    m_Queue.pop_front();
    startSequence(std::move(Request));
  }
}

void EngineModel::startSequence(EngineRequest Request) {
  Sequence Item;
  Item.Request = std::move(Request);
  usePrefix(Item);
  Item.PrivateKv = Item.Request.Prompt + Item.Request.Output - Item.Use.Cached;
  m_PrivateKv += Item.PrivateKv;
  Item.PrefillLeft = Item.Request.Prompt - Item.Use.Cached;
  evict();
  m_Running.push_back(std::move(Item));
}

/// Finds the cached prefix and books what of the rest was computed before.
void EngineModel::usePrefix(Sequence &Item) {
  bool Matching = true;
  for (const auto Block : Item.Request.PrefixBlocks) {
    Matching = Matching && m_Cache.contains(Block);
    if (Matching) {
      pin(Block, Item);
      Item.Use.Cached += Item.Request.TokensPerBlock;
    } else if (m_OwnComputed.contains(Block)) {
      Item.Use.Evicted += Item.Request.TokensPerBlock;
    } else if (m_Computed.contains(Block)) {
      Item.Use.Duplicate += Item.Request.TokensPerBlock;
    }
  }
  Item.Use.Cached = std::min(Item.Use.Cached,
                             std::max<TokenCount>(0, Item.Request.Prompt - 1));
}

/// Shares the prefix blocks that this sequence has computed.
void EngineModel::storePrefix(Sequence &Item) {
  const auto &Request = Item.Request;
  for (std::size_t I = Item.Pinned.size(); I < Request.PrefixBlocks.size();
       ++I) {
    const auto Block = Request.PrefixBlocks[I];
    m_OwnComputed.insert(Block);
    m_Computed.insert(Block);
    store(Block, Request.TokensPerBlock);
    pin(Block, Item);
    Item.PrivateKv -= Request.TokensPerBlock;
    m_PrivateKv -= Request.TokensPerBlock;
  }
}

/// Keeps the rest of the prompt under the request's own name, which nothing
/// else will match.
void EngineModel::storeTail(const Sequence &Item) {
  const auto &Request = Item.Request;
  const auto Shared = static_cast<TokenCount>(Request.PrefixBlocks.size()) *
                      Request.TokensPerBlock;
  if (Item.PrefillLeft == 0 && Request.Prompt > Shared)
    store(Request.Id.Low, Request.Prompt - Shared);
}

void EngineModel::store(std::uint64_t Block, TokenCount Tokens) {
  if (m_Cache.contains(Block))
    return;
  m_CacheByUse.push_back(Block);
  m_Cache.emplace(Block, CacheEntry{std::prev(m_CacheByUse.end()), Tokens, 0});
  m_CacheTokens += Tokens;
  m_Stored.push_back(Block);
}

void EngineModel::pin(std::uint64_t Block, Sequence &Item) {
  auto &Entry = m_Cache.at(Block);
  if (Entry.Pins++ == 0) {
    m_Pinned.splice(m_Pinned.end(), m_CacheByUse, Entry.Position);
    m_PinnedKv += Entry.Tokens;
  }
  Item.Pinned.push_back(Block);
}

void EngineModel::unpin(std::uint64_t Block) {
  auto &Entry = m_Cache.at(Block);
  if (--Entry.Pins > 0)
    return;
  m_CacheByUse.splice(m_CacheByUse.end(), m_Pinned, Entry.Position);
  m_PinnedKv -= Entry.Tokens;
}

/// Evicts unpinned blocks, least recently used first, until all fits.
void EngineModel::evict() {
  while (!m_CacheByUse.empty() &&
         m_CacheTokens + m_PrivateKv > m_Record.KvTokens) {
    const auto Block = m_CacheByUse.front();
    const auto It = m_Cache.find(Block);
    m_CacheTokens -= It->second.Tokens;
    m_Cache.erase(It);
    m_CacheByUse.pop_front();
    m_Evicted.push_back(Block);
  }
}

std::optional<PrefillUse> EngineModel::cancel(const RequestId &Id) {
  const auto Waiting =
      std::find_if(m_Queue.begin(), m_Queue.end(),
                   [&](const EngineRequest &R) { return R.Id == Id; });
  if (Waiting != m_Queue.end()) {
    m_Queue.erase(Waiting);
    return PrefillUse{};
  }
  const auto It =
      std::find_if(m_Running.begin(), m_Running.end(),
                   [&](const Sequence &S) { return S.Request.Id == Id; });
  if (It == m_Running.end())
    return std::nullopt;
  const PrefillUse Use = It->Use;
  m_PrivateKv -= It->PrivateKv;
  for (const auto Block : It->Pinned)
    unpin(Block);
  storeTail(*It);
  m_Running.erase(It);
  evict();
  return Use;
}

std::optional<Duration> EngineModel::begin() {
  if (m_Stepping)
    return std::nullopt;
  admitWaiting();
  if (m_Running.empty())
    return std::nullopt;
  m_Stepping = true;
  if (m_Kind == ServiceKind::Plain) {
    m_StepTime = PlainStep;
    return m_StepTime;
  }
  TokenCount Budget = m_Profile.ChunkTokens;
  std::size_t Decoding = 0;
  for (const auto &Item : m_Running) {
    Budget -= std::min(Budget, Item.PrefillLeft);
    Decoding += Item.PrefillLeft == 0;
  }
  m_StepTime = fromSeconds(
      m_Slowness *
      toSeconds(m_Profile.stepTime(Decoding, m_Profile.ChunkTokens - Budget)));
  return m_StepTime;
}

/// One step: a chunk of prefill in order of arrival, and one token for every
/// sequence that has its prompt filled. Linear in the batch.
std::vector<EngineEvent> EngineModel::step() {
  assert(m_Stepping && "step ended that was not begun");
  m_Stepping = false;
  std::vector<EngineEvent> Events;
  TokenCount Budget = m_Profile.ChunkTokens;
  for (auto &Item : m_Running) {
    if (m_Kind == ServiceKind::Plain) {
      Item.Request.Work -= fromSeconds(toSeconds(PlainStep) / m_Slowness);
      if (Item.Request.Work > Duration(0))
        continue;
      Events.push_back({EngineEvent::Kind::FirstToken, Item.Request.Id});
      Events.push_back({EngineEvent::Kind::Completed, Item.Request.Id});
      continue;
    }
    const bool WasFilled = Item.PrefillLeft == 0;
    const auto Chunk = std::min(Budget, Item.PrefillLeft);
    Budget -= Chunk;
    Item.PrefillLeft -= Chunk;
    Item.Use.Prefilled += Chunk;
    if (Item.PrefillLeft > 0)
      continue;
    if (!WasFilled)
      storePrefix(Item);
    if (Item.Request.Poison) {
      Events.assign(1, {EngineEvent::Kind::Crashed, Item.Request.Id});
      return Events;
    }
    if (++Item.Produced == 1)
      Events.push_back({EngineEvent::Kind::FirstToken, Item.Request.Id});
    if (Item.Produced >= Item.Request.Output)
      Events.push_back({EngineEvent::Kind::Completed, Item.Request.Id});
  }
  return Events;
}

std::vector<std::pair<RequestId, PrefillUse>> EngineModel::crash() {
  std::vector<std::pair<RequestId, PrefillUse>> Lost;
  for (const auto &Item : m_Running)
    Lost.emplace_back(Item.Request.Id, Item.Use);
  for (const auto &Item : m_Queue)
    Lost.emplace_back(Item.Id, PrefillUse{});
  m_Running.clear();
  m_Queue.clear();
  m_Cache.clear();
  m_CacheByUse.clear();
  m_Pinned.clear();
  m_CacheTokens = 0;
  m_PrivateKv = 0;
  m_PinnedKv = 0;
  m_Stored.clear();
  m_Evicted.clear();
  m_CacheSequence = 0;
  m_Stepping = false;
  ++m_Incarnation;
  return Lost;
}

PrefillUse EngineModel::useOf(const RequestId &Id) const {
  for (const auto &Item : m_Running)
    if (Item.Request.Id == Id)
      return Item.Use;
  return {};
}

LoadReport EngineModel::load() const {
  LoadReport Report;
  Report.Target = m_Record.Name;
  Report.TargetIncarnation = m_Incarnation;
  Report.RunningSequences = static_cast<std::uint32_t>(m_Running.size());
  Report.WaitingSequences = static_cast<std::uint32_t>(m_Queue.size());
  Report.KvTokensUsed = m_PrivateKv + m_PinnedKv;
  Report.KvTokensTotal = m_Record.KvTokens;
  return Report;
}

CacheEvent EngineModel::takeCacheChanges() {
  CacheEvent Event;
  Event.Target = m_Record.Name;
  Event.TargetIncarnation = m_Incarnation;
  Event.Sequence = ++m_CacheSequence;
  Event.Stored = std::move(m_Stored);
  Event.Evicted = std::move(m_Evicted);
  m_Stored.clear();
  m_Evicted.clear();
  return Event;
}

} // namespace mangodeck
