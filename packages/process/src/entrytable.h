#ifndef MANGODECK_PROCESS_ENTRYTABLE_H
#define MANGODECK_PROCESS_ENTRYTABLE_H

#include "mangodeck/process/gossipentry.h"
#include "membertable.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace mangodeck {

/// The gossip entries that one daemon holds, its own included.
class EntryTable {
public:
  struct Key {
    EntryKind Kind;
    VmName Origin; ///< Empty for kinds kept once for all origins.
    std::string Subject;

    bool operator<(const Key &Other) const {
      return std::tie(Kind, Origin, Subject) <
             std::tie(Other.Kind, Other.Origin, Other.Subject);
    }
  };

  struct Record {
    GossipEntry Entry;
    TimePoint Expiry;
    std::uint32_t SendsLeft = 0;
  };

  /// Merges an entry. Returns its record if it was news, else null.
  Record *merge(const GossipEntry &Entry, TimePoint Now);

  /// Whether \p Entry claims another digest for the revision that is held.
  bool contradicts(const GossipEntry &Entry) const;

  /// Version for the next value of (\p Origin, \p Kind, \p Subject).
  std::uint64_t nextVersion(EntryKind Kind, const VmName &Origin,
                            std::string_view Subject) const;

  std::map<Key, Record> &records() { return m_Records; }
  const std::map<Key, Record> &records() const { return m_Records; }

  /// Adds the versions of the entries that spread to all to \p Hashes.
  void addHashesTo(BucketHashes &Hashes) const;

  void expire(TimePoint Now);

  /// \p Found as it is to be sent at \p Now.
  static GossipEntry aged(const Record &Found, TimePoint Now);
  static std::string bucketKey(const Key &Name);

private:
  std::map<Key, Record> m_Records;
};

} // namespace mangodeck

#endif
