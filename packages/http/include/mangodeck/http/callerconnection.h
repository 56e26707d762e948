#ifndef MANGODECK_HTTP_CALLERCONNECTION_H
#define MANGODECK_HTTP_CALLERCONNECTION_H

#include "mangodeck/common/units.h"
#include "mangodeck/http/parser.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace mangodeck::http {

/// Limits on the size of requests and on the time a caller may take.
struct CallerBounds {
  std::size_t MaxHeadBytes = 16384;
  std::size_t MaxBodyBytes = 4 << 20;
  Duration HeadTimeout = 3s;  ///< From the first byte of a head to its end.
  Duration IdleTimeout = 15s; ///< Without the first byte of a request.
  /// Longest pause within a body; after that the request is answered with 408.
  Duration BodyTimeout = 10s;
};

class CallerConnection;

/// Handles the requests and the end of connections from callers.
class CallerConnectionHandler {
public:
  virtual ~CallerConnectionHandler() = default;
  /// A complete request was received, whose first byte arrived at \p FirstByte.
  /// The handler must send exactly one answer, now or later.
  virtual void onRequest(CallerConnection &Connection, Request &&Message,
                         TimePoint FirstByte) = 0;
  /// The caller closed the connection, or it failed, before the answer was
  /// complete.
  virtual void onCallerLeft(CallerConnection &Connection) = 0;
  /// The connection itself answers a request with an error, e.g. 400 for a
  /// malformed one. \p HeadBytes is as much of its head as was received.
  virtual void onRejected(int Status, std::string_view HeadBytes) = 0;
  /// The connection is closed; the handler must not use it any longer.
  virtual void onClosed(CallerConnection &Connection) = 0;
  /// Whether the daemon is shutting down. Answers then carry "Connection:
  /// close", and the connection is closed after them.
  virtual bool isLeaving() const = 0;
  /// Reserves memory for \p Bytes more of a body, which takes \p Total with
  /// them; if false, the request is answered with 503. A body with a length is
  /// reserved whole before its first byte is read.
  virtual bool reserveBody(std::size_t Bytes, std::size_t Total) = 0;
  /// Takes back what was reserved for a request, which is about to be handled
  /// or will not be.
  virtual void releaseBody(std::size_t Bytes) = 0;
  /// Fields of the answer with which the connection rejects a request.
  virtual HeaderList rejectionFields(int Status) = 0;
};

/// One connection from a caller. Reads one request at a time and writes its
/// answer. All calls must come from the thread of the socket's executor.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         private MessageSink {
public:
  CallerConnection(asio::ip::tcp::socket Socket,
                   CallerConnectionHandler &Handler,
                   const CallerBounds &Bounds);

  void start();
  /// Sends a complete answer and its Content-Length. \p Fields must not contain
  /// Transfer-Encoding.
  void sendAnswer(int Status, HeaderList Fields, std::string_view Body);
  /// Starts an answer with a chunked body.
  void startStream(int Status, std::string_view Reason, HeaderList Fields);
  void sendChunk(std::string_view Data);
  /// Sends the last chunk, which completes the answer.
  void endStream();
  /// Resets the connection, so that the caller cannot take a partial answer for
  /// a complete one.
  void abort();
  /// Closes the connection if no request is being read or answered and the last
  /// answer has been written to the socket.
  void closeIfIdle();
  /// Applies the time limits. The owner must call this several times a second.
  void checkTimeouts(TimePoint Now);

  bool isAnswering() const { return m_Phase == Phase::Answering; }
  /// Bytes of answers that have not been written to the socket.
  std::size_t pendingBytes() const {
    return m_Writing.size() + m_Queued.size();
  }

private:
  enum class Phase : std::uint8_t {
    Reading,
    Answering,
    Lingering, ///< Discards what the caller still sends after the last answer.
    Closed
  };

  void onHead() override;
  void onBody(std::string_view Bytes) override;
  /// Reserves memory for a body of \p Total bytes.
  void reserve(std::size_t Total);
  void releaseReserved();
  void read();
  void onRead(std::error_code Error, std::size_t Size);
  void parseBuffered();
  void reject(int Status);
  void write(std::string_view Bytes);
  void flush();
  void finishAnswer();
  void shutdownSend();
  /// Bytes of answers that the caller has not acknowledged.
  std::size_t unsentBytes();
  /// Closes a connection whose last answer has been taken, or is no longer
  /// being taken.
  void checkLinger(TimePoint Now);
  void close();
  void addConnectionField(HeaderList &Fields);

  asio::ip::tcp::socket m_Socket;
  CallerConnectionHandler &m_Handler;
  CallerBounds m_Bounds;
  RequestParser m_Parser;
  Request m_Request;
  Phase m_Phase = Phase::Reading;
  std::size_t m_ReservedBytes = 0; ///< For the body of m_Request.
  bool m_IsBodyRefused = false;    ///< By the handler's reserveBody().
  bool m_CloseAfterAnswer = false;
  bool m_IsHeadRequest = false;
  bool m_ReadPending = false;
  bool m_WritePending = false;
  bool m_PeerClosed = false;
  std::array<char, 8192> m_Buffer;
  std::string m_Unparsed;
  std::string m_Writing; ///< Passed to the current async_write().
  std::string m_Queued;  ///< To be written after m_Writing.
  TimePoint m_FirstByteTime{};
  TimePoint m_LastActivity{};
  std::size_t m_WrittenBytes = 0; ///< Of m_Writing.
  TimePoint m_LingerSince{};
  TimePoint m_LingerProgressAt{};
  std::size_t m_LingerUnsent = 0; ///< At the last check.
};

} // namespace mangodeck::http

#endif
