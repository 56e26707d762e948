#ifndef MANGODECK_GATEWAY_ENGINEPACE_H
#define MANGODECK_GATEWAY_ENGINEPACE_H

#include "mangodeck/common/units.h"

#include <cstdint>

namespace mangodeck {

/// The nominal engine that a target's slowness is relative to. The figures
/// are those of the engines' data sheet.

/// Time of one decoding step of a batch of \p Running requests.
Duration nominalStepTime(std::uint32_t Running);

/// Time to read \p Tokens prompt tokens, the attention's quadratic part
/// included.
Duration nominalPrefillTime(TokenCount Tokens);

/// Time from the end of the prefill to the first token.
Duration nominalFirstTokenDelay();

} // namespace mangodeck

#endif
