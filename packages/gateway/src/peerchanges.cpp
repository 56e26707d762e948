#include "mangodeck/gateway/peerchanges.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace mangodeck {

namespace {

/// Answers that are under way at the same time; each may hold all keys of the
/// store.
constexpr std::size_t MaxConnections = 16;
constexpr Duration ServerTimeout = 2s;
constexpr std::string_view EraParameter = "era=";
constexpr std::string_view RevisionParameter = "after=";
/// "1" from daemons that accept differences from an earlier value.
constexpr std::string_view DeltasParameter = "deltas=";
/// The daemon that asks, see ChangeSubscriber.
constexpr std::string_view IpParameter = "ip=";
constexpr std::string_view PortParameter = "port=";
constexpr std::string_view IncarnationParameter = "inc=";
constexpr std::string_view SuspensionsParameter = "suspensions=";
constexpr std::string_view SentAtParameter = "sent_us=";

/// The number behind \p Name in a query.
template <typename Number>
std::optional<Number> parameterOf(std::string_view Target,
                                  std::string_view Name) {
  const auto Begin = Target.find(Name);
  if (Begin == std::string_view::npos)
    return std::nullopt;
  const auto Text = Target.substr(Begin + Name.size());
  Number Value{};
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  const bool IsWhole = End == Text.data() + Text.size() || *End == '&';
  return Error == std::errc() && IsWhole ? std::optional(Value) : std::nullopt;
}

/// Daemons of former versions do not state themselves.
std::optional<ChangeSubscriber> subscriberOf(std::string_view Target) {
  const auto Port = parameterOf<std::uint16_t>(Target, PortParameter);
  const auto Incarnation =
      parameterOf<IncarnationId>(Target, IncarnationParameter);
  const auto Suspensions =
      parameterOf<std::uint32_t>(Target, SuspensionsParameter);
  const auto SentAt = parameterOf<std::int64_t>(Target, SentAtParameter);
  const auto Begin = Target.find(IpParameter);
  if (!Port || !Incarnation || !Suspensions || !SentAt ||
      Begin == std::string_view::npos)
    return std::nullopt;
  const auto Text = Target.substr(Begin + IpParameter.size());
  std::error_code Error;
  std::string Ip(Text.substr(0, Text.find('&')));
  asio::ip::make_address(Ip, Error);
  if (Error)
    return std::nullopt;
  return ChangeSubscriber{{std::move(Ip), *Port, {}},
                          *Incarnation,
                          *Suspensions,
                          std::chrono::microseconds(*SentAt)};
}

std::string callOf(const ChangeQuery &Query, const PeerEndpoint &Own) {
  auto Call =
      fmt::format("{}?{}{}&{}{}&{}{}", PeerChangesPath, EraParameter,
                  Query.After.Era, RevisionParameter, Query.After.Number,
                  DeltasParameter, Query.AcceptsDeltas ? 1 : 0);
  if (Query.Subscriber)
    Call += fmt::format("&{}{}&{}{}&{}{}&{}{}&{}{}", IpParameter, Own.Ip,
                        PortParameter, Own.Port, IncarnationParameter,
                        Query.Subscriber->Incarnation, SuspensionsParameter,
                        Query.Subscriber->Suspensions, SentAtParameter,
                        std::chrono::duration_cast<std::chrono::microseconds>(
                            Query.Subscriber->SentAt)
                            .count());
  return Call;
}

} // namespace

PeerChangeServer::PeerChangeServer(asio::any_io_executor Executor,
                                   KeyFollower &Follower,
                                   GatewayMetrics &Metrics)
    : m_Follower(Follower), m_Metrics(Metrics),
      m_Server(
          std::move(Executor),
          [this](const http::RequestHead &Call) { return answer(Call); },
          MaxConnections, ServerTimeout) {}

std::error_code PeerChangeServer::listen(const std::string &Ip,
                                         std::uint16_t Port) {
  std::error_code Error;
  const auto Address = asio::ip::make_address(Ip, Error);
  return Error ? Error : m_Server.listen({Address, Port});
}

http::CallReply PeerChangeServer::answer(const http::RequestHead &Call) {
  const std::string_view Target = Call.Target;
  const auto Era = parameterOf<std::uint64_t>(Target, EraParameter);
  const auto After = parameterOf<std::int64_t>(Target, RevisionParameter);
  if (!Target.starts_with(PeerChangesPath))
    return {404, {}};
  if (!Era || !After)
    return {400, {}};
  const auto Changes =
      m_Follower.answer({{*Era, *After},
                         parameterOf<int>(Target, DeltasParameter) == 1,
                         subscriberOf(Target)});
  m_Metrics.countPeerQuery(Changes ? "served" : "unknown");
  return Changes ? http::CallReply{200, encodeRelayedChanges(*Changes)}
                 : http::CallReply{503, {}};
}

PeerChangeClient::PeerChangeClient(asio::any_io_executor Executor,
                                   PeerEndpoint Own, Endpoints Peers,
                                   GatewayMetrics &Metrics,
                                   http::CallObserver &Calls,
                                   RandomSource &Random)
    : m_Executor(std::move(Executor)), m_Own(std::move(Own)),
      m_Peers(std::move(Peers)), m_Metrics(Metrics), m_CallObserver(Calls),
      m_Random(Random) {}

std::optional<PeerEndpoint> PeerChangeClient::next(bool IsOwnDomain) {
  auto &Order = IsOwnDomain ? m_OwnOrder : m_RemoteOrder;
  if (Order.empty()) {
    for (auto &Each : m_Peers())
      if ((Each.Domain == m_Own.Domain) == IsOwnDomain)
        Order.push_back(std::move(Each));
    for (auto I = Order.size(); I > 1; --I)
      std::swap(Order[I - 1],
                Order[static_cast<std::size_t>(m_Random.uniform() *
                                               static_cast<double>(I))]);
  }
  if (Order.empty())
    return std::nullopt;
  auto Peer = std::move(Order.back());
  Order.pop_back();
  return Peer;
}

void PeerChangeClient::query(const ChangeQuery &Query, Duration Timeout,
                             Callback<RelayedChanges> Done) {
  auto Peer = Query.Receiver;
  if (!Peer) {
    m_AskedOwnDomain = !m_AskedOwnDomain;
    Peer = next(m_AskedOwnDomain);
    if (!Peer)
      Peer = next(!m_AskedOwnDomain);
  }
  std::error_code Error = make_error_code(Errc::NotFound);
  const auto Address =
      Peer ? asio::ip::make_address(Peer->Ip, Error) : asio::ip::address();
  if (Error)
    return asio::post(m_Executor, [Done = std::move(Done), Error] {
      Done(unexpected(Error));
    });
  const auto Number = ++m_NextCall;
  auto &Client = m_Calls[Number] = std::make_unique<http::Client>(
      m_Executor, asio::ip::tcp::endpoint(Address, Peer->Port), &m_CallObserver,
      http::ClientLimits{Timeout});
  Client->call("GET", callOf(Query, m_Own), "", Timeout,
               [this, Alive = m_Alive, Number, Asked = *Peer,
                Done = std::move(Done)](Expected<http::CallAnswer> Answer) {
                 // The client must outlive this call of its callback.
                 asio::post(m_Executor, [this, Alive, Number] {
                   if (*Alive)
                     m_Calls.erase(Number);
                 });
                 std::optional<RelayedChanges> Changes;
                 if (Answer && Answer->Status == 200)
                   Changes = decodeRelayedChanges(Answer->Body);
                 if (Changes)
                   Changes->Sender = Asked;
                 m_Metrics.countPeerQuery(Changes ? "answered" : "failed");
                 if (Changes)
                   Done(std::move(*Changes));
                 else
                   Done(unexpected(Answer ? make_error_code(Errc::Unavailable)
                                          : Answer.error()));
               });
}

} // namespace mangodeck
