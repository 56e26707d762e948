#include "mangodeck/process/ownerpublisher.h"

#include <urcu/urcu-memb.h>

namespace mangodeck {

namespace {

/// Registers a thread with the library at its first read, for as long as the
/// thread lives.
struct Registration {
  Registration() { urcu_memb_register_thread(); }
  ~Registration() { urcu_memb_unregister_thread(); }
};

void registerThread() { thread_local Registration Registered; }

} // namespace

OwnerPublisher::Reader::Reader(const OwnerPublisher &Publisher) {
  registerThread();
  urcu_memb_read_lock();
  m_Table = rcu_dereference(Publisher.m_Table);
}

OwnerPublisher::Reader::~Reader() { urcu_memb_read_unlock(); }

OwnerPublisher::OwnerPublisher() : m_Table(new OwnerTable()) {}

OwnerPublisher::~OwnerPublisher() { delete m_Table; }

void OwnerPublisher::publish(OwnerTable Table) {
  auto *Replaced = rcu_xchg_pointer(&m_Table, new OwnerTable(std::move(Table)));
  urcu_memb_synchronize_rcu();
  delete Replaced;
}

} // namespace mangodeck
