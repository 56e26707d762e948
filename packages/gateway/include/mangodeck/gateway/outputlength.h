#ifndef MANGODECK_GATEWAY_OUTPUTLENGTH_H
#define MANGODECK_GATEWAY_OUTPUTLENGTH_H

#include "mangodeck/gateway/targetregistry.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace mangodeck {

/// Learns how long the outputs of each route are, relative to the caller's hint
/// or, without one, to the largest permitted output: the median of the ratio
/// and the spread of its logarithm. Hints are right at the median and often
/// several times off.
///
/// A regression that draws long hints to the route's usual length predicts the
/// single answer better, but served callers worse in the model of engines
/// (placement_test): under load it places more of the long answers, which take
/// the time of several short ones.
///
/// Each daemon owns what it has learned; nothing is sent but the result, as
/// RequestWork of a slot request. A daemon that has started uses the hint as it
/// stands until MinAnswers answers of the route have ended. Some 100 bytes for
/// each route.
class OutputLength {
public:
  /// Answers of a route from which on they are used.
  static constexpr double MinAnswers = 20;

  /// Sets the output of \p Work, with its spread, as expected of \p Route with
  /// the caller's \p Hint, if that is known. Changes nothing if it is not.
  void expect(std::string_view Route, std::optional<TokenCount> Hint,
              RequestWork &Work) const;
  /// Records that an answer had \p Tokens tokens. \p IsWhole: it was not cut
  /// off. One that was cut off tells something only if it was longer than
  /// expected then; leaving it out would make long answers seem rare.
  void record(std::string_view Route, std::optional<TokenCount> Hint,
              const RequestWork &Work, TokenCount Tokens, bool IsWhole);

private:
  /// Sums over answers, in which older answers count less, of the logarithm of
  /// length by hint and of its square.
  struct Sums {
    double Count = 0, Log = 0, Square = 0;
  };
  /// Route, and whether the callers gave a hint. Without one the largest
  /// permitted output takes its place.
  using Key = std::pair<std::string, bool>;

  std::map<Key, Sums> m_Routes;
};

} // namespace mangodeck

#endif
