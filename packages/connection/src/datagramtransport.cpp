#include "mangodeck/connection/datagramtransport.h"

#include <asio/buffer.hpp>
#include <asio/ip/udp.hpp>
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <optional>

namespace mangodeck {

namespace {

using asio::ip::udp;

/// One byte more than the largest datagram that is accepted, so that a longer
/// one is seen as such instead of being cut.
constexpr std::size_t ReceiveBytes = 1401;

std::optional<udp::endpoint> parseEndpoint(std::string_view Address) {
  const auto Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  auto Host = Address.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  const auto PortText = Address.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto *End = PortText.data() + PortText.size();
  const auto Parsed = std::from_chars(PortText.data(), End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  asio::error_code Error;
  const auto Ip = asio::ip::make_address(std::string(Host), Error);
  if (Error)
    return std::nullopt;
  return udp::endpoint(Ip, Port);
}

std::string toText(const udp::endpoint &Endpoint) {
  const auto Ip = Endpoint.address().to_string();
  return Endpoint.address().is_v6()
             ? fmt::format("[{}]:{}", Ip, Endpoint.port())
             : fmt::format("{}:{}", Ip, Endpoint.port());
}

class UdpTransport : public DatagramTransport {
public:
  explicit UdpTransport(udp::socket Socket)
      : m_Shared(std::make_shared<Shared>(std::move(Socket))) {}

  ~UdpTransport() override {
    m_Shared->Deliver = nullptr;
    asio::error_code Ignored;
    m_Shared->Socket.close(Ignored);
  }

  void start(Receiver Deliver) override {
    m_Shared->Deliver = std::move(Deliver);
    receive(m_Shared);
  }

  void send(std::string_view Address, std::string_view Bytes) override {
    const auto Endpoint = parseEndpoint(Address);
    asio::error_code Error = asio::error::invalid_argument;
    if (Endpoint)
      m_Shared->Socket.send_to(asio::buffer(Bytes.data(), Bytes.size()),
                               *Endpoint, 0, Error);
    if (Error)
      ++m_Shared->Failures.Sends;
  }

  std::string localAddress() const override {
    asio::error_code Error;
    return toText(m_Shared->Socket.local_endpoint(Error));
  }

  DatagramFailures failures() const override { return m_Shared->Failures; }

private:
  /// Outlives the transport until the pending receive has been cancelled.
  struct Shared {
    explicit Shared(udp::socket Opened) : Socket(std::move(Opened)) {}

    udp::socket Socket;
    udp::endpoint Source;
    std::array<char, ReceiveBytes> Buffer{};
    Receiver Deliver;
    DatagramFailures Failures;
  };

  /// Receives until the socket is closed; an error such as an ICMP refusal of
  /// an earlier datagram does not end it.
  static void receive(const std::shared_ptr<Shared> &State) {
    State->Socket.async_receive_from(
        asio::buffer(State->Buffer), State->Source,
        [State](const asio::error_code &Error, std::size_t Length) {
          if (!State->Socket.is_open() || !State->Deliver)
            return;
          if (Error)
            ++State->Failures.Receives;
          else
            State->Deliver({State->Buffer.data(), Length},
                           toText(State->Source));
          if (State->Deliver)
            receive(State);
        });
  }

  std::shared_ptr<Shared> m_Shared;
};

} // namespace

Expected<std::unique_ptr<DatagramTransport>>
openUdpTransport(asio::io_context &Loop, std::string_view Address) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return unexpected(Errc::InvalidInput);
  udp::socket Socket(Loop);
  asio::error_code Error;
  Socket.open(Endpoint->protocol(), Error);
  if (!Error)
    Socket.bind(*Endpoint, Error);
  if (!Error)
    Socket.non_blocking(true, Error);
  if (Error)
    return unexpected(Error);
  return std::make_unique<UdpTransport>(std::move(Socket));
}

} // namespace mangodeck
