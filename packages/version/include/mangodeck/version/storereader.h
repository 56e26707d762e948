#ifndef MANGODECK_VERSION_STOREREADER_H
#define MANGODECK_VERSION_STOREREADER_H

#include "mangodeck/version/configurationfollower.h"
#include "mangodeck/version/store.h"

namespace mangodeck {

/// What a daemon or an operator reads to know the whole configuration.
struct StoreImage {
  std::optional<RecordImage> Base; ///< Empty when no snapshot was written yet.
  std::vector<LogEntry> Tail;      ///< The entries after the base.
};

LogEntry toLogEntry(const StoreEntry &Entry);
std::vector<LogEntry> toLogEntries(std::span<const StoreEntry> Entries);

/// Reads the newest snapshot and the log entries after it, at most \p Limit.
/// Takes two to four calls. \p Inner must outlive the reading.
void readStoreImage(Store &Inner, std::int64_t Limit,
                    Store::Callback<StoreImage> Done);

} // namespace mangodeck

#endif
