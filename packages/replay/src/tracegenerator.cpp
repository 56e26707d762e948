#include "mangodeck/replay/tracegenerator.h"

#include "mangodeck/replay/enginemodel.h"

#include "mangodeck/common/random.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>

namespace mangodeck {

namespace {

constexpr std::array<std::string_view, 12> Scenarios{
    "ordinary-day",          "burst",
    "slow-engine",           "stale-reports-2s",
    "stale-reports-10s",     "target-leaving",
    "target-crash",          "poison-request",
    "shared-prefix-letters", "customer-flood",
    "store-outage",          "burst-with-faults"};

constexpr Duration TraceLength = 120s;
constexpr Duration UsualReportLag = 500ms;
constexpr double UsualLoad = 0.6;
constexpr double BurstLoad = 3.0;
constexpr double HangUpShare = 0.02;
constexpr double PlainCallsPerSecond = 6;
/// Stated outcome of the top tier, but for calls that need a store that is
/// down.
constexpr double InTimeShare = 0.95;

/// A span in whole microseconds, which a written trace keeps.
Duration toSpan(double Seconds) {
  return std::chrono::microseconds(std::llround(Seconds * 1e6));
}

/// A kind of request with the ranges its lengths are drawn from.
struct RequestClass {
  std::string_view Customer;
  TierRank Tier = 0;
  double Share = 0; ///< Of the model requests, by number.
  TokenCount LeastTail = 0;
  TokenCount MostTail = 0;
  TokenCount LeastOutput = 0;
  TokenCount MostOutput = 0;
  std::uint64_t FirstPrefix = 0;
  std::uint64_t Prefixes = 0;
  TokenCount PrefixTokens = 0;
  Duration Deadline{0};
};

using Mix = std::vector<RequestClass>;

Mix mixOf(const Deployment &Site) {
  if (Site.Name == "san-alonso")
    return {
        {"stallholders", 0, 0.18, 60, 300, 10, 60, 1, 2, 512, 8s},
        {"ticket-desk", 0, 0.12, 60, 400, 10, 80, 3, 2, 512, 8s},
        {"residents", 1, 0.42, 80, 1500, 40, 400, 10, 6, 1024, 30s},
        {"marshals", 1, 0.21, 80, 2000, 60, 500, 20, 4, 1536, 30s},
        {"press-office", 2, 0.07, 1500, 20000, 400, 2000, 30, 4, 1024, 600s},
    };
  return {
      {"settlement-desk", 0, 0.20, 60, 400, 10, 80, 1, 3, 512, 8s},
      {"crew-portal", 1, 0.42, 80, 1500, 40, 400, 10, 24, 2048, 30s},
      {"tally-reader", 1, 0.20, 200, 3000, 20, 200, 50, 6, 1024, 30s},
      {"settlement-desk", 2, 0.12, 300, 3000, 300, 1200, 100, 40, 6144, 300s},
      {"archive", 2, 0.06, 1000, 12000, 200, 1000, 200, 10, 2048, 900s},
  };
}

/// Long letters, each from one of a few dozen templates.
Mix lettersMix(const Deployment &Site) {
  auto Result = mixOf(Site);
  for (auto &Item : Result) {
    if (Item.Tier < 2) {
      Item.Share *= 0.5;
      continue;
    }
    Item.Share =
        Item.PrefixTokens > 4096 || Site.Name == "san-alonso" ? 0.55 : 0.06;
    Item.FirstPrefix = 1000 + Item.FirstPrefix;
    Item.Prefixes = 48;
    Item.PrefixTokens = 8192;
    Item.LeastTail = 100;
    Item.MostTail = 2000;
    Item.LeastOutput = 100;
    Item.MostOutput = 600;
  }
  return Result;
}

/// Draws a number whose logarithm is uniform, so that lengths differ by orders
/// of magnitude.
TokenCount drawLength(RandomSource &Random, TokenCount Least, TokenCount Most) {
  const double Low = std::log(static_cast<double>(Least));
  const double High = std::log(static_cast<double>(Most));
  return static_cast<TokenCount>(
      std::exp(Low + Random.uniform() * (High - Low)));
}

double meanLength(TokenCount Least, TokenCount Most) {
  const auto Low = static_cast<double>(Least);
  const auto High = static_cast<double>(Most);
  return Low == High ? Low : (High - Low) / std::log(High / Low);
}

/// Time that a whole target spends on one request of the mean length.
double meanCostSeconds(const Mix &Requests, const EngineProfile &Profile,
                       std::uint32_t Sequences) {
  const double Step = toSeconds(Profile.stepTime(Sequences, 0)) / Sequences;
  double Cost = 0;
  double Shares = 0;
  for (const auto &Item : Requests) {
    const double Prompt = meanLength(Item.LeastTail, Item.MostTail) +
                          static_cast<double>(Item.PrefixTokens);
    Cost += Item.Share * (Prompt / Profile.PrefillTokensPerSecond +
                          Step * meanLength(Item.LeastOutput, Item.MostOutput));
    Shares += Item.Share;
  }
  return Cost / Shares;
}

/// Requests a second that keep all model targets busy, without any caching.
double capacityOf(const Deployment &Site, const Mix &Requests) {
  double Rate = 0;
  for (const auto &Item : Site.Targets)
    if (Item.Service == Site.model().Name)
      Rate +=
          1.0 / meanCostSeconds(Requests, profileOf(Item.HardwareGeneration),
                                Item.MaxSequences);
  return Rate;
}

class Generator {
public:
  Generator(const Deployment &Site, std::uint64_t Seed)
      : m_Site(Site), m_Random(Seed), m_Mix(mixOf(Site)) {}

  Trace generate(std::string_view Scenario, std::uint64_t Seed) {
    auto &Header = m_Trace.Header;
    Header.Name = Scenario;
    Header.Deployment = m_Site.Name;
    Header.Generator = fmt::format(
        "mangodeck replay --generate, scenario {}, seed {}", Scenario, Seed);
    Header.Seed = Seed;
    Header.Length = TraceLength;
    Header.LinkDelay = m_Site.LinkDelay;
    Header.ReportLag = UsualReportLag;
    Header.Entries = m_Site.Entries;
    addScenario(Scenario);
    expectLeast("in-time-share", 0,
                InTimeShare *
                    (1.0 - shareWithoutStore(m_OutageFrom, m_OutageTo)));
    expectLeast("goodput-ratio", 0, 1.0);
    const auto Earlier = [](const auto &A, const auto &B) {
      return A.At < B.At;
    };
    std::stable_sort(m_Trace.Arrivals.begin(), m_Trace.Arrivals.end(), Earlier);
    std::stable_sort(m_Trace.Faults.begin(), m_Trace.Faults.end(), Earlier);
    return std::move(m_Trace);
  }

private:
  /// Model requests from \p From to \p To at \p Load times the capacity.
  void addLoad(Duration From, Duration To, double Load) {
    const double Rate = Load * capacityOf(m_Site, m_Mix);
    for (auto At = From + gap(Rate); At < To; At += gap(Rate))
      addModelRequest(At, drawClass());
  }

  void addPlainCalls(Duration From, Duration To) {
    for (auto At = From + gap(PlainCallsPerSecond); At < To;
         At += gap(PlainCallsPerSecond)) {
      TraceArrival Item;
      Item.At = At;
      Item.Customer = m_Site.Customers[m_Random.below(2)].Name;
      Item.Service = m_Site.plain().Name;
      Item.Deadline = 10s;
      Item.Work = toSpan(0.05 + 0.25 * m_Random.uniform());
      Item.Keyed = m_Random.uniform() < 0.7;
      m_Trace.Arrivals.push_back(std::move(Item));
    }
  }

  Duration gap(double Rate) {
    return toSpan(-std::log(1.0 - m_Random.uniform()) / Rate);
  }

  const RequestClass &drawClass() {
    double Shares = 0;
    for (const auto &Item : m_Mix)
      Shares += Item.Share;
    double Left = m_Random.uniform() * Shares;
    for (const auto &Item : m_Mix) {
      Left -= Item.Share;
      if (Left < 0)
        return Item;
    }
    return m_Mix.back();
  }

  TraceArrival &addModelRequest(Duration At, const RequestClass &Kind) {
    TraceArrival Item;
    Item.At = At;
    Item.Customer = CustomerName(Kind.Customer);
    Item.Service = m_Site.model().Name;
    Item.Tier = Kind.Tier;
    Item.Prefix = Kind.FirstPrefix + m_Random.below(Kind.Prefixes);
    Item.PrefixTokens = Kind.PrefixTokens;
    Item.Prompt =
        Kind.PrefixTokens + drawLength(m_Random, Kind.LeastTail, Kind.MostTail);
    Item.Output = drawLength(m_Random, Kind.LeastOutput, Kind.MostOutput);
    Item.MaxOutput = std::max<TokenCount>(Kind.MostOutput / 2, 2 * Item.Output);
    Item.MaxOutput = std::min(Item.MaxOutput, 2 * Kind.MostOutput);
    Item.Deadline = Kind.Deadline;
    if (m_Random.uniform() < HangUpShare)
      Item.HangUp = toSpan(0.5 + 8 * m_Random.uniform());
    m_Trace.Arrivals.push_back(std::move(Item));
    return m_Trace.Arrivals.back();
  }

  void addFault(Duration At, FaultKind Kind, std::size_t Target, Duration For,
                double Factor = 1) {
    TraceFault Item;
    Item.At = At;
    Item.Kind = Kind;
    if (Kind != FaultKind::StoreOutage)
      Item.Target = m_Site.Targets[Target].Name;
    Item.For = For;
    Item.Factor = Factor;
    m_Trace.Faults.push_back(std::move(Item));
  }

  void addOutage(Duration At, Duration For) {
    addFault(At, FaultKind::StoreOutage, 0, For);
    m_OutageFrom = At;
    m_OutageTo = At + For;
  }

  void addLag(Duration At, Duration Lag) {
    TraceFault Item;
    Item.At = At;
    Item.Kind = FaultKind::ReportLag;
    Item.Lag = Lag;
    m_Trace.Faults.push_back(std::move(Item));
  }

  void expectLeast(std::string_view Measure, TierRank Tier, double Value) {
    TraceExpectation Item;
    Item.Measure = Measure;
    Item.Tier = Tier;
    Item.AtLeast = Value;
    Item.HasLeast = true;
    m_Trace.Header.Expectations.push_back(std::move(Item));
  }

  void expectMost(std::string_view Measure, TierRank Tier, double Value) {
    TraceExpectation Item;
    Item.Measure = Measure;
    Item.Tier = Tier;
    Item.AtMost = Value;
    Item.HasMost = true;
    m_Trace.Header.Expectations.push_back(std::move(Item));
  }

  void addBurst() {
    addLoad(Duration(0), 30s, UsualLoad);
    addLoad(30s, 75s, BurstLoad);
    addLoad(75s, TraceLength, UsualLoad);
    expectLeast("top-two-goodput-ratio", 0, 1.3);
  }

  void addPoison() {
    addLoad(Duration(0), TraceLength, UsualLoad);
    auto &Item = addModelRequest(20s, m_Mix[0]);
    Item.Poison = true;
    Item.HangUp = Duration(0);
    Item.Resends = 60;
    expectMost("crashes-by-one-request", 0, 2);
  }

  /// One customer sends as much as two and a half times the capacity.
  void addFlood() {
    addLoad(Duration(0), TraceLength, 0.5);
    const auto &Large =
        *std::find_if(m_Mix.begin(), m_Mix.end(),
                      [](const RequestClass &Item) { return Item.Tier == 1; });
    const double Rate = 2.5 * capacityOf(m_Site, {Large});
    for (auto At = 40s + gap(Rate); At < 90s; At += gap(Rate))
      addModelRequest(At, Large);
  }

  /// Share of the top tier's requests that need the store while it is down.
  double shareWithoutStore(Duration From, Duration To) const {
    double All = 0;
    double Without = 0;
    for (const auto &Item : m_Trace.Arrivals) {
      All += Item.Tier == 0;
      Without += Item.Keyed && Item.At >= From && Item.At < To;
    }
    return Without / All;
  }

  void addScenario(std::string_view Scenario) {
    addPlainCalls(Duration(0), TraceLength);
    if (Scenario == "burst")
      return addBurst();
    if (Scenario == "poison-request")
      return addPoison();
    if (Scenario == "customer-flood")
      return addFlood();
    if (Scenario == "shared-prefix-letters") {
      m_Mix = lettersMix(m_Site);
      expectMost("wasted-ratio", 0, 0.7);
      return addLoad(Duration(0), TraceLength, 0.9);
    }
    if (Scenario == "burst-with-faults") {
      addFault(40s, FaultKind::Crash, 0, 20s);
      addFault(50s, FaultKind::Slow, 1, 30s, 4);
      addOutage(60s, 10s);
      addLag(45s, 5s);
      return addBurst();
    }
    addLoad(Duration(0), TraceLength,
            Scenario == "ordinary-day" ? UsualLoad : 0.8);
    if (Scenario == "slow-engine")
      addFault(30s, FaultKind::Slow, 1, 60s, 8);
    if (Scenario == "stale-reports-2s")
      addLag(10s, 2s);
    if (Scenario == "stale-reports-10s")
      addLag(10s, 10s);
    if (Scenario == "target-leaving")
      for (std::size_t I = 0; I < 3; ++I)
        addFault(40s + I * 15s, FaultKind::Leave, I * 4, 30s);
    if (Scenario == "target-crash")
      for (std::size_t I = 0; I < 3; ++I)
        addFault(30s + I * 30s, FaultKind::Crash, I * 5, 20s);
    if (Scenario == "store-outage")
      addOutage(50s, 30s);
  }

  const Deployment &m_Site;
  SeededRandom m_Random;
  Mix m_Mix;
  Trace m_Trace;
  Duration m_OutageFrom{0};
  Duration m_OutageTo{0};
};

} // namespace

std::span<const std::string_view> scenarioNames() { return Scenarios; }

Trace generateTrace(const Deployment &Site, std::string_view Scenario,
                    std::uint64_t Seed) {
  Generator Maker(Site, Seed);
  return Maker.generate(Scenario, Seed);
}

} // namespace mangodeck
