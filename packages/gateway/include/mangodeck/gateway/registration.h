#ifndef MANGODECK_GATEWAY_REGISTRATION_H
#define MANGODECK_GATEWAY_REGISTRATION_H

#include "mangodeck/gateway/eventlog.h"
#include "mangodeck/gateway/keyvaluestore.h"

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>
#include <string>

namespace mangodeck {

/// Keeps one key of this daemon in the store, bound to a lease, so that the
/// other daemons find it and notice when it is gone.
class Registration {
public:
  Registration(asio::any_io_executor Executor, KeyValueStore &Feed,
               EventLog &Log, std::string Key, std::string Value);
  void start();

private:
  void grant();
  void write();
  void keep();
  void again(Duration Delay, void (Registration::*Step)());

  KeyValueStore &m_Feed;
  EventLog &m_Log;
  asio::steady_timer m_Timer;
  std::string m_Key;
  std::string m_Value;
  std::int64_t m_Lease = 0;
};

} // namespace mangodeck

#endif
