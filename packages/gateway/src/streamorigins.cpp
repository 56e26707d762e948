#include "mangodeck/gateway/streamorigins.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mangodeck {

namespace {

/// A lookup ends after this time: several round trips between failure domains,
/// and a small part of the time after which a caller leaves.
constexpr Duration LookupTimeout = 250ms;
/// A query without an answer is sent again after this time, since the datagram
/// may be lost.
constexpr Duration QueryResendPeriod = 60ms;
/// Period at which expired records are dropped.
constexpr Duration DropPeriod = 1s;
/// Bounds the memory for records. A stream without one is not taken up.
constexpr std::size_t MaxRecords = 32768;
/// Records in one datagram, which stay below a usual MTU.
constexpr std::size_t RecordsPerMessage = 32;

} // namespace

StreamOrigins::StreamOrigins(std::string OwnVm, FailureDomain OwnDomain,
                             OriginSink &Sink)
    : m_OwnVm(OwnVm), m_Sink(Sink),
      m_Holders(std::move(OwnVm), std::move(OwnDomain)) {}

void StreamOrigins::record(const StreamOrigin &Origin, bool IsShared,
                           TimePoint Now) {
  keep(Origin, true, Now);
  if (!IsShared)
    return;
  const OriginMessage Message = OriginRecords{{Origin}};
  for (const auto &Vm : m_Holders.recipientsOf(Origin.Stream))
    m_Sink.sendOrigin(Vm, Message);
}

void StreamOrigins::shareAll(TimePoint Now) {
  std::vector<StreamId> Streams;
  for (const auto &[Stream, Known] : m_Records)
    Streams.push_back(Stream);
  share(Streams, Now);
}

void StreamOrigins::share(std::span<const StreamId> Streams, TimePoint Now) {
  std::map<std::string, OriginRecords> ByRecipient;
  for (const auto Stream : Streams) {
    const auto Found = m_Records.find(Stream);
    if (Found == m_Records.end() || !Found->second.IsOwn ||
        Found->second.ExpiresAt <= Now)
      continue;
    const auto &Known = Found->second;
    for (const auto &Vm : m_Holders.recipientsOf(Stream)) {
      auto &Message = ByRecipient[Vm];
      Message.Origins.push_back(
          {Stream, Known.Version, Known.Send, Known.ExpiresAt - Now});
      if (Message.Origins.size() == RecordsPerMessage)
        m_Sink.sendOrigin(Vm, std::exchange(Message, {}));
    }
  }
  for (const auto &[Vm, Message] : ByRecipient)
    if (!Message.Origins.empty())
      m_Sink.sendOrigin(Vm, Message);
}

void StreamOrigins::keep(const StreamOrigin &Origin, bool IsOwn,
                         TimePoint Now) {
  if (!m_Records.contains(Origin.Stream) && m_Records.size() >= MaxRecords) {
    dropExpired(Now);
    if (m_Records.size() >= MaxRecords)
      return;
  }
  const auto [At, IsNew] = m_Records.try_emplace(Origin.Stream);
  auto &Known = At->second;
  const auto ExpiresAt = Now + Origin.TimeToLive;
  const bool IsSame = Known.Version == Origin.Version;
  // A later send replaces the version. Any other contradiction means that two
  // streams have the same id, of which neither may go on.
  if (IsNew || Origin.Send > Known.Send || Known.ExpiresAt <= Now)
    Known.Version = Origin.Version;
  else if (!IsSame && (Origin.Send == 0 || Origin.Send == Known.Send))
    Known.Version = NoVersion;
  Known.Send = std::max(Known.Send, Origin.Send);
  Known.ExpiresAt = std::max<TimePoint>(Known.ExpiresAt, ExpiresAt);
  Known.IsOwn |= IsOwn;
}

VersionId StreamOrigins::versionOf(StreamId Stream, TimePoint Now) const {
  const auto Found = m_Records.find(Stream);
  return Found == m_Records.end() || Found->second.ExpiresAt <= Now
             ? NoVersion
             : Found->second.Version;
}

void StreamOrigins::find(TicketNumber Number, StreamId Stream, TimePoint Now) {
  Lookup New;
  New.Stream = Stream;
  New.Begun = Now;
  const auto Version = versionOf(Stream, Now);
  const auto Candidates = Version == NoVersion ? m_Holders.candidatesOf(Stream)
                                               : std::vector<std::string>();
  New.Unanswered.insert(Candidates.begin(), Candidates.end());
  New.Asked = New.Unanswered.size();
  auto &Running = m_Lookups[Number] = std::move(New);
  if (Running.Unanswered.empty())
    return finish(Number, Version, Now);
  sendQueries(Number, Running, Now);
}

void StreamOrigins::sendQueries(TicketNumber Number, Lookup &Running,
                                TimePoint Now) {
  Running.LastSent = Now;
  const OriginMessage Query = OriginQuery{m_OwnVm, Number, Running.Stream};
  for (const auto &Vm : Running.Unanswered)
    m_Sink.sendOrigin(Vm, Query);
}

void StreamOrigins::handle(const OriginMessage &Message, TimePoint Now) {
  if (const auto *Records = std::get_if<OriginRecords>(&Message)) {
    for (const auto &Origin : Records->Origins)
      keep(Origin, false, Now);
    return;
  }
  if (const auto *Query = std::get_if<OriginQuery>(&Message))
    return m_Sink.sendOrigin(Query->Vm,
                             OriginAnswer{m_OwnVm, Query->Number, Query->Stream,
                                          versionOf(Query->Stream, Now)});
  handleAnswer(std::get<OriginAnswer>(Message), Now);
}

void StreamOrigins::handleAnswer(const OriginAnswer &Answer, TimePoint Now) {
  const auto Found = m_Lookups.find(Answer.Number);
  if (Found == m_Lookups.end() || Found->second.Stream != Answer.Stream)
    return;
  auto &Unanswered = Found->second.Unanswered;
  Unanswered.erase(Answer.Vm);
  if (Answer.Version != NoVersion || Unanswered.empty())
    finish(Answer.Number, Answer.Version, Now);
}

void StreamOrigins::finish(TicketNumber Number, VersionId Version,
                           TimePoint Now) {
  const auto Ended = m_Lookups.extract(Number).mapped();
  m_Sink.onOriginResult(Number, {Version, Ended.Asked,
                                 Ended.Asked - Ended.Unanswered.size(),
                                 Now - Ended.Begun});
}

void StreamOrigins::update(TimePoint Now) {
  std::vector<TicketNumber> Expired;
  for (auto &[Number, Running] : m_Lookups)
    if (Now - Running.Begun >= LookupTimeout)
      Expired.push_back(Number);
    else if (Now - Running.LastSent >= QueryResendPeriod)
      sendQueries(Number, Running, Now);
  for (const auto Number : Expired)
    finish(Number, NoVersion, Now);
  if (Now - m_LastDropAt >= DropPeriod)
    dropExpired(Now);
}

void StreamOrigins::dropExpired(TimePoint Now) {
  m_LastDropAt = Now;
  std::erase_if(m_Records, [&](const auto &Entry) {
    return Entry.second.ExpiresAt <= Now;
  });
}

} // namespace mangodeck
