// Requests of callers and answers of targets, whole and in pieces.
#include "mangodeck/http/parser.h"

#include <cstdint>
#include <cstdlib>

namespace {

struct CountingSink : mangodeck::http::MessageSink {
  void onHead() override {}
  void onBody(std::string_view Bytes) override { Size += Bytes.size(); }
  std::size_t Size = 0;
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace mangodeck::http;
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  CountingSink Whole;
  RequestParser Parser(Whole, 4096, 4096);
  const auto Used = Parser.feed(Bytes);
  if (Used > Size)
    std::abort();
  // The same bytes in two pieces must be read alike.
  CountingSink Pieces;
  RequestParser Second(Pieces, 4096, 4096);
  const auto Half = Size / 2;
  const auto First = Second.feed(Bytes.substr(0, Half));
  if (First == Half && Second.fault() == ParseFault::None &&
      !Second.isComplete())
    Second.feed(Bytes.substr(Half));
  if (Parser.isComplete() && Second.isComplete() && Whole.Size != Pieces.Size)
    std::abort();
  CountingSink Body;
  ResponseParser Answer(Body);
  Answer.feed(Bytes);
  Answer.finish();
  return 0;
}
