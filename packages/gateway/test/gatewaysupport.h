#ifndef MANGODECK_GATEWAY_TEST_GATEWAYSUPPORT_H
#define MANGODECK_GATEWAY_TEST_GATEWAYSUPPORT_H

#include "mangodeck/common/units.h"
#include "mangodeck/gateway/headernames.h"
#include "mangodeck/gateway/targetregistry.h"
#include "mangodeck/http/message.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace mangodeck {

inline HeaderNames testNames() {
  HeaderNames Names;
  Names.AttemptId = "X-Attempt";
  Names.RemainingTime = "X-Left";
  Names.TokenCounts = "X-Tokens";
  Names.PromptParts = "X-Parts";
  Names.OutputHint = "X-Hint";
  Names.LastEventId = "Last-Event-Id";
  Names.ResumedAttempt = "X-Resumes";
  Names.Authorization = "Authorization";
  Names.AuthScheme = "Bearer";
  Names.Customer = "X-Customer";
  Names.ExpectedTarget = "X-Expect";
  Names.NotExecuted = "X-Not-Executed";
  Names.ResponseStamp = "X-Stamp";
  Names.TargetLoad = "X-Load";
  Names.TargetLeaving = "X-Leaving";
  Names.TargetRateLimit = "X-Limit";
  Names.RetryAfter = "Retry-After";
  Names.TargetReportPath = "/report";
  Names.TargetStartField = "born";
  Names.Reserved = {"X-Customer", "X-Expect"};
  return Names;
}

/// A target that answers each request with the next of its scripts, and those
/// beyond the last script by \p Answer; without it they get no answer.
class ScriptedTarget {
public:
  struct Script {
    std::string Bytes;
    bool Close = false; ///< Close the connection afterwards.
    bool Reset = false; ///< Close it with a reset.
    /// Sent one after the other, DripPause apart, after \p Bytes.
    std::vector<std::string> Drips = {};
    /// Sent again and again after \p Bytes until the connection is closed.
    std::string Endless = {};
  };

  explicit ScriptedTarget(asio::io_context &Loop)
      : m_Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0}),
        m_Port(m_Acceptor.local_endpoint().port()) {
    accept();
  }

  std::uint16_t port() const { return m_Port; }
  void close() { m_Acceptor.close(); }
  /// Closes the listener and all connections, as the end of a process does.
  void crash() {
    m_Acceptor.close();
    for (const auto &Weak : m_Sessions)
      if (const auto Open = Weak.lock())
        Open->Socket.close();
    m_Sessions.clear();
  }
  /// Listens again at the same port.
  void restart() {
    const asio::ip::tcp::endpoint Local(asio::ip::make_address("127.0.0.1"),
                                        m_Port);
    m_Acceptor.open(Local.protocol());
    m_Acceptor.set_option(asio::socket_base::reuse_address(true));
    m_Acceptor.bind(Local);
    m_Acceptor.listen();
    accept();
  }

  std::vector<Script> Scripts;
  Duration DripPause = 100ms;
  bool ResetAfterDrips = false; ///< Reset the connection after the last one.
  std::function<std::string(const std::string &Request)> Answer;
  /// Gives the script for a request beyond the last one of Scripts, in place of
  /// Answer.
  std::function<Script(const std::string &Request)> ScriptFor;
  /// Time after which \p Answer is called.
  Duration AnswerDelay{0};
  std::vector<std::string> Requests;
  std::size_t EndlessBytes = 0; ///< Sent by Script::Endless.

private:
  struct Session {
    explicit Session(asio::ip::tcp::socket S) : Socket(std::move(S)) {}
    asio::ip::tcp::socket Socket;
    std::array<char, 4096> Buffer;
    std::string Read;
  };

  void accept() {
    m_Acceptor.async_accept(
        [this](std::error_code Error, asio::ip::tcp::socket Socket) {
          if (Error)
            return;
          const auto New = std::make_shared<Session>(std::move(Socket));
          m_Sessions.push_back(New);
          read(New);
          accept();
        });
  }

  void read(std::shared_ptr<Session> Client) {
    Client->Socket.async_read_some(
        asio::buffer(Client->Buffer),
        [this, Client](std::error_code Error, std::size_t Size) {
          if (Error)
            return;
          Client->Read.append(Client->Buffer.data(), Size);
          if (Client->Read.find("\r\n\r\n") != std::string::npos)
            answer(Client);
          else
            read(Client);
        });
  }

  void answer(const std::shared_ptr<Session> &Client) {
    const auto Index = Requests.size();
    Requests.push_back(Client->Read);
    Client->Read.clear();
    if (Index >= Scripts.size() && !ScriptFor)
      return answerLater(Client, Requests.back());
    const auto Next =
        Index < Scripts.size() ? Scripts[Index] : ScriptFor(Requests.back());
    std::error_code Ignored;
    asio::write(Client->Socket, asio::buffer(Next.Bytes), Ignored);
    if (Next.Reset)
      Client->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    if (Next.Close || Next.Reset)
      Client->Socket.close(Ignored);
    else
      read(Client);
    drip(Client, std::make_shared<std::vector<std::string>>(Next.Drips), 0);
    if (!Next.Endless.empty())
      sendEndlessly(Client, std::make_shared<std::string>(Next.Endless));
  }

  void sendEndlessly(const std::shared_ptr<Session> &Client,
                     const std::shared_ptr<std::string> &Bytes) {
    asio::async_write(Client->Socket, asio::buffer(*Bytes),
                      [this, Client, Bytes](std::error_code Error, auto Size) {
                        EndlessBytes += Size;
                        if (!Error)
                          sendEndlessly(Client, Bytes);
                      });
  }

  void answerLater(const std::shared_ptr<Session> &Client,
                   const std::string &Request) {
    if (!Answer)
      return read(Client);
    auto Timer = std::make_shared<asio::steady_timer>(
        Client->Socket.get_executor(), AnswerDelay);
    Timer->async_wait([this, Timer, Client, Request](std::error_code) {
      if (!Client->Socket.is_open())
        return;
      const auto Bytes = Answer(Request);
      std::error_code Ignored;
      asio::write(Client->Socket, asio::buffer(Bytes), Ignored);
      read(Client);
    });
  }

  void drip(const std::shared_ptr<Session> &Client,
            const std::shared_ptr<std::vector<std::string>> &Drips,
            std::size_t Index) {
    if (Index >= Drips->size()) {
      std::error_code Ignored;
      if (!Drips->empty() && ResetAfterDrips) {
        Client->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
        Client->Socket.close(Ignored);
      }
      return;
    }
    auto Timer = std::make_shared<asio::steady_timer>(
        Client->Socket.get_executor(), DripPause);
    Timer->async_wait([this, Timer, Client, Drips, Index](std::error_code) {
      std::error_code Error;
      asio::write(Client->Socket, asio::buffer((*Drips)[Index]), Error);
      if (!Error)
        drip(Client, Drips, Index + 1);
    });
  }

  asio::ip::tcp::acceptor m_Acceptor;
  std::uint16_t m_Port;
  std::vector<std::weak_ptr<Session>> m_Sessions;
};

inline std::string
plainAnswer(const std::string &Id, int Status = 200,
            const std::string &ExtraFields = "X-Stamp: r\r\n") {
  return "HTTP/1.1 " + std::to_string(Status) + " S\r\nX-Attempt: " + Id +
         "\r\n" + ExtraFields + "Content-Length: 2\r\n\r\nok";
}

inline std::string streamHead(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\nX-Attempt: " + Id +
         "\r\nX-Stamp: r\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string eventChunk(int Id) {
  const auto Text = "id: " + std::to_string(Id) + "\ndata: x\n\n";
  std::string Out;
  http::appendChunk(Out, Text);
  return Out;
}

/// The registration of \p Target for service "s".
inline TargetEntry entry(const char *Id, const ScriptedTarget &Target,
                         const char *Domain, bool Draining = false) {
  TargetEntry Entry;
  Entry.Id = TargetName(Id);
  Entry.Service = ServiceName("s");
  Entry.Domain = FailureDomain(Domain);
  Entry.Ip = "127.0.0.1";
  Entry.Port = Target.port();
  Entry.Slots = 4;
  Entry.Draining = Draining;
  return Entry;
}

/// A port that no socket of 127.0.0.1 uses, below those that the kernel gives
/// to outgoing connections; another one at each call.
inline std::uint16_t freePort() {
  constexpr unsigned First = 10000;
  constexpr unsigned Count = 20000;
  static unsigned Next = static_cast<unsigned>(::getpid()) * 64;
  asio::io_context Loop;
  for (;;) {
    const auto Port = static_cast<std::uint16_t>(First + Next++ % Count);
    asio::ip::tcp::acceptor Acceptor(Loop);
    std::error_code Error;
    Acceptor.open(asio::ip::tcp::v4(), Error);
    if (!Error)
      Acceptor.bind({asio::ip::make_address("127.0.0.1"), Port}, Error);
    if (!Error)
      return Port;
  }
}

} // namespace mangodeck

#endif
