#ifndef MANGODECK_GATEWAY_PEERCHANGES_H
#define MANGODECK_GATEWAY_PEERCHANGES_H

#include "mangodeck/common/random.h"
#include "mangodeck/gateway/gatewaymetrics.h"
#include "mangodeck/gateway/keyfollower.h"
#include "mangodeck/gateway/peercatchup.h"
#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/http/callserver.h"
#include "mangodeck/http/client.h"

#include <asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangodeck {

/// Path of the call at which a daemon gives the changes of the store's keys
/// after a revision, on the TCP port with the number of its peer port. The
/// answer is an encoded RelayedChanges, or 503 without a complete listing.
inline constexpr std::string_view PeerChangesPath = "/changes";

/// Gives this daemon's knowledge of the store's keys to other daemons. What
/// callers that do not take their answers can use is bounded by the number of
/// connections.
class PeerChangeServer {
public:
  PeerChangeServer(asio::any_io_executor Executor, KeyFollower &Follower,
                   GatewayMetrics &Metrics);
  std::error_code listen(const std::string &Ip, std::uint16_t Port);

private:
  http::CallReply answer(const http::RequestHead &Call);

  KeyFollower &m_Follower;
  GatewayMetrics &m_Metrics;
  http::CallServer m_Server;
};

/// Asks the daemons that the store lists, by turns one of the own failure
/// domain and one of another, each time a different one in random order.
class PeerChangeClient : public PeerChangeReader {
public:
  /// Returns the endpoints of the other daemons.
  using Endpoints = std::function<std::vector<PeerEndpoint>()>;

  /// \p Own: where this daemon receives relayed messages.
  PeerChangeClient(asio::any_io_executor Executor, PeerEndpoint Own,
                   Endpoints Peers, GatewayMetrics &Metrics,
                   http::CallObserver &Calls, RandomSource &Random);

  void query(const ChangeQuery &Query, Duration Timeout,
             Callback<RelayedChanges> Done) override;

private:
  /// Takes the next daemon to ask from the order; refills it when it is empty.
  std::optional<PeerEndpoint> next(bool IsOwnDomain);

  asio::any_io_executor m_Executor;
  PeerEndpoint m_Own;
  Endpoints m_Peers;
  GatewayMetrics &m_Metrics;
  http::CallObserver &m_CallObserver;
  RandomSource &m_Random;
  std::vector<PeerEndpoint> m_OwnOrder;
  std::vector<PeerEndpoint> m_RemoteOrder;
  bool m_AskedOwnDomain = false;
  std::uint64_t m_NextCall = 0;
  std::map<std::uint64_t, std::unique_ptr<http::Client>> m_Calls;
  /// False after the destructor; checked by callbacks that may run later.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace mangodeck

#endif
