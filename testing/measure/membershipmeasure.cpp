// Prints how state, messages, bytes and processor time of membership grow with
// the number of members, in virtual time.
#include "virtualnetwork.h"

#include <fmt/format.h>

#include <malloc.h>

#include <cstdlib>
#include <string>
#include <vector>

namespace mangodeck {

namespace {

constexpr Duration JoinLimit = 120s;
constexpr Duration SteadySpan = 60s;
constexpr Duration DetectLimit = 60s;

struct Measurement {
  std::size_t Members = 0;
  double JoinSeconds = 0;
  double PeakBytesPerSecond = 0; ///< Of the busiest member while joining.
  double Packets = 0;            ///< Sent per member and second, steady.
  double Bytes = 0;              ///< Sent per member and second, steady.
  double CorePercent = 0;        ///< Per member, steady.
  double StateBytes = 0;         ///< Heap per member.
  double FirstDeathSeconds = 0;
  double AllDeathSeconds = 0;
  double LeavingSeconds = 0;
  double RevisionSeconds = 0;
};

std::size_t usedHeap() { return mallinfo2().uordblks; }

Duration spreadRevision(VirtualNetwork &Network) {
  Membership::Actions Out;
  Network.at(1).publish(ConfigRevision{7, std::string(64, 'a')}, "",
                        std::chrono::hours(1), Network.now(), {}, Out);
  Network.perform(1, Out);
  return Network.runUntil(
      [&] {
        for (std::size_t I = 0; I < Network.size(); ++I) {
          if (Network.at(I).entries(EntryKind::Revision, Network.now()).empty())
            return false;
        }
        return true;
      },
      DetectLimit);
}

Duration spreadLeaving(VirtualNetwork &Network) {
  Membership::Actions Out;
  Network.at(2).setLeaving(Network.now(), Out);
  Network.perform(2, Out);
  return Network.runUntil(
      [&] {
        for (std::size_t I = 0; I < Network.size(); ++I) {
          const auto *Found = Network.at(I).find(Network.nameOf(2));
          if (!Found || !Found->Leaving)
            return false;
        }
        return true;
      },
      DetectLimit);
}

Measurement measure(std::size_t Members, std::size_t Domains, double Loss) {
  Measurement Result;
  Result.Members = Members;
  NetworkOptions Options;
  Options.Members = Members;
  Options.Domains = Domains;
  Options.Loss = Loss;
  const auto HeapBefore = usedHeap();
  VirtualNetwork Network(Options);
  const auto Count = static_cast<double>(Members);

  const auto Join = Network.settle(JoinLimit);
  Result.JoinSeconds = toSeconds(Join);
  Result.PeakBytesPerSecond =
      static_cast<double>(Network.traffic().LargestReceiver) / toSeconds(Join);
  Network.runFor(SteadySpan);

  Network.resetTraffic();
  Network.runFor(SteadySpan);
  const auto Span = toSeconds(SteadySpan) * Count;
  Result.Packets = static_cast<double>(Network.traffic().Packets) / Span;
  Result.Bytes = static_cast<double>(Network.traffic().Bytes) / Span;
  Result.CorePercent = 100 * Network.processorSeconds() / Span;
  Result.StateBytes = static_cast<double>(usedHeap() - HeapBefore) / Count;

  Result.RevisionSeconds = toSeconds(spreadRevision(Network));
  Result.LeavingSeconds = toSeconds(spreadLeaving(Network));
  Network.runFor(5s);
  const auto Victim = Members - 1;
  Network.kill(Victim);
  const auto First = Network.runUntil(
      [&] { return Network.countSeeing(Victim, MemberState::Dead) > 0; },
      DetectLimit);
  Result.FirstDeathSeconds = toSeconds(First);
  Result.AllDeathSeconds = toSeconds(First + Network.settle(DetectLimit));
  return Result;
}

} // namespace

} // namespace mangodeck

/// Usage: membershipmeasure [LOSS [MEMBERS...]]
int main(int Argc, char **Argv) {
  const double Loss = Argc > 1 ? std::strtod(Argv[1], nullptr) : 0.01;
  fmt::print("# loss {:.0f}%; per member; sent bytes with IP and UDP headers\n",
             100 * Loss);
  fmt::print("# members join_s join_peak_B/s packets/s B/s core_% heap_B "
             "revision_s leaving_s first_dead_s all_dead_s\n");
  std::vector<std::size_t> Sizes;
  for (int I = 2; I < Argc; ++I)
    Sizes.push_back(std::strtoul(Argv[I], nullptr, 10));
  if (Sizes.empty())
    Sizes = {8, 50, 100, 200, 360};
  for (const auto Members : Sizes) {
    const auto Result = mangodeck::measure(Members, Members <= 8 ? 3 : 7, Loss);
    fmt::print("{} {:.1f} {:.0f} {:.2f} {:.0f} {:.4f} {:.0f} {:.1f} {:.1f} "
               "{:.1f} {:.1f}\n",
               Result.Members, Result.JoinSeconds, Result.PeakBytesPerSecond,
               Result.Packets, Result.Bytes, Result.CorePercent,
               Result.StateBytes, Result.RevisionSeconds, Result.LeavingSeconds,
               Result.FirstDeathSeconds, Result.AllDeathSeconds);
  }
}
