#ifndef MANGODECK_GATEWAY_MEMORYACCOUNT_H
#define MANGODECK_GATEWAY_MEMORYACCOUNT_H

#include "mangodeck/http/callerconnection.h"

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace mangodeck {

/// Parts of the memory limit of the process. The rest is for the program
/// itself, the log, the directory and unused parts of the heap
/// (docs/design/memory.md).
struct MemoryShares {
  double Heads = 0.125;  ///< Connections, heads, bytes behind a request.
  double Bodies = 0.25;  ///< Of requests.
  double Answers = 0.25; ///< Being received, or not taken by their callers yet.
  double Unread = 0.125; ///< What the system keeps while reading pauses.
  /// Under pressure, memory may be given up whose caller has made next to no
  /// progress for this time. Longer than the first retransmission of a lost
  /// packet, so that a caller that loses one keeps its request.
  Duration StallTime = 1s;
};

/// The shares in the account. A share has no reserve for others.
enum class MemoryPool : std::uint8_t { Heads, Bodies, Answers, Unread };
inline constexpr std::size_t MemoryPools = 4;

MemoryPool poolOf(http::MemoryUse Use);
std::string_view nameOf(MemoryPool Pool);

/// Memory that is to be reserved for a connection.
struct MemoryDemand {
  http::MemoryUse Use;
  std::size_t Bytes = 0;
  std::size_t Total = 0; ///< What the connection then holds for this use.
  /// What the connection's owner holds for this use on other connections; only
  /// looked at where needsOwner() is true.
  std::size_t OwnerBytes = 0;
};

/// Counts all memory that callers cause to be used, before it is used, on all
/// connections together. Each pool has its own share, so that requests which
/// are being read never take the room for the answers of those that were sent
/// to targets. Long heads and bodies leave a quarter of their pool to short
/// ones, long answers a sixteenth.
///
/// Only this process holds and uses the account; a successor begins with an
/// empty one, as it has no connections. Nothing in it is ever older than the
/// call that asks. Made for crowds of up to the descriptor limit, e.g. 2,800
/// connections in 112 MB: each call costs a few additions.
class MemoryAccount {
public:
  /// \p LimitBytes: of the process.
  MemoryAccount(std::size_t LimitBytes, const MemoryShares &Shares);

  /// Reserves memory; false if it must not be used.
  bool reserve(const MemoryDemand &Demand, TimePoint Now);
  /// Whether reserve() looks at MemoryDemand::OwnerBytes: while long bodies
  /// were refused within OwnerLimitTime, one owner gets no more than half of
  /// their room. Without refusals there is no such limit.
  bool needsOwner(http::MemoryUse Use, std::size_t Total, TimePoint Now) const;
  /// Counts memory that is used in any case.
  void overdraw(MemoryPool Pool, std::size_t Bytes);
  void release(MemoryPool Pool, std::size_t Bytes);

  std::size_t bytes(MemoryPool Pool) const { return entry(Pool).Bytes; }
  std::size_t limit(MemoryPool Pool) const { return entry(Pool).Limit; }
  /// The longest item that ever fits.
  std::size_t longLimit(MemoryPool Pool) const { return entry(Pool).LongLimit; }

private:
  struct Entry {
    std::size_t Limit = 0;
    std::size_t LongLimit = 0; ///< Up to which a long item may be added.
    std::size_t Bytes = 0;
  };
  const Entry &entry(MemoryPool Pool) const {
    return m_Entries[static_cast<std::size_t>(Pool)];
  }
  Entry &entry(MemoryPool Pool) {
    return m_Entries[static_cast<std::size_t>(Pool)];
  }

  std::array<Entry, MemoryPools> m_Entries;
  TimePoint m_LongBodyRefusedAt{};
};

/// The holder to be given up under pressure: of those that have stalled for
/// \p StallTime, the one with the largest product of bytes and time. Returns
/// its index.
std::optional<std::size_t>
chooseToGiveUp(std::span<const http::HeldMemory> Holders, Duration StallTime,
               TimePoint Now);

} // namespace mangodeck

#endif
