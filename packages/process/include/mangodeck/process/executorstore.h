#ifndef MANGODECK_PROCESS_EXECUTORSTORE_H
#define MANGODECK_PROCESS_EXECUTORSTORE_H

#include "mangodeck/common/executor.h"
#include "mangodeck/version/store.h"

namespace mangodeck {

/// Wraps a store so that the callbacks of its calls run on an executor instead
/// of the store's thread.
class ExecutorStore : public Store {
public:
  /// \p Platform and \p Loop must outlive every call.
  ExecutorStore(Store &Platform, Executor &Loop)
      : m_Platform(Platform), m_Loop(Loop) {}

  void get(std::string_view Key,
           Callback<std::vector<StoreEntry>> Done) override;
  void range(std::string_view Prefix, std::string_view From, std::int64_t Limit,
             Callback<std::vector<StoreEntry>> Done) override;
  void compareAndSwap(StoreWrite Write,
                      Callback<StoreWriteResult> Done) override;
  void remove(std::string_view Key, Callback<bool> Done) override;
  void grantLease(Duration TimeToLive, Callback<StoreLease> Done) override;
  void keepLeaseAlive(std::int64_t Lease, Callback<StoreLease> Done) override;
  void revokeLease(std::int64_t Lease, Callback<bool> Done) override;
  std::unique_ptr<StoreWatch> watch(
      std::string_view Prefix,
      std::function<void(Expected<std::vector<StoreEntry>>)> Changed) override;

private:
  template <typename T> Callback<T> onExecutor(Callback<T> Done) const;

  Store &m_Platform;
  Executor &m_Loop;
};

} // namespace mangodeck

#endif
