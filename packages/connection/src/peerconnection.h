#ifndef MANGODECK_CONNECTION_PEERCONNECTION_H
#define MANGODECK_CONNECTION_PEERCONNECTION_H

#include "mangodeck/common/clock.h"
#include "peerframe.h"
#include "peerhandshake.h"
#include "streamdeflate.h"

#include <asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace mangodeck {

class PeerConnection;
struct Peer;

/// What a connection asks and tells; called on the transport's thread.
class PeerConnectionOwner {
public:
  virtual ~PeerConnectionOwner() = default;

  /// A dialer names itself \p Peer, without proof yet. False refuses it.
  virtual bool mayAccept(const VmName &Peer) = 0;

  /// The other end is authenticated. False refuses the connection.
  virtual bool onAuthenticated(PeerConnection &Connection) = 0;

  /// Appends frames to send to \p Out; leaves it empty if there are none.
  virtual void takeFrames(PeerConnection &Connection, std::string &Out) = 0;

  virtual void onFrame(PeerConnection &Connection, std::string_view Frame) = 0;
  virtual void onBytes(PeerConnection &Connection, std::size_t Sent,
                       std::size_t Received) = 0;

  /// Called once; the connection is not used afterwards.
  virtual void onClosed(PeerConnection &Connection, std::error_code Why) = 0;
};

/// One HTTP/2 connection with one stream, from connect or accept to its end.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  /// \p ReadBuffer is shared by all connections of the thread.
  PeerConnection(asio::ip::tcp::socket Socket, PeerHandshake Handshake,
                 std::size_t MaxMessageBytes, std::span<char> ReadBuffer,
                 const Clock &Source, PeerConnectionOwner &Owner);

  void dial(const asio::ip::tcp::endpoint &Endpoint);
  void startAccepted();

  /// Frames may have become available from the owner.
  void wake();

  /// Asks the other end for a sign of life.
  void ping();

  /// Ends the connection; the owner is told.
  void close(std::error_code Why);

  /// Sets the owner's entry of the other end.
  void attach(std::shared_ptr<Peer> Entry) { m_Attached = std::move(Entry); }
  const std::shared_ptr<Peer> &attached() const { return m_Attached; }

  bool isAuthenticated() const { return m_Handshake.isDone(); }
  bool isWriting() const { return m_Writing || !m_Frames.empty(); }
  PeerRole role() const { return m_Handshake.role(); }
  const VmName &peer() const { return m_Handshake.peer(); }
  TimePoint created() const { return m_Created; }
  TimePoint lastReceived() const { return m_LastReceived; }
  TimePoint lastPing() const { return m_LastPing; }

  /// Counts silence from now on, after this process was paused itself.
  void excuseSilence() { m_LastReceived = m_Clock.now(); }

private:
  struct SessionDeleter {
    void operator()(nghttp2_session *Session) const {
      nghttp2_session_del(Session);
    }
  };

  void startSession();
  void submitStream(std::int32_t AnsweredStream);
  void read();
  void onReadable();
  bool receive(std::string_view Bytes);
  bool takeReceivedFrames();
  std::error_code takeHandshakeFrame(std::string_view Frame);
  std::error_code startDeflating();
  void countBytes(std::size_t Sent, std::size_t Received);
  std::error_code takeData(std::string_view Bytes);
  void takeFrames();
  void write();

  static int onFrameReceived(nghttp2_session *, const nghttp2_frame *Frame,
                             void *Self);
  static int onData(nghttp2_session *, std::uint8_t, std::int32_t Stream,
                    const std::uint8_t *Data, std::size_t Size, void *Self);
  static int onStreamClosed(nghttp2_session *, std::int32_t, std::uint32_t,
                            void *Self);
  static ssize_t provideData(nghttp2_session *, std::int32_t,
                             std::uint8_t *Buffer, std::size_t Size,
                             std::uint32_t *, nghttp2_data_source *Source,
                             void *);

  asio::ip::tcp::socket m_Socket;
  PeerHandshake m_Handshake;
  const std::size_t m_MaxMessageBytes;
  std::span<char> m_ReadBuffer;
  const Clock &m_Clock;
  PeerConnectionOwner &m_Owner;
  std::shared_ptr<Peer> m_Attached;
  std::unique_ptr<nghttp2_session, SessionDeleter> m_Session;
  std::int32_t m_Stream = 0;
  bool m_StreamEnded = false;
  bool m_Closed = false;
  bool m_Writing = false;
  FrameReader m_Received;
  std::unique_ptr<StreamDeflater> m_Deflater; ///< Null unless agreed on.
  std::unique_ptr<StreamInflater> m_Inflater; ///< Likewise.
  std::string m_Frames; ///< Being sent, from m_FramesOffset.
  std::size_t m_FramesOffset = 0;
  std::string m_Plain;          ///< Frames that are about to be deflated.
  std::string m_Output;         ///< Given to the socket while m_Writing.
  std::size_t m_UntoldSent = 0; ///< Bytes before the other end was known.
  std::size_t m_UntoldReceived = 0;
  TimePoint m_Created;
  TimePoint m_LastReceived;
  TimePoint m_LastPing;
};

} // namespace mangodeck

#endif
