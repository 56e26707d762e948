#include "mangodeck/gateway/peertable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class PeerTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTableTest);
  CPPUNIT_TEST(report_encodedAndDecoded_isTheSame);
  CPPUNIT_TEST(report_foreignBytes_areNoReport);
  CPPUNIT_TEST(addresses_stoppingPeer_isStillToldOfUse);
  CPPUNIT_TEST(daemonCount_peerUnlisted_countsUntilCutsHaveEnded);
  CPPUNIT_TEST(accept_olderReport_isIgnored);
  CPPUNIT_TEST(loads_silentPeer_countNoLonger);
  CPPUNIT_TEST_SUITE_END();

  static PeerReport reportOf(const std::string &Vm, std::uint64_t Incarnation,
                             std::uint64_t Sequence) {
    PeerReport Report;
    Report.Vm = Vm;
    Report.Incarnation = Incarnation;
    Report.Sequence = Sequence;
    Report.Loads.push_back({7, 3, 500});
    return Report;
  }

  const TimePoint m_Now{std::chrono::hours(1)};

public:
  void report_encodedAndDecoded_isTheSame() {
    auto Report = reportOf("a", 5, 9);
    Report.Use["x"] = {100, 20, -3};
    Report.Crashes.push_back({11, 12});
    Report.Leaving.push_back(13);
    Report.Stopping = true;
    const auto Read = decodeReport(encodeReport(Report));
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Read->Vm);
    CPPUNIT_ASSERT(Read->Stopping);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), Read->Loads.at(0).Running);
    CPPUNIT_ASSERT_EQUAL(-3.0, Read->Use.at("x").Level);
    CPPUNIT_ASSERT(Read->Crashes.at(0) == (CrashMark{11, 12}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(13), Read->Leaving.at(0));
  }

  void report_foreignBytes_areNoReport() {
    CPPUNIT_ASSERT(!decodeReport(""));
    CPPUNIT_ASSERT(!decodeReport("hello"));
    auto Bytes = encodeReport(reportOf("a", 5, 9));
    Bytes.resize(Bytes.size() / 2);
    CPPUNIT_ASSERT(!decodeReport(Bytes));
  }

  void addresses_stoppingPeer_isStillToldOfUse() {
    PeerTable Table;
    Table.add("a", {"10.0.0.1", 7000});
    auto Report = reportOf("a", 5, 9);
    Report.Stopping = true;
    CPPUNIT_ASSERT(Table.accept(Report, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Table.addresses().size());
  }

  void daemonCount_peerUnlisted_countsUntilCutsHaveEnded() {
    PeerTable Table;
    Table.add("a", {"10.0.0.1", 7000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Table.daemonCount(m_Now));
    Table.remove("a", m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Table.daemonCount(m_Now + 5s));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Table.daemonCount(m_Now + 20s));
  }

  void accept_olderReport_isIgnored() {
    PeerTable Table;
    CPPUNIT_ASSERT(Table.accept(reportOf("a", 5, 9), m_Now));
    CPPUNIT_ASSERT(!Table.accept(reportOf("a", 5, 9), m_Now));
    CPPUNIT_ASSERT(!Table.accept(reportOf("a", 4, 20), m_Now));
    CPPUNIT_ASSERT(Table.accept(reportOf("a", 6, 1), m_Now));
  }

  void loads_silentPeer_countNoLonger() {
    PeerTable Table;
    Table.accept(reportOf("a", 5, 9), m_Now);
    Table.accept(reportOf("b", 5, 9), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), Table.loads(m_Now).at(7).Running);
    CPPUNIT_ASSERT(Table.loads(m_Now + 5s).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTableTest);

} // namespace mangodeck
