#include "recordjson.h"

#include "recordfields.h"

#include <fmt/format.h>

namespace mangodeck {

namespace {

constexpr int MaxDepth = 6;

/// Visits the fields of a record and writes those of its schema.
class FieldWriter {
public:
  FieldWriter(SchemaNumber Schema, nlohmann::json &Out)
      : m_Schema(Schema), m_Out(Out) {}

  void text(FieldSpec Spec, const std::string &Value, TextForm) {
    put(Spec, Value);
  }

  void textList(FieldSpec Spec, const std::vector<std::string> &Value,
                TextForm) {
    put(Spec, Value);
  }

  template <typename Tag>
  void nameList(FieldSpec Spec, const std::vector<Name<Tag>> &Value) {
    auto Items = nlohmann::json::array();
    for (const auto &Item : Value)
      Items.push_back(Item.Text);
    put(Spec, std::move(Items));
  }

  template <typename Integer>
  void integer(FieldSpec Spec, Integer Value, std::int64_t, std::int64_t) {
    put(Spec, static_cast<std::int64_t>(Value));
  }

  void number(FieldSpec Spec, double Value, double, double) {
    put(Spec, Value);
  }

  void flag(FieldSpec Spec, bool Value) { put(Spec, Value); }

  void duration(FieldSpec Spec, Duration Value, Duration, Duration) {
    put(Spec, fmt::format("{}ms", Value / 1ms));
  }

  template <typename Enum, std::size_t Count>
  void choice(FieldSpec Spec, Enum Value,
              const std::array<std::string_view, Count> &Names) {
    put(Spec, std::string(Names[static_cast<std::size_t>(Value)]));
  }

private:
  void put(const FieldSpec &Spec, nlohmann::json Value) {
    if (Spec.Since <= m_Schema)
      m_Out[std::string(Spec.Name)] = std::move(Value);
  }

  SchemaNumber m_Schema;
  nlohmann::json &m_Out;
};

std::string scalarText(const nlohmann::json &Value) {
  return Value.is_string() ? Value.get<std::string>() : dumpJson(Value);
}

bool isScalar(const nlohmann::json &Value) {
  return Value.is_primitive() && !Value.is_null();
}

RawValue toRawValue(const nlohmann::json &Value) {
  RawValue Raw;
  if (isScalar(Value)) {
    Raw.Shape = RawShape::Scalar;
    Raw.Text = scalarText(Value);
  } else if (Value.is_array()) {
    Raw.Shape = RawShape::List;
    for (const auto &Item : Value) {
      if (!isScalar(Item))
        Raw.Shape = RawShape::Other;
      else
        Raw.Items.push_back(scalarText(Item));
    }
  }
  return Raw;
}

} // namespace

std::optional<nlohmann::json> parseStoreJson(std::string_view Text) {
  bool IsTooDeep = false;
  const auto LimitDepth = [&IsTooDeep](int Depth, nlohmann::json::parse_event_t,
                                       nlohmann::json &) {
    IsTooDeep = IsTooDeep || Depth > MaxDepth;
    return Depth <= MaxDepth;
  };
  auto Value = nlohmann::json::parse(Text, LimitDepth, false);
  if (IsTooDeep || !Value.is_object())
    return std::nullopt;
  return Value;
}

std::string dumpJson(const nlohmann::json &Value) {
  return Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string stringMember(const nlohmann::json &Object, const char *Name) {
  const auto It = Object.find(Name);
  return It != Object.end() && It->is_string() ? It->get<std::string>() : "";
}

std::uint64_t numberMember(const nlohmann::json &Object, const char *Name) {
  const auto It = Object.find(Name);
  return It != Object.end() && It->is_number_unsigned()
             ? It->get<std::uint64_t>()
             : 0;
}

nlohmann::json toJson(const Record &Entry) {
  if (const auto *Opaque = std::get_if<OpaqueRecord>(&Entry.Body))
    return nlohmann::json::parse(Opaque->Canonical, nullptr, false);
  nlohmann::json Out;
  Out["kind"] = toString(Entry.Id.Kind);
  Out["name"] = Entry.Id.Name;
  Out["schema"] = Entry.Id.Schema;
  FieldWriter Writer(Entry.Id.Schema, Out);
  auto Body = Entry.Body;
  std::visit([&Writer](auto &Fields) { visitFields(Writer, Fields); }, Body);
  return Out;
}

RawRecord toRawRecord(const nlohmann::json &Object, std::string_view Place) {
  RawRecord Raw;
  Raw.Place.File = Place;
  Raw.Canonical = dumpJson(Object);
  if (!Object.is_object())
    return Raw;
  for (const auto &[Name, Value] : Object.items())
    Raw.Fields.push_back({Name, toRawValue(Value)});
  return Raw;
}

} // namespace mangodeck
