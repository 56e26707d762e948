#ifndef MANGODECK_TESTING_STANDINTOKENS_H
#define MANGODECK_TESTING_STANDINTOKENS_H

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <string>
#include <string_view>
#include <vector>

/// The answers of the stand-in model engine. They follow from the prompt
/// alone, so that a test can check a whole answer byte for byte.
namespace mangodeck::testing {

/// The token at \p Index of the answer to \p Prompt.
inline std::string makeToken(std::string_view Prompt, std::size_t Index) {
  const auto Hash = XXH3_64bits_withSeed(Prompt.data(), Prompt.size(), Index);
  return fmt::format(" {:04x}", Hash & 0xffff);
}

/// What an answer is made of.
struct StandInAnswer {
  std::string Id; ///< The request's id.
  std::string Model;
  std::string Prompt;
  std::size_t Tokens = 0;
  bool Chat = false;
};

/// One choice of a frame; an empty \p Token makes the last one.
inline nlohmann::ordered_json makeChoice(const StandInAnswer &Answer,
                                         const std::string &Token) {
  nlohmann::ordered_json Choice = {{"index", 0}};
  if (Answer.Chat)
    Choice["delta"] = Token.empty()
                          ? nlohmann::ordered_json::object()
                          : nlohmann::ordered_json{{"content", Token}};
  else
    Choice["text"] = Token;
  if (Token.empty())
    Choice["finish_reason"] = "length";
  else
    Choice["finish_reason"] = nullptr;
  return Choice;
}

inline std::string makeFrame(const StandInAnswer &Answer,
                             const std::string &Token) {
  nlohmann::ordered_json Frame = {
      {"id", Answer.Id},
      {"object", Answer.Chat ? "chat.completion.chunk" : "text_completion"},
      {"created", 0},
      {"model", Answer.Model},
      {"choices", nlohmann::ordered_json::array()}};
  Frame["choices"].push_back(makeChoice(Answer, Token));
  return "data: " + Frame.dump() + "\n\n";
}

/// The frames of a streamed answer: one for each token, the finish reason, and
/// the end mark.
inline std::vector<std::string> makeFrames(const StandInAnswer &Answer) {
  std::vector<std::string> Frames;
  for (std::size_t I = 0; I < Answer.Tokens; ++I)
    Frames.push_back(makeFrame(Answer, makeToken(Answer.Prompt, I)));
  Frames.push_back(makeFrame(Answer, ""));
  Frames.push_back("data: [DONE]\n\n");
  return Frames;
}

/// A whole streamed answer.
inline std::string makeStream(const StandInAnswer &Answer) {
  std::string Bytes;
  for (const auto &Frame : makeFrames(Answer))
    Bytes += Frame;
  return Bytes;
}

/// A whole answer that is not streamed.
inline std::string makeBody(const StandInAnswer &Answer) {
  std::string Text;
  for (std::size_t I = 0; I < Answer.Tokens; ++I)
    Text += makeToken(Answer.Prompt, I);
  nlohmann::ordered_json Choice = {{"index", 0}};
  if (Answer.Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  Choice["finish_reason"] = "length";
  nlohmann::ordered_json Root = {
      {"id", Answer.Id},
      {"object", Answer.Chat ? "chat.completion" : "text_completion"},
      {"created", 0},
      {"model", Answer.Model},
      {"choices", nlohmann::ordered_json::array()}};
  Root["choices"].push_back(Choice);
  Root["usage"] = {{"completion_tokens", Answer.Tokens}};
  return Root.dump() + "\n";
}

} // namespace mangodeck::testing

#endif
