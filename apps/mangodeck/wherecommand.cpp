#include "wherecommand.h"

#include "adminclient.h"

#include "mangodeck/gateway/gateway.h"
#include "mangodeck/http/parser.h"

#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace mangodeck {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t MaxFileBytes = 16 << 20;

/// Counts the body of the request in a file.
class BodyCounter : public http::MessageSink {
public:
  void onHead() override {}
  void onBody(std::string_view Bytes) override { Size += Bytes.size(); }
  std::size_t Size = 0;
};

/// Fields of the call itself, or of a connection.
bool isConnectionField(const std::string &Name) {
  for (const auto *Each :
       {"Host", "Content-Length", "Transfer-Encoding", "Connection", "Expect"})
    if (http::equalsIgnoreCase(Name, Each))
      return true;
  return false;
}

std::string textOf(const Json &Value) {
  const auto Text = Value.is_string() ? Value.get<std::string>() : Value.dump();
  return Text.empty() ? "-" : Text;
}

void printText(const Json &Report) {
  fmt::print("{}: {}", textOf(Report["daemon"]), textOf(Report["outcome"]));
  if (Report["target"] != "")
    fmt::print(" {}", textOf(Report["target"]));
  if (Report["status"] != 0)
    fmt::print(" {}", textOf(Report["status"]));
  fmt::print(" ({})\n", textOf(Report["reason"]));
  if (Report["retry_after_ms"] != -1)
    fmt::print("  retry after {} ms, partly at random\n",
               textOf(Report["retry_after_ms"]));
  fmt::print("  route {}, service {}, customer {}\n", textOf(Report["route"]),
             textOf(Report["service"]), textOf(Report["customer"]));
  for (const auto &Each : Report["shares"])
    fmt::print("  share {} {}\n", textOf(Each["service"]),
               textOf(Each["weight"]));
  const auto &Limit = Report["limit"];
  if (Limit["per_s"] != 0.0)
    fmt::print("  limit: cost {}, {} per s, reach {}, chance {}\n",
               textOf(Limit["cost"]), textOf(Limit["per_s"]),
               textOf(Limit["reach"]), textOf(Limit["chance"]));
  const auto &Queue = Report["queue"];
  fmt::print("  broker {} ({}); queue: {} waiting, {} ahead, {} ms\n",
             textOf(Report["broker"]["vm"]),
             Report["broker"]["reachable"] == true ? "reachable" : "silent",
             textOf(Queue["waiting"]), textOf(Queue["ahead"]),
             textOf(Queue["backlog_ms"]));
  for (const auto &Each : Report["domains"])
    fmt::print("  domain {}: {}, flow {} slots, summary {} ms old\n",
               textOf(Each["domain"]), textOf(Each["offers"]),
               textOf(Each["flow_slots"]), textOf(Each["summary_age_ms"]));
  for (const auto &Each : Report["candidates"])
    fmt::print("  {} in {}: {}; slots {}, own {}, others {}, stated {} ({} ms "
               "old), slowness {}, first after {} ms{}\n",
               textOf(Each["target"]), textOf(Each["domain"]),
               Each["excluded"] == "" ? "may be chosen"
                                      : textOf(Each["excluded"]),
               textOf(Each["slots"]), textOf(Each["own_running"]),
               textOf(Each["peer_running"]), textOf(Each["stated_running"]),
               textOf(Each["stated_age_ms"]), textOf(Each["slowness"]),
               textOf(Each["expected_first_ms"]),
               Each["excluded"] != "" || Each["meets_latency_target"] == true
                   ? ""
                   : ", late");
}

} // namespace

CLI::App *WhereCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "where", "Ask a gateway where a request would go now, and why; nothing "
               "is sent or reserved");
  App->add_option("--daemon", m_Daemon, "IP:PORT of the gateway's metrics port")
      ->required();
  App->add_option(
      "--request", m_RequestFile,
      "File with one HTTP request; the other options replace what it "
      "holds");
  App->add_option("--method", m_Method, "Method of the request");
  App->add_option("--host", m_Host, "Host of the request");
  App->add_option("--path", m_Path, "Path of the request");
  App->add_option("--key", m_Key, "Customer's API key");
  App->add_option("--header", m_Headers,
                  "Field of the request, \"Name: value\"; repeat for more");
  App->add_option("--body-bytes", m_BodyBytes, "Size of the request's body");
  App->add_option("--service", m_Service,
                  "Service, of a route with several; default: that of the "
                  "largest share");
  App->add_flag("--json", m_Json, "Print JSON");
  return App;
}

bool WhereCommand::readRequestFile() {
  std::ifstream File(m_RequestFile);
  std::ostringstream Text;
  Text << File.rdbuf();
  // Lines of a file written by hand end without CR.
  std::string Bytes = Text.str();
  if (Bytes.find('\r') == Bytes.npos)
    for (std::size_t At = 0; (At = Bytes.find('\n', At)) != Bytes.npos; At += 2)
      Bytes.insert(At, 1, '\r');
  BodyCounter Body;
  http::RequestParser Parser(Body, MaxFileBytes, MaxFileBytes);
  Parser.feed(Bytes);
  if (!File || !Parser.isComplete())
    return false;
  auto &Head = Parser.head();
  if (m_Method.empty())
    m_Method = Head.Method;
  if (m_Host.empty())
    m_Host = Head.Fields.get("Host");
  if (m_Path.empty())
    m_Path = Head.Target;
  if (m_BodyBytes == 0)
    m_BodyBytes = Body.Size;
  for (const auto &Field : Head.Fields.fields())
    if (!isConnectionField(Field.Name))
      m_Headers.push_back(Field.Name + ": " + Field.Value);
  return true;
}

int WhereCommand::run() {
  if (!m_RequestFile.empty() && !readRequestFile()) {
    fmt::print(stderr, "mangodeck: {} holds no whole HTTP request\n",
               m_RequestFile);
    return ExitInvalid;
  }
  if (m_Host.empty() || m_Path.empty()) {
    fmt::print(stderr, "mangodeck: --host and --path, or --request, needed\n");
    return ExitInvalid;
  }
  auto Fields = m_Headers;
  if (!m_Key.empty())
    Fields.push_back("Authorization: Bearer " + m_Key);
  Fields.push_back("Where-Method: " + (m_Method.empty() ? "GET" : m_Method));
  Fields.push_back("Where-Host: " + m_Host);
  Fields.push_back("Where-Target: " + m_Path);
  Fields.push_back(fmt::format("Where-Body-Bytes: {}", m_BodyBytes));
  if (!m_Service.empty())
    Fields.push_back("Where-Service: " + m_Service);
  for (const auto &Field : Fields)
    if (Field.find_first_of("\r\n") != Field.npos ||
        Field.find(':') == Field.npos) {
      fmt::print(stderr, "mangodeck: not \"Name: value\": {}\n", Field);
      return ExitInvalid;
    }
  const auto Answer = callAdmin(m_Daemon, PlacementPath, {}, 5s, Fields);
  if (!Answer || Answer->Status != 200) {
    fmt::print(stderr, "mangodeck: {}: {}\n", m_Daemon,
               !Answer ? Answer.error().message()
               : Answer->Status == 429
                   ? "asked less than 0.2 s ago"
                   : fmt::format("status {}", Answer->Status));
    return ExitFailure;
  }
  const auto Report = Json::parse(Answer->Body, nullptr, false);
  if (Report.is_discarded()) {
    fmt::print(stderr, "mangodeck: {}: unreadable answer\n", m_Daemon);
    return ExitFailure;
  }
  if (m_Json)
    fmt::print("{}\n", Report.dump(2));
  else
    printText(Report);
  return ExitSuccess;
}

} // namespace mangodeck
