#include "mangodeck/replay/report.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace mangodeck {

namespace {

using Json = nlohmann::ordered_json;

constexpr double MillisecondsPerSecond = 1000;

double outputGoodput(const ReplayResult &Result, const TierMeasures &Tier) {
  return static_cast<double>(Tier.InTimeTokens) / toSeconds(Result.Length);
}

Json toJson(const Percentiles &Times) {
  const auto Rounded = [](double Seconds) {
    return std::round(Seconds * MillisecondsPerSecond * 10) / 10;
  };
  return Json{{"p50-ms", Rounded(Times.P50)},
              {"p95-ms", Rounded(Times.P95)},
              {"p99-ms", Rounded(Times.P99)}};
}

Json toJson(const ReplayResult &Result) {
  Json Tiers = Json::array();
  for (const auto &[Rank, Tier] : Result.Tiers) {
    Json Item{{"tier", Rank},
              {"arrived", Tier.Arrived},
              {"completed", Tier.completed()}};
    for (std::size_t I = 0; I < ReplayOutcomes; ++I)
      Item[std::string(toString(static_cast<ReplayOutcome>(I)))] =
          Tier.Outcomes[I];
    Item["goodput-per-second"] = Result.goodput(Rank);
    Item["goodput-tokens-per-second"] = outputGoodput(Result, Tier);
    Item["first-token"] = toJson(percentilesOf(Tier.FirstTokenSeconds));
    Item["token-gap"] = toJson(percentilesOf(Tier.TokenGapSeconds));
    Tiers.push_back(std::move(Item));
  }
  Json Wasted;
  for (std::size_t I = 0; I < WasteCauses; ++I)
    Wasted[std::string(toString(static_cast<WasteCause>(I)))] =
        Result.Prefill.Wasted[I];
  return Json{{"policy", Result.PolicyName},
              {"tiers", Tiers},
              {"prefilled-tokens", Result.Prefill.Prefilled},
              {"cached-tokens", Result.Prefill.Cached},
              {"wasted-tokens", Result.Prefill.wasted()},
              {"wasted-by-cause", Wasted},
              {"crashes-by-one-request", Result.CrashesByOneRequest},
              {"violations", Result.Violations.size()},
              {"signature", fmt::format("{:016x}", Result.Signature)}};
}

/// Measured value over the best baseline's; 1 when both are zero.
double ratioToBest(double Value, double Best) {
  if (Best == 0)
    return Value == 0 ? 1 : 1e9;
  return Value / Best;
}

double bestGoodput(std::span<const ReplayResult> Baselines, TierRank Tier,
                   bool Through) {
  double Best = 0;
  for (const auto &Item : Baselines)
    Best = std::max(Best,
                    Through ? Item.goodputThrough(Tier) : Item.goodput(Tier));
  return Best;
}

double measure(const TraceExpectation &Expected, const ReplayResult &Own,
               std::span<const ReplayResult> Baselines) {
  if (Expected.Measure == "in-time-share")
    return Own.inTimeShare(Expected.Tier);
  if (Expected.Measure == "first-token-p95-ms") {
    const auto It = Own.Tiers.find(Expected.Tier);
    return It == Own.Tiers.end()
               ? 0
               : MillisecondsPerSecond *
                     percentilesOf(It->second.FirstTokenSeconds).P95;
  }
  if (Expected.Measure == "goodput-ratio")
    return ratioToBest(Own.goodput(Expected.Tier),
                       bestGoodput(Baselines, Expected.Tier, false));
  if (Expected.Measure == "top-two-goodput-ratio")
    return ratioToBest(Own.goodputThrough(1), bestGoodput(Baselines, 1, true));
  if (Expected.Measure == "wasted-ratio") {
    TokenCount Least = Baselines.front().Prefill.wasted();
    for (const auto &Item : Baselines)
      Least = std::min(Least, Item.Prefill.wasted());
    return ratioToBest(static_cast<double>(Own.Prefill.wasted()),
                       static_cast<double>(Least));
  }
  return Own.CrashesByOneRequest;
}

bool comparesBaselines(const TraceExpectation &Expected) {
  return Expected.Measure.ends_with("-ratio");
}

} // namespace

std::vector<CheckedExpectation>
checkExpectations(const Trace &Recorded,
                  std::span<const ReplayResult> Results) {
  std::vector<CheckedExpectation> Checked;
  for (const auto &Expected : Recorded.Header.Expectations) {
    CheckedExpectation Item;
    Item.Expected = Expected;
    Item.Known = !Results.empty() &&
                 (!comparesBaselines(Expected) || Results.size() > 1);
    if (Item.Known) {
      Item.Measured = measure(Expected, Results.front(), Results.subspan(1));
      Item.Met = (!Expected.HasLeast || Item.Measured >= Expected.AtLeast) &&
                 (!Expected.HasMost || Item.Measured <= Expected.AtMost);
    }
    Checked.push_back(std::move(Item));
  }
  return Checked;
}

std::string textExpectations(std::span<const CheckedExpectation> Checked) {
  std::string Text;
  for (const auto &Item : Checked) {
    const auto &Expected = Item.Expected;
    const auto Bound = Expected.HasLeast
                           ? fmt::format("at least {}", Expected.AtLeast)
                           : fmt::format("at most {}", Expected.AtMost);
    Text += fmt::format("  expected {} tier {} {}: ", Expected.Measure,
                        Expected.Tier, Bound);
    Text += Item.Known
                ? fmt::format("{} ({:.3f})\n", Item.Met ? "met" : "NOT met",
                              Item.Measured)
                : "not measured\n";
  }
  return Text;
}

std::string textReport(const ReplayReport &Report) {
  std::string Text =
      fmt::format("trace {}, records {}\n", Report.Trace, Report.Records);
  auto Out = std::back_inserter(Text);
  for (const auto &Result : Report.Results) {
    fmt::format_to(Out, "{}\n", Result.PolicyName);
    fmt::format_to(Out,
                   "  {:>4} {:>7} {:>9} {:>7} {:>6} {:>7} {:>7} {:>7} {:>5} "
                   "{:>9} {:>9} {:>20} {:>17}\n",
                   "tier", "arrived", "completed", "in-time", "shed", "expired",
                   "not-run", "unknown", "left", "good/s", "tokens/s",
                   "first-token ms", "token-gap ms");
    for (const auto &[Rank, Tier] : Result.Tiers) {
      const auto First = percentilesOf(Tier.FirstTokenSeconds);
      const auto Gap = percentilesOf(Tier.TokenGapSeconds);
      fmt::format_to(
          Out,
          "  {:>4} {:>7} {:>9} {:>7} {:>6} {:>7} {:>7} {:>7} {:>5} {:>9.2f} "
          "{:>9.1f} {:>6.0f}/{:>6.0f}/{:>6.0f} {:>5.0f}/{:>5.0f}/{:>5.0f}\n",
          Rank, Tier.Arrived, Tier.completed(),
          Tier.count(ReplayOutcome::InTime), Tier.count(ReplayOutcome::Shed),
          Tier.count(ReplayOutcome::Expired), Tier.count(ReplayOutcome::NotRun),
          Tier.count(ReplayOutcome::Unknown), Tier.count(ReplayOutcome::Left),
          Result.goodput(Rank), outputGoodput(Result, Tier), First.P50 * 1e3,
          First.P95 * 1e3, First.P99 * 1e3, Gap.P50 * 1e3, Gap.P95 * 1e3,
          Gap.P99 * 1e3);
    }
    fmt::format_to(Out, "  prefill tokens {} cached {} wasted {} (",
                   Result.Prefill.Prefilled, Result.Prefill.Cached,
                   Result.Prefill.wasted());
    for (std::size_t I = 0; I < WasteCauses; ++I)
      fmt::format_to(Out, "{}{} {}", I ? ", " : "",
                     toString(static_cast<WasteCause>(I)),
                     Result.Prefill.Wasted[I]);
    fmt::format_to(Out, ")\n  signature {:016x}, violations {}\n",
                   Result.Signature, Result.Violations.size());
    for (std::size_t I = 0;
         I < std::min<std::size_t>(5, Result.Violations.size()); ++I)
      fmt::format_to(Out, "    violated: {}\n", Result.Violations[I]);
  }
  return Text;
}

std::string jsonReport(std::span<const ReplayReport> Reports) {
  Json All = Json::array();
  for (const auto &Report : Reports) {
    Json Results = Json::array();
    for (const auto &Item : Report.Results)
      Results.push_back(toJson(Item));
    All.push_back({{"trace", Report.Trace},
                   {"records", Report.Records},
                   {"results", Results}});
  }
  return All.dump(1) + "\n";
}

std::string textComparison(const ReplayReport &Before,
                           const ReplayReport &After) {
  const auto &A = Before.Results.front();
  const auto &B = After.Results.front();
  std::string Text =
      fmt::format("change from {} to {}\n", Before.Records, After.Records);
  auto Out = std::back_inserter(Text);
  for (const auto &[Rank, Tier] : A.Tiers)
    fmt::format_to(Out, "  tier {} goodput {:.2f} -> {:.2f} per second\n", Rank,
                   A.goodput(Rank), B.goodput(Rank));
  fmt::format_to(Out, "  wasted prefill {} -> {} tokens\n", A.Prefill.wasted(),
                 B.Prefill.wasted());
  return Text;
}

} // namespace mangodeck
