#include "mangodeck/gateway/dispatchqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mangodeck {

namespace {

/// Time constant of the decaying dispatch rate: long compared to the pauses
/// between requests, short compared to a burst.
constexpr double RateTimeConstantSeconds = 1.0;
/// Lower bound of the rate in estimates of the waiting time.
constexpr double MinRatePerSecond = 0.5;

auto dispatchOrder(const QueuedTicket &Ticket, TimePoint Now) {
  const bool MissesTarget = Ticket.LatestStart < Now;
  return std::tuple(MissesTarget, Ticket.Rank, !Ticket.NeedsVersion,
                    MissesTarget ? Ticket.ExpiresAt : Ticket.LatestStart,
                    Ticket.Number);
}

} // namespace

void DispatchQueue::push(const QueuedTicket &Ticket) {
  m_Tickets[Ticket.Number] = Ticket;
}

void DispatchQueue::remove(TicketNumber Number) { m_Tickets.erase(Number); }

std::optional<QueuedTicket>
DispatchQueue::next(TimePoint Now, const std::set<TicketNumber> &Skipped) {
  const QueuedTicket *Best = nullptr;
  for (const auto &[Number, Ticket] : m_Tickets)
    if (!Skipped.contains(Number) &&
        (!Best || dispatchOrder(Ticket, Now) < dispatchOrder(*Best, Now)))
      Best = &Ticket;
  if (!Best)
    return std::nullopt;
  return *Best;
}

std::vector<QueuedTicket> DispatchQueue::inOrder(TimePoint Now) const {
  std::vector<QueuedTicket> Tickets;
  Tickets.reserve(m_Tickets.size());
  for (const auto &[Number, Ticket] : m_Tickets)
    Tickets.push_back(Ticket);
  std::sort(Tickets.begin(), Tickets.end(),
            [Now](const QueuedTicket &Left, const QueuedTicket &Right) {
              return dispatchOrder(Left, Now) < dispatchOrder(Right, Now);
            });
  return Tickets;
}

std::vector<QueuedTicket> DispatchQueue::takeExpired(TimePoint Now) {
  std::vector<QueuedTicket> Expired;
  for (const auto &[Number, Ticket] : m_Tickets)
    if (Ticket.ExpiresAt <= Now)
      Expired.push_back(Ticket);
  for (const auto &Ticket : Expired)
    m_Tickets.erase(Ticket.Number);
  return Expired;
}

std::size_t DispatchQueue::countAhead(const RequestRank &Rank,
                                      bool NeedsVersion, TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(m_Tickets.begin(), m_Tickets.end(), [&](const auto &Entry) {
        const auto &Ticket = Entry.second;
        const bool IsFirst =
            Ticket.Rank < Rank ||
            (Ticket.Rank == Rank && (Ticket.NeedsVersion || !NeedsVersion));
        return Ticket.LatestStart >= Now && IsFirst;
      }));
}

void DispatchRate::recordDispatch(TimePoint Now) {
  const double Seconds = toSeconds(Now - m_LastDispatch);
  m_RatePerSecond = m_RatePerSecond * std::exp(-std::max(0.0, Seconds) /
                                               RateTimeConstantSeconds) +
                    1.0 / RateTimeConstantSeconds;
  m_LastDispatch = Now;
}

double DispatchRate::perSecond(TimePoint Now) const {
  return m_RatePerSecond *
         std::exp(-std::max(0.0, toSeconds(Now - m_LastDispatch)) /
                  RateTimeConstantSeconds);
}

Duration DispatchRate::timeToDispatch(std::size_t Requests,
                                      TimePoint Now) const {
  return fromSeconds(static_cast<double>(Requests) /
                     std::max(MinRatePerSecond, perSecond(Now)));
}

} // namespace mangodeck
