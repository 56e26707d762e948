// Stand-ins of the platform's store, of runners and of requesters, and the start of daemons on loopback addresses.
// Used by the cases only; no part of the product.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline Clock::time_point startTime() {
  static const auto Start = Clock::now();
  return Start;
}

/// Milliseconds since the start of the case.
inline long nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startTime()).count();
}

inline void sleepMs(long Ms) { std::this_thread::sleep_for(std::chrono::milliseconds(Ms)); }

/// The case's record.txt.
class Record {
public:
  void open(const std::string &Path) { m_File.open(Path, std::ios::trunc); }
  void line(const std::string &Text) {
    const std::lock_guard Lock(m_Mutex);
    m_File << nowMs() << " ms  " << Text << std::endl;
    std::fprintf(stdout, "%ld ms  %s\n", nowMs(), Text.c_str());
    std::fflush(stdout);
  }

private:
  std::mutex m_Mutex;
  std::ofstream m_File;
};

inline Record &record() {
  static Record Instance;
  return Instance;
}

[[noreturn]] inline void cannotRun(const std::string &Why) {
  record().line("cannot run: " + Why);
  std::exit(2);
}

struct Fields {
  std::vector<std::pair<std::string, std::string>> List;
  std::string get(const std::string &Name) const {
    for (const auto &[Key, Value] : List)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return "";
  }
  bool has(const std::string &Name) const {
    for (const auto &[Key, Value] : List)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return true;
    return false;
  }
};

/// A message of HTTP/1.1, with how it ended.
struct Message {
  std::string Start;
  Fields Head;
  std::string Body;
  bool HasHead = false;
  bool Whole = false;
  std::string End; ///< "whole", "closed", "reset", "timeout".
  int status() const { return Start.size() > 12 ? std::atoi(Start.c_str() + 9) : 0; }
};

/// A TCP connection.
class Connection {
public:
  explicit Connection(int Fd = -1) : m_Fd(Fd) {}
  Connection(Connection &&Other) noexcept : m_Fd(std::exchange(Other.m_Fd, -1)), m_Buffer(std::move(Other.m_Buffer)) {}
  Connection &operator=(Connection &&Other) noexcept {
    close();
    m_Fd = std::exchange(Other.m_Fd, -1);
    m_Buffer = std::move(Other.m_Buffer);
    return *this;
  }
  ~Connection() { close(); }

  int fd() const { return m_Fd; }
  bool isOpen() const { return m_Fd >= 0; }
  void close() {
    if (m_Fd >= 0)
      ::close(m_Fd);
    m_Fd = -1;
  }
  void shutdownBoth() {
    if (m_Fd >= 0)
      ::shutdown(m_Fd, SHUT_RDWR);
  }
  bool sendAll(const std::string &Bytes) {
    std::size_t Done = 0;
    while (Done < Bytes.size()) {
      const auto Count = ::send(m_Fd, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Done += static_cast<std::size_t>(Count);
    }
    return true;
  }
  /// Reads more bytes: their number, 0 at the end, -1 after a reset, -2 after the time.
  long more(long WaitMs, std::size_t Most = 65536) {
    pollfd Poll{m_Fd, POLLIN, 0};
    if (::poll(&Poll, 1, static_cast<int>(WaitMs)) <= 0)
      return -2;
    std::string Bytes(Most, '\0');
    const auto Count = ::recv(m_Fd, Bytes.data(), Bytes.size(), 0);
    if (Count > 0)
      m_Buffer.append(Bytes.data(), static_cast<std::size_t>(Count));
    return Count < 0 ? -1 : Count;
  }
  std::string &buffer() { return m_Buffer; }

  /// Reads a head; false if the connection ends or the time passes before.
  bool readHead(Message &Read, Clock::time_point Until) {
    std::size_t End;
    while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Read, Until))
        return false;
    std::istringstream Lines(m_Buffer.substr(0, End));
    m_Buffer.erase(0, End + 4);
    std::string Line;
    std::getline(Lines, Read.Start);
    if (!Read.Start.empty() && Read.Start.back() == '\r')
      Read.Start.pop_back();
    while (std::getline(Lines, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      const auto Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      auto Value = Line.substr(Colon + 1);
      Value.erase(0, Value.find_first_not_of(' '));
      Read.Head.List.emplace_back(Line.substr(0, Colon), Value);
    }
    Read.HasHead = true;
    return true;
  }
  /// Reads the body that the head announces. \p PauseMs and \p Most slow the reading down.
  bool readBody(Message &Read, bool IsAnswer, Clock::time_point Until) {
    if (strcasecmp(Read.Head.get("Transfer-Encoding").c_str(), "chunked") == 0) {
      for (;;) {
        std::size_t End;
        while ((End = m_Buffer.find("\r\n")) == std::string::npos)
          if (!fill(Read, Until))
            return false;
        const auto Size = std::strtoul(m_Buffer.c_str(), nullptr, 16);
        while (m_Buffer.size() < End + 2 + Size + 2)
          if (!fill(Read, Until))
            return false;
        Read.Body.append(m_Buffer, End + 2, Size);
        m_Buffer.erase(0, End + 2 + Size + 2);
        if (Size == 0)
          break;
      }
    } else if (Read.Head.has("Content-Length")) {
      const auto Size = std::strtoul(Read.Head.get("Content-Length").c_str(), nullptr, 10);
      while (m_Buffer.size() < Size)
        if (!fill(Read, Until)) {
          Read.Body = m_Buffer;
          return false;
        }
      Read.Body = m_Buffer.substr(0, Size);
      m_Buffer.erase(0, Size);
    } else if (IsAnswer) {
      while (fill(Read, Until)) {
      }
      Read.Body = std::exchange(m_Buffer, {});
      if (Read.End != "closed")
        return false;
    }
    Read.Whole = true;
    Read.End = "whole";
    return true;
  }
  /// Pause before each read, and its size.
  long PauseMs = 0;
  std::size_t ReadSize = 65536;

private:
  bool fill(Message &Read, Clock::time_point Until) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(Until - Clock::now()).count();
    if (Left <= 0) {
      Read.End = "timeout";
      return false;
    }
    if (PauseMs > 0)
      sleepMs(PauseMs);
    const auto Count = more(Left, ReadSize);
    if (Count > 0)
      return true;
    Read.End = Count == 0 ? "closed" : Count == -1 ? "reset" : "timeout";
    return false;
  }

  int m_Fd;
  std::string m_Buffer;
};

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// A free port of a loopback address.
inline int freePort(const std::string &Ip, int Type = SOCK_STREAM) {
  const int Fd = ::socket(AF_INET, Type, 0);
  auto Address = addressOf(Ip, 0);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) != 0)
    cannotRun("no free port");
  socklen_t Size = sizeof Address;
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Fd);
  return ntohs(Address.sin_port);
}

/// \p ReceiveBuffer: size of the socket's receive buffer; 0: the system's.
inline Connection connectTo(const std::string &Ip, int Port, int ReceiveBuffer = 0) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBuffer > 0)
    ::setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer, sizeof ReceiveBuffer);
  const auto Address = addressOf(Ip, Port);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&Address), sizeof Address) != 0) {
    ::close(Fd);
    return Connection();
  }
  const int One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  return Connection(Fd);
}

inline int listenAt(const std::string &Ip, int Port, int ReceiveBuffer = 0) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  if (ReceiveBuffer > 0)
    ::setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer, sizeof ReceiveBuffer);
  const auto Address = addressOf(Ip, Port);
  if (::bind(Fd, reinterpret_cast<const sockaddr *>(&Address), sizeof Address) != 0 || ::listen(Fd, 512) != 0)
    cannotRun("cannot listen");
  return Fd;
}

/// Serves each connection with \p Serve, in a thread of its own.
inline void serveForever(int Listener, std::function<void(Connection &)> Serve) {
  std::thread([Listener, Serve] {
    for (;;) {
      const int Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      std::thread([Fd, Serve] {
        Connection Caller(Fd);
        Serve(Caller);
      }).detach();
    }
  }).detach();
}

inline std::string base64(const std::string &Bytes) {
  static const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Value = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Value = Value << 8 | (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J]) : 0u);
    for (std::size_t J = 0; J < 4; ++J)
      Text.push_back(I + J <= Bytes.size() ? Digits[Value >> (18 - 6 * J) & 63] : '=');
  }
  return Text;
}

/// The platform's store: items, leases, watches.
class Store {
public:
  void start() {
    Port = freePort("127.0.0.1");
    serveForever(listenAt("127.0.0.1", Port), [this](Connection &Caller) { serve(Caller); });
    std::thread([this] {
      for (;; sleepMs(100))
        expire();
    }).detach();
  }
  int Port = 0;
  void put(const std::string &Key, const std::string &Value) {
    const std::lock_guard Lock(m_Mutex);
    change(Key, base64(Value), 0, false);
  }
  void remove(const std::string &Key) {
    const std::lock_guard Lock(m_Mutex);
    change(Key, "", 0, true);
  }
  /// While the store is down it answers every call with 503 and takes no writes of runners.
  void setDown(bool IsDown) {
    const std::lock_guard Lock(m_Mutex);
    m_Down = IsDown;
    m_Changed.notify_all();
  }
  bool isDown() {
    const std::lock_guard Lock(m_Mutex);
    return m_Down;
  }
  std::size_t count(const std::string &Prefix) {
    const std::lock_guard Lock(m_Mutex);
    std::size_t Number = 0;
    for (const auto &[Key, Each] : m_Items)
      Number += Key.rfind(Prefix, 0) == 0 ? 1 : 0;
    return Number;
  }

private:
  struct Item {
    std::string Value;
    long Revision, Created, Lease;
  };
  static std::string query(const std::string &Target, const std::string &Name) {
    const auto At = Target.find(Name + "=");
    if (At == std::string::npos)
      return "";
    const auto Start = At + Name.size() + 1;
    return Target.substr(Start, Target.find('&', Start) - Start);
  }
  Json describe(const std::string &Key, const Item &Each) {
    return {{"Key", Key},
            {"Value", Each.Value},
            {"Revision", Each.Revision},
            {"Created", Each.Created},
            {"Lease", Each.Lease}};
  }
  void change(const std::string &Key, const std::string &Value, long Lease, bool Deleted) {
    const auto Found = m_Items.find(Key);
    if (Deleted && Found == m_Items.end())
      return;
    ++m_Revision;
    if (Deleted) {
      m_Items.erase(Found);
      m_History[m_Revision] = {{"Key", Key}, {"Revision", m_Revision}, {"Deleted", true}};
    } else {
      const auto Created = Found == m_Items.end() ? m_Revision : Found->second.Created;
      m_Items[Key] = {Value, m_Revision, Created, Lease};
      m_History[m_Revision] = describe(Key, m_Items[Key]);
    }
    m_Changed.notify_all();
  }
  void expire() {
    const std::lock_guard Lock(m_Mutex);
    std::vector<std::string> Ended;
    for (const auto &[Key, Each] : m_Items)
      if (Each.Lease != 0 && (!m_Leases.count(Each.Lease) || m_Leases[Each.Lease].second < Clock::now()))
        Ended.push_back(Key);
    for (const auto &Key : Ended)
      change(Key, "", 0, true);
  }
  void serve(Connection &Caller) {
    for (;;) {
      Message Asked;
      const auto Until = Clock::now() + 300s;
      if (!Caller.readHead(Asked, Until) || !Caller.readBody(Asked, false, Until))
        return;
      auto [Status, Body] = answer(Asked);
      const auto Text = Body.dump();
      if (!Caller.sendAll("HTTP/1.1 " + std::to_string(Status) +
                          " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(Text.size()) + "\r\n\r\n" + Text))
        return;
    }
  }
  std::pair<int, Json> answer(const Message &Asked) {
    const auto Space = Asked.Start.find(' ');
    const auto Target = Asked.Start.substr(Space + 1, Asked.Start.rfind(' ') - Space - 1);
    std::unique_lock Lock(m_Mutex);
    if (m_Down)
      return {503, Json::object()};
    if (Target.rfind("/kv-watch", 0) == 0) {
      const auto After = std::stol(query(Target, "AfterRevision"));
      m_Changed.wait_for(Lock, std::chrono::milliseconds(std::stol(query(Target, "WaitMs"))),
                         [&] { return m_Revision > After || m_Down; });
      if (m_Down)
        return {503, Json::object()};
      Json Events = Json::array();
      for (auto At = m_History.upper_bound(After); At != m_History.end(); ++At)
        Events.push_back(At->second);
      return {200, {{"events", Events}, {"AsOf", m_Revision}}};
    }
    if (Target.rfind("/kv-range", 0) == 0) {
      const auto Prefix = query(Target, "Prefix");
      Json Items = Json::array();
      for (auto At = m_Items.upper_bound(query(Target, "AfterRevision")); At != m_Items.end(); ++At)
        if (At->first.rfind(Prefix, 0) == 0)
          Items.push_back(describe(At->first, At->second));
      return {200, {{"Items", Items}, {"HasMore", false}, {"AsOf", m_Revision}}};
    }
    if (Target == "/kv-lease") {
      const long Ttl = Json::parse(Asked.Body).at("TtlMs").get<long>();
      m_Leases[++m_LastLease] = {Ttl, Clock::now() + std::chrono::milliseconds(Ttl)};
      return {200, {{"Lease", m_LastLease}, {"TtlMs", Ttl}}};
    }
    if (Target.rfind("/kv-keep/", 0) == 0) {
      const auto Found = m_Leases.find(std::stol(Target.substr(9)));
      if (Found == m_Leases.end() || Found->second.second < Clock::now())
        return {404, Json::object()};
      Found->second.second = Clock::now() + std::chrono::milliseconds(Found->second.first);
      return {200, {{"Lease", Found->first}, {"TtlMs", Found->second.first}}};
    }
    if (Target == "/kv-txn") {
      const auto Body = Json::parse(Asked.Body);
      for (const auto &Put : Body.at("Puts"))
        if (const auto Lease = Put.value("Lease", 0L); Lease != 0 && !m_Leases.count(Lease))
          return {404, Json::object()};
      for (const auto &Put : Body.at("Puts"))
        change(Put.at("Key"), Put.at("Value"), Put.value("Lease", 0L), false);
      return {200, {{"Revision", m_Revision}}};
    }
    return {404, Json::object()};
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, Item> m_Items;
  std::map<long, Json> m_History;
  std::map<long, std::pair<long, Clock::time_point>> m_Leases;
  bool m_Down = false;
  long m_Revision = 100;
  long m_LastLease = 7000;
};

/// The registration of a runner, written every 1,200 ms until stop().
class Registration {
public:
  Registration(Store &Entries, std::string Id, std::string Service, std::string Zone, std::string Ip, int Port,
               int Slots, std::string Version = "v1")
      : m_Store(Entries), m_Id(std::move(Id)), m_Service(std::move(Service)), m_Zone(std::move(Zone)),
        m_Address(Ip + ":" + std::to_string(Port)), m_Slots(Slots), m_Version(std::move(Version)) {
    m_Born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count();
    write();
    std::thread([this] {
      for (int I = 1;; ++I) {
        sleepMs(100);
        if (m_Stopped)
          return;
        if (I % 12 == 0 || m_IsDue)
          write();
      }
    }).detach();
  }
  const std::string &id() const { return m_Id; }
  /// The runner has crashed: it writes no more.
  void stop() { m_Stopped = true; }

private:
  void write() {
    m_IsDue = m_Store.isDown();
    if (m_IsDue)
      return;
    m_Store.put("servers/" + m_Id, Json{{"Service", m_Service},
                                        {"Address", m_Address},
                                        {"Zone", m_Zone},
                                        {"Version", m_Version},
                                        {"Slots", m_Slots},
                                        {"State", "ready"},
                                        {"ColdRemainingMs", 0},
                                        {"born", m_Born},
                                        {"Sequence", ++m_Sequence}}
                                       .dump());
  }
  Store &m_Store;
  std::string m_Id, m_Service, m_Zone, m_Address;
  int m_Slots;
  std::string m_Version;
  bool m_IsDue = false; ///< A write has failed since the store is down.
  long m_Born = 0;
  long m_Sequence = 0;
  std::atomic<bool> m_Stopped{false};
};

/// Processes that the case has started; ended with it.
inline std::vector<pid_t> &children() {
  static std::vector<pid_t> List;
  return List;
}

inline void endChildren() {
  for (const auto Pid : children()) {
    ::kill(Pid, SIGCONT);
    ::kill(Pid, SIGKILL);
  }
  for (const auto Pid : children())
    ::waitpid(Pid, nullptr, 0);
  children().clear();
}

[[noreturn]] inline void finish(int Code) {
  endChildren();
  std::fflush(stdout);
  std::_Exit(Code);
}

/// A daemon of the deployment, started with the command of the deploy file.
struct Daemon {
  std::string Name, Zone, Ip, Settings, Log;
  int Front = 0, Ready = 0, Peer = 0;
  pid_t Pid = -1;
  int MemoryMb = 110;

  void prepare(const std::string &Folder, int StorePort) {
    Front = freePort(Ip);
    Ready = freePort(Ip);
    Peer = freePort(Ip, SOCK_DGRAM);
    Settings = Folder + "/" + Name + ".toml";
    Log = Folder + "/" + Name + ".log";
    std::ofstream Out(Settings);
    Out << "NodeName = \"" << Name << "\"\nRole = \"front\"\nMachineClass = \"front\"\nServes = [\"front\"]\n"
        << "Ip = \"" << Ip << "\"\nZone = \"" << Zone << "\"\nRegion = \"cz-stred\"\n"
        << "PortRange = [" << Peer << "," << Peer << "]\nSeeds = []\nBootstrap = true\nInFailureBudget = false\n"
        << "Discovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n"
        << "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\","
           "\"quota\",\"platform\"]\n"
        << "[Listen]\nFront = \"" << Ip << ":" << Front << "\"\nReady = \"" << Ip << ":" << Ready << "\"\n"
        << "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = " << MemoryMb
        << "\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n"
        << "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\n"
        << "GraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\nOuterBoundMs = 5000\n"
        << "RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 56\nQuotaWindowS = 8\nQuotaOverrun = 0.1\n"
        << "QuotaSlack = 140000\nRecoveryS = 12\nPassMs = 120\nReuseWindowS = 9\n"
        << "[Platform]\nAddress = \"127.0.0.1:" << StorePort
        << "\"\nform = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = "
           "1000\n";
  }
  void start() {
    Pid = ::fork();
    if (Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Out, STDOUT_FILENO);
      ::dup2(Out, STDERR_FILENO);
      ::setenv("MANGODECK_CONFIG", Settings.c_str(), 1);
      ::execl("target/bin/mangodeck-front", "target/bin/mangodeck-front", "--metrics-port", "9464", nullptr);
      ::_exit(127);
    }
    children().push_back(Pid);
  }
  /// The status of GET /ready; 0 without an answer.
  int readiness() const {
    auto Probe = connectTo(Ip, Ready);
    Message Answer;
    if (!Probe.isOpen() || !Probe.sendAll("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") ||
        !Probe.readHead(Answer, Clock::now() + 1s))
      return 0;
    return Answer.status();
  }
  /// Peak of the resident memory in MiB, or 0.
  long peakMb() const { return memoryMb("VmHWM:"); }
  long residentMb() const { return memoryMb("VmRSS:"); }

private:
  long memoryMb(const std::string &Name) const {
    std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
    std::string Line;
    while (std::getline(In, Line))
      if (Line.rfind(Name, 0) == 0)
        return std::atol(Line.c_str() + Name.size()) / 1024;
    return 0;
  }
};

inline void waitReady(const std::vector<Daemon *> &Daemons) {
  for (int I = 0; I < 100; ++I) {
    bool All = true;
    for (const auto *Each : Daemons)
      All = All && Each->readiness() == 200;
    if (All) {
      sleepMs(1500); // Until the daemons hear each other's reports.
      return;
    }
    sleepMs(100);
  }
  record().line("cannot run: the daemons do not get ready");
  finish(2);
}

/// Starts a daemon in each of three zones and waits until they are ready.
inline std::vector<std::unique_ptr<Daemon>> startFleet(const std::string &Folder, int StorePort) {
  std::vector<std::unique_ptr<Daemon>> Fleet;
  std::vector<Daemon *> All;
  int Last = 10;
  for (const std::string Zone : {"zone-a", "zone-b", "zone-c"}) {
    auto Each = std::make_unique<Daemon>();
    Each->Name = "front-" + Zone;
    Each->Zone = Zone;
    Each->Ip = "127.0.0." + std::to_string(++Last);
    Each->prepare(Folder, StorePort);
    Each->start();
    All.push_back(Each.get());
    Fleet.push_back(std::move(Each));
  }
  waitReady(All);
  return Fleet;
}

/// A folder for settings and logs, removed by the script.
inline std::string workFolder() {
  const char *Given = std::getenv("CASE_TMP");
  return Given ? Given : ".";
}

inline bool withTrouble() {
  const char *Given = std::getenv("TROUBLE");
  return !Given || std::string(Given) != "0";
}

inline Json route(const std::string &Name, const std::string &Kind, int TimeoutMs, int AimMs, const std::string &Service,
                  int Attempts, bool Resume = false) {
  Json Route = {{"Name", Name},
                {"Hostname", "review.example"},
                {"Prefix", "/" + Name + "/"},
                {"Kind", Kind},
                {"TimeoutMs", TimeoutMs},
                {"TargetLatencyMs", AimMs},
                {"Priority", Kind == "streaming" ? 0 : 2},
                {"Service", Service},
                {"Attempts", Attempts},
                {"AuthExempt", false},
                {"SessionAffinity", Kind == "streaming"},
                {"StreamResume", Resume}};
  if (Kind == "streaming")
    Route["GapTargetMs"] = 300;
  return Route;
}

inline Json configuration(Json Routes) {
  return {{"Version", 7},
          {"Routes", std::move(Routes)},
          {"Services",
           Json::array({{{"Name", "llm"},
                         {"HealthPath", "/healthz"},
                         {"MaxConnections", 300},
                         {"Protocol", "h1"},
                         {"Tls", false},
                         {"Engine",
                          {{"Slots", 11},
                           {"KvCapacityTokens", 457139},
                           {"KvTokenBytes", 163840},
                           {"LinkMbps", 740000.0},
                           {"Stride", 6},
                           {"Models", Json::array({{{"Name", "m"}}})}}}},
                        {{"Name", "app"},
                         {"HealthPath", "/healthz"},
                         {"MaxConnections", 110},
                         {"Protocol", "h1"},
                         {"Tls", false}}})},
          {"Limits",
           {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
          {"Tenants", Json::array({{{"Name", "crews"},
                                    {"ApiKeys", Json::array({"key-crews"})},
                                    {"Priority", 1},
                                    {"Unit", "token_stream"},
                                    {"PlainTokens", 200},
                                    {"RatePerS", 295234},
                                    {"Burst", 295234}}})}};
}

inline std::string requestHead(const std::string &Method, const std::string &Path, const std::string &Id,
                               long DeadlineMs, const std::string &More = "") {
  return Method + " " + Path + " HTTP/1.1\r\nHost: review.example\r\nX-Mangodeck-Attempt-Id: " + Id +
         "\r\nX-Mangodeck-Request-Deadline: " + std::to_string(DeadlineMs) + "\r\nAuthorization: Bearer key-crews\r\n" +
         More;
}

/// The head of a runner's success.
inline std::string answerHead(const Message &Asked, const std::string &More) {
  return "HTTP/1.1 200 OK\r\nX-Mangodeck-Attempt-Id: " + Asked.Head.get("X-Mangodeck-Attempt-Id") +
         "\r\nX-Mangodeck-Response-Stamp: stamp." + Asked.Head.get("X-Mangodeck-Attempt-Id") + "\r\n" + More + "\r\n";
}

/// Handles what every runner does with a request besides its work: a foreign expectation, a missing id. True if
/// the request is to be run.
inline bool mayRun(Connection &Caller, const Message &Asked, const std::string &OwnId) {
  if (Asked.Start.rfind("GET /healthz", 0) == 0) {
    Caller.sendAll("HTTP/1.1 200 OK\r\nX-Mangodeck-Instance-Id: " + OwnId + "\r\nContent-Length: 0\r\n\r\n");
    return false;
  }
  const auto Expected = Asked.Head.get("X-Mangodeck-Expect-Instance");
  if (!Expected.empty() && Expected != OwnId) {
    Caller.sendAll("HTTP/1.1 421 Misdirected Request\r\nX-Mangodeck-Instance-Id: " + OwnId +
                   "\r\nContent-Length: 0\r\n\r\n");
    return false;
  }
  return true;
}

} // namespace review
