#ifndef MANGODECK_VERSION_BLOCKINGSTORE_H
#define MANGODECK_VERSION_BLOCKINGSTORE_H

#include "mangodeck/version/store.h"

namespace mangodeck {

/// Waits for each call of a store. For programs that do one thing after the
/// other; never on the store's own thread.
class BlockingStore {
public:
  explicit BlockingStore(Store &Inner) : m_Inner(Inner) {}

  Expected<std::vector<StoreEntry>> get(std::string_view Key);
  Expected<std::vector<StoreEntry>>
  range(std::string_view Prefix, std::string_view From, std::int64_t Limit);
  Expected<std::vector<StoreEntry>> last(std::string_view Prefix,
                                         std::int64_t Limit);
  Expected<StoreWriteResult> compareAndSwap(StoreWrite Write);
  Expected<bool> remove(std::string_view Key);

private:
  Store &m_Inner;
};

} // namespace mangodeck

#endif
