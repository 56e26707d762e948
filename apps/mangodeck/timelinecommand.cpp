#include "timelinecommand.h"

#include "adminclient.h"

#include <fmt/format.h>

#include <iterator>

namespace mangodeck {

namespace {

constexpr long HttpOk = 200;

std::string checkRequestId(const std::string &Text) {
  return parseRequestId(Text) ? "" : "not 32 hexadecimal digits: " + Text;
}

std::string checkStamp(const std::string &Text) {
  return parseHybridTime(Text) ? "" : "not MICROSECONDS.COUNTER: " + Text;
}

} // namespace

CLI::App *TimelineCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "timeline", "Merge the events of daemons into one time line");
  App->add_option("--daemon", m_Daemons,
                  "IP:PORT of a daemon's admin listener; repeat for more")
      ->required();
  App->add_option("--request", m_Request, "Follow one request only")
      ->check(CLI::Validator(checkRequestId, "ID"));
  App->add_option("--after", m_After, "Only events after this timestamp")
      ->check(CLI::Validator(checkStamp, "MICROSECONDS.COUNTER"));
  App->add_option("--format", m_Format,
                  "text, or chrome for a trace that Perfetto opens")
      ->check(CLI::IsMember({"text", "chrome"}));
  App->add_flag("--json", m_Json, "Print JSON");
  return App;
}

int TimelineCommand::run() {
  std::vector<DaemonEvents> Fetched;
  int Code = ExitSuccess;
  for (const auto &Address : m_Daemons) {
    auto Events = fetch(Address);
    if (!Events) {
      fmt::print(stderr, "{}: {}\n", Address, Events.error().message());
      Code = ExitFailure;
      continue;
    }
    if (Events->OverwrittenCount > 0)
      fmt::print(stderr, "{}: {} earlier events were overwritten\n", Address,
                 Events->OverwrittenCount);
    Fetched.push_back(std::move(*Events));
  }
  fmt::print("{}", format(mergeEvents(Fetched)));
  return Code;
}

/// Fetches all pages; each request asks for the events after the last one
/// received.
Expected<DaemonEvents>
TimelineCommand::fetch(const std::string &Address) const {
  DaemonEvents All;
  auto After = parseHybridTime(m_After).value_or(HybridTime());
  do {
    auto Page = fetchPage(Address, After);
    if (!Page)
      return Page;
    All.Vm = Page->Vm;
    All.OverwrittenCount = Page->OverwrittenCount;
    All.HasMore = Page->HasMore && !Page->Events.empty();
    if (!Page->Events.empty())
      After = Page->Events.back().Timestamp;
    std::move(Page->Events.begin(), Page->Events.end(),
              std::back_inserter(All.Events));
  } while (All.HasMore);
  return All;
}

Expected<DaemonEvents> TimelineCommand::fetchPage(const std::string &Address,
                                                  HybridTime After) const {
  auto Path = fmt::format("/timeline?after={}", toString(After));
  if (!m_Request.empty())
    Path += "&request=" + m_Request;
  const auto Response = callAdmin(Address, Path);
  if (!Response)
    return tl::unexpected(Response.error());
  if (Response->Status != HttpOk)
    return unexpected(Errc::NotFound);
  return parseDaemonEvents(Response->Body);
}

std::string TimelineCommand::format(std::span<const MergedEvent> Events) const {
  if (m_Format == "chrome")
    return toChromeTrace(Events);
  return m_Json ? toJson(Events) : toText(Events);
}

} // namespace mangodeck
