#include "mangodeck/common/random.h"

namespace mangodeck {

std::uint64_t DeviceRandom::next() {
  return (static_cast<std::uint64_t>(m_Device()) << 32) | m_Device();
}

} // namespace mangodeck
