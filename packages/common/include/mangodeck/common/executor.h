#ifndef MANGODECK_COMMON_EXECUTOR_H
#define MANGODECK_COMMON_EXECUTOR_H

#include "mangodeck/common/units.h"

#include <functional>

namespace mangodeck {

/// Runs functions one after another, in the order in which they were posted,
/// never inside post() itself. What one executor runs needs no locks.
class Executor {
public:
  virtual ~Executor() = default;

  /// Queues \p Work; safe from any thread.
  virtual void post(std::function<void()> Work) = 0;

  /// Queues \p Work to run once \p Delay has passed; safe from any thread.
  virtual void postAfter(Duration Delay, std::function<void()> Work) = 0;
};

} // namespace mangodeck

#endif
