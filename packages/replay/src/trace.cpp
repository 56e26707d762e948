#include "mangodeck/replay/trace.h"

#include "jsonfields.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <istream>
#include <ostream>
#include <utility>

namespace mangodeck {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::pair<FaultKind, std::string_view>, 5> FaultNames{{
    {FaultKind::Crash, "crash"},
    {FaultKind::Slow, "slow"},
    {FaultKind::Leave, "leave"},
    {FaultKind::ReportLag, "report-lag"},
    {FaultKind::StoreOutage, "store-outage"},
}};

constexpr double MaxMilliseconds = 86400000;
constexpr double MaxTokens = 10000000;

double toMilliseconds(Duration Span) {
  return std::round(toSeconds(Span) * 1e6) / 1e3;
}

TraceExpectation readExpectation(JsonFields &Fields) {
  TraceExpectation Result;
  Result.Measure = Fields.choice("measure", expectationMeasures());
  Result.Tier = static_cast<TierRank>(Fields.number("tier", 0, 255, 0));
  Result.HasLeast = Fields.has("at-least");
  Result.HasMost = Fields.has("at-most");
  Result.AtLeast = Fields.number("at-least", 0, 1e12, 0);
  Result.AtMost = Fields.number("at-most", 0, 1e12, 0);
  Fields.finish();
  return Result;
}

TraceHeader readHeader(JsonFields &Fields) {
  TraceHeader Result;
  Fields.number("format", TraceFormat, TraceFormat);
  Result.Name = Fields.text("name");
  Result.Deployment = Fields.text("deployment");
  Result.Generator = Fields.text("generator");
  Result.Seed = static_cast<std::uint64_t>(Fields.number("seed", 0, 9e15, 0));
  Result.Length = Fields.milliseconds("length", 1, MaxMilliseconds);
  Result.LinkDelay = Fields.milliseconds("link-delay", 0, 1000);
  Result.ReportLag = Fields.milliseconds("report-lag", 0, MaxMilliseconds);
  Fields.forEach("entries", [&](JsonFields &Item) {
    TraceVm Vm;
    Vm.Name = VmName(Item.text("vm"));
    Vm.Domain = FailureDomain(Item.text("failure-domain"));
    Item.finish();
    Result.Entries.push_back(std::move(Vm));
  });
  if (Result.Entries.empty())
    Fields.fault("entries", "none", "at least one entry VM");
  Fields.forEach("expect", [&](JsonFields &Item) {
    Result.Expectations.push_back(readExpectation(Item));
  });
  Fields.finish();
  return Result;
}

TraceArrival readArrival(JsonFields &Fields) {
  TraceArrival Result;
  Result.At = Fields.milliseconds("at", 0, MaxMilliseconds);
  Result.Customer = CustomerName(Fields.text("customer"));
  Result.Service = ServiceName(Fields.text("service"));
  Result.Tier = static_cast<TierRank>(Fields.number("tier", 0, 255));
  Result.Prompt = Fields.count("prompt", MaxTokens);
  Result.Prefix =
      static_cast<std::uint64_t>(Fields.number("prefix", 0, 9e15, 0));
  Result.PrefixTokens = Fields.count("prefix-tokens", MaxTokens);
  if (Result.PrefixTokens > Result.Prompt)
    Fields.fault("prefix-tokens", std::to_string(Result.PrefixTokens),
                 "at most prompt");
  Result.Output = Fields.count("output", MaxTokens);
  Result.MaxOutput = Fields.count("max-output", MaxTokens);
  Result.Deadline = Fields.milliseconds("deadline", 1, MaxMilliseconds);
  Result.Work = Fields.milliseconds("work", 0, MaxMilliseconds, 0);
  Result.HangUp = Fields.milliseconds("hang-up", 0, MaxMilliseconds, 0);
  Result.Resends =
      static_cast<std::uint32_t>(Fields.number("resends", 0, 1000, 0));
  Result.Keyed = Fields.flag("keyed");
  Result.Poison = Fields.flag("poison");
  Fields.finish();
  return Result;
}

std::vector<std::string> faultNames() {
  std::vector<std::string> Names;
  for (const auto &[Kind, Name] : FaultNames)
    Names.emplace_back(Name);
  return Names;
}

TraceFault readFault(JsonFields &Fields) {
  TraceFault Result;
  Result.At = Fields.milliseconds("at", 0, MaxMilliseconds);
  const auto Name = Fields.choice("fault", faultNames());
  for (const auto &[Kind, Text] : FaultNames)
    if (Name == Text)
      Result.Kind = Kind;
  const bool NamesTarget = Result.Kind != FaultKind::ReportLag &&
                           Result.Kind != FaultKind::StoreOutage;
  if (NamesTarget)
    Result.Target = TargetName(Fields.text("target"));
  if (Result.Kind != FaultKind::ReportLag)
    Result.For = Fields.milliseconds("for", 1, MaxMilliseconds);
  if (Result.Kind == FaultKind::Slow)
    Result.Factor = Fields.number("factor", 1, 1000);
  if (Result.Kind == FaultKind::ReportLag)
    Result.Lag = Fields.milliseconds("lag", 0, MaxMilliseconds);
  Fields.finish();
  return Result;
}

/// Reads the lines of one trace and collects the faults found.
class TraceReader {
public:
  explicit TraceReader(std::string_view File) : m_File(File) {}

  void readLine(std::string_view Text, int Line) {
    const SourcePlace Place{m_File, Line};
    const auto Parsed = Json::parse(Text, nullptr, false);
    if (!Parsed.is_object()) {
      m_Faults.push_back({Place, "", std::string(Text.substr(0, 40)),
                          "one JSON object on each line"});
      return;
    }
    JsonFields Fields(Parsed, Place, m_Faults);
    if (Line == 1) {
      m_Trace.Header = readHeader(Fields);
      return;
    }
    if (Fields.has("fault"))
      m_Trace.Faults.push_back(readFault(Fields));
    else
      m_Trace.Arrivals.push_back(readArrival(Fields));
  }

  tl::expected<Trace, Diagnostics> take() {
    const auto Earlier = [](const auto &A, const auto &B) {
      return A.At < B.At;
    };
    if (!std::is_sorted(m_Trace.Arrivals.begin(), m_Trace.Arrivals.end(),
                        Earlier))
      m_Faults.push_back(
          {{m_File, 0}, "at", "a smaller time", "lines in time order"});
    if (!m_Faults.empty())
      return tl::unexpected(std::move(m_Faults));
    std::stable_sort(m_Trace.Faults.begin(), m_Trace.Faults.end(), Earlier);
    return std::move(m_Trace);
  }

private:
  std::string m_File;
  Trace m_Trace;
  Diagnostics m_Faults;
};

Json toJson(const TraceExpectation &Item) {
  Json Result{{"measure", Item.Measure}, {"tier", Item.Tier}};
  if (Item.HasLeast)
    Result["at-least"] = Item.AtLeast;
  if (Item.HasMost)
    Result["at-most"] = Item.AtMost;
  return Result;
}

Json toJson(const TraceHeader &Header) {
  Json Entries = Json::array();
  for (const auto &Vm : Header.Entries)
    Entries.push_back(
        {{"vm", Vm.Name.Text}, {"failure-domain", Vm.Domain.Text}});
  Json Expected = Json::array();
  for (const auto &Item : Header.Expectations)
    Expected.push_back(toJson(Item));
  return Json{{"format", TraceFormat},
              {"name", Header.Name},
              {"deployment", Header.Deployment},
              {"generator", Header.Generator},
              {"seed", Header.Seed},
              {"length", toMilliseconds(Header.Length)},
              {"link-delay", toMilliseconds(Header.LinkDelay)},
              {"report-lag", toMilliseconds(Header.ReportLag)},
              {"entries", Entries},
              {"expect", Expected}};
}

Json toJson(const TraceArrival &Item) {
  Json Result{{"at", toMilliseconds(Item.At)},
              {"customer", Item.Customer.Text},
              {"service", Item.Service.Text},
              {"tier", Item.Tier}};
  const auto AddIf = [&Result](const char *Key, auto Value) {
    if (Value != decltype(Value){})
      Result[Key] = Value;
  };
  AddIf("prompt", Item.Prompt);
  AddIf("prefix", Item.Prefix);
  AddIf("prefix-tokens", Item.PrefixTokens);
  AddIf("output", Item.Output);
  AddIf("max-output", Item.MaxOutput);
  Result["deadline"] = toMilliseconds(Item.Deadline);
  AddIf("work", toMilliseconds(Item.Work));
  AddIf("hang-up", toMilliseconds(Item.HangUp));
  AddIf("resends", Item.Resends);
  AddIf("keyed", Item.Keyed);
  AddIf("poison", Item.Poison);
  return Result;
}

Json toJson(const TraceFault &Item) {
  Json Result{{"at", toMilliseconds(Item.At)},
              {"fault", std::string(toString(Item.Kind))}};
  if (!Item.Target.empty())
    Result["target"] = Item.Target.Text;
  if (Item.For > Duration(0))
    Result["for"] = toMilliseconds(Item.For);
  if (Item.Kind == FaultKind::Slow)
    Result["factor"] = Item.Factor;
  if (Item.Kind == FaultKind::ReportLag)
    Result["lag"] = toMilliseconds(Item.Lag);
  return Result;
}

} // namespace

std::string_view toString(FaultKind Kind) {
  for (const auto &[Known, Name] : FaultNames)
    if (Known == Kind)
      return Name;
  return "crash";
}

const std::vector<std::string> &expectationMeasures() {
  static const std::vector<std::string> Names{
      "in-time-share",         "first-token-p95-ms", "goodput-ratio",
      "top-two-goodput-ratio", "wasted-ratio",       "crashes-by-one-request"};
  return Names;
}

tl::expected<Trace, Diagnostics> readTrace(std::istream &In,
                                           std::string_view File) {
  TraceReader Reader(File);
  std::string Text;
  int Line = 0;
  while (std::getline(In, Text))
    Reader.readLine(Text, ++Line);
  if (Line == 0)
    return tl::unexpected(Diagnostics{
        {{std::string(File), 0}, "", "an empty file", "a header line"}});
  return Reader.take();
}

tl::expected<Trace, Diagnostics> loadTrace(std::string_view Path) {
  std::ifstream In{std::string(Path)};
  if (!In)
    return tl::unexpected(Diagnostics{{{std::string(Path), 0},
                                       "",
                                       "a file that cannot be read",
                                       "a trace of JSON lines",
                                       Errc::NotFound}});
  return readTrace(In, Path);
}

void writeTrace(const Trace &Recorded, std::ostream &Out) {
  Out << toJson(Recorded.Header).dump() << '\n';
  for (const auto &Item : Recorded.Faults)
    Out << toJson(Item).dump() << '\n';
  for (const auto &Item : Recorded.Arrivals)
    Out << toJson(Item).dump() << '\n';
}

} // namespace mangodeck
