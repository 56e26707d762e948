#include "recordfields.h"

namespace mangodeck {

namespace {

/// An adoption's name is KIND/NAME of the record it speaks of.
AdoptionRecord makeAdoption(std::string_view Name) {
  AdoptionRecord Body;
  const auto Slash = Name.find('/');
  if (Slash == Name.npos)
    return Body;
  Body.Kind = parseRecordKind(Name.substr(0, Slash)).value_or(Body.Kind);
  Body.Name = Name.substr(Slash + 1);
  return Body;
}

} // namespace

RecordBody makeBody(RecordKind Kind, std::string_view Name) {
  switch (Kind) {
  case RecordKind::Tier: {
    TierRecord Body;
    Body.Fields.Name = TierName(Name);
    return Body;
  }
  case RecordKind::Service: {
    ServiceRecord Body;
    Body.Fields.Name = ServiceName(Name);
    Body.Fields.Model = Name;
    return Body;
  }
  case RecordKind::Customer: {
    CustomerRecord Body;
    Body.Fields.Name = CustomerName(Name);
    return Body;
  }
  case RecordKind::Target: {
    TargetRecord Body;
    Body.Fields.Name = TargetName(Name);
    return Body;
  }
  case RecordKind::Adoption:
    break;
  }
  return makeAdoption(Name);
}

} // namespace mangodeck
