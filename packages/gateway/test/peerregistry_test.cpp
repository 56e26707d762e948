#include "mangodeck/gateway/peerregistry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class PeerRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerRegistryTest);
  CPPUNIT_TEST(encodeReport_thenDecodeReport_preservesFields);
  CPPUNIT_TEST(decodeReport_invalidBytes_returnsNothing);
  CPPUNIT_TEST(ownDomainEndpoints_stoppingPeer_isIncluded);
  CPPUNIT_TEST(daemonCount_unlistedPeer_countsForGracePeriod);
  CPPUNIT_TEST(summarizeDomain_ownDomainDaemons_areSummedWithoutRemoteOnes);
  CPPUNIT_TEST(isDelegate_firstReachableByName_nextAfterTimeout);
  CPPUNIT_TEST(accept_summaryOfOtherDelegate_onlyAfterTimeout);
  CPPUNIT_TEST(accept_olderReport_isRejected);
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

public:
  void encodeReport_thenDecodeReport_preservesFields() {
    auto Report = reportOf("a", 5, 9);
    Report.Usage["x"] = {100, 20, -3};
    Report.CrashRecords.push_back({11, 12});
    Report.LeavingTargets.push_back({13, 3});
    Report.AnnouncedLeaving.push_back(14);
    Report.Stopping = true;
    const auto Decoded = decodeReport(encodeReport(Report));
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Decoded->Vm);
    CPPUNIT_ASSERT(Decoded->Stopping);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), Decoded->Loads.at(0).Running);
    CPPUNIT_ASSERT_EQUAL(-3.0, Decoded->Usage.at("x").UnitsLeft);
    CPPUNIT_ASSERT(Decoded->CrashRecords.at(0) == (CrashRecord{11, 12}));
    CPPUNIT_ASSERT(Decoded->LeavingTargets.at(0) == (LeavingTarget{13, 3}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(14), Decoded->AnnouncedLeaving.at(0));
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
    CPPUNIT_ASSERT(Registry.accept(reportOf("a", 6, 1), m_Now));
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
