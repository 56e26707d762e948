#include "customerlimits.h"

#include "waitingticket.h"

#include <algorithm>
#include <cassert>

namespace mangodeck {

namespace {

/// Capacity of the buckets: the allowance of this many seconds.
constexpr double BurstSeconds = 2.0;
constexpr Duration ConcurrencyRetryAfter = 1s;
constexpr Duration MaxRetryAfter = 60s;
/// A customer without requests for this long is removed; its buckets are full
/// again by then.
constexpr Duration IdleExpiry = 600s;
constexpr double DemandSmoothing = 0.3;
/// Lower demand counts as none.
constexpr double MinDemandPerSecond = 0.001;
/// A group's share of an allowance is never below this, so that a customer that
/// moves its calls to this group is not refused everything until the next
/// update of the shares.
constexpr double MinShare = 0.1;

/// Adds the allowance of \p Elapsed seconds to the \p UnitsLeft in a bucket.
/// The bucket's capacity is at least \p MinCapacity.
double refill(double UnitsLeft, double RatePerSecond, double Elapsed,
              double MinCapacity) {
  const double Max = std::max(MinCapacity, RatePerSecond * BurstSeconds);
  return std::min(Max, UnitsLeft + RatePerSecond * Elapsed);
}

} // namespace

/// Uses token buckets, so that a decision takes constant time. The bucket of
/// tokens per second may become negative by one request, because a single
/// request may cost more than the bucket holds.
std::optional<Duration> CustomerLimits::admit(const Ticket &Request,
                                              const Customer &Record,
                                              TimePoint Now) {
  auto &Usage = m_Usage[Request.Customer.Text];
  const double RequestRate = Record.RequestsPerSecond * Usage.Share;
  const double TokenRate = Record.TokensPerSecond * Usage.Share;
  // A new customer starts with full buckets.
  const double Elapsed =
      Usage.HasArrival ? toSeconds(Now - Usage.LastArrival) : 3600.0;
  Usage.HasArrival = true;
  Usage.LastArrival = Now;
  Usage.HasLimits = Record.RequestsPerSecond > 0 ||
                    Record.TokensPerSecond > 0 || Record.Concurrency > 0;
  ++Usage.Arrivals;
  Usage.RequestsLeft = refill(Usage.RequestsLeft, RequestRate, Elapsed, 1.0);
  Usage.TokensLeft = refill(Usage.TokensLeft, TokenRate, Elapsed, 1.0);

  if (Record.Concurrency > 0) {
    const auto Max = std::max(1.0, Record.Concurrency * Usage.Share);
    if (Usage.InProgress + 1 > Max)
      return ConcurrencyRetryAfter;
  }
  if (RequestRate > 0 && Usage.RequestsLeft < 1.0)
    return std::min<Duration>(
        MaxRetryAfter, fromSeconds((1.0 - Usage.RequestsLeft) / RequestRate));
  if (TokenRate > 0 && Usage.TokensLeft <= 0)
    return std::min<Duration>(
        MaxRetryAfter, fromSeconds((1.0 - Usage.TokensLeft) / TokenRate));

  if (RequestRate > 0)
    Usage.RequestsLeft -= 1.0;
  if (TokenRate > 0)
    Usage.TokensLeft -= static_cast<double>(costInTokens(Request));
  ++Usage.InProgress;
  return std::nullopt;
}

void CustomerLimits::addInProgress(const CustomerName &Name) {
  ++m_Usage[Name.Text].InProgress;
}

void CustomerLimits::release(const CustomerName &Name) {
  auto &Usage = m_Usage[Name.Text];
  assert(Usage.InProgress > 0 && "customer has no request in progress");
  --Usage.InProgress;
}

void CustomerLimits::updateShares(TimePoint Now,
                                  const std::map<std::string, double> &Others) {
  const double Elapsed = toSeconds(Now - m_LastUpdate);
  m_LastUpdate = Now;
  for (auto &[Name, Usage] : m_Usage) {
    const double RatePerSecond = Usage.Arrivals / std::max(Elapsed, 0.1);
    Usage.DemandPerSecond +=
        DemandSmoothing * (RatePerSecond - Usage.DemandPerSecond);
    Usage.Arrivals = 0;
    const auto Other = Others.find(Name);
    const double All =
        Usage.DemandPerSecond + (Other == Others.end() ? 0 : Other->second);
    Usage.Share = All > MinDemandPerSecond
                      ? std::max(MinShare, Usage.DemandPerSecond / All)
                      : 1.0;
  }
  std::erase_if(m_Usage, [Now](const auto &Item) {
    return Item.second.InProgress == 0 &&
           Now - Item.second.LastArrival > IdleExpiry;
  });
}

std::vector<CustomerDemand> CustomerLimits::demand() const {
  std::vector<CustomerDemand> Result;
  for (const auto &[Name, Usage] : m_Usage)
    if (Usage.HasLimits && Usage.DemandPerSecond >= MinDemandPerSecond)
      Result.push_back({CustomerName(Name), Usage.DemandPerSecond});
  return Result;
}

double CustomerLimits::share(const CustomerName &Name) const {
  const auto It = m_Usage.find(Name.Text);
  return It == m_Usage.end() ? 1.0 : It->second.Share;
}

std::uint32_t CustomerLimits::inProgress(const CustomerName &Name) const {
  const auto It = m_Usage.find(Name.Text);
  return It == m_Usage.end() ? 0 : It->second.InProgress;
}

} // namespace mangodeck
