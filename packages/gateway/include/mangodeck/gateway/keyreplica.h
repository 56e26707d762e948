#ifndef MANGODECK_GATEWAY_KEYREPLICA_H
#define MANGODECK_GATEWAY_KEYREPLICA_H

#include "mangodeck/gateway/changerelay.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mangodeck {

/// The store's keys with their values as a daemon knows them, and the last
/// removals: what it needs to tell another daemon all changes after a revision.
/// Takes the memory of the store's keys and of MaxRemovals removed ones.
class KeyReplica {
public:
  /// Whether \p Change is newer than what is known of its key. A removed key is
  /// remembered, so that a delayed copy of its value does not bring it back.
  bool isNewer(const KeyChange &Change) const;
  bool contains(const std::string &Key) const { return m_Items.contains(Key); }
  /// Records a newer value. \p IsHeartbeat: it makes no difference to any
  /// daemon and is left out of changesAfter().
  void update(const KeyChange &Change, bool IsHeartbeat);
  /// Records the removal of a key; see RelayedChange for \p AfterOutage.
  void remove(const KeyChange &Change, bool AfterOutage);
  /// The removals of the keys whose revisions are at most \p AsOf and that are
  /// not in \p Listed, a complete listing as of that revision.
  std::vector<KeyChange>
  findUnlisted(const std::unordered_set<std::string> &Listed,
               StoreRevision AsOf) const;
  /// The last change of each key after \p After, in the order of revisions. The
  /// last heartbeat of a removed key precedes its removal.
  std::vector<RelayedChange> changesAfter(StoreRevision After) const;
  /// changesAfter() lacks removals if it is asked for those before this
  /// revision.
  StoreRevision completeFrom() const { return m_CompleteFrom; }
  /// All keys are known as of \p Listed, and no removals before.
  void restart(StoreRevision Listed);

private:
  struct Item {
    KeyChange Last;
    /// Of the last change that was no heartbeat.
    StoreRevision SignificantRevision;
  };
  struct Removal {
    KeyChange LastValue;
    RelayedChange Change;
  };

  std::unordered_map<std::string, Item> m_Items;
  std::unordered_map<std::string, Removal> m_Removals;
  std::map<StoreRevision, std::string> m_RemovalOrder;
  StoreRevision m_CompleteFrom;
};

} // namespace mangodeck

#endif
