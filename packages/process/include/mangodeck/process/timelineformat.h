#ifndef MANGODECK_PROCESS_TIMELINEFORMAT_H
#define MANGODECK_PROCESS_TIMELINEFORMAT_H

#include "mangodeck/common/error.h"
#include "mangodeck/process/timeline.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// Events of one daemon, as its admin listener gives them.
struct DaemonEvents {
  VmName Vm;
  std::uint64_t OverwrittenCount = 0; ///< Events that the ring no longer holds.
  bool HasMore = false;               ///< Later events exist; ask again after.
  std::vector<TimestampedEvent> Events;
};

/// One event with the daemon that recorded it.
struct MergedEvent {
  VmName Vm;
  HybridTime Timestamp;
  Event Recorded;
};

/// Stable identifier of a kind, e.g. "request-arrived".
std::string_view toString(EventKind Kind);

/// Reads "after=MICROSECONDS.COUNTER&request=ID&limit=N", each part optional.
/// Errc::InvalidInput for anything else.
Expected<TimelineQuery> parseTimelineQuery(std::string_view Query);

/// Answers \p Query for the daemon on \p Vm.
DaemonEvents queryTimeline(const VmName &Vm, const Timeline &Source,
                           const TimelineQuery &Query);

/// The JSON form that /timeline serves.
std::string toJson(const DaemonEvents &Events);

/// Reads what toJson() writes. Events of unknown kinds are left out, because
/// a newer daemon may have written them. Errc::InvalidInput for other input.
Expected<DaemonEvents> parseDaemonEvents(std::string_view Json);

/// All daemons' events in the order of their stamps, in which no effect comes
/// before its cause.
std::vector<MergedEvent> mergeEvents(std::span<const DaemonEvents> Daemons);

/// One line for each event.
std::string toText(std::span<const MergedEvent> Events);

/// One JSON document with all events.
std::string toJson(std::span<const MergedEvent> Events);

/// Chrome's trace event format (JSON object form), which Perfetto opens: each
/// daemon is a process, each event a slice, each request's waiting and running
/// time an asynchronous slice, and arrows follow a request between daemons.
std::string toChromeTrace(std::span<const MergedEvent> Events);

} // namespace mangodeck

#endif
