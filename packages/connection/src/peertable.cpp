#include "peertable.h"

#include "mangodeck/common/log.h"
#include "peercodec.h"

#include <asio/post.hpp>
#include <openssl/rand.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <mutex>

namespace mangodeck {

namespace {

using asio::ip::tcp;

/// Accepted connections that are not authenticated yet, altogether.
constexpr std::size_t MaxUnprovenConnections = 512;
/// Messages are taken from a queue until this many bytes are gathered.
constexpr std::size_t EnoughFrameBytes = 16 << 10;
/// Bytes that the sender adds to an encoded message.
constexpr std::size_t MaxTrailerBytes = 32;
constexpr Duration MaxTickInterval = 250ms;
/// A tick that is this much late means that the process was paused.
constexpr Duration PauseThreshold = 1s;
/// The higher name waits so long before it dials a lost peer again, so that
/// the lower name's attempt mostly comes alone.
constexpr Duration HigherNameDelay = 150ms;
constexpr Duration RefusalLogInterval = 60s;
constexpr unsigned MaxBackoffDoublings = 10;

Expected<tcp::endpoint> parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return unexpected(Errc::InvalidInput);
  std::error_code Error;
  const auto Ip =
      asio::ip::make_address(std::string(Text.substr(0, Colon)), Error);
  std::uint16_t Port = 0;
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Error || Result.ec != std::errc() || Result.ptr != End)
    return unexpected(Errc::InvalidInput);
  return tcp::endpoint(Ip, Port);
}

std::string makeNonce() {
  unsigned char Bytes[HandshakeNonceBytes];
  const bool Filled = RAND_bytes(Bytes, sizeof Bytes) == 1;
  assert(Filled && "the system's random device failed");
  (void)Filled;
  return {reinterpret_cast<const char *>(Bytes), sizeof Bytes};
}

PeerStatistics readCounters(const Peer &Entry) {
  return {Entry.Vm,
          Entry.Connected,
          Entry.MessagesSent,
          Entry.MessagesReceived,
          Entry.BytesSent,
          Entry.BytesReceived,
          Entry.MessagesDropped,
          Entry.MessagesRejected,
          Entry.Connections,
          Entry.Queue.messages(),
          Entry.Queue.bytes()};
}

void add(PeerStatistics &Sum, const PeerStatistics &Part) {
  Sum.Connected = Sum.Connected || Part.Connected;
  Sum.MessagesSent += Part.MessagesSent;
  Sum.MessagesReceived += Part.MessagesReceived;
  Sum.BytesSent += Part.BytesSent;
  Sum.BytesReceived += Part.BytesReceived;
  Sum.MessagesDropped += Part.MessagesDropped;
  Sum.MessagesRejected += Part.MessagesRejected;
  Sum.Connections += Part.Connections;
  Sum.QueuedMessages += Part.QueuedMessages;
  Sum.QueuedBytes += Part.QueuedBytes;
}

} // namespace

PeerTable::PeerTable(asio::io_context &Context, PeerTransportOptions Options,
                     const Clock &Source, HybridClock &Stamps,
                     RandomSource &Jitter)
    : m_Context(Context), m_Options(std::move(Options)), m_Clock(Source),
      m_Stamps(Stamps), m_Jitter(Jitter), m_Acceptor(Context),
      m_Timer(Context) {}

std::error_code PeerTable::listen(PeerHandler &Handler) {
  m_Handler = &Handler;
  const auto Endpoint = parseEndpoint(m_Options.ListenAddress);
  if (!Endpoint || m_Options.Keys.empty() || m_Options.Vm.empty())
    return Errc::InvalidInput;
  std::error_code Error;
  m_Acceptor.open(Endpoint->protocol(), Error);
  if (!Error)
    m_Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    m_Acceptor.bind(*Endpoint, Error);
  if (!Error)
    m_Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return Error;
  m_Port = m_Acceptor.local_endpoint(Error).port();
  m_LastTick = m_Clock.now();
  accept();
  scheduleTick();
  return Error;
}

void PeerTable::close() {
  m_Closing = true;
  std::error_code Ignored;
  m_Acceptor.close(Ignored);
  m_Timer.cancel();
  const auto Connections = m_Connections;
  for (const auto &Connection : Connections)
    Connection->close(Errc::Cancelled);
}

// --- Peers -----------------------------------------------------------------

PeerPtr PeerTable::find(const VmName &Name) const {
  const std::shared_lock Guard(m_Lock);
  const auto It = m_Peers.find(Name);
  return It == m_Peers.end() ? nullptr : It->second;
}

PeerPtr PeerTable::findOrAdd(const VmName &Name) {
  const std::unique_lock Guard(m_Lock);
  auto &Entry = m_Peers[Name];
  if (!Entry)
    Entry = std::make_shared<Peer>(Name, m_Options.QueueMessages,
                                   m_Options.QueueBytes);
  return Entry;
}

/// Encodes on the caller's thread, so that the work is spread and the queue
/// knows the bytes. The transport's thread is woken once for all messages that
/// come before it looks.
bool PeerTable::send(const VmName &To, const PeerMessage &Message) {
  auto Entry = find(To);
  if (!Entry)
    return false;
  const auto Now = m_Clock.now();
  auto Bytes = encodePeerMessage(Message, Now);
  const bool Fits = Bytes.size() <= m_Options.MaxMessageBytes;
  const auto Pushed =
      Fits ? Entry->Queue.push(std::move(Bytes), Now) : PeerQueue::Push::Full;
  if (Pushed == PeerQueue::Push::Full) {
    ++Entry->MessagesDropped;
    return false;
  }
  if (Pushed == PeerQueue::Push::First)
    asio::post(m_Context, [this, Entry = std::move(Entry)] { wake(Entry); });
  return true;
}

/// New peers can be sent to at once; addresses and removals are applied on the
/// transport's thread, in the order of the calls.
void PeerTable::setPeers(std::span<const PeerAddress> Peers) {
  std::vector<PeerAddress> Listed;
  for (const auto &Entry : Peers) {
    if (Entry.Vm == m_Options.Vm)
      continue;
    findOrAdd(Entry.Vm);
    Listed.push_back(Entry);
  }
  asio::post(m_Context,
             [this, Listed = std::move(Listed)] { applyPeers(Listed); });
}

void PeerTable::applyPeers(const std::vector<PeerAddress> &Peers) {
  std::set<VmName> Listed;
  for (const auto &Address : Peers) {
    Listed.insert(Address.Vm);
    const auto Entry = findOrAdd(Address.Vm);
    if (Entry->Address == Address.Address)
      continue;
    Entry->Address = Address.Address;
    Entry->FailedDials = 0;
    Entry->NextDial = m_Clock.now();
    wake(Entry);
  }
  std::vector<PeerPtr> Removed;
  {
    const std::shared_lock Guard(m_Lock);
    for (const auto &[Name, Entry] : m_Peers)
      if (!Entry->Address.empty() && !Listed.contains(Name))
        Removed.push_back(Entry);
  }
  for (const auto &Entry : Removed)
    dropPeer(*Entry);
}

void PeerTable::dropPeer(Peer &Entry) {
  Entry.Address.clear();
  Entry.Wanted = false;
  if (Entry.Dialing)
    Entry.Dialing->close(Errc::Cancelled);
  if (Entry.Established)
    Entry.Established->close(Errc::Cancelled);
  erase(Entry.Vm);
}

void PeerTable::erase(const VmName &Name) {
  const std::unique_lock Guard(m_Lock);
  const auto It = m_Peers.find(Name);
  if (It == m_Peers.end())
    return;
  add(m_Gone, readCounters(*It->second));
  m_Gone.Connected = false;
  m_Gone.QueuedMessages = m_Gone.QueuedBytes = 0;
  m_Peers.erase(It);
}

std::vector<PeerStatistics> PeerTable::statistics() const {
  std::vector<PeerStatistics> Result;
  const std::shared_lock Guard(m_Lock);
  for (const auto &[Name, Entry] : m_Peers)
    Result.push_back(readCounters(*Entry));
  std::sort(Result.begin(), Result.end(),
            [](const auto &A, const auto &B) { return A.Peer < B.Peer; });
  return Result;
}

PeerStatistics PeerTable::totals() const {
  const std::shared_lock Guard(m_Lock);
  auto Sum = m_Gone;
  for (const auto &[Name, Entry] : m_Peers)
    add(Sum, readCounters(*Entry));
  return Sum;
}

bool PeerTable::isFlushed() const {
  return std::none_of(
      m_Connections.begin(), m_Connections.end(), [](const auto &Item) {
        const auto &Entry = Item->attached();
        return Entry && Entry->Established == Item &&
               (Item->isWriting() || Entry->Queue.messages() != 0);
      });
}

// --- Opening connections ---------------------------------------------------

/// A message came for \p Entry, or its address.
void PeerTable::wake(const PeerPtr &Entry) {
  if (Entry->Queue.messages() != 0)
    Entry->Wanted = true;
  if (Entry->Established)
    Entry->Established->wake();
  else if (Entry->Wanted && m_Clock.now() >= Entry->NextDial)
    dial(*Entry);
}

void PeerTable::dial(Peer &Entry) {
  if (m_Closing || Entry.Dialing || Entry.Established || Entry.Address.empty())
    return;
  const auto Endpoint = parseEndpoint(Entry.Address);
  if (!Endpoint)
    return delayDial(Entry);
  Entry.Dialing =
      makeConnection(tcp::socket(m_Context), PeerRole::Dialer, Entry.Vm);
  Entry.Dialing->attach(find(Entry.Vm));
  Entry.Dialing->dial(*Endpoint);
}

/// Exponential delay with jitter before the next attempt.
void PeerTable::delayDial(Peer &Entry) {
  const auto Doublings = std::min(Entry.FailedDials++, MaxBackoffDoublings);
  const auto Delay = std::min<Duration>(
      m_Options.MinRetryDelay * (1 << Doublings), m_Options.MaxRetryDelay);
  const auto Share = 0.5 + m_Jitter.uniform() / 2;
  Entry.NextDial = m_Clock.now() + fromSeconds(toSeconds(Delay) * Share);
}

/// After an error, such as a lack of file descriptors, the next tick tries
/// again.
void PeerTable::accept() {
  m_Acceptor.async_accept([this](std::error_code Error, tcp::socket Socket) {
    if (m_Closing)
      return;
    if (Error) {
      m_AcceptFailed = true;
      return;
    }
    const auto Unproven = std::count_if(
        m_Connections.begin(), m_Connections.end(), [](const auto &Item) {
          return !Item->isAuthenticated() && Item->role() == PeerRole::Acceptor;
        });
    if (!Error && static_cast<std::size_t>(Unproven) < MaxUnprovenConnections)
      makeConnection(std::move(Socket), PeerRole::Acceptor, VmName())
          ->startAccepted();
    accept();
  });
}

PeerTable::ConnectionPtr PeerTable::makeConnection(tcp::socket Socket,
                                                   PeerRole Role,
                                                   const VmName &Expected) {
  PeerHandshake Handshake(m_Options.Vm, m_Options.Keys, Role, Expected,
                          makeNonce(), m_Options.Deflate);
  PeerConnectionOwner &Owner = *this;
  auto Connection = std::make_shared<PeerConnection>(
      std::move(Socket), std::move(Handshake),
      m_Options.MaxMessageBytes + MaxTrailerBytes, m_ReadBuffer, m_Clock,
      Owner);
  m_Connections.insert(Connection);
  return Connection;
}

// --- Events of connections -------------------------------------------------

/// While this daemon's own attempt is in progress and its name is the lower
/// one, the other end's attempt is refused. The name is not proved yet, so
/// nothing else is decided here.
bool PeerTable::mayAccept(const VmName &Name) {
  const auto Entry = find(Name);
  return !Entry || !Entry->Dialing || Name < m_Options.Vm;
}

/// True if both ends dialed at the same time and this end's is to be kept.
bool PeerTable::keepsOwnConnection(const Peer &Entry) const {
  return Entry.Established && Entry.Established->role() == PeerRole::Dialer &&
         m_Options.Vm < Entry.Vm &&
         m_Clock.now() - Entry.EstablishedAt < m_Options.ConnectTimeout;
}

bool PeerTable::onAuthenticated(PeerConnection &Connection) {
  const auto Entry = findOrAdd(Connection.peer());
  const bool IsAccepted = Connection.role() == PeerRole::Acceptor;
  if (IsAccepted && keepsOwnConnection(*Entry))
    return false;
  Connection.attach(Entry);
  const auto Older =
      std::exchange(Entry->Established, Connection.shared_from_this());
  const auto Attempt = std::exchange(Entry->Dialing, nullptr);
  if (Attempt && Attempt != Entry->Established)
    Attempt->close(Errc::Conflict);
  if (Older)
    Older->close(Errc::Conflict);
  Entry->Wanted = true;
  Entry->FailedDials = 0;
  Entry->EstablishedAt = m_Clock.now();
  Entry->Connected = true;
  ++Entry->Connections;
  logEvent("peer_connected", "peer={} dialed={} replaced={}", Entry->Vm.Text,
           !IsAccepted, Older != nullptr);
  m_Handler->onPeerConnected(Entry->Vm);
  return true;
}

void PeerTable::takeFrames(PeerConnection &Connection, std::string &Out) {
  const auto &Entry = Connection.attached();
  if (!Entry || Entry->Established.get() != &Connection)
    return;
  Entry->MessagesSent +=
      Entry->Queue.pop(Out, EnoughFrameBytes, m_Clock.now(), m_Stamps);
}

/// A message that cannot be read is counted and left out: the frames around it
/// are whole, and a newer daemon may send what this one does not know.
void PeerTable::onFrame(PeerConnection &Connection, std::string_view Frame) {
  const auto &Entry = Connection.attached();
  if (!Entry || Entry->Established.get() != &Connection)
    return;
  auto Read = decodePeerMessage(Frame, m_Clock.now());
  if (Read && Read->Clock)
    m_Stamps.merge(*Read->Clock);
  if (!Read || !Read->Message) {
    ++Entry->MessagesRejected;
    return;
  }
  ++Entry->MessagesReceived;
  m_Handler->onMessage(Entry->Vm, std::move(*Read->Message));
}

void PeerTable::onBytes(PeerConnection &Connection, std::size_t Sent,
                        std::size_t Received) {
  const auto &Entry = Connection.attached();
  if (!Entry)
    return;
  Entry->BytesSent += Sent;
  Entry->BytesReceived += Received;
}

void PeerTable::onClosed(PeerConnection &Connection, std::error_code Why) {
  m_Connections.erase(Connection.shared_from_this());
  if (!Connection.isAuthenticated() && Why == Errc::Closed)
    logRefusal(Connection.peer(), Why);
  const auto Entry = Connection.attached();
  if (!Entry)
    return;
  if (Entry->Dialing.get() == &Connection) {
    Entry->Dialing = nullptr;
    delayDial(*Entry);
  }
  if (Entry->Established.get() != &Connection)
    return;
  Entry->Established = nullptr;
  Entry->Connected = false;
  Entry->NextDial = m_Clock.now();
  if (Entry->Vm < m_Options.Vm)
    Entry->NextDial += HigherNameDelay;
  logEvent("peer_lost", "peer={} reason=\"{}\"", Entry->Vm.Text, Why.message());
  m_Handler->onPeerLost(Entry->Vm);
  if (Entry->Address.empty())
    erase(Entry->Vm);
}

void PeerTable::logRefusal(const VmName &Name, std::error_code Why) {
  const auto Now = m_Clock.now();
  if (Now < m_NextRefusalLog)
    return;
  m_NextRefusalLog = Now + RefusalLogInterval;
  logEvent("peer_refused", "peer={} reason=\"{}\"", Name.Text, Why.message());
}

// --- Liveness --------------------------------------------------------------

void PeerTable::scheduleTick() {
  m_Timer.expires_after(
      std::min<Duration>(MaxTickInterval, m_Options.PingInterval / 4));
  m_Timer.async_wait([this](std::error_code Error) {
    if (Error || m_Closing)
      return;
    tick();
    scheduleTick();
  });
}

/// Looks after every connection, and dials peers whose connection was lost.
/// After a pause of this process the silence of others proves nothing.
void PeerTable::tick() {
  const auto Now = m_Clock.now();
  const bool WasPaused =
      Now - std::exchange(m_LastTick, Now) > PauseThreshold + MaxTickInterval;
  const auto Connections = m_Connections;
  for (const auto &Connection : Connections) {
    if (WasPaused)
      Connection->excuseSilence();
    checkLiveness(*Connection, Now);
  }
  if (std::exchange(m_AcceptFailed, false))
    accept();
  std::vector<PeerPtr> ToDial;
  {
    const std::shared_lock Guard(m_Lock);
    for (const auto &[Name, Entry] : m_Peers)
      if (Entry->Wanted && !Entry->Established && Now >= Entry->NextDial)
        ToDial.push_back(Entry);
  }
  for (const auto &Entry : ToDial)
    dial(*Entry);
}

void PeerTable::checkLiveness(PeerConnection &Connection, TimePoint Now) {
  if (!Connection.isAuthenticated()) {
    if (Now - Connection.created() > m_Options.ConnectTimeout)
      Connection.close(Errc::Timeout);
    return;
  }
  const auto Silence = Now - Connection.lastReceived();
  if (Silence > m_Options.SilenceTimeout)
    Connection.close(Errc::Timeout);
  else if (Silence > m_Options.PingInterval &&
           Now - Connection.lastPing() > m_Options.PingInterval)
    Connection.ping();
}

} // namespace mangodeck
