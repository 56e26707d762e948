#ifndef MANGODECK_VERSION_STORE_H
#define MANGODECK_VERSION_STORE_H

#include "mangodeck/common/error.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// A key of the platform's store with its value and versions.
struct StoreEntry {
  std::string Key;
  std::string Value;
  std::int64_t CreateRevision = 0;
  std::int64_t ModRevision = 0;
};

/// A compare-and-swap of one key. ExpectedModRevision 0 means that the key
/// must not exist.
struct StoreWrite {
  std::string Key;
  std::string Value;
  std::int64_t ExpectedModRevision = 0;
  std::int64_t Lease = 0; ///< 0 for a key that outlives its writer.
};

/// Result of a compare-and-swap.
struct StoreWriteResult {
  bool Succeeded = false;
  std::int64_t ModRevision = 0;    ///< Of the written key, when it succeeded.
  std::vector<StoreEntry> Current; ///< The key as it is, when it did not.
};

/// A granted lease; \p TimeToLive runs from when the request was sent.
struct StoreLease {
  std::int64_t Id = 0;
  Duration TimeToLive{0};
};

/// Ends a watch when destroyed.
class StoreWatch {
public:
  virtual ~StoreWatch() = default;
};

/// The platform's key-value service. Every call is asynchronous; its callback
/// runs once, on the store's own thread, with a value or an error. An error of
/// a write says nothing about whether it took effect (Errc::Timeout,
/// Errc::Unavailable), except Errc::LimitExceeded: the call was never sent.
class Store {
public:
  template <typename T> using Callback = std::function<void(Expected<T>)>;

  virtual ~Store() = default;

  virtual void get(std::string_view Key,
                   Callback<std::vector<StoreEntry>> Done) = 0;

  /// Entries whose keys start with \p Prefix and are not less than \p From,
  /// in key order, at most \p Limit (0 for all).
  virtual void range(std::string_view Prefix, std::string_view From,
                     std::int64_t Limit,
                     Callback<std::vector<StoreEntry>> Done) = 0;

  /// The last \p Limit entries whose keys start with \p Prefix, greatest key
  /// first. Reads the whole range unless the implementation does better.
  virtual void last(std::string_view Prefix, std::int64_t Limit,
                    Callback<std::vector<StoreEntry>> Done);

  /// The greatest key that starts with \p Prefix, its value left out; empty
  /// if there is none. Costs a whole entry unless the implementation does
  /// better.
  virtual void lastKey(std::string_view Prefix,
                       Callback<std::vector<StoreEntry>> Done);

  virtual void compareAndSwap(StoreWrite Write,
                              Callback<StoreWriteResult> Done) = 0;

  virtual void remove(std::string_view Key, Callback<bool> Done) = 0;

  virtual void grantLease(Duration TimeToLive, Callback<StoreLease> Done) = 0;
  virtual void keepLeaseAlive(std::int64_t Lease,
                              Callback<StoreLease> Done) = 0;
  virtual void revokeLease(std::int64_t Lease, Callback<bool> Done) = 0;

  /// Calls \p Changed for every later change below \p Prefix, and with an
  /// error when the watch breaks; it is then re-opened by the store client.
  virtual std::unique_ptr<StoreWatch>
  watch(std::string_view Prefix,
        std::function<void(Expected<std::vector<StoreEntry>>)> Changed) = 0;
};

} // namespace mangodeck

#endif
