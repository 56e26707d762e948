#ifndef MANGODECK_PROCESS_ENTRY_H
#define MANGODECK_PROCESS_ENTRY_H

#include "mangodeck/process/entryshard.h"
#include "mangodeck/request/callerinput.h"

#include <atomic>
#include <memory>
#include <span>
#include <vector>

namespace mangodeck {

/// Receives callers' requests on the caller server's threads, validates them
/// against the configuration in force and passes each to one entry shard.
class Entry : public CallerHandler {
public:
  /// All referenced objects outlive the entry; \p Shards is not empty.
  Entry(VmName Vm, FailureDomain Domain, const Clock &Time,
        const RcuPointer<Snapshot> &Config, const BodyBudget &Bodies,
        std::span<const std::unique_ptr<EntryShard>> Shards);

  void handle(std::shared_ptr<CallerExchange> Exchange) override;

  /// Refuses all later requests. Called when the daemon shuts down.
  void stopAdmitting() { m_Admitting.store(false); }

  /// The shard responsible for request \p Id.
  EntryShard &shardOf(const RequestId &Id) const;

  /// Number of requests in all shards that are not answered yet.
  std::size_t openRequests() const;

private:
  bool admitBody(TierRank Tier) const;
  AcceptedRequest makeAccepted(CheckedRequest Checked,
                               std::shared_ptr<CallerExchange> Exchange) const;

  VmName m_Vm;
  FailureDomain m_Domain;
  const Clock &m_Time;
  const RcuPointer<Snapshot> &m_Config;
  const BodyBudget &m_Bodies;
  std::span<const std::unique_ptr<EntryShard>> m_Shards;
  std::atomic<bool> m_Admitting = true;
};

/// Chooses the dispatch group of a request: a slice of the service's targets
/// in \p Domain, or in another failure domain if the service has none there.
/// Requests with the same first prefix block go to the same slice.
GroupId chooseGroup(const Snapshot &Config, const FailureDomain &Domain,
                    const Ticket &Request);

/// All dispatch groups of a configuration.
std::vector<GroupId> groupsOf(const Snapshot &Config);

} // namespace mangodeck

#endif
