#include "mangodeck/common/rcupointer.h"

#include <urcu/urcu-memb.h>

namespace mangodeck::rcu {

namespace {

/// Registers the thread with liburcu until the thread exits.
struct ThreadRegistration {
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
};

} // namespace

void enterRead() {
  thread_local const ThreadRegistration Registration;
  urcu_memb_read_lock();
}

void leaveRead() { urcu_memb_read_unlock(); }

void waitForReaders() { urcu_memb_synchronize_rcu(); }

} // namespace mangodeck::rcu
