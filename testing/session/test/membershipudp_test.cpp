#include "mangodeck/common/clock.h"
#include "mangodeck/connection/datagramtransport.h"
#include "mangodeck/process/membership.h"
#include "mangodeck/process/packetcodec.h"

#include <asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

namespace {

constexpr Duration WaitLimit = 20s;

/// One member with a real socket.
class UdpMember {
public:
  UdpMember(asio::io_context &Loop, std::string_view Vm, std::string Key,
            std::uint64_t Seed, std::vector<mangodeck::Seed> Seeds)
      : m_Random(Seed), m_Codec({std::move(Key)}),
        m_Transport(std::move(*openUdpTransport(Loop, "127.0.0.1:0"))) {
    MembershipOptions Options;
    Options.Vm = VmName(Vm);
    Options.Domain = FailureDomain("a");
    Options.Started = 1;
    Options.PeerAddress = m_Transport->localAddress();
    Options.Seeds = std::move(Seeds);
    m_Members = std::make_unique<Membership>(std::move(Options), m_Random);
    m_Transport->start([this](std::string_view Bytes, std::string_view Source) {
      const auto Message = m_Codec.decode(Bytes);
      if (!Message)
        return;
      Membership::Actions Out;
      m_Members->onDatagram(*Message, Source, m_Clock.now(), Out);
      perform(Out);
    });
  }

  void tick() {
    Membership::Actions Out;
    m_Members->tick(m_Clock.now(), Out);
    perform(Out);
  }

  Membership &members() { return *m_Members; }
  PacketCodec &codec() { return m_Codec; }
  std::string address() const { return m_Transport->localAddress(); }

  bool seesLive(std::string_view Vm) const {
    const auto *Found = m_Members->find(VmName(Vm));
    return Found && Found->isLive();
  }

private:
  void perform(const Membership::Actions &Actions) {
    for (const auto &Action : Actions) {
      const auto *Send = std::get_if<SendPacket>(&Action);
      if (!Send)
        continue;
      const auto Bytes = m_Codec.encode(Send->Message);
      CPPUNIT_ASSERT(Bytes.has_value());
      m_Transport->send(Send->Address, *Bytes);
    }
  }

  SystemClock m_Clock;
  SeededRandom m_Random;
  PacketCodec m_Codec;
  std::unique_ptr<DatagramTransport> m_Transport;
  std::unique_ptr<Membership> m_Members;
};

} // namespace

class MembershipUdpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipUdpTest);
  CPPUNIT_TEST(membership_twoOverUdp_findEachOther);
  CPPUNIT_TEST(membership_otherKey_isNotAdmitted);
  CPPUNIT_TEST(transport_badAddress_isRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void membership_twoOverUdp_findEachOther() {
    asio::io_context Loop;
    const std::string Key(16, 'k');
    UdpMember First(Loop, "vm-1", Key, 1, {});
    UdpMember Second(Loop, "vm-2", Key, 2,
                     {{VmName("vm-1"), First.address(), FailureDomain("a")}});
    const bool Joined = runUntil(Loop, {&First, &Second}, [&] {
      return First.seesLive("vm-2") && Second.seesLive("vm-1");
    });
    CPPUNIT_ASSERT(Joined);
    CPPUNIT_ASSERT_EQUAL(Second.address(),
                         First.members().find(VmName("vm-2"))->Address);
  }

  void membership_otherKey_isNotAdmitted() {
    asio::io_context Loop;
    UdpMember First(Loop, "vm-1", std::string(16, 'k'), 1, {});
    UdpMember Second(Loop, "vm-2", std::string(16, 'x'), 2,
                     {{VmName("vm-1"), First.address(), FailureDomain("a")}});
    const bool Dropped = runUntil(Loop, {&First, &Second}, [&] {
      return First.codec().drops().NotAuthentic > 0;
    });
    CPPUNIT_ASSERT(Dropped);
    CPPUNIT_ASSERT(!First.seesLive("vm-2"));
  }

  void transport_badAddress_isRefused() {
    asio::io_context Loop;
    for (const auto *Address : {"", "127.0.0.1", "host:1", "127.0.0.1:99999"})
      CPPUNIT_ASSERT(!openUdpTransport(Loop, Address));
  }

private:
  static bool runUntil(asio::io_context &Loop, std::vector<UdpMember *> Members,
                       const std::function<bool()> &Condition) {
    SystemClock Clock;
    const auto Limit = Clock.now() + WaitLimit;
    while (!Condition() && Clock.now() < Limit) {
      for (auto *Each : Members)
        Each->tick();
      Loop.restart();
      Loop.run_for(20ms);
    }
    return Condition();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipUdpTest);

} // namespace mangodeck
