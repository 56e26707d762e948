#include "mangodeck/connection/loopthread.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace mangodeck {

namespace {

/// Runs \p Work when \p Timer is due, then sets the timer again.
void repeat(const std::shared_ptr<asio::steady_timer> &Timer, Duration Period,
            const std::shared_ptr<std::function<void()>> &Work) {
  Timer->async_wait([Timer, Period, Work](std::error_code Error) {
    if (Error)
      return;
    (*Work)();
    Timer->expires_after(Period);
    repeat(Timer, Period, Work);
  });
}

} // namespace

LoopThread::LoopThread() : m_Guard(asio::make_work_guard(m_Context)) {}

LoopThread::~LoopThread() { stop(); }

void LoopThread::start() {
  m_Thread = std::thread([this] { m_Context.run(); });
}

void LoopThread::stop() {
  m_Context.stop();
  if (m_Thread.joinable())
    m_Thread.join();
}

void LoopThread::post(std::function<void()> Work) {
  asio::post(m_Context, std::move(Work));
}

void LoopThread::postAfter(Duration Delay, std::function<void()> Work) {
  auto Timer = std::make_shared<asio::steady_timer>(m_Context, Delay);
  Timer->async_wait([Timer, Moved = std::move(Work)](std::error_code Error) {
    if (!Error)
      Moved();
  });
}

void LoopThread::postEvery(Duration Period, std::function<void()> Work) {
  repeat(std::make_shared<asio::steady_timer>(m_Context, Period), Period,
         std::make_shared<std::function<void()>>(std::move(Work)));
}

} // namespace mangodeck
