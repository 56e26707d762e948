#include "mangodeck/gateway/crashevidence.h"

#include "mangodeck/common/boundedjson.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace mangodeck {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// First element of the array; differs from the tags of slot messages and
/// relayed changes.
constexpr int EvidenceTag = 5;
/// First byte of a MessagePack array of two elements.
constexpr unsigned char ArrayMarker = 0x92;
/// Upper bound of an age; daemons forget sightings before.
constexpr milliseconds MaxAge = std::chrono::hours(1);

CrashSighting decodeSighting(const Json &Fields) {
  CrashSighting Sighting;
  Sighting.Crash = Fields.at(0).get<std::uint64_t>();
  Sighting.Request = Fields.at(1).get<std::uint64_t>();
  Sighting.Age = milliseconds(std::clamp<std::int64_t>(
      Fields.at(2).get<std::int64_t>(), 0, MaxAge.count()));
  Sighting.Refuted = Fields.at(3).get<bool>();
  return Sighting;
}

} // namespace

std::string encodeCrashEvidence(std::span<const CauseEvidence> Evidence) {
  Json Causes = Json::array();
  for (const auto &Cause : Evidence) {
    Json Sightings = Json::array();
    for (const auto &Each : Cause.Sightings)
      Sightings.push_back(
          {Each.Crash, Each.Request,
           std::chrono::duration_cast<milliseconds>(Each.Age).count(),
           Each.Refuted});
    Causes.push_back(
        Json::array({Cause.Cause, Cause.KnownSound, std::move(Sightings)}));
  }
  std::string Bytes;
  Json::to_msgpack(Json::array({EvidenceTag, std::move(Causes)}), Bytes);
  return Bytes;
}

std::optional<std::vector<CauseEvidence>>
decodeCrashEvidence(std::string_view Bytes) {
  if (Bytes.size() < 2 || static_cast<unsigned char>(Bytes[0]) != ArrayMarker ||
      Bytes[1] != EvidenceTag)
    return std::nullopt;
  const auto Fields = parseBoundedMessagePack(Bytes);
  if (!Fields.is_array() || Fields.size() != 2 || !Fields[1].is_array())
    return std::nullopt;
  // The library throws if a value has the wrong type or is missing.
  try {
    std::vector<CauseEvidence> Evidence;
    for (const auto &Cause : Fields[1]) {
      if (Evidence.size() == MaxReportedCauses)
        break;
      CauseEvidence Entry;
      Entry.Cause = Cause.at(0).get<CauseId>();
      Entry.KnownSound = Cause.at(1).get<bool>();
      for (const auto &Sighting : Cause.at(2))
        if (Entry.Sightings.size() < MaxSightingsPerCause)
          Entry.Sightings.push_back(decodeSighting(Sighting));
      Evidence.push_back(std::move(Entry));
    }
    return Evidence;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace mangodeck
