#include "streamdeflate.h"

#include <zlib.h>

#include <array>
#include <cassert>

namespace mangodeck {

namespace {

/// Negative: a raw stream without header and checksum.
constexpr int WindowBits = -12;
constexpr int MemoryLevel = 4;
constexpr std::size_t ChunkBytes = 4096;

Bytef *toInput(std::string_view Bytes) {
  // zlib does not write to its input.
  return reinterpret_cast<Bytef *>(const_cast<char *>(Bytes.data()));
}

} // namespace

StreamDeflater::StreamDeflater() : m_Stream(std::make_unique<z_stream>()) {
  const int Result =
      deflateInit2(m_Stream.get(), Z_DEFAULT_COMPRESSION, Z_DEFLATED,
                   WindowBits, MemoryLevel, Z_DEFAULT_STRATEGY);
  assert(Result == Z_OK && "zlib refused constant parameters");
  (void)Result;
}

StreamDeflater::~StreamDeflater() { deflateEnd(m_Stream.get()); }

std::string StreamDeflater::compress(std::string_view Bytes) {
  std::string Out;
  std::array<char, ChunkBytes> Chunk;
  m_Stream->next_in = toInput(Bytes);
  m_Stream->avail_in = static_cast<uInt>(Bytes.size());
  do {
    m_Stream->next_out = reinterpret_cast<Bytef *>(Chunk.data());
    m_Stream->avail_out = ChunkBytes;
    deflate(m_Stream.get(), Z_SYNC_FLUSH);
    Out.append(Chunk.data(), ChunkBytes - m_Stream->avail_out);
  } while (m_Stream->avail_out == 0);
  return Out;
}

StreamInflater::StreamInflater() : m_Stream(std::make_unique<z_stream>()) {
  const int Result = inflateInit2(m_Stream.get(), WindowBits);
  assert(Result == Z_OK && "zlib refused constant parameters");
  (void)Result;
}

StreamInflater::~StreamInflater() { inflateEnd(m_Stream.get()); }

std::error_code StreamInflater::restore(std::string_view Bytes,
                                        std::size_t MaxBytes,
                                        std::string &Out) {
  const auto Before = Out.size();
  std::array<char, ChunkBytes> Chunk;
  m_Stream->next_in = toInput(Bytes);
  m_Stream->avail_in = static_cast<uInt>(Bytes.size());
  do {
    m_Stream->next_out = reinterpret_cast<Bytef *>(Chunk.data());
    m_Stream->avail_out = ChunkBytes;
    const int Result = inflate(m_Stream.get(), Z_SYNC_FLUSH);
    if (Result != Z_OK && Result != Z_BUF_ERROR)
      return Errc::InvalidInput;
    Out.append(Chunk.data(), ChunkBytes - m_Stream->avail_out);
    if (Out.size() - Before > MaxBytes)
      return Errc::LimitExceeded;
  } while (m_Stream->avail_out == 0);
  return {};
}

} // namespace mangodeck
