#ifndef MANGODECK_REPLAY_GROUPPOLICY_H
#define MANGODECK_REPLAY_GROUPPOLICY_H

#include "mangodeck/replay/checkedgroup.h"
#include "mangodeck/replay/policy.h"

#include <map>
#include <unordered_map>

namespace mangodeck {

/// The product's policy: one dispatch group for each service, failure domain
/// and slice, which tell each other digests and quarantined fingerprints.
class GroupPolicy : public Policy {
public:
  explicit GroupPolicy(const PolicyContext &Context);

  void submit(const Ticket &Request) override;
  void withdraw(const Ticket &Request) override;
  void returnGrant(const Ticket &Request, const Grant &Granted,
                   ReturnReason Reason) override;
  void finish(const Ticket &Request, const Grant &Granted,
              const FinishReport &Report) override;
  void reportLoad(const LoadReport &Report) override;
  void reportCache(const CacheEvent &Event) override;
  void markLeaving(const TargetName &Target, Incarnation Started) override;
  void markDown(const TargetName &Target) override;
  void tick() override;
  std::vector<std::string> violations() const override;

private:
  using Call = std::function<void(DispatchGroup &, DispatchGroup::Actions &)>;

  /// Calls a group after the link's delay and carries its actions out.
  void callAfter(Duration Delay, const GroupId &Id, Call What);
  void call(const GroupId &Id, const Call &What);
  void perform(const GroupId &From, const GroupAction &Action);
  void exchangeDigests();
  GroupId homeOf(const Ticket &Request) const;
  Duration delayTo(const Ticket &Request, const GroupId &Id) const;

  PolicyContext m_Context;
  std::map<GroupId, std::unique_ptr<CheckedGroup>> m_Groups;
  std::unordered_map<TargetName, GroupId> m_GroupOfTarget;
  std::unordered_map<RequestId, GroupId> m_GroupOfRequest;
  std::uint64_t m_Ticks = 0;
};

} // namespace mangodeck

#endif
