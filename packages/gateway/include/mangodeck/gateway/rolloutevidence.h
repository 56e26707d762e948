#ifndef MANGODECK_GATEWAY_ROLLOUTEVIDENCE_H
#define MANGODECK_GATEWAY_ROLLOUTEVIDENCE_H

#include "mangodeck/common/units.h"
#include "mangodeck/gateway/incarnationtracker.h"
#include "mangodeck/gateway/rolloutorder.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace mangodeck {

/// The time limit of an order is divided into this many slices, by which
/// answers are counted.
inline constexpr std::uint8_t RolloutSlices = 12;

/// What answers are counted by. Answers of one key are comparable.
struct EvidenceKey {
  std::uint8_t Slice = 0;
  std::uint16_t Route = 0;  ///< Hash of the route's name.
  std::uint32_t Target = 0; ///< Hash; 0: any of those that are not told apart.
  bool IsCandidate = false; ///< Of the version that is ordered.
  bool operator==(const EvidenceKey &) const = default;
  bool operator<(const EvidenceKey &Other) const {
    return std::tie(Slice, Route, Target, IsCandidate) <
           std::tie(Other.Slice, Other.Route, Other.Target, Other.IsCandidate);
  }
};

/// Counts of answers; they only grow.
struct EvidenceCounts {
  std::uint32_t Answers = 0;
  std::uint32_t Bad = 0;
  std::uint32_t Timed = 0; ///< Answers whose time is in the sums.
  /// Sums of the natural logarithm of the time, in thousandths, and of its
  /// square.
  std::int64_t SumLog = 0;
  std::int64_t SumSquares = 0;

  void add(const EvidenceCounts &Other, int Sign = 1);
  bool operator==(const EvidenceCounts &) const = default;
};
using EvidenceRows = std::map<EvidenceKey, EvidenceCounts>;

/// What one process has counted, from its start on, and what it does now.
struct ProcessEvidence {
  std::string Vm;
  IncarnationId Incarnation = UnknownIncarnation;
  std::uint64_t Sequence = 0; ///< Increases with each message.
  std::uint64_t Requests = 0; ///< See RolloutTotals.
  std::uint64_t Sent = 0;
  RolloutStep Step = RolloutStep::Waiting; ///< That it obeys.
  std::uint32_t OtherRunning = 0;          ///< Its requests at other versions.
  EvidenceRows Rows;
};

/// A message with the evidence on one order.
struct EvidenceMessage {
  ServiceName Service;
  StoreRevision Order;
  std::string Domain; ///< Of the sender.
  /// The sender states its own counts to its delegate. Otherwise a delegate
  /// passes on those of any processes.
  bool IsReport = false;
  std::vector<ProcessEvidence> Processes;
};

/// A delegate's view of an order, for its domain and the other delegates.
struct PlanMessage {
  RolloutOrder Order;
  std::string Vm; ///< The sender.
  IncarnationId Incarnation = UnknownIncarnation;
  std::string Domain; ///< Of the sender.
  RolloutStep Step = RolloutStep::Waiting;
  bool IsCondemned = false;
  std::string Reason;     ///< Of the condemnation.
  Duration Elapsed{0};    ///< Since the order.
  Duration ContactAge{0}; ///< Of what the sender knows of the fleet.
  /// No process of the sender's domain that obeys Step runs a request at
  /// another version.
  bool IsDrained = false;
};

/// Bytes of a datagram at which a message is divided; well below the receivers'
/// buffers.
inline constexpr std::size_t MaxEvidenceBytes = 7000;

/// Encodes messages as MessagePack arrays, whose first element tells them from
/// the other messages between daemons.
std::string encodeEvidence(const EvidenceMessage &Message);
std::optional<EvidenceMessage> decodeEvidence(std::string_view Bytes);
std::string encodePlan(const PlanMessage &Message);
std::optional<PlanMessage> decodePlanMessage(std::string_view Bytes);

/// The evidence of all processes on one order, merged. Counters of a process
/// only grow, so a message that arrives twice, late or by another way counts
/// once, and what an ended process has counted stays.
///
/// Owner of each process's counts: the process. A delegate keeps copies and
/// passes them on to the other delegates, so a successor learns those of living
/// processes from themselves and of ended ones from the other delegates. Their
/// age does not matter, since they are sums from the order on. A message costs
/// the rows that have changed; the merged sums are kept up to date by
/// differences.
class RolloutEvidence {
public:
  using ProcessId = std::pair<std::string, IncarnationId>;

  /// The counts of \p Own, to be increased by record().
  ProcessEvidence &own(const std::string &Vm, IncarnationId Own);
  /// Counts an answer that the process \p Own has seen.
  void record(ProcessEvidence &Own, const EvidenceKey &Key,
              const EvidenceCounts &Answer);
  /// Merges what was received, except for the rows of \p OwnId. Returns whether
  /// anything was new.
  bool merge(const ProcessEvidence &Received, const ProcessId &OwnId);
  /// Totals stored by daemons that may have ended. They count where they exceed
  /// what the processes have counted.
  void setStored(const RolloutTotals &Stored) { m_Stored = Stored; }

  const EvidenceRows &rows() const { return m_Sum; }
  RolloutTotals totals() const;
  const std::map<ProcessId, ProcessEvidence> &processes() const {
    return m_Processes;
  }
  /// Rows of the process \p Id that have changed since the last call of it, and
  /// all of its last two slices.
  ProcessEvidence changesOf(const ProcessId &Id);
  /// Processes whose rows have changed since they were last taken, and some of
  /// the others in turn, so that a receiver which lost messages learns all.
  /// Divided into messages of at most MaxEvidenceBytes, copies of \p Empty.
  std::vector<EvidenceMessage> takeMessages(const EvidenceMessage &Empty);
  /// The rows, and those stored totals that no process accounts for.
  EvidenceRows rowsWithStored() const;

private:
  EvidenceRows m_Sum;
  std::map<ProcessId, ProcessEvidence> m_Processes;
  std::map<ProcessId, std::vector<EvidenceKey>> m_Changed;
  RolloutTotals m_Stored;
  std::optional<ProcessId> m_LastRepeated;
};

} // namespace mangodeck

#endif
