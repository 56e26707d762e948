#ifndef MANGODECK_GATEWAY_KEYVALUESTORE_H
#define MANGODECK_GATEWAY_KEYVALUESTORE_H

#include "mangodeck/common/error.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// A key with its value, or its removal.
struct KeyChange {
  std::string Key;
  std::string Value;
  std::int64_t Revision = 0;
  bool Removed = false;
};

/// A page of a listing. Pages of one listing are not a snapshot.
struct KeyPage {
  std::vector<KeyChange> Items;
  bool HasMore = false;
  std::int64_t StoreRevision = 0;
};

/// Changes that followed a revision.
struct KeyChanges {
  std::vector<KeyChange> Changes;
  std::int64_t StoreRevision = 0;
};

/// A lease that keys can be bound to.
struct KeyLease {
  std::int64_t Id = 0;
  Duration TimeToLive{0};
};

/// Keys of the store as a daemon follows them. Every callback runs once, on
/// the caller's loop. Errc::StaleStore: the history asked for is gone.
/// Errc::NotFound: there is no such lease.
class KeyValueStore {
public:
  template <typename T> using Callback = std::function<void(Expected<T>)>;
  virtual ~KeyValueStore() = default;

  /// Keys after \p After in key order, never older than the call.
  virtual void list(std::string_view After, Callback<KeyPage> Done) = 0;
  /// Changes after \p Revision; waits up to \p Wait for the first.
  virtual void watch(std::int64_t Revision, Duration Wait,
                     Callback<KeyChanges> Done) = 0;
  virtual void grantLease(Duration TimeToLive, Callback<KeyLease> Done) = 0;
  virtual void keepLease(std::int64_t Lease, Callback<KeyLease> Done) = 0;
  /// Writes a key bound to \p Lease, whatever it held.
  virtual void put(std::string_view Key, std::string_view Value,
                   std::int64_t Lease, Callback<bool> Done) = 0;
  /// Drops all connections, e.g. after the process stood still.
  virtual void reconnect() = 0;
};

} // namespace mangodeck

#endif
