#include "mangodeck/process/entry.h"

#include <algorithm>
#include <cassert>
#include <functional>

namespace mangodeck {

namespace {

/// Wait told to callers of a daemon that is about to exit; another daemon
/// behind the balancer takes the request at once.
constexpr Duration DrainingRetryDelay = 1s;

/// Wait told to callers whose body this process has no memory for.
constexpr Duration MemoryRetryDelay = 2s;

/// Random numbers for request ids; each thread has its own generator.
RandomSource &threadRandom() {
  thread_local SeededRandom Source = [] {
    DeviceRandom Device;
    return SeededRandom(Device.next());
  }();
  return Source;
}

} // namespace

GroupId chooseGroup(const Snapshot &Config, const FailureDomain &Domain,
                    const Ticket &Request) {
  const auto Hash = Request.PrefixBlocks.empty() ? Request.Id.High
                                                 : Request.PrefixBlocks.front();
  const auto Domains = Config.domainsOf(Request.Service);
  GroupId Group{Request.Service, Domain, 0};
  if (!Domains.empty() &&
      !std::binary_search(Domains.begin(), Domains.end(), Domain))
    Group.Domain = Domains[Hash % Domains.size()];
  if (const auto *Found = Config.findService(Request.Service))
    Group.Slice = static_cast<std::uint32_t>(Hash % Found->SlicesPerDomain);
  return Group;
}

std::vector<GroupId> groupsOf(const Snapshot &Config) {
  std::vector<GroupId> Groups;
  for (const auto &Item : Config.Services)
    for (const auto &Domain : Config.domainsOf(Item.Name))
      for (std::uint32_t Slice = 0; Slice < Item.SlicesPerDomain; ++Slice)
        Groups.push_back({Item.Name, Domain, Slice});
  return Groups;
}

Entry::Entry(VmName Vm, FailureDomain Domain, const Clock &Time,
             const RcuPointer<Snapshot> &Config, const BodyBudget &Bodies,
             std::span<const std::unique_ptr<EntryShard>> Shards)
    : m_Vm(std::move(Vm)), m_Domain(std::move(Domain)), m_Time(Time),
      m_Config(Config), m_Bodies(Bodies), m_Shards(Shards) {
  assert(!m_Shards.empty() && "an entry needs at least one shard");
}

EntryShard &Entry::shardOf(const RequestId &Id) const {
  return *m_Shards[Id.Low % m_Shards.size()];
}

std::size_t Entry::openRequests() const {
  std::size_t Sum = 0;
  for (const auto &Shard : m_Shards)
    Sum += Shard->openRequests();
  return Sum;
}

void Entry::handle(std::shared_ptr<CallerExchange> Exchange) {
  // Step 1. A daemon that exits takes nothing more.
  if (!m_Admitting.load(std::memory_order_relaxed)) {
    respondWith(*Exchange,
                describeRefusal({NotRunReason::Draining, DrainingRetryDelay}));
    return;
  }

  // Step 2. Check the request against the configuration in force.
  AcceptedRequest Accepted;
  {
    const auto Config = m_Config.read();
    auto Input = readCallerInput(Exchange->request(), *Config);
    if (auto *Answer = std::get_if<CallerAnswer>(&Input)) {
      Exchange->respond(Answer->Status, Answer->Headers,
                        std::move(Answer->Body));
      return;
    }
    Accepted = makeAccepted(std::move(std::get<CheckedRequest>(Input)),
                            std::move(Exchange));
    Accepted.Group = chooseGroup(*Config, m_Domain, Accepted.Request);
  }

  // Step 3. Refuse at once what this process cannot hold.
  if (!admitBody(Accepted.Request.Tier)) {
    respondWith(*Accepted.Exchange,
                describeRefusal({NotRunReason::MemoryFull, MemoryRetryDelay}));
    return;
  }

  // Step 4. Hand it to its shard.
  auto &Shard = shardOf(Accepted.Request.Id);
  Shard.accept(std::move(Accepted));
}

/// Makes room for a new body by tier. Over the limit, the lowest tier that
/// waits anywhere in the process gives up one request in each shard; when no
/// lower tier waits, the arriving request itself is refused.
bool Entry::admitBody(TierRank Tier) const {
  if (!m_Bodies.isExceeded())
    return true;
  const auto Lowest = m_Bodies.lowestWaitingTier();
  if (!Lowest || *Lowest <= Tier)
    return false;
  for (const auto &Shard : m_Shards)
    Shard->evictNewest(*Lowest);
  return true;
}

/// Draws the request's id. The lower half of the id selects the shard, and
/// requests with the same key must meet in one shard, so theirs is set by the
/// key.
AcceptedRequest
Entry::makeAccepted(CheckedRequest Checked,
                    std::shared_ptr<CallerExchange> Exchange) const {
  AcceptedRequest Accepted;
  auto &Facts = Accepted.Request;
  Facts = std::move(Checked.Draft);
  Facts.Id = threadRandom().nextRequestId();
  if (!Checked.IdempotencyKey.empty()) {
    const auto Shard =
        std::hash<std::string>()(Checked.IdempotencyKey) % m_Shards.size();
    Facts.Id.Low = (Facts.Id.Low >> 8) / m_Shards.size() * m_Shards.size();
    Facts.Id.Low += Shard;
  }
  Facts.Entry = m_Vm;
  Facts.Arrival = m_Time.now();
  Facts.Deadline = Facts.Arrival + Checked.DeadlineAfter;
  Accepted.Key = std::move(Checked.IdempotencyKey);
  Accepted.Outgoing.Method = std::move(Checked.TargetMethod);
  Accepted.Outgoing.Path = std::move(Checked.TargetPath);
  Accepted.Outgoing.Headers = std::move(Checked.TargetHeaders);
  Accepted.Outgoing.Body = Exchange->request().Body;
  Accepted.Outgoing.Streaming = Checked.Streaming;
  Accepted.Exchange = std::move(Exchange);
  return Accepted;
}

} // namespace mangodeck
