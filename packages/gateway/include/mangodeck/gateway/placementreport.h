#ifndef MANGODECK_GATEWAY_PLACEMENTREPORT_H
#define MANGODECK_GATEWAY_PLACEMENTREPORT_H

#include "mangodeck/gateway/choosetarget.h"
#include "mangodeck/gateway/slotbroker.h"
#include "mangodeck/gateway/spillcontrol.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// A target of the request's service, as the daemon knows it.
struct PlacementCandidate {
  std::string Target;
  std::string Domain;
  /// Why the target cannot be chosen now; empty if it can.
  std::string Excluded;
  std::uint32_t Slots = 0;
  std::uint32_t OwnRunning = 0;  ///< Requests of this daemon.
  std::uint32_t PeerRunning = 0; ///< Of the others, as reported or granted.
  /// Of the others by the target's last answer, and the age of that; the age is
  /// std::nullopt if none counts any longer.
  std::uint32_t StatedRunning = 0;
  std::optional<Duration> StatedAge;
  double Slowdown = 1;
  Duration TimeToFirstEvent{0}; ///< Expected.
  bool MeetsLatencyTarget = false;
};

/// Another failure domain, as the daemon knows it.
struct PlacementDomain {
  std::string Domain;
  std::optional<Duration> SummaryAge; ///< std::nullopt if none counts.
  SpillRule Rule = SpillRule::Unknown;
  double FlowSlots = 0; ///< That the own domain may use there.
};

/// Where a request would go now, and why. See Gateway::explainPlacement().
struct PlacementReport {
  enum class Result : std::uint8_t {
    Sent,      ///< To Target.
    Queued,    ///< Waits for a slot.
    Refused,   ///< With Status, Reason and RetryAfter.
    AsksBroker ///< Another daemon decides, named by Broker.
  };
  Result Outcome = Result::Refused;
  std::string Daemon;
  int Status = 0;
  std::string Reason;
  std::optional<Duration> RetryAfter;
  std::string Target;
  std::string Route;
  std::string Customer;
  std::string Service;
  std::vector<RouteShare> Shares; ///< Of the route; one is drawn by weight.
  std::string Broker;             ///< Of the daemon's domain.
  bool BrokerIsReachable = true;
  std::size_t Waiting = 0; ///< In the queue that decides.
  std::size_t Ahead = 0;   ///< Of those, before this request.
  Duration Backlog{0};     ///< Expected time until all have a slot.
  double Cost = 0;         ///< Units of the customer's limit.
  double LimitPerSecond = 0;
  double ReachableShare = 1; ///< Of the limit.
  /// Probability with which the limit admits the request. The rest tells what
  /// happens if it does.
  double AdmissionChance = 1;
  std::vector<PlacementCandidate> Candidates;
  std::vector<PlacementDomain> Domains;
};

/// Takes the decisions of a copy of a broker.
class RecordingSink : public SlotDecisionSink {
public:
  void onSlotDecision(const std::string & /*Vm*/,
                      const SlotDecision &Decision) override {
    Last = Decision;
  }
  std::optional<SlotDecision> Last;
};

/// Describes each target. Whether one can be chosen is what chooseTarget() does
/// with it alone; the reason is looked for afterwards.
std::vector<PlacementCandidate>
describeCandidates(std::span<const TargetPtr> Targets,
                   const TargetChoiceInput &Input,
                   const TargetRequirements &Required, TimePoint Now);

/// The report as JSON. Times are in milliseconds; -1 if not known.
std::string toJson(const PlacementReport &Report);

} // namespace mangodeck

#endif
