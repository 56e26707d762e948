#include "customerlimits.h"

#include "waitingticket.h"

#include <algorithm>
#include <cassert>

namespace mangodeck {

namespace {

/// Unused allowance is kept for bursts of this length.
constexpr double BurstSeconds = 2.0;
constexpr Duration ConcurrencyRetry = 1s;
constexpr Duration LongestRetry = 60s;
/// By then any allowance is full again.
constexpr Duration ForgetAfter = 600s;
constexpr double DemandSmoothing = 0.3;
/// Demand below this many requests a second counts as none.
constexpr double LeastDemand = 0.001;
/// A group keeps this part of an allowance while others use the rest, so that
/// a customer that turns to it is not shut out until the next digest.
constexpr double LeastShare = 0.1;

/// Adds the allowance of \p Elapsed seconds; at least \p Least can be saved.
double refill(double Left, double Rate, double Elapsed, double Least) {
  const double Most = std::max(Least, Rate * BurstSeconds);
  return std::min(Most, Left + Rate * Elapsed);
}

} // namespace

/// Token buckets, so that a decision takes constant time. The token bucket may
/// go negative by one request, because one may be larger than the whole bucket.
std::optional<Duration> CustomerLimits::admit(const Ticket &Request,
                                              const Customer &Record,
                                              TimePoint Now) {
  auto &Use = m_Usage[Request.Customer.Text];
  const double RequestRate = Record.RequestsPerSecond * Use.Share;
  const double TokenRate = Record.TokensPerSecond * Use.Share;
  const double Elapsed = Use.Started ? toSeconds(Now - Use.Updated) : 3600.0;
  Use.Started = true;
  Use.Updated = Now;
  Use.Limited = Record.RequestsPerSecond > 0 || Record.TokensPerSecond > 0 ||
                Record.Concurrency > 0;
  ++Use.Arrivals;
  Use.Requests = refill(Use.Requests, RequestRate, Elapsed, 1.0);
  Use.Tokens = refill(Use.Tokens, TokenRate, Elapsed, 1.0);

  if (Record.Concurrency > 0) {
    const auto Most = std::max(1.0, Record.Concurrency * Use.Share);
    if (Use.InProgress + 1 > Most)
      return ConcurrencyRetry;
  }
  if (RequestRate > 0 && Use.Requests < 1.0)
    return std::min<Duration>(LongestRetry,
                              fromSeconds((1.0 - Use.Requests) / RequestRate));
  if (TokenRate > 0 && Use.Tokens <= 0)
    return std::min<Duration>(LongestRetry,
                              fromSeconds((1.0 - Use.Tokens) / TokenRate));

  if (RequestRate > 0)
    Use.Requests -= 1.0;
  if (TokenRate > 0)
    Use.Tokens -= static_cast<double>(costOf(Request));
  ++Use.InProgress;
  return std::nullopt;
}

void CustomerLimits::adopt(const CustomerName &Name) {
  ++m_Usage[Name.Text].InProgress;
}

void CustomerLimits::release(const CustomerName &Name) {
  auto &Use = m_Usage[Name.Text];
  assert(Use.InProgress > 0 && "customer has nothing in progress");
  --Use.InProgress;
}

void CustomerLimits::update(TimePoint Now,
                            const std::map<std::string, double> &Others) {
  const double Elapsed = toSeconds(Now - m_Measured);
  m_Measured = Now;
  for (auto &[Name, Use] : m_Usage) {
    const double Rate = Use.Arrivals / std::max(Elapsed, 0.1);
    Use.Demand += DemandSmoothing * (Rate - Use.Demand);
    Use.Arrivals = 0;
    const auto Other = Others.find(Name);
    const double All = Use.Demand + (Other == Others.end() ? 0 : Other->second);
    Use.Share =
        All > LeastDemand ? std::max(LeastShare, Use.Demand / All) : 1.0;
  }
  std::erase_if(m_Usage, [Now](const auto &Item) {
    return Item.second.InProgress == 0 &&
           Now - Item.second.Updated > ForgetAfter;
  });
}

std::vector<CustomerDemand> CustomerLimits::demand() const {
  std::vector<CustomerDemand> Result;
  for (const auto &[Name, Use] : m_Usage)
    if (Use.Limited && Use.Demand >= LeastDemand)
      Result.push_back({CustomerName(Name), Use.Demand});
  return Result;
}

double CustomerLimits::share(const CustomerName &Name) const {
  const auto It = m_Usage.find(Name.Text);
  return It == m_Usage.end() ? 1.0 : It->second.Share;
}

std::uint32_t CustomerLimits::concurrency(const CustomerName &Name) const {
  const auto It = m_Usage.find(Name.Text);
  return It == m_Usage.end() ? 0 : It->second.InProgress;
}

} // namespace mangodeck
