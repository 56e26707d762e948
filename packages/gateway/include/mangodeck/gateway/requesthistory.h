#ifndef MANGODECK_GATEWAY_REQUESTHISTORY_H
#define MANGODECK_GATEWAY_REQUESTHISTORY_H

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// The lines about one request out of the logs of any number of daemons, and
/// what those daemons came to believe shortly before and meanwhile.
class RequestHistory {
public:
  explicit RequestHistory(std::string RequestId);

  /// Reads a log; text before a line's first brace is ignored. Lines that are
  /// no line of a gateway are counted.
  void read(std::istream &Log);

  /// Whether any line names the request.
  bool containsRequest() const;
  /// Lines that could not be read.
  std::uint64_t unreadableLines() const { return m_Unreadable; }
  /// The story as text, a line each, by daemon and its steady clock: wall
  /// clocks of daemons may differ and jump.
  std::string toText() const;

private:
  struct Line {
    std::string Daemon; ///< Name and incarnation.
    std::int64_t SteadyMs = 0;
    std::int64_t WallMs = 0;
    bool Own = false; ///< Names the request.
    nlohmann::ordered_json Fields;
  };
  std::string format(const Line &Entry, std::int64_t FirstMs) const;

  std::string m_RequestId;
  std::vector<Line> m_Lines;
  std::uint64_t m_Unreadable = 0;
};

} // namespace mangodeck

#endif
