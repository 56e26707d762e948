#include "gossipentrytable.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace mangodeck {

namespace {

constexpr std::size_t MaxEntries = 20000;

/// Entries with less time to live are not stored. Otherwise an entry that
/// has just expired here could be added again by a message of another member.
constexpr Duration MinRemaining = 1s;

GossipEntryTable::Key keyOf(const GossipEntry &Entry) {
  if (Entry.Kind == EntryKind::Revision)
    return {Entry.Kind, VmName(), std::string()};
  return {Entry.Kind, Entry.Origin, Entry.Subject};
}

/// Whether \p New replaces \p Old. Revisions of all origins are ordered by
/// their number, which is their version; other entries by the incarnation of
/// their origin, then by their version.
bool supersedes(const GossipEntry &New, const GossipEntry &Old) {
  if (New.Kind == EntryKind::Revision)
    return New.Version > Old.Version;
  return std::tie(New.Started, New.Version) >
         std::tie(Old.Started, Old.Version);
}

} // namespace

GossipEntryTable::Record *GossipEntryTable::merge(const GossipEntry &Entry,
                                                  TimePoint Now) {
  if (Entry.Remaining < MinRemaining)
    return nullptr;
  const auto EntryKey = keyOf(Entry);
  const auto It = m_Records.find(EntryKey);
  if (It != m_Records.end() && !supersedes(Entry, It->second.Entry))
    return nullptr;
  if (It == m_Records.end() && m_Records.size() >= MaxEntries)
    return nullptr;
  auto &Stored = m_Records[EntryKey];
  Stored.Entry = Entry;
  Stored.Expiry = Now + Entry.Remaining;
  return &Stored;
}

bool GossipEntryTable::conflictsWith(const GossipEntry &Entry) const {
  if (Entry.Kind != EntryKind::Revision)
    return false;
  const auto It = m_Records.find(keyOf(Entry));
  return It != m_Records.end() && It->second.Entry.Version == Entry.Version &&
         It->second.Entry.Value != Entry.Value;
}

std::uint64_t GossipEntryTable::nextVersion(EntryKind Kind,
                                            const VmName &Origin,
                                            std::string_view Subject) const {
  const auto It = m_Records.find(Key{Kind, Origin, std::string(Subject)});
  return It == m_Records.end() ? 1 : It->second.Entry.Version + 1;
}

std::string GossipEntryTable::bucketKey(const Key &EntryKey) {
  std::string Text(1, static_cast<char>('0' + static_cast<int>(EntryKey.Kind)));
  Text.append(EntryKey.Origin.Text).push_back('/');
  return Text.append(EntryKey.Subject);
}

void GossipEntryTable::addHashesTo(BucketHashes &Hashes) const {
  for (const auto &[EntryKey, Stored] : m_Records) {
    if (Stored.Entry.Direct)
      continue;
    const auto Text = bucketKey(EntryKey);
    const std::uint64_t Fields[] = {
        EntryKey.Kind == EntryKind::Revision ? 0 : Stored.Entry.Started,
        Stored.Entry.Version};
    const auto Seed = XXH3_64bits(Text.data(), Text.size());
    Hashes[bucketOf(Text)] ^= static_cast<std::uint32_t>(
        XXH3_64bits_withSeed(Fields, sizeof(Fields), Seed));
  }
}

void GossipEntryTable::expire(TimePoint Now) {
  std::erase_if(m_Records,
                [Now](const auto &Item) { return Item.second.Expiry <= Now; });
}

GossipEntry GossipEntryTable::entryToSend(const Record &Stored, TimePoint Now) {
  auto Entry = Stored.Entry;
  Entry.Remaining = std::max(Duration(0), Duration(Stored.Expiry - Now));
  return Entry;
}

} // namespace mangodeck
