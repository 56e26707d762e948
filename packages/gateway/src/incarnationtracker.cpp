#include "mangodeck/gateway/incarnationtracker.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Silence of the current process of a VM after which a message of an unknown
/// process is one of its successor; more than the longest period of reports.
constexpr Duration SuccessionSilence = 600ms;
/// Silence after which a process that was left is followed again; some of the
/// longest periods of reports.
constexpr Duration ReadmissionSilence = 2s;
/// Former processes of a VM that are remembered.
constexpr std::size_t MaxFormer = 8;

} // namespace

IncarnationStanding IncarnationTracker::observe(const std::string &Vm,
                                                IncarnationId Incarnation,
                                                TimePoint Now) {
  const auto [At, IsNew] = m_Machines.try_emplace(Vm);
  auto &Known = At->second;
  if (IsNew) {
    Known.Current = Incarnation;
    Known.LastMessageAt = Now;
    return IncarnationStanding::Started;
  }
  if (Incarnation == Known.Current) {
    Known.LastMessageAt = Now;
    return IncarnationStanding::Current;
  }
  const auto Former =
      std::find(Known.Former.begin(), Known.Former.end(), Incarnation);
  const bool WasLeft = Former != Known.Former.end();
  const auto Silence = Now - Known.LastMessageAt;
  if (WasLeft && Silence < ReadmissionSilence)
    return IncarnationStanding::Former;
  if (Silence < SuccessionSilence)
    return IncarnationStanding::Unconfirmed;
  if (WasLeft)
    Known.Former.erase(Former);
  Known.Former.push_back(Known.Current);
  if (Known.Former.size() > MaxFormer)
    Known.Former.pop_front();
  Known.Current = Incarnation;
  Known.LastMessageAt = Now;
  return IncarnationStanding::Started;
}

std::optional<IncarnationId>
IncarnationTracker::current(const std::string &Vm) const {
  const auto Found = m_Machines.find(Vm);
  return Found == m_Machines.end() ? std::nullopt
                                   : std::optional(Found->second.Current);
}

} // namespace mangodeck
