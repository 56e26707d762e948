#include "mangodeck/version/storereader.h"

namespace mangodeck {

namespace {

using Entries = std::vector<StoreEntry>;

/// One reading in progress; each step starts the next from its callback.
class ImageReading : public std::enable_shared_from_this<ImageReading> {
public:
  ImageReading(Store &Inner, std::int64_t Limit,
               Store::Callback<StoreImage> Done)
      : m_Store(Inner), m_Limit(Limit), m_Done(std::move(Done)) {}

  void readManifest() {
    m_Store.last(SnapshotPrefix, 1,
                 [Self = shared_from_this()](Expected<Entries> Found) {
                   if (!Found)
                     Self->m_Done(unexpected(Found.error()));
                   else if (Found->empty())
                     Self->readTail(0);
                   else
                     Self->readParts(Found->front());
                 });
  }

private:
  void readParts(const StoreEntry &Manifest) {
    const auto Number = parseRevisionKey(Manifest.Key).value_or(0);
    m_Store.range(snapshotPartPrefix(Number), "", 0,
                  [Self = shared_from_this(), Number](Expected<Entries> Found) {
                    if (!Found) {
                      Self->m_Done(unexpected(Found.error()));
                      return;
                    }
                    RecordImage Base;
                    for (auto &Part : *Found)
                      Base.Parts.push_back(std::move(Part.Value));
                    Self->m_Image.Base = std::move(Base);
                    Self->readEntry(Number);
                  });
  }

  void readEntry(RevisionNumber Number) {
    m_Store.get(logKey(Number),
                [Self = shared_from_this(), Number](Expected<Entries> Found) {
                  if (!Found) {
                    Self->m_Done(unexpected(Found.error()));
                  } else if (Found->empty()) {
                    Self->m_Done(unexpected(Errc::StaleStore));
                  } else {
                    Self->m_Image.Base->Entry = toLogEntry(Found->front());
                    Self->readTail(Number);
                  }
                });
  }

  void readTail(RevisionNumber After) {
    m_Store.range(LogPrefix, logKey(After + 1), m_Limit,
                  [Self = shared_from_this()](Expected<Entries> Found) {
                    if (!Found) {
                      Self->m_Done(unexpected(Found.error()));
                      return;
                    }
                    Self->m_Image.Tail = toLogEntries(*Found);
                    Self->m_Done(std::move(Self->m_Image));
                  });
  }

  Store &m_Store;
  std::int64_t m_Limit;
  Store::Callback<StoreImage> m_Done;
  StoreImage m_Image;
};

} // namespace

LogEntry toLogEntry(const StoreEntry &Entry) {
  return {parseRevisionKey(Entry.Key).value_or(0), Entry.Value,
          Entry.ModRevision};
}

std::vector<LogEntry> toLogEntries(std::span<const StoreEntry> Entries) {
  std::vector<LogEntry> Result;
  for (const auto &Entry : Entries)
    Result.push_back(toLogEntry(Entry));
  return Result;
}

void readStoreImage(Store &Inner, std::int64_t Limit,
                    Store::Callback<StoreImage> Done) {
  std::make_shared<ImageReading>(Inner, Limit, std::move(Done))->readManifest();
}

} // namespace mangodeck
