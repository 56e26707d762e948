#include "mangodeck/replay/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <iterator>

namespace mangodeck {

namespace {

constexpr double PlotWidth = 420;
constexpr double RowHeight = 18;
constexpr double LabelWidth = 190;
constexpr double BarSpace = 160;
constexpr const char *Colours[] = {"#2b6cb0", "#dd6b20", "#718096", "#a0aec0"};

struct Bar {
  std::string Label;
  double Value = 0;
  std::size_t Series = 0;
};

std::string escape(std::string_view Text) {
  std::string Result;
  for (const char Letter : Text) {
    if (Letter == '<')
      Result += "&lt;";
    else if (Letter == '>')
      Result += "&gt;";
    else if (Letter == '&')
      Result += "&amp;";
    else
      Result += Letter;
  }
  return Result;
}

/// Horizontal bars with their values, as one SVG element.
std::string plot(std::string_view Title, const std::vector<Bar> &Bars) {
  double Most = 0;
  for (const auto &Item : Bars)
    Most = std::max(Most, Item.Value);
  const double Height = RowHeight * (static_cast<double>(Bars.size()) + 1.5);
  std::string Svg =
      fmt::format("<svg width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\">"
                  "<text x=\"0\" y=\"14\" font-weight=\"bold\">{2}</text>\n",
                  PlotWidth, Height, escape(Title));
  double Top = RowHeight * 1.5;
  for (const auto &Item : Bars) {
    const double Width = Most > 0 ? BarSpace * Item.Value / Most : 0;
    Svg += fmt::format(
        "<text x=\"0\" y=\"{0:.0f}\">{1}</text>"
        "<rect x=\"{2}\" y=\"{3:.0f}\" width=\"{4:.1f}\" height=\"12\" "
        "fill=\"{5}\"/><text x=\"{6:.0f}\" y=\"{0:.0f}\">{7:.1f}</text>\n",
        Top + 11, escape(Item.Label), LabelWidth, Top, Width,
        Colours[Item.Series % std::size(Colours)], LabelWidth + Width + 5,
        Item.Value);
    Top += RowHeight;
  }
  return Svg + "</svg>\n";
}

/// Collects one bar for each report and policy.
std::vector<Bar> barsOf(std::span<const ReplayReport> Reports,
                        const std::function<double(const ReplayResult &)> &Of) {
  std::vector<Bar> Bars;
  for (std::size_t I = 0; I < Reports.size(); ++I)
    for (const auto &Result : Reports[I].Results) {
      const auto Label = Reports.size() > 1
                             ? fmt::format("{}: {}", I + 1, Result.PolicyName)
                             : Result.PolicyName;
      Bars.push_back({Label, Of(Result), Reports.size() > 1 ? I : Bars.size()});
    }
  return Bars;
}

std::string tablesOf(std::span<const ReplayReport> Reports) {
  std::string Html = "<table><tr><th>records</th><th>policy</th><th>tier</th>"
                     "<th>arrived</th><th>in time</th><th>late</th>"
                     "<th>shed</th><th>expired</th><th>not run</th>"
                     "<th>unknown</th><th>left</th><th>in time per s</th>"
                     "<th>first token p95 ms</th></tr>\n";
  for (const auto &Report : Reports)
    for (const auto &Result : Report.Results)
      for (const auto &[Rank, Tier] : Result.Tiers) {
        Html += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td>",
                            escape(Report.Records), Result.PolicyName, Rank,
                            Tier.Arrived);
        for (const auto Count : Tier.Outcomes)
          Html += fmt::format("<td>{}</td>", Count);
        Html += fmt::format("<td>{:.2f}</td><td>{:.0f}</td></tr>\n",
                            Result.goodput(Rank),
                            percentilesOf(Tier.FirstTokenSeconds).P95 * 1e3);
      }
  return Html + "</table>\n";
}

std::vector<TierRank> tiersOf(std::span<const ReplayReport> Reports) {
  std::vector<TierRank> Tiers;
  for (const auto &[Rank, Tier] : Reports.front().Results.front().Tiers)
    Tiers.push_back(Rank);
  return Tiers;
}

} // namespace

std::string htmlReport(std::span<const ReplayReport> Reports) {
  std::string Html =
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>mangodeck replay</title><style>body{font:14px sans-serif;"
      "margin:2em}table{border-collapse:collapse}td,th{border:1px solid #ccc;"
      "padding:2px 8px;text-align:right}svg{margin:1em;font-size:12px}"
      "</style></head><body>\n";
  Html += fmt::format("<h1>Trace {}</h1>\n<ol>", escape(Reports.front().Trace));
  for (const auto &Report : Reports)
    Html += fmt::format("<li>records {}</li>", escape(Report.Records));
  Html += "</ol>\n";
  for (const auto Rank : tiersOf(Reports)) {
    Html += plot(fmt::format("Tier {}: answers in time per second", Rank),
                 barsOf(Reports, [Rank](const ReplayResult &Result) {
                   return Result.goodput(Rank);
                 }));
    Html += plot(fmt::format("Tier {}: first token p95, ms", Rank),
                 barsOf(Reports, [Rank](const ReplayResult &Result) {
                   const auto It = Result.Tiers.find(Rank);
                   if (It == Result.Tiers.end())
                     return 0.0;
                   return percentilesOf(It->second.FirstTokenSeconds).P95 * 1e3;
                 }));
  }
  Html += plot("Wasted prefill, thousand tokens",
               barsOf(Reports, [](const ReplayResult &Result) {
                 return static_cast<double>(Result.Prefill.wasted()) / 1e3;
               }));
  Html += tablesOf(Reports);
  return Html + "</body></html>\n";
}

} // namespace mangodeck
