#ifndef MANGODECK_CONNECTION_TARGETEXCHANGE_H
#define MANGODECK_CONNECTION_TARGETEXCHANGE_H

#include "curlloop.h"
#include "mangodeck/http/sseframes.h"

#include "mangodeck/connection/curltargetclient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// What the exchanges of one client share; counters may be read by others.
struct TargetClientState {
  explicit TargetClientState(TargetClientOptions Values) : Options(Values) {}

  const TargetClientOptions Options;
  /// Last incarnation that answered at an address; loop's thread only.
  std::unordered_map<std::string, Incarnation> Incarnations;
  std::atomic<std::uint64_t> Dispatched{0};
  std::atomic<std::uint64_t> Resumed{0};
  std::atomic<std::uint64_t> NotDelivered{0};
  std::atomic<std::uint64_t> Broken{0};
  std::atomic<std::uint64_t> WrongAnswers{0};
};

/// One request at one target: sends it once, checks that what comes back
/// belongs to it, and resumes a broken or silent answer. Lives on the loop's
/// thread. The protocol is described in docs/TARGETS.md.
class TargetExchange : public HttpCallHandler,
                       public std::enable_shared_from_this<TargetExchange> {
public:
  TargetExchange(CurlLoop &Loop, TargetClientState &State,
                 TargetRequest Request, std::shared_ptr<TargetAnswer> Answer,
                 std::function<void()> Ended);

  /// Sends the request; call once.
  void dispatch();
  void cancel();

  void onHead(int Status, std::vector<Header> Headers) override;
  void onBytes(std::string_view Bytes) override;
  void onDone(const HttpCallEnd &End) override;

private:
  enum class Fault : std::uint8_t { Broken, WrongAnswer };

  void onDispatchHead(int Status, std::vector<Header> Headers);
  void onResumeHead(int Status, std::vector<Header> Headers);
  void acceptHead(int Status, std::vector<Header> Headers);
  void onFrame(std::string_view Frame);
  bool carriesOwnId(std::string_view Data) const;
  bool isOwnAnswer(std::span<const Header> Headers) const;
  std::optional<Incarnation> noteIncarnation(std::span<const Header> Headers);

  void recover(Fault Cause);
  void resume();
  Duration silenceLimit() const;
  void watchSilence();
  void onSilenceTimer();
  void giveBody(std::string_view Bytes);
  void watchReceiver();
  void dropCall();
  void probeAndEnd(TargetEnd End);
  void probe(TargetEnd End);
  void onProbeFailed(TargetEnd End, const HttpCallEnd &Failure);
  void end(TargetEnd End, bool Gone);
  HttpCall makeCall(std::string Method, std::string Path) const;
  std::string streamPath() const;

  CurlLoop &m_Loop;
  TargetClientState &m_State;
  TargetRequest m_Request;
  const std::string m_IdText;
  std::shared_ptr<TargetAnswer> m_Answer;
  std::function<void()> m_Ended;

  CurlLoop::CallId m_Call = 0;
  std::optional<CurlLoop::TimerId> m_SilenceTimer;
  std::optional<CurlLoop::TimerId> m_ResumeTimer; ///< Or of the next probe.
  std::optional<CurlLoop::TimerId> m_PauseTimer;  ///< Set while paused.
  TimePoint m_LastByte;

  /// Incarnation that answered at the address before the dispatch.
  std::optional<Incarnation> m_DispatchIncarnation;
  Fault m_LastFault = Fault::Broken;
  unsigned m_FruitlessResumes = 0;
  unsigned m_ProbesLeft = 0;
  bool m_Resuming = false;
  bool m_HeadGiven = false;
  bool m_EventStream = false;
  bool m_LengthKnown = false; ///< The transport can tell a whole body.
  bool m_FinishSeen = false;  ///< A frame named a finish reason.
  bool m_OtherIncarnation = false;
  bool m_Over = false;
  std::uint64_t m_Offset = 0; ///< Bytes of the body given to the answer.
  SseFrames m_Frames;
  std::size_t m_BytesSinceEvent = 0; ///< Received since the last event.
};

} // namespace mangodeck

#endif
