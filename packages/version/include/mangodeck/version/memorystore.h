#ifndef MANGODECK_VERSION_MEMORYSTORE_H
#define MANGODECK_VERSION_MEMORYSTORE_H

#include "mangodeck/common/clock.h"
#include "mangodeck/version/store.h"

#include <map>
#include <memory>
#include <mutex>

namespace mangodeck {

/// A store inside this process: its contents live as long as the process.
/// Callbacks run on the caller's thread before the call returns. Leases expire
/// by the clock that was passed, when the store is next used.
class MemoryStore : public Store {
public:
  explicit MemoryStore(const Clock &Time);
  ~MemoryStore() override;

  void get(std::string_view Key,
           Callback<std::vector<StoreEntry>> Done) override;
  void range(std::string_view Prefix, std::string_view From, std::int64_t Limit,
             Callback<std::vector<StoreEntry>> Done) override;
  void last(std::string_view Prefix, std::int64_t Limit,
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
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace mangodeck

#endif
