#include "mangodeck/gateway/slotmessages.h"

#include "mangodeck/common/boundedjson.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>

namespace mangodeck {

namespace {

/// Spreads of the output in messages are whole multiples of 1 / this.
constexpr double SpreadPrecision = 100;
/// Bound of a spread from a message.
constexpr double MaxSpread = 3;

constexpr int RequestTag = 1;
constexpr int DecisionTag = 2;
constexpr int UpdateTag = 3;
/// First byte of a MessagePack map of 16 to 65535 fields.
constexpr unsigned char Map16Marker = 0xde;

/// Bound of the times in messages; requests last less.
constexpr std::chrono::microseconds MaxSpan = std::chrono::hours(1);

std::int64_t toMicros(Duration Span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Span).count();
}

Duration fromMicros(const nlohmann::json &Value) {
  return std::chrono::microseconds(std::clamp<std::int64_t>(
      Value.get<std::int64_t>(), -MaxSpan.count(), MaxSpan.count()));
}

nlohmann::json fieldsOf(const SlotRequest &Request) {
  nlohmann::json Fields = {RequestTag,
                           Request.Vm,
                           Request.Number,
                           Request.Service.Text,
                           Request.Rank.Customer,
                           Request.Rank.Route,
                           Request.Work.IsEngine,
                           Request.Work.PromptTokens,
                           Request.Work.OutputTokens,
                           toMicros(Request.TimeToLatencyTarget),
                           toMicros(Request.TimeToDeadline),
                           toMicros(Request.TimeToLatestStart),
                           toMicros(Request.TimeToExpiry),
                           toMicros(Request.GapTarget),
                           Request.RefuseIfLate,
                           Request.ExcludedTargets,
                           Request.OnlyTarget,
                           Request.Version,
                           Request.Incarnation};
  if (Request.AvoidedVersion != NoVersion || Request.Fingerprint != 0 ||
      Request.Customer != 0 || Request.Route != 0 ||
      Request.Work.OutputSpread != DefaultOutputSpread) {
    for (const auto Optional :
         {Request.AvoidedVersion, Request.Fingerprint, Request.Customer,
          Request.Route,
          static_cast<std::uint64_t>(Request.Work.MaxOutputTokens)})
      Fields.push_back(Optional);
    if (Request.Work.OutputSpread != DefaultOutputSpread)
      Fields.push_back(
          std::lround(Request.Work.OutputSpread * SpreadPrecision));
  }
  return Fields;
}

nlohmann::json fieldsOf(const SlotDecision &Decision) {
  nlohmann::json Fields = {DecisionTag,
                           Decision.Number,
                           static_cast<int>(Decision.Result),
                           Decision.Target,
                           toMicros(Decision.BacklogTime),
                           Decision.HasPermit,
                           Decision.Incarnation};
  if (Decision.RetryAfter > Duration{0})
    Fields.push_back(toMicros(Decision.RetryAfter));
  return Fields;
}

nlohmann::json fieldsOf(const SlotUpdate &Update) {
  nlohmann::json Fields = {UpdateTag,
                           Update.Vm,
                           Update.Number,
                           static_cast<int>(Update.Change),
                           Update.Target,
                           static_cast<int>(Update.Outcome),
                           toMicros(Update.MeanEventGap),
                           Update.TokensPerEvent,
                           Update.Incarnation};
  if (Update.Pace)
    Fields.push_back(*Update.Pace);
  return Fields;
}

/// Decodes an enumerator; std::nullopt for a number greater than \p Max.
template <typename Enum>
std::optional<Enum> enumOf(const nlohmann::json &Value, Enum Max) {
  const auto Number = Value.get<std::uint32_t>();
  if (Number > static_cast<std::uint32_t>(Max))
    return std::nullopt;
  return static_cast<Enum>(Number);
}

SlotRequest decodeRequest(const nlohmann::json &Fields) {
  SlotRequest Request;
  Request.Vm = Fields.at(1).get<std::string>();
  Request.Number = Fields.at(2).get<TicketNumber>();
  Request.Service = ServiceName(Fields.at(3).get<std::string>());
  Request.Rank = {Fields.at(4).get<TierRank>(), Fields.at(5).get<TierRank>()};
  Request.Work.IsEngine = Fields.at(6).get<bool>();
  Request.Work.PromptTokens = Fields.at(7).get<TokenCount>();
  Request.Work.OutputTokens = Fields.at(8).get<TokenCount>();
  Request.TimeToLatencyTarget = fromMicros(Fields.at(9));
  Request.TimeToDeadline = fromMicros(Fields.at(10));
  Request.TimeToLatestStart = fromMicros(Fields.at(11));
  Request.TimeToExpiry = fromMicros(Fields.at(12));
  Request.GapTarget = fromMicros(Fields.at(13));
  Request.RefuseIfLate = Fields.at(14).get<bool>();
  Request.ExcludedTargets = Fields.at(15).get<std::vector<std::uint64_t>>();
  // A daemon of an earlier version sends no such fields.
  if (Fields.size() > 16)
    Request.OnlyTarget = Fields[16].get<std::uint64_t>();
  if (Fields.size() > 17)
    Request.Version = Fields[17].get<VersionId>();
  if (Fields.size() > 18)
    Request.Incarnation = Fields[18].get<IncarnationId>();
  if (Fields.size() > 23) {
    Request.AvoidedVersion = Fields[19].get<VersionId>();
    Request.Fingerprint = Fields[20].get<std::uint64_t>();
    Request.Customer = Fields[21].get<std::uint64_t>();
    Request.Route = Fields[22].get<std::uint64_t>();
    Request.Work.MaxOutputTokens = Fields[23].get<TokenCount>();
  }
  if (Fields.size() > 24)
    Request.Work.OutputSpread =
        std::clamp(Fields[24].get<double>() / SpreadPrecision, 0.0, MaxSpread);
  return Request;
}

std::optional<SlotMessage> decodeDecision(const nlohmann::json &Fields) {
  SlotDecision Decision;
  Decision.Number = Fields.at(1).get<TicketNumber>();
  const auto Result = enumOf(Fields.at(2), SlotDecision::Kind::Refused);
  if (!Result)
    return std::nullopt;
  Decision.Result = *Result;
  Decision.Target = Fields.at(3).get<std::uint64_t>();
  Decision.BacklogTime = fromMicros(Fields.at(4));
  // A daemon of an earlier version sends no such fields.
  Decision.HasPermit = Fields.size() > 5 && Fields[5].get<bool>();
  if (Fields.size() > 6)
    Decision.Incarnation = Fields[6].get<IncarnationId>();
  if (Fields.size() > 7)
    Decision.RetryAfter = fromMicros(Fields[7]);
  return Decision;
}

std::optional<SlotMessage> decodeUpdate(const nlohmann::json &Fields) {
  SlotUpdate Update;
  Update.Vm = Fields.at(1).get<std::string>();
  Update.Number = Fields.at(2).get<TicketNumber>();
  const auto Change = enumOf(Fields.at(3), SlotUpdate::Kind::Ended);
  const auto Outcome = enumOf(Fields.at(5), SlotOutcome::Unreachable);
  if (!Change || !Outcome)
    return std::nullopt;
  Update.Change = *Change;
  Update.Target = Fields.at(4).get<std::uint64_t>();
  Update.Outcome = *Outcome;
  Update.MeanEventGap = fromMicros(Fields.at(6));
  Update.TokensPerEvent = Fields.at(7).get<std::uint32_t>();
  // A daemon of an earlier version sends no such field.
  if (Fields.size() > 8)
    Update.Incarnation = Fields[8].get<IncarnationId>();
  if (Fields.size() > 9)
    if (const auto Pace = Fields[9].get<double>();
        Pace >= MinPace && Pace <= MaxPace)
      Update.Pace = Pace;
  return Update;
}

} // namespace

std::string encodeSlotMessage(const SlotMessage &Message) {
  std::string Bytes;
  nlohmann::json::to_msgpack(
      std::visit([](const auto &Content) { return fieldsOf(Content); },
                 Message),
      Bytes);
  return Bytes;
}

std::optional<SlotMessage> decodeSlotMessage(std::string_view Bytes) {
  // Reports arrive on the same port and are maps. Reject them here without
  // parsing them.
  if (Bytes.empty() || (static_cast<unsigned char>(Bytes[0]) & 0xf0) == 0x80 ||
      static_cast<unsigned char>(Bytes[0]) == Map16Marker)
    return std::nullopt;
  const auto Fields = parseBoundedMessagePack(Bytes);
  if (!Fields.is_array() || Fields.empty())
    return std::nullopt;
  // The library throws if a value has the wrong type or is missing.
  try {
    switch (Fields[0].get<int>()) {
    case RequestTag:
      return decodeRequest(Fields);
    case DecisionTag:
      return decodeDecision(Fields);
    case UpdateTag:
      return decodeUpdate(Fields);
    default:
      return std::nullopt;
    }
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace mangodeck
