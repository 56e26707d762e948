#include "mangodeck/gateway/targetratelimit.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace mangodeck {

namespace {

/// Bounds of a limit. Below the lower one, the answers that lift the limit
/// would arrive too rarely; the upper one exceeds what any target can serve.
constexpr double MinPerSecond = 0.25;
constexpr double MaxPerSecond = 1e6;
/// A limit is raised if it was not confirmed for the time of PermitsBeforeRaise
/// permits, at least for MinRaiseDelay: longer than most answers take.
constexpr double PermitsBeforeRaise = 3;
constexpr Duration MinRaiseDelay = 2s;
/// Lower bound of a limit that was raised.
constexpr double MinRaisedPerSecond = 1;
/// A limit above this ends without further steps.
constexpr double MaxSteppedPerSecond = 16;
/// Bound on the error of a statement's time in a report. After a raise, a
/// statement counts as new only if it is newer than the last one by this.
constexpr Duration MaxStatementTimeError = 500ms;
/// Burst of the whole limit: a constant number of requests, and the requests
/// of this time.
constexpr double BurstRequests = 2;
constexpr double BurstSeconds = 0.1;
/// Time after which a permit that was drawn and not used expires.
constexpr Duration PermitLifetime = 1s;
/// Bounds of the time after which a refused permit is requested again.
constexpr Duration MinRequestPause = 100ms;
constexpr Duration MaxRequestPause = 4s;

/// Shares of the limit beside that of the broker of a majority. Together with
/// its whole limit and all bursts they stay below the one and a half times of
/// the limit that a target has to bear, also by chance.
/// Of a broker whose daemons are at least MinSideOfDomain of the domain, as in
/// a cut between two halves; times that part.
constexpr double LargeSideShare = 0.5;
constexpr double MinSideOfDomain = 0.2;
/// Of a broker with fewer daemons; times their part of the domain.
constexpr double SmallSideShare = 0.1;
/// Of all daemons without a broker, in sum.
constexpr double SoloShare = 0.05;
/// Smallest share whose bucket holds a whole token. At most a few daemons can
/// have so much at the same time.
constexpr double MinBucketShare = LargeSideShare * MinSideOfDomain;

} // namespace

double brokerShare(std::size_t Supporters, std::size_t Daemons,
                   bool HasMajority) {
  if (HasMajority)
    return 1;
  const double Side = static_cast<double>(Supporters) /
                      static_cast<double>(std::max(Supporters, Daemons));
  return Side * (Side >= MinSideOfDomain ? LargeSideShare : SmallSideShare);
}

double soloShare(std::size_t Daemons) {
  return SoloShare / static_cast<double>(std::max<std::size_t>(1, Daemons));
}

bool TargetRateLimit::apply(const RateLimitStatement &Statement) {
  // Step 1. Without a limit, only a newer statement of one counts.
  const auto MinAge =
      m_RaisedAt > m_ConfirmedAt ? MaxStatementTimeError : Duration{0};
  const bool IsNew = Statement.StatedAt > m_ConfirmedAt + MinAge;
  if (!isActive()) {
    if (!Statement.PerSecond || !IsNew)
      return false;
    m_Permits = 0;
    m_UpdatedAt = m_DrawnAt = m_ConfirmedAt = Statement.StatedAt;
    m_PerSecond = Statement.PerSecond;
    return true;
  }

  // Step 2. Raise the limit in force if the statement is of a higher one or of
  // none.
  if (!Statement.PerSecond || *Statement.PerSecond > *m_PerSecond)
    return raise(Statement);

  // Step 3. Confirm or lower the limit in force.
  if (!IsNew)
    return false;
  m_ConfirmedAt = Statement.StatedAt;
  return std::exchange(m_PerSecond, Statement.PerSecond) != Statement.PerSecond;
}

bool TargetRateLimit::raise(const RateLimitStatement &Statement) {
  const auto Delay = std::max(
      MinRaiseDelay,
      fromSeconds(PermitsBeforeRaise / std::max(*m_PerSecond, MinPerSecond)));
  if (Statement.StatedAt < std::max(m_ConfirmedAt, m_RaisedAt) + Delay)
    return false;
  m_RaisedAt = Statement.StatedAt;
  if (Statement.PerSecond || *m_PerSecond > MaxSteppedPerSecond)
    m_PerSecond = Statement.PerSecond;
  else
    m_PerSecond = std::max(2 * *m_PerSecond, MinRaisedPerSecond);
  return true;
}

double TargetRateLimit::ratePerSecond() const {
  return m_Share *
         std::clamp(m_PerSecond.value_or(0), MinPerSecond, MaxPerSecond);
}

double TargetRateLimit::capacity() const {
  const double Burst = m_Share * BurstRequests + ratePerSecond() * BurstSeconds;
  return m_Share >= MinBucketShare ? std::max(1.0, Burst) : Burst;
}

double TargetRateLimit::permitsAt(TimePoint Now) const {
  if (capacity() < 1)
    return Now - m_UpdatedAt <= PermitLifetime ? m_Permits : 0;
  const double Seconds = std::max(0.0, toSeconds(Now - m_UpdatedAt));
  return std::min(capacity(), m_Permits + Seconds * ratePerSecond());
}

void TargetRateLimit::setShare(double Share, TimePoint Now) {
  if (Share == m_Share)
    return;
  m_Permits = Share > m_Share ? 0 : permitsAt(Now);
  m_UpdatedAt = Now;
  m_Share = Share;
}

void TargetRateLimit::drawPermit(double Draw, TimePoint Now) {
  const double Seconds = std::max(0.0, toSeconds(Now - m_DrawnAt));
  m_DrawnAt = Now;
  if (capacity() >= 1 || Draw >= Seconds * ratePerSecond())
    return;
  m_Permits = 1;
  m_UpdatedAt = Now;
}

bool TargetRateLimit::hasPermit(TimePoint Now) const {
  return !isActive() || permitsAt(Now) >= 1;
}

void TargetRateLimit::takePermit(TimePoint Now) {
  assert(hasPermit(Now) && "no permit left");
  if (!isActive())
    return;
  m_Permits = permitsAt(Now) - 1;
  m_UpdatedAt = Now;
  m_Refusals = 0;
}

Duration TargetRateLimit::refusePermit() {
  ++m_Refusals;
  const double Seconds =
      m_Refusals / std::max(ratePerSecond(), 1 / toSeconds(MaxRequestPause));
  return fromSeconds(std::clamp(Seconds, toSeconds(MinRequestPause),
                                toSeconds(MaxRequestPause)));
}

} // namespace mangodeck
