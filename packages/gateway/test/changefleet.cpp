#include "changefleet.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

constexpr Duration StoreLatency = 4ms;
/// Time-out of a call to the store, in addition to the wait of a watch.
constexpr Duration CallTimeout = 900ms;
/// Of a connection to the store.
constexpr Duration ConnectTimeout = 800ms;
constexpr Duration MinPeerLatency = std::chrono::microseconds(200);
constexpr Duration MaxPeerLatency = 10ms;
constexpr const char *ConfigurationKey = "config";
/// Sizes on the wire: packets that open a connection, heads of calls, the
/// fields of an item beside its value.
constexpr std::size_t HandshakeBytes = 60;
constexpr std::size_t CallBytes = 300;
constexpr std::size_t ItemBytes = 100;
/// Datagrams that would wait longer in a link are dropped.
constexpr Duration MaxDatagramWait = 1s;
/// Callers give up a request that has not been read after this time.
constexpr Duration MaxRequestWait = 1s;
constexpr std::size_t RequestBytes = 12000;

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
};

void SimulatedTime::at(TimePoint When, std::function<void()> Work) {
  m_Events.push({std::max(When, m_Now), ++m_Number, std::move(Work)});
}

void SimulatedTime::runUntil(TimePoint End) {
  while (!m_Events.empty() && m_Events.top().When <= End) {
    auto Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.When;
    Next.Work();
  }
  m_Now = End;
}

void SimulatedStore::append(KeyChange Change) {
  Change.Revision = {1, ++m_Revision};
  if (Change.Removed)
    m_Items.erase(Change.Key);
  else
    m_Items[Change.Key] = Change;
  m_History.push_back(std::move(Change));
  for (const auto &Each : OnChange)
    Each();
}

void SimulatedStore::write(const std::string &Key, const std::string &Value) {
  append({Key, Value, {}, false});
}

void SimulatedStore::remove(const std::string &Key) {
  append({Key, "", {}, true});
}

KeyPage SimulatedStore::list() const {
  KeyPage Page;
  for (const auto &[Key, Item] : m_Items)
    Page.Items.push_back(Item);
  Page.AsOf = revision();
  return Page;
}

KeyChanges SimulatedStore::changesAfter(StoreRevision After) const {
  KeyChanges Changes;
  for (const auto &Each : m_History)
    if (Each.Revision > After)
      Changes.Changes.push_back(Each);
  Changes.AsOf = revision();
  return Changes;
}

ChangeFleet::ChangeFleet(const ChangeFleetSettings &Settings)
    : m_Settings(Settings), m_Random(Settings.Seed),
      m_Log(-1, "fleet", "1", 1000), m_WrittenAt(1) {
  for (std::size_t I = 0; I < Settings.Daemons; ++I)
    m_Daemons.push_back(
        std::make_unique<Daemon>(*this, I, I % Settings.Domains));
}

ChangeFleet::~ChangeFleet() = default;

void ChangeFleet::start() {
  m_Store.write("target", "1");
  writeVersion();
  for (auto &Each : m_Daemons)
    m_Time.at(m_Time.now() + fromSeconds(0.3 * m_Random.uniform()),
              [&Each] { Each->start(); });
  runFor(6s);
}

int ChangeFleet::writeVersion() {
  const auto Version = static_cast<int>(m_WrittenAt.size());
  m_WrittenAt.push_back(m_Time.now());
  auto Value = std::to_string(Version) + ' ';
  Value.append(m_Settings.ValueBytes, 'x');
  m_Store.write(ConfigurationKey, Value);
  return Version;
}

std::vector<std::size_t> ChangeFleet::membersOf(std::size_t Domain) const {
  std::vector<std::size_t> Members;
  for (const auto &Each : m_Daemons)
    if (Each->Domain == Domain)
      Members.push_back(Each->Index);
  return Members;
}

std::size_t ChangeFleet::relayOf(std::size_t Domain) const {
  for (const auto &Each : m_Daemons)
    if (Each->Domain == Domain && Each->IsRunning)
      return Each->Index;
  return m_Daemons.size();
}

Duration
ChangeFleet::slowest(const std::function<bool(const Daemon &)> &Counts) const {
  Duration Longest{0};
  for (std::size_t Version = 2; Version < m_WrittenAt.size(); ++Version)
    for (const auto &Each : m_Daemons) {
      if (!Counts(*Each))
        continue;
      const auto Taken = Each->TakenAt.lower_bound(static_cast<int>(Version));
      const auto Time =
          Taken == Each->TakenAt.end() ? m_Time.now() : Taken->second;
      Longest = std::max<Duration>(Longest, Time - m_WrittenAt[Version]);
    }
  return Longest;
}

Duration ChangeFleet::slowestUnimpaired() const {
  Duration Longest{0};
  for (std::size_t Version = 2; Version < m_WrittenAt.size(); ++Version)
    for (const auto &Each : m_Daemons) {
      const auto Taken = Each->TakenAt.lower_bound(static_cast<int>(Version));
      const auto Time =
          Taken == Each->TakenAt.end() ? m_Time.now() : Taken->second;
      Longest = std::max<Duration>(
          Longest, Time - Each->obligedFrom(m_WrittenAt[Version]));
    }
  return Longest;
}

void ChangeFleet::narrowLinks(std::size_t Index, double Mbps, Duration Span,
                              double RequestMbps) {
  auto &Each = *m_Daemons[Index];
  const auto Now = m_Time.now();
  Each.m_Uplink.setRate(Mbps);
  Each.m_Downlink.setRate(Mbps);
  Each.m_Impairments.emplace_back(Now, Now + Span);
  m_Time.at(Now + Span, [&Each] {
    Each.m_Uplink.setRate(SimulatedLink::WideMbps);
    Each.m_Downlink.setRate(SimulatedLink::WideMbps);
  });
  if (RequestMbps > 0)
    sendRequests(Each, RequestMbps, Now + Span);
}

void ChangeFleet::sendRequests(Daemon &To, double Mbps, TimePoint Until) {
  const auto Now = m_Time.now();
  if (Now >= Until)
    return;
  if (To.m_Downlink.queueDelay(Now) < MaxRequestWait)
    To.receive(RequestBytes, [&To] {
      if (To.m_Uplink.queueDelay(To.m_Fleet.m_Time.now()) < MaxRequestWait)
        To.send(RequestBytes, Duration{0}, [] {});
    });
  m_Time.at(Now + fromSeconds(RequestBytes * 8 / (Mbps * 1e6)),
            [this, &To, Mbps, Until] { sendRequests(To, Mbps, Until); });
}

void ChangeFleet::sendWithinDomain(Daemon &From, std::string Bytes) {
  const auto Shared = std::make_shared<const std::string>(std::move(Bytes));
  for (auto &Each : m_Daemons) {
    if (Each.get() == &From || Each->Domain != From.Domain)
      continue;
    if (m_Time.now() < RelayLossUntil || m_Random.uniform() < LossShare)
      continue;
    const auto Delay = MinPeerLatency + fromSeconds(toSeconds(MaxPeerLatency) *
                                                    m_Random.uniform());
    auto &Receiver = *Each;
    if (From.m_Uplink.queueDelay(m_Time.now()) > MaxDatagramWait)
      continue;
    From.send(Shared->size(), Delay, [this, &Receiver, Shared] {
      if (Receiver.m_Downlink.queueDelay(m_Time.now()) > MaxDatagramWait)
        return;
      Receiver.receive(Shared->size(), [&Receiver, Shared] {
        if (const auto Message = decodeRelayedChanges(*Shared))
          Receiver.follower().onRelayedChanges(*Message);
      });
    });
  }
}

ChangeFleet::Daemon::Daemon(ChangeFleet &Fleet, std::size_t Index,
                            std::size_t Domain)
    : Index(Index), Domain(Domain), Id("vm-" + std::to_string(Index)),
      m_Fleet(Fleet), m_Follower(std::make_unique<KeyFollower>(
                          Fleet.m_Time, *this, *this, *this, *this, *this,
                          Fleet.m_Log, Fleet.m_Settings.ChangeDeadline)) {}

void ChangeFleet::Daemon::start() {
  m_Fleet.m_Store.OnChange.push_back([this] {
    for (const auto &Each : std::exchange(m_Watches, {}))
      tryAnswerWatch(Each);
  });
  m_Follower->start();
}

void ChangeFleet::Daemon::runAt(TimePoint When, std::function<void()> Work) {
  m_Fleet.m_Time.at(When, [this, Work = std::move(Work)]() mutable {
    const auto Now = m_Fleet.m_Time.now();
    if (!IsRunning)
      return;
    if (Now < m_FrozenUntil)
      return runAt(m_FrozenUntil, std::move(Work));
    // Any handler notices first that the process was suspended.
    if (std::exchange(m_IsSuspended, false)) {
      ConfirmedAt = TimePoint{};
      m_Follower->refresh();
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

void ChangeFleet::Daemon::list(std::string_view,
                               KeyValueStore::Callback<KeyPage> Done) {
  const auto Pending = std::make_shared<decltype(Done)>(std::move(Done));
  const auto Finish = [this, Pending](Expected<KeyPage> Answer) {
    if (const auto Callback = std::exchange(*Pending, nullptr)) {
      m_HasStoreConnection = Answer.has_value();
      Callback(std::move(Answer));
    }
  };
  runAt(m_Fleet.m_Time.now() + CallTimeout,
        [Finish] { Finish(unexpected(make_error_code(Errc::Timeout))); });
  callStore([this, Finish] {
    if (Access == StoreAccess::IsSilent)
      return;
    if (Access == StoreAccess::Rejects)
      return receive(CallBytes, [Finish] {
        Finish(unexpected(make_error_code(Errc::Unavailable)));
      });
    auto Page = m_Fleet.m_Store.list();
    const auto Bytes = sizeOf(Page.Items) + m_Fleet.m_Settings.OtherKeysBytes;
    receive(Bytes, [Finish, Page = std::move(Page)] { Finish(Page); });
  });
}

void ChangeFleet::Daemon::watch(StoreRevision After, Duration Wait,
                                KeyValueStore::Callback<KeyChanges> Done) {
  auto Watch = std::make_shared<PendingWatch>();
  Watch->After = After;
  Watch->Done = std::move(Done);
  runAt(m_Fleet.m_Time.now() + Wait + CallTimeout, [this, Watch] {
    if (const auto Callback = std::exchange(Watch->Done, nullptr)) {
      m_HasStoreConnection = false;
      Callback(unexpected(make_error_code(Errc::Timeout)));
    }
  });
  callStore([this, Watch, Wait] {
    if (Access == StoreAccess::IsSilent)
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
  if (!Watch->Done || Watch->IsSilent || Watch->IsAnswered)
    return;
  const auto Now = m_Fleet.m_Time.now();
  const auto &Store = m_Fleet.m_Store;
  Expected<KeyChanges> Result = Store.changesAfter(Watch->After);
  if (Access == StoreAccess::IsSilent)
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
              if (const auto Done = std::exchange(Watch->Done, nullptr)) {
                m_HasStoreConnection = Result.has_value();
                Done(Result);
              }
            });
  });
}

void ChangeFleet::Daemon::query(
    const ChangeQuery &Query, Duration Timeout,
    PeerChangeReader::Callback<RelayedChanges> Done) {
  ++m_Fleet.m_PeerQueries;
  // By turns one of the own failure domain and one of another.
  const bool IsOwn = ++m_Queries % 2 == 1;
  std::vector<Daemon *> Candidates;
  for (auto &Each : m_Fleet.m_Daemons)
    if (Each.get() != this && (Each->Domain == Domain) == IsOwn)
      Candidates.push_back(Each.get());
  const auto Now = m_Fleet.m_Time.now();
  const auto Pending = std::make_shared<decltype(Done)>(std::move(Done));
  const auto Finish = [Pending](Expected<RelayedChanges> Answer) {
    if (const auto Callback = std::exchange(*Pending, nullptr))
      Callback(std::move(Answer));
  };
  runAt(Now + Timeout,
        [Finish] { Finish(unexpected(make_error_code(Errc::Timeout))); });
  if (Candidates.empty())
    return;
  auto &Peer = *Candidates[static_cast<std::size_t>(
      m_Fleet.m_Random.uniform() * static_cast<double>(Candidates.size()))];
  // A connection takes a round trip, the call another one.
  const auto Latency =
      fromSeconds(toSeconds(MaxPeerLatency) * (1 + m_Fleet.m_Random.uniform()));
  const auto Answer = [this, &Peer, Query, Finish, Latency] {
    const auto Known = Peer.follower().answer(Query);
    if (!Known)
      return;
    const auto Bytes = encodeRelayedChanges(*Known); // As it is sent.
    m_Fleet.m_PeerAnswerBytes += Bytes.size();
    Peer.send(Bytes.size() + CallBytes, Latency, [this, Finish, Bytes] {
      receive(Bytes.size() + CallBytes, [Finish, Bytes] {
        if (auto Decoded = decodeRelayedChanges(Bytes))
          Finish(std::move(*Decoded));
      });
    });
  };
  const auto Request = [this, &Peer, Latency, Answer] {
    send(CallBytes, Latency,
         [&Peer, Answer] { Peer.receive(CallBytes, Answer); });
  };
  send(HandshakeBytes, Latency, [this, &Peer, Latency, Request] {
    Peer.receive(HandshakeBytes, [this, &Peer, Latency, Request] {
      Peer.send(HandshakeBytes, Latency,
                [this, Request] { receive(HandshakeBytes, Request); });
    });
  });
}

bool ChangeFleet::Daemon::onKeyUpdated(const KeyChange &Change) {
  if (Change.Key != ConfigurationKey) {
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
  return m_Fleet.relayOf(Domain) == Index &&
         m_Fleet.membersOf(Domain).size() >=
             minDaemonsForRelay(m_Fleet.m_Settings.ChangeDeadline);
}

void ChangeFleet::Daemon::sendToDomain(std::string_view Bytes) {
  m_Fleet.sendWithinDomain(*this, std::string(Bytes));
}

} // namespace mangodeck
