#include "mangodeck/http/client.h"

#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <memory>
#include <optional>

namespace mangodeck::http {

/// A client of a server that answers on new connections, and can stop answering
/// on those that are open, without closing them.
class ClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(call_openConnectionsSilent_nextCallUsesNewConnection);
  CPPUNIT_TEST(call_oddAnswer_failsAndConnectionIsClosed);
  CPPUNIT_TEST(call_ended_observerIsTold);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    m_SilentUpTo = 0;
    m_Accepted = 0;
    m_Acceptor.emplace(*m_Loop, asio::ip::tcp::endpoint(
                                    asio::ip::make_address("127.0.0.1"), 0));
    accept();
    m_Client.emplace(m_Loop->get_executor(), m_Acceptor->local_endpoint());
  }

  void tearDown() override {
    m_Client.reset();
    m_Acceptor.reset();
    m_Loop.reset();
  }

  // Regression: after a call had timed out on a connection that had gone
  // silent, the next one waited on another connection of before.
  void call_openConnectionsSilent_nextCallUsesNewConnection() {
    int Answered = 0, TimedOut = 0;
    const auto Count = [&](Expected<CallAnswer> Answer) {
      ++(Answer ? Answered : TimedOut);
    };
    m_Client->call("GET", "/1", "", 1s, Count);
    m_Client->call("GET", "/2", "", 1s, Count);
    runUntil([&] { return Answered == 2; });
    CPPUNIT_ASSERT_EQUAL(2, m_Accepted);
    m_SilentUpTo = 2;
    m_Client->call("GET", "/3", "", 100ms, Count);
    runUntil([&] { return TimedOut == 1; });
    m_Client->call("GET", "/4", "", 100ms, Count);
    runUntil([&] { return Answered + TimedOut == 4; });
    CPPUNIT_ASSERT_EQUAL(3, Answered);
  }

  // Regression: the caller of the store got answers with the status 000.
  void call_oddAnswer_failsAndConnectionIsClosed() {
    int Calls = 0;
    for (const std::string Odd :
         {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
          "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}",
          "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}XX"}) {
      m_Answer = Odd;
      std::optional<Expected<CallAnswer>> Got;
      m_Client->call("GET", "/1", "", 1s,
                     [&](Expected<CallAnswer> Answer) { Got = Answer; });
      runUntil([&] { return Got.has_value(); });
      CPPUNIT_ASSERT_MESSAGE(Odd, Got && !*Got);
      CPPUNIT_ASSERT_EQUAL(make_error_code(Errc::MalformedAnswer),
                           Got->error());
      CPPUNIT_ASSERT_EQUAL(++Calls, m_Accepted);
    }
  }

  void call_ended_observerIsTold() {
    struct Recorder : CallObserver {
      void onCallEnded(const CallRecord &Record) override {
        Records.push_back(Record);
        Records.back().Target = {}; // Valid during the call only.
      }
      std::vector<CallRecord> Records;
    } Recorder;
    m_Client.emplace(m_Loop->get_executor(), m_Acceptor->local_endpoint(),
                     &Recorder);
    const auto Ignore = [](Expected<CallAnswer>) {};
    m_Client->call("GET", "/1", "", 1s, Ignore);
    runUntil([&] { return Recorder.Records.size() == 1; });
    m_Client->call("GET", "/2", "", 1s, Ignore);
    runUntil([&] { return Recorder.Records.size() == 2; });
    m_SilentUpTo = 1;
    m_Client->call("GET", "/3", "", 100ms, Ignore);
    runUntil([&] { return Recorder.Records.size() == 3; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Recorder.Records.size());
    const auto &Calls = Recorder.Records;
    CPPUNIT_ASSERT(Calls[0].ConnectTime && !Calls[1].ConnectTime);
    CPPUNIT_ASSERT(!Calls[0].Error && Calls[0].ReceivedBytes > 0);
    CPPUNIT_ASSERT(Calls[2].Error && Calls[2].HadConnection);
    CPPUNIT_ASSERT(Calls[2].Elapsed >= 100ms);
  }

private:
  struct Session {
    asio::ip::tcp::socket Socket;
    int Number;
    std::array<char, 4096> Buffer{};
  };

  void accept() {
    m_Acceptor->async_accept([this](std::error_code Error,
                                    asio::ip::tcp::socket Socket) {
      if (Error)
        return;
      serve(
          std::make_shared<Session>(Session{std::move(Socket), ++m_Accepted}));
      accept();
    });
  }

  void serve(const std::shared_ptr<Session> &Client) {
    Client->Socket.async_read_some(
        asio::buffer(Client->Buffer),
        [this, Client](std::error_code Error, std::size_t) {
          if (Error)
            return;
          std::error_code Ignored; // The client has closed the connection.
          if (Client->Number > m_SilentUpTo)
            asio::write(Client->Socket, asio::buffer(m_Answer), Ignored);
          serve(Client);
        });
  }

  void runUntil(const std::function<bool()> &Done) {
    const auto End = std::chrono::steady_clock::now() + 3s;
    while (!Done() && std::chrono::steady_clock::now() < End) {
      m_Loop->restart();
      m_Loop->run_for(1ms);
    }
  }

  std::optional<asio::io_context> m_Loop;
  std::optional<asio::ip::tcp::acceptor> m_Acceptor;
  std::optional<Client> m_Client;
  std::string m_Answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  int m_SilentUpTo = 0; ///< Connections up to this one get no answer.
  int m_Accepted = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

} // namespace mangodeck::http
