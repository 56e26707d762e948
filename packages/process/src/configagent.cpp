#include "mangodeck/process/configagent.h"

#include "mangodeck/common/log.h"
#include "mangodeck/common/overload.h"

#include <algorithm>

namespace mangodeck {

namespace {

std::vector<LogEntry> toLogEntries(std::span<const StoreEntry> Entries) {
  std::vector<LogEntry> Result;
  for (const auto &Entry : Entries)
    if (const auto Number = parseRevisionKey(Entry.Key))
      Result.push_back({*Number, Entry.Value});
  return Result;
}

} // namespace

std::error_code seedStore(Store &Target, const RecordSet &Records) {
  auto First = makeChange({}, Records);
  First.Number = 1;
  First.ParentDigest = EmptyDigest;
  First.ChangeId = "seed";
  First.Author = "mangodeckd";
  First.Message = "records read at the start";
  First.StateDigest = stateDigest(Records);
  std::error_code Result = Errc::Unavailable;
  Target.compareAndSwap({logKey(1), encodeRevision(First), 0, 0},
                        [&Result](Expected<StoreWriteResult> Reply) {
                          Result = std::error_code{};
                          if (!Reply)
                            Result = Reply.error();
                          else if (!Reply->Succeeded)
                            Result = Errc::Conflict;
                        });
  return Result;
}

ConfigAgent::ConfigAgent(Executor &Loop, const Clock &Time, Store &Source,
                         RcuPointer<Snapshot> &Config, ConfigObserver &Observer,
                         EventSink &Events)
    : m_Loop(Loop), m_Time(Time), m_Source(Source), m_Config(Config),
      m_Observer(Observer), m_Events(Events), m_Follower(FollowerOptions{}) {}

ConfigAgent::~ConfigAgent() = default;

void ConfigAgent::start() {
  ConfigurationFollower::Actions Out;
  m_Follower.start(m_Time.now(), Out);
  openWatch();
  perform(Out);
}

void ConfigAgent::tick() {
  ConfigurationFollower::Actions Out;
  m_Follower.tick(m_Time.now(), Out);
  perform(Out);
}

void ConfigAgent::openWatch() {
  m_Watch.reset();
  m_Watch = m_Source.watch(
      LogPrefix, [this](Expected<std::vector<StoreEntry>> Changed) {
        if (!Changed)
          return;
        m_Loop.post([this, Entries = toLogEntries(*Changed)] {
          ConfigurationFollower::Actions Out;
          m_Follower.onWatch(Entries, m_Time.now(), Out);
          perform(Out);
        });
      });
}

void ConfigAgent::perform(const ConfigurationFollower::Actions &Actions) {
  const auto Handle =
      Overload{[this](const ReadStoreLog &A) { readLog(A); },
               [this](const ReadStoreHead &) { readHead(); },
               [this](const ReadStoreImage &) { readImage(); },
               [this](const ReopenWatch &) { openWatch(); },
               [this](const FetchFromPeer &A) {
                 m_Router->send(A.Peer, FetchRevisions{A.After});
               },
               [this](const PutInForce &A) { putInForce(A.Config); },
               [](const SetAlarm &A) {
                 logEvent("config_alarm", "kind={} raised={} detail=\"{}\"",
                          toString(A.Kind), A.Raised, A.Detail);
               }};
  for (const auto &Action : Actions)
    std::visit(Handle, Action);
  updateStatus();
}

void ConfigAgent::readLog(const ReadStoreLog &Request) {
  m_Source.range(LogPrefix, logKey(Request.After + 1), Request.Limit,
                 [this](Expected<std::vector<StoreEntry>> Reply) {
                   m_Loop.post([this, Moved = std::move(Reply)] {
                     if (!Moved)
                       return m_Follower.onStoreFailed(m_Time.now());
                     ConfigurationFollower::Actions Out;
                     m_Follower.onStoreLog(toLogEntries(*Moved), m_Time.now(),
                                           Out);
                     perform(Out);
                   });
                 });
}

void ConfigAgent::readHead() {
  m_Source.last(LogPrefix, 1, [this](Expected<std::vector<StoreEntry>> Reply) {
    m_Loop.post([this, Moved = std::move(Reply)] {
      if (!Moved)
        return m_Follower.onStoreFailed(m_Time.now());
      StoreHead Head;
      if (!Moved->empty()) {
        Head.Number = parseRevisionKey(Moved->front().Key).value_or(0);
        Head.ModRevision = Moved->front().ModRevision;
      }
      ConfigurationFollower::Actions Out;
      m_Follower.onStoreHead(Head, m_Time.now(), Out);
      perform(Out);
    });
  });
}

/// Reads the log from its beginning; an image saves most of that where the
/// store holds one.
void ConfigAgent::readImage() { readTail(std::nullopt); }

void ConfigAgent::readTail(std::optional<RecordImage> Image) {
  const RevisionNumber From = Image ? Image->Entry.Number + 1 : 1;
  m_Source.range(LogPrefix, logKey(From), 0,
                 [this, Image = std::move(Image)](
                     Expected<std::vector<StoreEntry>> Reply) {
                   m_Loop.post([this, Image, Moved = std::move(Reply)] {
                     if (!Moved)
                       return m_Follower.onStoreFailed(m_Time.now());
                     ConfigurationFollower::Actions Out;
                     m_Follower.onStoreImage(Image, toLogEntries(*Moved),
                                             m_Time.now(), Out);
                     perform(Out);
                   });
                 });
}

void ConfigAgent::putInForce(const SnapshotPtr &Config) {
  m_Config.replace(Config);
  m_Events.record({EventKind::RevisionInForce,
                   {},
                   std::to_string(Config->Revision),
                   Config->Digest.substr(0, 12)});
  logEvent("revision_in_force", "revision={} digest={}", Config->Revision,
           Config->Digest.substr(0, 12));
  updateStatus();
  m_Observer.onSnapshot(Config);
}

void ConfigAgent::onRevisionHeard(const VmName &Origin, RevisionNumber Number,
                                  const std::string &Digest) {
  ConfigurationFollower::Actions Out;
  m_Follower.onGossip(Origin, Number, Digest, m_Time.now(), Out);
  perform(Out);
}

void ConfigAgent::offer(std::vector<LogEntry> Entries) {
  m_Loop.post([this, Moved = std::move(Entries)] {
    ConfigurationFollower::Actions Out;
    m_Follower.onPeerEntries(VmName(), Moved, m_Time.now(), Out);
    perform(Out);
  });
}

void ConfigAgent::onFetch(const VmName &Peer, const FetchRevisions &Message) {
  m_Loop.post([this, Peer, After = Message.After] {
    OfferRevisions Offer;
    for (auto &Entry : m_Follower.entriesAfter(After))
      Offer.Entries.push_back({Entry.Number, std::move(Entry.Value)});
    m_Router->send(Peer, std::move(Offer));
  });
}

void ConfigAgent::onOffer(const VmName &Peer, const OfferRevisions &Message) {
  std::vector<LogEntry> Entries;
  for (const auto &Entry : Message.Entries)
    Entries.push_back({Entry.Number, Entry.Value});
  m_Loop.post([this, Peer, Moved = std::move(Entries)] {
    ConfigurationFollower::Actions Out;
    m_Follower.onPeerEntries(Peer, Moved, m_Time.now(), Out);
    perform(Out);
  });
}

void ConfigAgent::updateStatus() {
  const std::lock_guard Lock(m_StatusMutex);
  m_Status.InForce = m_Follower.inForceNumber();
  m_Status.Known = m_Follower.knownNumber();
  m_Status.Digest = m_Follower.knownDigest();
  m_Status.Alarms = m_Follower.alarms();
}

ConfigStatus ConfigAgent::status() const {
  const std::lock_guard Lock(m_StatusMutex);
  return m_Status;
}

} // namespace mangodeck
