#ifndef MANGODECK_GATEWAY_REGISTRATION_H
#define MANGODECK_GATEWAY_REGISTRATION_H

#include "mangodeck/common/random.h"
#include "mangodeck/gateway/eventlog.h"
#include "mangodeck/gateway/keyvaluestore.h"
#include "mangodeck/gateway/storeera.h"

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>
#include <string>

namespace mangodeck {

/// Keeps the key of this daemon in the store, bound to a lease. The other
/// daemons find this one by the key, and the store removes the key if the lease
/// is no longer renewed.
class Registration : public StoreEraObserver {
public:
  Registration(asio::any_io_executor Executor, KeyValueStore &Store,
               EventLog &Log, RandomSource &Random, std::string Key,
               std::string Value);
  /// Grants a lease, writes the key and renews the lease from then on.
  void start();
  /// Registers again under a new lease, since the key and the lease may be lost
  /// and the id of the lease may be given to another daemon. The daemons wait
  /// for a random time before, so that all of them together stay within the
  /// store's rate of writes.
  void onStoreRestored() override;

  /// Sets the number of daemons that register in the store.
  void setDaemonCount(std::size_t Count) { m_DaemonCount = Count; }

private:
  void grantLease();
  void writeKey();
  void renewLease();
  void runAfter(Duration Delay, void (Registration::*Step)());

  KeyValueStore &m_Store;
  EventLog &m_Log;
  RandomSource &m_Random;
  asio::steady_timer m_Timer;
  std::string m_Key;
  std::string m_Value;
  std::int64_t m_LeaseId = 0;
  std::size_t m_DaemonCount = 1;
  /// Number of restores of the store. Answers to calls made before the last one
  /// are ignored.
  std::uint64_t m_Generation = 0;
};

} // namespace mangodeck

#endif
