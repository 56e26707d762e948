#include "mangodeck/gateway/requesthistory.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <set>

namespace mangodeck {

namespace {

/// State changes are included from this long before the start of the request.
constexpr std::int64_t LookbackMs = 5000;
/// Events that concern a single request. All others are changes of a daemon's
/// state.
const std::set<std::string> RequestEvents = {
    "request_end", "refused",     "over_limit",     "connect_failed",
    "rejected",    "send_failed", "again",          "silent",
    "deadline",    "caller_slow", "caller_rejected"};
/// Fields that every line has; they are not printed as NAME=VALUE.
const std::set<std::string> CommonFields = {"t", "up", "vm", "inc", "event"};

} // namespace

RequestHistory::RequestHistory(std::string RequestId)
    : m_RequestId(std::move(RequestId)) {}

void RequestHistory::read(std::istream &Log) {
  std::string Text;
  while (std::getline(Log, Text)) {
    const auto BracePos = Text.find('{');
    if (BracePos == std::string::npos) {
      m_UnreadableLines += Text.empty() ? 0 : 1;
      continue;
    }
    auto Fields = nlohmann::ordered_json::parse(Text.begin() + BracePos,
                                                Text.end(), nullptr, false);
    // The library throws if a field is missing or has another type.
    try {
      Line Entry;
      Entry.Daemon = fmt::format("{}#{}", Fields.at("vm").get<std::string>(),
                                 Fields.at("inc").get<std::string>());
      Entry.SteadyMs = Fields.at("up").get<std::int64_t>();
      Entry.WallMs = Fields.at("t").get<std::int64_t>();
      const auto Event = Fields.at("event").get<std::string>();
      Entry.IsOfRequest = Fields.value("id", "") == m_RequestId;
      if (!Entry.IsOfRequest && RequestEvents.contains(Event))
        continue;
      Entry.Fields = std::move(Fields);
      m_Lines.push_back(std::move(Entry));
    } catch (const nlohmann::json::exception &) {
      ++m_UnreadableLines;
    }
  }
}

bool RequestHistory::containsRequest() const {
  return std::any_of(m_Lines.begin(), m_Lines.end(),
                     [](const Line &Entry) { return Entry.IsOfRequest; });
}

std::string RequestHistory::format(const Line &Entry,
                                   std::int64_t StartMs) const {
  auto Text = fmt::format("{:>8} ms  {} {:<18}", Entry.SteadyMs - StartMs,
                          Entry.IsOfRequest ? "*" : " ",
                          Entry.Fields["event"].get<std::string>());
  for (const auto &[Name, Value] : Entry.Fields.items())
    if (!CommonFields.contains(Name) && Name != "id")
      fmt::format_to(std::back_inserter(Text), " {}={}", Name, Value.dump());
  return Text + "\n";
}

std::string RequestHistory::toText() const {
  // Step 1. Find the time range of the request at each daemon, on that daemon's
  // steady clock.
  struct TimeRange {
    std::int64_t StartMs = 0;
    std::int64_t EndMs = 0;
    std::int64_t WallStartMs = 0;
  };
  std::map<std::string, TimeRange> Ranges;
  for (const auto &Entry : m_Lines) {
    if (!Entry.IsOfRequest)
      continue;
    // A line may report how long the request has been running.
    const auto ElapsedMs = Entry.Fields.value(
        "whole_ms", Entry.Fields.value("age_ms", std::int64_t{0}));
    const auto StartTimeMs =
        Entry.SteadyMs - std::max<std::int64_t>(0, ElapsedMs);
    auto [Range, Inserted] =
        Ranges.try_emplace(Entry.Daemon, TimeRange{StartTimeMs, Entry.SteadyMs,
                                                   Entry.WallMs - ElapsedMs});
    Range->second.StartMs = std::min(Range->second.StartMs, StartTimeMs);
    Range->second.EndMs = std::max(Range->second.EndMs, Entry.SteadyMs);
  }

  // Step 2. Format one daemon after the other, ordered by the wall-clock time
  // at which the request arrived at the daemon.
  std::vector<std::pair<std::string, TimeRange>> Ordered(Ranges.begin(),
                                                         Ranges.end());
  std::sort(Ordered.begin(), Ordered.end(), [](const auto &A, const auto &B) {
    return A.second.WallStartMs < B.second.WallStartMs;
  });
  std::string Text;
  for (const auto &[Daemon, Range] : Ordered) {
    std::vector<const Line *> Lines;
    for (const auto &Entry : m_Lines)
      if (Entry.Daemon == Daemon && Entry.SteadyMs <= Range.EndMs &&
          Entry.SteadyMs >= Range.StartMs - LookbackMs)
        Lines.push_back(&Entry);
    std::stable_sort(
        Lines.begin(), Lines.end(),
        [](const Line *A, const Line *B) { return A->SteadyMs < B->SteadyMs; });
    fmt::format_to(std::back_inserter(Text),
                   "{} (times relative to the request's first byte at this "
                   "daemon; * marks lines with the request's id)\n",
                   Daemon);
    for (const auto *Entry : Lines)
      Text += format(*Entry, Range.StartMs);
  }
  return Text;
}

} // namespace mangodeck
