#include "mangodeck/gateway/bufferbudget.h"

#include <cassert>

namespace mangodeck {

namespace {

/// Parts of the memory limit that bodies of requests, and those of answers, may
/// take.
constexpr std::size_t BodyDivisor = 4;
constexpr std::size_t AnswerDivisor = 4;
/// Part of the former that long bodies leave for short ones.
constexpr std::size_t ShortBodyDivisor = 4;
constexpr std::size_t MaxShortBodyBytes = 64 << 10;

} // namespace

BufferBudget::BufferBudget(std::size_t MemoryLimitBytes)
    : m_MaxBodyBytes(MemoryLimitBytes / BodyDivisor),
      m_MaxLongBodyBytes(m_MaxBodyBytes - m_MaxBodyBytes / ShortBodyDivisor),
      m_MaxAnswerBytes(MemoryLimitBytes / AnswerDivisor) {}

bool BufferBudget::reserveBody(std::size_t Bytes, std::size_t Total) {
  const auto Limit =
      Total > MaxShortBodyBytes ? m_MaxLongBodyBytes : m_MaxBodyBytes;
  if (m_BodyBytes + Bytes > Limit)
    return false;
  m_BodyBytes += Bytes;
  return true;
}

void BufferBudget::releaseBody(std::size_t Bytes) {
  assert(Bytes <= m_BodyBytes && "more is released than was reserved");
  m_BodyBytes -= Bytes;
}

bool BufferBudget::reserveAnswer(std::size_t Bytes) {
  if (m_AnswerBytes + Bytes > m_MaxAnswerBytes)
    return false;
  m_AnswerBytes += Bytes;
  return true;
}

void BufferBudget::releaseAnswer(std::size_t Bytes) {
  assert(Bytes <= m_AnswerBytes && "more is released than was reserved");
  m_AnswerBytes -= Bytes;
}

} // namespace mangodeck
