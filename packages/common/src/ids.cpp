#include "mangodeck/common/ids.h"

#include <fmt/format.h>

#include <charconv>

namespace mangodeck {

namespace {

constexpr std::size_t IdDigits = 32;

std::optional<std::uint64_t> parseHex(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value, 16);
  if (Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace

std::string toString(const RequestId &Id) {
  return fmt::format("{:016x}{:016x}", Id.High, Id.Low);
}

std::optional<RequestId> parseRequestId(std::string_view Text) {
  if (Text.size() != IdDigits || Text[0] == '-' || Text[IdDigits / 2] == '-')
    return std::nullopt;
  const auto High = parseHex(Text.substr(0, IdDigits / 2));
  const auto Low = parseHex(Text.substr(IdDigits / 2));
  if (!High || !Low)
    return std::nullopt;
  return RequestId{*High, *Low};
}

std::string toString(const GroupId &Id) {
  return fmt::format("{}/{}/{}", Id.Service.Text, Id.Domain.Text, Id.Slice);
}

} // namespace mangodeck
