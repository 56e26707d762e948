#ifndef MANGODECK_PROCESS_GOSSIPENTRYTABLE_H
#define MANGODECK_PROCESS_GOSSIPENTRYTABLE_H

#include "mangodeck/process/gossipentry.h"
#include "membertable.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace mangodeck {

/// The gossip entries that one daemon stores, including those that it
/// published.
class GossipEntryTable {
public:
  struct Key {
    EntryKind Kind;
    VmName Origin; ///< Empty for kinds with one entry over all origins.
    std::string Subject;

    bool operator<(const Key &Other) const {
      return std::tie(Kind, Origin, Subject) <
             std::tie(Other.Kind, Other.Origin, Other.Subject);
    }
  };

  struct Record {
    GossipEntry Entry;
    TimePoint Expiry;
    /// Number of further datagrams in which this entry is sent.
    std::uint32_t SendsLeft = 0;
  };

  /// Merges an entry. Returns its record if the table changed, else null.
  Record *merge(const GossipEntry &Entry, TimePoint Now);

  /// Whether \p Entry has the number of the stored revision but another value.
  bool conflictsWith(const GossipEntry &Entry) const;

  /// Version for the next value published under (\p Origin, \p Kind, \p
  /// Subject).
  std::uint64_t nextVersion(EntryKind Kind, const VmName &Origin,
                            std::string_view Subject) const;

  std::map<Key, Record> &records() { return m_Records; }
  const std::map<Key, Record> &records() const { return m_Records; }

  /// Combines the hash of each entry's version into its bucket of \p Hashes.
  /// Entries that are sent to an audience only are left out.
  void addHashesTo(BucketHashes &Hashes) const;

  /// Removes the entries whose time to live has ended.
  void expire(TimePoint Now);

  /// The entry of \p Stored with the time to live that remains at \p Now.
  static GossipEntry entryToSend(const Record &Stored, TimePoint Now);
  /// Text that bucketOf() maps to the bucket of an entry.
  static std::string bucketKey(const Key &EntryKey);

private:
  std::map<Key, Record> m_Records;
};

} // namespace mangodeck

#endif
