#include "mangodeck/gateway/registration.h"

namespace mangodeck {

namespace {

/// The lease expires this long after its last renewal. The renewal period
/// allows for two lost renewals.
constexpr Duration LeaseTimeToLive = 6s;
constexpr Duration RenewPeriod = 2s;
/// Delay before a failed call is repeated.
constexpr Duration RetryDelay = 500ms;
/// After a restore of the store, all daemons register again within this time
/// for each of them.
constexpr Duration RestoreSpreadPerDaemon = 2ms;

} // namespace

Registration::Registration(asio::any_io_executor Executor, KeyValueStore &Store,
                           EventLog &Log, RandomSource &Random, std::string Key,
                           std::string Value)
    : m_Store(Store), m_Log(Log), m_Random(Random), m_Timer(Executor),
      m_Key(std::move(Key)), m_Value(std::move(Value)) {}

void Registration::start() { grantLease(); }

void Registration::onStoreRestored() {
  ++m_Generation;
  const auto Spread = toSeconds(RestoreSpreadPerDaemon) *
                      static_cast<double>(m_DaemonCount) * m_Random.uniform();
  runAfter(fromSeconds(Spread), &Registration::grantLease);
}

void Registration::runAfter(Duration Delay, void (Registration::*Step)()) {
  m_Timer.expires_after(Delay);
  m_Timer.async_wait([this, Step](std::error_code Error) {
    if (!Error)
      (this->*Step)();
  });
}

void Registration::grantLease() {
  m_Store.grantLease(LeaseTimeToLive, [this, Generation = m_Generation](
                                          Expected<KeyLease> Lease) {
    if (Generation != m_Generation)
      return;
    if (!Lease)
      return runAfter(RetryDelay, &Registration::grantLease);
    m_LeaseId = Lease->Id;
    writeKey();
  });
}

void Registration::writeKey() {
  m_Store.put(m_Key, m_Value, m_LeaseId,
              [this, Generation = m_Generation](Expected<bool> Done) {
                if (Generation != m_Generation)
                  return;
                if (!Done) {
                  m_Log.write("registration_failed",
                              {{"error", Done.error().message()}});
                  const bool IsLeaseExpired =
                      Done.error() == make_error_code(Errc::NotFound);
                  return runAfter(RetryDelay, IsLeaseExpired
                                                  ? &Registration::grantLease
                                                  : &Registration::writeKey);
                }
                m_Log.write("registered", {{"lease", m_LeaseId}});
                runAfter(RenewPeriod, &Registration::renewLease);
              });
}

void Registration::renewLease() {
  m_Store.keepLease(
      m_LeaseId, [this, Generation = m_Generation](Expected<KeyLease> Lease) {
        if (Generation != m_Generation)
          return;
        if (Lease)
          return runAfter(RenewPeriod, &Registration::renewLease);
        if (Lease.error() == make_error_code(Errc::NotFound))
          return grantLease();
        runAfter(RetryDelay, &Registration::renewLease);
      });
}

} // namespace mangodeck
