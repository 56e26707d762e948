#ifndef MANGODECK_SOAK_FAULTPROXY_H
#define MANGODECK_SOAK_FAULTPROXY_H

#include "httpserver.h"

#include <atomic>

namespace mangodeck::soak {

/// What a proxy does to the bytes that pass it.
enum class LinkFault { None, Delay, Silent, OneWay };

/// A TCP relay on loopback before one server, with faults.
class FaultProxy {
public:
  FaultProxy(const std::string &Ip, std::string ToIp, std::uint16_t ToPort);

  std::uint16_t port() const { return m_Server.port(); }
  const std::string &ip() const { return m_Server.ip(); }
  void setFault(LinkFault Fault) { m_Fault = Fault; }
  void resetAll() { m_Server.resetAll(); }
  void closeFor(std::chrono::milliseconds Pause) { m_Server.closeFor(Pause); }

private:
  void relay(Socket &From, Socket &To, bool Downstream);
  void serve(Socket &Caller);

  std::string m_ToIp;
  std::uint16_t m_ToPort;
  std::atomic<LinkFault> m_Fault{LinkFault::None};
  ThreadedServer m_Server;
};

} // namespace mangodeck::soak

#endif
