#ifndef MANGODECK_GATEWAY_STREAMORIGINS_H
#define MANGODECK_GATEWAY_STREAMORIGINS_H

#include "mangodeck/gateway/originholders.h"
#include "mangodeck/gateway/originmessages.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// What is known of the version that began a stream.
struct OriginResult {
  VersionId Version = NoVersion; ///< NoVersion: not known.
  std::size_t Asked = 0;         ///< Other daemons.
  std::size_t Answered = 0;
  Duration Waited{0};
};

/// Sends messages to other daemons and receives the results of lookups.
class OriginSink {
public:
  virtual ~OriginSink() = default;
  virtual void sendOrigin(const std::string &Vm,
                          const OriginMessage &Message) = 0;
  virtual void onOriginResult(TicketNumber Number,
                              const OriginResult &Result) = 0;
};

/// Keeps which version began each stream, and finds it out for a stream that
/// another daemon began. A stream may go on only at that version, while its
/// caller may take it up at any daemon, and the daemon that began it may have
/// been killed.
///
/// A daemon records the origin when it sends the request to a target, thus
/// before the first event, and sends it to the few daemons that OriginHolders
/// draws. So a record costs a fixed number of messages, whatever the size of
/// the fleet, and the first event waits for none of them. What no daemon knows
/// within LookupTimeout counts as not known.
class StreamOrigins {
public:
  StreamOrigins(std::string OwnVm, FailureDomain OwnDomain, OriginSink &Sink);

  void addDaemon(const std::string &Vm, const FailureDomain &Domain) {
    m_Holders.add(Vm, Domain);
  }
  void removeDaemon(const std::string &Vm) { m_Holders.remove(Vm); }

  /// Records the origin of a stream of this daemon. \p IsShared: sends it to
  /// other daemons, too.
  void record(const StreamOrigin &Origin, bool IsShared, TimePoint Now);
  /// Sends the origins of \p Streams, as far as they are streams of this
  /// daemon, to other daemons.
  void share(std::span<const StreamId> Streams, TimePoint Now);
  /// The same for all streams of this daemon.
  void shareAll(TimePoint Now);
  /// Looks up the origin of \p Stream. Calls OriginSink::onOriginResult(), at
  /// once if this daemon knows it.
  void find(TicketNumber Number, StreamId Stream, TimePoint Now);
  /// Ends a lookup without a result.
  void cancel(TicketNumber Number) { m_Lookups.erase(Number); }
  void handle(const OriginMessage &Message, TimePoint Now);
  /// Repeats queries without an answer, ends lookups after LookupTimeout, and
  /// drops records that have expired.
  void update(TimePoint Now);

  std::size_t recordCount() const { return m_Records.size(); }
  bool hasLookups() const { return !m_Lookups.empty(); }

private:
  struct Record {
    VersionId Version = NoVersion;
    std::uint32_t Send = 0;
    TimePoint ExpiresAt{};
    bool IsOwn = false; ///< The stream is one of this daemon.
  };
  struct Lookup {
    StreamId Stream = 0;
    std::set<std::string> Unanswered; ///< Daemons.
    std::size_t Asked = 0;
    TimePoint Begun{};
    TimePoint LastSent{};
  };

  void keep(const StreamOrigin &Origin, bool IsOwn, TimePoint Now);
  VersionId versionOf(StreamId Stream, TimePoint Now) const;
  void sendQueries(TicketNumber Number, Lookup &Running, TimePoint Now);
  void handleAnswer(const OriginAnswer &Answer, TimePoint Now);
  /// Ends a lookup with \p Version.
  void finish(TicketNumber Number, VersionId Version, TimePoint Now);
  void dropExpired(TimePoint Now);

  std::string m_OwnVm;
  OriginSink &m_Sink;
  OriginHolders m_Holders;
  std::unordered_map<StreamId, Record> m_Records;
  std::map<TicketNumber, Lookup> m_Lookups;
  TimePoint m_LastDropAt{};
};

} // namespace mangodeck

#endif
