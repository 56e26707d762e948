#include "mangodeck/http/client.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>

namespace mangodeck::http {

namespace {

/// One for a long-polling watch and one for other calls.
constexpr std::size_t MaxIdleConnections = 2;
/// A connection that was idle for longer is closed and not reused: a device on
/// the network path may have dropped its state, and the next call would then
/// wait for its whole time-out.
constexpr Duration MaxIdleTime = 5s;

} // namespace

struct Client::Call : AnswerHandler {
  Call(Client &Owner, asio::any_io_executor Executor)
      : Owner(Owner), Timer(Executor) {}

  void onAnswerHead(const ResponseHead &Head) override {
    Answer.Status = Head.Status;
    Answer.Fields = Head.Fields;
  }
  void onAnswerBody(std::string_view Bytes) override {
    Answer.Body.append(Bytes);
    ReceivedBytes += Bytes.size();
  }
  void onAnswerEnd() override { Owner.finish(Self.lock(), std::move(Answer)); }
  void onExchangeFailed(const ExchangeFailure &Failure) override {
    Owner.finish(Self.lock(), unexpected(Failure.Error));
  }

  Client &Owner;
  std::weak_ptr<Call> Self;
  asio::steady_timer Timer;
  std::shared_ptr<TargetConnection> Connection;
  std::string Target;
  std::string Bytes;
  std::chrono::steady_clock::time_point StartedAt;
  std::optional<Duration> ConnectTime;
  std::size_t ReceivedBytes = 0; ///< Of the answer's body.
  CallAnswer Answer;
  Done Callback;
};

Client::Client(asio::any_io_executor Executor, asio::ip::tcp::endpoint Remote,
               CallObserver *Observer, ClientLimits Limits)
    : m_Executor(std::move(Executor)), m_Remote(std::move(Remote)),
      m_Observer(Observer), m_Limits(Limits) {}

Client::~Client() {
  *m_Alive = false;
  for (auto &Pending : m_PendingCalls) {
    Pending->Timer.cancel();
    if (Pending->Connection)
      Pending->Connection->close();
  }
}

void Client::call(std::string_view Method, std::string_view Target,
                  std::string_view Body, Duration Timeout, Done Callback) {
  auto Pending = std::make_shared<Call>(*this, m_Executor);
  Pending->Self = Pending;
  Pending->Callback = std::move(Callback);
  Pending->Target = Target;
  Pending->StartedAt = std::chrono::steady_clock::now();
  RequestHead Head;
  Head.Method = Method;
  Head.Target = Target;
  Head.Fields.add("Host", fmt::format("{}:{}", m_Remote.address().to_string(),
                                      m_Remote.port()));
  if (!Body.empty())
    Head.Fields.add("Content-Type", "application/json");
  if (!Body.empty() || Method != "GET")
    Head.Fields.add("Content-Length", std::to_string(Body.size()));
  Pending->Bytes = serialize(Head).append(Body);
  m_PendingCalls.push_back(Pending);
  Pending->Timer.expires_after(Timeout);
  Pending->Timer.async_wait(
      [this, Alive = m_Alive, Pending](std::error_code Error) {
        if (!Error && *Alive)
          finish(Pending, unexpected(make_error_code(Errc::Timeout)));
      });
  start(std::move(Pending));
}

void Client::start(std::shared_ptr<Call> Pending) {
  const auto Now = std::chrono::steady_clock::now();
  while (!m_IdleConnections.empty()) {
    auto Connection = std::move(m_IdleConnections.back());
    m_IdleConnections.pop_back();
    if (!Connection->isReusable(Now) ||
        Connection->idleFor(Now) > MaxIdleTime) {
      Connection->close();
      continue;
    }
    Pending->Connection = std::move(Connection);
    Pending->Connection->exchange(std::move(Pending->Bytes), false, *Pending);
    return;
  }
  Pending->Connection = std::make_shared<TargetConnection>(m_Executor);
  Pending->Connection->connect(
      m_Remote, m_Limits.Connect,
      [this, Alive = m_Alive, Pending](std::error_code Error) {
        if (!*Alive || !Pending->Callback)
          return; // The client was destroyed, or the call has timed out.
        if (Error)
          return finish(Pending, unexpected(Error));
        Pending->ConnectTime =
            std::chrono::steady_clock::now() - Pending->StartedAt;
        Pending->Connection->exchange(std::move(Pending->Bytes), false,
                                      *Pending);
      });
}

void Client::finish(const std::shared_ptr<Call> &Pending,
                    Expected<CallAnswer> Result) {
  if (!Pending || !Pending->Callback)
    return;
  Pending->Timer.cancel();
  report(*Pending, Result ? std::error_code() : Result.error());
  // The connections of before may have gone silent as well.
  if (!Result && Result.error() == make_error_code(Errc::Timeout))
    closeIdle();
  auto Callback = std::move(Pending->Callback);
  Pending->Callback = nullptr;
  std::erase(m_PendingCalls, Pending);
  if (auto Connection = std::move(Pending->Connection)) {
    // The connection of a failed call is closed and never reused.
    if (Result && Connection->isOpen() && !Connection->isBusy() &&
        m_IdleConnections.size() < MaxIdleConnections)
      m_IdleConnections.push_back(std::move(Connection));
    else
      Connection->close();
  }
  Callback(std::move(Result));
}

void Client::report(const Call &Ended, std::error_code Error) {
  if (!m_Observer)
    return;
  CallRecord Record;
  Record.Target = Ended.Target;
  Record.ConnectTime = Ended.ConnectTime;
  Record.Elapsed = std::chrono::steady_clock::now() - Ended.StartedAt;
  Record.ReceivedBytes = Ended.ReceivedBytes;
  Record.HadConnection = Ended.Connection && Ended.Connection->isOpen();
  Record.Error = Error;
  m_Observer->onCallEnded(Record);
}

void Client::closeIdle() {
  for (auto &Connection : m_IdleConnections)
    Connection->close();
  m_IdleConnections.clear();
}

void Client::reset() {
  closeIdle();
  const auto Calls = m_PendingCalls;
  for (const auto &Pending : Calls)
    finish(Pending, unexpected(make_error_code(Errc::Closed)));
}

} // namespace mangodeck::http
