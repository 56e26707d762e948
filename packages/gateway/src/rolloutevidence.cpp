#include "mangodeck/gateway/rolloutevidence.h"

#include "mangodeck/common/boundedjson.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mangodeck {

namespace {

using Json = nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// First elements of the arrays; differ from the tags of the other messages.
constexpr int EvidenceTag = 9;
constexpr int PlanTag = 10;
/// First bytes of MessagePack arrays of EvidenceFields and PlanFields elements.
constexpr unsigned char EvidenceMarker = 0x97;
constexpr std::size_t EvidenceFields = 7;
constexpr unsigned char PlanMarker = 0x9e;
constexpr std::size_t PlanFields = 14;
/// Bounds of what is read from a message.
constexpr std::size_t MaxProcesses = 256;
constexpr std::size_t MaxRows = 1024;
constexpr std::size_t MaxText = 200;
constexpr milliseconds MaxSpan = std::chrono::hours(24);
/// Upper bounds of the encoded sizes of a process without rows, and of a row.
constexpr std::size_t ProcessBytes = 70;
constexpr std::size_t RowBytes = 36;
/// Processes that are sent again in each period though nothing has changed.
constexpr std::size_t RepeatedProcesses = 8;

bool isTagged(std::string_view Bytes, unsigned char Marker, int Tag) {
  return Bytes.size() >= 2 && static_cast<unsigned char>(Bytes[0]) == Marker &&
         Bytes[1] == Tag;
}

std::int64_t toMillis(Duration Span) {
  return duration_cast<milliseconds>(Span).count();
}

Duration spanOf(const Json &Value) {
  return milliseconds(
      std::clamp<std::int64_t>(Value.get<std::int64_t>(), 0, MaxSpan.count()));
}

std::optional<RolloutStep> stepOf(const Json &Value) {
  const auto Number =
      integerWithin(Value, 0, static_cast<int>(RolloutStep::Final));
  return Number ? std::optional(static_cast<RolloutStep>(*Number))
                : std::nullopt;
}

/// The larger of the counts, which only grow.
bool isNewer(const EvidenceCounts &Received, const EvidenceCounts &Known) {
  return Received.Answers > Known.Answers;
}

std::optional<ProcessEvidence> decodeProcess(const Json &Fields) {
  ProcessEvidence Result;
  Result.Vm = Fields.at(0).get<std::string>().substr(0, MaxText);
  Result.Incarnation = Fields.at(1).get<IncarnationId>();
  Result.Sequence = Fields.at(2).get<std::uint64_t>();
  Result.Requests = Fields.at(3).get<std::uint64_t>();
  Result.Sent = Fields.at(4).get<std::uint64_t>();
  const auto Step = stepOf(Fields.at(5));
  Result.OtherRunning = Fields.at(6).get<std::uint32_t>();
  if (!Step)
    return std::nullopt;
  Result.Step = *Step;
  for (const auto &Row : Fields.at(7)) {
    if (Result.Rows.size() == MaxRows)
      break;
    const auto Slice = integerWithin(Row.at(0), 0, RolloutSlices - 1);
    if (!Slice)
      return std::nullopt;
    const EvidenceKey Key{
        static_cast<std::uint8_t>(*Slice), Row.at(1).get<std::uint16_t>(),
        Row.at(2).get<std::uint32_t>(), Row.at(3).get<bool>()};
    const EvidenceCounts Counts{
        Row.at(4).get<std::uint32_t>(), Row.at(5).get<std::uint32_t>(),
        Row.at(6).get<std::uint32_t>(), Row.at(7).get<std::int64_t>(),
        Row.at(8).get<std::int64_t>()};
    if (Counts.Bad > Counts.Answers || Counts.Timed > Counts.Answers)
      return std::nullopt;
    Result.Rows[Key] = Counts;
  }
  return Result;
}

} // namespace

void EvidenceCounts::add(const EvidenceCounts &Other, int Sign) {
  const auto Factor = static_cast<std::uint32_t>(Sign);
  Answers += Factor * Other.Answers;
  Bad += Factor * Other.Bad;
  Timed += Factor * Other.Timed;
  SumLog += Sign * Other.SumLog;
  SumSquares += Sign * Other.SumSquares;
}

std::string encodeEvidence(const EvidenceMessage &Message) {
  auto Processes = Json::array();
  for (const auto &Each : Message.Processes) {
    auto Rows = Json::array();
    for (const auto &[Key, Counts] : Each.Rows)
      Rows.push_back({Key.Slice, Key.Route, Key.Target, Key.IsCandidate,
                      Counts.Answers, Counts.Bad, Counts.Timed, Counts.SumLog,
                      Counts.SumSquares});
    Processes.push_back(Json::array(
        {Each.Vm, Each.Incarnation, Each.Sequence, Each.Requests, Each.Sent,
         static_cast<int>(Each.Step), Each.OtherRunning, std::move(Rows)}));
  }
  std::string Bytes;
  Json::to_msgpack(
      Json::array({EvidenceTag, Message.Service.Text, Message.Order.Era,
                   Message.Order.Number, Message.Domain, Message.IsReport,
                   std::move(Processes)}),
      Bytes);
  return Bytes;
}

std::optional<EvidenceMessage> decodeEvidence(std::string_view Bytes) {
  if (!isTagged(Bytes, EvidenceMarker, EvidenceTag))
    return std::nullopt;
  const auto Fields = parseBoundedMessagePack(Bytes);
  if (!Fields.is_array() || Fields.size() != EvidenceFields)
    return std::nullopt;
  // The library throws if a value has the wrong type or is missing.
  try {
    EvidenceMessage Message;
    Message.Service = ServiceName(Fields[1].get<std::string>());
    Message.Order = {Fields[2].get<std::uint64_t>(),
                     Fields[3].get<std::int64_t>()};
    Message.Domain = Fields[4].get<std::string>();
    Message.IsReport = Fields[5].get<bool>();
    for (const auto &Item : Fields[6]) {
      auto Process = decodeProcess(Item);
      if (!Process || Message.Processes.size() == MaxProcesses)
        return std::nullopt;
      Message.Processes.push_back(std::move(*Process));
    }
    return Message;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::string encodePlan(const PlanMessage &Message) {
  std::string Bytes;
  Json::to_msgpack(
      Json::array({PlanTag, Message.Order.Service.Text,
                   Message.Order.Revision.Era, Message.Order.Revision.Number,
                   Message.Order.To, toMillis(Message.Order.TimeLimit),
                   Message.Vm, Message.Incarnation, Message.Domain,
                   static_cast<int>(Message.Step),
                   Message.IsCondemned ? Json(Message.Reason) : Json(nullptr),
                   toMillis(Message.Elapsed), toMillis(Message.ContactAge),
                   Message.IsDrained}),
      Bytes);
  return Bytes;
}

std::optional<PlanMessage> decodePlanMessage(std::string_view Bytes) {
  if (!isTagged(Bytes, PlanMarker, PlanTag))
    return std::nullopt;
  const auto Fields = parseBoundedMessagePack(Bytes);
  if (!Fields.is_array() || Fields.size() != PlanFields)
    return std::nullopt;
  // The library throws if a value has the wrong type or is missing.
  try {
    PlanMessage Message;
    Message.Order.Service = ServiceName(Fields[1].get<std::string>());
    Message.Order.Revision = {Fields[2].get<std::uint64_t>(),
                              Fields[3].get<std::int64_t>()};
    Message.Order.To = Fields[4].get<std::string>();
    Message.Order.TimeLimit = spanOf(Fields[5]);
    Message.Vm = Fields[6].get<std::string>();
    Message.Incarnation = Fields[7].get<IncarnationId>();
    Message.Domain = Fields[8].get<std::string>();
    const auto Step = stepOf(Fields[9]);
    if (!Step || Message.Order.TimeLimit <= Duration{0})
      return std::nullopt;
    Message.Step = *Step;
    Message.IsCondemned = !Fields[10].is_null();
    if (Message.IsCondemned)
      Message.Reason = Fields[10].get<std::string>().substr(0, MaxText);
    Message.Elapsed = spanOf(Fields[11]);
    Message.ContactAge = spanOf(Fields[12]);
    Message.IsDrained = Fields[13].get<bool>();
    return Message;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

ProcessEvidence &RolloutEvidence::own(const std::string &Vm,
                                      IncarnationId Own) {
  auto &Found = m_Processes[{Vm, Own}];
  Found.Vm = Vm;
  Found.Incarnation = Own;
  return Found;
}

void RolloutEvidence::record(ProcessEvidence &Own, const EvidenceKey &Key,
                             const EvidenceCounts &Answer) {
  Own.Rows[Key].add(Answer);
  m_Sum[Key].add(Answer);
  auto &Changed = m_Changed[{Own.Vm, Own.Incarnation}];
  if (std::find(Changed.begin(), Changed.end(), Key) == Changed.end())
    Changed.push_back(Key);
}

bool RolloutEvidence::merge(const ProcessEvidence &Received,
                            const ProcessId &OwnId) {
  const ProcessId Id(Received.Vm, Received.Incarnation);
  if (Id == OwnId)
    return false;
  auto &Known = m_Processes[Id];
  Known.Vm = Received.Vm;
  Known.Incarnation = Received.Incarnation;
  bool IsNew = false;
  for (const auto &[Key, Counts] : Received.Rows) {
    auto &Before = Known.Rows[Key];
    if (!isNewer(Counts, Before))
      continue;
    m_Sum[Key].add(Before, -1);
    m_Sum[Key].add(Counts);
    Before = Counts;
    m_Changed[Id].push_back(Key);
    IsNew = true;
  }
  Known.Requests = std::max(Known.Requests, Received.Requests);
  Known.Sent = std::max(Known.Sent, Received.Sent);
  if (Received.Sequence > Known.Sequence) {
    Known.Sequence = Received.Sequence;
    Known.Step = Received.Step;
    Known.OtherRunning = Received.OtherRunning;
  }
  return IsNew;
}

RolloutTotals RolloutEvidence::totals() const {
  RolloutTotals Sum;
  for (const auto &[Id, Each] : m_Processes) {
    Sum.Requests += Each.Requests;
    Sum.Sent += Each.Sent;
  }
  for (const auto &[Key, Counts] : m_Sum) {
    (Key.IsCandidate ? Sum.Answers : Sum.OtherAnswers) += Counts.Answers;
    (Key.IsCandidate ? Sum.Bad : Sum.OtherBad) += Counts.Bad;
  }
  Sum.Requests = std::max(Sum.Requests, m_Stored.Requests);
  Sum.Sent = std::max(Sum.Sent, m_Stored.Sent);
  Sum.Answers = std::max(Sum.Answers, m_Stored.Answers);
  Sum.Bad = std::max(Sum.Bad, m_Stored.Bad);
  Sum.OtherAnswers = std::max(Sum.OtherAnswers, m_Stored.OtherAnswers);
  Sum.OtherBad = std::max(Sum.OtherBad, m_Stored.OtherBad);
  return Sum;
}

EvidenceRows RolloutEvidence::rowsWithStored() const {
  auto Rows = m_Sum;
  RolloutTotals Counted;
  for (const auto &[Key, Counts] : m_Sum) {
    (Key.IsCandidate ? Counted.Answers : Counted.OtherAnswers) +=
        Counts.Answers;
    (Key.IsCandidate ? Counted.Bad : Counted.OtherBad) += Counts.Bad;
  }
  const auto Add = [&](bool IsCandidate, std::uint64_t Answers,
                       std::uint64_t Bad) {
    EvidenceCounts Lacking;
    Lacking.Answers = static_cast<std::uint32_t>(Answers);
    Lacking.Bad = static_cast<std::uint32_t>(std::min(Answers, Bad));
    Rows[{0, 0, 0, IsCandidate}].add(Lacking);
  };
  const auto Excess = [](std::uint64_t Stored, std::uint64_t Known) {
    return Stored > Known ? Stored - Known : 0;
  };
  const auto Answers = Excess(m_Stored.Answers, Counted.Answers);
  const auto Others = Excess(m_Stored.OtherAnswers, Counted.OtherAnswers);
  if (Answers > 0 && Others > 0) {
    // In proportion: the bad answers that lack are not known.
    Add(true, Answers, m_Stored.Bad * Answers / m_Stored.Answers);
    Add(false, Others, m_Stored.OtherBad * Others / m_Stored.OtherAnswers);
  }
  return Rows;
}

ProcessEvidence RolloutEvidence::changesOf(const ProcessId &Id) {
  const auto Found = m_Processes.find(Id);
  if (Found == m_Processes.end())
    return {};
  const auto &Known = Found->second;
  ProcessEvidence Result = Known;
  Result.Rows.clear();
  for (const auto &Key : m_Changed[Id])
    Result.Rows[Key] = Known.Rows.at(Key);
  m_Changed.erase(Id);
  // A message may be lost, and the last rows are those that matter most.
  if (!Known.Rows.empty()) {
    const auto Last = Known.Rows.rbegin()->first.Slice;
    for (auto At = Known.Rows.rbegin();
         At != Known.Rows.rend() && At->first.Slice + 1 >= Last; ++At)
      Result.Rows.insert(*At);
  }
  return Result;
}

std::vector<EvidenceMessage>
RolloutEvidence::takeMessages(const EvidenceMessage &Empty) {
  // Step 1. Those that have changed.
  std::vector<ProcessEvidence> Chosen;
  std::vector<ProcessId> Changed;
  for (const auto &[Id, Keys] : m_Changed)
    Changed.push_back(Id);
  for (const auto &Id : Changed)
    Chosen.push_back(changesOf(Id));

  // Step 2. Some of all in turn.
  auto At = m_LastRepeated ? m_Processes.upper_bound(*m_LastRepeated)
                           : m_Processes.begin();
  for (std::size_t I = 0; I < std::min(RepeatedProcesses, m_Processes.size());
       ++I) {
    if (At == m_Processes.end())
      At = m_Processes.begin();
    Chosen.push_back(At->second);
    m_LastRepeated = At->first;
    ++At;
  }

  // Step 3. Divide them into messages, also the rows of one process.
  std::vector<EvidenceMessage> Messages;
  std::size_t Bytes = MaxEvidenceBytes;
  const auto Begin = [&](const ProcessEvidence &Each) {
    if (Bytes + ProcessBytes + RowBytes > MaxEvidenceBytes) {
      Messages.push_back(Empty);
      Bytes = 0;
    }
    Bytes += ProcessBytes;
    auto Part = Each;
    Part.Rows.clear();
    Messages.back().Processes.push_back(std::move(Part));
  };
  for (const auto &Each : Chosen) {
    Begin(Each);
    for (const auto &[Key, Counts] : Each.Rows) {
      if (Bytes + RowBytes > MaxEvidenceBytes)
        Begin(Each);
      Messages.back().Processes.back().Rows[Key] = Counts;
      Bytes += RowBytes;
    }
  }
  return Messages;
}

} // namespace mangodeck
