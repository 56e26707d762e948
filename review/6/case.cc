// A request in the body of another one must not run.
#include "../stand-2.hh"

using namespace stand;

namespace {

const char *Host = "ficu95.example";
const char *Key = "i9n73hh2b9wu3fexd9dn";

std::string config() {
  const Json Route = {{"Name", "permit-pay"},    {"Hostname", Host},
                      {"Prefix", "/puxa403/"},   {"Kind", "non_idempotent"},
                      {"TimeoutMs", 1500},       {"TargetLatencyMs", 150},
                      {"Priority", 0},           {"Service", "tiket-desk"},
                      {"Attempts", 1},           {"AuthExempt", false},
                      {"SessionAffinity", false}, {"StreamResume", false}};
  const Json Body = {
      {"Version", 7},
      {"Routes", {Route}},
      {"Services",
       {{{"Name", "tiket-desk"},
         {"HealthPath", "/healthz"},
         {"MaxConnections", 110},
         {"Protocol", "h1"},
         {"Tls", false}}}},
      {"Limits",
       {{"MaxHeaderBytes", 16384},
        {"MaxBodyBytes", 4194304},
        {"HeaderTimeoutMs", 3000},
        {"IdleTimeoutMs", 15000}}},
      {"Tenants",
       {{{"Name", "hule930"},
         {"ApiKeys", {Key}},
         {"Priority", 1},
         {"Unit", "token_stream"},
         {"PlainTokens", 200},
         {"RatePerS", 300000},
         {"Burst", 300000}}}}};
  return Body.dump();
}

std::string head(const std::string &Id, const std::string &Framing) {
  return "POST /puxa403/2f HTTP/1.1\r\nHost: " + std::string(Host) +
         "\r\nX-Mangodeck-Attempt-Id: " + Id +
         "\r\nX-Mangodeck-Request-Deadline: 1500\r\nAuthorization: Bearer " +
         Key + "\r\n" + Framing + "\r\n";
}

std::string hex(std::size_t Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%zx", Value);
  return Text;
}

} // namespace

int main(int, char **Args) {
  ::signal(SIGPIPE, SIG_IGN);
  Record::open(std::string(Args[1]) + "/record.txt");
  const bool Trouble = trouble();
  Record::line("trouble %d", Trouble);
  Store Platform;
  Runner Desk[2];
  Front Machine;
  const auto Dir = workDir();
  if (Dir.empty() || !Platform.start(hostOf(7)))
    return 2;
  Platform.put("op/config", config());
  std::mutex Guard;
  std::map<std::string, std::string> Ran; // Attempt id to body.
  for (int I = 0; I < 2; ++I) {
    Desk[I].Handler = [&](Runner &Self, Conn &Caller, const Message &Asked) {
      Self.run(Asked);
      {
        std::lock_guard Lock(Guard);
        Ran[Asked.field("X-Mangodeck-Attempt-Id")] = Asked.Body;
      }
      Caller.send(httpAnswer(200, Self.fields(Asked), "paid"));
    };
    if (!Desk[I].start(Platform, hostOf(20 + I), "i-desk" + std::to_string(I),
                       "tiket-desk", "plaza-a"))
      return 2;
  }
  if (!Machine.start(Platform, Dir, hostOf(11), "front-plaza-a-1", "plaza-a") ||
      !Machine.awaitReady())
    return 2;

  // Two ways to hide a request in a body that is sent in chunks.
  std::set<std::string> Sent;
  std::map<std::string, std::string> Meant;
  int Answers = 0;
  const auto Send = [&](const std::string &Id, const std::string &Bytes,
                        const std::string &Body) {
    Sent.insert(Id);
    Meant[Id] = Body;
    Record::line("sent one request, id=%s, body of %zu bytes", Id.c_str(),
                 Body.size());
    const auto Caller = Conn::to(Machine.Ip, Machine.Callers);
    if (!Caller || !Caller->send(Bytes))
      return;
    while (const auto Answer = Caller->read(1000, true)) {
      ++Answers;
      Record::line("answer on that channel: %s id=%s", Answer->First.c_str(),
                   Answer->field("X-Mangodeck-Attempt-Id").c_str());
    }
  };
  for (int Round = 0; Round < 5; ++Round) {
    const auto N = std::to_string(Round);
    // A. The body holds a request as data.
    const auto HiddenA =
        head("hidden-a" + N, "Content-Length: 0\r\n");
    const auto First = std::string("ab\r\n");
    const auto Second = "0\r\n\r\n" + HiddenA;
    // With trouble, the line of the first chunk has an extension and ends with
    // a bare LF.
    Send("sent-a" + N,
         head("sent-a" + N, "Transfer-Encoding: chunked\r\n") + "4" +
             (Trouble ? ";x\n" : "\r\n") + First + "\r\n" + hex(Second.size()) +
             "\r\n" + Second + "\r\n0\r\n\r\n",
         First + Second);
    // B. With trouble, two other bytes stand where the CRLF after the data of a
    // chunk is due.
    const auto HiddenB =
        "0\r\n\r\n" + head("hidden-b" + N, "Content-Length: 0\r\n");
    Send("sent-b" + N,
         head("sent-b" + N, "Transfer-Encoding: chunked\r\n") +
             (Trouble ? "3\r\nabcXX" + HiddenB
                      : hex(3 + HiddenB.size()) + "\r\nabc" + HiddenB +
                            "\r\n0\r\n\r\n"),
         "abc" + HiddenB);
  }
  sleepMs(500);
  int Broken = 0;
  std::lock_guard Lock(Guard);
  for (const auto &[Id, Body] : Ran) {
    if (!Sent.contains(Id)) {
      Record::line("BROKEN: a runner ran id=%s, which no requester sent",
                   Id.c_str());
      ++Broken;
    } else if (Body != Meant[Id])
      Record::line("id=%s ran with another body (%zu bytes)", Id.c_str(),
                   Body.size());
  }
  Record::line("sent %zu, answers %d, run %zu, smuggled %d", Sent.size(),
               Answers, Ran.size(), Broken);
  Machine.kill();
  if (!Trouble && Ran.size() != Sent.size())
    finish(Dir, 2);
  finish(Dir, Broken ? 1 : 0);
}
