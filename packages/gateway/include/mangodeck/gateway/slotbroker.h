#ifndef MANGODECK_GATEWAY_SLOTBROKER_H
#define MANGODECK_GATEWAY_SLOTBROKER_H

#include "mangodeck/gateway/choosetarget.h"
#include "mangodeck/gateway/dispatchqueue.h"
#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/slotmessages.h"
#include "mangodeck/gateway/targetregistry.h"

#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mangodeck {

/// Takes the broker's verdicts to the daemons that asked.
class SlotDecisionSink {
public:
  virtual ~SlotDecisionSink() = default;
  virtual void onSlotDecision(const std::string &Vm,
                              const SlotDecision &Verdict) = 0;
};

/// Hands out the slots of one failure domain's targets to all daemons there.
/// Answers saturation at many daemons: each sees only a small part of the
/// requests, and of what it learns from the others' reports most is stale by
/// the time that it decides, so that engines are overbooked beside others that
/// idle, and a daemon's urgent requests wait while another starts idle ones.
/// With one broker the requests of a failure domain form one queue, a slot is
/// filled within a round trip of being freed, and what one daemon learns about
/// a target's speed or failures serves all.
///
/// The broker is one of the daemons and keeps no state that must last: a
/// successor learns the running requests from the daemons' next reports, and
/// a daemon that gets no answer decides alone. Two brokers at once overbook
/// engines for a moment and do no other harm.
class SlotBroker {
public:
  SlotBroker(FailureDomain Home, const TargetRegistry &Targets,
             SlotDecisionSink &Sink);

  /// Grants a slot, queues the ask or refuses it. An ask that is known is
  /// answered as before: its verdict may have been lost.
  void requestSlot(const SlotRequest &Ask, TimePoint Now);
  void applyUpdate(const SlotUpdate &Note, TimePoint Now);
  /// Takes over what a daemon reports as running; it goes before notes that
  /// were lost.
  void reconcile(const PeerReport &Report, TimePoint Now);
  /// Starts what can start and forgets what has waited too long.
  void dispatchWaiting(const ServiceName &Service, TimePoint Now);
  /// The same for all services, and frees what silent daemons held.
  void dispatchAllWaiting(TimePoint Now);
  /// Forgets everything; the daemon stood still, or another one took over.
  void clear();
  /// Adds the requests that hold a slot, by target, to \p Sums. Those of this
  /// daemon are left out once they were sent.
  void addLoads(TargetLoads &Sums) const;
  std::size_t waitingCount() const { return m_Waiting.size(); }

private:
  using Key = std::pair<std::string, TicketNumber>; ///< Daemon and request.
  struct Waiting {
    SlotRequest Ask;
    TicketNumber Ticket = 0;
    TimePoint AskedAt{};
  };
  struct Granted {
    std::uint64_t Target = 0;
    TokenCount Prefill = 0;
    TimePoint Since{};
  };
  struct ServiceState {
    DispatchQueue Queue;
    DispatchRate Rate;
  };

  std::vector<TargetPtr> homeTargets(const ServiceName &Service) const;
  bool tryGrant(const Waiting &Asked, std::span<const TargetPtr> Home,
                TimePoint Now);
  void release(const Key &Which);
  void forget(const Key &Which);
  /// Frees the slots of daemons that are no longer heard.
  void forgetSilent(TimePoint Now);
  Duration backlog(const ServiceState &State, TimePoint Now) const;

  FailureDomain m_Home;
  const TargetRegistry &m_Targets;
  SlotDecisionSink &m_Sink;
  std::map<Key, Waiting> m_Waiting;
  std::unordered_map<TicketNumber, Key> m_ByTicket;
  std::map<Key, Granted> m_Granted;
  std::map<std::string, TimePoint> m_Heard; ///< By daemon.
  std::map<std::string, ServiceState> m_Services;
  TicketNumber m_NextTicket = 1;
};

} // namespace mangodeck

#endif
