#include "mangodeck/gateway/keyreplica.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

/// Removals that are remembered. Above the number of targets and daemons of a
/// large deployment that leave within the longest time for which a daemon asks
/// others.
constexpr std::size_t MaxRemovals = 1024;
/// Above the number of listings, each after a failed call, in the longest time
/// for which a daemon asks others.
constexpr std::size_t MaxGaps = 16;
/// Former values that are kept of a large value, and the size above which
/// values travel whole: DEFLATE refers to the last 32 KiB only.
constexpr std::size_t MaxFormerValues = 4;
constexpr std::size_t MaxFormerValueBytes = 64 << 10;

} // namespace

bool KeyReplica::isNewer(const KeyChange &Change) const {
  if (const auto Known = m_Items.find(Change.Key); Known != m_Items.end())
    return Change.Revision > Known->second.Last.Revision;
  const auto Removed = m_Removals.find(Change.Key);
  return Removed == m_Removals.end() ||
         Change.Revision > Removed->second.Change.Change.Revision;
}

bool KeyReplica::isMissing(const KeyChange &Change) const {
  if (!isNewer(Change))
    return false;
  if (contains(Change.Key))
    return true;
  return !Change.Removed && Change.Revision > m_CompleteFrom &&
         std::none_of(m_Gaps.begin(), m_Gaps.end(), [&](const auto &Each) {
           return Each.contains(Change.Revision);
         });
}

void KeyReplica::recordGap(const RevisionGap &Gap) {
  m_Gaps.push_back(Gap);
  if (m_Gaps.size() <= MaxGaps)
    return;
  m_CompleteFrom = std::max(m_CompleteFrom, m_Gaps.front().To);
  m_Gaps.pop_front();
}

StoreRevision KeyReplica::completeFrom(StoreRevision After) const {
  auto From = std::max(After, m_CompleteFrom);
  for (const auto &Each : m_Gaps)
    if (Each.contains(From))
      From = Each.To;
  return From;
}

std::vector<RevisionGap> KeyReplica::gapsAfter(StoreRevision After) const {
  std::vector<RevisionGap> Later;
  for (const auto &Each : m_Gaps)
    if (Each.From >= After)
      Later.push_back(Each);
  return Later;
}

void KeyReplica::update(const KeyChange &Change, bool IsHeartbeat) {
  if (const auto Removed = m_Removals.find(Change.Key);
      Removed != m_Removals.end()) {
    m_RemovalOrder.erase(Removed->second.Change.Change.Revision);
    m_Removals.erase(Removed);
  }
  auto &Known = m_Items[Change.Key];
  if (Known.Last.Value.size() > MaxRelayedValueBytes &&
      Known.Last.Value.size() <= MaxFormerValueBytes) {
    Known.Former.push_front(std::move(Known.Last));
    if (Known.Former.size() > MaxFormerValues)
      Known.Former.pop_back();
  }
  Known.Last = Change;
  if (!IsHeartbeat)
    Known.SignificantRevision = Change.Revision;
}

void KeyReplica::remove(const KeyChange &Change, bool AfterOutage) {
  const auto Known = m_Items.find(Change.Key);
  if (Known == m_Items.end())
    return;
  m_Removals[Change.Key] = {std::move(Known->second.Last),
                            {Change, false, AfterOutage}};
  m_Items.erase(Known);
  // Several keys may be found missing at the revision of one listing.
  m_RemovalOrder.insert_or_assign(Change.Revision, Change.Key);
  while (m_Removals.size() > MaxRemovals && !m_RemovalOrder.empty()) {
    const auto Oldest = m_RemovalOrder.begin();
    m_CompleteFrom = std::max(m_CompleteFrom, Oldest->first);
    std::erase_if(m_Removals, [&](const auto &Each) {
      return Each.second.Change.Change.Revision <= Oldest->first;
    });
    m_RemovalOrder.erase(Oldest);
  }
}

bool KeyReplica::redateRemoval(const KeyChange &Change) {
  const auto Known = m_Removals.find(Change.Key);
  if (Known == m_Removals.end())
    return false;
  m_RemovalOrder.insert_or_assign(Change.Revision, Change.Key);
  Known->second.Change.Change.Revision = Change.Revision;
  return true;
}

std::vector<KeyChange>
KeyReplica::findUnlisted(const std::unordered_set<std::string> &Listed,
                         StoreRevision AsOf) const {
  std::vector<KeyChange> Missing;
  for (const auto &[Key, Known] : m_Items)
    if (!Listed.contains(Key) && Known.Last.Revision <= AsOf)
      Missing.push_back({Key, std::string(), AsOf, true});
  return Missing;
}

std::optional<ValueDelta> KeyReplica::deltaTo(const KeyChange &Newer) const {
  const auto Known = m_Items.find(Newer.Key);
  if (Newer.Value.size() <= MaxRelayedValueBytes ||
      Newer.Value.size() > MaxFormerValueBytes || Known == m_Items.end() ||
      Known->second.Last.Revision.Era != Newer.Revision.Era)
    return std::nullopt;
  const auto &Base = Known->second.Last;
  return encodeValueDelta(Base.Value, Base.Revision.Number, Newer.Value);
}

void KeyReplica::resolveDeltas(std::vector<RelayedChange> &Changes) const {
  // A later change of the same key refers to an earlier one of the message.
  std::unordered_map<std::string, const KeyChange *> Resolved;
  for (auto &[Change, ValueOmitted, AfterOutage, Delta] : Changes) {
    if (ValueOmitted && Delta) {
      const auto Earlier = Resolved.find(Change.Key);
      const auto Known = m_Items.find(Change.Key);
      const KeyChange *Base = Earlier != Resolved.end() ? Earlier->second
                              : Known != m_Items.end()  ? &Known->second.Last
                                                        : nullptr;
      if (Base && Base->Revision ==
                      StoreRevision{Change.Revision.Era, Delta->BaseRevision})
        if (auto Value = decodeValueDelta(Base->Value, *Delta)) {
          Change.Value = std::move(*Value);
          ValueOmitted = false;
        }
    }
    if (!ValueOmitted)
      Resolved[Change.Key] = &Change;
  }
}

RelayedChange KeyReplica::changeOf(const Item &Known, StoreRevision After,
                                   bool UseDeltas) const {
  RelayedChange Relayed{Known.Last, false, false};
  const auto Base = std::find_if(
      Known.Former.begin(), Known.Former.end(), [&](const KeyChange &Each) {
        return Each.Revision <= After && Each.Revision.Era == After.Era;
      });
  if (!UseDeltas || Base == Known.Former.end())
    return Relayed;
  auto Delta =
      encodeValueDelta(Base->Value, Base->Revision.Number, Known.Last.Value);
  if (Delta.Bytes.size() < Known.Last.Value.size()) {
    Relayed.Change.Value.clear();
    Relayed.ValueOmitted = true;
    Relayed.Delta = std::move(Delta);
  }
  return Relayed;
}

std::vector<RelayedChange> KeyReplica::changesAfter(StoreRevision After,
                                                    bool UseDeltas) const {
  std::vector<RelayedChange> Changes;
  for (const auto &[Key, Known] : m_Items)
    if (Known.SignificantRevision > After)
      Changes.push_back(changeOf(Known, After, UseDeltas));
  for (const auto &[Key, Removed] : m_Removals) {
    if (Removed.Change.Change.Revision <= After)
      continue;
    if (Removed.LastValue.Revision > After)
      Changes.push_back({Removed.LastValue, false, false});
    Changes.push_back(Removed.Change);
  }
  std::sort(Changes.begin(), Changes.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Change.Revision < Right.Change.Revision;
            });
  return Changes;
}

void KeyReplica::restart(StoreRevision Listed) {
  m_Removals.clear();
  m_RemovalOrder.clear();
  m_Gaps.clear();
  m_CompleteFrom = Listed;
}

} // namespace mangodeck
