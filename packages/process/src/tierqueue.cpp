#include "tierqueue.h"

#include <cassert>
#include <tuple>

namespace mangodeck {

bool TierQueue::ByLatestStart::operator()(const WaitingTicket *A,
                                          const WaitingTicket *B) const {
  return std::tie(A->LatestStart, A->Sequence) <
         std::tie(B->LatestStart, B->Sequence);
}

const WaitingTicket *TierQueue::find(const RequestId &Id) const {
  const auto It = m_Waiting.find(Id);
  return It == m_Waiting.end() ? nullptr : &It->second;
}

void TierQueue::push(Ticket Request, TimePoint LatestStart, double Weight) {
  const RequestId Id = Request.Id;
  WaitingTicket Entry{std::move(Request), m_NextSequence++, LatestStart, Weight,
                      false};
  const auto [It, Added] = m_Waiting.emplace(Id, std::move(Entry));
  assert(Added && "ticket waits already");
  auto &State = m_Tiers[It->second.Request.Tier];
  State.Order.add(It->second);
  State.BySequence.emplace(It->second.Sequence, &It->second);
  State.Tokens += costOf(It->second.Request);
  m_Expiry.insert(&It->second);
}

std::optional<Ticket> TierQueue::remove(const RequestId &Id) {
  const auto It = m_Waiting.find(Id);
  if (It == m_Waiting.end())
    return std::nullopt;
  const auto &Entry = It->second;
  auto &State = m_Tiers[Entry.Request.Tier];
  if (Entry.Parked)
    std::erase(m_Parked, Id);
  else
    State.Order.remove(Entry);
  State.BySequence.erase(Entry.Sequence);
  State.Tokens -= costOf(Entry.Request);
  m_Expiry.erase(&Entry);
  Ticket Request = std::move(It->second.Request);
  m_Waiting.erase(It);
  return Request;
}

std::optional<Ticket> TierQueue::dispatch(const RequestId &Id) {
  const auto *Entry = find(Id);
  if (Entry && !Entry->Parked)
    m_Tiers[Entry->Request.Tier].Order.charge(*Entry);
  return remove(Id);
}

const WaitingTicket *TierQueue::front(TierRank Tier) const {
  const auto It = m_Tiers.find(Tier);
  return It == m_Tiers.end() ? nullptr : It->second.Order.front();
}

std::optional<TierRank> TierQueue::highestReady() const {
  for (const auto &[Rank, State] : m_Tiers)
    if (State.Order.front())
      return Rank;
  return std::nullopt;
}

std::optional<TierRank> TierQueue::lowestWaiting() const {
  for (auto It = m_Tiers.rbegin(); It != m_Tiers.rend(); ++It)
    if (!It->second.BySequence.empty())
      return It->first;
  return std::nullopt;
}

const WaitingTicket *TierQueue::newestOfLowest() const {
  const auto Lowest = lowestWaiting();
  if (!Lowest)
    return nullptr;
  return m_Tiers.at(*Lowest).BySequence.rbegin()->second;
}

const WaitingTicket *TierQueue::firstToExpire() const {
  return m_Expiry.empty() ? nullptr : *m_Expiry.begin();
}

void TierQueue::park(const RequestId &Id) {
  const auto It = m_Waiting.find(Id);
  assert(It != m_Waiting.end() && "parked ticket does not wait");
  if (It->second.Parked)
    return;
  m_Tiers[It->second.Request.Tier].Order.remove(It->second);
  It->second.Parked = true;
  m_Parked.push_back(Id);
}

void TierQueue::unpark() {
  for (const auto &Id : m_Parked) {
    auto &Entry = m_Waiting.at(Id);
    Entry.Parked = false;
    m_Tiers[Entry.Request.Tier].Order.add(Entry);
  }
  m_Parked.clear();
}

std::size_t TierQueue::countOf(TierRank Tier) const {
  const auto It = m_Tiers.find(Tier);
  return It == m_Tiers.end() ? 0 : It->second.BySequence.size();
}

TokenCount TierQueue::tokensThrough(TierRank Tier) const {
  TokenCount Sum = 0;
  for (const auto &[Rank, State] : m_Tiers)
    if (Rank <= Tier)
      Sum += State.Tokens;
  return Sum;
}

std::vector<RequestId> TierQueue::ticketsOf(const VmName &Entry) const {
  std::vector<RequestId> Result;
  for (const auto &[Rank, State] : m_Tiers)
    for (const auto &[Sequence, Item] : State.BySequence)
      if (Item->Request.Entry == Entry)
        Result.push_back(Item->Request.Id);
  return Result;
}

std::vector<RequestId> TierQueue::ticketsWith(std::uint64_t Fingerprint) const {
  std::vector<RequestId> Result;
  for (const auto &[Rank, State] : m_Tiers)
    for (const auto &[Sequence, Item] : State.BySequence)
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
    State.Order.prune();
}

} // namespace mangodeck
