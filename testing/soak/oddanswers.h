#ifndef MANGODECK_SOAK_ODDANSWERS_H
#define MANGODECK_SOAK_ODDANSWERS_H

#include <atomic>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace mangodeck::soak {

/// Spoils answers in ways that readers of HTTP take differently. It has random
/// numbers of its own, so that the other faults of a seed stay the same.
class OddAnswers {
public:
  explicit OddAnswers(std::uint64_t Seed) : m_Random(Seed) {}

  /// Share of the answers that are spoiled, in percent.
  void setShare(unsigned Percent) { m_Percent = Percent; }
  /// Draws whether the answer with \p Fields and \p Body is spoiled. Returns
  /// the bytes to send in its place; the connection is to be closed behind
  /// them. With \p IsKept an earlier answer was sent on the connection, of
  /// which the beginning may come once more.
  std::optional<std::string> draw(std::string_view Fields,
                                  std::string_view Body, bool IsKept);

private:
  std::atomic<unsigned> m_Percent{0};
  std::mutex m_Mutex;
  std::mt19937_64 m_Random;
};

} // namespace mangodeck::soak

#endif
