#include "mangodeck/request/openai.h"

#include "mangodeck/request/prefixfingerprint.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace mangodeck {

namespace {

using Json = nlohmann::json;

/// Assumed for each choice if the request sets no maximum.
constexpr TokenCount DefaultOutputTokens = 256;
constexpr TokenCount MaxOutputTokens = 1'000'000;
constexpr TokenCount MaxChoices = 128;
/// Limits on a JSON text; they are checked before it is parsed and so bound the
/// memory of its parsed form.
constexpr std::size_t MaxJsonDepth = 64;
constexpr std::size_t MaxJsonElements = 300'000;

Problem makeInputProblem(int Status, std::string_view Type,
                         std::string Detail) {
  Problem Result;
  Result.Status = Status;
  Result.Type = Type;
  Result.Detail = std::move(Detail);
  return Result;
}

Problem makeFieldProblem(std::string_view Field, std::string_view Allowed) {
  return makeInputProblem(
      422, "invalid-field",
      fmt::format("Field \"{}\" must be {}.", Field, Allowed));
}

/// Checks the nesting depth and the number of elements (opening brackets and
/// commas outside strings) in one pass that allocates no memory.
bool isWithinJsonLimits(std::string_view Text) {
  std::size_t Depth = 0;
  std::size_t Elements = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const char C = Text[I];
    if (InString) {
      I += C == '\\' ? 1 : 0;
      InString = C != '"';
      continue;
    }
    InString = C == '"';
    const bool Opens = C == '[' || C == '{';
    Depth += Opens ? 1 : 0;
    Depth -= (C == ']' || C == '}') && Depth > 0 ? 1 : 0;
    Elements += Opens || C == ',' ? 1 : 0;
    if (Depth > MaxJsonDepth || Elements > MaxJsonElements)
      return false;
  }
  return true;
}

/// Appends the text of a "content" field: a string, or a list of parts, of
/// which those without a "text" string (such as images) are skipped.
void appendContent(const Json &Content, std::string &Text) {
  if (Content.is_string())
    Text += Content.get_ref<const std::string &>();
  if (!Content.is_array())
    return;
  for (const auto &Part : Content)
    if (Part.is_object() && Part.contains("text") && Part["text"].is_string())
      Text += Part["text"].get_ref<const std::string &>();
}

std::optional<Problem> readMessages(const Json &Root, CompletionRequest &Out) {
  const auto It = Root.find("messages");
  if (It == Root.end() || !It->is_array() || It->empty())
    return makeFieldProblem("messages", "a list of at least one message");
  for (const auto &Message : *It) {
    if (!Message.is_object() || !Message.contains("role") ||
        !Message["role"].is_string())
      return makeFieldProblem("messages", "a list of objects with a \"role\"");
    Out.PromptText += Message["role"].get_ref<const std::string &>();
    Out.PromptText += '\n';
    if (Message.contains("content"))
      appendContent(Message["content"], Out.PromptText);
    Out.PromptText += '\n';
  }
  Out.PromptTokens = estimateTokens(Out.PromptText);
  return std::nullopt;
}

/// Adds one element of a prompt: a text, a token, or a list of tokens. Tokens
/// are appended in decimal, so that equal tokens have equal prefix hashes.
/// Returns false for an element of any other type.
bool appendPromptPart(const Json &Part, CompletionRequest &Out) {
  if (Part.is_string()) {
    const auto &Text = Part.get_ref<const std::string &>();
    Out.PromptText += Text;
    Out.PromptTokens += estimateTokens(Text);
    return true;
  }
  if (Part.is_number_unsigned()) {
    Out.PromptText += std::to_string(Part.get<std::uint64_t>()) + ' ';
    Out.PromptTokens += 1;
    return true;
  }
  if (!Part.is_array())
    return false;
  for (const auto &Token : Part)
    if (!Token.is_number_unsigned() || !appendPromptPart(Token, Out))
      return false;
  return true;
}

std::optional<Problem> readPrompt(const Json &Root, CompletionRequest &Out) {
  constexpr std::string_view Allowed =
      "a text, a list of texts, or a list of tokens";
  const auto It = Root.find("prompt");
  if (It == Root.end())
    return makeFieldProblem("prompt", Allowed);
  if (!It->is_array()) {
    if (!It->is_string() || !appendPromptPart(*It, Out))
      return makeFieldProblem("prompt", Allowed);
    return std::nullopt;
  }
  for (const auto &Part : *It)
    if (!appendPromptPart(Part, Out))
      return makeFieldProblem("prompt", Allowed);
  return std::nullopt;
}

/// Reads an optional whole number from 1 to \p Max; std::nullopt if the field
/// is absent or null.
tl::expected<std::optional<TokenCount>, Problem>
readCount(const Json &Root, const char *Field, TokenCount Max) {
  const auto It = Root.find(Field);
  if (It == Root.end() || It->is_null())
    return std::optional<TokenCount>();
  const bool InRange =
      It->is_number_unsigned() && It->get<std::uint64_t>() >= 1 &&
      It->get<std::uint64_t>() <= static_cast<std::uint64_t>(Max);
  if (!InRange)
    return tl::unexpected(makeFieldProblem(
        Field, fmt::format("a whole number from 1 to {}", Max)));
  return std::optional<TokenCount>(It->get<TokenCount>());
}

std::optional<Problem> readOutputTokens(const Json &Root,
                                        CompletionRequest &Out) {
  const auto MaxCompletionTokens =
      readCount(Root, "max_completion_tokens", MaxOutputTokens);
  if (!MaxCompletionTokens)
    return MaxCompletionTokens.error();
  const auto MaxTokens = readCount(Root, "max_tokens", MaxOutputTokens);
  if (!MaxTokens)
    return MaxTokens.error();
  const auto Choices = readCount(Root, "n", MaxChoices);
  if (!Choices)
    return Choices.error();
  const auto PerChoice =
      MaxCompletionTokens->value_or(MaxTokens->value_or(DefaultOutputTokens));
  Out.OutputTokens = PerChoice * Choices->value_or(1);
  return std::nullopt;
}

std::optional<Problem> readStreaming(const Json &Root, CompletionRequest &Out) {
  const auto It = Root.find("stream");
  if (It == Root.end() || It->is_null())
    return std::nullopt;
  if (!It->is_boolean())
    return makeFieldProblem("stream", "true or false");
  Out.Streaming = It->get<bool>();
  return std::nullopt;
}

std::optional<Problem> readModel(const Json &Root, CompletionRequest &Out) {
  const auto It = Root.find("model");
  if (It == Root.end() || !It->is_string() ||
      It->get_ref<const std::string &>().empty())
    return makeFieldProblem("model", "the name of a model");
  Out.Model = It->get<std::string>();
  return std::nullopt;
}

} // namespace

tl::expected<CompletionRequest, Problem>
parseCompletion(CompletionKind Kind, std::string_view Body) {
  if (!isWithinJsonLimits(Body))
    return tl::unexpected(makeInputProblem(
        422, "body-too-complex",
        fmt::format("The JSON body may be nested {} deep and have {} elements.",
                    MaxJsonDepth, MaxJsonElements)));
  const auto Root = Json::parse(Body, nullptr, false);
  if (!Root.is_object())
    return tl::unexpected(makeInputProblem(400, "malformed-body",
                                           "The body must be a JSON object."));
  CompletionRequest Result;
  auto Error = readModel(Root, Result);
  if (!Error)
    Error = Kind == CompletionKind::Chat ? readMessages(Root, Result)
                                         : readPrompt(Root, Result);
  if (!Error)
    Error = readOutputTokens(Root, Result);
  if (!Error)
    Error = readStreaming(Root, Result);
  if (Error)
    return tl::unexpected(std::move(*Error));
  return Result;
}

std::string formatModelList(std::span<const std::string> Models) {
  auto Data = Json::array();
  for (const auto &Model : Models)
    Data.push_back({{"id", Model},
                    {"object", "model"},
                    {"created", 0},
                    {"owned_by", "mangodeck"}});
  const Json Root = {{"object", "list"}, {"data", std::move(Data)}};
  return Root.dump() + "\n";
}

} // namespace mangodeck
