#ifndef MANGODECK_GATEWAY_STARTQUERY_H
#define MANGODECK_GATEWAY_STARTQUERY_H

#include "mangodeck/common/units.h"
#include "mangodeck/http/targetconnection.h"

#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// Returns the integer in field \p Field at the top level of the JSON object
/// \p Report; std::nullopt if there is none.
std::optional<std::int64_t> parseReportedStart(std::string_view Report,
                                               std::string_view Field);

/// Asks the process at the other end of a connection when it started. The
/// answer tells which start of a target answers to the target's id, and holds
/// for as long as the connection. Costs one request, which needs no slot.
///
/// The query owns nothing that outlives it. It learns the start from the
/// process itself, so there is no copy of it that could be out of date.
class StartQuery : public std::enable_shared_from_this<StartQuery>,
                   private http::AnswerHandler {
public:
  /// The start in ms since the Unix epoch, or std::nullopt if the answer does
  /// not state it. After an error the connection is closed.
  using Callback =
      std::function<void(std::error_code, std::optional<std::int64_t>)>;

  StartQuery(std::shared_ptr<http::TargetConnection> Asked,
             asio::any_io_executor Executor, std::string Path,
             std::string Field);
  /// Sends the query. Calls \p Done exactly once, with an error if \p Timeout
  /// passes first, or if the answer is too long or has no end.
  void start(Duration Timeout, Callback Done);

private:
  void onAnswerHead(const http::ResponseHead &Head) override;
  void onAnswerBody(std::string_view Bytes) override;
  void onAnswerEnd() override;
  void onExchangeFailed(const http::ExchangeFailure &Failure) override;
  void giveUp(std::error_code Error);
  void finish(std::error_code Error, std::optional<std::int64_t> Start);

  std::shared_ptr<http::TargetConnection> m_Connection;
  asio::steady_timer m_Timer;
  std::string m_Path;
  std::string m_Field;
  Callback m_Done;
  std::string m_Body;
  bool m_IsSuccess = false;
};

} // namespace mangodeck

#endif
