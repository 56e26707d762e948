#include "standinengine.h"

#include "mangodeck/request/prefixfingerprint.h"
#include "mangodeck/request/problem.h"
#include "mangodeck/testing/standintokens.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <unistd.h>

namespace mangodeck::testing {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t DefaultTokens = 16;
constexpr std::string_view RequestsPath = "/mangodeck/requests/";
constexpr std::string_view OtherId = "ffffffffffffffffffffffffffffffff";
constexpr int CrashExitCode = 134;
constexpr auto AnswerKeepTime = 60s;

std::uint64_t parseNumber(std::string_view Text, int Base = 10) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value, Base);
  return Value;
}

std::string idOf(const CallerRequest &Request) {
  const auto *Id = findHeader(Request.Headers, "X-Request-Id");
  return Id ? *Id : std::string();
}

/// The text that an answer follows from: the prompt, or all contents.
std::string readPrompt(const nlohmann::json &Body) {
  if (Body.contains("prompt"))
    return Body["prompt"].is_string() ? Body["prompt"].get<std::string>()
                                      : Body["prompt"].dump();
  std::string Text;
  for (const auto &Message : Body.value("messages", nlohmann::json::array()))
    Text += Message.value("content", "") + "\n";
  return Text;
}

std::string replaceId(std::string Frame, const std::string &Id) {
  const auto At = Frame.find(Id);
  if (At != std::string::npos)
    Frame.replace(At, Id.size(), OtherId);
  return Frame;
}

} // namespace

/// An answer in production and the connection that it goes to.
struct StandInEngine::Stream {
  std::string Id;
  bool Streaming = false;
  bool Cancelled = false;
  int Status = 200;
  std::vector<std::string> Frames; ///< One for an answer that is not streamed.
  std::size_t Produced = 0;        ///< Frames that exist by now.
  bool Finished = false;
  Duration Prefill{0};
  std::size_t AnswerTokens = 0;
  TokenCount CachedTokens = 0;

  ExchangePtr Exchange;  ///< Null while nobody listens.
  std::size_t Skip = 0;  ///< Bytes that the listener has.
  std::size_t Given = 0; ///< Frames given to the listener.
  bool HeadSent = false;
  bool Resumed = false;
  AnswerFault Fault;
};

StandInEngine::StandInEngine(EngineOptions Options)
    : m_Options(std::move(Options)) {
  if (!m_Options.JournalPath.empty())
    m_Journal = std::fopen(m_Options.JournalPath.c_str(), "a");
}

StandInEngine::~StandInEngine() {
  if (m_Journal)
    std::fclose(m_Journal);
}

void StandInEngine::run() {
  const auto Work = asio::make_work_guard(m_Loop);
  publishLoad();
  m_Loop.run();
}

void StandInEngine::accept(ExchangePtr Exchange) {
  asio::post(m_Loop, [this, Exchange] { route(Exchange); });
}

void StandInEngine::route(const ExchangePtr &Exchange) {
  const std::string_view Path = Exchange->request().Path;
  if (Path.starts_with("/mangodeck/") || Path.starts_with("/standin/"))
    return routeControl(Exchange, Path);
  dispatch(Exchange);
}

void StandInEngine::routeControl(const ExchangePtr &Exchange,
                                 std::string_view Path) {
  const auto &Request = Exchange->request();
  if (Path.starts_with(RequestsPath)) {
    const auto Rest = Path.substr(RequestsPath.size());
    const std::string Id(Rest.substr(0, Rest.find('?')));
    return Request.Method == "DELETE" ? cancel(Exchange, Id)
                                      : resume(Exchange, Id);
  }
  if (Path == "/mangodeck/events")
    return subscribe(Exchange);
  if (Path == "/mangodeck/orders")
    return order(Exchange);
  if (Path == "/standin/dispatches")
    return respondJson(*Exchange, 200, describeDispatches());
  if (Path == "/standin/payments")
    return respondJson(*Exchange, 200, describePayments());
  if (Path == "/standin/faults") {
    const bool WasLeaving = m_Faults.Leaving;
    const auto Error = m_Faults.replace(Request.Body);
    if (m_Faults.Leaving != WasLeaving)
      publishState();
    return respondJson(*Exchange, Error.empty() ? 200 : 400,
                       Json{{"error", Error}}.dump());
  }
  respondJson(*Exchange, 404, "{}");
}

/// Takes a request: counts it, applies the faults of taking, then answers.
void StandInEngine::dispatch(const ExchangePtr &Exchange) {
  const auto &Request = Exchange->request();
  const auto Id = idOf(Request);
  if (m_Faults.Reject || m_RefusedIds.contains(Id)) {
    auto Headers = makeHeaders(Id, "application/json");
    Headers.push_back({"X-Mangodeck-Run", "no"});
    return Exchange->respond(503, Headers, "{}\n");
  }
  ++m_Dispatches[Id];
  m_DispatchesWhileLeaving += m_Faults.Leaving ? 1 : 0;
  writeJournal(Json{{"dispatch", Id}, {"path", Request.Path}}.dump());
  const bool Crashes = !m_Faults.CrashOn.empty() &&
                       Request.Body.find(m_Faults.CrashOn) != std::string::npos;
  if (Crashes)
    ::_exit(CrashExitCode);
  auto Entry = std::make_shared<Stream>();
  Entry->Id = Id;
  m_Streams[Id] = Entry;
  ++m_Running;
  const auto Fault = m_Faults.takeAnswerFault();
  if (m_Options.Plain)
    startPlainAnswer(Exchange, Entry);
  else
    startModelAnswer(Exchange, Entry);
  attach(Entry, Exchange, 0, Fault, false);
  callAfter(std::chrono::milliseconds(Fault.LateMilliseconds),
            [this, Entry] { produce(Entry); });
}

void StandInEngine::startModelAnswer(const ExchangePtr &Exchange,
                                     const StreamPtr &Entry) {
  const auto &Request = Exchange->request();
  const auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
  StandInAnswer Answer;
  Answer.Id = Entry->Id;
  Answer.Chat = Request.Path.starts_with("/v1/chat/");
  if (Body.is_object()) {
    Answer.Model = Body.value("model", "");
    Answer.Prompt = readPrompt(Body);
    Answer.Tokens = Body.value("max_tokens", DefaultTokens);
    Entry->Streaming = Body.value("stream", false);
  }
  Entry->CachedTokens = cachePrompt(Request);
  const auto Prefilled = std::max<TokenCount>(
      estimateTokens(Answer.Prompt) - Entry->CachedTokens, 0);
  Entry->Prefill =
      m_Options.PrefillDelay + m_Options.PrefillPerToken * Prefilled;
  Entry->AnswerTokens = Answer.Tokens;
  if (Entry->Streaming)
    Entry->Frames = makeFrames(Answer);
  else
    Entry->Frames = {makeBody(Answer)};
}

/// Books a payment for each POST; answers anything else with what it
/// understood of it.
void StandInEngine::startPlainAnswer(const ExchangePtr &Exchange,
                                     const StreamPtr &Entry) {
  const auto &Request = Exchange->request();
  if (Request.Method == "POST") {
    const auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
    const Json Payment = {{"payment", m_Payments.size() + 1},
                          {"request", Entry->Id},
                          {"path", Request.Path},
                          {"body", Body.is_discarded() ? "" : Body.dump()}};
    m_Payments.push_back(Payment.dump());
    writeJournal(Payment.dump());
    Entry->Frames = {Payment.dump() + "\n"};
    return;
  }
  const Json Seen = {{"method", Request.Method},
                     {"path", Request.Path},
                     {"bytes", Request.Body.size()}};
  Entry->Frames = {Seen.dump() + "\n"};
}

/// Makes the next frame exist, and comes back for the one after it. The first
/// takes the prefill, an answer in one piece the time of all its tokens.
void StandInEngine::produce(const StreamPtr &Entry) {
  const auto Slow = m_Faults.SlowFactor;
  auto Delay = Entry->Produced == 0 ? Entry->Prefill : m_Options.TokenDelay;
  if (!Entry->Streaming)
    Delay += m_Options.TokenDelay * Entry->AnswerTokens;
  callAfter(fromSeconds(toSeconds(Delay) * Slow), [this, Entry] {
    if (Entry->Cancelled)
      return;
    ++Entry->Produced;
    Entry->Finished = Entry->Produced == Entry->Frames.size();
    deliver(Entry);
    if (!Entry->Finished)
      return produce(Entry);
    --m_Running;
    callAfter(AnswerKeepTime, [this, Entry] { m_Streams.erase(Entry->Id); });
  });
}

/// Makes \p Exchange the listener of an answer, from byte \p From on.
void StandInEngine::attach(const StreamPtr &Entry, const ExchangePtr &Exchange,
                           std::size_t From, const AnswerFault &Fault,
                           bool Resumed) {
  Entry->Exchange = Exchange;
  Entry->Skip = From;
  Entry->Given = 0;
  Entry->HeadSent = false;
  Entry->Resumed = Resumed;
  Entry->Fault = Fault;
  deliver(Entry);
}

/// Gives the listener what it does not have yet.
void StandInEngine::deliver(const StreamPtr &Entry) {
  const auto Exchange = Entry->Exchange;
  if (!Exchange || Entry->Produced == 0)
    return;
  auto Headers =
      makeHeaders(Entry->Fault.ForeignHead ? std::string(OtherId) : Entry->Id,
                  Entry->Streaming ? "text/event-stream" : "application/json");
  if (!m_Options.Plain)
    Headers.push_back({"X-Cached-Tokens", std::to_string(Entry->CachedTokens)});
  if (Entry->Resumed)
    Headers.push_back(
        {"X-Mangodeck-Resumed-From", std::to_string(Entry->Skip)});
  if (!Entry->Streaming) {
    if (applyFault(Entry, 0))
      return;
    Entry->Exchange.reset();
    return Exchange->respond(Entry->Status, Headers,
                             Entry->Frames[0].substr(Entry->Skip));
  }
  if (!Entry->HeadSent)
    Exchange->begin(Entry->Status, Headers);
  Entry->HeadSent = true;
  for (; Entry->Given < Entry->Produced; ++Entry->Given) {
    if (applyFault(Entry, Entry->Given))
      return;
    auto Frame = Entry->Frames[Entry->Given];
    const auto Skipped = std::min(Entry->Skip, Frame.size());
    Entry->Skip -= Skipped;
    const auto &Foreign = Entry->Fault.ForeignAfterFrames;
    if (Foreign && Entry->Given >= *Foreign)
      Frame = replaceId(std::move(Frame), Entry->Id);
    Exchange->write(Frame.substr(Skipped));
  }
  if (!Entry->Finished)
    return;
  if (Entry->Fault.Doubled)
    for (const auto &Frame : Entry->Frames)
      Exchange->write(Frame);
  Exchange->finish();
  Entry->Exchange.reset();
}

/// Applies the fault that is due before frame \p Frame. Returns true if the
/// listener gets nothing more.
bool StandInEngine::applyFault(const StreamPtr &Entry, std::size_t Frame) {
  const auto &Fault = Entry->Fault;
  const auto IsDue = [Frame](const std::optional<std::size_t> &After) {
    return After && Frame >= *After;
  };
  if (IsDue(Fault.DieAfterFrames))
    ::_exit(CrashExitCode);
  if (IsDue(Fault.CutAfterFrames)) {
    Entry->Exchange->abort();
    Entry->Exchange.reset();
    return true;
  }
  return IsDue(Fault.SilentAfterFrames);
}

/// Goes on with an answer from the byte that is asked for. A request that is
/// not known is refused from now on, so that the asker can rely on its not
/// being run; only this incarnation can say so.
void StandInEngine::resume(const ExchangePtr &Exchange, const std::string &Id) {
  const auto It = m_Streams.find(Id);
  if (It != m_Streams.end() && !It->second->Cancelled) {
    const std::string_view Path = Exchange->request().Path;
    const auto Query = Path.find("from=");
    const auto From = Query == std::string_view::npos
                          ? 0
                          : parseNumber(Path.substr(Query + 5));
    return attach(It->second, Exchange, From, m_Faults.takeAnswerFault(), true);
  }
  auto Headers = makeHeaders(Id, "application/json");
  const auto *Asked =
      findHeader(Exchange->request().Headers, "X-Mangodeck-Incarnation");
  if (Asked && parseNumber(*Asked) == m_Options.Started &&
      It == m_Streams.end()) {
    m_RefusedIds.insert(Id);
    Headers.push_back({"X-Mangodeck-Run", "no"});
  }
  Exchange->respond(404, Headers, "{}\n");
}

void StandInEngine::cancel(const ExchangePtr &Exchange, const std::string &Id) {
  const auto It = m_Streams.find(Id);
  if (It == m_Streams.end()) {
    m_RefusedIds.insert(Id);
  } else {
    m_Running -= It->second->Finished || It->second->Cancelled ? 0 : 1;
    It->second->Cancelled = true;
    if (It->second->Exchange)
      It->second->Exchange->abort();
    It->second->Exchange.reset();
  }
  writeJournal(Json{{"cancel", Id}}.dump());
  Exchange->respond(204, makeHeaders(Id, "application/json"), "");
}

/// Takes an order unless a higher fencing number was seen.
void StandInEngine::order(const ExchangePtr &Exchange) {
  const auto Body =
      nlohmann::json::parse(Exchange->request().Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("fence") ||
      !Body["fence"].is_number_unsigned())
    return respondJson(*Exchange, 400, R"({"error":"fence is missing"})");
  const auto Fence = Body["fence"].get<std::uint64_t>();
  const bool Accepted = !m_Options.ChecksFencing || Fence >= m_HighestFence;
  m_HighestFence = std::max(m_HighestFence, Fence);
  if (Accepted) {
    m_Orders.push_back(Body.dump());
    writeJournal(Json{{"order", Body}}.dump());
  }
  respondJson(
      *Exchange, Accepted ? 200 : 409,
      Json{{"accepted", Accepted}, {"highest_fence", m_HighestFence}}.dump());
}

void StandInEngine::subscribe(const ExchangePtr &Exchange) {
  Exchange->begin(200, makeHeaders("", "text/event-stream"));
  Exchange->onHangUp([this, Key = Exchange.get()] {
    asio::post(m_Loop, [this, Key] {
      std::erase_if(m_Subscribers,
                    [Key](const auto &Entry) { return Entry.get() == Key; });
    });
  });
  m_Subscribers.push_back(Exchange);
}

void StandInEngine::publishLoad() {
  const Json Load = {{"incarnation", m_Options.Started},
                     {"age_ms", m_Options.ReportLag / 1ms},
                     {"running", m_Running},
                     {"waiting", 0},
                     {"kv_used", m_Cached.size() * TokensPerPrefixBlock},
                     {"kv_total", m_Options.CacheBlocks * TokensPerPrefixBlock},
                     {"leaving", m_Faults.Leaving}};
  publish("load", Load.dump());
  callAfter(m_Options.ReportPeriod, [this] { publishLoad(); });
}

void StandInEngine::publishState() {
  const Json State = {{"incarnation", m_Options.Started},
                      {"state", m_Faults.Leaving ? "leaving" : "ready"}};
  publish("state", State.dump());
}

void StandInEngine::publish(std::string Event, std::string Data) {
  callAfter(m_Options.ReportLag, [this, Event, Data] {
    for (const auto &Entry : m_Subscribers)
      Entry->write(fmt::format("event: {}\ndata: {}\n\n", Event, Data));
  });
}

/// Puts the prompt's blocks, which the request names, into the cache. Returns
/// the number of its tokens that were there before.
TokenCount StandInEngine::cachePrompt(const CallerRequest &Request) {
  const auto *Text = findHeader(Request.Headers, "X-Mangodeck-Prefix");
  std::vector<std::string> Stored;
  std::vector<std::string> Evicted;
  TokenCount Hits = 0;
  for (std::size_t At = 0; Text && At + 16 <= Text->size(); At += 17) {
    const auto Block = parseNumber(std::string_view(*Text).substr(At, 16), 16);
    if (m_Cached.contains(Block)) {
      m_CacheOrder.remove(Block);
      Hits += TokensPerPrefixBlock;
    } else {
      m_Cached.insert(Block);
      Stored.push_back(fmt::format("{:016x}", Block));
    }
    m_CacheOrder.push_back(Block);
  }
  while (m_Cached.size() > m_Options.CacheBlocks) {
    Evicted.push_back(fmt::format("{:016x}", m_CacheOrder.front()));
    m_Cached.erase(m_CacheOrder.front());
    m_CacheOrder.pop_front();
  }
  if (Stored.empty() && Evicted.empty())
    return Hits;
  const Json Change = {{"incarnation", m_Options.Started},
                       {"sequence", ++m_CacheSequence},
                       {"stored", Stored},
                       {"evicted", Evicted}};
  if (!m_Faults.CacheGap || m_CacheSequence % 2 == 1)
    publish("cache", Change.dump());
  return Hits;
}

std::string StandInEngine::describeDispatches() const {
  Json Requests = Json::object();
  unsigned Most = 0;
  for (const auto &[Id, Count] : m_Dispatches) {
    Requests[Id] = Count;
    Most = std::max(Most, Count);
  }
  return Json{{"name", m_Options.Name},
              {"incarnation", m_Options.Started},
              {"total", m_Dispatches.size()},
              {"most", Most},
              {"while_leaving", m_DispatchesWhileLeaving},
              {"requests", Requests},
              {"orders", m_Orders}}
      .dump();
}

std::string StandInEngine::describePayments() const {
  Json List = Json::array();
  for (const auto &Payment : m_Payments)
    List.push_back(Json::parse(Payment));
  return Json{{"payments", List}}.dump();
}

void StandInEngine::writeJournal(const std::string &Line) {
  if (!m_Journal)
    return;
  fmt::print(m_Journal, "{}\n", Line);
  std::fflush(m_Journal);
}

void StandInEngine::respondJson(CallerExchange &Exchange, int Status,
                                const std::string &Body) const {
  const auto Id = idOf(Exchange.request());
  Exchange.respond(Status, makeHeaders(Id, "application/json"), Body + "\n");
}

std::vector<Header>
StandInEngine::makeHeaders(const std::string &Id,
                           const std::string &ContentType) const {
  std::vector<Header> Headers{
      {"Content-Type", ContentType},
      {"X-Mangodeck-Incarnation", std::to_string(m_Options.Started)}};
  if (!Id.empty())
    Headers.push_back({"X-Request-Id", Id});
  return Headers;
}

void StandInEngine::callAfter(Duration Delay, std::function<void()> Task) {
  auto Timer = std::make_shared<asio::steady_timer>(m_Loop, Delay);
  Timer->async_wait([Timer, Task = std::move(Task)](const auto &Error) {
    if (!Error)
      Task();
  });
}

} // namespace mangodeck::testing
