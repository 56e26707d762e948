#include "mangodeck/version/blockingstore.h"

#include <future>

namespace mangodeck {

namespace {

/// Runs \p Call with a callback that completes a future, and waits for it.
template <typename T, typename Function> Expected<T> await(Function Call) {
  auto Promise = std::make_shared<std::promise<Expected<T>>>();
  auto Future = Promise->get_future();
  Call(
      [Promise](Expected<T> Result) { Promise->set_value(std::move(Result)); });
  return Future.get();
}

} // namespace

Expected<std::vector<StoreEntry>> BlockingStore::get(std::string_view Key) {
  return await<std::vector<StoreEntry>>(
      [&](auto Done) { m_Inner.get(Key, std::move(Done)); });
}

Expected<std::vector<StoreEntry>> BlockingStore::range(std::string_view Prefix,
                                                       std::string_view From,
                                                       std::int64_t Limit) {
  return await<std::vector<StoreEntry>>(
      [&](auto Done) { m_Inner.range(Prefix, From, Limit, std::move(Done)); });
}

Expected<std::vector<StoreEntry>> BlockingStore::last(std::string_view Prefix,
                                                      std::int64_t Limit) {
  return await<std::vector<StoreEntry>>(
      [&](auto Done) { m_Inner.last(Prefix, Limit, std::move(Done)); });
}

Expected<StoreWriteResult> BlockingStore::compareAndSwap(StoreWrite Write) {
  return await<StoreWriteResult>([&](auto Done) {
    m_Inner.compareAndSwap(std::move(Write), std::move(Done));
  });
}

Expected<bool> BlockingStore::remove(std::string_view Key) {
  return await<bool>([&](auto Done) { m_Inner.remove(Key, std::move(Done)); });
}

} // namespace mangodeck
