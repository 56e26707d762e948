#include "mangodeck/gateway/originmessages.h"

#include "mangodeck/common/boundedjson.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace mangodeck {

namespace {

using Json = nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// First element of the array; differs from the tags of slot messages, relayed
/// changes and crash evidence.
constexpr int RecordsTag = 6;
constexpr int QueryTag = 7;
constexpr int AnswerTag = 8;
/// The high bits of a MessagePack array of up to 15 elements.
constexpr unsigned char ArrayMarker = 0x90;
constexpr unsigned char ArrayMarkerMask = 0xf0;
/// Upper bound of the time to live of a record.
constexpr milliseconds MaxTimeToLive = std::chrono::minutes(10);

Json fieldsOf(const OriginRecords &Records) {
  Json List = Json::array();
  for (const auto &Each : Records.Origins)
    List.push_back({Each.Stream, Each.Version, Each.Send,
                    duration_cast<milliseconds>(Each.TimeToLive).count()});
  return Json::array({RecordsTag, std::move(List)});
}

Json fieldsOf(const OriginQuery &Query) {
  return {QueryTag, Query.Vm, Query.Number, Query.Stream};
}

Json fieldsOf(const OriginAnswer &Answer) {
  return {AnswerTag, Answer.Vm, Answer.Number, Answer.Stream, Answer.Version};
}

OriginRecords decodeRecords(const Json &Fields) {
  OriginRecords Records;
  for (const auto &Each : Fields.at(1))
    Records.Origins.push_back(
        {Each.at(0).get<StreamId>(), Each.at(1).get<VersionId>(),
         Each.at(2).get<std::uint32_t>(),
         milliseconds(std::clamp<std::int64_t>(Each.at(3).get<std::int64_t>(),
                                               0, MaxTimeToLive.count()))});
  return Records;
}

} // namespace

StreamId streamIdOf(std::string_view AttemptId) {
  return XXH3_64bits(AttemptId.data(), AttemptId.size());
}

std::string encodeOriginMessage(const OriginMessage &Message) {
  std::string Bytes;
  Json::to_msgpack(
      std::visit([](const auto &Content) { return fieldsOf(Content); },
                 Message),
      Bytes);
  return Bytes;
}

std::optional<OriginMessage> decodeOriginMessage(std::string_view Bytes) {
  if (Bytes.size() < 2 ||
      (static_cast<unsigned char>(Bytes[0]) & ArrayMarkerMask) != ArrayMarker ||
      Bytes[1] < RecordsTag || Bytes[1] > AnswerTag)
    return std::nullopt;
  const auto Fields = parseBoundedMessagePack(Bytes);
  if (!Fields.is_array())
    return std::nullopt;
  // The library throws if a value has the wrong type or is missing.
  try {
    switch (Fields.at(0).get<int>()) {
    case RecordsTag:
      return decodeRecords(Fields);
    case QueryTag:
      return OriginQuery{Fields.at(1).get<std::string>(),
                         Fields.at(2).get<TicketNumber>(),
                         Fields.at(3).get<StreamId>()};
    default:
      return OriginAnswer{
          Fields.at(1).get<std::string>(), Fields.at(2).get<TicketNumber>(),
          Fields.at(3).get<StreamId>(), Fields.at(4).get<VersionId>()};
    }
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace mangodeck
