#include "mangodeck/process/drain.h"

namespace mangodeck {

void Drain::begin(TimePoint Now) {
  if (m_Phase != DrainPhase::Serving)
    return;
  m_Phase = DrainPhase::Leaving;
  m_LeavingSince = Now;
}

DrainPhase Drain::update(TimePoint Now, std::size_t OpenRequests) {
  if (m_Phase == DrainPhase::Leaving && Now - m_LeavingSince >= m_BalancerLag)
    m_Phase = DrainPhase::Finishing;
  else if (m_Phase == DrainPhase::Finishing && OpenRequests == 0)
    m_Phase = DrainPhase::Done;
  return m_Phase;
}

} // namespace mangodeck
