#ifndef MANGODECK_CONNECTION_ETCDMESSAGES_H
#define MANGODECK_CONNECTION_ETCDMESSAGES_H

#include "mangodeck/common/base64.h"
#include "mangodeck/version/store.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck::etcd {

// Messages of etcd's JSON gateway, as published with etcd 3.4 and later: keys
// and values in base64, 64-bit numbers as decimal strings.

/// The least key that is greater than all keys which start with \p Prefix.
std::string endOfPrefix(std::string_view Prefix);

enum class KeyOrder : std::uint8_t { Ascending, Descending };

struct RangeRequest {
  std::string Key;
  std::string End; ///< Exclusive; empty for the one key.
  std::int64_t Limit = 0;
  KeyOrder Order = KeyOrder::Ascending;
  bool KeysOnly = false;
};

std::string encodeRange(const RangeRequest &Request);
std::string encodeWrite(const StoreWrite &Write);
std::string encodeRemove(std::string_view Key);
std::string encodeLeaseGrant(Duration TimeToLive);
std::string encodeLeaseId(std::int64_t Lease);
std::string encodeWatch(std::string_view Prefix);

/// Each returns Errc::WrongAnswer for a body that is not the gateway's.
Expected<std::vector<StoreEntry>> parseRange(std::string_view Body);
Expected<StoreWriteResult> parseWrite(std::string_view Body);
Expected<bool> parseRemove(std::string_view Body);
Expected<StoreLease> parseLeaseGrant(std::string_view Body);
/// Errc::LeaseLost when the lease has run out.
Expected<StoreLease> parseKeepAlive(std::string_view Body);

/// One message of a watch's stream.
struct WatchMessage {
  bool Created = false;
  bool Cancelled = false;
  std::vector<StoreEntry> Changed;
};

Expected<WatchMessage> parseWatch(std::string_view Line);

} // namespace mangodeck::etcd

#endif
