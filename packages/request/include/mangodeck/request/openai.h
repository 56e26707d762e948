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

/// Fields of a completion request that scheduling uses.
struct CompletionRequest {
  std::string Model;
  /// The prompt, or the roles and texts of all messages in order.
  std::string PromptText;
  TokenCount PromptTokens = 0; ///< Estimated for text, exact for token lists.
  TokenCount OutputTokens = 0; ///< Upper bound over all choices together.
  bool Streaming = false;
};

/// Parses the body of a completion request in OpenAI's published format. Only
/// the fields that CompletionRequest is filled from are checked; the target
/// checks the others. Errors: 400 for malformed JSON; 422 for a field of the
/// wrong type or out of range, and for too deep or too many JSON elements.
tl::expected<CompletionRequest, Problem> parseCompletion(CompletionKind Kind,
                                                         std::string_view Body);

/// Formats the body of the answer to GET /v1/models.
std::string formatModelList(std::span<const std::string> Models);

} // namespace mangodeck

#endif
