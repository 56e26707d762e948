#ifndef MANGODECK_GATEWAY_SPILLCONTROL_H
#define MANGODECK_GATEWAY_SPILLCONTROL_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/random.h"
#include "mangodeck/common/units.h"
#include "mangodeck/gateway/choosetarget.h"
#include "mangodeck/gateway/demandestimate.h"
#include "mangodeck/gateway/peerregistry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangodeck {

/// What an answer is worth to its caller, and what traffic between failure
/// domains costs, in the same unit.
struct SpillSettings {
  double ValueInTime = 1;         ///< Answer within the latency target.
  double ValueLate = 0.3;         ///< Answer after it, within the time limit.
  double PricePerMegabyte = 0.05; ///< Between failure domains.
};

/// A request that has no slot in its own failure domain.
struct LeavingRequest {
  std::uint64_t Service = 0; ///< hashOf().
  /// Expected wait for a slot in its own domain; std::nullopt if the broker
  /// there has refused it.
  std::optional<Duration> HomeWait;
  Duration TimeToLatencyTarget{0};
  Duration TimeToDeadline{0};
  std::size_t Bytes = 0; ///< Of the request.
};

/// How a daemon may use the targets of another failure domain.
enum class SpillRule : std::uint8_t {
  Unknown, ///< The domain states nothing: by the loads in its summaries.
  Closed,  ///< Nothing, or nothing more now.
  Open,    ///< One request, counted by take().
};

/// Change of the slots that this daemon's domain may use in another one.
struct FlowChange {
  std::uint64_t Service = 0;
  FailureDomain Domain;
  double Slots = 0;
  double Before = 0;
  double Offered = 0;
  double Lacking = 0; ///< Of the own domain.
  Duration Age{0};    ///< Of the own domain's figures.
};

/// Which requests for plain services a daemon sends to other failure domains,
/// and how many. Made for a domain at 100 to 200% of its own capacity, with
/// some daemons that each see a few requests per second.
///
/// - A domain's offer is divided among the domains that lack capacity, in
///   proportion to what they state as lacking. All use the same figures, so the
///   parts sum to the offer.
/// - The domain's part is divided among its daemons by their requests: each has
///   its share of the demand that their broker states. The times at which a
///   daemon's permissions begin are drawn at random, so that the daemons do not
///   act at once.
/// - The part follows a lower figure at once. It follows a higher one by half
///   of the difference per report, and only if that is notable.
///
/// Owner: each daemon, of its own copy. A restarted daemon learns the offers
/// from the next summaries. It acts on the offers of another domain for
/// OfferLifetime, of its own for OwnOfferLifetime (the successor of a broker
/// states none at first). A domain that goes silent after an offer gets nothing
/// for SilenceTime.
class SpillControl {
public:
  SpillControl(FailureDomain OwnDomain, SpillSettings Settings,
               RandomSource &Random)
      : m_OwnDomain(std::move(OwnDomain)), m_Settings(Settings),
        m_Random(Random) {}

  /// A request of this daemon for a service arrived.
  void recordRequest(std::uint64_t Service, TimePoint Now);
  /// A request of this daemon was answered \p Time after it was sent.
  void recordAnswer(std::uint64_t Service, Duration Time, std::size_t Bytes);
  /// Offers of a failure domain, the own one included, which replace those
  /// before. Returns the changes that are to be logged, at most one for each
  /// service and domain in LogPeriod.
  std::vector<FlowChange> onOffers(const FailureDomain &Domain,
                                   std::span<const ServiceOffer> Offers,
                                   TimePoint Now);
  /// Whether the gain of the caller outweighs the bytes.
  bool isWorthLeaving(const LeavingRequest &Request) const;
  /// How a request may use the targets of \p Domain now.
  SpillRule ruleFor(std::uint64_t Service, const FailureDomain &Domain,
                    TimePoint Now);
  /// A request was sent to an open domain.
  void take(std::uint64_t Service, const FailureDomain &Domain);
  /// Slots that the own domain may use in \p Domain, over all its daemons.
  double flowTo(std::uint64_t Service, const FailureDomain &Domain) const;

private:
  struct StatedOffer {
    ServiceOffer Offer;
    TimePoint ReceivedAt{};
  };
  struct Flow {
    double Slots = 0;  ///< Of the own domain.
    double Tokens = 0; ///< Requests that this daemon may send.
    TimePoint RefilledAt{};
    double LoggedSlots = 0;
    TimePoint LoggedAt{};
  };
  struct ServiceState {
    std::map<std::string, StatedOffer> Offers; ///< By failure domain.
    std::map<std::string, Flow> Flows;         ///< By failure domain.
    DemandEstimate OwnDemand;
    double AnswerSeconds = 0; ///< Mean; 0 if not measured.
    double AnswerBytes = 0;   ///< Mean.
  };
  /// The own domain's part of what \p Domain offers; 0 without a fresh offer.
  double partOf(const ServiceState &State, const std::string &Domain,
                TimePoint Now) const;
  void updateFlows(std::uint64_t Service, ServiceState &State, TimePoint Now,
                   std::vector<FlowChange> &Changes);
  void refill(ServiceState &State, const std::string &Domain, TimePoint Now);
  const StatedOffer *ownOffer(const ServiceState &State, TimePoint Now) const;

  FailureDomain m_OwnDomain;
  SpillSettings m_Settings;
  RandomSource &m_Random;
  std::map<std::uint64_t, ServiceState> m_Services;
};

/// A target of another failure domain, and by which rule it may be used.
struct Departure {
  ChosenTarget Chosen;
  SpillRule Rule = SpillRule::Unknown; ///< Open or Unknown.
};

/// Chooses a target of another failure domain for a request to a plain service;
/// std::nullopt if the request is to stay. The targets of domains that state
/// offers come first. \p OffersOnly: no others are considered. \p Input is that
/// of the request. Linear in the number of targets.
std::optional<Departure> chooseElsewhere(SpillControl &Control,
                                         const LeavingRequest &Request,
                                         std::span<const TargetPtr> Targets,
                                         const TargetChoiceInput &Input,
                                         bool OffersOnly, TimePoint Now);

} // namespace mangodeck

#endif
