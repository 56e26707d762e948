#include "failuredetector.h"

#include <algorithm>

namespace mangodeck {

namespace {

constexpr Duration RoundLength = 1s;
/// An unanswered probe is repeated after each of these, with helpers.
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

/// One member is probed per round, each once before any is probed again, in
/// random order: the time to the first probe of a failed member is bounded by
/// the number of members, and its mean is one round, at constant cost per
/// member. While the probe is not answered, it is repeated twice, directly
/// and by other helpers each time, so that lossy paths raise few suspicions:
/// each one costs rumors to all members.
FailureDetector::Step FailureDetector::advance(TimePoint Now) {
  Step Due;
  // Step 1. Spread the first rounds of members that start together.
  if (!m_RoundStart)
    m_RoundStart =
        Now - fromSeconds(toSeconds(RoundLength) * m_Random.uniform());

  // Step 2. End the round and begin the next one.
  const auto Elapsed = Now - *m_RoundStart;
  if (Elapsed >= RoundLength) {
    if (m_Target && !m_Acked)
      Due.Failed = m_Target;
    m_RoundStart =
        Elapsed < 2 * RoundLength ? *m_RoundStart + RoundLength : Now;
    m_Target = nextTarget();
    m_Acked = false;
    m_Retries = 0;
    if (!m_Target)
      return Due;
    m_TargetSequence = nextSequence();
    Due.Probe = m_Target;
    Due.Sequence = m_TargetSequence;
    return Due;
  }

  // Step 3. Try again, directly and through helpers.
  const bool Waiting = m_Target && !m_Acked && m_Retries < MaxRetries;
  if (Waiting && Elapsed >= RetryInterval * (m_Retries + 1)) {
    ++m_Retries;
    Due.Probe = m_Target;
    Due.Sequence = m_TargetSequence;
    Due.Helpers = selectHelpers(*m_Target);
  }
  return Due;
}

std::optional<VmName> FailureDetector::nextTarget() {
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    while (!m_Order.empty()) {
      const auto Next = m_Order.back();
      m_Order.pop_back();
      const auto *Found = m_Members.find(Next);
      if (Found && Found->Known.isLive())
        return Next;
    }
    for (const auto *Peer : m_Members.livePeers())
      m_Order.push_back(Peer->Vm);
    for (std::size_t I = m_Order.size(); I > 1; --I)
      std::swap(m_Order[I - 1], m_Order[m_Random.below(I)]);
  }
  return std::nullopt;
}

std::vector<VmName> FailureDetector::selectHelpers(const VmName &Target) {
  std::vector<VmName> Candidates;
  for (const auto *Peer : m_Members.livePeers()) {
    if (Peer->Vm != Target && Peer->State == MemberState::Alive)
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
  if (Sequence == m_TargetSequence)
    m_Acked = true;
}

std::uint32_t FailureDetector::addRelay(std::string_view Address,
                                        std::uint32_t Sequence, TimePoint Now) {
  std::erase_if(m_Relays,
                [Now](const auto &Item) { return Item.second.Expiry <= Now; });
  const auto Own = nextSequence();
  if (m_Relays.size() < MaxRelays)
    m_Relays[Own] = {{std::string(Address), Sequence}, Now + RelayLifetime};
  return Own;
}

std::optional<FailureDetector::Asker>
FailureDetector::takeRelay(std::uint32_t Sequence) {
  const auto It = m_Relays.find(Sequence);
  if (It == m_Relays.end())
    return std::nullopt;
  auto From = std::move(It->second.From);
  m_Relays.erase(It);
  return From;
}

void FailureDetector::restart(TimePoint Now) {
  m_Target.reset();
  m_RoundStart = Now;
}

} // namespace mangodeck
