#ifndef MANGODECK_HTTP_CALLSERVER_H
#define MANGODECK_HTTP_CALLSERVER_H

#include "mangodeck/common/units.h"
#include "mangodeck/http/message.h"

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace mangodeck::http {

/// Status and body of the answer to a call.
struct CallReply {
  int Status = 200;
  std::string Body;
};

/// Answers calls without a body, one on each connection. What a slow or faulty
/// client can use is bounded: the number of connections, the bytes of a head,
/// and the time until the answer has been taken.
class CallServer {
public:
  using Handler = std::function<CallReply(const RequestHead &Call)>;

  /// Answers at most \p MaxConnections at the same time and closes others.
  CallServer(asio::any_io_executor Executor, Handler Answer,
             std::size_t MaxConnections, Duration Timeout);
  ~CallServer();
  CallServer(const CallServer &) = delete;
  CallServer &operator=(const CallServer &) = delete;

  std::error_code listen(const asio::ip::tcp::endpoint &Local);
  std::size_t connections() const { return m_Connections; }

private:
  class Session;
  void accept();

  asio::any_io_executor m_Executor;
  asio::ip::tcp::acceptor m_Acceptor;
  Handler m_Answer;
  std::size_t m_MaxConnections;
  Duration m_Timeout;
  std::size_t m_Connections = 0;
  /// False after the destructor; checked by sessions that end later.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace mangodeck::http

#endif
