#include "mangodeck/common/clock.h"
#include "mangodeck/common/random.h"
#include "mangodeck/replay/checkedgroup.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace mangodeck {

namespace {

constexpr std::size_t Targets = 4;

/// Drives one group with random events and keeps account of every request.
class RandomRun {
public:
  explicit RandomRun(std::uint64_t Seed)
      : m_Random(Seed), m_Id{ServiceName("s"), FailureDomain("a"), 0},
        m_Group(m_Id, makeDispatchGroup(m_Id, 1, Seed)) {
    configure(false);
  }

  void step() {
    m_Clock.advance(fromSeconds(0.2 * m_Random.uniform()));
    const auto Choice = m_Random.below(100);
    if (Choice < 45)
      submit();
    else if (Choice < 70)
      endOne();
    else if (Choice < 74)
      withdrawOne();
    else if (Choice < 78)
      resubmitOne();
    else if (Choice < 82)
      report(targetName(m_Random.below(Targets)), m_Random.below(8) == 0);
    else if (Choice < 84)
      m_Group.markDown(targetName(m_Random.below(Targets)), now(), m_Out);
    else if (Choice < 85)
      m_Group.markLeaving(targetName(m_Random.below(Targets)), 0, now(), m_Out);
    else if (Choice < 86)
      ++m_Started[m_Random.below(Targets)];
    else if (Choice < 87)
      configure(m_Random.below(4) == 0);
    else if (Choice < 88)
      releaseEntry();
    else if (Choice < 92)
      receiveSummary();
    else
      m_Group.tick(now(), m_Out);
    perform();
  }

  /// Ends everything; afterwards no request may be left without an outcome.
  void drain() {
    configure(false);
    for (int Round = 0; Round < 3000 && !m_Open.empty(); ++Round) {
      m_Clock.advance(100ms);
      for (std::size_t I = 0; I < Targets; ++I) {
        ++m_Started[I];
        report(targetName(I), false);
      }
      m_Group.tick(now(), m_Out);
      perform();
      while (!m_Running.empty()) {
        finish(m_Running.begin()->first, FinishKind::Completed);
        perform();
      }
    }
    for (const auto &[Id, Request] : m_Open)
      m_Faults.push_back(fmt::format("{}: no outcome", toString(Id)));
    const auto Digest = m_Group.summary(now());
    const bool Waiting =
        std::any_of(Digest.WaitingPerTier.begin(), Digest.WaitingPerTier.end(),
                    [](std::uint32_t Count) { return Count > 0; });
    if (Waiting)
      m_Faults.push_back("tickets wait after the end");
  }

  std::vector<std::string> faults() const {
    auto All = m_Faults;
    All.insert(All.end(), m_Group.violations().begin(),
               m_Group.violations().end());
    return All;
  }

private:
  static TargetName targetName(std::size_t Index) {
    return TargetName(fmt::format("t{}", Index));
  }

  TimePoint now() const { return m_Clock.now(); }

  void configure(bool DrainOne) {
    auto Config = std::make_shared<Snapshot>();
    for (TierRank Rank = 0; Rank < 4; ++Rank) {
      Tier Entry;
      Entry.Name = TierName(fmt::format("tier{}", Rank));
      Entry.Rank = Rank;
      Entry.Reserve = Rank == 3 ? 0.1 : 0;
      Config->Tiers.push_back(Entry);
    }
    Customer Limited;
    Limited.Name = CustomerName("limited");
    Limited.Concurrency = 5;
    Limited.RequestsPerSecond = 2;
    Config->Customers.push_back(Limited);
    Service Owner;
    Owner.Name = m_Id.Service;
    Owner.QueueLimit = 12;
    Config->Services.push_back(Owner);
    for (std::size_t I = 0; I < Targets; ++I) {
      Target Entry;
      Entry.Name = targetName(I);
      Entry.Service = m_Id.Service;
      Entry.Domain = m_Id.Domain;
      Entry.MaxSequences = 3;
      Entry.KvTokens = I == 0 ? 0 : 8000;
      Entry.Draining = DrainOne && I == 1;
      Config->Targets.push_back(Entry);
    }
    Config->index();
    m_Group.configure(std::move(Config), now(), m_Out);
  }

  void submit() {
    static constexpr const char *Names[] = {"one", "two", "limited"};
    Ticket Request;
    Request.Id = m_Random.nextRequestId();
    Request.Entry = VmName(m_Random.below(2) ? "vm1" : "vm2");
    Request.Customer = CustomerName(Names[m_Random.below(3)]);
    Request.Service = m_Id.Service;
    Request.Tier = static_cast<TierRank>(m_Random.below(4));
    Request.Arrival = now();
    Request.Deadline = now() + fromSeconds(0.1 + 10 * m_Random.uniform());
    Request.PromptTokens = 1 + static_cast<TokenCount>(m_Random.below(
                                   m_Random.below(8) ? 500 : 12000));
    Request.OutputTokens = static_cast<TokenCount>(m_Random.below(800));
    Request.TokensPerBlock = 64;
    const auto Prefix = m_Random.below(5);
    const auto Blocks = std::min<std::uint64_t>(
        m_Random.below(4),
        static_cast<std::uint64_t>(Request.PromptTokens / 64));
    for (std::uint64_t I = 0; I < Blocks; ++I)
      Request.PrefixBlocks.push_back(Prefix * 100 + I + 1);
    Request.Fingerprint = m_Random.below(400);
    Request.Hops = static_cast<std::uint8_t>(m_Random.below(2));
    m_Open.emplace(Request.Id, Request);
    m_Group.submit(Request, now(), m_Out);
  }

  void endOne() {
    if (m_Running.empty())
      return;
    auto It = m_Running.begin();
    std::advance(It, m_Random.below(m_Running.size()));
    const auto Id = It->first;
    const auto Choice = m_Random.below(12);
    if (Choice >= 4)
      return finish(Id, FinishKind::Completed);
    if (Choice == 0)
      return finish(Id, FinishKind::Crashed);
    if (Choice == 1)
      return finish(Id, FinishKind::Lost);
    m_Running.erase(Id);
    static constexpr ReturnReason Reasons[] = {
        ReturnReason::NotDelivered, ReturnReason::TargetLeaving,
        ReturnReason::ClaimFailed, ReturnReason::Expired};
    const auto Reason = Reasons[m_Random.below(4)];
    if (Reason == ReturnReason::ClaimFailed || Reason == ReturnReason::Expired)
      m_Open.erase(Id);
    m_Group.returnGrant(Id, Reason, now(), m_Out);
  }

  void finish(const RequestId &Id, FinishKind Kind) {
    FinishReport Report;
    Report.Request = Id;
    Report.Target = m_Running.at(Id);
    Report.Kind = Kind;
    Report.PromptTokens = 100;
    Report.OutputTokens = 20;
    Report.TimeToFirstToken = fromSeconds(m_Random.uniform());
    Report.DecodeTime = fromSeconds(3 * m_Random.uniform());
    m_Running.erase(Id);
    m_Open.erase(Id);
    m_Group.finish(Report, now(), m_Out);
  }

  void withdrawOne() {
    for (const auto &[Id, Request] : m_Open)
      if (!m_Running.contains(Id)) {
        const auto Gone = Id;
        m_Open.erase(Gone);
        return m_Group.withdraw(Gone, now(), m_Out);
      }
  }

  void resubmitOne() {
    if (m_Open.empty())
      return;
    auto It = m_Open.begin();
    std::advance(It, m_Random.below(m_Open.size()));
    m_Group.submit(It->second, now(), m_Out);
  }

  void report(const TargetName &Name, bool Leaving) {
    LoadReport Report;
    Report.Target = Name;
    Report.TargetIncarnation =
        m_Started[static_cast<std::size_t>(Name.Text[1] - '0')];
    Report.Leaving = Leaving;
    m_Group.reportLoad(Report, now(), m_Out);
  }

  void releaseEntry() {
    const VmName Gone("vm2");
    std::erase_if(m_Running, [&](const auto &Item) {
      return m_Open.at(Item.first).Entry == Gone;
    });
    std::erase_if(m_Open,
                  [&](const auto &Item) { return Item.second.Entry == Gone; });
    m_Group.releaseEntry(Gone, now(), m_Out);
  }

  void receiveSummary() {
    GroupSummary Other;
    Other.Group = GroupId{m_Id.Service, FailureDomain("b"), 0};
    Other.FreeSequences = static_cast<std::uint32_t>(m_Random.below(3));
    Other.WaitingPerTier = {0, static_cast<std::uint32_t>(m_Random.below(2)), 0,
                            static_cast<std::uint32_t>(m_Random.below(2))};
    Other.LowestAdmitted = static_cast<TierRank>(m_Random.below(4));
    m_Group.receiveSummary(Other, 3ms, now());
  }

  void perform() {
    for (const auto &Action : m_Out) {
      if (const auto *Granted = std::get_if<GrantAction>(&Action)) {
        m_Running[Granted->Granted.Request] = Granted->Granted.Target;
      } else if (const auto *Refused = std::get_if<RefuseAction>(&Action)) {
        if (m_Open.erase(Refused->Request) == 0)
          m_Faults.push_back("second outcome");
      } else {
        const auto &Passed = std::get<SpillAction>(Action).Request;
        if (Passed.Hops != 1)
          m_Faults.push_back("passed on more than once");
        m_Open.erase(Passed.Id);
      }
    }
    m_Out.clear();
  }

  SeededRandom m_Random;
  ManualClock m_Clock;
  GroupId m_Id;
  CheckedGroup m_Group;
  DispatchGroup::Actions m_Out;
  std::map<RequestId, Ticket> m_Open; ///< Without an outcome yet.
  std::map<RequestId, TargetName> m_Running;
  Incarnation m_Started[Targets] = {1, 1, 1, 1};
  std::vector<std::string> m_Faults;
};

} // namespace

class RandomGroupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RandomGroupTest);
  CPPUNIT_TEST(group_thousandsOfRandomRuns_keepsInvariants);
  CPPUNIT_TEST_SUITE_END();

public:
  void group_thousandsOfRandomRuns_keepsInvariants() {
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      RandomRun Run(Seed);
      for (int I = 0; I < StepsPerSeed; ++I)
        Run.step();
      Run.drain();
      const auto Faults = Run.faults();
      CPPUNIT_ASSERT_MESSAGE(
          fmt::format("seed {}: {}", Seed, Faults.empty() ? "" : Faults[0]),
          Faults.empty());
    }
  }

private:
  static constexpr std::uint64_t Seeds = 4000;
  static constexpr int StepsPerSeed = 250;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomGroupTest);

} // namespace mangodeck
