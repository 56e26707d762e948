#ifndef MANGODECK_PROCESS_DISPATCHGROUP_H
#define MANGODECK_PROCESS_DISPATCHGROUP_H

#include "mangodeck/request/outcome.h"
#include "mangodeck/request/targetreport.h"
#include "mangodeck/request/ticket.h"
#include "mangodeck/version/snapshot.h"

#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace mangodeck {

/// Grants a target to a waiting ticket. The caller sends it to the entry
/// daemon.
struct GrantAction {
  VmName Entry;
  Grant Granted;
};

/// Refuses a ticket. The caller sends it to the entry daemon without delay.
struct RefuseAction {
  VmName Entry;
  RequestId Request;
  Refusal Details;
};

/// Moves a waiting ticket to another group of the service.
struct SpillAction {
  GroupId To;
  Ticket Request;
};

using GroupAction = std::variant<GrantAction, RefuseAction, SpillAction>;

/// Rate at which a customer with limits sends requests to one group.
struct CustomerDemand {
  CustomerName Customer;
  double RequestsPerSecond = 0;
};

/// A request that was running on a target when the target crashed. Groups
/// refuse a fingerprint that occurs in two different crashes.
struct CrashSuspect {
  std::uint64_t Fingerprint = 0; ///< Of the request.
  std::uint64_t CrashId = 0;     ///< Equal for all suspects of one crash.
};

/// State of a group that the daemons gossip to the other groups of the service.
/// Receivers ignore it once it is too old.
struct GroupSummary {
  GroupId Group;
  std::uint64_t Epoch = 0; ///< Of the group's owner.
  /// Sequences that the group's targets can still start; 0 while tickets wait.
  std::uint32_t FreeSequences = 0;
  std::vector<std::uint32_t> WaitingPerTier;
  /// Rank of the lowest tier that the group does not shed; larger ranks are
  /// shed.
  TierRank LowestAdmitted = 255;
  /// Expected time until all tickets that wait now have been dispatched.
  Duration QueueDelay{0};
  /// Demand of the customers with limits. The groups of a service share a
  /// customer's allowance in proportion to it.
  std::vector<CustomerDemand> Demand;
  /// Recent crash suspects; filled in by GroupHost.
  std::vector<CrashSuspect> Suspects;
};

/// Decides for the targets of one group in which order tickets are dispatched,
/// to which target, which tickets are shed and which exceed a customer's
/// limits. Does no input or output: each event comes with the current time, and
/// the resulting actions are appended to Out.
class DispatchGroup {
public:
  using Actions = std::vector<GroupAction>;

  virtual ~DispatchGroup() = default;

  /// Applies a new configuration; waiting and running requests are kept.
  virtual void configure(SnapshotPtr Config, TimePoint Now, Actions &Out) = 0;

  virtual void submit(Ticket Request, TimePoint Now, Actions &Out) = 0;
  virtual void withdraw(const RequestId &Request, TimePoint Now,
                        Actions &Out) = 0;
  virtual void returnGrant(const RequestId &Request, ReturnReason Reason,
                           TimePoint Now, Actions &Out) = 0;
  virtual void finish(const FinishReport &Report, TimePoint Now,
                      Actions &Out) = 0;

  /// Counts the requests that an entry daemon reports as running; called on a
  /// new owner of the group.
  virtual void adoptRunning(std::span<const RunningRequest> Running,
                            TimePoint Now, Actions &Out) = 0;

  virtual void reportLoad(const LoadReport &Report, TimePoint Now,
                          Actions &Out) = 0;
  virtual void reportCache(const CacheEvent &Report, TimePoint Now) = 0;
  virtual void markLeaving(const TargetName &Target, Incarnation Started,
                           TimePoint Now, Actions &Out) = 0;
  virtual void markDown(const TargetName &Target, TimePoint Now,
                        Actions &Out) = 0;
  virtual void quarantine(std::uint64_t Fingerprint, TimePoint Now,
                          Actions &Out) = 0;

  /// Fingerprints that this group refuses; the caller publishes them to the
  /// other groups.
  virtual std::vector<std::uint64_t> quarantined() const { return {}; }

  /// Recent suspects of crashes in this group. The caller sends them to the
  /// other groups with the next summary.
  virtual std::vector<CrashSuspect> suspects(TimePoint Now) const { return {}; }

  /// Records crash suspects received from another group.
  virtual void recordSuspects(std::span<const CrashSuspect> Suspects,
                              TimePoint Now, Actions &Out) {}

  /// Withdraws the waiting tickets of a lost entry daemon and releases its
  /// grants.
  virtual void releaseEntry(const VmName &Entry, TimePoint Now,
                            Actions &Out) = 0;

  /// Stores the summary of another group; \p LinkDelay is the network delay to
  /// it.
  virtual void receiveSummary(const GroupSummary &Other, Duration LinkDelay,
                              TimePoint Now) = 0;
  virtual GroupSummary summary(TimePoint Now) const = 0;

  /// Refuses expired tickets, lets ejected targets be probed and adapts the
  /// limits. Call every 100 ms.
  virtual void tick(TimePoint Now, Actions &Out) = 0;
};

/// Creates the dispatch group that the daemon runs. \p Seed seeds the jitter of
/// the retry delays.
std::unique_ptr<DispatchGroup>
makeDispatchGroup(GroupId Id, std::uint64_t Epoch, std::uint64_t Seed);

} // namespace mangodeck

#endif
