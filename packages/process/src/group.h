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

/// A request that was granted a target and whose end is not reported yet.
struct GrantedRequest {
  Ticket Request;
  TargetIndex Target = 0;
  Incarnation TargetIncarnation = 0;
  std::uint64_t TargetGeneration = 0;
  GrantedWork Work;
  /// Expected wait for the prefill of earlier grants at the target.
  Duration PrefillDelay{0};
  TimePoint GrantedAt;
  bool IsSuspect = false;
  bool TargetFull = false; ///< This grant took the target's last free sequence.
};

/// The dispatch group that the daemon runs. The implementation is split into
/// groupdecision.cpp (dispatch), groupadmission.cpp (admission, refusal and
/// spilling) and group.cpp (everything else).
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
  /// Result of a decision about one ticket. Continue: the ticket was refused or
  /// blocked, so the next one may be granted. Stop: no ticket can be granted.
  enum class DispatchResult { Granted, Continue, Stop };

  // Dispatch.
  void dispatchWaiting(TimePoint Now, Actions &Out);
  DispatchResult dispatchNext(TimePoint Now, Actions &Out);
  DispatchResult dispatchFromTier(TierRank Rank, TimePoint Now, Actions &Out);
  Duration maxPendingPrefill(TierRank Rank) const;
  bool grantReserved(TimePoint Now, Actions &Out);
  DispatchResult reserveTarget(const WaitingTicket &Entry, TimePoint Now,
                               Actions &Out);
  void cancelReservation();
  void grant(const RequestId &Id, const RatedTarget &Chosen, TimePoint Now,
             Actions &Out);
  void emitGrant(const GrantedRequest &Item, Actions &Out) const;

  // Admission, refusal and spilling.
  bool makeQueueSpace(const Ticket &Arriving, TimePoint Now, Actions &Out);
  std::optional<GroupId> groupForPrefix(const Ticket &Request,
                                        TimePoint Now) const;
  void enqueue(Ticket Request, TimePoint Now);
  void refuse(const Ticket &Request, NotRunReason Reason, Duration RetryAfter,
              Actions &Out) const;
  void refuseWaiting(const RequestId &Id, NotRunReason Reason, TimePoint Now,
                     Actions &Out);
  void spill(Ticket Request, const GroupId &To, Actions &Out);
  bool spillQueued(const RequestId &Id, const GroupId &To, Actions &Out);
  Duration retryAfter(TierRank Tier);
  TimePoint latestStart(const Ticket &Request) const;
  void refuseExpired(TimePoint Now, Actions &Out);
  void refuseWithoutTargets(TimePoint Now, Actions &Out);
  void spillReadyTickets(TimePoint Now, Actions &Out);

  // Running requests.
  std::optional<GrantedRequest> releaseGrant(const RequestId &Id,
                                             TimePoint Now);
  void learnFromFinish(const GrantedRequest &Item, const FinishReport &Report,
                       TimePoint Now);
  void recordCrash(const GrantedRequest &Item, TimePoint Now, Actions &Out);
  std::uint64_t crashIdOf(const GrantedRequest &Item) const;
  void refuseQuarantined(std::uint64_t Fingerprint, TimePoint Now,
                         Actions &Out);
  void releaseOverdueGrants(TimePoint Now);

  const Customer &customerOf(const Ticket &Request) const;
  const Tier &tierOf(TierRank Rank) const;
  std::uint32_t queueLimit() const;

  /// A target that takes no other work until it has capacity for one large
  /// request.
  struct TargetReservation {
    RequestId Request;
    TargetIndex Target = 0;
  };

  GroupId m_Id;
  std::uint64_t m_Epoch;
  mutable SeededRandom m_Random;
  SnapshotPtr m_Config;
  Customer m_DefaultCustomer;
  Tier m_DefaultTier;
  TierQueue m_Queue;
  TierReserve m_TierReserve;
  Placement m_Placement;
  CrashSuspects m_Suspects;
  CustomerLimits m_Limits;
  DrainRate m_DrainRate;
  AnswerTime m_AnswerTime;
  Spill m_Spill;
  std::unordered_map<RequestId, GrantedRequest> m_Granted;
  std::optional<RequestId> m_RunningSuspect;
  std::optional<TargetReservation> m_TargetReservation;
  std::optional<TimePoint> m_NoUsableTargetSince;
  TimePoint m_LastCleanup{};
  TimePoint m_LastUpdate{};
};

} // namespace mangodeck

#endif
