#ifndef MANGODECK_GATEWAY_ANSWERFORECAST_H
#define MANGODECK_GATEWAY_ANSWERFORECAST_H

#include "mangodeck/gateway/targetregistry.h"

namespace mangodeck {

/// Load and speed of an engine, as a forecast uses them.
struct EngineState {
  double Slowdown = 1;      ///< Time for a work relative to the nominal engine.
  double PaceNow = 1;       ///< Of the machine, until the first event.
  double PaceMeanwhile = 1; ///< The same while the answer is made.
  std::uint32_t Slots = 1;
  std::uint32_t Running = 0;    ///< Requests there, also those without a slot.
  TokenCount PrefillTokens = 0; ///< Prompt tokens without a first event.
  /// Mean time for which a request occupies the engine.
  Duration MeanOccupation{0};
};

EngineState stateOf(const TrackedTarget &Engine, TimePoint Now);
/// The same engine without any request, at the usual pace of its machine.
EngineState idleStateOf(const TrackedTarget &Engine);

/// What the caller of a request needs, from now on.
struct AnswerNeeds {
  Duration TimeToLatencyTarget{0}; ///< Negative if it has passed.
  Duration TimeToDeadline{0};
  Duration GapTarget{0}; ///< Longest pause between events; 0: no limit.
};

/// What is expected of a request that is sent to an engine now.
struct AnswerForecast {
  Duration TimeToFirstEvent{0}; ///< Once the request has a slot.
  double FirstInTime = 0;       ///< Chance that the first event is in time.
  double EndInTime = 0; ///< Chance that the answer ends before the deadline.
  /// Expected number of the engine's streams that pause for longer than the gap
  /// target while the prompt is read.
  double StalledStreams = 0;

  /// Answers in time that the engine gains by the request: its own chance less
  /// those of the streams that it stalls.
  double gain() const;
};

/// Forecasts the answer to \p Work at an engine. Times at an engine and the
/// length of the output are taken as lognormal: hints of the length are right
/// at the median and often several times off. Made for engines with full slots,
/// where the time until a slot is free and the prompts of others count most.
/// Costs up to seven evaluations of the normal distribution.
AnswerForecast forecastAnswer(const EngineState &Engine,
                              const RequestWork &Work,
                              const AnswerNeeds &Needs);

} // namespace mangodeck

#endif
