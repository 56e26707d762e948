#include "failuredetector.h"

#include <algorithm>

namespace mangodeck {

namespace {

constexpr Duration RoundLength = 1s;
/// An unanswered probe is repeated at this interval, directly and through
/// helpers.
constexpr Duration RetryInterval = 300ms;
constexpr int MaxRetries = 2;
constexpr std::size_t HelperCount = 3;
constexpr Duration RelayLifetime = 1s;
constexpr std::size_t MaxRelays = 256;

} // namespace

FailureDetector::FailureDetector(const MemberTable &Members,
                                 RandomSource &Random)
    : m_Members(Members), m_Random(Random),
      m_Sequence(static_cast<std::uint32_t>(Random.next())) {}

/// Probes one member per round. Each member is probed once, in random order,
/// before any is probed again: the time until some member probes a failed one
/// is one round on average and bounded by the number of members, at constant
/// cost per member. An unanswered probe is repeated up to MaxRetries times,
/// directly and through newly chosen helpers each time, so that lossy links
/// raise few suspicions; each suspicion costs rumors to all members.
FailureDetector::DueActions FailureDetector::advance(TimePoint Now) {
  DueActions Due;
  // Step 1. Give the first round a random start, so that members that start
  // together do not probe in step.
  if (!m_RoundStart)
    m_RoundStart =
        Now - fromSeconds(toSeconds(RoundLength) * m_Random.uniform());

  // Step 2. End the round and begin the next one.
  const auto Elapsed = Now - *m_RoundStart;
  if (Elapsed >= RoundLength) {
    if (m_ProbedVm && !m_Acked)
      Due.Failed = m_ProbedVm;
    m_RoundStart =
        Elapsed < 2 * RoundLength ? *m_RoundStart + RoundLength : Now;
    m_ProbedVm = selectProbedVm();
    m_Acked = false;
    m_Retries = 0;
    if (!m_ProbedVm)
      return Due;
    m_ProbeSequence = nextSequence();
    Due.Probe = m_ProbedVm;
    Due.Sequence = m_ProbeSequence;
    return Due;
  }

  // Step 3. Repeat an unanswered probe, directly and through helpers.
  const bool Waiting = m_ProbedVm && !m_Acked && m_Retries < MaxRetries;
  if (Waiting && Elapsed >= RetryInterval * (m_Retries + 1)) {
    ++m_Retries;
    Due.Probe = m_ProbedVm;
    Due.Sequence = m_ProbeSequence;
    Due.Helpers = selectHelpers(*m_ProbedVm);
  }
  return Due;
}

std::optional<VmName> FailureDetector::selectProbedVm() {
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    while (!m_ProbeOrder.empty()) {
      const auto Next = m_ProbeOrder.back();
      m_ProbeOrder.pop_back();
      const auto *Record = m_Members.find(Next);
      if (Record && Record->Info.isLive())
        return Next;
    }
    for (const auto *Peer : m_Members.livePeers())
      m_ProbeOrder.push_back(Peer->Vm);
    for (std::size_t I = m_ProbeOrder.size(); I > 1; --I)
      std::swap(m_ProbeOrder[I - 1], m_ProbeOrder[m_Random.below(I)]);
  }
  return std::nullopt;
}

std::vector<VmName> FailureDetector::selectHelpers(const VmName &ProbedVm) {
  std::vector<VmName> Candidates;
  for (const auto *Peer : m_Members.livePeers()) {
    if (Peer->Vm != ProbedVm && Peer->State == MemberState::Alive)
      Candidates.push_back(Peer->Vm);
  }
  const auto Wanted = std::min(HelperCount, Candidates.size());
  for (std::size_t I = 0; I < Wanted; ++I)
    std::swap(Candidates[I],
              Candidates[I + m_Random.below(Candidates.size() - I)]);
  Candidates.resize(Wanted);
  return Candidates;
}

void FailureDetector::onAck(std::uint32_t Sequence) {
  if (Sequence == m_ProbeSequence)
    m_Acked = true;
}

std::uint32_t FailureDetector::addRelay(std::string_view Address,
                                        std::uint32_t Sequence, TimePoint Now) {
  std::erase_if(m_Relays,
                [Now](const auto &Item) { return Item.second.Expiry <= Now; });
  const auto RelaySequence = nextSequence();
  if (m_Relays.size() < MaxRelays)
    m_Relays[RelaySequence] = {{std::string(Address), Sequence},
                               Now + RelayLifetime};
  return RelaySequence;
}

std::optional<FailureDetector::ProbeRequester>
FailureDetector::takeRelay(std::uint32_t Sequence) {
  const auto It = m_Relays.find(Sequence);
  if (It == m_Relays.end())
    return std::nullopt;
  auto Requester = std::move(It->second.Requester);
  m_Relays.erase(It);
  return Requester;
}

void FailureDetector::restartRound(TimePoint Now) {
  m_ProbedVm.reset();
  m_RoundStart = Now;
}

} // namespace mangodeck
