#ifndef MANGODECK_VERSION_CONFIGURATIONFOLLOWER_H
#define MANGODECK_VERSION_CONFIGURATIONFOLLOWER_H

#include "mangodeck/version/revision.h"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace mangodeck {

/// Read the log entries after After from the store, in order, at most Limit.
struct ReadStoreLog {
  RevisionNumber After = 0;
  std::int64_t Limit = 0;
};

/// Read the key and version of the store's newest log entry, without its
/// value.
struct ReadStoreHead {};

/// Read the newest complete record image of the store, the log entry of its
/// revision and those that follow.
struct ReadStoreImage {};

/// Close the watch on the log and open it anew: it has missed a change.
struct ReopenWatch {};

/// Ask a peer for what follows After.
struct FetchFromPeer {
  VmName Peer;
  RevisionNumber After = 0;
};

/// Publish a snapshot to the request threads.
struct PutInForce {
  SnapshotPtr Config;
};

enum class ConfigurationAlarm : std::uint8_t {
  StoreOlder,    ///< The store's log ends before the revision known here.
  StoreConflict, ///< The store holds other content for a known revision.
  PeerConflict,  ///< A peer holds other content for a known revision.
  UnknownSchema, ///< A newer revision needs a newer program.
  Invalid,       ///< A newer revision cannot be decoded or compiled.
};

std::string_view toString(ConfigurationAlarm Kind);

/// An alarm begins or ends. It is repeated only after it has ended.
struct SetAlarm {
  ConfigurationAlarm Kind = ConfigurationAlarm::StoreOlder;
  bool Raised = true;
  std::string Detail;
};

using FollowerAction =
    std::variant<ReadStoreLog, ReadStoreHead, ReadStoreImage, ReopenWatch,
                 FetchFromPeer, PutInForce, SetAlarm>;

/// The newest log entry of the store, without its value.
struct StoreHead {
  RevisionNumber Number = 0; ///< 0 for an empty log.
  std::int64_t ModRevision = 0;
};

/// A base to start from: all records of a revision and its log entry.
struct RecordImage {
  LogEntry Entry;
  std::vector<std::string> Parts;
};

struct FollowerOptions {
  SchemaNumber MaxSchema = LatestSchema;
  /// How often the newest key of the store is read to notice a silent watch.
  Duration HeadInterval = 5s;
  /// How long a fetch from a peer may take before another peer is asked.
  Duration PeerTimeout = 1s;
  /// How long a new daemon waits for peers before it starts from the store;
  /// 0 for a daemon without peers.
  Duration StartWait = 2s;
  /// Bytes of log entries kept for peers.
  std::size_t TailBytes = 4 << 20;
};

/// Decides which configuration revision is in force in one daemon. The newest
/// revision whose chain of digests continues the one known here wins; the
/// number never falls, and no other content is taken for a known number. Does
/// no input or output: what the watch, gossip, peers and the store say goes
/// in with the time, actions are appended to Out.
class ConfigurationFollower {
public:
  using Actions = std::vector<FollowerAction>;

  explicit ConfigurationFollower(FollowerOptions Options);

  /// Starts: peers are asked first, then the store.
  void start(TimePoint Now, Actions &Out);

  /// Entries that the store's watch delivered.
  void onWatch(std::span<const LogEntry> Entries, TimePoint Now, Actions &Out);

  /// Answers of the store.
  void onStoreHead(const StoreHead &Head, TimePoint Now, Actions &Out);
  void onStoreLog(std::span<const LogEntry> Entries, TimePoint Now,
                  Actions &Out);
  /// \p Image is empty when the store holds none; \p Tail follows it.
  void onStoreImage(const std::optional<RecordImage> &Image,
                    std::span<const LogEntry> Tail, TimePoint Now,
                    Actions &Out);
  /// A read of the store failed or was refused.
  void onStoreFailed(TimePoint Now);

  /// \p Peer says which revision it knows.
  void onGossip(const VmName &Peer, RevisionNumber Number,
                std::string_view Digest, TimePoint Now, Actions &Out);
  /// Entries from a peer or, with an empty name, from an operator.
  void onPeerEntries(const VmName &Peer, std::span<const LogEntry> Entries,
                     TimePoint Now, Actions &Out);

  /// Repeats reads and fetches that are due; call every 100 ms or so.
  void tick(TimePoint Now, Actions &Out);

  /// What a peer that knows \p After lacks: the entries after it, or a whole
  /// image and its entry when the tail does not reach back that far.
  std::vector<LogEntry> entriesAfter(RevisionNumber After) const;

  /// The newest revision known, and its digest; 0 and EmptyDigest before the
  /// first.
  RevisionNumber knownNumber() const { return m_Known; }
  const std::string &knownDigest() const { return m_Digest; }
  /// The revision in force; below the known one only while it cannot be read.
  RevisionNumber inForceNumber() const { return m_InForce; }
  const RecordSet &records() const { return m_Records; }
  const std::set<ConfigurationAlarm> &alarms() const { return m_Alarms; }

private:
  enum class Source : std::uint8_t { Store, Peer };

  struct PeerView {
    RevisionNumber Number = 0;
    std::string Digest;
  };

  struct PendingEntry {
    LogEntry Entry;
    Source From;
  };

  void offer(const LogEntry &Entry, Source From, Actions &Out);
  void compareKnown(const LogEntry &Entry, Source From, Actions &Out);
  void noteVerified(const LogEntry &Entry, Source From);
  bool extend(const LogEntry &Entry, Source From, Actions &Out);
  bool append(const LogEntry &Entry, Source From, Actions &Out);
  void drainPending(Actions &Out);
  bool startFromImage(const RecordImage &Image, Source From, Actions &Out);
  void keepInTail(const LogEntry &Entry, std::string Digest);
  void putInForce(Actions &Out);
  void raise(ConfigurationAlarm Kind, std::string Detail, Actions &Out);
  void clear(ConfigurationAlarm Kind, Actions &Out);
  void raiseConflict(Source From, RevisionNumber Number, Actions &Out);
  void askPeers(TimePoint Now, Actions &Out);
  void askStore(TimePoint Now, Actions &Out);
  bool isStarting(TimePoint Now) const;
  Duration retryDelay() const;

  struct TailEntry {
    LogEntry Entry;
    std::string Digest;
  };

  FollowerOptions m_Options;
  RevisionNumber m_Known = 0;
  RevisionNumber m_InForce = 0;
  std::string m_Digest{EmptyDigest};
  RecordSet m_Records;
  std::deque<TailEntry> m_Tail; ///< Consecutive, the newest is m_Known.
  std::size_t m_TailBytes = 0;
  std::map<RevisionNumber, PendingEntry> m_Pending; ///< Beyond a gap.
  std::map<VmName, PeerView> m_Peers;
  std::set<VmName> m_ConflictingPeers;
  std::set<ConfigurationAlarm> m_Alarms;

  TimePoint m_StartDeadline;
  TimePoint m_NextHeadRead;
  std::optional<TimePoint> m_StoreReadSince;
  TimePoint m_NextLogRead;
  std::uint32_t m_FailedExtensions = 0; ///< Since the last that succeeded.
  RevisionNumber m_KnownAtHeadRead = 0;
  RevisionNumber m_WatchedNumber = 0;
  StoreHead m_VerifiedHead;
  std::optional<TimePoint> m_PeerFetchSince;
  VmName m_LastPeerAsked;
};

} // namespace mangodeck

#endif
