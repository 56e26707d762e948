#include "mangodeck/gateway/slotmessages.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace mangodeck {

namespace {

constexpr int AskTag = 1;
constexpr int VerdictTag = 2;
constexpr int NoteTag = 3;
/// First byte of a MessagePack map of more than fifteen fields.
constexpr unsigned char MapMark = 0xde;

std::int64_t toMicros(Duration Span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Span).count();
}

Duration micros(const nlohmann::json &Value) {
  return std::chrono::microseconds(Value.get<std::int64_t>());
}

nlohmann::json fieldsOf(const SlotRequest &Ask) {
  return {AskTag,
          Ask.Vm,
          Ask.Number,
          Ask.Service.Text,
          Ask.Rank.Customer,
          Ask.Rank.Route,
          Ask.Work.IsEngine,
          Ask.Work.PromptTokens,
          Ask.Work.OutputTokens,
          toMicros(Ask.TimeToLatencyTarget),
          toMicros(Ask.TimeToDeadline),
          toMicros(Ask.TimeToLatestStart),
          toMicros(Ask.TimeToExpiry),
          toMicros(Ask.GapTarget),
          Ask.RefuseIfLate,
          Ask.ExcludedTargets};
}

nlohmann::json fieldsOf(const SlotDecision &Verdict) {
  return {VerdictTag, Verdict.Number, static_cast<int>(Verdict.Result),
          Verdict.Target, toMicros(Verdict.BacklogTime)};
}

nlohmann::json fieldsOf(const SlotUpdate &Note) {
  return {NoteTag,
          Note.Vm,
          Note.Number,
          static_cast<int>(Note.Change),
          Note.Target,
          static_cast<int>(Note.Outcome),
          toMicros(Note.MeanEventGap),
          Note.TokensPerEvent};
}

/// std::nullopt for a number beyond \p Last.
template <typename Enum>
std::optional<Enum> enumOf(const nlohmann::json &Value, Enum Last) {
  const auto Number = Value.get<std::uint32_t>();
  if (Number > static_cast<std::uint32_t>(Last))
    return std::nullopt;
  return static_cast<Enum>(Number);
}

SlotRequest decodeAsk(const nlohmann::json &Fields) {
  SlotRequest Ask;
  Ask.Vm = Fields.at(1).get<std::string>();
  Ask.Number = Fields.at(2).get<TicketNumber>();
  Ask.Service = ServiceName(Fields.at(3).get<std::string>());
  Ask.Rank = {Fields.at(4).get<TierRank>(), Fields.at(5).get<TierRank>()};
  Ask.Work.IsEngine = Fields.at(6).get<bool>();
  Ask.Work.PromptTokens = Fields.at(7).get<TokenCount>();
  Ask.Work.OutputTokens = Fields.at(8).get<TokenCount>();
  Ask.TimeToLatencyTarget = micros(Fields.at(9));
  Ask.TimeToDeadline = micros(Fields.at(10));
  Ask.TimeToLatestStart = micros(Fields.at(11));
  Ask.TimeToExpiry = micros(Fields.at(12));
  Ask.GapTarget = micros(Fields.at(13));
  Ask.RefuseIfLate = Fields.at(14).get<bool>();
  Ask.ExcludedTargets = Fields.at(15).get<std::vector<std::uint64_t>>();
  return Ask;
}

std::optional<SlotMessage> decodeVerdict(const nlohmann::json &Fields) {
  SlotDecision Verdict;
  Verdict.Number = Fields.at(1).get<TicketNumber>();
  const auto Answer = enumOf(Fields.at(2), SlotDecision::Kind::Refused);
  if (!Answer)
    return std::nullopt;
  Verdict.Result = *Answer;
  Verdict.Target = Fields.at(3).get<std::uint64_t>();
  Verdict.BacklogTime = micros(Fields.at(4));
  return Verdict;
}

std::optional<SlotMessage> decodeNote(const nlohmann::json &Fields) {
  SlotUpdate Note;
  Note.Vm = Fields.at(1).get<std::string>();
  Note.Number = Fields.at(2).get<TicketNumber>();
  const auto What = enumOf(Fields.at(3), SlotUpdate::Kind::Ended);
  const auto Outcome = enumOf(Fields.at(5), SlotOutcome::Unreachable);
  if (!What || !Outcome)
    return std::nullopt;
  Note.Change = *What;
  Note.Target = Fields.at(4).get<std::uint64_t>();
  Note.Outcome = *Outcome;
  Note.MeanEventGap = micros(Fields.at(6));
  Note.TokensPerEvent = Fields.at(7).get<std::uint32_t>();
  return Note;
}

} // namespace

std::string encodeSlotMessage(const SlotMessage &Message) {
  std::string Bytes;
  nlohmann::json::to_msgpack(
      std::visit([](const auto &Each) { return fieldsOf(Each); }, Message),
      Bytes);
  return Bytes;
}

std::optional<SlotMessage> decodeSlotMessage(std::string_view Bytes) {
  // Reports are maps; they come on the same port and are not read twice.
  if (Bytes.empty() || (static_cast<unsigned char>(Bytes[0]) & 0xf0) == 0x80 ||
      static_cast<unsigned char>(Bytes[0]) == MapMark)
    return std::nullopt;
  const auto Fields = nlohmann::json::from_msgpack(Bytes, true, false);
  if (!Fields.is_array() || Fields.empty())
    return std::nullopt;
  // The library reports a value of another type by throwing.
  try {
    switch (Fields[0].get<int>()) {
    case AskTag:
      return decodeAsk(Fields);
    case VerdictTag:
      return decodeVerdict(Fields);
    case NoteTag:
      return decodeNote(Fields);
    default:
      return std::nullopt;
    }
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace mangodeck
