#include "replayrun.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace mangodeck {

namespace {

constexpr std::uint64_t RunSeed = 20260101;
constexpr Duration ClaimDelay = 2ms;
constexpr Duration ResendDelay = 1s;
/// Prefix blocks of a ticket: size and greatest number.
constexpr TokenCount TokensPerBlock = 512;
constexpr TokenCount MaxBlocks = 16;

std::uint64_t hashOf(std::uint64_t A, std::uint64_t B) {
  const std::uint64_t Values[] = {A, B};
  return XXH3_64bits(Values, sizeof(Values));
}

} // namespace

ReplayRun::ReplayRun(const Trace &Recorded, SnapshotPtr Config,
                     std::string_view PolicyName)
    : m_Trace(Recorded), m_Config(std::move(Config)), m_Random(RunSeed),
      m_LossRandom(RunSeed + 1), m_Context{m_Loop, *this, m_Config,
                                           m_Trace.Header, RunSeed},
      m_Start(m_Loop.now()), m_ReportLag(Recorded.Header.ReportLag) {
  m_Result.PolicyName = PolicyName;
  m_Result.Length = Recorded.Header.Length;
  for (const auto &Record : m_Config->Targets) {
    const auto *Owner = m_Config->findService(Record.Service);
    auto &Item = m_Machines[Record.Name];
    Item.Record = &Record;
    Item.Engine = std::make_unique<EngineModel>(
        Record, Owner ? Owner->Kind : ServiceKind::Model,
        m_Computed[Record.Service]);
    m_MachineOrder.push_back(Record.Name);
  }
  m_Policy = makePolicy(PolicyName, m_Context);
  assert(m_Policy && "unknown policy");
}

ReplayResult ReplayRun::run() {
  m_ArrivalsLeft = m_Trace.Arrivals.size();
  for (const auto &Arrival : m_Trace.Arrivals)
    m_Loop.at(m_Start + Arrival.At,
              [this, &Arrival] { arrive(Arrival, Arrival.Resends, true); });
  for (const auto &Fault : m_Trace.Faults)
    m_Loop.at(m_Start + Fault.At, [this, &Fault] { apply(Fault); });
  scheduleTick();
  while (m_Loop.runOne()) {
  }
  checkConservation();
  return std::move(m_Result);
}

bool ReplayRun::isDone() const { return m_ArrivalsLeft == 0 && m_Open == 0; }

/// The prefix's blocks are numbered hashes of its id; a resend of one arrival
/// has the same fingerprint.
Ticket ReplayRun::makeTicket(const TraceArrival &Arrival) {
  const auto Index =
      static_cast<std::uint64_t>(&Arrival - m_Trace.Arrivals.data());
  Ticket Request;
  Request.Id = m_Random.nextRequestId();
  const auto &Entries = m_Trace.Header.Entries;
  Request.Entry = Entries[m_Random.below(Entries.size())].Name;
  Request.Customer = Arrival.Customer;
  Request.Service = Arrival.Service;
  Request.Tier = Arrival.Tier;
  Request.Arrival = m_Loop.now();
  Request.Deadline = m_Loop.now() + Arrival.Deadline;
  Request.PromptTokens = Arrival.Prompt;
  Request.OutputTokens = Arrival.MaxOutput;
  Request.TokensPerBlock = TokensPerBlock;
  Request.Fingerprint = hashOf(Index, RunSeed);
  const auto *Owner = m_Config->findService(Arrival.Service);
  Request.Idempotent = !Owner || Owner->Idempotent;
  const auto Blocks =
      std::min(MaxBlocks, Arrival.PrefixTokens / TokensPerBlock);
  for (TokenCount I = 0; Arrival.Prefix > 0 && I < Blocks; ++I)
    Request.PrefixBlocks.push_back(
        hashOf(Arrival.Prefix, static_cast<std::uint64_t>(I)));
  return Request;
}

void ReplayRun::arrive(const TraceArrival &Arrival, std::uint32_t ResendsLeft,
                       bool First) {
  if (First)
    --m_ArrivalsLeft;
  ++m_Open;
  ++m_Result.Tiers[Arrival.Tier].Arrived;
  Call Item;
  Item.Arrival = &Arrival;
  Item.Request = makeTicket(Arrival);
  Item.ResendsLeft = ResendsLeft;
  const Ticket Request = Item.Request;
  m_Calls.emplace(Request.Id, std::move(Item));
  if (Arrival.HangUp > Duration(0))
    m_Loop.after(Arrival.HangUp, [this, Id = Request.Id] { hangUp(Id); });
  m_Policy->submit(Request);
}

ReplayRun::Call *ReplayRun::find(const RequestId &Id) {
  const auto It = m_Calls.find(Id);
  return It == m_Calls.end() ? nullptr : &It->second;
}

/// The caller leaves: a waiting request is withdrawn, a running one cancelled.
void ReplayRun::hangUp(const RequestId &Id) {
  auto *Item = find(Id);
  if (!Item || Item->Ended)
    return;
  if (!Item->Used) {
    end(*Item, ReplayOutcome::Left);
    m_Policy->withdraw(Item->Request);
    return;
  }
  auto &Machine = m_Machines.at(Item->Used->Target);
  const auto Use = Machine.Engine->cancel(Id);
  if (!Use) // Still on its way to the target; ask again when it is there.
    return m_Loop.after(50ms, [this, Id] { hangUp(Id); });
  bookPrefill(*Use, WasteCause::Cancelled);
  end(*Item, ReplayOutcome::Left);
  FinishReport Report;
  Report.Request = Id;
  Report.Target = Item->Used->Target;
  Report.Kind = FinishKind::Cancelled;
  m_Policy->finish(Item->Request, *Item->Used, Report);
  startStep(Machine);
}

/// The entry daemon's check right before the one transition to dispatched.
void ReplayRun::onGrant(const Grant &Granted) {
  auto *Item = find(Granted.Request);
  assert(Item && "grant for an unknown request");
  if (Item->Used)
    return m_Policy->returnGrant(Item->Request, Granted,
                                 ReturnReason::Duplicate);
  if (Item->Ended)
    return m_Policy->returnGrant(Item->Request, Granted,
                                 ReturnReason::Withdrawn);
  if (m_Loop.now() > Item->Request.Deadline) {
    end(*Item, ReplayOutcome::Expired);
    return m_Policy->returnGrant(Item->Request, Granted, ReturnReason::Expired);
  }
  Item->Used = Granted;
  if (Item->Arrival->Keyed && !Item->Claimed)
    return claim(*Item, Granted);
  dispatch(*Item, Granted);
}

void ReplayRun::claim(Call &Item, const Grant &Granted) {
  if (m_StoreDown) {
    Item.Used.reset();
    end(Item, ReplayOutcome::NotRun);
    return m_Policy->returnGrant(Item.Request, Granted,
                                 ReturnReason::ClaimFailed);
  }
  m_Loop.after(ClaimDelay, [this, Id = Item.Request.Id, Granted] {
    auto &Claimed = *find(Id);
    Claimed.Claimed = true;
    dispatch(Claimed, Granted);
  });
}

Duration ReplayRun::linkTo(const Call &Item, const Target &Record) const {
  return m_Context.delay(m_Context.domainOf(Item.Request.Entry), Record.Domain);
}

void ReplayRun::dispatch(Call &Item, const Grant &Granted) {
  Item.DispatchedAt = m_Loop.now();
  const auto &Machine = m_Machines.at(Granted.Target);
  m_Loop.after(linkTo(Item, *Machine.Record),
               [this, Id = Item.Request.Id, Granted] { deliver(Id, Granted); });
}

void ReplayRun::deliver(const RequestId &Id, const Grant &Granted) {
  auto &Item = *find(Id);
  auto &Machine = m_Machines.at(Granted.Target);
  if (Machine.Down || !Machine.Accepting) {
    m_Loop.after(linkTo(Item, *Machine.Record),
                 [this, Id, Granted] { notDelivered(Id, Granted); });
    return;
  }
  if (++Item.Dispatches > 1)
    m_Result.Violations.push_back(
        fmt::format("{}: dispatched a second time", toString(Id)));
  EngineRequest Request;
  Request.Id = Id;
  Request.Prompt = Item.Arrival->Prompt;
  Request.Output = Item.Arrival->Output;
  Request.PrefixBlocks = Item.Request.PrefixBlocks;
  Request.TokensPerBlock = Item.Request.TokensPerBlock;
  Request.Work = Item.Arrival->Work;
  Request.Poison = Item.Arrival->Poison;
  Machine.Engine->admit(std::move(Request));
  startStep(Machine);
}

/// The connection was refused, so the request may be placed again.
void ReplayRun::notDelivered(const RequestId &Id, const Grant &Granted) {
  auto &Item = *find(Id);
  Item.Used.reset();
  m_Policy->returnGrant(Item.Request, Granted,
                        Item.Ended ? ReturnReason::Withdrawn
                                   : ReturnReason::NotDelivered);
}

void ReplayRun::onRefusal(const RequestId &Request, const Refusal &Reason) {
  auto *Item = find(Request);
  assert(Item && "refusal of an unknown request");
  if (Item->Ended)
    return;
  if (Item->Used)
    m_Result.Violations.push_back(
        fmt::format("{}: refused after its dispatch", toString(Request)));
  const auto Outcome = Reason.Reason == NotRunReason::Shed ? ReplayOutcome::Shed
                       : Reason.Reason == NotRunReason::Expired
                           ? ReplayOutcome::Expired
                           : ReplayOutcome::NotRun;
  end(*Item, Outcome);
}

void ReplayRun::complete(const RequestId &Id, PrefillUse Use) {
  auto &Item = *find(Id);
  const auto &Arrival = *Item.Arrival;
  auto &Tier = m_Result.Tiers[Arrival.Tier];
  const bool InTime = m_Loop.now() <= Item.Request.Deadline;
  FinishReport Report;
  Report.Request = Id;
  Report.Target = Item.Used->Target;
  Report.PromptTokens = Arrival.Prompt;
  Report.CachedTokens = Use.Cached;
  Report.OutputTokens = Arrival.Output;
  Report.TimeToFirstToken = Item.FirstTokenAt - Item.DispatchedAt;
  Report.DecodeTime = m_Loop.now() - Item.FirstTokenAt;
  Tier.FirstTokenSeconds.push_back(
      toSeconds(Item.FirstTokenAt - Item.Request.Arrival));
  if (Arrival.Output > 1)
    Tier.TokenGapSeconds.push_back(toSeconds(Report.DecodeTime) /
                                   static_cast<double>(Arrival.Output - 1));
  if (InTime)
    Tier.InTimeTokens += Arrival.Output;
  bookPrefill(Use, InTime ? std::nullopt : std::optional(WasteCause::Expired));
  end(Item, InTime ? ReplayOutcome::InTime : ReplayOutcome::Late);
  m_Policy->finish(Item.Request, *Item.Used, Report);
}

/// The target crashed. The caller is told that the outcome is unknown, and may
/// send the same request again.
void ReplayRun::fail(const RequestId &Id, PrefillUse Use) {
  auto &Item = *find(Id);
  if (Item.Ended)
    return;
  bookPrefill(Use, WasteCause::Crashed);
  end(Item, ReplayOutcome::Unknown);
  FinishReport Report;
  Report.Request = Id;
  Report.Target = Item.Used->Target;
  Report.Kind = FinishKind::Crashed;
  m_Policy->finish(Item.Request, *Item.Used, Report);
  if (Item.ResendsLeft == 0)
    return;
  ++m_Open;
  m_Loop.after(ResendDelay,
               [this, Arrival = Item.Arrival, Left = Item.ResendsLeft - 1] {
                 --m_Open;
                 arrive(*Arrival, Left, false);
               });
}

void ReplayRun::end(Call &Item, ReplayOutcome Outcome) {
  assert(!Item.Ended && "request has an outcome already");
  Item.Ended = true;
  --m_Open;
  ++m_Result.Tiers[Item.Arrival->Tier]
        .Outcomes[static_cast<std::size_t>(Outcome)];
  const auto Time =
      static_cast<std::uint64_t>((m_Loop.now() - m_Start).count());
  m_Result.Signature =
      hashOf(hashOf(m_Result.Signature, Item.Request.Id.Low),
             hashOf(Time, static_cast<std::uint64_t>(Outcome)));
}

void ReplayRun::bookPrefill(const PrefillUse &Use,
                            std::optional<WasteCause> Cause) {
  auto &Prefill = m_Result.Prefill;
  const auto Add = [&Prefill](WasteCause Why, TokenCount Tokens) {
    Prefill.Wasted[static_cast<std::size_t>(Why)] += Tokens;
  };
  Prefill.Prefilled += Use.Prefilled;
  Prefill.Cached += Use.Cached;
  if (Cause)
    return Add(*Cause, Use.Prefilled);
  Add(WasteCause::Evicted, Use.Evicted);
  Add(WasteCause::Duplicate, Use.Duplicate);
}

/// Every request has exactly one outcome.
void ReplayRun::checkConservation() {
  for (const auto &[Rank, Tier] : m_Result.Tiers) {
    std::uint64_t Sum = 0;
    for (const auto Count : Tier.Outcomes)
      Sum += Count;
    if (Sum != Tier.Arrived)
      m_Result.Violations.push_back(fmt::format(
          "tier {}: {} arrived, {} outcomes", Rank, Tier.Arrived, Sum));
  }
  for (auto &Line : m_Policy->violations())
    m_Result.Violations.push_back(std::move(Line));
  for (const auto &[Fingerprint, Count] : m_CrashesBy)
    m_Result.CrashesByOneRequest =
        std::max(m_Result.CrashesByOneRequest, Count);
}

} // namespace mangodeck
