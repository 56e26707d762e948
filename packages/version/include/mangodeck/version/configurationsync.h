#ifndef MANGODECK_VERSION_CONFIGURATIONSYNC_H
#define MANGODECK_VERSION_CONFIGURATIONSYNC_H

#include "mangodeck/common/clock.h"
#include "mangodeck/common/executor.h"
#include "mangodeck/version/configurationfollower.h"
#include "mangodeck/version/store.h"

#include <memory>

namespace mangodeck {

/// What a daemon does for its configuration.
class ConfigurationOutput {
public:
  virtual ~ConfigurationOutput() = default;
  virtual void putInForce(SnapshotPtr Config) = 0;
  virtual void fetchFromPeer(const VmName &Peer, RevisionNumber After) = 0;
  virtual void setAlarm(const SetAlarm &Alarm) = 0;
};

/// Connects a ConfigurationFollower to the store and to its daemon. All
/// methods are called on one executor, which also runs what the store's
/// callbacks say.
class ConfigurationSync {
public:
  ConfigurationSync(Store &Inner, ConfigurationOutput &Output, Executor &Loop,
                    const Clock &Time, FollowerOptions Options = {});
  ~ConfigurationSync();

  /// Opens the watch on the log and begins to follow.
  void start();
  /// Call every 100 ms or so.
  void tick();

  void onGossip(const VmName &Peer, RevisionNumber Number,
                std::string_view Digest);
  /// Entries of a peer or, with an empty name, handed over by an operator.
  void onPeerEntries(const VmName &Peer, std::span<const LogEntry> Entries);

  const ConfigurationFollower &follower() const { return m_Follower; }

private:
  void perform(ConfigurationFollower::Actions Actions);
  void execute(const ReadStoreLog &Action);
  void execute(const ReadStoreHead &Action);
  void execute(const ReadStoreImage &Action);
  void execute(const ReopenWatch &Action);
  void execute(const FetchFromPeer &Action);
  void execute(const PutInForce &Action);
  void execute(const SetAlarm &Action);

  template <typename T, typename Function>
  Store::Callback<T> onStrand(Function Handle);

  Store &m_Store;
  ConfigurationOutput &m_Output;
  Executor &m_Loop;
  const Clock &m_Clock;
  ConfigurationFollower m_Follower;
  /// Callbacks that arrive after the destruction find it expired.
  std::shared_ptr<ConfigurationSync *> m_Alive;
  std::unique_ptr<StoreWatch> m_Watch;
};

} // namespace mangodeck

#endif
