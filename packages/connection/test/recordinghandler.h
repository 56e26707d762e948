#ifndef MANGODECK_CONNECTION_TEST_RECORDINGHANDLER_H
#define MANGODECK_CONNECTION_TEST_RECORDINGHANDLER_H

#include "mangodeck/request/callerexchange.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace mangodeck {

constexpr std::chrono::seconds TestWaitLimit{10};

/// Keeps the exchanges that a server hands over until a test answers them.
class RecordingHandler : public CallerHandler {
public:
  void handle(std::shared_ptr<CallerExchange> Exchange) override {
    const std::lock_guard Lock(m_Mutex);
    m_Exchanges.push_back(std::move(Exchange));
    m_Changed.notify_all();
  }

  /// Waits for the exchange number \p Index; null after TestWaitLimit.
  std::shared_ptr<CallerExchange> await(std::size_t Index) {
    std::unique_lock Lock(m_Mutex);
    const bool Came = m_Changed.wait_for(
        Lock, TestWaitLimit, [&] { return m_Exchanges.size() > Index; });
    return Came ? m_Exchanges[Index] : nullptr;
  }

  std::size_t count() {
    const std::lock_guard Lock(m_Mutex);
    return m_Exchanges.size();
  }

  std::size_t countOf(const std::string &Method) {
    const std::lock_guard Lock(m_Mutex);
    return static_cast<std::size_t>(std::count_if(
        m_Exchanges.begin(), m_Exchanges.end(), [&Method](const auto &Entry) {
          return Entry->request().Method == Method;
        }));
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::vector<std::shared_ptr<CallerExchange>> m_Exchanges;
};

/// An event that a test waits for.
class Signal {
public:
  void raise() {
    const std::lock_guard Lock(m_Mutex);
    ++m_Count;
    m_Changed.notify_all();
  }

  bool await() {
    std::unique_lock Lock(m_Mutex);
    return m_Changed.wait_for(Lock, TestWaitLimit, [&] { return m_Count > 0; });
  }

  int count() {
    const std::lock_guard Lock(m_Mutex);
    return m_Count;
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  int m_Count = 0;
};

} // namespace mangodeck

#endif
