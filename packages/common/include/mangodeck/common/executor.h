#ifndef MANGODECK_COMMON_EXECUTOR_H
#define MANGODECK_COMMON_EXECUTOR_H

#include "mangodeck/common/units.h"

#include <functional>

namespace mangodeck {

/// Runs functions one at a time, in the order in which they were posted, never
/// inside post() itself. Data that only these functions use needs no locks.
class Executor {
public:
  virtual ~Executor() = default;

  /// Queues \p Work. Thread-safe.
  virtual void post(std::function<void()> Work) = 0;

  /// Queues \p Work after \p Delay has passed. Thread-safe.
  virtual void postAfter(Duration Delay, std::function<void()> Work) = 0;
};

} // namespace mangodeck

#endif
