#include "mangodeck/connection/httptargetwatcher.h"

#include "curlloop.h"
#include "mangodeck/http/sseframes.h"
#include "targetevents.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <optional>
#include <unordered_map>

namespace mangodeck {

namespace {

constexpr std::size_t MaxEventBytes = std::size_t{1} << 20;
constexpr unsigned MaxDelayDoublings = 10;

/// Follows one target, on the loop's thread.
class TargetFollower : public HttpCallHandler,
                       public std::enable_shared_from_this<TargetFollower> {
public:
  TargetFollower(CurlLoop &Loop, const TargetWatcherOptions &Options,
                 TargetReportHandler &Handler, TargetName Target,
                 std::string Address)
      : m_Loop(Loop), m_Options(Options), m_Handler(Handler),
        m_Target(std::move(Target)), m_Address(std::move(Address)) {}

  const std::string &address() const { return m_Address; }

  void connect() {
    m_RetryTimer.reset();
    HttpCall Call;
    Call.Method = "GET";
    Call.Url = "http://" + m_Address + "/mangodeck/events";
    Call.Headers.push_back({"Accept", "text/event-stream"});
    Call.ConnectTimeout = m_Options.ConnectTimeout;
    m_Frames.clear();
    m_Answered = false;
    m_Following = false;
    m_Call = m_Loop.start(std::move(Call), shared_from_this());
    touch();
    watchSilence();
  }

  void stop() {
    dropCall();
    if (m_RetryTimer)
      m_Loop.cancelTimer(*m_RetryTimer);
    m_RetryTimer.reset();
  }

  void onHead(int Status, std::vector<Header> Headers) override {
    touch();
    m_Answered = true;
    m_Failures = 0;
    const auto *Type = findHeader(Headers, "Content-Type");
    m_Following =
        Status == 200 && Type && Type->starts_with("text/event-stream");
    reportUp(readIncarnation(Headers));
  }

  void onBytes(std::string_view Bytes) override {
    touch();
    if (!m_Following)
      return;
    m_Frames.append(Bytes);
    while (const auto Frame = m_Frames.next())
      report(*Frame);
    if (m_Frames.pendingBytes() > MaxEventBytes)
      endConnection();
  }

  /// A target that answers without publishing events is up for as long as it
  /// answers.
  void onDone(const HttpCallEnd &) override {
    m_Call = 0;
    if (m_Answered && !m_Following)
      return retryAfter(m_Options.ProbePeriod);
    endConnection();
  }

private:
  enum class State : std::uint8_t { Unknown, Up, Down };

  static Incarnation readIncarnation(std::span<const Header> Headers) {
    Incarnation Value = 0;
    if (const auto *Text = findHeader(Headers, "X-Mangodeck-Incarnation"))
      std::from_chars(Text->data(), Text->data() + Text->size(), Value);
    return Value;
  }

  void touch() { m_LastByte = std::chrono::steady_clock::now(); }

  /// A later start of the target's process is reported as down, then up.
  void reportUp(Incarnation Started) {
    if (m_State == State::Up && m_LastLoad.TargetIncarnation == Started)
      return;
    if (m_State == State::Up)
      reportDown();
    m_State = State::Up;
    m_LastLoad = {};
    m_LastLoad.Target = m_Target;
    m_LastLoad.TargetIncarnation = Started;
    m_Handler.onUp(m_Target, Started);
  }

  void reportDown() {
    if (m_State == State::Down)
      return;
    m_State = State::Down;
    m_Handler.onDown(m_Target);
  }

  void report(std::string_view Frame) {
    auto Event = parseTargetEvent(findSseField(Frame, "event"),
                                  findSseField(Frame, "data"));
    if (!Event)
      return;
    if (auto *Load = std::get_if<LoadReport>(&*Event)) {
      Load->Target = m_Target;
      m_LastLoad = *Load;
      m_Handler.onLoad(*Load);
    } else if (auto *Cache = std::get_if<CacheEvent>(&*Event)) {
      Cache->Target = m_Target;
      m_Handler.onCache(*Cache);
    } else if (const auto *Change = std::get_if<StateChange>(&*Event)) {
      reportState(*Change);
    }
  }

  /// Sends the last load report again with the new state.
  void reportState(const StateChange &Change) {
    if (m_LastLoad.Leaving == Change.Leaving)
      return;
    m_LastLoad.Leaving = Change.Leaving;
    m_Handler.onLoad(m_LastLoad);
  }

  /// A connection that was answered is replaced without a report; one that
  /// brought no answer shows that the target is down.
  void endConnection() {
    if (!m_Answered) {
      ++m_Failures;
      reportDown();
    }
    const auto Doublings = std::min(m_Failures, MaxDelayDoublings);
    const auto Delay = m_Options.ReconnectDelay * (1 << Doublings);
    retryAfter(std::min<Duration>(Delay, m_Options.MaxReconnectDelay));
  }

  void retryAfter(Duration Delay) {
    dropCall();
    m_RetryTimer = m_Loop.callAfter(
        Delay, [Self = shared_from_this()] { Self->connect(); });
  }

  void watchSilence() {
    const auto Silent = std::chrono::steady_clock::now() - m_LastByte;
    const auto Left = std::max<Duration>(m_Options.Silence - Silent, 1ms);
    m_SilenceTimer = m_Loop.callAfter(
        Left, [Self = shared_from_this()] { Self->onSilenceTimer(); });
  }

  void onSilenceTimer() {
    m_SilenceTimer.reset();
    if (m_Call == 0)
      return;
    if (std::chrono::steady_clock::now() - m_LastByte < m_Options.Silence)
      return watchSilence();
    endConnection();
  }

  void dropCall() {
    if (m_Call != 0)
      m_Loop.stop(m_Call);
    m_Call = 0;
    if (m_SilenceTimer)
      m_Loop.cancelTimer(*m_SilenceTimer);
    m_SilenceTimer.reset();
  }

  CurlLoop &m_Loop;
  const TargetWatcherOptions &m_Options;
  TargetReportHandler &m_Handler;
  const TargetName m_Target;
  const std::string m_Address;

  CurlLoop::CallId m_Call = 0;
  std::optional<CurlLoop::TimerId> m_SilenceTimer;
  std::optional<CurlLoop::TimerId> m_RetryTimer;
  TimePoint m_LastByte;
  SseFrames m_Frames;
  bool m_Answered = false;  ///< The connection brought an answer.
  bool m_Following = false; ///< The connection is an event stream.
  State m_State = State::Unknown;
  unsigned m_Failures = 0; ///< Connections in a row without an answer.
  LoadReport m_LastLoad;
};

} // namespace

class HttpTargetWatcher::Impl {
public:
  Impl(TargetWatcherOptions Options, TargetReportHandler &Handler)
      : m_Options(Options), m_Handler(Handler) {}

  void watch(const TargetName &Target, const std::string &Address) {
    m_Loop.post([this, Target, Address] {
      auto &Entry = m_Followers[Target];
      if (Entry && Entry->address() == Address)
        return;
      if (Entry)
        Entry->stop();
      Entry = std::make_shared<TargetFollower>(m_Loop, m_Options, m_Handler,
                                               Target, Address);
      Entry->connect();
    });
  }

  void unwatch(const TargetName &Target) {
    m_Loop.post([this, Target] {
      const auto It = m_Followers.find(Target);
      if (It == m_Followers.end())
        return;
      It->second->stop();
      m_Followers.erase(It);
    });
  }

private:
  const TargetWatcherOptions m_Options;
  TargetReportHandler &m_Handler;
  std::unordered_map<TargetName, std::shared_ptr<TargetFollower>> m_Followers;
  // Last, so that its thread ends before what it uses.
  CurlLoop m_Loop;
};

HttpTargetWatcher::HttpTargetWatcher(TargetWatcherOptions Options,
                                     TargetReportHandler &Handler)
    : m_Impl(std::make_unique<Impl>(Options, Handler)) {}

HttpTargetWatcher::~HttpTargetWatcher() = default;

void HttpTargetWatcher::watch(const TargetName &Target,
                              const std::string &Address) {
  m_Impl->watch(Target, Address);
}

void HttpTargetWatcher::unwatch(const TargetName &Target) {
  m_Impl->unwatch(Target);
}

} // namespace mangodeck
