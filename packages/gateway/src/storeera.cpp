#include "mangodeck/gateway/storeera.h"

namespace mangodeck {

bool StoreEraTracker::recordAnswer(std::optional<std::uint64_t> Era) {
  if (!Era || *Era == m_Era)
    return true;
  if (*Era < m_Era) {
    m_Log.write("store_answer_outdated", {{"era", *Era}, {"current", m_Era}});
    return false;
  }
  const bool WasKnown = m_Era != 0;
  m_Log.write(WasKnown ? "store_restored" : "store_era",
              {{"era", *Era}, {"before", m_Era}});
  m_Era = *Era;
  if (WasKnown)
    for (auto *Observer : m_Observers)
      Observer->onStoreRestored();
  return true;
}

} // namespace mangodeck
