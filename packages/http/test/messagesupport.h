#ifndef MANGODECK_HTTP_MESSAGESUPPORT_H
#define MANGODECK_HTTP_MESSAGESUPPORT_H

#include "mangodeck/http/parser.h"

#include <string>
#include <string_view>
#include <vector>

namespace mangodeck::http {

/// Collects the body of a message.
struct BodySink : MessageSink {
  void onHead() override { ++Heads; }
  void onBody(std::string_view Bytes) override { Body.append(Bytes); }
  int Heads = 0;
  std::string Body;
};

/// What a parser makes of bytes, for comparison.
struct Reading {
  enum class End { Complete, Incomplete, Rejected };
  End Result = End::Incomplete;
  int Status = 0;
  std::string Body;
  std::size_t Used = 0; ///< Bytes of the message, if it is complete.
  bool operator==(const Reading &) const = default;
};

/// Feeds \p Bytes in pieces of \p Size bytes; with \p Ends the connection ends
/// behind them.
inline Reading readAnswer(std::string_view Bytes, std::size_t Size,
                          bool Ends = false, bool IsHeadRequest = false) {
  BodySink Sink;
  ResponseParser Parser(Sink);
  Parser.reset(IsHeadRequest);
  std::size_t Used = 0;
  while (Used < Bytes.size() && !Parser.isComplete() && !Parser.isMalformed())
    Used += Parser.feed(Bytes.substr(Used, Size));
  if (Ends)
    Parser.finish();
  Reading Result;
  if (Parser.isMalformed())
    Result.Result = Reading::End::Rejected;
  else if (Parser.isComplete())
    Result = {Reading::End::Complete, Parser.head().Status, Sink.Body, Used};
  return Result;
}

inline Reading readRequest(std::string_view Bytes, std::size_t Size) {
  BodySink Sink;
  RequestParser Parser(Sink, 16384, 65536);
  std::size_t Used = 0;
  while (Used < Bytes.size() && !Parser.isComplete() &&
         Parser.fault() == ParseFault::None)
    Used += Parser.feed(Bytes.substr(Used, Size));
  Reading Result;
  if (Parser.fault() != ParseFault::None)
    Result.Result = Reading::End::Rejected;
  else if (Parser.isComplete())
    Result = {Reading::End::Complete, 0, Sink.Body, Used};
  return Result;
}

/// Sizes of the pieces in which each message is fed: whole, and byte by byte.
inline const std::vector<std::size_t> PieceSizes = {1 << 20, 1, 2, 3, 7};

} // namespace mangodeck::http

#endif
