/// A stand-in for the JSON gateway of etcd: a single process that keeps its
/// contents in memory, counts calls by kind, and has faults that are switched
/// by flags and at run time:
///   POST /admin/faults  {"down": bool, "delay_ms": N, "lose_writes": N,
///                        "calls_per_second": N}; omitted members stay
///   POST /admin/drop-watches, /admin/silence-watches
///   POST /admin/save, /admin/restore   a copy of the contents
///   GET  /admin/counts

#include "standinkeyvalue.h"

#include "mangodeck/connection/callerserver.h"
#include "mangodeck/connection/loopthread.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <unistd.h>

namespace {

using namespace mangodeck;
using namespace mangodeck::testing;
using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<CallerExchange>;

constexpr std::size_t MaxBodyBytes = 4 << 20;

struct StoreFaults {
  bool IsDown = false;
  std::int64_t DelayMilliseconds = 0;
  std::int64_t WritesToLose = 0; ///< They take effect; their answer does not.
  double CallsPerSecond = 0;     ///< 0 for no bound.
};

class StoreHandler : public CallerHandler {
public:
  StoreHandler(LoopThread &Loop, StoreFaults Faults)
      : m_Loop(Loop), m_Faults(Faults) {}

  void handle(ExchangePtr Exchange) override {
    const auto &Path = Exchange->request().Path;
    if (Path.starts_with("/admin/")) {
      administer(*Exchange, Path);
      return;
    }
    const auto Delay = admit(Exchange, Path);
    if (!Delay)
      return;
    if (*Delay > Duration(0))
      m_Loop.postAfter(*Delay, [this, Exchange] { serve(Exchange); });
    else
      serve(Exchange);
  }

private:
  /// Counts the call; std::nullopt if a fault has ended it already.
  std::optional<Duration> admit(const ExchangePtr &Exchange,
                                const std::string &Path) {
    const std::lock_guard Lock(m_Mutex);
    ++m_Counts[Path];
    if (m_Faults.IsDown) {
      abortLater(Exchange);
      return std::nullopt;
    }
    if (isOverRate()) {
      ++m_Counts["limited"];
      reply(*Exchange, 429, {{"code", 8}, {"message", "too many requests"}});
      return std::nullopt;
    }
    return std::chrono::milliseconds(m_Faults.DelayMilliseconds);
  }

  /// Counts calls in windows of one second.
  bool isOverRate() {
    if (m_Faults.CallsPerSecond <= 0)
      return false;
    const auto Now = std::chrono::steady_clock::now();
    if (Now - m_WindowStart >= 1s) {
      m_WindowStart = Now;
      m_WindowCalls = 0;
    }
    return ++m_WindowCalls > m_Faults.CallsPerSecond;
  }

  void serve(const ExchangePtr &Exchange) {
    const auto &Path = Exchange->request().Path;
    const auto Body = Json::parse(Exchange->request().Body, nullptr, false);
    if (!Body.is_object())
      reply(*Exchange, 400, {{"code", 3}, {"message", "no JSON object"}});
    else if (Path == "/v3/kv/range")
      reply(*Exchange, 200, m_Data.range(Body));
    else if (Path == "/v3/kv/txn")
      answerWrite(Exchange, m_Data.transact(Body));
    else if (Path == "/v3/kv/deleterange")
      answerWrite(Exchange, m_Data.remove(Body));
    else if (Path == "/v3/lease/grant")
      reply(*Exchange, 200, m_Data.grantLease(Body));
    else if (Path == "/v3/lease/keepalive")
      reply(*Exchange, 200, m_Data.keepAlive(Body));
    else if (Path == "/v3/lease/revoke" || Path == "/v3/kv/lease/revoke")
      answerRevoke(*Exchange, m_Data.revoke(Body));
    else if (Path == "/v3/watch")
      openWatch(Exchange, Body.value("create_request", Json::object()));
    else
      reply(*Exchange, 404, {{"code", 5}, {"message", "Not Found"}});
  }

  /// Closes the connection, outside of the server's own callback.
  void abortLater(const ExchangePtr &Exchange) {
    m_Loop.post([Exchange] { Exchange->abort(); });
  }

  void answerWrite(const ExchangePtr &Exchange, const Json &Answer) {
    const std::lock_guard Lock(m_Mutex);
    if (m_Faults.WritesToLose > 0) {
      --m_Faults.WritesToLose;
      abortLater(Exchange);
      return;
    }
    reply(*Exchange, 200, Answer);
  }

  static void answerRevoke(CallerExchange &Exchange, bool Existed) {
    if (Existed)
      reply(Exchange, 200, Json::object());
    else
      reply(Exchange, 404, {{"code", 5}, {"message", "lease not found"}});
  }

  void openWatch(const ExchangePtr &Exchange, const Json &Request) {
    const std::vector<Header> Headers{{"Content-Type", "application/json"}};
    Exchange->begin(200, Headers);
    const auto Id = m_Data.watch(Request, [Exchange](const std::string &Line) {
      Exchange->write(Line);
    });
    {
      const std::lock_guard Lock(m_Mutex);
      m_Streams[Id] = Exchange;
    }
    Exchange->onHangUp([this, Id] { m_Loop.post([this, Id] { forget(Id); }); });
  }

  void forget(std::uint64_t Id) {
    m_Data.unwatch(Id);
    const std::lock_guard Lock(m_Mutex);
    m_Streams.erase(Id);
  }

  void dropWatches() {
    m_Data.dropWatches([this](std::uint64_t Id) {
      ExchangePtr Stream;
      {
        const std::lock_guard Lock(m_Mutex);
        const auto Node = m_Streams.extract(Id);
        Stream = Node ? Node.mapped() : nullptr;
      }
      if (Stream)
        abortLater(Stream);
    });
  }

  void administer(CallerExchange &Exchange, const std::string &Path) {
    if (Path == "/admin/faults")
      changeFaults(Exchange.request().Body);
    else if (Path == "/admin/drop-watches")
      dropWatches();
    else if (Path == "/admin/silence-watches")
      m_Data.silenceWatches();
    else if (Path == "/admin/save")
      m_Data.saveCopy();
    else if (Path == "/admin/restore")
      m_Data.restoreCopy();
    const auto Watches = m_Data.watches();
    const std::lock_guard Lock(m_Mutex);
    Json Counts(m_Counts);
    Counts["open_watches"] = Watches;
    reply(Exchange, 200, Counts);
  }

  void changeFaults(const std::string &Body) {
    const auto Object = Json::parse(Body, nullptr, false);
    if (!Object.is_object())
      return;
    {
      const std::lock_guard Lock(m_Mutex);
      m_Faults.IsDown = Object.value("down", m_Faults.IsDown);
      m_Faults.DelayMilliseconds =
          Object.value("delay_ms", m_Faults.DelayMilliseconds);
      m_Faults.WritesToLose =
          Object.value("lose_writes", m_Faults.WritesToLose);
      m_Faults.CallsPerSecond =
          Object.value("calls_per_second", m_Faults.CallsPerSecond);
    }
    if (Object.value("down", false))
      dropWatches();
  }

  static void reply(CallerExchange &Exchange, int Status, const Json &Body) {
    const std::vector<Header> Headers{{"Content-Type", "application/json"}};
    Exchange.respond(Status, Headers, Body.dump());
  }

  LoopThread &m_Loop;
  StandInKeyValue m_Data;
  std::mutex m_Mutex;
  StoreFaults m_Faults;
  std::map<std::string, std::int64_t> m_Counts;
  std::map<std::uint64_t, ExchangePtr> m_Streams;
  TimePoint m_WindowStart;
  std::int64_t m_WindowCalls = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Stand-in for the platform's key-value service.");
  CallerServerOptions Server;
  Server.Threads = 1;
  Server.MaxBodyBytes = MaxBodyBytes;
  StoreFaults Faults;
  App.add_option("--address", Server.Address, "IP:PORT; port 0 takes any");
  App.add_flag("--down", Faults.IsDown, "answer nothing from the start");
  App.add_option("--delay-ms", Faults.DelayMilliseconds, "before each answer");
  App.add_option("--lose-writes", Faults.WritesToLose,
                 "writes that take effect and are not answered");
  App.add_option("--calls-per-second", Faults.CallsPerSecond,
                 "calls above this rate are refused");
  CLI11_PARSE(App, Argc, Argv);

  LoopThread Loop;
  StoreHandler Handler(Loop, Faults);
  CallerServer Listener(Server, Handler);
  if (const auto Error = Listener.start()) {
    fmt::print(stderr, "standin-store: {}: {}\n", Server.Address,
               Error.message());
    return 1;
  }
  Loop.start();
  const auto Ip = Server.Address.substr(0, Server.Address.rfind(':'));
  fmt::print("listening={}:{}\n", Ip, Listener.port());
  std::fflush(stdout);
  ::pause();
  return 0;
}
