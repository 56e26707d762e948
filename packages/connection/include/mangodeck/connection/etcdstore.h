#ifndef MANGODECK_CONNECTION_ETCDSTORE_H
#define MANGODECK_CONNECTION_ETCDSTORE_H

#include "mangodeck/common/random.h"
#include "mangodeck/version/store.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

struct EtcdStoreOptions {
  /// Base URLs, e.g. http://10.0.0.1:2379; the next one is used after an
  /// error.
  std::vector<std::string> Endpoints;
  double CallsPerSecond = 20; ///< Bound for all calls of this process.
  double CallBurst = 40;
  /// Longest time for one call, its wait for the limiter included.
  Duration CallTimeout = 3s;
};

enum class StoreCallKind : std::uint8_t {
  Range,
  Write,
  Remove,
  LeaseGrant,
  LeaseKeepAlive,
  LeaseRevoke,
  Watch,
};

inline constexpr std::size_t StoreCallKinds = 7;

std::string_view toString(StoreCallKind Kind);

/// What a store client has done since its start.
struct StoreCallCounts {
  std::array<std::uint64_t, StoreCallKinds> Sent{};
  std::array<std::uint64_t, StoreCallKinds> Failed{};
  std::uint64_t Limited = 0; ///< Never sent, or refused for their rate.
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  bool IsReachable = true; ///< The last call got an answer.
};

/// The platform's key-value service through etcd's JSON gateway. All calls
/// pass one rate limiter; while the service does not answer, calls are sent
/// only at growing, jittered intervals and end at once with
/// Errc::LimitExceeded in between. A watch that breaks is opened anew. Methods
/// are safe from any thread; callbacks run on the client's own thread.
class EtcdStore : public Store {
public:
  /// \p Random is used on the client's thread only, and must outlive it.
  EtcdStore(EtcdStoreOptions Options, RandomSource &Random);
  ~EtcdStore() override;

  StoreCallCounts counts() const;

  void get(std::string_view Key,
           Callback<std::vector<StoreEntry>> Done) override;
  void range(std::string_view Prefix, std::string_view From, std::int64_t Limit,
             Callback<std::vector<StoreEntry>> Done) override;
  void last(std::string_view Prefix, std::int64_t Limit,
            Callback<std::vector<StoreEntry>> Done) override;
  void lastKey(std::string_view Prefix,
               Callback<std::vector<StoreEntry>> Done) override;
  void compareAndSwap(StoreWrite Write,
                      Callback<StoreWriteResult> Done) override;
  void remove(std::string_view Key, Callback<bool> Done) override;
  void grantLease(Duration TimeToLive, Callback<StoreLease> Done) override;
  void keepLeaseAlive(std::int64_t Lease, Callback<StoreLease> Done) override;
  void revokeLease(std::int64_t Lease, Callback<bool> Done) override;
  std::unique_ptr<StoreWatch> watch(
      std::string_view Prefix,
      std::function<void(Expected<std::vector<StoreEntry>>)> Changed) override;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace mangodeck

#endif
