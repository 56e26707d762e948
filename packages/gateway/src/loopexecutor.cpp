#include "mangodeck/gateway/loopexecutor.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace mangodeck {

LoopExecutor::LoopExecutor(asio::any_io_executor Loop)
    : m_Loop(std::move(Loop)) {}

void LoopExecutor::post(std::function<void()> Work) {
  asio::post(m_Loop, std::move(Work));
}

void LoopExecutor::postAfter(Duration Delay, std::function<void()> Work) {
  auto Timer = std::make_shared<asio::steady_timer>(m_Loop, Delay);
  Timer->async_wait([Timer, Work = std::move(Work)](std::error_code Error) {
    if (!Error)
      Work();
  });
}

} // namespace mangodeck
