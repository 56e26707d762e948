#ifndef MANGODECK_CONNECTION_CURLLOOP_H
#define MANGODECK_CONNECTION_CURLLOOP_H

#include "mangodeck/common/units.h"
#include "mangodeck/request/callerexchange.h"

#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
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
  bool ConnectOnly = false; ///< Opens the connection and sends nothing.
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

/// A libcurl multi handle with its thread. post() gets work there from any
/// thread; all else may be called on that thread only.
class CurlLoop {
public:
  using CallId = std::uint64_t;
  using TimerId = std::pair<TimePoint, std::uint64_t>;

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
  void cancelTimer(const TimerId &Timer);

private:
  struct Transfer;

  void run();
  void runTasks();
  void runTimers();
  void finishTransfers();
  void applyChanges();
  int pollMilliseconds() const;
  void setOptions(Transfer &Entry);

  CURLM *m_Multi;
  std::unordered_map<CallId, std::unique_ptr<Transfer>> m_Transfers;
  std::vector<CallId> m_Started; ///< Not known to libcurl yet.
  std::vector<CallId> m_Stopped; ///< To be taken from libcurl.
  CallId m_NextId = 1;
  std::map<TimerId, std::function<void()>> m_Timers;

  std::mutex m_Mutex;
  std::vector<std::function<void()>> m_Tasks;
  bool m_Ending = false;
  std::thread m_Thread;
};

} // namespace mangodeck

#endif
