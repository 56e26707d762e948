#include "etcdclient.h"

#include "mangodeck/common/log.h"

#include <algorithm>

namespace mangodeck {

namespace {

constexpr std::size_t MaxWaiting = 256;
constexpr std::size_t MaxAnswerBytes = std::size_t{64} << 20;
constexpr Duration ConnectTimeout = 1s;
constexpr Duration FirstDelay = 100ms;
constexpr Duration LongestDelay = 5s;
constexpr std::uint32_t MaxDoublings = 6;
/// One lost answer is no outage; so many in a row are.
constexpr std::uint32_t FailuresBeforeBackOff = 3;

constexpr int StatusNotFound = 404;
constexpr int StatusTooManyRequests = 429;

/// The error that a status of the gateway stands for. etcd answers 429 before
/// it does anything, so such a call had no effect.
std::error_code toError(int Status) {
  if (Status == StatusTooManyRequests)
    return Errc::LimitExceeded;
  if (Status == StatusNotFound)
    return Errc::NotFound;
  return Status < 500 ? Errc::InvalidInput : Errc::Unavailable;
}

} // namespace

namespace {

/// Collects the answer of one call and hands it over once.
class AnswerCollector : public HttpCallHandler {
public:
  AnswerCollector(EtcdClient &Client, StoreCallKind Kind,
                  EtcdClient::Answer Done)
      : m_Client(Client), m_Kind(Kind), m_Done(std::move(Done)) {}

  void onHead(int Status, std::vector<Header>) override { m_Status = Status; }

  void onBytes(std::string_view Bytes) override {
    m_Client.noteReceived(Bytes.size());
    if (m_Body.size() + Bytes.size() <= MaxAnswerBytes)
      m_Body += Bytes;
    else
      m_IsTooLarge = true;
  }

  void onDone(const HttpCallEnd &End) override {
    auto Result = judge(End);
    if (!Result)
      m_Client.noteFailedKind(m_Kind);
    m_Done(std::move(Result));
  }

private:
  Expected<std::string> judge(const HttpCallEnd &End) {
    if (End.Code == CURLE_OK && m_Status > 0 && m_Status < 500) {
      m_Client.noteAnswered();
      if (m_IsTooLarge)
        return unexpected(Errc::WrongAnswer);
      if (m_Status == 200)
        return std::move(m_Body);
      return unexpected(toError(m_Status));
    }
    m_Client.noteFailed();
    if (End.Refused)
      return unexpected(Errc::LimitExceeded);
    if (End.Code == CURLE_OPERATION_TIMEDOUT)
      return unexpected(Errc::Timeout);
    return unexpected(Errc::Unavailable);
  }

  EtcdClient &m_Client;
  StoreCallKind m_Kind;
  EtcdClient::Answer m_Done;
  int m_Status = 0;
  bool m_IsTooLarge = false;
  std::string m_Body;
};

} // namespace

EtcdClient::EtcdClient(CurlLoop &Loop, EtcdStoreOptions Options,
                       RandomSource &Random)
    : m_Loop(Loop), m_Options(std::move(Options)), m_Random(Random),
      m_Bucket(m_Options.CallsPerSecond, m_Options.CallBurst) {}

void EtcdClient::call(StoreCallKind Kind, std::string Path, std::string Body,
                      Answer Done) {
  const auto Now = std::chrono::steady_clock::now();
  Waiting Call{Kind, std::move(Path), std::move(Body), std::move(Done),
               Now + m_Options.CallTimeout};
  if (isBackingOff(Now) || m_Waiting.size() >= MaxWaiting)
    limit(Call.Done);
  else if (m_Waiting.empty() && m_Bucket.take(Now))
    send(std::move(Call), Now);
  else {
    m_Waiting.push_back(std::move(Call));
    sendWaiting();
  }
}

/// Sends what the limiter lets pass, in order, and comes back for the rest. A
/// call whose deadline passes here was never sent.
void EtcdClient::sendWaiting() {
  const auto Now = std::chrono::steady_clock::now();
  while (!m_Waiting.empty()) {
    const bool IsLate = m_Waiting.front().Deadline <= Now;
    if (!IsLate && !isBackingOff(Now) && !m_Bucket.take(Now))
      break;
    auto Call = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    if (IsLate || isBackingOff(Now))
      limit(Call.Done);
    else
      send(std::move(Call), Now);
  }
  if (m_Waiting.empty() || m_HasTimer)
    return;
  m_HasTimer = true;
  const auto Delay = std::min<Duration>(m_Bucket.timeToNext(Now),
                                        m_Waiting.front().Deadline - Now);
  m_Loop.callAfter(Delay, [this] {
    m_HasTimer = false;
    sendWaiting();
  });
}

void EtcdClient::limit(const Answer &Done) {
  ++m_Limited;
  Done(unexpected(Errc::LimitExceeded));
}

void EtcdClient::send(Waiting Call, TimePoint Now) {
  auto Http = makeCall(Call.Kind, std::move(Call.Path), std::move(Call.Body));
  Http.TotalTimeout = Call.Deadline - Now;
  m_Loop.start(std::move(Http), std::make_shared<AnswerCollector>(
                                    *this, Call.Kind, std::move(Call.Done)));
}

CurlLoop::CallId
EtcdClient::openStream(StoreCallKind Kind, std::string Path, std::string Body,
                       std::shared_ptr<HttpCallHandler> Handler) {
  m_Bucket.take(std::chrono::steady_clock::now());
  return m_Loop.start(makeCall(Kind, std::move(Path), std::move(Body)),
                      std::move(Handler));
}

HttpCall EtcdClient::makeCall(StoreCallKind Kind, std::string Path,
                              std::string Body) {
  ++m_Sent[static_cast<std::size_t>(Kind)];
  m_BytesSent += Body.size();
  HttpCall Http;
  Http.Method = "POST";
  Http.Url = m_Options.Endpoints[m_Endpoint] + Path;
  Http.Headers = {{"Content-Type", "application/json"}};
  Http.Body = std::move(Body);
  Http.ConnectTimeout = ConnectTimeout;
  return Http;
}

void EtcdClient::noteAnswered() {
  m_Failures = 0;
  if (!m_IsReachable.exchange(true))
    logEvent("store_up", "endpoint={}", m_Options.Endpoints[m_Endpoint]);
}

void EtcdClient::noteFailed() {
  m_Endpoint = (m_Endpoint + 1) % m_Options.Endpoints.size();
  ++m_Failures;
  if (m_Failures < FailuresBeforeBackOff)
    return;
  m_BackOffUntil = std::chrono::steady_clock::now() +
                   jitteredDelay(m_Failures - FailuresBeforeBackOff);
  if (m_IsReachable.exchange(false))
    logEvent("store_down", "failures={}", m_Failures);
}

bool EtcdClient::isBackingOff(TimePoint Now) const {
  return m_Failures >= FailuresBeforeBackOff && Now < m_BackOffUntil;
}

Duration EtcdClient::jitteredDelay(std::uint32_t Attempt) {
  const auto Full = std::min<Duration>(
      LongestDelay, FirstDelay * (1U << std::min(Attempt, MaxDoublings)));
  return fromSeconds(toSeconds(Full) * (0.5 + 0.5 * m_Random.uniform()));
}

StoreCallCounts EtcdClient::counts() const {
  StoreCallCounts Result;
  for (std::size_t I = 0; I < StoreCallKinds; ++I) {
    Result.Sent[I] = m_Sent[I];
    Result.Failed[I] = m_Failed[I];
  }
  Result.Limited = m_Limited;
  Result.BytesSent = m_BytesSent;
  Result.BytesReceived = m_BytesReceived;
  Result.IsReachable = m_IsReachable;
  return Result;
}

} // namespace mangodeck
