#include "targetexchange.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace mangodeck {

namespace {

constexpr std::string_view RequestIdHeader = "X-Request-Id";
constexpr std::string_view IncarnationHeader = "X-Mangodeck-Incarnation";
constexpr std::string_view ResumedFromHeader = "X-Mangodeck-Resumed-From";
constexpr std::string_view RunHeaderName = "X-Mangodeck-Run";
constexpr std::string_view EndOfStream = "[DONE]";
constexpr auto CancelTimeout = 5s;
constexpr auto ProbeTimeout = 1s;
constexpr auto ProbeDelay = 50ms;
constexpr unsigned MaxProbes = 5;
constexpr auto PausePollPeriod = 10ms;

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

/// True for an answer that says that the request was not taken.
bool saysNotRun(std::span<const Header> Headers) {
  const auto *Value = findHeader(Headers, RunHeaderName);
  return Value && *Value == "no";
}

bool isEventStream(std::span<const Header> Headers) {
  const auto *Type = findHeader(Headers, "Content-Type");
  return Type && Type->starts_with("text/event-stream");
}

bool hasNoBody(int Status, std::string_view Method) {
  return Status == 204 || Status == 304 || Method == "HEAD";
}

bool namesFinishReason(std::string_view Data) {
  return Data.find("\"finish_reason\":\"") != std::string_view::npos ||
         Data.find("\"finish_reason\": \"") != std::string_view::npos;
}

/// Ignores the answer to a cancellation.
class IgnoringHandler : public HttpCallHandler {
public:
  void onHead(int, std::vector<Header>) override {}
  void onBytes(std::string_view) override {}
  void onDone(const HttpCallEnd &) override {}
};

/// Tells what a new connection to the target shows: its answer's headers, or
/// how the connection ended without an answer.
class ProbeHandler : public IgnoringHandler {
public:
  using Answered = std::function<void(std::span<const Header>)>;
  using Failed = std::function<void(const HttpCallEnd &)>;

  ProbeHandler(Answered OnAnswer, Failed OnFailure)
      : m_OnAnswer(std::move(OnAnswer)), m_OnFailure(std::move(OnFailure)) {}

  void onHead(int, std::vector<Header> Headers) override {
    m_OnAnswer(Headers);
  }
  void onDone(const HttpCallEnd &End) override { m_OnFailure(End); }

private:
  Answered m_OnAnswer;
  Failed m_OnFailure;
};

} // namespace

TargetExchange::TargetExchange(CurlLoop &Loop, TargetClientState &State,
                               TargetRequest Request,
                               std::shared_ptr<TargetAnswer> Answer,
                               std::function<void()> Ended)
    : m_Loop(Loop), m_State(State), m_Request(std::move(Request)),
      m_IdText(toString(m_Request.Id)), m_Answer(std::move(Answer)),
      m_Ended(std::move(Ended)) {}

void TargetExchange::dispatch() {
  const auto Known = m_State.Incarnations.find(m_Request.Address);
  if (Known != m_State.Incarnations.end())
    m_DispatchIncarnation = Known->second;
  auto Call = makeCall(m_Request.Method, m_Request.Path);
  Call.Headers.insert(Call.Headers.end(), m_Request.Headers.begin(),
                      m_Request.Headers.end());
  Call.Body = std::move(m_Request.Body);
  ++m_State.Dispatched;
  m_LastByte = std::chrono::steady_clock::now();
  m_Call = m_Loop.start(std::move(Call), shared_from_this());
  watchSilence();
}

void TargetExchange::cancel() {
  if (m_Over)
    return;
  auto Call = makeCall("DELETE", streamPath());
  Call.TotalTimeout = CancelTimeout;
  m_Loop.start(std::move(Call), std::make_shared<IgnoringHandler>());
  end(TargetEnd::Cancelled, false);
}

void TargetExchange::onHead(int Status, std::vector<Header> Headers) {
  m_LastByte = std::chrono::steady_clock::now();
  if (m_Resuming)
    onResumeHead(Status, std::move(Headers));
  else
    onDispatchHead(Status, std::move(Headers));
}

void TargetExchange::onDispatchHead(int Status, std::vector<Header> Headers) {
  noteIncarnation(Headers);
  if (!isOwnAnswer(Headers))
    return recover(Fault::WrongAnswer);
  if (Status >= 400 && saysNotRun(Headers))
    return end(TargetEnd::Rejected, false);
  acceptHead(Status, std::move(Headers));
}

/// A target that goes on says from where. One that does not know the request
/// may say that it never ran it and never will; that is believed only if the
/// same incarnation had answered before the dispatch, because a later one
/// cannot know.
void TargetExchange::onResumeHead(int Status, std::vector<Header> Headers) {
  const auto Answering = noteIncarnation(Headers);
  if (!isOwnAnswer(Headers))
    return recover(Fault::WrongAnswer);
  const auto *From = findHeader(Headers, ResumedFromHeader);
  if (From && parseNumber(*From) == m_Offset) {
    ++m_State.Resumed;
    if (Answering)
      m_DispatchIncarnation = Answering; // It has the request.
    m_Answer->onResumed();
    return acceptHead(Status, std::move(Headers));
  }
  const bool SameProcess =
      m_DispatchIncarnation && Answering == m_DispatchIncarnation;
  if (saysNotRun(Headers) && SameProcess && !m_HeadGiven)
    return end(TargetEnd::Rejected, false);
  if (Status == 404)
    return probeAndEnd(TargetEnd::Broken);
  recover(Fault::Broken);
}

void TargetExchange::acceptHead(int Status, std::vector<Header> Headers) {
  m_EventStream = Status < 400 && isEventStream(Headers);
  m_LengthKnown = findHeader(Headers, "Content-Length") ||
                  findHeader(Headers, "Transfer-Encoding") ||
                  hasNoBody(Status, m_Request.Method);
  if (m_HeadGiven)
    return;
  m_HeadGiven = true;
  m_Answer->onHead(Status, Headers);
}

void TargetExchange::onBytes(std::string_view Bytes) {
  m_LastByte = std::chrono::steady_clock::now();
  if (!m_EventStream)
    return giveBody(Bytes);
  m_Frames.append(Bytes);
  m_BytesSinceEvent += Bytes.size();
  const auto Call = m_Call;
  while (!m_Over && m_Call == Call) {
    const auto Frame = m_Frames.next();
    if (!Frame)
      break;
    onFrame(*Frame);
  }
  // Comments without end keep nothing, but would hold the request forever.
  if (!m_Over && m_Call == Call &&
      m_BytesSinceEvent > m_State.Options.MaxFrameBytes)
    recover(Fault::Broken);
}

/// Gives a whole frame on if it carries the request's id. Comments, which keep
/// a connection alive, are no part of the stream. The end mark carries no id;
/// it counts only after a frame that named a finish reason.
void TargetExchange::onFrame(std::string_view Frame) {
  const auto Data = findSseField(Frame, "data");
  if (Data.empty())
    return;
  const bool Last = Data == EndOfStream;
  if (Last && !m_FinishSeen)
    return recover(Fault::Broken);
  if (!Last && !carriesOwnId(Data))
    return recover(Fault::WrongAnswer);
  m_BytesSinceEvent = m_Frames.pendingBytes();
  m_FinishSeen = m_FinishSeen || namesFinishReason(Data);
  giveBody(Frame);
  if (Last)
    end(TargetEnd::Completed, false);
}

void TargetExchange::giveBody(std::string_view Bytes) {
  m_Offset += Bytes.size();
  m_FruitlessResumes = 0;
  m_Answer->onBody(Bytes);
  if (!m_PauseTimer)
    watchReceiver();
}

/// Stops reading while the receiver holds too much, so that a slow caller does
/// not fill the memory.
void TargetExchange::watchReceiver() {
  const bool WasPaused = m_PauseTimer.has_value();
  m_PauseTimer.reset();
  if (m_Over || m_Call == 0)
    return;
  const bool Full = m_Answer->pendingBytes() > m_State.Options.MaxPendingBytes;
  m_LastByte = std::chrono::steady_clock::now();
  if (Full != WasPaused)
    m_Loop.setPaused(m_Call, Full);
  if (Full)
    m_PauseTimer =
        m_Loop.callAfter(PausePollPeriod, [Self = shared_from_this()] {
          Self->watchReceiver();
        });
}

void TargetExchange::onDone(const HttpCallEnd &End) {
  m_Call = 0;
  if (!m_Resuming && !End.Connected && !End.Sent)
    return end(TargetEnd::NotDelivered, End.Refused);
  if (m_Resuming && End.Refused)
    return end(TargetEnd::Broken, true);
  const bool Whole = End.Code == CURLE_OK && m_LengthKnown && !m_EventStream;
  if (Whole && m_HeadGiven)
    return end(TargetEnd::Completed, false);
  recover(Fault::Broken);
}

/// The compact form is looked for first; anything else is parsed.
bool TargetExchange::carriesOwnId(std::string_view Data) const {
  const auto Compact = fmt::format("\"id\":\"{}\"", m_IdText);
  if (Data.find(Compact) != std::string_view::npos)
    return true;
  const auto Parsed = nlohmann::json::parse(Data, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("id"))
    return false;
  const auto &Id = Parsed["id"];
  return Id.is_string() && Id.get_ref<const std::string &>() == m_IdText;
}

bool TargetExchange::isOwnAnswer(std::span<const Header> Headers) const {
  const auto *Id = findHeader(Headers, RequestIdHeader);
  return Id && *Id == m_IdText;
}

/// Remembers which incarnation answers at the address, and whether it is
/// another one than that which got the request.
std::optional<Incarnation>
TargetExchange::noteIncarnation(std::span<const Header> Headers) {
  const auto *Text = findHeader(Headers, IncarnationHeader);
  const auto Value = Text ? parseNumber(*Text) : std::nullopt;
  if (!Value)
    return std::nullopt;
  m_State.Incarnations[m_Request.Address] = *Value;
  if (!m_Resuming)
    m_DispatchIncarnation = *Value;
  m_OtherIncarnation = m_DispatchIncarnation && *Value != m_DispatchIncarnation;
  return Value;
}

/// The answer broke off or was another request's. A streaming one is asked for
/// again at the same target from the first byte that is missing; the request
/// itself is never sent again.
void TargetExchange::recover(Fault Cause) {
  if (m_Over)
    return;
  m_LastFault = Cause;
  if (Cause == Fault::WrongAnswer)
    ++m_State.WrongAnswers;
  dropCall();
  const auto &Options = m_State.Options;
  const bool MayResume = m_Request.Streaming &&
                         (!m_HeadGiven || m_EventStream) &&
                         m_FruitlessResumes < Options.MaxFruitlessResumes;
  if (!MayResume) {
    return probeAndEnd(Cause == Fault::WrongAnswer ? TargetEnd::WrongAnswer
                                                   : TargetEnd::Broken);
  }
  const auto Delay = std::min<Duration>(
      Options.ResumeDelay * (1 << m_FruitlessResumes), Options.MaxResumeDelay);
  ++m_FruitlessResumes;
  m_ResumeTimer =
      m_Loop.callAfter(Delay, [Self = shared_from_this()] { Self->resume(); });
}

void TargetExchange::resume() {
  m_ResumeTimer.reset();
  if (m_Over)
    return;
  m_Resuming = true;
  m_LastByte = std::chrono::steady_clock::now();
  auto Call =
      makeCall("GET", fmt::format("{}?from={}", streamPath(), m_Offset));
  if (m_DispatchIncarnation)
    Call.Headers.push_back({std::string(IncarnationHeader),
                            std::to_string(*m_DispatchIncarnation)});
  m_Call = m_Loop.start(std::move(Call), shared_from_this());
  watchSilence();
}

Duration TargetExchange::silenceLimit() const {
  const auto &Options = m_State.Options;
  if (!m_Request.Streaming)
    return Options.AnswerSilence;
  return m_HeadGiven ? Options.StreamSilence : Options.HeadSilence;
}

void TargetExchange::watchSilence() {
  if (m_SilenceTimer)
    m_Loop.cancelTimer(*m_SilenceTimer);
  const auto Limit = silenceLimit();
  const auto Silent = std::chrono::steady_clock::now() - m_LastByte;
  m_SilenceTimer =
      m_Loop.callAfter(std::max<Duration>(Limit - Silent, 1ms),
                       [Self = shared_from_this()] { Self->onSilenceTimer(); });
}

void TargetExchange::onSilenceTimer() {
  m_SilenceTimer.reset();
  if (m_Over || m_Call == 0)
    return;
  if (std::chrono::steady_clock::now() - m_LastByte < silenceLimit())
    return watchSilence();
  recover(Fault::Broken);
}

void TargetExchange::dropCall() {
  if (m_Call != 0)
    m_Loop.stop(m_Call);
  m_Call = 0;
  m_Frames.clear();
  m_BytesSinceEvent = 0;
  if (m_SilenceTimer)
    m_Loop.cancelTimer(*m_SilenceTimer);
  m_SilenceTimer.reset();
  if (m_PauseTimer)
    m_Loop.cancelTimer(*m_PauseTimer);
  m_PauseTimer.reset();
}

/// Ends the exchange after a new connection has shown whether the target's
/// process is gone: the connection is refused, or another incarnation answers.
void TargetExchange::probeAndEnd(TargetEnd End) {
  dropCall();
  if (m_OtherIncarnation)
    return end(End, true);
  m_ProbesLeft = MaxProbes;
  probe(End);
}

/// A process that is dying may still take a connection and close it without an
/// answer; that is asked again.
void TargetExchange::probe(TargetEnd End) {
  if (m_Over)
    return;
  --m_ProbesLeft;
  m_Resuming = true;
  auto Call = makeCall("GET", "/mangodeck/events");
  Call.ConnectTimeout = ProbeTimeout;
  Call.TotalTimeout = ProbeTimeout;
  const auto Self = shared_from_this();
  m_Call = m_Loop.start(std::move(Call),
                        std::make_shared<ProbeHandler>(
                            [Self, End](std::span<const Header> Headers) {
                              Self->noteIncarnation(Headers);
                              Self->end(End, Self->m_OtherIncarnation);
                            },
                            [Self, End](const HttpCallEnd &Failure) {
                              Self->onProbeFailed(End, Failure);
                            }));
}

void TargetExchange::onProbeFailed(TargetEnd End, const HttpCallEnd &Failure) {
  m_Call = 0;
  const bool Silent = Failure.Code == CURLE_OPERATION_TIMEDOUT;
  if (Failure.Refused || Silent || m_ProbesLeft == 0)
    return end(End, Failure.Refused);
  m_ResumeTimer = m_Loop.callAfter(
      ProbeDelay, [Self = shared_from_this(), End] { Self->probe(End); });
}

void TargetExchange::end(TargetEnd End, bool Gone) {
  if (m_Over)
    return;
  m_Over = true;
  dropCall();
  if (m_ResumeTimer)
    m_Loop.cancelTimer(*m_ResumeTimer);
  if (End == TargetEnd::NotDelivered)
    ++m_State.NotDelivered;
  if (End == TargetEnd::Broken)
    ++m_State.Broken;
  const auto Answer = std::move(m_Answer);
  Answer->onEnd(End, Gone);
  m_Ended();
}

HttpCall TargetExchange::makeCall(std::string Method, std::string Path) const {
  HttpCall Call;
  Call.Method = std::move(Method);
  Call.Url = "http://" + m_Request.Address + Path;
  Call.Headers.push_back({std::string(RequestIdHeader), m_IdText});
  Call.ConnectTimeout = m_State.Options.ConnectTimeout;
  return Call;
}

std::string TargetExchange::streamPath() const {
  return "/mangodeck/requests/" + m_IdText;
}

} // namespace mangodeck
