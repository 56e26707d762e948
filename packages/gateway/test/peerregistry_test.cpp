#include "mangodeck/gateway/peerregistry.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class PeerRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerRegistryTest);
  CPPUNIT_TEST(encodeReport_thenDecodeReport_preservesFields);
  CPPUNIT_TEST(decodeReport_invalidBytes_returnsNothing);
  CPPUNIT_TEST(decodeReport_rateLimitOutOfRange_isBounded);
  CPPUNIT_TEST(ownDomainEndpoints_stoppingPeer_isIncluded);
  CPPUNIT_TEST(daemonCount_unlistedPeer_countsForGracePeriod);
  CPPUNIT_TEST(summarizeDomain_ownDomainDaemons_areSummedWithoutRemoteOnes);
  CPPUNIT_TEST(isDelegate_firstReachableByName_nextAfterTimeout);
  CPPUNIT_TEST(accept_summaryOfOtherDelegate_onlyAfterTimeout);
  CPPUNIT_TEST(accept_olderReport_isRejected);
  CPPUNIT_TEST(accept_reportOfNextProcess_replacesFormerWhateverItsId);
  CPPUNIT_TEST(observe_nextProcess_dropsReportOfFormer);
  CPPUNIT_TEST(reportReceivers_smallDomain_areAll);
  CPPUNIT_TEST(reportReceivers_largeDomain_areFirstAndThoseThatReport);
  CPPUNIT_TEST(reportReceivers_firstOnesFail_nextTakeTheirPlace);
  CPPUNIT_TEST(reportReceivers_stoppingDaemon_isReplaced);
  CPPUNIT_TEST(reports_largeDomain_delegateHearsAllAndOthersFew);
  CPPUNIT_TEST(delegate_joiningDaemon_isPassedOver);
  CPPUNIT_TEST(delegate_onlyJoiningDaemons_isFirstByName);
  CPPUNIT_TEST(delegate_restartedDaemon_isAdoptedByAllAtOnce);
  CPPUNIT_TEST(delegateSupport_domainSplit_onlyOneSideHasMajority);
  CPPUNIT_TEST(delegateSupport_daemonsDisagree_onlyOneHasMajority);
  CPPUNIT_TEST(delegateSupport_silentDaemon_countsForGracePeriod);
  CPPUNIT_TEST(summarizeDomain_rateLimits_newestLimitAndNewestNoneAreKept);
  CPPUNIT_TEST(summaryWithout_daemon_excludesItsLoads);
  CPPUNIT_TEST(peerLoads_ownSummary_replacesReports);
  CPPUNIT_TEST(peerLoads_expiredReports_areExcluded);
  CPPUNIT_TEST(remoteDomainLoads_ownDomainReport_isExcluded);
  CPPUNIT_TEST_SUITE_END();

  static PeerReport reportOf(const std::string &Vm, std::uint64_t Incarnation,
                             std::uint64_t Sequence) {
    PeerReport Report;
    Report.Vm = Vm;
    Report.Domain = FailureDomain("x");
    Report.Incarnation = Incarnation;
    Report.Sequence = Sequence;
    Report.RunningRequests = {{1, 7, 500}, {2, 7, 0}, {3, 7, 0}};
    Report.Loads = sumLoadsByTarget(Report.RunningRequests);
    return Report;
  }

  const TimePoint m_Now{std::chrono::hours(1)};

  static std::string vmName(int Number) {
    return "vm" + std::to_string(100 + Number);
  }

  /// The registry of daemon \p Own of \p Count in one domain. The port of a
  /// daemon is its number.
  static PeerRegistry registryOf(int Own, int Count) {
    PeerRegistry Registry(vmName(Own), FailureDomain("x"));
    for (int I = 0; I < Count; ++I)
      if (I != Own)
        Registry.markListed(
            vmName(I),
            {"10.0.0.1", static_cast<std::uint16_t>(I), FailureDomain("x")});
    return Registry;
  }

  /// The support of daemon \p Own of \p Count if it hears the daemons from
  /// \p Begin to before \p End, and these take it for the delegate.
  PeerRegistry::DelegateSupport supportOf(int Own, int Begin, int End,
                                          int Count) const {
    auto Registry = registryOf(Own, Count);
    for (int I = Begin; I < End; ++I) {
      auto Report = reportOf(vmName(I), 1, 1);
      Report.Delegate = vmName(Own);
      if (I != Own)
        Registry.accept(Report, m_Now);
    }
    return Registry.delegateSupport(m_Now);
  }

  static std::vector<int> portsOf(const std::vector<PeerEndpoint> &Peers) {
    std::vector<int> Ports;
    for (const auto &Peer : Peers)
      Ports.push_back(Peer.Port);
    return Ports;
  }

  /// Daemons of one failure domain that exchange reports.
  struct Fleet {
    explicit Fleet(int Count) : IsAlive(Count, true), Received(Count) {
      for (int I = 0; I < Count; ++I)
        Registries.push_back(registryOf(I, Count));
    }
    /// The daemon \p At learns that daemon \p Other has registered.
    void list(std::size_t At, int Other) {
      Registries[At].markListed(
          vmName(Other),
          {"10.0.0.1", static_cast<std::uint16_t>(Other), FailureDomain("x")});
    }
    void run(int Periods) {
      for (; Periods > 0; --Periods, Now += 200ms) {
        std::fill(Received.begin(), Received.end(), 0);
        ++Sequence;
        for (std::size_t From = 0; From < Registries.size(); ++From) {
          if (!IsAlive[From])
            continue;
          auto Report = reportOf(vmName(static_cast<int>(From)), 1, Sequence);
          Registries[From].updateJoining(Now);
          Report.Joining = Registries[From].isJoining();
          for (const auto Port :
               portsOf(Registries[From].reportReceivers(Now))) {
            const auto To = static_cast<std::size_t>(Port);
            if (!IsAlive[To])
              continue;
            ++Received[To];
            Registries[To].accept(Report, Now);
          }
        }
      }
    }
    std::string delegateOf(std::size_t At) const {
      const auto Found = Registries[At].delegate(Now);
      return Found ? Found->Vm : vmName(static_cast<int>(At));
    }

    std::vector<PeerRegistry> Registries;
    std::vector<bool> IsAlive;
    std::vector<int> Received; ///< Reports in the last period.
    std::uint64_t Sequence = 0;
    TimePoint Now{std::chrono::hours(1)};
  };

public:
  void reportReceivers_smallDomain_areAll() {
    auto Registry = registryOf(0, 5);
    CPPUNIT_ASSERT(portsOf(Registry.reportReceivers(m_Now)) ==
                   (std::vector{1, 2, 3, 4}));
  }

  void reportReceivers_largeDomain_areFirstAndThoseThatReport() {
    auto Registry = registryOf(20, 40);
    CPPUNIT_ASSERT(portsOf(Registry.reportReceivers(m_Now)) ==
                   (std::vector{0, 1, 2}));
    Registry.accept(reportOf(vmName(30), 1, 1), m_Now);
    CPPUNIT_ASSERT(portsOf(Registry.reportReceivers(m_Now)) ==
                   (std::vector{0, 1, 2, 30}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Registry.reportingDaemons(m_Now).size());
  }

  void reportReceivers_firstOnesFail_nextTakeTheirPlace() {
    auto Registry = registryOf(20, 40);
    Registry.reportReceivers(m_Now);
    Registry.accept(reportOf(vmName(1), 1, 1), m_Now + 900ms);
    // Daemons 0 and 2 have not answered; they are tried on.
    CPPUNIT_ASSERT(portsOf(Registry.reportReceivers(m_Now + 1s)) ==
                   (std::vector{0, 1, 2, 3, 4}));
    Registry.markUnlisted(vmName(0), m_Now + 1s);
    CPPUNIT_ASSERT(portsOf(Registry.reportReceivers(m_Now + 1100ms)) ==
                   (std::vector{1, 2, 3, 4}));
    Registry.accept(reportOf(vmName(2), 1, 1), m_Now + 1200ms);
    CPPUNIT_ASSERT(portsOf(Registry.reportReceivers(m_Now + 1200ms)) ==
                   (std::vector{1, 2, 3}));
  }

  void reportReceivers_stoppingDaemon_isReplaced() {
    auto Registry = registryOf(20, 40);
    auto Stopping = reportOf(vmName(1), 1, 1);
    Stopping.Stopping = true;
    Registry.accept(Stopping, m_Now);
    CPPUNIT_ASSERT(portsOf(Registry.reportReceivers(m_Now)) ==
                   (std::vector{0, 1, 2, 3}));
  }

  void delegate_joiningDaemon_isPassedOver() {
    auto Registry = registryOf(20, 40);
    auto Joining = reportOf(vmName(0), 1, 1);
    Joining.Joining = true;
    Registry.accept(Joining, m_Now);
    Registry.accept(reportOf(vmName(30), 1, 1), m_Now);
    CPPUNIT_ASSERT_EQUAL(vmName(30), Registry.delegate(m_Now)->Vm);
    Joining.Joining = false;
    Joining.Sequence = 2;
    Registry.accept(Joining, m_Now);
    CPPUNIT_ASSERT_EQUAL(vmName(0), Registry.delegate(m_Now)->Vm);
  }

  void delegate_onlyJoiningDaemons_isFirstByName() {
    auto Registry = registryOf(20, 40);
    auto Joining = reportOf(vmName(30), 1, 1);
    Joining.Joining = true;
    Registry.accept(Joining, m_Now);
    CPPUNIT_ASSERT(Registry.isDelegate(m_Now));
    Joining.Vm = vmName(3);
    Registry.accept(Joining, m_Now);
    CPPUNIT_ASSERT_EQUAL(vmName(3), Registry.delegate(m_Now)->Vm);
  }

  /// A domain of 60 daemons of which the first four are dead: after a while the
  /// next one hears from all, and the others send and receive few messages.
  void reports_largeDomain_delegateHearsAllAndOthersFew() {
    Fleet Daemons(60);
    constexpr int Dead = 4;
    for (int I = 0; I < Dead; ++I)
      Daemons.IsAlive[I] = false;
    Daemons.run(40);
    CPPUNIT_ASSERT(Daemons.Registries[Dead].isDelegate(Daemons.Now));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(60 - Dead - 1),
        Daemons.Registries[Dead].countReachableInOwnDomain(Daemons.Now));
    for (std::size_t I = Dead + 4; I < 60; ++I) {
      CPPUNIT_ASSERT_EQUAL(vmName(Dead), Daemons.delegateOf(I));
      CPPUNIT_ASSERT(Daemons.Received[I] <= 4);
    }
  }

  /// While the restarted first daemon is known to a part of the others, all
  /// keep the delegate that they have.
  void delegate_restartedDaemon_isAdoptedByAllAtOnce() {
    Fleet Daemons(60);
    Daemons.IsAlive[0] = false;
    for (std::size_t I = 1; I < 60; ++I)
      Daemons.Registries[I].markUnlisted(vmName(0), m_Now);
    Daemons.run(20);
    Daemons.IsAlive[0] = true;
    Daemons.Registries[0] = registryOf(0, 60);
    // Half of the others learn of its registration later.
    for (std::size_t I = 1; I < 30; ++I)
      Daemons.list(I, 0);
    Daemons.run(4);
    for (std::size_t I = 0; I < 60; ++I)
      CPPUNIT_ASSERT_EQUAL(vmName(1), Daemons.delegateOf(I));
    for (std::size_t I = 30; I < 60; ++I)
      Daemons.list(I, 0);
    Daemons.run(3);
    for (std::size_t I = 0; I < 60; ++I)
      CPPUNIT_ASSERT_EQUAL(vmName(0), Daemons.delegateOf(I));
  }

  void delegateSupport_domainSplit_onlyOneSideHasMajority() {
    for (const int Daemons : {1, 2, 3, 4, 8, 59})
      for (int First = 1; First <= Daemons; ++First) {
        // Daemons 0 to First - 1 are cut off from the others.
        const auto Left = supportOf(0, 0, First, Daemons);
        CPPUNIT_ASSERT_EQUAL(std::size_t(First), Left.Supporters);
        CPPUNIT_ASSERT_EQUAL(std::size_t(Daemons), Left.Daemons);
        if (First == Daemons) {
          CPPUNIT_ASSERT(Left.IsMajority);
          continue;
        }
        const auto Right = supportOf(First, First, Daemons, Daemons);
        CPPUNIT_ASSERT(Left.IsMajority != Right.IsMajority);
      }
  }

  void delegateSupport_daemonsDisagree_onlyOneHasMajority() {
    // Daemons 0 and 1 take themselves for the delegate, and all hear them; the
    // other three support daemon 0.
    auto First = registryOf(0, 5);
    auto Second = registryOf(1, 5);
    for (int I = 0; I < 5; ++I) {
      auto Report = reportOf(vmName(I), 1, 1);
      Report.Delegate = vmName(I == 1 ? 1 : 0);
      if (I != 0)
        First.accept(Report, m_Now);
      if (I != 1)
        Second.accept(Report, m_Now);
    }
    CPPUNIT_ASSERT(First.delegateSupport(m_Now).IsMajority);
    CPPUNIT_ASSERT(!Second.delegateSupport(m_Now).IsMajority);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Second.delegateSupport(m_Now).Supporters);
  }

  void delegateSupport_silentDaemon_countsForGracePeriod() {
    auto Registry = registryOf(1, 2);
    Registry.accept(reportOf(vmName(0), 1, 1), m_Now);
    Registry.markUnlisted(vmName(0), m_Now + 5s);
    CPPUNIT_ASSERT(!Registry.delegateSupport(m_Now + 19s).IsMajority);
    CPPUNIT_ASSERT(Registry.delegateSupport(m_Now + 21s).IsMajority);
  }

  void summarizeDomain_rateLimits_newestLimitAndNewestNoneAreKept() {
    auto Registry = registryOf(0, 3);
    auto Report = reportOf(vmName(1), 1, 1);
    Report.RateLimits = {{7, 2.0, 100ms}, {8, 1.0, 100ms}};
    Registry.accept(Report, m_Now);
    Report = reportOf(vmName(2), 1, 1);
    Report.RateLimits = {{7, 3.0, 120ms}, {7, std::nullopt, 150ms}};
    Registry.accept(Report, m_Now + 200ms);
    const auto Summary =
        Registry.summarizeDomain(reportOf(vmName(0), 1, 1), m_Now + 300ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Summary.RateLimits.size());
    CPPUNIT_ASSERT_EQUAL(3.0, Summary.RateLimits.at(0).PerSecond.value());
    CPPUNIT_ASSERT(Summary.RateLimits.at(0).Age == 220ms);
    CPPUNIT_ASSERT(!Summary.RateLimits.at(1).PerSecond);
    CPPUNIT_ASSERT(Summary.RateLimits.at(1).Age == 250ms);
    CPPUNIT_ASSERT(Summary.RateLimits.at(2).Age == 400ms);
  }

  void summaryWithout_daemon_excludesItsLoads() {
    auto Registry = registryOf(0, 3);
    Registry.accept(reportOf(vmName(1), 1, 1), m_Now);
    Registry.accept(reportOf(vmName(2), 1, 1), m_Now);
    const auto Summary =
        Registry.summarizeDomain(reportOf(vmName(0), 1, 1), m_Now);
    const auto ForPeer = Registry.summaryWithout(vmName(1), Summary);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), ForPeer.DaemonCount);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), ForPeer.Loads.at(0).Running);
    CPPUNIT_ASSERT_EQUAL(TokenCount(1000), ForPeer.Loads.at(0).Prefill);
  }

  void peerLoads_ownSummary_replacesReports() {
    auto Registry = registryOf(0, 3);
    Registry.accept(reportOf(vmName(1), 1, 1), m_Now);
    auto Summary = reportOf(vmName(1), 1, 2);
    Summary.IsDomainSummary = true;
    Summary.DaemonCount = 40;
    Summary.Loads = {{7, 11, 0}};
    Registry.accept(Summary, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(11),
                         Registry.peerLoads(m_Now).at(7).Running);
    CPPUNIT_ASSERT(Registry.remoteDomainLoads(m_Now).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(40),
                         Registry.countReachableInOwnDomain(m_Now));
  }
  void encodeReport_thenDecodeReport_preservesFields() {
    auto Report = reportOf("a", 5, 9);
    Report.Usage["x"] = {100, 20, -3};
    Report.Usage["y"] = {1, 2, 3, true};
    Report.LeavingTargets.push_back({13, 3});
    Report.AnnouncedLeaving.push_back(14);
    Report.RateLimits = {{15, 2.5, 30ms}, {16, std::nullopt, 0ms}};
    Report.Delegate = "b";
    Report.Stopping = true;
    const auto Decoded = decodeReport(encodeReport(Report));
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Decoded->Vm);
    CPPUNIT_ASSERT(Decoded->Stopping);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), Decoded->Loads.at(0).Running);
    CPPUNIT_ASSERT_EQUAL(-3.0, Decoded->Usage.at("x").UnitsLeft);
    CPPUNIT_ASSERT(!Decoded->Usage.at("x").IsSinceStart);
    CPPUNIT_ASSERT(Decoded->Usage.at("y").IsSinceStart);
    CPPUNIT_ASSERT(Decoded->LeavingTargets.at(0) == (LeavingTarget{13, 3}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(14), Decoded->AnnouncedLeaving.at(0));
    CPPUNIT_ASSERT_EQUAL(2.5, Decoded->RateLimits.at(0).PerSecond.value());
    CPPUNIT_ASSERT(Decoded->RateLimits.at(0).Age == 30ms);
    CPPUNIT_ASSERT(!Decoded->RateLimits.at(1).PerSecond);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Decoded->Delegate);
  }

  void decodeReport_rateLimitOutOfRange_isBounded() {
    auto Report = reportOf("a", 5, 9);
    Report.RateLimits = {{1, std::nan(""), -5s},
                         {2, 3.0, std::chrono::hours(9000)}};
    const auto Decoded = decodeReport(encodeReport(Report));
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT(!Decoded->RateLimits.at(0).PerSecond);
    CPPUNIT_ASSERT(Decoded->RateLimits.at(0).Age == 0s);
    CPPUNIT_ASSERT(Decoded->RateLimits.at(1).Age == 60s);
  }

  void decodeReport_invalidBytes_returnsNothing() {
    CPPUNIT_ASSERT(!decodeReport(""));
    CPPUNIT_ASSERT(!decodeReport("hello"));
    auto Bytes = encodeReport(reportOf("a", 5, 9));
    Bytes.resize(Bytes.size() / 2);
    CPPUNIT_ASSERT(!decodeReport(Bytes));
  }

  /// A stopping daemon still admits requests, so it needs the usage of
  /// customers' limits that the others report.
  void ownDomainEndpoints_stoppingPeer_isIncluded() {
    PeerRegistry Registry("m", FailureDomain("x"));
    Registry.markListed("a", {"10.0.0.1", 7000, FailureDomain("x")});
    auto Report = reportOf("a", 5, 9);
    Report.Stopping = true;
    CPPUNIT_ASSERT(Registry.accept(Report, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Registry.ownDomainEndpoints().size());
  }

  void daemonCount_unlistedPeer_countsForGracePeriod() {
    PeerRegistry Registry("m", FailureDomain("x"));
    Registry.markListed("a", {"10.0.0.1", 7000, FailureDomain("x")});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Registry.daemonCount(m_Now));
    Registry.markUnlisted("a", m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Registry.daemonCount(m_Now + 5s));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Registry.daemonCount(m_Now + 20s));
  }

  void summarizeDomain_ownDomainDaemons_areSummedWithoutRemoteOnes() {
    PeerRegistry Registry("m", FailureDomain("x"));
    Registry.accept(reportOf("n", 5, 9), m_Now);
    auto RemoteSummary = reportOf("z", 5, 9);
    RemoteSummary.Domain = FailureDomain("y");
    RemoteSummary.IsDomainSummary = true;
    RemoteSummary.DaemonCount = 4;
    Registry.accept(RemoteSummary, m_Now);
    const auto Summary = Registry.summarizeDomain(reportOf("m", 1, 1), m_Now);
    CPPUNIT_ASSERT(Summary.IsDomainSummary);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), Summary.DaemonCount);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), Summary.Loads.at(0).Running);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(6),
                         Registry.peerLoads(m_Now).at(7).Running);
  }

  void isDelegate_firstReachableByName_nextAfterTimeout() {
    PeerRegistry Registry("m", FailureDomain("x"));
    CPPUNIT_ASSERT(Registry.isDelegate(m_Now));
    Registry.accept(reportOf("a", 5, 9), m_Now);
    CPPUNIT_ASSERT(!Registry.isDelegate(m_Now));
    CPPUNIT_ASSERT(Registry.isDelegate(m_Now + 2s));
  }

  void accept_summaryOfOtherDelegate_onlyAfterTimeout() {
    PeerRegistry Registry("m", FailureDomain("x"));
    auto First = reportOf("z1", 9, 50);
    First.Domain = FailureDomain("y");
    First.IsDomainSummary = true;
    auto Second = First;
    Second.Vm = "z2";
    Second.Incarnation = 3;
    Second.Sequence = 1;
    CPPUNIT_ASSERT(Registry.accept(First, m_Now));
    CPPUNIT_ASSERT(!Registry.accept(Second, m_Now + 100ms));
    CPPUNIT_ASSERT(Registry.accept(Second, m_Now + 700ms));
  }

  void accept_olderReport_isRejected() {
    PeerRegistry Registry("m", FailureDomain("x"));
    CPPUNIT_ASSERT(Registry.accept(reportOf("a", 5, 9), m_Now));
    CPPUNIT_ASSERT(!Registry.accept(reportOf("a", 5, 9), m_Now));
    CPPUNIT_ASSERT(!Registry.accept(reportOf("a", 4, 20), m_Now));
    CPPUNIT_ASSERT(!Registry.accept(reportOf("a", 5, 8), m_Now + 5s));
    CPPUNIT_ASSERT(Registry.accept(reportOf("a", 5, 10), m_Now + 5s));
  }

  // Regression: a process that had started at an earlier time of day than the
  // one before was ignored for as long as it lived.
  void accept_reportOfNextProcess_replacesFormerWhateverItsId() {
    for (const std::uint64_t Next : {4, 6}) {
      PeerRegistry Registry("m", FailureDomain("x"));
      CPPUNIT_ASSERT(Registry.accept(reportOf("a", 5, 9), m_Now));
      CPPUNIT_ASSERT(Registry.accept(reportOf("a", Next, 1), m_Now + 700ms));
      CPPUNIT_ASSERT(Registry.accept(reportOf("a", Next, 2), m_Now + 800ms));
      CPPUNIT_ASSERT(!Registry.accept(reportOf("a", 5, 10), m_Now + 810ms));
    }
  }

  void observe_nextProcess_dropsReportOfFormer() {
    PeerRegistry Registry("m", FailureDomain("x"));
    CPPUNIT_ASSERT(Registry.accept(reportOf("a", 5, 9), m_Now));
    CPPUNIT_ASSERT(!Registry.peerLoads(m_Now + 700ms).empty());
    Registry.observe("a", 4, m_Now + 700ms);
    CPPUNIT_ASSERT(Registry.peerLoads(m_Now + 700ms).empty());
  }

  void remoteDomainLoads_ownDomainReport_isExcluded() {
    PeerRegistry Registry("m", FailureDomain("x"));
    CPPUNIT_ASSERT(Registry.accept(reportOf("a", 1, 1), m_Now));
    auto Summary = reportOf("b", 1, 1);
    Summary.Domain = FailureDomain("y");
    Summary.IsDomainSummary = true;
    CPPUNIT_ASSERT(Registry.accept(Summary, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(6),
                         Registry.peerLoads(m_Now).at(7).Running);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3),
                         Registry.remoteDomainLoads(m_Now).at(7).Running);
  }

  void peerLoads_expiredReports_areExcluded() {
    PeerRegistry Registry("m", FailureDomain("x"));
    Registry.accept(reportOf("a", 5, 9), m_Now);
    Registry.accept(reportOf("b", 5, 9), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(6),
                         Registry.peerLoads(m_Now).at(7).Running);
    CPPUNIT_ASSERT(Registry.peerLoads(m_Now + 5s).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerRegistryTest);

} // namespace mangodeck
