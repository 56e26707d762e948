#include "mangodeck/http/sendqueue.h"

#include <utility>

namespace mangodeck::http {

namespace {

/// Size from which on an item takes no more pieces.
constexpr std::size_t MaxJoinedBytes = 64 << 10;
/// Memory that is kept for the next item.
constexpr std::size_t MaxKeptCapacity = 16 << 10;

} // namespace

void SendQueue::append(std::string_view Bytes) {
  if (m_Next.empty() || m_Next.back().Large.size() > 0 ||
      m_Next.back().Bytes.size() >= MaxJoinedBytes)
    m_Next.emplace_back().Bytes.swap(m_Spare);
  m_Next.back().Bytes.append(Bytes);
  m_Size += Bytes.size();
}

void SendQueue::append(std::string_view Head, Body &&Content) {
  auto &Added = m_Next.emplace_back();
  Added.Bytes = Head;
  Added.Large = std::move(Content);
  m_Size += Added.size();
}

bool SendQueue::startNext() {
  if (m_Next.empty())
    return false;
  m_Current = std::move(m_Next.front());
  m_Next.erase(m_Next.begin());
  return true;
}

void SendQueue::finishCurrent() {
  m_Size -= m_Current.size();
  m_Current.Large.clear();
  if (m_Current.Bytes.capacity() <= MaxKeptCapacity) {
    m_Current.Bytes.clear();
    m_Spare.swap(m_Current.Bytes);
  }
  m_Current.Bytes = std::string();
}

} // namespace mangodeck::http
