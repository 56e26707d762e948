#ifndef MANGODECK_REQUEST_OPENAI_H
#define MANGODECK_REQUEST_OPENAI_H

#include "mangodeck/common/units.h"
#include "mangodeck/request/problem.h"

#include <tl/expected.hpp>

#include <span>
#include <string>
#include <string_view>

namespace mangodeck {

/// Which of OpenAI's published endpoints a request was sent to.
enum class CompletionKind : std::uint8_t {
  Text, ///< /v1/completions
  Chat, ///< /v1/chat/completions
};

/// What scheduling needs to know of a completion request.
struct CompletionRequest {
  std::string Model;
  /// Prompt, or all messages in order with their roles.
  std::string PromptText;
  TokenCount PromptTokens = 0; ///< Estimated from the text's length.
  TokenCount OutputTokens = 0; ///< Upper bound, of all choices together.
  bool Streaming = false;
};

/// Reads the body of a completion request in OpenAI's published format. Only
/// the fields above are checked; the target checks the others. Errors: 400 for
/// malformed JSON, 422 for a field of the wrong type or out of range.
tl::expected<CompletionRequest, Problem> parseCompletion(CompletionKind Kind,
                                                         std::string_view Body);

/// Body of an answer to GET /v1/models.
std::string formatModelList(std::span<const std::string> Models);

} // namespace mangodeck

#endif
