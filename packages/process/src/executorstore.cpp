#include "mangodeck/process/executorstore.h"

namespace mangodeck {

template <typename T>
Store::Callback<T> ExecutorStore::onExecutor(Callback<T> Done) const {
  return [&Loop = m_Loop, Done = std::move(Done)](Expected<T> Result) {
    Loop.post([Done, Result = std::move(Result)] { Done(Result); });
  };
}

void ExecutorStore::get(std::string_view Key,
                        Callback<std::vector<StoreEntry>> Done) {
  m_Platform.get(Key, onExecutor(std::move(Done)));
}

void ExecutorStore::range(std::string_view Prefix, std::string_view From,
                          std::int64_t Limit,
                          Callback<std::vector<StoreEntry>> Done) {
  m_Platform.range(Prefix, From, Limit, onExecutor(std::move(Done)));
}

void ExecutorStore::compareAndSwap(StoreWrite Write,
                                   Callback<StoreWriteResult> Done) {
  m_Platform.compareAndSwap(std::move(Write), onExecutor(std::move(Done)));
}

void ExecutorStore::remove(std::string_view Key, Callback<bool> Done) {
  m_Platform.remove(Key, onExecutor(std::move(Done)));
}

void ExecutorStore::grantLease(Duration TimeToLive, Callback<StoreLease> Done) {
  m_Platform.grantLease(TimeToLive, onExecutor(std::move(Done)));
}

void ExecutorStore::keepLeaseAlive(std::int64_t Lease,
                                   Callback<StoreLease> Done) {
  m_Platform.keepLeaseAlive(Lease, onExecutor(std::move(Done)));
}

void ExecutorStore::revokeLease(std::int64_t Lease, Callback<bool> Done) {
  m_Platform.revokeLease(Lease, onExecutor(std::move(Done)));
}

std::unique_ptr<StoreWatch> ExecutorStore::watch(
    std::string_view Prefix,
    std::function<void(Expected<std::vector<StoreEntry>>)> Changed) {
  return m_Platform.watch(
      Prefix, onExecutor<std::vector<StoreEntry>>(std::move(Changed)));
}

} // namespace mangodeck
