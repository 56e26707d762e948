#include "mangodeck/gateway/registration.h"

#include <asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace mangodeck {

namespace {

/// A store that grants leases with increasing ids.
struct LeasingStore : KeyValueStore {
  void list(std::string_view, Callback<KeyPage>) override {}
  void watch(StoreRevision, Duration, Callback<KeyChanges>) override {}
  void grantLease(Duration TimeToLive, Callback<KeyLease> Done) override {
    Done(KeyLease{++Granted, TimeToLive});
  }
  void keepLease(std::int64_t Lease, Callback<KeyLease> Done) override {
    Renewed.push_back(Lease);
    RenewDone = std::move(Done);
  }
  void put(std::string_view, std::string_view, std::int64_t Lease,
           Callback<bool> Done) override {
    Written.push_back(Lease);
    Done(true);
  }
  void reconnect() override {}

  std::int64_t Granted = 0;
  std::vector<std::int64_t> Written; ///< Leases of the writes.
  std::vector<std::int64_t> Renewed;
  Callback<KeyLease> RenewDone;
};

} // namespace

class RegistrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistrationTest);
  CPPUNIT_TEST(restore_registered_writesKeyUnderNewLease);
  CPPUNIT_TEST(restore_renewalAnsweredLate_isIgnored);
  CPPUNIT_TEST(restore_manyDaemons_writesAreSpread);
  CPPUNIT_TEST(renewal_leaseExpired_writesKeyUnderNewLease);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Loop.emplace();
    m_Store = LeasingStore();
    m_Registration.emplace(m_Loop->get_executor(), m_Store, m_Log, m_Random,
                           "key", "value");
    m_Registration->start();
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), m_Store.Written.back());
  }

  void restore_registered_writesKeyUnderNewLease() {
    m_Registration->onStoreRestored();
    m_Loop->run_for(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Store.Written.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), m_Store.Written.back());
  }

  /// The answer to a renewal states the new era, and the lease's id may belong
  /// to another daemon by then.
  void restore_renewalAnsweredLate_isIgnored() {
    m_Loop->run_for(std::chrono::milliseconds(2100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Store.Renewed.size());
    auto Answer = std::move(m_Store.RenewDone);
    m_Registration->onStoreRestored();
    Answer(KeyLease{1, 6s});
    m_Loop->restart();
    m_Loop->run_for(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), m_Store.Written.back());
  }

  void restore_manyDaemons_writesAreSpread() {
    constexpr std::size_t Daemons = 300;
    std::size_t Immediate = 0;
    for (int I = 0; I < 40; ++I) {
      m_Registration->setDaemonCount(Daemons);
      m_Registration->onStoreRestored();
      const auto Before = m_Store.Written.size();
      m_Loop->restart();
      m_Loop->run_for(std::chrono::milliseconds(5));
      Immediate += m_Store.Written.size() - Before;
    }
    CPPUNIT_ASSERT(Immediate < 10);
    m_Loop->restart();
    m_Loop->run_for(std::chrono::milliseconds(700));
    CPPUNIT_ASSERT(m_Store.Written.size() > 1);
  }

  void renewal_leaseExpired_writesKeyUnderNewLease() {
    m_Loop->run_for(std::chrono::milliseconds(2100));
    auto Answer = std::move(m_Store.RenewDone);
    Answer(unexpected(make_error_code(Errc::NotFound)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), m_Store.Written.back());
  }

private:
  EventLog m_Log{-1, "vm", "1", 1000};
  SeededRandom m_Random{7};
  std::optional<asio::io_context> m_Loop;
  LeasingStore m_Store;
  std::optional<Registration> m_Registration;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationTest);

} // namespace mangodeck
