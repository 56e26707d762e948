#ifndef MANGODECK_HTTP_CLIENT_H
#define MANGODECK_HTTP_CLIENT_H

#include "mangodeck/common/error.h"
#include "mangodeck/http/targetconnection.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck::http {

/// The complete answer to a call of Client.
struct CallAnswer {
  int Status = 0;
  HeaderList Fields;
  std::string Body;
};

/// How a call of Client went.
struct CallRecord {
  std::string_view Target; ///< Path and query.
  /// Time until its new connection was open; std::nullopt if it used an open
  /// one, or if none was opened.
  std::optional<Duration> ConnectTime;
  Duration Elapsed{0};
  /// Bytes of the answer's body, also of an answer that is incomplete.
  std::size_t ReceivedBytes = 0;
  bool HadConnection = false;
  std::error_code Error;
};

/// Is told of each call that ends.
class CallObserver {
public:
  virtual ~CallObserver() = default;
  virtual void onCallEnded(const CallRecord &Record) = 0;
};

/// Time-outs of a Client's calls beside those of the calls.
struct ClientLimits {
  /// For opening a connection; allows for several round trips within a region.
  Duration Connect = 800ms;
};

/// Sends small requests to one server and reuses its connections. A call is
/// sent once and never retried.
class Client {
public:
  using Done = std::function<void(Expected<CallAnswer>)>;

  /// \p Observer may be null.
  Client(asio::any_io_executor Executor, asio::ip::tcp::endpoint Remote,
         CallObserver *Observer = nullptr, ClientLimits Limits = {});
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  /// Sends a request with a JSON body, or none if \p Body is empty.
  /// Errc::Timeout if no complete answer arrives within \p Timeout.
  void call(std::string_view Method, std::string_view Target,
            std::string_view Body, Duration Timeout, Done Callback);
  /// Closes all connections, also those of calls in progress, which fail with
  /// Errc::Closed. To be called when the process resumes after a suspension.
  void reset();

private:
  struct Call;
  void closeIdle();
  void start(std::shared_ptr<Call> Pending);
  void report(const Call &Ended, std::error_code Error);
  void finish(const std::shared_ptr<Call> &Pending,
              Expected<CallAnswer> Result);

  asio::any_io_executor m_Executor;
  asio::ip::tcp::endpoint m_Remote;
  CallObserver *m_Observer;
  ClientLimits m_Limits;
  std::vector<std::shared_ptr<TargetConnection>> m_IdleConnections;
  std::vector<std::shared_ptr<Call>> m_PendingCalls;
  /// False after the destructor; checked by callbacks that may run later.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace mangodeck::http

#endif
