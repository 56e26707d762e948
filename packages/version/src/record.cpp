#include "mangodeck/version/record.h"

#include <array>
#include <charconv>

namespace mangodeck {

namespace {

constexpr std::array<std::string_view, 5> KindNames = {
    "tier", "service", "customer", "target", "adoption"};

} // namespace

std::string_view toString(RecordKind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)];
}

std::optional<RecordKind> parseRecordKind(std::string_view Text) {
  for (std::size_t I = 0; I < KindNames.size(); ++I)
    if (KindNames[I] == Text)
      return static_cast<RecordKind>(I);
  return std::nullopt;
}

std::string toString(const RecordId &Id) {
  return std::string(toString(Id.Kind)) + "/" + Id.Name + "@" +
         std::to_string(Id.Schema);
}

std::optional<RecordId> parseRecordId(std::string_view Text) {
  const auto Slash = Text.find('/');
  const auto At = Text.rfind('@');
  if (Slash == Text.npos || At == Text.npos || At < Slash + 2)
    return std::nullopt;
  const auto Kind = parseRecordKind(Text.substr(0, Slash));
  const auto Digits = Text.substr(At + 1);
  SchemaNumber Schema = 0;
  const auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Schema);
  if (!Kind || Error != std::errc() || End != Digits.data() + Digits.size() ||
      Schema == 0)
    return std::nullopt;
  return RecordId{*Kind, std::string(Text.substr(Slash + 1, At - Slash - 1)),
                  Schema};
}

} // namespace mangodeck
