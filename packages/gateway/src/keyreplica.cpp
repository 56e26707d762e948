#include "mangodeck/gateway/keyreplica.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

/// Removals that are remembered. Above the number of targets and daemons of a
/// large deployment that leave within the longest time for which a daemon asks
/// others.
constexpr std::size_t MaxRemovals = 1024;

} // namespace

bool KeyReplica::isNewer(const KeyChange &Change) const {
  if (const auto Known = m_Items.find(Change.Key); Known != m_Items.end())
    return Change.Revision > Known->second.Last.Revision;
  const auto Removed = m_Removals.find(Change.Key);
  return Removed == m_Removals.end() ||
         Change.Revision > Removed->second.Change.Change.Revision;
}

void KeyReplica::update(const KeyChange &Change, bool IsHeartbeat) {
  if (const auto Removed = m_Removals.find(Change.Key);
      Removed != m_Removals.end()) {
    m_RemovalOrder.erase(Removed->second.Change.Change.Revision);
    m_Removals.erase(Removed);
  }
  auto &Known = m_Items[Change.Key];
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

std::vector<KeyChange>
KeyReplica::findUnlisted(const std::unordered_set<std::string> &Listed,
                         StoreRevision AsOf) const {
  std::vector<KeyChange> Missing;
  for (const auto &[Key, Known] : m_Items)
    if (!Listed.contains(Key) && Known.Last.Revision <= AsOf)
      Missing.push_back({Key, std::string(), AsOf, true});
  return Missing;
}

std::vector<RelayedChange> KeyReplica::changesAfter(StoreRevision After) const {
  std::vector<RelayedChange> Changes;
  for (const auto &[Key, Known] : m_Items)
    if (Known.SignificantRevision > After)
      Changes.push_back({Known.Last, false, false});
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
  m_CompleteFrom = Listed;
}

} // namespace mangodeck
