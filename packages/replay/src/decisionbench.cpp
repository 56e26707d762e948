#include "mangodeck/replay/decisionbench.h"

#include "mangodeck/common/random.h"
#include "mangodeck/process/dispatchgroup.h"

#include <fmt/format.h>
#include <malloc.h>

#include <cassert>
#include <chrono>
#include <deque>
#include <unordered_map>

namespace mangodeck {

namespace {

constexpr std::size_t Decisions = 20000;
constexpr std::size_t Evictions = 5000;
constexpr std::size_t Ticks = 20;
constexpr std::size_t Customers = 250;
constexpr std::size_t Prefixes = 500;
constexpr std::size_t BlocksPerPrefix = 4;
constexpr TierRank Tiers = 5;
constexpr std::uint32_t Sequences = 16;

std::size_t heldBytes() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

/// One group under steady load.
class LoadedGroup {
public:
  LoadedGroup(std::size_t Targets, std::size_t Waiting)
      : m_Id{ServiceName("s"), FailureDomain("a"), 0},
        m_Group(makeDispatchGroup(m_Id, 1, 1)),
        m_Sequences(Targets * Sequences),
        m_BetweenFinishes(Duration(1s) / static_cast<std::int64_t>(Targets)) {
    auto Config = std::make_shared<Snapshot>();
    for (TierRank Rank = 0; Rank < Tiers; ++Rank) {
      Tier Entry;
      Entry.Name = TierName(fmt::format("tier{}", Rank));
      Entry.Rank = Rank;
      Config->Tiers.push_back(Entry);
    }
    Service Owner;
    Owner.Name = m_Id.Service;
    Owner.QueueLimit = static_cast<std::uint32_t>(Waiting);
    Config->Services.push_back(Owner);
    for (std::size_t I = 0; I < Targets; ++I) {
      Target Entry;
      Entry.Name = TargetName(fmt::format("t{}", I));
      Entry.Service = m_Id.Service;
      Entry.Domain = m_Id.Domain;
      Entry.MaxSequences = Sequences;
      Config->Targets.push_back(Entry);
    }
    Config->index();
    m_Group->configure(std::move(Config), m_Now, m_Out);
  }

  void submit(TierRank Tier) {
    Ticket Request;
    Request.Id = m_Random.nextRequestId();
    Request.Entry = VmName("vm1");
    Request.Customer =
        CustomerName(fmt::format("customer{}", m_Random.below(Customers)));
    Request.Service = m_Id.Service;
    Request.Tier = Tier;
    Request.Arrival = m_Now;
    Request.Deadline = m_Now + std::chrono::hours(24) +
                       std::chrono::milliseconds(m_Random.below(100000));
    Request.PromptTokens = 3000 + static_cast<TokenCount>(m_Random.below(1000));
    Request.OutputTokens = static_cast<TokenCount>(m_Random.below(500));
    Request.TokensPerBlock = 512;
    const auto Prefix = m_Random.below(Prefixes);
    for (std::size_t I = 0; I < BlocksPerPrefix; ++I)
      Request.PrefixBlocks.push_back(Prefix * 16 + I + 1);
    Request.Fingerprint = m_Random.next();
    m_Last = Request.Id;
    m_Group->submit(std::move(Request), m_Now, m_Out);
    perform();
  }

  void submitAny() { submit(static_cast<TierRank>(m_Random.below(Tiers))); }

  /// Submits until all sequences of all targets are in use.
  void fill() {
    while (m_Running.size() < m_Sequences) {
      submitAny();
      tick();
    }
  }

  /// Virtual time goes on so that each target ends one request in a second.
  void finishOldest() {
    assert(!m_Running.empty() && "nothing runs");
    FinishReport Report;
    Report.Request = m_Running.front().first;
    Report.Target = m_Running.front().second;
    Report.PromptTokens = 3000;
    Report.OutputTokens = 100;
    Report.TimeToFirstToken = 500ms;
    Report.DecodeTime = 3s;
    m_Running.pop_front();
    m_Now += m_BetweenFinishes;
    m_Group->finish(Report, m_Now, m_Out);
    perform();
  }

  void withdrawLast() {
    m_Group->withdraw(m_Last, m_Now, m_Out);
    m_Out.clear();
  }

  void tick() {
    m_Now += 100ms;
    m_Group->tick(m_Now, m_Out);
    perform();
  }

private:
  void perform() {
    for (const auto &Action : m_Out)
      if (const auto *Granted = std::get_if<GrantAction>(&Action))
        m_Running.emplace_back(Granted->Granted.Request,
                               Granted->Granted.Target);
    m_Out.clear();
  }

  GroupId m_Id;
  std::unique_ptr<DispatchGroup> m_Group;
  std::size_t m_Sequences;
  Duration m_BetweenFinishes;
  SeededRandom m_Random{1};
  TimePoint m_Now{std::chrono::hours(1)};
  DispatchGroup::Actions m_Out;
  std::deque<std::pair<RequestId, TargetName>> m_Running;
  RequestId m_Last;
};

/// Mean nanoseconds of \p Call over \p Rounds.
template <typename Callable>
double measureNanoseconds(std::size_t Rounds, Callable &&Call) {
  const auto Start = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < Rounds; ++I)
    Call();
  const Duration Spent = std::chrono::steady_clock::now() - Start;
  return static_cast<double>(Spent.count()) / static_cast<double>(Rounds);
}

} // namespace

DecisionCost measureDecisions(std::size_t Targets, std::size_t Waiting) {
  DecisionCost Cost;
  Cost.Targets = Targets;
  Cost.Waiting = Waiting;
  const auto Empty = heldBytes();
  LoadedGroup Group(Targets, Waiting);
  Group.fill();
  const auto Filled = heldBytes();
  for (std::size_t I = 0; I < Waiting; ++I)
    Group.submitAny();
  const auto Full = heldBytes();
  Cost.BytesPerTarget =
      static_cast<double>(Filled - Empty) / static_cast<double>(Targets);
  Cost.BytesPerTicket =
      static_cast<double>(Full - Filled) / static_cast<double>(Waiting);
  Cost.DecisionNanoseconds = measureNanoseconds(Decisions, [&Group] {
    Group.finishOldest();
    Group.submitAny();
  });
  Cost.EvictionNanoseconds = measureNanoseconds(Evictions, [&Group] {
    Group.submit(0);
    Group.withdrawLast();
    Group.submit(Tiers - 1);
  });
  Cost.TickNanoseconds = measureNanoseconds(Ticks, [&Group] { Group.tick(); });
  return Cost;
}

} // namespace mangodeck
