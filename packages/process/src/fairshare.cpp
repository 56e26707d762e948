#include "fairshare.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace mangodeck {

bool FairShare::ByDeadline::operator()(const WaitingTicket *A,
                                       const WaitingTicket *B) const {
  return std::tie(A->Request.Deadline, A->Sequence) <
         std::tie(B->Request.Deadline, B->Sequence);
}

bool FairShare::ByVirtualTime::operator()(const Share *A,
                                          const Share *B) const {
  return std::tie(A->VirtualTime, A->Index) <
         std::tie(B->VirtualTime, B->Index);
}

/// A customer that becomes active again starts at the present virtual time, so
/// that idle time earns no credit. Logarithmic.
void FairShare::add(const WaitingTicket &Entry) {
  auto [It, Created] = m_Shares.try_emplace(Entry.Request.Customer.Text);
  auto &Share = It->second;
  if (Created)
    Share.Index = m_NextIndex++;
  if (Share.Tickets.empty()) {
    Share.VirtualTime = std::max(Share.VirtualTime, m_VirtualTime);
    m_Active.insert(&Share);
  }
  Share.Tickets.insert(&Entry);
}

void FairShare::remove(const WaitingTicket &Entry) {
  const auto It = m_Shares.find(Entry.Request.Customer.Text);
  assert(It != m_Shares.end() && "removed ticket belongs to no share");
  auto &Share = It->second;
  Share.Tickets.erase(&Entry);
  if (Share.Tickets.empty())
    m_Active.erase(&Share);
}

const WaitingTicket *FairShare::front() const {
  if (m_Active.empty())
    return nullptr;
  return *(*m_Active.begin())->Tickets.begin();
}

void FairShare::charge(const WaitingTicket &Entry) {
  const auto It = m_Shares.find(Entry.Request.Customer.Text);
  assert(It != m_Shares.end() && "charged ticket belongs to no share");
  auto &Share = It->second;
  m_Active.erase(&Share);
  m_VirtualTime = std::max(m_VirtualTime, Share.VirtualTime);
  Share.VirtualTime +=
      static_cast<double>(costOf(Entry.Request)) / Entry.Weight;
  m_Active.insert(&Share);
}

void FairShare::prune() {
  std::erase_if(m_Shares, [this](const auto &Item) {
    return Item.second.Tickets.empty() &&
           Item.second.VirtualTime <= m_VirtualTime;
  });
}

} // namespace mangodeck
