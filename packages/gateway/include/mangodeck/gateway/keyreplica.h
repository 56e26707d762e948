#ifndef MANGODECK_GATEWAY_KEYREPLICA_H
#define MANGODECK_GATEWAY_KEYREPLICA_H

#include "mangodeck/gateway/changerelay.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mangodeck {

/// The store's keys with their values as a daemon knows them, and the last
/// removals: what it needs to tell another daemon all changes after a revision.
/// Takes the memory of the store's keys, of MaxRemovals removed ones, and of
/// MaxFormerValues former ones of each large value.
class KeyReplica {
public:
  /// Whether \p Change is newer than what is known of its key. A removed key is
  /// remembered, so that a delayed copy of its value does not bring it back.
  bool isNewer(const KeyChange &Change) const;
  /// Whether \p Change is newer than what is known of its key, and a daemon
  /// that knows all changes up to a revision behind it would know it: an
  /// unknown key has not been removed since.
  bool isMissing(const KeyChange &Change) const;
  bool contains(const std::string &Key) const { return m_Items.contains(Key); }
  /// Records a newer value. \p IsHeartbeat: it makes no difference to any
  /// daemon and is left out of changesAfter().
  void update(const KeyChange &Change, bool IsHeartbeat);
  /// Records the removal of a key; see RelayedChange for \p AfterOutage.
  void remove(const KeyChange &Change, bool AfterOutage);
  /// Records a later revision of a removal that is known already; returns
  /// whether it is. A listing shows a removal between two of its pages as one
  /// of before the first page.
  bool redateRemoval(const KeyChange &Change);
  /// The removals of the keys whose revisions are at most \p AsOf and that are
  /// not in \p Listed, a complete listing as of that revision.
  std::vector<KeyChange>
  findUnlisted(const std::unordered_set<std::string> &Listed,
               StoreRevision AsOf) const;
  /// The last change of each key after \p After, in the order of revisions. The
  /// last heartbeat of a removed key precedes its removal. \p UseDeltas: a
  /// large value is replaced by its difference from the value as of \p After,
  /// if that one is kept and the difference is smaller.
  std::vector<RelayedChange> changesAfter(StoreRevision After,
                                          bool UseDeltas) const;
  /// The difference of a newer value from the one that is known; std::nullopt
  /// if the newer one is small or very large, or none is known.
  std::optional<ValueDelta> deltaTo(const KeyChange &Newer) const;
  /// Restores the omitted values of \p Changes, which are in the order of
  /// revisions, from their differences. Those whose base is not known, or is
  /// another one, stay omitted.
  void resolveDeltas(std::vector<RelayedChange> &Changes) const;
  /// Records that removals are not known; see RevisionGap.
  void recordGap(const RevisionGap &Gap);
  /// The least revision, at least \p After, for which changesAfter() lacks no
  /// removal.
  StoreRevision completeFrom(StoreRevision After) const;
  /// The gaps that begin at \p After or later.
  std::vector<RevisionGap> gapsAfter(StoreRevision After) const;
  /// All keys are known as of \p Listed, and no removals before.
  void restart(StoreRevision Listed);

private:
  struct Item {
    KeyChange Last;
    /// Of the last change that was no heartbeat.
    StoreRevision SignificantRevision;
    /// Large values before the last one, the latest first.
    std::deque<KeyChange> Former;
  };
  struct Removal {
    KeyChange LastValue;
    RelayedChange Change;
  };

  RelayedChange changeOf(const Item &Known, StoreRevision After,
                         bool UseDeltas) const;

  std::unordered_map<std::string, Item> m_Items;
  std::unordered_map<std::string, Removal> m_Removals;
  std::map<StoreRevision, std::string> m_RemovalOrder;
  /// Removals before may not be known.
  StoreRevision m_CompleteFrom;
  std::deque<RevisionGap> m_Gaps; ///< After m_CompleteFrom, the latest last.
};

} // namespace mangodeck

#endif
