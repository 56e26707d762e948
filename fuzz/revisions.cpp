#include "mangodeck/version/revision.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// A value that is read is written back to one that reads the same.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace mangodeck;
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const auto Change = decodeRevision({1, std::string(Text)});
  if (Change) {
    const auto Again = decodeRevision({1, encodeRevision(*Change)});
    if (!Again || Again->Put.size() != Change->Put.size())
      __builtin_trap();
    (void)applyRevision({}, *Change);
  }
  const std::string Parts[] = {std::string(Text)};
  (void)decodeImage(1, Parts);
  return 0;
}
