// Measures what an event of the time line and the metrics of a request cost.
#include "mangodeck/process/metrics.h"
#include "mangodeck/process/timeline.h"

#include <fmt/format.h>

#include <thread>

namespace mangodeck {

namespace {

constexpr int EventsPerThread = 500000;
constexpr int Requests = 200000;

double elapsedNanoseconds(TimePoint Start) {
  return toSeconds(std::chrono::steady_clock::now() - Start) * 1e9;
}

void measureTimeline(int Threads) {
  SystemClock Source;
  HybridClock Stamps(Source);
  Timeline Ring(65536, Stamps);
  const auto Start = std::chrono::steady_clock::now();
  std::vector<std::thread> Writers;
  for (int Writer = 0; Writer < Threads; ++Writer)
    Writers.emplace_back([&] {
      for (int I = 0; I < EventsPerThread; ++I)
        Ring.record({EventKind::TicketGranted, {1, 2}, "runner-a-07", ""});
    });
  for (auto &Writer : Writers)
    Writer.join();
  fmt::print("timeline threads={} ns_per_event_of_a_thread={:.0f}\n", Threads,
             elapsedNanoseconds(Start) / EventsPerThread);
}

void measureMetrics() {
  Metrics All;
  Ticket Request;
  Request.Service = ServiceName("assistant");
  RequestSummary Summary;
  Summary.Service = Request.Service;
  Summary.RunState = Run::Yes;
  Summary.InTime = true;
  Summary.TimeToFirstToken = 200ms;
  Summary.MeanTokenGap = 40ms;
  const auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Requests; ++I) {
    All.onAccepted(Request);
    All.onDispatched(Request);
    All.onEnded(Summary);
  }
  fmt::print("metrics ns_per_request={:.0f}\n",
             elapsedNanoseconds(Start) / Requests);
  const auto Reading = std::chrono::steady_clock::now();
  const auto Bytes = All.serialize({}).size();
  fmt::print("metrics read_us={:.0f} bytes={}\n",
             elapsedNanoseconds(Reading) / 1000, Bytes);
}

} // namespace

} // namespace mangodeck

int main() {
  for (const int Threads : {1, 2, 4})
    mangodeck::measureTimeline(Threads);
  mangodeck::measureMetrics();
  return 0;
}
