#ifndef MANGODECK_GATEWAY_KEYVALUESTORE_H
#define MANGODECK_GATEWAY_KEYVALUESTORE_H

#include "mangodeck/common/error.h"
#include "mangodeck/common/units.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// A point in the history of the store. A store that is restored from an older
/// copy begins a new era and gives revision numbers after that copy out again,
/// so revisions are ordered by era first.
struct StoreRevision {
  std::uint64_t Era = 0; ///< 0 if the store states no era.
  std::int64_t Number = 0;
  bool operator==(const StoreRevision &) const = default;
  std::strong_ordering operator<=>(const StoreRevision &Other) const {
    return Era != Other.Era ? Era <=> Other.Era : Number <=> Other.Number;
  }
};

/// A key with its value, or the removal of a key.
struct KeyChange {
  std::string Key;
  std::string Value;
  StoreRevision Revision;
  bool Removed = false;
};

/// A page of a listing. The pages of one listing may show the store at
/// different revisions.
struct KeyPage {
  std::vector<KeyChange> Items;
  bool HasMore = false;
  StoreRevision AsOf; ///< The store's revision at the time of the page.
};

/// The changes after a revision.
struct KeyChanges {
  std::vector<KeyChange> Changes;
  StoreRevision AsOf; ///< The changes up to this revision are included.
};

/// A lease that keys can be bound to.
struct KeyLease {
  std::int64_t Id = 0;
  Duration TimeToLive{0};
};

/// The result of a write under a condition.
struct ConditionalWrite {
  bool IsApplied = false;
  /// Of the written key, if applied.
  StoreRevision Revision;
  /// What the store holds instead, if not applied. Empty: the key does not
  /// exist.
  std::vector<KeyChange> Current;
};

/// Access to the store that holds the configuration, targets and daemons.
/// Every callback runs once, on the caller's event loop, with a result or an
/// error. Errc::StaleStore: the store no longer has the history after the
/// revision. Errc::Unavailable: also if the answer is of an earlier era.
/// Errc::NotFound: the lease does not exist.
class KeyValueStore {
public:
  template <typename T> using Callback = std::function<void(Expected<T>)>;
  virtual ~KeyValueStore() = default;

  /// Lists the keys after \p After in key order. The page is at least as new as
  /// the store at the time of the call.
  virtual void list(std::string_view After, Callback<KeyPage> Done) = 0;
  /// Waits up to \p Wait for changes after the revision \p After.
  virtual void watch(StoreRevision After, Duration Wait,
                     Callback<KeyChanges> Done) = 0;
  virtual void grantLease(Duration TimeToLive, Callback<KeyLease> Done) = 0;
  virtual void keepLease(std::int64_t Lease, Callback<KeyLease> Done) = 0;
  /// Writes a key bound to \p Lease and overwrites a present value.
  virtual void put(std::string_view Key, std::string_view Value,
                   std::int64_t Lease, Callback<bool> Done) = 0;
  /// Writes a key without a lease if it is at revision \p Expected; number 0:
  /// if it does not exist. After an error the write may have taken effect.
  virtual void putIf(std::string_view Key, std::string_view Value,
                     StoreRevision Expected, Callback<ConditionalWrite> Done) {
    Done(unexpected(make_error_code(Errc::Unavailable)));
  }
  /// Closes all connections, e.g. after the process was suspended.
  virtual void reconnect() = 0;
};

} // namespace mangodeck

#endif
