#ifndef MANGODECK_GATEWAY_DEMANDESTIMATE_H
#define MANGODECK_GATEWAY_DEMANDESTIMATE_H

#include "mangodeck/common/units.h"

namespace mangodeck {

/// Rate of requests, and what it is expected to be shortly. Two decaying means,
/// the second one of the first, give the trend: demand that rises by a quarter
/// each second, as in a wave of 13 s, would otherwise be known a second late.
class DemandEstimate {
public:
  void record(TimePoint Now);
  /// Requests per second. 0 before the first.
  double perSecond(TimePoint Now);
  /// Upper estimate of the rate after \p Ahead: the mean, or its trend carried
  /// on if that is higher.
  double expectedPerSecond(TimePoint Now, Duration Ahead);

private:
  /// Takes the requests since the last step into the means.
  void advance(TimePoint Now);

  TimePoint m_LastStep{};
  bool m_HasMean = false;
  double m_Count = 0; ///< Requests since m_LastStep.
  double m_Mean = 0;
  double m_MeanOfMean = 0;
};

} // namespace mangodeck

#endif
