#ifndef MANGODECK_GATEWAY_TARGETRATELIMIT_H
#define MANGODECK_GATEWAY_TARGETRATELIMIT_H

#include "mangodeck/common/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace mangodeck {

/// What a target stated in an answer about the rate of requests that it
/// accepts from all daemons together.
struct RateLimitStatement {
  std::optional<double> PerSecond; ///< Requests; std::nullopt: no limit.
  TimePoint StatedAt{};            ///< Arrival of the answer.
};

/// The rate limit of one target, and this daemon's permits to send under it.
///
/// Dividing a limit among the daemons in advance would waste most of it: of one
/// request a second, each of 295 daemons would get one in five minutes. So the
/// slot broker of the target's failure domain grants permits from one token
/// bucket that holds the whole limit. Every other daemon has a small share for
/// requests on which no broker decides.
///
/// A lower limit holds at once, a higher one only after nobody was told the
/// lower one for some time: a target may leave the limit out of single answers,
/// and reports of other daemons arrive in any order. A limit that is no longer
/// stated is doubled step by step before it ends, since many requests are sent
/// before the next answer to one of them can show that it still holds.
///
/// The burst is divided like the rate. A share that cannot hold a whole token
/// yields permits at random, at its mean rate, and an unused permit expires:
/// saved permits of many daemons would arrive at the target together.
class TargetRateLimit {
public:
  /// Applies a statement. Returns whether the limit in force has changed.
  bool apply(const RateLimitStatement &Statement);
  /// The limit in force, in requests per second; std::nullopt if there is none.
  std::optional<double> perSecond() const { return m_PerSecond; }
  /// Time of the last statement of the limit in force or of a lower one.
  TimePoint confirmedAt() const { return m_ConfirmedAt; }
  bool isActive() const { return m_PerSecond.has_value(); }

  /// Sets the share of the limit that this daemon may use, from 0 to 1. A
  /// larger share starts with an empty bucket, since the daemon that had it
  /// before may have used the burst.
  void setShare(double Share, TimePoint Now);
  /// For a share that cannot hold a whole token: draws whether the time since
  /// the last draw yields a permit. \p Draw is uniform in [0, 1).
  void drawPermit(double Draw, TimePoint Now);

  /// Whether a request may be sent; true without a limit.
  bool hasPermit(TimePoint Now) const;
  /// Takes a permit; there must be one.
  void takePermit(TimePoint Now);
  /// Returns the time after which a daemon that was refused a permit should
  /// request one again. Grows with the refusals since the last permit, so that
  /// the rate of requests does not grow with the number of daemons.
  Duration refusePermit();

private:
  /// Raises the limit in force if it was not confirmed for some time.
  bool raise(const RateLimitStatement &Statement);
  double ratePerSecond() const;
  /// Permits that the bucket holds at most.
  double capacity() const;
  double permitsAt(TimePoint Now) const;

  std::optional<double> m_PerSecond; ///< See perSecond().
  TimePoint m_ConfirmedAt{};
  TimePoint m_RaisedAt{};
  double m_Share = 0;
  double m_Permits = 0; ///< At m_UpdatedAt.
  /// Time of m_Permits. If the share cannot hold a whole token, the time at
  /// which the permit was drawn or taken.
  TimePoint m_UpdatedAt{};
  TimePoint m_DrawnAt{};        ///< Of the last call of drawPermit().
  std::uint32_t m_Refusals = 0; ///< Since the last permit was taken.
};

/// Share of a limit from which the slot broker of the target's failure domain
/// grants. \p Supporters of the \p Daemons there take it for the broker. Only
/// one broker can have the majority; the others get less than half, since the
/// daemons may be cut off from each other or disagree on the broker.
double brokerShare(std::size_t Supporters, std::size_t Daemons,
                   bool HasMajority);

/// Share of a limit that one of \p Daemons daemons may use without a broker.
double soloShare(std::size_t Daemons);

} // namespace mangodeck

#endif
