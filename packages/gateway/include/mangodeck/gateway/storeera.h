#ifndef MANGODECK_GATEWAY_STOREERA_H
#define MANGODECK_GATEWAY_STOREERA_H

#include "mangodeck/gateway/eventlog.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mangodeck {

/// Learns that the store was restored from an older copy.
class StoreEraObserver {
public:
  virtual ~StoreEraObserver() = default;
  /// The store lost the changes after its copy, leases included. Called before
  /// the answer that stated the new era reaches its caller.
  virtual void onStoreRestored() = 0;
};

/// Tracks the era of the store by the answers to all of a daemon's calls. The
/// store increases its era by one each time that it is restored from a copy.
class StoreEraTracker {
public:
  explicit StoreEraTracker(EventLog &Log) : m_Log(Log) {}

  /// \p Observer must outlive the tracker's last call of recordAnswer().
  void addObserver(StoreEraObserver &Observer) {
    m_Observers.push_back(&Observer);
  }

  /// Records the era that an answer states; std::nullopt if it states none.
  /// Notifies the observers if the era is later than that of all previous
  /// answers. Returns false if it is earlier: the answer was delayed, describes
  /// a state that the store has lost, and must be discarded.
  bool recordAnswer(std::optional<std::uint64_t> Era);

  /// The latest era; 0 if no answer has stated one.
  std::uint64_t current() const { return m_Era; }

private:
  EventLog &m_Log;
  std::vector<StoreEraObserver *> m_Observers;
  std::uint64_t m_Era = 0;
};

} // namespace mangodeck

#endif
