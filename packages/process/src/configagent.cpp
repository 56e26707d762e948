#include "mangodeck/process/configagent.h"

#include "mangodeck/common/log.h"

namespace mangodeck {

namespace {

/// Leading digits of a digest in log lines and events.
constexpr std::size_t ShortDigestLength = 12;

} // namespace

std::error_code writeFirstRevision(Store &ConfigStore,
                                   const RecordSet &Records) {
  auto First = makeChange({}, Records);
  First.Number = 1;
  First.ParentDigest = EmptyDigest;
  First.ChangeId = "seed";
  First.Author = "mangodeckd";
  First.Message = "records read at the start";
  First.StateDigest = stateDigest(Records);
  std::error_code Result = Errc::Unavailable;
  ConfigStore.compareAndSwap({logKey(1), encodeRevision(First), 0, 0},
                             [&Result](Expected<StoreWriteResult> Reply) {
                               Result = std::error_code{};
                               if (!Reply)
                                 Result = Reply.error();
                               else if (!Reply->Succeeded)
                                 Result = Errc::Conflict;
                             });
  return Result;
}

ConfigAgent::ConfigAgent(Executor &Loop, const Clock &Time, Store &ConfigStore,
                         RcuPointer<Snapshot> &Config, ConfigObserver &Observer,
                         EventSink &Events)
    : m_Loop(Loop), m_Config(Config), m_Observer(Observer), m_Events(Events),
      m_Sync(ConfigStore, *this, Loop, Time) {}

void ConfigAgent::start() { m_Sync.start(); }

void ConfigAgent::tick() {
  m_Sync.tick();
  updateStatus();
}

void ConfigAgent::putInForce(SnapshotPtr Config) {
  m_Config.replace(Config);
  const auto Digest = Config->Digest.substr(0, ShortDigestLength);
  m_Events.record({EventKind::RevisionInForce,
                   {},
                   std::to_string(Config->Revision),
                   Digest});
  logEvent("revision_in_force", "revision={} digest={}", Config->Revision,
           Digest);
  updateStatus();
  m_Observer.onSnapshot(Config);
}

void ConfigAgent::fetchFromPeer(const VmName &Peer, RevisionNumber After) {
  m_PeerSender->send(Peer, FetchRevisions{After});
}

void ConfigAgent::setAlarm(const SetAlarm &Alarm) {
  logEvent("config_alarm", "kind={} raised={} detail=\"{}\"",
           toString(Alarm.Kind), Alarm.Raised, Alarm.Detail);
  updateStatus();
}

void ConfigAgent::onRevisionReceived(const VmName &Origin,
                                     RevisionNumber Number,
                                     const std::string &Digest) {
  m_Sync.onGossip(Origin, Number, Digest);
}

void ConfigAgent::offer(std::vector<LogEntry> Entries) {
  m_Loop.post([this, Moved = std::move(Entries)] {
    m_Sync.onPeerEntries(VmName(), Moved);
  });
}

void ConfigAgent::onFetch(const VmName &Peer, const FetchRevisions &Message) {
  m_Loop.post([this, Peer, After = Message.After] {
    OfferRevisions Offer;
    for (auto &Entry : m_Sync.follower().entriesAfter(After))
      Offer.Entries.push_back({Entry.Number, std::move(Entry.Value)});
    m_PeerSender->send(Peer, std::move(Offer));
  });
}

void ConfigAgent::onOffer(const VmName &Peer, const OfferRevisions &Message) {
  std::vector<LogEntry> Entries;
  for (const auto &Entry : Message.Entries)
    Entries.push_back({Entry.Number, Entry.Value});
  m_Loop.post([this, Peer, Moved = std::move(Entries)] {
    m_Sync.onPeerEntries(Peer, Moved);
  });
}

void ConfigAgent::updateStatus() {
  const auto &Follower = m_Sync.follower();
  const std::lock_guard Lock(m_StatusMutex);
  m_Status.RevisionInForce = Follower.inForceNumber();
  m_Status.LatestRevision = Follower.knownNumber();
  m_Status.Digest = Follower.knownDigest();
  m_Status.Alarms = Follower.alarms();
}

ConfigStatus ConfigAgent::status() const {
  const std::lock_guard Lock(m_StatusMutex);
  return m_Status;
}

} // namespace mangodeck
