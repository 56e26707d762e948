#include "mangodeck/version/compile.h"

#include <fmt/format.h>

#include <algorithm>

namespace mangodeck {

namespace {

RecordSet::const_iterator firstOf(const RecordSet &Records, RecordKind Kind,
                                  std::string_view Name) {
  return Records.lower_bound(RecordId{Kind, std::string(Name), 0});
}

bool isNamed(const RecordId &Id, RecordKind Kind, std::string_view Name) {
  return Id.Kind == Kind && Id.Name == Name;
}

std::string adoptionName(RecordKind Kind, std::string_view Name) {
  return std::string(toString(Kind)) + "/" + std::string(Name);
}

/// The records in force, one for each kind and name, adoptions left out.
std::vector<const Record *> selectInForce(const RecordSet &Records) {
  std::vector<const Record *> Selected;
  for (const auto &[Id, Entry] : Records)
    if (Id.Kind != RecordKind::Adoption &&
        schemaInForce(Records, Id.Kind, Id.Name) == Id.Schema)
      Selected.push_back(&Entry);
  return Selected;
}

/// Checks records against each other.
class CrossCheck {
public:
  CrossCheck(const RecordSet &Records, const std::set<RecordId> &Skipped)
      : m_Records(Records), m_Skipped(Skipped) {}

  Diagnostics run() {
    for (const auto &[Id, Entry] : m_Records)
      checkReferences(Entry);
    for (const auto *Entry : selectInForce(m_Records))
      checkUnique(*Entry);
    sortDiagnostics(m_Faults);
    return std::move(m_Faults);
  }

private:
  void checkReferences(const Record &Entry) {
    if (m_Skipped.contains(Entry.Id))
      return;
    if (const auto *Body = std::get_if<CustomerRecord>(&Entry.Body)) {
      requireName(Entry, "highest-tier", RecordKind::Tier,
                  Body->HighestTier.Text);
      for (const auto &Name : Body->Fields.Services)
        requireName(Entry, "services", RecordKind::Service, Name.Text);
    } else if (const auto *Body = std::get_if<TargetRecord>(&Entry.Body)) {
      requireName(Entry, "service", RecordKind::Service,
                  Body->Fields.Service.Text);
    } else if (const auto *Body = std::get_if<AdoptionRecord>(&Entry.Body)) {
      const RecordId Adopted{Body->Kind, Body->Name, Body->InForce};
      if (!m_Records.contains(Adopted))
        report(Entry, "in-force", toString(Adopted) + ", which does not stand",
               "a schema of the record that stands beside it");
    }
  }

  void requireName(const Record &Entry, std::string_view Field, RecordKind Kind,
                   const std::string &Name) {
    const auto It = firstOf(m_Records, Kind, Name);
    if (It == m_Records.end() || !isNamed(It->first, Kind, Name))
      report(Entry, Field, fmt::format("\"{}\"", Name),
             fmt::format("the name of a {} record", toString(Kind)));
  }

  void checkUnique(const Record &Entry) {
    if (m_Skipped.contains(Entry.Id))
      return;
    if (const auto *Body = std::get_if<TierRecord>(&Entry.Body)) {
      claim("rank", std::to_string(Body->Fields.Rank), Entry);
    } else if (const auto *Body = std::get_if<CustomerRecord>(&Entry.Body)) {
      for (const auto &Hash : Body->Fields.KeyHashes)
        claim("key-hashes", Hash, Entry);
    } else if (const auto *Body = std::get_if<TargetRecord>(&Entry.Body)) {
      claim("address", Body->Fields.Address, Entry);
    } else if (const auto *Body = std::get_if<ServiceRecord>(&Entry.Body)) {
      if (Body->Fields.Kind == ServiceKind::Model)
        claim("model", Body->Fields.Model, Entry);
    } else if (std::holds_alternative<OpaqueRecord>(Entry.Body)) {
      m_Faults.push_back(
          {Entry.Place, "schema", toString(Entry.Id),
           fmt::format("a schema number from 1 to {}", LatestSchema),
           Errc::UnknownSchema});
    }
  }

  /// Reports a value that another record in force has already.
  void claim(const std::string &Field, const std::string &Value,
             const Record &Entry) {
    const auto [It, IsNew] = m_Claimed.try_emplace({Field, Value}, &Entry);
    if (!IsNew)
      report(Entry, Field, fmt::format("\"{}\"", Value),
             fmt::format("a value that {} does not have",
                         toString(It->second->Id)));
  }

  void report(const Record &Entry, std::string_view Field, std::string Found,
              std::string Allowed) {
    m_Faults.push_back({Entry.Place, std::string(Field),
                        std::move(Found) + " in " + toString(Entry.Id),
                        std::move(Allowed)});
  }

  const RecordSet &m_Records;
  const std::set<RecordId> &m_Skipped;
  std::map<std::pair<std::string, std::string>, const Record *> m_Claimed;
  Diagnostics m_Faults;
};

/// The rank of the tier that is in force under \p Name; the tier exists.
TierRank findRank(const Snapshot &Config, const TierName &Name) {
  const auto *Found = Config.findTier(Name.Text);
  return Found ? Found->Rank : TierRank{255};
}

} // namespace

std::optional<SchemaNumber> schemaInForce(const RecordSet &Records,
                                          RecordKind Kind,
                                          std::string_view Name) {
  const auto Adoption =
      Records.find(RecordId{RecordKind::Adoption, adoptionName(Kind, Name), 1});
  if (Adoption != Records.end())
    if (const auto *Body = std::get_if<AdoptionRecord>(&Adoption->second.Body))
      return Body->InForce;
  const auto It = firstOf(Records, Kind, Name);
  if (It == Records.end() || !isNamed(It->first, Kind, Name))
    return std::nullopt;
  return It->first.Schema;
}

Diagnostics validateRecords(const RecordSet &Records,
                            const std::set<RecordId> &Skipped) {
  return CrossCheck(Records, Skipped).run();
}

tl::expected<SnapshotPtr, Diagnostics> compile(const RecordSet &Records,
                                               std::uint64_t Revision,
                                               std::string_view Digest) {
  auto Faults = validateRecords(Records);
  if (!Faults.empty())
    return tl::unexpected<Diagnostics>(std::move(Faults));
  auto Result = std::make_shared<Snapshot>();
  Result->Revision = Revision;
  Result->Digest = Digest;
  // RecordKind's order puts tiers before the customers that name them.
  for (const auto *Entry : selectInForce(Records)) {
    if (const auto *Body = std::get_if<TierRecord>(&Entry->Body)) {
      Result->Tiers.push_back(Body->Fields);
    } else if (const auto *Body = std::get_if<ServiceRecord>(&Entry->Body)) {
      Result->Services.push_back(Body->Fields);
    } else if (const auto *Body = std::get_if<TargetRecord>(&Entry->Body)) {
      Result->Targets.push_back(Body->Fields);
    } else if (const auto *Body = std::get_if<CustomerRecord>(&Entry->Body)) {
      auto Fields = Body->Fields;
      Fields.HighestTier = findRank(*Result, Body->HighestTier);
      Result->Customers.push_back(std::move(Fields));
    }
  }
  Result->index();
  return SnapshotPtr(std::move(Result));
}

} // namespace mangodeck
