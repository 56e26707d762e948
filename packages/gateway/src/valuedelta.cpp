#include "mangodeck/gateway/valuedelta.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>
#include <zlib.h>

namespace mangodeck {

namespace {

constexpr int RawWindowBits = -15;
/// Largest dictionary that DEFLATE can refer to.
constexpr std::size_t MaxDictionaryBytes = 32768;
constexpr int MemoryLevel = 8;
/// Of a value; above the limit of the store.
constexpr std::size_t MaxValueBytes = 4 << 20;

std::string_view dictionaryOf(std::string_view Base, std::size_t Prefix) {
  const auto Rest = Base.substr(Prefix);
  return Rest.size() <= MaxDictionaryBytes
             ? Rest
             : Rest.substr(Rest.size() - MaxDictionaryBytes);
}

// zlib takes pointers to unsigned bytes and does not write to its input.
Bytef *bytesOf(std::string_view Text) {
  return reinterpret_cast<Bytef *>(const_cast<char *>(Text.data()));
}

} // namespace

ValueDelta encodeValueDelta(std::string_view Base, std::int64_t BaseRevision,
                            std::string_view Value) {
  const auto [InBase, InValue] =
      std::mismatch(Base.begin(), Base.end(), Value.begin(), Value.end());
  ValueDelta Delta;
  Delta.BaseRevision = BaseRevision;
  Delta.ValueHash = XXH3_64bits(Value.data(), Value.size());
  Delta.PrefixBytes = static_cast<std::uint32_t>(InBase - Base.begin());
  Delta.ValueBytes = static_cast<std::uint32_t>(Value.size());
  const auto Dictionary = dictionaryOf(Base, Delta.PrefixBytes);
  const auto Rest = Value.substr(Delta.PrefixBytes);

  z_stream Stream{};
  [[maybe_unused]] auto Result =
      ::deflateInit2(&Stream, Z_BEST_COMPRESSION, Z_DEFLATED, RawWindowBits,
                     MemoryLevel, Z_DEFAULT_STRATEGY);
  assert(Result == Z_OK && "zlib refused constant parameters");
  ::deflateSetDictionary(&Stream, bytesOf(Dictionary),
                         static_cast<uInt>(Dictionary.size()));
  Delta.Bytes.resize(::deflateBound(&Stream, static_cast<uLong>(Rest.size())));
  Stream.next_in = bytesOf(Rest);
  Stream.avail_in = static_cast<uInt>(Rest.size());
  Stream.next_out = bytesOf(Delta.Bytes);
  Stream.avail_out = static_cast<uInt>(Delta.Bytes.size());
  Result = ::deflate(&Stream, Z_FINISH);
  assert(Result == Z_STREAM_END && "the output has its upper bound");
  Delta.Bytes.resize(Stream.total_out);
  ::deflateEnd(&Stream);
  return Delta;
}

Expected<std::string> decodeValueDelta(std::string_view Base,
                                       const ValueDelta &Delta) {
  const auto Invalid = unexpected(make_error_code(Errc::WrongAnswer));
  if (Delta.PrefixBytes > Base.size() || Delta.PrefixBytes > Delta.ValueBytes ||
      Delta.ValueBytes > MaxValueBytes)
    return Invalid;
  std::string Value(Base.substr(0, Delta.PrefixBytes));
  Value.resize(Delta.ValueBytes);
  const auto Dictionary = dictionaryOf(Base, Delta.PrefixBytes);

  z_stream Stream{};
  if (::inflateInit2(&Stream, RawWindowBits) != Z_OK)
    return Invalid;
  ::inflateSetDictionary(&Stream, bytesOf(Dictionary),
                         static_cast<uInt>(Dictionary.size()));
  const auto RestBytes = Delta.ValueBytes - Delta.PrefixBytes;
  Stream.next_in = bytesOf(Delta.Bytes);
  Stream.avail_in = static_cast<uInt>(Delta.Bytes.size());
  Stream.next_out = bytesOf(Value) + Delta.PrefixBytes;
  Stream.avail_out = RestBytes;
  const bool IsWhole = ::inflate(&Stream, Z_FINISH) == Z_STREAM_END &&
                       Stream.total_out == RestBytes;
  ::inflateEnd(&Stream);
  if (!IsWhole || XXH3_64bits(Value.data(), Value.size()) != Delta.ValueHash)
    return Invalid;
  return Value;
}

} // namespace mangodeck
