#ifndef MANGODECK_PROCESS_FAIRSHARE_H
#define MANGODECK_PROCESS_FAIRSHARE_H

#include "waitingticket.h"

#include <set>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// Orders the tickets of one tier fairly between customers. Each customer has a
/// virtual time that grows by the tokens dispatched for it, divided by its
/// weight. The next ticket is the one with the earliest deadline of the
/// customer with the least virtual time. This is start-time fair queueing
/// (Goyal, Vin and Cheng, 1996): it gives the same shares as deficit round
/// robin, but a decision stays logarithmic in the number of customers even if
/// tickets differ widely in length.
class FairShare {
public:
  void add(const WaitingTicket &Entry);
  void remove(const WaitingTicket &Entry);

  /// The next ticket; null when none waits.
  const WaitingTicket *front() const;

  /// Charges the customer of \p Entry for its dispatch. Call before remove().
  void charge(const WaitingTicket &Entry);

  /// Removes customers without tickets whose virtual time has been reached, as
  /// they would start afresh at the current virtual time anyway. Linear in the
  /// number of customers.
  void prune();

private:
  struct ByDeadline {
    bool operator()(const WaitingTicket *A, const WaitingTicket *B) const;
  };

  struct CustomerQueue {
    double VirtualTime = 0;
    std::uint64_t CreationIndex = 0; ///< Breaks ties of virtual time.
    std::set<const WaitingTicket *, ByDeadline> Tickets;
  };

  struct ByVirtualTime {
    bool operator()(const CustomerQueue *A, const CustomerQueue *B) const;
  };

  std::unordered_map<std::string, CustomerQueue> m_Customers;
  std::set<const CustomerQueue *, ByVirtualTime> m_Active;
  double m_VirtualTime = 0;
  std::uint64_t m_NextCreationIndex = 0;
};

} // namespace mangodeck

#endif
