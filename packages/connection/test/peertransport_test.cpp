#include "peercodec.h"
#include "peersamples.h"
#include "peersupport.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

static const std::string Key = "a-key-of-16-bytes";

class PeerTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTransportTest);
  CPPUNIT_TEST(transport_everyKindBothWays_arrivesInOrder);
  CPPUNIT_TEST(transport_relayGoesSilent_opensNewConnectionAndTells);
  CPPUNIT_TEST(transport_bothDialAtOnce_keepOneConnection);
  CPPUNIT_TEST(transport_peerRestarts_isConnectedAgain);
  CPPUNIT_TEST(transport_peerRemoved_isClosedAndUnknown);
  CPPUNIT_TEST(transport_queueFull_refusesMessages);
  CPPUNIT_TEST(transport_handlerStalls_pushesBackAndLosesNothing);
  CPPUNIT_TEST(transport_keysBeingReplaced_stillConnect);
  CPPUNIT_TEST(transport_wrongKey_isRefused);
  CPPUNIT_TEST(transport_newerPeer_unknownPartsAreLeftOut);
  CPPUNIT_TEST(transport_malformedMessage_isCountedAndSkipped);
  CPPUNIT_TEST(transport_oversizedFrame_closesConnection);
  CPPUNIT_TEST(transport_noHttp2_closesConnection);
  CPPUNIT_TEST(transport_peerThatDoesNotDeflate_isSpokenToPlainly);
  CPPUNIT_TEST(transport_message_carriesTheHybridClock);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    CPPUNIT_ASSERT(!m_A.Transport.start(m_A.Handler));
    CPPUNIT_ASSERT(!m_B.Transport.start(m_B.Handler));
  }

  void tearDown() override {
    m_B.Handler.block(false);
    m_A.Transport.stop();
    m_B.Transport.stop();
  }

  void transport_everyKindBothWays_arrivesInOrder() {
    m_A.listPeer("vm-b", m_B.address());
    const auto Samples = samplePeerMessages(m_A.Source.now());
    for (const auto &Message : Samples)
      CPPUNIT_ASSERT(m_A.Transport.send(VmName("vm-b"), Message));
    CPPUNIT_ASSERT(m_B.Handler.waitForMessages(Samples.size()));
    for (const auto &Message : Samples) // vm-b answers without a list.
      CPPUNIT_ASSERT(m_B.Transport.send(VmName("vm-a"), Message));
    CPPUNIT_ASSERT(m_A.Handler.waitForMessages(Samples.size()));
    for (std::size_t I = 0; I < Samples.size(); ++I) {
      CPPUNIT_ASSERT_EQUAL(I, m_B.Handler.Messages[I].index());
      CPPUNIT_ASSERT_EQUAL(I, m_A.Handler.Messages[I].index());
    }
    CPPUNIT_ASSERT_EQUAL(1, m_A.Handler.Connected.load());
    const auto Counted = m_A.Transport.statistics().at(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(15), Counted.MessagesSent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(15), Counted.MessagesReceived);
    CPPUNIT_ASSERT(Counted.BytesSent > 500 && Counted.BytesReceived > 500);
  }

  void transport_relayGoesSilent_opensNewConnectionAndTells() {
    SilentRelay Relay(m_B.Transport.port());
    const auto Ticket = sampleTicket(m_A.Source.now());
    m_A.Handler.OnConnected = [this, Ticket](const VmName &Peer) {
      m_A.Transport.send(Peer, Ticket);
    };
    m_A.listPeer("vm-b", PeerDaemon::addressOf(Relay.port()));
    m_A.Transport.send(VmName("vm-b"), FetchRevisions{1});
    CPPUNIT_ASSERT(m_B.Handler.waitForMessages(2));
    Relay.freeze();
    m_A.Transport.send(VmName("vm-b"), FetchRevisions{2});
    CPPUNIT_ASSERT(
        m_A.Handler.waitFor([&] { return m_A.Handler.Connected == 2; }));
    CPPUNIT_ASSERT(m_B.Handler.waitForMessages(3));
    const auto &Last = std::get<SubmitTicket>(m_B.Handler.Messages.back());
    CPPUNIT_ASSERT(Last.Request.Id == Ticket.Request.Id);
    CPPUNIT_ASSERT_EQUAL(1, m_A.Handler.Lost.load());
  }

  /// Whichever attempt wins, both ends agree on one connection, and what is
  /// sent after it was told arrives.
  void transport_bothDialAtOnce_keepOneConnection() {
    for (int Round = 0; Round < 10; ++Round) {
      PeerDaemon C("vm-c"), D("vm-d");
      for (auto *Daemon : {&C, &D})
        Daemon->Handler.OnConnected = [Daemon](const VmName &Peer) {
          Daemon->Transport.send(Peer, FetchRevisions{1});
        };
      C.Transport.start(C.Handler);
      D.Transport.start(D.Handler);
      C.listPeer("vm-d", D.address());
      D.listPeer("vm-c", C.address());
      C.Transport.send(VmName("vm-d"), FetchRevisions{0});
      D.Transport.send(VmName("vm-c"), FetchRevisions{0});
      for (auto *Daemon : {&C, &D})
        CPPUNIT_ASSERT(Daemon->Handler.waitFor([&] {
          return !Daemon->Handler.Messages.empty() &&
                 Daemon->Transport.statistics().at(0).Connected;
        }));
      CPPUNIT_ASSERT(C.Handler.Connected <= 2 && D.Handler.Connected <= 2);
      C.Transport.stop();
      D.Transport.stop();
    }
  }

  void transport_peerRestarts_isConnectedAgain() {
    auto First = std::make_unique<PeerDaemon>("vm-c");
    First->Transport.start(First->Handler);
    m_A.listPeer("vm-c", First->address());
    m_A.Transport.send(VmName("vm-c"), FetchRevisions{1});
    CPPUNIT_ASSERT(First->Handler.waitForMessages(1));
    First.reset();
    CPPUNIT_ASSERT(m_A.Handler.waitFor([&] { return m_A.Handler.Lost == 1; }));
    CPPUNIT_ASSERT(m_A.Transport.send(VmName("vm-c"), FetchRevisions{2}));
    PeerDaemon Second("vm-c");
    Second.Transport.start(Second.Handler);
    m_A.listPeer("vm-c", Second.address());
    CPPUNIT_ASSERT(Second.Handler.waitForMessages(1));
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(2),
        std::get<FetchRevisions>(Second.Handler.Messages.at(0)).After);
  }

  void transport_peerRemoved_isClosedAndUnknown() {
    m_A.listPeer("vm-b", m_B.address());
    m_A.Transport.send(VmName("vm-b"), FetchRevisions{1});
    CPPUNIT_ASSERT(m_B.Handler.waitForMessages(1));
    m_A.Transport.setPeers({});
    CPPUNIT_ASSERT(m_B.Handler.waitFor([&] { return m_B.Handler.Lost == 1; }));
    CPPUNIT_ASSERT(m_A.Handler.waitFor([&] { return m_A.Handler.Lost == 1; }));
    CPPUNIT_ASSERT(m_A.Transport.flush(10s));
    CPPUNIT_ASSERT(!m_A.Transport.send(VmName("vm-b"), FetchRevisions{2}));
    CPPUNIT_ASSERT(m_A.Transport.statistics().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_A.Transport.totals().MessagesSent);
  }

  void transport_queueFull_refusesMessages() {
    CPPUNIT_ASSERT(!m_A.Transport.send(VmName("vm-x"), FetchRevisions{1}));
    m_A.listPeer("vm-x", "127.0.0.1:1");
    for (int I = 0; I < 1000; ++I)
      CPPUNIT_ASSERT(m_A.Transport.send(VmName("vm-x"), FetchRevisions{1}));
    CPPUNIT_ASSERT(!m_A.Transport.send(VmName("vm-x"), FetchRevisions{1}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         m_A.Transport.statistics().at(0).MessagesDropped);
    m_A.listPeer("vm-y", "127.0.0.1:1");
    const OfferRevisions TooLong{{{1, std::string(65 << 10, 'v')}}};
    CPPUNIT_ASSERT(!m_A.Transport.send(VmName("vm-y"), TooLong));
  }

  void transport_handlerStalls_pushesBackAndLosesNothing() {
    m_A.listPeer("vm-b", m_B.address());
    m_B.Handler.block(true);
    constexpr int Bound = 20000;
    std::string Value; // Random, so that it cannot be compressed.
    SeededRandom Random(3);
    while (Value.size() < 16 << 10)
      Value += static_cast<char>(Random.next());
    std::uint64_t Accepted = 0;
    bool Refused = false;
    for (int I = 0; I < Bound && !Refused; ++I) {
      Refused = !m_A.Transport.send(VmName("vm-b"),
                                    OfferRevisions{{{Accepted, Value}}});
      Accepted += !Refused;
    }
    CPPUNIT_ASSERT(Refused);
    CPPUNIT_ASSERT(m_A.Transport.statistics().at(0).QueuedBytes <= 1 << 20);
    m_B.Handler.block(false);
    CPPUNIT_ASSERT(m_B.Handler.waitForMessages(Accepted));
    for (std::uint64_t I = 0; I < Accepted; ++I)
      CPPUNIT_ASSERT_EQUAL(
          I,
          std::get<OfferRevisions>(m_B.Handler.Messages[I]).Entries[0].Number);
  }

  void transport_keysBeingReplaced_stillConnect() {
    PeerDaemon C("vm-c", {"the-new-key-16-bytes", Key});
    C.Transport.start(C.Handler);
    C.listPeer("vm-b", m_B.address());
    PeerDaemon D("vm-d", {Key, "the-new-key-16-bytes"});
    D.Transport.start(D.Handler);
    D.listPeer("vm-c", C.address());
    D.Transport.send(VmName("vm-c"), FetchRevisions{1});
    CPPUNIT_ASSERT(C.Handler.waitForMessages(1));
  }

  void transport_wrongKey_isRefused() {
    RawPeer Raw("vm-x", "another-key-16-bytes", "");
    Raw.run("vm-a", m_A.Transport.port(), [] { return false; });
    CPPUNIT_ASSERT(Raw.Closed && !Raw.Authenticated);
    // A dialer that claims to be right does not get in either.
    PeerDaemon C("vm-c", {"another-key-16-bytes"});
    C.Transport.start(C.Handler);
    C.listPeer("vm-a", m_A.address());
    C.Transport.send(VmName("vm-a"), FetchRevisions{1});
    m_A.listPeer("vm-b", m_B.address());
    m_A.Transport.send(VmName("vm-b"), FetchRevisions{1});
    CPPUNIT_ASSERT(m_B.Handler.waitForMessages(1));
    CPPUNIT_ASSERT_EQUAL(0, C.Handler.Connected.load());
    CPPUNIT_ASSERT_EQUAL(1, m_A.Handler.Connected.load());
  }

  void transport_newerPeer_unknownPartsAreLeftOut() {
    const std::string UnknownField("\xc2\x3e\x03new", 6);
    std::string Bytes;
    appendFrame(Bytes, encodePeerMessage(FetchRevisions{5}, m_A.Source.now()),
                UnknownField);
    appendFrame(Bytes, UnknownField);
    appendFrame(Bytes, encodePeerMessage(FetchRevisions{6}, m_A.Source.now()));
    expectRevisions(Bytes, {5, 6}, 1);
  }

  void transport_malformedMessage_isCountedAndSkipped() {
    std::string Bytes;
    appendFrame(Bytes, "\x0a\xff\xff");
    appendFrame(Bytes, encodePeerMessage(FetchRevisions{7}, m_A.Source.now()));
    expectRevisions(Bytes, {7}, 1);
  }

  void transport_oversizedFrame_closesConnection() {
    std::string Bytes;
    appendFrame(Bytes, std::string(65 << 10, 'x'));
    RawPeer Raw("vm-x", Key, Bytes);
    Raw.run("vm-a", m_A.Transport.port(), [] { return false; });
    CPPUNIT_ASSERT(Raw.Authenticated && Raw.Closed);
    CPPUNIT_ASSERT(m_A.Handler.waitFor([&] { return m_A.Handler.Lost == 1; }));
  }

  void transport_noHttp2_closesConnection() {
    asio::io_context Context;
    asio::ip::tcp::socket Socket(Context);
    Socket.connect({asio::ip::address_v4::loopback(), m_A.Transport.port()});
    asio::write(Socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    std::error_code Error;
    char Byte[256];
    while (!Error)
      Socket.read_some(asio::buffer(Byte), Error);
    CPPUNIT_ASSERT_EQUAL(0, m_A.Handler.Connected.load());
  }

  void transport_peerThatDoesNotDeflate_isSpokenToPlainly() {
    PeerDaemon Plain("vm-c", {Key}, 1 << 20, false);
    Plain.Transport.start(Plain.Handler);
    m_A.listPeer("vm-c", Plain.address());
    Plain.listPeer("vm-b", m_B.address());
    const auto Samples = samplePeerMessages(m_A.Source.now());
    for (const auto &Message : Samples) {
      m_A.Transport.send(VmName("vm-c"), Message);
      Plain.Transport.send(VmName("vm-b"), Message);
    }
    CPPUNIT_ASSERT(Plain.Handler.waitForMessages(Samples.size()));
    CPPUNIT_ASSERT(m_B.Handler.waitForMessages(Samples.size()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         m_B.Transport.totals().MessagesRejected);
    m_A.listPeer("vm-b", m_B.address());
    for (const auto &Message : Samples)
      m_A.Transport.send(VmName("vm-b"), Message);
    CPPUNIT_ASSERT(m_B.Handler.waitForMessages(2 * Samples.size()));
    const auto Counted = m_B.Transport.statistics();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Counted.size());
    CPPUNIT_ASSERT(Counted[1].Peer == VmName("vm-c"));
    CPPUNIT_ASSERT(Counted[1].BytesReceived > 1000);
    CPPUNIT_ASSERT(Counted[0].BytesReceived < Counted[1].BytesReceived);
  }

  void transport_message_carriesTheHybridClock() {
    const auto Ahead =
        HybridTime{m_A.Stamps.tick().Value + (30'000'000ULL << 12)};
    CPPUNIT_ASSERT(m_A.Stamps.merge(Ahead));
    m_A.listPeer("vm-b", m_B.address());
    m_A.Transport.send(VmName("vm-b"), FetchRevisions{1});
    CPPUNIT_ASSERT(m_B.Handler.waitForMessages(1));
    CPPUNIT_ASSERT(Ahead < m_B.Stamps.tick());
  }

private:
  void expectRevisions(std::string Bytes, std::vector<std::uint64_t> Numbers,
                       std::uint64_t Rejected) {
    RawPeer Raw("vm-x", Key, std::move(Bytes));
    PeerStatistics Counted;
    Raw.run("vm-a", m_A.Transport.port(), [&] {
      const auto All = m_A.Transport.statistics();
      if (!All.empty())
        Counted = All[0];
      return Counted.MessagesReceived == Numbers.size();
    });
    CPPUNIT_ASSERT_EQUAL(Rejected, Counted.MessagesRejected);
    CPPUNIT_ASSERT(m_A.Handler.waitForMessages(Numbers.size()));
    for (std::size_t I = 0; I < Numbers.size(); ++I)
      CPPUNIT_ASSERT_EQUAL(
          Numbers[I], std::get<FetchRevisions>(m_A.Handler.Messages[I]).After);
  }

  PeerDaemon m_A{"vm-a"};
  PeerDaemon m_B{"vm-b"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);

} // namespace mangodeck
