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

/// Hears of revisions that come into force; called on the agent's executor.
class ConfigObserver {
public:
  virtual ~ConfigObserver() = default;
  virtual void onSnapshot(const SnapshotPtr &Config) = 0;
};

/// The configuration state of a daemon, for status and metrics.
struct ConfigStatus {
  RevisionNumber RevisionInForce = 0;
  RevisionNumber LatestRevision = 0;
  std::string Digest;
  std::set<ConfigurationAlarm> Alarms;
};

/// Follows the configuration by the store, the peers and operators, and
/// publishes snapshots to request threads. Its state belongs to one
/// executor; the message handlers and status() are safe from any thread.
class ConfigAgent : public RevisionHandler, public ConfigurationOutput {
public:
  ConfigAgent(Executor &Loop, const Clock &Time, Store &Source,
              RcuPointer<Snapshot> &Config, ConfigObserver &Observer,
              EventSink &Events);
  /// Sets where fetches and offers are sent; call once before start().
  void setPeerSender(PeerSender &Router) { m_Router = &Router; }

  void start();
  void tick();
  void onRevisionReceived(const VmName &Origin, RevisionNumber Number,
                          const std::string &Digest);

  /// Takes revisions that an operator hands over directly.
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
  PeerSender *m_Router = nullptr;
  ConfigurationSync m_Sync;
  mutable std::mutex m_StatusMutex;
  ConfigStatus m_Status;
};

/// Writes \p Records as revision 1 to an empty store. Errors: those of the
/// store; Errc::Conflict if it has a revision already.
std::error_code writeFirstRevision(Store &Target, const RecordSet &Records);

} // namespace mangodeck

#endif
