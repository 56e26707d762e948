#include "mangodeck/gateway/peerregistry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class PeerRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerRegistryTest);
  CPPUNIT_TEST(report_encodedAndDecoded_isTheSame);
  CPPUNIT_TEST(report_foreignBytes_areNoReport);
  CPPUNIT_TEST(addresses_stoppingPeer_isStillToldOfUse);
  CPPUNIT_TEST(daemonCount_peerUnlisted_countsUntilCutsHaveEnded);
  CPPUNIT_TEST(digest_homeDaemons_areSummedAndOthersLeftOut);
  CPPUNIT_TEST(delegate_firstByNameOfThoseHeard_andNextWhenSilent);
  CPPUNIT_TEST(accept_digestOfOtherDelegate_onlyAfterSilence);
  CPPUNIT_TEST(accept_olderReport_isIgnored);
  CPPUNIT_TEST(loads_silentPeer_countNoLonger);
  CPPUNIT_TEST(awayLoads_homeAndDigest_areOfDigestOnly);
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
  void report_encodedAndDecoded_isTheSame() {
    auto Report = reportOf("a", 5, 9);
    Report.Usage["x"] = {100, 20, -3};
    Report.CrashMarks.push_back({11, 12});
    Report.LeavingTargets.push_back(13);
    Report.Stopping = true;
    const auto Read = decodeReport(encodeReport(Report));
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Read->Vm);
    CPPUNIT_ASSERT(Read->Stopping);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), Read->Loads.at(0).Running);
    CPPUNIT_ASSERT_EQUAL(-3.0, Read->Usage.at("x").Level);
    CPPUNIT_ASSERT(Read->CrashMarks.at(0) == (CrashMark{11, 12}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(13), Read->LeavingTargets.at(0));
  }

  void report_foreignBytes_areNoReport() {
    CPPUNIT_ASSERT(!decodeReport(""));
    CPPUNIT_ASSERT(!decodeReport("hello"));
    auto Bytes = encodeReport(reportOf("a", 5, 9));
    Bytes.resize(Bytes.size() / 2);
    CPPUNIT_ASSERT(!decodeReport(Bytes));
  }

  void addresses_stoppingPeer_isStillToldOfUse() {
    PeerRegistry Table("m", FailureDomain("x"));
    Table.markListed("a", {"10.0.0.1", 7000, FailureDomain("x")});
    auto Report = reportOf("a", 5, 9);
    Report.Stopping = true;
    CPPUNIT_ASSERT(Table.accept(Report, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Table.ownDomainEndpoints().size());
  }

  void daemonCount_peerUnlisted_countsUntilCutsHaveEnded() {
    PeerRegistry Table("m", FailureDomain("x"));
    Table.markListed("a", {"10.0.0.1", 7000, FailureDomain("x")});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Table.daemonCount(m_Now));
    Table.markUnlisted("a", m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Table.daemonCount(m_Now + 5s));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Table.daemonCount(m_Now + 20s));
  }

  void digest_homeDaemons_areSummedAndOthersLeftOut() {
    PeerRegistry Table("m", FailureDomain("x"));
    Table.accept(reportOf("n", 5, 9), m_Now);
    auto Away = reportOf("z", 5, 9);
    Away.Domain = FailureDomain("y");
    Away.IsDomainSummary = true;
    Away.DaemonCount = 4;
    Table.accept(Away, m_Now);
    const auto Sum = Table.summarizeDomain(reportOf("m", 1, 1), m_Now);
    CPPUNIT_ASSERT(Sum.IsDomainSummary);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), Sum.DaemonCount);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), Sum.Loads.at(0).Running);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(6),
                         Table.peerLoads(m_Now).at(7).Running);
  }

  void delegate_firstByNameOfThoseHeard_andNextWhenSilent() {
    PeerRegistry Table("m", FailureDomain("x"));
    CPPUNIT_ASSERT(Table.isDelegate(m_Now));
    Table.accept(reportOf("a", 5, 9), m_Now);
    CPPUNIT_ASSERT(!Table.isDelegate(m_Now));
    CPPUNIT_ASSERT(Table.isDelegate(m_Now + 2s));
  }

  void accept_digestOfOtherDelegate_onlyAfterSilence() {
    PeerRegistry Table("m", FailureDomain("x"));
    auto First = reportOf("z1", 9, 50);
    First.Domain = FailureDomain("y");
    First.IsDomainSummary = true;
    auto Second = First;
    Second.Vm = "z2";
    Second.Incarnation = 3;
    Second.Sequence = 1;
    CPPUNIT_ASSERT(Table.accept(First, m_Now));
    CPPUNIT_ASSERT(!Table.accept(Second, m_Now + 100ms));
    CPPUNIT_ASSERT(Table.accept(Second, m_Now + 700ms));
  }

  void accept_olderReport_isIgnored() {
    PeerRegistry Table("m", FailureDomain("x"));
    CPPUNIT_ASSERT(Table.accept(reportOf("a", 5, 9), m_Now));
    CPPUNIT_ASSERT(!Table.accept(reportOf("a", 5, 9), m_Now));
    CPPUNIT_ASSERT(!Table.accept(reportOf("a", 4, 20), m_Now));
    CPPUNIT_ASSERT(Table.accept(reportOf("a", 6, 1), m_Now));
  }

  void awayLoads_homeAndDigest_areOfDigestOnly() {
    PeerRegistry Table("m", FailureDomain("x"));
    CPPUNIT_ASSERT(Table.accept(reportOf("a", 1, 1), m_Now));
    auto Digest = reportOf("b", 1, 1);
    Digest.Domain = FailureDomain("y");
    Digest.IsDomainSummary = true;
    CPPUNIT_ASSERT(Table.accept(Digest, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(6),
                         Table.peerLoads(m_Now).at(7).Running);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3),
                         Table.remoteDomainLoads(m_Now).at(7).Running);
  }

  void loads_silentPeer_countNoLonger() {
    PeerRegistry Table("m", FailureDomain("x"));
    Table.accept(reportOf("a", 5, 9), m_Now);
    Table.accept(reportOf("b", 5, 9), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(6),
                         Table.peerLoads(m_Now).at(7).Running);
    CPPUNIT_ASSERT(Table.peerLoads(m_Now + 5s).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerRegistryTest);

} // namespace mangodeck
