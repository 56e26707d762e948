#include "mangodeck/gateway/outputlength.h"

#include <algorithm>
#include <cmath>

namespace mangodeck {

namespace {

/// Factor by which the weight of earlier answers decreases with each answer: an
/// answer counts half after 350 others.
constexpr double Decay = 0.998;
/// Routes that are remembered; a plan has some dozens.
constexpr std::size_t MaxRoutes = 1024;
/// Bounds of a plausible spread. A route of equal lengths has none, but another
/// length may follow.
constexpr double MinSpread = 0.1;
constexpr double MaxSpread = 1.5;
/// What lengths are compared with: the hint, or the largest permitted output.
double referenceOf(std::optional<TokenCount> Hint, const RequestWork &Work) {
  return static_cast<double>(
      std::max<TokenCount>(1, Hint.value_or(Work.MaxOutputTokens)));
}

} // namespace

void OutputLength::expect(std::string_view Route,
                          std::optional<TokenCount> Hint,
                          RequestWork &Work) const {
  const auto Found = m_Routes.find(Key(Route, Hint.has_value()));
  if (Found == m_Routes.end() || Found->second.Count < MinAnswers)
    return;
  const auto &Of = Found->second;
  const double Mean = Of.Log / Of.Count;
  Work.OutputTokens = std::max<TokenCount>(
      1, std::llround(referenceOf(Hint, Work) * std::exp(Mean)));
  if (Work.MaxOutputTokens > 0)
    Work.OutputTokens = std::min(Work.OutputTokens, Work.MaxOutputTokens);
  Work.OutputSpread =
      std::clamp(std::sqrt(std::max(0.0, Of.Square / Of.Count - Mean * Mean)),
                 MinSpread, MaxSpread);
}

void OutputLength::record(std::string_view Route,
                          std::optional<TokenCount> Hint,
                          const RequestWork &Work, TokenCount Tokens,
                          bool IsWhole) {
  const bool TellsNothing = !IsWhole && Tokens <= Work.OutputTokens;
  const Key Name(Route, Hint.has_value());
  if (TellsNothing ||
      (m_Routes.size() >= MaxRoutes && !m_Routes.contains(Name)))
    return;
  auto &Of = m_Routes[Name];
  for (double *Sum : {&Of.Count, &Of.Log, &Of.Square})
    *Sum *= Decay;
  const double Log =
      std::log(static_cast<double>(std::max<TokenCount>(1, Tokens)) /
               referenceOf(Hint, Work));
  Of.Count += 1;
  Of.Log += Log;
  Of.Square += Log * Log;
}

} // namespace mangodeck
