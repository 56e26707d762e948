#ifndef MANGODECK_PROCESS_FAIRSHARE_H
#define MANGODECK_PROCESS_FAIRSHARE_H

#include "waitingticket.h"

#include <set>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// Order between the customers of one tier. Each customer has a virtual time
/// that grows by the tokens it was served, divided by its weight; the customer
/// with the least virtual time is next, and its ticket with the earliest
/// deadline. This is start-time fair queueing (Goyal, Vin and Cheng, 1996): it
/// gives the shares of deficit round robin, and a decision stays logarithmic
/// in the customers however unlike the tickets' lengths are.
class FairShare {
public:
  void add(const WaitingTicket &Entry);
  void remove(const WaitingTicket &Entry);

  /// The next ticket; null when none waits.
  const WaitingTicket *front() const;

  /// Charges the customer of \p Entry, which was dispatched. Call before
  /// remove().
  void charge(const WaitingTicket &Entry);

  /// Forgets idle customers that are owed nothing. Linear in the customers.
  void prune();

private:
  struct ByDeadline {
    bool operator()(const WaitingTicket *A, const WaitingTicket *B) const;
  };

  struct Share {
    double VirtualTime = 0;
    std::uint64_t Index = 0;
    std::set<const WaitingTicket *, ByDeadline> Tickets;
  };

  struct ByVirtualTime {
    bool operator()(const Share *A, const Share *B) const;
  };

  std::unordered_map<std::string, Share> m_Shares;
  std::set<const Share *, ByVirtualTime> m_Active;
  double m_VirtualTime = 0;
  std::uint64_t m_NextIndex = 0;
};

} // namespace mangodeck

#endif
