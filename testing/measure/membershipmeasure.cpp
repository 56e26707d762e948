// Prints how state, messages, bytes and processor time of membership grow with
// the number of members, in virtual time.
#include "virtualnetwork.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <string>
#include <string_view>
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

  const auto Join = Network.runUntilAgreed(JoinLimit);
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
  Result.AllDeathSeconds =
      toSeconds(First + Network.runUntilAgreed(DetectLimit));
  return Result;
}

constexpr Duration DigestPeriod = 500ms;
constexpr Duration DigestSpan = 30s;

/// How old the digests of a service's groups are at the owners of its other
/// groups, and what it costs to send them.
struct DigestMeasurement {
  double Bytes = 0; ///< Sent per member and second.
  double MeanAgeSeconds = 0;
  double OldestSeconds = 0;
};

GroupSummary makeDigest(std::size_t Group, std::size_t Domains) {
  GroupSummary Digest;
  Digest.Group.Service = ServiceName(fmt::format("model-{}", Group / Domains));
  Digest.Group.Domain = FailureDomain(fmt::format("zone-{}", Group % Domains));
  Digest.Epoch = 1'000'000;
  Digest.FreeSequences = 20;
  Digest.WaitingPerTier = {0, 3, 12, 0, 150};
  Digest.LowestAdmitted = 4;
  Digest.QueueDelay = 300ms;
  return Digest;
}

/// Group g belongs to service g / Domains and is owned by member g % Members.
DigestMeasurement measureDigests(std::size_t Members, std::size_t Domains,
                                 std::size_t Services, bool ToOwnersOnly) {
  NetworkOptions Options;
  Options.Members = Members;
  Options.Domains = Domains;
  Options.Loss = 0.01;
  Options.PrefilledTables = true;
  VirtualNetwork Network(Options);
  const auto Groups = Services * Domains;
  std::uint64_t Round = 0;
  const auto Publish = [&] {
    ++Round;
    for (std::size_t Group = 0; Group < Groups; ++Group) {
      const auto Owner = Group % Members;
      const auto First = Group / Domains * Domains;
      std::vector<VmName> Audience;
      for (std::size_t Peer = First; ToOwnersOnly && Peer < First + Domains;
           ++Peer) {
        if (Peer % Members != Owner)
          Audience.push_back(Network.nameOf(Peer % Members));
      }
      const auto Digest = makeDigest(Group, Domains);
      Membership::Actions Out;
      Network.at(Owner).publish(Digest, toString(Digest.Group), 60s,
                                Network.now(), Audience, Out);
      Network.perform(Owner, Out);
    }
    Network.runFor(DigestPeriod);
  };
  const auto Rounds = DigestSpan / DigestPeriod;
  for (std::int64_t I = 0; I < Rounds; ++I)
    Publish();
  Network.resetTraffic();
  for (std::int64_t I = 0; I < Rounds; ++I)
    Publish();

  DigestMeasurement Result;
  Result.Bytes = static_cast<double>(Network.traffic().Bytes) /
                 toSeconds(DigestSpan) / static_cast<double>(Members);
  std::size_t Count = 0;
  for (std::size_t Group = 0; Group < Groups; ++Group) {
    const auto Reader =
        (Group % Domains == 0 ? Group + 1 : Group - 1) % Members;
    const auto Subject = toString(makeDigest(Group, Domains).Group);
    std::uint64_t Held = 0;
    for (const auto &Entry :
         Network.at(Reader).entries(EntryKind::GroupSummary, Network.now()))
      Held = Entry.Subject == Subject ? Entry.Version : Held;
    const auto Age =
        toSeconds(DigestPeriod) * static_cast<double>(Round - Held + 1);
    Result.MeanAgeSeconds += Age;
    Result.OldestSeconds = std::max(Result.OldestSeconds, Age);
    ++Count;
  }
  Result.MeanAgeSeconds /= static_cast<double>(Count);
  return Result;
}

void printDigests(std::size_t Members, std::size_t Domains,
                  std::size_t Services) {
  for (const bool ToOwnersOnly : {false, true}) {
    const auto Result =
        measureDigests(Members, Domains, Services, ToOwnersOnly);
    fmt::print("{} {} {} {:.0f} {:.1f} {:.1f}\n", Members, Services * Domains,
               ToOwnersOnly ? "owners" : "all", Result.Bytes,
               Result.MeanAgeSeconds, Result.OldestSeconds);
  }
}

} // namespace

} // namespace mangodeck

/// Usage: membershipmeasure digests | [LOSS [MEMBERS...]]
int main(int Argc, char **Argv) {
  if (Argc > 1 && std::string_view(Argv[1]) == "digests") {
    fmt::print("# digests every 500 ms; 1% loss\n"
               "# members groups audience B/s mean_age_s oldest_s\n");
    mangodeck::printDigests(8, 3, 2);
    mangodeck::printDigests(50, 7, 10);
    mangodeck::printDigests(360, 7, 38);
    std::fflush(stdout);
    return 0;
  }
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
