#ifndef MANGODECK_PROCESS_ANSWERSINK_H
#define MANGODECK_PROCESS_ANSWERSINK_H

#include "mangodeck/request/callerexchange.h"
#include "mangodeck/request/peermessage.h"
#include "mangodeck/request/problem.h"

#include <memory>
#include <string>

namespace mangodeck {

/// One receiver of a request's answer: a caller, or another daemon whose caller
/// sent a request with the same idempotency key.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;

  /// Starts a streamed answer. Calls of write() follow, then one of finish() or
  /// fail().
  virtual void begin(int Status, const std::string &ContentType) = 0;
  virtual void write(std::string_view Bytes) = 0;
  virtual void finish() = 0;

  /// Sends a target's answer in one piece.
  virtual void respond(int Status, const std::string &ContentType,
                       std::string_view Body) = 0;

  /// Sends an error. It is the whole answer if begin() was not called;
  /// otherwise the stream ends with an error event and an incomplete transfer,
  /// so that the caller does not take the answer for a complete one.
  virtual void fail(const Problem &Error) = 0;

  /// Whether this sink sends the answer to another daemon's \p Request.
  virtual bool isFor(const RequestId &Request) const { return false; }
};

/// Sends the answer to a caller of this daemon.
class CallerSink : public AnswerSink {
public:
  CallerSink(std::shared_ptr<CallerExchange> Exchange, const RequestId &Request)
      : m_Exchange(std::move(Exchange)), m_Request(Request) {}

  void begin(int Status, const std::string &ContentType) override;
  void write(std::string_view Bytes) override;
  void finish() override;
  void respond(int Status, const std::string &ContentType,
               std::string_view Body) override;
  void fail(const Problem &Error) override;

private:
  std::vector<Header> makeHeaders(const std::string &ContentType) const;

  std::shared_ptr<CallerExchange> m_Exchange;
  RequestId m_Request;
  bool m_Begun = false;
};

/// Sends the answer to another daemon, in parts with their byte offset.
class PeerSink : public AnswerSink {
public:
  PeerSink(PeerSender &Router, VmName Peer, const RequestId &FollowerRequest)
      : m_Router(Router), m_Peer(std::move(Peer)),
        m_FollowerRequest(FollowerRequest) {}

  void begin(int Status, const std::string &ContentType) override;
  void write(std::string_view Bytes) override;
  void finish() override;
  void respond(int Status, const std::string &ContentType,
               std::string_view Body) override;
  void fail(const Problem &Error) override;
  bool isFor(const RequestId &Request) const override {
    return Request == m_FollowerRequest;
  }

private:
  void send(AnswerPart Part);

  PeerSender &m_Router;
  VmName m_Peer;
  RequestId m_FollowerRequest;
  std::uint64_t m_OffsetBytes = 0;
};

} // namespace mangodeck

#endif
