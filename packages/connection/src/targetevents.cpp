#include "targetevents.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <limits>

namespace mangodeck {

namespace {

using Json = nlohmann::json;

constexpr std::size_t BlockDigits = 16;

/// Reads a whole number from 0 to \p Max; std::nullopt for anything else.
std::optional<std::uint64_t>
readCount(const Json &Root, const char *Field,
          std::uint64_t Max = std::numeric_limits<std::int64_t>::max()) {
  const auto It = Root.find(Field);
  if (It == Root.end() || !It->is_number_unsigned())
    return std::nullopt;
  const auto Value = It->get<std::uint64_t>();
  return Value <= Max ? std::optional(Value) : std::nullopt;
}

std::optional<LoadReport> readLoad(const Json &Root) {
  constexpr auto MaxSequences = std::numeric_limits<std::uint32_t>::max();
  constexpr std::uint64_t MaxAgeMilliseconds = 3'600'000;
  const auto Started = readCount(Root, "incarnation");
  const auto Age = readCount(Root, "age_ms", MaxAgeMilliseconds);
  const auto Running = readCount(Root, "running", MaxSequences);
  const auto Waiting = readCount(Root, "waiting", MaxSequences);
  if (!Started || !Age || !Running || !Waiting)
    return std::nullopt;
  LoadReport Report;
  Report.TargetIncarnation = *Started;
  Report.Age = std::chrono::milliseconds(*Age);
  Report.RunningSequences = static_cast<std::uint32_t>(*Running);
  Report.WaitingSequences = static_cast<std::uint32_t>(*Waiting);
  Report.KvTokensUsed =
      static_cast<TokenCount>(readCount(Root, "kv_used").value_or(0));
  Report.KvTokensTotal =
      static_cast<TokenCount>(readCount(Root, "kv_total").value_or(0));
  const auto Leaving = Root.find("leaving");
  Report.Leaving =
      Leaving != Root.end() && Leaving->is_boolean() && Leaving->get<bool>();
  return Report;
}

bool readBlocks(const Json &Root, const char *Field,
                std::vector<std::uint64_t> &Blocks) {
  const auto It = Root.find(Field);
  if (It == Root.end())
    return true;
  if (!It->is_array())
    return false;
  for (const auto &Entry : *It) {
    if (!Entry.is_string())
      return false;
    const auto &Text = Entry.get_ref<const std::string &>();
    const auto *End = Text.data() + Text.size();
    std::uint64_t Block = 0;
    const auto Parsed = std::from_chars(Text.data(), End, Block, 16);
    if (Text.size() != BlockDigits || Parsed.ptr != End)
      return false;
    Blocks.push_back(Block);
  }
  return true;
}

std::optional<CacheEvent> readCache(const Json &Root) {
  const auto Started = readCount(Root, "incarnation");
  const auto Sequence = readCount(Root, "sequence");
  CacheEvent Report;
  if (!Started || !Sequence || !readBlocks(Root, "stored", Report.Stored) ||
      !readBlocks(Root, "evicted", Report.Evicted))
    return std::nullopt;
  Report.TargetIncarnation = *Started;
  Report.Sequence = *Sequence;
  return Report;
}

std::optional<StateChange> readState(const Json &Root) {
  const auto It = Root.find("state");
  if (It == Root.end())
    return std::nullopt;
  if (*It == "leaving")
    return StateChange{true};
  if (*It == "ready")
    return StateChange{false};
  return std::nullopt;
}

} // namespace

std::optional<TargetEvent> parseTargetEvent(std::string_view Kind,
                                            std::string_view Data) {
  const auto Root = Json::parse(Data, nullptr, false);
  if (!Root.is_object())
    return std::nullopt;
  if (Kind == "load")
    return readLoad(Root);
  if (Kind == "cache")
    return readCache(Root);
  if (Kind == "state")
    return readState(Root);
  return std::nullopt;
}

} // namespace mangodeck
