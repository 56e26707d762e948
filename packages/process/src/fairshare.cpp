#include "fairshare.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace mangodeck {

bool FairShare::ByDeadline::operator()(const WaitingTicket *A,
                                       const WaitingTicket *B) const {
  return std::tie(A->Request.Deadline, A->ArrivalNumber) <
         std::tie(B->Request.Deadline, B->ArrivalNumber);
}

bool FairShare::ByVirtualTime::operator()(const CustomerQueue *A,
                                          const CustomerQueue *B) const {
  return std::tie(A->VirtualTime, A->CreationIndex) <
         std::tie(B->VirtualTime, B->CreationIndex);
}

/// A customer that becomes active again starts at the current virtual time, so
/// that it gains no credit while idle. Logarithmic in the number of customers.
void FairShare::add(const WaitingTicket &Entry) {
  auto [It, Created] = m_Customers.try_emplace(Entry.Request.Customer.Text);
  auto &Queue = It->second;
  if (Created)
    Queue.CreationIndex = m_NextCreationIndex++;
  if (Queue.Tickets.empty()) {
    Queue.VirtualTime = std::max(Queue.VirtualTime, m_VirtualTime);
    m_Active.insert(&Queue);
  }
  Queue.Tickets.insert(&Entry);
}

void FairShare::remove(const WaitingTicket &Entry) {
  const auto It = m_Customers.find(Entry.Request.Customer.Text);
  assert(It != m_Customers.end() &&
         "customer of the removed ticket is unknown");
  auto &Queue = It->second;
  Queue.Tickets.erase(&Entry);
  if (Queue.Tickets.empty())
    m_Active.erase(&Queue);
}

const WaitingTicket *FairShare::front() const {
  if (m_Active.empty())
    return nullptr;
  return *(*m_Active.begin())->Tickets.begin();
}

void FairShare::charge(const WaitingTicket &Entry) {
  const auto It = m_Customers.find(Entry.Request.Customer.Text);
  assert(It != m_Customers.end() &&
         "customer of the charged ticket is unknown");
  auto &Queue = It->second;
  m_Active.erase(&Queue);
  m_VirtualTime = std::max(m_VirtualTime, Queue.VirtualTime);
  Queue.VirtualTime +=
      static_cast<double>(costInTokens(Entry.Request)) / Entry.CustomerWeight;
  m_Active.insert(&Queue);
}

void FairShare::prune() {
  std::erase_if(m_Customers, [this](const auto &Item) {
    return Item.second.Tickets.empty() &&
           Item.second.VirtualTime <= m_VirtualTime;
  });
}

} // namespace mangodeck
