#ifndef MANGODECK_PROCESS_STORECLAIMCLIENT_H
#define MANGODECK_PROCESS_STORECLAIMCLIENT_H

#include "mangodeck/common/clock.h"
#include "mangodeck/common/executor.h"
#include "mangodeck/common/random.h"
#include "mangodeck/process/claimclient.h"
#include "mangodeck/process/claimregistry.h"

#include <memory>

namespace mangodeck {

/// Records claims in the platform's store. An answer or release that the store
/// does not confirm is retried with a delay that doubles up to a minute, at
/// most MaxRetries times and as long as the process runs.
class StoreClaimClient : public ClaimClient {
public:
  static constexpr std::uint32_t MaxRetries = 40;

  /// All references must outlive every callback posted to \p Loop.
  StoreClaimClient(ClaimOptions Options, Store &Platform, RandomSource &Random,
                   Executor &Loop, const Clock &Time);
  ~StoreClaimClient() override;

  void claim(const ClaimKey &Key, std::uint64_t Fingerprint,
             const RequestId &Request,
             std::function<void(ClaimReply)> Done) override;
  void complete(const ClaimKey &Key, const RequestId &Request,
                StoredAnswer Answer) override;
  void release(const ClaimKey &Key, const RequestId &Request) override;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace mangodeck

#endif
