#ifndef MANGODECK_HTTP_BODY_H
#define MANGODECK_HTTP_BODY_H

#include <cstddef>
#include <string_view>

namespace mangodeck::http {

/// The bytes of one body, in one piece. Cannot be copied, so that a body is in
/// memory once.
///
/// A string that grows holds the old and the new block at once, and up to twice
/// the bytes afterwards. Here a block of up to DoublingBytes doubles; a longer
/// one grows by StepBytes, and the C library moves its pages instead of copying
/// them, so that at most StepBytes more than the body are in use.
class Body {
public:
  static constexpr std::size_t MinBytes = 4 << 10;
  static constexpr std::size_t DoublingBytes = 256 << 10;
  static constexpr std::size_t StepBytes = 128 << 10;

  Body() = default;
  explicit Body(std::string_view Bytes) { append(Bytes); }
  Body(Body &&Other) noexcept;
  Body &operator=(Body &&Other) noexcept;
  Body(const Body &) = delete;
  Body &operator=(const Body &) = delete;
  ~Body() { clear(); }

  /// Capacity after append() of bytes with which the size is \p Size.
  std::size_t capacityFor(std::size_t Size) const;
  void append(std::string_view Bytes);
  /// Makes room for a body of \p Size bytes, exactly.
  void reserve(std::size_t Size);
  /// Frees the memory.
  void clear();

  std::string_view view() const { return {m_Bytes, m_Size}; }
  std::size_t size() const { return m_Size; }
  std::size_t capacity() const { return m_Capacity; }
  bool empty() const { return m_Size == 0; }

private:
  char *m_Bytes = nullptr;
  std::size_t m_Size = 0;
  std::size_t m_Capacity = 0;
};

} // namespace mangodeck::http

#endif
