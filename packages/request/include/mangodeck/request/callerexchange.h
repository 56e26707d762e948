#ifndef MANGODECK_REQUEST_CALLEREXCHANGE_H
#define MANGODECK_REQUEST_CALLEREXCHANGE_H

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// One HTTP header field.
struct Header {
  std::string Name;
  std::string Value;
};

/// Finds a header by name, ignoring case; null if it is absent.
const std::string *findHeader(std::span<const Header> Headers,
                              std::string_view Name);

/// A complete request as received from a caller.
struct CallerRequest {
  std::string Method;
  std::string Path; ///< Includes the query, as sent.
  std::vector<Header> Headers;
  std::string Body;
};

/// One request of a caller, with the methods that send its answer. They may be
/// called from any thread. An answer is sent either by one respond(), or by
/// begin(), any number of write() calls, then finish() or abort().
class CallerExchange {
public:
  virtual ~CallerExchange() = default;

  virtual const CallerRequest &request() const = 0;

  /// Sends a complete answer.
  virtual void respond(int Status, std::span<const Header> Headers,
                       std::string Body) = 0;

  /// Starts a streamed answer (chunked transfer coding).
  virtual void begin(int Status, std::span<const Header> Headers) = 0;
  virtual void write(std::string Chunk) = 0;
  virtual void finish() = 0;

  /// Closes the connection without the final chunk, so that the caller sees
  /// that the answer is incomplete.
  virtual void abort() = 0;

  /// Bytes of the answer that the connection has not accepted yet.
  virtual std::size_t pendingBytes() const = 0;

  /// Sets the callback that is called once if the caller closes the
  /// connection before the answer is complete.
  virtual void onHangUp(std::function<void()> Callback) = 0;
};

/// Receives callers' requests; called on the caller server's threads.
class CallerHandler {
public:
  virtual ~CallerHandler() = default;
  virtual void handle(std::shared_ptr<CallerExchange> Exchange) = 0;
};

} // namespace mangodeck

#endif
