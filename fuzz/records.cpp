#include "mangodeck/version/compile.h"
#include "mangodeck/version/recordloader.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Each text gives records that compile, or faults that name their place.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace mangodeck;
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const auto Records = parseRecords(Text, "fuzz.yaml");
  if (Records && !compile(*Records))
    __builtin_trap();
  if (!Records)
    for (const auto &Fault : Records.error())
      if (Fault.Found.empty() || Fault.Allowed.empty())
        __builtin_trap();
  return 0;
}
