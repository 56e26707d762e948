#ifndef MANGODECK_PROCESS_GROUP_H
#define MANGODECK_PROCESS_GROUP_H

#include "answertime.h"
#include "crashsuspects.h"
#include "customerlimits.h"
#include "drainrate.h"
#include "placement.h"
#include "spill.h"
#include "tierqueue.h"
#include "tierreserve.h"

#include "mangodeck/common/random.h"
#include "mangodeck/process/dispatchgroup.h"

#include <optional>
#include <unordered_map>

namespace mangodeck {

/// A request that was granted a target and has not ended yet.
struct GrantedRequest {
  Ticket Request;
  TargetIndex Target = 0;
  Incarnation TargetIncarnation = 0;
  std::uint64_t TargetLife = 0;
  GrantedWork Work;
  Duration Ahead{0}; ///< Expected delay by earlier grants.
  TimePoint GrantedAt;
  bool Suspect = false;
  bool Full = false; ///< The target's limit was reached with this grant.
};

/// The dispatch group that the product runs.
class Group : public DispatchGroup {
public:
  Group(GroupId Id, std::uint64_t Epoch, std::uint64_t Seed);

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

private:
  enum class Step { Granted, Continue, Stop };

  // Decision.
  void decide(TimePoint Now, Actions &Out);
  Step decideNext(TimePoint Now, Actions &Out);
  Step decideTier(TierRank Rank, TimePoint Now, Actions &Out);
  Duration mostAhead(TierRank Rank) const;
  bool grantHeld(TimePoint Now, Actions &Out);
  Step hold(const WaitingTicket &Entry, TimePoint Now, Actions &Out);
  void releaseHold();
  void grant(const RequestId &Id, const Choice &Chosen, TimePoint Now,
             Actions &Out);
  void emitGrant(const GrantedRequest &Item, Actions &Out) const;

  // Admission and giving up.
  bool makeRoom(const Ticket &Arriving, TimePoint Now, Actions &Out);
  std::optional<GroupId> prefixHome(const Ticket &Request, TimePoint Now) const;
  void enqueue(Ticket Request, TimePoint Now);
  void refuse(const Ticket &Request, NotRunReason Reason, Duration RetryAfter,
              Actions &Out) const;
  void giveUp(const RequestId &Id, NotRunReason Reason, TimePoint Now,
              Actions &Out);
  void passOn(Ticket Request, const GroupId &To, Actions &Out);
  bool passOnWaiting(const RequestId &Id, const GroupId &To, Actions &Out);
  Duration retryAfter(TierRank Tier);
  TimePoint latestStart(const Ticket &Request) const;
  void expire(TimePoint Now, Actions &Out);
  void refuseWithoutTargets(TimePoint Now, Actions &Out);
  void spillWaiting(TimePoint Now, Actions &Out);

  // Running requests.
  std::optional<GrantedRequest> release(const RequestId &Id, TimePoint Now);
  void learn(const GrantedRequest &Item, const FinishReport &Report,
             TimePoint Now);
  void noteCrash(const GrantedRequest &Item, TimePoint Now, Actions &Out);
  std::uint64_t crashOf(const GrantedRequest &Item) const;
  void refuseQuarantined(std::uint64_t Fingerprint, TimePoint Now,
                         Actions &Out);
  void dropOverdue(TimePoint Now);

  const Customer &customerOf(const Ticket &Request) const;
  const Tier &tierOf(TierRank Rank) const;
  std::uint32_t queueLimit() const;

  struct Hold {
    RequestId Request;
    TargetIndex Target = 0;
  };

  GroupId m_Id;
  std::uint64_t m_Epoch;
  mutable SeededRandom m_Random;
  SnapshotPtr m_Config;
  Customer m_UnknownCustomer;
  Tier m_UnknownTier;
  TierQueue m_Queue;
  TierReserve m_Reserve;
  Placement m_Placement;
  CrashSuspects m_Suspects;
  CustomerLimits m_Limits;
  DrainRate m_Drain;
  AnswerTime m_AnswerTime;
  Spill m_Spill;
  std::unordered_map<RequestId, GrantedRequest> m_Granted;
  std::optional<RequestId> m_RunningSuspect;
  std::optional<Hold> m_Hold;
  std::optional<TimePoint> m_UnusableSince;
  TimePoint m_LastPrune{};
  TimePoint m_LastUpdate{};
};

} // namespace mangodeck

#endif
