#ifndef MANGODECK_CONNECTION_PEERQUEUE_H
#define MANGODECK_CONNECTION_PEERQUEUE_H

#include "mangodeck/common/hybridclock.h"
#include "mangodeck/common/units.h"

#include <deque>
#include <mutex>
#include <string>

namespace mangodeck {

/// Encoded messages that wait for one peer's connection, bounded in number
/// and bytes. Safe from any thread.
class PeerQueue {
public:
  PeerQueue(std::size_t MaxMessages, std::size_t MaxBytes)
      : m_MaxMessages(MaxMessages), m_MaxBytes(MaxBytes) {}

  enum class Push : std::uint8_t {
    Full,  ///< The message was not taken.
    First, ///< The connection is to be woken.
    Later, ///< It was woken already and has not looked yet.
  };
  Push push(std::string Message, TimePoint Now);

  /// Appends frames to \p Out until it holds \p EnoughBytes or nothing waits;
  /// the first frame carries a stamp of \p Stamps. Returns their number.
  std::size_t pop(std::string &Out, std::size_t EnoughBytes, TimePoint Now,
                  HybridClock &Stamps);

  std::size_t messages() const;
  std::size_t bytes() const;

private:
  struct Entry {
    std::string Message;
    TimePoint Queued;
  };

  const std::size_t m_MaxMessages;
  const std::size_t m_MaxBytes;
  mutable std::mutex m_Lock;
  std::deque<Entry> m_Entries;
  std::size_t m_Bytes = 0;
  bool m_Woken = false;
};

} // namespace mangodeck

#endif
