#include "soaktarget.h"

#include <fmt/format.h>

namespace mangodeck::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds PlainWork{8};
constexpr milliseconds EventPause{12};
/// A leaving target gets nothing more after this time; the platform's bound
/// and a margin for a loaded machine.
constexpr milliseconds DrainBound{2000 + 2000};

std::string headOf(const std::string &Id) {
  return fmt::format("HTTP/1.1 200 OK\r\nX-Mangodeck-Attempt-Id: {}\r\n"
                     "X-Mangodeck-Response-Stamp: {}\r\n",
                     Id, Id);
}

} // namespace

std::string bodyOf(const std::string &Id) { return "answer to " + Id; }

SoakTarget::SoakTarget(std::string Id, std::string Domain, SoakLedger &Ledger,
                       SoakStore &Store, const std::atomic<bool> &Calm,
                       std::uint64_t Seed)
    : m_Id(std::move(Id)), m_Domain(std::move(Domain)), m_Ledger(Ledger),
      m_Store(Store), m_Calm(Calm), m_Random(Seed),
      m_Server("127.0.0.1", [this](Socket &Caller) { serve(Caller); }),
      m_Link("127.0.0.1", "127.0.0.1", m_Server.port()) {}

void SoakTarget::announce(bool Draining) {
  m_DrainingSince = Draining ? Clock::now().time_since_epoch().count() : 0;
  m_Store.put(
      "servers/" + m_Id,
      nlohmann::json{{"Service", "s"},
                     {"Address", fmt::format("127.0.0.1:{}", m_Link.port())},
                     {"Zone", m_Domain},
                     {"Slots", 8},
                     {"State", Draining ? "draining" : "ready"},
                     {"born", 1}}
          .dump());
}

unsigned SoakTarget::draw(unsigned Below) {
  const std::lock_guard Lock(m_Mutex);
  return static_cast<unsigned>(m_Random() % Below);
}

void SoakTarget::serve(Socket &Caller) {
  RequestReader Reader(Caller);
  http::Request Asked;
  while (Reader.next(Asked))
    if (!answer(Caller, Asked))
      return;
}

bool SoakTarget::answer(Socket &Caller, const http::Request &Asked) {
  const auto &Fields = Asked.Head.Fields;
  const std::string Id(Fields.get("X-Mangodeck-Attempt-Id"));
  const bool IsStream = Asked.Head.Target.starts_with("/stream/");
  const bool MayRepeat = !Asked.Head.Target.starts_with("/once/");
  if (Fields.get("X-Mangodeck-Expect-Instance") != m_Id)
    return writeAll(Caller, "HTTP/1.1 421 M\r\nContent-Length: 0\r\n\r\n");
  if (Fields.find("Authorization"))
    m_Ledger.noteBroken("key passed on with " + Id);
  const auto Since = m_DrainingSince.load();
  if (m_Calm && Since != 0 &&
      Clock::now() > Clock::time_point(Clock::duration(Since)) + DrainBound)
    m_Ledger.noteBroken("drain: " + Id + " reached " + m_Id);

  const unsigned Fault = draw(100) < m_Spoiled ? 1 + draw(5) : 0;
  if (Fault == 5) // Rejected, and truly not run.
    return writeAll(Caller, "HTTP/1.1 503 S\r\nX-Mangodeck-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n");
  m_Ledger.noteRun(Id, MayRepeat);
  if (IsStream) {
    const auto Last = Fields.get("Last-Event-Id");
    return stream(Caller, Id, Last.empty() ? 0 : std::stoi(std::string(Last)));
  }
  std::this_thread::sleep_for(PlainWork);
  const auto Body = bodyOf(Id);
  const auto Whole = headOf(Id) + fmt::format("Content-Length: {}\r\n\r\n{}",
                                              Body.size(), Body);
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
    writeAll(Caller, headOf(Id) + "\r\n" + Body);
    return false;
  default:
    return writeAll(Caller, Whole);
  }
}

bool SoakTarget::stream(Socket &Caller, const std::string &Id, int After) {
  const bool Cut = draw(100) < m_Spoiled;
  if (!writeAll(Caller, headOf(Id) + "Content-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (int Event = After + 1; Event <= StreamEvents; ++Event) {
    std::this_thread::sleep_for(EventPause);
    std::string Chunk;
    http::appendChunk(Chunk, fmt::format("id: {}\ndata: {}\n\n", Event, Id));
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
