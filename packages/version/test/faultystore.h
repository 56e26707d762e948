#ifndef MANGODECK_VERSION_TEST_FAULTYSTORE_H
#define MANGODECK_VERSION_TEST_FAULTYSTORE_H

#include "mangodeck/version/memorystore.h"

#include <functional>
#include <utility>

namespace mangodeck {

/// One client's view of a store, with faults that tests switch.
class FaultyStore : public Store {
public:
  explicit FaultyStore(Store &Inner) : m_Inner(&Inner) {}

  bool IsDown = false;
  bool HasSilentWatches = false;
  int AnswersToLose = 0;               ///< Writes that take effect unheard.
  std::function<void()> BeforeWrite{}; ///< Runs once, before the next write.
  int Reads = 0;
  int Writes = 0;
  int Watches = 0;

  /// Continues with another copy of the contents.
  void replace(Store &Other) { m_Inner = &Other; }

  void get(std::string_view Key,
           Callback<std::vector<StoreEntry>> Done) override {
    if (read(Done))
      m_Inner->get(Key, std::move(Done));
  }
  void range(std::string_view Prefix, std::string_view From, std::int64_t Limit,
             Callback<std::vector<StoreEntry>> Done) override {
    if (read(Done))
      m_Inner->range(Prefix, From, Limit, std::move(Done));
  }
  void last(std::string_view Prefix, std::int64_t Limit,
            Callback<std::vector<StoreEntry>> Done) override {
    if (read(Done))
      m_Inner->last(Prefix, Limit, std::move(Done));
  }
  void compareAndSwap(StoreWrite Write,
                      Callback<StoreWriteResult> Done) override {
    ++Writes;
    if (auto Hook = std::exchange(BeforeWrite, nullptr))
      Hook();
    if (IsDown) {
      Done(unexpected(Errc::Unavailable));
    } else if (AnswersToLose > 0) {
      --AnswersToLose;
      m_Inner->compareAndSwap(std::move(Write),
                              [](Expected<StoreWriteResult>) {});
      Done(unexpected(Errc::Timeout));
    } else {
      m_Inner->compareAndSwap(std::move(Write), std::move(Done));
    }
  }
  void remove(std::string_view Key, Callback<bool> Done) override {
    m_Inner->remove(Key, std::move(Done));
  }
  void grantLease(Duration TimeToLive, Callback<StoreLease> Done) override {
    m_Inner->grantLease(TimeToLive, std::move(Done));
  }
  void keepLeaseAlive(std::int64_t Lease, Callback<StoreLease> Done) override {
    m_Inner->keepLeaseAlive(Lease, std::move(Done));
  }
  void revokeLease(std::int64_t Lease, Callback<bool> Done) override {
    m_Inner->revokeLease(Lease, std::move(Done));
  }
  /// A watch opened while watches are silent is heard once they are not.
  std::unique_ptr<StoreWatch> watch(
      std::string_view Prefix,
      std::function<void(Expected<std::vector<StoreEntry>>)> Changed) override {
    const int Number = ++Watches;
    return m_Inner->watch(Prefix, [this, Number, Changed](auto Entries) {
      if (!IsDown && !(HasSilentWatches && Number == 1))
        Changed(std::move(Entries));
    });
  }

private:
  bool read(Callback<std::vector<StoreEntry>> &Done) {
    ++Reads;
    if (IsDown)
      Done(unexpected(Errc::Unavailable));
    return !IsDown;
  }

  Store *m_Inner;
};

} // namespace mangodeck

#endif
