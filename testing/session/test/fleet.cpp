#include "fleet.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

namespace mangodeck::testing {

namespace {

constexpr auto PollPeriod = std::chrono::milliseconds(20);

/// A loopback address whose port is free for TCP and, very likely, for UDP.
std::string findFreeAddress() {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Length);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
  ::close(Socket);
  return fmt::format("127.0.0.1:{}", ntohs(Address.sin_port));
}

const char *const Customers = R"(kind: tier
schema: 1
name: urgent
rank: 0
---
kind: tier
schema: 1
name: normal
rank: 1
---
kind: customer
schema: 1
name: desk
key-hashes: [fd501e4e4eabb3b62f313e4d323048dfbddebb4d702c7b63512125b3fa21dd28]
highest-tier: urgent
)";

} // namespace

bool waitUntil(const std::function<bool()> &Holds, unsigned LimitSeconds) {
  const auto End =
      std::chrono::steady_clock::now() + std::chrono::seconds(LimitSeconds);
  while (!Holds()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(PollPeriod);
  }
  return true;
}

Fleet::Fleet(FleetOptions Options) : m_Options(std::move(Options)) {
  auto Template =
      (std::filesystem::temp_directory_path() / "mangodeck-XXXXXX").string();
  m_Folder = ::mkdtemp(Template.data());
  startTargets();
  writeRecords();
  if (m_Options.HasStore) {
    m_Store = std::make_unique<ChildProcess>(std::vector<std::string>{
        findProgram("standin-store"), "--address", "127.0.0.1:0"});
    seedStore();
  }
  m_Daemons.resize(m_Options.Daemons);
  for (std::size_t I = 0; I < m_Daemons.size(); ++I) {
    m_Daemons[I].Vm = fmt::format("vm-{}", I + 1);
    m_Daemons[I].PeerAddress = findFreeAddress();
    m_Daemons[I].AdminAddress = findFreeAddress();
    m_Daemons[I].CallerAddress = findFreeAddress();
  }
  for (std::size_t I = 0; I < m_Daemons.size(); ++I)
    startDaemon(I);
}

Fleet::~Fleet() {
  m_Daemons.clear();
  m_Targets.clear();
  m_Store.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(m_Folder, Ignored);
}

void Fleet::startTargets() {
  for (std::size_t I = 0; I < m_Options.Models + m_Options.Plains; ++I) {
    const bool IsModel = I < m_Options.Models;
    std::vector<std::string> Command{findProgram("standin-target"),
                                     "--address",
                                     "127.0.0.1:0",
                                     "--kind",
                                     IsModel ? "model" : "plain",
                                     "--name",
                                     fmt::format("target-{}", I)};
    Command.insert(Command.end(), m_Options.TargetFlags.begin(),
                   m_Options.TargetFlags.end());
    m_Targets.push_back(std::make_unique<ChildProcess>(Command));
  }
}

void Fleet::writeRecords() {
  std::filesystem::create_directory(m_Folder + "/records");
  std::ofstream Out(m_Folder + "/records/all.yaml");
  Out << Customers;
  Out << fmt::format("---\nkind: service\nschema: 1\nname: assistant\n"
                     "type: model\nmodel: small\nqueue-limit: {}\n",
                     m_Options.QueueLimit);
  Out << "---\nkind: service\nschema: 1\nname: payments\ntype: plain\n"
         "idempotent: false\nqueue-limit: 100\n";
  for (std::size_t I = 0; I < m_Targets.size(); ++I)
    Out << fmt::format("---\nkind: target\nschema: 1\nname: target-{}\n"
                       "service: {}\nfailure-domain: domain-a\naddress: {}\n"
                       "max-sequences: {}\n",
                       I, I < m_Options.Models ? "assistant" : "payments",
                       m_Targets[I]->address(), m_Options.MaxSequences);
}

void Fleet::seedStore() {
  ChildProcess Apply({findProgram("mangodeck"), "apply", m_Folder + "/records",
                      "--store", storeUrl(), "--author", "test", "--message",
                      "first records"});
  Apply.wait();
}

void Fleet::writeSettings(std::size_t Index) {
  const auto &Part = m_Daemons[Index];
  std::ofstream Out(fmt::format("{}/settings-{}.yaml", m_Folder, Index));
  Out << fmt::format("vm: {}\nfailure_domain: domain-a\nregion: region\n"
                     "listen:\n  callers: {}\n  admin: {}\n"
                     "  peers: {}\n",
                     Part.Vm, Part.CallerAddress, Part.AdminAddress,
                     Part.PeerAddress);
  if (m_Daemons.size() > 1) {
    Out << "seeds:\n";
    for (std::size_t I = 0; I < m_Daemons.size(); ++I)
      if (I != Index)
        Out << fmt::format("  - vm: {}\n    address: {}\n"
                           "    failure_domain: domain-a\n",
                           m_Daemons[I].Vm, m_Daemons[I].PeerAddress);
  }
  if (m_Store)
    Out << fmt::format("store:\n  endpoints: [{}]\n", storeUrl());
  Out << "peer_keys: [a-key-for-session-tests]\n";
  Out << fmt::format("limits:\n  waiting_bytes: {}\n", m_Options.WaitingBytes);
  Out << fmt::format("drain:\n  balancer_lag: {}\n", m_Options.BalancerLag);
}

void Fleet::startDaemon(std::size_t Index) {
  writeSettings(Index);
  std::vector<std::string> Command{
      findProgram("mangodeckd"), "--settings",
      fmt::format("{}/settings-{}.yaml", m_Folder, Index)};
  if (!m_Store) {
    Command.push_back("--records");
    Command.push_back(m_Folder + "/records");
  }
  m_Daemons[Index].Process = std::make_unique<ChildProcess>(Command);
}

std::string Fleet::adminUrl(std::size_t Index) const {
  return "http://" + m_Daemons[Index].AdminAddress;
}

nlohmann::json Fleet::status(std::size_t Daemon) {
  return nlohmann::json::parse(call(adminUrl(Daemon) + "/status").Body, nullptr,
                               false);
}

std::string Fleet::metric(std::size_t Daemon, const std::string &Name) {
  const auto Text = call(adminUrl(Daemon) + "/metrics").Body;
  const auto At = Text.find('\n' + Name + ' ');
  if (At == std::string::npos)
    return "";
  const auto Start = At + Name.size() + 2;
  return Text.substr(Start, Text.find('\n', Start) - Start);
}

bool Fleet::waitUntilReady() {
  const auto Members = std::to_string(m_Daemons.size());
  for (std::size_t I = 0; I < m_Daemons.size(); ++I) {
    const bool IsReady = waitUntil([&] {
      return call(adminUrl(I) + "/readyz").Status == 200 &&
             metric(I, "mangodeck_members{state=\"alive\"}") == Members;
    });
    if (!IsReady)
      return false;
  }
  return true;
}

bool Fleet::owns(std::size_t Daemon, const std::string &Service) {
  const auto Status = status(Daemon);
  if (!Status.is_object())
    return false;
  for (const auto &Owned : Status.value("groups", nlohmann::json::array()))
    if (Owned == Service + "/domain-a/0")
      return true;
  return false;
}

std::size_t Fleet::ownerOf(const std::string &Service) {
  for (std::size_t I = 0; I < m_Daemons.size(); ++I)
    if (owns(I, Service))
      return I;
  return m_Daemons.size();
}

HttpReply Fleet::complete(std::size_t Daemon, const std::string &Prompt,
                          unsigned Tokens, bool Streaming,
                          std::vector<std::string> Headers) {
  Headers.push_back("Authorization: Bearer desk-key");
  Headers.push_back("Content-Type: application/json");
  const nlohmann::json Body{{"model", "small"},
                            {"prompt", Prompt},
                            {"stream", Streaming},
                            {"max_tokens", Tokens}};
  return call("http://" + daemon(Daemon).address() + "/v1/completions",
              std::move(Headers), Body.dump());
}

std::future<HttpReply> Fleet::completeAsync(std::size_t Daemon,
                                            std::string Prompt, unsigned Tokens,
                                            std::vector<std::string> Headers) {
  return std::async(std::launch::async,
                    [this, Daemon, Prompt = std::move(Prompt), Tokens,
                     Headers = std::move(Headers)] {
                      return complete(Daemon, Prompt, Tokens, true, Headers);
                    });
}

HttpReply Fleet::pay(std::size_t Daemon, const std::string &Key,
                     const std::string &Body) {
  std::vector<std::string> Headers{"Authorization: Bearer desk-key",
                                   "Content-Type: application/json"};
  if (!Key.empty())
    Headers.push_back("Idempotency-Key: " + Key);
  return call("http://" + daemon(Daemon).address() + "/services/payments/pay",
              std::move(Headers), Body);
}

nlohmann::json Fleet::dispatches(std::size_t Target) {
  return nlohmann::json::parse(
      call("http://" + target(Target).address() + "/standin/dispatches").Body,
      nullptr, false);
}

void Fleet::setFaults(std::size_t Target, const std::string &Json) {
  call("http://" + target(Target).address() + "/standin/faults", {}, Json);
}

} // namespace mangodeck::testing
