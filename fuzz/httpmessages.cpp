// Requests of callers and answers of targets. What a parser makes of a stream
// of messages does not depend on how the bytes are split into reads, and an
// accepted message that is written again is read as the same one.
#include "mangodeck/http/parser.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace {

using namespace mangodeck::http;

constexpr std::size_t MaxBytes = 4096;
/// Messages of one input that are read, as on a kept connection.
constexpr std::size_t MaxMessages = 8;

struct BodySink : MessageSink {
  void onHead() override {}
  void onBody(std::string_view Bytes) override { Body.append(Bytes); }
  std::string Body;
};

/// What was read: each message, and whether bytes were rejected behind them.
struct Stream {
  std::vector<std::string> Messages;
  bool IsRejected = false;
  bool operator==(const Stream &) const = default;
};

void require(bool Holds) {
  if (!Holds)
    std::abort();
}

/// Writes a message as the gateway does: without the fields of the connection,
/// with the length of the body.
template <typename MessageHead>
std::string rewrite(MessageHead Head, const std::string &Body) {
  removeConnectionFields(Head.Fields);
  Head.Fields.set("Content-Length", std::to_string(Body.size()));
  return serialize(Head) + Body;
}

struct Requests {
  using Parser = RequestParser;
  static Parser make(BodySink &Sink, std::size_t MaxHeadBytes) {
    return {Sink, MaxHeadBytes, MaxBytes};
  }
  static void reset(Parser &Reader) { Reader.reset(); }
  static bool isRejected(const Parser &Reader) {
    return Reader.fault() != ParseFault::None;
  }
  static void checkHead(const RequestHead &Head) {
    require(Head.Fields.count("host") == 1 && Head.Method != "CONNECT");
  }
};

struct Answers {
  using Parser = ResponseParser;
  static Parser make(BodySink &Sink, std::size_t) { return Parser(Sink); }
  static void reset(Parser &Reader) { Reader.reset(false); }
  static bool isRejected(const Parser &Reader) { return Reader.isMalformed(); }
  static void checkHead(const ResponseHead &Head) {
    require(Head.Status >= 200 && Head.Status <= 599);
  }
};

/// Reads \p Bytes in pieces, whose sizes repeat.
template <typename Side>
Stream read(std::string_view Bytes, const std::vector<std::size_t> &Sizes,
            std::size_t MaxHeadBytes = MaxBytes) {
  Stream Result;
  BodySink Sink;
  auto Reader = Side::make(Sink, MaxHeadBytes);
  std::size_t Turn = 0;
  while (!Bytes.empty() && Result.Messages.size() < MaxMessages) {
    auto Piece = Bytes.substr(0, Sizes[Turn++ % Sizes.size()]);
    Bytes.remove_prefix(Piece.size());
    while (!Piece.empty()) {
      const auto Used = Reader.feed(Piece);
      require(Used <= Piece.size());
      Piece.remove_prefix(Used);
      if (Side::isRejected(Reader)) {
        Result.IsRejected = true;
        return Result;
      }
      if (!Reader.isComplete()) {
        require(Piece.empty());
        continue;
      }
      Side::checkHead(Reader.head());
      const bool HasContent = [&] {
        if constexpr (std::is_same_v<Side, Answers>)
          return Reader.head().Status != 204 && Reader.head().Status != 304;
        return true;
      }();
      require(HasContent || Sink.Body.empty());
      Result.Messages.push_back(rewrite(Reader.head(), Sink.Body));
      Sink.Body.clear();
      Side::reset(Reader);
      if (Result.Messages.size() == MaxMessages)
        return Result;
    }
  }
  return Result;
}

template <typename Side>
void check(std::string_view Bytes, std::uint8_t First, std::uint8_t Second) {
  // Step 1. The same messages, however the bytes are split.
  const auto Whole = read<Side>(Bytes, {Bytes.size() + 1});
  require(read<Side>(Bytes, {1}) == Whole);
  require(read<Side>(Bytes, {1u + First, 1u + Second}) == Whole);

  // Step 2. Written again one behind the other, they are the same messages, and
  // none has taken a byte of the next one. A head grows by a length and by the
  // blanks behind its colons.
  std::string Again;
  for (const auto &Message : Whole.Messages)
    Again += Message;
  const auto Copy = read<Side>(Again, {Again.size() + 1}, 2 * MaxBytes);
  require(Copy.Messages == Whole.Messages && !Copy.IsRejected);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size < 2)
    return 0;
  const std::string_view Bytes(reinterpret_cast<const char *>(Data) + 2,
                               Size - 2);
  check<Requests>(Bytes, Data[0], Data[1]);
  check<Answers>(Bytes, Data[0], Data[1]);
  return 0;
}
