#include "mangodeck/process/timelineformat.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <map>

namespace mangodeck {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t MaxQueryLimit = 20000;
constexpr std::uint64_t MicrosecondsPerSecond = 1'000'000;
/// Displayed duration of an event, which has no duration of its own.
constexpr double SliceMicroseconds = 1.0;
constexpr double CounterStepsPerMicrosecond = 4096.0;

/// Names of the event kinds, in the order of EventKind's enumerators.
constexpr std::string_view KindNames[] = {
    "request-arrived", "ticket-submitted", "ticket-queued",
    "ticket-granted",  "grant-returned",   "request-dispatched",
    "first-byte",      "stream-resumed",   "request-completed",
    "request-refused", "request-failed",   "request-unknown",
    "caller-hung-up",  "member-alive",     "member-suspect",
    "member-dead",     "owner-changed",    "target-leaving",
    "target-down",     "target-up",        "revision-in-force",
    "store-down",      "store-up",         "connection-replaced",
    "claim-created",   "drain-started",    "drain-finished"};

std::optional<EventKind> parseKind(std::string_view Name) {
  const auto *const Found =
      std::find(std::begin(KindNames), std::end(KindNames), Name);
  if (Found == std::end(KindNames))
    return std::nullopt;
  return static_cast<EventKind>(Found - std::begin(KindNames));
}

/// Serializes \p Value; replaces invalid UTF-8 instead of throwing.
std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json toJsonEvent(HybridTime Timestamp, const Event &Recorded) {
  Json Out;
  Out["stamp"] = toString(Timestamp);
  Out["kind"] = toString(Recorded.Kind);
  if (Recorded.Request != RequestId())
    Out["request"] = toString(Recorded.Request);
  if (!Recorded.Subject.empty())
    Out["subject"] = Recorded.Subject;
  if (!Recorded.Detail.empty())
    Out["detail"] = Recorded.Detail;
  return Out;
}

/// Parses one event; std::nullopt for an unknown kind, or a malformed timestamp
/// or request id.
std::optional<TimestampedEvent> parseEvent(const Json &In) {
  const auto Kind = parseKind(In.value("kind", std::string()));
  const auto Timestamp = parseHybridTime(In.value("stamp", std::string()));
  const auto Id = In.value("request", toString(RequestId()));
  const auto Request = parseRequestId(Id);
  if (!Kind || !Timestamp || !Request)
    return std::nullopt;
  return TimestampedEvent{*Timestamp,
                          {*Kind, *Request, In.value("subject", std::string()),
                           In.value("detail", std::string())}};
}

bool endsRequest(EventKind Kind) {
  return Kind == EventKind::RequestCompleted ||
         Kind == EventKind::RequestRefused ||
         Kind == EventKind::RequestFailed || Kind == EventKind::RequestUnknown;
}

/// Builds the list of trace events in the order of the timestamps.
class ChromeTrace {
public:
  explicit ChromeTrace(std::span<const MergedEvent> Events);
  std::string write() const;

private:
  struct Phase {
    std::string_view Name; ///< Empty if the request is in no phase.
    int Process = 0;
  };

  int processOf(const VmName &Vm);
  void addEvent(const MergedEvent &Event);
  void addSlice(const MergedEvent &Event, int Process, double Microseconds);
  void addPhase(const MergedEvent &Event, int Process, double Microseconds);
  void addEventWithId(const char *Type, std::string_view Name,
                      double Microseconds, int Process, const std::string &Id);
  void addArrow(const RequestId &Request, int Process, double Microseconds);

  std::uint64_t m_OriginMicroseconds = 0;
  Json m_TraceEvents = Json::array();
  std::map<VmName, int> m_Processes;
  std::map<int, double> m_SliceEndMicroseconds;
  std::map<RequestId, Phase> m_OpenPhases;
  std::map<RequestId, std::pair<int, double>> m_LastSlices;
  int m_ArrowCount = 0;
};

ChromeTrace::ChromeTrace(std::span<const MergedEvent> Events) {
  if (!Events.empty())
    m_OriginMicroseconds = Events.front().Timestamp.microseconds();
  for (const auto &Event : Events)
    addEvent(Event);
}

std::string ChromeTrace::write() const {
  std::string Out = "{\"displayTimeUnit\":\"ms\",\"traceEvents\":[\n";
  for (std::size_t I = 0; I < m_TraceEvents.size(); ++I)
    Out +=
        dump(m_TraceEvents[I]) + (I + 1 < m_TraceEvents.size() ? ",\n" : "\n");
  return Out + "]}\n";
}

int ChromeTrace::processOf(const VmName &Vm) {
  const auto [It, IsNew] =
      m_Processes.emplace(Vm, static_cast<int>(m_Processes.size()) + 1);
  if (IsNew)
    m_TraceEvents.push_back({{"name", "process_name"},
                             {"ph", "M"},
                             {"pid", It->second},
                             {"args", {{"name", Vm.Text}}}});
  return It->second;
}

/// Slices of one process must not overlap, so an event less than
/// SliceMicroseconds after the previous one is displayed at the end of that
/// one. The slice's arguments contain its exact timestamp.
void ChromeTrace::addEvent(const MergedEvent &Event) {
  const int Process = processOf(Event.Vm);
  const auto ExactMicroseconds =
      static_cast<double>(Event.Timestamp.microseconds() -
                          m_OriginMicroseconds) +
      static_cast<double>(Event.Timestamp.counter()) /
          CounterStepsPerMicrosecond;
  const auto Microseconds =
      std::max(ExactMicroseconds, m_SliceEndMicroseconds[Process]);
  m_SliceEndMicroseconds[Process] = Microseconds + SliceMicroseconds;
  addSlice(Event, Process, Microseconds);
  if (Event.Recorded.Request == RequestId())
    return;
  addPhase(Event, Process, Microseconds);
  addArrow(Event.Recorded.Request, Process, Microseconds);
}

void ChromeTrace::addSlice(const MergedEvent &Event, int Process,
                           double Microseconds) {
  auto Arguments = toJsonEvent(Event.Timestamp, Event.Recorded);
  Arguments.erase("kind");
  m_TraceEvents.push_back({{"name", toString(Event.Recorded.Kind)},
                           {"ph", "X"},
                           {"ts", Microseconds},
                           {"dur", SliceMicroseconds},
                           {"pid", Process},
                           {"tid", 1},
                           {"args", std::move(Arguments)}});
}

/// Begins the request's waiting phase on its arrival and its running phase on
/// its dispatch. These events and the end of the request also end the open
/// phase; other events change nothing.
void ChromeTrace::addPhase(const MergedEvent &Event, int Process,
                           double Microseconds) {
  const auto Kind = Event.Recorded.Kind;
  const bool Begins =
      Kind == EventKind::RequestArrived || Kind == EventKind::RequestDispatched;
  if (!Begins && !endsRequest(Kind))
    return;
  const auto Id = toString(Event.Recorded.Request);
  auto &Open = m_OpenPhases[Event.Recorded.Request];
  if (!Open.Name.empty())
    addEventWithId("e", Open.Name, Microseconds, Open.Process, Id);
  Open = {};
  if (!Begins)
    return;
  Open = {Kind == EventKind::RequestArrived ? "waiting" : "running", Process};
  addEventWithId("b", Open.Name, Microseconds, Process, Id);
}

void ChromeTrace::addEventWithId(const char *Type, std::string_view Name,
                                 double Microseconds, int Process,
                                 const std::string &Id) {
  m_TraceEvents.push_back({{"name", Name},
                           {"cat", "request"},
                           {"ph", Type},
                           {"ts", Microseconds},
                           {"pid", Process},
                           {"tid", 1},
                           {"id", Id}});
}

/// Adds an arrow from the request's previous event if that was on another
/// daemon.
void ChromeTrace::addArrow(const RequestId &Request, int Process,
                           double Microseconds) {
  const auto It = m_LastSlices.find(Request);
  if (It != m_LastSlices.end() && It->second.first != Process) {
    const auto Id = std::to_string(++m_ArrowCount);
    addEventWithId("s", "message", It->second.second, It->second.first, Id);
    addEventWithId("f", "message", Microseconds, Process, Id);
    m_TraceEvents.back()["bp"] = "e";
  }
  m_LastSlices[Request] = {Process, Microseconds};
}

} // namespace

std::string_view toString(EventKind Kind) {
  const auto Index = static_cast<std::size_t>(Kind);
  return Index < std::size(KindNames) ? KindNames[Index] : "unknown";
}

Expected<TimelineQuery> parseTimelineQuery(std::string_view Query) {
  TimelineQuery Result;
  while (!Query.empty()) {
    const auto End = std::min(Query.find('&'), Query.size());
    const auto Part = Query.substr(0, End);
    Query.remove_prefix(std::min(End + 1, Query.size()));
    const auto Equals = std::min(Part.find('='), Part.size());
    const auto Name = Part.substr(0, Equals);
    const auto Value = Part.substr(std::min(Equals + 1, Part.size()));
    if (Name == "after") {
      const auto Timestamp = parseHybridTime(Value);
      if (!Timestamp)
        return unexpected(Errc::InvalidInput);
      Result.After = *Timestamp;
    } else if (Name == "request") {
      Result.Request = parseRequestId(Value);
      if (!Result.Request)
        return unexpected(Errc::InvalidInput);
    } else if (Name == "limit") {
      const auto *Last = Value.data() + Value.size();
      const auto Read = std::from_chars(Value.data(), Last, Result.Limit);
      if (Read.ec != std::errc() || Read.ptr != Last || Result.Limit == 0)
        return unexpected(Errc::InvalidInput);
    } else {
      return unexpected(Errc::InvalidInput);
    }
  }
  Result.Limit = std::min(Result.Limit, MaxQueryLimit);
  return Result;
}

/// Selects one event more than the limit, to find out whether there are more.
DaemonEvents queryTimeline(const VmName &Vm, const Timeline &Source,
                           const TimelineQuery &Query) {
  auto Extended = Query;
  ++Extended.Limit;
  DaemonEvents Result{Vm, Source.overwrittenCount(), false,
                      Source.select(Extended)};
  Result.HasMore = Result.Events.size() > Query.Limit;
  if (Result.HasMore)
    Result.Events.pop_back();
  return Result;
}

std::string toJson(const DaemonEvents &Events) {
  Json Out;
  Out["vm"] = Events.Vm.Text;
  Out["overwritten"] = Events.OverwrittenCount;
  Out["more"] = Events.HasMore;
  Out["events"] = Json::array();
  for (const auto &Stamped : Events.Events)
    Out["events"].push_back(toJsonEvent(Stamped.Timestamp, Stamped.Recorded));
  return dump(Out) + '\n';
}

Expected<DaemonEvents> parseDaemonEvents(std::string_view Text) {
  try {
    const auto In = Json::parse(Text);
    DaemonEvents Result;
    Result.Vm = VmName(In.at("vm").get<std::string>());
    Result.OverwrittenCount = In.value("overwritten", std::uint64_t(0));
    Result.HasMore = In.value("more", false);
    for (const auto &Item : In.at("events"))
      if (auto Stamped = parseEvent(Item))
        Result.Events.push_back(std::move(*Stamped));
    return Result;
  } catch (const Json::exception &) {
    return unexpected(Errc::InvalidInput);
  }
}

std::vector<MergedEvent> mergeEvents(std::span<const DaemonEvents> Daemons) {
  std::vector<MergedEvent> Result;
  for (const auto &Daemon : Daemons)
    for (const auto &Stamped : Daemon.Events)
      Result.push_back({Daemon.Vm, Stamped.Timestamp, Stamped.Recorded});
  std::stable_sort(Result.begin(), Result.end(),
                   [](const MergedEvent &A, const MergedEvent &B) {
                     return std::tie(A.Timestamp, A.Vm) <
                            std::tie(B.Timestamp, B.Vm);
                   });
  return Result;
}

std::string toText(std::span<const MergedEvent> Events) {
  std::string Out;
  for (const auto &Event : Events) {
    const auto Microseconds = Event.Timestamp.microseconds();
    const auto Seconds =
        static_cast<std::time_t>(Microseconds / MicrosecondsPerSecond);
    Out += fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:06}Z.{} vm={} event={}", fmt::gmtime(Seconds),
        Microseconds % MicrosecondsPerSecond, Event.Timestamp.counter(),
        Event.Vm.Text, toString(Event.Recorded.Kind));
    if (Event.Recorded.Request != RequestId())
      Out += " request=" + toString(Event.Recorded.Request);
    if (!Event.Recorded.Subject.empty())
      Out += " subject=" + dump(Event.Recorded.Subject);
    if (!Event.Recorded.Detail.empty())
      Out += " detail=" + dump(Event.Recorded.Detail);
    Out += '\n';
  }
  return Out;
}

std::string toJson(std::span<const MergedEvent> Events) {
  Json Out = {{"events", Json::array()}};
  for (const auto &Event : Events) {
    auto Item = toJsonEvent(Event.Timestamp, Event.Recorded);
    Item["vm"] = Event.Vm.Text;
    Out["events"].push_back(std::move(Item));
  }
  return dump(Out) + '\n';
}

std::string toChromeTrace(std::span<const MergedEvent> Events) {
  return ChromeTrace(Events).write();
}

} // namespace mangodeck
