#ifndef MANGODECK_REPLAY_POLICY_H
#define MANGODECK_REPLAY_POLICY_H

#include "mangodeck/replay/eventloop.h"
#include "mangodeck/replay/trace.h"
#include "mangodeck/request/outcome.h"
#include "mangodeck/request/targetreport.h"
#include "mangodeck/request/ticket.h"
#include "mangodeck/version/snapshot.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// The entry daemons of a replay, as a policy sees them. Calls take effect at
/// once; a policy delays them by the links that they pass.
class EntrySide {
public:
  virtual ~EntrySide() = default;
  virtual void onGrant(const Grant &Granted) = 0;
  virtual void onRefusal(const RequestId &Request, const Refusal &Reason) = 0;
};

/// What a policy is made of.
struct PolicyContext {
  EventLoop &Loop;
  EntrySide &Entries;
  SnapshotPtr Config;
  const TraceHeader &Header;
  std::uint64_t Seed = 1;

  /// One-way delay between two failure domains.
  Duration delay(const FailureDomain &A, const FailureDomain &B) const;
  FailureDomain domainOf(const VmName &Entry) const;
};

/// Decides where requests run. Events come as the entry daemon or the target
/// sends them; load reports and cache events come already delayed.
class Policy {
public:
  virtual ~Policy() = default;
  virtual void submit(const Ticket &Request) = 0;
  virtual void withdraw(const Ticket &Request) = 0;
  virtual void returnGrant(const Ticket &Request, const Grant &Granted,
                           ReturnReason Reason) = 0;
  virtual void finish(const Ticket &Request, const Grant &Granted,
                      const FinishReport &Report) = 0;
  virtual void reportLoad(const LoadReport &Report) = 0;
  virtual void reportCache(const CacheEvent &Event) = 0;
  virtual void markLeaving(const TargetName &Target, Incarnation Started) = 0;
  virtual void markDown(const TargetName &Target) = 0;
  virtual void tick() = 0;

  /// Invariants that were broken, one line each; empty when all held.
  virtual std::vector<std::string> violations() const { return {}; }
};

/// Names of the policies: "mangodeck", then the baselines.
std::span<const std::string_view> policyNames();

/// Makes a policy; null for an unknown name.
std::unique_ptr<Policy> makePolicy(std::string_view Name,
                                   const PolicyContext &Context);

} // namespace mangodeck

#endif
