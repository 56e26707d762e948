#ifndef MANGODECK_CONNECTION_CALLERSOCKET_H
#define MANGODECK_CONNECTION_CALLERSOCKET_H

#include "requestcheck.h"

#include "mangodeck/request/problem.h"

#include <fmt/format.h>
#include <restinio/all.hpp>

#include <array>
#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace mangodeck {

/// Maps an error of the HTTP parser, or of a limit of RESTinio, to a problem.
inline Problem describeParserError(std::string_view Error) {
  const auto Names = [Error](std::string_view Name) {
    return Error.find(Name) != std::string_view::npos;
  };
  Problem Result;
  Result.Status = 400;
  Result.Type = "malformed-request";
  Result.Detail = "The request is not valid HTTP/1.1.";
  if (Names("HPE_CB_body") || Names("HPE_CB_headers_complete"))
    Result = {413, "body-too-large", "The body is too large.", Run::No, {}};
  else if (Names("HPE_CB_url"))
    Result = {414, "path-too-long", "The path is too long.", Run::No, {}};
  else if (Names("HPE_CB_header") || Names("HPE_HEADER_OVERFLOW"))
    Result = {431,
              "headers-too-large",
              "A header is too long, or there are "
              "too many.",
              Run::No,
              {}};
  return Result;
}

/// The socket of a caller's connection. RESTinio closes a connection without
/// an answer when its first request is malformed, too large or late; this
/// socket answers such a request before it is closed. It does so only while no
/// request of the connection was handed over, since the answer could be taken
/// for that request's. A message that RESTinio's parser may read otherwise than
/// the next reader ends the connection before RESTinio sees it.
class CallerSocket : public asio::ip::tcp::socket {
  using Base = asio::ip::tcp::socket;

public:
  using Base::Base;

  /// What the thread is doing for a connection; RESTinio runs its callbacks
  /// inside these calls.
  struct Context {
    CallerSocket *Reading = nullptr; ///< Socket whose bytes are handled now.
    std::string ParserError;         ///< Reported just now.
  };
  static Context &context() {
    thread_local Context Current;
    return Current;
  }

  /// A request of the connection was handed over. Called inside the handling
  /// of received bytes, at least for the first request.
  static void noteRequest() {
    if (auto *Socket = context().Reading)
      Socket->m_RequestSeen = true;
  }

  /// Calls \p HungUp if the caller closes the connection whose bytes are
  /// handled now. Needed for requests that ask for a protocol upgrade: RESTinio
  /// reads nothing after them until they are answered. \p Keep must keep the
  /// connection alive.
  template <typename Keep>
  static void watchHangUp(Keep Alive, std::function<void()> HungUp) {
    auto *Socket = context().Reading;
    if (!Socket)
      return;
    Socket->Base::async_wait(
        Base::wait_read,
        asio::bind_executor(Socket->m_Strand,
                            [Socket, Alive, HungUp = std::move(HungUp)](
                                const asio::error_code &Error) {
                              if (!Error && Socket->isClosedByCaller())
                                HungUp();
                            }));
  }

  // NOLINTBEGIN(readability-identifier-naming): named by Asio.
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers &Target, Handler &&Done) {
    const auto Executor = asio::get_associated_executor(Done);
    if (!m_Strand)
      m_Strand = Executor;
    if (!m_Check) // RESTinio accepts the next connection with a moved socket.
      m_Check = std::make_unique<RequestCheck>();
    if (m_Check->hasFailed())
      return asio::post(asio::bind_executor(
          Executor, [this, Done = std::forward<Handler>(Done)]() mutable {
            finishRead(Done, asio::error::invalid_argument, 0);
          }));
    const asio::mutable_buffer Room = *asio::buffer_sequence_begin(Target);
    Base::async_read_some(
        Target,
        asio::bind_executor(
            Executor,
            [this, Room, Done = std::forward<Handler>(Done)](
                const asio::error_code &Error, std::size_t Count) mutable {
              m_Received = m_Received || Count > 0;
              m_Ended = m_Ended || Error;
              const auto Accepted =
                  m_Check->accept({static_cast<char *>(Room.data()), Count});
              // Without bytes, RESTinio has nothing to wait for.
              if (m_Check->hasFailed() && Accepted == 0)
                finishRead(Done, asio::error::invalid_argument, 0);
              else
                finishRead(Done, Error, Accepted);
            }));
  }

  void shutdown(Base::shutdown_type What, asio::error_code &Error) {
    answerUnreadRequest();
    Base::shutdown(What, Error);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  template <typename Handler>
  void finishRead(Handler &Done, const asio::error_code &Error,
                  std::size_t Count) {
    context().Reading = this;
    Done(Error, Count);
    context().Reading = nullptr;
  }

  bool isClosedByCaller() {
    char Byte = 0;
    const auto Count =
        ::recv(Base::native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR);
  }

  void answerUnreadRequest() {
    const auto ParserError = std::exchange(context().ParserError, {});
    if (!m_Received || m_Ended || m_RequestSeen)
      return;
    if (!ParserError.empty())
      return sendAnswer(describeParserError(ParserError));
    sendAnswer({408, "request-too-slow", "The request did not arrive in time.",
                Run::No, std::nullopt});
  }

  /// Sends what the connection takes without waiting, then reads what has
  /// arrived: closing with unread bytes would reset the connection and could
  /// destroy the answer.
  void sendAnswer(const Problem &Error) {
    const auto Answer = makeAnswer(Error);
    auto Text = fmt::format("HTTP/1.1 {} {}\r\nConnection: close\r\n"
                            "Content-Length: {}\r\n",
                            Answer.Status, reasonPhrase(Answer.Status),
                            Answer.Body.size());
    for (const auto &Field : Answer.Headers)
      Text += fmt::format("{}: {}\r\n", Field.Name, Field.Value);
    Text += "\r\n" + Answer.Body;
    asio::error_code Failure;
    Base::non_blocking(true, Failure);
    Base::write_some(asio::buffer(Text), Failure);
    Base::shutdown(Base::shutdown_send, Failure);
    std::array<char, 65536> Unread;
    for (int I = 0; I < MaxDrainReads && !Failure; ++I)
      Base::read_some(asio::buffer(Unread), Failure);
  }

  static constexpr int MaxDrainReads = 64;

  asio::any_io_executor m_Strand; ///< Of the connection; set by its reads.
  std::unique_ptr<RequestCheck> m_Check; ///< Made by the first read.
  bool m_Received = false;               ///< Bytes of a request have arrived.
  bool m_Ended = false;       ///< The caller closed, or reading failed.
  bool m_RequestSeen = false; ///< A request was handed over.
};

/// Keeps RESTinio's error texts for the socket; everything else is dropped.
class ParserErrorLogger {
public:
  template <typename Builder> void trace(Builder &&) const noexcept {}
  template <typename Builder> void info(Builder &&) const noexcept {}
  template <typename Builder> void warn(Builder &&) const noexcept {}
  template <typename Builder> void error(Builder &&Build) const {
    CallerSocket::context().ParserError = Build();
  }
};

} // namespace mangodeck

#endif
