#ifndef MANGODECK_GATEWAY_CONFIRMATIONQUEUE_H
#define MANGODECK_GATEWAY_CONFIRMATIONQUEUE_H

#include "mangodeck/common/units.h"
#include "mangodeck/http/callerconnection.h"
#include "mangodeck/http/message.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace mangodeck {

/// Requests that the configuration in force would refuse for good, while it may
/// be outdated: a daemon that was suspended, or whose store does not answer,
/// may lack the route or the key that a later version added. They are decided
/// on again once the configuration is confirmed, and cost no call of their own.
class ConfirmationQueue {
public:
  struct Request {
    http::CallerConnection *Connection;
    http::Request Message;
    TimePoint FirstByte;
    TimePoint ExpiresAt;
  };

  bool isFull() const;
  void push(Request Held) { m_Requests.push_back(std::move(Held)); }
  /// Drops the request of a connection that is closed.
  void remove(const http::CallerConnection &Connection);
  /// Takes the request that was held first; std::nullopt if there is none.
  std::optional<Request> pop();
  /// Takes a request whose time is over; std::nullopt if there is none.
  std::optional<Request> popExpired(TimePoint Now);
  std::size_t size() const { return m_Requests.size(); }

private:
  std::deque<Request> m_Requests;
};

} // namespace mangodeck

#endif
