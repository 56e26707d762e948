#include "jsonfields.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>

namespace mangodeck {

const nlohmann::ordered_json *JsonFields::find(std::string_view Key) {
  m_Read.emplace(Key);
  const auto It = m_Object.find(std::string(Key));
  return It == m_Object.end() ? nullptr : &*It;
}

bool JsonFields::has(std::string_view Key) const {
  return m_Object.contains(std::string(Key));
}

void JsonFields::fault(std::string_view Key, std::string Found,
                       std::string Allowed) {
  m_Faults.push_back(
      {m_Place, std::string(Key), std::move(Found), std::move(Allowed)});
}

std::string JsonFields::text(std::string_view Key) {
  const auto *Value = find(Key);
  if (Value && Value->is_string() &&
      !Value->get_ref<const std::string &>().empty())
    return Value->get<std::string>();
  fault(Key, Value ? Value->dump() : "nothing", "a text that is not empty");
  return {};
}

double JsonFields::number(std::string_view Key, double Least, double Most,
                          std::optional<double> Default) {
  const auto *Value = find(Key);
  if (!Value && Default)
    return *Default;
  const bool IsNumber = Value && Value->is_number();
  const double Number = IsNumber ? Value->get<double>() : Least;
  if (IsNumber && Number >= Least && Number <= Most)
    return Number;
  fault(Key, Value ? Value->dump() : "nothing",
        fmt::format("a number from {} to {}", Least, Most));
  return Least;
}

TokenCount JsonFields::count(std::string_view Key, double Most) {
  return static_cast<TokenCount>(number(Key, 0, Most, 0));
}

Duration JsonFields::milliseconds(std::string_view Key, double Least,
                                  double Most, std::optional<double> Default) {
  const double Value = number(Key, Least, Most, Default);
  return std::chrono::microseconds(std::llround(Value * 1e3));
}

bool JsonFields::flag(std::string_view Key) {
  const auto *Value = find(Key);
  if (!Value)
    return false;
  if (!Value->is_boolean()) {
    fault(Key, Value->dump(), "true or false");
    return false;
  }
  return Value->get<bool>();
}

std::string JsonFields::choice(std::string_view Key,
                               const std::vector<std::string> &Allowed) {
  const auto *Value = find(Key);
  if (Value && Value->is_string()) {
    auto Text = Value->get<std::string>();
    if (std::find(Allowed.begin(), Allowed.end(), Text) != Allowed.end())
      return Text;
  }
  fault(Key, Value ? Value->dump() : "nothing",
        fmt::format("one of {}", fmt::join(Allowed, ", ")));
  return Allowed.front();
}

void JsonFields::forEach(std::string_view Key,
                         const std::function<void(JsonFields &)> &Read) {
  const auto *Value = find(Key);
  if (!Value)
    return;
  if (!Value->is_array()) {
    fault(Key, Value->dump(), "an array of objects");
    return;
  }
  for (const auto &Item : *Value) {
    if (!Item.is_object()) {
      fault(Key, Item.dump(), "an object");
      continue;
    }
    JsonFields Fields(Item, m_Place, m_Faults);
    Read(Fields);
  }
}

void JsonFields::finish() {
  for (const auto &[Key, Value] : m_Object.items())
    if (!m_Read.contains(Key))
      fault(Key, "an unknown field", "a field of docs/TRACES.md");
}

} // namespace mangodeck
