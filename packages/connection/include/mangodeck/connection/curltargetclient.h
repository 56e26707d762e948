#ifndef MANGODECK_CONNECTION_CURLTARGETCLIENT_H
#define MANGODECK_CONNECTION_CURLTARGETCLIENT_H

#include "mangodeck/common/units.h"
#include "mangodeck/request/targetclient.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace mangodeck {

/// Timeouts and limits of a CurlTargetClient.
struct TargetClientOptions {
  Duration ConnectTimeout = 2s;
  /// A streaming exchange that receives no byte for this long is resumed on a
  /// new connection: before and after the head of its answer.
  Duration HeadSilence = 5s;
  Duration StreamSilence = 2s;
  /// An exchange that cannot be resumed and receives no byte for this long
  /// ends as Broken.
  Duration AnswerSilence = 600s;
  /// Resumes in a row that bring no byte before the exchange ends as Broken.
  unsigned MaxFruitlessResumes = 8;
  /// Wait before a resume; doubled after each fruitless one, up to the limit.
  Duration ResumeDelay = 100ms;
  Duration MaxResumeDelay = 1s;
  /// An answer whose receiver holds more than this is read no further.
  std::size_t MaxPendingBytes = std::size_t{1} << 20;
  std::size_t MaxFrameBytes = std::size_t{1} << 20;
};

/// Counters of a CurlTargetClient, for metrics.
struct TargetClientCounters {
  std::uint64_t Dispatched = 0;
  std::uint64_t Resumed = 0;
  std::uint64_t NotDelivered = 0;
  std::uint64_t Broken = 0;
  std::uint64_t WrongAnswers = 0;
};

/// Sends requests to targets over HTTP/1.1 by libcurl, on its own thread. The
/// protocol is described in docs/TARGETS.md.
///
/// Every dispatch opens a new connection. libcurl sends a request again by
/// itself when a reused connection turns out to be closed; on a new connection
/// it does not, and a refused connection proves that nothing was delivered.
class CurlTargetClient : public TargetClient {
public:
  explicit CurlTargetClient(TargetClientOptions Options = {});
  /// Ends the thread. Exchanges in progress get no further calls.
  ~CurlTargetClient() override;

  void dispatch(TargetRequest Request,
                std::shared_ptr<TargetAnswer> Answer) override;

  /// Stops the exchange, which ends as Cancelled, and tells the target.
  void cancel(const RequestId &Id) override;

  TargetClientCounters counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mangodeck

#endif
