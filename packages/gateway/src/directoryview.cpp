#include "mangodeck/gateway/directoryview.h"

#include <fmt/format.h>

namespace mangodeck {

std::string toString(const ChangeOrigin &Origin) {
  switch (Origin.Source) {
  case ChangeSource::None:
    break;
  case ChangeSource::Listing:
    return "listing";
  case ChangeSource::Watch:
    return "watch";
  case ChangeSource::Relay:
    return fmt::format("relay {}", Origin.Vm);
  case ChangeSource::Peer:
    return fmt::format("peer {}", Origin.Vm);
  }
  return "none";
}

void DirectoryView::confirm(TimePoint Time) {
  if (Time < m_ResumedAt || Time <= m_ConfirmedAt)
    return;
  m_ConfirmedAt = Time;
  m_HasHistory = true;
  m_ConfirmedBy = m_Origin;
}

std::optional<Duration> DirectoryView::confirm(TimePoint Time, Duration MaxAge,
                                               TimePoint Now) {
  const bool WasOutdated = isOutdated(MaxAge, Now);
  const auto Since =
      m_ConfirmedAt == TimePoint{} ? m_ResumedAt : m_ConfirmedAt + MaxAge;
  confirm(Time);
  if (!WasOutdated || isOutdated(MaxAge, Now))
    return std::nullopt;
  return Now - Since;
}

void DirectoryView::invalidate(TimePoint Now) {
  m_ResumedAt = Now;
  m_HasHistory = true;
  m_ConfirmedAt = TimePoint{};
}

bool DirectoryView::isOutdated(Duration MaxAge, TimePoint Now) const {
  return m_HasHistory && !isConfirmedWithin(MaxAge, Now);
}

bool DirectoryView::isConfirmedWithin(Duration MaxAge, TimePoint Now) const {
  return m_ConfirmedAt != TimePoint{} && Now - m_ConfirmedAt <= MaxAge;
}

} // namespace mangodeck
