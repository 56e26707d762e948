// The daemons of ChangeFleet: their processes and how packets reach them.
#include "changefleet.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace mangodeck {

namespace {

constexpr Duration StoreLatency = 4ms;
/// Time-out of a call to the store, in addition to the wait of a watch.
constexpr Duration CallTimeout = 900ms;
/// Of a connection to the store.
constexpr Duration ConnectTimeout = 800ms;
/// Sizes on the wire: packets that open a connection, heads of calls, the
/// fields of an item beside its value.
constexpr std::size_t HandshakeBytes = 60;
constexpr std::size_t CallBytes = 300;
constexpr std::size_t ItemBytes = 100;
/// Of Gateway.
constexpr Duration RelayStartDelay = 1s;
constexpr Duration MaxReportPeriod = 500ms;

/// Values are sent as base64.
std::size_t sizeOf(const std::vector<KeyChange> &Items) {
  std::size_t Bytes = CallBytes;
  for (const auto &Each : Items)
    Bytes += ItemBytes + Each.Value.size() * 4 / 3;
  return Bytes;
}

} // namespace

struct PendingWatch {
  StoreRevision After;
  TimePoint EndsAt;
  std::function<void(Expected<KeyChanges>)> Done;
  bool IsSilent = false;
  bool IsAnswered = false; ///< The answer may be on its way.
  std::size_t Process = 0; ///< That made the call.
};

ChangeFleet::Daemon::Daemon(ChangeFleet &Fleet, std::size_t Index,
                            std::size_t Domain)
    : Index(Index), Domain(Domain), Id(fmt::format("vm-{:03}", Index)),
      m_Fleet(Fleet) {}

void ChangeFleet::Daemon::start() {
  m_Fleet.m_Store.OnChange.push_back([this] {
    for (const auto &Each : std::exchange(m_Watches, {}))
      tryAnswerWatch(Each);
  });
  startProcess();
}

void ChangeFleet::Daemon::startProcess() {
  ++m_Process;
  IsRunning = true;
  m_StartedAt = m_DelegateSince = m_Fleet.m_Time.now();
  m_Delegate.reset();
  m_HasStoreConnection = false;
  m_IsSuspended = false;
  Version = 0;
  ConfirmedAt = TimePoint{};
  Values.clear();
  KnownRevisions.clear();
  m_Peers.emplace(Id, FailureDomain(std::to_string(Domain)));
  m_Followers.push_back(std::make_unique<KeyFollower>(
      m_Fleet.m_Time, *this, *this, *this, *this, *this, m_Fleet.m_Log,
      m_Fleet.m_Settings.ChangeDeadline));
  follower().start();
  sendReport();
}

void ChangeFleet::Daemon::kill() {
  IsRunning = false;
  m_Watches.clear();
}

void ChangeFleet::Daemon::restart(Duration Downtime) {
  kill();
  m_Fleet.m_Time.at(m_Fleet.m_Time.now() + Downtime, [this] {
    if (!IsRunning)
      startProcess();
  });
}

void ChangeFleet::Daemon::cutOff(Duration Span) {
  m_CutOffUntil = m_Fleet.m_Time.now() + Span;
}

bool ChangeFleet::Daemon::isCutOff() const {
  return m_Fleet.m_Time.now() < m_CutOffUntil;
}

bool ChangeFleet::Daemon::isServed() const {
  const auto Cut = m_Fleet.m_DomainsCutUntil.find(Domain);
  return Access == StoreAccess::Answers && !isCutOff() &&
         (Cut == m_Fleet.m_DomainsCutUntil.end() ||
          m_Fleet.m_Time.now() >= Cut->second);
}

void ChangeFleet::Daemon::sendReport() {
  const auto Now = m_Fleet.m_Time.now();
  auto Delegate = m_Peers->delegate(Now);
  if (Delegate.has_value() != m_Delegate.has_value())
    m_DelegateSince = Now;
  m_Delegate = std::move(Delegate);
  m_Peers->updateJoining(Now);
  PeerReport Report;
  Report.Vm = Id;
  Report.Domain = FailureDomain(std::to_string(Domain));
  Report.Incarnation = m_Process;
  Report.Sequence = ++m_ReportSequence;
  Report.Joining = m_Peers->isJoining();
  for (const auto &Receiver : m_Peers->reportReceivers(Now)) {
    auto &To = *m_Fleet.m_Daemons[Receiver.Port];
    if (!m_Fleet.isConnected(*this, To) ||
        m_Fleet.m_Random.uniform() < m_Fleet.LossShare)
      continue;
    const auto Delay = m_Uplink.queueDelay(Now) + To.m_Downlink.queueDelay(Now);
    To.runAt(Now + Delay + ChangeFleet::MaxPeerLatency, [&To, Report] {
      To.m_Peers->accept(Report, To.m_Fleet.m_Time.now());
    });
  }
  const auto Period = std::min<Duration>(
      MaxReportPeriod, 100ms * (1 + m_Peers->ownDomainSize() / 15));
  postAfter(Period, [this] { sendReport(); });
}

void ChangeFleet::Daemon::runAt(TimePoint When, std::function<void()> Work) {
  m_Fleet.m_Time.at(
      When, [this, Process = m_Process, Work = std::move(Work)]() mutable {
        const auto Now = m_Fleet.m_Time.now();
        if (!IsRunning || Process != m_Process)
          return;
        if (Now < m_FrozenUntil)
          return runAt(m_FrozenUntil, std::move(Work));
        // Any handler notices first that the process was suspended.
        if (std::exchange(m_IsSuspended, false)) {
          ConfirmedAt = TimePoint{};
          follower().refresh();
        }
        Work();
      });
}

void ChangeFleet::Daemon::post(std::function<void()> Work) {
  runAt(m_Fleet.m_Time.now(), std::move(Work));
}

void ChangeFleet::Daemon::postAfter(Duration Delay,
                                    std::function<void()> Work) {
  runAt(m_Fleet.m_Time.now() + Delay, std::move(Work));
}

void ChangeFleet::Daemon::freeze(Duration Span) {
  m_FrozenUntil = m_Fleet.m_Time.now() + Span;
  m_IsSuspended = true;
  runAt(m_FrozenUntil, [] {});
}

TimePoint ChangeFleet::Daemon::obligedFrom(TimePoint Written) const {
  auto From = Written;
  for (const auto &[Begin, End] : m_Impairments)
    if (Begin < From + m_Fleet.m_Settings.ChangeDeadline && End > From)
      From = End;
  return From;
}

void ChangeFleet::Daemon::silenceConnections() {
  m_HasStoreConnection = false;
  for (const auto &Each : m_Watches)
    Each->IsSilent = true;
}

void ChangeFleet::Daemon::send(std::size_t Bytes, Duration Latency,
                               std::function<void()> Work) {
  const auto Left = m_Uplink.send(Bytes, m_Fleet.m_Time.now());
  m_Fleet.m_Time.at(Left + Latency, std::move(Work));
}

void ChangeFleet::Daemon::receive(std::size_t Bytes,
                                  std::function<void()> Work) {
  runAt(m_Downlink.send(Bytes, m_Fleet.m_Time.now()), std::move(Work));
}

void ChangeFleet::Daemon::callStore(std::function<void()> AtStore) {
  ++m_Fleet.m_StoreCalls;
  const auto Request = [this, AtStore = std::move(AtStore)] {
    send(CallBytes, StoreLatency / 2, AtStore);
  };
  if (m_HasStoreConnection)
    return Request();
  const auto Deadline = m_Fleet.m_Time.now() + ConnectTimeout;
  send(HandshakeBytes, StoreLatency / 2, [this, Request, Deadline] {
    receive(HandshakeBytes, [this, Request, Deadline] {
      if (m_Fleet.m_Time.now() <= Deadline)
        Request();
    });
  });
}

void ChangeFleet::Daemon::list(std::string_view After,
                               KeyValueStore::Callback<KeyPage> Done) {
  const auto Pending = std::make_shared<decltype(Done)>(std::move(Done));
  const auto Finish = [this, Pending,
                       Process = m_Process](Expected<KeyPage> Answer) {
    const auto Callback = std::exchange(*Pending, nullptr);
    if (Callback && Process == m_Process) {
      m_HasStoreConnection = Answer.has_value();
      Callback(std::move(Answer));
    }
  };
  runAt(m_Fleet.m_Time.now() + CallTimeout,
        [Finish] { Finish(unexpected(make_error_code(Errc::Timeout))); });
  callStore([this, Finish, After = std::string(After)] {
    if (isSilent())
      return;
    if (Access == StoreAccess::Rejects)
      return receive(CallBytes, [Finish] {
        Finish(unexpected(make_error_code(Errc::Unavailable)));
      });
    auto Page = m_Fleet.m_Store.list(After, m_Fleet.m_Settings.PageItems);
    const auto Bytes = sizeOf(Page.Items) + m_Fleet.m_Settings.OtherKeysBytes;
    receive(Bytes, [Finish, Page = std::move(Page)] { Finish(Page); });
  });
}

void ChangeFleet::Daemon::watch(StoreRevision After, Duration Wait,
                                KeyValueStore::Callback<KeyChanges> Done) {
  auto Watch = std::make_shared<PendingWatch>();
  Watch->After = After;
  Watch->Process = m_Process;
  Watch->Done = std::move(Done);
  runAt(m_Fleet.m_Time.now() + Wait + CallTimeout, [this, Watch] {
    if (const auto Callback = std::exchange(Watch->Done, nullptr)) {
      m_HasStoreConnection = false;
      Callback(unexpected(make_error_code(Errc::Timeout)));
    }
  });
  callStore([this, Watch, Wait] {
    if (isSilent())
      return;
    Watch->EndsAt = m_Fleet.m_Time.now() + Wait;
    tryAnswerWatch(Watch);
    m_Fleet.m_Time.at(Watch->EndsAt, [this, Watch] {
      std::erase(m_Watches, Watch);
      tryAnswerWatch(Watch);
    });
  });
}

void ChangeFleet::Daemon::tryAnswerWatch(std::shared_ptr<PendingWatch> Watch) {
  if (!Watch->Done || Watch->IsSilent || Watch->IsAnswered ||
      Watch->Process != m_Process)
    return;
  const auto Now = m_Fleet.m_Time.now();
  const auto &Store = m_Fleet.m_Store;
  Expected<KeyChanges> Result = Store.changesAfter(Watch->After);
  if (isSilent())
    return; // The watch was cut without a word.
  if (Access == StoreAccess::Rejects)
    Result = unexpected(make_error_code(Errc::Unavailable));
  else if (!Store.hasHistory(Watch->After))
    Result = unexpected(make_error_code(Errc::StaleStore));
  else if (Result->Changes.empty() && Now < Watch->EndsAt) {
    m_Watches.push_back(Watch);
    return;
  }
  Watch->IsAnswered = true;
  m_Fleet.m_Time.at(Now + StoreLatency / 2, [this, Watch, Result] {
    receive(Result ? sizeOf(Result->Changes) : CallBytes,
            [this, Watch, Result] {
              const auto Done = std::exchange(Watch->Done, nullptr);
              if (Done && Watch->Process == m_Process) {
                m_HasStoreConnection = Result.has_value();
                Done(Result);
              }
            });
  });
}

void ChangeFleet::Daemon::query(
    const ChangeQuery &Original, Duration Timeout,
    PeerChangeReader::Callback<RelayedChanges> Done) {
  auto Query = Original;
  Query.Subscriber->Address = {Id, static_cast<std::uint16_t>(Index), {}};
  ++m_Fleet.m_PeerQueries;
  const auto Now = m_Fleet.m_Time.now();
  const auto Pending = std::make_shared<decltype(Done)>(std::move(Done));
  const auto Finish = [this, Pending,
                       Process = m_Process](Expected<RelayedChanges> Answer) {
    const auto Callback = std::exchange(*Pending, nullptr);
    if (Callback && Process == m_Process)
      Callback(std::move(Answer));
  };
  runAt(Now + Timeout,
        [Finish] { Finish(unexpected(make_error_code(Errc::Timeout))); });
  auto *const Chosen = Query.Receiver
                           ? m_Fleet.m_Daemons[Query.Receiver->Port].get()
                           : nextPeer();
  if (!Chosen)
    return post(
        [Finish] { Finish(unexpected(make_error_code(Errc::NotFound))); });
  auto &Peer = *Chosen;
  // A connection takes a round trip, the call another one.
  const auto Latency = fromSeconds(toSeconds(ChangeFleet::MaxPeerLatency) *
                                   (1 + m_Fleet.m_Random.uniform()));
  const auto Answer = [this, &Peer, Query, Finish, Latency] {
    const auto Known = Peer.follower().answer(Query);
    if (!Known)
      return Peer.send(CallBytes, Latency, [this, Finish] {
        receive(CallBytes, [Finish] {
          Finish(unexpected(make_error_code(Errc::Unavailable)));
        });
      });
    const auto Bytes = encodeRelayedChanges(*Known); // As it is sent.
    m_Fleet.m_PeerAnswerBytes += Bytes.size();
    const PeerEndpoint Asked{
        Peer.Id, static_cast<std::uint16_t>(Peer.Index), {}};
    Peer.send(Bytes.size() + CallBytes, Latency, [this, Finish, Bytes, Asked] {
      receive(Bytes.size() + CallBytes, [Finish, Bytes, Asked] {
        auto Decoded = decodeRelayedChanges(Bytes);
        if (!Decoded)
          return;
        Decoded->Sender = Asked;
        Finish(std::move(*Decoded));
      });
    });
  };
  const auto Request = [this, &Peer, Latency, Answer] {
    send(CallBytes, Latency,
         [&Peer, Answer] { Peer.receive(CallBytes, Answer); });
  };
  if (!m_Fleet.isConnected(*this, Peer))
    return;
  send(HandshakeBytes, Latency, [this, &Peer, Latency, Request, Finish] {
    if (!Peer.IsRunning) // Its VM resets the connection.
      return receive(HandshakeBytes, [Finish] {
        Finish(unexpected(make_error_code(Errc::Closed)));
      });
    Peer.receive(HandshakeBytes, [this, &Peer, Latency, Request] {
      Peer.send(HandshakeBytes, Latency,
                [this, Request] { receive(HandshakeBytes, Request); });
    });
  });
}

ChangeFleet::Daemon *ChangeFleet::Daemon::nextPeer() {
  // By turns one of the own failure domain and one of another.
  const bool IsOwn = ++m_Queries % 2 == 1;
  std::vector<Daemon *> Candidates;
  for (const auto &Each : m_Peers->endpoints())
    if ((Each.Domain.Text == std::to_string(Domain)) == IsOwn)
      Candidates.push_back(m_Fleet.m_Daemons[Each.Port].get());
  if (Candidates.empty())
    return nullptr;
  return Candidates[static_cast<std::size_t>(
      m_Fleet.m_Random.uniform() * static_cast<double>(Candidates.size()))];
}

bool ChangeFleet::Daemon::onKeyUpdated(const KeyChange &Change) {
  KnownRevisions[Change.Key] = Change.Revision.Number;
  if (Change.Key.starts_with(FleetPeerPrefix)) {
    const auto Vm = Change.Key.substr(FleetPeerPrefix.size());
    const auto Port = std::stoi(Vm.substr(Vm.find('-') + 1));
    if (Vm != Id)
      m_Peers->markListed(Vm, {Vm, static_cast<std::uint16_t>(Port),
                               FailureDomain(Change.Value)});
    return true;
  }
  if (Change.Key != FleetConfigurationKey) {
    Values[Change.Key] = Change.Value;
    return !Change.Value.starts_with("heartbeat");
  }
  const int New = std::stoi(Change.Value);
  if (New < Version)
    m_Fleet.m_HasRegressed = true;
  Version = New;
  TakenAt.emplace(New, m_Fleet.m_Time.now());
  return true;
}

void ChangeFleet::Daemon::onKeyRemoved(const KeyChange &Change, bool) {
  KnownRevisions.erase(Change.Key);
  if (Change.Key.starts_with(FleetPeerPrefix))
    return m_Peers->markUnlisted(Change.Key.substr(FleetPeerPrefix.size()),
                                 m_Fleet.m_Time.now());
  Values[Change.Key] = "removed";
}

void ChangeFleet::Daemon::onConfirmed(TimePoint Time) {
  ConfirmedAt = std::max(ConfirmedAt, Time);
  const auto &WrittenAt = m_Fleet.m_WrittenAt;
  const auto Next = static_cast<std::size_t>(Version) + 1;
  if (Next < WrittenAt.size() && WrittenAt[Next] < Time)
    m_Fleet.m_HasFalseConfirmation = true;
}

bool ChangeFleet::Daemon::isRelaying() const {
  return !m_Delegate &&
         m_Fleet.m_Time.now() - m_DelegateSince >= RelayStartDelay &&
         m_Peers->ownDomainSize() + 1 >=
             minDaemonsForRelay(m_Fleet.m_Settings.ChangeDeadline);
}

void ChangeFleet::Daemon::stamp(RelayedChanges &Message) const {
  Message.Vm = Id;
  Message.Incarnation = m_Process;
}

void ChangeFleet::Daemon::sendToDomain(std::string_view Bytes) {
  const auto Shared = std::make_shared<const std::string>(Bytes);
  for (const auto &Each : m_Peers->ownDomainEndpoints())
    m_Fleet.sendMessage(*this, *m_Fleet.m_Daemons[Each.Port], Shared);
}

void ChangeFleet::Daemon::sendChanges(const PeerEndpoint &Receiver,
                                      std::string_view Bytes) {
  m_Fleet.sendMessage(*this, *m_Fleet.m_Daemons[Receiver.Port],
                      std::make_shared<const std::string>(Bytes));
}

} // namespace mangodeck
