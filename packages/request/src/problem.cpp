#include "mangodeck/request/problem.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace mangodeck {

namespace {

constexpr std::string_view TypePrefix = "urn:mangodeck:problem:";

constexpr std::array<std::pair<int, std::string_view>, 25> ReasonPhrases{{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {411, "Length Required"},
    {413, "Content Too Large"},
    {414, "URI Too Long"},
    {415, "Unsupported Media Type"},
    {422, "Unprocessable Content"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {499, "Client Closed Request"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {505, "HTTP Version Not Supported"},
    {507, "Insufficient Storage"},
}};

std::string_view detailOf(NotRunReason Reason) {
  switch (Reason) {
  case NotRunReason::Shed:
    return "The queue is full of requests of the same or a higher tier.";
  case NotRunReason::Expired:
    return "The request could not start before its deadline.";
  case NotRunReason::Quarantined:
    return "This request was in progress at repeated crashes of targets and "
           "is not run again.";
  case NotRunReason::NoTarget:
    return "No target of the service can be used now.";
  case NotRunReason::StoreUnreachable:
    return "The claim that makes the request run at most once could not be "
           "recorded.";
  case NotRunReason::Draining:
    return "This VM is shutting down.";
  case NotRunReason::RateLimited:
    return "The customer's own limit is reached.";
  case NotRunReason::MemoryFull:
    return "Waiting requests fill the memory set aside for them.";
  case NotRunReason::CallerGone:
    return "The caller closed the connection while the request waited.";
  case NotRunReason::KeyInUse:
    return "The idempotency key was used with another request.";
  }
  return "The request was not run.";
}

/// Rounds up, to at least one second.
std::int64_t toWholeSeconds(Duration Span) {
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Span).count();
  return std::max<std::int64_t>(Seconds, 1);
}

} // namespace

std::string_view reasonPhrase(int Status) {
  const auto *It = std::find_if(
      ReasonPhrases.begin(), ReasonPhrases.end(),
      [Status](const auto &Entry) { return Entry.first == Status; });
  return It == ReasonPhrases.end() ? "Status" : It->second;
}

Problem describeRefusal(const Refusal &Reason) {
  Problem Result;
  Result.Status = httpStatusOf(Reason.Reason);
  Result.Type = toString(Reason.Reason);
  Result.Detail = detailOf(Reason.Reason);
  Result.RunState = Run::No;
  if (Reason.RetryAfter > Duration{0})
    Result.RetryAfter = Reason.RetryAfter;
  return Result;
}

Problem describeUnknownEnd(std::string_view Detail) {
  Problem Result;
  Result.Status = 502;
  Result.Type = "end-not-seen";
  Result.Detail = Detail;
  Result.RunState = Run::Unknown;
  return Result;
}

CallerAnswer makeAnswer(const Problem &Error) {
  const nlohmann::json Body = {
      {"type", std::string(TypePrefix) + Error.Type},
      {"title", reasonPhrase(Error.Status)},
      {"status", Error.Status},
      {"detail", Error.Detail},
      {"run", toString(Error.RunState)},
  };
  CallerAnswer Answer;
  Answer.Status = Error.Status;
  Answer.Headers.push_back({"Content-Type", "application/problem+json"});
  Answer.Headers.push_back(
      {std::string(RunHeader), std::string(toString(Error.RunState))});
  if (Error.RetryAfter) {
    const auto Seconds = toWholeSeconds(*Error.RetryAfter);
    Answer.Headers.push_back({"Retry-After", std::to_string(Seconds)});
  }
  Answer.Body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return Answer;
}

void respondWith(CallerExchange &Exchange, const Problem &Error) {
  auto Answer = makeAnswer(Error);
  Exchange.respond(Answer.Status, Answer.Headers, std::move(Answer.Body));
}

} // namespace mangodeck
