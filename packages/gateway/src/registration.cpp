#include "mangodeck/gateway/registration.h"

namespace mangodeck {

namespace {

/// Life of the registration after the last renewal, and the renewals' period:
/// two may be lost.
constexpr Duration LeaseTime = 6s;
constexpr Duration RenewPeriod = 2s;
/// Delay before a failed call is made again.
constexpr Duration RetryDelay = 500ms;

} // namespace

Registration::Registration(asio::any_io_executor Executor, KeyValueStore &Feed,
                           EventLog &Log, std::string Key, std::string Value)
    : m_Feed(Feed), m_Log(Log), m_Timer(Executor), m_Key(std::move(Key)),
      m_Value(std::move(Value)) {}

void Registration::start() { grant(); }

void Registration::again(Duration Delay, void (Registration::*Step)()) {
  m_Timer.expires_after(Delay);
  m_Timer.async_wait([this, Step](std::error_code Error) {
    if (!Error)
      (this->*Step)();
  });
}

void Registration::grant() {
  m_Feed.grantLease(LeaseTime, [this](Expected<KeyLease> Lease) {
    if (!Lease)
      return again(RetryDelay, &Registration::grant);
    m_Lease = Lease->Id;
    write();
  });
}

void Registration::write() {
  m_Feed.put(m_Key, m_Value, m_Lease, [this](Expected<bool> Done) {
    if (!Done) {
      m_Log.write("registration_failed", {{"error", Done.error().message()}});
      const bool LeaseGone = Done.error() == make_error_code(Errc::NotFound);
      return again(RetryDelay,
                   LeaseGone ? &Registration::grant : &Registration::write);
    }
    m_Log.write("registered", {{"lease", m_Lease}});
    again(RenewPeriod, &Registration::keep);
  });
}

void Registration::keep() {
  m_Feed.keepLease(m_Lease, [this](Expected<KeyLease> Lease) {
    if (Lease)
      return again(RenewPeriod, &Registration::keep);
    if (Lease.error() == make_error_code(Errc::NotFound))
      return grant();
    again(RetryDelay, &Registration::keep);
  });
}

} // namespace mangodeck
