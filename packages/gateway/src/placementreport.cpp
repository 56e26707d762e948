#include "mangodeck/gateway/placementreport.h"

#include "mangodeck/gateway/eventlog.h"

#include <nlohmann/json.hpp>

namespace mangodeck {

namespace {

std::string_view nameOf(PlacementReport::Result Outcome) {
  switch (Outcome) {
  case PlacementReport::Result::Sent:
    return "sent";
  case PlacementReport::Result::Queued:
    return "queued";
  case PlacementReport::Result::AsksBroker:
    return "asks_broker";
  case PlacementReport::Result::Refused:
    break;
  }
  return "refused";
}

std::string_view nameOf(SpillRule Rule) {
  switch (Rule) {
  case SpillRule::Open:
    return "open";
  case SpillRule::Closed:
    return "closed";
  case SpillRule::Unknown:
    break;
  }
  return "states_nothing";
}

std::int64_t msOf(const std::optional<Duration> &Time) {
  return Time ? toMs(*Time) : -1;
}

/// Why chooseTarget() passes over \p Target.
std::string_view reasonToExclude(const TrackedTarget &Target,
                                 const TargetChoiceInput &Input,
                                 const TargetRequirements &Required,
                                 TimePoint Now) {
  if (Target.isPaused(Now))
    return "target pauses";
  if (const auto Obstacle = obstacleToSend(Target, Required, Now);
      !Obstacle.empty())
    return Obstacle;
  if (Target.running() >= Target.Entry.Slots)
    return Target.isOnTrial() ? "one request at a time after failures"
                              : "no free slot";
  if (!Target.rateLimit().hasPermit(Now))
    return "no permit under its rate limit";
  if (Input.Work.IsEngine && Target.Allowance == 0)
    return "free slots are other daemons' share";
  return Target.isOnTrial() ? "one request at a time after failures"
                            : "another rule of chooseTarget()";
}

} // namespace

std::vector<PlacementCandidate>
describeCandidates(std::span<const TargetPtr> Targets,
                   const TargetChoiceInput &Input,
                   const TargetRequirements &Required, TimePoint Now) {
  std::vector<PlacementCandidate> Result;
  for (const auto &Target : Targets) {
    PlacementCandidate Each;
    Each.Target = Target->Entry.Id.Text;
    Each.Domain = Target->Entry.Domain.Text;
    Each.Slots = Target->Entry.Slots;
    Each.OwnRunning = Target->OwnRunning;
    Each.PeerRunning = Target->PeerRunning;
    Each.StatedRunning = Target->ForeignRunning;
    if (Target->ForeignRunningAt != TimePoint{})
      Each.StatedAge = Now - Target->ForeignRunningAt;
    Each.Slowdown = Target->Slowdown;
    Each.TimeToFirstEvent = expectedTimeToFirstEvent(*Target, Input.Work);
    if (const auto Chosen = chooseTarget(std::span(&Target, 1), Input, Now))
      Each.MeetsLatencyTarget = Chosen->MeetsLatencyTarget;
    else
      Each.Excluded = reasonToExclude(*Target, Input, Required, Now);
    Result.push_back(std::move(Each));
  }
  return Result;
}

std::string toJson(const PlacementReport &Report) {
  nlohmann::ordered_json Out;
  Out["daemon"] = Report.Daemon;
  Out["outcome"] = nameOf(Report.Outcome);
  Out["target"] = Report.Target;
  Out["status"] = Report.Status;
  Out["reason"] = Report.Reason;
  Out["retry_after_ms"] = msOf(Report.RetryAfter);
  Out["route"] = Report.Route;
  Out["customer"] = Report.Customer;
  Out["service"] = Report.Service;
  auto &Shares = Out["shares"] = nlohmann::ordered_json::array();
  for (const auto &Each : Report.Shares)
    Shares.push_back({{"service", Each.Service.Text}, {"weight", Each.Weight}});
  Out["broker"] = {{"vm", Report.Broker},
                   {"reachable", Report.BrokerIsReachable}};
  Out["queue"] = {{"waiting", Report.Waiting},
                  {"ahead", Report.Ahead},
                  {"backlog_ms", toMs(Report.Backlog)}};
  Out["limit"] = {{"cost", Report.Cost},
                  {"per_s", Report.LimitPerSecond},
                  {"reach", Report.ReachableShare},
                  {"chance", Report.AdmissionChance}};
  auto &Candidates = Out["candidates"] = nlohmann::ordered_json::array();
  for (const auto &Each : Report.Candidates)
    Candidates.push_back({{"target", Each.Target},
                          {"domain", Each.Domain},
                          {"excluded", Each.Excluded},
                          {"slots", Each.Slots},
                          {"own_running", Each.OwnRunning},
                          {"peer_running", Each.PeerRunning},
                          {"stated_running", Each.StatedRunning},
                          {"stated_age_ms", msOf(Each.StatedAge)},
                          {"slowness", Each.Slowdown},
                          {"expected_first_ms", toMs(Each.TimeToFirstEvent)},
                          {"meets_latency_target", Each.MeetsLatencyTarget}});
  auto &Domains = Out["domains"] = nlohmann::ordered_json::array();
  for (const auto &Each : Report.Domains)
    Domains.push_back({{"domain", Each.Domain},
                       {"summary_age_ms", msOf(Each.SummaryAge)},
                       {"offers", nameOf(Each.Rule)},
                       {"flow_slots", Each.FlowSlots}});
  return Out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace mangodeck
