#include "daemon.h"

#include "adminhandler.h"
#include "mangodeck/common/hybridclock.h"
#include "mangodeck/common/log.h"
#include "mangodeck/connection/callerserver.h"
#include "mangodeck/connection/curltargetclient.h"
#include "mangodeck/connection/datagramtransport.h"
#include "mangodeck/connection/etcdstore.h"
#include "mangodeck/connection/httptargetwatcher.h"
#include "mangodeck/connection/loopthread.h"
#include "mangodeck/connection/peertransport.h"
#include "mangodeck/process/configagent.h"
#include "mangodeck/process/drain.h"
#include "mangodeck/process/entry.h"
#include "mangodeck/process/memberagent.h"
#include "mangodeck/process/messagehub.h"
#include "mangodeck/process/metrics.h"
#include "mangodeck/process/packetcodec.h"
#include "mangodeck/process/storeclaimclient.h"
#include "mangodeck/process/timelineformat.h"
#include "mangodeck/version/memorystore.h"

#include <asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>

namespace mangodeck {

namespace {

constexpr Duration TickPeriod = 100ms;
constexpr Duration SummaryPeriod = 500ms;

/// Expected one-way delay to another failure domain; the group host uses it
/// when it places requests.
constexpr Duration DomainLinkDelay = 5ms;

/// Creates dispatch groups with makeDispatchGroup().
class StandardGroupFactory : public DispatchGroupFactory {
public:
  StandardGroupFactory(Incarnation Started, RandomSource &Random)
      : m_Started(Started), m_Random(Random) {}

  std::unique_ptr<DispatchGroup> make(const GroupId &Id) override {
    return makeDispatchGroup(Id, m_Started, m_Random.next());
  }

private:
  Incarnation m_Started;
  RandomSource &m_Random;
};

/// Forwards target reports to the group host, which is created after the
/// watcher that sends them.
class ReportForwarder : public TargetReportHandler {
public:
  void attach(TargetReportHandler &Handler) { m_Handler = &Handler; }

  void onLoad(const LoadReport &Report) override { m_Handler->onLoad(Report); }
  void onCache(const CacheEvent &Report) override {
    m_Handler->onCache(Report);
  }
  void onUp(const TargetName &Target, Incarnation Started) override {
    m_Handler->onUp(Target, Started);
  }
  void onDown(const TargetName &Target) override { m_Handler->onDown(Target); }

private:
  TargetReportHandler *m_Handler = nullptr;
};

/// Encodes packets and sends them as datagrams. A packet that cannot be encoded
/// is dropped.
class DatagramSender : public PacketSender {
public:
  DatagramSender(const PacketCodec &Codec, DatagramTransport &Transport)
      : m_Codec(Codec), m_Transport(Transport) {}

  void sendPacket(std::string_view Address, const Packet &Message) override {
    if (const auto Bytes = m_Codec.encode(Message))
      m_Transport.send(Address, *Bytes);
  }

private:
  const PacketCodec &m_Codec;
  DatagramTransport &m_Transport;
};

/// Runs \p Work on \p Loop and blocks until it has finished.
template <typename Function> void runAndWait(Executor &Loop, Function Work) {
  std::promise<void> Done;
  Loop.post([&] {
    Work();
    Done.set_value();
  });
  Done.get_future().wait();
}

/// Adds \p Counts to \p Sums, element by element.
void addTo(std::vector<std::uint32_t> &Sums,
           const std::vector<std::uint32_t> &Counts) {
  Sums.resize(std::max(Sums.size(), Counts.size()));
  for (std::size_t I = 0; I < Counts.size(); ++I)
    Sums[I] += Counts[I];
}

} // namespace

class Daemon::Impl : public MemberObserver, public ConfigObserver {
public:
  Impl(Settings Options, std::optional<RecordSet> Records);
  ~Impl() override { stopThreads(); }

  std::error_code start();
  void runUntilDrained();

private:
  struct ShardParts {
    LoopThread Loop;
    SeededRandom Random;
    CurlTargetClient Targets;
    explicit ShardParts(std::uint64_t Seed) : Random(Seed) {}
  };

  std::unique_ptr<Store> makeStore();
  ClaimOptions claimOptions() const;
  EntryShardDependencies shardDependencies(ShardParts &Parts);
  CallerServerOptions callerOptions() const;
  CallerServerOptions adminOptions() const;
  PeerTransportOptions peerOptions() const;
  MembershipOptions membershipOptions(std::string_view PeerAddress) const;
  std::error_code openPeerTransports();
  void startTimers();
  void startSignalHandling();
  void beginDrain(std::string_view Cause);
  void updateDrain();
  void stopThreads();
  void addAdminFunctions();
  MetricsSample sampleMetrics();
  AdminAnswer timeline(std::string_view Query) const;
  AdminAnswer status() const;
  AdminAnswer receiveRevisions(std::string_view Body);

  void onMembersChanged(std::span<const Member> Members) override;
  void onMemberGone(const Member &Gone) override;
  void onExclusionsChanged(const DispatchExclusions &Exclusions) override;
  void onGroupSummary(const GroupSummary &Summary) override;
  void onRevisionReceived(const VmName &Origin,
                          const ConfigRevision &Revision) override;
  void onLeaveRequested() override { beginDrain("platform list"); }
  void onSnapshot(const SnapshotPtr &Config) override;

  Settings m_Options;
  std::optional<RecordSet> m_Records;
  SystemClock m_Clock;
  HybridClock m_HybridClock{m_Clock};
  Timeline m_Timeline;
  Metrics m_Metrics;
  DeviceRandom m_DeviceRandom;
  SeededRandom m_ControlRandom{m_DeviceRandom.next()};
  SeededRandom m_HostRandom{m_DeviceRandom.next()};
  SeededRandom m_PeerRandom{m_DeviceRandom.next()};
  SeededRandom m_StoreRandom{m_DeviceRandom.next()};
  SeededRandom m_ClaimRandom{m_DeviceRandom.next()};
  Incarnation m_Started = static_cast<Incarnation>(m_Clock.wallNow());

  RcuPointer<Snapshot> m_Config{std::make_shared<const Snapshot>()};
  RcuPointer<OwnerTable> m_Owners{std::make_shared<const OwnerTable>()};
  RcuPointer<DispatchExclusions> m_Exclusions{
      std::make_shared<const DispatchExclusions>()};
  BodyBudget m_BodyBudget;

  LoopThread m_ControlLoop;
  LoopThread m_HostLoop;
  EtcdStore *m_Etcd = nullptr; ///< Into m_Store; null for an in-memory store.
  std::unique_ptr<Store> m_Store;
  PeerTransport m_PeerTransport;
  LocalRouter m_Router;
  StoreClaimClient m_ClaimClient;
  std::vector<std::unique_ptr<ShardParts>> m_ShardParts;
  std::vector<std::unique_ptr<EntryShard>> m_Shards;
  std::unique_ptr<Entry> m_Entry;
  StandardGroupFactory m_GroupFactory;
  ReportForwarder m_ReportForwarder;
  HttpTargetWatcher m_TargetWatcher;
  PacketCodec m_Codec;
  std::unique_ptr<DatagramTransport> m_DatagramTransport;
  std::unique_ptr<DatagramSender> m_PacketSender;
  std::unique_ptr<MemberAgent> m_MemberAgent;
  std::unique_ptr<GroupHost> m_GroupHost;
  std::unique_ptr<ConfigAgent> m_ConfigAgent;
  std::unique_ptr<MessageHub> m_MessageHub;
  AdminHandler m_Admin;
  std::unique_ptr<CallerServer> m_CallerServer;
  std::unique_ptr<CallerServer> m_AdminServer;

  Drain m_Drain;
  std::atomic<DrainPhase> m_DrainPhase = DrainPhase::Serving;
  std::promise<void> m_Drained;
  asio::signal_set m_Signals;
};

Daemon::Impl::Impl(Settings Options, std::optional<RecordSet> Records)
    : m_Options(std::move(Options)), m_Records(std::move(Records)),
      m_Timeline(m_Options.TimelineEvents, m_HybridClock),
      m_BodyBudget(m_Options.MaxWaitingBytes), m_Store(makeStore()),
      m_PeerTransport(peerOptions(), m_Clock, m_HybridClock, m_PeerRandom),
      m_Router(m_Options.Vm, m_PeerTransport),
      m_ClaimClient(claimOptions(), *m_Store, m_ClaimRandom, m_ControlLoop,
                    m_Clock),
      m_GroupFactory(m_Started, m_HostRandom),
      m_TargetWatcher({}, m_ReportForwarder), m_Codec(m_Options.PeerKeys),
      m_Drain(m_Options.BalancerLag),
      m_Signals(m_ControlLoop.context(), SIGTERM, SIGINT) {
  for (std::uint32_t I = 0; I < std::max(1U, m_Options.EntryThreads); ++I) {
    m_ShardParts.push_back(std::make_unique<ShardParts>(m_DeviceRandom.next()));
    m_Shards.push_back(
        std::make_unique<EntryShard>(shardDependencies(*m_ShardParts.back())));
  }
  m_Entry = std::make_unique<Entry>(m_Options.Vm, m_Options.Domain, m_Clock,
                                    m_Config, m_BodyBudget, m_Shards);
  m_ConfigAgent = std::make_unique<ConfigAgent>(
      m_ControlLoop, m_Clock, *m_Store, m_Config, *this, m_Timeline);
}

std::unique_ptr<Store> Daemon::Impl::makeStore() {
  if (m_Records || m_Options.StoreEndpoints.empty())
    return std::make_unique<MemoryStore>(m_Clock);
  EtcdStoreOptions Options;
  Options.Endpoints = m_Options.StoreEndpoints;
  Options.CallsPerSecond = m_Options.StoreCallsPerSecond;
  auto Remote = std::make_unique<EtcdStore>(std::move(Options), m_StoreRandom);
  m_Etcd = Remote.get();
  return Remote;
}

ClaimOptions Daemon::Impl::claimOptions() const {
  ClaimOptions Options;
  Options.Vm = m_Options.Vm;
  Options.Started = m_Started;
  return Options;
}

EntryShardDependencies Daemon::Impl::shardDependencies(ShardParts &Parts) {
  return {m_Options.Vm, Parts.Loop,   m_Clock,   Parts.Random,  m_Config,
          m_Owners,     m_Exclusions, m_Router,  Parts.Targets, m_ClaimClient,
          m_BodyBudget, m_Metrics,    m_Timeline};
}

CallerServerOptions Daemon::Impl::callerOptions() const {
  CallerServerOptions Options;
  Options.Address = m_Options.CallerAddress;
  Options.Threads = m_Options.EntryThreads;
  Options.MaxBodyBytes = m_Options.MaxBodyBytes;
  Options.MaxHeaderValueBytes = m_Options.MaxHeaderBytes / 4;
  Options.ReadTimeout = m_Options.CallerIdleTimeout;
  Options.WriteTimeout = m_Options.CallerIdleTimeout;
  return Options;
}

CallerServerOptions Daemon::Impl::adminOptions() const {
  CallerServerOptions Options;
  Options.Address = m_Options.AdminAddress;
  Options.Threads = 1;
  Options.MaxConnections = 64;
  return Options;
}

PeerTransportOptions Daemon::Impl::peerOptions() const {
  PeerTransportOptions Options;
  Options.Vm = m_Options.Vm;
  Options.ListenAddress = m_Options.PeerAddress;
  Options.Keys = m_Options.PeerKeys;
  return Options;
}

MembershipOptions
Daemon::Impl::membershipOptions(std::string_view PeerAddress) const {
  MembershipOptions Options;
  Options.Vm = m_Options.Vm;
  Options.Domain = m_Options.Domain;
  Options.Started = m_Started;
  Options.PeerAddress = PeerAddress;
  Options.Seeds = m_Options.Seeds;
  Options.GossipBytesPerSecond = m_Options.GossipBytesPerSecond;
  return Options;
}

/// Opens the datagram socket, creates the parts that depend on its address, and
/// starts the peer transport.
std::error_code Daemon::Impl::openPeerTransports() {
  auto Opened =
      openUdpTransport(m_ControlLoop.context(), m_Options.PeerAddress);
  if (!Opened)
    return Opened.error();
  m_DatagramTransport = std::move(*Opened);
  m_PacketSender =
      std::make_unique<DatagramSender>(m_Codec, *m_DatagramTransport);
  m_MemberAgent = std::make_unique<MemberAgent>(
      membershipOptions(m_DatagramTransport->localAddress()), m_ControlLoop,
      m_Clock, m_ControlRandom, *m_PacketSender, m_Owners, m_Exclusions, *this,
      m_Timeline);
  m_GroupHost = std::make_unique<GroupHost>(m_HostLoop, m_Clock, m_Router,
                                            m_TargetWatcher, m_GroupFactory,
                                            *m_MemberAgent, m_Timeline);
  m_ReportForwarder.attach(*m_GroupHost);
  m_MessageHub = std::make_unique<MessageHub>(
      m_HostLoop, *m_GroupHost, *m_Entry, m_Shards, *m_ConfigAgent);
  m_Router.attach(*m_MessageHub);
  m_ConfigAgent->setPeerSender(m_Router);
  m_DatagramTransport->start(
      [this](std::string_view Bytes, std::string_view Source) {
        if (const auto Message = m_Codec.decode(Bytes))
          m_MemberAgent->onPacket(*Message, Source);
      });
  return m_PeerTransport.start(*m_MessageHub);
}

std::error_code Daemon::Impl::start() {
  // Step 1. Open the peer transports, before callers can connect.
  if (const auto Error = openPeerTransports())
    return Error;

  // Step 2. Write the records, if any were given, to the in-memory store.
  if (m_Records)
    if (const auto Error = writeFirstRevision(*m_Store, *m_Records))
      return Error;

  // Step 3. Start the signal handling, the timers, the event loops and the
  // configuration agent.
  startSignalHandling();
  startTimers();
  m_HostLoop.start();
  m_ControlLoop.start();
  for (auto &Parts : m_ShardParts)
    Parts->Loop.start();
  m_ControlLoop.post([this] { m_ConfigAgent->start(); });

  // Step 4. Open the listeners for callers and operators.
  addAdminFunctions();
  m_CallerServer = std::make_unique<CallerServer>(callerOptions(), *m_Entry);
  m_AdminServer = std::make_unique<CallerServer>(adminOptions(), m_Admin);
  if (const auto Error = m_CallerServer->start())
    return Error;
  if (const auto Error = m_AdminServer->start())
    return Error;
  fmt::print("listening=127.0.0.1:{}\nadmin=127.0.0.1:{}\n",
             m_CallerServer->port(), m_AdminServer->port());
  std::fflush(stdout);
  logEvent("started", "vm={} failure_domain={} callers={} admin={} peers={}",
           m_Options.Vm.Text, m_Options.Domain.Text, m_Options.CallerAddress,
           m_Options.AdminAddress, m_DatagramTransport->localAddress());
  if (m_Records)
    logEvent("store_in_memory", "note=\"claims and revisions are lost when "
                                "this process ends\"");
  return {};
}

void Daemon::Impl::startTimers() {
  m_ControlLoop.postEvery(TickPeriod, [this] {
    m_MemberAgent->tick();
    m_ConfigAgent->tick();
    updateDrain();
  });
  m_HostLoop.postEvery(TickPeriod, [this] { m_GroupHost->tick(); });
  m_HostLoop.postEvery(SummaryPeriod, [this] {
    m_ControlLoop.post([this, Summaries = m_GroupHost->summaries()] {
      m_MemberAgent->publishSummaries(Summaries);
    });
  });
}

void Daemon::Impl::startSignalHandling() {
  m_Signals.async_wait([this](std::error_code Error, int) {
    if (!Error)
      beginDrain("signal");
  });
}

/// Begins the graceful shutdown: /readyz answers 503 from now on, and the
/// dispatch groups move to other members. New requests are still accepted until
/// the load balancer has had Settings::BalancerLag to react.
void Daemon::Impl::beginDrain(std::string_view Cause) {
  if (m_DrainPhase.load() != DrainPhase::Serving)
    return;
  logEvent("drain_started", "cause=\"{}\" open={}", Cause,
           m_Entry->openRequests());
  m_Timeline.record(
      {EventKind::DrainStarted, {}, m_Options.Vm.Text, std::string(Cause)});
  m_Drain.begin(m_Clock.now());
  m_DrainPhase.store(DrainPhase::Leaving);
  m_MemberAgent->setLeaving();
}

void Daemon::Impl::updateDrain() {
  const auto PhaseBefore = m_DrainPhase.load();
  const auto PhaseNow = m_Drain.update(
      m_Clock.now(), m_CallerServer->openExchanges() + m_Entry->openRequests());
  if (PhaseNow == PhaseBefore)
    return;
  m_DrainPhase.store(PhaseNow);
  if (PhaseNow == DrainPhase::Finishing) {
    m_CallerServer->stopAccepting();
    m_Entry->stopAdmitting();
  } else if (PhaseNow == DrainPhase::Done) {
    m_Timeline.record({EventKind::DrainFinished, {}, m_Options.Vm.Text, ""});
    m_MemberAgent->leave();
    m_Drained.set_value();
  }
}

void Daemon::Impl::runUntilDrained() {
  m_Drained.get_future().wait();
  m_CallerServer->stop();
  m_PeerTransport.flush(2s);
  logEvent("stopped", "open={}", m_Entry->openRequests());
}

void Daemon::Impl::stopThreads() {
  if (m_CallerServer)
    m_CallerServer->stop();
  if (m_AdminServer)
    m_AdminServer->stop();
  m_PeerTransport.stop();
  m_ControlLoop.stop();
  m_HostLoop.stop();
  for (auto &Parts : m_ShardParts)
    Parts->Loop.stop();
}

void Daemon::Impl::onMembersChanged(std::span<const Member> Members) {
  std::vector<PeerAddress> Peers;
  for (const auto &Item : Members)
    if (Item.isLive() && !(Item.Vm == m_Options.Vm))
      Peers.push_back({Item.Vm, Item.Address});
  m_PeerTransport.setPeers(Peers);
  m_HostLoop.post([this, Owned = m_Owners.share()->ownedBy(m_Options.Vm)] {
    m_GroupHost->setOwned(Owned);
  });
  for (const auto &Shard : m_Shards)
    Shard->onOwnersChanged();
}

void Daemon::Impl::onMemberGone(const Member &Gone) {
  m_HostLoop.post([this, Vm = Gone.Vm] { m_GroupHost->onMemberGone(Vm); });
}

void Daemon::Impl::onExclusionsChanged(const DispatchExclusions &Exclusions) {
  m_HostLoop.post(
      [this, Exclusions] { m_GroupHost->onExclusionsChanged(Exclusions); });
}

void Daemon::Impl::onGroupSummary(const GroupSummary &Summary) {
  const auto Delay =
      Summary.Group.Domain == m_Options.Domain ? Duration{0} : DomainLinkDelay;
  m_HostLoop.post(
      [this, Summary, Delay] { m_GroupHost->onGroupSummary(Summary, Delay); });
}

void Daemon::Impl::onRevisionReceived(const VmName &Origin,
                                      const ConfigRevision &Revision) {
  m_ConfigAgent->onRevisionReceived(Origin, Revision.Number, Revision.Digest);
}

void Daemon::Impl::onSnapshot(const SnapshotPtr &Config) {
  m_MemberAgent->publishRevision(Config->Revision, Config->Digest);
  m_HostLoop.post([this, Config] { m_GroupHost->configure(Config); });
  m_MemberAgent->setGroups(groupsOf(*Config));
}

void Daemon::Impl::addAdminFunctions() {
  m_Admin.add("GET", "/healthz", [](auto, auto) {
    return AdminAnswer{200, "text/plain", "alive\n"};
  });
  m_Admin.add("GET", "/readyz", [this](auto, auto) {
    const bool IsReady = m_DrainPhase.load() == DrainPhase::Serving &&
                         m_ConfigAgent->status().RevisionInForce > 0;
    return AdminAnswer{IsReady ? 200 : 503, "text/plain",
                       IsReady ? "ready\n" : "not ready\n"};
  });
  m_Admin.add("GET", "/status", [this](auto, auto) { return status(); });
  m_Admin.add("GET", "/metrics", [this](auto, auto) {
    return AdminAnswer{200, "text/plain; version=0.0.4",
                       m_Metrics.serialize(sampleMetrics())};
  });
  m_Admin.add("GET", "/timeline",
              [this](auto Query, auto) { return timeline(Query); });
  m_Admin.add("POST", "/revisions",
              [this](auto, auto Body) { return receiveRevisions(Body); });
}

AdminAnswer Daemon::Impl::timeline(std::string_view Query) const {
  const auto Parsed = parseTimelineQuery(Query);
  if (!Parsed)
    return {
        400, "text/plain",
        "query: allowed: after=MICROSECONDS.COUNTER, request=ID, limit=N\n"};
  return {200, "application/json",
          toJson(queryTimeline(m_Options.Vm, m_Timeline, *Parsed))};
}

/// Collects the counters that other parts keep. Those that belong to an event
/// loop are read on that loop; the calling thread blocks until this is done.
MetricsSample Daemon::Impl::sampleMetrics() {
  MetricsSample Sample;
  const auto Peers = m_PeerTransport.totals();
  Sample.PeersConnected = 0;
  for (const auto &Peer : m_PeerTransport.statistics())
    Sample.PeersConnected += Peer.Connected ? 1 : 0;
  Sample.PeerMessagesSent = Peers.MessagesSent;
  Sample.PeerMessagesReceived = Peers.MessagesReceived;
  Sample.PeerMessagesDropped = Peers.MessagesDropped;
  Sample.PeerMessagesRejected = Peers.MessagesRejected;
  Sample.PeerBytesSent = Peers.BytesSent;
  Sample.PeerBytesReceived = Peers.BytesReceived;
  Sample.PeerConnections = Peers.Connections;
  for (const auto &Parts : m_ShardParts)
    Sample.WrongAnswers += Parts->Targets.counters().WrongAnswers;
  Sample.EventsOverwritten = m_Timeline.overwrittenCount();
  Sample.RevisionInForce = m_ConfigAgent->status().RevisionInForce;
  Sample.StoreUp = !m_Etcd || m_Etcd->counts().IsReachable;
  Sample.OpenRequests = m_Entry->openRequests();
  Sample.WaitingBodyBytes = m_BodyBudget.bytes();
  runAndWait(m_HostLoop, [&] {
    for (const auto &Summary : m_GroupHost->summaries())
      addTo(Sample.WaitingPerTier, Summary.WaitingPerTier);
  });
  runAndWait(m_ControlLoop, [&] {
    for (const auto &Item : m_MemberAgent->members())
      ++Sample.Members[Item.State];
    Sample.GossipPacketsSent = m_MemberAgent->counts().PacketsSent;
    Sample.GossipBytesSent = m_MemberAgent->counts().BytesSent;
  });
  return Sample;
}

AdminAnswer Daemon::Impl::status() const {
  const auto Config = m_ConfigAgent->status();
  nlohmann::json Alarms = nlohmann::json::array();
  for (const auto Alarm : Config.Alarms)
    Alarms.push_back(toString(Alarm));
  nlohmann::json Owned = nlohmann::json::array();
  const auto Owners = m_Owners.share();
  for (const auto &Group : Owners->ownedBy(m_Options.Vm))
    Owned.push_back(toString(Group));
  const nlohmann::json Body{
      {"vm", m_Options.Vm.Text},
      {"failure_domain", m_Options.Domain.Text},
      {"revision", Config.RevisionInForce},
      {"known_revision", Config.LatestRevision},
      {"digest", Config.Digest},
      {"alarms", Alarms},
      {"ready", m_DrainPhase.load() == DrainPhase::Serving},
      {"open_requests", m_Entry->openRequests()},
      {"groups", Owned},
  };
  return {200, "application/json", Body.dump() + "\n"};
}

/// Receives revisions that an operator's command sends once the store has
/// accepted them, as a JSON array of {"number", "value"}.
AdminAnswer Daemon::Impl::receiveRevisions(std::string_view Body) {
  const auto Parsed = nlohmann::json::parse(Body, nullptr, false);
  std::vector<LogEntry> Entries;
  bool IsValid = Parsed.is_array();
  for (const auto &Item : IsValid ? Parsed : nlohmann::json::array()) {
    IsValid = IsValid && Item.is_object() && Item.contains("number") &&
              Item["number"].is_number_unsigned() && Item.contains("value") &&
              Item["value"].is_string();
    if (IsValid)
      Entries.push_back({Item["number"].get<RevisionNumber>(),
                         Item["value"].get<std::string>()});
  }
  if (!IsValid)
    return {
        400, "text/plain",
        "body: allowed: a JSON array of {\"number\": N, \"value\": TEXT}\n"};
  m_ConfigAgent->offer(std::move(Entries));
  return {202, "application/json", "{}\n"};
}

Daemon::Daemon(Settings Options, std::optional<RecordSet> Records)
    : m_Impl(std::make_unique<Impl>(std::move(Options), std::move(Records))) {}

Daemon::~Daemon() = default;

std::error_code Daemon::start() { return m_Impl->start(); }

void Daemon::runUntilDrained() { m_Impl->runUntilDrained(); }

} // namespace mangodeck
