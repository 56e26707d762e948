#ifndef MANGODECK_CONNECTION_DATAGRAMTRANSPORT_H
#define MANGODECK_CONNECTION_DATAGRAMTRANSPORT_H

#include "mangodeck/common/error.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mangodeck {

/// Datagrams that could not be sent or received.
struct DatagramFailures {
  std::uint64_t Sends = 0;
  std::uint64_t Receives = 0;
};

/// Sends and receives datagrams. Used from one thread, that of its loop.
class DatagramTransport {
public:
  /// Receives the bytes of a datagram and its source as IP:PORT.
  using Receiver =
      std::function<void(std::string_view Bytes, std::string_view Source)>;

  virtual ~DatagramTransport() = default;

  /// Starts to deliver received datagrams to \p Deliver.
  virtual void start(Receiver Deliver) = 0;

  /// Sends \p Bytes to \p Address (IP:PORT) without waiting; a datagram that
  /// the system does not take at once is dropped and counted.
  virtual void send(std::string_view Address, std::string_view Bytes) = 0;

  /// Own address as IP:PORT; shows the port chosen by the system for port 0.
  virtual std::string localAddress() const = 0;

  virtual DatagramFailures failures() const = 0;
};

/// Opens a UDP socket bound to \p Address (IP:PORT). Errc::InvalidInput if it
/// is no such address; the system's error if it cannot be bound.
Expected<std::unique_ptr<DatagramTransport>>
openUdpTransport(asio::io_context &Loop, std::string_view Address);

} // namespace mangodeck

#endif
