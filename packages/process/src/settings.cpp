#include "mangodeck/process/settings.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <limits>
#include <optional>
#include <set>
#include <sstream>

namespace mangodeck {

namespace {

constexpr std::size_t MinPeerKeyBytes = 16;
constexpr std::size_t MaxNameBytes = 64;
/// Longest part of a wrong value that an error message quotes.
constexpr std::size_t MaxQuotedBytes = 60;
constexpr unsigned MaxPort = 65535;

std::string describe(const YAML::Node &Value) {
  switch (Value.Type()) {
  case YAML::NodeType::Null:
    return "nothing";
  case YAML::NodeType::Sequence:
    return "a list";
  case YAML::NodeType::Map:
    return "a map";
  case YAML::NodeType::Scalar:
    return fmt::format("'{}'", Value.Scalar().substr(0, MaxQuotedBytes));
  case YAML::NodeType::Undefined:
    break;
  }
  return "nothing";
}

template <typename T> std::optional<T> parseNumber(std::string_view Text) {
  T Value{};
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

/// Reads "250ms", "30s" or "5m".
std::optional<Duration> parseDuration(std::string_view Text) {
  const auto Digits = Text.find_first_not_of("0123456789");
  if (Digits == 0 || Digits == std::string_view::npos)
    return std::nullopt;
  const auto Value = parseNumber<std::uint32_t>(Text.substr(0, Digits));
  const auto Unit = Text.substr(Digits);
  if (!Value)
    return std::nullopt;
  if (Unit == "ms")
    return std::chrono::milliseconds(*Value);
  if (Unit == "s")
    return std::chrono::seconds(*Value);
  if (Unit == "m")
    return std::chrono::minutes(*Value);
  return std::nullopt;
}

bool isName(std::string_view Text) {
  const auto IsAllowed = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-' ||
           C == '.' || C == '_';
  };
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), IsAllowed);
}

bool isIpV4(std::string_view Text) {
  int Octets = 0;
  while (true) {
    const auto Dot = Text.find('.');
    const auto Part = Text.substr(0, Dot);
    const auto Value = parseNumber<unsigned>(Part);
    if (!Value || *Value > 255 || Part.size() > 3)
      return false;
    ++Octets;
    if (Dot == std::string_view::npos)
      return Octets == 4;
    Text.remove_prefix(Dot + 1);
  }
}

/// Accepts IP:PORT; names are not resolved.
bool isAddress(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || !isIpV4(Text.substr(0, Colon)))
    return false;
  const auto Port = parseNumber<unsigned>(Text.substr(Colon + 1));
  return Port && *Port >= 1 && *Port <= MaxPort;
}

/// Accepts http://IP:PORT[/PATH] and https://IP:PORT[/PATH].
bool isUrl(std::string_view Text) {
  for (const std::string_view Scheme : {"http://", "https://"}) {
    if (!Text.starts_with(Scheme))
      continue;
    Text.remove_prefix(Scheme.size());
    return isAddress(Text.substr(0, Text.find('/')));
  }
  return false;
}

/// Reads the settings of one file and collects all errors, instead of stopping
/// at the first one.
class SettingsReader {
public:
  explicit SettingsReader(std::string_view File) : m_File(File) {}

  Settings read(const YAML::Node &Root);

  void addError(const YAML::Mark &Mark, std::string_view Field,
                std::string Found, std::string_view Allowed) {
    const int Line = Mark.is_null() ? 0 : Mark.line + 1;
    m_Errors.push_back({m_File, Line, std::string(Field), std::move(Found),
                        std::string(Allowed)});
  }

  std::vector<Diagnostic> takeErrors() { return std::move(m_Errors); }

private:
  using Names = std::set<std::string, std::less<>>;

  bool checkFields(const YAML::Node &Map, std::string_view Path,
                   const Names &Allowed);
  YAML::Node find(const YAML::Node &Map, std::string_view Path,
                  std::string_view Field, bool Required);
  std::optional<std::string> readText(const YAML::Node &Value,
                                      std::string_view Path,
                                      bool (*IsValid)(std::string_view),
                                      std::string_view Allowed);
  void readName(const YAML::Node &Map, std::string_view Path,
                std::string_view Field, std::string &Out);
  void readAddress(const YAML::Node &Map, std::string_view Path,
                   std::string_view Field, std::string &Out);
  void readDuration(const YAML::Node &Map, std::string_view Path,
                    std::string_view Field, Duration Min, Duration Max,
                    Duration &Out);
  template <typename T>
  void readNumber(const YAML::Node &Map, std::string_view Path,
                  std::string_view Field, T Min, T Max, T &Out);
  template <typename Visitor>
  void forEachItem(const YAML::Node &List, std::string_view Path,
                   Visitor Visit);

  void readListen(const YAML::Node &Root, Settings &Out);
  void readSeeds(const YAML::Node &Root, Settings &Out);
  void readStore(const YAML::Node &Root, Settings &Out);
  void readPeerKeys(const YAML::Node &Root, Settings &Out);
  void readLimits(const YAML::Node &Root, Settings &Out);
  void readDrain(const YAML::Node &Root, Settings &Out);

  std::string m_File;
  std::vector<Diagnostic> m_Errors;
};

std::string joinPath(std::string_view Path, std::string_view Field) {
  return Path.empty() ? std::string(Field) : fmt::format("{}.{}", Path, Field);
}

/// Adds an error for each field of \p Map that is unknown or repeated. Returns
/// false, with an error, if \p Map is not a map.
bool SettingsReader::checkFields(const YAML::Node &Map, std::string_view Path,
                                 const Names &Allowed) {
  const std::string_view ErrorPath = Path.empty() ? "(file)" : Path;
  if (!Map.IsMap()) {
    addError(Map.Mark(), ErrorPath, describe(Map), "a map of fields");
    return false;
  }
  Names Seen;
  for (const auto &Entry : Map) {
    const std::string Field =
        Entry.first.IsScalar() ? Entry.first.Scalar() : "(no text)";
    if (!Allowed.contains(Field))
      addError(Entry.first.Mark(), joinPath(Path, Field), "an unknown field",
               fmt::format("{}", fmt::join(Allowed, ", ")));
    else if (!Seen.insert(Field).second)
      addError(Entry.first.Mark(), joinPath(Path, Field),
               "the field a second time", "each field once");
  }
  return true;
}

/// Returns the value of a field, or an undefined node if the field is absent or
/// empty. An empty field is an error, and so is an absent required one.
YAML::Node SettingsReader::find(const YAML::Node &Map, std::string_view Path,
                                std::string_view Field, bool Required) {
  const YAML::Node Value = Map[std::string(Field)];
  if (Value.IsDefined() && !Value.IsNull())
    return Value;
  if (Required || Value.IsDefined())
    addError(Value.IsDefined() ? Value.Mark() : Map.Mark(),
             joinPath(Path, Field), "nothing", "a value; it is required");
  return YAML::Node(YAML::NodeType::Undefined);
}

std::optional<std::string>
SettingsReader::readText(const YAML::Node &Value, std::string_view Path,
                         bool (*IsValid)(std::string_view),
                         std::string_view Allowed) {
  if (Value.IsScalar() && IsValid(Value.Scalar()))
    return Value.Scalar();
  addError(Value.Mark(), Path, describe(Value), Allowed);
  return std::nullopt;
}

void SettingsReader::readName(const YAML::Node &Map, std::string_view Path,
                              std::string_view Field, std::string &Out) {
  const auto Value = find(Map, Path, Field, true);
  if (!Value.IsDefined())
    return;
  const auto Text = readText(Value, joinPath(Path, Field), isName,
                             "1 to 64 of a-z, 0-9, '-', '.', '_'");
  Out = Text.value_or("");
}

void SettingsReader::readAddress(const YAML::Node &Map, std::string_view Path,
                                 std::string_view Field, std::string &Out) {
  const auto Value = find(Map, Path, Field, true);
  if (!Value.IsDefined())
    return;
  const auto Text = readText(Value, joinPath(Path, Field), isAddress,
                             "IP:PORT with a port from 1 to 65535");
  Out = Text.value_or("");
}

void SettingsReader::readDuration(const YAML::Node &Map, std::string_view Path,
                                  std::string_view Field, Duration Min,
                                  Duration Max, Duration &Out) {
  const auto Value = find(Map, Path, Field, false);
  if (!Value.IsDefined())
    return;
  const auto Parsed =
      Value.IsScalar() ? parseDuration(Value.Scalar()) : std::nullopt;
  if (Parsed && *Parsed >= Min && *Parsed <= Max) {
    Out = *Parsed;
    return;
  }
  addError(Value.Mark(), joinPath(Path, Field), describe(Value),
           fmt::format("a number with ms, s or m, from {}s to {}s",
                       toSeconds(Min), toSeconds(Max)));
}

template <typename T>
void SettingsReader::readNumber(const YAML::Node &Map, std::string_view Path,
                                std::string_view Field, T Min, T Max, T &Out) {
  const auto Value = find(Map, Path, Field, false);
  if (!Value.IsDefined())
    return;
  const auto Parsed =
      Value.IsScalar() ? parseNumber<T>(Value.Scalar()) : std::nullopt;
  if (Parsed && *Parsed >= Min && *Parsed <= Max) {
    Out = *Parsed;
    return;
  }
  addError(Value.Mark(), joinPath(Path, Field), describe(Value),
           fmt::format("a number from {} to {}", Min, Max));
}

template <typename Visitor>
void SettingsReader::forEachItem(const YAML::Node &List, std::string_view Path,
                                 Visitor Visit) {
  if (!List.IsSequence()) {
    addError(List.Mark(), Path, describe(List), "a list");
    return;
  }
  for (std::size_t I = 0; I < List.size(); ++I)
    Visit(List[I], fmt::format("{}[{}]", Path, I));
}

void SettingsReader::readListen(const YAML::Node &Root, Settings &Out) {
  const auto Listen = find(Root, "", "listen", true);
  if (!Listen.IsDefined() ||
      !checkFields(Listen, "listen", {"callers", "admin", "peers"}))
    return;
  readAddress(Listen, "listen", "callers", Out.CallerAddress);
  readAddress(Listen, "listen", "admin", Out.AdminAddress);
  readAddress(Listen, "listen", "peers", Out.PeerAddress);
}

void SettingsReader::readSeeds(const YAML::Node &Root, Settings &Out) {
  const auto List = find(Root, "", "seeds", false);
  if (!List.IsDefined())
    return;
  Names Seen;
  forEachItem(List, "seeds", [&](const YAML::Node &Item, const auto &Path) {
    if (!checkFields(Item, Path, {"vm", "address", "failure_domain"}))
      return;
    Seed Entry;
    readName(Item, Path, "vm", Entry.Vm.Text);
    readAddress(Item, Path, "address", Entry.Address);
    readName(Item, Path, "failure_domain", Entry.Domain.Text);
    if (!Entry.Vm.empty() && !Seen.insert(Entry.Vm.Text).second)
      addError(Item.Mark(), joinPath(Path, "vm"),
               fmt::format("'{}' a second time", Entry.Vm.Text),
               "each VM once");
    Out.Seeds.push_back(std::move(Entry));
  });
}

void SettingsReader::readStore(const YAML::Node &Root, Settings &Out) {
  const auto Store = find(Root, "", "store", false);
  if (!Store.IsDefined() ||
      !checkFields(Store, "store", {"endpoints", "calls_per_second"}))
    return;
  readNumber(Store, "store", "calls_per_second", 0.1, 1000.0,
             Out.StoreCallsPerSecond);
  const auto List = find(Store, "store", "endpoints", true);
  if (!List.IsDefined())
    return;
  forEachItem(
      List, "store.endpoints", [&](const YAML::Node &Item, const auto &Path) {
        const auto Url = readText(Item, Path, isUrl, "http://IP:PORT[/PATH]");
        if (Url)
          Out.StoreEndpoints.push_back(*Url);
      });
}

/// Keys are secret, so an error message contains a key's length, never the key.
void SettingsReader::readPeerKeys(const YAML::Node &Root, Settings &Out) {
  const auto List = find(Root, "", "peer_keys", true);
  if (!List.IsDefined())
    return;
  constexpr std::string_view Allowed = "a text of at least 16 bytes";
  forEachItem(List, "peer_keys", [&](const YAML::Node &Item, const auto &Path) {
    if (!Item.IsScalar())
      addError(Item.Mark(), Path, describe(Item), Allowed);
    else if (Item.Scalar().size() < MinPeerKeyBytes)
      addError(Item.Mark(), Path, fmt::format("{} bytes", Item.Scalar().size()),
               Allowed);
    else
      Out.PeerKeys.push_back(Item.Scalar());
  });
  if (List.IsSequence() && List.size() == 0)
    addError(List.Mark(), "peer_keys", "an empty list", "at least one key");
}

void SettingsReader::readLimits(const YAML::Node &Root, Settings &Out) {
  const auto Limits = find(Root, "", "limits", false);
  if (!Limits.IsDefined() ||
      !checkFields(Limits, "limits",
                   {"body_bytes", "header_bytes", "waiting_bytes",
                    "caller_idle", "gossip_bytes_per_second",
                    "timeline_events"}))
    return;
  constexpr std::uint64_t MaxBytes = 1ULL << 30;
  readNumber<std::uint64_t>(Limits, "limits", "body_bytes", 1024, MaxBytes,
                            Out.MaxBodyBytes);
  readNumber<std::uint64_t>(Limits, "limits", "header_bytes", 1024, 1 << 20,
                            Out.MaxHeaderBytes);
  readNumber<std::uint64_t>(Limits, "limits", "waiting_bytes", 1024, MaxBytes,
                            Out.MaxWaitingBytes);
  readDuration(Limits, "limits", "caller_idle", 1s, std::chrono::hours(1),
               Out.CallerIdleTimeout);
  readNumber<std::uint64_t>(Limits, "limits", "gossip_bytes_per_second", 500,
                            1 << 20, Out.GossipBytesPerSecond);
  readNumber<std::uint32_t>(Limits, "limits", "timeline_events", 64, 1 << 20,
                            Out.TimelineEvents);
}

void SettingsReader::readDrain(const YAML::Node &Root, Settings &Out) {
  const auto Drain = find(Root, "", "drain", false);
  if (!Drain.IsDefined() || !checkFields(Drain, "drain", {"balancer_lag"}))
    return;
  readDuration(Drain, "drain", "balancer_lag", Duration(0),
               std::chrono::minutes(10), Out.BalancerLag);
}

Settings SettingsReader::read(const YAML::Node &Root) {
  Settings Out;
  if (!checkFields(Root, "",
                   {"vm", "failure_domain", "region", "listen", "seeds",
                    "store", "platform_list", "peer_keys", "limits",
                    "entry_threads", "drain"}))
    return Out;
  readName(Root, "", "vm", Out.Vm.Text);
  readName(Root, "", "failure_domain", Out.Domain.Text);
  readName(Root, "", "region", Out.Region);
  readListen(Root, Out);
  readSeeds(Root, Out);
  readStore(Root, Out);
  const auto List = find(Root, "", "platform_list", false);
  if (List.IsDefined())
    Out.PlatformListUrl =
        readText(List, "platform_list", isUrl, "http://IP:PORT[/PATH]")
            .value_or("");
  readPeerKeys(Root, Out);
  readLimits(Root, Out);
  readNumber<std::uint32_t>(Root, "", "entry_threads", 1, 64, Out.EntryThreads);
  readDrain(Root, Out);
  return Out;
}

} // namespace

SettingsResult parseSettings(std::string_view Text, std::string_view File) {
  SettingsReader Reader(File);
  SettingsResult Result;
  try {
    Result.Values = Reader.read(YAML::Load(std::string(Text)));
  } catch (const YAML::Exception &Error) {
    Reader.addError(Error.mark, "(file)", Error.msg, "YAML 1.2");
  }
  Result.Errors = Reader.takeErrors();
  return Result;
}

SettingsResult loadSettings(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  if (In)
    Text << In.rdbuf();
  if (!In)
    return {
        {},
        {{Path, 0, "(file)", "a file that cannot be read", "a readable file"}}};
  return parseSettings(Text.str(), Path);
}

} // namespace mangodeck
