#include "mangodeck/version/configurationsync.h"

#include "mangodeck/version/storereader.h"

namespace mangodeck {

namespace {

constexpr std::int64_t ImageTailLimit = 200;

} // namespace

ConfigurationSync::ConfigurationSync(Store &Inner, ConfigurationOutput &Output,
                                     Executor &Loop, const Clock &Time,
                                     FollowerOptions Options)
    : m_Store(Inner), m_Output(Output), m_Loop(Loop), m_Clock(Time),
      m_Follower(Options),
      m_Alive(std::make_shared<ConfigurationSync *>(this)) {}

ConfigurationSync::~ConfigurationSync() = default;

/// Wraps \p Handle, which takes (ConfigurationSync &, Expected<T>), so that it
/// runs on the strand and only while this object lives.
template <typename T, typename Function>
Store::Callback<T> ConfigurationSync::onStrand(Function Handle) {
  return [&Loop = m_Loop, Alive = std::weak_ptr(m_Alive),
          Handle = std::move(Handle)](Expected<T> Result) {
    Loop.post([Alive, Handle, Result = std::move(Result)] {
      if (const auto Self = Alive.lock())
        Handle(**Self, Result);
    });
  };
}

void ConfigurationSync::start() {
  execute(ReopenWatch{});
  ConfigurationFollower::Actions Out;
  m_Follower.start(m_Clock.now(), Out);
  perform(std::move(Out));
}

void ConfigurationSync::tick() {
  ConfigurationFollower::Actions Out;
  m_Follower.tick(m_Clock.now(), Out);
  perform(std::move(Out));
}

void ConfigurationSync::onGossip(const VmName &Peer, RevisionNumber Number,
                                 std::string_view Digest) {
  ConfigurationFollower::Actions Out;
  m_Follower.onGossip(Peer, Number, Digest, m_Clock.now(), Out);
  perform(std::move(Out));
}

void ConfigurationSync::onPeerEntries(const VmName &Peer,
                                      std::span<const LogEntry> Entries) {
  ConfigurationFollower::Actions Out;
  m_Follower.onPeerEntries(Peer, Entries, m_Clock.now(), Out);
  perform(std::move(Out));
}

void ConfigurationSync::perform(ConfigurationFollower::Actions Actions) {
  for (const auto &Action : Actions)
    std::visit([this](const auto &Item) { execute(Item); }, Action);
}

void ConfigurationSync::execute(const ReadStoreLog &Action) {
  m_Store.range(LogPrefix, logKey(Action.After + 1), Action.Limit,
                onStrand<std::vector<StoreEntry>>([](ConfigurationSync &Self,
                                                     const auto &Found) {
                  ConfigurationFollower::Actions Out;
                  const auto Now = Self.m_Clock.now();
                  if (Found)
                    Self.m_Follower.onStoreLog(toLogEntries(*Found), Now, Out);
                  else
                    Self.m_Follower.onStoreFailed(Now);
                  Self.perform(std::move(Out));
                }));
}

void ConfigurationSync::execute(const ReadStoreHead &) {
  m_Store.lastKey(LogPrefix,
                  onStrand<std::vector<StoreEntry>>([](ConfigurationSync &Self,
                                                       const auto &Found) {
                    ConfigurationFollower::Actions Out;
                    const auto Now = Self.m_Clock.now();
                    StoreHead Head;
                    if (Found && !Found->empty())
                      Head = {parseRevisionKey(Found->front().Key).value_or(0),
                              Found->front().ModRevision};
                    if (Found)
                      Self.m_Follower.onStoreHead(Head, Now, Out);
                    else
                      Self.m_Follower.onStoreFailed(Now);
                    Self.perform(std::move(Out));
                  }));
}

void ConfigurationSync::execute(const ReadStoreImage &) {
  readStoreImage(
      m_Store, ImageTailLimit,
      onStrand<StoreImage>([](ConfigurationSync &Self, const auto &Found) {
        ConfigurationFollower::Actions Out;
        const auto Now = Self.m_Clock.now();
        if (Found)
          Self.m_Follower.onStoreImage(Found->Base, Found->Tail, Now, Out);
        else
          Self.m_Follower.onStoreFailed(Now);
        Self.perform(std::move(Out));
      }));
}

void ConfigurationSync::execute(const ReopenWatch &) {
  m_Watch.reset();
  m_Watch = m_Store.watch(
      LogPrefix, onStrand<std::vector<StoreEntry>>(
                     [](ConfigurationSync &Self, const auto &Changed) {
                       if (!Changed)
                         return;
                       ConfigurationFollower::Actions Out;
                       Self.m_Follower.onWatch(toLogEntries(*Changed),
                                               Self.m_Clock.now(), Out);
                       Self.perform(std::move(Out));
                     }));
}

void ConfigurationSync::execute(const FetchFromPeer &Action) {
  m_Output.fetchFromPeer(Action.Peer, Action.After);
}

void ConfigurationSync::execute(const PutInForce &Action) {
  m_Output.putInForce(Action.Config);
}

void ConfigurationSync::execute(const SetAlarm &Action) {
  m_Output.setAlarm(Action);
}

} // namespace mangodeck
