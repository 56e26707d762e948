#include "mangodeck/gateway/targetconnectionpool.h"

#include "mangodeck/gateway/startquery.h"

#include <algorithm>
#include <asio/ip/address.hpp>

namespace mangodeck {

namespace {

/// Time-out for connecting; several round trips between failure domains.
constexpr Duration ConnectTimeout = 400ms;
/// Time-out for the start of a target, which it states at once.
constexpr Duration StartQueryTimeout = 400ms;
/// A request that must not be sent twice uses an idle connection only up to
/// this idle time. Targets close idle connections after some seconds, and a
/// request that meets such a close may or may not have run.
constexpr Duration RecentlyUsedTime = 1500ms;
/// Idle connections are closed after this time.
constexpr Duration MaxIdleTime = 8s;
/// Maximum number of idle connections to one target; about its number of slots.
constexpr std::size_t MaxIdlePerTarget = 12;
/// Share of a target's connection limit that the idle connections of all
/// daemons may take. The rest is left for running requests.
constexpr double MaxIdleShare = 0.5;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

std::size_t maxIdleConnections(std::uint32_t MaxConnections,
                               std::size_t DaemonCount) {
  if (MaxConnections == 0)
    return MaxIdlePerTarget;
  const auto PerDaemon =
      MaxIdleShare * MaxConnections /
      static_cast<double>(std::max<std::size_t>(1, DaemonCount));
  return std::clamp<std::size_t>(static_cast<std::size_t>(PerDaemon), 1,
                                 MaxIdlePerTarget);
}

TargetConnectionPool::TargetConnectionPool(asio::any_io_executor Executor,
                                           const HeaderNames &Names)
    : m_Executor(std::move(Executor)), m_Names(Names) {}

bool TargetConnectionPool::canConfirmStart(const TrackedTarget &Target) const {
  return !m_Names.TargetReportPath.empty() && Target.Entry.StartedUnixMs != 0;
}

void TargetConnectionPool::confirmStart(const TargetPtr &Target,
                                        Connection Ready,
                                        AcquireCallback Done) {
  if (Ready->isServerConfirmed())
    return Done(std::error_code(), std::move(Ready));
  ++m_StartQueryCount;
  const auto Query = std::make_shared<StartQuery>(
      Ready, m_Executor, m_Names.TargetReportPath, m_Names.TargetStartField);
  Query->start(StartQueryTimeout, [Target, Ready, Done = std::move(Done)](
                                      std::error_code Error, auto Start) {
    if (Start && *Start == Target->Entry.StartedUnixMs)
      Ready->confirmServer();
    else if (Start)
      Target->recordProcessEnd(steadyNow());
    Done(Error, Error ? nullptr : Ready);
  });
}

void TargetConnectionPool::acquire(const TargetPtr &Target, const Use &Request,
                                   AcquireCallback Done) {
  if (Request.ConfirmStart && canConfirmStart(*Target)) {
    auto Unconfirmed = Request;
    Unconfirmed.ConfirmStart = false;
    return acquire(Target, Unconfirmed,
                   [this, Target, Done = std::move(Done)](std::error_code Error,
                                                          Connection Ready) {
                     if (Error)
                       return Done(Error, nullptr);
                     confirmStart(Target, std::move(Ready), Done);
                   });
  }
  const auto Now = steadyNow();
  const auto Found = m_Idle.find(Target.get());
  if (Found != m_Idle.end() && Request.Attempt) {
    auto &Kept = Found->second.Connections;
    for (auto Index = Kept.size(); Index-- > 0;) {
      auto Candidate = Kept[Index];
      const auto IdleTime = Candidate->idleFor(Now);
      const bool IsUsable =
          Candidate->isReusable(Now) && IdleTime < MaxIdleTime;
      if (IsUsable && Candidate->hasRefused(*Request.Attempt))
        continue; // It serves other requests.
      if (IsUsable && Request.RecentlyUsedOnly && IdleTime > RecentlyUsedTime)
        break; // The rest is older and serves requests that may be repeated.
      Kept.erase(Kept.begin() + static_cast<std::ptrdiff_t>(Index));
      if (!IsUsable) {
        Candidate->close();
        continue;
      }
      ++m_ReusedCount;
      return Done(std::error_code(), std::move(Candidate));
    }
  }
  connect(Target, std::move(Done));
}

void TargetConnectionPool::connect(const TargetPtr &Target,
                                   AcquireCallback Done) {
  std::error_code Error;
  const auto Address = asio::ip::make_address(Target->Entry.Ip, Error);
  if (Error)
    return Done(Error, nullptr);
  ++m_OpenedCount;
  auto Opened = std::make_shared<http::TargetConnection>(m_Executor);
  Opened->connect({Address, Target->Entry.Port}, ConnectTimeout,
                  [Opened, Done = std::move(Done)](std::error_code Failure) {
                    Done(Failure, Failure ? nullptr : Opened);
                  });
}

void TargetConnectionPool::release(const TargetPtr &Target, Connection Used) {
  if (!Used)
    return;
  auto &Entry = m_Idle[Target.get()];
  if (!Used->isReusable(steadyNow()) || Target->isLeaving() ||
      Entry.Connections.size() >= maxIdleFor(*Target))
    return Used->close();
  Entry.Target = Target;
  Entry.Connections.push_back(std::move(Used));
}

void TargetConnectionPool::configure(const RoutePlan &Plan) {
  m_MaxConnections.clear();
  for (const auto &Service : Plan.Services)
    m_MaxConnections[Service.Name.Text] = Service.MaxConnections;
}

std::size_t
TargetConnectionPool::maxIdleFor(const TrackedTarget &Target) const {
  const auto Found = m_MaxConnections.find(Target.Entry.Service.Text);
  return maxIdleConnections(Found == m_MaxConnections.end() ? 0 : Found->second,
                            m_DaemonCount);
}

void TargetConnectionPool::probe(const TargetPtr &Target,
                                 std::function<void(std::error_code)> Done) {
  connect(Target, [this, Target, Done = std::move(Done)](std::error_code Error,
                                                         Connection Opened) {
    if (!Error)
      release(Target, std::move(Opened));
    Done(Error);
  });
}

void TargetConnectionPool::prune(TimePoint Now) {
  for (auto &[Key, Entry] : m_Idle) {
    const auto Target = Entry.Target.lock();
    std::erase_if(Entry.Connections, [&](const Connection &Kept) {
      if (Target && !Target->isLeaving() && Kept->isReusable(Now) &&
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
