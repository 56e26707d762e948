#include "fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <vector>

namespace mangodeck::testing {

namespace {

constexpr std::size_t WarmUpCalls = 50;
constexpr std::size_t LatencyCalls = 1000;
constexpr std::size_t Callers = 16;
constexpr std::size_t CallsPerCaller = 200;

const char *const Body =
    R"({"model":"small","prompt":"measure","stream":false,"max_tokens":4})";

/// One way to the same stand-in target: straight, or through the daemon.
struct Way {
  std::string Url;
  std::vector<std::string> Headers;
  std::vector<double> Milliseconds;

  /// Sends one request; returns whether it was answered whole.
  bool send() const {
    const auto Reply = call(Url, Headers, Body);
    return Reply.IsWhole && Reply.Status == 200;
  }

  void measureOnce() {
    const auto Start = std::chrono::steady_clock::now();
    send();
    const std::chrono::duration<double, std::milli> Span =
        std::chrono::steady_clock::now() - Start;
    Milliseconds.push_back(Span.count());
  }

  /// The value below which \p Share of the calls stay.
  double quantile(double Share) {
    std::sort(Milliseconds.begin(), Milliseconds.end());
    return Milliseconds[static_cast<std::size_t>(
        Share * static_cast<double>(Milliseconds.size() - 1))];
  }

  /// Requests a second of several callers that send one after another.
  double measureThroughput() const {
    const auto Start = std::chrono::steady_clock::now();
    std::vector<std::future<void>> Workers;
    for (std::size_t I = 0; I < Callers; ++I)
      Workers.push_back(std::async(std::launch::async, [this] {
        for (std::size_t Call = 0; Call < CallsPerCaller; ++Call)
          send();
      }));
    for (auto &Worker : Workers)
      Worker.get();
    const std::chrono::duration<double> Span =
        std::chrono::steady_clock::now() - Start;
    return static_cast<double>(Callers * CallsPerCaller) / Span.count();
  }
};

void print(std::string_view Name, double Straight, double Through) {
  fmt::print("{:<28} {:>10.3f} {:>10.3f} {:>8.2f}\n", Name, Straight, Through,
             Through / Straight);
}

int measure() {
  Fleet Cluster(
      {.Models = 1,
       .MaxSequences = 64,
       .TargetFlags = {"--token-delay", "0", "--prefill-delay", "0"}});
  if (!Cluster.waitUntilReady())
    return 1;
  const std::string Json = "Content-Type: application/json";
  Way Straight{"http://" + Cluster.target(0).address() + "/v1/completions",
               {Json, "X-Request-Id: 000102030405060708090a0b0c0d0e0f"},
               {}};
  Way Through{"http://" + Cluster.daemon(0).address() + "/v1/completions",
              {Json, "Authorization: Bearer desk-key"},
              {}};
  if (!Straight.send() || !Through.send()) {
    fmt::print("latencymeasure: a request was not answered whole\n");
    return 1;
  }
  for (std::size_t I = 0; I < WarmUpCalls; ++I)
    if (!Through.send())
      return 1;
  const auto CpuBefore =
      std::stod(Cluster.metric(0, "mangodeck_process_cpu_seconds"));
  for (std::size_t I = 0; I < LatencyCalls; ++I) {
    Straight.measureOnce();
    Through.measureOnce();
  }
  const auto CpuAfter =
      std::stod(Cluster.metric(0, "mangodeck_process_cpu_seconds"));
  fmt::print("{:<28} {:>10} {:>10} {:>8}\n", "", "straight", "daemon", "ratio");
  print("latency, median (ms)", Straight.quantile(0.5), Through.quantile(0.5));
  print("latency, 99th (ms)", Straight.quantile(0.99), Through.quantile(0.99));
  print("requests a second", Straight.measureThroughput(),
        Through.measureThroughput());
  fmt::print("daemon: {:.0f} us of processor time a request, {} bytes "
             "resident\n",
             (CpuAfter - CpuBefore) / static_cast<double>(LatencyCalls) * 1e6,
             Cluster.metric(0, "mangodeck_process_resident_bytes"));
  return 0;
}

} // namespace

} // namespace mangodeck::testing

/// Compares a daemon on loopback with the same caller going straight to the
/// stand-in target, in one run.
int main() { return mangodeck::testing::measure(); }
