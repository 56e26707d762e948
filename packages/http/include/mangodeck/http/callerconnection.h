#ifndef MANGODECK_HTTP_CALLERCONNECTION_H
#define MANGODECK_HTTP_CALLERCONNECTION_H

#include "mangodeck/common/units.h"
#include "mangodeck/http/parser.h"
#include "mangodeck/http/sendqueue.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
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

/// What a connection holds memory for.
enum class MemoryUse : std::uint8_t {
  Head,      ///< The head of a request, while it is read and answered.
  ReadAhead, ///< Bytes behind a request that is being answered.
  Body,      ///< The body of a request, while it is read and answered.
  Answer,    ///< Answers that the caller has not taken yet.
  Unread,    ///< Bytes that the system may keep while reading pauses.
};
inline constexpr std::size_t MemoryUses = 5;

/// What a connection holds that it could be made to give up.
struct HeldMemory {
  std::size_t Bytes = 0;
  /// Since when the caller has sent or taken next to nothing.
  TimePoint StalledSince{};
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
  /// malformed one. \p Reason is for a log; \p HeadBytes is as much of its head
  /// as was received.
  virtual void onRejected(int Status, std::string_view Reason,
                          std::string_view HeadBytes) = 0;
  /// The connection is closed; the handler must not use it any longer.
  virtual void onClosed(CallerConnection &Connection) = 0;
  /// Whether the daemon is shutting down. The answer to the last request that
  /// has arrived then carries "Connection: close", and the connection is closed
  /// after it.
  virtual bool isLeaving() const = 0;
  /// Reserves \p Bytes more of memory, before it is used. \p Total is what the
  /// connection then holds for this use. If false, the memory must not be used.
  /// A body with a length is reserved whole before its first byte is read.
  virtual bool reserveMemory(const CallerConnection &Connection, MemoryUse Use,
                             std::size_t Bytes, std::size_t Total) = 0;
  /// Counts memory that is used in any case.
  virtual void overdrawMemory(MemoryUse Use, std::size_t Bytes) = 0;
  virtual void releaseMemory(MemoryUse Use, std::size_t Bytes) = 0;
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
  void sendAnswer(int Status, HeaderList Fields, std::string_view Content);
  /// The same without a copy of a long body.
  void sendAnswer(int Status, HeaderList Fields, Body &&Content);
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
  std::size_t pendingBytes() const { return m_Answers.size(); }

  /// What giveUp() of \p Use would free.
  HeldMemory heldMemory(MemoryUse Use) const;
  /// Frees what is held for \p Use: a request that is being read is answered
  /// with 408, a connection whose caller does not take its answer is reset.
  void giveUp(MemoryUse Use);
  /// Since when the connection has been without use: it is idle, discards bytes
  /// after its last answer, or waits for the end of a head. std::nullopt if a
  /// body is read or a request is answered.
  std::optional<TimePoint> unusedSince() const;
  /// Closes a connection without use, so that another one can be accepted.
  void closeUnused();
  /// Tells the callers of long bodies apart, by the key of the request or else
  /// the remote address; 0 without a long body.
  std::uint64_t owner() const { return m_Owner; }
  /// What is held for the body of a request, while it is read and answered.
  std::size_t bodyBytes() const { return held(MemoryUse::Body); }

private:
  enum class Phase : std::uint8_t {
    Reading,
    Answering,
    Lingering, ///< Discards what the caller still sends after the last answer.
    Closed
  };

  void onHead() override;
  void onBody(std::string_view Bytes) override;
  /// Reserves memory, so that \p Total bytes are held for \p Use; false if the
  /// handler refuses it.
  bool hold(MemoryUse Use, std::size_t Total);
  void holdInAnyCase(MemoryUse Use, std::size_t Bytes);
  void drop(MemoryUse Use, std::size_t Bytes);
  void dropAll(MemoryUse Use) { drop(Use, held(Use)); }
  std::size_t held(MemoryUse Use) const {
    return m_Held[static_cast<std::size_t>(Use)];
  }
  std::uint64_t findOwner();
  /// Reserves the memory of a body that grows to \p Capacity bytes; a refusal
  /// ends the request.
  void reserveBody(std::size_t Capacity);
  void read();
  void onReadable(std::error_code Error);
  void onBytes(std::string_view Bytes);
  void onReadFailed();
  /// Bytes that may be read while a request is answered, at most \p Wanted; 0
  /// if there is no room.
  std::size_t roomToReadAhead(std::size_t Wanted);
  bool isReadAheadFull() const;
  /// Pauses reading until the answer is complete. Without memory for what the
  /// system keeps meanwhile, calls discardRest() and returns false.
  bool pauseReading();
  /// Reserves memory for what the system keeps while reading pauses.
  bool holdUnread();
  /// Whether the next request is not read before more of the answers to the
  /// earlier ones has been written.
  bool mustAwaitWrites() const;
  /// Pauses reading until mustAwaitWrites() ends. Without memory for what the
  /// system keeps meanwhile, the connection is closed behind its answers.
  void awaitWrites();
  /// Keeps bytes behind a request that is being answered.
  void keepUnparsed(std::string_view Bytes);
  /// From now on what follows the request that is being answered is discarded,
  /// and the connection is closed after the answer.
  void discardRest();
  /// Reads requests from \p Bytes; returns how many bytes were used.
  std::size_t parse(std::string_view Bytes);
  void parseBuffered();
  /// Calls parseBuffered() and read() from the event loop.
  void parseLater();
  void reject(int Status, std::string_view Reason);
  void write(std::string_view Bytes);
  void writeBody(std::string_view Head, Body &&Content);
  /// Whether the answer to the current request may have a body. The caller
  /// would take the bytes of another one for the next answer (RFC 9112, 6.3).
  bool mayHaveContent(int Status) const;
  /// Serializes the head of a whole answer.
  std::string answerHead(int Status, HeaderList Fields, std::size_t BodyBytes);
  /// Counts the memory of what was appended to m_Answers.
  void countPending(bool WasEmpty, std::size_t HeldBytes);
  void flush();
  void onWritten(std::error_code Error);
  void finishAnswer();
  void shutdownSend();
  /// Bytes of answers that the caller has not acknowledged.
  std::size_t unsentBytes();
  /// Closes a connection whose last answer has been taken, or is no longer
  /// being taken.
  void checkLinger(TimePoint Now);
  void close();
  void addConnectionField(HeaderList &Fields);
  /// Whether bytes have arrived behind the request that is being answered.
  bool hasFollowingBytes();

  asio::ip::tcp::socket m_Socket;
  CallerConnectionHandler &m_Handler;
  CallerBounds m_Bounds;
  RequestParser m_Parser;
  Request m_Request;
  Phase m_Phase = Phase::Reading;
  std::array<std::size_t, MemoryUses> m_Held{};
  std::uint64_t m_Owner = 0; ///< See owner().
  bool m_IsRefused = false;  ///< By the handler's reserveMemory().
  bool m_DiscardsRest = false;
  bool m_CloseAfterAnswer = false;
  bool m_IsHeadRequest = false;
  bool m_StreamHasContent = false; ///< See mayHaveContent().
  bool m_ReadPending = false;
  bool m_WritePending = false;
  bool m_AwaitsWrites = false; ///< See awaitWrites().
  bool m_PeerClosed = false;
  std::string m_Unparsed;
  /// Bytes behind the request that is passed to the handler, besides
  /// m_Unparsed.
  bool m_HasBytesBehind = false;
  SendQueue m_Answers;
  TimePoint m_FirstByteTime{};
  TimePoint m_LastActivity{};
  /// Bytes of the body at m_BodyProgressAt, and of the current item that were
  /// written at m_AnswerProgressAt. A few bytes are no progress.
  std::size_t m_BodyProgress = 0;
  std::size_t m_AnswerProgress = 0;
  TimePoint m_BodyProgressAt{};
  TimePoint m_AnswerProgressAt{};
  std::size_t m_WrittenBytes = 0; ///< Of the current item of m_Answers.
  TimePoint m_LingerSince{};
  TimePoint m_LingerProgressAt{};
  std::size_t m_LingerUnsent = 0; ///< At the last check.
};

} // namespace mangodeck::http

#endif
