#include "peercodec.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// A message that is read can be written again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace mangodeck;
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const TimePoint Now{std::chrono::hours(1)};
  const auto Envelope = decodePeerMessage(Text, Now);
  if (Envelope && Envelope->Message)
    (void)encodePeerMessage(*Envelope->Message, Now);
  return 0;
}
