#ifndef MANGODECK_TESTING_STANDINKEYVALUE_H
#define MANGODECK_TESTING_STANDINKEYVALUE_H

#include "mangodeck/common/units.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace mangodeck::testing {

/// The state behind a stand-in for etcd's JSON gateway: keys with versions,
/// leases and watches. Messages go in and out as the gateway's JSON; keys and
/// values stay in base64, whose order is kept apart from that of the bytes.
class StandInKeyValue {
public:
  using Json = nlohmann::json;
  using Send = std::function<void(const std::string &Line)>;

  Json range(const Json &Request);
  Json transact(const Json &Request);
  Json remove(const Json &Request);
  Json grantLease(const Json &Request);
  /// Null when the lease does not exist.
  Json keepAlive(const Json &Request);
  bool revoke(const Json &Request);

  /// Registers a watch and sends its first message.
  std::uint64_t watch(const Json &CreateRequest, Send Write);
  void unwatch(std::uint64_t Id);
  std::size_t watches();
  /// Ends all watches by \p End once for each.
  void dropWatches(const std::function<void(std::uint64_t)> &End);

  /// Watches that exist now get no more events.
  void silenceWatches();

  /// Keeps a copy of the contents, and goes back to it.
  void saveCopy();
  void restoreCopy();

private:
  struct Item {
    std::string Value; ///< Base64.
    std::int64_t Created = 0;
    std::int64_t Modified = 0;
    std::int64_t Lease = 0;
  };
  struct Lease {
    Duration TimeToLive;
    TimePoint Expiry;
  };
  struct Watch {
    std::string From;
    std::string End;
    Send Write;
    bool IsSilent = false;
  };
  using Items = std::map<std::string, Item>; ///< By the key's bytes.

  void expireLeases();
  Json header() const;
  Json describe(const std::string &Key, const Item &Entry, bool KeysOnly) const;
  Json rangeLocked(const Json &Request);
  bool compare(const Json &Condition) const;
  Json apply(const Json &Operation);
  void put(const Json &Request);
  void notify(const std::string &Key, const Item &Entry);

  std::mutex m_Mutex;
  Items m_Items;
  Items m_Copy;
  std::map<std::int64_t, Lease> m_Leases;
  std::map<std::uint64_t, Watch> m_Watches;
  std::int64_t m_Revision = 1;
  std::int64_t m_CopyRevision = 1;
  std::int64_t m_NextLease = 1000;
  std::uint64_t m_NextWatch = 1;
};

} // namespace mangodeck::testing

#endif
