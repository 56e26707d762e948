#ifndef MANGODECK_PROCESS_ENTRY_H
#define MANGODECK_PROCESS_ENTRY_H

#include "mangodeck/process/entryshard.h"
#include "mangodeck/request/callerinput.h"

#include <atomic>
#include <memory>
#include <span>
#include <vector>

namespace mangodeck {

/// Receives callers' requests on the caller server's threads, checks them
/// against the configuration in force and hands them to an entry shard.
class Entry : public CallerHandler {
public:
  /// All references outlive the entry; \p Shards is not empty.
  Entry(VmName Vm, FailureDomain Domain, const Clock &Time,
        const RcuPointer<Snapshot> &Config, const BodyBudget &Bodies,
        std::span<const std::unique_ptr<EntryShard>> Shards);

  void handle(std::shared_ptr<CallerExchange> Exchange) override;

  /// Refuses requests from now on: the daemon has begun to exit.
  void stopAdmitting() { m_Admitting.store(false); }

  /// The shard that has request \p Id.
  EntryShard &shardOf(const RequestId &Id) const;

  /// Requests in progress.
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
/// in the daemon's own failure domain, or in another one if it has none there.
/// Requests with the same first prefix block go to the same slice.
GroupId chooseGroup(const Snapshot &Config, const FailureDomain &Domain,
                    const Ticket &Request);

/// All dispatch groups of a configuration.
std::vector<GroupId> groupsOf(const Snapshot &Config);

} // namespace mangodeck

#endif
