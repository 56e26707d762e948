#include "mangodeck/version/revisionwriter.h"

#include "mangodeck/version/compile.h"
#include "mangodeck/version/storereader.h"

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <limits>

namespace mangodeck {

namespace {

constexpr RevisionNumber SnapshotInterval = 50;
constexpr std::size_t SnapshotsKept = 2;
constexpr std::int64_t LogPageSize = 100;
constexpr Duration FirstDelay = 100ms;
constexpr Duration LongestDelay = 5s;
constexpr std::uint32_t MaxDoublings = 6;

Expected<StoreImage> awaitImage(Store &Inner) {
  auto Promise = std::make_shared<std::promise<Expected<StoreImage>>>();
  auto Future = Promise->get_future();
  readStoreImage(Inner, LogPageSize, [Promise](Expected<StoreImage> Image) {
    Promise->set_value(std::move(Image));
  });
  return Future.get();
}

std::optional<Revision> decodeNewest(const LogEntry &Entry) {
  auto Change = decodeRevision(Entry);
  if (!Change)
    return std::nullopt;
  return std::move(*Change);
}

/// Applies log entries to \p State; false if one does not continue the chain.
bool extendState(std::span<const LogEntry> Entries,
                 StoredConfiguration &State) {
  for (const auto &Entry : Entries) {
    auto Change = decodeNewest(Entry);
    if (!Change || Entry.Number != State.Number + 1 ||
        Change->ParentDigest != State.Digest)
      return false;
    auto Records = applyRevision(std::move(State.Records), *Change);
    if (!Records)
      return false;
    State.Records = std::move(*Records);
    State.Number = Entry.Number;
    State.Digest = digestOf(Entry.Value);
    State.Newest = std::move(Change);
  }
  return true;
}

/// Reads the rest of the log, page by page, up to \p Last.
Expected<StoredConfiguration> readPages(BlockingStore &Reader,
                                        StoredConfiguration State,
                                        RevisionNumber Last) {
  while (State.Number < Last) {
    const auto Wanted =
        std::min<RevisionNumber>(Last - State.Number, LogPageSize);
    const auto Page = Reader.range(LogPrefix, logKey(State.Number + 1),
                                   static_cast<std::int64_t>(Wanted));
    if (!Page)
      return unexpected(Page.error());
    if (!extendState(toLogEntries(*Page), State))
      return unexpected(Errc::InvalidInput);
    if (Page->size() < Wanted)
      break;
  }
  return State;
}

AcceptanceResult makeResult(Acceptance Outcome, RevisionNumber Number) {
  AcceptanceResult Result;
  Result.Outcome = Outcome;
  Result.Number = Number;
  return Result;
}

AcceptanceResult makeConflict(const LogEntry &Entry) {
  auto Result = makeResult(Acceptance::Conflict, Entry.Number);
  Result.Digest = digestOf(Entry.Value);
  Result.Other = decodeNewest(Entry);
  return Result;
}

AcceptanceResult makeInvalid(Diagnostics Faults) {
  auto Result = makeResult(Acceptance::Invalid, 0);
  Result.Faults = std::move(Faults);
  return Result;
}

/// The answer to a write that found the key: our own earlier write, or the
/// change of another operator.
AcceptanceResult judgeExisting(const StoreEntry &Found,
                               const Revision &Change) {
  const auto Entry = toLogEntry(Found);
  const auto Existing = decodeNewest(Entry);
  if (!Existing || Existing->ChangeId != Change.ChangeId)
    return makeConflict(Entry);
  auto Result = makeResult(Acceptance::Accepted, Change.Number);
  Result.Digest = digestOf(Entry.Value);
  Result.Entry = Entry;
  return Result;
}

} // namespace

Expected<StoredConfiguration> readConfiguration(Store &Inner) {
  auto Image = awaitImage(Inner);
  if (!Image)
    return unexpected(Image.error());
  StoredConfiguration State;
  if (Image->Base) {
    const auto &Entry = Image->Base->Entry;
    auto Records = decodeImage(Entry.Number, Image->Base->Parts);
    State.Newest = decodeNewest(Entry);
    if (!Records || !State.Newest ||
        State.Newest->StateDigest != stateDigest(*Records))
      return unexpected(Errc::InvalidInput);
    State.Number = Entry.Number;
    State.Digest = digestOf(Entry.Value);
    State.Records = std::move(*Records);
  }
  if (!extendState(Image->Tail, State))
    return unexpected(Errc::InvalidInput);
  if (Image->Tail.size() < static_cast<std::size_t>(LogPageSize))
    return State;
  BlockingStore Reader(Inner);
  return readPages(Reader, std::move(State),
                   std::numeric_limits<RevisionNumber>::max());
}

Expected<StoredConfiguration> readConfigurationAt(Store &Inner,
                                                  RevisionNumber Number) {
  BlockingStore Reader(Inner);
  auto State = readPages(Reader, {}, Number);
  if (State && State->Number != Number)
    return unexpected(Errc::NotFound);
  return State;
}

RevisionWriter::RevisionWriter(Store &Inner, const Clock &Time,
                               RandomSource &Random,
                               std::function<void(Duration)> Sleep)
    : m_Store(Inner), m_Clock(Time), m_Random(Random),
      m_Sleep(std::move(Sleep)) {}

AcceptanceResult RevisionWriter::accept(const ProposedChange &Change,
                                        Duration Patience) {
  // Step 1. The records must be right by themselves.
  const auto Compiled = compile(Change.Wanted);
  if (!Compiled)
    return makeInvalid(Compiled.error());

  // Step 2. The change must have been made against the newest revision.
  const auto State = readConfiguration(m_Store);
  if (!State) {
    auto Result = makeResult(Acceptance::Refused, 0);
    Result.Error = State.error();
    return Result;
  }
  if (State->Number != Change.Base) {
    auto Result = makeResult(Acceptance::Conflict, State->Number);
    Result.Digest = State->Digest;
    Result.Other = State->Newest;
    return Result;
  }

  // Step 3. A change that changes nothing is no revision.
  auto Next = makeChange(State->Records, Change.Wanted);
  if (Next.Put.empty() && Next.Removed.empty()) {
    auto Result = makeResult(Acceptance::Unchanged, State->Number);
    Result.Digest = State->Digest;
    return Result;
  }
  Next.Number = State->Number + 1;
  Next.ParentDigest = State->Digest;
  Next.ChangeId = toString(m_Random.nextRequestId());
  Next.Author = Change.Author;
  Next.Message = Change.Message;
  Next.WrittenAt = m_Clock.wallNow();

  // Step 4. What is written must be readable: decode it as daemons will.
  const LogEntry Entry{Next.Number, encodeRevision(Next)};
  const auto Decoded = decodeRevision(Entry);
  if (!Decoded)
    return makeInvalid({Decoded.error()});

  // Step 5. Write it, and now and then a snapshot beside it.
  const auto Result = write(std::move(Next), Patience);
  if (Result.Outcome == Acceptance::Accepted &&
      Result.Number % SnapshotInterval == 0)
    writeSnapshot(Result.Number, Change.Wanted);
  return Result;
}

/// Creates the log's next key, again and again until the store says whether
/// it exists and whose it is.
AcceptanceResult RevisionWriter::write(Revision Change, Duration Patience) {
  const auto Deadline = m_Clock.now() + Patience;
  const auto Value = encodeRevision(Change);
  BlockingStore Writer(m_Store);
  bool WasSent = false;
  for (std::uint32_t Attempt = 0;; ++Attempt) {
    const auto Written =
        Writer.compareAndSwap({logKey(Change.Number), Value, 0, 0});
    if (Written && Written->Succeeded) {
      auto Result = makeResult(Acceptance::Accepted, Change.Number);
      Result.Digest = digestOf(Value);
      Result.Entry = {Change.Number, Value, Written->ModRevision};
      return Result;
    }
    if (Written && !Written->Current.empty())
      return judgeExisting(Written->Current.front(), Change);
    WasSent = WasSent || Written || Written.error() != Errc::LimitExceeded;
    if (m_Clock.now() >= Deadline) {
      auto Result = makeResult(
          WasSent ? Acceptance::Unknown : Acceptance::Refused, Change.Number);
      Result.Error =
          Written ? std::error_code(Errc::WrongAnswer) : Written.error();
      return Result;
    }
    m_Sleep(nextDelay(Attempt));
  }
}

/// Exponential back-off with full jitter above a half.
Duration RevisionWriter::nextDelay(std::uint32_t Attempt) {
  const auto Full = std::min<Duration>(
      LongestDelay, FirstDelay * (1U << std::min(Attempt, MaxDoublings)));
  return fromSeconds(toSeconds(Full) * (0.5 + 0.5 * m_Random.uniform()));
}

/// Writes the parts first and the manifest last, so that a manifest stands
/// only for a whole image. A failure is no fault of the revision: readers use
/// the snapshot before it, and a longer stretch of the log.
void RevisionWriter::writeSnapshot(RevisionNumber Number,
                                   const RecordSet &Records) {
  BlockingStore Writer(m_Store);
  const auto Parts = encodeImage(Number, Records);
  for (std::size_t I = 0; I < Parts.size(); ++I)
    if (!Writer.compareAndSwap({snapshotPartKey(Number, I), Parts[I], 0, 0}))
      return;
  const auto Manifest =
      fmt::format(R"({{"parts":{},"revision":{}}})", Parts.size(), Number);
  if (Writer.compareAndSwap({snapshotKey(Number), Manifest, 0, 0}))
    dropOldSnapshots();
}

/// Removes the parts of snapshots that no reader starts from any more; the
/// manifest goes first.
void RevisionWriter::dropOldSnapshots() {
  BlockingStore Writer(m_Store);
  const auto Manifests =
      Writer.last(SnapshotPrefix, static_cast<std::int64_t>(SnapshotsKept + 2));
  if (!Manifests)
    return;
  for (std::size_t I = SnapshotsKept; I < Manifests->size(); ++I) {
    const auto &Key = (*Manifests)[I].Key;
    const auto Number = parseRevisionKey(Key).value_or(0);
    if (!Writer.remove(Key))
      return;
    const auto Parts = Writer.range(snapshotPartPrefix(Number), "", 0);
    if (!Parts)
      return;
    for (const auto &Part : *Parts)
      if (!Writer.remove(Part.Key))
        return;
  }
}

} // namespace mangodeck
