#ifndef MANGODECK_GATEWAY_REQUESTHISTORY_H
#define MANGODECK_GATEWAY_REQUESTHISTORY_H

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// Extracts from the logs of any number of daemons the lines about one request
/// and the changes of those daemons' state shortly before and during the
/// request.
class RequestHistory {
public:
  explicit RequestHistory(std::string RequestId);

  /// Reads a log. Ignores text before the first brace of a line. Counts lines
  /// that are not log lines of a gateway.
  void read(std::istream &Log);

  /// Whether any line has the id of the request.
  bool containsRequest() const;
  /// Number of lines that could not be parsed.
  std::uint64_t unreadableLines() const { return m_UnreadableLines; }
  /// Formats the lines as text, grouped by daemon and ordered by the daemon's
  /// steady clock, since wall clocks may jump and differ between daemons.
  std::string toText() const;

private:
  struct Line {
    std::string Daemon; ///< Name and incarnation.
    std::int64_t SteadyMs = 0;
    std::int64_t WallMs = 0;
    bool IsOfRequest = false; ///< Has the id of the request.
    nlohmann::ordered_json Fields;
  };
  /// Formats a line with its time relative to \p StartMs.
  std::string format(const Line &Entry, std::int64_t StartMs) const;

  std::string m_RequestId;
  std::vector<Line> m_Lines;
  std::uint64_t m_UnreadableLines = 0;
};

} // namespace mangodeck

#endif
