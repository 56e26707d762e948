#ifndef MANGODECK_GATEWAY_DOMAINOFFERS_H
#define MANGODECK_GATEWAY_DOMAINOFFERS_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"
#include "mangodeck/gateway/demandestimate.h"
#include "mangodeck/gateway/dispatchqueue.h"
#include "mangodeck/gateway/incarnationtracker.h"
#include "mangodeck/gateway/peerregistry.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace mangodeck {

/// Identifies a service in messages between daemons.
std::uint64_t hashOf(const ServiceName &Service);

/// Slots of a service's usable targets in a failure domain.
struct DomainSlots {
  ServiceName Service;
  std::uint32_t Slots = 0;
};

/// The domain has begun or ceased to lack slots of a service.
struct LackChange {
  ServiceOffer Now;
  std::uint32_t Slots = 0; ///< Of the domain's targets.
};

/// What the broker of a failure domain offers of each plain service to the
/// other domains, and what the domain lacks. Made for requests that are shorter
/// (15 to 60 ms) than the reports that tell of them are old (100 to 500 ms), at
/// tens to hundreds of requests per second in a domain: the slots that are free
/// at a moment say nothing about the next one, so the offer is the capacity
/// beyond the domain's own expected demand. Demand counts every request of the
/// domain's daemons at its arrival, wherever it is sent then. So an offer does
/// not depend on the flow that follows from it, and cannot oscillate with it.
///
/// Owner: the broker. A successor knows nothing of it, observes demand for
/// WarmUpTime and offers nothing until then. Others act on an offer for
/// OfferLifetime (SpillControl).
///
/// A figure is stated only while this domain or another one lacks capacity, so
/// that reports are as before where no domain does.
class DomainOffers {
public:
  /// A request of a process; the number is unique within the process.
  using RequestKey = std::tuple<std::string, IncarnationId, TicketNumber>;

  /// Forgets everything: this daemon has become the broker or was suspended.
  void restart(TimePoint Now);
  /// A daemon of the domain requests a slot, for the first time or again.
  void recordRequest(const ServiceName &Service, const RequestKey &Key,
                     TimePoint Now);
  /// The request has been granted a slot of the domain.
  void recordGrant(const RequestKey &Key, TimePoint Now);
  bool holdsSlot(const RequestKey &Key) const;
  /// The request has ended, was refused or withdrawn. \p Succeeded: it was
  /// answered, so the time since its grant is that of a request.
  void recordEnd(const RequestKey &Key, bool Succeeded, TimePoint Now);
  /// Another domain lacks capacity for a service.
  void recordLacking(std::uint64_t Service, TimePoint Now);
  /// The offers to state now. \p Targets: the domain's slots by service.
  std::vector<ServiceOffer> offers(std::span<const DomainSlots> Targets,
                                   TimePoint Now);
  /// Changes since the last call that are to be logged, at most one a second
  /// for each service.
  std::vector<LackChange> takeChanges() { return std::exchange(m_Changes, {}); }

private:
  struct Open {
    std::uint64_t Service = 0;
    TimePoint Since{};     ///< Of its last message.
    TimePoint GrantedAt{}; ///< Not set without a grant.
  };
  struct ServiceState {
    DemandEstimate Demand;
    double SlotSeconds = 0; ///< Mean time of a request; 0 if not measured.
    TimePoint LackingElsewhereAt{};
    TimePoint LackedAt{};
    bool WasLacking = false; ///< As of the last LackChange.
    TimePoint ChangedAt{};
  };
  ServiceOffer offerOf(std::uint64_t Service, ServiceState &State,
                       std::uint32_t Slots, TimePoint Now) const;

  TimePoint m_Since{};
  std::map<RequestKey, Open> m_Open;
  std::map<std::uint64_t, ServiceState> m_Services;
  std::vector<LackChange> m_Changes;
};

} // namespace mangodeck

#endif
