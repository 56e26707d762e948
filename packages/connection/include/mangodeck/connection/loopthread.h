#ifndef MANGODECK_CONNECTION_LOOPTHREAD_H
#define MANGODECK_CONNECTION_LOOPTHREAD_H

#include "mangodeck/common/executor.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <thread>

namespace mangodeck {

/// An asio loop with a thread of its own. As an Executor it runs posted work in
/// order on that thread; timers whose delay has not passed when the loop stops
/// are dropped.
class LoopThread : public Executor {
public:
  LoopThread();
  ~LoopThread() override;

  /// Starts the thread; work that was posted before runs then.
  void start();

  /// Stops the loop and joins the thread; work that is queued is dropped.
  void stop();

  void post(std::function<void()> Work) override;
  void postAfter(Duration Delay, std::function<void()> Work) override;

  /// Runs \p Work every \p Period from now on, until stop().
  void postEvery(Duration Period, std::function<void()> Work);

  asio::io_context &context() { return m_Context; }

private:
  asio::io_context m_Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_Guard;
  std::thread m_Thread;
};

} // namespace mangodeck

#endif
