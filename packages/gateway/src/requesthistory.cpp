#include "mangodeck/gateway/requesthistory.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <set>

namespace mangodeck {

namespace {

/// Changes of belief are told from this long before the request's first line.
constexpr std::int64_t LookBackMs = 5000;
/// Events of requests; all others are changes of what a daemon believes.
const std::set<std::string> RequestEvents = {
    "request_end", "refused",     "over_limit",     "connect_failed",
    "rejected",    "send_failed", "again",          "silent",
    "deadline",    "caller_slow", "caller_rejected"};
/// Fields that each line has.
const std::set<std::string> CommonFields = {"t", "up", "vm", "inc", "event"};

} // namespace

RequestHistory::RequestHistory(std::string RequestId)
    : m_RequestId(std::move(RequestId)) {}

void RequestHistory::read(std::istream &Log) {
  std::string Text;
  while (std::getline(Log, Text)) {
    const auto Brace = Text.find('{');
    if (Brace == std::string::npos) {
      m_Unreadable += Text.empty() ? 0 : 1;
      continue;
    }
    auto Fields = nlohmann::ordered_json::parse(Text.begin() + Brace,
                                                Text.end(), nullptr, false);
    // The library reports missing fields and other types by throwing.
    try {
      Line Entry;
      Entry.Daemon = fmt::format("{}#{}", Fields.at("vm").get<std::string>(),
                                 Fields.at("inc").get<std::string>());
      Entry.SteadyMs = Fields.at("up").get<std::int64_t>();
      Entry.WallMs = Fields.at("t").get<std::int64_t>();
      const auto Event = Fields.at("event").get<std::string>();
      Entry.Own = Fields.value("id", "") == m_RequestId;
      if (!Entry.Own && RequestEvents.contains(Event))
        continue;
      Entry.Fields = std::move(Fields);
      m_Lines.push_back(std::move(Entry));
    } catch (const nlohmann::json::exception &) {
      ++m_Unreadable;
    }
  }
}

bool RequestHistory::containsRequest() const {
  return std::any_of(m_Lines.begin(), m_Lines.end(),
                     [](const Line &Entry) { return Entry.Own; });
}

std::string RequestHistory::format(const Line &Entry,
                                   std::int64_t FirstMs) const {
  auto Text = fmt::format("{:>8} ms  {} {:<18}", Entry.SteadyMs - FirstMs,
                          Entry.Own ? "*" : " ",
                          Entry.Fields["event"].get<std::string>());
  for (const auto &[Name, Value] : Entry.Fields.items())
    if (!CommonFields.contains(Name) && Name != "id")
      fmt::format_to(std::back_inserter(Text), " {}={}", Name, Value.dump());
  return Text + "\n";
}

std::string RequestHistory::toText() const {
  // Step 1. The span of the request at each daemon, in that daemon's clock.
  struct Span {
    std::int64_t First = 0;
    std::int64_t Last = 0;
    std::int64_t Wall = 0;
  };
  std::map<std::string, Span> Spans;
  for (const auto &Entry : m_Lines) {
    if (!Entry.Own)
      continue;
    // A line tells of what came before it, too.
    const auto Before = Entry.Fields.value(
        "whole_ms", Entry.Fields.value("age_ms", std::int64_t{0}));
    const auto Start = Entry.SteadyMs - std::max<std::int64_t>(0, Before);
    auto [At, New] = Spans.try_emplace(
        Entry.Daemon, Span{Start, Entry.SteadyMs, Entry.WallMs - Before});
    At->second.First = std::min(At->second.First, Start);
    At->second.Last = std::max(At->second.Last, Entry.SteadyMs);
  }

  // Step 2. Tell the daemons one after the other, by the wall clock at the
  // request's first line there.
  std::vector<std::pair<std::string, Span>> Order(Spans.begin(), Spans.end());
  std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
    return A.second.Wall < B.second.Wall;
  });
  std::string Text;
  for (const auto &[Daemon, At] : Order) {
    std::vector<const Line *> Lines;
    for (const auto &Entry : m_Lines)
      if (Entry.Daemon == Daemon && Entry.SteadyMs <= At.Last &&
          Entry.SteadyMs >= At.First - LookBackMs)
        Lines.push_back(&Entry);
    std::stable_sort(
        Lines.begin(), Lines.end(),
        [](const Line *A, const Line *B) { return A->SteadyMs < B->SteadyMs; });
    fmt::format_to(std::back_inserter(Text),
                   "{} (times from the request's first byte there; * names the "
                   "request)\n",
                   Daemon);
    for (const auto *Entry : Lines)
      Text += format(*Entry, At.First);
  }
  return Text;
}

} // namespace mangodeck
