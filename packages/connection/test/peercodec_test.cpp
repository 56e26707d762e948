#include "peercodec.h"
#include "peersamples.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace mangodeck {

class PeerCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerCodecTest);
  CPPUNIT_TEST(message_everyKind_encodesTheSameAfterDecoding);
  CPPUNIT_TEST(message_everyKind_staysWithinItsSize);
  CPPUNIT_TEST(ticket_otherClock_keepsItsAgeAndTimeLeft);
  CPPUNIT_TEST(ticket_noDeadline_staysFarAway);
  CPPUNIT_TEST(message_unknownField_isIgnored);
  CPPUNIT_TEST(message_unknownKindOrReason_isTolerated);
  CPPUNIT_TEST(message_cutOrAltered_isRefusedOrReadButNeverCrashes);
  CPPUNIT_TEST(message_valueOutOfRange_isRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Encodings are compared, because they hold every field of every kind.
  void message_everyKind_encodesTheSameAfterDecoding() {
    for (const auto &Message : samplePeerMessages(Now)) {
      const auto Bytes = encodePeerMessage(Message, Now);
      const auto Read = decodePeerMessage(Bytes, Now);
      CPPUNIT_ASSERT(Read && Read->Message);
      CPPUNIT_ASSERT_EQUAL(Message.index(), Read->Message->index());
      CPPUNIT_ASSERT(encodePeerMessage(*Read->Message, Now) == Bytes);
    }
  }

  void message_everyKind_staysWithinItsSize() {
    const std::size_t MaxBytes[] = {200, 70, 90, 40, 60, 80, 90, 400,
                                    10,  60, 90, 60, 50, 80, 90};
    for (const auto &Message : samplePeerMessages(Now)) {
      const auto Size = encodePeerMessage(Message, Now).size();
      fmt::print("message kind {}: {} bytes\n", Message.index(), Size);
      CPPUNIT_ASSERT(Size <= MaxBytes[Message.index()]);
    }
  }

  void ticket_otherClock_keepsItsAgeAndTimeLeft() {
    auto Bytes = encodePeerMessage(sampleTicket(Now), Now);
    Bytes += encodeTrailer(HybridTime{77}, 2s);
    const TimePoint Other{std::chrono::hours(9000)};
    const auto Read = decodePeerMessage(Bytes, Other);
    CPPUNIT_ASSERT(Read && Read->Clock == HybridTime{77});
    const auto &Request = std::get<SubmitTicket>(*Read->Message).Request;
    CPPUNIT_ASSERT(Other - Request.Arrival == 2s + 5ms);
    CPPUNIT_ASSERT(Request.Deadline - Other == 28s);
    CPPUNIT_ASSERT(Request.Service == ServiceName("assistant"));
  }

  void ticket_noDeadline_staysFarAway() {
    auto Message = sampleTicket(Now);
    Message.Request.Deadline = TimePoint::max();
    const auto Read = decodePeerMessage(encodePeerMessage(Message, Now), Now);
    const auto &Request = std::get<SubmitTicket>(*Read->Message).Request;
    CPPUNIT_ASSERT(Request.Deadline > Now + std::chrono::hours(24 * 365));
  }

  void message_unknownField_isIgnored() {
    auto Bytes = encodePeerMessage(sampleTicket(Now), Now);
    Bytes += std::string("\xc2\x3e\x03new", 6); // Field 1000, three bytes.
    const auto Read = decodePeerMessage(Bytes, Now);
    CPPUNIT_ASSERT(Read && Read->Message);
  }

  void message_unknownKindOrReason_isTolerated() {
    const auto Unknown =
        decodePeerMessage(std::string("\xc2\x3e\x01x", 4), Now);
    CPPUNIT_ASSERT(Unknown && !Unknown->Message);
    RefuseTicket Refused{{1, 2}, {static_cast<NotRunReason>(99), 1s}};
    const auto Read = decodePeerMessage(encodePeerMessage(Refused, Now), Now);
    CPPUNIT_ASSERT(std::get<RefuseTicket>(*Read->Message).Reason.Reason ==
                   NotRunReason::Shed);
  }

  void message_cutOrAltered_isRefusedOrReadButNeverCrashes() {
    int Refused = 0;
    for (const auto &Message : samplePeerMessages(Now)) {
      const auto Bytes = encodePeerMessage(Message, Now);
      for (std::size_t I = 0; I < Bytes.size(); ++I) {
        auto Altered = Bytes;
        Altered[I] = static_cast<char>(Altered[I] ^ 0xff);
        Refused += !decodePeerMessage(Altered, Now);
        Refused += !decodePeerMessage(Bytes.substr(0, I), Now);
      }
    }
    CPPUNIT_ASSERT(Refused > 100);
  }

  void message_valueOutOfRange_isRefused() {
    auto Message = sampleTicket(Now);
    Message.Request.PromptTokens = -1;
    CPPUNIT_ASSERT(!decodePeerMessage(encodePeerMessage(Message, Now), Now));
    Message = sampleTicket(Now);
    Message.Request.Customer.Text.assign(300, 'c');
    CPPUNIT_ASSERT(!decodePeerMessage(encodePeerMessage(Message, Now), Now));
  }

private:
  static constexpr TimePoint Now{std::chrono::hours(5)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCodecTest);

} // namespace mangodeck
