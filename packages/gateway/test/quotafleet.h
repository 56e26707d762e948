#ifndef MANGODECK_GATEWAY_TEST_QUOTAFLEET_H
#define MANGODECK_GATEWAY_TEST_QUOTAFLEET_H

#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/quotaledger.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mangodeck {

/// A fleet of daemons in three failure domains that enforce one customer's
/// limit with the real QuotaLedger and PeerRegistry. Reports go as Gateway
/// sends them: at its ticks and report periods, to the main receivers of a
/// large domain, as the delegate's summaries for each daemon, and as domain
/// summaries to other domains. Requests arrive at random.
class QuotaFleet {
public:
  static constexpr std::size_t Domains = 3;

  /// What became of the requests since resetCounts().
  struct Counts {
    double DemandUnits = 0;
    double AdmittedUnits = 0;
    std::size_t Requests = 0;
    std::size_t Refused = 0;
    /// Requests that one token bucket with all knowledge would refuse.
    std::size_t RefusedByIdealBucket = 0;
    std::size_t LargeRequests = 0; ///< Of at least LargeUnits.
    std::size_t LargeRefused = 0;
    std::size_t Reports = 0; ///< Messages between daemons.
    double refusedShare() const {
      return static_cast<double>(Refused) /
             static_cast<double>(std::max<std::size_t>(1, Requests));
    }
  };
  static constexpr double LargeUnits = 20000;

  QuotaFleet(std::size_t Daemons, double UnitsPerSecond, std::uint64_t Seed);

  /// Demand relative to the limit.
  void setDemand(double Share) { m_Demand = Share; }
  /// Demand of each daemon relative to the others'.
  void setWeights(std::vector<double> Weights);
  /// Unequal weights, drawn at random.
  void setUnevenWeights();
  /// The share of the admitted requests that are not run and refunded.
  void setRefundedShare(double Share) { m_RefundedShare = Share; }
  /// Kills a daemon; it starts again after \p Downtime.
  void restart(std::size_t I, Duration Downtime);
  /// Cuts or restores the link between two failure domains.
  void setCut(std::size_t A, std::size_t B, bool IsCut);
  void run(Duration Span);

  double unitsPerSecond() const { return m_UnitsPerSecond; }
  std::size_t size() const { return m_Daemons.size(); }
  Duration now() const { return m_Now - StartTime; }
  const Counts &counts() const { return m_Counts; }
  void resetCounts() { m_Counts = Counts(); }
  /// The largest number of units admitted in any window of 8 s.
  double maxAdmittedInWindow() const;
  /// The bound on that.
  double bound() const {
    return (m_UnitsPerSecond * 8 + m_UnitsPerSecond) * 1.1 + 140000;
  }
  const CustomerName Customer{"hot"};
  /// Called for each refused request, with the index of its daemon.
  std::function<void(std::size_t, double Cost)> OnRefused;
  QuotaLedger &ledger(std::size_t I) { return *m_Daemons[I].Ledger; }
  TimePoint time() const { return m_Now; }

private:
  static constexpr TimePoint StartTime{std::chrono::hours(1)};
  struct Daemon {
    std::string Vm;
    std::size_t Domain = 0;
    std::unique_ptr<PeerRegistry> Peers;
    std::unique_ptr<QuotaLedger> Ledger;
    IncarnationId Incarnation = 0;
    std::uint64_t Sequence = 0;
    std::optional<PeerRegistry::Delegate> RemoteBroker;
    bool UsedOwnSummary = false;
    TimePoint LastReportAt{};
    TimePoint LastRefreshAt{};
    TimePoint LastCountAt{};
    TimePoint NextTickAt{};
    TimePoint UpAt{};
    bool IsUp = false;
  };
  struct Message {
    TimePoint At;
    std::size_t To = 0;
    std::shared_ptr<const PeerReport> Report;
    bool operator>(const Message &Other) const { return At > Other.At; }
  };
  struct Refund {
    TimePoint At;
    std::size_t To = 0;
    IncarnationId Incarnation = 0;
    double Cost = 0;
    bool operator>(const Refund &Other) const { return At > Other.At; }
  };

  void start(Daemon &Started);
  bool usesOwnSummary(const Daemon &Each) const {
    return Each.RemoteBroker.has_value() && Each.Peers->isDomainLarge();
  }
  Duration reportPeriod(const Daemon &Each) const;
  void tick(std::size_t I);
  void sendReports(std::size_t I);
  void send(std::size_t From, std::span<const PeerEndpoint> Receivers,
            const PeerReport &Report);
  void receive(std::size_t To, PeerReport Report);
  void request(std::size_t I, double Cost);
  std::map<std::string, QuotaUsage>
  asSent(std::map<std::string, QuotaUsage> Usage) const;

  double m_UnitsPerSecond;
  double m_Demand = 0;
  double m_RefundedShare = 0;
  RoutePlan m_Plan;
  std::mt19937_64 m_Random;
  SeededRandom m_LedgerRandom;
  std::vector<Daemon> m_Daemons;
  std::vector<double> m_Weights;
  std::discrete_distribution<std::size_t> m_PickDaemon;
  std::set<std::pair<std::size_t, std::size_t>> m_Cuts;
  std::priority_queue<Message, std::vector<Message>, std::greater<>> m_Messages;
  std::priority_queue<Refund, std::vector<Refund>, std::greater<>> m_Refunds;
  std::vector<std::pair<TimePoint, double>> m_Admitted;
  TimePoint m_Now = StartTime;
  double m_IdealUnits;
  TimePoint m_IdealAt = StartTime;
  Counts m_Counts;
};

} // namespace mangodeck

#endif
