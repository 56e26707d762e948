#ifndef MANGODECK_PROCESS_TEST_EXPLORER_H
#define MANGODECK_PROCESS_TEST_EXPLORER_H

#include <cstddef>
#include <vector>

namespace mangodeck {

/// Enumerates all runs of a deterministic scenario, depth first. The scenario
/// calls choose() wherever it can continue in several ways, and is run again
/// until every sequence of choices has been taken. No state of the scenario is
/// saved: each run starts from the beginning and replays the choices of the
/// previous run up to the one that changes.
class Explorer {
public:
  /// Returns a number below \p Count; the first run gets 0 from every call.
  std::size_t choose(std::size_t Count) {
    if (m_Position == m_Path.size())
      m_Path.push_back({0, Count});
    return m_Path[m_Position++].Taken;
  }

  /// Prepares the next run. Returns false after the last one.
  bool advance() {
    m_Path.resize(m_Position);
    m_Position = 0;
    ++m_Runs;
    while (!m_Path.empty() && ++m_Path.back().Taken == m_Path.back().Count)
      m_Path.pop_back();
    return !m_Path.empty();
  }

  /// Number of finished runs.
  std::size_t runs() const { return m_Runs; }

private:
  struct Choice {
    std::size_t Taken;
    std::size_t Count;
  };

  std::vector<Choice> m_Path;
  std::size_t m_Position = 0;
  std::size_t m_Runs = 0;
};

} // namespace mangodeck

#endif
