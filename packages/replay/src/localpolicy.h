#ifndef MANGODECK_REPLAY_LOCALPOLICY_H
#define MANGODECK_REPLAY_LOCALPOLICY_H

#include "mangodeck/replay/policy.h"

#include "mangodeck/common/random.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace mangodeck {

/// A baseline: each entry daemon decides on its own, by the targets' reports
/// and what it has in progress itself. Its queue is first in, first out and
/// bounded; its bounds add up to those of the dispatch groups. A target may be
/// given twice its batch by all entry daemons together.
class LocalPolicy : public Policy {
public:
  explicit LocalPolicy(const PolicyContext &Context);

  void submit(const Ticket &Request) override;
  void withdraw(const Ticket &Request) override;
  void returnGrant(const Ticket &Request, const Grant &Granted,
                   ReturnReason Reason) override;
  void finish(const Ticket &Request, const Grant &Granted,
              const FinishReport &Report) override;
  void reportLoad(const LoadReport &Report) override;
  void reportCache(const CacheEvent &) override {}
  void markLeaving(const TargetName &Target, Incarnation Started) override;
  void markDown(const TargetName &Target) override;
  void tick() override;

protected:
  struct TargetView {
    const Target *Record = nullptr;
    std::uint32_t ReportedLoad = 0;
    Incarnation Started = 0;
    Incarnation LeavingThrough = 0;
    bool Down = false;
    TimePoint DownSince{};
  };

  /// The queue of one entry daemon for one service.
  struct LocalQueue {
    std::deque<Ticket> Waiting;
    std::vector<std::size_t> Targets; ///< Positions of the service's targets.
    std::map<std::size_t, std::uint32_t> InProgress;
    std::map<std::size_t, TimePoint> BackOffUntil;
    std::size_t Limit = 0;
    std::size_t Cursor = 0;
  };

  /// Chooses one of \p Open, which is not empty.
  virtual std::size_t choose(LocalQueue &Queue,
                             std::span<const std::size_t> Open) = 0;

  /// Reported sequences and own ones, relative to the target's batch.
  double loadOf(const LocalQueue &Queue, std::size_t Target) const;

  PolicyContext m_Context;
  SeededRandom m_Random;
  std::vector<TargetView> m_Targets;

private:
  LocalQueue &queueOf(const Ticket &Request);
  bool isOpen(const LocalQueue &Queue, std::size_t Target) const;
  void dispatch(LocalQueue &Queue);
  void dispatchAll();
  void expire(LocalQueue &Queue);

  std::unordered_map<TargetName, std::size_t> m_ByName;
  std::map<std::pair<VmName, ServiceName>, LocalQueue> m_Queues;
};

/// Takes the targets in turn.
class RoundRobinPolicy : public LocalPolicy {
public:
  using LocalPolicy::LocalPolicy;

protected:
  std::size_t choose(LocalQueue &Queue,
                     std::span<const std::size_t> Open) override;
};

/// Takes the target with the least load.
class LeastLoadPolicy : public LocalPolicy {
public:
  using LocalPolicy::LocalPolicy;

protected:
  std::size_t choose(LocalQueue &Queue,
                     std::span<const std::size_t> Open) override;
};

/// Takes the less loaded one of two targets drawn at random.
class TwoChoicesPolicy : public LocalPolicy {
public:
  using LocalPolicy::LocalPolicy;

protected:
  std::size_t choose(LocalQueue &Queue,
                     std::span<const std::size_t> Open) override;
};

} // namespace mangodeck

#endif
