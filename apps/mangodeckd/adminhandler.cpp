#include "adminhandler.h"

#include "mangodeck/request/problem.h"

namespace mangodeck {

void AdminHandler::add(std::string_view Method, std::string_view Path,
                       Function Handler) {
  m_Functions[std::string(Method) + ' ' + std::string(Path)] =
      std::move(Handler);
}

void AdminHandler::handle(std::shared_ptr<CallerExchange> Exchange) {
  const auto &Request = Exchange->request();
  const auto Mark = Request.Path.find('?');
  const auto Path = Request.Path.substr(0, Mark);
  const auto Query =
      Mark == std::string::npos ? std::string() : Request.Path.substr(Mark + 1);
  const auto It = m_Functions.find(Request.Method + ' ' + Path);
  if (It == m_Functions.end()) {
    Problem Unknown;
    Unknown.Status = 404;
    Unknown.Type = "not-found";
    Unknown.Detail =
        "no such admin path or method: " + Request.Method + ' ' + Path;
    respondWith(*Exchange, Unknown);
    return;
  }
  auto Answer = It->second(Query, Request.Body);
  const Header Type{"Content-Type", Answer.ContentType};
  Exchange->respond(Answer.Status, {&Type, 1}, std::move(Answer.Body));
}

} // namespace mangodeck
