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

/// Bounds on what a caller may send, and on how long it may take.
struct CallerBounds {
  std::size_t MaxHeadBytes = 16384;
  std::size_t MaxBodyBytes = 4 << 20;
  Duration HeadTimeout = 3s; ///< From the first byte to the end of a head.
  Duration IdleTimeout = 15s;
  /// A caller that pauses longer within a body is cut off.
  Duration BodyTimeout = 10s;
};

class CallerConnection;

/// What a connection from a caller is used for.
class CallerConnectionHandler {
public:
  virtual ~CallerConnectionHandler() = default;
  /// A whole request was read; exactly one answer is owed.
  virtual void onRequest(CallerConnection &Connection, Request &&Message,
                         TimePoint FirstByte) = 0;
  /// The caller closed the connection before its answer was complete.
  virtual void onCallerLeft(CallerConnection &Connection) = 0;
  /// A request was answered here already, e.g. 400 for a malformed one.
  /// \p Start is the start of what was read.
  virtual void onRejected(int Status, std::string_view Start) = 0;
  /// The connection is gone; it must not be used any longer.
  virtual void onClosed(CallerConnection &Connection) = 0;
  /// Whether the next answer is to end the connection.
  virtual bool isLeaving() const = 0;
  /// Whether \p Bytes more of body may be kept in memory.
  virtual bool mayBuffer(std::size_t Bytes) const = 0;
};

/// One connection from a caller: reads a request at a time and writes its
/// answer. Runs on one loop; not safe from other threads.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         private MessageSink {
public:
  CallerConnection(asio::ip::tcp::socket Socket,
                   CallerConnectionHandler &Handler,
                   const CallerBounds &Bounds);

  void start();
  /// Sends a whole answer. \p Fields must not frame the body.
  void sendAnswer(int Status, HeaderList Fields, std::string_view Body);
  /// Starts an answer that is sent in chunks.
  void startStream(int Status, std::string_view Reason, HeaderList Fields);
  void sendChunk(std::string_view Data);
  /// Ends a chunked answer as complete.
  void endStream();
  /// Breaks the connection off, so that an answer cannot look complete.
  void abort();
  /// Closes the connection if no request is being read or answered.
  void closeIfIdle();
  /// Enforces the time limits; called a few times a second.
  void checkTimeouts(TimePoint Now);

  bool isAnswering() const { return m_Phase == Phase::Answering; }
  std::size_t pendingBytes() const {
    return m_Writing.size() + m_Queued.size();
  }

private:
  enum class Phase : std::uint8_t { Reading, Answering, Lingering, Closed };

  void onHead() override;
  void onBody(std::string_view Bytes) override;
  void read();
  void onRead(std::error_code Error, std::size_t Size);
  void consume();
  void reject(int Status);
  void write(std::string_view Bytes);
  void flush();
  void finishAnswer();
  void linger();
  void close();
  void frameHead(HeaderList &Fields);

  asio::ip::tcp::socket m_Socket;
  CallerConnectionHandler &m_Handler;
  CallerBounds m_Bounds;
  RequestParser m_Parser;
  Request m_Request;
  Phase m_Phase = Phase::Reading;
  bool m_OverBudget = false; ///< A body that there is no memory for.
  bool m_CloseAfter = false;
  bool m_HeadOnly = false;
  bool m_ReadPending = false;
  bool m_WritePending = false;
  bool m_PeerClosed = false;
  std::array<char, 8192> m_Buffer;
  std::string m_Unparsed;
  std::string m_Writing;
  std::string m_Queued;
  TimePoint m_FirstByte{};
  TimePoint m_LastActive{};
  TimePoint m_LingerSince{};
};

} // namespace mangodeck::http

#endif
