#include "mangodeck/request/callerinput.h"

#include "mangodeck/request/openai.h"
#include "mangodeck/request/prefixfingerprint.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace mangodeck {

namespace {

constexpr std::string_view TierHeader = "X-Mangodeck-Tier";
constexpr std::string_view DeadlineHeader = "X-Mangodeck-Deadline-Ms";
constexpr std::string_view NonIdempotentHeader = "X-Mangodeck-Non-Idempotent";
constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
constexpr std::string_view PrefixHeader = "X-Mangodeck-Prefix";
constexpr std::string_view ServicesPrefix = "/services/";
/// First path segment of the targets' control interface, which is closed to
/// callers.
constexpr std::string_view TargetControlSegment = "mangodeck";

constexpr std::int64_t MaxDeadlineMilliseconds = 24LL * 3600 * 1000;
constexpr std::size_t MaxIdempotencyKeyBytes = 255;
constexpr auto NoConfigurationRetryAfter = 1s;

constexpr std::array<std::string_view, 6> PlainMethods{
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};

/// Headers that are not forwarded to targets: those of the connection, the
/// caller's credentials, those that this module reads or sets, and those that
/// ask for an encoding or a part of the content. The caller's answer would not
/// show that the target had applied an encoding or sent a part only.
constexpr std::array<std::string_view, 17> WithheldHeaders{
    "accept-encoding",
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "if-range",
    "keep-alive",
    "range",
    "te",
    "trailer",
    "upgrade",
    "proxy-authorization",
    "proxy-connection",
    "x-request-id",
    "transfer-encoding"};
constexpr std::string_view MangodeckHeaderPrefix = "x-mangodeck-";

Problem makeProblem(int Status, std::string_view Type, std::string Detail) {
  Problem Result;
  Result.Status = Status;
  Result.Type = Type;
  Result.Detail = std::move(Detail);
  return Result;
}

/// A daemon that has no configuration yet knows no keys, so a 401 would wrongly
/// report the caller's key as invalid.
Problem describeNoConfiguration() {
  auto Result =
      makeProblem(503, "no-configuration", "This VM has no configuration yet.");
  Result.RetryAfter = NoConfigurationRetryAfter;
  return Result;
}

std::string toLower(std::string_view Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Result;
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

/// Reads and checks one request and stops at the first problem.
class InputReader {
public:
  InputReader(const CallerRequest &Request, const Snapshot &Config)
      : m_Request(Request), m_Config(Config), m_Path(pathOf(Request.Path)) {}

  CallerInput read();

private:
  /// The problem found by one check, or std::nullopt.
  using CheckResult = std::optional<Problem>;

  CheckResult authenticate();
  CheckResult readModelRequest(CompletionKind Kind);
  CheckResult readPlainRequest();
  CheckResult useService(const Service &Requested);
  CheckResult readTier();
  CheckResult readDeadline();
  CheckResult readIdempotency();
  CheckResult readCommonHeaders();
  CheckResult requireMethod(std::string_view Allowed) const;
  CheckResult requireJson() const;
  CheckResult checkTargetPath() const;
  void copyHeaders();
  CallerAnswer answer(const Problem &Error) const;
  CallerAnswer listModels() const;
  bool mayCall(const Service &Requested) const;

  const CallerRequest &m_Request;
  const Snapshot &m_Config;
  const std::string_view m_Path;
  const Customer *m_Customer = nullptr;
  const Service *m_Service = nullptr;
  CheckedRequest m_Result;
  std::string m_AllowedMethods; ///< For a 405 answer; empty means POST.
};

CallerInput InputReader::read() {
  if (m_Config.Customers.empty())
    return answer(describeNoConfiguration());
  if (auto Error = authenticate())
    return answer(*Error);
  if (m_Path == "/v1/models") {
    m_AllowedMethods = "GET";
    if (auto Error = requireMethod("GET"))
      return answer(*Error);
    return listModels();
  }
  CheckResult Error;
  if (m_Path == "/v1/completions")
    Error = readModelRequest(CompletionKind::Text);
  else if (m_Path == "/v1/chat/completions")
    Error = readModelRequest(CompletionKind::Chat);
  else if (m_Path.starts_with(ServicesPrefix))
    Error = readPlainRequest();
  else
    Error = makeProblem(404, "no-such-path",
                        "Paths are /v1/completions, /v1/chat/completions, "
                        "/v1/models and /services/NAME/...");
  if (!Error)
    Error = readCommonHeaders();
  if (Error)
    return answer(*Error);
  return std::move(m_Result);
}

InputReader::CheckResult InputReader::authenticate() {
  constexpr std::string_view Scheme = "bearer ";
  const auto *Value = findHeader(m_Request.Headers, "Authorization");
  if (!Value || !toLower(std::string_view(*Value).substr(0, Scheme.size()))
                     .starts_with(Scheme))
    return makeProblem(401, "no-key",
                       "The request needs an \"Authorization: Bearer KEY\" "
                       "header.");
  const auto Key = std::string_view(*Value).substr(Scheme.size());
  m_Customer = m_Config.findCustomerByKeyHash(hashBearerKey(Key));
  if (!m_Customer)
    return makeProblem(401, "unknown-key", "The bearer key is not known.");
  m_Result.Draft.Customer = m_Customer->Name;
  return std::nullopt;
}

InputReader::CheckResult InputReader::readModelRequest(CompletionKind Kind) {
  if (auto Error = requireMethod("POST"))
    return Error;
  if (auto Error = requireJson())
    return Error;
  auto Parsed = parseCompletion(Kind, m_Request.Body);
  if (!Parsed)
    return std::move(Parsed.error());
  const auto *Requested = m_Config.findModel(Parsed->Model);
  if (!Requested)
    return makeProblem(404, "no-such-model",
                       fmt::format("There is no model \"{}\".", Parsed->Model));
  if (auto Error = useService(*Requested))
    return Error;
  auto &Draft = m_Result.Draft;
  Draft.PromptTokens = Parsed->PromptTokens;
  Draft.OutputTokens = Parsed->OutputTokens;
  Draft.PrefixBlocks = hashPrefixBlocks(Parsed->Model, Parsed->PromptText);
  Draft.TokensPerBlock = TokensPerPrefixBlock;
  m_Result.Streaming = Parsed->Streaming;
  m_Result.TargetMethod = "POST";
  m_Result.TargetPath = std::string(m_Path);
  m_Result.TargetHeaders.push_back({"Content-Type", "application/json"});
  if (!Draft.PrefixBlocks.empty())
    m_Result.TargetHeaders.push_back(
        {std::string(PrefixHeader), formatPrefixBlocks(Draft.PrefixBlocks)});
  return std::nullopt;
}

InputReader::CheckResult InputReader::readPlainRequest() {
  const auto Rest =
      std::string_view(m_Request.Path).substr(ServicesPrefix.size());
  const auto End = std::min(Rest.find_first_of("/?"), Rest.size());
  const auto Name = Rest.substr(0, End);
  const auto *Requested = m_Config.findService(ServiceName(Name));
  if (!Requested || Requested->Kind != ServiceKind::Plain)
    return makeProblem(404, "no-such-service",
                       fmt::format("There is no plain service \"{}\".", Name));
  if (std::find(PlainMethods.begin(), PlainMethods.end(), m_Request.Method) ==
      PlainMethods.end()) {
    m_AllowedMethods = fmt::format("{}", fmt::join(PlainMethods, ", "));
    return requireMethod(""); // Always a problem: no method is empty.
  }
  if (auto Error = useService(*Requested))
    return Error;
  m_Result.TargetMethod = m_Request.Method;
  m_Result.TargetPath = std::string(Rest.substr(End));
  if (!m_Result.TargetPath.starts_with('/'))
    m_Result.TargetPath.insert(0, "/");
  if (auto Error = checkTargetPath())
    return Error;
  m_Result.Draft.PromptTokens = 1;
  m_Result.Draft.OutputTokens = 1;
  copyHeaders();
  return std::nullopt;
}

InputReader::CheckResult InputReader::useService(const Service &Requested) {
  if (!mayCall(Requested))
    return makeProblem(403, "service-not-allowed",
                       fmt::format("Customer \"{}\" may not call \"{}\".",
                                   m_Customer->Name.Text, Requested.Name.Text));
  m_Service = &Requested;
  m_Result.Kind = Requested.Kind;
  m_Result.Draft.Service = Requested.Name;
  m_Result.Draft.Fingerprint = hashRequest(
      Requested.Name.view(), m_Request.Method, m_Request.Path, m_Request.Body);
  return std::nullopt;
}

InputReader::CheckResult InputReader::readCommonHeaders() {
  if (auto Error = readTier())
    return Error;
  if (auto Error = readDeadline())
    return Error;
  return readIdempotency();
}

/// A request gets its customer's highest tier unless it asks for a lower one.
InputReader::CheckResult InputReader::readTier() {
  m_Result.Draft.Tier = m_Customer->HighestTier;
  const auto *Name = findHeader(m_Request.Headers, TierHeader);
  if (!Name)
    return std::nullopt;
  const auto *Requested = m_Config.findTier(*Name);
  if (!Requested)
    return makeProblem(400, "no-such-tier",
                       fmt::format("There is no tier \"{}\".", *Name));
  if (Requested->Rank < m_Customer->HighestTier)
    return makeProblem(403, "tier-not-allowed",
                       fmt::format("Tier \"{}\" is above those of customer "
                                   "\"{}\".",
                                   *Name, m_Customer->Name.Text));
  m_Result.Draft.Tier = Requested->Rank;
  return std::nullopt;
}

InputReader::CheckResult InputReader::readDeadline() {
  const auto Rank = m_Result.Draft.Tier;
  const auto It =
      std::find_if(m_Config.Tiers.begin(), m_Config.Tiers.end(),
                   [Rank](const Tier &Entry) { return Entry.Rank == Rank; });
  m_Result.DeadlineAfter =
      It == m_Config.Tiers.end() ? Tier().DefaultDeadline : It->DefaultDeadline;
  const auto *Text = findHeader(m_Request.Headers, DeadlineHeader);
  if (!Text)
    return std::nullopt;
  std::int64_t Value = 0;
  const auto *End = Text->data() + Text->size();
  const auto Parsed = std::from_chars(Text->data(), End, Value);
  const bool Valid = !Text->empty() && Parsed.ec == std::errc() &&
                     Parsed.ptr == End && Value >= 1 &&
                     Value <= MaxDeadlineMilliseconds;
  if (!Valid)
    return makeProblem(400, "invalid-header",
                       fmt::format("{} must be a whole number from 1 to {}.",
                                   DeadlineHeader, MaxDeadlineMilliseconds));
  m_Result.DeadlineAfter = std::chrono::milliseconds(Value);
  return std::nullopt;
}

InputReader::CheckResult InputReader::readIdempotency() {
  m_Result.Draft.Idempotent = m_Service->Idempotent;
  if (const auto *Flag = findHeader(m_Request.Headers, NonIdempotentHeader)) {
    const auto Text = toLower(*Flag);
    if (Text != "true" && Text != "false")
      return makeProblem(
          400, "invalid-header",
          fmt::format("{} must be true or false.", NonIdempotentHeader));
    m_Result.Draft.Idempotent = m_Service->Idempotent && Text == "false";
  }
  const auto *Key = findHeader(m_Request.Headers, IdempotencyKeyHeader);
  if (!Key)
    return std::nullopt;
  const bool Printable = std::all_of(
      Key->begin(), Key->end(), [](char C) { return C > ' ' && C <= '~'; });
  if (Key->empty() || Key->size() > MaxIdempotencyKeyBytes || !Printable)
    return makeProblem(
        400, "invalid-header",
        fmt::format("{} must have 1 to {} printable ASCII characters without "
                    "spaces.",
                    IdempotencyKeyHeader, MaxIdempotencyKeyBytes));
  m_Result.IdempotencyKey = *Key;
  return std::nullopt;
}

InputReader::CheckResult
InputReader::requireMethod(std::string_view Allowed) const {
  if (m_Request.Method == Allowed)
    return std::nullopt;
  return makeProblem(405, "method-not-allowed",
                     fmt::format("{} is not served here.", m_Request.Method));
}

InputReader::CheckResult InputReader::requireJson() const {
  const auto *Type = findHeader(m_Request.Headers, "Content-Type");
  if (Type && toLower(*Type).starts_with("application/json"))
    return std::nullopt;
  return makeProblem(415, "unsupported-media-type",
                     "The body must be sent as application/json.");
}

/// Rejects paths to the target's control interface, also when they are written
/// with percent escapes, upper case, backslashes or empty segments, and all
/// paths with dot segments.
InputReader::CheckResult InputReader::checkTargetPath() const {
  std::string Decoded;
  const auto Path = pathOf(m_Result.TargetPath);
  for (std::size_t I = 0; I < Path.size(); ++I) {
    unsigned Value = 0;
    if (Path[I] == '%') {
      const auto Digits = Path.substr(I + 1, 2);
      const auto *End = Digits.data() + Digits.size();
      const auto Parsed = std::from_chars(Digits.data(), End, Value, 16);
      if (Digits.size() != 2 || Parsed.ptr != End || Value == 0)
        return makeProblem(400, "invalid-path",
                           "The path has a malformed percent escape.");
      I += 2;
    }
    Decoded += Value ? static_cast<char>(Value) : Path[I];
  }
  bool First = true;
  for (std::size_t Start = 0; Start <= Decoded.size();) {
    const auto End =
        std::min(Decoded.find_first_of("/\\", Start), Decoded.size());
    const auto Segment = toLower(Decoded.substr(Start, End - Start));
    Start = End + 1;
    if (Segment == "." || Segment == "..")
      return makeProblem(400, "invalid-path",
                         "The path may not have dot segments.");
    if (Segment.empty())
      continue;
    if (First && Segment == TargetControlSegment)
      return makeProblem(404, "no-such-path",
                         "This path is not open to callers.");
    First = false;
  }
  return std::nullopt;
}

void InputReader::copyHeaders() {
  for (const auto &Field : m_Request.Headers) {
    const auto Name = toLower(Field.Name);
    const bool Withheld =
        std::find(WithheldHeaders.begin(), WithheldHeaders.end(), Name) !=
        WithheldHeaders.end();
    if (!Withheld && !Name.starts_with(MangodeckHeaderPrefix))
      m_Result.TargetHeaders.push_back(Field);
  }
}

CallerAnswer InputReader::answer(const Problem &Error) const {
  auto Answer = makeAnswer(Error);
  if (Error.Status == 401)
    Answer.Headers.push_back({"WWW-Authenticate", "Bearer"});
  if (Error.Status == 405)
    Answer.Headers.push_back(
        {"Allow", m_AllowedMethods.empty() ? "POST" : m_AllowedMethods});
  return Answer;
}

CallerAnswer InputReader::listModels() const {
  std::vector<std::string> Models;
  for (const auto &Entry : m_Config.Services)
    if (Entry.Kind == ServiceKind::Model && mayCall(Entry))
      Models.push_back(Entry.Model);
  std::sort(Models.begin(), Models.end());
  CallerAnswer Answer;
  Answer.Status = 200;
  Answer.Headers.push_back({"Content-Type", "application/json"});
  Answer.Body = formatModelList(Models);
  return Answer;
}

bool InputReader::mayCall(const Service &Requested) const {
  const auto &AllowedServices = m_Customer->Services;
  return AllowedServices.empty() ||
         std::find(AllowedServices.begin(), AllowedServices.end(),
                   Requested.Name) != AllowedServices.end();
}

} // namespace

CallerInput readCallerInput(const CallerRequest &Request,
                            const Snapshot &Config) {
  return InputReader(Request, Config).read();
}

std::string hashBearerKey(std::string_view Key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.data());
  std::string Result;
  for (const auto Byte : Digest)
    Result += fmt::format("{:02x}", Byte);
  return Result;
}

} // namespace mangodeck
