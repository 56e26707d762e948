#ifndef MANGODECK_STANDIN_STANDINFAULTS_H
#define MANGODECK_STANDIN_STANDINFAULTS_H

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace mangodeck::testing {

/// What one answer does wrong.
struct AnswerFault {
  std::optional<std::size_t> DieAfterFrames;     ///< The process exits.
  std::optional<std::size_t> CutAfterFrames;     ///< The connection ends.
  std::optional<std::size_t> SilentAfterFrames;  ///< Open, but no more bytes.
  std::optional<std::size_t> ForeignAfterFrames; ///< Frames of another id.
  bool ForeignHead = false; ///< The head names another request's id.
  bool Doubled = false;     ///< The whole answer is sent twice.
  std::int64_t LateMilliseconds = 0;
};

/// The switchable faults of a stand-in target. A fault of answers applies to
/// the next \c Times answers, or to all if that is negative.
struct Faults {
  AnswerFault Answer;
  std::int64_t Times = -1;
  bool Reject = false; ///< Says that it does not take the request.
  bool Leaving = false;
  double SlowFactor = 1.0; ///< Multiplies all delays.
  std::string CrashOn;     ///< The process dies of a body with this text.
  bool CacheGap = false;   ///< Leaves out every second cache event.

  /// Takes the fault of the next answer.
  AnswerFault takeAnswerFault() {
    if (Times == 0)
      return {};
    if (Times > 0)
      --Times;
    return Answer;
  }

  /// Replaces all faults by those of \p Json; what it leaves out is off.
  /// Returns an error text, empty if the faults are in force.
  std::string replace(const std::string &Json);
};

inline std::string Faults::replace(const std::string &Json) {
  const auto Root = nlohmann::json::parse(Json, nullptr, false);
  if (!Root.is_object())
    return "the faults must be a JSON object";
  Faults Next;
  for (const auto &[Name, Value] : Root.items()) {
    const bool IsCount = Value.is_number_unsigned();
    if (Name == "die_after_frames" && IsCount)
      Next.Answer.DieAfterFrames = Value.get<std::size_t>();
    else if (Name == "cut_after_frames" && IsCount)
      Next.Answer.CutAfterFrames = Value.get<std::size_t>();
    else if (Name == "silent_after_frames" && IsCount)
      Next.Answer.SilentAfterFrames = Value.get<std::size_t>();
    else if (Name == "foreign_after_frames" && IsCount)
      Next.Answer.ForeignAfterFrames = Value.get<std::size_t>();
    else if (Name == "foreign_head" && Value.is_boolean())
      Next.Answer.ForeignHead = Value.get<bool>();
    else if (Name == "doubled" && Value.is_boolean())
      Next.Answer.Doubled = Value.get<bool>();
    else if (Name == "late_ms" && IsCount)
      Next.Answer.LateMilliseconds = Value.get<std::int64_t>();
    else if (Name == "times" && Value.is_number_integer())
      Next.Times = Value.get<std::int64_t>();
    else if (Name == "reject" && Value.is_boolean())
      Next.Reject = Value.get<bool>();
    else if (Name == "leaving" && Value.is_boolean())
      Next.Leaving = Value.get<bool>();
    else if (Name == "slow_factor" && Value.is_number())
      Next.SlowFactor = Value.get<double>();
    else if (Name == "crash_on" && Value.is_string())
      Next.CrashOn = Value.get<std::string>();
    else if (Name == "cache_gap" && Value.is_boolean())
      Next.CacheGap = Value.get<bool>();
    else
      return "unknown fault or wrong type: " + Name;
  }
  *this = Next;
  return {};
}

} // namespace mangodeck::testing

#endif
