#ifndef MANGODECK_GATEWAY_REGISTRATION_H
#define MANGODECK_GATEWAY_REGISTRATION_H

#include "mangodeck/gateway/eventlog.h"
#include "mangodeck/gateway/keyvaluestore.h"

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>
#include <string>

namespace mangodeck {

/// Keeps the key of this daemon in the store, bound to a lease. The other
/// daemons find this one by the key, and the store removes the key if the lease
/// is no longer renewed.
class Registration {
public:
  Registration(asio::any_io_executor Executor, KeyValueStore &Store,
               EventLog &Log, std::string Key, std::string Value);
  /// Grants a lease, writes the key and renews the lease from then on.
  void start();

private:
  void grantLease();
  void writeKey();
  void renewLease();
  void runAfter(Duration Delay, void (Registration::*Step)());

  KeyValueStore &m_Store;
  EventLog &m_Log;
  asio::steady_timer m_Timer;
  std::string m_Key;
  std::string m_Value;
  std::int64_t m_LeaseId = 0;
};

} // namespace mangodeck

#endif
