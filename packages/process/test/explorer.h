#ifndef MANGODECK_PROCESS_TEST_EXPLORER_H
#define MANGODECK_PROCESS_TEST_EXPLORER_H

#include <cstddef>
#include <vector>

namespace mangodeck {

/// Enumerates the runs of a deterministic scenario, depth first: the scenario
/// asks choose() wherever it could go on in several ways, and is run again
/// until all ways have been taken. Stateless: a run is replayed from its
/// choices.
class Explorer {
public:
  /// A number below \p Count; the first run takes 0 everywhere.
  std::size_t choose(std::size_t Count) {
    if (m_Position == m_Path.size())
      m_Path.push_back({0, Count});
    return m_Path[m_Position++].Taken;
  }

  /// Prepares the next run; false when all have been made.
  bool advance() {
    m_Path.resize(m_Position);
    m_Position = 0;
    ++m_Runs;
    while (!m_Path.empty() && ++m_Path.back().Taken == m_Path.back().Count)
      m_Path.pop_back();
    return !m_Path.empty();
  }

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
