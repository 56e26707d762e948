#include "mangodeck/gateway/targetconnectionpool.h"

#include <algorithm>
#include <asio/ip/address.hpp>

namespace mangodeck {

namespace {

/// Time to connect: several round trips between failure domains.
constexpr Duration ConnectTimeout = 400ms;
/// A request that may not be repeated uses a kept connection only within this
/// time: targets close idle ones after whole seconds.
constexpr Duration FreshTime = 1500ms;
/// Idle connections are closed after this time.
constexpr Duration MaxIdleTime = 8s;
/// Idle connections kept to one target at most; about its slots.
constexpr std::size_t MaxIdlePerTarget = 12;
/// Part of a target's connections that may be idle ones of all daemons; the
/// others are for requests that run.
constexpr double IdlePart = 0.5;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

std::size_t maxIdleConnections(std::uint32_t MaxConnections,
                               std::size_t Daemons) {
  if (MaxConnections == 0)
    return MaxIdlePerTarget;
  const auto Part = IdlePart * MaxConnections /
                    static_cast<double>(std::max<std::size_t>(1, Daemons));
  return std::clamp<std::size_t>(static_cast<std::size_t>(Part), 1,
                                 MaxIdlePerTarget);
}

TargetConnectionPool::TargetConnectionPool(asio::any_io_executor Executor)
    : m_Executor(std::move(Executor)) {}

void TargetConnectionPool::acquire(const TargetPtr &Target, bool Fresh,
                                   Ready Done) {
  const auto Now = steadyNow();
  const auto Found = m_Idle.find(Target.get());
  if (Found != m_Idle.end()) {
    auto &Kept = Found->second.Connections;
    while (!Kept.empty()) {
      auto Last = Kept.back();
      const auto IdleFor = Last->idleFor(Now);
      const bool Usable = Last->isReusable(Now) && IdleFor < MaxIdleTime;
      if (Usable && Fresh && IdleFor > FreshTime)
        break; // Older ones follow; they stay for requests that may repeat.
      Kept.pop_back();
      if (!Usable) {
        Last->close();
        continue;
      }
      ++m_Reused;
      return Done(std::error_code(), std::move(Last));
    }
  }
  connect(Target, std::move(Done));
}

void TargetConnectionPool::connect(const TargetPtr &Target, Ready Done) {
  std::error_code Error;
  const auto Address = asio::ip::make_address(Target->Entry.Ip, Error);
  if (Error)
    return Done(Error, nullptr);
  ++m_Opened;
  auto New = std::make_shared<http::TargetConnection>(m_Executor);
  New->connect({Address, Target->Entry.Port}, ConnectTimeout,
               [New, Done = std::move(Done)](std::error_code Failure) {
                 Done(Failure, Failure ? nullptr : New);
               });
}

void TargetConnectionPool::release(const TargetPtr &Target, Connection Used) {
  if (!Used)
    return;
  auto &Entry = m_Idle[Target.get()];
  if (!Used->isReusable(steadyNow()) || Target->Entry.Draining ||
      Entry.Connections.size() >= boundOf(*Target))
    return Used->close();
  Entry.Target = Target;
  Entry.Connections.push_back(std::move(Used));
}

void TargetConnectionPool::configure(const RoutePlan &Plan) {
  m_MaxConnections.clear();
  for (const auto &Service : Plan.Services)
    m_MaxConnections[Service.Name.Text] = Service.MaxConnections;
}

std::size_t TargetConnectionPool::boundOf(const KnownTarget &Target) const {
  const auto Found = m_MaxConnections.find(Target.Entry.Service.Text);
  return maxIdleConnections(Found == m_MaxConnections.end() ? 0 : Found->second,
                            m_Daemons);
}

void TargetConnectionPool::probe(const TargetPtr &Target,
                                 std::function<void(bool)> Done) {
  connect(Target, [this, Target, Done = std::move(Done)](std::error_code Error,
                                                         Connection New) {
    if (!Error)
      release(Target, std::move(New));
    Done(!Error);
  });
}

void TargetConnectionPool::prune(TimePoint Now) {
  for (auto &[Key, Entry] : m_Idle) {
    const auto Target = Entry.Target.lock();
    std::erase_if(Entry.Connections, [&](const Connection &Kept) {
      if (Target && !Target->Entry.Draining && Kept->isReusable(Now) &&
          Kept->idleFor(Now) < MaxIdleTime)
        return false;
      Kept->close();
      return true;
    });
  }
  std::erase_if(m_Idle, [](const auto &Entry) {
    return Entry.second.Connections.empty();
  });
}

void TargetConnectionPool::closeIdle() {
  for (auto &[Key, Entry] : m_Idle)
    for (auto &Kept : Entry.Connections)
      Kept->close();
  m_Idle.clear();
}

} // namespace mangodeck
