#include "answersink.h"

#include <fmt/format.h>

namespace mangodeck {

std::vector<Header>
CallerSink::makeHeaders(const std::string &ContentType) const {
  return {{"Content-Type", ContentType},
          {"X-Request-Id", toString(m_Request)},
          {std::string(RunHeader), std::string(toString(Run::Yes))}};
}

void CallerSink::begin(int Status, const std::string &ContentType) {
  m_Begun = true;
  m_Exchange->begin(Status, makeHeaders(ContentType));
}

void CallerSink::write(std::string_view Bytes) {
  m_Exchange->write(std::string(Bytes));
}

void CallerSink::finish() { m_Exchange->finish(); }

void CallerSink::respond(int Status, const std::string &ContentType,
                         std::string_view Body) {
  m_Exchange->respond(Status, makeHeaders(ContentType), std::string(Body));
}

void CallerSink::fail(const Problem &Error) {
  if (m_Begun) {
    m_Exchange->write(
        fmt::format("event: error\ndata: {}\n\n", makeAnswer(Error).Body));
    m_Exchange->abort();
    return;
  }
  auto Answer = makeAnswer(Error);
  Answer.Headers.push_back({"X-Request-Id", toString(m_Request)});
  m_Exchange->respond(Answer.Status, Answer.Headers, std::move(Answer.Body));
}

void PeerSink::send(AnswerPart Part) {
  Part.Request = m_FollowerRequest;
  Part.Offset = m_OffsetBytes;
  m_OffsetBytes += Part.Bytes.size();
  m_Router.send(m_Peer, std::move(Part));
}

void PeerSink::begin(int Status, const std::string &ContentType) {
  AnswerPart Part;
  Part.Status = Status;
  Part.ContentType = ContentType;
  send(std::move(Part));
}

void PeerSink::write(std::string_view Bytes) {
  AnswerPart Part;
  Part.Bytes = Bytes;
  send(std::move(Part));
}

void PeerSink::finish() {
  AnswerPart Part;
  Part.Last = true;
  send(std::move(Part));
}

void PeerSink::respond(int Status, const std::string &ContentType,
                       std::string_view Body) {
  AnswerPart Part;
  Part.Status = Status;
  Part.ContentType = ContentType;
  Part.Bytes = Body;
  Part.Last = true;
  send(std::move(Part));
}

void PeerSink::fail(const Problem &Error) {
  AnswerPart Part;
  Part.Status = Error.Status;
  Part.ContentType = Error.Type;
  Part.Bytes = Error.Detail;
  Part.RunState = Error.RunState == Run::Yes ? Run::Unknown : Error.RunState;
  Part.Last = true;
  send(std::move(Part));
}

} // namespace mangodeck
