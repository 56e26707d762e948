#include "mangodeck/gateway/confirmationqueue.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

/// Bounds what a client that sends made-up paths can keep waiting.
constexpr std::size_t MaxRequests = 256;

} // namespace

bool ConfirmationQueue::isFull() const {
  return m_Requests.size() >= MaxRequests;
}

void ConfirmationQueue::remove(const http::CallerConnection &Connection) {
  std::erase_if(m_Requests, [&](const Request &Held) {
    return Held.Connection == &Connection;
  });
}

std::optional<ConfirmationQueue::Request> ConfirmationQueue::pop() {
  if (m_Requests.empty())
    return std::nullopt;
  auto First = std::move(m_Requests.front());
  m_Requests.pop_front();
  return First;
}

std::optional<ConfirmationQueue::Request>
ConfirmationQueue::popExpired(TimePoint Now) {
  const auto Found =
      std::find_if(m_Requests.begin(), m_Requests.end(),
                   [&](const Request &Held) { return Held.ExpiresAt <= Now; });
  if (Found == m_Requests.end())
    return std::nullopt;
  auto Expired = std::move(*Found);
  m_Requests.erase(Found);
  return Expired;
}

} // namespace mangodeck
