#include "virtualnetwork.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace mangodeck {

namespace {

constexpr double MaxControlBytesPerSecond = 7000;
constexpr std::size_t Sizes[] = {8, 50, 360};

NetworkOptions optionsFor(std::size_t Members, double Loss = 0.01) {
  NetworkOptions Options;
  Options.Members = Members;
  Options.Domains = Members <= 8 ? 3 : 7;
  Options.Loss = Loss;
  Options.Seed = Members;
  Options.PrefilledTables = true;
  return Options;
}

std::vector<std::size_t> membersOf(const VirtualNetwork &Network,
                                   std::size_t Domain, bool Inside) {
  std::vector<std::size_t> Result;
  for (std::size_t I = 0; I < Network.size(); ++I) {
    if ((Network.domainOf(I) == Domain) == Inside)
      Result.push_back(I);
  }
  return Result;
}

} // namespace

/// Tests networks of up to 360 members in virtual time, with PacketCodec.
class MembershipScaleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipScaleTest);
  CPPUNIT_TEST(members_startTogether_knowEachOther);
  CPPUNIT_TEST(members_steady_useLessThanQuarterOfByteLimit);
  CPPUNIT_TEST(members_oneKilled_onlyItIsDeclaredDead);
  CPPUNIT_TEST(members_lossyLinks_noneIsDeclaredDead);
  CPPUNIT_TEST(members_oneLeaving_allKnowWithinSeconds);
  CPPUNIT_TEST(members_newRevision_allKnowWithinSeconds);
  CPPUNIT_TEST(members_domainCutAndReconnected_bothSidesAgreeThenMerge);
  CPPUNIT_TEST(members_onePausedAndResumed_isDeadThenLive);
  CPPUNIT_TEST(members_allPausedAndResumed_noneIsDeclaredDead);
  CPPUNIT_TEST(members_hundredRestartsInAnHour_allLearnEach);
  CPPUNIT_TEST_SUITE_END();

public:
  void members_startTogether_knowEachOther() {
    for (const std::size_t Members : {8U, 50U}) {
      auto Options = optionsFor(Members);
      Options.PrefilledTables = false;
      VirtualNetwork Network(Options);
      const auto Elapsed = Network.runUntilAgreed(60s);
      fmt::print("{} members start together: all agree after {:.1f} s\n",
                 Members, toSeconds(Elapsed));
      CPPUNIT_ASSERT(Elapsed < 30s);
    }
  }

  void members_steady_useLessThanQuarterOfByteLimit() {
    for (const auto Members : Sizes) {
      VirtualNetwork Network(optionsFor(Members));
      Network.runFor(20s);
      const double Seconds = 20;
      const auto Total = Network.traffic();
      const auto Count = static_cast<double>(Members);
      fmt::print("{} members, steady state: {:.0f} B/s and {:.2f} packets/s "
                 "per member, largest sender {:.0f} B/s\n",
                 Members, static_cast<double>(Total.Bytes) / Seconds / Count,
                 static_cast<double>(Total.Packets) / Seconds / Count,
                 static_cast<double>(Total.LargestSender) / Seconds);
      CPPUNIT_ASSERT(static_cast<double>(Total.LargestSender) / Seconds <
                     MaxControlBytesPerSecond / 4);
      CPPUNIT_ASSERT(static_cast<double>(Total.LargestReceiver) / Seconds <
                     MaxControlBytesPerSecond / 4);
    }
  }

  void members_oneKilled_onlyItIsDeclaredDead() {
    for (const auto Members : Sizes) {
      VirtualNetwork Network(optionsFor(Members));
      Network.runFor(5s);
      const auto Victim = Members - 1;
      Network.kill(Victim);
      const auto First = Network.runUntil(
          [&] { return Network.countSeeing(Victim, MemberState::Dead) > 0; },
          30s);
      const auto All = First + Network.runUntilAgreed(30s);
      fmt::print("{} members, one killed: first has it as dead after {:.1f} s, "
                 "all after {:.1f} s\n",
                 Members, toSeconds(First), toSeconds(All));
      CPPUNIT_ASSERT(All < 15s);
    }
  }

  void members_lossyLinks_noneIsDeclaredDead() {
    for (const auto Members : Sizes) {
      for (const double Loss : {0.01, 0.05, 0.20}) {
        VirtualNetwork Network(optionsFor(Members, Loss));
        Network.runFor(Members > 100 ? 20s : 120s);
        const auto Counts = Network.counts();
        fmt::print("{} members, {:.0f}% loss: {} probes, {} suspicions, {} "
                   "deaths\n",
                   Members, 100 * Loss, Counts.ProbesSent, Counts.Suspicions,
                   Counts.Deaths);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Counts.Deaths);
      }
    }
  }

  void members_oneLeaving_allKnowWithinSeconds() {
    for (const auto Members : Sizes) {
      VirtualNetwork Network(optionsFor(Members, 0.05));
      Network.runFor(2s);
      Membership::Actions Out;
      Network.at(1).setLeaving(Network.now(), Out);
      Network.perform(1, Out);
      const auto Elapsed = Network.runUntil(
          [&] { return countSeeingLeaving(Network, 1) == Members; }, 30s);
      fmt::print("{} members, one leaving: all know after {:.1f} s\n", Members,
                 toSeconds(Elapsed));
      CPPUNIT_ASSERT(Elapsed < 3s);
    }
  }

  void members_newRevision_allKnowWithinSeconds() {
    for (const auto Members : Sizes) {
      VirtualNetwork Network(optionsFor(Members, 0.05));
      Network.runFor(2s);
      Membership::Actions Out;
      Network.at(1).publish(ConfigRevision{8, std::string(64, 'd')}, "", 600s,
                            Network.now(), {}, Out);
      Network.perform(1, Out);
      const auto Elapsed = Network.runUntil(
          [&] { return countWithRevision(Network) == Members; }, 30s);
      fmt::print("{} members, new revision: all know after {:.1f} s\n", Members,
                 toSeconds(Elapsed));
      CPPUNIT_ASSERT(Elapsed < 3s);
    }
  }

  void members_domainCutAndReconnected_bothSidesAgreeThenMerge() {
    for (const auto Members : Sizes) {
      VirtualNetwork Network(optionsFor(Members));
      Network.runFor(2s);
      const auto Inside = membersOf(Network, 1, true);
      const auto Outside = membersOf(Network, 1, false);
      Network.cutDomain(1);
      const auto BothSidesAgreed = Network.runUntil(
          [&] {
            return Network.agree(Inside, Inside) &&
                   Network.agree(Outside, Outside);
          },
          120s);
      Network.resetTraffic();
      Network.heal();
      const auto Merged = Network.runUntilAgreed(120s);
      fmt::print("{} members, one domain cut: both sides agree after {:.1f} s; "
                 "all agree {:.1f} s after the reconnection, largest sender "
                 "{:.0f} B/s\n",
                 Members, toSeconds(BothSidesAgreed), toSeconds(Merged),
                 static_cast<double>(Network.traffic().LargestSender) /
                     toSeconds(Merged));
      CPPUNIT_ASSERT(BothSidesAgreed < 90s);
      CPPUNIT_ASSERT(Merged < 60s);
    }
  }

  void members_onePausedAndResumed_isDeadThenLive() {
    VirtualNetwork Network(optionsFor(8));
    Network.runFor(5s);
    std::size_t OtherDeaths = 0;
    Network.OnAction = [&](std::size_t, const MembershipAction &Action) {
      const auto *Change = std::get_if<MemberChanged>(&Action);
      if (Change && Change->After.State == MemberState::Dead &&
          Change->After.Vm != Network.nameOf(3))
        ++OtherDeaths;
    };
    Network.pause(3);
    Network.runFor(30s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7},
                         Network.countSeeing(3, MemberState::Dead));
    Network.resume(3);
    const auto Elapsed = Network.runUntilAgreed(30s);
    fmt::print("8 members, one paused: all agree {:.1f} s after it resumes\n",
               toSeconds(Elapsed));
    CPPUNIT_ASSERT(Elapsed < 10s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, OtherDeaths);
  }

  void members_allPausedAndResumed_noneIsDeclaredDead() {
    VirtualNetwork Network(optionsFor(8, 0));
    Network.runFor(5s);
    for (std::size_t I = 0; I < 8; ++I)
      Network.pause(I);
    Network.runFor(30s);
    for (std::size_t I = 0; I < 8; ++I)
      Network.resume(I);
    Network.runFor(20s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Network.counts().Deaths);
    CPPUNIT_ASSERT(Network.agree());
  }

  void members_hundredRestartsInAnHour_allLearnEach() {
    constexpr int Restarts = 100;
    VirtualNetwork Network(optionsFor(50));
    SeededRandom Random(5);
    Duration Slowest{0};
    for (int I = 0; I < Restarts; ++I) {
      Network.runFor(26s);
      Network.restart(Random.below(Network.size()));
      const auto Elapsed = Network.runUntilAgreed(10s);
      Slowest = std::max(Slowest, Elapsed);
      CPPUNIT_ASSERT(Elapsed < 10s);
      Network.runFor(10s - Elapsed);
    }
    const double Seconds = 36.0 * Restarts;
    const auto Mean = static_cast<double>(Network.traffic().Bytes) / Seconds /
                      static_cast<double>(Network.size());
    fmt::print("50 members, 100 restarts in an hour: all agree after at most "
               "{:.1f} s, {:.0f} B/s per member\n",
               toSeconds(Slowest), Mean);
    CPPUNIT_ASSERT(Mean < MaxControlBytesPerSecond / 4);
  }

private:
  static std::size_t countSeeingLeaving(VirtualNetwork &Network,
                                        std::size_t Leaving) {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < Network.size(); ++I) {
      const auto *Found = Network.at(I).find(Network.nameOf(Leaving));
      Count += Found && Found->Leaving ? 1 : 0;
    }
    return Count;
  }

  static std::size_t countWithRevision(VirtualNetwork &Network) {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < Network.size(); ++I) {
      const auto Found =
          Network.at(I).entries(EntryKind::Revision, Network.now());
      Count += Found.empty() ? 0 : 1;
    }
    return Count;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipScaleTest);

} // namespace mangodeck
