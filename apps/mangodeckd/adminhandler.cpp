#include "adminhandler.h"

#include "mangodeck/request/problem.h"

namespace mangodeck {

void AdminHandler::add(std::string_view Method, std::string_view Path,
                       HandlerFunction Handler) {
  m_HandlerFunctions[std::string(Method) + ' ' + std::string(Path)] =
      std::move(Handler);
}

void AdminHandler::handle(std::shared_ptr<CallerExchange> Exchange) {
  const auto &Request = Exchange->request();
  const auto QueryMark = Request.Path.find('?');
  const auto Path = Request.Path.substr(0, QueryMark);
  const auto Query = QueryMark == std::string::npos
                         ? std::string()
                         : Request.Path.substr(QueryMark + 1);
  const auto It = m_HandlerFunctions.find(Request.Method + ' ' + Path);
  if (It == m_HandlerFunctions.end()) {
    Problem NotFound;
    NotFound.Status = 404;
    NotFound.Type = "not-found";
    NotFound.Detail =
        "no such admin path or method: " + Request.Method + ' ' + Path;
    respondWith(*Exchange, NotFound);
    return;
  }
  auto Answer = It->second(Query, Request.Body);
  const Header Type{"Content-Type", Answer.ContentType};
  Exchange->respond(Answer.Status, {&Type, 1}, std::move(Answer.Body));
}

} // namespace mangodeck
