#include "mangodeck/http/callserver.h"

#include "mangodeck/http/parser.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace mangodeck::http {

namespace {

constexpr std::size_t MaxHeadBytes = 4096;
constexpr int ListenBacklog = 64;
/// Time without accepting after an error, e.g. without descriptors.
constexpr Duration AcceptPause = 20ms;

} // namespace

class CallServer::Session : public std::enable_shared_from_this<Session>,
                            private MessageSink {
public:
  Session(CallServer &Server, asio::ip::tcp::socket Socket)
      : m_Server(Server), m_Alive(Server.m_Alive), m_Socket(std::move(Socket)),
        m_Timer(m_Socket.get_executor(), Server.m_Timeout),
        m_Parser(*this, MaxHeadBytes, 0) {
    ++m_Server.m_Connections;
  }
  ~Session() override {
    if (*m_Alive)
      --m_Server.m_Connections;
  }

  void start() {
    m_Timer.async_wait([Weak = weak_from_this()](std::error_code Error) {
      if (const auto Self = Weak.lock(); Self && !Error)
        Self->close();
    });
    read();
  }

private:
  void onHead() override {}
  void onBody(std::string_view) override {}

  void read() {
    m_Socket.async_read_some(
        asio::buffer(m_Buffer),
        [Self = shared_from_this()](std::error_code Error, std::size_t Size) {
          if (!Error && *Self->m_Alive)
            Self->onBytes({Self->m_Buffer.data(), Size});
        });
  }

  void onBytes(std::string_view Bytes) {
    m_Parser.feed(Bytes);
    if (m_Parser.fault() != ParseFault::None)
      return close();
    if (!m_Parser.isComplete())
      return read();
    auto Reply = m_Server.m_Answer(m_Parser.head());
    ResponseHead Head;
    Head.Status = Reply.Status;
    Head.Fields.add("Connection", "close");
    Head.Fields.add("Content-Length", std::to_string(Reply.Body.size()));
    m_Head = serialize(Head);
    m_Body = std::move(Reply.Body);
    const std::array Buffers{asio::buffer(m_Head), asio::buffer(m_Body)};
    asio::async_write(m_Socket, Buffers,
                      [Self = shared_from_this()](
                          std::error_code, std::size_t) { Self->close(); });
  }

  void close() {
    m_Timer.cancel();
    std::error_code Ignored; // The connection is given up in any case.
    m_Socket.shutdown(asio::socket_base::shutdown_both, Ignored);
    m_Socket.close(Ignored);
  }

  CallServer &m_Server;
  std::shared_ptr<bool> m_Alive;
  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  RequestParser m_Parser;
  std::array<char, 2048> m_Buffer;
  std::string m_Head;
  std::string m_Body;
};

CallServer::CallServer(asio::any_io_executor Executor, Handler Answer,
                       std::size_t MaxConnections, Duration Timeout)
    : m_Executor(std::move(Executor)), m_Acceptor(m_Executor),
      m_Answer(std::move(Answer)), m_MaxConnections(MaxConnections),
      m_Timeout(Timeout) {}

CallServer::~CallServer() { *m_Alive = false; }

std::error_code CallServer::listen(const asio::ip::tcp::endpoint &Local) {
  std::error_code Error;
  m_Acceptor.open(Local.protocol(), Error);
  if (!Error)
    m_Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    m_Acceptor.bind(Local, Error);
  if (!Error)
    m_Acceptor.listen(ListenBacklog, Error);
  if (!Error)
    accept();
  return Error;
}

void CallServer::accept() {
  m_Acceptor.async_accept([this, Alive = m_Alive](std::error_code Error,
                                                  asio::ip::tcp::socket New) {
    if (!*Alive || Error == asio::error::operation_aborted)
      return;
    if (Error) {
      auto Pause =
          std::make_shared<asio::steady_timer>(m_Executor, AcceptPause);
      Pause->async_wait([this, Alive, Pause](std::error_code Cancelled) {
        if (*Alive && !Cancelled)
          accept();
      });
      return;
    }
    // A connection beyond the limit is closed here.
    if (m_Connections < m_MaxConnections)
      std::make_shared<Session>(*this, std::move(New))->start();
    accept();
  });
}

} // namespace mangodeck::http
