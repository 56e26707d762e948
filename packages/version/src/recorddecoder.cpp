#include "recorddecoder.h"

#include "recordfields.h"

#include <asio/ip/address.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace mangodeck {

namespace {

constexpr std::size_t MaxIdentifierLength = 64;
constexpr std::size_t MaxFreeLength = 256;
constexpr std::size_t MaxListItems = 1000;
constexpr std::size_t MaxQuotedLength = 80;
constexpr std::size_t Sha256Digits = 64;

/// Quotes \p Text for a diagnostic; long or unprintable text is shortened.
std::string quote(std::string_view Text) {
  std::string Result = "\"";
  for (const char C : Text.substr(0, MaxQuotedLength))
    Result += (C >= 0x20 && C < 0x7f) ? C : '?';
  return Result + (Text.size() > MaxQuotedLength ? "...\"" : "\"");
}

std::string describe(const RawValue &Value) {
  switch (Value.Shape) {
  case RawShape::Scalar:
    return quote(Value.Text);
  case RawShape::List:
    return fmt::format("a list of {}", Value.Items.size());
  case RawShape::Other:
    break;
  }
  return "a nested or empty value";
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Value{};
  const auto *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End || Text.empty())
    return std::nullopt;
  return Value;
}

bool isIdentifier(std::string_view Text) {
  const auto IsAllowed = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9') || C == '.' || C == '_' || C == '-';
  };
  return !Text.empty() && Text.size() <= MaxIdentifierLength &&
         std::all_of(Text.begin(), Text.end(), IsAllowed);
}

bool isSha256(std::string_view Text) {
  return Text.size() == Sha256Digits &&
         Text.find_first_not_of("0123456789abcdef") == Text.npos;
}

bool isAddress(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == Text.npos)
    return false;
  const auto Port = parseNumber<std::uint16_t>(Text.substr(Colon + 1));
  auto Ip = Text.substr(0, Colon);
  const bool Bracketed = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  if (Bracketed)
    Ip = Ip.substr(1, Ip.size() - 2);
  asio::error_code Error;
  const auto Parsed = asio::ip::make_address(std::string(Ip), Error);
  return !Error && Port && *Port != 0 && Parsed.is_v6() == Bracketed;
}

bool isFree(std::string_view Text) {
  const auto IsPrintable = [](char C) { return C >= 0x20 && C < 0x7f; };
  return !Text.empty() && Text.size() <= MaxFreeLength &&
         std::all_of(Text.begin(), Text.end(), IsPrintable);
}

bool matches(std::string_view Text, TextForm Form) {
  switch (Form) {
  case TextForm::Identifier:
    return isIdentifier(Text);
  case TextForm::Sha256:
    return isSha256(Text);
  case TextForm::Address:
    return isAddress(Text);
  case TextForm::Free:
    return isFree(Text);
  }
  return false;
}

std::string_view describe(TextForm Form) {
  switch (Form) {
  case TextForm::Identifier:
    return "1 to 64 letters, digits, '.', '_' and '-'";
  case TextForm::Sha256:
    return "a SHA-256 of 64 lower-case hexadecimal digits";
  case TextForm::Address:
    return "IP:PORT, an IPv6 address in brackets";
  case TextForm::Free:
    return "1 to 256 printable characters";
  }
  return "";
}

/// Reads "500ms", "69s" or "5m".
std::optional<Duration> parseDuration(std::string_view Text) {
  const auto Unit = Text.find_first_not_of("0123456789");
  if (Unit == Text.npos || Unit == 0 || Unit > 9)
    return std::nullopt;
  const auto Count = parseNumber<std::int64_t>(Text.substr(0, Unit));
  const auto Suffix = Text.substr(Unit);
  if (!Count)
    return std::nullopt;
  if (Suffix == "ms")
    return std::chrono::milliseconds(*Count);
  if (Suffix == "s")
    return std::chrono::seconds(*Count);
  if (Suffix == "m")
    return std::chrono::minutes(*Count);
  return std::nullopt;
}

/// Visits the fields of a record and fills them from what was written.
class FieldReader {
public:
  FieldReader(const RawRecord &Raw, SchemaNumber Schema, Diagnostics &Faults)
      : m_Raw(Raw), m_Schema(Schema), m_Faults(Faults) {
    m_Known = {"kind", "schema", "name"};
  }

  void text(FieldSpec Spec, std::string &Out, TextForm Form) {
    const auto *Value = take(Spec);
    if (!Value)
      return;
    if (Value->Shape == RawShape::Scalar && matches(Value->Text, Form))
      Out = Value->Text;
    else
      report(Spec.Name, *Value, std::string(describe(Form)));
  }

  void textList(FieldSpec Spec, std::vector<std::string> &Out, TextForm Form) {
    const auto *Value = take(Spec);
    if (!Value)
      return;
    if (Value->Shape != RawShape::List || Value->Items.size() > MaxListItems) {
      report(Spec.Name, *Value,
             fmt::format("a list of at most {} items, each {}", MaxListItems,
                         describe(Form)));
      return;
    }
    for (const auto &Item : Value->Items)
      if (!matches(Item, Form))
        m_Faults.push_back({{m_Raw.Place.File, Value->Line},
                            std::string(Spec.Name),
                            quote(Item),
                            std::string(describe(Form))});
    Out = Value->Items;
  }

  template <typename Tag>
  void nameList(FieldSpec Spec, std::vector<Name<Tag>> &Out) {
    std::vector<std::string> Items;
    textList(Spec, Items, TextForm::Identifier);
    for (const auto &Item : Items)
      Out.emplace_back(Item);
  }

  template <typename Integer>
  void integer(FieldSpec Spec, Integer &Out, std::int64_t Min,
               std::int64_t Max) {
    const auto *Value = take(Spec);
    if (!Value)
      return;
    const auto Number = parseNumber<std::int64_t>(Value->Text);
    if (Value->Shape == RawShape::Scalar && Number && *Number >= Min &&
        *Number <= Max)
      Out = static_cast<Integer>(*Number);
    else
      report(Spec.Name, *Value,
             fmt::format("an integer from {} to {}", Min, Max));
  }

  void number(FieldSpec Spec, double &Out, double Min, double Max) {
    const auto *Value = take(Spec);
    if (!Value)
      return;
    const auto Number = parseNumber<double>(Value->Text);
    if (Value->Shape == RawShape::Scalar && Number && std::isfinite(*Number) &&
        *Number >= Min && *Number <= Max)
      Out = *Number;
    else
      report(Spec.Name, *Value,
             fmt::format("a number from {} to {}", Min, Max));
  }

  void flag(FieldSpec Spec, bool &Out) {
    const auto *Value = take(Spec);
    if (!Value)
      return;
    if (Value->Shape == RawShape::Scalar &&
        (Value->Text == "true" || Value->Text == "false"))
      Out = Value->Text == "true";
    else
      report(Spec.Name, *Value, "true or false");
  }

  void duration(FieldSpec Spec, Duration &Out, Duration Min, Duration Max) {
    const auto *Value = take(Spec);
    if (!Value)
      return;
    const auto Span = parseDuration(Value->Text);
    if (Value->Shape == RawShape::Scalar && Span && *Span >= Min &&
        *Span <= Max)
      Out = *Span;
    else
      report(Spec.Name, *Value,
             fmt::format("a duration in ms, s or m from {}ms to {}ms",
                         Min / 1ms, Max / 1ms));
  }

  template <typename Enum, std::size_t Count>
  void choice(FieldSpec Spec, Enum &Out,
              const std::array<std::string_view, Count> &Names) {
    const auto *Value = take(Spec);
    if (!Value)
      return;
    const auto It = std::find(Names.begin(), Names.end(), Value->Text);
    if (Value->Shape == RawShape::Scalar && It != Names.end())
      Out = static_cast<Enum>(It - Names.begin());
    else
      report(Spec.Name, *Value, fmt::format("{}", fmt::join(Names, ", ")));
  }

  /// Reports each written field that the schema does not have.
  void reportUnknown() {
    for (const auto &Field : m_Raw.Fields)
      if (std::find(m_Known.begin(), m_Known.end(), Field.Name) ==
          m_Known.end())
        m_Faults.push_back(
            {{m_Raw.Place.File, Field.Value.Line},
             Field.Name,
             "a field unknown in schema " + std::to_string(m_Schema),
             fmt::format("{}", fmt::join(m_Known, ", "))});
  }

private:
  /// The value written for \p Spec, or null if there is none or the schema
  /// lacks the field.
  const RawValue *take(const FieldSpec &Spec) {
    if (Spec.Since > m_Schema)
      return nullptr;
    m_Known.push_back(Spec.Name);
    for (const auto &Field : m_Raw.Fields)
      if (Field.Name == Spec.Name)
        return &Field.Value;
    if (Spec.Need == Presence::Required)
      m_Faults.push_back(
          {m_Raw.Place, std::string(Spec.Name), "no such field",
           fmt::format("the field is required in schema {}", m_Schema)});
    return nullptr;
  }

  void report(std::string_view Field, const RawValue &Value,
              std::string Allowed) {
    m_Faults.push_back({{m_Raw.Place.File, Value.Line},
                        std::string(Field),
                        describe(Value),
                        std::move(Allowed)});
  }

  const RawRecord &m_Raw;
  SchemaNumber m_Schema;
  Diagnostics &m_Faults;
  std::vector<std::string_view> m_Known;
};

const RawValue *findField(const RawRecord &Raw, std::string_view Name) {
  for (const auto &Field : Raw.Fields)
    if (Field.Name == Name)
      return &Field.Value;
  return nullptr;
}

void reportRepeated(const RawRecord &Raw, Diagnostics &Faults) {
  std::set<std::string_view> Seen;
  for (const auto &Field : Raw.Fields)
    if (!Seen.insert(Field.Name).second)
      Faults.push_back({{Raw.Place.File, Field.Value.Line},
                        Field.Name,
                        "the field a second time",
                        "each field once"});
}

/// A record's own name; an adoption's is KIND/NAME of the record it speaks of.
bool isRecordName(RecordKind Kind, std::string_view Name) {
  if (Kind != RecordKind::Adoption)
    return isIdentifier(Name);
  const auto Slash = Name.find('/');
  if (Slash == Name.npos)
    return false;
  const auto Adopted = parseRecordKind(Name.substr(0, Slash));
  return Adopted && *Adopted != RecordKind::Adoption &&
         isIdentifier(Name.substr(Slash + 1));
}

/// Reads kind, name and schema; std::nullopt if any of them is faulty.
std::optional<RecordId> readId(const RawRecord &Raw, Diagnostics &Faults) {
  const auto Fail = [&](std::string_view Field, const RawValue *Value,
                        std::string_view Allowed) {
    const int Line = Value ? Value->Line : Raw.Place.Line;
    Faults.push_back({{Raw.Place.File, Line},
                      std::string(Field),
                      Value ? describe(*Value) : "no such field",
                      std::string(Allowed)});
  };
  const auto *KindValue = findField(Raw, "kind");
  const auto Kind = KindValue ? parseRecordKind(KindValue->Text) : std::nullopt;
  if (!Kind)
    Fail("kind", KindValue, "tier, service, customer, target, adoption");

  const auto *SchemaValue = findField(Raw, "schema");
  const auto Schema =
      SchemaValue ? parseNumber<SchemaNumber>(SchemaValue->Text) : std::nullopt;
  if (!Schema || *Schema == 0)
    Fail("schema", SchemaValue, "a schema number from 1");

  const auto *NameValue = findField(Raw, "name");
  const auto IsNamed =
      NameValue &&
      isRecordName(Kind.value_or(RecordKind::Tier), NameValue->Text);
  if (!IsNamed)
    Fail("name", NameValue,
         Kind == RecordKind::Adoption
             ? "KIND/NAME of a tier, service, customer or target"
             : describe(TextForm::Identifier));
  if (!Kind || !Schema || *Schema == 0 || !IsNamed)
    return std::nullopt;
  return RecordId{*Kind, NameValue->Text, *Schema};
}

/// The only schema of adoption records is 1: they steer all others.
SchemaNumber highestSchema(RecordKind Kind, SchemaNumber MaxSchema) {
  return Kind == RecordKind::Adoption ? 1 : MaxSchema;
}

/// Keeps a record that only a newer program can read.
void keepUnknown(const RawRecord &Raw, const RecordId &Id, SchemaNumber Highest,
                 DecodedRecords &Out) {
  if (!Raw.Canonical.empty()) {
    Out.Records[Id] = {Id, OpaqueRecord{Raw.Canonical}, Raw.Place};
    return;
  }
  const auto *Value = findField(Raw, "schema");
  Out.Faults.push_back({{Raw.Place.File, Value->Line},
                        "schema",
                        describe(*Value),
                        fmt::format("a schema number from 1 to {}", Highest),
                        Errc::UnknownSchema});
}

void insertRecord(Record Entry, bool IsFaulty, DecodedRecords &Out) {
  const auto It = Out.Records.find(Entry.Id);
  if (It != Out.Records.end()) {
    Out.Faults.push_back(
        {Entry.Place, "name", toString(Entry.Id) + " a second time",
         fmt::format("once; the first is at {}:{}", It->second.Place.File,
                     It->second.Place.Line)});
    return;
  }
  if (IsFaulty)
    Out.Faulty.insert(Entry.Id);
  Out.Records.emplace(Entry.Id, std::move(Entry));
}

} // namespace

void decodeRecord(const RawRecord &Raw, SchemaNumber MaxSchema,
                  DecodedRecords &Out) {
  const auto FaultsBefore = Out.Faults.size();
  reportRepeated(Raw, Out.Faults);
  const auto Id = readId(Raw, Out.Faults);
  if (!Id)
    return;
  const auto Highest = highestSchema(Id->Kind, MaxSchema);
  if (Id->Schema > Highest) {
    keepUnknown(Raw, *Id, Highest, Out);
    return;
  }
  Record Entry{*Id, makeBody(Id->Kind, Id->Name), Raw.Place};
  FieldReader Reader(Raw, Id->Schema, Out.Faults);
  std::visit([&Reader](auto &Body) { visitFields(Reader, Body); }, Entry.Body);
  Reader.reportUnknown();
  insertRecord(std::move(Entry), Out.Faults.size() > FaultsBefore, Out);
}

} // namespace mangodeck
