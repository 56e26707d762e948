#include "mangodeck/gateway/requestfacts.h"

#include "mangodeck/http/sseframes.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <xxhash.h>

namespace mangodeck {

namespace {

/// Expected output of a request without a hint, as a fraction of its maximum.
constexpr double DefaultOutputFraction = 0.5;

std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const auto *End = Text.data() + Text.size();
  const auto [At, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || At != End || Value < 0)
    return std::nullopt;
  return Value;
}

/// A hexadecimal number without prefix. One of more than 64 bits is hashed.
std::optional<std::uint64_t> parseHexadecimal(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto *End = Text.data() + Text.size();
  const auto [At, Error] = std::from_chars(Text.data(), End, Value, 16);
  if (At != End || Error == std::errc::invalid_argument)
    return std::nullopt;
  return Error == std::errc() ? Value : XXH3_64bits(Text.data(), Text.size());
}

/// A decimal number of at least 0, without an exponent.
std::optional<double> parseDecimal(std::string_view Text) {
  double Value = 0;
  const auto *End = Text.data() + Text.size();
  const auto [At, Error] =
      std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
  if (Error != std::errc() || At != End || !std::isfinite(Value) ||
      std::signbit(Value))
    return std::nullopt;
  return Value;
}

} // namespace

RequestFacts parseRequestFacts(const http::Request &Message,
                               const HeaderNames &Names) {
  RequestFacts Facts;
  const auto &Fields = Message.Head.Fields;
  Facts.AttemptId = Fields.get(Names.AttemptId);
  Facts.ResumedAttempt = Fields.get(Names.ResumedAttempt);
  Facts.ResumedAfter = Fields.get(Names.LastEventId);
  Facts.ResumedAfterId = parseNumber(Facts.ResumedAfter);
  if (const auto Milliseconds = parseNumber(Fields.get(Names.RemainingTime)))
    Facts.RemainingTime = std::chrono::milliseconds(*Milliseconds);
  const auto Authorization = Fields.get(Names.Authorization);
  const auto Space = Authorization.find(' ');
  if (Space != Authorization.npos &&
      http::equalsIgnoreCase(Authorization.substr(0, Space), Names.AuthScheme))
    Facts.ApiKey = Authorization.substr(Space + 1);
  const auto Counts = Fields.get(Names.TokenCounts);
  const auto Comma = Counts.find(',');
  if (Comma != Counts.npos) {
    Facts.PromptTokens = parseNumber(Counts.substr(0, Comma)).value_or(0);
    Facts.MaxOutputTokens = parseNumber(Counts.substr(Comma + 1)).value_or(0);
  }
  Facts.OutputHint = parseNumber(Fields.get(Names.OutputHint));
  Facts.SharedParts = parseSharedParts(Fields.get(Names.PromptParts));

  for (const std::string_view Input :
       {std::string_view(Message.Head.Target), std::string_view(Facts.ApiKey),
        Message.Body.view()})
    Facts.Fingerprint =
        XXH3_64bits_withSeed(Input.data(), Input.size(), Facts.Fingerprint);
  Facts.PossibleCauses = Facts.SharedParts;
  Facts.PossibleCauses.insert(std::upper_bound(Facts.PossibleCauses.begin(),
                                               Facts.PossibleCauses.end(),
                                               Facts.Fingerprint),
                              Facts.Fingerprint);
  return Facts;
}

std::vector<CauseId> parseSharedParts(std::string_view Field) {
  std::vector<CauseId> Parts;
  for (auto Comma = Field.find(','); Comma != Field.npos;
       Comma = Field.find(',')) {
    auto Entry = Field.substr(0, Comma);
    Field.remove_prefix(Comma + 1);
    Entry.remove_prefix(std::min(Entry.find_first_not_of(" \t"), Entry.size()));
    if (const auto Id = parseHexadecimal(Entry.substr(0, Entry.find(':'))))
      Parts.push_back(*Id);
  }
  std::sort(Parts.begin(), Parts.end());
  Parts.erase(std::unique(Parts.begin(), Parts.end()), Parts.end());
  return Parts;
}

std::optional<std::int64_t> parseEventId(std::string_view Event) {
  return parseNumber(findSseField(Event, "id"));
}

std::optional<TargetLoadStatement> parseTargetLoad(std::string_view Field) {
  std::array<std::string_view, 4> Figures;
  std::size_t Count = 0;
  for (; Count < Figures.size(); ++Count) {
    const auto Comma = Field.find(',');
    Figures[Count] = Field.substr(0, Comma);
    if (Comma == Field.npos) {
      ++Count;
      break;
    }
    Field.remove_prefix(Comma + 1);
  }
  const auto Running = parseNumber(Figures[0]);
  const auto Waiting = parseNumber(Figures[1]);
  if (Count < 3 || !Running || !Waiting)
    return std::nullopt;
  TargetLoadStatement Load;
  Load.Requests = static_cast<std::uint32_t>(*Running + *Waiting);
  const auto Percent = parseDecimal(Figures[3]);
  if (Percent && *Percent / 100 >= MinPace && *Percent / 100 <= MaxPace)
    Load.Pace = *Percent / 100;
  return Load;
}

bool parseTargetLeaving(std::string_view Field) { return Field == "1"; }

std::optional<Duration> parseTargetPause(std::string_view Field) {
  const auto Seconds = parseDecimal(Field);
  if (!Seconds)
    return std::nullopt;
  return fromSeconds(std::min(*Seconds, toSeconds(MaxTargetPause)));
}

std::optional<double> parseTargetRateLimit(std::string_view Field) {
  return parseDecimal(Field);
}

RequestWork expectedWork(const RequestFacts &Facts,
                         const PlannedService *Service) {
  RequestWork Work;
  Work.IsEngine = Service && Service->IsEngine;
  Work.PromptTokens = Facts.PromptTokens;
  Work.MaxOutputTokens = Facts.MaxOutputTokens;
  Work.OutputTokens = Facts.OutputHint.value_or(static_cast<TokenCount>(
      DefaultOutputFraction * static_cast<double>(Facts.MaxOutputTokens)));
  if (Facts.MaxOutputTokens > 0)
    Work.OutputTokens = std::min(Work.OutputTokens, Facts.MaxOutputTokens);
  return Work;
}

double quotaCost(const RequestFacts &Facts, const PlannedCustomer &Customer) {
  if (!Customer.CountsTokens)
    return 1;
  if (Facts.PromptTokens == 0 && Facts.MaxOutputTokens == 0)
    return Customer.PlainTokens;
  return static_cast<double>(Facts.PromptTokens + Facts.MaxOutputTokens);
}

} // namespace mangodeck
