#ifndef MANGODECK_VERSION_ROUTEPLAN_H
#define MANGODECK_VERSION_ROUTEPLAN_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// What may be done again with a request of a route.
enum class RouteKind : std::uint8_t {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Stream,        ///< A stream of events; runs once unless it may be resumed.
};

std::string_view toString(RouteKind Kind);

/// A service that gets a share of a route's requests.
struct RouteShare {
  ServiceName Service;
  double Weight = 1;
};

/// Requests of one host below one path prefix.
struct Route {
  std::string Name;
  std::string Host;   ///< Lower case, without a port.
  std::string Prefix; ///< Begins and ends with a slash.
  RouteKind Kind = RouteKind::NonIdempotent;
  Duration Timeout{0};       ///< Longest wait for the whole answer; 0: none.
  Duration LatencyTarget{0}; ///< To the answer, or a stream's first event.
  Duration GapTarget{0};     ///< Longest pause between a stream's events.
  std::uint32_t Attempts = 1;
  TierRank Rank = 0; ///< 0 is the highest.
  bool OpenToAll = false;
  bool Resumable = false; ///< A stream may go on at another target.
  std::vector<RouteShare> Shares;

  /// A request that was sent may be sent again.
  bool mayRepeat() const {
    return Kind == RouteKind::Idempotent ||
           (Kind == RouteKind::Stream && Resumable);
  }
};

/// A service as the plan describes it; its targets are found elsewhere.
struct PlannedService {
  ServiceName Name;
  std::string HealthPath;
  std::uint32_t MaxConnections = 0; ///< Of all callers at a target; 0: none.
  bool IsEngine = false;            ///< Targets generate tokens.
  std::uint32_t Slots = 0;          ///< Requests an engine runs at once.
  TokenCount KvTokens = 0;          ///< Memory of an engine.
  std::uint32_t TokensPerEvent = 1;
};

/// A customer and its limit over all daemons.
struct PlannedCustomer {
  CustomerName Name;
  std::vector<std::string> Keys;
  std::optional<TierRank> Rank; ///< Goes before the route's.
  bool CountsTokens = false;    ///< The limit counts tokens, not requests.
  double PlainTokens = 0;       ///< Cost of a request that names no tokens.
  double PerSecond = 0;         ///< 0: no limit.
  double Burst = 0;
};

/// Bounds on what callers may send.
struct PlanLimits {
  std::size_t MaxHeadBytes = 16384;
  std::size_t MaxBodyBytes = 4 << 20;
  Duration HeadTimeout = 3s;
  Duration IdleTimeout = 15s;
};

/// One version of the routing configuration, immutable once indexed.
class RoutePlan {
public:
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<PlannedService> Services;
  std::vector<PlannedCustomer> Customers;
  PlanLimits Limits;

  /// Builds the look-up tables; call once after filling the vectors.
  void index();

  /// The route of \p Host with the longest prefix of \p Path; null if none.
  /// \p Path may carry a query. Costs one look-up a slash in the path.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  const PlannedCustomer *findCustomerByKey(std::string_view Key) const;
  const PlannedService *findService(const ServiceName &Name) const;

private:
  std::unordered_map<std::string, std::size_t> m_RouteByPlace;
  std::unordered_map<std::string, std::size_t> m_CustomerByKey;
  std::unordered_map<std::string, std::size_t> m_ServiceByName;
};

using RoutePlanPtr = std::shared_ptr<const RoutePlan>;

/// \p Host in lower case and without a port.
std::string normalizeHost(std::string_view Host);

} // namespace mangodeck

#endif
