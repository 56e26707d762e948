#include "mangodeck/process/entry.h"

#include <algorithm>
#include <cassert>
#include <functional>

namespace mangodeck {

namespace {

/// Retry-After of a daemon that is shutting down. Short, because the balancer
/// routes the next attempt to another daemon.
constexpr Duration DrainingRetryDelay = 1s;

/// Retry-After when the memory limit for waiting bodies is exceeded.
constexpr Duration MemoryRetryDelay = 2s;

/// Generator of request ids. Each thread has its own, so none is locked.
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
  // Step 1. Refuse every request while the daemon shuts down.
  if (!m_Admitting.load(std::memory_order_relaxed)) {
    respondWith(*Exchange,
                describeRefusal({NotRunReason::Draining, DrainingRetryDelay}));
    return;
  }

  // Step 2. Validate the request against the configuration in force.
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

  // Step 3. Refuse the request if there is no memory for its body.
  if (!admitBody(Accepted.Request.Tier)) {
    respondWith(*Accepted.Exchange,
                describeRefusal({NotRunReason::MemoryFull, MemoryRetryDelay}));
    return;
  }

  // Step 4. Pass the request to its shard.
  auto &Shard = shardOf(Accepted.Request.Id);
  Shard.accept(std::move(Accepted));
}

/// Decides whether a new body of \p Tier may be kept. Over the memory limit it
/// may be only if a request of a lower tier waits anywhere in the process; each
/// shard then evicts its newest waiting request of the lowest such tier.
/// Otherwise returns false and evicts nothing.
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

/// Adds what only this daemon knows (id, entry, arrival, deadline) to a checked
/// request. The lower half of the id selects the shard. For a keyed request it
/// is derived from the idempotency key, because repetitions of a request are
/// only recognized within one shard.
AcceptedRequest
Entry::makeAccepted(CheckedRequest Checked,
                    std::shared_ptr<CallerExchange> Exchange) const {
  AcceptedRequest Accepted;
  auto &Request = Accepted.Request;
  Request = std::move(Checked.Draft);
  Request.Id = threadRandom().nextRequestId();
  if (!Checked.IdempotencyKey.empty()) {
    const auto Shard =
        std::hash<std::string>()(Checked.IdempotencyKey) % m_Shards.size();
    Request.Id.Low = (Request.Id.Low >> 8) / m_Shards.size() * m_Shards.size();
    Request.Id.Low += Shard;
  }
  Request.Entry = m_Vm;
  Request.Arrival = m_Time.now();
  Request.Deadline = Request.Arrival + Checked.DeadlineAfter;
  Accepted.IdempotencyKey = std::move(Checked.IdempotencyKey);
  Accepted.Outgoing.Method = std::move(Checked.TargetMethod);
  Accepted.Outgoing.Path = std::move(Checked.TargetPath);
  Accepted.Outgoing.Headers = std::move(Checked.TargetHeaders);
  Accepted.Outgoing.Body = Exchange->request().Body;
  Accepted.Outgoing.Streaming = Checked.Streaming;
  Accepted.Exchange = std::move(Exchange);
  return Accepted;
}

} // namespace mangodeck
