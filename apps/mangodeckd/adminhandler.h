#ifndef MANGODECK_APPS_MANGODECKD_ADMINHANDLER_H
#define MANGODECK_APPS_MANGODECKD_ADMINHANDLER_H

#include "mangodeck/request/callerexchange.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace mangodeck {

/// One answer of the admin listener.
struct AdminAnswer {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Serves operators and the platform's health checks: each path is handled by
/// one function, which runs on the admin server's threads.
class AdminHandler : public CallerHandler {
public:
  using Function =
      std::function<AdminAnswer(std::string_view Query, std::string_view Body)>;

  /// Serves \p Path for \p Method.
  void add(std::string_view Method, std::string_view Path, Function Handler);

  void handle(std::shared_ptr<CallerExchange> Exchange) override;

private:
  std::map<std::string, Function> m_Functions; ///< By "METHOD PATH".
};

} // namespace mangodeck

#endif
