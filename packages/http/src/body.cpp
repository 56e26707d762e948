#include "mangodeck/http/body.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <new>
#include <utility>

namespace mangodeck::http {

Body::Body(Body &&Other) noexcept
    : m_Bytes(std::exchange(Other.m_Bytes, nullptr)),
      m_Size(std::exchange(Other.m_Size, 0)),
      m_Capacity(std::exchange(Other.m_Capacity, 0)) {}

Body &Body::operator=(Body &&Other) noexcept {
  std::swap(m_Bytes, Other.m_Bytes);
  std::swap(m_Size, Other.m_Size);
  std::swap(m_Capacity, Other.m_Capacity);
  if (this != &Other)
    Other.clear();
  return *this;
}

std::size_t Body::capacityFor(std::size_t Size) const {
  if (Size <= m_Capacity)
    return m_Capacity;
  auto Capacity = std::max(m_Capacity, MinBytes);
  while (Capacity < Size)
    Capacity += Capacity < DoublingBytes ? Capacity : StepBytes;
  return Capacity;
}

void Body::append(std::string_view Bytes) {
  if (Bytes.empty())
    return;
  reserve(capacityFor(m_Size + Bytes.size()));
  std::memcpy(m_Bytes + m_Size, Bytes.data(), Bytes.size());
  m_Size += Bytes.size();
}

void Body::reserve(std::size_t Size) {
  if (Size <= m_Capacity)
    return;
  auto *Moved = static_cast<char *>(std::realloc(m_Bytes, Size));
  if (!Moved)
    throw std::bad_alloc();
  m_Bytes = Moved;
  m_Capacity = Size;
}

void Body::clear() {
  std::free(m_Bytes);
  m_Bytes = nullptr;
  m_Size = m_Capacity = 0;
}

} // namespace mangodeck::http
