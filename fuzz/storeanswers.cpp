#include "etcdmessages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// No answer of the store crashes the client.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  using namespace mangodeck;
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  (void)etcd::parseRange(Text);
  (void)etcd::parseWrite(Text);
  (void)etcd::parseRemove(Text);
  (void)etcd::parseLeaseGrant(Text);
  (void)etcd::parseKeepAlive(Text);
  (void)etcd::parseWatch(Text);
  const auto Bytes = decodeBase64(Text);
  if (Bytes && encodeBase64(*Bytes) != Text &&
      decodeBase64(encodeBase64(*Bytes)) != Bytes)
    __builtin_trap();
  return 0;
}
