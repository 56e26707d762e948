#ifndef MANGODECK_GATEWAY_BUFFERBUDGET_H
#define MANGODECK_GATEWAY_BUFFERBUDGET_H

#include <cstddef>

namespace mangodeck {

/// Reserves memory for the bodies of requests and answers before it is used.
/// What counts is what a body may become, from its first byte on, on all
/// connections together. Bodies of requests and answers have shares of their
/// own, so that requests that are being read never take the room for the
/// answers of those that were sent to targets; and long bodies leave room for
/// short ones.
///
/// A body is kept twice while it is sent on, so the two shares are a half of
/// the memory together.
class BufferBudget {
public:
  /// \p MemoryLimitBytes: of the process.
  explicit BufferBudget(std::size_t MemoryLimitBytes);

  /// Reserves \p Bytes more for the body of a request, which takes \p Total
  /// with them; false if it must not be kept.
  bool reserveBody(std::size_t Bytes, std::size_t Total);
  void releaseBody(std::size_t Bytes);
  /// Reserves \p Bytes for the body of an answer; false if there is no room.
  bool reserveAnswer(std::size_t Bytes);
  void releaseAnswer(std::size_t Bytes);

  std::size_t bodyBytes() const { return m_BodyBytes; }
  std::size_t answerBytes() const { return m_AnswerBytes; }

private:
  std::size_t m_MaxBodyBytes;
  std::size_t m_MaxLongBodyBytes; ///< Up to which a long body may be added.
  std::size_t m_MaxAnswerBytes;
  std::size_t m_BodyBytes = 0;
  std::size_t m_AnswerBytes = 0;
};

} // namespace mangodeck

#endif
