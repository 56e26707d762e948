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

/// Grants a waiting ticket a target; to be sent to Entry.
struct GrantAction {
  VmName Entry;
  Grant Granted;
};

/// Gives a waiting ticket up; to be sent to Entry at once.
struct RefuseAction {
  VmName Entry;
  RequestId Request;
  Refusal Details;
};

/// Passes a waiting ticket to another group of the service.
struct SpillAction {
  GroupId To;
  Ticket Request;
};

using GroupAction = std::variant<GrantAction, RefuseAction, SpillAction>;

/// How much a customer with limits asks of one group.
struct CustomerDemand {
  CustomerName Customer;
  double RequestsPerSecond = 0;
};

/// A request that was running when a target crashed, by its fingerprint and a
/// number that names the crash. The same fingerprint in two different crashes
/// is quarantined.
struct CrashSuspect {
  std::uint64_t Fingerprint = 0;
  std::uint64_t CrashId = 0;
};

/// What other groups of the service are told of a group. It ages.
struct GroupSummary {
  GroupId Group;
  std::uint64_t Epoch = 0;
  std::uint32_t FreeSequences = 0;
  std::vector<std::uint32_t> WaitingPerTier;
  /// Lowest tier that is not shed at present; a larger rank is shed.
  TierRank LowestAdmitted = 255;
  Duration QueueDelay{0};
  /// Customers with limits that called lately; the groups of a service divide
  /// their allowance by it.
  std::vector<CustomerDemand> Demand;
  /// Recent crash suspects; filled in by the group's host.
  std::vector<CrashSuspect> Suspects;
};

/// Order, placement, shedding and limits for the targets of one group. Does no
/// input or output: events go in with the time, actions are appended to Out.
class DispatchGroup {
public:
  using Actions = std::vector<GroupAction>;

  virtual ~DispatchGroup() = default;

  /// Takes a new configuration over; running and waiting requests stay.
  virtual void configure(SnapshotPtr Config, TimePoint Now, Actions &Out) = 0;

  virtual void submit(Ticket Request, TimePoint Now, Actions &Out) = 0;
  virtual void withdraw(const RequestId &Request, TimePoint Now,
                        Actions &Out) = 0;
  virtual void returnGrant(const RequestId &Request, ReturnReason Reason,
                           TimePoint Now, Actions &Out) = 0;
  virtual void finish(const FinishReport &Report, TimePoint Now,
                      Actions &Out) = 0;

  /// Takes over what an entry daemon runs; for a new owner.
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

  /// Fingerprints that this group refuses to run, to be told to other groups.
  virtual std::vector<std::uint64_t> quarantined() const { return {}; }

  /// Recent suspects of crashes that this group has seen, to be told to the
  /// other groups at once.
  virtual std::vector<CrashSuspect> suspects(TimePoint Now) const { return {}; }

  /// Takes over the suspects of another group.
  virtual void recordSuspects(std::span<const CrashSuspect> Suspects,
                              TimePoint Now, Actions &Out) {}

  /// Forgets the requests of an entry daemon that is gone.
  virtual void releaseEntry(const VmName &Entry, TimePoint Now,
                            Actions &Out) = 0;

  virtual void receiveSummary(const GroupSummary &Other, Duration LinkDelay,
                              TimePoint Now) = 0;
  virtual GroupSummary summary(TimePoint Now) const = 0;

  /// Expires tickets, probes slow targets, adapts limits; call every 100 ms.
  virtual void tick(TimePoint Now, Actions &Out) = 0;
};

/// Makes the group that the product runs.
std::unique_ptr<DispatchGroup>
makeDispatchGroup(GroupId Id, std::uint64_t Epoch, std::uint64_t Seed);

} // namespace mangodeck

#endif
