#include "curlloop.h"

#include "mangodeck/http/parser.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>

#include <cassert>
#include <cerrno>
#include <utility>

namespace mangodeck {

namespace {

constexpr long KeepAliveIdleSeconds = 10;
constexpr long KeepAliveIntervalSeconds = 5;

long toMilliseconds(Duration Span) {
  return static_cast<long>(
      std::chrono::ceil<std::chrono::milliseconds>(Span).count());
}

/// libcurl must be initialized once, before the first thread uses it.
void initializeCurl() {
  static const CURLcode Result = curl_global_init(CURL_GLOBAL_ALL);
  assert(Result == CURLE_OK && "libcurl cannot be initialized");
  static_cast<void>(Result);
}

} // namespace

/// One call. libcurl carries the bytes of the answer, undecoded; ResponseParser
/// reads them, since libcurl takes more for HTTP than other readers do.
struct CurlLoop::Transfer : private http::MessageSink {
  CallId Id = 0;
  HttpCall Call;
  std::shared_ptr<HttpCallHandler> Handler; ///< Null once stopped.
  CURL *Easy = nullptr;
  curl_slist *HeaderList = nullptr;
  http::ResponseParser Parser{*this};

  ~Transfer() override {
    curl_easy_cleanup(Easy);
    curl_slist_free_all(HeaderList);
  }

  static std::size_t onHeaderLine(char *Data, std::size_t Size,
                                  std::size_t Count, void *Self) {
    auto &Entry = *static_cast<Transfer *>(Self);
    // The fields of a trailer are a part of the undecoded body.
    if (Entry.Handler && Entry.Parser.hasHead())
      return Size * Count;
    return Entry.read({Data, Size * Count});
  }

  static std::size_t onData(char *Data, std::size_t Size, std::size_t Count,
                            void *Self) {
    return static_cast<Transfer *>(Self)->read({Data, Size * Count});
  }

  /// Whether the answer ended as its framing says. \p Code is libcurl's view of
  /// the end of the connection.
  bool isWhole(CURLcode Code) {
    if (Code == CURLE_OK)
      Parser.finish();
    return Parser.isComplete() && !Parser.isMalformed();
  }

private:
  /// Returns the size of \p Bytes; 0, which ends the transfer, if the call has
  /// been stopped or the answer is malformed. Bytes behind the answer belong to
  /// no request.
  std::size_t read(std::string_view Bytes) {
    if (Handler)
      Parser.feed(Bytes);
    return Handler && !Parser.isMalformed() ? Bytes.size() : 0;
  }

  void onHead() override {
    std::vector<Header> Headers;
    for (const auto &Field : Parser.head().Fields.fields())
      Headers.push_back({Field.Name, Field.Value});
    const auto Receiver = Handler;
    Receiver->onHead(Parser.head().Status, std::move(Headers));
  }

  void onBody(std::string_view Bytes) override {
    if (const auto Receiver = Handler)
      Receiver->onBytes(Bytes);
  }
};

/// A socket of libcurl's and what libcurl waits for on it.
struct CurlLoop::Socket {
  Socket(asio::io_context &Loop, curl_socket_t Number)
      : Handle(Number), Descriptor(Loop, Number) {}

  const curl_socket_t Handle;
  asio::posix::stream_descriptor Descriptor;
  int Wanted = 0;
  bool AwaitsRead = false;
  bool AwaitsWrite = false;
  bool Forgotten = false; ///< Closed by libcurl, or about to be.
};

struct CurlLoop::Timer {
  Timer(asio::io_context &Loop, Duration Delay, std::function<void()> Work)
      : Clock(Loop, Delay), Task(std::move(Work)) {}

  asio::steady_timer Clock;
  std::function<void()> Task;
};

CurlLoop::CurlLoop()
    : m_Guard(asio::make_work_guard(m_Loop)), m_Timeout(m_Loop) {
  initializeCurl();
  m_Multi = curl_multi_init();
  assert(m_Multi && "no memory for a libcurl multi handle");
  curl_multi_setopt(m_Multi, CURLMOPT_SOCKETFUNCTION, &onSocketChange);
  curl_multi_setopt(m_Multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_Multi, CURLMOPT_TIMERFUNCTION, &onTimeoutChange);
  curl_multi_setopt(m_Multi, CURLMOPT_TIMERDATA, this);
  m_Thread = std::thread([this] { m_Loop.run(); });
}

CurlLoop::~CurlLoop() {
  m_Loop.stop();
  m_Thread.join();
  for (const auto &[Id, Entry] : m_Transfers)
    Entry->Handler.reset();
  for (const auto &[Id, Entry] : m_Transfers)
    curl_multi_remove_handle(m_Multi, Entry->Easy);
  m_Transfers.clear();
  curl_multi_cleanup(m_Multi);
}

void CurlLoop::post(std::function<void()> Task) {
  asio::post(m_Loop, std::move(Task));
}

CurlLoop::CallId CurlLoop::start(HttpCall Call,
                                 std::shared_ptr<HttpCallHandler> Handler) {
  auto Entry = std::make_unique<Transfer>();
  Entry->Id = m_NextId++;
  Entry->Call = std::move(Call);
  Entry->Handler = std::move(Handler);
  Entry->Easy = curl_easy_init();
  assert(Entry->Easy && "no memory for a libcurl handle");
  setOptions(*Entry);
  const auto Id = Entry->Id;
  m_Transfers.emplace(Id, std::move(Entry));
  m_Started.push_back(Id);
  scheduleChanges();
  return Id;
}

void CurlLoop::stop(CallId Id) {
  const auto It = m_Transfers.find(Id);
  if (It == m_Transfers.end())
    return;
  It->second->Handler.reset();
  m_Stopped.push_back(Id);
  scheduleChanges();
}

void CurlLoop::setPaused(CallId Id, bool Paused) {
  const auto It = m_Transfers.find(Id);
  if (It != m_Transfers.end() && It->second->Handler)
    curl_easy_pause(It->second->Easy, Paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

CurlLoop::TimerId CurlLoop::callAfter(Duration Delay,
                                      std::function<void()> Task) {
  const auto Id = m_NextId++;
  const auto &Entry =
      m_Timers
          .emplace(Id, std::make_unique<Timer>(m_Loop, Delay, std::move(Task)))
          .first->second;
  Entry->Clock.async_wait([this, Id](const auto &Error) {
    const auto Due =
        Error ? decltype(m_Timers)::node_type() : m_Timers.extract(Id);
    if (!Due.empty())
      Due.mapped()->Task();
  });
  return Id;
}

void CurlLoop::cancelTimer(TimerId Timer) { m_Timers.erase(Timer); }

int CurlLoop::onSocketChange(CURL *, curl_socket_t Handle, int Wanted,
                             void *Self, void *) {
  auto &Loop = *static_cast<CurlLoop *>(Self);
  if (Wanted == CURL_POLL_REMOVE)
    Loop.forgetSocket(Handle);
  else
    Loop.watchSocket(Handle, Wanted);
  return 0;
}

int CurlLoop::onTimeoutChange(CURLM *, long Milliseconds, void *Self) {
  auto &Loop = *static_cast<CurlLoop *>(Self);
  if (Milliseconds < 0) {
    Loop.m_Timeout.cancel();
    return 0;
  }
  Loop.m_Timeout.expires_after(std::chrono::milliseconds(Milliseconds));
  Loop.m_Timeout.async_wait([&Loop](const auto &Error) {
    if (!Error)
      Loop.act(CURL_SOCKET_TIMEOUT, 0);
  });
  return 0;
}

void CurlLoop::watchSocket(curl_socket_t Handle, int Wanted) {
  auto &Entry = m_Sockets[Handle];
  if (!Entry)
    Entry = std::make_shared<Socket>(m_Loop, Handle);
  Entry->Wanted = Wanted;
  awaitReady(Entry);
}

/// Gives the socket back to libcurl, which closes it itself.
void CurlLoop::forgetSocket(curl_socket_t Handle) {
  const auto Node = m_Sockets.extract(Handle);
  if (Node.empty())
    return;
  Node.mapped()->Forgotten = true;
  Node.mapped()->Descriptor.release();
}

/// Waits for what libcurl wants of a socket, unless it is waited for already,
/// and goes on until libcurl wants it no longer.
void CurlLoop::awaitReady(const std::shared_ptr<Socket> &Entry) {
  using Wait = asio::posix::stream_descriptor;
  if ((Entry->Wanted & CURL_POLL_IN) && !Entry->AwaitsRead) {
    Entry->AwaitsRead = true;
    Entry->Descriptor.async_wait(Wait::wait_read,
                                 [this, Entry](const auto &Error) {
                                   Entry->AwaitsRead = false;
                                   if (Error || Entry->Forgotten)
                                     return;
                                   if (Entry->Wanted & CURL_POLL_IN)
                                     act(Entry->Handle, CURL_CSELECT_IN);
                                   if (!Entry->Forgotten)
                                     awaitReady(Entry);
                                 });
  }
  if ((Entry->Wanted & CURL_POLL_OUT) && !Entry->AwaitsWrite) {
    Entry->AwaitsWrite = true;
    Entry->Descriptor.async_wait(Wait::wait_write,
                                 [this, Entry](const auto &Error) {
                                   Entry->AwaitsWrite = false;
                                   if (Error || Entry->Forgotten)
                                     return;
                                   if (Entry->Wanted & CURL_POLL_OUT)
                                     act(Entry->Handle, CURL_CSELECT_OUT);
                                   if (!Entry->Forgotten)
                                     awaitReady(Entry);
                                 });
  }
}

void CurlLoop::act(curl_socket_t Handle, int Events) {
  int Running = 0;
  curl_multi_socket_action(m_Multi, Handle, Events, &Running);
  finishTransfers();
}

void CurlLoop::scheduleChanges() {
  if (std::exchange(m_ChangesScheduled, true))
    return;
  asio::post(m_Loop, [this] { applyChanges(); });
}

/// Adds and removes handles outside libcurl, which refuses both from inside
/// its callbacks, where start() and stop() may be called.
void CurlLoop::applyChanges() {
  m_ChangesScheduled = false;
  for (const auto Id : std::exchange(m_Started, {})) {
    const auto It = m_Transfers.find(Id);
    if (It != m_Transfers.end())
      curl_multi_add_handle(m_Multi, It->second->Easy);
  }
  for (const auto Id : std::exchange(m_Stopped, {})) {
    const auto It = m_Transfers.find(Id);
    if (It == m_Transfers.end())
      continue;
    curl_multi_remove_handle(m_Multi, It->second->Easy);
    m_Transfers.erase(It);
  }
}

void CurlLoop::finishTransfers() {
  int Left = 0;
  while (const CURLMsg *Message = curl_multi_info_read(m_Multi, &Left)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    HttpCallEnd End;
    End.Code = Message->data.result;
    CURL *Easy = Message->easy_handle;
    Transfer *Entry = nullptr;
    curl_off_t ConnectTime = 0;
    long SentBytes = 0;
    long SystemError = 0;
    curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &Entry);
    curl_easy_getinfo(Easy, CURLINFO_CONNECT_TIME_T, &ConnectTime);
    curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &SentBytes);
    curl_easy_getinfo(Easy, CURLINFO_OS_ERRNO, &SystemError);
    End.Connected = ConnectTime > 0;
    End.Refused = !End.Connected && SystemError == ECONNREFUSED;
    End.Sent = SentBytes > 0;
    curl_multi_remove_handle(m_Multi, Easy);
    const auto Node = m_Transfers.extract(Entry->Id);
    if (!Entry->isWhole(End.Code) && End.Code == CURLE_OK)
      End.Code = CURLE_PARTIAL_FILE;
    if (const auto Receiver = Node.mapped()->Handler)
      Receiver->onDone(End);
  }
}

/// Each call has a connection of its own that is never used again, so that
/// libcurl has no reason to send a request a second time. Proxies, redirects
/// and HTTP/0.9 answers are off.
void CurlLoop::setOptions(Transfer &Entry) {
  const auto &Call = Entry.Call;
  CURL *Easy = Entry.Easy;
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Entry);
  curl_easy_setopt(Easy, CURLOPT_URL, Call.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(Easy, CURLOPT_HTTP09_ALLOWED, 0L);
  curl_easy_setopt(Easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPIDLE, KeepAliveIdleSeconds);
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   toMilliseconds(Call.ConnectTimeout));
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, toMilliseconds(Call.TotalTimeout));
  Entry.Parser.reset(Call.Method == "HEAD");
  if (Call.Method == "HEAD") {
    curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
  } else if (!Call.Body.empty() || Call.Method == "POST") {
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Call.Body.size()));
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Call.Body.data());
  }
  if (Call.Method != "HEAD")
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
  auto *List = curl_slist_append(nullptr, "Expect:");
  for (const auto &Field : Call.Headers)
    List = curl_slist_append(List, (Field.Name + ": " + Field.Value).c_str());
  Entry.HeaderList = List;
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, List);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &Transfer::onHeaderLine);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Entry);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &Transfer::onData);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Entry);
}

} // namespace mangodeck
