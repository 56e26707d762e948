#ifndef MANGODECK_GATEWAY_ENGINEPACE_H
#define MANGODECK_GATEWAY_ENGINEPACE_H

#include "mangodeck/common/units.h"

#include <cstdint>

namespace mangodeck {

/// Times of the nominal engine, to which TrackedTarget::Slowdown is relative.
/// The constants are those of the engines' data sheet.

/// Duration of one decoding step of a batch of \p Running requests.
Duration nominalStepTime(std::uint32_t Running);

/// Duration of the prefill of \p Tokens prompt tokens, including the quadratic
/// part of the attention.
Duration nominalPrefillTime(TokenCount Tokens);

/// Time from the end of the prefill to the first token.
Duration nominalFirstTokenDelay();

} // namespace mangodeck

#endif
