#ifndef MANGODECK_CONNECTION_CURLLOOP_H
#define MANGODECK_CONNECTION_CURLLOOP_H

#include "mangodeck/common/units.h"
#include "mangodeck/request/callerexchange.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// One HTTP request to be sent on a connection of its own.
struct HttpCall {
  std::string Method;
  std::string Url;
  std::vector<Header> Headers;
  std::string Body;
  Duration ConnectTimeout = 2s;
  Duration TotalTimeout{0}; ///< 0 for none.
};

/// How the transport ended a call.
struct HttpCallEnd {
  CURLcode Code = CURLE_OK;
  bool Connected = false; ///< The connection was established.
  bool Refused = false;   ///< The peer refused the connection.
  bool Sent = false;      ///< At least one byte of the request was sent.
};

/// Receives the answer to a call, on the loop's thread.
class HttpCallHandler {
public:
  virtual ~HttpCallHandler() = default;
  virtual void onHead(int Status, std::vector<Header> Headers) = 0;
  virtual void onBytes(std::string_view Bytes) = 0;
  virtual void onDone(const HttpCallEnd &End) = 0;
};

/// A libcurl multi handle on an asio loop with a thread of its own. post() gets
/// work there from any thread; all else may be called on that thread only.
///
/// Only sockets that are ready are looked at (libcurl's multi-socket
/// interface), so that the cost of a byte does not grow with the number of
/// calls.
class CurlLoop {
public:
  using CallId = std::uint64_t;
  using TimerId = std::uint64_t;

  CurlLoop();
  /// Ends the thread; calls in progress get no further callbacks.
  ~CurlLoop();
  CurlLoop(const CurlLoop &) = delete;
  CurlLoop &operator=(const CurlLoop &) = delete;

  void post(std::function<void()> Task);

  CallId start(HttpCall Call, std::shared_ptr<HttpCallHandler> Handler);

  /// Ends a call without another callback. Unknown ids are ignored.
  void stop(CallId Id);

  /// Stops reading a call's answer, or goes on.
  void setPaused(CallId Id, bool Paused);

  TimerId callAfter(Duration Delay, std::function<void()> Task);
  void cancelTimer(TimerId Timer);

private:
  struct Transfer;
  struct Socket;
  struct Timer;

  static int onSocketChange(CURL *Easy, curl_socket_t Handle, int Wanted,
                            void *Self, void *Unused);
  static int onTimeoutChange(CURLM *Multi, long Milliseconds, void *Self);

  void watchSocket(curl_socket_t Handle, int Wanted);
  void forgetSocket(curl_socket_t Handle);
  void awaitReady(const std::shared_ptr<Socket> &Entry);
  void act(curl_socket_t Handle, int Events);
  void scheduleChanges();
  void applyChanges();
  void finishTransfers();
  void setOptions(Transfer &Entry);

  asio::io_context m_Loop{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_Guard;
  asio::steady_timer m_Timeout; ///< When libcurl wants to be called.
  CURLM *m_Multi;
  std::unordered_map<curl_socket_t, std::shared_ptr<Socket>> m_Sockets;
  std::unordered_map<CallId, std::unique_ptr<Transfer>> m_Transfers;
  std::vector<CallId> m_Started; ///< Not known to libcurl yet.
  std::vector<CallId> m_Stopped; ///< To be taken from libcurl.
  bool m_ChangesScheduled = false;
  std::unordered_map<TimerId, std::unique_ptr<Timer>> m_Timers;
  std::uint64_t m_NextId = 1;
  std::thread m_Thread;
};

} // namespace mangodeck

#endif
