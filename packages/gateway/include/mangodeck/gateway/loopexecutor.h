#ifndef MANGODECK_GATEWAY_LOOPEXECUTOR_H
#define MANGODECK_GATEWAY_LOOPEXECUTOR_H

#include "mangodeck/common/executor.h"

#include <asio/any_io_executor.hpp>

namespace mangodeck {

/// Runs functions on an event loop of Asio.
class LoopExecutor : public Executor {
public:
  explicit LoopExecutor(asio::any_io_executor Loop);

  void post(std::function<void()> Work) override;
  void postAfter(Duration Delay, std::function<void()> Work) override;

private:
  asio::any_io_executor m_Loop;
};

} // namespace mangodeck

#endif
