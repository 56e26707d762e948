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

constexpr std::size_t MaxLimit = 20000;
constexpr std::uint64_t MicrosecondsPerSecond = 1'000'000;
/// Drawn length of an event, which itself has none.
constexpr double SliceMicroseconds = 1.0;
constexpr double CounterSteps = 4096.0;

/// In the order of EventKind's enumerators.
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

/// Replaces bytes that are no UTF-8 instead of failing.
std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json toJsonEvent(HybridTime Stamp, const Event &Entry) {
  Json Out;
  Out["stamp"] = toString(Stamp);
  Out["kind"] = toString(Entry.Kind);
  if (Entry.Request != RequestId())
    Out["request"] = toString(Entry.Request);
  if (!Entry.Subject.empty())
    Out["subject"] = Entry.Subject;
  if (!Entry.Detail.empty())
    Out["detail"] = Entry.Detail;
  return Out;
}

/// Reads one event; std::nullopt for an unknown kind, or a wrong stamp or id.
std::optional<TimestampedEvent> parseEvent(const Json &In) {
  const auto Kind = parseKind(In.value("kind", std::string()));
  const auto Stamp = parseHybridTime(In.value("stamp", std::string()));
  const auto Id = In.value("request", toString(RequestId()));
  const auto Request = parseRequestId(Id);
  if (!Kind || !Stamp || !Request)
    return std::nullopt;
  return TimestampedEvent{*Stamp,
                          {*Kind, *Request, In.value("subject", std::string()),
                           In.value("detail", std::string())}};
}

bool endsRequest(EventKind Kind) {
  return Kind == EventKind::RequestCompleted ||
         Kind == EventKind::RequestRefused ||
         Kind == EventKind::RequestFailed || Kind == EventKind::RequestUnknown;
}

/// Builds the list of trace events, in the order of the stamps.
class ChromeTrace {
public:
  explicit ChromeTrace(std::span<const MergedEvent> Events);
  std::string write() const;

private:
  struct Phase {
    std::string_view Name; ///< Empty when no phase is open.
    int Process = 0;
  };

  int processOf(const VmName &Vm);
  void addEvent(const MergedEvent &Event);
  void addSlice(const MergedEvent &Event, int Process, double Time);
  void addPhase(const MergedEvent &Event, int Process, double Time);
  void addMark(const char *Type, std::string_view Name, double Time,
               int Process, const std::string &Id);
  void addArrow(const RequestId &Request, int Process, double Time);

  std::uint64_t m_Origin = 0;
  Json m_Out = Json::array();
  std::map<VmName, int> m_Processes;
  std::map<int, double> m_SliceEnds;
  std::map<RequestId, Phase> m_Phases;
  std::map<RequestId, std::pair<int, double>> m_LastSlices;
  int m_Arrows = 0;
};

ChromeTrace::ChromeTrace(std::span<const MergedEvent> Events) {
  if (!Events.empty())
    m_Origin = Events.front().Timestamp.microseconds();
  for (const auto &Event : Events)
    addEvent(Event);
}

std::string ChromeTrace::write() const {
  std::string Out = "{\"displayTimeUnit\":\"ms\",\"traceEvents\":[\n";
  for (std::size_t I = 0; I < m_Out.size(); ++I)
    Out += dump(m_Out[I]) + (I + 1 < m_Out.size() ? ",\n" : "\n");
  return Out + "]}\n";
}

int ChromeTrace::processOf(const VmName &Vm) {
  const auto [It, IsNew] =
      m_Processes.emplace(Vm, static_cast<int>(m_Processes.size()) + 1);
  if (IsNew)
    m_Out.push_back({{"name", "process_name"},
                     {"ph", "M"},
                     {"pid", It->second},
                     {"args", {{"name", Vm.Text}}}});
  return It->second;
}

/// Slices of one process must not overlap, so an event that follows another
/// too closely is drawn after its end; its stamp stands in the arguments.
void ChromeTrace::addEvent(const MergedEvent &Event) {
  const int Process = processOf(Event.Vm);
  const auto Exact =
      static_cast<double>(Event.Timestamp.microseconds() - m_Origin) +
      static_cast<double>(Event.Timestamp.counter()) / CounterSteps;
  const auto Time = std::max(Exact, m_SliceEnds[Process]);
  m_SliceEnds[Process] = Time + SliceMicroseconds;
  addSlice(Event, Process, Time);
  if (Event.Recorded.Request == RequestId())
    return;
  addPhase(Event, Process, Time);
  addArrow(Event.Recorded.Request, Process, Time);
}

void ChromeTrace::addSlice(const MergedEvent &Event, int Process, double Time) {
  auto Arguments = toJsonEvent(Event.Timestamp, Event.Recorded);
  Arguments.erase("kind");
  m_Out.push_back({{"name", toString(Event.Recorded.Kind)},
                   {"ph", "X"},
                   {"ts", Time},
                   {"dur", SliceMicroseconds},
                   {"pid", Process},
                   {"tid", 1},
                   {"args", std::move(Arguments)}});
}

/// Begins or ends the request's waiting or running time at its entry daemon.
void ChromeTrace::addPhase(const MergedEvent &Event, int Process, double Time) {
  const auto Kind = Event.Recorded.Kind;
  const bool Begins =
      Kind == EventKind::RequestArrived || Kind == EventKind::RequestDispatched;
  if (!Begins && !endsRequest(Kind))
    return;
  const auto Id = toString(Event.Recorded.Request);
  auto &Open = m_Phases[Event.Recorded.Request];
  if (!Open.Name.empty())
    addMark("e", Open.Name, Time, Open.Process, Id);
  Open = {};
  if (!Begins)
    return;
  Open = {Kind == EventKind::RequestArrived ? "waiting" : "running", Process};
  addMark("b", Open.Name, Time, Process, Id);
}

void ChromeTrace::addMark(const char *Type, std::string_view Name, double Time,
                          int Process, const std::string &Id) {
  m_Out.push_back({{"name", Name},
                   {"cat", "request"},
                   {"ph", Type},
                   {"ts", Time},
                   {"pid", Process},
                   {"tid", 1},
                   {"id", Id}});
}

/// Draws an arrow from the request's last event if that was on another daemon.
void ChromeTrace::addArrow(const RequestId &Request, int Process, double Time) {
  const auto It = m_LastSlices.find(Request);
  if (It != m_LastSlices.end() && It->second.first != Process) {
    const auto Id = std::to_string(++m_Arrows);
    addMark("s", "message", It->second.second, It->second.first, Id);
    addMark("f", "message", Time, Process, Id);
    m_Out.back()["bp"] = "e";
  }
  m_LastSlices[Request] = {Process, Time};
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
      const auto Stamp = parseHybridTime(Value);
      if (!Stamp)
        return unexpected(Errc::InvalidInput);
      Result.After = *Stamp;
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
  Result.Limit = std::min(Result.Limit, MaxLimit);
  return Result;
}

/// Asks for one event more than the limit, to know whether there are more.
DaemonEvents queryTimeline(const VmName &Vm, const Timeline &Source,
                           const TimelineQuery &Query) {
  auto Wider = Query;
  ++Wider.Limit;
  DaemonEvents Result{Vm, Source.overwrittenCount(), false,
                      Source.select(Wider)};
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
