#ifndef MANGODECK_REPLAY_CHECKEDGROUP_H
#define MANGODECK_REPLAY_CHECKEDGROUP_H

#include "mangodeck/process/dispatchgroup.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mangodeck {

/// Passes all events to a dispatch group and checks at each step that
///  - a grant or refusal is for a ticket that waits in the group;
///  - no ticket is shed while one of a lower tier waits;
///  - no target is granted work after it was marked as leaving;
///  - a target's grants stay within its sequences and KV tokens, a common
///    prefix of running requests counted once;
///  - a refusal that may be retried says when.
class CheckedGroup : public DispatchGroup {
public:
  CheckedGroup(GroupId Id, std::unique_ptr<DispatchGroup> Checked);

  void configure(SnapshotPtr Config, TimePoint Now, Actions &Out) override;
  void submit(Ticket Request, TimePoint Now, Actions &Out) override;
  void withdraw(const RequestId &Request, TimePoint Now, Actions &Out) override;
  void returnGrant(const RequestId &Request, ReturnReason Reason, TimePoint Now,
                   Actions &Out) override;
  void finish(const FinishReport &Report, TimePoint Now, Actions &Out) override;
  void adoptRunning(std::span<const RunningRequest> Running, TimePoint Now,
                    Actions &Out) override;
  void reportLoad(const LoadReport &Report, TimePoint Now,
                  Actions &Out) override;
  void reportCache(const CacheEvent &Report, TimePoint Now) override;
  void markLeaving(const TargetName &Target, Incarnation Started, TimePoint Now,
                   Actions &Out) override;
  void markDown(const TargetName &Target, TimePoint Now, Actions &Out) override;
  void quarantine(std::uint64_t Fingerprint, TimePoint Now,
                  Actions &Out) override;
  std::vector<std::uint64_t> quarantined() const override;
  std::vector<CrashSuspect> suspects(TimePoint Now) const override;
  void recordSuspects(std::span<const CrashSuspect> Suspects, TimePoint Now,
                      Actions &Out) override;
  void releaseEntry(const VmName &Entry, TimePoint Now, Actions &Out) override;
  void receiveSummary(const GroupSummary &Other, Duration LinkDelay,
                      TimePoint Now) override;
  GroupSummary summary(TimePoint Now) const override;
  void tick(TimePoint Now, Actions &Out) override;

  const std::vector<std::string> &violations() const { return m_Violations; }

private:
  struct TargetUse {
    std::uint32_t Sequences = 0;
    TokenCount Kv = 0;
    std::map<std::vector<std::uint64_t>, std::uint32_t> PrefixUsers;
    Incarnation Known = 0;
    Incarnation LeavingThrough = 0;
    bool Leaving = false;
  };

  struct RunningTicket {
    Ticket Request;
    TargetName Target;
    Incarnation TargetIncarnation = 0;
  };

  void check(std::size_t From, const Actions &Out);
  void checkGrant(const Grant &Granted);
  void checkRefusal(const RefuseAction &Refused);
  static TokenCount commonTokens(const Ticket &Request);
  static void addUse(TargetUse &Use, const Ticket &Request);
  static void removeUse(TargetUse &Use, const Ticket &Request);
  void release(const RequestId &Id, bool WaitsAgain);
  void removeWaiting(const RequestId &Id, std::string_view Action);
  void violate(std::string_view What, const RequestId &Id);

  GroupId m_Id;
  std::unique_ptr<DispatchGroup> m_Checked;
  SnapshotPtr m_Config;
  std::unordered_map<RequestId, Ticket> m_Waiting;
  std::map<TierRank, std::size_t> m_WaitingByTier;
  std::unordered_map<RequestId, RunningTicket> m_Running;
  std::unordered_map<TargetName, TargetUse> m_Targets;
  std::vector<std::string> m_Violations;
};

} // namespace mangodeck

#endif
