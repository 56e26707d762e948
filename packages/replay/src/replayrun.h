#ifndef MANGODECK_REPLAY_REPLAYRUN_H
#define MANGODECK_REPLAY_REPLAYRUN_H

#include "mangodeck/replay/enginemodel.h"
#include "mangodeck/replay/measures.h"
#include "mangodeck/replay/policy.h"
#include "mangodeck/replay/trace.h"

#include "mangodeck/common/random.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// One replay: the callers, the entry daemons, the targets with their faults,
/// the store, and the policy that is measured.
class ReplayRun : public EntrySide {
public:
  ReplayRun(const Trace &Recorded, SnapshotPtr Config,
            std::string_view PolicyName);

  ReplayResult run();

  void onGrant(const Grant &Granted) override;
  void onRefusal(const RequestId &Request, const Refusal &Reason) override;

private:
  /// One request at its entry daemon.
  struct Call {
    const TraceArrival *Arrival = nullptr;
    Ticket Request;
    std::uint32_t ResendsLeft = 0;
    bool Ended = false;
    bool Claimed = false;
    std::uint32_t Dispatches = 0; ///< Those that reached a target.
    std::optional<Grant> Used;    ///< The grant that it was dispatched by.
    TimePoint DispatchedAt;
    TimePoint FirstTokenAt;
  };

  /// One target with the process that runs on it.
  struct Machine {
    const Target *Record = nullptr;
    std::unique_ptr<EngineModel> Engine;
    std::uint64_t StepNumber = 0; ///< Invalidates steps of a crashed engine.
    bool Down = false;
    bool Leaving = false;
    bool Accepting = true;
  };

  // Callers and entry daemons.
  void arrive(const TraceArrival &Arrival, std::uint32_t ResendsLeft,
              bool First);
  Ticket makeTicket(const TraceArrival &Arrival);
  void hangUp(const RequestId &Id);
  void claim(Call &Item, const Grant &Granted);
  void dispatch(Call &Item, const Grant &Granted);
  void deliver(const RequestId &Id, const Grant &Granted);
  void notDelivered(const RequestId &Id, const Grant &Granted);
  void complete(const RequestId &Id, PrefillUse Use);
  void fail(const RequestId &Id, PrefillUse Use);
  void end(Call &Item, ReplayOutcome Outcome);
  void bookPrefill(const PrefillUse &Use, std::optional<WasteCause> Cause);
  Call *find(const RequestId &Id);

  // Targets.
  void startStep(Machine &Item);
  void finishStep(Machine &Item);
  void crash(Machine &Item, Duration DownFor);
  void restart(Machine &Item);
  void leave(Machine &Item, Duration For);
  void replaceWhenIdle(Machine &Item);
  void publishReports();
  void apply(const TraceFault &Fault);
  Duration linkTo(const Call &Item, const Target &Record) const;

  void scheduleTick();
  bool isDone() const;
  void checkConservation();

  const Trace &m_Trace;
  SnapshotPtr m_Config;
  EventLoop m_Loop;
  SeededRandom m_Random;
  SeededRandom m_LossRandom; ///< Decides which cache events are lost.
  PolicyContext m_Context;
  std::unique_ptr<Policy> m_Policy;
  std::unordered_map<ServiceName, ComputedBlocks> m_Computed;
  std::unordered_map<TargetName, Machine> m_Machines;
  std::vector<TargetName> m_MachineOrder;
  std::unordered_map<RequestId, Call> m_Calls;
  std::unordered_map<std::uint64_t, std::uint32_t> m_CrashesBy;
  ReplayResult m_Result;
  TimePoint m_Start;
  Duration m_ReportLag{0};
  bool m_StoreDown = false;
  std::size_t m_ArrivalsLeft = 0;
  std::size_t m_Open = 0;
  std::uint64_t m_Ticks = 0;
};

} // namespace mangodeck

#endif
