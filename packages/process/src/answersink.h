#ifndef MANGODECK_PROCESS_ANSWERSINK_H
#define MANGODECK_PROCESS_ANSWERSINK_H

#include "mangodeck/request/callerexchange.h"
#include "mangodeck/request/peermessage.h"
#include "mangodeck/request/problem.h"

#include <memory>
#include <string>

namespace mangodeck {

/// One receiver of a request's answer: its caller, or a daemon whose caller
/// sent the same keyed request.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;

  /// Starts a streamed answer; write(), then finish() or fail() follow.
  virtual void begin(int Status, const std::string &ContentType) = 0;
  virtual void write(std::string_view Bytes) = 0;
  virtual void finish() = 0;

  /// Sends a whole answer of a target.
  virtual void respond(int Status, const std::string &ContentType,
                       std::string_view Body) = 0;

  /// Ends with an error: as the answer if nothing was sent yet, otherwise as a
  /// last error frame and an incomplete transfer.
  virtual void fail(const Problem &Error) = 0;

  /// Whether this sink answers \p Request; only for relayed answers.
  virtual bool isFor(const RequestId &Request) const { return false; }
};

/// Answers the caller itself.
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

/// Passes the answer to another daemon in parts that name their offset.
class PeerSink : public AnswerSink {
public:
  PeerSink(PeerSender &Router, VmName Peer, const RequestId &Follower)
      : m_Router(Router), m_Peer(std::move(Peer)), m_Follower(Follower) {}

  void begin(int Status, const std::string &ContentType) override;
  void write(std::string_view Bytes) override;
  void finish() override;
  void respond(int Status, const std::string &ContentType,
               std::string_view Body) override;
  void fail(const Problem &Error) override;
  bool isFor(const RequestId &Request) const override {
    return Request == m_Follower;
  }

private:
  void send(AnswerPart Part);

  PeerSender &m_Router;
  VmName m_Peer;
  RequestId m_Follower;
  std::uint64_t m_Offset = 0;
};

} // namespace mangodeck

#endif
