#include "mangodeck/process/orderlease.h"

#include "generated/claim.pb.h"

#include <algorithm>
#include <optional>

namespace mangodeck {

namespace {

/// Renewals and attempts are made this often within the time to live.
constexpr int CallsPerTimeToLive = 3;

std::string encodeHolder(const OrderLeaseOptions &Options,
                         const RequestId &Nonce) {
  storewire::OrderHolder Wire;
  Wire.set_daemon(Options.Vm.Text);
  Wire.set_started(Options.Started);
  Wire.set_nonce_high(Nonce.High);
  Wire.set_nonce_low(Nonce.Low);
  return Wire.SerializeAsString();
}

} // namespace

/// Shared with the callbacks of calls in progress. A callback has no clock:
/// what it learns is dated by when its call was sent.
struct OrderLease::State : public std::enable_shared_from_this<State> {
  OrderLeaseOptions Options;
  Store &Platform;
  RandomSource &Random;
  std::string Key;
  bool Closed = false;
  bool CallInFlight = false;
  TimePoint NextCall;
  RequestId Nonce;
  std::int64_t Lease = 0; ///< Being kept alive or about to be used.
  bool Held = false;
  std::uint64_t Fencing = 0;
  TimePoint ValidUntil;
  /// First tick after the lease was got; the wait at take-over starts here.
  std::optional<TimePoint> HeldSince;

  State(OrderLeaseOptions Given, Store &Shared, RandomSource &Source)
      : Options(std::move(Given)), Platform(Shared), Random(Source),
        Key("order/" + Options.Domain.Text) {}

  void look(TimePoint Sent);
  void grant(TimePoint Sent);
  void create();
  void renew(TimePoint Sent);
  void lose();
  void extend(TimePoint Sent, const StoreLease &Granted) {
    ValidUntil = Sent + std::min(Options.TimeToLive, Granted.TimeToLive) -
                 Options.Margin;
  }
  void take(std::int64_t Revision) {
    Held = true;
    Fencing = static_cast<std::uint64_t>(Revision);
    HeldSince.reset();
  }
};

OrderLease::OrderLease(OrderLeaseOptions Options, Store &Platform,
                       RandomSource &Random)
    : m_State(std::make_shared<State>(std::move(Options), Platform, Random)) {}

OrderLease::~OrderLease() { m_State->Closed = true; }

void OrderLease::tick(TimePoint Now, bool IsCandidate) {
  auto &S = *m_State;
  // Step 1. Give up what can no longer be certain.
  if (S.Lease != 0 && Now >= S.ValidUntil)
    S.lose();
  if (S.Held && !S.HeldSince)
    S.HeldSince = Now;

  // Step 2. One call at a time.
  if (S.CallInFlight || Now < S.NextCall)
    return;
  S.NextCall = Now + S.Options.TimeToLive / CallsPerTimeToLive;
  if (S.Held)
    return S.renew(Now);
  if (S.Lease != 0)
    return S.create();
  if (IsCandidate)
    S.look(Now);
}

/// Reads the key before a lease is asked for: while another daemon holds it,
/// a candidate costs the store one read per attempt.
void OrderLease::State::look(TimePoint Sent) {
  CallInFlight = true;
  Platform.get(Key, [Self = shared_from_this(),
                     Sent](Expected<std::vector<StoreEntry>> Found) {
    Self->CallInFlight = false;
    if (!Self->Closed && Found && Found->empty())
      Self->grant(Sent);
  });
}

void OrderLease::State::grant(TimePoint Sent) {
  CallInFlight = true;
  Platform.grantLease(Options.TimeToLive, [Self = shared_from_this(),
                                           Sent](Expected<StoreLease> Result) {
    Self->CallInFlight = false;
    if (Self->Closed || !Result)
      return;
    Self->Lease = Result->Id;
    Self->Nonce = Self->Random.nextRequestId();
    Self->extend(Sent, *Result);
    Self->create();
  });
}

/// Creates the key; after a lost answer again with the same nonce, which then
/// shows that the first call took effect.
void OrderLease::State::create() {
  StoreWrite Write;
  Write.Key = Key;
  Write.Value = encodeHolder(Options, Nonce);
  Write.Lease = Lease;
  CallInFlight = true;
  Platform.compareAndSwap(
      Write, [Self = shared_from_this(), Value = Write.Value,
              Used = Lease](Expected<StoreWriteResult> Result) {
        Self->CallInFlight = false;
        if (Self->Closed || !Result || Used != Self->Lease)
          return;
        if (Result->Succeeded)
          return Self->take(Result->ModRevision);
        const bool Own =
            !Result->Current.empty() && Result->Current.front().Value == Value;
        if (Own)
          return Self->take(Result->Current.front().ModRevision);
        Self->lose();
      });
}

void OrderLease::State::renew(TimePoint Sent) {
  CallInFlight = true;
  Platform.keepLeaseAlive(Lease, [Self = shared_from_this(), Sent,
                                  Used = Lease](Expected<StoreLease> Result) {
    Self->CallInFlight = false;
    if (Self->Closed || Used != Self->Lease)
      return;
    if (Result)
      return Self->extend(Sent, *Result);
    if (Result.error() == make_error_code(Errc::NotFound))
      Self->lose();
  });
}

void OrderLease::State::lose() {
  Held = false;
  Fencing = 0;
  HeldSince.reset();
  Lease = 0;
}

bool OrderLease::holds(TimePoint Now) const {
  return m_State->Held && Now < m_State->ValidUntil;
}

bool OrderLease::mayOrder(TimePoint Now, bool TargetChecksFencing) const {
  if (!holds(Now))
    return false;
  if (TargetChecksFencing)
    return true;
  const auto Wait = m_State->Options.LongestOrder + m_State->Options.Margin;
  return m_State->HeldSince && Now >= *m_State->HeldSince + Wait;
}

std::uint64_t OrderLease::fencing() const { return m_State->Fencing; }

void OrderLease::release() {
  if (m_State->Lease == 0)
    return;
  m_State->Platform.revokeLease(m_State->Lease, [](Expected<bool>) {});
  m_State->lose();
}

} // namespace mangodeck
