#include "mangodeck/common/boundedjson.h"

#include <cmath>

namespace mangodeck {

namespace {

using Json = nlohmann::json;

/// Builds the value like the library's own builder, and stops it at a fault.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

public:
  explicit BoundedBuilder(Json &Result) : Base(Result, false) {}

  bool start_object(std::size_t Size) {
    return ++m_Depth <= MaxJsonDepth && Base::start_object(Size);
  }
  bool end_object() {
    --m_Depth;
    return Base::end_object();
  }
  bool start_array(std::size_t Size) {
    return ++m_Depth <= MaxJsonDepth && Base::start_array(Size);
  }
  bool end_array() {
    --m_Depth;
    return Base::end_array();
  }
  bool number_float(double Value, const std::string &Text) {
    // Written so that a value that is no number becomes null, too.
    return std::abs(Value) <= MaxJsonFloat ? Base::number_float(Value, Text)
                                           : Base::null();
  }

private:
  std::size_t m_Depth = 0;
};

Json parse(std::string_view Bytes, Json::input_format_t Format) {
  Json Result;
  BoundedBuilder Builder(Result);
  // The library throws if a container claims an impossible size.
  try {
    if (Json::sax_parse(Bytes.begin(), Bytes.end(), &Builder, Format))
      return Result;
  } catch (const Json::exception &) {
  }
  return Json(Json::value_t::discarded);
}

} // namespace

Json parseBoundedJson(std::string_view Text) {
  return parse(Text, Json::input_format_t::json);
}

Json parseBoundedMessagePack(std::string_view Bytes) {
  return parse(Bytes, Json::input_format_t::msgpack);
}

std::optional<std::int64_t> integerWithin(const Json &Value, std::int64_t Min,
                                          std::int64_t Max) {
  if (!Value.is_number_integer())
    return std::nullopt;
  // A number above the signed range is stored as unsigned.
  if (Value.is_number_unsigned() &&
      Value.get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
    return std::nullopt;
  const auto Number = Value.get<std::int64_t>();
  return Number >= Min && Number <= Max ? std::optional(Number) : std::nullopt;
}

} // namespace mangodeck
