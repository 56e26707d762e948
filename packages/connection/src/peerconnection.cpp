#include "peerconnection.h"

#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

/// Receive window of the stream and of the connection.
constexpr std::int32_t WindowBytes = 1 << 20;
/// Longest frame before the other end is authenticated.
constexpr std::size_t MaxHandshakeBytes = 512;
/// Output is gathered up to this size for one write.
constexpr std::size_t EnoughOutputBytes = 64 << 10;

template <std::size_t N, std::size_t M>
nghttp2_nv makeField(const char (&Name)[N], const char (&Value)[M]) {
  // nghttp2 copies both texts and does not write to them.
  return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name)),
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value)), N - 1,
          M - 1, NGHTTP2_NV_FLAG_NONE};
}

/// One DATA frame may restore to this many messages of the greatest length.
constexpr std::size_t MaxRestoredMessages = 4;

} // namespace

PeerConnection::PeerConnection(asio::ip::tcp::socket Socket,
                               PeerHandshake Handshake,
                               std::size_t MaxMessageBytes,
                               std::span<char> ReadBuffer, const Clock &Source,
                               PeerConnectionOwner &Owner)
    : m_Socket(std::move(Socket)), m_Handshake(std::move(Handshake)),
      m_MaxMessageBytes(MaxMessageBytes), m_ReadBuffer(ReadBuffer),
      m_Clock(Source), m_Owner(Owner), m_Created(Source.now()),
      m_LastReceived(m_Created), m_LastPing(m_Created) {}

void PeerConnection::dial(const asio::ip::tcp::endpoint &Endpoint) {
  m_Socket.async_connect(
      Endpoint, [Self = shared_from_this()](std::error_code Error) {
        if (Self->m_Closed)
          return;
        if (Error)
          return Self->close(Error);
        Self->startSession();
        appendFrame(Self->m_Frames, Self->m_Handshake.start());
        Self->submitStream(0);
        Self->write();
        Self->read();
      });
}

void PeerConnection::startAccepted() {
  startSession();
  write();
  read();
}

void PeerConnection::startSession() {
  std::error_code Ignored;
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_Socket.non_blocking(true, Ignored);

  nghttp2_session_callbacks *Callbacks = nullptr;
  nghttp2_session_callbacks_new(&Callbacks);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks,
                                                       onFrameReceived);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks, onData);
  nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks,
                                                         onStreamClosed);
  nghttp2_session *Session = nullptr;
  if (role() == PeerRole::Dialer)
    nghttp2_session_client_new(&Session, Callbacks, this);
  else
    nghttp2_session_server_new(&Session, Callbacks, this);
  nghttp2_session_callbacks_del(Callbacks);
  m_Session.reset(Session);

  const nghttp2_settings_entry Settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes}};
  nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, Settings,
                          std::size(Settings));
  nghttp2_session_set_local_window_size(Session, NGHTTP2_FLAG_NONE, 0,
                                        WindowBytes);
}

/// Opens the stream (\p AnsweredStream 0) or answers the dialer's.
void PeerConnection::submitStream(std::int32_t AnsweredStream) {
  nghttp2_data_provider Provider{};
  Provider.source.ptr = this;
  Provider.read_callback = provideData;
  if (AnsweredStream != 0) {
    const nghttp2_nv Fields[] = {makeField(":status", "200")};
    nghttp2_submit_response(m_Session.get(), AnsweredStream, Fields,
                            std::size(Fields), &Provider);
    m_Stream = AnsweredStream;
    return;
  }
  const nghttp2_nv Fields[] = {
      makeField(":method", "POST"), makeField(":scheme", "http"),
      makeField(":authority", "mangodeck"), makeField(":path", "/peer")};
  m_Stream = nghttp2_submit_request(m_Session.get(), nullptr, Fields,
                                    std::size(Fields), &Provider, nullptr);
}

void PeerConnection::wake() {
  if (m_Closed || !m_Session || m_Stream == 0)
    return;
  nghttp2_session_resume_data(m_Session.get(), m_Stream);
  write();
}

void PeerConnection::ping() {
  m_LastPing = m_Clock.now();
  nghttp2_submit_ping(m_Session.get(), NGHTTP2_FLAG_NONE, nullptr);
  write();
}

void PeerConnection::close(std::error_code Why) {
  if (m_Closed)
    return;
  m_Closed = true;
  const auto Self = shared_from_this();
  std::error_code Ignored;
  m_Socket.close(Ignored);
  m_Owner.onClosed(*this, Why);
}

/// Waits for bytes without holding a buffer, because most connections are at
/// rest most of the time.
void PeerConnection::read() {
  m_Socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [Self = shared_from_this()](std::error_code Error) {
                        if (Self->m_Closed)
                          return;
                        if (Error)
                          return Self->close(Error);
                        Self->onReadable();
                      });
}

void PeerConnection::onReadable() {
  std::error_code Error;
  const auto Size = m_Socket.read_some(
      asio::buffer(m_ReadBuffer.data(), m_ReadBuffer.size()), Error);
  if (Error == asio::error::would_block)
    return read();
  if (Error)
    return close(Error);
  m_LastReceived = m_Clock.now();
  countBytes(0, Size);
  if (!receive({m_ReadBuffer.data(), Size}))
    return;
  write();
  if (!m_Closed)
    read();
}

/// Gives bytes to the HTTP/2 session, then handles the frames that became
/// whole. Returns false if the connection was closed.
bool PeerConnection::receive(std::string_view Bytes) {
  const auto Taken = nghttp2_session_mem_recv(
      m_Session.get(), reinterpret_cast<const std::uint8_t *>(Bytes.data()),
      Bytes.size());
  if (Taken < 0) {
    close(Errc::InvalidInput);
    return false;
  }
  if (!takeReceivedFrames())
    return false;
  if (m_StreamEnded || !nghttp2_session_want_read(m_Session.get()))
    close(Errc::Closed);
  return !m_Closed;
}

bool PeerConnection::takeReceivedFrames() {
  while (!m_Closed) {
    const auto Frame = m_Received.next(isAuthenticated() ? m_MaxMessageBytes
                                                         : MaxHandshakeBytes);
    if (!Frame) {
      close(Frame.error());
      break;
    }
    if (!*Frame)
      return true;
    if (isAuthenticated()) {
      m_Owner.onFrame(*this, **Frame);
    } else if (const auto Error = takeHandshakeFrame(**Frame)) {
      close(Error);
    }
  }
  return false;
}

std::error_code PeerConnection::takeHandshakeFrame(std::string_view Frame) {
  const auto Answer = m_Handshake.receive(Frame);
  if (!Answer)
    return Answer.error();
  if (!isAuthenticated() && !m_Owner.mayAccept(peer()))
    return Errc::Conflict;
  if (!Answer->empty())
    appendFrame(m_Frames, *Answer);
  if (isAuthenticated() && !m_Owner.onAuthenticated(*this))
    return Errc::Conflict;
  if (isAuthenticated()) {
    countBytes(0, 0);
    if (const auto Error = startDeflating())
      return Error;
  }
  nghttp2_session_resume_data(m_Session.get(), m_Stream);
  return {};
}

/// Tells the owner what was exchanged, once it knows with whom.
void PeerConnection::countBytes(std::size_t Sent, std::size_t Received) {
  m_UntoldSent += Sent;
  m_UntoldReceived += Received;
  if (isAuthenticated())
    m_Owner.onBytes(*this, std::exchange(m_UntoldSent, 0),
                    std::exchange(m_UntoldReceived, 0));
}

/// From here on both directions are deflated, if the ends agreed on it. What
/// came right behind the handshake's last frame is deflated already.
std::error_code PeerConnection::startDeflating() {
  if (!m_Handshake.deflates())
    return {};
  m_Deflater = std::make_unique<StreamDeflater>();
  m_Inflater = std::make_unique<StreamInflater>();
  return takeData(m_Received.takeRest());
}

std::error_code PeerConnection::takeData(std::string_view Bytes) {
  if (!m_Inflater) {
    m_Received.append(Bytes);
    return {};
  }
  std::string Restored;
  if (const auto Error = m_Inflater->restore(
          Bytes, MaxRestoredMessages * m_MaxMessageBytes, Restored))
    return Error;
  m_Received.append(Restored);
  return {};
}

void PeerConnection::takeFrames() {
  if (!m_Deflater)
    return m_Owner.takeFrames(*this, m_Frames);
  m_Plain.clear();
  m_Owner.takeFrames(*this, m_Plain);
  if (!m_Plain.empty())
    m_Frames = m_Deflater->compress(m_Plain);
}

/// Gathers what the session has to send, messages included, into one write.
/// Nothing is taken from the queue while a write is in progress, so a slow
/// peer fills its queue and not this process's memory.
void PeerConnection::write() {
  if (m_Writing || m_Closed)
    return;
  m_Output.clear();
  while (m_Output.size() < EnoughOutputBytes) {
    const std::uint8_t *Data = nullptr;
    const auto Size = nghttp2_session_mem_send(m_Session.get(), &Data);
    if (Size < 0)
      return close(Errc::InvalidInput);
    if (Size == 0)
      break;
    m_Output.append(reinterpret_cast<const char *>(Data),
                    static_cast<std::size_t>(Size));
  }
  if (m_Output.empty())
    return;
  m_Writing = true;
  asio::async_write(
      m_Socket, asio::buffer(m_Output),
      [Self = shared_from_this()](std::error_code Error, std::size_t Size) {
        Self->m_Writing = false;
        if (Self->m_Closed)
          return;
        if (Error)
          return Self->close(Error);
        Self->countBytes(Size, 0);
        Self->write();
      });
}

int PeerConnection::onFrameReceived(nghttp2_session *,
                                    const nghttp2_frame *Frame, void *Self) {
  auto &Connection = *static_cast<PeerConnection *>(Self);
  if (Connection.role() == PeerRole::Dialer ||
      Frame->hd.type != NGHTTP2_HEADERS)
    return 0;
  if (Connection.m_Stream != 0)
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  Connection.submitStream(Frame->hd.stream_id);
  return 0;
}

int PeerConnection::onData(nghttp2_session *, std::uint8_t, std::int32_t Stream,
                           const std::uint8_t *Data, std::size_t Size,
                           void *Self) {
  auto &Connection = *static_cast<PeerConnection *>(Self);
  if (Stream != Connection.m_Stream)
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  return Connection.takeData(Bytes) ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

int PeerConnection::onStreamClosed(nghttp2_session *, std::int32_t,
                                   std::uint32_t, void *Self) {
  static_cast<PeerConnection *>(Self)->m_StreamEnded = true;
  return 0;
}

/// Fills one DATA frame with as many messages as wait and fit.
ssize_t PeerConnection::provideData(nghttp2_session *, std::int32_t,
                                    std::uint8_t *Buffer, std::size_t Size,
                                    std::uint32_t *,
                                    nghttp2_data_source *Source, void *) {
  auto &Self = *static_cast<PeerConnection *>(Source->ptr);
  if (Self.m_FramesOffset == Self.m_Frames.size()) {
    Self.m_Frames.clear();
    Self.m_FramesOffset = 0;
    if (Self.isAuthenticated())
      Self.takeFrames();
  }
  if (Self.m_Frames.empty())
    return NGHTTP2_ERR_DEFERRED;
  const auto Count = std::min(Size, Self.m_Frames.size() - Self.m_FramesOffset);
  std::copy_n(Self.m_Frames.data() + Self.m_FramesOffset, Count, Buffer);
  Self.m_FramesOffset += Count;
  return static_cast<ssize_t>(Count);
}

} // namespace mangodeck
