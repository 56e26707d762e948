#ifndef MANGODECK_VERSION_RECORD_H
#define MANGODECK_VERSION_RECORD_H

#include "mangodeck/common/diagnostic.h"
#include "mangodeck/version/snapshot.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>

namespace mangodeck {

/// Version of the field list of a record.
using SchemaNumber = std::uint32_t;

/// The newest schema this program reads.
inline constexpr SchemaNumber LatestSchema = 2;

enum class RecordKind : std::uint8_t {
  Tier,
  Service,
  Customer,
  Target,
  Adoption,
};

std::string_view toString(RecordKind Kind);
std::optional<RecordKind> parseRecordKind(std::string_view Text);

/// Names one record. Several schemas of one kind and name may stand side by
/// side. Its text form is KIND/NAME@SCHEMA.
struct RecordId {
  RecordKind Kind = RecordKind::Tier;
  std::string Name;
  SchemaNumber Schema = 1;

  bool operator==(const RecordId &) const = default;
  bool operator<(const RecordId &Other) const {
    return std::tie(Kind, Name, Schema) <
           std::tie(Other.Kind, Other.Name, Other.Schema);
  }
};

std::string toString(const RecordId &Id);
std::optional<RecordId> parseRecordId(std::string_view Text);

struct TierRecord {
  Tier Fields;
};

struct ServiceRecord {
  Service Fields;
};

/// A customer names its highest tier; the rank follows when it is compiled.
struct CustomerRecord {
  Customer Fields;
  TierName HighestTier;
};

struct TargetRecord {
  Target Fields;
};

/// Says which schema of a record is in force. Its own name is the KIND/NAME
/// of that record.
struct AdoptionRecord {
  RecordKind Kind = RecordKind::Tier;
  std::string Name;
  SchemaNumber InForce = 1;
};

/// A record of a schema newer than this program: kept and passed on as it is.
struct OpaqueRecord {
  std::string Canonical;
};

using RecordBody = std::variant<TierRecord, ServiceRecord, CustomerRecord,
                                TargetRecord, AdoptionRecord, OpaqueRecord>;

/// One record with its identity and where it was read from.
struct Record {
  RecordId Id;
  RecordBody Body;
  SourcePlace Place;
};

/// All records of a revision, in the order of their identities.
using RecordSet = std::map<RecordId, Record>;

} // namespace mangodeck

#endif
