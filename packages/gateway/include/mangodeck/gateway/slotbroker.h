#ifndef MANGODECK_GATEWAY_SLOTBROKER_H
#define MANGODECK_GATEWAY_SLOTBROKER_H

#include "mangodeck/gateway/choosetarget.h"
#include "mangodeck/gateway/dispatchqueue.h"
#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/slotmessages.h"
#include "mangodeck/gateway/targetregistry.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mangodeck {

/// Receives the broker's decisions and passes each on to the daemon that
/// requested the slot.
class SlotDecisionSink {
public:
  virtual ~SlotDecisionSink() = default;
  virtual void onSlotDecision(const std::string &Vm,
                              const SlotDecision &Decision) = 0;
};

/// Grants the slots of one failure domain's targets to all daemons there.
/// Without a broker, saturation at many daemons has these faults: each daemon
/// sees only a small part of the requests, and most of what it learns from the
/// reports of the others is out of date when it decides. So some engines are
/// overbooked while others idle, and the urgent requests of one daemon wait
/// while another daemon starts requests of low rank. With one broker the
/// requests of a failure domain form one queue, a free slot is filled within a
/// round trip, and what one daemon learns about the speed or the failures of a
/// target benefits all.
///
/// The broker is one of the daemons and keeps no state that must survive it: a
/// successor learns the running requests from the next reports of the daemons,
/// and a daemon that gets no answer decides alone. Two brokers at the same time
/// overbook engines for a moment and do no other harm.
class SlotBroker {
public:
  SlotBroker(FailureDomain Domain, const TargetRegistry &Targets,
             SlotDecisionSink &Sink);

  /// A copy of \p Other that decides on the targets of \p Targets, which are
  /// copies of those of \p Other. It tells what \p Other would decide.
  SlotBroker(const SlotBroker &Other, const TargetRegistry &Targets,
             SlotDecisionSink &Sink);

  /// Grants a slot, or queues or refuses the request. A request that already
  /// has a slot or waits gets the same decision again, since the first one may
  /// have been lost.
  void requestSlot(const SlotRequest &Request, TimePoint Now);
  /// Applies a daemon's message on how a slot is used.
  void applyUpdate(const SlotUpdate &Update, TimePoint Now);
  /// Drops the slots and the waiting requests of all other processes that ran
  /// on \p Vm: \p Incarnation has taken their place.
  void releaseFormer(const std::string &Vm, IncarnationId Incarnation);
  /// Replaces the slots held by a daemon with the requests that it reports as
  /// running, since updates may have been lost. A grant is kept if it is too
  /// recent for the report to include it.
  void reconcile(const PeerReport &Report, TimePoint Now);
  /// Grants free slots to the waiting requests of a service, and drops those
  /// that have expired.
  void dispatchWaiting(const ServiceName &Service, TimePoint Now);
  /// Does the same for all services, after releasing the slots of daemons that
  /// have been silent for DaemonTimeout.
  void dispatchAllWaiting(TimePoint Now);
  /// Drops all state: the daemon was suspended, or the broker has changed.
  void clear();
  /// Adds the requests that hold a slot to \p Sums, by target. A request of
  /// this daemon holds no slot here once it was sent; it is counted by
  /// TrackedTarget::OwnRunning instead.
  void addLoads(TargetLoads &Sums) const;
  std::size_t waitingCount() const { return m_Waiting.size(); }
  /// Number of waiting requests that precede a new one.
  std::size_t waitingAhead(const SlotRequest &Request, TimePoint Now) const;

private:
  /// A process of a daemon: its VM and incarnation.
  using ProcessKey = std::pair<std::string, IncarnationId>;
  using Key = std::pair<ProcessKey, TicketNumber>; ///< Process and request.
  static Key keyOf(const SlotRequest &Request) {
    return {{Request.Vm, Request.Incarnation}, Request.Number};
  }
  struct Waiting {
    SlotRequest Request;
    TicketNumber Ticket = 0;
    TimePoint RequestedAt{};
  };
  struct Grant {
    std::uint64_t Target = 0; ///< TrackedTarget::Hash.
    TokenCount PrefillTokens = 0;
    TimePoint GrantedAt{};
    bool HasPermit = false; ///< See SlotDecision.
  };
  struct ServiceState {
    DispatchQueue Queue;
    DispatchRate Rate;
    /// TrackedTarget::Hash of the targets with a free slot at which no waiting
    /// request was expected to be in time, as of UnsuitedSince.
    std::set<std::uint64_t> Unsuited;
    TimePoint UnsuitedSince{};
  };

  /// Sends a decision to the process that holds \p Request.
  void decide(const SlotRequest &Request, SlotDecision Decision);
  std::vector<TargetPtr> domainTargets(const ServiceName &Service) const;
  /// \p LeastGain: see TargetChoiceInput.
  bool tryGrant(const Waiting &Waiter, std::span<const TargetPtr> Targets,
                double LeastGain, TimePoint Now);
  /// Grants a new request what no waiting one can use; false if nothing.
  bool tryGrantAtOnce(const Waiting &Waiter, std::size_t Ahead,
                      std::span<const TargetPtr> Targets, TimePoint Now);
  /// Grants \p Free slots to requests that no engine can answer in time, unless
  /// one of \p Tickets still can be answered in time or other streams would be
  /// stalled.
  void grantLate(std::span<const QueuedTicket> Tickets,
                 std::vector<TargetPtr> &Free, TimePoint Now);
  /// Whether \p Waiter could be in time at one of \p Targets, if it was idle.
  bool mayBeInTime(const Waiting &Waiter, std::span<const TargetPtr> Targets,
                   TimePoint Now) const;
  /// The choice for \p Request, which has waited for \p Waited. \p Excluded
  /// keeps the targets that the result refers to.
  TargetChoiceInput choiceInput(const SlotRequest &Request, Duration Waited,
                                std::vector<TargetPtr> &Excluded) const;
  /// A slot of the target is free, or its load has changed: waiting requests
  /// are considered for it again.
  void onLoadChanged(const TrackedTarget &Target);
  /// Grants or refuses a permit under a target's rate limit to a daemon of
  /// another failure domain. The slot that it takes is known from the loads
  /// which that domain reports.
  void decideOnPermit(const SlotRequest &Request, TimePoint Now);
  /// Frees the slot of a request, if it has one.
  void release(const Key &RequestKey);
  /// Takes a request out of the queue, if it waits.
  void dequeue(const Key &RequestKey);
  void eraseWaiting(std::map<Key, Waiting>::iterator At);
  /// Number of slots that the service dispatches until one of them is of the
  /// version that \p Request needs, if it needs one.
  static std::size_t dispatchesPerSlot(const SlotRequest &Request,
                                       std::span<const TargetPtr> Targets,
                                       TimePoint Now);
  void releaseSilentDaemons(TimePoint Now);
  Duration backlogTime(const ServiceState &State, TimePoint Now) const;

  FailureDomain m_Domain;
  const TargetRegistry &m_Targets;
  SlotDecisionSink &m_Sink;
  std::map<Key, Waiting> m_Waiting;
  std::size_t m_BoundWaiting = 0; ///< Of m_Waiting: those with a version.
  std::unordered_map<TicketNumber, Key> m_KeyByTicket;
  std::map<Key, Grant> m_Grants;
  std::map<ProcessKey, TimePoint> m_LastMessageAt;
  std::map<std::string, ServiceState> m_Services;
  TicketNumber m_NextTicket = 1;
};

} // namespace mangodeck

#endif
