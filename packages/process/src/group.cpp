#include "group.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace mangodeck {

namespace {

constexpr std::uint32_t DefaultQueueLimit = 1000;
constexpr Duration CleanupInterval = 10s;
constexpr Duration UpdateInterval = 1s;
/// A grant whose end is never reported is released this long after its
/// deadline.
constexpr Duration OverdueGrantRetention = 60s;
constexpr Duration NotDeliveredBackoff = 1s;

} // namespace

std::unique_ptr<DispatchGroup>
makeDispatchGroup(GroupId Id, std::uint64_t Epoch, std::uint64_t Seed) {
  return std::make_unique<Group>(std::move(Id), Epoch, Seed);
}

Group::Group(GroupId Id, std::uint64_t Epoch, std::uint64_t Seed)
    : m_Id(std::move(Id)), m_Epoch(Epoch), m_Random(Seed) {}

void Group::configure(SnapshotPtr Config, TimePoint Now, Actions &Out) {
  m_Config = std::move(Config);
  m_TierReserve.configure(m_Config->Tiers);
  const auto Records = m_Config->targetsOf(m_Id);
  m_Placement.configure(Records, Now);
  for (const auto *Record : Records)
    if (Record->KvTokens > 0)
      m_Placement.prefixCache().setCapacity(*m_Placement.find(Record->Name),
                                            Record->KvTokens);
  dispatchWaiting(Now, Out);
}

void Group::withdraw(const RequestId &Request, TimePoint Now, Actions &Out) {
  const auto Taken = m_Queue.remove(Request);
  if (Taken)
    m_Limits.release(Taken->Customer);
}

/// Releases a grant that the entry daemon did not use. The request is queued
/// again only if the target was the reason. Duplicate releases nothing: the
/// entry daemon already used another grant of the request, so it is running.
void Group::returnGrant(const RequestId &Request, ReturnReason Reason,
                        TimePoint Now, Actions &Out) {
  if (Reason == ReturnReason::Duplicate)
    return;
  auto Item = releaseGrant(Request, Now);
  if (!Item)
    return;
  auto &Target = m_Placement.target(Item->Target);
  const bool QueueAgain = Reason == ReturnReason::TargetLeaving ||
                          Reason == ReturnReason::NotDelivered;
  if (Reason == ReturnReason::TargetLeaving)
    Target.markLeaving(Item->TargetIncarnation);
  if (Reason == ReturnReason::NotDelivered)
    Target.backOff(Now + NotDeliveredBackoff);
  if (Reason == ReturnReason::NotDelivered)
    m_Placement.recordFailure(Item->Target, Now);
  m_Placement.refresh(Item->Target, Now);
  if (QueueAgain) {
    m_Limits.addInProgress(Item->Request.Customer);
    enqueue(std::move(Item->Request), Now);
  }
  dispatchWaiting(Now, Out);
}

void Group::finish(const FinishReport &Report, TimePoint Now, Actions &Out) {
  const auto Item = releaseGrant(Report.Request, Now);
  if (!Item)
    return;
  if (Report.Kind == FinishKind::Completed) {
    learnFromFinish(*Item, Report, Now);
    m_Suspects.removeSuspect(Item->Request.Fingerprint);
  }
  if (Report.Kind == FinishKind::Lost)
    m_Placement.recordFailure(Item->Target, Now);
  if (Report.Kind == FinishKind::Crashed)
    recordCrash(*Item, Now, Out);
  m_Placement.refresh(Item->Target, Now);
  dispatchWaiting(Now, Out);
}

/// Ends a grant: frees its capacity at the target and its place in the
/// customer's concurrency limit, and unblocks tickets that waited for this
/// suspect. Returns std::nullopt for an unknown request.
std::optional<GrantedRequest> Group::releaseGrant(const RequestId &Id,
                                                  TimePoint Now) {
  const auto It = m_Granted.find(Id);
  if (It == m_Granted.end())
    return std::nullopt;
  GrantedRequest Item = std::move(It->second);
  m_Granted.erase(It);
  m_Placement.target(Item.Target).removeGrant(Item.Work, Now);
  m_Placement.refresh(Item.Target, Now);
  m_Limits.release(Item.Request.Customer);
  if (m_RunningSuspect == Id) {
    m_RunningSuspect.reset();
    m_Queue.unblockAll();
  }
  return Item;
}

/// Updates the estimates of the target's speed and of the answer time, and the
/// target's concurrency limit, from a completed request. Ignores requests that
/// were granted in an earlier generation of the target.
void Group::learnFromFinish(const GrantedRequest &Item,
                            const FinishReport &Report, TimePoint Now) {
  auto &Target = m_Placement.target(Item.Target);
  if (Item.TargetGeneration != Target.generation())
    return;
  const auto Prefill = Report.CachedTokens > 0
                           ? Report.PromptTokens - Report.CachedTokens
                           : Item.Work.PrefillTokens;
  const Duration OwnPrefill = std::max<Duration>(
      Duration(0), Report.TimeToFirstToken - Item.PrefillDelay);
  Target.Health.recordSuccess();
  Target.Speed.addSample(Prefill, OwnPrefill, Report.OutputTokens,
                         Report.DecodeTime);

  m_AnswerTime.addSample(Item.Request.OutputTokens, Report);

  const auto &LatencyTargets = tierOf(Item.Request.Tier);
  if (Report.OutputTokens > 1) {
    const double Gap = toSeconds(Report.DecodeTime) /
                       static_cast<double>(Report.OutputTokens - 1);
    Target.Limit.observe(Gap / toSeconds(LatencyTargets.TokenGapTarget),
                         Item.TargetFull, Now);
  }
}

/// Handles the report that the target crashed while it ran \p Item. The first
/// such report in a generation of the target makes all requests that this group
/// runs there suspects of one crash, marks the target down and begins its next
/// generation. A later report about a request of an earlier generation makes
/// only that request a suspect. Linear in the running requests.
void Group::recordCrash(const GrantedRequest &Item, TimePoint Now,
                        Actions &Out) {
  auto &Target = m_Placement.target(Item.Target);
  const auto CrashId = crashIdOf(Item);
  if (m_Suspects.addSuspect({Item.Request.Fingerprint, CrashId}, false, Now))
    refuseQuarantined(Item.Request.Fingerprint, Now, Out);
  if (Item.TargetGeneration != Target.generation())
    return;
  for (const auto &[Id, Other] : m_Granted)
    if (Other.Target == Item.Target &&
        Other.TargetGeneration == Item.TargetGeneration)
      m_Suspects.addSuspect({Other.Request.Fingerprint, CrashId}, false, Now);
  Target.beginGeneration();
  Target.markDown(Now);
  m_Placement.prefixCache().clearTarget(Item.Target);
}

/// Identifies a crash by the target and its incarnation, which gives the same
/// number in all groups. While the incarnation is unknown, the owner's epoch
/// and the target's generation take its place.
std::uint64_t Group::crashIdOf(const GrantedRequest &Item) const {
  const auto &Name = m_Placement.target(Item.Target).name().Text;
  const auto Seed = Item.TargetIncarnation != 0
                        ? Item.TargetIncarnation
                        : ~(Item.TargetGeneration ^ (m_Epoch << 32));
  return XXH3_64bits_withSeed(Name.data(), Name.size(), Seed);
}

void Group::adoptRunning(std::span<const RunningRequest> Running, TimePoint Now,
                         Actions &Out) {
  for (const auto &Entry : Running) {
    const auto Index = m_Placement.find(Entry.Target);
    if (!Index || m_Granted.contains(Entry.Request.Id))
      continue;
    withdraw(Entry.Request.Id, Now, Out);
    auto &Target = m_Placement.target(*Index);
    GrantedRequest Item;
    Item.Request = Entry.Request;
    Item.Target = *Index;
    Item.TargetIncarnation = Entry.TargetIncarnation;
    Item.TargetGeneration = Target.generation();
    Item.Work = workOf(Entry.Request);
    Item.Work.PrefillTokens = 0;
    Item.GrantedAt = Now - Entry.RunningTime;
    Target.addGrant(Item.Work, Now);
    m_Placement.prefixCache().recordPlacement(*Index, Entry.Request);
    m_Placement.refresh(*Index, Now);
    m_Limits.addInProgress(Entry.Request.Customer);
    m_Granted.emplace(Entry.Request.Id, std::move(Item));
  }
}

void Group::reportLoad(const LoadReport &Report, TimePoint Now, Actions &Out) {
  const auto Index = m_Placement.find(Report.Target);
  if (!Index)
    return;
  auto &Target = m_Placement.target(*Index);
  const auto Generation = Target.generation();
  if (!Target.applyReport(Report, Now))
    return;
  if (Target.generation() != Generation)
    m_Placement.prefixCache().clearTarget(*Index);
  m_Placement.refresh(*Index, Now);
  dispatchWaiting(Now, Out);
}

void Group::reportCache(const CacheEvent &Report, TimePoint Now) {
  if (const auto Index = m_Placement.find(Report.Target))
    m_Placement.prefixCache().applyCacheEvent(*Index, Report);
}

void Group::markLeaving(const TargetName &Target, Incarnation Started,
                        TimePoint Now, Actions &Out) {
  const auto Index = m_Placement.find(Target);
  if (!Index)
    return;
  m_Placement.target(*Index).markLeaving(Started);
  m_Placement.refresh(*Index, Now);
}

void Group::markDown(const TargetName &Target, TimePoint Now, Actions &Out) {
  const auto Index = m_Placement.find(Target);
  if (!Index)
    return;
  m_Placement.target(*Index).markDown(Now);
  m_Placement.refresh(*Index, Now);
}

void Group::quarantine(std::uint64_t Fingerprint, TimePoint Now, Actions &Out) {
  if (m_Suspects.quarantine(Fingerprint, Now))
    refuseQuarantined(Fingerprint, Now, Out);
}

void Group::refuseQuarantined(std::uint64_t Fingerprint, TimePoint Now,
                              Actions &Out) {
  for (const auto &Id : m_Queue.ticketsWithFingerprint(Fingerprint))
    refuseWaiting(Id, NotRunReason::Quarantined, Now, Out);
}

std::vector<std::uint64_t> Group::quarantined() const {
  return m_Suspects.quarantinedFingerprints();
}

std::vector<CrashSuspect> Group::suspects(TimePoint Now) const {
  return m_Suspects.recentOwnSuspects(Now);
}

void Group::recordSuspects(std::span<const CrashSuspect> Suspects,
                           TimePoint Now, Actions &Out) {
  for (const auto &Suspect : Suspects)
    if (m_Suspects.addSuspect(Suspect, true, Now))
      refuseQuarantined(Suspect.Fingerprint, Now, Out);
}

/// Linear in the waiting and running requests, which is acceptable because
/// entry daemons are rarely lost.
void Group::releaseEntry(const VmName &Entry, TimePoint Now, Actions &Out) {
  for (const auto &Id : m_Queue.ticketsFromEntry(Entry))
    withdraw(Id, Now, Out);
  std::vector<RequestId> Running;
  for (const auto &[Id, Item] : m_Granted)
    if (Item.Request.Entry == Entry)
      Running.push_back(Id);
  for (const auto &Id : Running)
    releaseGrant(Id, Now);
  dispatchWaiting(Now, Out);
}

void Group::receiveSummary(const GroupSummary &Other, Duration LinkDelay,
                           TimePoint Now) {
  if (Other.Group.Service == m_Id.Service && !(Other.Group == m_Id))
    m_Spill.recordSummary(Other, LinkDelay, Now);
}

GroupSummary Group::summary(TimePoint Now) const {
  GroupSummary Result;
  Result.Group = m_Id;
  Result.Epoch = m_Epoch;
  Result.FreeSequences = m_Queue.empty() ? m_Placement.freeSequences() : 0;
  const auto Lowest = m_Queue.lowestWaitingTier();
  if (Lowest)
    Result.WaitingPerTier.resize(*Lowest + 1U);
  for (std::size_t Rank = 0; Rank < Result.WaitingPerTier.size(); ++Rank)
    Result.WaitingPerTier[Rank] = static_cast<std::uint32_t>(
        m_Queue.waitingCount(static_cast<TierRank>(Rank)));
  if (Lowest && m_Queue.size() >= queueLimit())
    Result.LowestAdmitted = *Lowest > 0 ? *Lowest - 1 : 0;
  Result.Demand = m_Limits.demand();
  Result.QueueDelay = m_DrainRate.timeToStart(m_Queue.tokensAtOrAbove(255));
  return Result;
}

void Group::tick(TimePoint Now, Actions &Out) {
  refuseExpired(Now, Out);
  releaseOverdueGrants(Now);
  m_DrainRate.update(Now, !m_Queue.empty());
  if (Now - m_LastUpdate >= UpdateInterval) {
    m_LastUpdate = Now;
    m_Placement.relaxIdleSpeeds(Now);
    m_Limits.updateShares(Now, m_Spill.demandPerSecond(Now));
  }
  m_Placement.refreshAll(Now);
  refuseWithoutTargets(Now, Out);
  dispatchWaiting(Now, Out);
  spillReadyTickets(Now, Out);
  if (Now - m_LastCleanup >= CleanupInterval) {
    m_LastCleanup = Now;
    m_Queue.prune();
    m_Suspects.expire(Now);
  }
}

void Group::releaseOverdueGrants(TimePoint Now) {
  if (Now - m_LastCleanup < CleanupInterval)
    return;
  std::vector<RequestId> Overdue;
  for (const auto &[Id, Item] : m_Granted)
    if (Now > Item.Request.Deadline + OverdueGrantRetention)
      Overdue.push_back(Id);
  for (const auto &Id : Overdue)
    releaseGrant(Id, Now);
}

const Customer &Group::customerOf(const Ticket &Request) const {
  const auto *Record =
      m_Config ? m_Config->findCustomer(Request.Customer) : nullptr;
  return Record ? *Record : m_DefaultCustomer;
}

const Tier &Group::tierOf(TierRank Rank) const {
  if (m_Config)
    for (const auto &Entry : m_Config->Tiers)
      if (Entry.Rank == Rank)
        return Entry;
  return m_DefaultTier;
}

std::uint32_t Group::queueLimit() const {
  const auto *Owner = m_Config ? m_Config->findService(m_Id.Service) : nullptr;
  return Owner ? Owner->QueueLimit : DefaultQueueLimit;
}

} // namespace mangodeck
