// Stand-ins for the cases 6 to 10: the platform's store, runners, requesters,
// and the front processes under test. Loopback addresses only.
#ifndef REVIEW_STAND_2_HH
#define REVIEW_STAND_2_HH

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <set>
#include <signal.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stand {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point begun() {
  static const auto At = Clock::now();
  return At;
}
inline double now() {
  return std::chrono::duration<double>(Clock::now() - begun()).count();
}
inline void sleepMs(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

/// record.txt: what was sent, answered and run.
class Record {
public:
  static void open(const std::string &Path) { file().open(Path); }
  static void line(const char *Format, ...) {
    char Text[2048];
    va_list Args;
    va_start(Args, Format);
    std::vsnprintf(Text, sizeof(Text), Format, Args);
    va_end(Args);
    static std::mutex Guard;
    std::lock_guard Lock(Guard);
    char Stamp[32];
    std::snprintf(Stamp, sizeof(Stamp), "%8.3f ", now());
    file() << Stamp << Text << '\n' << std::flush;
  }

private:
  static std::ofstream &file() {
    static std::ofstream File;
    return File;
  }
};

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// A listening socket at a free port, or at \p Port.
inline int listenAt(const std::string &Ip, int &Port) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  auto Address = addressOf(Ip, Port);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ||
      ::listen(Fd, 256)) {
    ::close(Fd);
    return -1;
  }
  socklen_t Size = sizeof(Address);
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  return Fd;
}

inline int freePort(const std::string &Ip) {
  int Port = 0;
  const int Fd = listenAt(Ip, Port);
  if (Fd >= 0)
    ::close(Fd);
  return Port;
}

struct Message {
  std::string First; ///< Request or status line.
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  bool Whole = false;
  std::string field(const char *Name) const {
    for (const auto &[Key, Value] : Fields)
      if (!strcasecmp(Key.c_str(), Name))
        return Value;
    return "";
  }
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string path() const {
    const auto At = First.find(' ');
    return First.substr(At + 1, First.find(' ', At + 1) - At - 1);
  }
  int status() const {
    return First.size() > 9 ? std::atoi(First.c_str() + 9) : 0;
  }
};

/// A blocking connection.
class Conn {
public:
  explicit Conn(int Fd) : m_Fd(Fd) {
    const int One = 1;
    ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  }
  ~Conn() { close(); }
  Conn(const Conn &) = delete;
  static std::unique_ptr<Conn> to(const std::string &Ip, int Port) {
    const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto Address = addressOf(Ip, Port);
    if (::connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address))) {
      ::close(Fd);
      return nullptr;
    }
    return std::make_unique<Conn>(Fd);
  }
  int fd() const { return m_Fd; }
  bool send(const std::string &Bytes) {
    std::size_t Done = 0;
    while (Done < Bytes.size()) {
      const auto Count = ::send(m_Fd, Bytes.data() + Done, Bytes.size() - Done,
                                MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Done += static_cast<std::size_t>(Count);
    }
    return true;
  }
  /// Reads more bytes; false at the end, on an error or after \p Ms.
  bool fill(int Ms) {
    pollfd Poll{m_Fd, POLLIN, 0};
    if (m_Fd < 0 || ::poll(&Poll, 1, Ms) <= 0)
      return false;
    char Bytes[65536];
    const auto Count = ::recv(m_Fd, Bytes, sizeof(Bytes), 0);
    if (Count <= 0) {
      m_Ended = true;
      m_Reset = Count < 0;
      return false;
    }
    m_Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }
  bool ended() const { return m_Ended; }
  bool wasReset() const { return m_Reset; }
  std::string &buffer() { return m_Buffer; }
  /// The next message, strictly framed by length or chunks; nullptr at the end
  /// or after \p Ms without bytes. \p IsAnswer: without a length, the body goes
  /// on to the end of the connection.
  std::unique_ptr<Message> read(int Ms, bool IsAnswer) {
    auto Next = std::make_unique<Message>();
    std::size_t End;
    while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Ms))
        return nullptr;
    std::size_t At = m_Buffer.find("\r\n");
    Next->First = m_Buffer.substr(0, At);
    while (At < End) {
      const auto Stop = m_Buffer.find("\r\n", At + 2);
      const auto Line = m_Buffer.substr(At + 2, Stop - At - 2);
      const auto Colon = Line.find(':');
      auto Value = Colon == std::string::npos ? "" : Line.substr(Colon + 1);
      while (!Value.empty() && Value.front() == ' ')
        Value.erase(0, 1);
      Next->Fields.emplace_back(Line.substr(0, Colon), Value);
      At = Stop;
    }
    m_Buffer.erase(0, End + 4);
    if (!strcasecmp(Next->field("Transfer-Encoding").c_str(), "chunked"))
      Next->Whole = readChunks(Next->Body, Ms);
    else if (!Next->field("Content-Length").empty())
      Next->Whole = take(
          Next->Body, std::strtoull(Next->field("Content-Length").c_str(),
                                    nullptr, 10),
          Ms);
    else if (!IsAnswer)
      Next->Whole = true;
    else {
      while (fill(Ms)) {
      }
      Next->Body.swap(m_Buffer);
      Next->Whole = m_Ended && !m_Reset;
    }
    return Next;
  }
  /// Ends the connection at once, with a reset.
  void reset() {
    const linger Hard{1, 0};
    if (m_Fd >= 0)
      ::setsockopt(m_Fd, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    close();
  }
  void close() {
    if (m_Fd >= 0)
      ::close(m_Fd);
    m_Fd = -1;
  }

private:
  bool take(std::string &Out, std::size_t Count, int Ms) {
    while (m_Buffer.size() < Count)
      if (!fill(Ms)) {
        Out.append(m_Buffer);
        return false;
      }
    Out.append(m_Buffer, 0, Count);
    m_Buffer.erase(0, Count);
    return true;
  }
  bool readChunks(std::string &Out, int Ms) {
    for (;;) {
      std::size_t End;
      while ((End = m_Buffer.find("\r\n")) == std::string::npos)
        if (!fill(Ms))
          return false;
      const auto Size = std::strtoull(m_Buffer.c_str(), nullptr, 16);
      m_Buffer.erase(0, End + 2);
      std::string Line;
      if (!take(Out, Size, Ms) || !take(Line, 2, Ms) || Line != "\r\n")
        return false;
      if (Size == 0)
        return true;
    }
  }
  int m_Fd;
  bool m_Ended = false;
  bool m_Reset = false;
  std::string m_Buffer;
};

/// Accepts connections, each served by a thread.
class Listener {
public:
  using Serve = std::function<void(std::shared_ptr<Conn>)>;
  int Port = 0;
  bool start(const std::string &Ip, Serve Handler) {
    m_Fd = listenAt(Ip, Port);
    if (m_Fd < 0)
      return false;
    std::thread([Fd = m_Fd, Handler] {
      for (;;) {
        const int Accepted = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (Accepted < 0)
          return;
        std::thread([Accepted, Handler] {
          Handler(std::make_shared<Conn>(Accepted));
        }).detach();
      }
    }).detach();
    return true;
  }
  void stop() {
    if (m_Fd >= 0) {
      ::shutdown(m_Fd, SHUT_RDWR);
      ::close(m_Fd);
    }
    m_Fd = -1;
  }

private:
  int m_Fd = -1;
};

inline std::string httpAnswer(int Status, const std::string &Fields,
                              const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline std::string base64(const std::string &Text) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); I += 3) {
    unsigned V = static_cast<unsigned char>(Text[I]) << 16;
    if (I + 1 < Text.size())
      V |= static_cast<unsigned char>(Text[I + 1]) << 8;
    if (I + 2 < Text.size())
      V |= static_cast<unsigned char>(Text[I + 2]);
    Out += Digits[V >> 18];
    Out += Digits[(V >> 12) & 63];
    Out += I + 1 < Text.size() ? Digits[(V >> 6) & 63] : '=';
    Out += I + 2 < Text.size() ? Digits[V & 63] : '=';
  }
  return Out;
}

/// The platform's store, as PROTOCOL.md has it.
class Store {
public:
  std::string Ip;
  int Port = 0;
  bool start(const std::string &At) {
    Ip = At;
    const bool Ok = m_Listener.start(
        At, [this](std::shared_ptr<Conn> Caller) { serve(*Caller); });
    Port = m_Listener.Port;
    return Ok;
  }
  /// Writes a key of the operator or of a runner; the return is the ack.
  void put(const std::string &Key, const std::string &Value) {
    std::lock_guard Lock(m_Guard);
    set(Key, base64(Value), 0);
  }
  void remove(const std::string &Key) {
    std::lock_guard Lock(m_Guard);
    erase(Key);
  }
  /// While set, calls get 503 or no answer at all.
  std::atomic<bool> Busy{false}, Silent{false};
  /// Keeps a copy; restore() goes back to it and raises the era.
  void copy() {
    std::lock_guard Lock(m_Guard);
    m_Copy = m_Items;
    m_CopyRevision = m_Revision;
  }
  void restore() {
    std::lock_guard Lock(m_Guard);
    m_Items = m_Copy;
    m_Revision = m_CopyRevision;
    std::erase_if(m_History, [&](const Json &Each) {
      return Each["Revision"].get<std::int64_t>() > m_Revision;
    });
    m_Leases.clear();
    std::erase_if(m_Items, [](const auto &E) { return E.second.Lease != 0; });
    ++m_Era;
    m_Changed.notify_all();
  }
  void stateEra() { m_Era = 1; }

private:
  struct Item {
    std::string Value;
    std::int64_t Revision = 0, Created = 0, Lease = 0;
  };
  void set(const std::string &Key, const std::string &Value,
           std::int64_t Lease) {
    auto &Known = m_Items[Key];
    Known.Value = Value;
    Known.Revision = ++m_Revision;
    if (!Known.Created)
      Known.Created = m_Revision;
    Known.Lease = Lease;
    m_History.push_back(describe(Key, Known));
    m_Changed.notify_all();
  }
  void erase(const std::string &Key) {
    if (!m_Items.erase(Key))
      return;
    m_History.push_back(
        {{"Key", Key}, {"Revision", ++m_Revision}, {"Deleted", true}});
    m_Changed.notify_all();
  }
  static Json describe(const std::string &Key, const Item &Known) {
    return {{"Key", Key},
            {"Value", Known.Value},
            {"Revision", Known.Revision},
            {"Created", Known.Created},
            {"Lease", Known.Lease}};
  }
  static std::string parameter(const std::string &Path, const char *Name) {
    const auto At = Path.find(std::string(Name) + "=");
    if (At == std::string::npos)
      return "";
    const auto From = At + std::strlen(Name) + 1;
    std::string Out, In = Path.substr(From, Path.find('&', From) - From);
    for (std::size_t I = 0; I < In.size(); ++I)
      if (In[I] == '%') {
        Out += static_cast<char>(
            std::strtol(In.substr(I + 1, 2).c_str(), nullptr, 16));
        I += 2;
      } else
        Out += In[I];
    return Out;
  }
  void expire() {
    for (auto I = m_Leases.begin(); I != m_Leases.end();) {
      if (I->second.first > Clock::now()) {
        ++I;
        continue;
      }
      std::vector<std::string> Keys;
      for (const auto &[Key, Known] : m_Items)
        if (Known.Lease == I->first)
          Keys.push_back(Key);
      for (const auto &Key : Keys)
        erase(Key);
      I = m_Leases.erase(I);
    }
  }
  void serve(Conn &Caller) {
    while (const auto Call = Caller.read(60000, false)) {
      int Status = 200;
      while (Silent)
        sleepMs(20);
      const auto Body = Busy ? Json::object() : handle(*Call, Status);
      auto Fields = std::string("Content-Type: application/json\r\n");
      if (m_Era > 0)
        Fields += "Store-Era: " + std::to_string(m_Era) + "\r\n";
      if (!Caller.send(
              httpAnswer(Busy ? 503 : Status, Fields, Body.dump())))
        return;
    }
  }
  Json handle(const Message &Call, int &Status) {
    std::unique_lock Lock(m_Guard);
    expire();
    const auto Path = Call.path();
    const auto Prefix = parameter(Path, "Prefix");
    if (Path.starts_with("/kv-range")) {
      const auto After = parameter(Path, "AfterRevision");
      Json Items = Json::array();
      bool More = false;
      for (const auto &[Key, Known] : m_Items)
        if (Key.starts_with(Prefix) && Key > After) {
          if (Items.size() == 500) {
            More = true;
            break;
          }
          Items.push_back(describe(Key, Known));
        }
      return {{"Items", Items}, {"HasMore", More}, {"AsOf", m_Revision}};
    }
    if (Path.starts_with("/kv-watch")) {
      const auto After = std::atoll(parameter(Path, "AfterRevision").c_str());
      if (After > m_Revision) {
        Status = 410;
        return Json::object();
      }
      const int Era = m_Era;
      const auto Until =
          Clock::now() + std::chrono::milliseconds(std::atoi(
                             parameter(Path, "WaitMs").c_str()));
      Json Events = Json::array();
      do {
        for (const auto &Each : m_History)
          if (Each["Revision"].get<std::int64_t>() > After &&
              Each["Key"].get<std::string>().starts_with(Prefix))
            Events.push_back(Each);
        if (!Events.empty() || Era != m_Era)
          break;
      } while (m_Changed.wait_until(Lock, Until) == std::cv_status::no_timeout);
      return {{"events", Events}, {"AsOf", m_Revision}};
    }
    if (Path.starts_with("/kv-key")) {
      const auto Found = m_Items.find(parameter(Path, "Key"));
      if (Found == m_Items.end()) {
        Status = 404;
        return {{"AsOf", m_Revision}};
      }
      auto Body = describe(Found->first, Found->second);
      Body["AsOf"] = m_Revision;
      return Body;
    }
    if (Path == "/kv-lease") {
      const auto Ms = Json::parse(Call.Body).at("TtlMs").get<int>();
      const auto Id = ++m_LastLease;
      m_Leases[Id] = {Clock::now() + std::chrono::milliseconds(Ms), Ms};
      return {{"Lease", Id}, {"TtlMs", Ms}};
    }
    if (Path.starts_with("/kv-keep/")) {
      const auto Found = m_Leases.find(std::atoll(Path.c_str() + 9));
      if (Found == m_Leases.end()) {
        Status = 404;
        return Json::object();
      }
      Found->second.first =
          Clock::now() + std::chrono::milliseconds(Found->second.second);
      return {{"TtlMs", Found->second.second}};
    }
    if (Path == "/kv-txn") {
      const auto Body = Json::parse(Call.Body);
      Json Current = Json::array();
      bool Holds = true;
      for (const auto &Row : Body.value("Precondition", Json::array())) {
        const auto Found = m_Items.find(Row.at("Key").get<std::string>());
        const auto Is = Found == m_Items.end() ? 0 : Found->second.Revision;
        Holds = Holds && Is == Row.at("Revision").get<std::int64_t>();
        if (Found != m_Items.end())
          Current.push_back(describe(Found->first, Found->second));
      }
      if (!Holds) {
        Status = 412;
        return {{"Items", Current}};
      }
      for (const auto &Row : Body.value("Puts", Json::array())) {
        const auto Lease = Row.value("Lease", std::int64_t(0));
        if (Lease && !m_Leases.contains(Lease)) {
          Status = 404;
          return Json::object();
        }
        set(Row.at("Key").get<std::string>(), Row.at("Value").get<std::string>(),
            Lease);
      }
      for (const auto &Key : Body.value("Deletes", Json::array()))
        erase(Key.get<std::string>());
      return {{"Revision", m_Revision}};
    }
    Status = 404;
    return Json::object();
  }
  std::mutex m_Guard;
  std::condition_variable m_Changed;
  std::map<std::string, Item> m_Items;
  std::vector<Json> m_History;
  std::map<std::int64_t, std::pair<Clock::time_point, int>> m_Leases;
  std::int64_t m_Revision = 100;
  std::int64_t m_LastLease = 7000;
  std::map<std::string, Item> m_Copy;
  std::int64_t m_CopyRevision = 0;
  std::atomic<int> m_Era{0};
  Listener m_Listener;
};

/// A runner: answers the requests that name it, and writes to the store.
class Runner {
public:
  std::string Id, Service, Zone, Ip;
  int Port = 0, Slots = 6;
  /// Answers a request; the default sends 200 with \p Default.
  std::function<void(Runner &, Conn &, const Message &)> Handler;
  std::atomic<int> Runs{0};
  bool start(Store &To, const std::string &At, const std::string &NewId,
             const std::string &Of, const std::string &In) {
    Id = NewId;
    Service = Of;
    Zone = In;
    Ip = At;
    const bool Ok =
        m_Listener.start(At, [this](std::shared_ptr<Conn> C) { serve(*C); });
    Port = m_Listener.Port;
    m_Born = 1700000000000 + Port;
    std::thread([this, &To] {
      while (!m_Stopped) {
        beat(To);
        sleepMs(1200);
      }
    }).detach();
    return Ok;
  }
  void beat(Store &To) {
    To.put("servers/" + Id,
           Json{{"Service", Service},
                {"Address", Ip + ":" + std::to_string(Port)},
                {"Zone", Zone},
                {"Version", "v1"},
                {"Slots", Slots},
                {"State", "ready"},
                {"ColdRemainingMs", 0},
                {"born", m_Born},
                {"Sequence", ++m_Sequence}}
               .dump());
  }
  /// The fields of an answer to \p Asked by this runner.
  std::string fields(const Message &Asked) {
    return "X-Mangodeck-Attempt-Id: " + Asked.field("X-Mangodeck-Attempt-Id") +
           "\r\nX-Mangodeck-Response-Stamp: st." +
           Asked.field("X-Mangodeck-Attempt-Id") + "\r\nX-Mangodeck-Instance-Id: " +
           Id + "\r\n";
  }
  void run(const Message &Asked) {
    ++Runs;
    Record::line("run at %s: %s id=%s body=%zu", Id.c_str(),
                 Asked.First.c_str(),
                 Asked.field("X-Mangodeck-Attempt-Id").c_str(),
                 Asked.Body.size());
  }

private:
  void serve(Conn &Caller) {
    while (const auto Asked = Caller.read(60000, false)) {
      if (!Asked->Whole)
        return;
      if (Asked->path() == "/healthz" || Asked->path() == "/report") {
        Caller.send(httpAnswer(
            200, "X-Mangodeck-Instance-Id: " + Id + "\r\n",
            Json{{"Stage", "prefill_decode"}, {"born", m_Born}, {"Queued", 0}}
                .dump()));
        continue;
      }
      const auto Expected = Asked->field("X-Mangodeck-Expect-Instance");
      if (!Expected.empty() && Expected != Id) {
        Caller.send(
            httpAnswer(421, "X-Mangodeck-Instance-Id: " + Id + "\r\n", ""));
        continue;
      }
      if (Handler)
        Handler(*this, Caller, *Asked);
      else {
        run(*Asked);
        Caller.send(httpAnswer(200, fields(*Asked), "done"));
      }
      if (Caller.fd() < 0)
        return;
    }
  }
  std::int64_t m_Born = 0;
  std::int64_t m_Sequence = 0;
  std::atomic<bool> m_Stopped{false};
  Listener m_Listener;
};

/// A front machine: its own loopback address, and the process under test.
class Front {
public:
  std::string Ip, Name, Zone;
  int Callers = 0, Ready = 0, Control = 0, Peer = 0;
  int MemoryMb = 260;
  std::string Extra; ///< More lines for [Bounds].
  std::string Contracts = "\"base\",\"drain\",\"config\",\"cost\",\"retry\","
                          "\"recover\",\"engine\",\"stream\",\"tenants\","
                          "\"quota\",\"platform\"";
  std::map<std::string, double> Bounds = {
      {"SeedLagS", 3},          {"ReuseAfterS", 2},     {"ContactMs", 3000},
      {"AckMs", 4000},          {"CatchUpS", 4},        {"DrainMs", 2000},
      {"GraceS", 8},            {"LossSlackMs", 200},   {"ConfigApplyMs", 2000},
      {"RollbackSlackMs", 250}, {"OuterBoundMs", 5000}, {"RevokeMs", 5000},
      {"BudgetWindowS", 10},    {"BudgetSlack", 56},    {"QuotaWindowS", 8},
      {"QuotaSlack", 140000},   {"RecoveryS", 12},      {"PassMs", 120},
      {"ReuseWindowS", 10},     {"RetryBudgetRatio", 0.2},
      {"QuotaOverrun", 0.1}};

  bool start(const Store &Of, const std::string &Dir, const std::string &At,
             const std::string &NewName, const std::string &In) {
    Ip = At;
    Name = NewName;
    Zone = In;
    if (!Callers) {
      Callers = freePort(Ip);
      Ready = freePort(Ip);
      Control = freePort(Ip);
      Peer = freePort(Ip);
    }
    m_Settings = Dir + "/" + Name + ".toml";
    m_Log = Dir + "/" + Name + ".log";
    std::ofstream File(m_Settings);
    const auto Quoted = [](const std::string &Text) {
      return "\"" + Text + "\"";
    };
    const auto At4 = [&](int Port) {
      return Quoted(Ip + ":" + std::to_string(Port));
    };
    File << "NodeName = " << Quoted(Name) << "\nRole = \"front\"\n"
         << "MachineClass = \"front\"\nServes = [\"front\"]\nIp = "
         << Quoted(Ip) << "\nZone = " << Quoted(Zone)
         << "\nRegion = \"luzon-south\"\nPortRange = [" << Peer << "," << Peer
         << "]\nSeeds = []\nBootstrap = true\nDiscovery = \"platform\"\n"
         << "Entry = \"vip\"\nHeartbeatMs = 1200\nContracts = [" << Contracts
         << "]\n[Listen]\nFront = " << At4(Callers) << "\nReady = "
         << At4(Ready) << "\nControl = " << At4(Control)
         << "\n[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = " << MemoryMb
         << "\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n[Bounds]\n"
         << "StrictRevoke = false\n";
    for (const auto &[Key, Value] : Bounds)
      File << Key << " = " << Value << "\n";
    File << "[Platform]\nAddress = "
         << Quoted(Of.Ip + ":" + std::to_string(Of.Port))
         << "\nform = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\n"
         << "HistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n";
    File.close();
    return spawn();
  }
  bool spawn() {
    const char *Program = std::getenv("FRONT");
    const std::string Path = Program ? Program : "target/bin/mangodeck-front";
    m_Pid = ::fork();
    if (m_Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It must not outlive the case.
      const int Log =
          ::open(m_Log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(Log, 1);
      ::dup2(Log, 2);
      ::setenv("MANGODECK_CONFIG", m_Settings.c_str(), 1);
      ::execl(Path.c_str(), Path.c_str(), "--metrics-port", "9464", nullptr);
      ::_exit(127);
    }
    Record::line("started %s", Name.c_str());
    return m_Pid > 0;
  }
  pid_t pid() const { return m_Pid; }
  void signal(int Number) {
    Record::line("signal %d to %s", Number, Name.c_str());
    ::kill(m_Pid, Number);
  }
  /// Whether the process has ended by itself; its wait status in \p Status.
  bool hasEnded(int *Status = nullptr) {
    int Is = 0;
    if (m_Pid <= 0)
      return true;
    if (::waitpid(m_Pid, &Is, WNOHANG) != m_Pid)
      return false;
    Record::line("%s ended, wait status %d", Name.c_str(), Is);
    if (Status)
      *Status = Is;
    m_Pid = -1;
    return true;
  }
  bool isReady() {
    const auto Asked = Conn::to(Ip, Ready);
    if (!Asked || !Asked->send("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n"))
      return false;
    const auto Answer = Asked->read(1000, true);
    return Answer && Answer->status() == 200;
  }
  bool awaitReady(int Ms = 8000) {
    for (int I = 0; I < Ms / 50; ++I) {
      if (isReady())
        return true;
      sleepMs(50);
    }
    return false;
  }
  void kill() {
    if (m_Pid <= 0)
      return;
    ::kill(m_Pid, SIGCONT);
    ::kill(m_Pid, SIGKILL);
    ::waitpid(m_Pid, nullptr, 0);
    m_Pid = -1;
  }
  ~Front() { kill(); }

private:
  std::string m_Settings, m_Log;
  pid_t m_Pid = -1;
};

/// A loopback network of this run: 127.A.B.x.
inline std::string hostOf(int X) {
  const int Pid = ::getpid();
  return "127." + std::to_string(20 + Pid % 200) + "." +
         std::to_string((Pid / 200) % 250) + "." + std::to_string(X);
}

inline std::string workDir() {
  char Name[] = "/tmp/review-XXXXXX";
  const char *Made = ::mkdtemp(Name);
  return Made ? Made : "";
}

/// Ends the case. Its threads are still running.
[[noreturn]] inline void finish(const std::string &Dir, int Code) {
  std::error_code Ignored;
  std::filesystem::remove_all(Dir, Ignored);
  std::_Exit(Code);
}

inline bool trouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

} // namespace stand

#endif
