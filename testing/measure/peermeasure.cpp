// Measures what messages between daemons cost: processor time and bytes for
// each message at several burst sizes, and for connections at rest.
#include "mangodeck/connection/peertransport.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <atomic>
#include <memory>
#include <thread>

namespace mangodeck {

namespace {

constexpr std::size_t MessagesPerRun = 20000;
constexpr Duration BurstInterval = 5ms;
constexpr Duration RestTime = 8s;

double processorSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<double>(Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec) +
         static_cast<double>(Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec) /
             1e6;
}

class CountingHandler : public PeerHandler {
public:
  void onMessage(const VmName &, PeerMessage) override { ++Received; }
  void onPeerConnected(const VmName &) override {}
  void onPeerLost(const VmName &) override {}

  std::atomic<std::size_t> Received{0};
};

struct Daemon {
  explicit Daemon(const std::string &Vm, bool Deflate = true)
      : Transport(makeOptions(Vm, Deflate), Source, Stamps, Jitter) {
    if (Transport.start(Handler))
      fmt::print(stderr, "{}: cannot listen\n", Vm);
  }

  static PeerTransportOptions makeOptions(const std::string &Vm, bool Deflate) {
    PeerTransportOptions Options;
    Options.Vm = VmName(Vm);
    Options.ListenAddress = "127.0.0.1:0";
    Options.Deflate = Deflate;
    Options.Keys = {"a-key-for-measuring"};
    return Options;
  }

  PeerAddress address() const {
    return {VmName(), fmt::format("127.0.0.1:{}", Transport.port())};
  }

  SystemClock Source;
  HybridClock Stamps{Source};
  SeededRandom Jitter{1};
  CountingHandler Handler;
  PeerTransport Transport;
};

/// Ids, fingerprints and sizes differ from request to request; names and
/// prefixes come again as in a deployment of the two-year size.
SubmitTicket makeTicket(RandomSource &Random, TimePoint Now) {
  SubmitTicket Message;
  Message.Group = {ServiceName("assistant"), FailureDomain("luzon-south-a"),
                   static_cast<std::uint32_t>(Random.below(4))};
  Message.Request.Id = Random.nextRequestId();
  Message.Request.Entry = VmName("sa-a-1");
  Message.Request.Customer =
      CustomerName(fmt::format("customer-{:04}", Random.below(2500)));
  Message.Request.Service = ServiceName("assistant");
  Message.Request.Tier = static_cast<TierRank>(Random.below(5));
  Message.Request.Arrival = Now - std::chrono::microseconds(Random.below(5000));
  Message.Request.Deadline =
      Now + std::chrono::milliseconds(Random.below(60000));
  Message.Request.PromptTokens = static_cast<TokenCount>(Random.below(4000));
  Message.Request.OutputTokens = static_cast<TokenCount>(Random.below(1000));
  SeededRandom Prefix(Random.below(50));
  for (int I = 0; I < 4; ++I)
    Message.Request.PrefixBlocks.push_back(Prefix.next());
  Message.Request.TokensPerBlock = 256;
  Message.Request.Fingerprint = Random.next();
  return Message;
}

/// A ticket is the largest ordinary message; a finish report is the one that
/// goes the same way afterwards.
PeerMessage makeMessage(std::size_t Index, RandomSource &Random,
                        TimePoint Now) {
  const auto Ticket = makeTicket(Random, Now);
  if (Index % 2 == 0)
    return Ticket;
  ReportFinish Finish{Ticket.Group, {}};
  Finish.Report.Request = Ticket.Request.Id;
  Finish.Report.Target =
      TargetName(fmt::format("runner-a-{:02}", Random.below(20)));
  Finish.Report.PromptTokens = Ticket.Request.PromptTokens;
  Finish.Report.OutputTokens = Ticket.Request.OutputTokens;
  Finish.Report.TimeToFirstToken =
      std::chrono::microseconds(Random.below(500000));
  Finish.Report.DecodeTime = std::chrono::microseconds(Random.below(20000000));
  return Finish;
}

void waitForMessages(const CountingHandler &Handler, std::size_t Count) {
  while (Handler.Received < Count)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

/// Sends bursts of one size at a fixed interval from one daemon to another,
/// and prints the cost of both ends together.
void measureBursts(std::size_t Burst, std::size_t Messages, bool Deflate) {
  Daemon A("vm-a", Deflate), B("vm-b", Deflate);
  auto Address = B.address();
  Address.Vm = VmName("vm-b");
  A.Transport.setPeers({&Address, 1});
  A.Transport.send(Address.Vm, FetchRevisions{0});
  waitForMessages(B.Handler, 1);

  const auto Before = A.Transport.totals();
  const auto Processor = processorSeconds();
  const auto Start = A.Source.now();
  SeededRandom Random(5);
  for (std::size_t I = 0; I < Messages; ++I) {
    if (I != 0 && I % Burst == 0)
      std::this_thread::sleep_until(Start + BurstInterval *
                                                static_cast<int>(I / Burst));
    while (
        !A.Transport.send(Address.Vm, makeMessage(I, Random, A.Source.now())))
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  waitForMessages(B.Handler, Messages + 1);
  const auto Elapsed = toSeconds(A.Source.now() - Start);
  const auto Used = processorSeconds() - Processor;
  const auto After = A.Transport.totals();
  const auto Count = static_cast<double>(Messages);
  fmt::print("deflate={} burst={} messages={} per_second={:.0f} "
             "cpu_us_per_message_both_ends={:.2f} bytes_per_message={:.1f}\n",
             Deflate, Burst, Messages, Count / Elapsed, Used * 1e6 / Count,
             static_cast<double>(After.BytesSent - Before.BytesSent) / Count);
}

long residentKilobytes() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return Usage.ru_maxrss;
}

/// One daemon with connections to \p Count others at rest. The cost is that
/// of the whole process, the other daemons and their threads included.
void measureRest(std::size_t Count) {
  const auto Memory = residentKilobytes();
  Daemon Hub("hub");
  std::vector<std::unique_ptr<Daemon>> Others;
  std::vector<PeerAddress> Addresses;
  for (std::size_t I = 0; I < Count; ++I) {
    Others.push_back(std::make_unique<Daemon>(fmt::format("vm-{}", I)));
    Addresses.push_back(Others.back()->address());
    Addresses.back().Vm = VmName(fmt::format("vm-{}", I));
  }
  Hub.Transport.setPeers(Addresses);
  for (std::size_t I = 0; I < Count; ++I) {
    Hub.Transport.send(Addresses[I].Vm, FetchRevisions{0});
    waitForMessages(Others[I]->Handler, 1);
  }
  const auto Before = Hub.Transport.totals();
  const auto Processor = processorSeconds();
  std::this_thread::sleep_for(RestTime);
  const auto Used = processorSeconds() - Processor;
  const auto After = Hub.Transport.totals();
  const auto Seconds = toSeconds(RestTime);
  const auto Peers = static_cast<double>(Count);
  fmt::print("rest peers={} cpu_us_per_second_whole_process={:.0f} "
             "bytes_sent_per_second_per_peer={:.2f} "
             "peak_memory_growth_kb={}\n",
             Count, Used * 1e6 / Seconds,
             static_cast<double>(After.BytesSent - Before.BytesSent) / Seconds /
                 Peers,
             residentKilobytes() - Memory);
}

} // namespace

} // namespace mangodeck

int main() {
  mangodeck::measureRest(10);
  mangodeck::measureRest(50);
  for (const bool Deflate : {false, true}) {
    mangodeck::measureBursts(1, 2000, Deflate);
    mangodeck::measureBursts(8, 8000, Deflate);
    mangodeck::measureBursts(64, mangodeck::MessagesPerRun, Deflate);
    mangodeck::measureBursts(1000, 2 * mangodeck::MessagesPerRun, Deflate);
  }
  return 0;
}
