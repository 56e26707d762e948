#ifndef MANGODECK_GATEWAY_TEST_CHANGEFLEETMIX_H
#define MANGODECK_GATEWAY_TEST_CHANGEFLEETMIX_H

#include "changefleet.h"

#include <vector>

namespace mangodeck {

/// What can happen to some daemons of a fleet, drawn at random.
enum class Impairment {
  Restart,
  Freeze,
  CutOff,
  NarrowLinks,
  SilentConnections,
  CutDomain,
  Loss,
  DroppedHistory,
  /// Many other keys are written and removed at once.
  KeyBurst
};

inline const std::vector<Impairment> AllImpairments{
    Impairment::Restart,
    Impairment::Freeze,
    Impairment::CutOff,
    Impairment::NarrowLinks,
    Impairment::SilentConnections,
    Impairment::CutDomain,
    Impairment::Loss,
    Impairment::DroppedHistory};

/// The store serves \p Served only; the others get no answers, or rejections.
void serveOnly(ChangeFleet &Fleet, const std::vector<std::size_t> &Served,
               StoreAccess Others);

/// Writes versions for \p Span, while impairments of \p Kinds come in series
/// that overlap. \p FewServed: one or two daemons, drawn anew now and then, are
/// served by the store, instead of all.
void playMix(ChangeFleet &Fleet, const std::vector<Impairment> &Kinds,
             Duration Span, bool FewServed);

} // namespace mangodeck

#endif
