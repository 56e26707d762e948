// Values of the store and datagrams of other daemons.
#include "directory.h"
#include "settingsfile.h"

#include "mangodeck/gateway/changerelay.h"
#include "mangodeck/gateway/crashevidence.h"
#include "mangodeck/gateway/originmessages.h"
#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/slotmessages.h"

#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  mangodeck::platform::decodePlan(Bytes);
  mangodeck::platform::decodeTarget("i", Bytes);
  mangodeck::platform::decodePeer(Bytes);
  mangodeck::platform::decodeVersions(Bytes);
  mangodeck::platform::parseSettings(Bytes);
  mangodeck::decodeReport(Bytes);
  mangodeck::decodeRelayedChanges(Bytes);
  mangodeck::decodeSlotMessage(Bytes);
  mangodeck::decodeOriginMessage(Bytes);
  mangodeck::decodeCrashEvidence(Bytes);
  return 0;
}
