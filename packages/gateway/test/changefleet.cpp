#include "changefleet.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

constexpr Duration StoreLatency = 4ms;
/// Time-out of a call to the store, in addition to the wait of a watch.
constexpr Duration CallTimeout = 900ms;
constexpr Duration MinPeerLatency = std::chrono::microseconds(200);
constexpr Duration MaxPeerLatency = 10ms;
constexpr const char *ConfigurationKey = "config";

} // namespace

struct PendingWatch {
  StoreRevision After;
  TimePoint EndsAt;
  std::function<void(Expected<KeyChanges>)> Done;
  bool IsSilent = false;
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
    Receiver.runAt(m_Time.now() + Delay, [&Receiver, Shared] {
      if (const auto Message = decodeRelayedChanges(*Shared))
        Receiver.follower().onRelayedChanges(*Message);
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

void ChangeFleet::Daemon::silenceConnections() {
  m_ConnectionsFrom = m_Calls + 1;
  for (const auto &Each : m_Watches)
    Each->IsSilent = true;
}

template <typename T>
void ChangeFleet::Daemon::answer(Duration Timeout,
                                 std::function<void(Expected<T>)> Done,
                                 std::function<Expected<T>()> Read) {
  ++m_Fleet.m_StoreCalls;
  ++m_Calls;
  const auto Now = m_Fleet.m_Time.now();
  if (Access == StoreAccess::Rejects)
    return runAt(Now + StoreLatency, [Done] {
      Done(unexpected(make_error_code(Errc::Unavailable)));
    });
  if (Access == StoreAccess::IsSilent)
    return runAt(Now + Timeout,
                 [Done] { Done(unexpected(make_error_code(Errc::Timeout))); });
  m_Fleet.m_Time.at(Now + StoreLatency / 2, [this, Done, Read] {
    runAt(m_Fleet.m_Time.now() + StoreLatency / 2,
          [Done, Result = Read()] { Done(Result); });
  });
}

void ChangeFleet::Daemon::list(std::string_view,
                               KeyValueStore::Callback<KeyPage> Done) {
  answer<KeyPage>(CallTimeout, std::move(Done), [this]() -> Expected<KeyPage> {
    return m_Fleet.m_Store.list();
  });
}

void ChangeFleet::Daemon::watch(StoreRevision After, Duration Wait,
                                KeyValueStore::Callback<KeyChanges> Done) {
  if (Access != StoreAccess::Answers)
    return answer<KeyChanges>(Wait + CallTimeout, std::move(Done), {});
  ++m_Fleet.m_StoreCalls;
  ++m_Calls;
  const auto Now = m_Fleet.m_Time.now();
  auto Watch = std::make_shared<PendingWatch>();
  Watch->After = After;
  Watch->EndsAt = Now + StoreLatency / 2 + Wait;
  Watch->Done = std::move(Done);
  m_Fleet.m_Time.at(Now + StoreLatency / 2,
                    [this, Watch] { tryAnswerWatch(Watch); });
  m_Fleet.m_Time.at(Watch->EndsAt, [this, Watch] {
    std::erase(m_Watches, Watch);
    tryAnswerWatch(Watch);
  });
  runAt(Now + Wait + CallTimeout, [Watch] {
    if (const auto Callback = std::exchange(Watch->Done, nullptr))
      Callback(unexpected(make_error_code(Errc::Timeout)));
  });
}

void ChangeFleet::Daemon::tryAnswerWatch(std::shared_ptr<PendingWatch> Watch) {
  if (!Watch->Done || Watch->IsSilent)
    return;
  const auto Now = m_Fleet.m_Time.now();
  const auto &Store = m_Fleet.m_Store;
  Expected<KeyChanges> Result = Store.changesAfter(Watch->After);
  if (Access != StoreAccess::Answers)
    return; // The watch was cut without a word.
  if (!Store.hasHistory(Watch->After))
    Result = unexpected(make_error_code(Errc::StaleStore));
  else if (Result->Changes.empty() && Now < Watch->EndsAt) {
    m_Watches.push_back(Watch);
    return;
  }
  const auto Done = std::exchange(Watch->Done, nullptr);
  runAt(Now + StoreLatency / 2, [Done, Result] { Done(Result); });
}

void ChangeFleet::Daemon::query(
    StoreRevision After, Duration Timeout,
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
  Peer.runAt(Now + 3 * Latency, [this, &Peer, After, Finish, Latency] {
    const auto Answer = Peer.follower().changesAfter(After);
    if (Answer)
      runAt(m_Fleet.m_Time.now() + Latency, [Finish, Answer] {
        // As it is sent.
        if (auto Decoded = decodeRelayedChanges(encodeRelayedChanges(*Answer)))
          Finish(std::move(*Decoded));
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
