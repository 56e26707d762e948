#include "mangodeck/process/settings.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Settings are read, or each fault says what was found.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace mangodeck;
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const auto Result = parseSettings(Text, "fuzz.yaml");
  for (const auto &Fault : Result.Errors)
    if (Fault.Found.empty() || Fault.Allowed.empty())
      __builtin_trap();
  return 0;
}
