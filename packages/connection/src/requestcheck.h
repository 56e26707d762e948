#ifndef MANGODECK_CONNECTION_REQUESTCHECK_H
#define MANGODECK_CONNECTION_REQUESTCHECK_H

#include "mangodeck/http/parser.h"

#include <cstdint>
#include <limits>
#include <string_view>

namespace mangodeck {

/// Finds the bytes of a caller that readers of HTTP could take for different
/// requests, before a more lenient parser reads them. Limits on sizes are left
/// to that parser.
class RequestCheck : private http::MessageSink {
public:
  RequestCheck() = default;
  RequestCheck(const RequestCheck &) = delete;
  RequestCheck &operator=(const RequestCheck &) = delete;

  /// Checks the next bytes of the connection. Returns how many may be passed
  /// on: all of them, or those before a message that is found to be malformed.
  std::size_t accept(std::string_view Bytes) {
    std::size_t Used = 0;
    std::size_t Whole = 0;
    while (Used < Bytes.size()) {
      Used += m_Parser.feed(Bytes.substr(Used));
      if (hasFailed())
        return Whole;
      if (m_Parser.isComplete()) {
        m_Parser.reset();
        Whole = Used;
      }
    }
    return Used;
  }
  bool hasFailed() const { return m_Parser.fault() != http::ParseFault::None; }

private:
  static constexpr std::size_t NoLimit =
      std::numeric_limits<std::int64_t>::max();

  void onHead() override {}
  void onBody(std::string_view) override {}

  http::RequestParser m_Parser{*this, NoLimit, NoLimit};
};

} // namespace mangodeck

#endif
