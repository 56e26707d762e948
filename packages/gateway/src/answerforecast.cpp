#include "mangodeck/gateway/answerforecast.h"

#include "mangodeck/gateway/enginepace.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace mangodeck {

namespace {

/// Standard deviation of the logarithm of a time at an engine against its
/// expectation. In the model of engines (placement_test), 0.45 gave callers
/// more in time than 0.3 at 1.5 and 2 times the demand that engines can serve.
constexpr double TimeSpread = 0.45;
/// Share by which decoding takes longer with full slots: the engine also reads
/// the prompts of other requests, which the learned speed leaves out.
constexpr double PrefillStretch = 0.4;
/// Value of an unstalled stream of another request, relative to the request
/// that is placed. Some of these streams have paused for too long already.
constexpr double ValueOfOtherStream = 0.3;
/// Deviations from the median beyond which a chance counts as 0 or 1.
constexpr double MaxDeviations = 3;
/// Middles of four equally likely ranges of the time until a slot is free.
constexpr std::array<double, 4> WaitQuantiles = {0.125, 0.375, 0.625, 0.875};

/// Chance that a lognormal quantity of median \p Median is at most \p Bound.
double chanceBelow(double Median, double Bound, double Spread) {
  if (Bound <= 0)
    return 0;
  const double Deviations = std::log(Bound / Median) / Spread;
  if (std::abs(Deviations) > MaxDeviations)
    return Deviations > 0 ? 1 : 0;
  return 0.5 * std::erfc(-Deviations / std::sqrt(2.0));
}

/// Chance that the first event, expected \p First seconds after the request has
/// a slot, is within \p Latency seconds. Streams end at random, so the time
/// until a slot is free is exponential.
double chanceOfFirstEvent(const EngineState &Engine, double First,
                          double Latency) {
  if (Engine.Running < Engine.Slots)
    return chanceBelow(First, Latency, TimeSpread);
  const double MeanWait = toSeconds(Engine.MeanOccupation) / Engine.Slots;
  double Sum = 0;
  for (const double Quantile : WaitQuantiles)
    Sum += chanceBelow(First, Latency + std::log(1 - Quantile) * MeanWait,
                       TimeSpread);
  return Sum / WaitQuantiles.size();
}

} // namespace

double AnswerForecast::gain() const {
  return FirstInTime * EndInTime - ValueOfOtherStream * StalledStreams;
}

EngineState stateOf(const TrackedTarget &Engine, TimePoint Now) {
  auto State = idleStateOf(Engine);
  State.Running = Engine.running();
  State.PrefillTokens = Engine.prefillTokens();
  State.PaceNow = Engine.Pace.expected(Now);
  State.PaceMeanwhile = Engine.Pace.expectedOver(1s, Now);
  return State;
}

EngineState idleStateOf(const TrackedTarget &Engine) {
  EngineState State;
  State.Slowdown = Engine.Slowdown;
  State.Slots = std::max(1u, Engine.Entry.Slots);
  State.MeanOccupation = Engine.meanOccupation();
  return State;
}

AnswerForecast forecastAnswer(const EngineState &Engine,
                              const RequestWork &Work,
                              const AnswerNeeds &Needs) {
  AnswerForecast Result;
  // Step 1. The first event follows the prompts ahead and the own one.
  const double First = Engine.Slowdown * Engine.PaceNow *
                       (toSeconds(nominalPrefillTime(Engine.PrefillTokens)) +
                        toSeconds(nominalPrefillTime(Work.PromptTokens)) +
                        toSeconds(nominalFirstTokenDelay()));
  Result.TimeToFirstEvent = fromSeconds(First);
  Result.FirstInTime =
      chanceOfFirstEvent(Engine, First, toSeconds(Needs.TimeToLatencyTarget));

  // Step 2. The end: the output is at most as long as the engine decodes in
  // the time that is left.
  const double Load =
      std::min(1.0, (Engine.Running + 1.0) / static_cast<double>(Engine.Slots));
  const double Step = Engine.Slowdown * Engine.PaceMeanwhile *
                      (1 + PrefillStretch * Load) *
                      toSeconds(nominalStepTime(Engine.Running));
  const double OutputInTime = (toSeconds(Needs.TimeToDeadline) - First) / Step;
  const double Output =
      static_cast<double>(std::max<TokenCount>(1, Work.OutputTokens));
  const bool EvenLongestFits =
      Work.MaxOutputTokens > 0 &&
      static_cast<double>(Work.MaxOutputTokens) <= OutputInTime;
  Result.EndInTime =
      EvenLongestFits ? 1
                      : chanceBelow(Output, OutputInTime,
                                    std::hypot(Work.OutputSpread, TimeSpread));

  // Step 3. The streams of other requests pause while the prompts are read. No
  // prompt stalls a stream that waits for its own first event.
  if (Needs.GapTarget > Duration{0} && Engine.Running > 0)
    Result.StalledStreams =
        std::min(Engine.Running, Engine.Slots) *
        (1 - chanceBelow(First, toSeconds(Needs.GapTarget), TimeSpread));
  return Result;
}

} // namespace mangodeck
