#include "soaktarget.h"

#include <fmt/format.h>

namespace mangodeck::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds PlainWork{8};
constexpr milliseconds EventPause{12};
constexpr milliseconds SlowEventPause{40};
/// A leaving target gets nothing more after this time; the platform's bound
/// and a margin for a loaded machine.
constexpr milliseconds DrainBound{2000 + 2000};
/// Requests that may arrive within a pause: up to PauseLeadTime after its start
/// any number, later MaxRequestsInPause.
constexpr milliseconds PauseLeadTime{500};
constexpr unsigned MaxRequestsInPause = 2;

/// The platform's bound on the requests from daemons that were told a rate
/// limit LimitLeadTime before: in LimitWindow one and a half times the limit
/// and LimitSlack requests.
constexpr std::chrono::seconds LimitWindow{4};
constexpr milliseconds LimitLeadTime{500};
constexpr std::size_t LimitSlack = 5;

/// Time after which a target ends over a request, and for which it is away.
constexpr milliseconds CrashDelay{10};
constexpr milliseconds RestartTime{500};

/// One in this many starts of a target is of a version that is drawn anew.
constexpr unsigned VersionChangeDivisor = 2;
constexpr unsigned VersionCount = 2;

/// One in this many targets answers with errors, and one begins streams late.
constexpr unsigned OddTargets = 3;
constexpr unsigned MaxErrorPercent = 30;
constexpr milliseconds LateHeadDelay{400};

/// Lists a request as running at a target.
class RunningRequest {
public:
  RunningRequest(std::mutex &Mutex, std::set<std::string> &Running,
                 std::string Id)
      : m_Mutex(Mutex), m_Running(Running), m_Id(std::move(Id)) {
    const std::lock_guard Lock(m_Mutex);
    m_Running.insert(m_Id);
  }
  ~RunningRequest() {
    const std::lock_guard Lock(m_Mutex);
    m_Running.erase(m_Id);
  }
  RunningRequest(const RunningRequest &) = delete;
  RunningRequest &operator=(const RunningRequest &) = delete;

private:
  std::mutex &m_Mutex;
  std::set<std::string> &m_Running;
  std::string m_Id;
};

std::string fieldsOf(const std::string &Id, const std::string &State) {
  return fmt::format("X-Mangodeck-Attempt-Id: {}\r\n"
                     "X-Mangodeck-Response-Stamp: {}\r\n{}",
                     Id, Id, State);
}

std::string headOf(const std::string &Id, const std::string &State) {
  return "HTTP/1.1 200 OK\r\n" + fieldsOf(Id, State);
}

/// An error that the target's own state does not show in.
std::string errorOf(const std::string &Id) {
  return fmt::format("HTTP/1.1 500 E\r\nX-Mangodeck-Attempt-Id: {}\r\n"
                     "X-Mangodeck-Response-Stamp: {}\r\n"
                     "Content-Length: 0\r\n\r\n",
                     Id, Id);
}

std::string rejectionOf(const std::string &Id, const std::string &Fields) {
  return fmt::format("HTTP/1.1 503 S\r\nX-Mangodeck-Attempt-Id: {}\r\n"
                     "X-Mangodeck-Not-Executed: 1\r\n{}"
                     "Content-Length: 0\r\n\r\n",
                     Id, Fields);
}

} // namespace

std::string bodyOf(const std::string &Id) { return "answer to " + Id; }

std::string eventOf(int Number, const std::string &Stream,
                    const std::string &Version) {
  return fmt::format("id: {}\ndata: {} {}\n\n", Number, Stream, Version);
}

SoakTarget::SoakTarget(std::string Id, std::string Domain, SoakLedger &Ledger,
                       SoakStore &Store, const std::atomic<bool> &Calm,
                       std::uint64_t Seed, bool KeepsId, std::string Service)
    : m_Id(std::move(Id)), m_KeepsId(KeepsId), m_Domain(std::move(Domain)),
      m_Service(std::move(Service)), m_Ledger(Ledger), m_Store(Store),
      m_Calm(Calm), m_Random(Seed),
      m_Version(fmt::format("v{}", 1 + draw(VersionCount))), m_Odd(Seed),
      m_ErrorPercent(draw(OddTargets) == 0 ? draw(MaxErrorPercent) : 0),
      m_HeadDelay(draw(OddTargets) == 0 ? LateHeadDelay : milliseconds{0}),
      m_Server("127.0.0.1", [this](Socket &Caller) { serve(Caller); }),
      m_Link("127.0.0.1", "127.0.0.1", m_Server.port()) {}

void SoakTarget::announce(bool Draining) {
  {
    const std::lock_guard Lock(m_RegisterMutex);
    if (Draining)
      m_DrainingSince = Clock::now().time_since_epoch().count();
    if (Draining || (m_DrainingSince == 0 && !m_LeavingByAnswers))
      return registerAs(Draining ? "draining" : "ready");
  }
  {
    const std::lock_guard Lock(m_Mutex);
    m_Ledger.noteBrokenOff(std::exchange(m_Running, {}));
  }
  restart();
}

void SoakTarget::restart() {
  m_Ledger.noteServing(m_Id, "");
  m_Link.closeFor(RestartTime);
  std::this_thread::sleep_for(RestartTime);
  const std::lock_guard Lock(m_RegisterMutex);
  const auto Before = id();
  startAnew();
  if (id() != Before)
    m_Store.remove("servers/" + Before);
  registerAs("ready");
}

void SoakTarget::startAnew() {
  const std::lock_guard Lock(m_Mutex);
  m_DrainingSince = 0;
  m_LeavingByAnswers = false;
  m_Told.clear();
  m_LimitedArrivals.clear();
  ++m_Start;
  m_Sequence = 0;
  if (m_Random() % VersionChangeDivisor != 0)
    return;
  m_Version = fmt::format("v{}", 1 + m_Random() % VersionCount);
  m_IdNumber += m_KeepsId ? 0 : 1;
}

std::string SoakTarget::id() const {
  const unsigned Number = m_IdNumber;
  return Number == 0 ? m_Id : fmt::format("{}.{}", m_Id, Number);
}

bool SoakTarget::isLimited() {
  const std::lock_guard Lock(m_Mutex);
  return m_LimitPerSecond > 0;
}

std::string SoakTarget::version() {
  const std::lock_guard Lock(m_Mutex);
  return m_Version;
}

void SoakTarget::registerAs(const std::string &State) {
  const auto Version = version();
  m_Ledger.noteServing(m_Id, State == "ready" && !isLimited() ? Version : "");
  m_Store.put(
      "servers/" + id(),
      nlohmann::json{{"Service", m_Service},
                     {"Address", fmt::format("127.0.0.1:{}", m_Link.port())},
                     {"Zone", m_Domain},
                     {"Version", Version},
                     {"Slots", 8},
                     {"State", State},
                     {"Sequence", ++m_Sequence},
                     {"born", m_Start.load()}}
          .dump());
}

void SoakTarget::rejectFor(milliseconds Pause) {
  m_Ledger.noteServing(m_Id, "");
  m_RejectUntil = (Clock::now() + Pause).time_since_epoch().count();
}

void SoakTarget::limitRate(unsigned PerSecond) {
  const std::lock_guard Lock(m_Mutex);
  m_LimitPerSecond = PerSecond;
  if (PerSecond > 0)
    m_Ledger.noteServing(m_Id, "");
  ++m_LimitNumber;
  m_LimitedArrivals.clear();
}

void SoakTarget::setLinkFault(LinkFault Fault) {
  m_LinkExcusedUntil =
      Fault == LinkFault::None
          ? (Clock::now() + ExcuseTime).time_since_epoch().count()
          : Clock::time_point::max().time_since_epoch().count();
  m_Link.setFault(Fault);
}

std::string SoakTarget::limitName() const {
  return fmt::format("{}#{}#{}", m_Id, m_Start.load(), m_LimitNumber);
}

void SoakTarget::checkRate(const std::string &Id) {
  const auto Now = Clock::now();
  const std::lock_guard Lock(m_Mutex);
  const auto ToldAt = m_Ledger.limitToldAt(Id, limitName());
  if (m_LimitPerSecond == 0 || !ToldAt || Now < *ToldAt + LimitLeadTime ||
      Now.time_since_epoch().count() < m_LinkExcusedUntil ||
      m_Ledger.isExcused(Id))
    return;
  m_LimitedArrivals.push_back(Now);
  while (m_LimitedArrivals.front() <= Now - LimitWindow)
    m_LimitedArrivals.pop_front();
  const auto Allowed = LimitWindow.count() * m_LimitPerSecond * 3 / 2;
  if (m_LimitedArrivals.size() > Allowed + LimitSlack)
    m_Ledger.noteBroken(fmt::format("rate limit: {} is request {} in 4 s at {},"
                                    " limit {} a second, {}",
                                    Id, m_LimitedArrivals.size(), m_Id,
                                    m_LimitPerSecond,
                                    m_Calm ? "calm" : "faults"));
}

void SoakTarget::checkTold(const std::string &Id) {
  checkRate(Id);
  const auto Now = Clock::now();
  const auto Daemon = m_Ledger.daemonOf(Id);
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Told.find(Daemon);
  if (Found == m_Told.end() || !m_Calm)
    return;
  auto &Told = Found->second;
  if (Told.LeavingSince != Clock::time_point{} &&
      Now > Told.LeavingSince + DrainBound)
    m_Ledger.noteBroken("drain by answer: " + Id + " reached " + m_Id);
  if (Now > Told.PauseSince + PauseLeadTime && Now < Told.PauseUntil &&
      ++Told.RequestsInPause > MaxRequestsInPause)
    m_Ledger.noteBroken("pause: " + Id + " reached " + m_Id);
}

std::string SoakTarget::stateFields(const std::string &Id) {
  const auto Daemon = m_Ledger.daemonOf(Id);
  const std::lock_guard Lock(m_Mutex);
  auto &Told = m_Told[Daemon];
  // An answer that is sent while links fail may not reach the daemon.
  const auto NoteTold = [&](Clock::time_point &Since) {
    if (m_Calm && Since == Clock::time_point{})
      Since = Clock::now();
  };
  std::string Fields;
  if (m_LeavingByAnswers) {
    NoteTold(Told.LeavingSince);
    Fields += "Server-Leaving: 1\r\n";
  }
  if (m_LimitPerSecond > 0)
    Fields += fmt::format("Server-Limit: {}\r\n{}: {}\r\n", m_LimitPerSecond,
                          LimitedTargetField, limitName());
  return Fields;
}

bool SoakTarget::reject(Socket &Caller, const std::string &Id) {
  const auto Now = Clock::now();
  const Clock::time_point Until{Clock::duration(m_RejectUntil.load())};
  if (Now >= Until)
    return false;
  const auto Daemon = m_Ledger.daemonOf(Id);
  {
    const std::lock_guard Lock(m_Mutex);
    auto &Told = m_Told[Daemon];
    if (m_Calm && Now >= Told.PauseUntil) {
      Told.PauseSince = Now;
      Told.PauseUntil = Until;
      Told.RequestsInPause = 0;
    }
  }
  const auto Left = std::chrono::duration<double>(Until - Now).count();
  writeAll(Caller, rejectionOf(Id, fmt::format("Retry-After: {:.3f}\r\n{}",
                                               Left, stateFields(Id))));
  return true;
}

unsigned SoakTarget::draw(unsigned Below) {
  const std::lock_guard Lock(m_Mutex);
  return static_cast<unsigned>(m_Random() % Below);
}

void SoakTarget::serve(Socket &Caller) {
  RequestReader Reader(Caller);
  http::Request Asked;
  const auto Start = m_Start.load();
  for (bool IsKept = false; Reader.next(Asked); IsKept = true) {
    // A process ends with its connections.
    if (m_Start != Start || !answer(Caller, Asked, IsKept))
      return;
  }
}

bool SoakTarget::answer(Socket &Caller, const http::Request &Asked,
                        bool IsKept) {
  const auto &Fields = Asked.Head.Fields;
  const std::string Id(Fields.get("X-Mangodeck-Attempt-Id"));
  const bool IsSlow = Asked.Head.Target.starts_with("/slow/");
  const bool IsStream = IsSlow || Asked.Head.Target.starts_with("/stream/");
  const bool MayRepeat = !Asked.Head.Target.starts_with("/once/");
  if (Asked.Head.Target == "/report") {
    const auto Report = nlohmann::json{{"born", m_Start.load()}}.dump();
    return writeAll(Caller,
                    fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n"
                                "\r\n{}",
                                Report.size(), Report));
  }
  if (Fields.get("X-Mangodeck-Expect-Instance") != id())
    return writeAll(Caller, "HTTP/1.1 421 M\r\nContent-Length: 0\r\n\r\n");
  if (Fields.find("Authorization"))
    m_Ledger.noteBroken("key passed on with " + Id);
  const auto Since = m_DrainingSince.load();
  if (m_Calm && Since != 0 &&
      Clock::now() > Clock::time_point(Clock::duration(Since)) + DrainBound)
    m_Ledger.noteBroken("drain: " + Id + " reached " + m_Id);

  if (Asked.Head.Target.starts_with(DeskPath) != (m_Service == DeskService))
    m_Ledger.noteBroken("route: " + Id + " was sent to service " + m_Service);
  checkTold(Id);
  if (reject(Caller, Id))
    return true;
  const unsigned Fault = draw(100) < m_Spoiled ? 1 + draw(5) : 0;
  if (Fault == 5) // Rejected, and truly not run.
    return writeAll(Caller,
                    rejectionOf(Id, draw(2) == 0 ? "" : stateFields(Id)));
  m_Ledger.noteRun(Id, MayRepeat);
  const RunningRequest Running(m_Mutex, m_Running, Id);
  if (crashOver(Asked, Id))
    return false;
  if (draw(100) < m_ErrorPercent)
    return writeAll(Caller, errorOf(Id));
  if (IsStream)
    std::this_thread::sleep_for(m_HeadDelay);
  // What a daemon is told by an answer that it rejects cannot be demanded.
  if (!IsStream && !m_LeavingByAnswers && !isLimited())
    if (const auto Odd = m_Odd.draw(fieldsOf(Id, ""), bodyOf(Id), IsKept)) {
      std::this_thread::sleep_for(PlainWork);
      writeAll(Caller, *Odd);
      return false;
    }
  const auto Head = headOf(Id, stateFields(Id));
  if (IsStream) {
    const auto Last = Fields.get("Last-Event-Id");
    const auto First = Fields.get("Resumes");
    return stream(Caller, Head, First.empty() ? Id : std::string(First),
                  Last.empty() ? 0 : std::stoi(std::string(Last)),
                  IsSlow ? SlowEventPause : EventPause);
  }
  std::this_thread::sleep_for(PlainWork);
  const auto Body = bodyOf(Id);
  const auto Whole =
      Head + fmt::format("Content-Length: {}\r\n\r\n{}", Body.size(), Body);
  switch (Fault) {
  case 1: // The answer is lost.
    reset(Caller);
    return false;
  case 2: // Cut in the middle.
    writeAll(Caller, std::string_view(Whole).substr(0, Whole.size() - 4));
    return false;
  case 3: // A second answer follows.
    return writeAll(Caller, Whole + Whole);
  case 4: // No length; ends with the connection.
    writeAll(Caller, Head + "\r\n" + Body);
    return false;
  default:
    return writeAll(Caller, Whole);
  }
}

bool SoakTarget::crashOver(const http::Request &Asked, const std::string &Id) {
  const auto Part = m_Ledger.crashingPart();
  const auto Prompt = Asked.Head.Fields.get("X-Mangodeck-Prefix-Hash");
  if (Part == 0 || Prompt.find(fmt::format("{:x}:80,", Part)) == Prompt.npos)
    return false;
  m_Ledger.noteCrashingArrival(Id, m_Calm);
  std::this_thread::sleep_for(CrashDelay);
  {
    const std::lock_guard Lock(m_Mutex);
    if (!m_Running.contains(Id)) // The target has ended meanwhile.
      return true;
    m_Ledger.noteCrash(std::exchange(m_Running, {}));
  }
  restart();
  return true;
}

bool SoakTarget::stream(Socket &Caller, const std::string &Head,
                        const std::string &First, int After,
                        milliseconds Pause) {
  // A later start of the target goes on with this one's streams unchanged.
  const auto Version = version();
  const bool Cut = draw(100) < m_Spoiled;
  if (!writeAll(Caller, Head + "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (int Event = After + 1; Event <= StreamEvents; ++Event) {
    std::this_thread::sleep_for(Pause);
    std::string Chunk;
    http::appendChunk(Chunk, eventOf(Event, First, Version));
    if (Cut && Event == StreamEvents / 2) {
      writeAll(Caller, std::string_view(Chunk).substr(0, 6));
      reset(Caller);
      return false;
    }
    if (!writeAll(Caller, Chunk))
      return false;
  }
  return writeAll(Caller, http::LastChunk);
}

} // namespace mangodeck::soak
