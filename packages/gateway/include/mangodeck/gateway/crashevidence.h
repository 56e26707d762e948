#ifndef MANGODECK_GATEWAY_CRASHEVIDENCE_H
#define MANGODECK_GATEWAY_CRASHEVIDENCE_H

#include "mangodeck/common/units.h"
#include "mangodeck/gateway/requestfacts.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// A possible cause was in a request that a target had not begun to answer when
/// it crashed. Daemons that saw the same crash report the same sighting.
struct CrashSighting {
  std::uint64_t Crash = 0; ///< TrackedTarget::Hash of the crashed target.
  /// RequestFacts::Fingerprint of the request, the smallest of several. Equals
  /// Crash if the possible cause is the whole request.
  std::uint64_t Request = 0;
  Duration Age{0}; ///< Since the crash; the clocks of two daemons differ.
  /// A target has answered a request with the possible cause since the crash
  /// and went on, so it is not the cause of this crash.
  bool Refuted = false;
};

/// What a daemon reports of a possible cause.
struct CauseEvidence {
  CauseId Cause = 0;
  /// A target has answered a request with it at some time.
  bool KnownSound = false;
  std::vector<CrashSighting> Sightings;
};

/// Upper bounds of a message: they keep it well below the receivers' buffers.
inline constexpr std::size_t MaxReportedCauses = 48;
inline constexpr std::size_t MaxReportedSightings = 128;
/// Sightings kept and reported of one possible cause.
inline constexpr std::size_t MaxSightingsPerCause = 8;

/// Encodes evidence as a MessagePack array, whose first element tells it from
/// the other messages between daemons.
std::string encodeCrashEvidence(std::span<const CauseEvidence> Evidence);
/// std::nullopt if \p Bytes is not encoded evidence. What exceeds the bounds is
/// dropped.
std::optional<std::vector<CauseEvidence>>
decodeCrashEvidence(std::string_view Bytes);

} // namespace mangodeck

#endif
