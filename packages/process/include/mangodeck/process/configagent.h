#ifndef MANGODECK_PROCESS_CONFIGAGENT_H
#define MANGODECK_PROCESS_CONFIGAGENT_H

#include "mangodeck/common/clock.h"
#include "mangodeck/common/event.h"
#include "mangodeck/common/executor.h"
#include "mangodeck/common/rcupointer.h"
#include "mangodeck/process/messagehub.h"
#include "mangodeck/version/configurationsync.h"
#include "mangodeck/version/store.h"

#include <mutex>
#include <set>
#include <string>

namespace mangodeck {

/// Notified when a revision comes into force, on the agent's executor.
class ConfigObserver {
public:
  virtual ~ConfigObserver() = default;
  virtual void onSnapshot(const SnapshotPtr &Config) = 0;
};

/// The configuration state of a daemon, for status and metrics.
struct ConfigStatus {
  RevisionNumber RevisionInForce = 0;
  /// Newest accepted revision; higher than RevisionInForce only while this
  /// program cannot read that revision.
  RevisionNumber LatestRevision = 0;
  std::string Digest; ///< Of the latest revision.
  std::set<ConfigurationAlarm> Alarms;
};

/// Receives configuration revisions from the store, from peers and from
/// operators, and publishes each snapshot that comes into force to the request
/// threads. All methods run on one executor, except offer(), onFetch(),
/// onOffer() and status(), which are safe from any thread.
class ConfigAgent : public RevisionHandler, public ConfigurationOutput {
public:
  ConfigAgent(Executor &Loop, const Clock &Time, Store &ConfigStore,
              RcuPointer<Snapshot> &Config, ConfigObserver &Observer,
              EventSink &Events);
  /// Sets the sender of FetchRevisions and OfferRevisions; call once before
  /// start().
  void setPeerSender(PeerSender &Peers) { m_PeerSender = &Peers; }

  void start();
  void tick();
  /// Handles the announcement by gossip that \p Origin has accepted revision
  /// \p Number.
  void onRevisionReceived(const VmName &Origin, RevisionNumber Number,
                          const std::string &Digest);

  /// Handles revisions that an operator uploads to this daemon.
  void offer(std::vector<LogEntry> Entries);

  void onFetch(const VmName &Peer, const FetchRevisions &Message) override;
  void onOffer(const VmName &Peer, const OfferRevisions &Message) override;

  ConfigStatus status() const;

  void putInForce(SnapshotPtr Config) override;
  void fetchFromPeer(const VmName &Peer, RevisionNumber After) override;
  void setAlarm(const SetAlarm &Alarm) override;

private:
  void updateStatus();

  Executor &m_Loop;
  RcuPointer<Snapshot> &m_Config;
  ConfigObserver &m_Observer;
  EventSink &m_Events;
  PeerSender *m_PeerSender = nullptr;
  ConfigurationSync m_Sync;
  mutable std::mutex m_StatusMutex;
  ConfigStatus m_Status;
};

/// Writes \p Records as revision 1 to an empty store. Errors: those of the
/// store; Errc::Conflict if the store already has a revision.
std::error_code writeFirstRevision(Store &ConfigStore,
                                   const RecordSet &Records);

} // namespace mangodeck

#endif
