#include "changerunner.h"

#include "adminclient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdlib>
#include <thread>

namespace mangodeck {

namespace {

constexpr long HttpOk = 200;
constexpr Duration PollInterval = 100ms;
constexpr Duration StatusTimeout = 2s;

/// Reads "11s" or "500ms"; std::nullopt for anything else.
std::optional<Duration> parseWaitLimit(std::string_view Text) {
  std::int64_t Count = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  const std::string_view Unit(
      End, static_cast<std::size_t>(Text.data() + Text.size() - End));
  if (Error != std::errc() || Count < 0 || Count > 86400000)
    return std::nullopt;
  if (Unit == "ms")
    return std::chrono::milliseconds(Count);
  if (Unit == "s")
    return std::chrono::seconds(Count);
  return std::nullopt;
}

std::string checkWaitLimit(const std::string &Text) {
  return parseWaitLimit(Text) ? "" : "not a duration such as 11s: " + Text;
}

std::string defaultAuthor() {
  const char *User = std::getenv("USER");
  return User ? User : "operator";
}

} // namespace

DaemonStatus fetchStatus(const std::string &Address) {
  DaemonStatus Status;
  Status.Address = Address;
  const auto Answer = callAdmin(Address, "/status", {}, StatusTimeout);
  if (!Answer) {
    Status.Error = Answer.error().message();
    return Status;
  }
  const auto Body = nlohmann::json::parse(Answer->Body, nullptr, false);
  const bool IsValid = Answer->Status == HttpOk && Body.is_object() &&
                       Body.contains("revision") &&
                       Body["revision"].is_number_unsigned();
  if (!IsValid) {
    Status.Error = "unusable answer, status " + std::to_string(Answer->Status);
    return Status;
  }
  const auto TextOf = [&Body](const char *Name) {
    const auto It = Body.find(Name);
    return It != Body.end() && It->is_string() ? It->get<std::string>() : "";
  };
  Status.Vm = TextOf("vm");
  Status.Domain = TextOf("failure_domain");
  Status.Digest = TextOf("digest");
  Status.Revision = Body["revision"].get<RevisionNumber>();
  return Status;
}

void StoreAccess::declare(CLI::App &App) {
  App.add_option("--store", m_Urls,
                 "Base URL of the store, http://IP:PORT; repeat for more")
      ->required();
}

Store &StoreAccess::open() {
  if (!m_Store) {
    EtcdStoreOptions Options;
    Options.Endpoints = m_Urls;
    m_Store = std::make_unique<EtcdStore>(std::move(Options), m_Random);
  }
  return *m_Store;
}

Expected<StoredConfiguration> StoreAccess::read() {
  auto State = readConfiguration(open());
  if (!State)
    fmt::print(stderr, "store: cannot read the configuration: {}\n",
               State.error().message());
  return State;
}

void ChangeRunner::declare(CLI::App &App) {
  m_Author = defaultAuthor();
  m_Store.declare(App);
  App.add_option("--daemon", m_Daemons,
                 "IP:PORT of a daemon's admin listener; repeat for more");
  App.add_option("--wait", m_WaitLimit,
                 "How long to wait until the daemons have the change in force")
      ->check(CLI::Validator(checkWaitLimit, "DURATION"));
  App.add_option("--author", m_Author, "Who makes the change");
  App.add_option("--message", m_Message, "Why, for the log");
  App.add_flag("--json", m_Json, "Print JSON");
}

void ChangeRunner::setDefaultMessage(std::string Message) {
  if (m_Message.empty())
    m_Message = std::move(Message);
}

int ChangeRunner::run(const Edit &Change) {
  const auto State = m_Store.read();
  if (!State)
    return ExitRefused;
  if (const int Code = checkStoreAgainstDaemons(*State); Code != ExitSuccess)
    return Code;
  auto NewRecords = Change(*State);
  if (!NewRecords)
    return ExitInvalid;
  const SystemClock Time;
  DeviceRandom Random;
  RevisionWriter Writer(m_Store.open(), Time, Random, [](Duration Span) {
    std::this_thread::sleep_for(Span);
  });
  const auto Result = Writer.accept(
      {std::move(*NewRecords), m_Author, m_Message, State->Number});
  const int Code = report(Result);
  if (Result.Outcome != Acceptance::Accepted &&
      Result.Outcome != Acceptance::Unchanged)
    return Code;
  if (Result.Outcome == Acceptance::Accepted)
    sendToDaemons(Result.Entry);
  return m_WaitLimit.empty() ? Code : waitForDaemons(Result);
}

/// Refuses a store whose newest revision is older than the one a daemon has in
/// force, or has the same number and another digest. A change written to such a
/// store would not continue the daemons' sequence of revisions. Checks only the
/// daemons given with --daemon and skips those without a usable answer.
int ChangeRunner::checkStoreAgainstDaemons(
    const StoredConfiguration &State) const {
  for (const auto &Address : m_Daemons) {
    const auto Status = fetchStatus(Address);
    const bool IsStoreOlder = Status.Revision > State.Number;
    const bool HasOtherDigest = Status.Revision == State.Number &&
                                State.Number > 0 &&
                                Status.Digest != State.Digest;
    if (!IsStoreOlder && !HasOtherDigest)
      continue;
    fmt::print(stderr,
               "refused: the store is at revision {} ({:.12}), daemon {} has "
               "revision {} ({:.12}); was the store restored from a copy?\n",
               State.Number, State.Digest, Address, Status.Revision,
               Status.Digest);
    return ExitRefused;
  }
  return ExitSuccess;
}

int ChangeRunner::report(const AcceptanceResult &Result) const {
  const auto Other = Result.Other.value_or(Revision());
  switch (Result.Outcome) {
  case Acceptance::Accepted:
  case Acceptance::Unchanged:
    if (m_Json)
      fmt::print("{}\n", nlohmann::json{{"revision", Result.Number},
                                        {"digest", Result.Digest},
                                        {"changed", Result.Outcome ==
                                                        Acceptance::Accepted}}
                             .dump());
    else
      fmt::print("{} revision {} ({:.12})\n",
                 Result.Outcome == Acceptance::Accepted ? "accepted"
                                                        : "unchanged:",
                 Result.Number, Result.Digest);
    return ExitSuccess;
  case Acceptance::Conflict:
    fmt::print(stderr, "conflict: revision {} by {} was accepted first: {}\n",
               Result.Number, Other.Author, Other.Message);
    return ExitConflict;
  case Acceptance::Invalid:
    fmt::print(stderr, "{}", toString(std::span(Result.Faults)));
    return ExitInvalid;
  case Acceptance::Refused:
    fmt::print(stderr, "refused: {}; nothing was written\n",
               Result.Error.message());
    return ExitRefused;
  case Acceptance::Unknown:
    break;
  }
  fmt::print(stderr,
             "unknown: the store did not say whether revision {} was "
             "accepted ({}); see `mangodeck log`\n",
             Result.Number, Result.Error.message());
  return ExitUnknown;
}

void ChangeRunner::sendToDaemons(const LogEntry &Entry) const {
  const nlohmann::json Body = nlohmann::json::array(
      {{{"number", Entry.Number}, {"value", Entry.Value}}});
  for (const auto &Address : m_Daemons) {
    const auto Answer = callAdmin(Address, "/revisions", Body.dump());
    if (!Answer)
      fmt::print(stderr, "{}: revision not sent: {}\n", Address,
                 Answer.error().message());
  }
}

int ChangeRunner::waitForDaemons(const AcceptanceResult &Result) const {
  const auto Start = std::chrono::steady_clock::now();
  const auto Limit = parseWaitLimit(m_WaitLimit).value_or(Duration(0));
  std::vector<DaemonStatus> Statuses;
  for (;;) {
    Statuses.clear();
    bool IsInForceEverywhere = true;
    for (const auto &Address : m_Daemons) {
      Statuses.push_back(fetchStatus(Address));
      IsInForceEverywhere =
          IsInForceEverywhere && Statuses.back().Revision >= Result.Number;
    }
    const auto Waited = std::chrono::steady_clock::now() - Start;
    if (IsInForceEverywhere || Waited >= Limit) {
      for (const auto &Status : Statuses)
        fmt::print("{} {} revision {}{}\n", Status.Address, Status.Vm,
                   Status.Revision,
                   Status.Error.empty() ? "" : " (" + Status.Error + ")");
      fmt::print("{} after {} ms\n",
                 IsInForceEverywhere ? "in force everywhere"
                                     : "not in force everywhere",
                 Waited / 1ms);
      return IsInForceEverywhere ? ExitSuccess : ExitUnconfirmed;
    }
    std::this_thread::sleep_for(PollInterval);
  }
}

} // namespace mangodeck
