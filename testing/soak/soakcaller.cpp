#include "soakcaller.h"

#include "soaktarget.h"

#include <algorithm>
#include <fmt/format.h>
#include <poll.h>

namespace mangodeck::soak {

namespace {

/// How long a caller waits, and how long it reads before it gives up.
/// Mean number of requests on a connection of a caller that moves.
constexpr unsigned RequestsPerConnection = 24;
constexpr int TimeLeftMs = 3000;
constexpr int ReadTimeoutMs = 5000;
/// Share of the requests that have the crashing part while there is one.
constexpr unsigned CrashingPercent = 2;
/// Attempts of a caller to read one stream.
constexpr unsigned StreamAttempts = 4;
/// Time between two attempts.
constexpr std::chrono::milliseconds RefusalPause{50};
/// A caller waits at most this long for the next attempt at a stream.
constexpr std::chrono::seconds MaxStreamWait{1};
/// Time after its start from which on a daemon counts as in touch.
constexpr std::chrono::seconds ContactTime{3};
/// Sessions, each with a prompt part that its requests share.
constexpr unsigned SessionCount = 40;

/// Length of the whole events at the start of \p Bytes.
std::size_t wholeEvents(const std::string &Bytes) {
  const auto End = Bytes.rfind("\n\n");
  return End == std::string::npos ? 0 : End + 2;
}

} // namespace

/// An answer as far as it came.
struct SoakCaller::Reading : http::MessageSink {
  Reading() : Parser(*this) {}
  void onHead() override {}
  void onBody(std::string_view Bytes) override { Body.append(Bytes); }
  http::ResponseParser Parser;
  std::string Body;
  bool TimedOut = false;
};

SoakCaller::SoakCaller(std::span<const std::unique_ptr<SoakDaemon>> Daemons,
                       SoakLedger &Ledger,
                       const std::atomic<unsigned> &Generation,
                       const std::atomic<bool> &Calm, std::uint64_t Seed,
                       bool TakesStreams, bool IsImpatient)
    : m_Daemons(Daemons), m_Ledger(Ledger), m_Generation(Generation),
      m_Calm(Calm), m_Random(Seed), m_IsImpatient(IsImpatient),
      m_TakesStreams(TakesStreams), m_Moves(m_Random() % 2 == 0) {}

void SoakCaller::run(const std::atomic<bool> &Stopped) {
  while (!Stopped) {
    if (!m_IsImpatient && Clock::now() < m_ReturnAt) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      continue;
    }
    if (m_TakesStreams) {
      readStream();
      continue;
    }
    if (!m_Socket && !connect()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      continue;
    }
    ask();
    std::this_thread::sleep_for(std::chrono::milliseconds(m_Random() % 10));
  }
}

bool SoakCaller::connect() {
  m_Daemon = m_Daemons[m_Random() % m_Daemons.size()].get();
  m_Incarnation = m_Daemon->incarnation();
  m_SeenGeneration = 0;
  auto New = std::make_unique<Socket>(m_Loop);
  std::error_code Error;
  New->connect({asio::ip::make_address(m_Daemon->ip()), m_Daemon->callerPort()},
               Error);
  if (Error)
    return false;
  New->set_option(asio::ip::tcp::no_delay(true), Error);
  m_Socket = std::move(New);
  return true;
}

void SoakCaller::ask() {
  const auto Id = fmt::format("{:016x}", m_Random());
  const auto Kind = m_Random() % 5;
  const unsigned Newest = m_Generation;
  const auto Path = Kind == 0   ? std::string("/once/x")
                    : Kind == 1 ? std::string("/again/x")
                    : Kind == 2 ? std::string("/stream/x")
                    : Kind == 4 ? std::string(DeskPath) + "x"
                                : fmt::format("/gen{}/x", Newest);
  const auto Asked = Clock::now();
  const auto CrashingPart =
      m_Random() % 100 < CrashingPercent ? m_Ledger.crashingPart() : 0;
  const bool Sent = send(Id, Path, CrashingPart, "");
  Reading Answer;
  if (Sent)
    read(Answer);
  check(Id, Path, Answer);
  noteRefusal(Answer);
  if (Answer.Parser.hasHead())
    if (const auto *Limited =
            Answer.Parser.head().Fields.find(LimitedTargetField))
      m_Ledger.noteLimitPassedOn(Id, *Limited);
  if (Answer.Parser.isComplete() && CrashingPart == 0)
    m_Ledger.noteSoundAnswer(Answer.Body);
  // A refusal sent before the newest version was asked for proves nothing.
  if (Kind == 3 && Answer.Parser.isComplete())
    checkGeneration(Newest, Answer.Parser.head().Status != 404);
  if (!Answer.Parser.isComplete() && m_Calm && !Answer.TimedOut &&
      m_Daemon->isPlannedStop() && !m_Ledger.isBrokenOff(Id) &&
      (Answer.Parser.hasHead() || m_Ledger.hasRun(Id)))
    m_Ledger.noteBroken(
        fmt::format("graceful stop: {} {} cut off after {} ms", Path, Id,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        Clock::now() - Asked)
                        .count()));
  // Some callers open a new connection, so that daemons that have restarted get
  // requests as well.
  if (!Answer.Parser.isComplete() || !Answer.Parser.head().KeepAlive ||
      (m_Moves && m_Random() % RequestsPerConnection == 0))
    m_Socket.reset();
}

void SoakCaller::noteRefusal(const Reading &Answer) {
  if (!Answer.Parser.isComplete())
    return;
  const auto &Head = const_cast<http::ResponseParser &>(Answer.Parser).head();
  const auto *RetryAfter = Head.Fields.find("Retry-After");
  if (RetryAfter && (Head.Status == 503 || Head.Status == 429))
    m_ReturnAt =
        Clock::now() + std::chrono::milliseconds(static_cast<std::int64_t>(
                           1000 * std::strtod(RetryAfter->c_str(), nullptr)));
}

bool SoakCaller::send(const std::string &Id, const std::string &Path,
                      std::uint64_t CrashingPart, const std::string &Fields) {
  m_Ledger.noteSent(Id, fmt::format("{}#{}", m_Daemon->ip(), m_Incarnation));
  const bool Sent = writeAll(
      *m_Socket,
      fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n"
                  "X-Mangodeck-Attempt-Id: {}\r\n"
                  "X-Mangodeck-Request-Deadline: {}\r\n"
                  "X-Mangodeck-Prefix-Hash: {}\r\n{}"
                  "Authorization: Bearer k\r\nContent-Length: 2\r\n\r\nhi",
                  Path, Id, TimeLeftMs, drawPrompt(CrashingPart), Fields));
  m_CameAsTold = Clock::now() >= m_ReturnAt;
  if (m_CameAsTold)
    m_Ledger.noteAsked();
  return Sent;
}

void SoakCaller::read(Reading &Answer) {
  while (!Answer.Parser.isComplete() && !Answer.Parser.isMalformed()) {
    pollfd Ready{m_Socket->native_handle(), POLLIN, 0};
    if (::poll(&Ready, 1, ReadTimeoutMs) <= 0) {
      Answer.TimedOut = true;
      return;
    }
    std::array<char, 8192> Buffer;
    std::error_code Error;
    const auto Size = m_Socket->read_some(asio::buffer(Buffer), Error);
    if (Error)
      return Answer.Parser.finish();
    Answer.Parser.feed({Buffer.data(), Size});
  }
}

void SoakCaller::readStream() {
  const auto First = fmt::format("{:016x}", m_Random());
  std::string Events; // Whole ones, of all attempts.
  std::set<std::string> Versions;
  for (unsigned Attempt = 0; Attempt < StreamAttempts; ++Attempt) {
    m_Socket.reset();
    if (!connect()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      continue;
    }
    const auto Before = std::count(Events.begin(), Events.end(), '\n') / 3;
    const auto Id = Before == 0 && Attempt == 0
                        ? First
                        : fmt::format("{:016x}", m_Random());
    // An attempt without an event begins the stream again.
    const auto Began = Before == 0 ? Id : m_FirstOfStream;
    m_FirstOfStream = Began;
    Reading Answer;
    if (send(Id, "/slow/x", 0,
             Before == 0 ? ""
                         : fmt::format("Last-Event-Id: {}\r\nResumes: {}\r\n",
                                       Before, Began)))
      read(Answer);
    const bool IsStream =
        Answer.Parser.hasHead() && Answer.Parser.head().Status == 200;
    if (IsStream)
      Events += Answer.Body.substr(0, wholeEvents(Answer.Body));
    const auto After = std::count(Events.begin(), Events.end(), '\n') / 3;
    if (m_Calm && Before == 0)
      m_Ledger.noteNewStream(After > 0);
    else if (m_Calm && m_Daemon->hasRunFor(ContactTime))
      m_Ledger.noteTakenUp(*Versions.begin(), After > Before);
    checkEvents(Began, Events, Versions);
    if (Answer.Parser.isComplete() && IsStream) {
      if (m_CameAsTold)
        m_Ledger.noteAnswer();
      if (After != StreamEvents)
        m_Ledger.noteBroken("stream ends before its last event: " + Id);
      break;
    }
    noteRefusal(Answer);
    std::this_thread::sleep_for(RefusalPause);
    if (!m_IsImpatient)
      std::this_thread::sleep_until(
          std::min(m_ReturnAt, Clock::now() + MaxStreamWait));
  }
  m_Socket.reset();
}

void SoakCaller::checkEvents(const std::string &Stream,
                             const std::string &Events,
                             std::set<std::string> &Versions) {
  int Number = 0;
  for (std::size_t At = 0; At < wholeEvents(Events);) {
    const auto End = Events.find("\n\n", At) + 2;
    const auto Event = Events.substr(At, End - At);
    const auto Space = Event.rfind(' ') + 1;
    const auto Version = Event.substr(Space, Event.size() - Space - 2);
    Versions.insert(Version);
    if (Event != eventOf(++Number, Stream, Version))
      m_Ledger.noteBroken("stream " + Stream + ": not its event " +
                          std::to_string(Number) + ": " + Event);
    At = End;
  }
  if (Versions.size() > 1)
    m_Ledger.noteBroken("stream " + Stream + " holds events of two versions");
}

std::string SoakCaller::drawPrompt(std::uint64_t CrashingPart) {
  const auto Session = 0x1000 + m_Random() % SessionCount;
  auto Prompt = fmt::format("a:60,{:x}:200,", Session);
  if (CrashingPart != 0)
    Prompt += fmt::format("{:x}:80,", CrashingPart);
  return Prompt + fmt::format("{:x}:50", m_Random());
}

void SoakCaller::check(const std::string &Id, const std::string &Path,
                       const Reading &Answer) {
  auto &Parser = const_cast<http::ResponseParser &>(Answer.Parser);
  if (Parser.isMalformed())
    m_Ledger.noteBroken("no HTTP answer to " + Id);
  if (!Parser.isComplete())
    return;
  const int Status = Parser.head().Status;
  if (Status == 503 || Status == 429 || Status == 408 || Status == 421)
    m_Ledger.notePromise(Id);
  if (Status == 401 || Status == 400 ||
      (Status == 404 && !Path.starts_with("/gen")))
    m_Ledger.noteBroken(fmt::format("denied: {} to {}", Status, Path));
  if (Status != 200)
    return;
  if (m_CameAsTold)
    m_Ledger.noteAnswer();
  if (Parser.head().Fields.get("X-Mangodeck-Response-Stamp") != Id)
    m_Ledger.noteBroken("answer of another request to " + Id);
  std::string Expected = bodyOf(Id);
  if (Path.starts_with("/stream/")) {
    std::set<std::string> Versions;
    checkEvents(Id, Answer.Body, Versions);
    Expected.clear();
    for (int Event = 1; Event <= StreamEvents && !Versions.empty(); ++Event)
      Expected += eventOf(Event, Id, *Versions.begin());
  }
  if (Answer.Body != Expected)
    m_Ledger.noteBroken("not the whole answer to " + Id + ": " + Answer.Body);
}

void SoakCaller::checkGeneration(unsigned Asked, bool Known) {
  if (m_Daemon->incarnation() != m_Incarnation)
    return;
  if (Known)
    m_SeenGeneration = std::max(m_SeenGeneration, Asked);
  else if (Asked <= m_SeenGeneration)
    m_Ledger.noteBroken(fmt::format("configuration went back below {} at {}",
                                    m_SeenGeneration, m_Daemon->ip()));
}

} // namespace mangodeck::soak
