#include "mangodeck/gateway/startquery.h"

#include "mangodeck/common/error.h"

#include <asio/error.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace mangodeck {

namespace {

/// Longest report that is read. It lists the requests at a target, of which
/// there are some tens.
constexpr std::size_t MaxReportBytes = 64 << 10;

} // namespace

std::optional<std::int64_t> parseReportedStart(std::string_view Report,
                                               std::string_view Field) {
  const auto Parsed = nlohmann::json::parse(Report, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  const auto Found = Parsed.find(Field);
  if (Found == Parsed.end() || !Found->is_number_integer())
    return std::nullopt;
  return Found->get<std::int64_t>();
}

StartQuery::StartQuery(std::shared_ptr<http::TargetConnection> Asked,
                       asio::any_io_executor Executor, std::string Path,
                       std::string Field)
    : m_Connection(std::move(Asked)), m_Timer(Executor),
      m_Path(std::move(Path)), m_Field(std::move(Field)) {}

void StartQuery::start(Duration Timeout, Callback Done) {
  m_Done = std::move(Done);
  m_Timer.expires_after(Timeout);
  m_Timer.async_wait([Self = shared_from_this()](std::error_code Error) {
    if (!Error && Self->m_Done)
      Self->giveUp(asio::error::timed_out);
  });
  http::RequestHead Head;
  Head.Method = "GET";
  Head.Target = m_Path;
  Head.Fields.add("Host", "target");
  m_Connection->exchange(http::serialize(Head), false, *this);
}

void StartQuery::onAnswerHead(const http::ResponseHead &Head) {
  m_IsSuccess = Head.Status == 200;
  // Such an answer may have no end.
  if (Head.Fields.get("Content-Type").starts_with("text/event-stream"))
    giveUp(make_error_code(Errc::WrongAnswer));
}

void StartQuery::onAnswerBody(std::string_view Bytes) {
  if (m_Body.size() + Bytes.size() > MaxReportBytes)
    return giveUp(make_error_code(Errc::WrongAnswer));
  m_Body.append(Bytes);
}

void StartQuery::onAnswerEnd() {
  finish({}, m_IsSuccess ? parseReportedStart(m_Body, m_Field) : std::nullopt);
}

void StartQuery::onExchangeFailed(const http::ExchangeFailure &Failure) {
  finish(Failure.Error, std::nullopt);
}

void StartQuery::giveUp(std::error_code Error) {
  m_Connection->close();
  finish(Error, std::nullopt);
}

void StartQuery::finish(std::error_code Error,
                        std::optional<std::int64_t> Start) {
  // The timer and the callback of the connection may hold the last reference.
  const auto Self = shared_from_this();
  m_Timer.cancel();
  if (const auto Done = std::exchange(m_Done, nullptr))
    Done(Error, Start);
}

} // namespace mangodeck
