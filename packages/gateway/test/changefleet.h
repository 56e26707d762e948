#ifndef MANGODECK_GATEWAY_TEST_CHANGEFLEET_H
#define MANGODECK_GATEWAY_TEST_CHANGEFLEET_H

#include "mangodeck/common/clock.h"
#include "mangodeck/common/executor.h"
#include "mangodeck/common/random.h"
#include "mangodeck/gateway/keyfollower.h"
#include "mangodeck/gateway/peerregistry.h"
#include "simulatedlink.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace mangodeck {

/// A clock and the functions that are to run at its times.
class SimulatedTime : public Clock {
public:
  TimePoint now() const override { return m_Now; }
  WallMilliseconds wallNow() const override { return 0; }
  void at(TimePoint When, std::function<void()> Work);
  void runUntil(TimePoint End);

private:
  struct Event {
    TimePoint When;
    std::uint64_t Number;
    std::function<void()> Work;
    bool operator>(const Event &Other) const {
      return When != Other.When ? When > Other.When : Number > Other.Number;
    }
  };
  TimePoint m_Now{3600s};
  std::uint64_t m_Number = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
};

/// How the store answers a daemon.
enum class StoreAccess { Answers, Rejects, IsSilent };

/// The store, with its history.
class SimulatedStore {
public:
  void write(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// The keys after \p After, at most \p MaxItems of them.
  KeyPage list(std::string_view After, std::size_t MaxItems) const;
  bool hasHistory(StoreRevision After) const {
    return After.Number >= m_HistoryFrom;
  }
  KeyChanges changesAfter(StoreRevision After) const;
  /// All changes since the start.
  const std::vector<KeyChange> &history() const { return m_History; }
  StoreRevision revision() const { return {1, m_Revision}; }
  void dropHistory() { m_HistoryFrom = m_Revision; }
  /// Called after each change.
  std::vector<std::function<void()>> OnChange;

private:
  void append(KeyChange Change);

  std::int64_t m_Revision = 1;
  std::int64_t m_HistoryFrom = 0;
  std::map<std::string, KeyChange> m_Items;
  std::vector<KeyChange> m_History;
};

inline constexpr const char *FleetConfigurationKey = "config";
inline constexpr std::string_view FleetPeerPrefix = "peer/";

struct ChangeFleetSettings {
  std::size_t Daemons = 8;
  std::size_t Domains = 3;
  Duration ChangeDeadline = 3s;
  std::size_t ValueBytes = 12000; ///< Of the configuration.
  /// Of the other keys, as a listing has them.
  std::size_t OtherKeysBytes = 30000;
  std::size_t PageItems = 500; ///< Of a listing.
  bool ChecksAllKeys = false;  ///< See ChangeFleet::incompleteView().
  std::uint64_t Seed = 1;
};

/// Daemons that follow the store, with the real KeyFollower and PeerRegistry,
/// over a simulated network. Each has a link of its own, which its calls,
/// queries, relayed messages and requests share. A daemon knows the others by
/// their registrations in the store, which expire when the store does not serve
/// them, and chooses its relay by their reports, as Gateway does. Reports take
/// no bandwidth.
class ChangeFleet {
public:
  class Daemon;
  static constexpr Duration MinPeerLatency = std::chrono::microseconds(200);
  static constexpr Duration MaxPeerLatency = 10ms;

  explicit ChangeFleet(const ChangeFleetSettings &Settings);
  ~ChangeFleet();

  /// Starts all daemons with a first version and lets them settle.
  void start();
  /// Cuts a failure domain off from the others and from the store.
  void cutDomain(std::size_t Domain, Duration Span);
  /// Checks the views of all daemons from now on, see oldestView().
  void startChecks();
  /// Largest age of a view that a daemon in touch acted on: the time since a
  /// change that it lacked. A daemon is in touch if it has been running, with a
  /// wide link and a path to a daemon that the store serves, for a second more
  /// than the deadline.
  Duration oldestView() const { return m_OldestView; }
  /// Longest time that a daemon in touch was without any view.
  Duration longestWithoutView() const { return m_LongestWithoutView; }
  /// Writes the next version of the configuration; returns its number.
  int writeVersion();
  void runFor(Duration Span) { m_Time.runUntil(m_Time.now() + Span); }
  SimulatedTime &time() { return m_Time; }
  SimulatedStore &store() { return m_Store; }
  std::size_t size() const { return m_Daemons.size(); }
  Daemon &operator[](std::size_t Index) { return *m_Daemons[Index]; }
  std::vector<std::size_t> membersOf(std::size_t Domain) const;
  /// Longest time from the write of a version to the daemon that knew it last,
  /// of the daemons for which \p Counts holds.
  Duration slowest(const std::function<bool(const Daemon &)> &Counts) const;
  /// The same from the write or, if the daemon's links were impaired meanwhile
  /// or within the deadline after it, from the end of the impairment.
  Duration slowestUnimpaired() const;
  /// Narrows the links of a daemon for \p Span. Callers send it requests of
  /// \p RequestMbps meanwhile, of which it sends the bytes on.
  void narrowLinks(std::size_t Index, double Mbps, Duration Span,
                   double RequestMbps);
  /// Whether a daemon has reported a lower version after a higher one.
  bool hasRegressed() const { return m_HasRegressed; }
  /// Whether a daemon has taken its knowledge for current as of a time before
  /// which a version was written that it lacked.
  bool hasFalseConfirmation() const { return m_HasFalseConfirmation; }
  /// The first confirmed view found to lack a change that had been made by
  /// then; empty if there was none.
  const std::string &incompleteView() const { return m_IncompleteView; }
  /// Calls to the store of all daemons.
  std::size_t storeCalls() const { return m_StoreCalls; }
  /// Queries of all daemons to each other.
  std::size_t peerQueries() const { return m_PeerQueries; }
  /// Bytes of the answers to them, as sent.
  std::size_t peerAnswerBytes() const { return m_PeerAnswerBytes; }
  std::size_t relayOf(std::size_t Domain) const;
  RandomSource &random() { return m_Random; }

  /// Share of datagrams between daemons that get lost.
  double LossShare = 0;
  /// Datagrams of the relays during this time get lost.
  TimePoint RelayLossUntil{};

private:
  friend class Daemon;
  /// Whether packets from one daemon arrive at another.
  bool isConnected(const Daemon &From, const Daemon &To) const;
  void sendMessage(Daemon &From, Daemon &To,
                   std::shared_ptr<const std::string> Bytes);
  /// Renews the leases of the daemons' registrations, or lets them expire.
  void renewLeases();
  void checkViews();
  /// Compares the confirmed views with the changes made by then.
  void checkCompleteness();
  void sendRequests(Daemon &To, double Mbps, TimePoint Until);

  ChangeFleetSettings m_Settings;
  SimulatedTime m_Time;
  SimulatedStore m_Store;
  SeededRandom m_Random;
  EventLog m_Log;
  std::vector<std::unique_ptr<Daemon>> m_Daemons;
  std::vector<TimePoint> m_WrittenAt; ///< By version.
  /// Last change of each key, and its time.
  std::map<std::string, std::pair<KeyChange, TimePoint>> m_LastChanges;
  std::string m_IncompleteView;
  std::size_t m_ViewChecks = 0;
  std::map<std::size_t, TimePoint> m_DomainsCutUntil;
  Duration m_OldestView{0};
  Duration m_LongestWithoutView{0};
  bool m_HasRegressed = false;
  bool m_HasFalseConfirmation = false;
  std::size_t m_StoreCalls = 0;
  std::size_t m_PeerQueries = 0;
  std::size_t m_PeerAnswerBytes = 0;
};

/// One daemon with its follower.
class ChangeFleet::Daemon : public Executor,
                            public KeyValueStore,
                            public PeerChangeReader,
                            public KeyObserver,
                            public ChangeRelay {
public:
  Daemon(ChangeFleet &Fleet, std::size_t Index, std::size_t Domain);

  void start();
  /// Stops running for \p Span, then handles what has arrived meanwhile.
  void freeze(Duration Span);
  void kill();
  /// Kills the process and starts another one after \p Downtime.
  void restart(Duration Downtime);
  /// Cuts the daemon off from all others and from the store.
  void cutOff(Duration Span);
  /// Whether the store gives it answers.
  bool isServed() const;
  /// Start of the span in which a version written at \p Written may be unknown.
  TimePoint obligedFrom(TimePoint Written) const;
  /// Existing connections to the store go silent; new ones work.
  void silenceConnections();

  bool IsRunning = false;
  StoreAccess Access = StoreAccess::Answers;
  const std::size_t Index;
  const std::size_t Domain;
  int Version = 0;
  std::map<int, TimePoint> TakenAt; ///< First time with that version or later.
  /// Last change of each other key; "removed": the key is gone.
  std::map<std::string, std::string> Values;
  /// Revision of the last change of each key that exists.
  std::map<std::string, std::int64_t> KnownRevisions;
  std::string Id;
  KeyFollower &follower() { return *m_Followers.back(); }

  // Executor.
  void post(std::function<void()> Work) override;
  void postAfter(Duration Delay, std::function<void()> Work) override;
  // KeyValueStore.
  void list(std::string_view After,
            KeyValueStore::Callback<KeyPage> Done) override;
  void watch(StoreRevision After, Duration Wait,
             KeyValueStore::Callback<KeyChanges> Done) override;
  void grantLease(Duration, KeyValueStore::Callback<KeyLease>) override {}
  void keepLease(std::int64_t, KeyValueStore::Callback<KeyLease>) override {}
  void put(std::string_view, std::string_view, std::int64_t,
           KeyValueStore::Callback<bool>) override {}
  void reconnect() override {}
  // PeerChangeReader.
  void query(const ChangeQuery &Query, Duration Timeout,
             PeerChangeReader::Callback<RelayedChanges> Done) override;
  // KeyObserver.
  bool onKeyUpdated(const KeyChange &Change) override;
  void onKeyRemoved(const KeyChange &Change, bool AfterOutage) override;
  void onListed() override {}
  void onConfirmed(TimePoint Time) override;
  // ChangeRelay.
  bool isRelaying() const override;
  void stamp(RelayedChanges &Message) const override;
  void sendToDomain(std::string_view Bytes) override;
  void sendChanges(const PeerEndpoint &Receiver,
                   std::string_view Bytes) override;

  TimePoint ConfirmedAt{};

private:
  friend class ChangeFleet;
  /// Runs \p Work on this daemon at \p When, or when it runs again.
  void runAt(TimePoint When, std::function<void()> Work);
  /// Sends bytes over the own link; \p Work runs when they arrive.
  void send(std::size_t Bytes, Duration Latency, std::function<void()> Work);
  /// Bytes have arrived at the own link; \p Work runs once they have crossed
  /// it.
  void receive(std::size_t Bytes, std::function<void()> Work);
  /// Sends a request to the store, on a new connection if the last call failed.
  void callStore(std::function<void()> AtStore);
  void tryAnswerWatch(std::shared_ptr<struct PendingWatch> Watch);
  /// Starts a process on this VM.
  void startProcess();
  void sendReport();
  bool isCutOff() const;
  /// Whether the store's answers do not arrive.
  bool isSilent() const {
    return Access == StoreAccess::IsSilent ||
           (!isServed() && Access == StoreAccess::Answers);
  }
  /// Another daemon that is to be asked.
  Daemon *nextPeer();

  ChangeFleet &m_Fleet;
  TimePoint m_FrozenUntil{};
  bool m_IsSuspended = false;
  SimulatedLink m_Uplink;
  SimulatedLink m_Downlink;
  /// Spans in which the links were narrow.
  std::vector<std::pair<TimePoint, TimePoint>> m_Impairments;
  bool m_HasStoreConnection = false;
  std::size_t m_Queries = 0;
  std::vector<std::shared_ptr<PendingWatch>> m_Watches;
  /// One a process; the events of former ones are dropped.
  std::vector<std::unique_ptr<KeyFollower>> m_Followers;
  std::size_t m_Process = 0;
  std::optional<PeerRegistry> m_Peers;
  std::uint64_t m_ReportSequence = 0;
  std::optional<PeerRegistry::Delegate> m_Delegate;
  TimePoint m_DelegateSince{};
  TimePoint m_LeaseUntil{};
  TimePoint m_CutOffUntil{};
  TimePoint m_StartedAt{};
  TimePoint m_ImpairedAt{}; ///< Last time at which it was not in touch.
};

} // namespace mangodeck

#endif
