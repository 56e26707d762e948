#include "mangodeck/http/bodyreader.h"

#include "mangodeck/http/syntax.h"

#include <algorithm>
#include <charconv>

namespace mangodeck::http {

namespace {

/// Longest line with the size and the extensions of a chunk.
constexpr std::size_t MaxChunkLineBytes = 1 << 10;

} // namespace

void BodyReader::reset(const BodyFraming &Framing, std::uint64_t MaxBytes,
                       std::size_t MaxTrailerBytes) {
  m_IsChunked = Framing.End == BodyEnd::Chunks;
  m_Missing = m_BodyBytes = 0;
  m_MaxBytes = MaxBytes;
  m_MaxTrailerBytes = MaxTrailerBytes;
  m_Line.clear();
  m_Fault = ParseFault::None;
  m_FaultText = {};
  switch (Framing.End) {
  case BodyEnd::None:
    m_State = State::Complete;
    break;
  case BodyEnd::Length:
    startData(Framing.Length);
    break;
  case BodyEnd::Chunks:
    m_State = State::ChunkLine;
    break;
  case BodyEnd::Connection:
    m_State = State::ToEndOfConnection;
    break;
  }
}

void BodyReader::startData(std::uint64_t Size) {
  m_Missing = Size;
  m_State = State::Data;
  if (Size > m_MaxBytes - m_BodyBytes)
    return fail(ParseFault::BodyTooLarge, "body too large");
  m_BodyBytes += Size;
  if (Size == 0)
    m_State = State::Complete; // Of a body with a length.
}

std::size_t BodyReader::feed(std::string_view Bytes, MessageSink &Sink) {
  const auto Size = Bytes.size();
  while (!Bytes.empty() && !isComplete() && m_Fault == ParseFault::None) {
    switch (m_State) {
    case State::Data: {
      const auto Piece =
          Bytes.substr(0, std::min<std::uint64_t>(m_Missing, Bytes.size()));
      Bytes.remove_prefix(Piece.size());
      m_Missing -= Piece.size();
      if (m_Missing == 0)
        m_State = m_IsChunked ? State::ChunkEnd : State::Complete;
      Sink.onBody(Piece);
      break;
    }
    case State::ToEndOfConnection:
      Sink.onBody(Bytes);
      return Size;
    case State::ChunkLine:
      takeChunkLine(Bytes);
      break;
    case State::ChunkEnd:
      takeChunkEnd(Bytes);
      break;
    case State::Trailer:
      takeTrailer(Bytes);
      break;
    case State::Complete:
      break;
    }
  }
  return Size - Bytes.size();
}

void BodyReader::takeChunkLine(std::string_view &Bytes) {
  const auto State = takeLine(Bytes, m_Line, 0);
  if (m_Line.size() > MaxChunkLineBytes)
    return fail(ParseFault::Malformed, "chunk line too long");
  if (State == LineState::Malformed)
    return fail(ParseFault::Malformed, "control character in a chunk line");
  if (State == LineState::Partial)
    return;
  onChunkLine(std::string_view(m_Line).substr(0, m_Line.size() - 2));
  m_Line.clear();
}

void BodyReader::onChunkLine(std::string_view Line) {
  std::uint64_t ChunkBytes = 0;
  const auto Parsed =
      std::from_chars(Line.data(), Line.data() + Line.size(), ChunkBytes, 16);
  const auto Digits = static_cast<std::size_t>(Parsed.ptr - Line.data());
  if (Parsed.ec != std::errc())
    return fail(ParseFault::Malformed, "invalid chunk size");
  if (!isChunkExtensions(Line.substr(Digits)))
    return fail(ParseFault::Malformed, "invalid chunk extension");
  if (ChunkBytes > 0)
    return startData(ChunkBytes);
  m_State = State::Trailer;
  m_Trailer.reset(m_MaxTrailerBytes);
}

void BodyReader::takeChunkEnd(std::string_view &Bytes) {
  const auto State = takeLine(Bytes, m_Line, 0);
  if (State == LineState::Malformed ||
      (!m_Line.empty() && m_Line.front() != '\r'))
    return fail(ParseFault::Malformed, "no CRLF behind the data of a chunk");
  if (State == LineState::Partial)
    return;
  m_Line.clear();
  m_State = State::ChunkLine;
}

void BodyReader::takeTrailer(std::string_view &Bytes) {
  Bytes.remove_prefix(m_Trailer.feed(Bytes));
  if (m_Trailer.fault() != ParseFault::None)
    fail(m_Trailer.fault(), m_Trailer.faultText());
  else if (m_Trailer.isComplete())
    m_State = State::Complete;
}

void BodyReader::finish() {
  if (m_State == State::ToEndOfConnection)
    m_State = State::Complete;
}

void BodyReader::fail(ParseFault Fault, std::string_view Text) {
  m_Fault = Fault;
  m_FaultText = Text;
}

} // namespace mangodeck::http
