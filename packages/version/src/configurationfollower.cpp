#include "mangodeck/version/configurationfollower.h"

#include "mangodeck/version/compile.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace mangodeck {

namespace {

constexpr std::int64_t LogReadLimit = 100;
constexpr std::size_t MaxPending = 64;
constexpr std::size_t MaxPeers = 1024;
/// A read of the store that got no answer is repeated after this long.
constexpr Duration StoreTimeout = 10s;
/// Delay before the same entries are asked for again; doubles up to the
/// bound while what arrives does not continue the chain.
constexpr Duration RetryDelay = 1s;
constexpr std::uint32_t MaxRetryDoublings = 5;

constexpr std::array<std::string_view, 5> AlarmNames = {
    "store-older", "store-conflict", "peer-conflict", "unknown-schema",
    "invalid"};

} // namespace

std::string_view toString(ConfigurationAlarm Kind) {
  return AlarmNames[static_cast<std::size_t>(Kind)];
}

ConfigurationFollower::ConfigurationFollower(FollowerOptions Options)
    : m_Options(Options) {}

void ConfigurationFollower::start(TimePoint Now, Actions &) {
  m_StartDeadline = Now + m_Options.StartWait;
  m_NextHeadRead = m_StartDeadline;
}

bool ConfigurationFollower::isStarting(TimePoint Now) const {
  return m_Known == 0 && Now < m_StartDeadline;
}

void ConfigurationFollower::onWatch(std::span<const LogEntry> Entries,
                                    TimePoint Now, Actions &Out) {
  for (const auto &Entry : Entries) {
    m_WatchedNumber = std::max(m_WatchedNumber, Entry.Number);
    offer(Entry, Source::Store, Out);
  }
  askStore(Now, Out);
}

/// Compares the store's newest key with what is known. Reads are linearizable,
/// so an answer below what was known when the read was sent means that the
/// store has lost entries. The entry itself is read again only when its
/// version is not the one that was compared last.
void ConfigurationFollower::onStoreHead(const StoreHead &Head, TimePoint Now,
                                        Actions &Out) {
  m_StoreReadSince.reset();
  // Step 1. A log that ends too early is an old copy.
  if (Head.Number < m_KnownAtHeadRead) {
    raise(ConfigurationAlarm::StoreOlder,
          fmt::format("store ends at {}, known here {}", Head.Number,
                      m_KnownAtHeadRead),
          Out);
    return;
  }
  clear(ConfigurationAlarm::StoreOlder, Out);
  // Step 2. Nothing new, and nothing replaced.
  const bool IsVerified = Head.Number == m_VerifiedHead.Number &&
                          Head.ModRevision == m_VerifiedHead.ModRevision;
  if (IsVerified || Head.Number == 0)
    return;
  // Step 3. A change that the watch should have delivered.
  if (m_Known != 0 && Head.Number > m_Known && Head.Number > m_WatchedNumber)
    Out.emplace_back(ReopenWatch{});
  m_StoreReadSince = Now;
  if (m_Known == 0)
    Out.emplace_back(ReadStoreImage{});
  else
    Out.emplace_back(
        ReadStoreLog{std::min(m_Known, Head.Number) - 1, LogReadLimit});
}

void ConfigurationFollower::onStoreLog(std::span<const LogEntry> Entries,
                                       TimePoint Now, Actions &Out) {
  m_StoreReadSince.reset();
  for (const auto &Entry : Entries)
    offer(Entry, Source::Store, Out);
  if (Entries.size() == static_cast<std::size_t>(LogReadLimit) &&
      Entries.back().Number == m_Known) {
    m_StoreReadSince = Now;
    Out.emplace_back(ReadStoreLog{m_Known, LogReadLimit});
  }
}

void ConfigurationFollower::onStoreImage(
    const std::optional<RecordImage> &Image, std::span<const LogEntry> Tail,
    TimePoint Now, Actions &Out) {
  if (Image && m_Known == 0)
    startFromImage(*Image, Source::Store, Out);
  onStoreLog(Tail, Now, Out);
}

void ConfigurationFollower::onStoreFailed(TimePoint) {
  m_StoreReadSince.reset();
  m_VerifiedHead = {};
}

void ConfigurationFollower::onGossip(const VmName &Peer, RevisionNumber Number,
                                     std::string_view Digest, TimePoint Now,
                                     Actions &Out) {
  if (!m_Peers.contains(Peer) && m_Peers.size() >= MaxPeers)
    m_Peers.erase(m_Peers.begin());
  m_Peers[Peer] = {Number, std::string(Digest)};
  if (Number == m_Known && Digest != m_Digest) {
    m_ConflictingPeers.insert(Peer);
    raiseConflict(Source::Peer, Number, Out);
  } else if (Number == m_Known && m_ConflictingPeers.erase(Peer) > 0 &&
             m_ConflictingPeers.empty()) {
    clear(ConfigurationAlarm::PeerConflict, Out);
  }
  askPeers(Now, Out);
}

void ConfigurationFollower::onPeerEntries(const VmName &Peer,
                                          std::span<const LogEntry> Entries,
                                          TimePoint Now, Actions &Out) {
  const auto KnownBefore = m_Known;
  // Step 1. With nothing known yet, an image is the base.
  RecordImage Image;
  for (const auto &Entry : Entries) {
    if (isImagePart(Entry.Value))
      Image.Parts.push_back(Entry.Value);
    else if (Image.Entry.Number == 0)
      Image.Entry = Entry;
  }
  if (m_Known == 0 && !Image.Parts.empty())
    startFromImage(Image, Source::Peer, Out);
  // Step 2. The rest are entries of the log.
  for (const auto &Entry : Entries)
    if (!isImagePart(Entry.Value))
      offer(Entry, Source::Peer, Out);
  // Step 3. Ask on at once after progress, and after a delay without.
  if (m_Known > KnownBefore)
    m_PeerFetchSince.reset();
  askPeers(Now, Out);
}

void ConfigurationFollower::tick(TimePoint Now, Actions &Out) {
  askPeers(Now, Out);
  askStore(Now, Out);
  if (isStarting(Now) || Now < m_NextHeadRead || m_StoreReadSince)
    return;
  m_NextHeadRead = Now + m_Options.HeadInterval;
  m_KnownAtHeadRead = m_Known;
  m_StoreReadSince = Now;
  Out.emplace_back(ReadStoreHead{});
}

std::vector<LogEntry>
ConfigurationFollower::entriesAfter(RevisionNumber After) const {
  std::vector<LogEntry> Result;
  if (After >= m_Known || m_Tail.empty())
    return Result;
  if (After + 1 >= m_Tail.front().Entry.Number) {
    for (const auto &Item : m_Tail)
      if (Item.Entry.Number > After)
        Result.push_back(Item.Entry);
    return Result;
  }
  Result.push_back(m_Tail.back().Entry);
  for (auto &Part : encodeImage(m_Known, m_Records))
    Result.push_back({m_Known, std::move(Part)});
  return Result;
}

/// Takes one entry of the log from whatever source: compares it when its
/// number is known, extends the chain when it is the next, and keeps it for
/// later when entries before it are missing.
void ConfigurationFollower::offer(const LogEntry &Entry, Source From,
                                  Actions &Out) {
  if (Entry.Number <= m_Known) {
    compareKnown(Entry, From, Out);
    return;
  }
  if (Entry.Number > m_Known + 1) {
    if (m_Pending.size() < MaxPending)
      m_Pending.insert_or_assign(Entry.Number, PendingEntry{Entry, From});
    return;
  }
  if (extend(Entry, From, Out))
    drainPending(Out);
}

void ConfigurationFollower::compareKnown(const LogEntry &Entry, Source From,
                                         Actions &Out) {
  const auto It = std::find_if(m_Tail.begin(), m_Tail.end(),
                               [&Entry](const TailEntry &Item) {
                                 return Item.Entry.Number == Entry.Number;
                               });
  if (It == m_Tail.end())
    return;
  if (It->Digest != digestOf(Entry.Value)) {
    raiseConflict(From, Entry.Number, Out);
    return;
  }
  if (From == Source::Store && Entry.Number == m_Known)
    clear(ConfigurationAlarm::StoreConflict, Out);
  noteVerified(Entry, From);
}

/// Remembers the store's version of the newest entry once its content is
/// known to be the one here, so that it need not be read again.
void ConfigurationFollower::noteVerified(const LogEntry &Entry, Source From) {
  if (From == Source::Store && Entry.Number == m_Known)
    m_VerifiedHead = {Entry.Number, Entry.ModRevision};
}

/// Appends the next entry, or counts the failure: it delays the next attempt.
bool ConfigurationFollower::extend(const LogEntry &Entry, Source From,
                                   Actions &Out) {
  if (!append(Entry, From, Out)) {
    ++m_FailedExtensions;
    m_Pending.clear();
    return false;
  }
  m_FailedExtensions = 0;
  noteVerified(Entry, From);
  return true;
}

/// Appends the next entry if it continues the chain. Costs one digest over
/// all records, since the entry states the digest of its result.
bool ConfigurationFollower::append(const LogEntry &Entry, Source From,
                                   Actions &Out) {
  const auto Change = decodeRevision(Entry, m_Options.MaxSchema);
  if (!Change) {
    const auto Kind = Change.error().Code == Errc::UnknownSchema
                          ? ConfigurationAlarm::UnknownSchema
                          : ConfigurationAlarm::Invalid;
    raise(Kind, toString(Change.error()), Out);
    return false;
  }
  if (Change->ParentDigest != m_Digest) {
    raiseConflict(From, Entry.Number, Out);
    return false;
  }
  auto Records = applyRevision(m_Records, *Change);
  if (!Records) {
    raise(ConfigurationAlarm::Invalid,
          fmt::format("revision {} does not give the state it states",
                      Entry.Number),
          Out);
    return false;
  }
  m_Records = std::move(*Records);
  m_Known = Entry.Number;
  m_Digest = digestOf(Entry.Value);
  keepInTail(Entry, m_Digest);
  putInForce(Out);
  return true;
}

void ConfigurationFollower::drainPending(Actions &Out) {
  while (!m_Pending.empty()) {
    const auto First = m_Pending.begin();
    if (First->first > m_Known + 1)
      return;
    const auto Next = std::move(First->second);
    m_Pending.erase(First);
    if (Next.Entry.Number <= m_Known)
      compareKnown(Next.Entry, Next.From, Out);
    else if (!extend(Next.Entry, Next.From, Out))
      return;
  }
}

/// Takes an image as the base when its records give the digest that the log
/// entry of the same revision states.
bool ConfigurationFollower::startFromImage(const RecordImage &Image,
                                           Source From, Actions &Out) {
  assert(m_Known == 0 && "an image never replaces a known revision");
  const auto Change = decodeRevision(Image.Entry, m_Options.MaxSchema);
  auto Records =
      decodeImage(Image.Entry.Number, Image.Parts, m_Options.MaxSchema);
  if (!Change || !Records || stateDigest(*Records) != Change->StateDigest) {
    raise(ConfigurationAlarm::Invalid,
          fmt::format("image of revision {} from {} is not usable",
                      Image.Entry.Number,
                      From == Source::Store ? "the store" : "a peer"),
          Out);
    return false;
  }
  m_Records = std::move(*Records);
  m_Known = Image.Entry.Number;
  m_Digest = digestOf(Image.Entry.Value);
  keepInTail(Image.Entry, m_Digest);
  noteVerified(Image.Entry, From);
  putInForce(Out);
  drainPending(Out);
  return true;
}

void ConfigurationFollower::keepInTail(const LogEntry &Entry,
                                       std::string Digest) {
  m_Tail.push_back({Entry, std::move(Digest)});
  m_TailBytes += Entry.Value.size();
  while (m_Tail.size() > 1 && m_TailBytes > m_Options.TailBytes) {
    m_TailBytes -= m_Tail.front().Entry.Value.size();
    m_Tail.pop_front();
  }
}

/// Compiles the newest revision. One that needs a newer program leaves the
/// last one in force; a later revision may end that.
void ConfigurationFollower::putInForce(Actions &Out) {
  auto Config = compile(m_Records, m_Known, m_Digest);
  if (!Config) {
    const auto IsUnknown = [](const Diagnostic &Fault) {
      return Fault.Code == Errc::UnknownSchema;
    };
    const auto &Faults = Config.error();
    const bool NeedsNewer =
        std::any_of(Faults.begin(), Faults.end(), IsUnknown);
    raise(NeedsNewer ? ConfigurationAlarm::UnknownSchema
                     : ConfigurationAlarm::Invalid,
          fmt::format("revision {}: {}", m_Known, toString(Faults.front())),
          Out);
    return;
  }
  m_InForce = m_Known;
  clear(ConfigurationAlarm::UnknownSchema, Out);
  clear(ConfigurationAlarm::Invalid, Out);
  Out.emplace_back(PutInForce{std::move(*Config)});
}

void ConfigurationFollower::raise(ConfigurationAlarm Kind, std::string Detail,
                                  Actions &Out) {
  if (m_Alarms.insert(Kind).second)
    Out.emplace_back(SetAlarm{Kind, true, std::move(Detail)});
}

void ConfigurationFollower::clear(ConfigurationAlarm Kind, Actions &Out) {
  if (m_Alarms.erase(Kind) > 0)
    Out.emplace_back(SetAlarm{Kind, false, ""});
}

void ConfigurationFollower::raiseConflict(Source From, RevisionNumber Number,
                                          Actions &Out) {
  raise(From == Source::Store ? ConfigurationAlarm::StoreConflict
                              : ConfigurationAlarm::PeerConflict,
        fmt::format("other content for revision {}", Number), Out);
}

Duration ConfigurationFollower::retryDelay() const {
  if (m_FailedExtensions == 0)
    return Duration(0);
  return RetryDelay * (1U << std::min(m_FailedExtensions, MaxRetryDoublings));
}

/// Fetches from the next peer that knows more, one fetch at a time. Peers are
/// asked in turn, so that one that does not answer holds nothing up.
void ConfigurationFollower::askPeers(TimePoint Now, Actions &Out) {
  const auto Delay = std::max(m_Options.PeerTimeout, retryDelay());
  if (m_PeerFetchSince && Now < *m_PeerFetchSince + Delay)
    return;
  const auto KnowsMore = [this](const auto &Pair) {
    return Pair.second.Number > m_Known;
  };
  auto It = std::find_if(m_Peers.upper_bound(m_LastPeerAsked), m_Peers.end(),
                         KnowsMore);
  if (It == m_Peers.end())
    It = std::find_if(m_Peers.begin(), m_Peers.end(), KnowsMore);
  if (It == m_Peers.end())
    return;
  m_PeerFetchSince = Now;
  m_LastPeerAsked = It->first;
  Out.emplace_back(FetchFromPeer{It->first, m_Known});
}

/// Reads from the store what lies before entries that wait beyond a gap.
void ConfigurationFollower::askStore(TimePoint Now, Actions &Out) {
  if (m_StoreReadSince && Now >= *m_StoreReadSince + StoreTimeout)
    m_StoreReadSince.reset();
  if (m_Pending.empty() || m_StoreReadSince || isStarting(Now) ||
      Now < m_NextLogRead)
    return;
  m_StoreReadSince = Now;
  m_NextLogRead = Now + std::max(RetryDelay, retryDelay());
  if (m_Known == 0)
    Out.emplace_back(ReadStoreImage{});
  else
    Out.emplace_back(ReadStoreLog{m_Known, LogReadLimit});
}

} // namespace mangodeck
