#ifndef MANGODECK_GATEWAY_GATEWAY_H
#define MANGODECK_GATEWAY_GATEWAY_H

#include "mangodeck/common/random.h"
#include "mangodeck/gateway/crashguard.h"
#include "mangodeck/gateway/exchange.h"
#include "mangodeck/gateway/keyfollower.h"
#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/quotaledger.h"
#include "mangodeck/gateway/slotbroker.h"
#include "mangodeck/gateway/suspensiondetector.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// Addresses and bounds of one gateway process.
struct GatewaySettings {
  std::string Vm;
  std::uint64_t Incarnation = 0; ///< Grows with each start.
  FailureDomain Domain;
  std::string Ip;
  std::uint16_t CallerPort = 0;
  std::uint16_t ReadyPort = 0;   ///< Of the readiness check and the metrics.
  std::uint16_t MetricsPort = 0; ///< 0: served on the readiness port only.
  std::uint16_t PeerPort = 0;    ///< UDP, for reports of other daemons.
  std::string ReadyPath;
  std::string MetricsPath = "/metrics";
  Duration ShutdownGrace = 8s; ///< From SIGTERM until the process is killed.
  RetryBudgetLimits RetryLimits;
  std::size_t MemoryLimitBytes = std::size_t(128) << 20;
};

/// What a gateway learns from outside about configuration, targets and peers.
class DirectoryObserver {
public:
  virtual ~DirectoryObserver() = default;
  virtual void onPlan(RoutePlanPtr Plan) = 0;
  virtual void onTargetUpdated(const TargetEntry &Entry) = 0;
  virtual void onTargetRemoved(const TargetName &Id, bool AfterOutage) = 0;
  virtual void onPeerUpdated(const std::string &Vm,
                             const PeerEndpoint &Address) = 0;
  virtual void onPeerRemoved(const std::string &Vm) = 0;
  /// Everything known has been told once.
  virtual void onDirectoryComplete() = 0;
};

/// Accepts callers and routes their requests to targets. One loop does all of
/// it: a request touches few microseconds of decisions between reads and
/// writes, and handing it between threads would cost more than it saves.
class Gateway : public DirectoryObserver,
                private http::CallerHandler,
                private ExchangeControl,
                private SlotVerdictSink {
public:
  Gateway(asio::io_context &Loop, GatewaySettings Settings,
          const HeaderNames &Names, EventLog &Log, GatewayMetrics &Metrics,
          RandomSource &Random);
  ~Gateway() override;

  /// Opens the listeners and the peer socket.
  std::error_code start();
  /// Begins a graceful stop: not ready, no new connections kept, running
  /// requests to their end. The loop is stopped when all is done.
  void stop();
  /// Called with true after the process stood still.
  std::function<void()> OnResumed;
  /// Called with the number of daemons that may be serving.
  std::function<void(std::size_t)> OnDaemonCount;

  void onPlan(RoutePlanPtr Plan) override;
  void onTargetUpdated(const TargetEntry &Entry) override;
  void onTargetRemoved(const TargetName &Id, bool AfterOutage) override;
  void onPeerUpdated(const std::string &Vm,
                     const PeerEndpoint &Address) override;
  void onPeerRemoved(const std::string &Vm) override;
  void onDirectoryComplete() override;

  bool isReady() const;

private:
  struct ServiceState {
    DispatchQueue Queue;
    ServiceRate Rate;
    Duration ToldBacklog{0}; ///< By the broker, last.
  };
  /// A request whose slot the broker was asked for.
  struct PendingAsk {
    TimePoint FirstSent{};
    TimePoint LastSent{};
    bool MayRefuse = false;
    bool Answered = false;
  };
  struct LapsedTarget {
    TargetName Id;
    TimePoint Until;
  };

  // Callers.
  void onRequest(http::CallerConnection &Connection, http::Request &&Message,
                 TimePoint FirstByte) override;
  void onCallerLeft(http::CallerConnection &Connection) override;
  void onRejected(int Status, std::string_view Start) override;
  void onClosed(http::CallerConnection &Connection) override;
  bool isLeaving() const override { return m_Stopping; }
  bool mayBuffer(std::size_t Bytes) const override;

  // Exchanges.
  void waitForSlot(const ExchangePtr &Waiting) override;
  void onFirstEvent(const Exchange &Running) override;
  void onTargetReleased(const Exchange &Left, const SlotNote &Use) override;
  void onExchangeOver(Exchange &Ended, bool Ran) override;
  void onBrokenOff(const TargetPtr &Target, std::uint64_t Fingerprint) override;
  Duration comeBackAfter(const Exchange &Refused) override;

  // The slot broker of this failure domain.
  void onVerdict(const std::string &Vm, const SlotVerdict &Verdict) override;
  void onOwnVerdict(const SlotVerdict &Verdict);
  /// Follows which daemon is the broker.
  void updateBroker(TimePoint Now);
  bool isBrokerHeard(TimePoint Now) const { return m_BrokerSilentUntil <= Now; }
  void askForSlot(const ExchangePtr &Waiting, bool MayRefuse, TimePoint Now);
  void tellBroker(const SlotMessage &Message, TimePoint Now);
  void acceptSlotMessage(const SlotMessage &Message, TimePoint Now);
  /// Asks again where no verdict came, and turns to deciding alone if the
  /// broker stays silent.
  void checkAsks(TimePoint Now);
  void withdraw(TicketNumber Number, TimePoint Now);

  void onSlotFreed(const ServiceName &Service);
  void accept();
  void acceptReady(asio::ip::tcp::acceptor &Acceptor);
  void serveReady(std::shared_ptr<asio::ip::tcp::socket> Socket);
  void receiveReport();
  void acceptReport(PeerReport Report, TimePoint Now);
  void sendTo(std::span<const PeerEndpoint> Peers, std::string_view Bytes);
  void updateDaemonCount(TimePoint Now);
  Duration reportPeriod() const;
  void sendReports(TimePoint Now);
  void refreshLoads(TimePoint Now);
  void answer(http::CallerConnection &Connection, int Status,
              std::string_view Reason, std::optional<Duration> ComeBack);
  void admit(const ExchangePtr &New, TimePoint Now);
  /// Puts a request into its service's queue.
  void pushTicket(const ExchangePtr &Waiting);
  /// Pumps the service once the present handler has returned.
  void schedulePump(const ServiceName &Service);
  void pump(const ServiceName &Service);
  /// Sends the request to a target that this daemon chooses.
  bool tryDispatch(const ExchangePtr &Waiting, bool ElsewhereOnly,
                   TimePoint Now);
  ServiceName pickService(const Route &Matched);
  void tick();
  void stopStep(TimePoint Now);
  bool listen(asio::ip::tcp::acceptor &Acceptor, std::uint16_t Port,
              std::error_code &Error);

  asio::io_context &m_Loop;
  GatewaySettings m_Settings;
  const HeaderNames &m_Names;
  EventLog &m_Log;
  GatewayMetrics &m_Metrics;
  RandomSource &m_Random;
  asio::ip::tcp::acceptor m_Acceptor;
  asio::ip::tcp::acceptor m_ReadyAcceptor;
  asio::ip::tcp::acceptor m_MetricsAcceptor;
  asio::ip::udp::socket m_PeerSocket;
  asio::steady_timer m_Timer;
  std::array<char, 16384> m_ReportBuffer;
  asio::ip::udp::endpoint m_ReportSender;

  RoutePlanPtr m_Plan;
  TargetBook m_Targets;
  TargetConnectionPool m_Pool;
  RetryBudget m_Budget;
  QuotaLedger m_Quotas;
  CrashGuard m_Crashes;
  PeerRegistry m_Peers;
  SuspensionDetector m_Wake;
  SlotBroker m_Broker;
  std::optional<PeerRegistry::Delegate>
      m_RemoteBroker; ///< Unless it is this one.
  TimePoint m_BrokerSilentUntil{};
  std::unordered_map<TicketNumber, PendingAsk> m_Asks;
  std::map<std::string, ServiceState> m_Services;
  std::map<std::uint64_t, TimePoint> m_Leaving; ///< Told to the other daemons.
  std::vector<LapsedTarget> m_Lapsed;
  std::unordered_map<const http::CallerConnection *,
                     std::shared_ptr<http::CallerConnection>>
      m_Callers;
  std::unordered_map<const http::CallerConnection *, ExchangePtr> m_Active;
  std::unordered_map<TicketNumber, ExchangePtr> m_ByNumber;
  std::vector<ServiceName> m_ToPump;
  TicketNumber m_NextNumber = 1;
  std::uint64_t m_ReportSequence = 0;
  std::size_t m_BufferedBytes = 0;
  bool m_Complete = false;
  bool m_Stopping = false;
  bool m_IdleClosed = false;
  TimePoint m_StopSince{};
  TimePoint m_LastReport{};
  TimePoint m_LastRefresh{};
  TimePoint m_LastSlowTick{};
};

} // namespace mangodeck

#endif
