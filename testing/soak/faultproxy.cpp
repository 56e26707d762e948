#include "faultproxy.h"

namespace mangodeck::soak {

namespace {

/// Delay of a slow link, each way.
constexpr std::chrono::milliseconds LinkDelay{40};
/// Silenced bytes are dropped; the connection itself stays open.
bool isSilenced(LinkFault Fault, bool Downstream) {
  return Fault == LinkFault::Silent ||
         (Fault == LinkFault::OneWay && Downstream);
}

} // namespace

FaultProxy::FaultProxy(const std::string &Ip, std::string ToIp,
                       std::uint16_t ToPort)
    : m_ToIp(std::move(ToIp)), m_ToPort(ToPort),
      m_Server(Ip, [this](Socket &Caller) { serve(Caller); }) {}

void FaultProxy::relay(Socket &From, Socket &To, bool Downstream) {
  std::array<char, 8192> Buffer;
  bool Lost = false;
  while (true) {
    std::error_code Error;
    const auto Size = From.read_some(asio::buffer(Buffer), Error);
    if (Error)
      break;
    const auto Fault = m_Fault.load();
    // A stream with a hole is never continued: the path forgot it.
    Lost = Lost || isSilenced(Fault, Downstream);
    if (Lost)
      continue;
    if (Fault == LinkFault::Delay)
      std::this_thread::sleep_for(LinkDelay);
    if (!writeAll(To, {Buffer.data(), Size}))
      break;
  }
  std::error_code Ignored;
  To.shutdown(Socket::shutdown_both, Ignored);
  From.shutdown(Socket::shutdown_both, Ignored);
}

void FaultProxy::serve(Socket &Caller) {
  asio::io_context Loop;
  Socket Server(Loop);
  std::error_code Error;
  Server.connect({asio::ip::make_address(m_ToIp), m_ToPort}, Error);
  if (Error)
    return reset(Caller);
  Server.set_option(asio::ip::tcp::no_delay(true), Error);
  std::thread Back([&] { relay(Server, Caller, true); });
  relay(Caller, Server, false);
  Back.join();
}

} // namespace mangodeck::soak
