#ifndef MANGODECK_GATEWAY_DIRECTORYVIEW_H
#define MANGODECK_GATEWAY_DIRECTORYVIEW_H

#include "mangodeck/common/units.h"
#include "mangodeck/gateway/changeorigin.h"

#include <optional>

namespace mangodeck {

/// How current a daemon's knowledge of the store is: up to when all changes are
/// known, and by which way it learned that. Decisions that would be wrong with
/// an outdated configuration ask for the age.
class DirectoryView {
public:
  /// The changes and confirmations that follow were learned by \p Origin.
  void setOrigin(const ChangeOrigin &Origin) { m_Origin = Origin; }
  /// All changes of the store up to \p Time are known. Ignored if \p Time
  /// precedes the last suspension of the process, whose steady clock may not
  /// have counted it.
  void confirm(TimePoint Time);
  /// The same; returns for how long the knowledge had been older than
  /// \p MaxAge until \p Now, if it had and is no longer.
  std::optional<Duration> confirm(TimePoint Time, Duration MaxAge,
                                  TimePoint Now);
  /// The process was suspended until \p Now. Nothing is confirmed any longer.
  void invalidate(TimePoint Now);

  /// TimePoint{} if nothing is confirmed.
  TimePoint confirmedAt() const { return m_ConfirmedAt; }
  /// Of the last confirmation; kept by invalidate().
  const ChangeOrigin &confirmedBy() const { return m_ConfirmedBy; }
  const ChangeOrigin &origin() const { return m_Origin; }
  bool isConfirmedWithin(Duration MaxAge, TimePoint Now) const;
  /// Whether there was a confirmation or a suspension, and no confirmation
  /// since that is at most \p MaxAge old. At its start a daemon takes the
  /// configuration from a listing in progress, which is current.
  bool isOutdated(Duration MaxAge, TimePoint Now) const;

private:
  TimePoint m_ConfirmedAt{};
  TimePoint m_ResumedAt{};
  bool m_HasHistory = false; ///< See isOutdated().
  ChangeOrigin m_ConfirmedBy;
  ChangeOrigin m_Origin;
};

} // namespace mangodeck

#endif
