#include "peerqueue.h"

#include "peercodec.h"
#include "peerframe.h"

namespace mangodeck {

namespace {

/// A wait below this is left out of the frame.
constexpr Duration MinToldWait = 1ms;

} // namespace

PeerQueue::Push PeerQueue::push(std::string Message, TimePoint Now) {
  const std::lock_guard Guard(m_Lock);
  if (m_Entries.size() >= m_MaxMessages ||
      m_Bytes + Message.size() > m_MaxBytes)
    return Push::Full;
  m_Bytes += Message.size();
  m_Entries.push_back({std::move(Message), Now});
  if (m_Woken)
    return Push::Later;
  m_Woken = true;
  return Push::First;
}

std::size_t PeerQueue::pop(std::string &Out, std::size_t EnoughBytes,
                           TimePoint Now, HybridClock &Stamps) {
  const std::lock_guard Guard(m_Lock);
  m_Woken = false;
  std::size_t Count = 0;
  while (!m_Entries.empty() && Out.size() < EnoughBytes) {
    auto &Entry = m_Entries.front();
    const auto Wait = Now - Entry.Queued;
    std::optional<HybridTime> Stamp;
    if (Count == 0)
      Stamp = Stamps.tick();
    std::string Trailer;
    if (Stamp || Wait >= MinToldWait)
      Trailer = encodeTrailer(Stamp, Wait >= MinToldWait ? Wait : Duration(0));
    appendFrame(Out, Entry.Message, Trailer);
    m_Bytes -= Entry.Message.size();
    m_Entries.pop_front();
    ++Count;
  }
  return Count;
}

std::size_t PeerQueue::messages() const {
  const std::lock_guard Guard(m_Lock);
  return m_Entries.size();
}

std::size_t PeerQueue::bytes() const {
  const std::lock_guard Guard(m_Lock);
  return m_Bytes;
}

} // namespace mangodeck
