#ifndef MANGODECK_PROCESS_TIMELINEFORMAT_H
#define MANGODECK_PROCESS_TIMELINEFORMAT_H

#include "mangodeck/common/error.h"
#include "mangodeck/process/timeline.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// Events of one daemon, as its admin listener serves them at /timeline.
struct DaemonEvents {
  VmName Vm;
  std::uint64_t OverwrittenCount = 0; ///< See Timeline::overwrittenCount().
  /// Later events exist than the query's limit allowed; query again after the
  /// last event.
  bool HasMore = false;
  std::vector<TimestampedEvent> Events;
};

/// One event with the daemon that recorded it.
struct MergedEvent {
  VmName Vm;
  HybridTime Timestamp;
  Event Recorded;
};

/// Name of a kind in timelines, e.g. "request-arrived".
std::string_view toString(EventKind Kind);

/// Parses "after=MICROSECONDS.COUNTER&request=ID&limit=N", each part optional.
/// Errc::InvalidInput for anything else.
Expected<TimelineQuery> parseTimelineQuery(std::string_view Query);

/// Runs \p Query on \p Source, the timeline of the daemon on \p Vm.
DaemonEvents queryTimeline(const VmName &Vm, const Timeline &Source,
                           const TimelineQuery &Query);

/// The JSON form that /timeline serves.
std::string toJson(const DaemonEvents &Events);

/// Parses what toJson() writes. Events of unknown kinds are skipped, because a
/// newer daemon may have written them. Errc::InvalidInput for other input.
Expected<DaemonEvents> parseDaemonEvents(std::string_view Json);

/// All daemons' events in the order of their hybrid timestamps, in which no
/// effect comes before its cause.
std::vector<MergedEvent> mergeEvents(std::span<const DaemonEvents> Daemons);

/// One line for each event.
std::string toText(std::span<const MergedEvent> Events);

/// One JSON document with all events.
std::string toJson(std::span<const MergedEvent> Events);

/// Chrome's trace event format (JSON object form), which Perfetto displays.
/// Each daemon is a process, each event a slice, and each request's waiting and
/// running time an asynchronous slice. Arrows connect the events of a request
/// on different daemons.
std::string toChromeTrace(std::span<const MergedEvent> Events);

} // namespace mangodeck

#endif
