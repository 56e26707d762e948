#ifndef MANGODECK_APPS_MANGODECKD_ADMINHANDLER_H
#define MANGODECK_APPS_MANGODECKD_ADMINHANDLER_H

#include "mangodeck/request/callerexchange.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace mangodeck {

/// An answer of the admin listener.
struct AdminAnswer {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Answers requests of operators and the platform's health checks. Each pair of
/// method and path has one function, which runs on the admin server's threads.
class AdminHandler : public CallerHandler {
public:
  using HandlerFunction =
      std::function<AdminAnswer(std::string_view Query, std::string_view Body)>;

  /// Registers \p Handler for requests with \p Method and \p Path.
  void add(std::string_view Method, std::string_view Path,
           HandlerFunction Handler);

  void handle(std::shared_ptr<CallerExchange> Exchange) override;

private:
  std::map<std::string, HandlerFunction>
      m_HandlerFunctions; ///< By "METHOD PATH".
};

} // namespace mangodeck

#endif
