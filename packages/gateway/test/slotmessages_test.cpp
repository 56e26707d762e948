#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/slotmessages.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangodeck;

namespace {

SlotRequest makeRequest() {
  SlotRequest Request;
  Request.Vm = "vm-1";
  Request.Number = 7;
  Request.Service = ServiceName("s");
  Request.Work.PromptTokens = 100;
  return Request;
}

SlotRequest decodeRequest(const std::string &Bytes) {
  const auto Message = decodeSlotMessage(Bytes);
  CPPUNIT_ASSERT(Message);
  return std::get<SlotRequest>(*Message);
}

} // namespace

/// Two builds of the daemon exchange messages during a release, so fields that
/// were added later may be missing, and are sent only where they are used.
class SlotMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotMessagesTest);
  CPPUNIT_TEST(request_withLaterFields_isDecodedWhole);
  CPPUNIT_TEST(request_withoutLaterFields_isNotLonger);
  CPPUNIT_TEST(update_withPace_isDecodedWhole);
  CPPUNIT_TEST(update_paceOutOfBounds_isIgnored);
  CPPUNIT_TEST(report_withPacesAndOffers_isDecodedWhole);
  CPPUNIT_TEST_SUITE_END();

public:
  void request_withLaterFields_isDecodedWhole() {
    auto Request = makeRequest();
    Request.AvoidedVersion = 11;
    Request.Fingerprint = 12;
    Request.Customer = 13;
    Request.Route = 14;
    Request.Work.MaxOutputTokens = 15;
    Request.Work.OutputSpread = 0.25;
    const auto Decoded = decodeRequest(encodeSlotMessage(Request));
    CPPUNIT_ASSERT_EQUAL(VersionId(11), Decoded.AvoidedVersion);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), Decoded.Fingerprint);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(13), Decoded.Customer);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(14), Decoded.Route);
    CPPUNIT_ASSERT_EQUAL(TokenCount(15), Decoded.Work.MaxOutputTokens);
    CPPUNIT_ASSERT_EQUAL(0.25, Decoded.Work.OutputSpread);
  }

  void request_withoutLaterFields_isNotLonger() {
    auto Request = makeRequest();
    const auto Plain = encodeSlotMessage(Request);
    Request.Work.MaxOutputTokens = 15;
    CPPUNIT_ASSERT_EQUAL(Plain, encodeSlotMessage(Request));
    CPPUNIT_ASSERT_EQUAL(NoVersion, decodeRequest(Plain).AvoidedVersion);
    CPPUNIT_ASSERT_EQUAL(DefaultOutputSpread,
                         decodeRequest(Plain).Work.OutputSpread);
  }

  void update_withPace_isDecodedWhole() {
    SlotUpdate Update;
    Update.Vm = "vm-1";
    Update.Pace = 2.5;
    const auto Message = decodeSlotMessage(encodeSlotMessage(Update));
    CPPUNIT_ASSERT(Message);
    CPPUNIT_ASSERT(std::get<SlotUpdate>(*Message).Pace == 2.5);
  }

  void update_paceOutOfBounds_isIgnored() {
    SlotUpdate Update;
    Update.Vm = "vm-1";
    Update.Pace = -1;
    const auto Message = decodeSlotMessage(encodeSlotMessage(Update));
    CPPUNIT_ASSERT(Message);
    CPPUNIT_ASSERT(!std::get<SlotUpdate>(*Message).Pace);
  }

  void report_withPacesAndOffers_isDecodedWhole() {
    PeerReport Report;
    Report.Vm = "vm-1";
    Report.Paces.push_back({5, 2.5, 40ms});
    Report.Offers.push_back({6, 3.25, 4.5, 120, 60ms});
    Report.RunningRequests.push_back({1, 5, 0, 9000});
    const auto Decoded = decodeReport(encodeReport(Report));
    CPPUNIT_ASSERT(Decoded);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Decoded->Paces.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, Decoded->Paces[0].Pace, 0.01);
    CPPUNIT_ASSERT(Decoded->Paces[0].Age == Duration(40ms));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Decoded->Offers.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), Decoded->Offers[0].Service);
    CPPUNIT_ASSERT_EQUAL(3.25, Decoded->Offers[0].FreeSlots);
    CPPUNIT_ASSERT_EQUAL(4.5, Decoded->Offers[0].LackingSlots);
    CPPUNIT_ASSERT_EQUAL(120.0, Decoded->Offers[0].PerSecond);
    CPPUNIT_ASSERT(Decoded->Offers[0].SlotTime == Duration(60ms));
    CPPUNIT_ASSERT_EQUAL(TokenCount(9000),
                         Decoded->RunningRequests[0].MemoryTokens);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotMessagesTest);
