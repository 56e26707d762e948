#ifndef MANGODECK_CONNECTION_ETCDCLIENT_H
#define MANGODECK_CONNECTION_ETCDCLIENT_H

#include "curlloop.h"
#include "tokenbucket.h"

#include "mangodeck/connection/etcdstore.h"

#include <atomic>
#include <deque>

namespace mangodeck {

/// Sends calls to the gateway under one rate limit and one back-off. Belongs
/// to the loop's thread, except for counts().
class EtcdClient {
public:
  /// Receives the body of a successful answer, or an error.
  using Answer = std::function<void(Expected<std::string>)>;

  EtcdClient(CurlLoop &Loop, EtcdStoreOptions Options, RandomSource &Random);

  /// Sends \p Body to \p Path once the limiter lets it pass.
  void call(StoreCallKind Kind, std::string Path, std::string Body,
            Answer Done);

  /// Opens a stream at once; its start is counted against the limit later.
  CurlLoop::CallId openStream(StoreCallKind Kind, std::string Path,
                              std::string Body,
                              std::shared_ptr<HttpCallHandler> Handler);

  /// Notes whether the service answered, for the back-off.
  void noteAnswered();
  void noteFailed();
  void noteReceived(std::size_t Bytes) { m_BytesReceived += Bytes; }
  void noteFailedKind(StoreCallKind Kind) {
    ++m_Failed[static_cast<std::size_t>(Kind)];
  }

  /// A delay for attempt \p Attempt, 0 being the first; doubles up to a bound.
  Duration jitteredDelay(std::uint32_t Attempt);

  StoreCallCounts counts() const;

private:
  struct Waiting {
    StoreCallKind Kind;
    std::string Path;
    std::string Body;
    Answer Done;
    TimePoint Deadline;
  };

  void send(Waiting Call, TimePoint Now);
  void sendWaiting();
  void limit(const Answer &Done);
  bool isBackingOff(TimePoint Now) const;
  HttpCall makeCall(StoreCallKind Kind, std::string Path, std::string Body);

  CurlLoop &m_Loop;
  EtcdStoreOptions m_Options;
  RandomSource &m_Random;
  TokenBucket m_Bucket;
  std::deque<Waiting> m_Waiting;
  bool m_HasTimer = false;
  std::size_t m_Endpoint = 0;
  std::uint32_t m_Failures = 0; ///< In a row.
  TimePoint m_BackOffUntil;

  std::array<std::atomic<std::uint64_t>, StoreCallKinds> m_Sent{};
  std::array<std::atomic<std::uint64_t>, StoreCallKinds> m_Failed{};
  std::atomic<std::uint64_t> m_Limited{0};
  std::atomic<std::uint64_t> m_BytesSent{0};
  std::atomic<std::uint64_t> m_BytesReceived{0};
  std::atomic<bool> m_IsReachable{true};
};

} // namespace mangodeck

#endif
