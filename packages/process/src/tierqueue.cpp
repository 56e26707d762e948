#include "tierqueue.h"

#include <cassert>
#include <tuple>

namespace mangodeck {

bool TierQueue::ByLatestStart::operator()(const WaitingTicket *A,
                                          const WaitingTicket *B) const {
  return std::tie(A->LatestStart, A->ArrivalNumber) <
         std::tie(B->LatestStart, B->ArrivalNumber);
}

const WaitingTicket *TierQueue::find(const RequestId &Id) const {
  const auto It = m_Waiting.find(Id);
  return It == m_Waiting.end() ? nullptr : &It->second;
}

void TierQueue::push(Ticket Request, TimePoint LatestStart,
                     double CustomerWeight) {
  const RequestId Id = Request.Id;
  WaitingTicket Entry{std::move(Request), m_NextArrivalNumber++, LatestStart,
                      CustomerWeight, false};
  const auto [It, Added] = m_Waiting.emplace(Id, std::move(Entry));
  assert(Added && "ticket is already in the queue");
  auto &State = m_Tiers[It->second.Request.Tier];
  State.DispatchOrder.add(It->second);
  State.ByArrival.emplace(It->second.ArrivalNumber, &It->second);
  State.WaitingTokens += costInTokens(It->second.Request);
  m_ByLatestStart.insert(&It->second);
}

std::optional<Ticket> TierQueue::remove(const RequestId &Id) {
  const auto It = m_Waiting.find(Id);
  if (It == m_Waiting.end())
    return std::nullopt;
  const auto &Entry = It->second;
  auto &State = m_Tiers[Entry.Request.Tier];
  if (Entry.Blocked)
    std::erase(m_Blocked, Id);
  else
    State.DispatchOrder.remove(Entry);
  State.ByArrival.erase(Entry.ArrivalNumber);
  State.WaitingTokens -= costInTokens(Entry.Request);
  m_ByLatestStart.erase(&Entry);
  Ticket Request = std::move(It->second.Request);
  m_Waiting.erase(It);
  return Request;
}

std::optional<Ticket> TierQueue::dispatch(const RequestId &Id) {
  const auto *Entry = find(Id);
  if (Entry && !Entry->Blocked)
    m_Tiers[Entry->Request.Tier].DispatchOrder.charge(*Entry);
  return remove(Id);
}

const WaitingTicket *TierQueue::front(TierRank Tier) const {
  const auto It = m_Tiers.find(Tier);
  return It == m_Tiers.end() ? nullptr : It->second.DispatchOrder.front();
}

std::optional<TierRank> TierQueue::highestReadyTier() const {
  for (const auto &[Rank, State] : m_Tiers)
    if (State.DispatchOrder.front())
      return Rank;
  return std::nullopt;
}

std::optional<TierRank> TierQueue::lowestWaitingTier() const {
  for (auto It = m_Tiers.rbegin(); It != m_Tiers.rend(); ++It)
    if (!It->second.ByArrival.empty())
      return It->first;
  return std::nullopt;
}

const WaitingTicket *TierQueue::newestOfLowestTier() const {
  const auto Lowest = lowestWaitingTier();
  if (!Lowest)
    return nullptr;
  return m_Tiers.at(*Lowest).ByArrival.rbegin()->second;
}

const WaitingTicket *TierQueue::firstToExpire() const {
  return m_ByLatestStart.empty() ? nullptr : *m_ByLatestStart.begin();
}

void TierQueue::block(const RequestId &Id) {
  const auto It = m_Waiting.find(Id);
  assert(It != m_Waiting.end() && "blocked ticket is not in the queue");
  if (It->second.Blocked)
    return;
  m_Tiers[It->second.Request.Tier].DispatchOrder.remove(It->second);
  It->second.Blocked = true;
  m_Blocked.push_back(Id);
}

void TierQueue::unblockAll() {
  for (const auto &Id : m_Blocked) {
    auto &Entry = m_Waiting.at(Id);
    Entry.Blocked = false;
    m_Tiers[Entry.Request.Tier].DispatchOrder.add(Entry);
  }
  m_Blocked.clear();
}

std::size_t TierQueue::waitingCount(TierRank Tier) const {
  const auto It = m_Tiers.find(Tier);
  return It == m_Tiers.end() ? 0 : It->second.ByArrival.size();
}

TokenCount TierQueue::tokensAtOrAbove(TierRank Tier) const {
  TokenCount Sum = 0;
  for (const auto &[Rank, State] : m_Tiers)
    if (Rank <= Tier)
      Sum += State.WaitingTokens;
  return Sum;
}

std::vector<RequestId> TierQueue::ticketsFromEntry(const VmName &Entry) const {
  std::vector<RequestId> Result;
  for (const auto &[Rank, State] : m_Tiers)
    for (const auto &[ArrivalNumber, Item] : State.ByArrival)
      if (Item->Request.Entry == Entry)
        Result.push_back(Item->Request.Id);
  return Result;
}

std::vector<RequestId>
TierQueue::ticketsWithFingerprint(std::uint64_t Fingerprint) const {
  std::vector<RequestId> Result;
  for (const auto &[Rank, State] : m_Tiers)
    for (const auto &[ArrivalNumber, Item] : State.ByArrival)
      if (Item->Request.Fingerprint == Fingerprint)
        Result.push_back(Item->Request.Id);
  return Result;
}

std::vector<TierRank> TierQueue::tiers() const {
  std::vector<TierRank> Result;
  Result.reserve(m_Tiers.size());
  for (const auto &[Rank, State] : m_Tiers)
    Result.push_back(Rank);
  return Result;
}

void TierQueue::prune() {
  for (auto &[Rank, State] : m_Tiers)
    State.DispatchOrder.prune();
}

} // namespace mangodeck
